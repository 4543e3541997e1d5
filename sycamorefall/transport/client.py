"""HTTP client for sidecars, upstreams and the platform, on the event loop.

The client of circuits handles one connection and one response, so this one
manages a small pool of sockets on the loop's poller. `response_reader` tells a
complete response from one that broke off.
"""

__all__ = ["HttpClient"]

from collections.abc import Callable
import contextlib
import dataclasses
import errno
import itertools
import math
import socket

import circuits

from sycamorefall import settings
from sycamorefall.transport import poller as poller_module
from sycamorefall.transport import request_writer, response_reader
from sycamorefall.transport.exchanges import (
    MAX_IDLE_TIME,
    Exchange,
    Listener,
    OutgoingRequest,
    Reachability,
    SendStage,
)

READ_SIZE = 1 << 16
"""Maximum number of bytes read from a socket at once."""

MAX_SKIPPED_BYTES = 1 << 22
"""Maximum number of body bytes of responses to other requests that are read
ahead of the response to a request."""

CONNECT_TIMEOUT = 1.0
"""Seconds until an attempt to connect is given up."""

MAX_IDLE_PER_ADDRESS = 32
"""Maximum number of idle connections kept to one address."""

SWEEP_INTERVAL = 0.5
"""Minimum seconds between two searches for idle connections to close."""

SERVER_TIMEOUT_SHARE = 0.6
"""Share of the idle timeout announced by a server after which its connection
isn't used any more. The rest covers the network latency and late timers."""

LOCAL_ERRORS = frozenset(
    {
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    }
)
"""Errors of connecting that tell of this VM, not of the server: no descriptor,
no port or no memory is left."""


@dataclasses.dataclass(slots=True)
class _ReachabilityCheck:
    """A connection attempt that checks whether a process accepts connections.

    Attributes:
        connect_started_at: Time at which the attempt started.
        failure: Error number if connecting failed immediately; else 0.
        on_result: Called with the result.
    """

    connect_started_at: float
    failure: int
    on_result: Callable[[Reachability], None]


class HttpClient(circuits.BaseComponent):
    """Sends requests over a pool of connections.

    Attributes:
        free_descriptor: Closes a connection of another part of the process that
            nobody needs now; returns whether there was one.
        max_connections: Number of open connections from which on idle ones are
            closed; None without a limit.
        unopened: Number of connections that could not be opened, for want of a
            descriptor, a port or memory.
    """

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
            read_clock: Returns the current time, in seconds.
            connect_timeout: Seconds until an attempt to connect is given up.
        """
        super().__init__()
        self._connect_timeout = connect_timeout
        self._poller = poller
        self._read_clock = read_clock
        self._by_socket: dict[socket.socket, Exchange] = {}
        self._idle: dict[settings.Address, list[Exchange]] = {}
        self._connecting: dict[socket.socket, Exchange] = {}
        self._checks: dict[socket.socket, _ReachabilityCheck] = {}
        self._failed: list[Callable[[], None]] = []
        self._last_swept_at = float("-inf")
        self.free_descriptor: Callable[[], bool] = lambda: False
        self.max_connections: int | None = None
        self.unopened = 0

    @property
    def open_count(self) -> int:
        """Number of open connections, idle ones included."""
        return len(self._by_socket) + len(self._checks)

    def send(self, request: OutgoingRequest, listener: Listener) -> Exchange:
        """Sends a request.

        Args:
            request: The request.
            listener: Callbacks for the response; never called before this
                method returns.

        Returns:
            A handle with which the request can be paused or aborted.
        """
        data = request_writer.format_request(
            request.method,
            request.path,
            request.host or str(request.address),
            request.headers,
            request.body,
        )
        exchange = (
            None
            if request.requires_new_connection
            else self._reuse_connection(request.address)
        )
        if exchange is not None:
            exchange.listener = listener
            exchange.sent_any = False
        else:
            exchange = self._open_connection(request.address, listener)
        exchange.request = request
        exchange.skipping = False
        exchange.skipped_bytes = 0
        exchange.reader = response_reader.ResponseReader(
            request.method == "HEAD"
        )
        exchange.unsent += data
        if exchange.socket is None:
            self._failed.append(lambda: self._fail(exchange))
            return exchange
        # A kept connection usually accepts a request at once. Bytes that it
        # doesn't accept, and its failure, are handled when it becomes writable.
        if not exchange.connected or not _push_unsent(exchange):
            try:
                self._poller.addWriter(self, exchange.socket)
            except OSError:
                if not exchange.sent_any:
                    self._discard(exchange)
                    exchange.socket = None
                self._failed.append(lambda: self._fail(exchange))
        return exchange

    def _reuse_connection(self, address: settings.Address) -> Exchange | None:
        """Returns a kept connection to an address without unread input.

        Guards against bytes after the last response that the loop has not read
        yet: they would be taken for the response to the next request. A
        connection that the server closed is detected here too.
        """
        now = self._read_clock()
        while kept := self._idle.get(address):
            exchange = kept.pop()
            if now - exchange.idle_since < exchange.max_idle_time:
                try:
                    exchange.socket.recv(1, socket.MSG_PEEK)
                except BlockingIOError:
                    return exchange
                except OSError:
                    pass
            self._discard(exchange)
        return None

    def _open_connection(
        self, address: settings.Address, listener: Listener
    ) -> Exchange:
        exchange = Exchange(address, listener)
        if (
            self.max_connections is not None
            and self.open_count >= self.max_connections
        ):
            self.close_one_idle()
        sock, error = self._connect(address)
        if sock is None or error in LOCAL_ERRORS:
            self.unopened += 1
            if sock is not None:
                sock.close()
            return exchange
        exchange.socket = sock
        exchange.connect_started_at = self._read_clock()
        self._by_socket[sock] = exchange
        self._connecting[sock] = exchange
        return exchange

    def _connect(
        self, address: settings.Address
    ) -> tuple[socket.socket | None, int]:
        """Opens a socket and starts to connect it.

        Without a free descriptor, an idle connection is closed and the socket
        opened in its place.

        Returns:
            The socket, None if there is none to be had, and the error number
            with which connecting failed at once. Any other failure is handled
            when the socket becomes writable, so that no callback is called
            before `send` returns.
        """
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError:
            if not self.close_one_idle() and not self.free_descriptor():
                return None, errno.EMFILE
            try:
                sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            except OSError:
                return None, errno.EMFILE
        sock.setblocking(False)
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock, sock.connect_ex(address.pair)

    def close_one_idle(self) -> bool:
        """Closes the longest idle connection; returns whether there was one."""
        oldest = min(
            (kept[0] for kept in self._idle.values() if kept),
            key=lambda one: one.idle_since,
            default=None,
        )
        if oldest is None:
            return False
        self._discard(oldest)
        return True

    def check_reachable(
        self,
        address: settings.Address,
        on_result: Callable[[Reachability], None],
    ) -> None:
        """Checks whether a process accepts connections, without sending data.

        Args:
            address: Address at which the process listens.
            on_result: Called with the result, never before this method returns.
        """
        sock, failure = self._connect(address)
        if sock is None:
            self.unopened += 1
            self._failed.append(lambda: on_result(Reachability.UNKNOWN))
            return
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
        """Aborts a request; its listener is not called any more."""
        if exchange.listener is not None:
            exchange.listener = None
            self._discard(exchange)

    def pause(self, exchange: Exchange, paused: bool) -> None:
        """Pauses or resumes reading a response whose receiver is slow."""
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
        """Returns when the oldest pending attempt to connect times out.

        It is in the past while a failure is to be reported.
        """
        if self._failed:
            return float("-inf")
        oldest = (
            next(iter(pending.values()), None)
            for pending in (self._connecting, self._checks)
        )
        return min(
            (
                one.connect_started_at + self._connect_timeout
                for one in oldest
                if one
            ),
            default=float("inf"),
        )

    def expire(self, now: float, read_until: float = math.inf) -> None:
        """Ends attempts to connect that timed out, and closes idle connections.

        Guards against a network partition that drops packets silently: without
        a timeout a request would wait for minutes until the kernel gives up.
        Idle connections are closed once their maximum idle time is over; they
        are checked every `SWEEP_INTERVAL` seconds.

        Requests whose connections could not be opened are reported here. Those
        that their listeners send now are reported in the next call, so a
        process without descriptors doesn't retry in a tight loop.

        Args:
            now: Current time, in seconds.
            read_until: Time up to which input was handled. Guards against a
                busy process that gives up connections which are established,
                since it has not looked at them yet.
        """
        waited_until = min(now, read_until)
        for _ in range(len(self._failed)):
            # Removed first: the others are reported although one raises.
            self._failed.pop(0)()
        overdue = [
            exchange
            for exchange in self._connecting.values()
            if waited_until - exchange.connect_started_at
            >= self._connect_timeout
        ]
        for exchange in overdue:
            self._fail(exchange)
        unanswered = [
            sock
            for sock, check in self._checks.items()
            if waited_until - check.connect_started_at >= self._connect_timeout
        ]
        for sock in unanswered:
            self._end_check(sock, Reachability.UNKNOWN)
        if now - self._last_swept_at >= SWEEP_INTERVAL:
            self._last_swept_at = now
            self._close_expired_idle(now)

    def _close_expired_idle(self, now: float) -> None:
        """Closes connections that have been idle for their maximum idle time.

        Guards against idle connections that count towards a server's connection
        limit: the server accepts a limited number of connections from all
        processes together, and resets new ones beyond that, with the requests
        on them.
        """
        kept = itertools.chain.from_iterable(self._idle.values())
        unused = [
            one for one in kept if now - one.idle_since >= one.max_idle_time
        ]
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
        self._poller.set_read_callback(exchange.socket, self._read_response)

    def _flush(self, exchange: Exchange) -> None:
        sent_all = _push_unsent(exchange)
        if sent_all is None:
            self._fail(exchange)
        elif sent_all:
            self._poller.removeWriter(exchange.socket)

    def _read_response(self, sock: socket.socket) -> None:
        exchange = self._by_socket.get(sock)
        if exchange is None:
            return
        try:
            data = sock.recv(READ_SIZE)
        except BlockingIOError:
            return
        except OSError as error:
            if error.errno != errno.EINTR:
                self._fail(exchange)
            return
        if exchange.listener is None:
            # An idle connection: the server closed it or violated the protocol.
            self._discard(exchange)
            return
        self._parse(exchange, data)

    def _parse(self, exchange: Exchange, data: bytes) -> None:
        """Parses the bytes of one read and passes the events to the listener.

        Pieces of the body that were read together are passed on as one: each
        piece would cost the next hop a chunk, a system call and a parse.
        """
        if not data:
            self._handle_connection_end(exchange)
            return
        pieces: list[bytes] = []
        for event in exchange.reader.feed(data):
            if type(event) is bytes:
                if exchange.skipping:
                    exchange.skipped_bytes += len(event)
                else:
                    pieces.append(event)
                continue
            _deliver_data(exchange, pieces)
            self._deliver(exchange, event)
            if exchange.listener is None:
                return
        _deliver_data(exchange, pieces)
        is_endless = exchange.skipped_bytes > MAX_SKIPPED_BYTES
        if exchange.reader.is_broken or is_endless:
            self._fail(exchange)

    def _handle_connection_end(self, exchange: Exchange) -> None:
        if not exchange.reader.completes_at_close() or exchange.skipping:
            self._fail(exchange)
            return
        listener, exchange.listener = exchange.listener, None
        exchange.ended_at_close = True
        self._discard(exchange)
        listener.on_end()

    def _deliver(
        self,
        exchange: Exchange,
        event: response_reader.ResponseHead | response_reader.End,
    ) -> None:
        """Passes a response's head or end to the listener."""
        listener = exchange.listener
        if listener is None:
            return
        if isinstance(event, response_reader.ResponseHead):
            exchange.max_idle_time = _parse_max_idle_time(event.headers)
            is_matching_response = listener.is_matching_response
            if is_matching_response is None or is_matching_response(
                dict(event.headers)
            ):
                listener.on_head(event.status, event.headers)
            else:
                exchange.skipping = True
        elif exchange.skipping:
            # The skipped response is ignored: the next one is expected.
            exchange.skipping = False
        else:
            exchange.listener = None
            self._keep_or_close(exchange)
            listener.on_end()

    def _keep_or_close(self, exchange: Exchange) -> None:
        reusable = (
            exchange.reader.keep_alive
            and not exchange.unsent
            # Guards against an upstream that sends more than it announced: the
            # rest would be taken for the response to the next request on this
            # connection, and another caller would receive it.
            and exchange.reader.is_at_boundary
        )
        kept = self._idle.setdefault(exchange.address, [])
        limit = exchange.request.max_idle_connections
        if limit is None or limit > MAX_IDLE_PER_ADDRESS:
            limit = MAX_IDLE_PER_ADDRESS
        # Requests that require a new connection never use a kept one, so the
        # connections that they leave would accumulate. One is kept for requests
        # that may be repeated.
        limit = (
            min(limit, 1) if exchange.request.requires_new_connection else limit
        )
        if reusable and len(kept) < limit and not self._is_full():
            # The server counts from when it sent the response.
            exchange.idle_since = min(
                self._read_clock(), self._poller.unread_since
            )
            kept.append(exchange)
        else:
            self._discard(exchange)

    def _is_full(self) -> bool:
        """Returns whether connections in use leave no room for idle ones."""
        limit = self.max_connections
        return limit is not None and self.open_count > limit

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
            if exchange.socket is None:
                stage = SendStage.NOT_OPENED
            elif exchange.sent_any:
                stage = SendStage.SENT
            else:
                stage = SendStage.NOT_SENT
            listener.on_failure(stage)

    def _discard(self, exchange: Exchange) -> None:
        sock = exchange.socket
        if sock is None or self._by_socket.pop(sock, None) is None:
            return
        self._connecting.pop(sock, None)
        kept = self._idle.get(exchange.address, [])
        if exchange in kept:
            kept.remove(exchange)
        self._poller.discard(sock)
        sock.close()


def _push_unsent(exchange: Exchange) -> bool | None:
    """Sends as many unsent bytes as the socket accepts.

    Returns:
        Whether all bytes were sent, or None if the connection failed.
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


def _parse_max_idle_time(headers: list[tuple[str, str]]) -> float:
    """Returns the maximum idle time of a connection by a response's headers."""
    values = [value for name, value in headers if name == "keep-alive"]
    parts = itertools.chain.from_iterable(value.split(",") for value in values)
    times = [
        float(value)
        for name, _, value in (part.strip().partition("=") for part in parts)
        if name.lower() == "timeout" and value.isdecimal()
    ]
    return min(
        [MAX_IDLE_TIME, *(SERVER_TIMEOUT_SHARE * seconds for seconds in times)]
    )
