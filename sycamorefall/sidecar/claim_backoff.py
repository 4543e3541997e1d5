"""Routers that announce work and don't answer claims."""

__all__ = ["limit_waiting", "note_answer", "note_expired"]

import msgspec

from sycamorefall import dispatch, messages
from sycamorefall.sharing import demand as demand_module
from sycamorefall.sidecar import state as state_module

LONGEST_PAUSE = 8.0
"""Longest time for which a router's work is passed over, in seconds."""


def note_expired(
    state: state_module.SidecarState, now: float, claim: dispatch.OpenClaim
) -> None:
    """Passes over a router's work for a while: claims there expired.

    Guards against a link that is cut in one direction: the router's
    announcements come, the claims don't reach it. Each would hold a slot for
    its whole lease, again and again, and the upstream would serve next to
    nobody while other routers' callers wait.

    Only this link is judged; the router may serve others well.

    Args:
        state: The sidecar; changed.
        now: This process's time.
        claim: The claim.
    """
    known = state.silences.get(claim.router)
    demand_module.drop_router(state.demand, claim.router)
    if known is None:
        # One message may be lost: the next announcement is tried at once,
        # with a single claim that tells whether more is.
        state.silences[claim.router] = state_module.Silence(now, now, 0.0)
        return
    if claim.expires_at - dispatch.CLAIM_LEASE < known.since:
        return  # Made before the router was in doubt: tells nothing more.
    pause = min(LONGEST_PAUSE, max(dispatch.CLAIM_LEASE, 2 * known.pause))
    state.silences[claim.router] = state_module.Silence(now, now + pause, pause)


def note_answer(state: state_module.SidecarState, router: str) -> None:
    """Notes that a router answered a claim or sent an attempt."""
    state.silences.pop(router, None)


def limit_waiting(
    state: state_module.SidecarState,
    now: float,
    router: str,
    waiting: messages.Waiting,
) -> messages.Waiting | None:
    """Cuts down the announcement of a router that let a claim expire.

    Args:
        state: The sidecar.
        now: This process's time.
        router: VM name of the router.
        waiting: Its announcement.

    Returns:
        The announcement; None while the router is passed over, and after
        that a single request, whose claim tries whether it answers again.
    """
    known = state.silences.get(router)
    if known is None:
        return waiting
    if now < known.until:
        return None
    first = (
        msgspec.structs.replace(entry, count=1)
        for entry in waiting.teams
        if entry.count
    )
    return msgspec.structs.replace(
        waiting, teams=tuple(first)[:1], complete=True
    )
