"""Adapts the concurrency limit to the delayed load reports of an engine."""

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
"""Seconds after which a load report is no longer used."""


@dataclasses.dataclass(slots=True, frozen=True)
class LoadReport:
    """Load that an upstream reports, up to `limit.MAX_REPORT_LAG` old.

    Attributes:
        running: Requests that the upstream is processing.
        queued: Requests in the upstream's internal queue.
        slots: Requests that the upstream processes concurrently; 0 if the
            report doesn't say.
    """

    running: int
    queued: int
    slots: int = 0


def record_foreign(
    limit: limit_module.ConcurrencyLimit, now: float, report: LoadReport
) -> None:
    """Updates the number of foreign requests from a load report.

    The report describes an unknown time within the last
    `limit.MAX_REPORT_LAG` seconds. Only what exceeds the maximum of this
    process's own requests within that time is certainly foreign.

    Args:
        limit: The limit; changed.
        now: This process's time, in seconds.
        report: The report.
    """
    _, maximum = count_history.compute_range(limit.in_flight, now)
    limit.foreign = max(0, report.running + report.queued - maximum)
    limit.reported_at = now


def adjust_to_load(
    limit: limit_module.ConcurrencyLimit, now: float, report: LoadReport
) -> None:
    """Adjusts the limit to a load report of a model engine.

    The rules below avoid oscillation, in which the engine's internal queue
    overflows and runs empty in turns. A delayed report shows a queue that may
    have drained since; a limit that is reduced by the length of that queue
    would be reduced for the same queue again and again. Therefore the queue
    length is never subtracted. While reports show a queue, the number of
    running requests is taken as the capacity, as this holds at whatever time
    the report describes. The limit grows only if it was used up at every
    time that the report may describe.

    Args:
        limit: The limit; changed.
        now: This process's time, in seconds.
        report: The report.
    """
    is_first = limit.reported_at == -math.inf
    record_foreign(limit, now, report)
    surplus = report.queued > limit.extra_claims
    if surplus:
        _decrease_capacity(limit, report.running, is_first)
    elif is_first and report.slots:
        limit_module.set_capacity(limit, report.slots)
    elif report.queued < limit.extra_claims and _was_used_up(limit, now):
        limit_module.increase_capacity(limit, report.slots or math.inf)
    limit.running_while_queued = report.running if surplus else -1


def _was_used_up(limit: limit_module.ConcurrencyLimit, now: float) -> bool:
    minimum, _ = count_history.compute_range(limit.in_flight, now)
    return minimum >= max(
        1.0, limit_module.USED_UP_SHARE * limit_module.compute_own_limit(limit)
    )


def _decrease_capacity(
    limit: limit_module.ConcurrencyLimit, running: int, is_first: bool
) -> None:
    """Sets the capacity to the running requests while others are queued.

    A single report may show a burst that the engine is still admitting, with
    few requests running yet. Only a queue that two successive reports show,
    or the first report of all, lowers the limit.
    """
    if is_first or limit.running_while_queued >= 0:
        limit.probing = False
        limit_module.set_capacity(
            limit, max(running, limit.running_while_queued)
        )
