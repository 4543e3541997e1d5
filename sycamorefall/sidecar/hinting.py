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
from sycamorefall.sidecar import claiming, offers
from sycamorefall.sidecar import state as state_module

HEARTBEAT_BYTES = 50
"""Size of a heartbeat, framing included."""

HINT_WIDTH = 4
"""Linked routers that are told at once of room that came free."""

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
    free_slots = claiming.count_free(state) if offers.is_idle(state) else 0
    stopping = state.stopping or _is_leaving(state)
    return messages.Heartbeat(stopping, free_slots, clock_seconds=int(now))


def _is_leaving(state: state_module.SidecarState) -> bool:
    """Tells whether operators marked this VM as leaving.

    Said in heartbeats, it reaches routers whose own list is still stale.
    """
    own = state.directory.vms.get(state.vm)
    return own is not None and own.state is membership.VmState.LEAVING


def send_heartbeats(
    state: state_module.SidecarState, now: float
) -> list[effects.SendMessage]:
    """Sends a heartbeat to each linked router."""
    routers = membership.list_linked_routers(
        state.links, state.directory, now, state.vm
    )
    state.hinted = build_heartbeat(state, now).free_slots
    state.hinting.rate = _share_hints(state, len(routers))
    return _send_to(state, now, routers)


def _share_hints(state: state_module.SidecarState, routers: int) -> float:
    """Computes what this sidecar may send for hints, in bytes per second.

    Guards the routers too, which hear the hints of all their sidecars: many
    sidecars before a few routers each hint the less.
    """
    own = sharing.compute_remaining_rate(
        state_module.HINT_RATE, state_module.HEARTBEAT_RATE, routers
    )
    sidecars = len(state.links.siblings) + 1
    # A list without routers must not stop the budget for good.
    shared = state_module.ROUTER_HINT_RATE * max(1, routers) / sidecars
    return min(own, shared)


def _send_hints(
    state: state_module.SidecarState, now: float
) -> list[effects.SendMessage]:
    """Tells a few linked routers, drawn anew each time, of the room."""
    routers = membership.list_linked_routers(
        state.links, state.directory, now, state.vm
    )
    state.hinted = build_heartbeat(state, now).free_slots
    count = min(HINT_WIDTH, len(routers))
    return _send_to(state, now, state.chance.sample(routers, count))


def _has_news(state: state_module.SidecarState) -> bool:
    """Tells whether there is room for the first time, or twice as much."""
    return claiming.count_free(state) >= max(1, 2 * state.hinted)


def _send_to(
    state: state_module.SidecarState, now: float, routers: Sequence[str]
) -> list[effects.SendMessage]:
    beat = build_heartbeat(state, now)
    return [effects.SendMessage(name, beat) for name in routers]


def hint_room(
    state: state_module.SidecarState, now: float
) -> list[effects.SendMessage]:
    """Tells routers when room comes free and nothing is known to claim.

    Told are the first free slot and each doubling; routers count down by
    themselves as they offer.

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
        state.hinted = 0
        return []
    if now < find_next_hint(state):
        return []
    if state.hinted == 0:
        state.search_pause = FIRST_SEARCH
        state.next_search = now + FIRST_SEARCH
    tell = _send_hints if _has_news(state) else _search
    hints = tell(state, now)
    size = HEARTBEAT_BYTES * len(hints)
    sharing.spend_bytes(state.hinting, now, size)
    return hints


def _search(
    state: state_module.SidecarState, now: float
) -> list[effects.SendMessage]:
    """Asks a few further routers; jitter keeps idle sidecars out of step."""
    further = membership.list_unlinked_routers(
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
    opening = sharing.compute_next_send_time(state.hinting)
    if _has_news(state):
        return opening
    if not state.links.unlinked:
        return float("inf")
    return max(opening, state.next_search)
