"""Poller and listening server whose costs don't grow with connections.

circuits keeps the sockets of its poller and of its TCP server in lists and
searches the lists on each event, several times for a request. With 3,000 idle
connections that took about 0.6 ms of the 1.5 ms of a request on a new
connection (`python -m benchmarks.connections`).
"""

__all__ = ["ConnectionPoller", "OrderedSet", "create_server"]

from collections.abc import Callable, Hashable, Iterable, Iterator
import select
import socket

from circuits.core import pollers
from circuits.net import sockets

from sycamorefall import settings


class OrderedSet:
    """An ordered set with the methods of a list that circuits calls.

    Looking up and removing a member takes constant time. Appending a member
    that the set already contains changes nothing.
    """

    __slots__ = ("_members",)

    def __init__(self, members: Iterable[Hashable] = ()):
        self._members = dict.fromkeys(members)

    def append(self, member: Hashable) -> None:
        """Adds a member at the end, unless the set already contains it."""
        self._members[member] = None

    def remove(self, member: Hashable) -> None:
        """Removes a member.

        Raises:
            ValueError: The set doesn't contain it; a list raises the same.
        """
        try:
            del self._members[member]
        except KeyError:
            raise ValueError(f"{member!r} is no member") from None

    def __contains__(self, member: Hashable) -> bool:
        return member in self._members

    def __iter__(self) -> Iterator[Hashable]:
        return iter(self._members)

    def __len__(self) -> int:
        return len(self._members)

    def __getitem__(self, index: slice) -> list[Hashable]:
        return list(self._members)[index]


class ConnectionPoller(pollers.EPoll):
    """Poller of circuits with a constant cost per operation.

    Changing the events for which a socket is polled takes one system call.
    circuits makes two, and one that fails for a socket that is discarded.
    """

    def __init__(self):
        self._masks: dict[int | socket.socket, tuple[int, int]] = {}
        self._read_callbacks: dict[
            socket.socket, Callable[[socket.socket], None]
        ] = {}
        super().__init__()
        self._read = OrderedSet(self._read)
        self._write = OrderedSet(self._write)

    def set_read_callback(
        self, sock: socket.socket, callback: Callable[[socket.socket], None]
    ) -> None:
        """Sets a function to be called when a socket is readable.

        The call replaces an event of circuits. Each piece of each stream
        arrives this way, and events took a tenth of the processor time of a
        piece.

        Args:
            sock: A socket that is polled for input; the callback stays set
                until the socket is discarded.
            callback: Called with the socket, in the pass of the loop in which
                the socket is readable.
        """
        self._read_callbacks[sock] = callback

    def dispatch_ready(self, ready: Iterable[tuple[int, int]]) -> None:
        """Calls the handlers of the sockets that a poll reported as ready.

        Guards against a handler that closes another socket whose file
        descriptor is then used by a new socket: the reported event doesn't
        belong to the new one.

        Args:
            ready: File descriptors and their event masks.
        """
        found = [
            (self._map.get(number), number, mask) for number, mask in ready
        ]
        for fd, number, mask in found:
            if fd is None or self._map.get(number) is not fd:
                continue
            callback = self._read_callbacks.get(fd)
            if callback is not None and mask & select.EPOLLIN:
                callback(fd)
                mask &= select.EPOLLOUT
                if not mask or self._map.get(number) is not fd:
                    continue
            self._process(number, mask)

    def _updateRegistration(self, fd: int | socket.socket) -> None:  # noqa: N802
        """Updates the events for which the kernel polls a socket or pipe."""
        number = fd if isinstance(fd, int) else fd.fileno()
        known, mask = self._masks.get(fd, (number, 0))
        wanted = 0
        # The kernel drops a closed socket, whose descriptor another may have.
        if number >= 0:
            wanted |= select.EPOLLIN if fd in self._read else 0
            wanted |= select.EPOLLOUT if fd in self._write else 0
        if wanted:
            self._map[number] = fd
            self._masks[fd] = (number, wanted)
        else:
            self._forget(fd, known)
        if number < 0 or wanted == mask:
            return
        if not wanted:
            self._poller.unregister(number)
        elif mask:
            self._poller.modify(number, wanted)
        else:
            self._poller.register(number, wanted)

    def _forget(self, fd: int | socket.socket, number: int) -> None:
        pollers.BasePoller.discard(self, fd)
        self._masks.pop(fd, None)
        self._read_callbacks.pop(fd, None)
        if self._map.get(number) is fd:
            del self._map[number]

    def _process(self, fileno: int, event: int) -> None:
        fd = self._map.get(fileno)
        super()._process(fileno, event)
        if self._map.get(fileno) is not fd:
            # The connection failed and circuits has discarded the socket.
            self._masks.pop(fd, None)
            self._read_callbacks.pop(fd, None)


class _Server(sockets.TCPServer):
    """TCP server of circuits with a constant cost per connection event."""

    def __init__(self, pair: tuple[str, int], channel: str):
        super().__init__(pair, channel=channel)
        self._clients = OrderedSet()
        self._closeq = OrderedSet()

    def _close(self, sock: socket.socket) -> None:
        """Closes a connection at once.

        Guards against a memory leak: circuits never releases a connection in
        its close queue that is closed before its caller has received all data.
        Each caller that receives nothing would leave its socket in memory.
        """
        super()._close(sock)
        if sock in self._closeq:
            self._closeq.remove(sock)


def create_server(listen: settings.Address, channel: str) -> sockets.TCPServer:
    """Opens a listening socket.

    Args:
        listen: Address to listen at.
        channel: Channel of the server's events.

    Raises:
        OSError: The address can't be bound.
    """
    return _Server(listen.pair, channel)
