"""Offers: a fresh request goes to a sidecar with room without a claim."""

__all__ = ["offer_fresh"]

from sycamorefall.router import effects as router_effects
from sycamorefall.router import handout, hints
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
    numbers = _list_fresh(state, service)
    offers: list[router_effects.Effect] = []
    for number in numbers:
        request = state.requests[number]
        sidecar = hints.take_slot(state, now, service)
        if sidecar is None:
            break
        hint = state.hints[service][sidecar]
        queues.leave_queue(
            state.waiting,
            service,
            request.new.team,
            number,
            request.deadline,
        )
        state.counted.pop((service, request.new.team), None)
        offer = handout.offer_request(state, now, request, sidecar, hint)
        request.attempt.offered = True
        offers.append(offer)
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
