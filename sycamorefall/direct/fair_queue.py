"""Queues waiting requests by team and tracks the service each team received.

Teams are served in order of the service that they received recently, the least
served first. Service is measured in cost units, see `prompts.OUTPUT_WEIGHT`.
"""

__all__ = [
    "ServiceQueue",
    "TeamAccounts",
    "add_request",
    "charge_team",
    "collect_own_received",
    "collect_own_unmet",
    "compute_peer_received",
    "compute_peer_unmet",
    "compute_received",
    "compute_relative_share",
    "count_waiting",
    "decay",
    "drop_expired_refusals",
    "find_max_received",
    "list_candidates",
    "order_teams",
    "record_refusal",
    "refund_team",
    "remove_request",
    "was_refused_recently",
]

from collections.abc import Callable, Iterator
import dataclasses
import itertools
import math

ACCOUNT_HALF_LIFE = 1.5
"""Half-life in seconds of the service charged to a team: about the length of a
burst, so that a team is held back for its burst but not for the whole day."""

UNDERSERVED_SHARE = 0.5
"""Fraction of the best served team's service below which a team is
underserved. Operators consider less than half, over seconds, unfair."""

IDLE_UNDERSERVED_SHARE = 0.6
"""The same limit for the use of idle engines. A team that is kept from engines
settles at the share at which it is admitted to them, so this limit has to be
above `UNDERSERVED_SHARE`."""

REFUSAL_RETENTION = 1.0
"""Seconds for which a team's refused request counts as recent."""

NEWEST_CANDIDATES = 2
"""Number of newest requests per team and target latency that a dispatch pass
tries besides the oldest one. The oldest may be too long for the free capacity
or have too little time left, while a newer one can still be on time."""


@dataclasses.dataclass(slots=True)
class TeamAccounts:
    """Recent service of each team at one service, in decaying cost units.

    Attributes:
        own_received: Service given by this router and the time of its last
            update, by team.
        peer_received: Service given by the other routers, as they last
            reported, by team, as of `peer_epoch`.
        peer_epoch: Time of this process's clock.
        max_received: Most service that any team received from all routers, as
            last computed.
        refused_at: When this router last refused a request for lack of
            capacity, by team.
        own_unmet: Cost of requests that this router refused for lack of
            capacity and the time of its last update, by team; it decays like
            service.
        peer_unmet: The same of the other routers, by team, as of `peer_epoch`.
        largest_cost: Largest cost of a request that this router sent or
            refused, of those that fit into an engine's memory.
        max_ahead: Most service with which a team may use engines that have
            less than most slots free, as last computed; infinity if no team is
            behind.
    """

    own_received: dict[str, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )
    peer_received: dict[str, float] = dataclasses.field(default_factory=dict)
    peer_epoch: float = 0.0
    max_received: float = 0.0
    refused_at: dict[str, float] = dataclasses.field(default_factory=dict)
    own_unmet: dict[str, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )
    peer_unmet: dict[str, float] = dataclasses.field(default_factory=dict)
    largest_cost: float = 0.0
    max_ahead: float = math.inf


@dataclasses.dataclass(slots=True)
class ServiceQueue:
    """Queues of the requests that wait for one service.

    Attributes:
        by_team: Request numbers by team, then by target latency in seconds and
            the origin that a request is bound to, oldest first. The origin is 0
            for requests that any upstream may run.
    """

    by_team: dict[str, dict[tuple[float, int], dict[int, None]]] = (
        dataclasses.field(default_factory=dict)
    )


def charge_team(
    accounts: TeamAccounts, now: float, team: str, cost: float
) -> None:
    """Adds the cost units of a request to a team's service."""
    accounts.own_received[team] = (
        _compute_own_received(accounts, now, team) + cost,
        now,
    )


def refund_team(
    accounts: TeamAccounts,
    now: float,
    team: str,
    cost: float,
    charged_at: float,
) -> None:
    """Removes a charge from a team's service, as far as it has not decayed.

    Args:
        accounts: Service of the teams; changed.
        now: Current time of this process's clock.
        team: The team.
        cost: Charged cost units.
        charged_at: When the team was charged.

    Example:
        >>> accounts = TeamAccounts()
        >>> charge_team(accounts, 0.0, "mill", 60.0)
        >>> refund_team(accounts, 2.0, "mill", 60.0, charged_at=0.0)
        >>> compute_received(accounts, 2.0, "mill")
        0.0
    """
    remaining = _compute_own_received(accounts, now, team) - decay(
        cost, max(0.0, now - charged_at)
    )
    accounts.own_received[team] = (max(0.0, remaining), now)


def _compute_own_received(
    accounts: TeamAccounts, now: float, team: str
) -> float:
    return _compute_amount(accounts.own_received, now, team)


def _compute_amount(
    amounts: dict[str, tuple[float, float]], now: float, team: str
) -> float:
    """Computes what is left of a team's amount since its last update."""
    amount, updated_at = amounts.get(team, (0.0, now))
    return decay(amount, max(0.0, now - updated_at))


def decay(amount: float, seconds: float) -> float:
    """Computes what is left of an amount of service after some seconds."""
    return amount * 0.5 ** (seconds / ACCOUNT_HALF_LIFE)


def compute_received(accounts: TeamAccounts, now: float, team: str) -> float:
    """Computes a team's recent service from all routers, in cost units."""
    return _compute_own_received(accounts, now, team) + compute_peer_received(
        accounts, now, team
    )


def compute_peer_received(
    accounts: TeamAccounts, now: float, team: str
) -> float:
    """Computes a team's recent service from the other routers."""
    return _compute_reported(accounts, accounts.peer_received, now, team)


def _compute_reported(
    accounts: TeamAccounts, amounts: dict[str, float], now: float, team: str
) -> float:
    reported = amounts.get(team)
    return decay(reported, now - accounts.peer_epoch) if reported else 0.0


def collect_own_received(
    accounts: TeamAccounts, now: float
) -> dict[str, float]:
    """Computes the recent service by this router, in cost units by team.

    Teams with less than one cost unit are dropped from the accounts; the result
    still includes them.
    """
    return _collect_amounts(accounts.own_received, now)


def _collect_amounts(
    amounts: dict[str, tuple[float, float]], now: float
) -> dict[str, float]:
    """Computes what is left of all amounts; drops those below one."""
    left = {team: _compute_amount(amounts, now, team) for team in amounts}
    for team in [team for team, amount in left.items() if amount < 1.0]:
        del amounts[team]
    return left


def find_max_received(
    accounts: TeamAccounts, now: float, own: dict[str, float]
) -> float:
    """Finds the most service that any team received recently from all routers.

    Args:
        accounts: Service of the teams.
        now: Current time of this process's clock.
        own: Service by this router, from `collect_own_received`.

    Returns:
        Cost units; 0 if no team received service.
    """
    return max(
        (
            own.get(team, 0.0) + compute_peer_received(accounts, now, team)
            for team in own.keys() | accounts.peer_received.keys()
        ),
        default=0.0,
    )


def compute_relative_share(accounts: TeamAccounts, received: float) -> float:
    """Computes a team's service as a fraction of the best served team's.

    Args:
        accounts: Service of the teams.
        received: Cost units of the team, from `compute_received`.

    Returns:
        A fraction from 0 to 1; 1 if no team received service.

    Example:
        >>> compute_relative_share(TeamAccounts(max_received=100.0), 60.0)
        0.6
    """
    return (
        min(1.0, received / accounts.max_received)
        if accounts.max_received
        else 1.0
    )


def record_refusal(
    accounts: TeamAccounts, now: float, team: str, cost: float = 0.0
) -> None:
    """Records that a request of a team was refused for lack of capacity."""
    accounts.refused_at[team] = now
    unmet = _compute_amount(accounts.own_unmet, now, team)
    accounts.own_unmet[team] = unmet + cost, now


def collect_own_unmet(accounts: TeamAccounts, now: float) -> dict[str, float]:
    """Computes what this router recently refused, in cost units by team.

    Teams with less than one cost unit are dropped from the accounts; the result
    still includes them.
    """
    return _collect_amounts(accounts.own_unmet, now)


def compute_peer_unmet(accounts: TeamAccounts, now: float, team: str) -> float:
    """Computes what the other routers recently refused of a team."""
    return _compute_reported(accounts, accounts.peer_unmet, now, team)


def drop_expired_refusals(accounts: TeamAccounts, now: float) -> None:
    """Removes refusals that are no longer recent."""
    teams = list(accounts.refused_at)
    for team in itertools.filterfalse(
        lambda team: was_refused_recently(accounts, now, team), teams
    ):
        del accounts.refused_at[team]


def was_refused_recently(accounts: TeamAccounts, now: float, team: str) -> bool:
    """Returns whether this router refused a team within `REFUSAL_RETENTION`.

    Example:
        >>> accounts = TeamAccounts()
        >>> record_refusal(accounts, 1.0, "mill")
        >>> [was_refused_recently(accounts, at, "mill") for at in (1.5, 3.5)]
        [True, False]
        >>> was_refused_recently(accounts, 1.5, "oil")
        False
    """
    refused_at = accounts.refused_at.get(team, float("-inf"))
    return now - refused_at < REFUSAL_RETENTION


def add_request(
    service_queue: ServiceQueue,
    team: str,
    number: int,
    target: float = 0.0,
    origin: int | None = None,
) -> None:
    """Appends a request to its team's queue for the target latency.

    Requests that are bound to the upstreams of an origin have a queue of their
    own, so that they don't hide requests that other upstreams may run.
    """
    queues = service_queue.by_team.setdefault(team, {})
    queues.setdefault((target, origin or 0), {})[number] = None


def remove_request(service_queue: ServiceQueue, team: str, number: int) -> None:
    """Removes a request; does nothing if it is not queued."""
    queues = service_queue.by_team.get(team, {})
    found = [key for key, queue in queues.items() if number in queue]
    for key in found:
        del queues[key][number]
        if not queues[key]:
            del queues[key]
    if found and not queues:
        del service_queue.by_team[team]


def order_teams(
    service_queue: ServiceQueue, accounts: TeamAccounts, now: float
) -> list[str]:
    """Lists the teams with waiting requests, the least served first.

    Example:
        >>> queue, accounts = ServiceQueue(), TeamAccounts()
        >>> for number, team in enumerate(["mill", "trader"]):
        ...     add_request(queue, team, number)
        >>> charge_team(accounts, 0.0, "mill", 100.0)
        >>> order_teams(queue, accounts, 0.0)
        ['trader', 'mill']
    """
    return sorted(
        service_queue.by_team,
        key=lambda team: compute_received(accounts, now, team),
    )


def count_waiting(service_queue: ServiceQueue, team: str) -> int:
    """Counts the waiting requests of a team."""
    return sum(
        len(queue) for queue in service_queue.by_team.get(team, {}).values()
    )


def list_candidates(
    service_queue: ServiceQueue,
    team: str,
    may_leave_home: Callable[[int], bool] | None = None,
) -> Iterator[int]:
    """Lists the requests of a team that one dispatch pass tries.

    The candidates are the oldest request and the newest ones of each target
    latency and origin, the shortest target first. During a flood, the oldest
    requests can hardly be on time any more. With these alone, the requests of a
    team that sent 200 a second to one router were sent after half a second on
    average, and the team received a third of another team's service. The queues
    per target latency keep urgent requests from being hidden behind patient
    ones.

    A request of an underserved team may use any engine once it has waited for a
    while. In a long queue, the oldest one has no time left by then and the
    newest ones have not waited, so the newest one that may is tried too.
    Otherwise such a team would be served at the homes of its prompts only.

    Args:
        service_queue: Queues of the service.
        team: The team.
        may_leave_home: Returns whether a request may use any engine; None if no
            request of the team may.

    Example:
        >>> queue = ServiceQueue()
        >>> for number in range(9):
        ...     add_request(queue, "mill", number, 1.2)
        >>> add_request(queue, "mill", 9, 0.6)
        >>> add_request(queue, "mill", 10, 1.2)
        >>> list(list_candidates(queue, "mill"))
        [9, 0, 10, 8]
        >>> list(list_candidates(queue, "mill", lambda number: number < 5))
        [9, 0, 4, 10, 8]
    """
    queues = service_queue.by_team.get(team, {})
    picked = (
        _pick_candidates(queues[key], may_leave_home) for key in sorted(queues)
    )
    return itertools.chain.from_iterable(picked)


def _pick_candidates(
    queue: dict[int, None], may_leave_home: Callable[[int], bool] | None
) -> list[int]:
    """Lists the requests of a queue to try: the oldest one first."""
    newest = itertools.islice(reversed(queue), NEWEST_CANDIDATES)
    oldest = itertools.islice(queue, 1)
    leaving = (
        itertools.islice(filter(may_leave_home, reversed(queue)), 1)
        if may_leave_home is not None
        else ()
    )
    return list(dict.fromkeys([*oldest, *leaving, *newest]))
