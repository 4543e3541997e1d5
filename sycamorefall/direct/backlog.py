"""Summarizes a router's waiting requests by team, for the log; no I/O."""

__all__ = [
    "LOG_INTERVAL",
    "MAX_TEAMS",
    "ServiceSpread",
    "TeamBacklog",
    "list_backlogs",
    "list_spreads",
]

import dataclasses
import math

from sycamorefall.direct import fair_queue, upstreams
from sycamorefall.direct import state as state_module

LOG_INTERVAL = 1.0
"""Seconds between two log records. Operators judge the shares of teams second
by second."""

MAX_TEAMS = 4
"""Maximum number of teams in a log record. It suffices to compare a flooding
team with others; records of all teams would not fit into the log's buffer."""


@dataclasses.dataclass(slots=True, frozen=True)
class TeamBacklog:
    """Waiting requests of one team at one service.

    Attributes:
        service: Name of the service.
        team: Name of the team.
        waiting: Number of waiting requests.
        oldest: Seconds since the arrival of the oldest waiting request.
        received: Cost units that the team received recently from all routers.
        own: Cost units that the team received recently from this router.
    """

    service: str
    team: str
    waiting: int
    oldest: float
    received: int
    own: int


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceSpread:
    """How unevenly the teams of a service are served, as this router knows it.

    Attributes:
        service: Name of the service.
        most: Most cost units that any team received recently.
        least: Fewest cost units that any team received recently that waits here
            or for one of the service's upstreams elsewhere.
        limit: Cost units above which a team leaves room to teams that are
            behind; None if no team is behind.
    """

    service: str
    most: int
    least: int
    limit: int | None = None


def list_spreads(
    state: state_module.DirectState, now: float
) -> list[ServiceSpread]:
    """Lists the spreads of the services for which a team waits anywhere.

    Example:
        >>> from sycamorefall.direct.tests import fakes
        >>> state = fakes.create_state()
        >>> state.table.by_name["e1"].floor = 20
        >>> accounts = state_module.get_or_create_accounts(state, "engine")
        >>> accounts.max_received = 70.0
        >>> list_spreads(state, 0.0)
        [ServiceSpread(service='engine', most=70, least=20, limit=None)]
    """
    spreads = []
    for service, accounts in state.accounts.items():
        floors = [
            one.floor for one in upstreams.list_upstreams(state.table, service)
        ]
        queue = state.service_queues.get(service)
        own = [
            fair_queue.compute_received(accounts, now, team)
            for team in (queue.by_team if queue else ())
        ]
        least = min([*floors, *own], default=math.inf)
        if least < math.inf:
            most = int(accounts.max_received)
            limit = accounts.max_ahead
            spreads.append(
                ServiceSpread(
                    service,
                    most,
                    int(least),
                    None if limit == math.inf else int(limit),
                )
            )
    return spreads


def list_backlogs(
    state: state_module.DirectState, now: float
) -> list[TeamBacklog]:
    """Lists the backlogs to log: the largest ones and the least served team's.

    Args:
        state: The router's state.
        now: Current time of this process's clock.

    Returns:
        At most `MAX_TEAMS` backlogs by decreasing number of waiting requests,
        then that of the least served team.
    """
    backlogs = [
        _describe_backlog(state, now, service, team)
        for service, service_queue in state.service_queues.items()
        for team in service_queue.by_team
    ]
    if not backlogs:
        return []
    least_served = min(backlogs, key=lambda one: one.received)
    others = [one for one in backlogs if one is not least_served]
    others.sort(key=lambda one: one.waiting, reverse=True)
    return [*others[: MAX_TEAMS - 1], least_served]


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
        int(received - fair_queue.compute_peer_received(accounts, now, team)),
    )
