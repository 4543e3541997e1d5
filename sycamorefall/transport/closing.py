"""Records why callers' connections are closed, and what was on them."""

__all__ = [
    "CloseReason",
    "Closings",
    "ConnectionState",
    "classify",
    "classify_call",
    "count_closings",
]

import collections
from collections.abc import Callable, Iterable
import enum
import socket
from typing import TYPE_CHECKING

from sycamorefall import observation
from sycamorefall.transport import incoming_call as incoming_call_module
from sycamorefall.transport import socket_peek

if TYPE_CHECKING:
    from sycamorefall.transport import connections as connections_module


class CloseReason(enum.Enum):
    """Why a connection is closed.

    Attributes:
        ANSWERED: Its last response, which announced the close, was sent.
        REFUSED: Its request was refused before it was complete.
        REQUEST_TIMEOUT: The same, as the request took too long to arrive.
        IDLE_LIMIT: It had no request for the idle timeout.
        EVICTED: It had no request, and another connection needed its place.
        STOP: It had no request as the process ended listening.
        PROCESS_END: It had no request as the process was about to end.
        EXCESS_LIMIT: It was one too many, and sent no request in time or did
            not receive its refusal.
        SEND_LIMIT: Its caller did not receive the end of a response in time.
        TOO_MANY_BYTES: Its caller sent too much after its request.
        RESPONSE_ABORTED: The response could not be completed.
        CALLER_LEFT: Its caller closed it.
        READ_ERROR: Reading from it failed, as after a reset by its caller.
        CONNECTION_FAILED: Writing to it failed, or the kernel reported it as
            failed.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    REQUEST_TIMEOUT = "request_timeout"
    IDLE_LIMIT = "idle_limit"
    EVICTED = "evicted"
    STOP = "stop"
    PROCESS_END = "process_end"
    EXCESS_LIMIT = "excess_limit"
    SEND_LIMIT = "send_limit"
    TOO_MANY_BYTES = "too_many_bytes"
    RESPONSE_ABORTED = "response_aborted"
    CALLER_LEFT = "caller_left"
    READ_ERROR = "read_error"
    CONNECTION_FAILED = "connection_failed"


class ConnectionState(enum.Enum):
    """What is on a connection.

    Attributes:
        IDLE: No request.
        UNREAD: A request, or bytes of one, that was not parsed.
        PARTIAL: A request of which only a part was read.
        WAITING: A request whose response has not begun.
        BEGUN: A request whose response has begun and is not complete.
        UNSENT: A complete response of which some bytes are not sent.
        ANSWERED: A complete response that announced the close.
    """

    IDLE = "idle"
    UNREAD = "unread"
    PARTIAL = "partial"
    WAITING = "waiting"
    BEGUN = "begun"
    UNSENT = "unsent"
    ANSWERED = "answered"


_COMPLETE_STATES = frozenset({ConnectionState.IDLE, ConnectionState.ANSWERED})
"""States in which no caller waits for anything."""

_CALLER_REASONS = frozenset(
    {
        CloseReason.CALLER_LEFT,
        CloseReason.READ_ERROR,
        CloseReason.CONNECTION_FAILED,
        CloseReason.TOO_MANY_BYTES,
    }
)
"""Reasons that callers bring about, as many at once as they like."""


class Closings:
    """Counts closed connections, and logs those that had a request.

    Attributes:
        channel: Channel of the server whose connections these are.
        counts: Number of closed connections by the values of their
            `CloseReason` and `ConnectionState`.
        read_request_id: Returns the id that a caller gave its request, or an
            empty text.
    """

    __slots__ = ("channel", "counts", "read_request_id")

    def __init__(self, channel: str):
        self.channel = channel
        self.counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.read_request_id: Callable[
            [incoming_call_module.IncomingCall], str
        ] = lambda call: ""

    def record(
        self,
        now: float,
        connection: "connections_module.Connection",
        reason: CloseReason,
        state: ConnectionState,
        call: incoming_call_module.IncomingCall | None = None,
    ) -> None:
        """Records that a connection is closed, unless that was recorded.

        Args:
            now: Current time of the server's clock.
            connection: The connection; changed.
            reason: Why it is closed.
            state: What is on it.
            call: The request on it, if it was parsed and its response is not
                complete.
        """
        if connection.close_recorded:
            return
        connection.close_recorded = True
        self.counts[reason.value, state.value] += 1
        if state in _COMPLETE_STATES:
            return
        level, write = observation.Level.WARNING, observation.write_record
        if reason in _CALLER_REASONS:
            level = observation.Level.INFO
            write = observation.write_rate_limited
        age = None
        if state is not ConnectionState.UNREAD:
            age = round(now - connection.request_at, 3)
        write(
            level,
            "connection.closed",
            channel=self.channel,
            reason=reason.value,
            state=state.value,
            age=age,
            request_id=self.read_request_id(call) if call else "",
        )


def classify(
    connection: "connections_module.Connection",
    sock: socket.socket,
    is_partial: bool,
    unsent: int,
) -> ConnectionState:
    """Returns what is on a connection.

    Args:
        connection: The connection.
        sock: Its socket.
        is_partial: Whether a part of a request was read.
        unsent: Number of bytes in its send buffer.
    """
    call = connection.call
    if call is not None and not call.ended:
        return classify_call(call)
    if unsent:
        return ConnectionState.UNSENT
    if connection.refused or call is not None:
        return ConnectionState.ANSWERED
    if is_partial:
        return ConnectionState.PARTIAL
    if socket_peek.has_unread(sock):
        return ConnectionState.UNREAD
    return ConnectionState.IDLE


def classify_call(
    call: incoming_call_module.IncomingCall,
) -> ConnectionState:
    """Returns the state of a connection whose response is not complete."""
    if call.response_started:
        return ConnectionState.BEGUN
    return ConnectionState.WAITING


def count_closings(
    known: Iterable[Closings],
) -> dict[tuple[str, str, str], int]:
    """Counts closed connections by channel, reason and state.

    Args:
        known: Closings of the servers of a process.
    """
    return {
        (closings.channel, *key): number
        for closings in known
        for key, number in closings.counts.items()
    }
