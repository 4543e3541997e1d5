"""HTTP server of a process: bounded, answering later.

h11 reads the requests, circuits.web shapes the answers; an answer is given
whenever it is known, whole or piece by piece.
"""

__all__ = ["HttpServer"]

from collections.abc import Callable
import contextlib
import socket

import circuits

from sycamorefall import errors, observation, settings
from sycamorefall.transport import (
    deadlines,
    loop,
    poller,
    request_reader,
    response_output,
    socket_peek,
)
from sycamorefall.transport import incoming_call as incoming_call_module
from sycamorefall.transport import shedding as shedding_module

DRAIN_LIMIT = 1 << 24
"""Bytes of a refused request that are read and thrown away."""

READ_SIZE = 1 << 16
"""Bytes read from a connection at once."""

ACCEPTS_AT_ONCE = 64
"""Connections taken before other events of the loop get their turn."""

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class _resume(circuits.Event):  # noqa: N801 (circuits' own convention)
    """Turns a connection to its next request."""


class _Connection:
    """A caller's connection.

    Attributes:
        reader: Reads its requests.
        call: The request in progress, if there is one.
        refused: Whether its last request was refused: no more is read.
        drained: Bytes thrown away since.
        written: Whether nothing more is written to it.
    """

    __slots__ = ("call", "drained", "reader", "refused", "written")

    def __init__(self, limits: settings.LimitSettings):
        self.reader = request_reader.RequestReader(limits)
        self.call: incoming_call_module.IncomingCall | None = None
        self.refused = False
        self.drained = 0
        self.written = False


class HttpServer(circuits.BaseComponent):
    """Listens for HTTP and hands each request to a function.

    Connections are read here, not by circuits' server: it passes bytes on as
    an event of its own, and between the two they are neither in the kernel nor
    with the connection. Before the server closes a connection of its own
    accord or judges a time limit, it reads what has arrived.

    Guards against callers that send slowly or not at all, and against those
    that never take their answer: each would hold a connection for ever, and
    enough of them would keep all others out. A request has a time limit from
    its first byte, a connection without a request one, and so has one that
    is being closed.

    Attributes:
        stopping: Whether connections close after their next answer.
        last_request_at: When the last request was taken.
        shed: Requests refused unread.
    """

    channel = "web"
    secure = False
    display_banner = False

    def __init__(
        self,
        listen: settings.Address,
        limits: settings.LimitSettings,
        on_call: Callable[[incoming_call_module.IncomingCall], None],
        channel: str = "web",
        read_clock: Callable[[], float] = loop.read_clock,
        on_dropped: Callable[[incoming_call_module.IncomingCall], None]
        | None = None,
        shedding: shedding_module.Shedding | None = None,
    ):
        """Opens the listening socket.

        Args:
            listen: Address to listen at.
            limits: Bounds on sizes, times and connections.
            on_call: Called with each request.
            channel: Channel of its events, one for each server.
            read_clock: The clock of the time limits.
            on_dropped: Called with each request that is not begun, as its
                caller has left.
            shedding: When requests are refused unread; None for never.

        Raises:
            errors.AddressInUse: The address can't be bound.
        """
        super().__init__(channel=channel)
        self._limits = limits
        self._on_call = on_call
        self._read_clock = read_clock
        self._on_dropped = on_dropped
        self._shedding = shedding
        self._turn = shedding_module.Turn()
        self.shed = 0
        self._connections: dict[socket.socket, _Connection] = {}
        self.stopping = False
        self.last_request_at = float("-inf")
        self._listened_at: tuple[str, int] | None = None
        self._reading = deadlines.Deadlines(limits.header_timeout)
        self._idle = deadlines.Deadlines(limits.idle_timeout)
        self._closing = deadlines.Deadlines(limits.header_timeout)
        try:
            self.server = poller.create_server(listen, channel)
        except OSError as fault:
            raise errors.AddressInUse(f"{listen}: {fault}") from fault
        self.server.register(self)

    @property
    def host(self) -> str | None:
        """IP number listened at, also after listening has ended."""
        return self._listened_at[0] if self._listened_at else self.server.host

    @property
    def port(self) -> int | None:
        """Port listened at, also after listening has ended."""
        return self._listened_at[1] if self._listened_at else self.server.port

    @property
    def listening(self) -> bool:
        """Whether new connections are taken."""
        return self.server._sock is not None

    def find_next_due(self) -> float:
        """Tells when a time limit ends next."""
        limits = (self._reading, self._idle, self._closing)
        return min(limit.find_next() for limit in limits)

    def expire(self, now: float) -> None:
        """Refuses or closes the connections whose time limit is over."""
        for sock in self._reading.pop_expired(now):
            self._read_arrived(sock)
            if self._is_waiting(sock):
                self._refuse(sock, errors.ErrorKind.REQUEST_TIMEOUT)
        for sock in self._idle.pop_expired(now):
            self._close_idle(sock)
        for sock in self._closing.pop_expired(now):
            # Not by a `close` event: it waits for the caller to take what is
            # still unsent, which is what this caller doesn't do.
            self._close(sock)

    def push(self, sock: socket.socket, data: bytes) -> None:
        """Sends bytes on a connection."""
        response_output.push_bytes(self.server, sock, data)

    def announce_stop(self) -> None:
        """Closes each connection after its next answer.

        Callers that hold idle ones may still send a request on them, until
        `begin_stop`.
        """
        self.stopping = True

    def begin_stop(self) -> None:
        """Closes idle connections, and all others after their answer.

        What has not been sent whole yet is still taken and answered; a
        caller that still takes its answer isn't idle.
        """
        self.stopping = True
        closed = unread = 0
        for sock, connection in list(self._connections.items()):
            if connection.call is not None:
                connection.call.close_after()
            elif self._idle.has(sock) and not self.count_unsent(sock):
                self._close_idle(sock)
                closed += sock not in self._connections
                unread += sock in self._connections
        if closed or unread:
            observation.write_record(
                observation.Level.INFO,
                "connections.closed",
                closed=closed,
                unread=unread,
                open=len(self._connections),
            )

    def read_pending_input(self) -> None:
        """Takes all connections and requests that have arrived.

        Whoever asks when the last request came calls this first: the loop
        may be late.
        """
        while self.listening and self._accept_some():
            pass
        for sock in list(self._connections):
            self._read_arrived(sock)

    def end_listening(self) -> None:
        """Takes no more connections, but for those already made.

        Guards against callers whose connection the kernel has made and
        nobody accepted: they would be reset with their request under way.
        """
        listening = self.server._sock
        if listening is None:
            return
        taken = sum(iter(self._accept_some, 0))
        self._listened_at = (self.server.host, self.server.port)
        self.server._poller.discard(listening)
        self.server._sock = None
        listening.close()
        observation.write_record(
            observation.Level.INFO, "listening.ended", taken=taken
        )

    @circuits.handler("_read", priority=2)
    def _on_readable(self, event, sock) -> None:
        event.stop()
        shedding_module.note_time(self._turn, self._read_clock())
        if sock is self.server._sock:
            self._accept_some()
        elif sock in self._connections:
            self._read_once(sock)

    def _accept_some(self) -> int:
        """Takes connections that the kernel has made; returns how many.

        circuits takes one in each turn of the loop. With a crowd of callers
        at a small VM, the rest waited in the kernel until their deadlines.
        """
        for taken in range(ACCEPTS_AT_ONCE):
            try:
                sock, _ = self.server._sock.accept()
            except OSError:
                return taken
            self._take_connection(sock)
        return ACCEPTS_AT_ONCE

    def _take_connection(self, sock: socket.socket) -> None:
        if not self._make_room():
            sock.close()
            return
        self.server._on_accept_done(sock, fire_connect_event=False)
        self._connections[sock] = _Connection(self._limits)
        self._idle.start(sock, self._read_clock())

    def _make_room(self) -> bool:
        """Closes connections that have been idle longest, if there is no room.

        Those whose answer is on its way come last.

        Returns:
            Whether there is room for another one.
        """
        while len(self._connections) >= self._limits.max_connections:
            sent = (one for one in self._idle if not self.count_unsent(one))
            spare = next(sent, self._idle.find_first())
            if spare is None:
                return False
            self._close_idle(spare)
        return True

    def is_drained(self) -> bool:
        """Tells whether no request and no answer is under way."""
        return not any(
            connection.call is not None
            or self._reading.has(sock)
            or self.count_unsent(sock)
            or (not connection.refused and socket_peek.has_unread(sock))
            for sock, connection in self._connections.items()
        )

    def finish(self, call: incoming_call_module.IncomingCall) -> None:
        """Turns a call's connection to what comes after its answer."""
        connection = self._connections.get(call.sock)
        if connection is not None and connection.call is call:
            # By an event: one packet may hold very many small requests, and
            # each would be handled inside the last one's answer.
            self.fire(_resume(call), self.channel)

    def break_off(self, call: incoming_call_module.IncomingCall) -> None:
        """Closes a call's connection after what was written to it."""
        connection = self._connections.get(call.sock)
        if connection is not None:
            connection.call = None
            connection.refused = True
            self._close_gently(call.sock)

    def count_unsent(self, sock: socket.socket) -> int:
        """Counts bytes that wait in a connection's send buffer."""
        return response_output.count_unsent(self.server, sock)

    def _read_once(self, sock: socket.socket) -> bool:
        """Reads what has arrived on a connection, up to `READ_SIZE` bytes.

        Returns:
            Whether there was anything, and more may follow.
        """
        try:
            data = sock.recv(READ_SIZE)
        except BlockingIOError:
            return False
        except OSError:
            self._close(sock)
            return False
        if data:
            self._take_bytes(sock, data)
        else:
            self._take_end(sock)
        return bool(data)

    def _take_end(self, sock: socket.socket) -> None:
        """Takes note that a caller has closed its side.

        It has left, unless its whole answer is on the way. The end stays
        readable: without a stop to reading, the loop would turn for nothing.
        """
        connection = self._connections[sock]
        is_whole = connection.call is None or connection.call.ended
        if not is_whole or not self.count_unsent(sock):
            self._close(sock)
            return
        connection.call = None
        connection.refused = True
        self._idle.stop(sock)
        self._closing.start(sock, self._read_clock())
        self.server._poller.removeReader(sock)
        self.server.close(sock)

    def _read_arrived(self, sock: socket.socket) -> None:
        """Reads all that has arrived, before a connection is judged.

        Guards against a loop that is late, or a VM that was frozen: requests
        lie in the kernel, and a connection looks idle or slow that isn't. It
        showed as connections closed with a whole request on them.
        """
        while self._is_waiting(sock) and self._read_once(sock):
            pass

    def _is_waiting(self, sock: socket.socket) -> bool:
        """Tells whether a connection is open and no request on it is whole."""
        connection = self._connections.get(sock)
        return (
            connection is not None
            and connection.call is None
            and not connection.refused
        )

    def _close_idle(self, sock: socket.socket) -> None:
        """Closes an idle connection, unless bytes of a request have arrived."""
        self._idle.stop(sock)
        self._read_arrived(sock)
        if self._is_waiting(sock) and not self._reading.has(sock):
            self._close(sock)

    def _close(self, sock: socket.socket) -> None:
        """Closes a connection at once."""
        self.server._close(sock)
        self._forget(sock)

    def _take_bytes(self, sock: socket.socket, data: bytes) -> None:
        connection = self._connections[sock]
        if connection.refused:
            connection.drained += len(data)
            if connection.drained > DRAIN_LIMIT:
                self._close(sock)
            return
        is_new = connection.call is None and not self._reading.has(sock)
        if is_new and shedding_module.is_behind(self._shedding, self._turn):
            self._shed(sock)
            return
        if is_new and self._drop_unread(sock):
            return
        connection.reader.feed(data)
        most = self._limits.max_header_bytes + self._limits.max_body_bytes
        if connection.call is None:
            self._take_request(sock, connection)
        elif connection.reader.unread > most:
            self._close(sock)

    @circuits.handler("generate_events", channel="*", priority=2)
    def _on_turn(self, event) -> None:
        if self._turn.left > 1:
            observation.write_record(
                observation.Level.WARNING,
                "connections.left",
                left=self._turn.left,
            )
        self._turn = shedding_module.Turn()

    def _drop_unread(self, sock: socket.socket) -> bool:
        """Closes a connection whose caller has left, without parsing.

        Guards against a queue of callers that have left: a VM that fell
        behind parsed each of their requests before it found that out, and was
        late for the next ones too. The first one of a turn is parsed, so that
        the log has its id.
        """
        if not socket_peek.has_hung_up(sock):
            return False
        self._turn.left += 1
        if self._turn.left == 1:
            return False
        self._close(sock)
        return True

    def _shed(self, sock: socket.socket) -> None:
        self.shed += 1
        self.last_request_at = self._read_clock()
        self._idle.stop(sock)
        observation.write_rate_limited(
            observation.Level.WARNING,
            "requests.shed",
            shed=self.shed,
            open=len(self._connections),
        )
        kind = errors.ErrorKind.OVERLOADED
        self._refuse(sock, kind, self._shedding.pause)

    def _take_request(
        self, sock: socket.socket, connection: _Connection
    ) -> None:
        self._idle.stop(sock)
        taken = connection.reader.take()
        if isinstance(taken, errors.ErrorKind):
            self._refuse(sock, taken)
        elif taken is None:
            self._reading.start(sock, self._read_clock())
            if connection.reader.take_expectation():
                self.push(sock, _CONTINUE)
        else:
            self._reading.stop(sock)
            self._begin_call(sock, connection, taken)

    def _begin_call(
        self,
        sock: socket.socket,
        connection: _Connection,
        request: request_reader.InboundRequest,
    ) -> None:
        try:
            call = incoming_call_module.IncomingCall(self, sock, request)
        except OSError:
            self._close(sock)  # The caller has gone.
            return
        if socket_peek.has_hung_up(sock):
            if self._on_dropped is not None:
                self._on_dropped(call)
            self._close(sock)
            return
        connection.call = call
        self.last_request_at = self._read_clock()
        if self.stopping:
            call.close_after()
        try:
            self._on_call(call)
        except Exception:
            # The fault is reported by the loop; the caller must not wait for
            # an answer that nobody will give.
            call.fail(errors.ErrorKind.INTERNAL)
            raise

    @circuits.handler("_resume")
    def _on_resume(self, call: incoming_call_module.IncomingCall) -> None:
        connection = self._connections.get(call.sock)
        if connection is None or connection.call is not call:
            return
        connection.call = None
        now = self._read_clock()
        # A caller whose answer began before the stop wasn't told that its
        # connection closes, and may be sending its next request.
        if not call.keep_alive:
            connection.refused = True
            self._close_gently(call.sock)
        elif connection.reader.start_next():
            self._take_request(call.sock, connection)
        else:
            self._idle.start(call.sock, now)

    def _close_gently(self, sock: socket.socket) -> None:
        """Closes a connection once all that was written to it is taken."""
        self._closing.start(sock, self._read_clock())
        # Closed over unread bytes, it would be reset, and what of the answer
        # is still on its way lost.
        while sock in self._connections and self._read_once(sock):
            pass
        if sock in self._connections:
            self.server.close(sock)

    def _refuse(
        self,
        sock: socket.socket,
        kind: errors.ErrorKind,
        pause: float | None = None,
    ) -> None:
        """Answers before the request is whole, then reads on to the end.

        Closing at once would reset the connection under a caller that still
        sends, and it would never see why it was refused.
        """
        self._reading.stop(sock)
        self._closing.start(sock, self._read_clock())
        self._connections[sock].refused = True
        self.push(sock, response_output.frame_refusal(kind, pause))
        self._connections[sock].written = True
        self._on_written(sock)

    @circuits.handler("disconnect")
    def _on_disconnect(self, sock, *_) -> None:
        self._forget(sock)

    def _forget(self, sock: socket.socket) -> None:
        connection = self._connections.pop(sock, None)
        for limit in (self._reading, self._idle, self._closing):
            limit.stop(sock)
        if connection is not None and connection.call is not None:
            self._hang_up(connection.call)

    def _hang_up(self, call: incoming_call_module.IncomingCall) -> None:
        if call.ended:
            return
        call.ended = True
        if call.on_hangup is not None:
            call.on_hangup()

    @circuits.handler("_write", priority=-1)
    def _on_written(self, sock) -> None:
        connection = self._connections.get(sock)
        if connection is None or self.count_unsent(sock):
            return
        if connection.written:
            # The caller sees the end of the answer, and may still be sending.
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_WR)
        elif connection.call is not None and connection.call.on_drained:
            connection.call.on_drained()
