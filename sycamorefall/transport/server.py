"""HTTP server of a process, with limits on connections, sizes and times.

h11 parses the requests and circuits.web formats the responses. A request may be
responded to at any later time, at once or piece by piece.
"""

__all__ = ["HttpServer"]

from collections.abc import Callable
import contextlib
import math
import socket

import circuits

from sycamorefall import errors, observation, settings
from sycamorefall.transport import closing as closing_module
from sycamorefall.transport import connections as connections_module
from sycamorefall.transport import (
    deadlines,
    held_memory,
    input_turns,
    loop,
    poller,
    request_reader,
    response_output,
    socket_peek,
)
from sycamorefall.transport import incoming_call as incoming_call_module
from sycamorefall.transport import shedding as shedding_module

MAX_DRAINED_BYTES = 1 << 24
"""Maximum number of bytes of a refused request that are read and discarded."""

READ_SIZE = 1 << 16
"""Maximum number of bytes read from a connection at once."""

RECEIVE_BUFFER = 1 << 16
"""Size that is set for the kernel's buffer of a connection that isn't read. By
itself the kernel holds megabytes for a caller that sends fast."""

MAX_KERNEL_BYTES = 2 * RECEIVE_BUFFER
"""Bytes that it holds at most: it doubles the size that is set."""

MAX_UNREAD = READ_SIZE
"""Bytes behind a request in progress from which on no more are read."""

MAX_UNSENT = 1 << 16
"""Unsent bytes from which on the next request of a connection waits."""

MAX_ACCEPT_TIME = 0.05
"""Seconds for which connections are accepted before the loop handles other
events: half of the time of a pass in which requests are served, see
`Shedding.max_pass_time`."""

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class _resume(circuits.Event):  # noqa: N801 (circuits' own convention)
    """Starts the next request of a connection."""


class _relieve(circuits.Event):  # noqa: N801 (circuits' own convention)
    """Ends connections until what is held fits into the memory."""


class HttpServer(circuits.BaseComponent):
    """Listens for HTTP requests and passes each to a function.

    Connections are read here, not by the server of circuits, which passes bytes
    on as a separate event; until that event is handled, they are neither in the
    kernel nor in the connection's state. Before the server closes a connection
    on its own initiative or enforces a time limit, it reads what has arrived.

    Guards against callers that send slowly or not at all, and against those
    that never receive their response: each would hold a connection forever, and
    enough of them would exhaust the connection limit. Time limits apply to a
    request from its first byte, to a connection without a request, and to a
    connection that is being closed.

    Attributes:
        get_unread_since: Returns the time after which the input that is handled
            now arrived; infinity if that isn't known.
        stopping: Whether connections close after their next response.
        last_request_at: Time at which the last request was read or refused
            unread.
        shed: Number of requests refused unread.
        acceptor: Accepts connections, as many as there may be.
        listening_ends: Whether listening ends as soon as no connection waits
            in the kernel.
        closings: Counts and logs why connections are closed.
        memory: Memory that the connections of the process hold.
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
        memory: held_memory.HeldMemory | None = None,
    ):
        """Opens the listening socket.

        Args:
            listen: Address to listen at.
            limits: Limits on sizes, times and connections.
            on_call: Called with each request.
            channel: Channel of the server's events, different for each server.
            read_clock: Clock of the time limits.
            on_dropped: Called with each request that is not started because its
                caller has left.
            shedding: When requests are refused unread; None for never.
            memory: Memory that the servers of the process share; None if this
                is the only one.

        Raises:
            errors.AddressInUse: The address can't be bound.
        """
        super().__init__(channel=channel)
        self._limits = limits
        self._on_call = on_call
        self._read_clock = read_clock
        self._on_dropped = on_dropped
        self._shedding = shedding
        self._loop_pass = shedding_module.LoopPass()
        self.shed = 0
        self._connections: dict[
            socket.socket, connections_module.Connection
        ] = {}
        self.get_unread_since: Callable[[], float] = lambda: math.inf
        self.stopping = False
        self.listening_ends = False
        self._taken_last = 0
        self.last_request_at = float("-inf")
        self._listening_address: tuple[str, int] | None = None
        self._request_timeouts = deadlines.Deadlines(limits.header_timeout)
        self._idle_timeouts = deadlines.Deadlines(limits.idle_timeout)
        self._closing_timeouts = deadlines.Deadlines(limits.header_timeout)
        self._relief_due = math.inf
        try:
            self.server = poller.create_server(listen, channel)
        except OSError as error:
            raise errors.AddressInUse(f"{listen}: {error}") from error
        self.server._sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER
        )
        self.server.register(self)
        self.acceptor = connections_module.Acceptor(
            self.server, limits.max_connections, read_clock
        )
        self.closings = closing_module.Closings(channel)
        self.memory = memory or held_memory.HeldMemory()
        self.memory.add_holder(self._list_progress, self._end_slow)
        self._turns = input_turns.InputTurns(read_clock)

    @property
    def host(self) -> str | None:
        """IP address listened at, also after listening has ended."""
        return (
            self._listening_address[0]
            if self._listening_address
            else self.server.host
        )

    @property
    def port(self) -> int | None:
        """Port listened at, also after listening has ended."""
        return (
            self._listening_address[1]
            if self._listening_address
            else self.server.port
        )

    @property
    def open_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def listening(self) -> bool:
        """Whether new connections are accepted."""
        return self.server._sock is not None

    def find_next_due(self) -> float:
        """Returns when the next time limit expires."""
        limits = (
            self._request_timeouts,
            self._idle_timeouts,
            self._closing_timeouts,
        )
        return min(
            self._relief_due,
            self.acceptor.find_next_due(),
            *(limit.get_next_expiry() for limit in limits),
        )

    def expire(self, now: float) -> None:
        """Refuses or closes the connections whose time limit has expired."""
        if now >= self._relief_due:
            self._on_relieve()
        for sock in self._request_timeouts.pop_expired(now):
            self._read_available(sock)
            if self._awaits_request(sock):
                self._refuse(sock, errors.ErrorKind.REQUEST_TIMEOUT)
        for sock in self._idle_timeouts.pop_expired(now):
            self._close_idle(sock, closing_module.CloseReason.IDLE_LIMIT)
        for sock in self._closing_timeouts.pop_expired(now):
            # A `close` event would wait until the unsent bytes are sent, but
            # this caller receives nothing.
            self._close(sock, closing_module.CloseReason.SEND_LIMIT)
        for sock in self.acceptor.excess_timeouts.pop_expired(now):
            was_refused = not self._awaits_request(sock)
            self._read_available(sock)
            if was_refused or self._awaits_request(sock):
                self._close(sock, closing_module.CloseReason.EXCESS_LIMIT)
        self.acceptor.resume(now)

    def push(self, sock: socket.socket, data: bytes) -> None:
        """Sends bytes on a connection."""
        response_output.push_bytes(self.server, sock, data)
        connection = self._connections.get(sock)
        if connection is None or not self.count_unsent(sock):
            return
        if connection.unsent_since is None:
            connection.unsent_since = self._read_clock()
            connection.pushed = 0
        connection.pushed += len(data)
        self.memory.record(sock, self._count_memory(sock, connection))
        if self.memory.is_exceeded():
            # Not at once: the caller of this method may be about to write to
            # the connection that is ended.
            self.fire(_relieve(), self.channel)

    def announce_stop(self) -> None:
        """Makes each connection close after its next response.

        Idle connections stay open, and callers may still send a request on
        them, until `begin_stop`.
        """
        self.stopping = True

    def begin_stop(self) -> None:
        """Closes idle connections, and all others after their response.

        A request that was not received completely is still read and responded
        to. A connection with an unsent response isn't idle.
        """
        self.stopping = True
        for connection in self._connections.values():
            if connection.call is not None:
                connection.call.close_after_response()
        self._close_all_idle(
            [sock for sock in self._connections if self._is_idle(sock)],
            closing_module.CloseReason.STOP,
        )

    def end_input(self) -> bool:
        """Closes idle connections, as the process is about to end.

        Guards against a request that is read, and passed on, by a process that
        has decided to end.

        Returns:
            Whether no connection is left on which a request may arrive or is
            in progress. If not, the process has to go on.
        """
        self._close_all_idle(
            [
                sock
                for sock in self._connections
                if self._is_idle(sock) or self._is_excess(sock)
            ],
            closing_module.CloseReason.PROCESS_END,
        )
        return not self.listening and all(
            connection.call is None and connection.refused
            for connection in self._connections.values()
        )

    def read_pending_input(self) -> None:
        """Accepts all pending connections and reads all input that has arrived.

        The loop may be late, so `last_request_at` is up to date only after this
        call.
        """
        while self.listening and self._accept_pending():
            pass
        for sock in list(self._connections):
            self._read_available(sock)

    def end_listening(self, resets: bool = False) -> None:
        """Stops listening once the connections already established are taken.

        Guards against callers whose connections the kernel has made but the
        server has not accepted: these would be reset with their requests in
        transit. A server without room for them goes on listening; it is to be
        called again, until `listening` is false.

        Args:
            resets: Whether listening ends also if connections wait.
        """
        listening = self.server._sock
        if listening is None:
            return
        self._taken_last += sum(iter(self._accept_pending, 0))
        was_ending, self.listening_ends = self.listening_ends, True
        if socket_peek.has_pending(listening) and not resets:
            if not was_ending:
                observation.write_record(
                    observation.Level.INFO,
                    "listening.extended",
                    open=len(self._connections),
                )
            return
        self._listening_address = (self.server.host, self.server.port)
        self.server._poller.discard(listening)
        self.server._sock = None
        listening.close()
        observation.write_record(
            observation.Level.INFO, "listening.ended", taken=self._taken_last
        )

    @circuits.handler("_read", priority=2)
    def _on_readable(self, event, sock) -> None:
        event.stop()
        shedding_module.record_time(self._loop_pass, self._read_clock())
        if sock is self.server._sock:
            self._accept_pending()
        elif sock in self._connections:
            self._read_once(sock)

    def _accept_pending(self) -> int:
        """Accepts connections that the kernel has made; returns their number.

        Only a time limits their number. Connections that are left in the kernel
        form a queue that load shedding doesn't see: on an overloaded VM it grew
        until callers left at its end, and each request that was read was about
        to be given up.
        """
        accepted = 0
        until = self._read_clock() + MAX_ACCEPT_TIME
        while not accepted or self._read_clock() < until:
            if not self._may_accept():
                self.acceptor.pause()
                break
            sock = self.acceptor.accept()
            if sock is None:
                break
            self._add_connection(sock)
            accepted += 1
        return accepted

    def _may_accept(self) -> bool:
        """Returns whether a new connection could be served or refused."""
        return (
            not self.acceptor.is_full(len(self._connections))
            or self._find_idle() is not None
            or self.acceptor.may_refuse()
        )

    def _add_connection(self, sock: socket.socket) -> None:
        now = self._read_clock()
        connection = connections_module.Connection(
            self._limits, now, self.get_unread_since()
        )
        connection.excess = not self._ensure_capacity()
        timeouts = self._idle_timeouts
        if connection.excess:
            timeouts = self.acceptor.excess_timeouts
        self.server._on_accept_done(sock, fire_connect_event=False)
        self._connections[sock] = connection
        self.memory.callers += 1
        timeouts.start(sock, now)

    def _ensure_capacity(self) -> bool:
        """Closes idle connections while the server is at its limit.

        Returns:
            Whether another connection can be served.
        """
        while self.acceptor.is_full(len(self._connections)):
            if not self.close_one_idle():
                return False
        return True

    def close_one_idle(self) -> bool:
        """Closes the longest idle connection; returns whether there was one."""
        candidate = self._find_idle()
        if candidate is not None:
            self._close_idle(candidate, closing_module.CloseReason.EVICTED)
        return candidate is not None

    def _find_idle(self) -> socket.socket | None:
        """Finds the longest idle connection, with no unsent response if any."""
        known = self.acceptor.list_evictable(
            self._idle_timeouts, self._connections
        )
        sent = (one for one in known if not self.count_unsent(one))
        return next(sent, known[0] if known else None)

    def is_drained(self) -> bool:
        """Returns whether no request and no response is in progress."""
        return not any(
            connection.call is not None
            or self._request_timeouts.is_running(sock)
            or self.count_unsent(sock)
            or (not connection.refused and socket_peek.has_unread(sock))
            for sock, connection in self._connections.items()
        )

    def reset_unless_complete(self, sock: socket.socket) -> None:
        """Makes a connection end with a reset until its response is complete.

        Guards against a response without length and chunks that breaks off and
        looks complete, as the kernel closes the connections of a process that
        ends in order.
        """
        connection = self._connections.get(sock)
        if connection is not None:
            connection.resets_on_close = True
            connections_module.set_close(sock, resets=True)

    def finish_call(self, call: incoming_call_module.IncomingCall) -> None:
        """Schedules what follows a complete response on its connection."""
        connection = self._connections.get(call.sock)
        if connection is not None and connection.call is call:
            # An event avoids recursion: one packet may hold very many small
            # requests, and each would be handled inside the response to the one
            # before.
            self.fire(_resume(call), self.channel)

    def abort_response(self, call: incoming_call_module.IncomingCall) -> None:
        """Closes a call's connection inside its response.

        Bytes that were written are sent first, unless only a reset tells the
        caller that the response isn't complete.
        """
        connection = self._connections.get(call.sock)
        if connection is None:
            return
        self.closings.record(
            self._read_clock(),
            connection,
            closing_module.CloseReason.RESPONSE_ABORTED,
            closing_module.classify_call(call),
            call,
        )
        connection.call = None
        connection.refused = True
        if connection.resets_on_close:
            self._close(call.sock, closing_module.CloseReason.RESPONSE_ABORTED)
        else:
            self._close_after_sending(call.sock)

    def count_unsent(self, sock: socket.socket) -> int:
        """Counts the bytes in a connection's send buffer."""
        return response_output.count_unsent(self.server, sock)

    def _read_once(self, sock: socket.socket) -> bool:
        """Reads up to `READ_SIZE` bytes that have arrived on a connection.

        Returns:
            Whether bytes were read, so that more may follow.
        """
        if not self._connections[sock].reads_input:
            return False
        try:
            data = sock.recv(READ_SIZE)
        except BlockingIOError:
            return False
        except OSError:
            self._close(sock, closing_module.CloseReason.READ_ERROR)
            return False
        if data:
            self._handle_bytes(sock, data)
        else:
            self._handle_end_of_input(sock)
        return bool(data)

    def _handle_end_of_input(self, sock: socket.socket) -> None:
        """Handles that a caller has closed its side of the connection.

        The caller has left, unless its complete response is still being sent.
        The socket stays readable after the end of input: unless polling for
        input stops, the loop would run without pause.
        """
        connection = self._connections[sock]
        is_complete = connection.call is None or connection.call.ended
        if not is_complete or not self.count_unsent(sock):
            reason = connection.close_reason
            self._close(sock, reason or closing_module.CloseReason.CALLER_LEFT)
            return
        connection.call = None
        connection.awaits_drain = False
        connection.refused = True
        connection.close_reason = closing_module.CloseReason.ANSWERED
        self._idle_timeouts.stop(sock)
        self._closing_timeouts.start(sock, self._read_clock())
        self.server._poller.removeReader(sock)
        self._close_when_sent(sock)

    def _read_available(self, sock: socket.socket) -> None:
        """Reads all input of a connection before it is closed or timed out.

        Guards against a loop that is late, or a VM that was frozen: requests
        are unread in the kernel, and the connection looks idle or slow but
        isn't. This caused connections to be closed with a complete request on
        them.
        """
        while self._awaits_request(sock) and self._read_once(sock):
            pass

    def _awaits_request(self, sock: socket.socket) -> bool:
        """Returns whether a connection is open and has no complete request."""
        connection = self._connections.get(sock)
        return (
            connection is not None
            and connection.call is None
            and not connection.refused
        )

    def _is_idle(self, sock: socket.socket) -> bool:
        """Returns whether a connection has no request and no response."""
        return self._idle_timeouts.is_running(sock) and not self.count_unsent(
            sock
        )

    def _is_excess(self, sock: socket.socket) -> bool:
        """Returns whether a connection's first request will be refused."""
        return self.acceptor.excess_timeouts.is_running(
            sock
        ) and self._awaits_request(sock)

    def _close_all_idle(
        self, idle: list[socket.socket], reason: closing_module.CloseReason
    ) -> None:
        """Closes connections on which no request has arrived, and logs it."""
        for sock in idle:
            self._close_idle(sock, reason)
        if idle:
            unread = sum(sock in self._connections for sock in idle)
            observation.write_record(
                observation.Level.INFO,
                "connections.closed",
                closed=len(idle) - unread,
                unread=unread,
                open=len(self._connections),
            )

    def _close_idle(
        self, sock: socket.socket, reason: closing_module.CloseReason
    ) -> None:
        """Closes an idle connection, unless bytes of a request have arrived."""
        self._idle_timeouts.stop(sock)
        connection = self._connections.get(sock)
        if connection is not None and connection.awaits_drain:
            self._close(sock, reason)
            return
        self._read_available(sock)
        if self._awaits_request(sock) and not self._request_timeouts.is_running(
            sock
        ):
            self._close(sock, reason)

    def _close(
        self,
        sock: socket.socket,
        reason: closing_module.CloseReason,
        state: closing_module.ConnectionState | None = None,
    ) -> None:
        """Closes a connection at once.

        Args:
            sock: The connection's socket.
            reason: Why it is closed.
            state: What is on the connection; None if the server knows.
        """
        self._record_close(sock, reason, state)
        connection = self._connections.get(sock)
        if connection is not None and connection.resets_on_close:
            # circuits shuts a socket down before it closes it, which would
            # send an orderly end ahead of the reset.
            self.server._poller.discard(sock)
            sock.close()
        self.server._close(sock)
        self._forget(sock)

    def _record_close(
        self,
        sock: socket.socket,
        reason: closing_module.CloseReason,
        state: closing_module.ConnectionState | None = None,
    ) -> None:
        connection = self._connections.get(sock)
        if connection is None:
            return
        state = state or closing_module.classify(
            connection,
            sock,
            self._request_timeouts.is_running(sock),
            self.count_unsent(sock),
        )
        now = self._read_clock()
        self.closings.record(now, connection, reason, state, connection.call)

    def _handle_bytes(self, sock: socket.socket, data: bytes) -> None:
        connection = self._connections[sock]
        if connection.refused:
            connection.drained_bytes += len(data)
            if connection.drained_bytes > MAX_DRAINED_BYTES:
                self._close(sock, closing_module.CloseReason.TOO_MANY_BYTES)
            return
        is_new = (
            connection.call is None
            and not self._request_timeouts.is_running(sock)
        )
        if connection.excess:
            self.last_request_at = self._read_clock()
            self.acceptor.record_refusal(len(self._connections))
            retry_after = connections_module.EXCESS_RETRY_AFTER
            if self._shedding is not None:
                retry_after = self._shedding.retry_after
            self._refuse(sock, errors.ErrorKind.OVERLOADED, retry_after)
            return
        if is_new and self._drop_if_hung_up(sock):
            return
        if is_new and shedding_module.should_shed(
            self._shedding, self._loop_pass
        ):
            self._shed_request(sock)
            return
        arrived_after = self.get_unread_since()
        if arrived_after <= connection.accepted_at:
            # The poller has not watched the connection before.
            arrived_after = connection.arrived_after
        connection.reader.feed(data, arrived_after)
        if connection.call is not None:
            self._hold_unread(sock, connection)
        elif is_new and len(data) <= input_turns.MAX_SHORT_INPUT:
            self._handle_request(sock, connection, input_turns.MAX_FIRST_PARTS)
        elif self._turns.may_parse():
            self._turns.measure(lambda: self._handle_request(sock, connection))
        else:
            self._wait_for_turn(sock, connection)

    def _hold_unread(
        self, sock: socket.socket, connection: connections_module.Connection
    ) -> None:
        """Holds bytes behind a request in progress, and stops at too many.

        What is not read stays in the kernel, whose window then stops the
        caller.
        """
        max_bytes = self._limits.max_header_bytes + self._limits.max_body_bytes
        if connection.reader.unread >= MAX_UNREAD:
            self._set_reading(sock, connection, False)
        if connection.reader.unread > max_bytes or not self._reserve_memory(
            sock, connection
        ):
            self._close(sock, closing_module.CloseReason.TOO_MANY_BYTES)

    def _wait_for_turn(
        self, sock: socket.socket, connection: connections_module.Connection
    ) -> None:
        """Leaves the rest of a connection's input to its next turn."""
        self._start_request_timeout(sock, connection)
        self._set_reading(sock, connection, False)
        self._turns.add(sock)

    def _take_turn(self, sock: socket.socket) -> None:
        connection = self._connections.get(sock)
        if connection is not None and self._awaits_request(sock):
            self._handle_request(sock, connection)

    def _set_reading(
        self,
        sock: socket.socket,
        connection: connections_module.Connection,
        reads_input: bool,
    ) -> None:
        """Begins or ends reading the input of a connection."""
        if connection.reads_input == reads_input:
            return
        connection.reads_input = reads_input
        if reads_input:
            self.server._poller.addReader(self.server, sock)
        else:
            self.server._poller.removeReader(sock)

    def _start_request_timeout(
        self, sock: socket.socket, connection: connections_module.Connection
    ) -> None:
        self._idle_timeouts.stop(sock)
        if not self._request_timeouts.is_running(sock):
            connection.request_at = self._read_clock()
        self._request_timeouts.start(sock, self._read_clock())

    @circuits.handler("generate_events", channel="*", priority=2)
    def _on_generate_events(self, event) -> None:
        if self._loop_pass.hung_up_count > 1:
            observation.write_record(
                observation.Level.WARNING,
                "connections.left",
                left=self._loop_pass.hung_up_count,
            )
        self._loop_pass = shedding_module.LoopPass()
        if not self.root.has_unhandled_signal:
            # What is handled after a stop has begun is subject to its rules.
            self._turns.run(self._take_turn)
        if self._turns:
            event.reduce_time_left(0)

    def _drop_if_hung_up(self, sock: socket.socket) -> bool:
        """Closes a connection without parsing if its caller has left.

        Guards against a queue of requests whose callers have left: a VM that
        fell behind parsed each of them before it detected that its caller had
        left, and was then late for the next ones too. The first such request of
        a pass is parsed, so that its id is logged.

        Returns:
            Whether the connection was closed.
        """
        if not socket_peek.has_hung_up(sock):
            return False
        self._loop_pass.hung_up_count += 1
        if self._loop_pass.hung_up_count == 1:
            return False
        self._close(
            sock,
            closing_module.CloseReason.CALLER_LEFT,
            closing_module.ConnectionState.UNREAD,
        )
        return True

    def _shed_request(self, sock: socket.socket) -> None:
        self.shed += 1
        self.last_request_at = self._read_clock()
        self._idle_timeouts.stop(sock)
        observation.write_rate_limited(
            observation.Level.WARNING,
            "requests.shed",
            shed=self.shed,
            open=len(self._connections),
        )
        kind = errors.ErrorKind.OVERLOADED
        self._refuse(sock, kind, self._shedding.retry_after)

    def _handle_request(
        self,
        sock: socket.socket,
        connection: connections_module.Connection,
        max_parts: int = input_turns.MAX_TURN_PARTS,
    ) -> None:
        """Parses the input of a connection, and starts its request if complete.

        Args:
            sock: The connection's socket.
            connection: The connection.
            max_parts: Maximum number of parts of the request to parse now.
        """
        self._start_request_timeout(sock, connection)
        parsed = connection.reader.parse_request(max_parts)
        if isinstance(parsed, errors.ErrorKind):
            self._refuse(sock, parsed)
        elif not self._reserve_memory(sock, connection):
            self._refuse_for_memory(sock)
        elif parsed is not None:
            self._request_timeouts.stop(sock)
            self._set_reading(
                sock, connection, connection.reader.unread < MAX_UNREAD
            )
            self._start_call(sock, connection, parsed)
        elif connection.reader.has_unparsed:
            self._wait_for_turn(sock, connection)
        else:
            self._set_reading(sock, connection, True)
            if connection.reader.consume_expect_continue():
                self.push(sock, _CONTINUE)

    def _count_memory(
        self, sock: socket.socket, connection: connections_module.Connection
    ) -> int:
        """Counts the bytes of memory that a connection holds."""
        in_kernel = 0 if connection.reads_input else MAX_KERNEL_BYTES
        unsent = self.count_unsent(sock)
        return connection.reader.held_memory + unsent + in_kernel

    def _reserve_memory(
        self, sock: socket.socket, connection: connections_module.Connection
    ) -> bool:
        """Reserves memory for a connection's input; returns whether there is.

        Connections that make less progress are ended for it.
        """
        size = self._count_memory(sock, connection)
        while not self.memory.reserve(sock, size):
            if not self.memory.make_room(sock):
                return False
        return True

    def _list_progress(self) -> list[held_memory.Progress]:
        """Lists connections that hold memory for what their callers owe."""
        now = self._read_clock()
        listed = []
        for sock, connection in self._connections.items():
            if not self.memory.get_held(sock):
                continue
            if self._request_timeouts.is_running(sock):
                moved = connection.reader.received
                since = connection.request_at
            elif connection.unsent_since is not None:
                moved = connection.pushed - self.count_unsent(sock)
                since = connection.unsent_since
            else:
                continue
            listed.append(held_memory.Progress(sock, moved, now - since))
        return listed

    def _end_slow(self, sock: socket.socket) -> None:
        """Ends a connection whose caller sends or takes too slowly."""
        if self._request_timeouts.is_running(sock):
            self._refuse_for_memory(sock)
        else:
            self._close(sock, closing_module.CloseReason.SEND_LIMIT)

    @circuits.handler("_relieve")
    def _on_relieve(self) -> None:
        """Ends the slowest connections while too much is held.

        Those that are too new to be ended are looked at again later.
        """
        while self.memory.is_exceeded() and self.memory.make_room():
            pass
        self._relief_due = math.inf
        if self.memory.is_exceeded():
            self._relief_due = self._read_clock() + held_memory.MIN_AGE

    def _refuse_for_memory(self, sock: socket.socket) -> None:
        """Refuses a request for which there is no memory."""
        observation.write_rate_limited(
            observation.Level.WARNING,
            "bodies.refused",
            refused=self.memory.refused,
            held=self.memory.held,
            open=len(self._connections),
        )
        self.last_request_at = self._read_clock()
        retry_after = connections_module.EXCESS_RETRY_AFTER
        if self._shedding is not None:
            retry_after = self._shedding.retry_after
        self._refuse(sock, errors.ErrorKind.OVERLOADED, retry_after)

    def _start_call(
        self,
        sock: socket.socket,
        connection: connections_module.Connection,
        request: request_reader.InboundRequest,
    ) -> None:
        gone = closing_module.CloseReason.CALLER_LEFT
        waiting = closing_module.ConnectionState.WAITING
        try:
            call = incoming_call_module.IncomingCall(self, sock, request)
        except OSError:
            self._close(sock, gone, waiting)  # The caller closed it.
            return
        if socket_peek.has_hung_up(sock):
            if self._on_dropped is not None:
                self._on_dropped(call)
            self._close(sock, gone, waiting)
            return
        connection.call = call
        self.last_request_at = self._read_clock()
        if self.stopping:
            call.close_after_response()
        try:
            self._on_call(call)
        except Exception:
            # The loop reports the exception; the caller must not wait for a
            # response that will never come.
            call.fail(errors.ErrorKind.INTERNAL)
            raise

    @circuits.handler("_resume")
    def _on_resume(self, call: incoming_call_module.IncomingCall) -> None:
        connection = self._connections.get(call.sock)
        if connection is None or connection.call is not call:
            return
        if self.count_unsent(call.sock) > MAX_UNSENT and call.keep_alive:
            connection.awaits_drain = True
            self._record_memory(call.sock, connection)
            self._idle_timeouts.start(call.sock, self._read_clock())
            return
        self._end_call(call, connection)

    def _end_call(
        self,
        call: incoming_call_module.IncomingCall,
        connection: connections_module.Connection,
    ) -> None:
        """Frees a connection for its next request, or closes it."""
        connection.call = None
        # A caller whose response began before the stop wasn't told that its
        # connection closes, and may be sending its next request. A connection
        # that may be kept alive therefore stays open here.
        if not call.keep_alive:
            connection.refused = True
            connection.close_reason = closing_module.CloseReason.ANSWERED
            self._close_after_sending(call.sock)
        else:
            self._start_next(call.sock, connection)

    def _start_next(
        self, sock: socket.socket, connection: connections_module.Connection
    ) -> None:
        """Starts the next request of a connection, or waits for one."""
        if connection.reader.start_next():
            self._handle_request(sock, connection)
            return
        self._set_reading(sock, connection, True)
        self._record_memory(sock, connection)
        self._idle_timeouts.start(sock, self._read_clock())

    def _record_memory(
        self, sock: socket.socket, connection: connections_module.Connection
    ) -> None:
        """Records what a connection holds after it released some of it."""
        self.memory.record(sock, self._count_memory(sock, connection))

    def _close_after_sending(self, sock: socket.socket) -> None:
        """Closes a connection after all bytes written to it are sent."""
        self._closing_timeouts.start(sock, self._read_clock())
        self._discard_input(sock)
        # Closing with unread input would reset the connection, and response
        # bytes in transit would be lost.
        while sock in self._connections and self._read_once(sock):
            pass
        if sock in self._connections:
            self._close_when_sent(sock)

    def _close_when_sent(self, sock: socket.socket) -> None:
        """Closes a connection in order when its unsent bytes were sent."""
        connection = self._connections[sock]
        if connection.resets_on_close and self.count_unsent(sock):
            connection.close_after_send = True
            return
        if connection.resets_on_close:
            connection.resets_on_close = False
            connections_module.set_close(sock, resets=False)
        self.server.close(sock)

    def _discard_input(self, sock: socket.socket) -> None:
        """Releases the input of a connection that accepts no further request.

        What still arrives is read and discarded.
        """
        connection = self._connections[sock]
        self._turns.remove(sock)
        connection.reader.discard()
        self._set_reading(sock, connection, True)
        self._record_memory(sock, connection)

    def _refuse(
        self,
        sock: socket.socket,
        kind: errors.ErrorKind,
        retry_after: float | None = None,
    ) -> None:
        """Responds before the request is complete, then discards its rest.

        Closing at once would reset the connection of a caller that is still
        sending, and the caller would never receive the reason of the refusal.
        """
        self._request_timeouts.stop(sock)
        self._closing_timeouts.start(sock, self._read_clock())
        self._discard_input(sock)
        connection = self._connections[sock]
        connection.refused = True
        connection.close_reason = closing_module.CloseReason.REFUSED
        if kind is errors.ErrorKind.REQUEST_TIMEOUT:
            connection.close_reason = closing_module.CloseReason.REQUEST_TIMEOUT
        self.push(sock, response_output.frame_refusal(kind, retry_after))
        connection.shutdown_after_send = True
        self._on_written(sock)

    @circuits.handler("error")
    def _on_error(self, sock, *_) -> None:
        connection = self._connections.get(sock)
        if connection is not None:
            connection.close_reason = (
                closing_module.CloseReason.CONNECTION_FAILED
            )

    @circuits.handler("disconnect")
    def _on_disconnect(self, sock, *_) -> None:
        connection = self._connections.get(sock)
        if connection is not None:
            reason = connection.close_reason
            failed = closing_module.CloseReason.CONNECTION_FAILED
            self._record_close(sock, reason or failed)
        self._forget(sock)

    def _forget(self, sock: socket.socket) -> None:
        connection = self._connections.pop(sock, None)
        self.memory.callers -= connection is not None
        self.memory.release(sock)
        self._turns.remove(sock)
        self.acceptor.hurry()
        for limit in (
            self._request_timeouts,
            self._idle_timeouts,
            self._closing_timeouts,
            self.acceptor.excess_timeouts,
        ):
            limit.stop(sock)
        if connection is not None and connection.call is not None:
            self._report_hangup(connection.call)

    def _report_hangup(self, call: incoming_call_module.IncomingCall) -> None:
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
        if connection.unsent_since is not None:
            connection.unsent_since = None
            self._record_memory(sock, connection)
        if connection.awaits_drain:
            connection.awaits_drain = False
            self._idle_timeouts.stop(sock)
            self._end_call(connection.call, connection)
        elif connection.shutdown_after_send:
            # The caller sees the end of the response, and may still be sending.
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_WR)
        elif connection.close_after_send:
            self._close_when_sent(sock)
        elif connection.call is not None and connection.call.on_drained:
            connection.call.on_drained()
