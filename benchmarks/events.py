"""A plain event queue: actions in order of their time, in one process."""

__all__ = ["Events", "run_until", "schedule"]

from collections.abc import Callable
import dataclasses
import heapq
import itertools

Action = Callable[[], None]


@dataclasses.dataclass(slots=True)
class Events:
    """Actions that are still to come.

    Attributes:
        now: Time of the action that runs.
        queue: Heap of (time, order of scheduling, action).
        numbers: Keeps actions of the same time in order of scheduling.
    """

    now: float = 0.0
    queue: list[tuple[float, int, Action]] = dataclasses.field(
        default_factory=list
    )
    numbers: itertools.count = dataclasses.field(
        default_factory=itertools.count
    )


def schedule(events: Events, at: float, action: Action) -> None:
    """Schedules an action; one in the past runs now."""
    entry = (max(at, events.now), next(events.numbers), action)
    heapq.heappush(events.queue, entry)


def run_until(events: Events, end: float) -> None:
    """Runs all actions up to a time, those that they schedule included.

    Example:
        >>> events = Events()
        >>> schedule(events, 2.0, lambda: print("second"))
        >>> schedule(events, 1.0, lambda: print("first"))
        >>> run_until(events, 5.0)
        first
        second
    """
    while events.queue and events.queue[0][0] <= end:
        events.now, _, action = heapq.heappop(events.queue)
        action()
    events.now = end
