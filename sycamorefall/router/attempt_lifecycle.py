"""Attempts: sending requests to sidecars, and handling how attempts end.

A request is sent to a sidecar in response to a claim or as an offer. When the
attempt ends, the request is answered, queued again, retried after a backoff,
or failed. If the connection breaks, the sidecar is queried for the outcome. If
the sidecar falls silent, the request may wait in its queue while the attempt is
kept (see `seeking`); a claim by another sidecar then ends the attempt.
"""

__all__ = [
    "AttemptEnd",
    "determine_ran",
    "end_attempt",
    "fail_request",
    "handle_claim",
    "handle_report",
    "offer_request",
    "query_outcome",
    "requeue_request",
    "retry_or_fail",
]

import dataclasses
import enum
import heapq

import msgspec

from sycamorefall import (
    admission,
    dispatch,
    effects,
    errors,
    membership,
    messages,
    sharing,
)
from sycamorefall.dispatch import outcomes
from sycamorefall.router import (
    announcement,
    estimates,
    hints,
    intake,
    seeking,
    stalls,
)
from sycamorefall.router import effects as router_effects
from sycamorefall.router import state as state_module

QUERY_INTERVAL = 0.25
"""Seconds between two queries for the outcome of the same attempt."""

QUERY_TIMEOUT = 2.0
"""Seconds of queries after which an attempt's outcome counts as unknown."""

MAX_NOT_RUN_ATTEMPTS = 8
"""Attempts after which a request that no upstream ran is failed."""

MAX_TRUSTED_AGE = 0.8 * outcomes.RECORD_LIFETIME
"""Maximum age of an attempt, in seconds, at which "never seen" is trusted."""


class AttemptEnd(enum.Enum):
    """How an attempt ended, as observed by the router.

    COMPLETE: the whole response was received.
    REFUSED: the sidecar did not start the attempt.
    NOT_RUN: the sidecar could not reach its upstream.
    FAILED: the upstream failed after it had received the request.
    BROKEN: the connection to the sidecar broke; the outcome is unknown.
    """

    COMPLETE = "complete"
    REFUSED = "refused"
    NOT_RUN = "not_run"
    FAILED = "failed"
    BROKEN = "broken"


def handle_claim(
    state: state_module.RouterState,
    now: float,
    sidecar: str,
    incarnation: int,
    claim: messages.Claim,
) -> list[router_effects.Effect]:
    """Sends the claiming sidecar the team's request with the earliest deadline.

    Args:
        state: The router's state; changed.
        now: This process's time, in seconds.
        sidecar: VM name of the claiming sidecar.
        incarnation: The sidecar's incarnation.
        claim: The claim.

    Returns:
        The effect that sends the request, or a message that no request waits.
    """
    service, team = claim.service, claim.team
    no_work = messages.NoWork(claim.claim_id, service, team)
    if not membership.is_usable_upstream(
        state.directory, now, sidecar, service
    ):
        return [effects.SendMessage(sidecar, no_work)]
    seeking.stop_seeking_at(state, now, sidecar, incarnation)
    oldest_arrival = sharing.get_oldest_arrival(state.waiting, service, team)
    number = sharing.pop_earliest(state.waiting, service, team)
    if number is None:
        return [effects.SendMessage(sidecar, no_work)]
    request = state.requests[number]
    _record_departure(state, now, request, oldest_arrival)
    abort = seeking.let_go(state, request)
    send = _start_attempt(state, now, request, sidecar, incarnation, claim)
    sends = announcement.record_queue_change(state, now, service, team)
    return [*abort, send, *sends]


def _record_departure(
    state: state_module.RouterState,
    now: float,
    request: state_module.Request,
    oldest_arrival: float,
) -> None:
    key = (request.new.service, request.new.team)
    rate = state.drain_rates.pop(key, None) or admission.DrainRate()
    state.drain_rates[key] = rate
    admission.record_departure(rate, now, busy_since=oldest_arrival)


def _start_attempt(
    state: state_module.RouterState,
    now: float,
    request: state_module.Request,
    sidecar: str,
    incarnation: int,
    claim: messages.Claim,
) -> router_effects.SendRequest:
    request.attempts += 1
    attempt_id = (
        f"{state.vm}/{state.incarnation}/{request.number}/{request.attempts}"
    )
    request.state = state_module.RequestState.IN_PROGRESS
    request.attempt = state_module.Attempt(
        attempt_id, sidecar, incarnation, started_at=now
    )
    state.request_by_attempt[attempt_id] = request.number
    stalls.watch_attempt(state, now, request.attempt)
    new = request.new
    order = messages.AttemptOrder(
        attempt_id=attempt_id,
        claim_id=claim.claim_id,
        router=state.vm,
        incarnation=state.incarnation,
        service=new.service,
        team=new.team,
        method=new.method,
        path=new.path,
        headers=new.headers,
        remaining=request.deadline - now,
        idempotent=new.idempotent,
        cost_hint=new.cost_hint,
        sidecar=sidecar,
        sidecar_incarnation=incarnation,
    )
    return router_effects.SendRequest(request.number, sidecar, order)


def offer_request(
    state: state_module.RouterState,
    now: float,
    request: state_module.Request,
    sidecar: str,
    hint: state_module.Hint,
) -> router_effects.SendRequest:
    """Sends a request that left its queue to a sidecar that didn't claim it.

    Args:
        state: The router's state; changed.
        now: This process's time, in seconds.
        request: The request.
        sidecar: VM name of a sidecar that reported free slots.
        hint: The sidecar's hint.

    Returns:
        The effect that sends the request; the sidecar may refuse it.
    """
    new = request.new
    unclaimed = messages.Claim(messages.UNCLAIMED, new.service, new.team, 0)
    send = _start_attempt(
        state, now, request, sidecar, hint.incarnation, unclaimed
    )
    order = msgspec.structs.replace(send.order, hinted=hint.clock_seconds)
    return dataclasses.replace(send, order=order)


def end_attempt(
    state: state_module.RouterState,
    now: float,
    attempt_id: str,
    end: AttemptEnd,
    response_begun: bool,
) -> list[router_effects.Effect]:
    """Handles the end of an attempt.

    Args:
        state: The router's state; changed.
        now: This process's time, in seconds.
        attempt_id: ID of the attempt.
        end: How the attempt ended.
        response_begun: Whether the caller already has part of the response.

    Returns:
        Effects: none, an error for the caller, or messages.
    """
    request = state_module.find_request(state, attempt_id)
    if request is None:
        return []
    intake.stop_seeking(state, now, request)
    hints.record_attempt_end(state, request, free=end is AttemptEnd.COMPLETE)
    if end is AttemptEnd.COMPLETE:
        estimates.record_run_time(state, now, request)
        intake.discard_request(state, request.number)
        return []
    if end in (AttemptEnd.REFUSED, AttemptEnd.NOT_RUN):
        return requeue_request(state, now, request)
    request.attempt.forwarding_started = (
        request.attempt.forwarding_started or response_begun
    )
    query_needed = end is AttemptEnd.BROKEN and not request.new.idempotent
    if query_needed and not request.attempt.forwarding_started:
        return _start_outcome_query(state, now, request)
    return retry_or_fail(state, now, request)


def requeue_request(
    state: state_module.RouterState,
    now: float,
    request: state_module.Request,
    delay: float = 0.0,
) -> list[router_effects.Effect]:
    """Queues a request again, after a delay if its attempt failed.

    Args:
        state: The router's state; changed.
        now: This process's time, in seconds.
        request: A request whose attempt is known not to have run, or which may
            run again.
        delay: Seconds until the request is queued.

    Returns:
        Messages, or the final error if the deadline is too near or too many
        attempts were not run.
    """
    state.request_by_attempt.pop(request.attempt.attempt_id, None)
    state.awaiting_outcome.discard(request.number)
    request.attempt = None
    request.state = state_module.RequestState.WAITING
    if now + delay >= request.deadline:
        return fail_request(state, request, errors.ErrorKind.DEADLINE_EXCEEDED)
    if request.attempts >= MAX_NOT_RUN_ATTEMPTS and not request.failures:
        return fail_request(state, request, errors.ErrorKind.NO_UPSTREAM)
    if delay:
        heapq.heappush(state.backoffs, (now + delay, request.number))
        return []
    return intake.enqueue_request(state, now, request)


def retry_or_fail(
    state: state_module.RouterState,
    now: float,
    request: state_module.Request,
) -> list[router_effects.Effect]:
    """Retries or fails a request whose attempt may have run without response.

    Args:
        state: The router's state; changed.
        now: This process's time, in seconds.
        request: The request.

    Returns:
        Messages if the request is queued again, or its final error.
    """
    if request.attempt.forwarding_started:
        return fail_request(state, request, errors.ErrorKind.ANSWER_INCOMPLETE)
    if not request.new.idempotent:
        return fail_request(state, request, errors.ErrorKind.OUTCOME_UNKNOWN)
    request.failures += 1
    retries = state.versions.configuration.limits.retries
    team, seed = request.new.team, request.attempt.attempt_id
    if request.failures > retries or not dispatch.withdraw_retry(
        state.retry_budgets, now, team
    ):
        return fail_request(state, request, errors.ErrorKind.RETRIES_EXHAUSTED)
    delay = dispatch.compute_backoff(request.failures, seed)
    return requeue_request(state, now, request, delay)


def determine_ran(request: state_module.Request) -> errors.Ran:
    """Determines what is known of whether a request ran.

    The result is `Ran.NO` only if every attempt is known to have been refused:
    an attempt that is still open, or that failed on the way, may have run or
    may still run.
    """
    if request.attempt is not None and request.attempt.forwarding_started:
        return errors.Ran.YES
    if request.attempt is not None or request.failures:
        return errors.Ran.UNKNOWN
    return errors.Ran.NO


def fail_request(
    state: state_module.RouterState,
    request: state_module.Request,
    kind: errors.ErrorKind,
) -> list[router_effects.Effect]:
    """Discards a request and answers it with an error.

    Args:
        state: The router's state; changed.
        request: The request.
        kind: The kind of error.

    Returns:
        The answer.
    """
    ran = determine_ran(request)
    intake.discard_request(state, request.number)
    retry_after = 1 if errors.ANSWERS[kind].retry else None
    return [router_effects.AnswerError(request.number, kind, ran, retry_after)]


def _start_outcome_query(
    state: state_module.RouterState,
    now: float,
    request: state_module.Request,
) -> list[router_effects.Effect]:
    request.state = state_module.RequestState.AWAITING_OUTCOME
    state.awaiting_outcome.add(request.number)
    request.attempt.query_until = min(now + QUERY_TIMEOUT, request.deadline)
    return query_outcome(state, now, request)


def query_outcome(
    state: state_module.RouterState,
    now: float,
    request: state_module.Request,
) -> list[router_effects.Effect]:
    """Queries a sidecar for the outcome of an attempt, or fails the request.

    Only the incarnation that received the attempt knows its outcome: a new
    process on the same VM knows nothing of what the old one started.

    Args:
        state: The router's state; changed.
        now: This process's time, in seconds.
        request: A request whose attempt has an unknown outcome.

    Returns:
        A query, or the final error "outcome unknown".
    """
    attempt = request.attempt
    peer = state.directory.peers.get(attempt.sidecar)
    replaced = peer is not None and peer.incarnation != attempt.incarnation
    if replaced or now >= attempt.query_until:
        return fail_request(state, request, errors.ErrorKind.OUTCOME_UNKNOWN)
    attempt.next_query_at = now + QUERY_INTERVAL
    query = messages.AttemptQuery(attempt.attempt_id)
    return [effects.SendMessage(attempt.sidecar, query)]


def handle_report(
    state: state_module.RouterState,
    now: float,
    sidecar: str,
    incarnation: int,
    report: messages.AttemptReport,
) -> list[router_effects.Effect]:
    """Handles a sidecar's report on an attempt.

    Args:
        state: The router's state; changed.
        now: This process's time, in seconds.
        sidecar: VM name of the reporting sidecar.
        incarnation: The sidecar's incarnation.
        report: The state of the attempt at the sidecar.

    Returns:
        Effects that abort the attempt, and queue its request again or fail it;
        none if the report changes nothing.
    """
    request = state_module.find_request(state, report.attempt_id)
    if request is None:
        return []
    attempt = request.attempt
    if (attempt.sidecar, attempt.incarnation) != (sidecar, incarnation):
        return []
    abort = [router_effects.AbortAttempt(attempt.attempt_id)]
    if _proves_not_run(now, attempt, report):
        intake.stop_seeking(state, now, request)
        return abort + requeue_request(state, now, request)
    if request.state is state_module.RequestState.AWAITING_OUTCOME:
        return retry_or_fail(state, now, request)
    stalled = stalls.detect_stall(state, now, request, report)
    broken = stalled and stalls.is_broken(now, request)
    if broken or not stalled:
        intake.stop_seeking(state, now, request)
    elif stalls.may_run_again(request):
        seeking.seek_sidecar(state, now, request)
    return abort + retry_or_fail(state, now, request) if broken else []


def _proves_not_run(
    now: float,
    attempt: state_module.Attempt,
    report: messages.AttemptReport,
) -> bool:
    """Returns whether a report proves that an attempt never ran.

    A sidecar drops its records after a while. To a router that was suspended
    for longer, "never seen" about an old attempt may mean "forgotten", and a
    request that ran would be sent again. Therefore the report is trusted only
    for young attempts. An attempt's record is settled after the attempt was
    sent, so the record outlives the age limit.
    """
    never_ran = report.state in (
        messages.AttemptState.NEVER_SEEN,
        messages.AttemptState.REFUSED,
    )
    return never_ran and now - attempt.started_at < MAX_TRUSTED_AGE
