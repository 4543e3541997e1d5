"""What an adapter tells of how callers and upstreams put things in HTTP."""

__all__ = ["AnswerHead", "Dialect", "Verdict"]

from collections.abc import Callable
import dataclasses
import enum

from returns import result

from sycamorefall import transport
from sycamorefall.direct import effects
from sycamorefall.direct import state as state_module


class Verdict(enum.Enum):
    """What the head of an upstream's answer says.

    SUCCESS: the answer to the request follows.
    FAILURE: it ran and failed; the answer that says so follows.
    NOT_RUN: the upstream did not run it.
    OTHER_INCARNATION: the same, as it is not the process that was meant.
    INVALID: it can't be the upstream's answer; it may have run.
    """

    SUCCESS = "success"
    FAILURE = "failure"
    NOT_RUN = "not_run"
    OTHER_INCARNATION = "other_incarnation"
    INVALID = "invalid"


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerHead:
    """The head of an upstream's answer.

    Attributes:
        verdict: What it says.
        status: Its status.
        headers: Headers that go on to the caller.
        leaving: Whether the upstream announces that it is shutting down.
        retry_after: Seconds for which the upstream asks this router to send
            no further requests; None if it doesn't.
    """

    verdict: Verdict
    status: int
    headers: tuple[tuple[str, str], ...]
    leaving: bool = False
    retry_after: float | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Dialect:
    """How callers and upstreams put things in HTTP.

    Attributes:
        read_request: Reads a call; the text of a failure says what is wrong.
        read_request_id: Reads the id of a call, for logs.
        write_headers: Writes the headers of a send; the last argument is the
            id of the last event that the caller has, or empty.
        is_ours: Tells whether an answer with these headers is to this call.
        read_answer: Reads the head of an answer.
    """

    read_request: Callable[
        [transport.IncomingCall], result.Result[state_module.NewRequest, str]
    ]
    read_request_id: Callable[[transport.IncomingCall], str]
    write_headers: Callable[
        [transport.IncomingCall, effects.SendRequest, str],
        tuple[tuple[str, str], ...],
    ]
    is_ours: Callable[[transport.IncomingCall, dict[str, str]], bool]
    read_answer: Callable[[int, list[tuple[str, str]]], AnswerHead]
