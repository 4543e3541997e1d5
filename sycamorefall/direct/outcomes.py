"""What became of a request at an upstream, and what follows from it."""

__all__ = [
    "AttemptEnd",
    "abort_attempt",
    "discard_request",
    "draw_retry_after",
    "end_attempt",
    "expire_request",
    "fail_request",
    "record_leaving",
    "record_response",
    "record_retry_delay",
    "record_sent",
    "refund_attempt",
    "refuse_delayed_requests",
]

import enum

from sycamorefall import errors
from sycamorefall.direct import (
    catalog,
    dialects,
    dispatching,
    effects,
    eligibility,
    fair_queue,
    fingerprints,
    quarantine,
    upstreams,
)
from sycamorefall.direct import (
    state as state_module,
)

RETRY_AFTER_RANGE = (0.6, 1.4)
"""Seconds after which a refused caller is told to come back: about as long as
a full engine takes to end a tenth of what it runs; spread, so that callers
refused together don't come back together."""

RETRY_JITTER = 0.4
"""Most seconds of random jitter added to a Retry-After derived from upstreams'
retry delays, so that callers don't retry simultaneously."""

MIN_RATE_SAMPLE = 3_000
"""Prompt tokens from which on the time to the first event tells how fast an
engine reads; below, the first step weighs too much."""

PREFILL_RATE_INCREASE = 0.02
"""Part by which an engine's reading rate rises when a first event came no
later than reckoned."""

PREFILL_RATE_DECREASE = 0.1
"""Part by which it falls when one came later. With the rise above, one answer
in six begins later than reckoned, whatever slows the engine."""


class AttemptEnd(enum.Enum):
    """How a send ended.

    COMPLETE: the upstream's whole answer, a success.
    FAILED: the upstream's whole answer, a failure; it ran.
    NOT_RUN: the upstream said that it did not run the request.
    OTHER_INCARNATION: the same, as another process has its address.
    NOT_SENT: no byte of the request left.
    BROKEN: anything else; it may have run.
    """

    COMPLETE = "complete"
    FAILED = "failed"
    NOT_RUN = "not_run"
    OTHER_INCARNATION = "other_incarnation"
    NOT_SENT = "not_sent"
    BROKEN = "broken"


_RAN = frozenset({AttemptEnd.COMPLETE, AttemptEnd.FAILED, AttemptEnd.BROKEN})


def draw_retry_after(state: state_module.DirectState) -> float:
    """Draws after how many seconds a refused caller is to come back."""
    return round(state.random.uniform(*RETRY_AFTER_RANGE), 2)


def _choose_retry_after(
    state: state_module.DirectState,
    request: state_module.Request,
    now: float,
) -> float:
    """Computes the Retry-After of a refused request, in seconds."""
    end = upstreams.find_retry_delay_end(state.table, now, request.service)
    if end is None:
        return draw_retry_after(state)
    return round(end - now + state.random.uniform(0.0, RETRY_JITTER), 2)


def _release(
    state: state_module.DirectState, request: state_module.Request
) -> upstreams.Upstream | None:
    """Takes a request's load off its upstream; returns the upstream."""
    attempt, request.attempt = request.attempt, None
    state.running -= 1
    upstream = state_module.find_upstream(state, attempt)
    state.dispatch_needed = True
    if upstream is None:
        return None
    upstream.own.running -= 1
    upstream.own.unread -= attempt.unread
    upstream.own.memory -= attempt.memory
    return upstream


def discard_request(
    state: state_module.DirectState, request: state_module.Request
) -> None:
    """Forgets a request that is answered or whose caller has gone."""
    dispatching.dequeue_request(state, request)
    state.requests.pop(request.number, None)


def abort_attempt(
    state: state_module.DirectState,
    request: state_module.Request,
    now: float,
) -> list[effects.Effect]:
    """Takes a request away from its upstream, if it is at one."""
    if request.attempt is None:
        return []
    request.possible_runs += 1
    upstream = _release(state, request)
    if upstream is not None:
        upstreams.end_probe(upstream)
    return [effects.AbortAttempt(request.number)]


def refund_attempt(
    state: state_module.DirectState,
    now: float,
    request: state_module.Request,
    attempt: state_module.Attempt,
) -> None:
    """Takes back the charge for a send that ended before its answer began."""
    if attempt.response_started or not attempt.cost:
        return
    accounts = state_module.get_or_create_accounts(state, request.service)
    fair_queue.refund_team(
        accounts, now, request.team, attempt.cost, attempt.charged_at
    )


def record_sent(
    state: state_module.DirectState, now: float, number: int
) -> float:
    """Takes note of when a request really leaves for its upstream.

    Guards against a freeze between the decision and the send. The upstream
    would be taken for silent at once, and its request sent to another one;
    and it would be given time that is over.

    Args:
        state: The router; changed.
        now: This process's time.
        number: A request that is about to be sent.

    Returns:
        Seconds that are left of the request's time.
    """
    request = state.requests[number]
    request.attempt.sent_at = now
    return request.answer_by - now


def record_response(
    state: state_module.DirectState,
    now: float,
    number: int,
    first: bool,
) -> None:
    """Takes note of bytes from an upstream.

    Args:
        state: The router; changed.
        now: This process's time.
        number: The request that is answered.
        first: Whether the caller gets the first part of the answer.
    """
    request = state.requests.get(number)
    if request is None or request.attempt is None:
        return
    attempt = request.attempt
    upstream = state_module.find_upstream(state, attempt)
    if upstream is not None:
        upstream.last_byte_at = now
    if first and not attempt.response_started:
        attempt.response_started = True
        request.forwarding_started = True
        state.dispatch_needed = True
        if upstream is not None:
            _note_read(upstream, now, attempt)


def record_leaving(
    state: state_module.DirectState,
    now: float,
    number: int,
    head: dialects.AnswerHead,
) -> bool:
    """Records a shutdown notice from the head of an answer.

    A notice from another process at the upstream's address is ignored.

    Args:
        state: The router; changed.
        now: This process's time.
        number: The request that is answered; its attempt has not ended.
        head: The head of the answer.

    Returns:
        Whether this is the first shutdown notice of the upstream's process.
    """
    upstream = state_module.find_upstream(state, state.requests[number].attempt)
    if upstream is None or not head.leaving:
        return False
    if head.verdict is dialects.Verdict.OTHER_INCARNATION:
        return False
    return upstreams.record_leaving(state.table, now, upstream)


def record_retry_delay(
    state: state_module.DirectState,
    now: float,
    number: int,
    head: dialects.AnswerHead,
) -> bool:
    """Records a retry delay from the head of an answer.

    A retry delay from another process at the upstream's address is ignored.

    Args:
        state: The router; changed.
        now: This process's time.
        number: The request that is answered; its attempt has not ended.
        head: The head of the answer.

    Returns:
        Whether a retry delay starts; False if one is already in effect.
    """
    upstream = state_module.find_upstream(state, state.requests[number].attempt)
    if upstream is None or head.retry_after is None:
        return False
    if head.verdict is dialects.Verdict.OTHER_INCARNATION:
        return False
    return upstreams.record_retry_delay(
        state.table, now, upstream, head.retry_after
    )


def refuse_delayed_requests(
    state: state_module.DirectState, now: float, service: str
) -> list[effects.Effect]:
    """Refuses a service's waiting requests that the retry delays outlast.

    Guards against callers that wait in full although no upstream will accept
    their requests in that time.
    """
    if upstreams.find_retry_delay_end(state.table, now, service) is None:
        return []
    refused = [
        request
        for request in state.requests.values()
        if request.attempt is None
        and request.service == service
        and dispatching.is_retry_delay_too_long(state, now, request)
    ]
    return [
        effect
        for request in refused
        for effect in fail_request(state, request, now)
    ]


def _note_read(
    upstream: upstreams.Upstream, now: float, attempt: state_module.Attempt
) -> None:
    """Takes note that an engine has read a prompt, and how fast."""
    upstreams.record_success(upstream, now)
    upstream.own.unread -= attempt.unread
    attempt.unread = 0
    _learn_rate(upstream, attempt, now - attempt.sent_at)


def _learn_rate(
    upstream: upstreams.Upstream, attempt: state_module.Attempt, took: float
) -> None:
    """Learns how fast an engine reads from the time to a first event.

    How much of the queue was read before the request came is not known, so
    the time tells no rate by itself: dividing the queue by it made the rates
    of some engines ten times too high, and a sixth of the answers of a full
    day late. It tells only whether the reckoning held.
    """
    if attempt.queued < MIN_RATE_SAMPLE:
        return
    reckoned = (
        eligibility.FIRST_TOKEN_OVERHEAD
        + attempt.queued / upstream.prefill_rate
    )
    upstream.prefill_rate *= (
        1 - PREFILL_RATE_DECREASE
        if took > reckoned
        else 1 + PREFILL_RATE_INCREASE
    )


def end_attempt(
    state: state_module.DirectState,
    now: float,
    number: int,
    end: AttemptEnd,
) -> list[effects.Effect]:
    """Decides what follows from the end of a send.

    A request that an upstream may have run is sent again only if its route
    allows that; otherwise its caller is told that nobody can tell.

    Args:
        state: The router; changed.
        now: This process's time.
        number: The request.
        end: How the send ended.

    Returns:
        What is to be done.
    """
    request = state.requests.get(number)
    if request is None or request.attempt is None:
        return []
    attempt = request.attempt
    upstream = _release(state, request)
    _judge_upstream(state, now, attempt.upstream, upstream, end)
    if end is not AttemptEnd.COMPLETE:
        refund_attempt(state, now, request, attempt)
    if end in _RAN:
        request.possible_runs += 1
    if end is AttemptEnd.COMPLETE:
        _clear_request(state, request, now)
        discard_request(state, request)
        return []
    if _may_go_again(state, request, attempt, end):
        again = dispatching.try_send(state, now, request)
        if again:
            return again
        if (
            end not in _RAN
            and not request.possible_runs
            and now < request.give_up_at
        ):
            if dispatching.is_retry_delay_too_long(state, now, request):
                return fail_request(state, request, now)
            dispatching.enqueue_request(state, request)
            return []
    return _give_up(state, request, end, now)


def _judge_upstream(
    state: state_module.DirectState,
    now: float,
    name: str,
    upstream: upstreams.Upstream | None,
    end: AttemptEnd,
) -> None:
    if upstream is None:
        return
    match end:
        case AttemptEnd.COMPLETE:
            upstreams.record_success(upstream, now)
        case AttemptEnd.OTHER_INCARNATION:
            upstreams.record_other_incarnation(state.table, name)
        case AttemptEnd.NOT_SENT:
            upstreams.suspend_upstream(upstream, now)
        case AttemptEnd.BROKEN | AttemptEnd.FAILED | AttemptEnd.NOT_RUN:
            upstreams.record_failure(upstream, now)


def _clear_request(
    state: state_module.DirectState, request: state_module.Request, now: float
) -> None:
    if state.quarantine.suspects:
        fingerprint = fingerprints.get_fingerprint(request)
        quarantine.clear_request(state.quarantine, now, fingerprint)


def _may_go_again(
    state: state_module.DirectState,
    request: state_module.Request,
    attempt: state_module.Attempt,
    end: AttemptEnd,
) -> bool:
    if dispatching.is_quarantined(state, request):
        return False
    if end not in _RAN and not request.possible_runs:
        return True
    kind = request.route.kind
    if end is AttemptEnd.FAILED and request.forwarding_started:
        return False
    if end is AttemptEnd.BROKEN and _is_suspect(state, request, attempt):
        return False
    return (
        kind.retryable and request.possible_runs < request.route.max_upstreams
    )


def _is_suspect(
    state: state_module.DirectState,
    request: state_module.Request,
    attempt: state_module.Attempt,
) -> bool:
    """Tells whether a request was at a crash before its present attempt.

    Suspects are not retried, so one arrival crashes at most two upstreams.
    """
    if not state.quarantine.suspects:
        return False
    fingerprint = fingerprints.get_fingerprint(request)
    present = quarantine.Crash(attempt.upstream, attempt.born)
    return quarantine.count_crashes(state.quarantine, fingerprint, present) > 0


def _give_up(
    state: state_module.DirectState,
    request: state_module.Request,
    end: AttemptEnd,
    now: float,
) -> list[effects.Effect]:
    if request.forwarding_started:
        discard_request(state, request)
        return [effects.AbortResponse(request.number)]
    if end is AttemptEnd.FAILED:
        discard_request(state, request)
        return [effects.ForwardResponse(request.number)]
    return fail_request(state, request, now)


def fail_request(
    state: state_module.DirectState,
    request: state_module.Request,
    now: float,
) -> list[effects.Effect]:
    """Answers a request that gets no further, truthfully."""
    discard_request(state, request)
    if request.forwarding_started:
        return [effects.AbortResponse(request.number)]
    if not request.possible_runs and dispatching.is_quarantined(state, request):
        # No Retry-After: a retry would be refused as well.
        kind = errors.ErrorKind.QUARANTINED
        fingerprint = fingerprints.get_fingerprint(request)
        return [
            effects.AnswerError(request.number, kind, fingerprint=fingerprint)
        ]
    if not request.possible_runs:
        kind = errors.ErrorKind.NO_UPSTREAM
        pause = _choose_retry_after(state, request, now)
        if request.new.prompt is not None:
            accounts = state_module.get_or_create_accounts(
                state, request.service
            )
            fair_queue.record_refusal(accounts, now, request.team)
        refusal = dispatching.explain_refusal(state, now, request)
        return [effects.AnswerError(request.number, kind, pause, refusal)]
    if request.route.kind is catalog.RouteKind.IDEMPOTENT:
        kind = errors.ErrorKind.RETRIES_EXHAUSTED
    else:
        kind = errors.ErrorKind.OUTCOME_UNKNOWN
    return [effects.AnswerError(request.number, kind)]


def expire_request(
    state: state_module.DirectState,
    request: state_module.Request,
    now: float,
) -> list[effects.Effect]:
    """Ends a request whose time is over."""
    aborted = abort_attempt(state, request, now)
    discard_request(state, request)
    if request.forwarding_started:
        return [*aborted, effects.AbortResponse(request.number)]
    kind = errors.ErrorKind.DEADLINE_EXCEEDED
    ran = errors.Ran.UNKNOWN if request.possible_runs else None
    return [*aborted, effects.AnswerError(request.number, kind, ran=ran)]
