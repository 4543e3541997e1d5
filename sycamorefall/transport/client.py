"""HTTP requests to sidecars, upstreams and the platform, on the loop.

circuits' own client holds one connection and one answer, so this one keeps
a small pool of sockets on the loop's poller. `answers` tells a complete answer
from one that broke off.
"""

__all__ = [
    "Exchange",
    "HttpClient",
    "Listener",
    "OutgoingRequest",
    "Reachability",
    "SendStage",
]

from collections.abc import Callable
import dataclasses
import enum
import errno
import itertools
import socket

import circuits

from sycamorefall import settings
from sycamorefall.transport import poller as poller_module
from sycamorefall.transport import request_writer, response_reader

READ_SIZE = 1 << 16
"""Bytes read from a socket at once."""

CONNECT_TIMEOUT = 1.0
"""Seconds until a connection that is not made is given up."""

IDLE_PER_ADDRESS = 32
"""Idle connections that are kept to one address."""


IDLE_TIME = 4.0
"""Seconds that a connection is kept without a request; a typical server
closes one after 5, and a request sent as it does is lost without a trace."""

SWEEP_INTERVAL = 0.5
"""Seconds between two looks for connections that were kept long enough."""

IDLE_SHARE = 0.6
"""Part of the idle time that a server announces after which its connection
isn't used any more: the rest covers the way there and late timers."""


class SendStage(enum.Enum):
    """How far a request had come when its connection failed.

    NOT_SENT: no byte of it was sent, so the other side can't have seen it.
    SENT: at least part of it was sent.
    """

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


@dataclasses.dataclass(slots=True)
class _ReachabilityCheck:
    """A connection that is opened to check whether a process accepts it.

    Attributes:
        opened: When it was begun.
        failure: Error number if connecting failed immediately; else 0.
        on_result: Called with the result.
    """

    opened: float
    failure: int
    on_result: Callable[[Reachability], None]


@dataclasses.dataclass(slots=True, frozen=True)
class OutgoingRequest:
    """A request to be sent.

    Attributes:
        address: Where to.
        method: HTTP method.
        path: Path and query.
        headers: Headers, without host and length.
        body: The body.
        requires_new_connection: Whether to use a new connection. A kept one may
            be closed by
            the other side while the request is on its way, which leaves
            open whether it arrived.
        host: Host header; the address if empty.
        max_idle_connections: Idle connections to the address that may be kept
            after it, up to
            `IDLE_PER_ADDRESS`; None for so many.
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
    """What is called as an answer comes in.

    Attributes:
        on_head: With status and headers, names in lower case.
        on_data: With each piece of the body.
        on_end: Once the answer is known to be whole.
        on_failure: Instead of `on_end`, if the connection failed.
        on_sent: Called as a request begins to leave that had to wait for its
            connection.
        is_ours: Tells from an answer's headers whether it answers this
            request. One that doesn't is skipped whole, and the next answer
            on the connection is read: an upstream may send a second answer
            to an earlier request late, where the next one is expected.
    """

    on_head: Callable[[int, list[tuple[str, str]]], None]
    on_data: Callable[[bytes], None]
    on_end: Callable[[], None]
    on_failure: Callable[[SendStage], None]
    is_ours: Callable[[dict[str, str]], bool] | None = None
    on_sent: Callable[[], None] | None = None


class Exchange:
    """One request and its answer on a connection."""

    __slots__ = (
        "address",
        "connected",
        "idle_since",
        "keep_for",
        "listener",
        "opened",
        "paused",
        "reader",
        "request",
        "sent_any",
        "skipping",
        "socket",
        "unsent",
    )

    def __init__(self, address: settings.Address, listener: Listener):
        self.address = address
        self.listener: Listener | None = listener
        self.connected = False
        self.idle_since = 0.0
        self.keep_for = IDLE_TIME
        self.opened = 0.0
        self.reader = response_reader.AnswerReader()
        self.request: OutgoingRequest | None = None
        self.skipping = False
        self.paused = False
        self.sent_any = False
        self.socket: socket.socket | None = None
        self.unsent = bytearray()


class HttpClient(circuits.BaseComponent):
    """Sends requests over a pool of connections."""

    channel = "http-client"

    def __init__(
        self,
        poller: poller_module.ConnectionPoller,
        read_clock: Callable[[], float],
        connect_timeout: float = CONNECT_TIMEOUT,
    ):
        """Creates a client.

        Args:
            poller: The loop's poller.
            read_clock: Gives the time, in seconds.
            connect_timeout: Seconds until a connection that is not made is
                given up.
        """
        super().__init__()
        self._connect_timeout = connect_timeout
        self._poller = poller
        self._read_clock = read_clock
        self._by_socket: dict[socket.socket, Exchange] = {}
        self._idle: dict[settings.Address, list[Exchange]] = {}
        self._connecting: dict[socket.socket, Exchange] = {}
        self._checks: dict[socket.socket, _ReachabilityCheck] = {}
        self._swept_at = float("-inf")

    def send(self, request: OutgoingRequest, listener: Listener) -> Exchange:
        """Sends a request.

        Args:
            request: The request.
            listener: What is called as the answer comes in; never called
                before this method returns.

        Returns:
            A handle with which the request can be paused or aborted.
        """
        exchange = (
            None
            if request.requires_new_connection
            else self._reuse(request.address)
        )
        if exchange is not None:
            exchange.listener = listener
            exchange.sent_any = False
        else:
            exchange = self._open(request.address, listener)
        exchange.request = request
        exchange.skipping = False
        exchange.reader = response_reader.AnswerReader(request.method == "HEAD")
        exchange.unsent += request_writer.format_request(
            request.method,
            request.path,
            request.host or str(request.address),
            request.headers,
            request.body,
        )
        # A kept connection takes a request at once, as a rule; what it does
        # not take, and its failure, are seen as it becomes writable.
        if not exchange.connected or not _push_unsent(exchange):
            self._poller.addWriter(self, exchange.socket)
        return exchange

    def _reuse(self, address: settings.Address) -> Exchange | None:
        """Takes a kept connection on which nothing has come meanwhile.

        Guards against bytes beyond the last answer that the loop has not
        read yet: they would be taken for the answer to the next request. A
        connection closed meanwhile shows here too.
        """
        now = self._read_clock()
        while kept := self._idle.get(address):
            exchange = kept.pop()
            if now - exchange.idle_since < exchange.keep_for:
                try:
                    exchange.socket.recv(1, socket.MSG_PEEK)
                except BlockingIOError:
                    return exchange
                except OSError:
                    pass
            self._discard(exchange)
        return None

    def _open(self, address: settings.Address, listener: Listener) -> Exchange:
        exchange = Exchange(address, listener)
        exchange.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        exchange.socket.setblocking(False)
        exchange.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        exchange.opened = self._read_clock()
        self._by_socket[exchange.socket] = exchange
        self._connecting[exchange.socket] = exchange
        # A failure shows at once or as the socket becomes writable; either
        # way it is read there, so that the listener isn't called from here.
        exchange.socket.connect_ex(address.pair)
        return exchange

    def check_reachable(
        self,
        address: settings.Address,
        on_result: Callable[[Reachability], None],
    ) -> None:
        """Checks whether a process accepts connections, without sending data.

        Args:
            address: Where it listens.
            on_result: Called with the result, never before this method
                returns.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        failure = sock.connect_ex(address.pair)
        if failure == errno.EINPROGRESS:
            failure = 0
        self._checks[sock] = _ReachabilityCheck(
            self._read_clock(), failure, on_result
        )
        self._poller.addWriter(self, sock)

    def _complete_check(self, sock: socket.socket) -> None:
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        match self._checks[sock].failure or error:
            case 0:
                found = Reachability.ACCEPTED
            case errno.ECONNREFUSED:
                found = Reachability.REFUSED
            case _:
                found = Reachability.UNKNOWN
        self._end_check(sock, found)

    def _end_check(self, sock: socket.socket, found: Reachability) -> None:
        check = self._checks.pop(sock)
        self._poller.discard(sock)
        sock.close()
        check.on_result(found)

    def abort(self, exchange: Exchange) -> None:
        """Gives a request up; its listener is not called any more."""
        if exchange.listener is not None:
            exchange.listener = None
            self._discard(exchange)

    def pause(self, exchange: Exchange, paused: bool) -> None:
        """Stops or resumes reading an answer whose taker is slow."""
        if exchange.listener is None or exchange.paused == paused:
            return
        exchange.paused = paused
        if not exchange.connected:
            return
        if paused:
            self._poller.removeReader(exchange.socket)
        else:
            self._begin_reading(exchange)

    def find_next_due(self) -> float:
        """Tells when the oldest pending connection is to be given up."""
        oldest = (
            next(iter(pending.values()), None)
            for pending in (self._connecting, self._checks)
        )
        return min(
            (one.opened + self._connect_timeout for one in oldest if one),
            default=float("inf"),
        )

    def expire(self, now: float) -> None:
        """Gives up connections that are not made in time, or no more used.

        Guards against a partition that drops packets silently: without it
        a request would hang until the kernel gives up, after minutes.
        """
        late = [
            exchange
            for exchange in self._connecting.values()
            if now - exchange.opened >= self._connect_timeout
        ]
        for exchange in late:
            self._fail(exchange)
        unanswered = [
            sock
            for sock, check in self._checks.items()
            if now - check.opened >= self._connect_timeout
        ]
        for sock in unanswered:
            self._end_check(sock, Reachability.UNKNOWN)
        if now - self._swept_at >= SWEEP_INTERVAL:
            self._swept_at = now
            self._close_unused(now)

    def _close_unused(self, now: float) -> None:
        """Closes the connections that were kept long enough.

        Guards against places that are taken at the other side for nothing: it
        bears a number of connections from all processes together, and resets
        new ones beyond that, with the requests on them.
        """
        kept = itertools.chain.from_iterable(self._idle.values())
        unused = [one for one in kept if now - one.idle_since >= one.keep_for]
        for exchange in unused:
            self._discard(exchange)

    @circuits.handler("_write")
    def _on_write(self, sock: socket.socket) -> None:
        if sock in self._checks:
            self._complete_check(sock)
            return
        exchange = self._by_socket.get(sock)
        if exchange is None:
            return
        if not exchange.connected and not self._finish_connect(exchange):
            return
        self._flush(exchange)

    def _finish_connect(self, exchange: Exchange) -> bool:
        sock = exchange.socket
        if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self._fail(exchange)
            return False
        exchange.connected = True
        self._connecting.pop(sock, None)
        listener = exchange.listener
        if listener is not None and listener.on_sent is not None:
            listener.on_sent()
        if not exchange.paused:
            self._begin_reading(exchange)
        return True

    def _begin_reading(self, exchange: Exchange) -> None:
        self._poller.addReader(self, exchange.socket)
        self._poller.take_directly(exchange.socket, self._take_readable)

    def _flush(self, exchange: Exchange) -> None:
        sent_all = _push_unsent(exchange)
        if sent_all is None:
            self._fail(exchange)
        elif sent_all:
            self._poller.removeWriter(exchange.socket)

    def _take_readable(self, sock: socket.socket) -> None:
        exchange = self._by_socket.get(sock)
        if exchange is None:
            return
        try:
            data = sock.recv(READ_SIZE)
        except BlockingIOError:
            return
        except OSError as fault:
            if fault.errno != errno.EINTR:
                self._fail(exchange)
            return
        if exchange.listener is None:
            # A kept connection: the other side closed it, or broke protocol.
            self._discard(exchange)
            return
        self._parse(exchange, data)

    def _parse(self, exchange: Exchange, data: bytes) -> None:
        """Parses what one read gave and passes it on.

        The pieces of the body that came together go on together: each would
        cost the next hop a chunk, a system call and a parse of its own.
        """
        if not data:
            self._take_end_of_connection(exchange)
            return
        pieces: list[bytes] = []
        for event in exchange.reader.feed(data):
            if type(event) is bytes:
                if not exchange.skipping:
                    pieces.append(event)
                continue
            _deliver_data(exchange, pieces)
            self._deliver(exchange, event)
            if exchange.listener is None:
                return
        _deliver_data(exchange, pieces)
        if exchange.reader.is_broken:
            self._fail(exchange)

    def _take_end_of_connection(self, exchange: Exchange) -> None:
        if not exchange.reader.finish() or exchange.skipping:
            self._fail(exchange)
            return
        listener, exchange.listener = exchange.listener, None
        self._discard(exchange)
        listener.on_end()

    def _deliver(
        self,
        exchange: Exchange,
        event: response_reader.AnswerHead | response_reader.End,
    ) -> None:
        """Passes on an answer's head or its end."""
        listener = exchange.listener
        if listener is None:
            return
        if isinstance(event, response_reader.AnswerHead):
            exchange.keep_for = _read_keep_time(event.headers)
            is_ours = listener.is_ours
            if is_ours is None or is_ours(dict(event.headers)):
                listener.on_head(event.status, event.headers)
            else:
                exchange.skipping = True
        elif exchange.skipping:
            # As if it had not come: the next answer is expected.
            exchange.skipping = False
        else:
            exchange.listener = None
            self._keep_or_close(exchange)
            listener.on_end()

    def _keep_or_close(self, exchange: Exchange) -> None:
        reusable = (
            exchange.reader.keep_alive
            and not exchange.unsent
            # Guards against an upstream that sends more than it announced:
            # what is left would be taken for the answer to the next request
            # on this connection, and another caller would get it.
            and exchange.reader.is_between
        )
        kept = self._idle.setdefault(exchange.address, [])
        most = exchange.request.max_idle_connections
        if most is None or most > IDLE_PER_ADDRESS:
            most = IDLE_PER_ADDRESS
        # Requests that must have a new connection use none that is kept: what
        # they leave behind would pile up. One is kept for those that may be
        # repeated.
        most = (
            min(most, 1) if exchange.request.requires_new_connection else most
        )
        if reusable and len(kept) < most:
            exchange.idle_since = self._read_clock()
            kept.append(exchange)
        else:
            self._discard(exchange)

    @circuits.handler("_disconnect")
    def _on_disconnect(self, sock: socket.socket) -> None:
        if sock in self._checks:
            self._complete_check(sock)
            return
        exchange = self._by_socket.get(sock)
        if exchange is not None:
            self._fail(exchange)

    def _fail(self, exchange: Exchange) -> None:
        listener = exchange.listener
        exchange.listener = None
        self._discard(exchange)
        if listener is not None:
            stage = SendStage.SENT if exchange.sent_any else SendStage.NOT_SENT
            listener.on_failure(stage)

    def _discard(self, exchange: Exchange) -> None:
        sock = exchange.socket
        if self._by_socket.pop(sock, None) is None:
            return
        self._connecting.pop(sock, None)
        kept = self._idle.get(exchange.address, [])
        if exchange in kept:
            kept.remove(exchange)
        self._poller.discard(sock)
        sock.close()


def _push_unsent(exchange: Exchange) -> bool | None:
    """Sends what the socket takes; tells whether that was all.

    Returns:
        True or False, or None if the connection failed.
    """
    try:
        sent = exchange.socket.send(exchange.unsent)
    except BlockingIOError:
        return False
    except OSError:
        return None
    exchange.sent_any = exchange.sent_any or sent > 0
    del exchange.unsent[:sent]
    return not exchange.unsent


def _deliver_data(exchange: Exchange, pieces: list[bytes]) -> None:
    if pieces and exchange.listener is not None:
        exchange.listener.on_data(b"".join(pieces))
    pieces.clear()


def _read_keep_time(headers: list[tuple[str, str]]) -> float:
    """Reads for how long a connection may stay idle, in seconds."""
    values = [value for name, value in headers if name == "keep-alive"]
    parts = itertools.chain.from_iterable(value.split(",") for value in values)
    times = [
        float(value)
        for name, _, value in (part.strip().partition("=") for part in parts)
        if name.lower() == "timeout" and value.isdecimal()
    ]
    return min([IDLE_TIME, *(IDLE_SHARE * seconds for seconds in times)])
