"""Offers at a sidecar: requests that a router sends without a claim."""

__all__ = ["is_idle", "redeem_order"]

from sycamorefall import dispatch, messages, sharing
from sycamorefall.sidecar import claiming
from sycamorefall.sidecar import state as state_module

OFFER_LEASE = 15.0
"""Seconds after a sidecar's hint at room in which offers on it may start."""


def redeem_order(
    state: state_module.SidecarState, now: float, order: messages.AttemptOrder
) -> dispatch.OpenClaim | None:
    """Finds the claim that a hand-out answers, or takes it as an offer.

    Args:
        state: The sidecar; changed.
        now: This process's time.
        order: Head of the attempt.

    Returns:
        The claim, with the units reserved for the request; None if the
        attempt is to be refused.
    """
    if claiming.count_free(state) <= 1:
        state.hinted = 0
    if order.claim_id != messages.UNCLAIMED:
        return dispatch.redeem_claim(
            state.claims, now, order.claim_id, order.router, order.team
        )
    if now - order.hinted > OFFER_LEASE or not _may_take_offer(
        state, order.team
    ):
        # Guards against an offer that was held back, on a link or in a
        # frozen process, until this sidecar no longer remembers that its
        # router was told "never seen": its request would run after its
        # caller was told "not run", or a second time. The hint's time is of
        # this process's own clock, and only this process accepts the offer.
        return None
    reserved = sharing.estimate_cost(state.estimates, order.team)
    sharing.reserve_units(state.accounts, order.team, reserved)
    return dispatch.OpenClaim(
        messages.UNCLAIMED, order.router, order.team, now, reserved
    )


def _may_take_offer(state: state_module.SidecarState, team: str) -> bool:
    """Tells whether an offer may start now.

    Guards against offers of several routers on the same hint, which would
    fill the upstream beyond its limit, and against overtaking: a team that
    waits elsewhere and received less goes first.
    """
    if not claiming.may_claim(state) or claiming.count_free(state) <= 0:
        return False
    # A team that was idle has not saved up service: it counts as lifted.
    key = max(_compute_key(state, team), state.fairness.floor)
    return all(
        _compute_key(state, waiting) >= key for waiting in state.demand.teams
    )


def _compute_key(state: state_module.SidecarState, team: str) -> float:
    weight = claiming.find_weight(state, team)
    return sharing.compute_order_key(state.accounts, team, weight)


def is_idle(state: state_module.SidecarState) -> bool:
    """Tells whether there is room and nothing known to claim."""
    if state.demand.teams or not claiming.may_claim(state):
        return False
    return claiming.count_free(state) > 0
