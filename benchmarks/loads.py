"""Generated loads: which team sends which request to which router, and when."""

__all__ = ["CASES", "Arrival", "Case", "Sender", "plan_arrivals"]

import dataclasses
import math
import random

from benchmarks import upstream

LARGEST_COST = 5000.0
"""Cost units of the largest request."""

COST_SIGMA = 1.0
"""Standard deviation of the logarithm of a request's cost."""

MAX_HINT_FACTOR = 10.0
"""Largest factor by which a hint is too high or too low."""


@dataclasses.dataclass(slots=True, frozen=True)
class Sender:
    """Load of one team.

    Attributes:
        team: Name of the team.
        share: Load relative to the other teams'.
        weight: Weight of the team in the configuration.
        mean_cost: Mean cost units of its requests, before the cap.
        router: Number of the only router that the team uses; None for all
            routers.
        starts: Fraction of the run after which the team starts to send.
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
        name: Label in tables.
        senders: The teams.
        load: Offered load as a fraction of the capacity.
        hints: Whether requests carry cost hints, wrong by up to
            `MAX_HINT_FACTOR`.
        partition: Start and end of a network partition, as fractions of the
            run. The partition separates the first router and the first half of
            the upstreams from the rest.
    """

    name: str
    senders: tuple[Sender, ...]
    load: float
    hints: bool = False
    partition: tuple[float, float] = (0.0, 0.0)


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """A request that arrives at a router."""

    number: int
    at: float
    team: str
    router: int
    cost: float
    hint: float


def _name_teams(count: int) -> list[str]:
    return [f"team-{index:02}" for index in range(count)]


_TEAMS = _name_teams(16)
_EQUAL_SENDERS = tuple(Sender(team) for team in _TEAMS)
_MIXED_COST_SENDERS = tuple(
    Sender(team, mean_cost=50.0 if index % 2 else 1000.0)
    for index, team in enumerate(_TEAMS)
)

CASES = {
    case.name: case
    for case in (
        Case("even", _EQUAL_SENDERS, 1.5),
        Case(
            "skewed",
            (Sender(_TEAMS[0], share=8.0, router=0), *_EQUAL_SENDERS[1:]),
            2.3,
        ),
        Case(
            "flood", (Sender(_TEAMS[0], share=50.0), *_EQUAL_SENDERS[1:]), 6.1
        ),
        Case(
            "weights",
            tuple(
                Sender(team, share=2.0 ** (i % 4), weight=2.0 ** (i % 4))
                for i, team in enumerate(_TEAMS)
            ),
            1.5,
        ),
        Case("hints", _MIXED_COST_SENDERS, 1.5, hints=True),
        Case(
            "returning",
            (Sender(_TEAMS[0], share=8.0, starts=0.5), *_EQUAL_SENDERS[1:]),
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
            partition=(0.2, 0.5),
        ),
        Case("idle at 0.5", _MIXED_COST_SENDERS, 0.5),
        Case("idle at 0.9", _MIXED_COST_SENDERS, 0.9),
        Case("idle at 1.5", _MIXED_COST_SENDERS, 1.5),
    )
}
"""Cases by name.

The shares are chosen so that in `flood` and `skewed` each of the teams besides
the first offers about 1.5 times an equal share of the capacity.
"""


def plan_arrivals(
    case: Case, slots: int, routers: int, seconds: float, seed: int
) -> list[Arrival]:
    """Generates all requests of a run.

    Args:
        case: The load.
        slots: Number of slots of all upstreams.
        routers: Number of routers.
        seconds: Duration in which requests arrive.
        seed: Seed of all random choices.

    Returns:
        The requests in order of their arrival times, which start at 0.
    """
    capacity = slots * upstream.UNITS_PER_SECOND
    shares = sum(sender.share for sender in case.senders)
    arrivals: list[Arrival] = []
    for sender in case.senders:
        rng = random.Random(f"{seed}/{sender.team}")
        units = case.load * capacity * sender.share / shares
        rate = units / sender.mean_cost
        at = sender.starts * seconds + rng.expovariate(rate)
        while at < seconds:
            arrivals.append(_create_arrival(rng, case, sender, at, routers))
            at += rng.expovariate(rate)
    arrivals.sort(key=lambda arrival: arrival.at)
    return [
        dataclasses.replace(arrival, number=number)
        for number, arrival in enumerate(arrivals)
    ]


def _create_arrival(
    rng: random.Random, case: Case, sender: Sender, at: float, routers: int
) -> Arrival:
    center = math.log(sender.mean_cost) - COST_SIGMA**2 / 2
    cost = min(LARGEST_COST, rng.lognormvariate(center, COST_SIGMA))
    error = MAX_HINT_FACTOR ** rng.uniform(-1, 1)
    router = rng.randrange(routers)
    if sender.router is not None:
        router = sender.router
    hint = cost * error if case.hints else 0.0
    return Arrival(0, at, sender.team, router, cost, hint)
