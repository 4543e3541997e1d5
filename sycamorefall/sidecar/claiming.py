"""A sidecar's claims: which team's request it asks which router for."""

__all__ = [
    "count_free",
    "find_weight",
    "make_claims",
    "may_claim",
    "release_expired",
    "release_no_work",
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


def find_weight(state: state_module.SidecarState, team: str) -> float:
    """Finds a team's weight; 1 for a team that the text doesn't list."""
    in_force = state.versions.configuration
    known = in_force.teams.get(team) if in_force else None
    return known.weight if known else 1.0


def make_claims(
    state: state_module.SidecarState, now: float
) -> list[effects.SendMessage]:
    """Claims requests while there is room and work.

    Args:
        state: The sidecar; changed.
        now: This process's time.

    Returns:
        Claims to send.
    """
    if not may_claim(state):
        return []
    room = admission.count_claimable(
        state.limit, len(state.runs), len(state.claims.open)
    )
    claims: list[effects.SendMessage] = []
    while len(claims) < room and _is_worth_claiming(state, now):
        claim = _claim_one(state, now)
        if claim is None:
            break
        claims.append(claim)
        state.hinted = 0
    return claims


def _is_worth_claiming(state: state_module.SidecarState, now: float) -> bool:
    """Tells whether a claim would get a request, and get it served soon.

    Guards against claims by everybody for the same few requests: with no
    slot free, a claim ahead is for a backlog. For less than a request a
    sidecar most of them come back empty, and the first one binds its request
    to an upstream that is full, while another comes free sooner.
    """
    if count_free(state) > 0:
        return True
    siblings = membership.list_siblings(
        state.links, state.directory, now, state.vm
    )
    return state.demand.total > len(siblings)


def count_free(state: state_module.SidecarState) -> int:
    """Counts slots that are neither in use nor claimed for."""
    taken = len(state.runs) + len(state.claims.open)
    return max(0, admission.compute_own_limit(state.limit) - taken)


def may_claim(state: state_module.SidecarState) -> bool:
    """Tells whether this sidecar may take new work at all."""
    in_force = state.versions.configuration
    if state.stopping or in_force is None:
        return False
    own = state.directory.vms.get(state.vm)
    listed_live = own is not None and own.state is membership.VmState.LIVE
    return listed_live and state.service in in_force.services


def _claim_one(
    state: state_module.SidecarState, now: float
) -> effects.SendMessage | None:
    team = sharing.choose_team(
        state.fairness,
        state.accounts,
        state.demand.teams,
        lambda name: find_weight(state, name),
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


def release_no_work(
    state: state_module.SidecarState,
    router: str,
    message: messages.NoWork,
) -> None:
    """Ends a claim that a router has nothing for.

    Args:
        state: The sidecar; changed.
        router: The router.
        message: Its answer.
    """
    claim_backoff.note_answer(state, router)
    claim = dispatch.release_claim(state.claims, message.claim_id)
    if claim is not None:
        sharing.reserve_units(state.accounts, claim.team, -claim.reserved)
    demand_module.drop_router(state.demand, router, message.team)


def release_expired(state: state_module.SidecarState, now: float) -> None:
    """Ends claims whose lease is over.

    Args:
        state: The sidecar; changed.
        now: This process's time.
    """
    for claim in dispatch.expire_claims(state.claims, now):
        claim_backoff.note_expired(state, now, claim)
        sharing.reserve_units(state.accounts, claim.team, -claim.reserved)
