"""Poller and listening server whose costs don't grow with connections.

circuits keeps the sockets of its poller and of its TCP server in lists and
looks through them on each event, several times for a request. Beside 3,000
idle connections that was about 0.6 ms of the 1.5 ms of a request on a new
connection (`python -m benchmarks.connections`).
"""

__all__ = ["ConnectionPoller", "Members", "create_server"]

from collections.abc import Callable, Hashable, Iterable, Iterator
import select
import socket

from circuits.core import pollers
from circuits.net import sockets

from sycamorefall import settings


class Members:
    """An ordered set with those methods of a list that circuits calls.

    A member is found and removed in the same time however many there are;
    appending one that is there already changes nothing.
    """

    __slots__ = ("_members",)

    def __init__(self, members: Iterable[Hashable] = ()):
        self._members = dict.fromkeys(members)

    def append(self, member: Hashable) -> None:
        """Adds a member at the end, unless it is one."""
        self._members[member] = None

    def remove(self, member: Hashable) -> None:
        """Removes a member.

        Raises:
            ValueError: It isn't one; a list would raise the same.
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
    """circuits' poller, at a cost that is the same for any number of sockets.

    A change of what a socket is polled for is one system call; circuits makes
    two, and for a socket that is forgotten one that fails.
    """

    def __init__(self):
        self._masks: dict[int | socket.socket, tuple[int, int]] = {}
        self._takers: dict[socket.socket, Callable[[socket.socket], None]] = {}
        super().__init__()
        self._read = Members(self._read)
        self._write = Members(self._write)

    def take_directly(
        self, sock: socket.socket, take: Callable[[socket.socket], None]
    ) -> None:
        """Has a function called when there is something to read on a socket.

        In place of an event: as each piece of each stream comes in this way,
        events were a tenth of what a piece costs.

        Args:
            sock: A socket that is polled for input; until it is forgotten.
            take: Called with the socket, in the turn in which it is polled.
        """
        self._takers[sock] = take

    def pass_on(self, ready: Iterable[tuple[int, int]]) -> None:
        """Passes on what a poll found.

        Guards against a socket that another one's input closes, and whose
        number a new socket gets: what was found is not of the new one.

        Args:
            ready: Numbers of sockets or pipes, and what can be done with each.
        """
        found = [
            (self._map.get(number), number, mask) for number, mask in ready
        ]
        for fd, number, mask in found:
            if fd is None or self._map.get(number) is not fd:
                continue
            take = self._takers.get(fd)
            if take is not None and mask & select.EPOLLIN:
                take(fd)
                mask &= select.EPOLLOUT
                if not mask or self._map.get(number) is not fd:
                    continue
            self._process(number, mask)

    def _updateRegistration(self, fd: int | socket.socket) -> None:  # noqa: N802
        """Tells the kernel what a socket or pipe is polled for now."""
        number = fd if isinstance(fd, int) else fd.fileno()
        known, mask = self._masks.get(fd, (number, 0))
        wanted = 0
        # The kernel forgets a closed socket, whose number another may have.
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
        self._takers.pop(fd, None)
        if self._map.get(number) is fd:
            del self._map[number]

    def _process(self, fileno: int, event: int) -> None:
        fd = self._map.get(fileno)
        super()._process(fileno, event)
        if self._map.get(fileno) is not fd:
            # Its connection failed, and circuits has forgotten it.
            self._masks.pop(fd, None)
            self._takers.pop(fd, None)


class _Server(sockets.TCPServer):
    """circuits' server, at a cost that is the same for any connections."""

    def __init__(self, pair: tuple[str, int], channel: str):
        super().__init__(pair, channel=channel)
        self._clients = Members()
        self._closeq = Members()

    def _close(self, sock: socket.socket) -> None:
        """Closes a connection at once.

        Guards against a leak: circuits keeps a connection that waits to be
        closed for good if it is closed before its caller has taken all. Each
        caller that takes nothing would leave its socket in memory.
        """
        super()._close(sock)
        if sock in self._closeq:
            self._closeq.remove(sock)


def create_server(listen: settings.Address, channel: str) -> sockets.TCPServer:
    """Opens a listening socket.

    Args:
        listen: Address to listen at.
        channel: Channel of its events.

    Raises:
        OSError: The address can't be bound.
    """
    return _Server(listen.pair, channel)
