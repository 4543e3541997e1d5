"""What a router's decisions ask its shell to do."""

__all__ = [
    "AbortAttempt",
    "AnswerError",
    "Effect",
    "SendRequest",
]

import dataclasses

from sycamorefall import effects, errors, messages


@dataclasses.dataclass(slots=True, frozen=True)
class SendRequest:
    """Send a request to a sidecar.

    Attributes:
        request: Number of the request.
        sidecar: VM name of the sidecar.
        order: Head of the attempt.
    """

    request: int
    sidecar: str
    order: messages.AttemptOrder


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerError:
    """Give a caller its final answer: a failure.

    Attributes:
        request: Number of the request.
        kind: The kind of failure.
        ran: Whether the request was run.
        retry_after: Seconds after which to come back, if that helps.
    """

    request: int
    kind: errors.ErrorKind
    ran: errors.Ran
    retry_after: int | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class AbortAttempt:
    """Give up the connection of an attempt; its answer is not wanted."""

    attempt_id: str


Effect = effects.SendMessage | SendRequest | AnswerError | AbortAttempt
