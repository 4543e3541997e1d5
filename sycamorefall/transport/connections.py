"""Callers' connections: what is known of each, and how many are accepted."""

__all__ = ["EXCESS_RETRY_AFTER", "Acceptor", "Connection", "set_close"]

from collections.abc import Callable, Iterable, Mapping
import contextlib
import itertools
import math
import socket
import struct

from circuits.net import sockets

from sycamorefall import observation, settings
from sycamorefall.transport import (
    client,
    closing,
    deadlines,
    request_reader,
)
from sycamorefall.transport import incoming_call as incoming_call_module

EXCESS_TIME = 1.0
"""Seconds that a caller too many may take to send its request and to receive
its refusal: some round trips, and short, as these connections are few."""

EXCESS_RETRY_AFTER = 1.0
"""Retry-After of such a refusal, in seconds, at a server that sheds nothing."""

MAX_EXCESS = 16
"""Number of connections that are accepted beyond the limit only to refuse a
request on each: enough for 16 refusals in each round trip to a caller."""

ACCEPT_PAUSE = 0.05
"""Maximum seconds without accepting while there is no descriptor for another
connection. The listening socket stays readable, so the loop would spin without
a pause."""

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which the kernel resets a connection that is closed,
also when its process is killed."""

_CLOSE_IN_ORDER = struct.pack("ii", 0, 0)
"""Value of SO_LINGER with which the kernel sends what is left, then the end."""


class Acceptor:
    """Accepts connections, some of them only to refuse a request on each.

    Guards against a crowd that takes the descriptors which the requests of
    other callers need, and against callers too many whose connections are
    closed without a word: they can't tell that another router has room.

    Attributes:
        fresh_time: Seconds after its acceptance for which a connection isn't
            closed as idle. Its first request is on its way, and a caller that
            finds a new connection closed can't tell whether it ran.
        max_connections: Number of connections that are served.
        max_excess: Number of further connections. Callers beyond these wait in
            the kernel for one of them to close.
        excess_timeouts: Time limits of these connections.
        refused: Requests refused on them since the start.
        exhausted: Times that the kernel had no descriptor for a connection.
        on_exhausted: Called at each of them.
    """

    __slots__ = (
        "_read_clock",
        "_resumes_at",
        "_server",
        "excess_timeouts",
        "exhausted",
        "fresh_time",
        "max_connections",
        "max_excess",
        "on_exhausted",
        "refused",
    )

    def __init__(
        self,
        server: sockets.TCPServer,
        max_connections: int,
        read_clock: Callable[[], float],
    ):
        self._server = server
        self._read_clock = read_clock
        self._resumes_at: float | None = None
        self.max_connections = max_connections
        self.max_excess = MAX_EXCESS
        self.fresh_time = 0.0
        self.excess_timeouts = deadlines.Deadlines(EXCESS_TIME)
        self.refused = 0
        self.exhausted = 0
        self.on_exhausted: Callable[[], None] = lambda: None

    def is_full(self, open_count: int) -> bool:
        """Returns whether as many connections are served as may be.

        Args:
            open_count: Number of all open connections.
        """
        served = open_count - len(self.excess_timeouts)
        return served >= self.max_connections

    def list_evictable(
        self,
        idle: Iterable[socket.socket],
        connections: Mapping[socket.socket, "Connection"],
    ) -> list[socket.socket]:
        """Lists idle connections that may be closed for another one.

        Args:
            idle: The idle connections, longest idle first.
            connections: All connections.

        Returns:
            Those that came to be idle before the first new one did.
        """
        oldest = self._read_clock() - self.fresh_time
        return list(
            itertools.takewhile(
                lambda sock: connections[sock].accepted_at <= oldest, idle
            )
        )

    def may_refuse(self) -> bool:
        """Returns whether a connection may be accepted to be refused."""
        return len(self.excess_timeouts) < self.max_excess

    def accept(self) -> socket.socket | None:
        """Accepts a connection that the kernel has made.

        Returns:
            The connection; None if there is none, or no descriptor for it.
        """
        try:
            return self._server._sock.accept()[0]
        except BlockingIOError:
            return None
        except OSError as error:
            if error.errno in client.LOCAL_ERRORS:
                self.exhausted += 1
                self.on_exhausted()
                self.pause()
            return None

    def pause(self) -> None:
        """Leaves new callers to the kernel for `ACCEPT_PAUSE`."""
        if self._server._sock is not None and self._resumes_at is None:
            self._server._poller.removeReader(self._server._sock)
            self._resumes_at = self._read_clock() + ACCEPT_PAUSE

    def hurry(self) -> None:
        """Ends a pause soon, since a connection was closed."""
        if self._resumes_at is not None:
            self._resumes_at = float("-inf")

    def find_next_due(self) -> float:
        """Returns when `resume` or a time limit is due; infinity if never."""
        due = self.excess_timeouts.get_next_expiry()
        return due if self._resumes_at is None else min(due, self._resumes_at)

    def resume(self, now: float) -> None:
        """Accepts connections again if the pause is over."""
        if self._resumes_at is None or now < self._resumes_at:
            return
        self._resumes_at = None
        if self._server._sock is not None:
            self._server._poller.addReader(self._server, self._server._sock)

    def record_refusal(self, open_count: int) -> None:
        """Counts and logs the refusal of a caller too many."""
        self.refused += 1
        observation.write_rate_limited(
            observation.Level.WARNING,
            "connections.refused",
            refused=self.refused,
            open=open_count,
            limit=self.max_connections,
            exhausted=self.exhausted,
        )


class Connection:
    """A caller's connection.

    Attributes:
        accepted_at: Time at which it was accepted.
        arrived_after: Time after which it was made.
        reader: Parser of its requests.
        call: The request in progress, if there is one.
        refused: Whether no further request is accepted, as after a refusal;
            bytes that are read are discarded.
        drained_bytes: Number of bytes discarded since then.
        excess: Whether the connection is one too many, so that its first
            request is refused.
        shutdown_after_send: Whether the sending side is shut down when all
            bytes were sent.
        close_after_send: Whether the connection is closed in order when all
            bytes were sent.
        resets_on_close: Whether closing the connection resets it.
        request_at: Time at which the first bytes of its request were read.
        reads_input: Whether input is read as it arrives.
        awaits_drain: Whether its next request waits until the answers before
            it are sent.
        unsent_since: Time from which on bytes have been unsent; None if none
            are.
        pushed: Bytes that were written since then.
        close_reason: Why no further request is accepted; None while one is.
        close_recorded: Whether it was recorded why the connection is closed.
    """

    __slots__ = (
        "accepted_at",
        "arrived_after",
        "awaits_drain",
        "call",
        "close_after_send",
        "close_reason",
        "close_recorded",
        "drained_bytes",
        "excess",
        "pushed",
        "reader",
        "reads_input",
        "refused",
        "request_at",
        "resets_on_close",
        "shutdown_after_send",
        "unsent_since",
    )

    def __init__(
        self,
        limits: settings.LimitSettings,
        now: float,
        arrived_after: float = math.inf,
    ):
        self.accepted_at = now
        self.arrived_after = arrived_after
        self.reader = request_reader.RequestReader(limits)
        self.call: incoming_call_module.IncomingCall | None = None
        self.refused = False
        self.drained_bytes = 0
        self.excess = False
        self.shutdown_after_send = False
        self.close_after_send = False
        self.resets_on_close = False
        self.request_at = now
        self.reads_input = True
        self.awaits_drain = False
        self.unsent_since: float | None = None
        self.pushed = 0
        self.close_reason: closing.CloseReason | None = None
        self.close_recorded = False


def set_close(sock: socket.socket, resets: bool) -> None:
    """Sets whether closing a connection resets it or closes it in order."""
    value = _RESET_ON_CLOSE if resets else _CLOSE_IN_ORDER
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)
