"""What waits at a router, team by team, for its log; no I/O."""

__all__ = [
    "LOG_INTERVAL",
    "MAX_TEAMS",
    "TeamBacklog",
    "list_backlogs",
]

import dataclasses

from sycamorefall.direct import fair_queue
from sycamorefall.direct import state as state_module

LOG_INTERVAL = 1.0
"""Seconds between two lines: operators judge shares second by second."""

MAX_TEAMS = 4
"""Teams in a line. A flood of one team and those that it is held against fit;
all of them wouldn't fit into the log's buffer."""


@dataclasses.dataclass(slots=True, frozen=True)
class TeamBacklog:
    """Requests of a team that wait for a service.

    Attributes:
        service: The service.
        team: The team.
        waiting: How many requests wait.
        oldest: Seconds that the oldest of them has waited.
        received: Cost units that the team received lately, of all routers.
        own: Of these, what this router gave it.
    """

    service: str
    team: str
    waiting: int
    oldest: float
    received: int
    own: int


def list_backlogs(
    state: state_module.DirectState, now: float
) -> list[TeamBacklog]:
    """Lists the teams that wait, those with the most requests first.

    Args:
        state: The router.
        now: This process's time.

    Returns:
        At most `MAX_TEAMS`; the least served one is always among them.
    """
    backlogs = [
        _describe_backlog(state, now, service, team)
        for service, room in state.service_queues.items()
        for team in room.by_team
    ]
    if not backlogs:
        return []
    least = min(backlogs, key=lambda one: one.received)
    others = [one for one in backlogs if one is not least]
    others.sort(key=lambda one: one.waiting, reverse=True)
    return [*others[: MAX_TEAMS - 1], least]


def _describe_backlog(
    state: state_module.DirectState, now: float, service: str, team: str
) -> TeamBacklog:
    accounts = state_module.get_or_create_accounts(state, service)
    queues = state.service_queues[service].by_team[team]
    oldest = min(
        state.requests[next(iter(queue))].arrived_at
        for queue in queues.values()
    )
    received = fair_queue.compute_received(accounts, now, team)
    return TeamBacklog(
        service,
        team,
        fair_queue.count_waiting(state.service_queues[service], team),
        round(now - oldest, 3),
        int(received),
        int(received - accounts.others.get(team, 0.0)),
    )
