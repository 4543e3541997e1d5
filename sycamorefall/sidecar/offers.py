"""Offers: requests that a router sends to a sidecar without a claim.

A router sends an offer in response to a hint, a heartbeat that announces the
sidecar's free slots.
"""

__all__ = ["has_idle_slots", "redeem_order"]

from sycamorefall import dispatch, messages, sharing
from sycamorefall.sidecar import claiming
from sycamorefall.sidecar import state as state_module

OFFER_LEASE = 15.0
"""Seconds after a sidecar's hint within which an offer on it may start."""


def redeem_order(
    state: state_module.SidecarState, now: float, order: messages.AttemptOrder
) -> dispatch.OpenClaim | None:
    """Redeems the claim that an order names, or accepts an offer.

    Args:
        state: The sidecar's state; changed.
        now: This process's time, in seconds.
        order: Order of the attempt.

    Returns:
        The claim, with the cost units reserved for the request; None if the
        attempt has to be refused.
    """
    if claiming.count_free_slots(state) <= 1:
        state.hinted_slots = 0
    if order.claim_id != messages.UNCLAIMED:
        return dispatch.redeem_claim(
            state.claims, now, order.claim_id, order.router, order.team
        )
    if now - order.hinted > OFFER_LEASE or not _may_accept_offer(
        state, order.team
    ):
        # An offer may be delayed, on a link or in a frozen process, until this
        # sidecar has dropped the record of having reported "never seen".
        # Accepted then, its request would run after its caller was answered
        # "not run", or run twice. The time of the hint was read from this
        # process's clock, and only this process accepts offers on the hint.
        return None
    reserved = sharing.estimate_cost(state.estimates, order.team)
    sharing.reserve_units(state.accounts, order.team, reserved)
    return dispatch.OpenClaim(
        messages.UNCLAIMED, order.router, order.team, now, reserved
    )


def _may_accept_offer(state: state_module.SidecarState, team: str) -> bool:
    """Returns whether an offer may start now.

    It may only if a slot is free, because several routers may send offers on
    the same hint and would exceed the upstream's limit. It also may not
    overtake a team that waits elsewhere and received less.
    """
    if not claiming.may_claim(state) or claiming.count_free_slots(state) <= 0:
        return False
    # An idle team saves up no service: its key counts as raised to the floor.
    key = max(_compute_order_key(state, team), state.fairness.floor)
    return all(
        _compute_order_key(state, waiting) >= key
        for waiting in state.demand.teams
    )


def _compute_order_key(state: state_module.SidecarState, team: str) -> float:
    weight = claiming.get_team_weight(state, team)
    return sharing.compute_order_key(state.accounts, team, weight)


def has_idle_slots(state: state_module.SidecarState) -> bool:
    """Returns whether slots are free and no work is known to wait."""
    if state.demand.teams or not claiming.may_claim(state):
        return False
    return claiming.count_free_slots(state) > 0
