"""Time limits of many connections, free of I/O."""

__all__ = ["Deadlines"]

from collections.abc import Iterator
import itertools
import socket


class Deadlines:
    """Sockets in the order in which the same time limit ends for them.

    The limit is the same for all, so whoever starts later ends later, and
    the next one to end is found at once.

    Attributes:
        limit: The time limit, in seconds.
    """

    __slots__ = ("_dues", "limit")

    def __init__(self, limit: float):
        self.limit = limit
        self._dues: dict[socket.socket, float] = {}

    def start(self, sock: socket.socket, now: float) -> None:
        """Starts the limit for a socket, unless it runs already."""
        self._dues.setdefault(sock, now + self.limit)

    def stop(self, sock: socket.socket) -> None:
        """Ends the limit for a socket."""
        self._dues.pop(sock, None)

    def has(self, sock: socket.socket) -> bool:
        """Tells whether the limit runs for a socket."""
        return sock in self._dues

    def __iter__(self) -> Iterator[socket.socket]:
        """Goes over the sockets, the one whose limit ends next first."""
        return iter(self._dues)

    def find_next(self) -> float:
        """Returns when the limit ends next for a socket."""
        return next(iter(self._dues.values()), float("inf"))

    def find_first(self) -> socket.socket | None:
        """Returns the socket for which the limit ends next."""
        return next(iter(self._dues), None)

    def pop_expired(self, now: float) -> list[socket.socket]:
        """Takes out the sockets whose limit is over."""
        late = itertools.takewhile(
            lambda item: item[1] <= now, self._dues.items()
        )
        expired = [sock for sock, _ in late]
        for sock in expired:
            del self._dues[sock]
        return expired
