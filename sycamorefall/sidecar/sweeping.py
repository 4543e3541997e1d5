"""Periodic removal of accounts that the team selection doesn't need."""

__all__ = ["sweep_accounts"]

from sycamorefall import sharing
from sycamorefall.sidecar import claiming
from sycamorefall.sidecar import state as state_module


def sweep_accounts(state: state_module.SidecarState) -> None:
    """Drops part of the accounts that the team selection doesn't need.

    Args:
        state: The sidecar's state; changed.
    """
    sharing.drop_idle_accounts(
        state.fairness,
        state.accounts,
        state.demand.teams,
        lambda name: claiming.get_team_weight(state, name),
        max_entries=2 * len(state.directory.vms),
    )
