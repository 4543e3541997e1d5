"""What a router tells others of itself; no I/O."""

__all__ = ["describe_load", "describe_loads", "list_own_services"]

from sycamorefall import messages
from sycamorefall.direct import fair_queue
from sycamorefall.direct import state as state_module

LEAST_AMOUNT = 50
"""Cost units below which a team's past service is not worth its bytes."""


def describe_loads(
    state: state_module.DirectState,
    told: dict[str, messages.UpstreamLoad],
) -> dict[str, messages.UpstreamLoad]:
    """Describes this router's load, with the floors that were told last."""
    nothing = messages.UpstreamLoad("", 0, 0, 0)
    return {
        name: describe_load(state, name, last.floor, last.short_floor)
        for name, one in state.table.by_name.items()
        if one.own.running or name in told
        for last in [told.get(name, nothing)]
    }


def describe_load(
    state: state_module.DirectState, name: str, floor: int, short_floor: int
) -> messages.UpstreamLoad:
    """Describes what this router has at an upstream.

    Args:
        state: The router.
        name: The upstream's incarnation.
        floor: See `messages.UpstreamLoad`.
        short_floor: The same.
    """
    own = state.table.by_name[name].own
    return messages.UpstreamLoad(
        name, own.running, own.unread, own.memory, floor, short_floor
    )


def list_own_services(
    state: state_module.DirectState, now: float
) -> tuple[messages.ServiceDemand, ...]:
    """Lists what this router gave teams lately; forgets what is over.

    The most that any team received of all routers is brought up to date.
    """
    return tuple(
        _describe_service(state, now, service) for service in state.accounts
    )


def _describe_service(
    state: state_module.DirectState, now: float, service: str
) -> messages.ServiceDemand:
    accounts = state.accounts[service]
    amounts = fair_queue.collect_own_received(accounts, now)
    teams = tuple(
        messages.TeamService(team, int(amount))
        for team, amount in amounts.items()
        if amount >= LEAST_AMOUNT
    )
    accounts.most = fair_queue.find_max_received(accounts, amounts)
    fair_queue.drop_expired_refusals(accounts, now)
    return messages.ServiceDemand(service, teams)
