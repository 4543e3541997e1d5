"""Overload detection from the lateness of the event loop; no I/O.

The balancer gives each caller's connections to one router, so one large team
can overload a small VM while its neighbors have little to do. All requests that
the VM serves are late then. If the router reports that it is not ready, the
balancer gives new connections to other routers; existing ones stay.
"""

__all__ = [
    "MAX_PASS_TIME",
    "MIN_COUNTED_LATENESS",
    "Overload",
    "is_overloaded",
    "record_lateness",
    "take_max_late",
]

import dataclasses

MIN_COUNTED_LATENESS = 0.05
"""Seconds below which the lateness of an event loop pass doesn't count: less
than the time between two events of a stream, and more than a garbage collection
takes."""

MAX_PASS_TIME = 0.1
"""Seconds of a pass of the event loop after which the pass's remaining new
requests are refused unread: half of the shortest target latency seen, 0.2 s, so
that the requests that are served can be on time."""

LATENESS_HALF_LIFE = 1.0
"""Half-life of the recorded lateness, in seconds."""

OVERLOAD_THRESHOLD = 0.5
"""Seconds of lateness within about `LATENESS_HALF_LIFE` from which on a process
counts as overloaded: half of its time."""

OVERLOAD_HOLD_TIME = 8.0
"""Seconds for which a process then counts as overloaded. The balancer needs 2 s
to send callers to other routers and sends them back at once, so a shorter time
would only move callers back and forth."""


@dataclasses.dataclass(slots=True)
class Overload:
    """Recent lateness of the event loop.

    Attributes:
        lateness: Decayed sum of lateness, in seconds.
        updated_at: Time at which `lateness` was last updated.
        overloaded_until: Time until which the process counts as overloaded.
        max_late: Lateness of the latest pass since `take_max_late`, in seconds.
    """

    lateness: float = 0.0
    updated_at: float = 0.0
    overloaded_until: float = float("-inf")
    max_late: float = 0.0


def record_lateness(overload: Overload, now: float, late: float) -> None:
    """Records how late a pass of the event loop was.

    A very late pass means that the VM was frozen, which is no overload.
    Therefore one pass counts as at most half of `OVERLOAD_THRESHOLD`.

    Args:
        overload: Recent lateness; changed.
        now: Current time of this process's clock.
        late: Seconds by which a timer ran too late.

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
    overload.max_late = max(overload.max_late, late)
    if late < MIN_COUNTED_LATENESS:
        return
    age = max(0.0, now - overload.updated_at)
    decayed = overload.lateness * 0.5 ** (age / LATENESS_HALF_LIFE)
    overload.lateness = decayed + min(late, OVERLOAD_THRESHOLD / 2)
    overload.updated_at = now
    if overload.lateness >= OVERLOAD_THRESHOLD:
        overload.overloaded_until = now + OVERLOAD_HOLD_TIME


def is_overloaded(overload: Overload, now: float) -> bool:
    """Returns whether the balancer should send new callers to other routers."""
    return now < overload.overloaded_until


def take_max_late(overload: Overload) -> float:
    """Returns the greatest lateness since the last call, and resets it.

    Example:
        >>> overload = Overload()
        >>> record_lateness(overload, 1.0, 0.03)
        >>> record_lateness(overload, 1.1, 0.02)
        >>> take_max_late(overload), take_max_late(overload)
        (0.03, 0.0)
    """
    late, overload.max_late = overload.max_late, 0.0
    return late
