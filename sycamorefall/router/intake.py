"""Intake of callers' requests: admitted to a queue, or answered at once."""

__all__ = [
    "admit_request",
    "cancel_request",
    "check_service",
    "enqueue_request",
    "find_outage",
    "forget_request",
    "identify_team",
    "refuse_waiting",
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

SPARE_DEADLINES = 1024
"""Deadlines of answered requests that are kept at most beside the open ones."""


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
    return find_outage(state, now, service)


def find_outage(
    state: state_module.RouterState, now: float, service: str
) -> errors.ErrorKind | None:
    """Tells why work of a service can't be run now, if so.

    Args:
        state: The router, with a configuration in force.
        now: This process's time.
        service: The service.

    Returns:
        The kind of failure, or None if it can be run.
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
        refusal = estimates.check_wait(state, now, new)
    if refusal is not None:
        return number, [_refuse(state, now, number, new, refusal)]
    request = state_module.Request(
        number, new, arrived=now, deadline=now + new.timeout
    )
    state.requests[number] = request
    _note_deadline(state, request)
    dispatch.deposit_request(state.budgets, now, new.team)
    announced = enqueue_request(state, now, request)
    return number, [*announced, *_shed_overflow(state, now)]


def _note_deadline(
    state: state_module.RouterState, request: state_module.Request
) -> None:
    heapq.heappush(state.deadlines, (request.deadline, request.number))
    if len(state.deadlines) > 2 * len(state.requests) + SPARE_DEADLINES:
        state.deadlines = [
            (known.deadline, known.number) for known in state.requests.values()
        ]
        heapq.heapify(state.deadlines)


def enqueue_request(
    state: state_module.RouterState,
    now: float,
    request: state_module.Request,
) -> list[effects.SendMessage]:
    """Makes a request wait for an upstream.

    Args:
        state: The router; changed.
        now: This process's time.
        request: The request, known to the router and bound to no attempt.

    Returns:
        Announcements.
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
    return announcement.announce_team(state, now, new.service, new.team)


def _refuse(
    state: state_module.RouterState,
    now: float,
    number: int,
    new: state_module.NewRequest,
    kind: errors.ErrorKind,
) -> router_effects.AnswerError:
    """Builds the final answer to a request that was not run."""
    retry_after = None
    if errors.ANSWERS[kind].retry:
        retry_after = estimates.suggest_return(
            state, now, new.service, new.team
        )
    return router_effects.AnswerError(number, kind, errors.Ran.NO, retry_after)


def refuse_waiting(
    state: state_module.RouterState,
    now: float,
    request: state_module.Request,
    kind: errors.ErrorKind,
) -> list[router_effects.Effect]:
    """Answers a request that waits, at once.

    Guards against the claim that it was not run, when an earlier attempt of
    it broke off after it had begun: its caller is told that this is unknown.

    Args:
        state: The router; changed.
        now: This process's time.
        request: A request bound to no attempt.
        kind: Why it is not waited for any longer.

    Returns:
        The answer, and announcements.
    """
    answer = _refuse(state, now, request.number, request.new, kind)
    if request.failures:
        answer = dataclasses.replace(answer, ran=errors.Ran.UNKNOWN)
    return [answer, *cancel_request(state, now, request.number)]


def _shed_overflow(
    state: state_module.RouterState, now: float
) -> list[router_effects.Effect]:
    """Makes the team with the most waiting lose its newest request.

    Guards against a flood that fills the router: if whoever comes last were
    refused, one team's flood would shut out all the others.
    """
    limits = state.versions.configuration.limits
    shed: list[router_effects.Effect] = []
    while state.waiting.total > limits.waiting_per_router:
        service, team = queues.find_longest_queue(state.waiting)
        number = queues.peek_newest(state.waiting, service, team)
        kind = errors.ErrorKind.TOO_MANY_WAITING
        shed += refuse_waiting(state, now, state.requests[number], kind)
    return shed


def forget_request(state: state_module.RouterState, number: int) -> None:
    """Drops a request that has its final answer."""
    request = state.requests.pop(number, None)
    state.awaiting_outcome.discard(number)
    if request is not None and request.attempt is not None:
        state.request_by_attempt.pop(request.attempt.attempt_id, None)


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
    outcome: list[router_effects.Effect | effects.SendMessage] = []
    if request.attempt is not None:
        outcome.append(router_effects.AbortAttempt(request.attempt.attempt_id))
    elif queues.remove_request(
        state.waiting, new.service, new.team, number, request.deadline
    ):
        outcome += announcement.announce_team(state, now, new.service, new.team)
    forget_request(state, number)
    return outcome
