"""Follows a plain service by the latency of its answers."""

__all__ = [
    "adjust_to_latency",
]

from sycamorefall.admission import limit as limit_module
from sycamorefall.admission import load_reports

LATENCY_WINDOW = 128
"""Requests whose mean latency is compared with the baseline."""

PROBING_WINDOW = 32
"""The same while the limit still doubles with each window."""

PROBING_SECONDS = 2.0
"""Seconds after which it doubles without a whole window, if calls are slow."""

FEWEST_ANSWERS = 4
"""Answers without which it doesn't double."""

TOLERANCE = 2.0
"""Mean latency, in baselines, above which the limit is lowered."""

DECREASE = 0.9
"""Factor by which the limit is lowered on high latency."""

BASELINE_FALL = 0.05
"""Weight of a window that was faster than the baseline."""

BASELINE_RISE = 0.05
"""Weight of a slower window while the limit is not used up."""

UNMOVED = 0.65
"""Share of a slow window's latency that counts as no better."""


def adjust_to_latency(
    limit: limit_module.ConcurrencyLimit,
    now: float,
    latency: float,
    is_engine: bool,
) -> None:
    """Learns from an answer, while its request still counts as in flight.

    Additive increase, multiplicative decrease on the mean latency of a
    window of answers against the least such mean seen lately. The first
    window is taken at a low limit, so that the baseline holds no queueing. An
    engine's latency is mostly the length of its answer, so for engines only
    the growth applies, and only while no load reports come.

    Args:
        limit: The limit; changed.
        now: This process's time.
        latency: Seconds the upstream took.
        is_engine: Whether the upstream is a model engine.
    """
    reports_come = now - limit.reported <= load_reports.REPORT_LIFETIME
    if not reports_come:
        limit.foreign = 0
    in_use = (
        limit.in_flight.current
        >= limit_module.IN_USE * limit_module.compute_own_limit(limit)
    )
    if is_engine:
        if in_use and not reports_come:
            _grow_by_answer(limit)
        return
    limit.latency_sum += latency
    limit.latency_count += 1
    if limit.probing and in_use:
        _hurry(limit, now)
    window = PROBING_WINDOW if limit.probing else LATENCY_WINDOW
    if limit.latency_count >= window:
        _judge_window(limit, in_use)


def _grow_by_answer(limit: limit_module.ConcurrencyLimit) -> None:
    """Doubles the limit with each round of answers, or adds one to it."""
    if limit.capacity < limit.cap:
        step = 1.0 if limit.probing else 1.0 / limit.capacity
        limit_module.set_capacity(limit, limit.capacity + step)


def _hurry(limit: limit_module.ConcurrencyLimit, now: float) -> None:
    """Doubles the limit in the midst of a window that takes long.

    Guards against slots that idle for minutes after a restart: a window of
    calls that take seconds lasts as long at a low limit. The price is a
    baseline that may hold some queueing.
    """
    limit.answers += 1
    if limit.answers == 1:
        limit.grown = now
    if limit.answers < FEWEST_ANSWERS or now - limit.grown < PROBING_SECONDS:
        return
    limit.answers = 0
    limit_module.grow(limit, limit.cap)


def _judge_window(limit: limit_module.ConcurrencyLimit, in_use: bool) -> None:
    mean = limit.latency_sum / limit.latency_count
    limit.latency_sum, limit.latency_count = 0.0, 0
    limit.answers = 0
    if limit.baseline == 0.0:
        limit.baseline = mean
    slow = mean > TOLERANCE * limit.baseline
    if slow and in_use:
        _back_off(limit, mean)
        return
    limit.slow_mean = 0.0
    if mean < limit.baseline:
        limit.baseline += BASELINE_FALL * (mean - limit.baseline)
    elif not in_use:
        limit.baseline += BASELINE_RISE * (mean - limit.baseline)
    if in_use:
        limit_module.grow(limit, limit.cap)


def _back_off(limit: limit_module.ConcurrencyLimit, mean: float) -> None:
    """Lowers the limit after a slow window.

    Guards against calls that became longer by themselves: they look like
    congestion, and the limit would be lowered to one for good. If half the
    limit makes them no faster, the concurrency was not the cause, and what
    was measured is the new baseline.
    """
    limit.probing = False
    capacity = min(limit.capacity, limit.cap)
    if limit.slow_mean == 0.0:
        limit.slow_capacity = capacity
    limit.slow_mean = max(limit.slow_mean, mean)
    if capacity <= max(1.0, limit.slow_capacity / 2):
        if mean > UNMOVED * limit.slow_mean:
            limit.baseline = mean
        limit.slow_mean = 0.0
    limit_module.set_capacity(limit, DECREASE * capacity)
