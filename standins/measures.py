"""Measures of a fleet, from what callers and upstreams saw.

The fairness gap, lost capacity, and the counts of wrong, lost and doubled
answers are computed here for demo, benchmarks and tests alike.
"""

import bisect
from collections.abc import Iterable
import dataclasses
import itertools


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceInterval:
    """Service that a team received, in time.

    Attributes:
        team: The team.
        started: When an upstream began.
        finished: When it ended.
        cost: Cost units, taken as given evenly over that time.
    """

    team: str
    started: float
    finished: float
    cost: float


@dataclasses.dataclass(slots=True, frozen=True)
class WaitInterval:
    """A request's time from being sent to being started or given up."""

    team: str
    began: float
    ended: float


class _Curve:
    """A team's cumulative service, piecewise linear in time."""

    __slots__ = ("rates", "times", "totals")

    def __init__(self, services: Iterable[ServiceInterval]):
        steps: dict[float, float] = {}
        for service in services:
            length = max(service.finished - service.started, 1e-9)
            rate = service.cost / length
            begin, end = service.started, service.started + length
            steps[begin] = steps.get(begin, 0.0) + rate
            steps[end] = steps.get(end, 0.0) - rate
        self.times = sorted(steps)
        self.rates = list(itertools.accumulate(steps[t] for t in self.times))
        spans = (b - a for a, b in itertools.pairwise(self.times))
        gains = (r * s for r, s in zip(self.rates, spans, strict=False))
        self.totals = list(itertools.accumulate(gains, initial=0.0))

    def read(self, time: float) -> float:
        """Reads the service received until a time."""
        index = bisect.bisect_right(self.times, time) - 1
        if index < 0:
            return 0.0
        since = time - self.times[index]
        return self.totals[index] + self.rates[index] * since

    def list_times(self, begin: float, end: float) -> list[float]:
        """Lists the bends of the curve between two times."""
        left = bisect.bisect_left(self.times, begin)
        right = bisect.bisect_right(self.times, end)
        return self.times[left:right]


def merge_intervals(
    intervals: Iterable[tuple[float, float]],
) -> list[tuple[float, float]]:
    """Merges overlapping intervals.

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
    """Intersects two sorted lists of intervals that don't overlap inside."""
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
    """Measures the fairness gap.

    It is the largest difference in weighted service between two teams, over
    every window in which both had work waiting throughout.

    Args:
        services: All service given by the upstreams of one service.
        waits: All waits for that service.
        weights: Weights by team.

    Returns:
        The gap in cost units per weight.
    """
    curves = {
        team: _Curve(s for s in services if s.team == team) for team in weights
    }
    waiting = {
        team: merge_intervals(
            (wait.began, wait.ended) for wait in waits if wait.team == team
        )
        for team in weights
    }
    gap = 0.0
    for one, other in itertools.combinations(weights, 2):

        def differ(time: float, a=one, b=other) -> float:
            served_a = curves[a].read(time) / weights[a]
            return served_a - curves[b].read(time) / weights[b]

        for begin, end in _intersect(waiting[one], waiting[other]):
            times = [
                begin,
                end,
                *curves[one].list_times(begin, end),
                *curves[other].list_times(begin, end),
            ]
            differences = list(map(differ, times))
            gap = max(gap, max(differences) - min(differences))
    return gap


def compute_lost_capacity(
    services: list[ServiceInterval], waits: list[WaitInterval], slots: int
) -> float:
    """Measures the share of slot time that was idle while work waited.

    Args:
        services: All service given by the upstreams of one service.
        waits: All waits for that service.
        slots: Slots of all its upstreams.

    Returns:
        Integral of min(free slots, waiting requests) over that of slots.
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
