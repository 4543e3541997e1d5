"""Event queue for simulations: runs actions in order of their time."""

__all__ = ["EventQueue", "run_until", "schedule"]

from collections.abc import Callable
import dataclasses
import heapq
import itertools

Action = Callable[[], None]


@dataclasses.dataclass(slots=True)
class EventQueue:
    """Scheduled actions and the simulated clock.

    Attributes:
        now: Time of the current action.
        queue: Heap of (time, sequence number, action).
        numbers: Sequence numbers, which keep actions of the same time in order
            of scheduling.
    """

    now: float = 0.0
    queue: list[tuple[float, int, Action]] = dataclasses.field(
        default_factory=list
    )
    numbers: itertools.count = dataclasses.field(
        default_factory=itertools.count
    )


def schedule(events: EventQueue, at: float, action: Action) -> None:
    """Schedules an action; one in the past runs at the current time."""
    entry = (max(at, events.now), next(events.numbers), action)
    heapq.heappush(events.queue, entry)


def run_until(events: EventQueue, end: float) -> None:
    """Runs all actions up to a time, including those scheduled meanwhile.

    Example:
        >>> events = EventQueue()
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
