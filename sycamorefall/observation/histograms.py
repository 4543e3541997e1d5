"""Time histograms: per team for the busiest teams, per service for the others.

With 31,000 teams, histograms for each team would need many times the memory
of a process. Only the busiest teams have their own histograms; all other teams
of a service share one set.
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
"""Maximum number of (service, team) pairs that have their own histograms."""

OTHER_TEAMS = ""
"""Team name of the histograms shared by all teams without their own."""

UNITS_PER_SECOND = 10_000
"""Recorded units per second; the unit is 0.1 ms."""

MAX_TIME_UNITS = 3600 * UNITS_PER_SECOND
"""Longest recorded time in units; longer times are recorded as this value."""

SIGNIFICANT_DIGITS = 2
"""Decimal digits of precision of the histograms."""

MAX_PENDING_VALUES = 256
"""Distinct pending values at which they are moved into the histogram."""

COUNT_BYTES = 4
"""Bytes of one histogram count: up to 4 billion; 8 would double the memory."""


class TimeKind(enum.IntEnum):
    """The times that are recorded for a request.

    An `IntEnum` since members are hashed for each token, and the hash of a
    plain `Enum` member is a slow Python function.

    WAIT: from arrival to the start of the first attempt.
    FIRST_TOKEN: from arrival to the first piece of a streamed response.
    BETWEEN_TOKENS: from one piece of a streamed response to the next.
    TOTAL: from arrival to the end of the response.
    """

    WAIT = 1
    FIRST_TOKEN = 2
    BETWEEN_TOKENS = 3
    TOTAL = 4

    @property
    def label(self) -> str:
        """Name of the time in metric names and in the status."""
        return self.name.lower()

    @property
    def text(self) -> str:
        """Description of the time in the help text of its metric."""
        return _TEXTS[self]


_TEXTS = {
    TimeKind.WAIT: "Time from arrival to hand-out",
    TimeKind.FIRST_TOKEN: "Time from arrival to the first piece streamed",
    TimeKind.BETWEEN_TOKENS: "Time from one piece streamed to the next",
    TimeKind.TOTAL: "Time from arrival to the whole answer",
}


class TimeHistogram:
    """A histogram of times and their sum.

    Recorded values are first counted in a dictionary and then moved into the
    `HdrHistogram` in batches: recording each value there takes as long as the
    system calls for one streamed piece.

    Attributes:
        seconds: Sum of the recorded times.
    """

    __slots__ = ("_counts", "_pending", "seconds")

    def __init__(self):
        self._counts = histogram.HdrHistogram(
            1, MAX_TIME_UNITS, SIGNIFICANT_DIGITS, word_size=COUNT_BYTES
        )
        self._pending: dict[int, int] = {}
        self.seconds = 0.0

    @property
    def counts(self) -> histogram.HdrHistogram:
        """The histogram in units of 0.1 ms, including the pending values."""
        for units, count in self._pending.items():
            if not self._counts.record_value(units, count):
                self._counts.record_value(MAX_TIME_UNITS, count)
        self._pending.clear()
        return self._counts

    def record(self, seconds: float) -> None:
        """Records one time; times below one unit count as one unit."""
        units = int(seconds * UNITS_PER_SECOND) or 1
        self._pending[units] = self._pending.get(units, 0) + 1
        self.seconds += seconds
        if len(self._pending) >= MAX_PENDING_VALUES:
            _ = self.counts

    def merge(self, other: "TimeHistogram") -> None:
        """Adds the recorded times of another histogram."""
        self.counts.add(other.counts)
        self.seconds += other.seconds

    def clear(self) -> None:
        """Removes all recorded times."""
        self._pending.clear()
        self._counts.reset()
        self.seconds = 0.0

    @property
    def count(self) -> int:
        """Number of recorded times."""
        return self.counts.get_total_count()

    def encode(self) -> str:
        """Encodes the histogram in the V2 format of HdrHistogram, in Base64."""
        return self.counts.encode().decode("ascii")

    def compute_quantiles(self, quantiles: tuple[float, ...]) -> list[float]:
        """Computes quantiles of the recorded times in seconds.

        Equals `get_value_at_percentile` of the library, which takes more than
        twice as long since it reads the counts one by one. A metrics scrape
        computes the quantiles of all histograms at once and blocks the event
        loop meanwhile.
        """
        counts = self.counts
        # Slicing copies all counts at once; iterating reads them one by one.
        sums = list(itertools.accumulate(counts.counts[:]))
        targets = (
            counts.get_target_count_at_percentile(100.0 * quantile)
            for quantile in quantiles
        )
        # Without recorded times, no cumulative sum reaches a target.
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
        by_team: Histograms by (service, team); those of the team
            `OTHER_TEAMS` are shared by all teams that aren't among the
            busiest.
        busiest: Selects the (service, team) pairs that have their own
            histograms.
        reusable: Cleared histograms of displaced teams. They are reused since
            an `HdrHistogram` has a reference cycle: a dropped one stays in
            memory until the next run of the garbage collector.
    """

    by_team: _HistogramsByTeam = dataclasses.field(default_factory=dict)
    busiest: heavy_hitters_module.HeavyHitters = dataclasses.field(
        default_factory=lambda: heavy_hitters_module.HeavyHitters(MAX_TEAMS)
    )
    reusable: list[TimeHistogram] = dataclasses.field(default_factory=list)


def record_request(histograms: TeamHistograms, service: str, team: str) -> None:
    """Counts a team's request; the team may become one of the busiest.

    The histograms of a team that is displaced from the busiest are merged into
    the shared ones of its service, so that no recorded time is lost.

    Args:
        histograms: The histograms; modified.
        service: The requested service.
        team: The team.
    """
    displaced = heavy_hitters_module.record_key(
        histograms.busiest, (service, team)
    )
    if displaced is None:
        return
    for kind, recorded in histograms.by_team.pop(displaced, {}).items():
        _get_or_create_histogram(
            histograms, (displaced[0], OTHER_TEAMS), kind
        ).merge(recorded)
        recorded.clear()
        histograms.reusable.append(recorded)


def _get_or_create_histogram(
    histograms: TeamHistograms, key: tuple[str, str], kind: TimeKind
) -> TimeHistogram:
    by_kind = histograms.by_team.setdefault(key, {})
    found = by_kind.get(kind)
    if found is None:
        reusable = histograms.reusable
        found = by_kind[kind] = reusable.pop() if reusable else TimeHistogram()
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
        histograms: The histograms; modified.
        service: The requested service.
        team: The team.
        kind: Kind of the time.
        seconds: The time in seconds.
    """
    key = (service, team)
    if key not in histograms.busiest.selected:
        key = (service, OTHER_TEAMS)
    _get_or_create_histogram(histograms, key, kind).record(seconds)


def list_histograms(
    histograms: TeamHistograms,
) -> Iterator[tuple[str, str, TimeKind, TimeHistogram]]:
    """Lists all histograms with service, team and kind of time."""
    for (service, team), by_kind in sorted(histograms.by_team.items()):
        for kind, recorded in by_kind.items():
            yield service, team, kind, recorded
