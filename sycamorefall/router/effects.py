"""Effects that a router's decision logic returns for the I/O layer."""

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
    """Send a request to a sidecar as an attempt.

    Attributes:
        request: Number of the request.
        sidecar: VM name of the sidecar.
        order: Metadata of the attempt, sent in a header.
    """

    request: int
    sidecar: str
    order: messages.AttemptOrder


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerError:
    """Answer a caller with an error, which is the final answer.

    Attributes:
        request: Number of the request.
        kind: The kind of error.
        ran: Whether the request ran at an upstream.
        retry_after: Seconds after which the caller may retry; None if a retry
            doesn't help.
    """

    request: int
    kind: errors.ErrorKind
    ran: errors.Ran
    retry_after: int | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class AbortAttempt:
    """Close the connection of an attempt whose response is no longer wanted."""

    attempt_id: str


Effect = effects.SendMessage | SendRequest | AnswerError | AbortAttempt
