"""Requests that seek another sidecar while their attempt is kept.

A silent sidecar may go on and deliver its response, and so may a connection
that holds bytes back. An attempt is therefore let go only when a sidecar has
claimed its request. Until then the request waits in its queue like any other,
and leaves it as soon as its sidecar is heard or the bytes arrive.
"""

__all__ = ["let_go", "seek_sidecar", "stop_seeking_at"]

from sycamorefall import dispatch
from sycamorefall.router import effects as router_effects
from sycamorefall.router import hints, intake
from sycamorefall.router import state as state_module


def seek_sidecar(
    state: state_module.RouterState,
    now: float,
    request: state_module.Request,
) -> None:
    """Queues a request for another sidecar while its attempt is kept.

    Nothing changes if no upstream of its service is usable, or its retries or
    those of its team are used up.

    Args:
        state: The router's state; changed.
        now: This process's time, in seconds.
        request: A request that may run again, and whose sidecar is silent or
            whose response is held back.
    """
    new = request.new
    if request.attempt.seeking or intake.find_outage(state, now, new.service):
        return
    retries = state.versions.configuration.limits.retries
    if request.failures >= retries or not dispatch.withdraw_retry(
        state.retry_budgets, now, new.team
    ):
        return
    request.attempt.seeking = True
    state.seeking.add(request.number)
    intake.enqueue_request(state, now, request)


def stop_seeking_at(
    state: state_module.RouterState, now: float, sidecar: str, incarnation: int
) -> None:
    """Takes requests out of their queues whose sidecar claims, so is back.

    Otherwise it could be sent a request a second time that it still runs. It
    may be sent one whose response is held back on the connection.

    Args:
        state: The router's state; changed.
        now: This process's time, in seconds.
        sidecar: VM name of the sidecar.
        incarnation: The sidecar's incarnation.
    """
    for number in list(state.seeking):
        request = state.requests[number]
        attempt = request.attempt
        known = attempt.sidecar, attempt.incarnation
        held_back = attempt.received_when_behind is not None
        if known == (sidecar, incarnation) and not held_back:
            intake.stop_seeking(state, now, request)


def let_go(
    state: state_module.RouterState, request: state_module.Request
) -> list[router_effects.Effect]:
    """Abandons the attempt of a request that another sidecar has claimed.

    Args:
        state: The router's state; changed.
        request: A request that has left its queue.

    Returns:
        An effect that aborts the attempt; none if there is no attempt.
    """
    attempt = request.attempt
    if attempt is None:
        return []
    hints.record_attempt_end(state, request, free=False)
    state.seeking.discard(request.number)
    state.request_by_attempt.pop(attempt.attempt_id, None)
    request.attempt = None
    request.failures += 1
    return [router_effects.AbortAttempt(attempt.attempt_id)]
