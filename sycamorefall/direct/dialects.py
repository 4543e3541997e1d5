"""Interface of a dialect: the HTTP headers and statuses of a platform."""

__all__ = ["Dialect", "ResponseHead", "ResponseOutcome"]

from collections.abc import Callable
import dataclasses
import enum

from returns import result

from sycamorefall import transport
from sycamorefall.direct import effects
from sycamorefall.direct import state as state_module


class ResponseOutcome(enum.Enum):
    """Classification of an upstream's response by its head.

    SUCCESS: the request ran; the response follows.
    FAILURE: the request ran and failed; the response that says so follows.
    NOT_RUN: the upstream did not run the request.
    OTHER_INCARNATION: the request did not run, because the process at the
        address is not the upstream that the request was meant for.
    INVALID: the response can't be from the upstream; the request may have run.
    """

    SUCCESS = "success"
    FAILURE = "failure"
    NOT_RUN = "not_run"
    OTHER_INCARNATION = "other_incarnation"
    INVALID = "invalid"


@dataclasses.dataclass(slots=True, frozen=True)
class ResponseHead:
    """The head of an upstream's response.

    Attributes:
        outcome: Classification of the response.
        status: HTTP status.
        headers: Headers to forward to the caller.
        leaving: Whether the upstream announces that it is shutting down.
        retry_after: Seconds for which the upstream asks this router to send
            no further requests; None if it doesn't.
        scale: How long work takes at the upstream at this moment, relative to
            the usual time; None if it doesn't tell, or not readably.
    """

    outcome: ResponseOutcome
    status: int
    headers: tuple[tuple[str, str], ...]
    leaving: bool = False
    retry_after: float | None = None
    scale: float | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Dialect:
    """Translation between HTTP messages and the router's types.

    Attributes:
        read_request: Parses a caller's HTTP request; a failure holds the reason
            as text.
        read_request_id: Returns the id of a caller's request, for logs.
        write_headers: Builds the headers of the request to an upstream. The
            last argument is the id of the last event that the caller has
            received, or empty.
        is_matching_response: Returns whether a response with these headers
            belongs to this caller's request.
        read_response_head: Parses the head of a response.
    """

    read_request: Callable[
        [transport.IncomingCall],
        result.Result[state_module.IncomingRequest, str],
    ]
    read_request_id: Callable[[transport.IncomingCall], str]
    write_headers: Callable[
        [transport.IncomingCall, effects.SendRequest, str],
        tuple[tuple[str, str], ...],
    ]
    is_matching_response: Callable[
        [transport.IncomingCall, dict[str, str]], bool
    ]
    read_response_head: Callable[[int, list[tuple[str, str]]], ResponseHead]
