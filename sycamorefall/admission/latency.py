"""Adapts the concurrency limit of a plain service to its response latency."""

__all__ = [
    "adjust_to_latency",
]

from sycamorefall.admission import limit as limit_module
from sycamorefall.admission import load_reports

LATENCY_WINDOW = 128
"""Responses whose mean latency is compared with the baseline."""

PROBING_WINDOW = 32
"""Responses in a window while the limit still doubles with each window."""

PROBING_INTERVAL = 2.0
"""Seconds after which a probing limit doubles before its window is full."""

MIN_PROBING_RESPONSES = 4
"""Minimum of responses for a doubling before the window is full."""

MAX_LATENCY_RATIO = 2.0
"""Ratio of mean latency to baseline above which the limit is lowered."""

DECREASE_FACTOR = 0.9
"""Factor by which the limit is multiplied after a slow window."""

BASELINE_DECREASE_WEIGHT = 0.05
"""Weight in the baseline of a window that was faster than the baseline."""

BASELINE_INCREASE_WEIGHT = 0.05
"""Weight in the baseline of a slower window while the limit isn't used up."""

UNCHANGED_LATENCY_SHARE = 0.65
"""Share of the highest slow mean; a window above it counts as no faster."""


def adjust_to_latency(
    limit: limit_module.ConcurrencyLimit,
    now: float,
    latency: float,
    is_engine: bool,
) -> None:
    """Adjusts the limit to a response's latency.

    Call it while the request still counts as in flight. The limit follows
    additive increase, multiplicative decrease: the mean latency of a window
    of responses is compared with a baseline, which follows the lowest recent
    means. The first window is measured at a low limit, so that the baseline
    includes no queueing. The latency of a model engine depends mostly on the
    length of the response. For engines the limit is therefore only increased,
    and only while no load reports arrive.

    Args:
        limit: The limit; changed.
        now: This process's time, in seconds.
        latency: Seconds that the upstream took to respond.
        is_engine: Whether the upstream is a model engine.
    """
    has_recent_report = now - limit.reported_at <= load_reports.REPORT_LIFETIME
    if not has_recent_report:
        limit.foreign = 0
    is_used_up = (
        limit.in_flight.current
        >= limit_module.USED_UP_SHARE * limit_module.compute_own_limit(limit)
    )
    if is_engine:
        if is_used_up and not has_recent_report:
            _increase_per_response(limit)
        return
    limit.latency_sum += latency
    limit.latency_count += 1
    if limit.probing and is_used_up:
        _increase_within_window(limit, now)
    window = PROBING_WINDOW if limit.probing else LATENCY_WINDOW
    if limit.latency_count >= window:
        _evaluate_window(limit, is_used_up)


def _increase_per_response(limit: limit_module.ConcurrencyLimit) -> None:
    """Adds the response's share of one round's increase.

    Over a round of responses the limit doubles while probing, or grows by
    one.
    """
    if limit.capacity < limit.cap:
        step = 1.0 if limit.probing else 1.0 / limit.capacity
        limit_module.set_capacity(limit, limit.capacity + step)


def _increase_within_window(
    limit: limit_module.ConcurrencyLimit, now: float
) -> None:
    """Doubles the limit before a slow window is full.

    After a restart the limit is low, so a window of calls that take seconds
    lasts for minutes, while slots stay idle. The cost is a baseline that may
    include some queueing.
    """
    limit.responses_since_growth += 1
    if limit.responses_since_growth == 1:
        limit.first_response_at = now
    if (
        limit.responses_since_growth < MIN_PROBING_RESPONSES
        or now - limit.first_response_at < PROBING_INTERVAL
    ):
        return
    limit.responses_since_growth = 0
    limit_module.increase_capacity(limit, limit.cap)


def _evaluate_window(
    limit: limit_module.ConcurrencyLimit, is_used_up: bool
) -> None:
    mean = limit.latency_sum / limit.latency_count
    limit.latency_sum, limit.latency_count = 0.0, 0
    limit.responses_since_growth = 0
    if limit.baseline == 0.0:
        limit.baseline = mean
    slow = mean > MAX_LATENCY_RATIO * limit.baseline
    if slow and is_used_up:
        _decrease_capacity(limit, mean)
        return
    limit.slow_mean = 0.0
    if mean < limit.baseline:
        limit.baseline += BASELINE_DECREASE_WEIGHT * (mean - limit.baseline)
    elif not is_used_up:
        limit.baseline += BASELINE_INCREASE_WEIGHT * (mean - limit.baseline)
    if is_used_up:
        limit_module.increase_capacity(limit, limit.cap)


def _decrease_capacity(
    limit: limit_module.ConcurrencyLimit, mean: float
) -> None:
    """Lowers the limit after a slow window.

    Calls that take longer for other reasons look like congestion and would
    lower the limit to one permanently. If calls are no faster at half the
    limit, the concurrency was not the cause, and the measured mean becomes
    the new baseline.
    """
    limit.probing = False
    capacity = min(limit.capacity, limit.cap)
    if limit.slow_mean == 0.0:
        limit.slow_capacity = capacity
    limit.slow_mean = max(limit.slow_mean, mean)
    if capacity <= max(1.0, limit.slow_capacity / 2):
        if mean > UNCHANGED_LATENCY_SHARE * limit.slow_mean:
            limit.baseline = mean
        limit.slow_mean = 0.0
    limit_module.set_capacity(limit, DECREASE_FACTOR * capacity)
