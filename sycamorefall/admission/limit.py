"""How many requests a sidecar lets into its upstream at once.

An engine admits what it is given and knows no priorities, so the order of
requests is the fleet's only while they wait at routers: the engine's inner
queue must stay near empty. It must not run dry either. `note_load` follows
the engine's lagged load reports; `note_latency` follows plain services, which
report no queue, by the latency of their answers.
"""

__all__ = [
    "ConcurrencyLimit",
    "LoadReport",
    "begin_low",
    "count_own",
    "count_room",
    "count_startable",
    "note_end",
    "note_foreign",
    "note_latency",
    "note_load",
    "note_start",
]

import dataclasses
import math

from sycamorefall.admission import history

LONGEST_LAG = 2.0
"""Seconds by which a load report may lag behind what it describes."""

REPORT_LIFETIME = 10.0
"""Seconds after which a report says nothing any more."""

IN_USE = 0.75
"""Share of the limit in flight from which on it counts as used up."""

LATENCY_WINDOW = 128
"""Requests whose mean latency is compared with the baseline."""

PROBING_WINDOW = 32
"""The same while the limit still doubles with each window."""

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
        latency_sum: Sum of latencies in the current window.
        latency_count: Requests in the current window.
    """

    cap: int = 1
    ahead: int = 1
    foreign: int = 0
    capacity: float = math.inf
    probing: bool = True
    in_flight: history.CountHistory = dataclasses.field(
        default_factory=lambda: history.CountHistory(LONGEST_LAG)
    )
    reported: float = -math.inf
    busiest: int = -1
    baseline: float = 0.0
    slow_mean: float = 0.0
    slow_capacity: float = 0.0
    latency_sum: float = 0.0
    latency_count: int = 0


def begin_low(limit: ConcurrencyLimit) -> None:
    """Starts at one request, because what runs at the upstream is unknown.

    Guards against a restart of the sidecar beside a busy upstream: with the
    whole cap at once the upstream would hold twice the cap, half of it in
    its inner queue, out of the fleet's order. The first load report tells
    what is there, else the limit doubles with each round of answers.
    """
    limit.capacity = 1.0
    limit.probing = True


def note_start(limit: ConcurrencyLimit, now: float) -> None:
    """Notes that an own request was passed to the upstream."""
    in_flight = limit.in_flight.current + 1
    history.note_count(limit.in_flight, now, in_flight)


def note_end(limit: ConcurrencyLimit, now: float) -> None:
    """Notes that an own request left the upstream."""
    in_flight = max(0, limit.in_flight.current - 1)
    history.note_count(limit.in_flight, now, in_flight)


def note_foreign(
    limit: ConcurrencyLimit, now: float, report: LoadReport
) -> None:
    """Takes over how many requests of others an upstream reports.

    The report describes the past, by an unknown lag of up to `LONGEST_LAG`.
    Only what exceeds the most own requests of that time is surely foreign.

    Args:
        limit: The limit; changed.
        now: This process's time.
        report: The report.
    """
    _, most = history.find_range(limit.in_flight, now)
    limit.foreign = max(0, report.running + report.queued - most)
    limit.reported = now


def note_load(limit: ConcurrencyLimit, now: float, report: LoadReport) -> None:
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
    note_foreign(limit, now, report)
    surplus = report.queued > limit.ahead
    if surplus:
        _shrink_to(limit, report.running, is_first)
    elif is_first and report.slots:
        _set_capacity(limit, report.slots)
    elif report.queued < limit.ahead and _was_used_up(limit, now):
        _grow(limit, report.slots or math.inf)
    limit.busiest = report.running if surplus else -1


def _was_used_up(limit: ConcurrencyLimit, now: float) -> bool:
    least, _ = history.find_range(limit.in_flight, now)
    return least >= max(1.0, IN_USE * count_own(limit))


def _shrink_to(limit: ConcurrencyLimit, running: int, is_first: bool) -> None:
    """Lowers the limit to what the engine runs while others queue.

    One report may catch a burst that the engine is just admitting, with few
    running yet. A queue that is still there in the next report is real.
    """
    if is_first or limit.busiest >= 0:
        limit.probing = False
        _set_capacity(limit, max(running, limit.busiest))


def _grow(limit: ConcurrencyLimit, most: float) -> None:
    step = limit.capacity if limit.probing else 1.0
    if limit.capacity < most:
        _set_capacity(limit, min(most, limit.capacity + step))


def _set_capacity(limit: ConcurrencyLimit, capacity: float) -> None:
    limit.capacity = max(1.0, min(float(limit.cap), capacity))


def note_latency(
    limit: ConcurrencyLimit, now: float, latency: float, is_engine: bool
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
    reports_come = now - limit.reported <= REPORT_LIFETIME
    if not reports_come:
        limit.foreign = 0
    in_use = limit.in_flight.current >= IN_USE * count_own(limit)
    if is_engine:
        if in_use and not reports_come:
            _grow_by_answer(limit)
        return
    limit.latency_sum += latency
    limit.latency_count += 1
    window = PROBING_WINDOW if limit.probing else LATENCY_WINDOW
    if limit.latency_count >= window:
        _judge_window(limit, in_use)


def _grow_by_answer(limit: ConcurrencyLimit) -> None:
    """Doubles the limit with each round of answers, or adds one to it."""
    if limit.capacity < limit.cap:
        step = 1.0 if limit.probing else 1.0 / limit.capacity
        _set_capacity(limit, limit.capacity + step)


def _judge_window(limit: ConcurrencyLimit, in_use: bool) -> None:
    mean = limit.latency_sum / limit.latency_count
    limit.latency_sum, limit.latency_count = 0.0, 0
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
        _grow(limit, limit.cap)


def _back_off(limit: ConcurrencyLimit, mean: float) -> None:
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
    _set_capacity(limit, DECREASE * capacity)


def count_own(limit: ConcurrencyLimit) -> int:
    """Counts the own requests that the upstream can work on at once.

    Guards against a limit stuck at zero: foreign requests may fill the
    upstream, or a wrong report may say so, and without a request of its own
    there the sidecar would never see an answer that shows otherwise. One is
    always let in; in the inner queue of a full upstream it does little harm.
    """
    capacity = int(min(limit.cap, limit.capacity))
    return min(limit.cap, max(1, capacity - limit.foreign))


def count_room(limit: ConcurrencyLimit, running: int, claimed: int) -> int:
    """Counts further claims that may be made now.

    Args:
        limit: The limit.
        running: Requests in progress.
        claimed: Claims whose request has not come yet.

    Returns:
        Number of claims, not negative.
    """
    return max(0, count_own(limit) + limit.ahead - running - claimed)


def count_startable(limit: ConcurrencyLimit) -> int:
    """Counts further requests that may be passed to the upstream now.

    Returns:
        Number of requests; with those in flight never above the cap.

    Example:
        >>> limit = ConcurrencyLimit(cap=8)
        >>> begin_low(limit)
        >>> count_startable(limit)
        2
        >>> note_load(limit, 1.0, LoadReport(running=4, queued=0, slots=6))
        >>> limit.foreign, count_startable(limit)
        (4, 3)
    """
    most = min(limit.cap, count_own(limit) + limit.ahead)
    return max(0, most - limit.in_flight.current)
