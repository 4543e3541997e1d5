"""Loads of the benchmarks: who sends what to which router, and when."""

__all__ = ["CASES", "Arrival", "Case", "Sender", "plan_arrivals"]

import dataclasses
import math
import random

from benchmarks import upstream

LARGEST_COST = 5000.0
"""Cost units of the largest request."""

SPREAD = 1.0
"""Standard deviation of the logarithm of a cost."""

HINT_ERROR = 10.0
"""Most by which a hint is too high or too low, as a factor."""


@dataclasses.dataclass(slots=True, frozen=True)
class Sender:
    """A team as a source of load.

    Attributes:
        team: The team.
        share: Its load relative to the other teams'.
        weight: Its weight in the configuration.
        mean_cost: Mean cost units of its requests, before the cap.
        router: Number of the one router that it uses; None for all.
        starts: Part of the run after which it sends its first request.
    """

    team: str
    share: float = 1.0
    weight: float = 1.0
    mean_cost: float = 250.0
    router: int | None = None
    starts: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Case:
    """A load to be measured.

    Attributes:
        name: Its name in tables.
        senders: The teams.
        load: Offered load as a part of the capacity.
        hints: Whether requests carry hints, off by up to `HINT_ERROR`.
        cut: Begin and end of a partition, as parts of the run; it separates
            the first router and the first half of the upstreams from the
            rest.
    """

    name: str
    senders: tuple[Sender, ...]
    load: float
    hints: bool = False
    cut: tuple[float, float] = (0.0, 0.0)


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """A request as it comes to a router."""

    number: int
    at: float
    team: str
    router: int
    cost: float
    hint: float


def _name_teams(count: int) -> list[str]:
    return [f"team-{index:02}" for index in range(count)]


_TEAMS = _name_teams(16)
_EVEN = tuple(Sender(team) for team in _TEAMS)
_MIXED = tuple(
    Sender(team, mean_cost=50.0 if index % 2 else 1000.0)
    for index, team in enumerate(_TEAMS)
)

CASES = {
    case.name: case
    for case in (
        Case("even", _EVEN, 1.5),
        Case(
            "skewed",
            (Sender(_TEAMS[0], share=8.0, router=0), *_EVEN[1:]),
            2.3,
        ),
        Case("flood", (Sender(_TEAMS[0], share=50.0), *_EVEN[1:]), 6.1),
        Case(
            "weights",
            tuple(
                Sender(team, share=2.0 ** (i % 4), weight=2.0 ** (i % 4))
                for i, team in enumerate(_TEAMS)
            ),
            1.5,
        ),
        Case("hints", _MIXED, 1.5, hints=True),
        Case(
            "returning",
            (Sender(_TEAMS[0], share=8.0, starts=0.5), *_EVEN[1:]),
            2.3,
        ),
        Case(
            "partition",
            (
                Sender(_TEAMS[0], share=16.0),
                *(
                    Sender(team, router=1 + i % 3)
                    for i, team in enumerate(_TEAMS[1:])
                ),
            ),
            3.0,
            cut=(0.2, 0.5),
        ),
        Case("idle at 0.5", _MIXED, 0.5),
        Case("idle at 0.9", _MIXED, 0.9),
        Case("idle at 1.5", _MIXED, 1.5),
    )
}
"""Cases by name. The shares make every other team of `flood` and `skewed`
offer about 1.5 times what an equal share of the capacity would be."""


def plan_arrivals(
    case: Case, slots: int, routers: int, seconds: float, seed: int
) -> list[Arrival]:
    """Plans all requests of a run.

    Args:
        case: The load.
        slots: Slots of all upstreams.
        routers: Number of routers.
        seconds: How long requests come.
        seed: Seed of all choices.

    Returns:
        The requests in order of their time, which begins at 0.
    """
    capacity = slots * upstream.UNITS_PER_SECOND
    shares = sum(sender.share for sender in case.senders)
    arrivals: list[Arrival] = []
    for sender in case.senders:
        chance = random.Random(f"{seed}/{sender.team}")
        units = case.load * capacity * sender.share / shares
        rate = units / sender.mean_cost
        at = sender.starts * seconds + chance.expovariate(rate)
        while at < seconds:
            arrivals.append(_plan_one(chance, case, sender, at, routers))
            at += chance.expovariate(rate)
    arrivals.sort(key=lambda arrival: arrival.at)
    return [
        dataclasses.replace(arrival, number=number)
        for number, arrival in enumerate(arrivals)
    ]


def _plan_one(
    chance: random.Random, case: Case, sender: Sender, at: float, routers: int
) -> Arrival:
    center = math.log(sender.mean_cost) - SPREAD**2 / 2
    cost = min(LARGEST_COST, chance.lognormvariate(center, SPREAD))
    error = HINT_ERROR ** chance.uniform(-1, 1)
    router = chance.randrange(routers)
    if sender.router is not None:
        router = sender.router
    hint = cost * error if case.hints else 0.0
    return Arrival(0, at, sender.team, router, cost, hint)
