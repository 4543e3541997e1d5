"""Builds the entries of the messages about this router's own load; no I/O."""

__all__ = ["build_load", "build_loads", "collect_own_services"]

from sycamorefall import messages
from sycamorefall.direct import fair_queue, leads, unread_demand
from sycamorefall.direct import state as state_module

MIN_REPORTED_AMOUNT = 50
"""Cost units below which a team's received service is not reported, to save
bytes."""


def build_loads(
    state: state_module.DirectState,
    last_sent: dict[str, messages.UpstreamLoad],
) -> dict[str, messages.UpstreamLoad]:
    """Builds entries of this router's load, with the floors sent last.

    Args:
        state: The router's state.
        last_sent: Entries sent last, by upstream name.

    Returns:
        Entries by upstream name, for upstreams that have requests of this
        router or an entry in `last_sent`.
    """
    nothing = messages.UpstreamLoad("", 0, 0, 0)
    return {
        name: build_load(state, name, last.floor, last.short_floor)
        for name, upstream in state.table.by_name.items()
        if upstream.own_load.running or name in last_sent
        for last in [last_sent.get(name, nothing)]
    }


def build_load(
    state: state_module.DirectState, name: str, floor: int, short_floor: int
) -> messages.UpstreamLoad:
    """Builds the entry of this router's load at an upstream.

    Args:
        state: The router's state.
        name: Name of the upstream.
        floor: See `messages.UpstreamLoad`.
        short_floor: See `messages.UpstreamLoad`.
    """
    own = state.table.by_name[name].own_load
    return messages.UpstreamLoad(
        name, own.running, own.unread, own.memory, floor, short_floor
    )


def collect_own_services(
    state: state_module.DirectState, now: float
) -> tuple[messages.ServiceDemand, ...]:
    """Lists by service what this router recently gave to teams and refused.

    Also updates what follows from the accounts of all routers,
    `TeamAccounts.max_received` and `TeamAccounts.max_ahead`, and removes
    accounts and refusals that expired.
    """
    return tuple(
        _build_service(state, now, service) for service in state.accounts
    )


def _build_service(
    state: state_module.DirectState, now: float, service: str
) -> messages.ServiceDemand:
    accounts = state.accounts[service]
    amounts = fair_queue.collect_own_received(accounts, now)
    factor = unread_demand.compute_factor(state.unread_demand)
    unmet = {
        team: factor * amount
        for team, amount in fair_queue.collect_own_unmet(accounts, now).items()
    }
    both = (
        (team, amounts.get(team, 0.0), unmet.get(team, 0.0))
        for team in amounts.keys() | unmet.keys()
    )
    teams = tuple(
        messages.TeamService(team, int(received), int(refused))
        for team, received, refused in both
        if max(received, refused) >= MIN_REPORTED_AMOUNT
    )
    accounts.max_received = fair_queue.find_max_received(accounts, now, amounts)
    accounts.max_ahead = leads.find_max_ahead(accounts, now, unmet)
    fair_queue.drop_expired_refusals(accounts, now)
    return messages.ServiceDemand(service, teams)
