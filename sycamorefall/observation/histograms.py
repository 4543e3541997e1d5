"""Histograms of times, per team for the busiest and per service for the rest.

At 31,000 teams a set of histograms for each would take many times a
process's memory; so only the busiest teams have their own, and all others of
a service share one set.
"""

__all__ = [
    "OTHER_TEAMS",
    "TeamHistograms",
    "TimeHistogram",
    "TimeKind",
    "list_histograms",
    "record_request",
    "record_time",
]

import bisect
from collections.abc import Iterator
import dataclasses
import enum
import itertools

from hdrh import histogram

from sycamorefall.observation import heavy_hitters as heavy_hitters_module

MAX_TEAMS = 20
"""Teams, each at one service, that have histograms of their own."""

OTHER_TEAMS = ""
"""In place of a team's name: all teams that have no histograms."""

UNITS_PER_SECOND = 10_000
"""Times are recorded in units of 0.1 ms."""

MAX_TIME_UNITS = 3600 * UNITS_PER_SECOND
"""Longest time recorded, in units; longer ones count as this."""

SIGNIFICANT_DIGITS = 2
"""Significant digits of a recorded time."""

MAX_PENDING_VALUES = 256
"""Different times that are counted before they go into the histogram."""

COUNT_BYTES = 4
"""Size of one count: up to 4 billion; 8 would double the memory."""


class TimeKind(enum.IntEnum):
    """The times that are recorded of a request.

    An `IntEnum`, as the hash of a plain one is a slow Python function and is
    taken for each token.

    WAIT: from arrival to hand-out.
    FIRST_TOKEN: from arrival to the first piece of a streamed answer.
    BETWEEN_TOKENS: from one piece of a streamed answer to the next.
    TOTAL: from arrival to the whole answer.
    """

    WAIT = 1
    FIRST_TOKEN = 2
    BETWEEN_TOKENS = 3
    TOTAL = 4

    @property
    def label(self) -> str:
        """Its name in metrics and status."""
        return self.name.lower()

    @property
    def text(self) -> str:
        """Its description in metrics."""
        return _TEXTS[self]


_TEXTS = {
    TimeKind.WAIT: "Time from arrival to hand-out",
    TimeKind.FIRST_TOKEN: "Time from arrival to the first piece streamed",
    TimeKind.BETWEEN_TOKENS: "Time from one piece streamed to the next",
    TimeKind.TOTAL: "Time from arrival to the whole answer",
}


class TimeHistogram:
    """A histogram of times with their sum.

    Times are counted by their units first and put into the histogram many at
    once: one at a time, the library takes as long for a streamed piece as its
    system calls.

    Attributes:
        seconds: Sum of the recorded times.
    """

    __slots__ = ("_counts", "_new", "seconds")

    def __init__(self):
        self._counts = histogram.HdrHistogram(
            1, MAX_TIME_UNITS, SIGNIFICANT_DIGITS, word_size=COUNT_BYTES
        )
        self._pending: dict[int, int] = {}
        self.seconds = 0.0

    @property
    def counts(self) -> histogram.HdrHistogram:
        """The histogram, in units of 0.1 ms."""
        for units, count in self._pending.items():
            if not self._counts.record_value(units, count):
                self._counts.record_value(MAX_TIME_UNITS, count)
        self._pending.clear()
        return self._counts

    def record(self, seconds: float) -> None:
        """Records one time."""
        units = int(seconds * UNITS_PER_SECOND) or 1
        self._pending[units] = self._pending.get(units, 0) + 1
        self.seconds += seconds
        if len(self._pending) >= MAX_PENDING_VALUES:
            _ = self.counts

    def merge(self, other: "TimeHistogram") -> None:
        """Adds what another recorded."""
        self.counts.add(other.counts)
        self.seconds += other.seconds

    def clear(self) -> None:
        """Forgets what was recorded."""
        self._pending.clear()
        self._counts.reset()
        self.seconds = 0.0

    @property
    def count(self) -> int:
        """How many times were recorded."""
        return self.counts.get_total_count()

    def encode(self) -> str:
        """Encodes the counts as HdrHistogram's V2 format in Base64."""
        return self.counts.encode().decode("ascii")

    def compute_quantiles(self, quantiles: tuple[float, ...]) -> list[float]:
        """Finds the times, in seconds, below which shares of all lie.

        The library's own function reads one count after the other, which
        takes more than twice as long; a scrape asks all histograms at once and
        stops the loop meanwhile.
        """
        counts = self.counts
        # A slice becomes a list at once; iterating reads one by one too.
        sums = list(itertools.accumulate(counts.counts[:]))
        targets = (
            counts.get_target_count_at_percentile(100.0 * quantile)
            for quantile in quantiles
        )
        # With nothing recorded no sum reaches a target.
        indexes = (bisect.bisect_left(sums, target) for target in targets)
        values = (
            counts.get_highest_equivalent_value(
                counts.get_value_from_index(index)
            )
            if index < len(sums)
            else 0
            for index in indexes
        )
        return [value / UNITS_PER_SECOND for value in values]


_HistogramsByTeam = dict[tuple[str, str], dict[TimeKind, TimeHistogram]]


@dataclasses.dataclass(slots=True)
class TeamHistograms:
    """Histograms by service, team and kind of time.

    Attributes:
        by_team: Histograms by (service, team); the team `OTHER_TEAMS` has those
            of all
            teams that are not among the busiest.
        busiest: The (service, team) pairs that have their own.
        reusable: Histograms of teams that lost their place, to be used again:
            an HdrHistogram refers to itself, so one that is dropped stays in
            memory until the next run of the garbage collector.
    """

    by_team: _HistogramsByTeam = dataclasses.field(default_factory=dict)
    busiest: heavy_hitters_module.HeavyHitters = dataclasses.field(
        default_factory=lambda: heavy_hitters_module.HeavyHitters(MAX_TEAMS)
    )
    reusable: list[TimeHistogram] = dataclasses.field(default_factory=list)


def record_request(histograms: TeamHistograms, service: str, team: str) -> None:
    """Counts a team's request; the team may become one of the busiest.

    A team that loses its place has its histograms added to the rest's, so
    that no recorded time is lost.

    Args:
        histograms: The histograms; changed.
        service: The service asked for.
        team: The team.
    """
    displaced = heavy_hitters_module.record_key(
        histograms.busiest, (service, team)
    )
    if displaced is None:
        return
    for kind, own in histograms.by_team.pop(displaced, {}).items():
        _get_or_create_histogram(
            histograms, (displaced[0], OTHER_TEAMS), kind
        ).merge(own)
        own.clear()
        histograms.reusable.append(own)


def _get_or_create_histogram(
    histograms: TeamHistograms, key: tuple[str, str], kind: TimeKind
) -> TimeHistogram:
    own = histograms.by_team.setdefault(key, {})
    found = own.get(kind)
    if found is None:
        reusable = histograms.reusable
        found = own[kind] = reusable.pop() if reusable else TimeHistogram()
    return found


def record_time(
    histograms: TeamHistograms,
    service: str,
    team: str,
    kind: TimeKind,
    seconds: float,
) -> None:
    """Records one time of a team's request.

    Args:
        histograms: The histograms; changed.
        service: The service.
        team: The team.
        kind: Which time it is.
        seconds: The time.
    """
    key = (service, team)
    if key not in histograms.busiest.selected:
        key = (service, OTHER_TEAMS)
    _get_or_create_histogram(histograms, key, kind).record(seconds)


def list_histograms(
    histograms: TeamHistograms,
) -> Iterator[tuple[str, str, TimeKind, TimeHistogram]]:
    """Lists all histograms with service, team and kind."""
    for (service, team), own in sorted(histograms.by_team.items()):
        for kind, recorded in own.items():
            yield service, team, kind, recorded
