"""Bound on the memory that a process holds for its callers; no I/O.

Guards against callers who together make the process hold more than the VM
grants: it would be killed, with all requests that it holds. What counts is
memory, not bytes of HTTP: parsed headers and copies of bodies, bytes behind a
request in progress, answers that aren't sent, and what the kernel holds for a
connection that isn't read.
"""

__all__ = ["MIN_AGE", "HeldMemory", "Progress", "choose_victim"]

from collections.abc import Callable, Hashable, Iterable
import dataclasses

COVERED = 32 << 10
"""Bytes of memory of a connection that count as part of its caller's: a head of
usual size and a small body."""

MIN_AGE = 1.0
"""Seconds for which a connection is not ended for others: the first bytes of a
body say nothing of its pace."""


@dataclasses.dataclass(slots=True, frozen=True)
class Progress:
    """How fast a caller sends its request or takes its answer.

    Attributes:
        key: The connection.
        moved: Bytes received of the request, or sent of the answers.
        age: Seconds since the first of them.
    """

    key: Hashable
    moved: int
    age: float


def choose_victim(candidates: Iterable[Progress]) -> Progress | None:
    """Chooses the connection to end so that others find room.

    Args:
        candidates: Connections that hold memory for what their callers haven't
            sent or taken completely.

    Returns:
        The one that makes least progress; None if all are new.

    Example:
        >>> choose_victim(
        ...     [
        ...         Progress("stalled", 100_000, 9.0),
        ...         Progress("steady", 900_000, 9.0),
        ...         Progress("new", 0, 0.1),
        ...     ]
        ... ).key
        'stalled'
    """
    old = [one for one in candidates if one.age >= MIN_AGE]
    return min(old, key=lambda one: one.moved / one.age, default=None)


class HeldMemory:
    """Memory held by connections beyond what is covered for each caller.

    The servers of a process share one.

    Attributes:
        max_memory: Bytes of memory for callers and what they send; 0 for no
            bound.
        caller_memory: Bytes of memory that a caller takes in any case.
        callers: Number of callers.
        held: Bytes that all connections hold beyond `COVERED` each.
        refused: Number of times that there was no room.
    """

    __slots__ = (
        "_holders",
        "_sizes",
        "caller_memory",
        "callers",
        "held",
        "max_memory",
        "refused",
    )

    def __init__(self, max_memory: float = 0.0, caller_memory: float = 0.0):
        self.max_memory = max_memory
        self.caller_memory = caller_memory
        self.callers = 0
        self.held = 0
        self.refused = 0
        self._sizes: dict[Hashable, int] = {}
        self._holders: list[
            tuple[Callable[[], Iterable[Progress]], Callable[[Hashable], None]]
        ] = []

    def add_holder(
        self,
        list_progress: Callable[[], Iterable[Progress]],
        end: Callable[[Hashable], None],
    ) -> None:
        """Adds a server whose connections may be ended to make room.

        Args:
            list_progress: Lists those that hold memory for what their callers
                haven't sent or taken completely.
            end: Ends one of them, which releases what it holds.
        """
        self._holders.append((list_progress, end))

    def make_room(self, key: Hashable = None) -> bool:
        """Ends the connection that makes least progress.

        Args:
            key: The connection that needs room; never ended here.

        Returns:
            Whether another connection was ended.
        """
        ends = {
            one: end
            for list_progress, end in self._holders
            for one in list_progress()
        }
        victim = choose_victim(ends)
        if victim is None or victim.key is key:
            return False
        ends[victim](victim.key)
        return True

    def reserve(self, key: Hashable, size: int) -> bool:
        """Sets what a connection holds, if there is room for it.

        A connection that is the only one to hold much is always accepted.

        Args:
            key: The connection.
            size: Bytes of memory that it holds.

        Returns:
            Whether there is room for it; if not, nothing is changed.

        Example:
            >>> memory = HeldMemory(100_000)
            >>> memory.reserve("a", 100_000), memory.reserve("b", 100_000)
            (True, False)
            >>> memory.release("a")
            >>> memory.reserve("b", 150_000)
            True
        """
        size = max(0, size - COVERED)
        before = self._sizes.get(key, 0)
        held = self.held + size - before
        needed = held + self.callers * self.caller_memory
        is_only = held == size
        if (
            size > before
            and self.max_memory
            and not is_only
            and needed > self.max_memory
        ):
            self.refused += 1
            return False
        self._set(key, size)
        return True

    def record(self, key: Hashable, size: int) -> None:
        """Sets what a connection holds, whether or not there is room."""
        self._set(key, max(0, size - COVERED))

    def is_exceeded(self) -> bool:
        """Returns whether connections hold more than there is room for."""
        needed = self.held + self.callers * self.caller_memory
        return bool(self.max_memory) and needed > self.max_memory

    def get_held(self, key: Hashable) -> int:
        """Returns the bytes that a connection holds beyond `COVERED`."""
        return self._sizes.get(key, 0)

    def release(self, key: Hashable) -> None:
        """Releases what a connection holds."""
        self.held -= self._sizes.pop(key, 0)

    def _set(self, key: Hashable, size: int) -> None:
        self.held += size - self._sizes.pop(key, 0)
        if size:
            self._sizes[key] = size
