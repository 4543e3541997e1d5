"""Requests to other processes, and the connections that carry them."""

__all__ = [
    "MAX_IDLE_TIME",
    "Exchange",
    "Listener",
    "OutgoingRequest",
    "Reachability",
    "SendStage",
]

from collections.abc import Callable
import dataclasses
import enum
import socket

from sycamorefall import settings
from sycamorefall.transport import response_reader

MAX_IDLE_TIME = 4.0
"""Seconds that an idle connection is kept. A typical server closes one after 5
s, and a request sent at that moment is lost without a trace."""


class SendStage(enum.Enum):
    """How much of a request had been sent when its connection failed.

    NOT_OPENED: This process could not open a connection, for want of a
        descriptor or of memory. Nothing was sent, and nothing is known about
        the server.
    NOT_SENT: No byte of it was sent, so the server can't have received it.
    SENT: At least part of it was sent.
    """

    NOT_OPENED = "not_opened"
    NOT_SENT = "not_sent"
    SENT = "sent"


class Reachability(enum.Enum):
    """Whether a process accepts connections.

    ACCEPTED: A connection was established.
    REFUSED: The VM refused the connection: no process listens there.
    UNKNOWN: Neither; the VM may be down or unreachable.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclasses.dataclass(slots=True, frozen=True)
class OutgoingRequest:
    """A request to send.

    Attributes:
        address: Address of the server.
        method: HTTP method.
        path: Path and query.
        headers: Headers without `Host` and `Content-Length`.
        body: The body.
        requires_new_connection: Whether to use a new connection. The server may
            close a kept connection while the request is in transit; whether the
            request arrived is unknown then.
        host: `Host` header; the address if empty.
        max_idle_connections: Maximum number of idle connections to the address
            that may be kept after the request, at most `MAX_IDLE_PER_ADDRESS`;
            None for `MAX_IDLE_PER_ADDRESS`.
    """

    address: settings.Address
    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    requires_new_connection: bool = False
    host: str = ""
    max_idle_connections: int | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Listener:
    """Callbacks for the response to a request.

    Attributes:
        on_head: Called with status and headers; names are in lower case.
        on_data: Called with each piece of the body.
        on_end: Called when the response is complete.
        on_failure: Called instead of `on_end` if the connection failed.
        on_sent: Called when a request that had to wait for its connection
            starts being sent.
        is_matching_response: Returns whether a response belongs to this
            request, given the response's headers. One that doesn't is skipped,
            and the next response on the connection is read: an upstream may
            send a second response to an earlier request late, before the
            response to this one.
    """

    on_head: Callable[[int, list[tuple[str, str]]], None]
    on_data: Callable[[bytes], None]
    on_end: Callable[[], None]
    on_failure: Callable[[SendStage], None]
    is_matching_response: Callable[[dict[str, str]], bool] | None = None
    on_sent: Callable[[], None] | None = None


class Exchange:
    """A connection, and the request and response in progress on it.

    Attributes:
        address: Address of the server.
        connected: Whether the connection is established.
        ended_at_close: Whether the last response had neither a length nor
            chunks and ended with the connection.
        idle_since: Earliest time at which the last response may have been
            complete.
        max_idle_time: Seconds that the connection may be idle.
        listener: Callbacks of the request in progress; None without one.
        connect_started_at: Time at which the attempt to connect started.
        paused: Whether reading the response is paused.
        reader: Parser of the responses.
        request: The last request.
        sent_any: Whether a byte of the last request was sent.
        skipped_bytes: Body bytes of responses that belong to other requests
            and came ahead of the response.
        skipping: Whether the response being read belongs to another request.
        socket: The socket; None if none could be opened.
        unsent: Bytes of the request that were not sent yet.
    """

    __slots__ = (
        "address",
        "connected",
        "ended_at_close",
        "idle_since",
        "max_idle_time",
        "listener",
        "connect_started_at",
        "paused",
        "reader",
        "request",
        "sent_any",
        "skipped_bytes",
        "skipping",
        "socket",
        "unsent",
    )

    def __init__(self, address: settings.Address, listener: Listener):
        self.address = address
        self.listener: Listener | None = listener
        self.connected = False
        self.ended_at_close = False
        self.idle_since = 0.0
        self.max_idle_time = MAX_IDLE_TIME
        self.connect_started_at = 0.0
        self.reader = response_reader.ResponseReader()
        self.request: OutgoingRequest | None = None
        self.skipped_bytes = 0
        self.skipping = False
        self.paused = False
        self.sent_any = False
        self.socket: socket.socket | None = None
        self.unsent = bytearray()
