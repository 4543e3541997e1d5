"""Bounds how far a team gets ahead of one that is refused; no I/O."""

__all__ = ["find_max_ahead", "record_cost"]

import math

from sycamorefall.direct import catalog, fair_queue, prompts


def record_cost(
    accounts: fair_queue.TeamAccounts,
    engine: catalog.Engine,
    prompt: prompts.Prompt,
) -> None:
    """Records the cost of a request, unless no engine can hold its prompt.

    Callers state the sizes of their requests, and a made-up one would let all
    teams lack as much without counting as behind.
    """
    if prompt.tokens + prompt.output <= engine.kv_capacity_tokens:
        cost = prompts.compute_cost(prompt)
        accounts.largest_cost = max(accounts.largest_cost, cost)


def find_max_ahead(
    accounts: fair_queue.TeamAccounts, now: float, own_unmet: dict[str, float]
) -> float:
    """Finds how much service a team may have while another one is behind.

    A team is behind if it received less than
    `fair_queue.IDLE_UNDERSERVED_SHARE` of what it asked for, or of what the
    best served team received if that is less, by more than the largest request.
    A team with a larger lead than that leaves all room to others, so leads are
    bounded by what engines begin until all routers know of them.

    Args:
        accounts: Service of the teams.
        now: Current time of this process's clock.
        own_unmet: What this router refused, by team, from
            `fair_queue.collect_own_unmet`.

    Returns:
        Cost units; infinity if no team is behind.

    Example:
        >>> accounts = fair_queue.TeamAccounts(max_received=1000.0)
        >>> fair_queue.charge_team(accounts, 0.0, "mill", 60.0)
        >>> find_max_ahead(accounts, 0.0, {"mill": 40.0})
        inf
        >>> find_max_ahead(accounts, 0.0, {"mill": 400.0})
        100.0
    """
    teams = own_unmet.keys() | accounts.peer_unmet.keys()
    limits = (
        _find_limit(accounts, now, team, own_unmet.get(team, 0.0))
        for team in teams
    )
    return min(limits, default=math.inf)


def _find_limit(
    accounts: fair_queue.TeamAccounts, now: float, team: str, own_unmet: float
) -> float:
    """Finds the limit that a team sets to others; infinity if not behind."""
    share = fair_queue.IDLE_UNDERSERVED_SHARE
    received = fair_queue.compute_received(accounts, now, team)
    unmet = own_unmet + fair_queue.compute_peer_unmet(accounts, now, team)
    with_request = received + accounts.largest_cost
    due = share * min(received + unmet, accounts.max_received)
    return with_request / share if with_request < due else math.inf
