"""Hints of sidecars at free slots, and what a router makes of them."""

__all__ = ["note_end", "note_hint", "take_slot"]

from sycamorefall import membership
from sycamorefall.router import state as state_module


def note_hint(
    state: state_module.RouterState,
    service: str,
    sidecar: str,
    incarnation: int,
    slots: int,
    second: int = 0,
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
        second: Its clock, in whole seconds.
    """
    hints = state.hints.setdefault(service, {})
    if slots > 0:
        hints[sidecar] = state_module.Hint(incarnation, slots, second)
    else:
        hints.pop(sidecar, None)


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
    hints = state.hints.get(service)
    if not hints:
        return None
    gone = [
        name
        for name in hints
        if not membership.is_upstream(state.directory, now, name, service)
    ]
    for name in gone:
        del hints[name]
    free = [name for name, hint in hints.items() if hint.slots > 0]
    if not free:
        return None
    pair = state.chance.sample(free, min(2, len(free)))
    best = max(pair, key=lambda name: hints[name].slots)
    hints[best].slots -= 1
    return best
