"""Hand-out of requests to sidecars, and what becomes of the attempts."""

__all__ = [
    "AttemptEnd",
    "answer_claim",
    "ask_again",
    "end_attempt",
    "give_up",
    "judge_ran",
    "offer_request",
    "retry_or_give_up",
    "return_to_queue",
    "take_report",
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
from sycamorefall.router import announcement, estimates, hints, intake, stalls
from sycamorefall.router import effects as router_effects
from sycamorefall.router import state as state_module

ASK_INTERVAL = 0.25
"""Seconds between two questions for the outcome of the same attempt."""

ASK_LIMIT = 2.0
"""Seconds after which the outcome of an attempt is given up as unknown."""

NOT_RUN_LIMIT = 8
"""Attempts after which a request that no upstream takes is given up."""

TRUST_LIMIT = 0.8 * outcomes.RECORD_LIFETIME
"""Age of an attempt, in seconds, up to which "never seen" is believed."""


class AttemptEnd(enum.Enum):
    """How an attempt ended, as the router saw it.

    COMPLETE: the whole answer came.
    REFUSED: the sidecar did not start it.
    NOT_RUN: the sidecar could not reach its upstream.
    FAILED: the upstream broke off after it had the request.
    BROKEN: the link to the sidecar broke; the outcome is open.
    """

    COMPLETE = "complete"
    REFUSED = "refused"
    NOT_RUN = "not_run"
    FAILED = "failed"
    BROKEN = "broken"


def answer_claim(
    state: state_module.RouterState,
    now: float,
    sidecar: str,
    incarnation: int,
    claim: messages.Claim,
) -> list[router_effects.Effect]:
    """Hands out the team's request with the earliest deadline.

    Args:
        state: The router; changed.
        now: This process's time.
        sidecar: VM name of the claiming sidecar.
        incarnation: The sidecar's process.
        claim: The claim.

    Returns:
        A hand-out, or the message that there is no work; and announcements.
    """
    service, team = claim.service, claim.team
    no_work = messages.NoWork(claim.claim_id, service, team)
    if not membership.is_usable_upstream(
        state.directory, now, sidecar, service
    ):
        return [effects.SendMessage(sidecar, no_work)]
    oldest = sharing.get_oldest_arrival(state.waiting, service, team)
    number = sharing.pop_earliest(state.waiting, service, team)
    if number is None:
        return [effects.SendMessage(sidecar, no_work)]
    request = state.requests[number]
    _note_departure(state, now, request, oldest)
    hand_out = _start_attempt(state, now, request, sidecar, incarnation, claim)
    announced = announcement.announce_team(state, now, service, team)
    return [hand_out, *announced]


def _note_departure(
    state: state_module.RouterState,
    now: float,
    request: state_module.Request,
    oldest: float,
) -> None:
    key = (request.new.service, request.new.team)
    rate = state.rates.pop(key, None) or admission.DrainRate()
    state.rates[key] = rate
    admission.record_departure(rate, now, busy_since=oldest)


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
    request.state = state_module.RequestState.HANDED_OUT
    request.attempt = state_module.Attempt(
        attempt_id, sidecar, incarnation, started=now
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
    """Hands a request that left its queue to a sidecar that didn't claim it.

    Args:
        state: The router; changed.
        now: This process's time.
        request: The request.
        sidecar: VM name of a sidecar that hinted at free slots.
        hint: Its hint.

    Returns:
        The hand-out; the sidecar may refuse it.
    """
    new = request.new
    unclaimed = messages.Claim(messages.UNCLAIMED, new.service, new.team, 0)
    hand_out = _start_attempt(
        state, now, request, sidecar, hint.incarnation, unclaimed
    )
    order = msgspec.structs.replace(hand_out.order, hinted=hint.clock_seconds)
    return dataclasses.replace(hand_out, order=order)


def end_attempt(
    state: state_module.RouterState,
    now: float,
    attempt_id: str,
    end: AttemptEnd,
    answer_begun: bool,
) -> list[router_effects.Effect]:
    """Decides what follows the end of an attempt.

    Args:
        state: The router; changed.
        now: This process's time.
        attempt_id: The attempt.
        end: How it ended.
        answer_begun: Whether the caller already has part of the answer.

    Returns:
        Effects: none, a failure for the caller, or messages.
    """
    request = state_module.find_request(state, attempt_id)
    if request is None:
        return []
    hints.note_end(state, request, free=end is AttemptEnd.COMPLETE)
    if end is AttemptEnd.COMPLETE:
        estimates.record_run_time(state, now, request)
        intake.forget_request(state, request.number)
        return []
    if end in (AttemptEnd.REFUSED, AttemptEnd.NOT_RUN):
        return return_to_queue(state, now, request)
    request.attempt.begun = request.attempt.begun or answer_begun
    asks = end is AttemptEnd.BROKEN and not request.new.idempotent
    if asks and not request.attempt.begun:
        return _start_asking(state, now, request)
    return retry_or_give_up(state, now, request)


def return_to_queue(
    state: state_module.RouterState,
    now: float,
    request: state_module.Request,
    delay: float = 0.0,
) -> list[router_effects.Effect]:
    """Makes a request wait again, after a delay if it failed.

    Args:
        state: The router; changed.
        now: This process's time.
        request: A request whose attempt surely never ran, or may run again.
        delay: Seconds until it waits again.

    Returns:
        Announcements, or the final answer if it is too late to wait.
    """
    state.request_by_attempt.pop(request.attempt.attempt_id, None)
    state.awaiting_outcome.discard(request.number)
    request.attempt = None
    request.state = state_module.RequestState.WAITING
    if now + delay >= request.deadline:
        return give_up(state, request, errors.ErrorKind.DEADLINE_EXCEEDED)
    if request.attempts >= NOT_RUN_LIMIT and not request.failures:
        return give_up(state, request, errors.ErrorKind.NO_UPSTREAM)
    if delay:
        heapq.heappush(state.backoffs, (now + delay, request.number))
        return []
    return intake.enqueue_request(state, now, request)


def retry_or_give_up(
    state: state_module.RouterState,
    now: float,
    request: state_module.Request,
) -> list[router_effects.Effect]:
    """Decides about a request whose attempt may have run without an answer.

    Args:
        state: The router; changed.
        now: This process's time.
        request: The request.

    Returns:
        Announcements if it waits again, or its final answer.
    """
    if request.attempt.begun:
        return give_up(state, request, errors.ErrorKind.ANSWER_INCOMPLETE)
    if not request.new.idempotent:
        return give_up(state, request, errors.ErrorKind.OUTCOME_UNKNOWN)
    request.failures += 1
    retries = state.versions.configuration.limits.retries
    team, seed = request.new.team, request.attempt.attempt_id
    if request.failures > retries or not dispatch.withdraw_retry(
        state.budgets, now, team
    ):
        return give_up(state, request, errors.ErrorKind.RETRIES_EXHAUSTED)
    delay = dispatch.compute_backoff(request.failures, seed)
    return return_to_queue(state, now, request, delay)


def judge_ran(request: state_module.Request) -> errors.Ran:
    """Tells what is known of whether a request ran.

    "Not run" is said only if each of its attempts is known to have been
    refused: an attempt that is still open, or that failed on the way, may
    have run or may yet.
    """
    if request.attempt is not None and request.attempt.begun:
        return errors.Ran.YES
    if request.attempt is not None or request.failures:
        return errors.Ran.UNKNOWN
    return errors.Ran.NO


def give_up(
    state: state_module.RouterState,
    request: state_module.Request,
    kind: errors.ErrorKind,
) -> list[router_effects.Effect]:
    """Ends a request with a failure as its final answer.

    Args:
        state: The router; changed.
        request: The request.
        kind: The kind of failure.

    Returns:
        The answer.
    """
    ran = judge_ran(request)
    intake.forget_request(state, request.number)
    retry_after = 1 if errors.ANSWERS[kind].retry else None
    return [router_effects.AnswerError(request.number, kind, ran, retry_after)]


def _start_asking(
    state: state_module.RouterState,
    now: float,
    request: state_module.Request,
) -> list[router_effects.Effect]:
    request.state = state_module.RequestState.ASKING
    state.awaiting_outcome.add(request.number)
    request.attempt.ask_until = min(now + ASK_LIMIT, request.deadline)
    return ask_again(state, now, request)


def ask_again(
    state: state_module.RouterState,
    now: float,
    request: state_module.Request,
) -> list[router_effects.Effect]:
    """Asks a sidecar what became of an attempt, or gives up.

    Only the incarnation that got the hand-out can tell: a new process at the
    same VM knows nothing of what the old one started.

    Args:
        state: The router; changed.
        now: This process's time.
        request: A request whose attempt's outcome is open.

    Returns:
        A question, or the final answer "outcome unknown".
    """
    attempt = request.attempt
    peer = state.directory.peers.get(attempt.sidecar)
    replaced = peer is not None and peer.incarnation != attempt.incarnation
    if replaced or now >= attempt.ask_until:
        return give_up(state, request, errors.ErrorKind.OUTCOME_UNKNOWN)
    attempt.ask_next = now + ASK_INTERVAL
    query = messages.AttemptQuery(attempt.attempt_id)
    return [effects.SendMessage(attempt.sidecar, query)]


def take_report(
    state: state_module.RouterState,
    now: float,
    sidecar: str,
    incarnation: int,
    report: messages.AttemptReport,
) -> list[router_effects.Effect]:
    """Decides by a sidecar's word on an attempt.

    Args:
        state: The router; changed.
        now: This process's time.
        sidecar: VM name of the reporting sidecar.
        incarnation: Its process.
        report: What it knows.

    Returns:
        Effects: the request waits again, or its caller gets a failure.
    """
    request = state_module.find_request(state, report.attempt_id)
    if request is None:
        return []
    attempt = request.attempt
    if (attempt.sidecar, attempt.incarnation) != (sidecar, incarnation):
        return []
    abort = [router_effects.AbortAttempt(attempt.attempt_id)]
    if _proves_not_run(now, attempt, report):
        return abort + return_to_queue(state, now, request)
    if request.state is state_module.RequestState.ASKING:
        return retry_or_give_up(state, now, request)
    if stalls.judge_report(state, now, request, report):
        return abort + retry_or_give_up(state, now, request)
    return []


def _proves_not_run(
    now: float,
    attempt: state_module.Attempt,
    report: messages.AttemptReport,
) -> bool:
    """Tells whether a report proves that the attempt never ran.

    Guards against a router that was frozen for longer than the sidecar keeps
    its records: to it, "never seen" of an old attempt may mean "forgotten",
    and a request that ran would be handed out again. An attempt's record is
    settled after its hand-out, so it outlives the limit on the age here.
    """
    never_ran = report.state in (
        messages.AttemptState.NEVER_SEEN,
        messages.AttemptState.REFUSED,
    )
    return never_ran and now - attempt.started < TRUST_LIMIT
