"""Follows a model engine's load reports, which lag behind."""

__all__ = [
    "REPORT_LIFETIME",
    "LoadReport",
    "adjust_to_load",
    "record_foreign",
]

import dataclasses
import math

from sycamorefall.admission import count_history
from sycamorefall.admission import limit as limit_module

REPORT_LIFETIME = 10.0
"""Seconds after which a report says nothing any more."""


@dataclasses.dataclass(slots=True, frozen=True)
class LoadReport:
    """An upstream's report of its load, some time ago.

    Attributes:
        running: Requests being worked on.
        queued: Requests in its inner queue.
        slots: Requests it works on at once; 0 if it doesn't say.
    """

    running: int
    queued: int
    slots: int = 0


def record_foreign(
    limit: limit_module.ConcurrencyLimit, now: float, report: LoadReport
) -> None:
    """Takes over how many requests of others an upstream reports.

    The report describes the past, by an unknown lag of up to `LONGEST_LAG`.
    Only what exceeds the most own requests of that time is surely foreign.

    Args:
        limit: The limit; changed.
        now: This process's time.
        report: The report.
    """
    _, most = count_history.find_range(limit.in_flight, now)
    limit.foreign = max(0, report.running + report.queued - most)
    limit.reported = now


def adjust_to_load(
    limit: limit_module.ConcurrencyLimit, now: float, report: LoadReport
) -> None:
    """Takes over a load report of a model engine.

    Guards against oscillation, which shows as an inner queue that runs full
    and dry in turns: held against what is in flight now, a lagged report
    shows a queue that has long been drained, and the limit would be lowered
    for it again and again. Therefore nothing is ever subtracted from the
    limit: while an inner queue is seen, what the engine is running is its
    capacity, whenever that was; and the limit only grows when it was used up
    at every time that the report can be about.

    Args:
        limit: The limit; changed.
        now: This process's time.
        report: The report.
    """
    is_first = limit.reported == -math.inf
    record_foreign(limit, now, report)
    surplus = report.queued > limit.ahead
    if surplus:
        _shrink_to(limit, report.running, is_first)
    elif is_first and report.slots:
        limit_module.set_capacity(limit, report.slots)
    elif report.queued < limit.ahead and _was_used_up(limit, now):
        limit_module.grow(limit, report.slots or math.inf)
    limit.busiest = report.running if surplus else -1


def _was_used_up(limit: limit_module.ConcurrencyLimit, now: float) -> bool:
    least, _ = count_history.find_range(limit.in_flight, now)
    return least >= max(
        1.0, limit_module.IN_USE * limit_module.compute_own_limit(limit)
    )


def _shrink_to(
    limit: limit_module.ConcurrencyLimit, running: int, is_first: bool
) -> None:
    """Lowers the limit to what the engine runs while others queue.

    One report may catch a burst that the engine is just admitting, with few
    running yet. A queue that is still there in the next report is real.
    """
    if is_first or limit.busiest >= 0:
        limit.probing = False
        limit_module.set_capacity(limit, max(running, limit.busiest))
