"""The choice of the team that is served next."""

__all__ = ["Fairness", "choose_team", "lift_team"]

from collections.abc import Callable, Collection
import dataclasses

from sycamorefall.sharing import accounts as accounts_module

Weigh = Callable[[str], float]
"""Gives a team's weight."""


@dataclasses.dataclass(slots=True)
class Fairness:
    """State of the choice at one service.

    Attributes:
        floor: Least order key among waiting teams, when last looked at;
            never falls.
        horizon: Order keys more than this above the floor count as equal, so
            that a team that got ahead during a partition isn't shut out.
    """

    floor: float = 0.0
    horizon: float = 100_000.0


def choose_team(
    fairness: Fairness,
    accounts: accounts_module.ServiceAccounts,
    waiting: Collection[str],
    weigh: Weigh,
) -> str | None:
    """Chooses the waiting team that received least.

    Args:
        fairness: State of the choice; its floor may rise.
        accounts: The service's accounts.
        waiting: Teams with work waiting.
        weigh: Gives a team's weight.

    Returns:
        The team, or None if none waits.
    """
    if not waiting:
        return None
    keys = {
        team: accounts_module.compute_key(accounts, team, weigh(team))
        for team in waiting
    }
    least = min(keys.values())
    fairness.floor = max(fairness.floor, least)
    ceiling = fairness.floor + fairness.horizon
    return min(keys, key=lambda team: (min(keys[team], ceiling), team))


def lift_team(
    fairness: Fairness,
    accounts: accounts_module.ServiceAccounts,
    team: str,
    weight: float,
) -> None:
    """Lifts a team that was idle to the floor.

    Without the lift a team could save up service while idle and then shut
    the others out until it has caught up.

    Args:
        fairness: State of the choice.
        accounts: The service's accounts; changed.
        team: A team whose work begins to wait.
        weight: The team's weight.
    """
    key = accounts_module.compute_key(accounts, team, weight)
    if key < fairness.floor:
        account = accounts.teams.get(team)
        offset = account.offset if account else 0.0
        accounts_module.raise_offset(
            accounts, team, offset + fairness.floor - key
        )
