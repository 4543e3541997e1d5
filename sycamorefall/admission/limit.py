"""How many requests a sidecar lets into its upstream at once.

An engine admits what it is given and knows no priorities, so the order of
requests is the fleet's only while they wait at routers: the engine's inner
queue must stay near empty. It must not run dry either. `adjust_to_load` follows
the engine's lagged load reports; `adjust_to_latency` follows plain services,
which
report no queue, by the latency of their answers.
"""

__all__ = [
    "ConcurrencyLimit",
    "compute_own_limit",
    "count_claimable",
    "count_startable",
    "grow",
    "record_end",
    "record_start",
    "set_capacity",
    "start_at_minimum",
]

import dataclasses
import math

from sycamorefall.admission import count_history

LONGEST_LAG = 2.0
"""Seconds by which a load report may lag behind what it describes."""

IN_USE = 0.75
"""Share of the limit in flight from which on it counts as used up."""


@dataclasses.dataclass(slots=True)
class ConcurrencyLimit:
    """The limit at one upstream.

    Attributes:
        cap: Most requests in progress, by the configuration.
        ahead: Claims made before a slot comes free, to hide the time that a
            claim takes; they are also what the inner queue holds.
        foreign: Requests at the upstream that this process did not start, by
            the upstream's last load report.
        capacity: Requests that the upstream works on at once, as measured;
            infinite while only the cap is known.
        probing: Whether no sign of overload was seen yet, so that the limit
            doubles each round in place of growing by one.
        in_flight: Own requests at the upstream, lately.
        reported: When the last load report came.
        busiest: Most requests running by the last report, if it showed a
            surplus in the inner queue; -1 if it did not.
        baseline: Mean latency without queueing; 0 if not known.
        slow_mean: Highest mean latency while the limit falls; 0 if it does
            not fall.
        slow_capacity: The capacity when it began to fall.
        grown: When the first answer came since the limit last grew.
        answers: Answers since then.
        latency_sum: Sum of latencies in the current window.
        latency_count: Requests in the current window.
    """

    cap: int = 1
    ahead: int = 1
    foreign: int = 0
    capacity: float = math.inf
    probing: bool = True
    in_flight: count_history.CountHistory = dataclasses.field(
        default_factory=lambda: count_history.CountHistory(LONGEST_LAG)
    )
    reported: float = -math.inf
    busiest: int = -1
    baseline: float = 0.0
    slow_mean: float = 0.0
    slow_capacity: float = 0.0
    grown: float = 0.0
    answers: int = 0
    latency_sum: float = 0.0
    latency_count: int = 0


def start_at_minimum(limit: ConcurrencyLimit) -> None:
    """Starts at one request, because what runs at the upstream is unknown.

    Guards against a restart of the sidecar beside a busy upstream: with the
    whole cap at once the upstream would hold twice the cap, half of it in
    its inner queue, out of the fleet's order. The first load report tells
    what is there, else the limit doubles with each round of answers.
    """
    limit.capacity = 1.0
    limit.probing = True


def record_start(limit: ConcurrencyLimit, now: float) -> None:
    """Notes that an own request was passed to the upstream."""
    in_flight = limit.in_flight.current + 1
    count_history.note_count(limit.in_flight, now, in_flight)


def record_end(limit: ConcurrencyLimit, now: float) -> None:
    """Notes that an own request left the upstream."""
    in_flight = max(0, limit.in_flight.current - 1)
    count_history.note_count(limit.in_flight, now, in_flight)


def grow(limit: ConcurrencyLimit, most: float) -> None:
    """Doubles the limit while it probes, or adds one to it, up to a bound."""
    step = limit.capacity if limit.probing else 1.0
    if limit.capacity < most:
        set_capacity(limit, min(most, limit.capacity + step))


def set_capacity(limit: ConcurrencyLimit, capacity: float) -> None:
    """Sets the measured capacity, at least 1 and at most the cap."""
    limit.capacity = max(1.0, min(float(limit.cap), capacity))


def compute_own_limit(limit: ConcurrencyLimit) -> int:
    """Counts the own requests that the upstream can work on at once.

    Guards against a limit stuck at zero: foreign requests may fill the
    upstream, or a wrong report may say so, and without a request of its own
    there the sidecar would never see an answer that shows otherwise. One is
    always let in; in the inner queue of a full upstream it does little harm.
    """
    capacity = int(min(limit.cap, limit.capacity))
    return min(limit.cap, max(1, capacity - limit.foreign))


def count_claimable(limit: ConcurrencyLimit, running: int, claimed: int) -> int:
    """Counts further claims that may be made now.

    Args:
        limit: The limit.
        running: Requests in progress.
        claimed: Claims whose request has not come yet.

    Returns:
        Number of claims, not negative.
    """
    return max(0, compute_own_limit(limit) + limit.ahead - running - claimed)


def count_startable(limit: ConcurrencyLimit) -> int:
    """Counts further requests that may be passed to the upstream now.

    Returns:
        Number of requests; with those in flight never above the cap.

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
    most = min(limit.cap, compute_own_limit(limit) + limit.ahead)
    return max(0, most - limit.in_flight.current)
