"""Selection of the team that is served next, by least received service.

Each sidecar selects the waiting team with the lowest order key. The keys act
as the virtual times of a fair queue: charges raise them, and a team that
starts to wait is raised to the floor, the highest minimum seen so far.
"""

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

WeightLookup = Callable[[str], float]
"""Function that returns a team's weight."""

SWEEP_SIZE = 256
"""Accounts checked per call of `drop_idle_accounts`."""

MIN_IDLE_SWEEPS = 20
"""Successive sweeps without a change before an account is dropped.

They take 10 seconds or more.
"""


@dataclasses.dataclass(slots=True)
class FairnessState:
    """State of the team selection at one service.

    Attributes:
        floor: Highest minimum so far of the waiting teams' order keys;
            never decreases.
        max_lead: Cost units by which a waiting team may be ahead of another;
            see `_limit_lead`.
    """

    floor: float = 0.0
    max_lead: float = float("inf")


def choose_team(
    fairness: FairnessState,
    accounts: accounts_module.ServiceAccounts,
    waiting: Collection[str],
    find_weight: WeightLookup,
) -> str | None:
    """Chooses the waiting team with the lowest order key.

    Args:
        fairness: State of the selection; its floor may rise.
        accounts: The service's accounts; the keys of teams that are behind
            by more than the maximum lead are raised.
        waiting: Teams with waiting requests.
        find_weight: Returns a team's weight.

    Returns:
        The team, or None if no team has waiting requests.
    """
    if not waiting:
        return None
    keys = {
        team: accounts_module.compute_order_key(
            accounts, team, find_weight(team)
        )
        for team in waiting
    }
    _limit_lead(fairness, accounts, keys, find_weight)
    least = min(keys.values())
    fairness.floor = max(fairness.floor, least)
    return min(keys, key=lambda team: (keys[team], team))


def _limit_lead(
    fairness: FairnessState,
    accounts: accounts_module.ServiceAccounts,
    keys: dict[str, float],
    find_weight: WeightLookup,
) -> None:
    """Raises the keys of teams that are behind by more than the maximum lead.

    A team that was served alone during a partition would otherwise not be
    served until all others have caught up with it, which takes the duration
    of the partition times the number of teams. The part of the lead beyond
    the maximum is forgiven, so that the leading team waits only until the
    others have received the maximum lead.
    """
    top, leader = max((key, team) for team, key in keys.items())
    ceiling = top - fairness.max_lead / find_weight(leader)
    behind = [team for team, key in keys.items() if key < ceiling]
    for team in behind:
        _raise_local_key(accounts, team, ceiling, find_weight(team))
        keys[team] = accounts_module.compute_order_key(
            accounts, team, find_weight(team)
        )


def raise_to_floor(
    fairness: FairnessState,
    accounts: accounts_module.ServiceAccounts,
    team: str,
    weight: float,
) -> None:
    """Raises the order key of a team that was idle to the floor.

    Without this a team could accumulate credit while idle and then keep the
    others from being served until it has caught up. A team without an
    account starts at the floor, for all sidecars. The key of any other team
    is raised only at this sidecar, as the team may have received service
    from other sidecars that this one doesn't know of yet.

    Args:
        fairness: State of the selection.
        accounts: The service's accounts; changed.
        team: A team that had no waiting requests until now.
        weight: The team's weight.
    """
    if team not in accounts.teams:
        accounts_module.raise_offset(accounts, team, fairness.floor)
    _raise_local_key(accounts, team, fairness.floor, weight)


def _raise_local_key(
    accounts: accounts_module.ServiceAccounts,
    team: str,
    key: float,
    weight: float,
) -> None:
    """Raises a team's order key to at least a value, at this sidecar only."""
    account = accounts.teams.setdefault(team, accounts_module.Account())
    current = accounts_module.compute_order_key(accounts, team, weight)
    account.local_offset += max(0.0, key - current)


def drop_idle_accounts(
    fairness: FairnessState,
    accounts: accounts_module.ServiceAccounts,
    waiting: Collection[str],
    find_weight: WeightLookup,
    max_entries: int,
) -> None:
    """Drops accounts that no longer matter; checks a part of them per call.

    When an idle team whose order key is not above the floor returns, its key
    is raised to the floor, whatever its account contains. Its account may be
    dropped once it has not changed for `MIN_IDLE_SWEEPS`. The delay matters:
    when the team returns, its new offset discards the entries of all other
    sidecars, including those still in transit.

    Accounts of teams that are never idle restart from a new offset when they
    hold too many entries, as these mostly belong to processes that ended.

    Args:
        fairness: State of the selection.
        accounts: The service's accounts; changed.
        waiting: Teams with waiting requests.
        find_weight: Returns a team's weight.
        max_entries: Number of entries that an account may hold.
    """
    for team in list(itertools.islice(accounts.teams, SWEEP_SIZE)):
        account = accounts.teams.pop(team)
        accounts.teams[team] = account
        reserved = accounts_module.compute_reserved(accounts, team)
        is_idle = (
            account.total == account.total_at_last_sweep and reserved < 1.0
        )
        is_idle = is_idle and team not in waiting
        account.idle_sweeps = account.idle_sweeps + 1 if is_idle else 0
        account.total_at_last_sweep = account.total
        key = accounts_module.compute_order_key(
            accounts, team, find_weight(team)
        )
        if account.idle_sweeps >= MIN_IDLE_SWEEPS and key <= fairness.floor:
            accounts_module.drop_account(accounts, team)
        elif len(account.entries) > max_entries:
            accounts_module.raise_offset(
                accounts, team, key - reserved / find_weight(team)
            )
