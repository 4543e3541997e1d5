"""The choice of the team that is served next."""

__all__ = [
    "FairnessState",
    "choose_team",
    "drop_idle_accounts",
    "raise_to_floor",
]

from collections.abc import Callable, Collection
import dataclasses
import itertools

from sycamorefall.sharing import accounts as accounts_module

Weigh = Callable[[str], float]
"""Gives a team's weight."""

SWEEP = 256
"""Accounts looked at in one go when those of idle teams are dropped."""

QUIET_SWEEPS = 20
"""Sweeps without a change after which a team is idle: 10 s or more."""


@dataclasses.dataclass(slots=True)
class FairnessState:
    """State of the choice at one service.

    Attributes:
        floor: Least order key among waiting teams, when last looked at;
            never falls.
        max_lead: Cost units by which a waiting team may be ahead of another;
            see `limit_lead`.
    """

    floor: float = 0.0
    max_lead: float = float("inf")


def choose_team(
    fairness: FairnessState,
    accounts: accounts_module.ServiceAccounts,
    waiting: Collection[str],
    weigh: Weigh,
) -> str | None:
    """Chooses the waiting team that received least.

    Args:
        fairness: State of the choice; its floor may rise.
        accounts: The service's accounts; teams far behind may be lifted.
        waiting: Teams with work waiting.
        weigh: Gives a team's weight.

    Returns:
        The team, or None if none waits.
    """
    if not waiting:
        return None
    keys = {
        team: accounts_module.compute_order_key(accounts, team, weigh(team))
        for team in waiting
    }
    _limit_lead(fairness, accounts, keys, weigh)
    least = min(keys.values())
    fairness.floor = max(fairness.floor, least)
    return min(keys, key=lambda team: (keys[team], team))


def _limit_lead(
    fairness: FairnessState,
    accounts: accounts_module.ServiceAccounts,
    keys: dict[str, float],
    weigh: Weigh,
) -> None:
    """Lifts the teams that are further behind than the horizon.

    Guards against a team that was served alone during a partition and would
    then be shut out until all others have caught up with it, for as long as
    the partition lasted times the number of teams. What the others are
    behind by more than the horizon is forgiven, so the leader pays back at
    most the horizon.
    """
    top, leader = max((key, team) for team, key in keys.items())
    ceiling = top - fairness.max_lead / weigh(leader)
    behind = [team for team, key in keys.items() if key < ceiling]
    for team in behind:
        _lift_to(accounts, team, ceiling, weigh(team))
        keys[team] = accounts_module.compute_order_key(
            accounts, team, weigh(team)
        )


def raise_to_floor(
    fairness: FairnessState,
    accounts: accounts_module.ServiceAccounts,
    team: str,
    weight: float,
) -> None:
    """Lifts a team that was idle to the floor.

    Without the lift a team could save up service while idle and then shut
    the others out until it has caught up. A team without an account begins
    to count at the floor, for all sidecars; any other is lifted in the eyes
    of this one alone, as its account may hold service not yet heard of.

    Args:
        fairness: State of the choice.
        accounts: The service's accounts; changed.
        team: A team whose work begins to wait.
        weight: The team's weight.
    """
    if team not in accounts.teams:
        accounts_module.raise_offset(accounts, team, fairness.floor)
    _lift_to(accounts, team, fairness.floor, weight)


def _lift_to(
    accounts: accounts_module.ServiceAccounts,
    team: str,
    key: float,
    weight: float,
) -> None:
    """Lifts a team's order key in the eyes of this sidecar."""
    account = accounts.teams.setdefault(team, accounts_module.Account())
    current = accounts_module.compute_order_key(accounts, team, weight)
    account.lift += max(0.0, key - current)


def drop_idle_accounts(
    fairness: FairnessState,
    accounts: accounts_module.ServiceAccounts,
    waiting: Collection[str],
    weigh: Weigh,
    max_entries: int,
) -> None:
    """Drops accounts that say nothing, a part of them at each call.

    A team without work whose order key is not above the floor will be lifted
    to the floor when it returns, whatever its account says. It must have
    been at rest for a while: what is dropped voids the others' entries when
    the team returns, those too that are still on their way. Accounts of
    teams that always have work are counted anew when they hold the entries
    of many processes that are gone.

    Args:
        fairness: State of the choice.
        accounts: The service's accounts; changed.
        waiting: Teams with work waiting.
        weigh: Gives a team's weight.
        max_entries: Entries that an account may hold.
    """
    for team in list(itertools.islice(accounts.teams, SWEEP)):
        account = accounts.teams.pop(team)
        accounts.teams[team] = account
        reserved = accounts_module.compute_reserved(accounts, team)
        is_quiet = account.total == account.swept_total and reserved < 1.0
        is_quiet = is_quiet and team not in waiting
        account.quiet = account.quiet + 1 if is_quiet else 0
        account.swept_total = account.total
        key = accounts_module.compute_order_key(accounts, team, weigh(team))
        if account.quiet >= QUIET_SWEEPS and key <= fairness.floor:
            accounts_module.drop_account(accounts, team)
        elif len(account.entries) > max_entries:
            accounts_module.raise_offset(
                accounts, team, key - reserved / weigh(team)
            )
