"""Upstreams that say nothing, and the requests that are better elsewhere."""

__all__ = [
    "handle_stalls",
]

from sycamorefall.direct import dispatching, effects, outcomes, upstreams
from sycamorefall.direct import state as state_module

ENGINE_STALL_TIMEOUT = 1.0
"""Seconds without a byte after which an engine that was making tokens is taken
to hang: a step takes a hundredth of that, the longest prompt two thirds."""

PREFILL_STALL_TIMEOUT = 2.0
"""The same for an engine that only reads prompts for this router."""

PLAIN_RESPONSE_TIMEOUT = 0.5
"""Seconds after which an answer of a plain service is given up if the request
may be repeated: ten times what one takes."""


def handle_stalls(
    state: state_module.DirectState, now: float
) -> list[effects.Effect]:
    """Looks for upstreams that say nothing, and moves what may be moved.

    Guards against an upstream that goes dark without closing connections:
    all its callers would wait until their deadlines. An engine that makes
    tokens sends something every few milliseconds.
    """
    done = _end_former_lives(state, now)
    running = _list_running(state)
    silent = _list_silent(state, now, running)
    hanging = {
        request.attempt.upstream
        for request in running
        if request.attempt.upstream in silent
        and _is_hanging(state, now, request)
    }
    stuck = [
        request
        for request in running
        if _is_stuck(state, now, request, hanging)
    ]
    for name in hanging:
        upstreams.suspend_upstream(state.table.by_name[name], now)
    for request in stuck:
        done += _move(state, now, request)
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
    """Lists upstreams that said nothing for as long as the shortest limit.

    Spares requests at the others, which are nearly all, a closer look: ten
    times a second it took 0.35 ms for 208 requests and 450 that wait, and
    takes 0.2 ms with this (`benchmarks.direct`).
    """
    limit = min(ENGINE_STALL_TIMEOUT, PREFILL_STALL_TIMEOUT)
    known = state.table.by_name
    names = {request.attempt.upstream for request in running} & known.keys()
    return {name for name in names if now - known[name].last_byte_at > limit}


def _end_former_lives(
    state: state_module.DirectState, now: float
) -> list[effects.Effect]:
    """Ends attempts at processes that have started again under their name.

    Guards against a restart behind a partition: the connection is never
    reset, and its caller would wait for an answer that nobody will send.
    Whether the former life ran the request stays open.
    """
    running = _list_running(state)
    known = state.table.by_name
    lives = {(one.attempt.upstream, one.attempt.born) for one in running}
    former = {
        (name, born)
        for name, born in lives
        if name in known and known[name].listed.born != born
    }
    if not former:
        return []
    ended: list[effects.Effect] = []
    for request in running:
        attempt = request.attempt
        if (attempt.upstream, attempt.born) in former:
            end = outcomes.AttemptEnd.BROKEN
            ended.append(effects.AbortAttempt(request.number))
            ended += outcomes.end_attempt(state, now, request.number, end)
    return ended


def _is_hanging(
    state: state_module.DirectState,
    now: float,
    request: state_module.Request,
) -> bool:
    """Tells whether a streamed request's upstream says nothing to anyone."""
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


def _is_stuck(
    state: state_module.DirectState,
    now: float,
    request: state_module.Request,
    hanging: set[str],
) -> bool:
    """Tells whether a request is better sent to another upstream."""
    if not request.route.kind.retryable:
        return False
    if request.possible_runs + 1 >= request.route.max_upstreams:
        return False
    attempt = request.attempt
    if request.route.kind.streamed:
        return attempt.upstream in hanging
    return now - attempt.sent_at > PLAIN_RESPONSE_TIMEOUT


def _move(
    state: state_module.DirectState,
    now: float,
    request: state_module.Request,
) -> list[effects.Effect]:
    name = request.attempt.upstream
    outcomes.refund_attempt(state, now, request, request.attempt)
    aborted = outcomes.abort_attempt(state, request, now)
    upstream = state.table.by_name.get(name)
    if upstream is not None:
        upstreams.record_failure(upstream, now)
    again = dispatching.try_send(state, now, request)
    if again:
        return [*aborted, *again]
    return [*aborted, *outcomes.fail_request(state, request, now)]
