"""Hints at free slots: to linked routers, and to further ones when idle."""

__all__ = [
    "HEARTBEAT_BYTES",
    "build_heartbeat",
    "find_next_hint",
    "hint_room",
    "send_heartbeats",
]

from collections.abc import Sequence

from sycamorefall import effects, membership, messages, sharing
from sycamorefall.sidecar import offers
from sycamorefall.sidecar import state as state_module

HEARTBEAT_BYTES = 50
"""Size of a heartbeat, framing included."""

SEARCH_WIDTH = 2
"""Further routers that an idle sidecar asks at once."""

FIRST_SEARCH = 0.1
"""Seconds that a sidecar is idle before it asks further routers."""

LONGEST_SEARCH = 8.0
"""Longest pause between two searches, in seconds."""


def build_heartbeat(
    state: state_module.SidecarState, now: float
) -> messages.Heartbeat:
    """Builds a heartbeat with the slots that are free for offers."""
    stopping = state.stopping or _is_leaving(state)
    if not offers.is_idle(state):
        return messages.Heartbeat(stopping)
    room = offers.count_free(state)
    return messages.Heartbeat(stopping, room, second=int(now))


def _is_leaving(state: state_module.SidecarState) -> bool:
    """Tells whether operators marked this VM as leaving.

    Said in heartbeats, it reaches routers whose own list is still stale.
    """
    own = state.directory.vms.get(state.vm)
    return own is not None and own.state is membership.VmState.LEAVING


def send_heartbeats(
    state: state_module.SidecarState, now: float
) -> list[effects.Send]:
    """Sends a heartbeat to each linked router."""
    routers = membership.list_routers(
        state.links, state.directory, now, state.vm
    )
    return _send_to(state, now, routers)


def _send_to(
    state: state_module.SidecarState, now: float, routers: Sequence[str]
) -> list[effects.Send]:
    beat = build_heartbeat(state, now)
    return [effects.Send(name, beat) for name in routers]


def hint_room(
    state: state_module.SidecarState, now: float
) -> list[effects.Send]:
    """Tells routers when room comes free and nothing is known to claim.

    Guards against an upstream that idles although work waits: at a linked
    router whose announcement was lost or still waits for its budget, or at a
    router that this sidecar has no link to. A router answers with what
    waits, or keeps the hint for its next request. Only idle sidecars pay for
    the search, less and less often, and all hints keep to a budget.

    Args:
        state: The sidecar; changed.
        now: This process's time.

    Returns:
        Heartbeats to send.
    """
    if not offers.is_idle(state):
        state.was_idle = False
        return []
    if now < find_next_hint(state):
        return []
    if state.was_idle:
        hints = _search(state, now)
    else:
        hints = send_heartbeats(state, now)
        state.was_idle = True
        state.search_pause = FIRST_SEARCH
        state.next_search = now + FIRST_SEARCH
    size = HEARTBEAT_BYTES * len(hints)
    sharing.spend_bytes(state.hinting, now, size)
    return hints


def _search(state: state_module.SidecarState, now: float) -> list[effects.Send]:
    """Asks a few further routers; jitter keeps idle sidecars out of step."""
    further = membership.list_unlinked(
        state.links, state.directory, now, state.vm
    )
    asked = state.chance.sample(further, min(SEARCH_WIDTH, len(further)))
    state.search_pause = min(LONGEST_SEARCH, 2 * state.search_pause)
    jitter = state.chance.uniform(0.75, 1.25)
    state.next_search = now + state.search_pause * jitter
    return _send_to(state, now, asked)


def find_next_hint(state: state_module.SidecarState) -> float:
    """Tells when `hint_room` has something to do next."""
    if not offers.is_idle(state):
        return float("inf")
    opening = sharing.find_opening(state.hinting)
    if not state.was_idle:
        return opening
    if not state.links.unlinked:
        return float("inf")
    return max(opening, state.next_search)
