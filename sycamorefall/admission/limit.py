"""Concurrency limit of the requests that a sidecar passes to its upstream.

A model engine accepts every request and has no priorities. The routers decide
the order of requests only while these wait at a router, so the engine's
internal queue must stay nearly empty. The engine must not run out of work
either. `adjust_to_load` adapts the limit to the delayed load reports of an
engine. `adjust_to_latency` adapts it to the response latency of a plain
service, which reports no queue.
"""

__all__ = [
    "ConcurrencyLimit",
    "compute_own_limit",
    "count_claimable",
    "count_startable",
    "increase_capacity",
    "record_end",
    "record_start",
    "set_capacity",
    "start_at_minimum",
]

import dataclasses
import math

from sycamorefall.admission import count_history

MAX_REPORT_LAG = 2.0
"""Maximum age, in seconds, of the load that a report describes."""

USED_UP_SHARE = 0.75
"""Share of the limit in flight from which the limit counts as used up."""


@dataclasses.dataclass(slots=True)
class ConcurrencyLimit:
    """Concurrency limit of one upstream and the measurements behind it.

    Attributes:
        cap: Configured maximum of requests in progress.
        extra_claims: Claims made before a slot is free, which hides the
            round trip of a claim. Their requests wait in the upstream's
            internal queue.
        foreign: Requests at the upstream that this process did not start,
            according to the upstream's last load report.
        capacity: Measured number of requests that the upstream processes
            concurrently; infinite while only the cap is known.
        probing: Whether no overload has been observed yet; the limit then
            doubles in each round instead of growing by one.
        in_flight: Recent history of this process's requests at the upstream.
        reported_at: When the last load report was received.
        running_while_queued: Running requests according to the last load
            report, if it showed more queued requests than `extra_claims`;
            else -1.
        baseline: Mean latency without queueing, in seconds; 0 if unknown.
        slow_mean: Highest mean latency since the limit began to decrease, in
            seconds; 0 while the limit is not decreasing.
        slow_capacity: Capacity when the limit began to decrease.
        first_response_at: Time of the first response that
            `responses_since_growth` counts.
        responses_since_growth: Responses while the probing limit was used up,
            since it last doubled or a window ended.
        latency_sum: Sum of the latencies in the current window, in seconds.
        latency_count: Responses in the current window.
    """

    cap: int = 1
    extra_claims: int = 1
    foreign: int = 0
    capacity: float = math.inf
    probing: bool = True
    in_flight: count_history.CountHistory = dataclasses.field(
        default_factory=lambda: count_history.CountHistory(MAX_REPORT_LAG)
    )
    reported_at: float = -math.inf
    running_while_queued: int = -1
    baseline: float = 0.0
    slow_mean: float = 0.0
    slow_capacity: float = 0.0
    first_response_at: float = 0.0
    responses_since_growth: int = 0
    latency_sum: float = 0.0
    latency_count: int = 0


def start_at_minimum(limit: ConcurrencyLimit) -> None:
    """Sets the capacity to one request, as the upstream's load is unknown.

    A sidecar may restart while its upstream is busy. If it used the whole cap
    at once, the upstream would hold twice the cap, half of it in its internal
    queue, where the routers no longer control the order. The first load
    report shows the actual load; without reports the limit doubles with each
    round of responses.
    """
    limit.capacity = 1.0
    limit.probing = True


def record_start(limit: ConcurrencyLimit, now: float) -> None:
    """Records that this process passed a request to the upstream."""
    in_flight = limit.in_flight.current + 1
    count_history.record_count(limit.in_flight, now, in_flight)


def record_end(limit: ConcurrencyLimit, now: float) -> None:
    """Records that a request of this process ended at the upstream."""
    in_flight = max(0, limit.in_flight.current - 1)
    count_history.record_count(limit.in_flight, now, in_flight)


def increase_capacity(limit: ConcurrencyLimit, maximum: float) -> None:
    """Doubles the capacity while probing, else adds one, up to a maximum."""
    step = limit.capacity if limit.probing else 1.0
    if limit.capacity < maximum:
        set_capacity(limit, min(maximum, limit.capacity + step))


def set_capacity(limit: ConcurrencyLimit, capacity: float) -> None:
    """Sets the measured capacity, clamped between 1 and the cap."""
    limit.capacity = max(1.0, min(float(limit.cap), capacity))


def compute_own_limit(limit: ConcurrencyLimit) -> int:
    """Computes how many of this process's requests may run concurrently.

    This is the capacity that foreign requests leave, but at least 1. Foreign
    requests may fill the upstream, or a wrong report may say so. At a limit
    of zero the sidecar would receive no response that shows the contrary, and
    the limit would never recover. One request in the internal queue of a
    full upstream does little harm.
    """
    capacity = int(min(limit.cap, limit.capacity))
    return min(limit.cap, max(1, capacity - limit.foreign))


def count_claimable(limit: ConcurrencyLimit, running: int, claimed: int) -> int:
    """Computes how many further requests may be claimed from routers now.

    Args:
        limit: The limit.
        running: Requests in progress at this sidecar.
        claimed: Claims whose request has not arrived yet.

    Returns:
        Number of claims, not negative.
    """
    return max(
        0, compute_own_limit(limit) + limit.extra_claims - running - claimed
    )


def count_startable(limit: ConcurrencyLimit) -> int:
    """Computes how many further requests may be passed to the upstream now.

    Returns:
        Number of requests; together with those in flight at most the cap.

    Example:
        >>> limit = ConcurrencyLimit(cap=8)
        >>> start_at_minimum(limit)
        >>> count_startable(limit)
        2
        >>> set_capacity(limit, 6)
        >>> limit.foreign = 4
        >>> count_startable(limit)
        3
    """
    maximum = min(limit.cap, compute_own_limit(limit) + limit.extra_claims)
    return max(0, maximum - limit.in_flight.current)
