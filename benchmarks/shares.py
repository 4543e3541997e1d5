"""Requested and received service of teams per second, and shortfalls."""

__all__ = [
    "Shares",
    "Shortfall",
    "find_shortfalls",
    "record_requested",
    "record_started",
    "record_delayed",
]

import collections
import dataclasses

WINDOW = 6
"""Length of the window over which a team's share is checked, in seconds."""

MIN_SHARE = 0.5
"""Minimum share of a team.

The share is a fraction of what the team requested, or of what the best served
team received, whichever is less.
"""

TOLERATED_REQUESTS = 3
"""Largest shortfall that is tolerated, in requests of the largest size."""


@dataclasses.dataclass(slots=True)
class Shares:
    """Requested and received service of teams, in cost units.

    Attributes:
        requested: Cost of new requests, by second, then by team.
        started: Cost of requests started by engines, by second, then by team.
        delayed: Seconds in which a request of the team was refused or missed
            its target latency, by team.
        largest: Cost of the largest request.
    """

    requested: dict[int, collections.Counter[str]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(collections.Counter)
    )
    started: dict[int, collections.Counter[str]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(collections.Counter)
    )
    delayed: dict[str, set[int]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(set)
    )
    largest: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Shortfall:
    """A team that received less than its share in a window.

    Attributes:
        second: First second of the window.
        team: Name of the team.
        requested: Cost units that the team requested.
        received: Cost units that the team received.
        best: Cost units that the best served team received.
        share: Received service as a fraction of the best served team's, which
            is capped in each second by what this team requested.
    """

    second: int
    team: str
    requested: int
    received: int
    best: int
    share: float


def record_requested(shares: Shares, now: float, team: str, cost: int) -> None:
    """Records a request that a caller sends for the first time."""
    shares.requested[int(now)][team] += cost
    shares.largest = max(shares.largest, cost)


def record_started(shares: Shares, now: float, team: str, cost: int) -> None:
    """Records a request that an engine starts."""
    shares.started[int(now)][team] += cost


def record_delayed(shares: Shares, now: float, team: str) -> None:
    """Records a request that is refused or misses its target latency."""
    shares.delayed[team].add(int(now))


def find_shortfalls(shares: Shares) -> list[Shortfall]:
    """Finds the teams that waited throughout a window and received too little.

    A team waits in a second if one of its requests is refused or misses its
    target latency in it.

    Example:
        >>> shares = Shares()
        >>> for second in range(WINDOW):
        ...     record_requested(shares, second, "mill", 100)
        ...     record_delayed(shares, second, "mill")
        ...     record_started(shares, second, "mill", 10)
        ...     record_requested(shares, second, "trader", 90)
        ...     record_started(shares, second, "trader", 90)
        >>> shares.largest = 1
        >>> found = find_shortfalls(shares)
        >>> [(one.team, one.received, one.best) for one in found]
        [('mill', 60, 540)]
    """
    seconds = range(max(shares.requested, default=0) - WINDOW + 2)
    found = (
        _check_window(shares, range(first, first + WINDOW), team)
        for first in seconds
        for team in sorted(shares.delayed)
        if shares.delayed[team].issuperset(range(first, first + WINDOW))
    )
    return [one for one in found if one is not None]


def _check_window(shares: Shares, window: range, team: str) -> Shortfall | None:
    requested = [shares.requested[second][team] for second in window]
    received = sum(shares.started[second][team] for second in window)
    others = {name for second in window for name in shares.started[second]}
    capped_service = {
        name: sum(
            min(most, shares.started[second][name])
            for second, most in zip(window, requested, strict=True)
        )
        for name in others - {team}
    }
    if not capped_service:
        return None
    best = max(capped_service, key=capped_service.get)
    required = (
        MIN_SHARE * capped_service[best] - TOLERATED_REQUESTS * shares.largest
    )
    if received >= required:
        return None
    served = sum(shares.started[second][best] for second in window)
    return Shortfall(
        window[0],
        team,
        sum(requested),
        received,
        served,
        received / capped_service[best],
    )
