"""Backoff from routers that announce work and don't answer claims."""

__all__ = ["clear_backoff", "limit_waiting", "record_expired_claim"]

import msgspec

from sycamorefall import dispatch, messages
from sycamorefall.sharing import demand as demand_module
from sycamorefall.sidecar import state as state_module

MAX_BACKOFF = 8.0
"""Longest time for which a router's announcements are ignored, in seconds."""


def record_expired_claim(
    state: state_module.SidecarState, now: float, claim: dispatch.OpenClaim
) -> None:
    """Begins or extends the backoff from a router where a claim expired.

    A link may fail in one direction: the router's announcements arrive, but
    claims don't reach the router. Each claim would hold a slot for its whole
    lease, again and again, and the upstream would serve almost nobody while
    callers wait at other routers.

    The backoff applies to this link only; other sidecars may reach the router.

    Args:
        state: The sidecar's state; changed.
        now: This process's time, in seconds.
        claim: The expired claim.
    """
    known = state.claim_backoffs.get(claim.router)
    demand_module.drop_router(state.demand, claim.router)
    if known is None:
        # A single message may have been lost. The next announcement gets one
        # claim without a pause, which shows whether the router answers.
        state.claim_backoffs[claim.router] = state_module.ClaimBackoff(
            now, now, 0.0
        )
        return
    if claim.expires_at - dispatch.CLAIM_LEASE < known.last_expiry_at:
        return  # Claimed before the last expiry: no new evidence.
    duration = min(MAX_BACKOFF, max(dispatch.CLAIM_LEASE, 2 * known.duration))
    state.claim_backoffs[claim.router] = state_module.ClaimBackoff(
        now, now + duration, duration
    )


def clear_backoff(state: state_module.SidecarState, router: str) -> None:
    """Ends a router's backoff: it answered a claim or sent an attempt."""
    state.claim_backoffs.pop(router, None)


def limit_waiting(
    state: state_module.SidecarState,
    now: float,
    router: str,
    waiting: messages.Waiting,
) -> messages.Waiting | None:
    """Reduces the announcement of a router that let a claim expire.

    Args:
        state: The sidecar's state.
        now: This process's time, in seconds.
        router: VM name of the router.
        waiting: The router's announcement.

    Returns:
        The announcement, unchanged if there is no backoff. None while the
        router is ignored; after that, a single request, whose claim shows
        whether the router answers again.
    """
    known = state.claim_backoffs.get(router)
    if known is None:
        return waiting
    if now < known.ignored_until:
        return None
    first = (
        msgspec.structs.replace(entry, count=1)
        for entry in waiting.teams
        if entry.count
    )
    return msgspec.structs.replace(
        waiting, teams=tuple(first)[:1], complete=True
    )
