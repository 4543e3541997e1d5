"""Requests waiting at the routers, as a sidecar knows them."""

__all__ = [
    "Demand",
    "RouterDemand",
    "TeamDemand",
    "choose_router",
    "drop_router",
    "list_teams",
    "record_waiting",
    "remove_waiting_request",
]

import dataclasses

from sycamorefall import messages


@dataclasses.dataclass(slots=True)
class TeamDemand:
    """Waiting requests of one team at one router.

    Attributes:
        count: Assumed number of waiting requests.
        oldest_arrived_at: Arrival time of the oldest one, by this process's
            clock.
    """

    count: int
    oldest_arrived_at: float


@dataclasses.dataclass(slots=True)
class RouterDemand:
    """Waiting requests that one router incarnation announced.

    Attributes:
        incarnation: Incarnation of the router's process.
        sequence: Highest sequence number of an announcement received.
        teams: Waiting requests by team.
    """

    incarnation: int
    sequence: int = 0
    teams: dict[str, TeamDemand] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Demand:
    """All waiting requests that a sidecar knows of.

    Attributes:
        routers: Announced requests by router.
        teams: Names of the routers with waiting requests, by team.
        total: Assumed number of waiting requests, over all teams and routers.
    """

    routers: dict[str, RouterDemand] = dataclasses.field(default_factory=dict)
    teams: dict[str, set[str]] = dataclasses.field(default_factory=dict)
    total: int = 0


def record_waiting(
    demand: Demand,
    now: float,
    router: str,
    incarnation: int,
    waiting: messages.Waiting,
) -> list[str]:
    """Applies a router's announcement of waiting requests.

    An announcement that is not newer than the last one is ignored, so that
    reordered or repeated messages don't restore requests that were claimed.

    Args:
        demand: The known waiting requests; changed.
        now: This process's time, in seconds.
        router: VM name of the sender.
        incarnation: Incarnation of the sender's process.
        waiting: The announcement.

    Returns:
        Teams that had no waiting requests at any router before.
    """
    router_demand = demand.routers.get(router)
    if router_demand is None or router_demand.incarnation != incarnation:
        drop_router(demand, router)
        router_demand = demand.routers[router] = RouterDemand(incarnation)
    if waiting.sequence <= router_demand.sequence:
        return []
    router_demand.sequence = waiting.sequence
    before = set(demand.teams)
    if waiting.complete:
        announced = {entry.team for entry in waiting.teams}
        for team in router_demand.teams.keys() - announced:
            _set_count(demand, router, team, 0, now)
    for entry in waiting.teams:
        arrived_at = now - entry.oldest_ms / 1000
        _set_count(demand, router, entry.team, entry.count, arrived_at)
    return [team for team in demand.teams if team not in before]


def _set_count(
    demand: Demand, router: str, team: str, count: int, arrived_at: float
) -> None:
    teams = demand.routers[router].teams
    before = teams[team].count if team in teams else 0
    demand.total += max(0, count) - before
    if count > 0:
        teams[team] = TeamDemand(count, arrived_at)
        demand.teams.setdefault(team, set()).add(router)
        return
    teams.pop(team, None)
    router_names = demand.teams.get(team, set())
    router_names.discard(router)
    if not router_names:
        demand.teams.pop(team, None)


def list_teams(demand: Demand) -> list[str]:
    """Lists the teams with waiting requests at any router."""
    return list(demand.teams)


def choose_router(demand: Demand, team: str) -> str | None:
    """Chooses the router that holds a team's oldest waiting request.

    Args:
        demand: The known waiting requests.
        team: The team.

    Returns:
        The router's VM name, or None if no request of the team waits.
    """
    router_names = demand.teams.get(team)
    if not router_names:
        return None
    return min(
        router_names,
        key=lambda name: (
            demand.routers[name].teams[team].oldest_arrived_at,
            name,
        ),
    )


def remove_waiting_request(demand: Demand, router: str, team: str) -> None:
    """Subtracts a request that is being claimed from a team's count."""
    router_demand = demand.routers.get(router)
    entry = router_demand.teams.get(team) if router_demand else None
    if entry is not None:
        _set_count(
            demand, router, team, entry.count - 1, entry.oldest_arrived_at
        )


def drop_router(demand: Demand, router: str, team: str | None = None) -> None:
    """Removes the waiting requests of a router.

    Args:
        demand: The known waiting requests; changed.
        router: VM name of the router.
        team: Team whose requests to remove; all teams if None.
    """
    router_demand = demand.routers.get(router)
    if router_demand is None:
        return
    for name in [team] if team is not None else list(router_demand.teams):
        _set_count(demand, router, name, 0, 0.0)
    if team is None:
        del demand.routers[router]
