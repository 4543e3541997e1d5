"""Hints of sidecars at free slots, and what a router makes of them."""

__all__ = ["list_free", "note_end", "note_hint", "take_slot", "take_slots"]

from sycamorefall import membership
from sycamorefall.router import state as state_module


def note_hint(
    state: state_module.RouterState,
    service: str,
    sidecar: str,
    incarnation: int,
    slots: int,
    clock_seconds: int = 0,
) -> None:
    """Takes over a sidecar's word on its free slots.

    The word is a hint, not a promise: it may be late, repeated or out of
    order, and other routers heard it too. An offer on a wrong hint is
    refused, which costs its request one trip to and fro.

    Args:
        state: The router; changed.
        service: The sidecar's service.
        sidecar: VM name of the sidecar.
        incarnation: Its process.
        slots: Slots that are free and that it knows no work for.
        clock_seconds: Its clock, in whole seconds.
    """
    hints = state.hints.setdefault(service, {})
    hints.pop(sidecar, None)
    if slots > 0:
        hints[sidecar] = state_module.Hint(incarnation, slots, clock_seconds)


def note_end(
    state: state_module.RouterState, request: state_module.Request, free: bool
) -> None:
    """Learns from the end of an attempt whether its slot is free again.

    Guards against a hint that is wrong: a sidecar that refused an offer, or
    whose upstream failed, gets no other until it hints anew.

    Args:
        state: The router; changed.
        request: The request whose attempt ended.
        free: Whether it ended well, which leaves a free slot.
    """
    attempt = request.attempt
    hints = state.hints.get(request.new.service, {})
    hint = hints.get(attempt.sidecar)
    if hint is None or hint.incarnation != attempt.incarnation:
        return
    if not free:
        del hints[attempt.sidecar]
    elif attempt.offered:
        hint.slots += 1


def list_free(
    state: state_module.RouterState, now: float, service: str
) -> dict[str, state_module.Hint]:
    """Lists the sidecars that are known to have free slots.

    Args:
        state: The router; hints that are too old to use are dropped.
        now: This process's time.
        service: The service.

    Returns:
        Hints by VM name, the newest last.
    """
    hints = state.hints.get(service)
    if not hints:
        return {}
    peers = state.directory.peers
    state.hints[service] = {
        name: hint
        for name, hint in hints.items()
        if membership.is_usable_upstream(state.directory, now, name, service)
        and peers[name].incarnation == hint.incarnation
    }
    return {
        name: hint
        for name, hint in state.hints[service].items()
        if hint.slots > 0
    }


def take_slots(
    state: state_module.RouterState, now: float, service: str, count: int
) -> list[str]:
    """Takes free slots for waiting requests, by the newest hints first.

    The fuller the upstreams, the sooner a hint is out of date.

    Args:
        state: The router; changed.
        now: This process's time.
        service: The service.
        count: Requests that wait.

    Returns:
        VM names of sidecars.
    """
    chosen: list[str] = []
    for name, hint in reversed(list_free(state, now, service).items()):
        if count == 0:
            break
        taken = min(count, hint.slots)
        hint.slots -= taken
        count -= taken
        chosen.append(name)
    return chosen


def take_slot(
    state: state_module.RouterState, now: float, service: str
) -> str | None:
    """Takes one slot of the better of two hinted sidecars.

    Guards against routers that all offer to the same sidecar, the one with
    the most room: it would refuse most of them, while others idle. Two
    random choices spread the offers although the hints are late.

    Args:
        state: The router; changed.
        now: This process's time.
        service: The service.

    Returns:
        VM name of the sidecar, or None if none is known to have room.
    """
    free = list_free(state, now, service)
    if not free:
        return None
    pair = state.chance.sample(list(free), min(2, len(free)))
    best = max(pair, key=lambda name: free[name].slots)
    free[best].slots -= 1
    return best
