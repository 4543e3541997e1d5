"""Admission of callers' requests, which are queued or answered at once."""

__all__ = [
    "admit_request",
    "cancel_request",
    "check_service",
    "discard_request",
    "enqueue_request",
    "find_outage",
    "identify_team",
    "refuse_waiting",
    "stop_seeking",
]

import dataclasses
import heapq

from sycamorefall import (
    configuration,
    dispatch,
    effects,
    errors,
    membership,
    sharing,
)
from sycamorefall.router import announcement, estimates
from sycamorefall.router import effects as router_effects
from sycamorefall.router import state as state_module
from sycamorefall.sharing import queues

MAX_STALE_DEADLINES = 1024
"""Deadlines of answered requests kept before the heap is rebuilt.

In addition, the heap may hold as many of them as there are open requests.
"""


def identify_team(state: state_module.RouterState, key: str) -> str | None:
    """Looks up the team that a bearer key belongs to.

    The key is hashed before the lookup, so the lookup's duration reveals
    nothing about similar keys.

    Args:
        state: The router's state.
        key: The bearer key.

    Returns:
        The team's name, or None if no team has the key.
    """
    in_force = state.versions.configuration
    if in_force is None:
        return None
    return in_force.team_by_key.get(configuration.hash_key(key))


def check_service(
    state: state_module.RouterState, now: float, service: str
) -> errors.ErrorKind | None:
    """Checks whether the router accepts requests for a service.

    Args:
        state: The router's state.
        now: This process's time, in seconds.
        service: The service that a caller names.

    Returns:
        The kind of error if requests are refused, or None.
    """
    in_force = state.versions.configuration
    if in_force is None:
        return errors.ErrorKind.NOT_READY
    if state.stopping:
        return errors.ErrorKind.STOPPING
    if service not in in_force.services:
        return errors.ErrorKind.UNKNOWN_SERVICE
    return find_outage(state, now, service)


def find_outage(
    state: state_module.RouterState, now: float, service: str
) -> errors.ErrorKind | None:
    """Checks whether a service and its dependencies have usable upstreams.

    Args:
        state: The router's state, with a configuration in force.
        now: This process's time, in seconds.
        service: Name of the service.

    Returns:
        The kind of error if requests of the service can't run now, or None.
    """
    known = state.versions.configuration.services.get(service)
    if known is None:
        return errors.ErrorKind.UNKNOWN_SERVICE
    if not membership.has_usable_upstream(state.directory, now, service):
        return errors.ErrorKind.NO_UPSTREAM
    if not all(
        membership.has_usable_upstream(state.directory, now, name)
        for name in known.depends_on
    ):
        return errors.ErrorKind.DEPENDENCY_UNAVAILABLE
    return None


def admit_request(
    state: state_module.RouterState,
    now: float,
    new: state_module.NewRequest,
) -> tuple[int, list[router_effects.Effect]]:
    """Queues a new request, or answers at once that it did not run.

    Args:
        state: The router's state; changed.
        now: This process's time, in seconds.
        new: The request.

    Returns:
        The request's number and the effects. An `AnswerError` among them is for
        this request or for a waiting one that was shed in its place.
    """
    state.last_request += 1
    number = state.last_request
    refusal = check_service(state, now, new.service)
    if refusal is None:
        refusal = estimates.check_wait(state, now, new)
    if refusal is not None:
        return number, [_refuse(state, now, number, new, refusal)]
    request = state_module.Request(
        number, new, arrived=now, deadline=now + new.timeout
    )
    state.requests[number] = request
    _record_deadline(state, request)
    dispatch.deposit_request(state.retry_budgets, now, new.team)
    sends = enqueue_request(state, now, request)
    return number, [*sends, *_shed_overflow(state, now)]


def _record_deadline(
    state: state_module.RouterState, request: state_module.Request
) -> None:
    heapq.heappush(state.deadlines, (request.deadline, request.number))
    if len(state.deadlines) > 2 * len(state.requests) + MAX_STALE_DEADLINES:
        state.deadlines = [
            (known.deadline, known.number) for known in state.requests.values()
        ]
        heapq.heapify(state.deadlines)


def enqueue_request(
    state: state_module.RouterState,
    now: float,
    request: state_module.Request,
) -> list[effects.SendMessage]:
    """Adds a request to the queue of its service and team.

    Args:
        state: The router's state; changed.
        now: This process's time, in seconds.
        request: A request in `state.requests` that has no attempt.

    Returns:
        Messages to send.
    """
    new = request.new
    team = state.versions.configuration.teams.get(new.team)
    sharing.add_request(
        state.waiting,
        new.service,
        new.team,
        request.number,
        request.arrived,
        request.deadline,
        weight=team.weight if team else 1.0,
    )
    return announcement.record_queue_change(state, now, new.service, new.team)


def _refuse(
    state: state_module.RouterState,
    now: float,
    number: int,
    new: state_module.NewRequest,
    kind: errors.ErrorKind,
) -> router_effects.AnswerError:
    """Creates the final answer to a request that did not run."""
    retry_after = None
    if errors.ANSWERS[kind].retry:
        retry_after = estimates.compute_retry_after(
            state, now, new.service, new.team
        )
    return router_effects.AnswerError(number, kind, errors.Ran.NO, retry_after)


def refuse_waiting(
    state: state_module.RouterState,
    now: float,
    request: state_module.Request,
    kind: errors.ErrorKind,
) -> list[router_effects.Effect]:
    """Answers a waiting request with an error and discards it.

    If an earlier attempt failed after it had started, the answer says that it
    is unknown whether the request ran, instead of that it did not run. A
    request whose attempt is kept only leaves its queue: the attempt may still
    bring a response.

    Args:
        state: The router's state; changed.
        now: This process's time, in seconds.
        request: A request in a queue.
        kind: The kind of error.

    Returns:
        The answer, and messages.
    """
    if request.attempt is not None:
        stop_seeking(state, now, request)
        return []
    answer = _refuse(state, now, request.number, request.new, kind)
    if request.failures:
        answer = dataclasses.replace(answer, ran=errors.Ran.UNKNOWN)
    return [answer, *cancel_request(state, now, request.number)]


def _shed_overflow(
    state: state_module.RouterState, now: float
) -> list[router_effects.Effect]:
    """Sheds requests of the longest queue, by weight, while the router is full.

    The newest request of that queue is shed first.

    If the request that arrives last were refused instead, the flood of one team
    would lock out all others.
    """
    limits = state.versions.configuration.limits
    shed: list[router_effects.Effect] = []
    while state.waiting.total > limits.waiting_per_router:
        service, team = queues.find_longest_queue(state.waiting)
        number = queues.peek_newest(state.waiting, service, team)
        kind = errors.ErrorKind.TOO_MANY_WAITING
        shed += refuse_waiting(state, now, state.requests[number], kind)
    return shed


def discard_request(state: state_module.RouterState, number: int) -> None:
    """Removes a request that has its final answer from the state."""
    request = state.requests.pop(number, None)
    state.awaiting_outcome.discard(number)
    if request is not None and request.attempt is not None:
        state.request_by_attempt.pop(request.attempt.attempt_id, None)


def stop_seeking(
    state: state_module.RouterState,
    now: float,
    request: state_module.Request,
) -> None:
    """Takes a request out of its queue, to wait for its attempt only.

    Args:
        state: The router's state; changed.
        now: This process's time, in seconds.
        request: A request; nothing changes unless it waits for another sidecar
            while its attempt is kept.
    """
    if request.attempt is None or not request.attempt.seeking:
        return
    request.attempt.seeking = False
    state.seeking.discard(request.number)
    new = request.new
    queues.remove_request(
        state.waiting, new.service, new.team, request.number, request.deadline
    )
    announcement.record_queue_change(state, now, new.service, new.team)
    dispatch.return_retry(state.retry_budgets, now, new.team)


def cancel_request(
    state: state_module.RouterState, now: float, number: int
) -> list[router_effects.Effect]:
    """Discards a request whose caller no longer waits.

    Args:
        state: The router's state; changed.
        now: This process's time, in seconds.
        number: Number of the request.

    Returns:
        An effect that aborts the request's attempt, or messages if it was
        waiting.
    """
    request = state.requests.get(number)
    if request is None:
        return []
    new = request.new
    outcome: list[router_effects.Effect | effects.SendMessage] = []
    if request.attempt is not None:
        stop_seeking(state, now, request)
        outcome.append(router_effects.AbortAttempt(request.attempt.attempt_id))
    elif queues.remove_request(
        state.waiting, new.service, new.team, number, request.deadline
    ):
        outcome += announcement.record_queue_change(
            state, now, new.service, new.team
        )
    discard_request(state, number)
    return outcome
