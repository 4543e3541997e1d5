"""Simulated upstream with slots and an internal queue.

The cost of a request is only known at its end.
"""

__all__ = ["UNITS_PER_SECOND", "Upstream", "submit_work"]

from collections.abc import Callable
import dataclasses

from benchmarks import events as events_module

UNITS_PER_SECOND = 125.0
"""Cost units that one slot provides per second.

With a mean cost of 250 units a request runs for two seconds, and a router of
the benchmarks receives about ten requests per second, as many as one of 370
routers receives of 4,400. The budget of control traffic is in bytes per second,
so at a higher rate accounts and announcements would be staler than in use.
"""

CHARGE_STEP = 0.4
"""Seconds between two charges of a running request."""


@dataclasses.dataclass(slots=True)
class Work:
    """A request at an upstream.

    Attributes:
        cost: Cost units, which only the upstream knows.
        on_start: Called when the request gets a slot.
        on_charge: Called with the units consumed since the last call.
        on_end: Called at the end, after the last charge.
    """

    cost: float
    on_start: Callable[[], None]
    on_charge: Callable[[float], None]
    on_end: Callable[[], None]


@dataclasses.dataclass(slots=True)
class Upstream:
    """State of a simulated upstream.

    Attributes:
        slots: Requests that the upstream runs concurrently.
        running: Number of slots in use.
        queue: Requests in the internal queue, in order of arrival.
    """

    slots: int
    running: int = 0
    queue: list[Work] = dataclasses.field(default_factory=list)


def submit_work(
    events: events_module.EventQueue, upstream: Upstream, work: Work
) -> None:
    """Starts a request, or queues it at the upstream if no slot is free."""
    if upstream.running >= upstream.slots:
        upstream.queue.append(work)
        return
    upstream.running += 1
    work.on_start()
    _run_step(events, upstream, work, work.cost)


def _run_step(
    events: events_module.EventQueue,
    upstream: Upstream,
    work: Work,
    left: float,
) -> None:
    units = min(left, CHARGE_STEP * UNITS_PER_SECOND)

    def charge() -> None:
        work.on_charge(units)
        if left - units > 1e-9:
            _run_step(events, upstream, work, left - units)
        else:
            _finish_work(events, upstream, work)

    at = events.now + units / UNITS_PER_SECOND
    events_module.schedule(events, at, charge)


def _finish_work(
    events: events_module.EventQueue, upstream: Upstream, work: Work
) -> None:
    upstream.running -= 1
    if upstream.queue:
        submit_work(events, upstream, upstream.queue.pop(0))
    work.on_end()
