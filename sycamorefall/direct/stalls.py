"""Detection of stalled upstreams and retries of their requests elsewhere.

An upstream is stalled if it sends no bytes although requests are in progress
there, for instance because its VM froze or a partition cut it off. Its
connections then stay open.
"""

__all__ = [
    "handle_stalls",
]

from sycamorefall.direct import dispatching, effects, outcomes, upstreams
from sycamorefall.direct import state as state_module

ENGINE_STALL_TIMEOUT = 1.0
"""Seconds without a byte after which an engine that was generating tokens is
taken for stalled. A decoding step takes a hundredth of that, the longest prompt
two thirds of it."""

PREFILL_STALL_TIMEOUT = 2.0
"""Seconds without a byte after which an engine that only processes prompts for
this router is taken for stalled."""

PLAIN_RESPONSE_TIMEOUT = 0.5
"""Seconds after which a request to a plain service is retried elsewhere if its
route allows retries: ten times the usual response time."""


def handle_stalls(
    state: state_module.DirectState, now: float
) -> list[effects.Effect]:
    """Suspends stalled upstreams and retries their requests where allowed.

    Without this, the callers of an upstream that stops responding without
    closing its connections would wait until their deadlines. A healthy engine
    that generates tokens sends bytes every few milliseconds.

    Args:
        state: The router's state; changed.
        now: Current time of this process's clock.

    Returns:
        Effects to perform.
    """
    done = _end_attempts_at_restarted(state, now)
    running = _list_running(state)
    silent = _list_silent(state, now, running)
    stalled = {
        request.attempt.upstream
        for request in running
        if request.attempt.upstream in silent
        and _is_stalled(state, now, request)
    }
    to_retry = [
        request
        for request in running
        if _should_retry(state, now, request, stalled)
    ]
    for name in stalled:
        upstreams.suspend_upstream(state.table.by_name[name], now)
    for request in to_retry:
        done += _retry_elsewhere(state, now, request)
    return done


def _list_running(
    state: state_module.DirectState,
) -> list[state_module.Request]:
    return [one for one in state.requests.values() if one.attempt]


def _list_silent(
    state: state_module.DirectState,
    now: float,
    running: list[state_module.Request],
) -> set[str]:
    """Lists upstreams that have sent no bytes for the shorter stall timeout.

    Only their requests are examined one by one, as nearly all upstreams are
    not silent. With 208 requests in progress and 450 waiting, this cut the time
    of a check, which runs ten times a second, from 0.35 ms to 0.2 ms
    (`benchmarks.direct`).
    """
    limit = min(ENGINE_STALL_TIMEOUT, PREFILL_STALL_TIMEOUT)
    known = state.table.by_name
    names = {request.attempt.upstream for request in running} & known.keys()
    return {name for name in names if now - known[name].last_byte_at > limit}


def _end_attempts_at_restarted(
    state: state_module.DirectState, now: float
) -> list[effects.Effect]:
    """Ends attempts at processes that were restarted under the same name.

    If a process restarts behind a network partition, its connections are never
    reset, and callers would wait for a response that never comes. Whether the
    old process ran the requests is unknown.
    """
    running = _list_running(state)
    known = state.table.by_name
    ended: list[effects.Effect] = []
    for request in running:
        attempt = request.attempt
        if attempt.upstream in known and (
            state_module.find_upstream(state, attempt) is None
        ):
            end = outcomes.AttemptEnd.BROKEN
            abort = effects.AbortAttempt(
                request.number,
                effects.EndReason.RESTARTED,
                attempt.upstream,
                attempt.response_started,
            )
            ended.append(abort)
            ended += outcomes.end_attempt(state, now, request.number, end)
    return ended


def _is_stalled(
    state: state_module.DirectState,
    now: float,
    request: state_module.Request,
) -> bool:
    """Returns whether the upstream of a streamed request is stalled.

    Bytes that the upstream sends for any request of this router count.
    """
    attempt = request.attempt
    upstream = state_module.find_upstream(state, attempt)
    if upstream is None or not request.route.kind.streamed:
        return False
    limit = (
        ENGINE_STALL_TIMEOUT
        if attempt.response_started
        else PREFILL_STALL_TIMEOUT
    )
    return now - max(upstream.last_byte_at, attempt.sent_at) > limit


def _should_retry(
    state: state_module.DirectState,
    now: float,
    request: state_module.Request,
    stalled: set[str],
) -> bool:
    """Returns whether a request is to be retried at another upstream."""
    if not request.route.kind.retryable:
        return False
    if request.possible_runs + 1 >= request.route.max_upstreams:
        return False
    attempt = request.attempt
    if request.route.kind.streamed:
        return attempt.upstream in stalled
    return now - attempt.sent_at > PLAIN_RESPONSE_TIMEOUT


def _retry_elsewhere(
    state: state_module.DirectState,
    now: float,
    request: state_module.Request,
) -> list[effects.Effect]:
    """Aborts a request's attempt and retries it, or fails the request."""
    name = request.attempt.upstream
    reason = effects.EndReason.SILENT
    aborted = outcomes.abort_attempt(state, request, now, reason)
    upstream = state.table.by_name.get(name)
    if upstream is not None:
        upstreams.record_failure(upstream, now)
    retry = dispatching.try_send(state, now, request)
    if retry:
        return [*aborted, *retry]
    return [
        *aborted,
        *outcomes.fail_request(state, request, now, reason, name),
    ]
