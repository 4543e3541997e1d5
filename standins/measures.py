"""Fairness gap and lost capacity, from the records of callers and upstreams.

The demo, the benchmarks and the tests use these functions. The counts of
wrong, lost and doubled answers are computed in `standins.report`.
"""

import bisect
from collections.abc import Iterable
import dataclasses
import itertools


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceInterval:
    """Service that a team received by one run at an upstream.

    Attributes:
        team: The team.
        started: Time at which the run started, in seconds.
        finished: Time at which the run ended, in seconds.
        cost: Cost units, assumed to be spread evenly over that interval.
    """

    team: str
    started: float
    finished: float
    cost: float


@dataclasses.dataclass(slots=True, frozen=True)
class WaitInterval:
    """Interval from the sending of a request to its start or its failure."""

    team: str
    began: float
    ended: float


class _CumulativeService:
    """Cumulative service of a team, a piecewise linear function of time."""

    __slots__ = ("rates", "times", "totals")

    def __init__(self, services: Iterable[ServiceInterval]):
        steps: dict[float, float] = {}
        for service in services:
            duration = max(service.finished - service.started, 1e-9)
            rate = service.cost / duration
            begin, end = service.started, service.started + duration
            steps[begin] = steps.get(begin, 0.0) + rate
            steps[end] = steps.get(end, 0.0) - rate
        self.times = sorted(steps)
        self.rates = list(itertools.accumulate(steps[t] for t in self.times))
        durations = (b - a for a, b in itertools.pairwise(self.times))
        gains = (r * s for r, s in zip(self.rates, durations, strict=False))
        self.totals = list(itertools.accumulate(gains, initial=0.0))

    def compute_total(self, time: float) -> float:
        """Computes the cost units received until a time."""
        index = bisect.bisect_right(self.times, time) - 1
        if index < 0:
            return 0.0
        elapsed = time - self.times[index]
        return self.totals[index] + self.rates[index] * elapsed

    def list_breakpoints(self, begin: float, end: float) -> list[float]:
        """Lists the times between two times at which the slope changes."""
        left = bisect.bisect_left(self.times, begin)
        right = bisect.bisect_right(self.times, end)
        return self.times[left:right]


def merge_intervals(
    intervals: Iterable[tuple[float, float]],
) -> list[tuple[float, float]]:
    """Merges overlapping and adjacent intervals.

    Example:
        >>> merge_intervals([(3, 4), (0, 2), (1, 3)])
        [(0, 4)]
    """
    merged: list[tuple[float, float]] = []
    for begin, end in sorted(intervals):
        if merged and begin <= merged[-1][1]:
            merged[-1] = (merged[-1][0], max(end, merged[-1][1]))
        else:
            merged.append((begin, end))
    return merged


def _intersect(
    first: list[tuple[float, float]], second: list[tuple[float, float]]
) -> list[tuple[float, float]]:
    """Intersects two sets of intervals.

    Each is a sorted list whose intervals are disjoint.
    """
    common: list[tuple[float, float]] = []
    index = other = 0
    while index < len(first) and other < len(second):
        begin = max(first[index][0], second[other][0])
        end = min(first[index][1], second[other][1])
        if begin < end:
            common.append((begin, end))
        if first[index][1] <= second[other][1]:
            index += 1
        else:
            other += 1
    return common


def compute_fairness_gap(
    services: list[ServiceInterval],
    waits: list[WaitInterval],
    weights: dict[str, float],
) -> float:
    """Computes the fairness gap of one service.

    This is the largest difference between two teams in the service received
    per weight, over all time windows in which both had requests waiting
    throughout.

    Args:
        services: Service given by all upstreams of the service.
        waits: Waiting times of all requests to the service.
        weights: Weights by team.

    Returns:
        The gap in cost units per weight.
    """
    curves = {
        team: _CumulativeService(s for s in services if s.team == team)
        for team in weights
    }
    waiting = {
        team: merge_intervals(
            (wait.began, wait.ended) for wait in waits if wait.team == team
        )
        for team in weights
    }
    gap = 0.0
    for one, other in itertools.combinations(weights, 2):

        def compute_difference(time: float, a=one, b=other) -> float:
            service_a = curves[a].compute_total(time) / weights[a]
            return service_a - curves[b].compute_total(time) / weights[b]

        for begin, end in _intersect(waiting[one], waiting[other]):
            times = [
                begin,
                end,
                *curves[one].list_breakpoints(begin, end),
                *curves[other].list_breakpoints(begin, end),
            ]
            differences = list(map(compute_difference, times))
            gap = max(gap, max(differences) - min(differences))
    return gap


def compute_lost_capacity(
    services: list[ServiceInterval], waits: list[WaitInterval], slots: int
) -> float:
    """Computes the share of slot time that was idle while requests waited.

    Args:
        services: Service given by all upstreams of one service.
        waits: Waiting times of all requests to the service.
        slots: Total slots of its upstreams.

    Returns:
        The time integral of min(free slots, waiting requests), divided by
        that of the slots; from 0 to 1.
    """
    steps: list[tuple[float, int, int]] = []
    for service in services:
        steps += [(service.started, 1, 0), (service.finished, -1, 0)]
    for wait in waits:
        steps += [(wait.began, 0, 1), (wait.ended, 0, -1)]
    steps.sort()
    if not steps or slots <= 0:
        return 0.0
    lost = 0.0
    running = waiting = 0
    previous = steps[0][0]
    for time, run_step, wait_step in steps:
        free = max(0, slots - running)
        lost += min(free, waiting) * (time - previous)
        previous = time
        running += run_step
        waiting += wait_step
    return lost / (slots * (steps[-1][0] - steps[0][0]))
