"""What teams asked for and got second by second, and who got too little."""

__all__ = [
    "Shares",
    "Shortfall",
    "find_shortfalls",
    "note_asked",
    "note_begun",
    "note_delayed",
]

import collections
import dataclasses

WINDOW = 6
"""Seconds over which a team's share is judged."""

ENOUGH = 0.5
"""Part that a team must get of what it asked for, or of what the best served
team got, whichever is less."""

LARGEST = 3
"""Requests of the largest size by which a share may fall short."""


@dataclasses.dataclass(slots=True)
class Shares:
    """What teams asked for and got, in cost units.

    Attributes:
        asked: By second, then by team.
        begun: Of requests that an engine began, in the same form.
        delayed: Seconds in which a request of a team was refused or waited
            past its target, by team.
        largest: The largest request.
    """

    asked: dict[int, collections.Counter[str]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(collections.Counter)
    )
    begun: dict[int, collections.Counter[str]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(collections.Counter)
    )
    delayed: dict[str, set[int]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(set)
    )
    largest: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Shortfall:
    """A team that got too little.

    Attributes:
        second: The first second of the window.
        team: The team.
        asked: What it asked for, in cost units.
        got: What it got.
        best: What the best served team got.
        share: What it got as a part of what it should have got.
    """

    second: int
    team: str
    asked: int
    got: int
    best: int
    share: float


def note_asked(shares: Shares, now: float, team: str, cost: int) -> None:
    """Takes note of a request that a caller sends for the first time."""
    shares.asked[int(now)][team] += cost
    shares.largest = max(shares.largest, cost)


def note_begun(shares: Shares, now: float, team: str, cost: int) -> None:
    """Takes note of a request that an engine begins."""
    shares.begun[int(now)][team] += cost


def note_delayed(shares: Shares, now: float, team: str) -> None:
    """Takes note that a team's request is refused or waits past its target."""
    shares.delayed[team].add(int(now))


def find_shortfalls(shares: Shares) -> list[Shortfall]:
    """Finds the teams that waited through a window and got too little.

    Example:
        >>> shares = Shares()
        >>> for second in range(WINDOW):
        ...     note_asked(shares, second, "mill", 100)
        ...     note_delayed(shares, second, "mill")
        ...     note_begun(shares, second, "mill", 10)
        ...     note_asked(shares, second, "trader", 90)
        ...     note_begun(shares, second, "trader", 90)
        >>> shares.largest = 1
        >>> [(one.team, one.got, one.best) for one in find_shortfalls(shares)]
        [('mill', 60, 540)]
    """
    seconds = range(max(shares.asked, default=0) - WINDOW + 2)
    found = (
        _judge(shares, range(first, first + WINDOW), team)
        for first in seconds
        for team in sorted(shares.delayed)
        if shares.delayed[team].issuperset(range(first, first + WINDOW))
    )
    return [one for one in found if one is not None]


def _judge(shares: Shares, window: range, team: str) -> Shortfall | None:
    asked = [shares.asked[second][team] for second in window]
    got = sum(shares.begun[second][team] for second in window)
    others = {name for second in window for name in shares.begun[second]}
    owed = {
        name: sum(
            min(most, shares.begun[second][name])
            for second, most in zip(window, asked, strict=True)
        )
        for name in others - {team}
    }
    if not owed:
        return None
    best = max(owed, key=owed.get)
    due = ENOUGH * owed[best] - LARGEST * shares.largest
    if got >= due:
        return None
    served = sum(shares.begun[second][best] for second in window)
    return Shortfall(window[0], team, sum(asked), got, served, got / owed[best])
