"""Offers: a fresh request goes to a sidecar with room without a claim."""

__all__ = ["offer_fresh", "offer_to_room"]

from sycamorefall.router import announcement, attempt_lifecycle, hints
from sycamorefall.router import effects as router_effects
from sycamorefall.router import state as state_module
from sycamorefall.sharing import queues


def offer_fresh(
    state: state_module.RouterState, now: float
) -> list[router_effects.Effect]:
    """Offers requests that have just come to sidecars with room.

    Args:
        state: The router; changed.
        now: This process's time.

    Returns:
        Hand-outs without a claim.
    """
    offers: list[router_effects.Effect] = []
    for service in sorted(state.fresh):
        offers += _offer_service(state, now, service)
    state.fresh.clear()
    return offers


def _offer_service(
    state: state_module.RouterState, now: float, service: str
) -> list[router_effects.Effect]:
    offers: list[router_effects.Effect] = []
    for number in _list_fresh(state, service):
        sidecar = hints.take_slot(state, now, service)
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
    announcement.announce_team(state, now, new.service, new.team)
    offer = attempt_lifecycle.offer_request(state, now, request, sidecar, hint)
    request.attempt.offered = True
    return offer


def offer_to_room(
    state: state_module.RouterState, now: float, service: str, sidecar: str
) -> list[router_effects.Effect]:
    """Offers what waits to a sidecar that just hinted, if one team waits.

    With one team there is nothing to choose, so its requests take the hint
    at once; among several the sidecar chooses, by the accounts. A request
    that was refused before is left to the sidecars' claims.

    Args:
        state: The router; changed.
        now: This process's time.
        service: The sidecar's service.
        sidecar: VM name of the sidecar.

    Returns:
        Hand-outs without a claim.
    """
    teams = state.waiting.queues.get(service, {})
    hint = hints.list_free(state, now, service).get(sidecar)
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


def _list_fresh(state: state_module.RouterState, service: str) -> list[int]:
    """Lists a service's waiting requests, oldest first, if all are fresh.

    Guards the teams' order: while anything waits that the sidecars were told
    of, or that came back from an attempt, a newcomer's offer would overtake
    it at a sidecar that doesn't know of it yet. So nothing is offered then
    and the sidecars choose, by the accounts.
    """
    numbers: list[int] = []
    for team, queue in state.waiting.queues.get(service, {}).items():
        if (service, team) in state.told:
            return []
        numbers += queue.arrivals
    if any(state.requests[number].attempts for number in numbers):
        return []
    return sorted(numbers)
