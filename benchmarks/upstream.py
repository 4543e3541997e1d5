"""The fake upstream: slots, an inner queue, costs known only at the end."""

__all__ = ["UNITS_PER_SECOND", "Upstream", "offer_work"]

from collections.abc import Callable
import dataclasses

from benchmarks import events as events_module

UNITS_PER_SECOND = 125.0
"""Cost units that one slot gives in a second.

With mean costs of 250 units a request runs for two seconds, and a router of
the benchmarks gets about ten requests a second, as many as one of 370 gets
of 4,400. Control traffic is budgeted in bytes per second, so at a faster
pace accounts and announcements would be older than they are in use.
"""

CHARGE_STEP = 0.4
"""Seconds between two charges of a run in progress."""


@dataclasses.dataclass(slots=True)
class Work:
    """A request at an upstream.

    Attributes:
        cost: Its cost units, which only the upstream knows.
        on_start: Called when it gets a slot.
        on_charge: Called with the units given since the last call.
        on_end: Called when it is done, after the last charge.
    """

    cost: float
    on_start: Callable[[], None]
    on_charge: Callable[[float], None]
    on_end: Callable[[], None]


@dataclasses.dataclass(slots=True)
class Upstream:
    """State of a fake upstream.

    Attributes:
        slots: Requests that it runs at once.
        running: Slots in use.
        queue: Requests that wait inside, in order of arrival.
    """

    slots: int
    running: int = 0
    queue: list[Work] = dataclasses.field(default_factory=list)


def offer_work(
    events: events_module.Events, upstream: Upstream, work: Work
) -> None:
    """Starts a request, or queues it inside if no slot is free."""
    if upstream.running >= upstream.slots:
        upstream.queue.append(work)
        return
    upstream.running += 1
    work.on_start()
    _run_step(events, upstream, work, work.cost)


def _run_step(
    events: events_module.Events, upstream: Upstream, work: Work, left: float
) -> None:
    units = min(left, CHARGE_STEP * UNITS_PER_SECOND)

    def charge() -> None:
        work.on_charge(units)
        if left - units > 1e-9:
            _run_step(events, upstream, work, left - units)
        else:
            _end_work(events, upstream, work)

    at = events.now + units / UNITS_PER_SECOND
    events_module.schedule(events, at, charge)


def _end_work(
    events: events_module.Events, upstream: Upstream, work: Work
) -> None:
    upstream.running -= 1
    if upstream.queue:
        offer_work(events, upstream, upstream.queue.pop(0))
    work.on_end()
