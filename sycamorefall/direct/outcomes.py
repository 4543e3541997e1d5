"""Outcomes of attempts: retries, errors to the caller, health of upstreams."""

__all__ = [
    "AttemptEnd",
    "abort_attempt",
    "await_place",
    "discard_request",
    "draw_quarantine_delay",
    "draw_retry_after",
    "end_at_stop",
    "end_attempt",
    "expire_request",
    "fail_request",
    "record_leaving",
    "record_pause",
    "record_scale",
    "record_response",
    "record_retry_delay",
    "record_sent",
    "refuse_delayed_requests",
    "release_attempt",
]

from collections.abc import Iterable
import enum
import math

from sycamorefall import errors
from sycamorefall.direct import (
    catalog,
    dialects,
    dispatching,
    effects,
    eligibility,
    fair_queue,
    fingerprints,
    leads,
    overload,
    prompts,
    speed,
    stream_origins,
    stream_pace,
    suspects,
    trials,
    upstreams,
)
from sycamorefall.direct import (
    state as state_module,
)

RETRY_AFTER_RANGE = (0.6, 1.4)
"""Range in seconds of the random Retry-After sent to refused callers: about the
time in which a full engine completes a tenth of its requests. Random, so that
callers that are refused together don't retry together."""

RETRY_JITTER = 0.4
"""Maximum seconds of random jitter added to a Retry-After that is derived from
upstreams' retry delays, so that callers don't retry simultaneously."""

MIN_RATE_SAMPLE = 3_000
"""Minimum of prompt tokens queued at an engine for the time to the first event
to be used as a sample of its prefill rate. With fewer tokens, the fixed
overhead of the first token dominates."""

PREFILL_RATE_INCREASE = 0.02
"""Fraction by which an engine's estimated prefill rate is raised if a first
event came no later than expected."""

PREFILL_RATE_DECREASE = 0.1
"""Fraction by which the estimate is lowered if a first event came later than
expected. Together with `PREFILL_RATE_INCREASE` it lets one response in six
start later than expected, whatever slows the engine."""


class AttemptEnd(enum.Enum):
    """How an attempt ended.

    COMPLETE: the upstream's complete response, a success.
    FAILED: the upstream's complete response, a failure; the request ran.
    NOT_RUN: the upstream reported that it did not run the request.
    OTHER_INCARNATION: like NOT_RUN; another process has the upstream's address.
    NOT_SENT: no byte of the request was sent.
    BROKEN: any other end; the request may have run.
    """

    COMPLETE = "complete"
    FAILED = "failed"
    NOT_RUN = "not_run"
    OTHER_INCARNATION = "other_incarnation"
    NOT_SENT = "not_sent"
    BROKEN = "broken"


_END_REASONS = {
    AttemptEnd.FAILED: effects.EndReason.FAILED,
    AttemptEnd.NOT_RUN: effects.EndReason.NOT_RUN,
    AttemptEnd.OTHER_INCARNATION: effects.EndReason.NOT_RUN,
    AttemptEnd.NOT_SENT: effects.EndReason.NOT_SENT,
    AttemptEnd.BROKEN: effects.EndReason.BROKEN,
}

_MAY_HAVE_RUN = frozenset(
    {AttemptEnd.COMPLETE, AttemptEnd.FAILED, AttemptEnd.BROKEN}
)


def draw_retry_after(state: state_module.DirectState) -> float:
    """Draws the Retry-After of a refused caller at random, in seconds."""
    return round(state.random.uniform(*RETRY_AFTER_RANGE), 2)


def _compute_retry_after(
    state: state_module.DirectState,
    request: state_module.Request,
    now: float,
) -> float:
    """Computes the Retry-After of a refused request, in seconds.

    If all upstreams have a retry delay in effect, Retry-After ends shortly
    after the first of these delays.
    """
    end = upstreams.find_retry_delay_end(
        state.table, now, request.service, request.origin
    )
    if end is None or end == math.inf:
        return draw_retry_after(state)
    return round(end - now + state.random.uniform(0.0, RETRY_JITTER), 2)


def release_attempt(
    state: state_module.DirectState,
    request: state_module.Request,
    now: float,
    is_complete: bool = False,
) -> upstreams.Upstream | None:
    """Ends a request's attempt and subtracts its load from the upstream.

    Every attempt ends here, so a team pays for the responses that began and for
    nothing else. It would otherwise fall behind teams that got what they paid
    for: on a router that falls behind, most callers leave before their
    responses begin.

    Args:
        state: The router's state; changed.
        request: The request; its attempt is removed.
        now: Current time of this process's clock.
        is_complete: Whether the upstream responded completely.

    Returns:
        The upstream; None if it is no longer listed or was restarted.
    """
    attempt, request.attempt = request.attempt, None
    if not is_complete:
        _refund_attempt(state, now, request, attempt)
    state.running -= 1
    state.dispatch_needed = True
    load = attempt.process.own_load
    load.running -= 1
    load.unread -= attempt.unread
    load.memory -= attempt.memory
    return state_module.find_upstream(state, attempt)


def discard_request(
    state: state_module.DirectState, request: state_module.Request
) -> None:
    """Removes a request that was answered or whose caller disconnected."""
    dispatching.dequeue_request(state, request)
    state.requests.pop(request.number, None)


def abort_attempt(
    state: state_module.DirectState,
    request: state_module.Request,
    now: float,
    reason: effects.EndReason,
) -> list[effects.Effect]:
    """Aborts the current attempt of a request, if there is one."""
    attempt = request.attempt
    if attempt is None:
        return []
    request.arrivals += 1
    request.possible_runs += 1
    upstream = release_attempt(state, request, now)
    if upstream is not None and attempt.is_probe:
        upstreams.end_probe(upstream)
    silent = state_module.compute_silence(attempt, now)
    return [
        effects.AbortAttempt(
            request.number,
            reason,
            attempt.upstream,
            attempt.response_started,
            silent,
        )
    ]


def _refund_attempt(
    state: state_module.DirectState,
    now: float,
    request: state_module.Request,
    attempt: state_module.Attempt,
) -> None:
    """Refunds the cost of an attempt that ended before its response started."""
    if attempt.response_started or not attempt.cost:
        return
    accounts = state_module.get_or_create_accounts(state, request.service)
    fair_queue.refund_team(
        accounts, now, request.team, attempt.cost, attempt.charged_at
    )


def record_sent(
    state: state_module.DirectState, now: float, number: int
) -> float:
    """Records the time at which a request is actually sent to its upstream.

    This process may freeze between choosing the upstream and sending. With the
    earlier time, the upstream would be taken for stalled at once, the request
    retried elsewhere, and time granted that has already passed.

    Args:
        state: The router's state; changed.
        now: Current time of this process's clock.
        number: Number of a request that is about to be sent.

    Returns:
        Seconds until the request's deadline.
    """
    request = state.requests[number]
    request.attempt.sent_at = now
    return request.deadline - now


def record_response(
    state: state_module.DirectState,
    now: float,
    number: int,
    first: bool,
    events: int = 1,
    arrived_after: float = math.inf,
) -> None:
    """Records that bytes of a response were received from an upstream.

    Args:
        state: The router's state; changed.
        now: Current time of this process's clock.
        number: Number of the request that is answered.
        first: Whether a part of the response can be forwarded to the caller.
            The first call of an attempt with True starts its response.
        events: Number of complete events of a stream among them.
        arrived_after: Time after which they arrived. A process that is busy
            receives them later; infinity if it received them at once.
    """
    request = state.requests.get(number)
    if request is None or request.attempt is None:
        return
    attempt = request.attempt
    upstream = state_module.find_upstream(state, attempt)
    attempt.last_byte_at = now
    upstreams.record_bytes(attempt.process, now)
    if not first:
        return
    if request.route.kind.streamed:
        _record_events(state, request, upstream, now, events)
    if attempt.response_started:
        return
    attempt.response_started = True
    request.forwarding_started = True
    if request.route.kind.streamed:
        request.origin = attempt.origin
        _record_begun(state, now, request)
    state.dispatch_needed = True
    if upstream is not None:
        _record_prefill(upstream, now, attempt, min(now, arrived_after))


def record_pause(request: state_module.Request, until: float) -> None:
    """Records that the response to a request isn't read for a while.

    Args:
        request: The request; changed.
        until: When reading goes on; infinity if that isn't known yet.
    """
    if request.attempt is not None:
        request.attempt.paused_until = until


def _record_begun(
    state: state_module.DirectState,
    now: float,
    request: state_module.Request,
) -> None:
    """Records the origin of a stream whose caller may take it up elsewhere.

    A stream that was taken up is told to other routers again, since those that
    were told before may be gone.
    """
    if (
        request.route.kind is not catalog.RouteKind.RESUMABLE_STREAM
        or request.stream_key is None
    ):
        return
    time_left = request.incoming.time_left
    if time_left is None:
        time_left = request.route.timeout
    stream_origins.record_origin(
        state.origins,
        now,
        request.stream_key,
        request.origin,
        stream_origins.compute_retention(request.arrived_at + time_left - now),
    )
    state.origins.untold.append(request.stream_key)


def _record_events(
    state: state_module.DirectState,
    request: state_module.Request,
    upstream: upstreams.Upstream | None,
    now: float,
    events: int,
) -> None:
    """Records the gap between events, and how long their response is so far.

    A router that is late reads several events at once, which the engine sent
    one after the other. The first event of a resumed stream is one more of the
    same response.
    """
    attempt = request.attempt
    events = max(1, events)
    if attempt.response_started and upstream is not None:
        elapsed = now - attempt.last_event_at
        stream_pace.record_gap(upstream.pace, now, elapsed, events)
        speed.record_gap(
            upstream.speed,
            upstream.service_speed,
            now,
            elapsed / events,
            upstream.running,
            upstream.unread,
        )
    attempt.last_event_at = now
    if not attempt.response_started:
        attempt.began_at = now
    elif not attempt.proven and now - attempt.began_at >= suspects.PROOF_DELAY:
        attempt.proven = True
        suspects.record_answer(state, now, request)
    lengths = state_module.get_or_create_response_lengths(
        state, request.service, request.route.name
    )
    if not request.forwarding_started:
        stream_pace.record_start(lengths, now, request.deadline - now)
        events -= 1
    for _ in range(events):
        request.events += 1
        stream_pace.record_event(lengths, now, request.events)


def record_leaving(
    state: state_module.DirectState,
    now: float,
    number: int,
    head: dialects.ResponseHead,
) -> bool:
    """Records a shutdown notice from the head of a response.

    A notice from another process at the upstream's address is ignored.

    Args:
        state: The router's state; changed.
        now: Current time of this process's clock.
        number: Number of the request that is answered; its attempt has not
            ended.
        head: The head of the response.

    Returns:
        Whether this is the first shutdown notice of the upstream's process.
    """
    upstream = state_module.find_upstream(state, state.requests[number].attempt)
    if upstream is None or not head.leaving:
        return False
    if head.outcome is dialects.ResponseOutcome.OTHER_INCARNATION:
        return False
    return upstreams.record_leaving(state.table, now, upstream)


def record_scale(
    state: state_module.DirectState,
    now: float,
    number: int,
    head: dialects.ResponseHead,
) -> None:
    """Records how long work takes at an upstream, from the head of a response.

    Args:
        state: The router's state; changed.
        now: Current time of this process's clock.
        number: Number of the request that is answered; its attempt has not
            ended.
        head: The head of the response.
    """
    upstream = state_module.find_upstream(state, state.requests[number].attempt)
    if upstream is None or head.scale is None:
        return
    if head.outcome is not dialects.ResponseOutcome.OTHER_INCARNATION:
        speed.record_reported(
            upstream.speed, upstream.service_speed, now, head.scale
        )


def record_retry_delay(
    state: state_module.DirectState,
    now: float,
    number: int,
    head: dialects.ResponseHead,
) -> bool:
    """Records a retry delay from the head of a response.

    A retry delay from another process at the upstream's address is ignored.

    Args:
        state: The router's state; changed.
        now: Current time of this process's clock.
        number: Number of the request that is answered; its attempt has not
            ended.
        head: The head of the response.

    Returns:
        Whether a retry delay starts; False if one is already in effect.
    """
    upstream = state_module.find_upstream(state, state.requests[number].attempt)
    if upstream is None or head.retry_after is None:
        return False
    if head.outcome is dialects.ResponseOutcome.OTHER_INCARNATION:
        return False
    return upstreams.record_retry_delay(
        state.table, now, upstream, head.retry_after
    )


def refuse_delayed_requests(
    state: state_module.DirectState, now: float, service: str
) -> list[effects.Effect]:
    """Refuses waiting requests whose wait limit precedes the end of all delays.

    No upstream of the service will accept these requests in time, so their
    callers should not wait until the limit. The same holds if all upstreams
    are evacuated.
    """
    refused = [
        request
        for request in state.requests.values()
        if request.attempt is None
        and not request.awaits_origin
        and request.service == service
        and dispatching.is_retry_delay_too_long(state, now, request)
    ]
    return [
        effect
        for request in refused
        for effect in fail_request(state, request, now)
    ]


def _record_prefill(
    upstream: upstreams.Upstream,
    now: float,
    attempt: state_module.Attempt,
    arrived_after: float,
) -> None:
    """Records a processed prompt and adjusts the engine's prefill rate."""
    upstreams.record_success(upstream, now)
    elapsed = now - attempt.sent_at
    speed.record_prefill(
        upstream.speed,
        upstream.service_speed,
        now,
        attempt.unread,
        attempt.queued,
        elapsed - eligibility.FIRST_TOKEN_OVERHEAD,
    )
    upstream.own_load.unread -= attempt.unread
    attempt.unread = 0
    if not speed.is_in_effect(upstream.service_speed, now):
        earliest = arrived_after - attempt.sent_at
        _adjust_prefill_rate(upstream, attempt, earliest, elapsed)


def _adjust_prefill_rate(
    upstream: upstreams.Upstream,
    attempt: state_module.Attempt,
    earliest: float,
    latest: float,
) -> None:
    """Adjusts an engine's estimated prefill rate by the time to a first event.

    The rate can't be computed as queued tokens per elapsed time, since part of
    the queue may have been processed before the request arrived. That
    computation estimated the rates of some engines ten times too high, and a
    sixth of the responses of a full day were late. So the elapsed time is only
    compared with the expected one, and the estimate is lowered or raised by a
    fixed fraction.

    A process that is late receives an event later than it arrived. If that
    alone explains the delay, the sample says nothing: a flooded router would
    take its own lateness for slow engines, estimate that each response would be
    late, and send hardly any request. The usual length of a pass of the loop
    counts as the engine's time, as callers have to wait for it too.

    Args:
        upstream: The engine; changed.
        attempt: The attempt whose response has started.
        earliest: Minimum number of seconds from the send to the arrival of the
            first event.
        latest: Maximum number of these seconds.
    """
    if attempt.queued < MIN_RATE_SAMPLE:
        return
    expected = (
        eligibility.FIRST_TOKEN_OVERHEAD
        + attempt.queued / upstream.prefill_rate
    )
    is_delayed = latest - earliest >= overload.MIN_COUNTED_LATENESS
    if latest <= expected:
        upstream.prefill_rate *= 1 + PREFILL_RATE_INCREASE
    elif earliest > expected or not is_delayed:
        upstream.prefill_rate *= 1 - PREFILL_RATE_DECREASE


def end_attempt(
    state: state_module.DirectState,
    now: float,
    number: int,
    end: AttemptEnd,
) -> list[effects.Effect]:
    """Ends an attempt: completes, retries, enqueues or fails its request.

    A request that an upstream may have run is retried only if its route allows
    that. Otherwise its caller gets an error that says that the outcome is
    unknown.

    Args:
        state: The router's state; changed.
        now: Current time of this process's clock.
        number: Number of the request.
        end: How the attempt ended.

    Returns:
        Effects to perform.
    """
    request = state.requests.get(number)
    if request is None or request.attempt is None:
        return []
    attempt = request.attempt
    is_complete = end is AttemptEnd.COMPLETE
    upstream = release_attempt(state, request, now, is_complete)
    _update_upstream_health(state, now, attempt.upstream, upstream, end)
    if end is not AttemptEnd.NOT_SENT:
        request.arrivals += 1
    if end in _MAY_HAVE_RUN:
        request.possible_runs += 1
    if end is AttemptEnd.COMPLETE:
        streamed = request.route.kind.streamed
        suspects.record_success(
            state,
            now,
            request,
            has_answer=attempt.response_started or not streamed,
        )
        if attempt.response_started and streamed:
            stream_pace.record_end(
                state_module.get_or_create_response_lengths(
                    state, request.service, request.route.name
                ),
                request.events,
            )
        discard_request(state, request)
        return []
    if _may_retry(state, now, request, attempt, end):
        retry = dispatching.try_send(state, now, request)
        if retry:
            return retry
        if (
            end not in _MAY_HAVE_RUN
            and not request.possible_runs
            and now < request.give_up_at
        ):
            if dispatching.is_retry_delay_too_long(state, now, request):
                return fail_request(state, request, now)
            dispatching.enqueue_request(state, request)
            return []
        if end not in _MAY_HAVE_RUN and request.abandoned:
            return await_place(state, now, request, attempt.upstream)
    return _end_unretried(state, request, end, now, attempt.upstream)


def await_place(
    state: state_module.DirectState,
    now: float,
    request: state_module.Request,
    declined: str,
) -> list[effects.Effect]:
    """Lets a request whose run this router gave up wait for another place.

    The upstream that was to take it over has not run it. Otherwise a request
    that its first upstream could still have answered would end there.

    Args:
        state: The router's state; changed.
        now: Current time of this process's clock.
        request: The request, without an attempt in progress.
        declined: Name of the upstream that has not run it.

    Returns:
        The error of a request that no upstream takes before its deadline.
    """
    request.give_up_at = request.deadline
    if dispatching.is_retry_delay_too_long(state, now, request):
        return fail_request(state, request, now, effects.EndReason.NOT_RUN)
    if declined != request.abandoned:
        # The upstream that was given up may be back by then.
        request.tried.discard(request.abandoned)
    state.moving[request.number] = None
    return []


def _update_upstream_health(
    state: state_module.DirectState,
    now: float,
    name: str,
    upstream: upstreams.Upstream | None,
    end: AttemptEnd,
) -> None:
    """Updates the health of an upstream after an attempt there."""
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


def _may_retry(
    state: state_module.DirectState,
    now: float,
    request: state_module.Request,
    attempt: state_module.Attempt,
    end: AttemptEnd,
) -> bool:
    """Returns whether a request may be retried after an attempt's end."""
    if dispatching.is_quarantined(state, request):
        return False
    if end not in _MAY_HAVE_RUN and not request.possible_runs:
        return True
    kind = request.route.kind
    if end is AttemptEnd.FAILED and request.forwarding_started:
        return False
    if end is AttemptEnd.BROKEN and suspects.is_suspect(
        state, now, request, attempt
    ):
        return False
    return (
        kind.retryable and request.possible_runs < request.route.max_upstreams
    )


def _end_unretried(
    state: state_module.DirectState,
    request: state_module.Request,
    end: AttemptEnd,
    now: float,
    upstream: str,
) -> list[effects.Effect]:
    """Ends a request that is not retried after its last attempt."""
    if request.forwarding_started:
        discard_request(state, request)
        reason = _END_REASONS[end]
        return [effects.AbortResponse(request.number, reason, upstream)]
    if end is AttemptEnd.FAILED:
        discard_request(state, request)
        return [effects.ForwardResponse(request.number)]
    return fail_request(state, request, now)


def fail_request(
    state: state_module.DirectState,
    request: state_module.Request,
    now: float,
    reason: effects.EndReason | None = None,
    upstream: str = "",
) -> list[effects.Effect]:
    """Ends a request that gets no further attempt with an error.

    It says that the request did not run only if no upstream may have run it.
    If forwarding of a response has started, the response is aborted.

    Args:
        state: The router's state; changed.
        request: The request.
        now: Current time of this process's clock.
        reason: Why an attempt was the last one, for the log; None if the
            request waited.
        upstream: Name of that attempt's upstream.
    """
    discard_request(state, request)
    if request.forwarding_started:
        return [effects.AbortResponse(request.number, reason, upstream)]
    fingerprint = suspects.find_quarantined(state, request)
    if not request.possible_runs and fingerprint:
        kind = errors.ErrorKind.QUARANTINED
        retry_after = draw_quarantine_delay(
            state, now, fingerprints.list_fingerprints(request)
        )
        return [
            effects.AnswerError(
                request.number, kind, retry_after, fingerprint=fingerprint
            )
        ]
    if not request.possible_runs:
        kind = errors.ErrorKind.NO_UPSTREAM
        retry_after = _compute_retry_after(state, request, now)
        if request.incoming.prompt is not None:
            accounts = state_module.get_or_create_accounts(
                state, request.service
            )
            prompt = request.incoming.prompt
            cost = prompts.compute_cost(prompt)
            fair_queue.record_refusal(accounts, now, request.team, cost)
            service = state.catalog.services.get(request.service)
            if service is not None and service.engine is not None:
                leads.record_cost(accounts, service.engine, prompt)
        refusal = dispatching.explain_refusal(state, now, request)
        return [effects.AnswerError(request.number, kind, retry_after, refusal)]
    if request.route.kind is catalog.RouteKind.IDEMPOTENT:
        kind = errors.ErrorKind.RETRIES_EXHAUSTED
    else:
        kind = errors.ErrorKind.OUTCOME_UNKNOWN
    return [effects.AnswerError(request.number, kind)]


def draw_quarantine_delay(
    state: state_module.DirectState, now: float, accused: Iterable[bytes]
) -> float | None:
    """Draws the Retry-After of a request that is refused as quarantined.

    Args:
        state: The router's state.
        now: Current time of this process's clock.
        accused: Fingerprints of the request and of its prompt's parts.

    Returns:
        Seconds; None if the request would be refused then too.
    """
    delay = trials.estimate_retry_after(state.quarantine, now, accused)
    if delay is None:
        return None
    return delay + state.random.uniform(0.0, RETRY_JITTER)


def end_at_stop(
    state: state_module.DirectState,
    request: state_module.Request,
    now: float,
    retry_after: float,
) -> list[effects.Effect]:
    """Ends a request of which nothing was forwarded, as the process ends.

    Args:
        state: The router's state; changed.
        request: The request.
        now: Current time of this process's clock.
        retry_after: Retry-After, in seconds, if no upstream may have run it.
    """
    aborted = abort_attempt(state, request, now, effects.EndReason.STOP)
    discard_request(state, request)
    if not request.possible_runs:
        kind = errors.ErrorKind.STOPPING
        error = effects.AnswerError(request.number, kind, retry_after)
        return [*aborted, error]
    if request.route.kind is catalog.RouteKind.IDEMPOTENT:
        kind = errors.ErrorKind.RETRIES_EXHAUSTED
    else:
        kind = errors.ErrorKind.OUTCOME_UNKNOWN
    return [*aborted, effects.AnswerError(request.number, kind)]


def expire_request(
    state: state_module.DirectState,
    request: state_module.Request,
    now: float,
) -> list[effects.Effect]:
    """Ends a request whose deadline has passed."""
    reason = effects.EndReason.DEADLINE
    upstream = request.attempt.upstream if request.attempt else ""
    aborted = abort_attempt(state, request, now, reason)
    discard_request(state, request)
    if request.forwarding_started:
        abort = effects.AbortResponse(request.number, reason, upstream)
        return [*aborted, abort]
    kind = errors.ErrorKind.DEADLINE_EXCEEDED
    ran = errors.Ran.UNKNOWN if request.possible_runs else None
    return [*aborted, effects.AnswerError(request.number, kind, ran=ran)]
