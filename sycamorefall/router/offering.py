"""Offers: requests sent to sidecars with free slots without a claim.

An offer saves a new request the round trips of an announcement and a claim.
"""

__all__ = ["offer_new_requests", "offer_waiting_requests"]

from sycamorefall.router import announcement, attempt_lifecycle, hints
from sycamorefall.router import effects as router_effects
from sycamorefall.router import state as state_module
from sycamorefall.sharing import queues


def offer_new_requests(
    state: state_module.RouterState, now: float
) -> list[router_effects.Effect]:
    """Offers requests that have just arrived to sidecars with free slots.

    Args:
        state: The router's state; changed.
        now: This process's time, in seconds.

    Returns:
        Effects that send the requests.
    """
    offers: list[router_effects.Effect] = []
    for service in sorted(state.services_with_new_requests):
        offers += _offer_service(state, now, service)
    state.services_with_new_requests.clear()
    return offers


def _offer_service(
    state: state_module.RouterState, now: float, service: str
) -> list[router_effects.Effect]:
    offers: list[router_effects.Effect] = []
    for number in _list_new_requests(state, service):
        sidecar = hints.reserve_slot(state, now, service)
        if sidecar is None:
            break
        offers.append(_offer(state, now, number, sidecar))
    return offers


def _offer(
    state: state_module.RouterState, now: float, number: int, sidecar: str
) -> router_effects.Effect:
    request = state.requests[number]
    new = request.new
    hint = state.hints[new.service][sidecar]
    queues.remove_request(
        state.waiting, new.service, new.team, number, request.deadline
    )
    announcement.record_queue_change(state, now, new.service, new.team)
    offer = attempt_lifecycle.offer_request(state, now, request, sidecar, hint)
    request.attempt.offered = True
    return offer


def offer_waiting_requests(
    state: state_module.RouterState, now: float, service: str, sidecar: str
) -> list[router_effects.Effect]:
    """Offers waiting requests to a sidecar that just reported free slots.

    Requests are offered only if a single team waits for the service. With
    several teams the sidecar chooses one, by its service accounts, and claims.
    A request whose earlier attempt was refused is left to claims as well.

    Args:
        state: The router's state; changed.
        now: This process's time, in seconds.
        service: The sidecar's service.
        sidecar: VM name of the sidecar.

    Returns:
        Effects that send the requests.
    """
    teams = state.waiting.queues.get(service, {})
    hint = hints.list_free_sidecars(state, now, service).get(sidecar)
    if len(teams) != 1 or hint is None:
        return []
    numbers = [number for queue in teams.values() for number in queue.arrivals]
    offers: list[router_effects.Effect] = []
    for number in numbers:
        if hint.slots == 0 or state.requests[number].attempts:
            break
        hint.slots -= 1
        offers.append(_offer(state, now, number, sidecar))
    return offers


def _list_new_requests(
    state: state_module.RouterState, service: str
) -> list[int]:
    """Lists a service's waiting requests, oldest first, if all of them are new.

    Returns nothing if any request was announced to sidecars or was queued again
    after an attempt: an offer of a new request would overtake it at a sidecar
    that doesn't know of it yet. The sidecars then choose the team by their
    service accounts, which preserves the order between teams.
    """
    numbers: list[int] = []
    for team, queue in state.waiting.queues.get(service, {}).items():
        if (service, team) in state.informed_sidecars:
            return []
        numbers += queue.arrivals
    if any(state.requests[number].attempts for number in numbers):
        return []
    return sorted(numbers)
