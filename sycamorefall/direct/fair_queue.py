"""Requests that wait at a router, by team, and which team is next."""

__all__ = [
    "ServiceQueue",
    "TeamAccounts",
    "add_request",
    "charge_team",
    "collect_own_received",
    "compute_received",
    "compute_relative_share",
    "count_waiting",
    "drop_expired_refusals",
    "find_max_received",
    "list_candidates",
    "order_teams",
    "record_refusal",
    "refund_team",
    "remove_request",
    "was_refused_recently",
]

from collections.abc import Iterator
import dataclasses
import itertools

ACCOUNT_MEMORY = 1.5
"""Seconds after which a team's past service counts half: about as long as a
burst lasts, so that a team pays for a burst and not for its whole day."""

UNDERSERVED_SHARE = 0.5
"""Part of what the best served team received below which a team is behind:
operators take less than half of it, over seconds, for unfair."""

IDLE_UNDERSERVED_SHARE = 0.6
"""The same part from which on it is let to idle engines: a team that is kept
from engines settles where it is let to them, so that has to lie above the
limit."""

REFUSAL_RETENTION = 1.0
"""Seconds for which a team counts as short of service after a refusal."""

NEWEST_TRIES = 2
"""Requests of one team and target latency, the newest, that are looked at in
one pass besides the oldest: that one may be too long for the room there is, or
have too little time left, while a newer one can still be on time."""


@dataclasses.dataclass(slots=True)
class TeamAccounts:
    """What teams received lately, in tokens read plus twice those made.

    Attributes:
        own: Sent by this router, and when it was last brought up to date.
        others: Sent by the other routers, as they last told.
        most: Most that any team received of all routers, as last added up.
        refused_at: When this router last refused a team for want of room.
    """

    own: dict[str, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )
    others: dict[str, float] = dataclasses.field(default_factory=dict)
    most: float = 0.0
    refused_at: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class ServiceQueue:
    """Numbers of the requests that wait for one service.

    Attributes:
        by_team: By team, then by target latency in seconds, oldest first.
    """

    by_team: dict[str, dict[float, dict[int, None]]] = dataclasses.field(
        default_factory=dict
    )


def charge_team(
    accounts: TeamAccounts, now: float, team: str, cost: float
) -> None:
    """Charges a team for what it received."""
    accounts.own[team] = (_read_own(accounts, now, team) + cost, now)


def refund_team(
    accounts: TeamAccounts, now: float, team: str, cost: float, since: float
) -> None:
    """Takes back what is left of a charge.

    Args:
        accounts: What teams received; changed.
        now: This process's time.
        team: The team.
        cost: What it was charged, in cost units.
        since: When that was.

    Example:
        >>> accounts = TeamAccounts()
        >>> charge_team(accounts, 0.0, "mill", 60.0)
        >>> refund_team(accounts, 2.0, "mill", 60.0, since=0.0)
        >>> compute_received(accounts, 2.0, "mill")
        0.0
    """
    left = _read_own(accounts, now, team) - _decay(cost, now - since)
    accounts.own[team] = (max(0.0, left), now)


def _read_own(accounts: TeamAccounts, now: float, team: str) -> float:
    amount, since = accounts.own.get(team, (0.0, now))
    return _decay(amount, now - since)


def _decay(amount: float, seconds: float) -> float:
    return amount * 0.5 ** (max(0.0, seconds) / ACCOUNT_MEMORY)


def compute_received(accounts: TeamAccounts, now: float, team: str) -> float:
    """Reads what a team received lately from all routers."""
    return _read_own(accounts, now, team) + accounts.others.get(team, 0.0)


def collect_own_received(
    accounts: TeamAccounts, now: float
) -> dict[str, float]:
    """Lists what this router gave each team lately; forgets the idle ones."""
    amounts = {team: _read_own(accounts, now, team) for team in accounts.own}
    for team in [team for team, amount in amounts.items() if amount < 1.0]:
        del accounts.own[team]
    return amounts


def find_max_received(accounts: TeamAccounts, own: dict[str, float]) -> float:
    """Finds the most that any team received lately of all routers.

    Args:
        accounts: What teams received.
        own: What this router gave each, as `collect_own_received` lists it.

    Returns:
        Cost units; 0 if no team received anything.
    """
    return max(
        (
            own.get(team, 0.0) + accounts.others.get(team, 0.0)
            for team in own.keys() | accounts.others.keys()
        ),
        default=0.0,
    )


def compute_relative_share(accounts: TeamAccounts, received: float) -> float:
    """Finds which part of what the best served team received a team did.

    Args:
        accounts: What teams received.
        received: What the team received, as `compute_received` reads it.

    Returns:
        0 to 1; 1 if no team received anything.

    Example:
        >>> compute_relative_share(TeamAccounts(most=100.0), 60.0)
        0.6
    """
    return min(1.0, received / accounts.most) if accounts.most else 1.0


def record_refusal(accounts: TeamAccounts, now: float, team: str) -> None:
    """Takes note that a team's request is refused for want of room."""
    accounts.refused_at[team] = now


def drop_expired_refusals(accounts: TeamAccounts, now: float) -> None:
    """Forgets refusals after which no team counts as short any more."""
    teams = list(accounts.refused_at)
    for team in itertools.filterfalse(
        lambda team: was_refused_recently(accounts, now, team), teams
    ):
        del accounts.refused_at[team]


def was_refused_recently(accounts: TeamAccounts, now: float, team: str) -> bool:
    """Tells whether a team had a request refused here lately.

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
    room: ServiceQueue, team: str, number: int, target: float = 0.0
) -> None:
    """Adds a request behind its team's others of the same target latency."""
    queues = room.by_team.setdefault(team, {})
    queues.setdefault(target, {})[number] = None


def remove_request(room: ServiceQueue, team: str, number: int) -> None:
    """Removes a request; one that does not wait is none."""
    queues = room.by_team.get(team, {})
    found = [target for target, queue in queues.items() if number in queue]
    for target in found:
        del queues[target][number]
        if not queues[target]:
            del queues[target]
    if found and not queues:
        del room.by_team[team]


def order_teams(
    room: ServiceQueue, accounts: TeamAccounts, now: float
) -> list[str]:
    """Orders the teams that wait, the least served first.

    Example:
        >>> room, accounts = ServiceQueue(), TeamAccounts()
        >>> for number, team in enumerate(["mill", "trader"]):
        ...     add_request(room, team, number)
        >>> charge_team(accounts, 0.0, "mill", 100.0)
        >>> order_teams(room, accounts, 0.0)
        ['trader', 'mill']
    """
    return sorted(
        room.by_team, key=lambda team: compute_received(accounts, now, team)
    )


def count_waiting(room: ServiceQueue, team: str) -> int:
    """Counts the requests of a team that wait."""
    return sum(len(queue) for queue in room.by_team.get(team, {}).values())


def list_candidates(room: ServiceQueue, team: str) -> Iterator[int]:
    """Lists the requests of a team that one pass looks at.

    Guards against a flood that stands in its own way: the oldest requests are
    those that can hardly be on time any more. With them alone, a team that
    sent 200 requests a second to one router had them sent after half a second
    on average, and got a third of what the next one did.

    Guards also against patient requests that hide urgent ones: those of each
    target latency stand in a queue of their own, the most urgent first.

    Example:
        >>> room = ServiceQueue()
        >>> for number in range(9):
        ...     add_request(room, "mill", number, 1.2)
        >>> add_request(room, "mill", 9, 0.6)
        >>> add_request(room, "mill", 10, 1.2)
        >>> list(list_candidates(room, "mill"))
        [9, 0, 10, 8]
    """
    queues = room.by_team.get(team, {})
    picked = (_pick(queues[target]) for target in sorted(queues))
    return itertools.chain.from_iterable(picked)


def _pick(queue: dict[int, None]) -> list[int]:
    """Picks the oldest request of a queue and the newest ones."""
    newest = itertools.islice(reversed(queue), NEWEST_TRIES)
    oldest = itertools.islice(queue, 1)
    return list(dict.fromkeys([*oldest, *newest]))
