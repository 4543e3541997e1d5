"""Intake of callers' requests: admitted to a queue, or answered at once."""

__all__ = [
    "admit_request",
    "cancel_request",
    "check_service",
    "forget_request",
    "identify_team",
    "suggest_return",
]

import heapq

from sycamorefall import (
    admission,
    configuration,
    effects,
    errors,
    membership,
    sharing,
)
from sycamorefall.router import announcement
from sycamorefall.router import effects as router_effects
from sycamorefall.router import state as state_module
from sycamorefall.sharing import queues


def identify_team(state: state_module.RouterState, key: str) -> str | None:
    """Finds the team that a bearer key belongs to.

    The key is hashed before it is looked up, so the time of the look-up
    tells nothing about keys that are close to it.

    Args:
        state: The router.
        key: The bearer key.

    Returns:
        The team's name, or None.
    """
    in_force = state.versions.configuration
    if in_force is None:
        return None
    return in_force.team_by_key.get(configuration.hash_key(key))


def check_service(
    state: state_module.RouterState, now: float, service: str
) -> errors.ErrorKind | None:
    """Tells why no request for a service can be taken, if so.

    Args:
        state: The router.
        now: This process's time.
        service: The service that a caller names.

    Returns:
        The kind of failure, or None if the service takes requests.
    """
    in_force = state.versions.configuration
    if in_force is None:
        return errors.ErrorKind.NOT_READY
    if state.stopping:
        return errors.ErrorKind.STOPPING
    if service not in in_force.services:
        return errors.ErrorKind.UNKNOWN_SERVICE
    if not membership.select_upstreams(state.directory, now, service):
        return errors.ErrorKind.NO_UPSTREAM
    needed = in_force.services[service].depends_on
    if not all(
        membership.select_upstreams(state.directory, now, name)
        for name in needed
    ):
        return errors.ErrorKind.DEPENDENCY_UNAVAILABLE
    return None


def admit_request(
    state: state_module.RouterState,
    now: float,
    new: state_module.NewRequest,
) -> tuple[int, list[router_effects.Effect]]:
    """Takes a request in, or answers at once that it was not run.

    Args:
        state: The router; changed.
        now: This process's time.
        new: The request.

    Returns:
        The request's number and the effects; an `AnswerError` among them may
        be for this request or for one that it pushed out.
    """
    state.last_request += 1
    number = state.last_request
    refusal = check_service(state, now, new.service)
    if refusal is None:
        refusal = _check_wait(state, new)
    if refusal is not None:
        return number, [_refuse(state, number, new, refusal)]
    request = state_module.Request(
        number, new, arrived=now, deadline=now + new.timeout
    )
    state.requests[number] = request
    heapq.heappush(state.deadlines, (request.deadline, number))
    sharing.join_queue(
        state.waiting,
        new.service,
        new.team,
        number,
        request.arrived,
        request.deadline,
    )
    overflow = _shed_overflow(state)
    announced = announcement.announce_team(state, now, new.service, new.team)
    return number, [*overflow, *announced]


def _check_wait(
    state: state_module.RouterState, new: state_module.NewRequest
) -> errors.ErrorKind | None:
    limits = state.versions.configuration.limits
    ahead = queues.count_waiting(state.waiting, new.service, new.team)
    if ahead >= limits.waiting_per_team:
        return errors.ErrorKind.TOO_MANY_WAITING
    rate = state.rates.get((new.service, new.team))
    if rate and ahead and admission.estimate_wait(rate, ahead) > new.timeout:
        return errors.ErrorKind.WAIT_EXCEEDS_DEADLINE
    return None


def _refuse(
    state: state_module.RouterState,
    number: int,
    new: state_module.NewRequest,
    kind: errors.ErrorKind,
) -> router_effects.AnswerError:
    """Builds the final answer to a request that was not run."""
    retry_after = None
    if errors.ANSWERS[kind].retry:
        retry_after = suggest_return(state, new.service, new.team)
    return router_effects.AnswerError(number, kind, errors.Ran.NO, retry_after)


def suggest_return(
    state: state_module.RouterState, service: str, team: str
) -> int:
    """Suggests when a team's refused caller should come back, in seconds."""
    rate = state.rates.get((service, team), admission.DrainRate())
    ahead = queues.count_waiting(state.waiting, service, team)
    return admission.suggest_retry_after(rate, ahead)


def _shed_overflow(
    state: state_module.RouterState,
) -> list[router_effects.Effect]:
    """Makes the team with the most waiting lose its newest request."""
    limits = state.versions.configuration.limits
    shed: list[router_effects.Effect] = []
    while state.waiting.total > limits.waiting_per_router:
        service, team = queues.find_longest_queue(state.waiting)
        number = queues.pop_newest(state.waiting, service, team)
        new = state.requests[number].new
        kind = errors.ErrorKind.TOO_MANY_WAITING
        shed.append(_refuse(state, number, new, kind))
        forget_request(state, number)
    return shed


def forget_request(state: state_module.RouterState, number: int) -> None:
    """Drops a request that has its final answer."""
    request = state.requests.pop(number, None)
    state.asking.discard(number)
    if request is not None and request.attempt is not None:
        state.by_attempt.pop(request.attempt.attempt_id, None)


def cancel_request(
    state: state_module.RouterState, now: float, number: int
) -> list[router_effects.Effect]:
    """Drops a request whose caller hung up.

    Args:
        state: The router; changed.
        now: This process's time.
        number: The request.

    Returns:
        Effects: its attempt is aborted, or its queue announced anew.
    """
    request = state.requests.get(number)
    if request is None:
        return []
    new = request.new
    outcome: list[router_effects.Effect | effects.Send] = []
    if request.attempt is not None:
        outcome.append(router_effects.AbortAttempt(request.attempt.attempt_id))
    elif queues.leave_queue(state.waiting, new.service, new.team, number):
        outcome += announcement.announce_team(state, now, new.service, new.team)
    forget_request(state, number)
    return outcome
