"""Hints: heartbeats that announce a sidecar's free slots to routers.

Linked routers get hints when slots become free; further routers get them while
the sidecar is idle.
"""

__all__ = [
    "HEARTBEAT_BYTES",
    "build_heartbeat",
    "find_next_hint",
    "send_due_hints",
    "send_heartbeats",
]

from collections.abc import Sequence

from sycamorefall import effects, membership, messages, sharing
from sycamorefall.sidecar import claiming, offers
from sycamorefall.sidecar import state as state_module

HEARTBEAT_BYTES = 50
"""Size of a heartbeat in bytes, including framing."""

HINT_RECEIVERS = 4
"""Linked routers that get a hint when slots become free."""

SEARCH_RECEIVERS = 2
"""Unlinked routers that get a hint in one search for work."""

FIRST_SEARCH_DELAY = 0.1
"""Seconds that a sidecar is idle before it first searches for work."""

MAX_SEARCH_PAUSE = 8.0
"""Longest pause between two searches in seconds, before jitter."""


def build_heartbeat(
    state: state_module.SidecarState, now: float
) -> messages.Heartbeat:
    """Builds a heartbeat with the slots that are free for offers.

    They are 0 while work is known to wait: the slots are for claims then.
    """
    free_slots = (
        claiming.count_free_slots(state) if offers.has_idle_slots(state) else 0
    )
    stopping = state.stopping or _is_leaving(state)
    return messages.Heartbeat(stopping, free_slots, clock_seconds=int(now))


def _is_leaving(state: state_module.SidecarState) -> bool:
    """Returns whether operators marked this VM as leaving.

    Heartbeats carry the mark to routers whose VM list is still outdated.
    """
    own = state.directory.vms.get(state.vm)
    return own is not None and own.state is membership.VmState.LEAVING


def send_heartbeats(
    state: state_module.SidecarState, now: float
) -> list[effects.SendMessage]:
    """Creates a heartbeat for each linked router."""
    routers = membership.list_linked_routers(
        state.links, state.directory, now, state.vm
    )
    state.hinted_slots = build_heartbeat(state, now).free_slots
    state.hint_budget.rate = _compute_hint_rate(state, len(routers))
    return _send_heartbeat(state, now, routers)


def _compute_hint_rate(state: state_module.SidecarState, routers: int) -> float:
    """Computes the rate limit of this sidecar's hints, in bytes per second.

    The rate also protects the routers, each of which gets hints from many
    sidecars: the more sidecars there are per router, the fewer hints each
    sends.
    """
    own = sharing.compute_remaining_rate(
        state_module.HINT_RATE, state_module.HEARTBEAT_RATE, routers
    )
    sidecars = len(state.links.siblings) + 1
    # Without a router in the VM list, a rate of 0 would stop the budget for
    # good.
    shared = state_module.ROUTER_HINT_RATE * max(1, routers) / sidecars
    return min(own, shared)


def _send_hints(
    state: state_module.SidecarState, now: float
) -> list[effects.SendMessage]:
    """Creates hints for a few linked routers, chosen at random each time."""
    routers = membership.list_linked_routers(
        state.links, state.directory, now, state.vm
    )
    state.hinted_slots = build_heartbeat(state, now).free_slots
    count = min(HINT_RECEIVERS, len(routers))
    return _send_heartbeat(state, now, state.rng.sample(routers, count))


def _should_hint(state: state_module.SidecarState) -> bool:
    """Returns whether free slots are new, or twice as many as hinted last."""
    return claiming.count_free_slots(state) >= max(1, 2 * state.hinted_slots)


def _send_heartbeat(
    state: state_module.SidecarState, now: float, routers: Sequence[str]
) -> list[effects.SendMessage]:
    heartbeat = build_heartbeat(state, now)
    return [effects.SendMessage(name, heartbeat) for name in routers]


def send_due_hints(
    state: state_module.SidecarState, now: float
) -> list[effects.SendMessage]:
    """Creates hints if slots became free and no work is known to wait.

    The first free slot and each doubling are announced. Routers count the slots
    down themselves as they send offers.

    Without hints, an upstream could idle while work waits at a linked router
    whose announcement was lost or is delayed by its byte budget, or at a router
    without a link to this sidecar. A router responds to a hint by announcing
    its waiting requests, or keeps the hint for its next request. Only idle
    sidecars search for work at unlinked routers, less and less often, and all
    hints keep to a byte budget.

    Args:
        state: The sidecar's state; changed.
        now: This process's time, in seconds.

    Returns:
        Heartbeats to send.
    """
    if not offers.has_idle_slots(state):
        state.hinted_slots = 0
        return []
    if now < find_next_hint(state):
        return []
    if state.hinted_slots == 0:
        state.search_pause = FIRST_SEARCH_DELAY
        state.next_search_at = now + FIRST_SEARCH_DELAY
    create_hints = _send_hints if _should_hint(state) else _search_work
    hints = create_hints(state, now)
    size = HEARTBEAT_BYTES * len(hints)
    sharing.spend_bytes(state.hint_budget, now, size)
    return hints


def _search_work(
    state: state_module.SidecarState, now: float
) -> list[effects.SendMessage]:
    """Creates hints for a few unlinked routers.

    Jitter keeps idle sidecars from searching at the same times.
    """
    unlinked_routers = membership.list_unlinked_routers(
        state.links, state.directory, now, state.vm
    )
    receivers = state.rng.sample(
        unlinked_routers, min(SEARCH_RECEIVERS, len(unlinked_routers))
    )
    state.search_pause = min(MAX_SEARCH_PAUSE, 2 * state.search_pause)
    jitter = state.rng.uniform(0.75, 1.25)
    state.next_search_at = now + state.search_pause * jitter
    return _send_heartbeat(state, now, receivers)


def find_next_hint(state: state_module.SidecarState) -> float:
    """Returns the time at which `send_due_hints` has something to do next."""
    if not offers.has_idle_slots(state):
        return float("inf")
    next_send_time = sharing.compute_next_send_time(state.hint_budget)
    if _should_hint(state):
        return next_send_time
    if not state.links.unlinked_routers:
        return float("inf")
    return max(next_send_time, state.next_search_at)
