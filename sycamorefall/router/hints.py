"""Free-slot hints from sidecars, and the choice of sidecars by them.

Idle sidecars report their free slots in heartbeats. A router uses these hints
to choose the sidecars that get offers (requests without a claim, see
`offering`) or announcements.
"""

__all__ = [
    "list_free_sidecars",
    "record_attempt_end",
    "record_hint",
    "reserve_slot",
    "reserve_slots",
]

from sycamorefall import membership
from sycamorefall.router import state as state_module


def record_hint(
    state: state_module.RouterState,
    service: str,
    sidecar: str,
    incarnation: int,
    slots: int,
    clock_seconds: int = 0,
) -> None:
    """Stores the number of free slots that a sidecar reported.

    A hint is no reservation: it may arrive late, repeatedly or out of order,
    and other routers may have received it too. An offer because of a wrong hint
    is refused, which costs its request one round trip.

    Args:
        state: The router's state; changed.
        service: The sidecar's service.
        sidecar: VM name of the sidecar.
        incarnation: The sidecar's incarnation.
        slots: Free slots for which the sidecar knows no waiting request.
        clock_seconds: Time of the sidecar's clock, in whole seconds.
    """
    hints = state.hints.setdefault(service, {})
    hints.pop(sidecar, None)
    if slots > 0:
        hints[sidecar] = state_module.Hint(incarnation, slots, clock_seconds)


def record_attempt_end(
    state: state_module.RouterState, request: state_module.Request, free: bool
) -> None:
    """Updates the hint of a sidecar when an attempt ends there.

    A sidecar that refused a request, or whose upstream failed, loses its hint:
    it gets no offer until it sends a new hint.

    Args:
        state: The router's state; changed.
        request: The request whose attempt ended.
        free: Whether the attempt completed, so that its slot is free again.
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


def list_free_sidecars(
    state: state_module.RouterState, now: float, service: str
) -> dict[str, state_module.Hint]:
    """Lists the sidecars of a service that are known to have free slots.

    Args:
        state: The router's state; hints of unusable sidecars are removed.
        now: This process's time, in seconds.
        service: Name of the service.

    Returns:
        Hints by VM name, from the oldest to the newest.
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


def reserve_slots(
    state: state_module.RouterState, now: float, service: str, count: int
) -> list[str]:
    """Reserves hinted slots for waiting requests, from the newest hint on.

    Newer hints are used first, because hints get outdated sooner the busier the
    upstreams are.

    Args:
        state: The router's state; changed.
        now: This process's time, in seconds.
        service: Name of the service.
        count: Number of waiting requests.

    Returns:
        VM names of the sidecars.
    """
    chosen: list[str] = []
    for name, hint in reversed(list_free_sidecars(state, now, service).items()):
        if count == 0:
            break
        taken = min(count, hint.slots)
        hint.slots -= taken
        count -= taken
        chosen.append(name)
    return chosen


def reserve_slot(
    state: state_module.RouterState, now: float, service: str
) -> str | None:
    """Reserves a slot at the freer of two randomly chosen hinted sidecars.

    If each router chose the sidecar with the most free slots, all would choose
    the same one, which would refuse most requests while other sidecars stay
    idle. The power of two random choices spreads the requests although hints
    arrive late.

    Args:
        state: The router's state; changed.
        now: This process's time, in seconds.
        service: Name of the service.

    Returns:
        VM name of the sidecar, or None if none is known to have a free slot.
    """
    free = list_free_sidecars(state, now, service)
    if not free:
        return None
    pair = state.rng.sample(list(free), min(2, len(free)))
    best = max(pair, key=lambda name: free[name].slots)
    free[best].slots -= 1
    return best
