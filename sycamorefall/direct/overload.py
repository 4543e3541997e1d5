"""Whether this process gets more work than it can do; no I/O.

The balancer gives each caller's connections to one router, so one large team
can be too much for a small VM while others next to it have little to do.
Everything that the VM serves is late then. A router that reports that it is
not ready loses new connections to the others and keeps what it has.
"""

__all__ = [
    "LONGEST_TURN",
    "Overload",
    "is_overloaded",
    "record_lateness",
]

import dataclasses

LONGEST_PASS = 0.05
"""Seconds that a pass of the loop may be late without counting: less than the
pause between two events of a stream, and more than a collection of garbage."""

LONGEST_TURN = 0.1
"""Seconds of a turn of the loop after which further new requests in it are
refused unread: half of the shortest target latency that was seen, 0.2 s, so
that what is served can be on time."""

MEMORY = 1.0
"""Seconds after which lateness counts half."""

MOST_LATE = 0.5
"""Seconds of lateness within about `MEMORY` from which on a process is
overloaded: half of its time."""

REST = 8.0
"""Seconds that it stays so after that. The balancer needs two to send callers
elsewhere, and gives them back at once; back and forth would help nobody."""


@dataclasses.dataclass(slots=True)
class Overload:
    """How late the process was lately.

    Attributes:
        late: Seconds of lateness, decaying.
        noted_at: When that was last brought up to date.
        until: When the process counts as overloaded no more.
    """

    late: float = 0.0
    noted_at: float = 0.0
    until: float = float("-inf")


def record_lateness(overload: Overload, now: float, late: float) -> None:
    """Takes note of how late a pass of the loop was.

    One that is very late stands for a VM that was frozen, which is no
    overload: it counts as much as a pass may at most.

    Args:
        overload: What is known; changed.
        now: This process's time.
        late: Seconds between the time when a timer was due and now.

    Example:
        >>> overload = Overload()
        >>> record_lateness(overload, 1.0, 20.0)
        >>> is_overloaded(overload, 1.0)
        False
        >>> for tenth in range(11, 20):
        ...     record_lateness(overload, tenth / 10, 0.09)
        >>> is_overloaded(overload, 2.0), is_overloaded(overload, 12.0)
        (True, False)
    """
    if late < LONGEST_PASS:
        return
    age = max(0.0, now - overload.noted_at)
    before = overload.late * 0.5 ** (age / MEMORY)
    overload.late = before + min(late, MOST_LATE / 2)
    overload.noted_at = now
    if overload.late >= MOST_LATE:
        overload.until = now + REST


def is_overloaded(overload: Overload, now: float) -> bool:
    """Tells whether new callers had better go to another router."""
    return now < overload.until
