"""Time limits of many connections; no I/O."""

__all__ = ["Deadlines"]

from collections.abc import Iterator
import socket


class Deadlines:
    """Sockets with one common time limit, in the order in which it expires.

    The limit is the same for all sockets, so a limit that starts later expires
    later, and the next one to expire is found in constant time.

    Attributes:
        limit: The time limit, in seconds.
    """

    __slots__ = ("_expiry_times", "limit")

    def __init__(self, limit: float):
        self.limit = limit
        self._expiry_times: dict[socket.socket, float] = {}

    def start(self, sock: socket.socket, now: float) -> None:
        """Starts the time limit of a socket, unless it is running already."""
        self._expiry_times.setdefault(sock, now + self.limit)

    def stop(self, sock: socket.socket) -> None:
        """Stops the time limit of a socket."""
        self._expiry_times.pop(sock, None)

    def is_running(self, sock: socket.socket) -> bool:
        """Returns whether the time limit of a socket is running."""
        return sock in self._expiry_times

    def __len__(self) -> int:
        """Returns the number of sockets whose time limit is running."""
        return len(self._expiry_times)

    def __iter__(self) -> Iterator[socket.socket]:
        """Iterates over the sockets in the order of expiry."""
        return iter(self._expiry_times)

    def get_next_expiry(self) -> float:
        """Returns the earliest expiry time; infinity without sockets."""
        return next(iter(self._expiry_times.values()), float("inf"))

    def get_first(self) -> socket.socket | None:
        """Returns the socket whose time limit expires next."""
        return next(iter(self._expiry_times), None)

    def pop_expired(self, now: float) -> Iterator[socket.socket]:
        """Removes and yields the sockets whose time limit has expired.

        Each is removed as it is yielded, so an exception while one is handled
        doesn't lose the time limits of the others.
        """
        while self.get_next_expiry() <= now:
            sock = self.get_first()
            del self._expiry_times[sock]
            yield sock
