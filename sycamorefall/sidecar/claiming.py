"""Claims of a sidecar: which team's request it asks which router for."""

__all__ = [
    "count_free_slots",
    "get_team_weight",
    "handle_no_work",
    "make_claims",
    "may_claim",
    "release_expired_claims",
]

from sycamorefall import (
    admission,
    dispatch,
    effects,
    membership,
    messages,
    sharing,
)
from sycamorefall.sharing import demand as demand_module
from sycamorefall.sidecar import claim_backoff
from sycamorefall.sidecar import state as state_module


def get_team_weight(state: state_module.SidecarState, team: str) -> float:
    """Returns a team's weight; 1 if the configuration doesn't list the team."""
    in_force = state.versions.configuration
    known = in_force.teams.get(team) if in_force else None
    return known.weight if known else 1.0


def make_claims(
    state: state_module.SidecarState, now: float
) -> list[effects.SendMessage]:
    """Claims requests while the concurrency limit allows it and work waits.

    Args:
        state: The sidecar's state; changed.
        now: This process's time, in seconds.

    Returns:
        Claims to send.
    """
    if not may_claim(state):
        return []
    claimable = admission.count_claimable(
        state.limit, len(state.runs), len(state.claims.open)
    )
    claims: list[effects.SendMessage] = []
    while len(claims) < claimable and _is_worth_claiming(state, now):
        claim = _claim_request(state, now)
        if claim is None:
            break
        claims.append(claim)
        state.hinted_slots = 0
    return claims


def _is_worth_claiming(state: state_module.SidecarState, now: float) -> bool:
    """Returns whether a claim is likely to get a request that is served soon.

    Without a free slot, a claim is made ahead and only for a backlog. If fewer
    requests wait than there are sidecars, most of the sidecars' claims would
    get none. The first claim would bind its request to a full upstream while
    another upstream has a free slot sooner.
    """
    if count_free_slots(state) > 0:
        return True
    siblings = membership.list_siblings(
        state.links, state.directory, now, state.vm
    )
    return state.demand.total > len(siblings)


def count_free_slots(state: state_module.SidecarState) -> int:
    """Counts slots that neither a run nor an open claim takes."""
    taken = len(state.runs) + len(state.claims.open)
    return max(0, admission.compute_own_limit(state.limit) - taken)


def may_claim(state: state_module.SidecarState) -> bool:
    """Returns whether this sidecar may accept new work.

    It may not while it is stopping, not listed as live, or without a
    configuration that has its service.
    """
    in_force = state.versions.configuration
    if state.stopping or in_force is None:
        return False
    own = state.directory.vms.get(state.vm)
    listed_live = own is not None and own.state is membership.VmState.LIVE
    return listed_live and state.service in in_force.services


def _claim_request(
    state: state_module.SidecarState, now: float
) -> effects.SendMessage | None:
    team = sharing.choose_team(
        state.fairness,
        state.accounts,
        state.demand.teams,
        lambda name: get_team_weight(state, name),
    )
    if team is None:
        return None
    router = sharing.choose_router(state.demand, team)
    demand_module.remove_waiting_request(state.demand, router, team)
    reserved = sharing.estimate_cost(state.estimates, team)
    sharing.reserve_units(state.accounts, team, reserved)
    claim = dispatch.open_claim(state.claims, now, router, team, reserved)
    message = messages.Claim(
        claim.claim_id,
        state.service,
        team,
        round(dispatch.CLAIM_LEASE * 1000),
    )
    return effects.SendMessage(router, message)


def handle_no_work(
    state: state_module.SidecarState,
    router: str,
    message: messages.NoWork,
) -> None:
    """Releases a claim for which a router has no request.

    Args:
        state: The sidecar's state; changed.
        router: VM name of the router.
        message: The router's response to the claim.
    """
    claim_backoff.clear_backoff(state, router)
    claim = dispatch.release_claim(state.claims, message.claim_id)
    if claim is not None:
        sharing.reserve_units(state.accounts, claim.team, -claim.reserved)
    demand_module.drop_router(state.demand, router, message.team)


def release_expired_claims(
    state: state_module.SidecarState, now: float
) -> None:
    """Releases the claims whose leases have expired.

    Args:
        state: The sidecar's state; changed.
        now: This process's time, in seconds.
    """
    for claim in dispatch.expire_claims(state.claims, now):
        claim_backoff.record_expired_claim(state, now, claim)
        sharing.reserve_units(state.accounts, claim.team, -claim.reserved)
