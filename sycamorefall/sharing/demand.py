"""A sidecar's view of the work that waits at the routers."""

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
        count: How many are believed to wait.
        oldest_since: Since when the oldest waits, by this process's clock.
    """

    count: int
    oldest_since: float


@dataclasses.dataclass(slots=True)
class RouterDemand:
    """What one router incarnation announced.

    Attributes:
        incarnation: The router's process.
        sequence: Highest announcement seen.
        teams: Waiting work by team.
    """

    incarnation: int
    sequence: int = 0
    teams: dict[str, TeamDemand] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Demand:
    """All waiting work that a sidecar knows of.

    Attributes:
        routers: Announcements by router.
        teams: Names of routers with work, by team.
        total: Requests believed to wait, over all teams and routers.
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
    """Takes over an announcement.

    An announcement older than one already seen is ignored, so that reordered
    or repeated messages don't bring back work that was claimed.

    Args:
        demand: The view; changed.
        now: This process's time, in seconds.
        router: The sender.
        incarnation: The sender's process.
        waiting: The announcement.

    Returns:
        Teams that had no work waiting anywhere before.
    """
    known = demand.routers.get(router)
    if known is None or known.incarnation != incarnation:
        drop_router(demand, router)
        known = demand.routers[router] = RouterDemand(incarnation)
    if waiting.sequence <= known.sequence:
        return []
    known.sequence = waiting.sequence
    before = set(demand.teams)
    if waiting.complete:
        announced = {entry.team for entry in waiting.teams}
        for team in known.teams.keys() - announced:
            _set_count(demand, router, team, 0, now)
    for entry in waiting.teams:
        since = now - entry.oldest_ms / 1000
        _set_count(demand, router, entry.team, entry.count, since)
    return [team for team in demand.teams if team not in before]


def _set_count(
    demand: Demand, router: str, team: str, count: int, since: float
) -> None:
    teams = demand.routers[router].teams
    before = teams[team].count if team in teams else 0
    demand.total += max(0, count) - before
    if count > 0:
        teams[team] = TeamDemand(count, since)
        demand.teams.setdefault(team, set()).add(router)
        return
    teams.pop(team, None)
    holders = demand.teams.get(team, set())
    holders.discard(router)
    if not holders:
        demand.teams.pop(team, None)


def list_teams(demand: Demand) -> list[str]:
    """Lists teams with work waiting."""
    return list(demand.teams)


def choose_router(demand: Demand, team: str) -> str | None:
    """Chooses the router that holds a team's oldest waiting request.

    Args:
        demand: The view.
        team: The team.

    Returns:
        The router's VM name, or None if no router has work of the team.
    """
    holders = demand.teams.get(team)
    if not holders:
        return None
    return min(
        holders,
        key=lambda name: (
            demand.routers[name].teams[team].oldest_since,
            name,
        ),
    )


def remove_waiting_request(demand: Demand, router: str, team: str) -> None:
    """Counts one waiting request less, as it is being claimed."""
    known = demand.routers.get(router)
    entry = known.teams.get(team) if known else None
    if entry is not None:
        _set_count(demand, router, team, entry.count - 1, entry.oldest_since)


def drop_router(demand: Demand, router: str, team: str | None = None) -> None:
    """Forgets a router's waiting work.

    Args:
        demand: The view; changed.
        router: The router.
        team: Only this team's work; all work if None.
    """
    known = demand.routers.get(router)
    if known is None:
        return
    for name in [team] if team is not None else list(known.teams):
        _set_count(demand, router, name, 0, 0.0)
    if team is None:
        del demand.routers[router]
