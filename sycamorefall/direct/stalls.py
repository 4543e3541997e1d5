"""Detection of stalled upstreams, and moves of their requests elsewhere.

An upstream is stalled if it sends no bytes although requests are in progress
there, for instance because its VM froze or a partition cut it off. Its
connections then stay open, and it may go on at any moment. So a request stays
there until another upstream can take it: only then its attempt is aborted.
"""

__all__ = [
    "handle_stalls",
    "move_requests",
]

import collections

from sycamorefall.direct import (
    budget,
    dispatching,
    effects,
    engine_measurement,
    outcomes,
    placement_constraints,
    upstreams,
)
from sycamorefall.direct import state as state_module

ENGINE_STALL_TIMEOUT = 1.0
"""Seconds without a byte after which an engine that was generating tokens is
taken for stalled. A decoding step takes a hundredth of that, the longest prompt
two thirds of it."""

PREFILL_STALL_TIMEOUT = 2.0
"""Seconds without a byte after which an engine that only processes prompts for
this router is taken for stalled."""

MAX_FAILED_MOVES = 8
"""Requests of a service that a pass tries to move in vain. Requests of one
service have nearly the same places, and hundreds may have to move when a router
is cut off from a failure domain."""

MISSED_HEARTBEATS = 3
"""Heartbeats that an upstream misses until the platform drops its entry."""

PLAIN_RESPONSE_TIMEOUT = 0.5
"""Seconds without a byte of its response after which a request to a plain
service is moved elsewhere if its route allows retries: ten times the usual
response time."""


def handle_stalls(
    state: state_module.DirectState, now: float
) -> list[effects.Effect]:
    """Marks stalled upstreams and moves their requests where allowed.

    Without this, the callers of an upstream that stops responding without
    closing its connections would wait until their deadlines. A healthy engine
    that generates tokens sends bytes every few milliseconds.

    Args:
        state: The router's state; changed.
        now: Current time of this process's clock.

    Returns:
        Effects to perform.
    """
    ended = _end_attempts_at_restarted(state, now)
    ended += _end_attempts_at_gone(state, now)
    running = _list_running(state)
    silent = _list_silent(now, running)
    for request in running:
        attempt = request.attempt
        if attempt.process in silent and _is_stalled(now, request):
            upstreams.record_stall(attempt.process, now, attempt.is_probe)
    waiting = (request for request in running if _should_move(now, request))
    # New ones are tried after those that already are to move.
    state.moving |= dict.fromkeys(one.number for one in waiting)
    moved, _ = move_requests(state, now)
    return ended + moved


def move_requests(
    state: state_module.DirectState, now: float
) -> tuple[list[effects.Effect], int]:
    """Moves requests whose upstream is stalled to others with room.

    An attempt is aborted only once the place of the next one is found and the
    retry budget has a retry left. Until then the upstream may go on with it.
    The requests of a service are tried in turn, a few in each pass.

    Args:
        state: The router's state; changed.
        now: Current time of this process's clock.

    Returns:
        Effects to perform, and the number of upstreams that were checked.
    """
    moved: list[effects.Effect] = []
    checks = 0
    groups: dict[str, engine_measurement.EngineGroup] = {}
    failed: collections.Counter[str] = collections.Counter()
    for number in list(state.moving):
        request = state.requests.get(number)
        if request is None or not _should_move(now, request):
            del state.moving[number]
            continue
        service = request.service
        if failed[service] >= MAX_FAILED_MOVES:
            continue
        if service not in groups:
            groups[service] = dispatching.measure_free_engines(
                state, now, service
            )
        group = groups[service]
        place = _find_place(state, now, request, group)
        if not _lacks_free_engine(state, service, group):
            checks += len(upstreams.list_upstreams(state.table, service))
        if place is None:
            failed[service] += 1
            # The others come before it in the next pass.
            state.moving[number] = state.moving.pop(number)
            continue
        known_budget = dispatching.get_or_create_budget(state, service)
        # Asked at each pass, and no refusal: the request stays where it is.
        if not budget.has_retry(known_budget, now):
            failed[service] = MAX_FAILED_MOVES
            continue
        budget.take_retry(known_budget, now)
        del state.moving[number], groups[service]
        moved += _move(state, now, request, place)
    return moved, checks


def _lacks_free_engine(
    state: state_module.DirectState,
    service: str,
    group: engine_measurement.EngineGroup,
) -> bool:
    """Returns whether a service has engines, and none of them a free slot."""
    known = state.catalog.services.get(service)
    has_engines = known is not None and known.engine is not None
    return has_engines and not group.engine_loads


def _find_place(
    state: state_module.DirectState,
    now: float,
    request: state_module.Request,
    group: engine_measurement.EngineGroup,
) -> upstreams.Upstream | None:
    constraints = placement_constraints.compute_move_constraints(request, now)
    return dispatching.find_place(state, now, request, group, constraints)


def _list_running(
    state: state_module.DirectState,
) -> list[state_module.Request]:
    return [one for one in state.requests.values() if one.attempt]


def _list_silent(
    now: float, running: list[state_module.Request]
) -> set[upstreams.Upstream]:
    """Lists upstreams that have sent no bytes for the shorter stall timeout.

    Only their requests are examined one by one, as nearly all upstreams are
    not silent. With 208 requests in progress and 450 waiting, this cut the time
    of a check, which runs ten times a second, from 0.35 ms to 0.2 ms
    (`benchmarks.direct`).
    """
    limit = min(ENGINE_STALL_TIMEOUT, PREFILL_STALL_TIMEOUT)
    processes = {request.attempt.process for request in running}
    return {one for one in processes if now - one.last_byte_at > limit}


def _end_attempts_at_restarted(
    state: state_module.DirectState, now: float
) -> list[effects.Effect]:
    """Ends attempts at processes that were restarted under the same name.

    If a process restarts behind a network partition, its connections are never
    reset, and callers would wait for a response that never comes. Whether the
    old process ran the requests is unknown. Bytes that arrive after the entry
    of the new process show that the old one goes on, whatever the entry says;
    then its silence cuts no answer that has begun.
    """
    lapse = MISSED_HEARTBEATS * state.bounds.heartbeat
    ended: list[effects.Effect] = []
    for request in _list_running(state):
        attempt = request.attempt
        known = state.table.by_name.get(attempt.upstream)
        if known is None or state_module.find_upstream(state, attempt):
            continue
        heard_since = attempt.process.last_byte_at > known.listed_at
        silence = state_module.compute_silence(attempt, now)
        if not heard_since or (
            silence > lapse and not request.forwarding_started
        ):
            reason = effects.EndReason.RESTARTED
            ended += _end_attempt(state, now, request, reason)
    return ended


def _end_attempts_at_gone(
    state: state_module.DirectState, now: float
) -> list[effects.Effect]:
    """Ends attempts at upstreams that neither the platform nor this VM hears.

    The platform drops the entry of a process that has sent no heartbeats. An
    entry may also be missing because the process is about to leave; then it
    goes on serving, and its bytes show that. Without this, callers would wait
    for a dead process until their deadlines whenever no other upstream has
    room. A caller whose answer has begun would gain nothing from its end, and
    the process may only stand still: the answer goes on, or moves elsewhere.
    """
    lapse = MISSED_HEARTBEATS * state.bounds.heartbeat
    ended: list[effects.Effect] = []
    for request in _list_running(state):
        attempt = request.attempt
        if attempt.upstream in state.table.by_name:
            continue
        silence = state_module.compute_silence(attempt, now)
        if (
            silence > lapse
            and not request.forwarding_started
            and request.route.kind.retryable
            and not upstreams.is_leaving(attempt.process)
        ):
            reason = effects.EndReason.GONE
            ended += _end_attempt(state, now, request, reason)
    return ended


def _end_attempt(
    state: state_module.DirectState,
    now: float,
    request: state_module.Request,
    reason: effects.EndReason,
) -> list[effects.Effect]:
    """Ends an attempt whose run is known to be gone."""
    attempt = request.attempt
    abort = effects.AbortAttempt(
        request.number,
        reason,
        attempt.upstream,
        attempt.response_started,
        state_module.compute_silence(attempt, now),
    )
    end = outcomes.AttemptEnd.BROKEN
    return [abort, *outcomes.end_attempt(state, now, request.number, end)]


def _is_stalled(now: float, request: state_module.Request) -> bool:
    """Returns whether the upstream of a streamed request is stalled."""
    if not request.route.kind.streamed:
        return False
    limit = (
        ENGINE_STALL_TIMEOUT
        if request.attempt.response_started
        else PREFILL_STALL_TIMEOUT
    )
    return state_module.compute_silence(request.attempt, now) > limit


def _should_move(now: float, request: state_module.Request) -> bool:
    """Returns whether a request is to be moved to another upstream."""
    attempt = request.attempt
    if attempt is None:
        return bool(request.abandoned)
    if not request.route.kind.retryable:
        return False
    if request.possible_runs + 1 >= request.route.max_upstreams:
        return False
    if request.route.kind.streamed:
        return _is_affected(now, request)
    heard_at = max(attempt.sent_at, attempt.last_byte_at)
    return now - heard_at > PLAIN_RESPONSE_TIMEOUT


def _is_affected(now: float, request: state_module.Request) -> bool:
    """Returns whether a streamed request is at a stalled upstream.

    A probe, which is sent after the stall was found, gets a time of its own.
    """
    stalled_at = request.attempt.process.stalled_at
    if stalled_at is None:
        return False
    return request.attempt.sent_at <= stalled_at or _is_stalled(now, request)


def _move(
    state: state_module.DirectState,
    now: float,
    request: state_module.Request,
    place: upstreams.Upstream,
) -> list[effects.Effect]:
    """Aborts a request's attempt, if there is one, and sends it to a place."""
    aborted = []
    if request.attempt is not None:
        request.abandoned = request.attempt.upstream
        upstream = request.attempt.process
        reason = effects.EndReason.SILENT
        aborted = outcomes.abort_attempt(state, request, now, reason)
        if not request.route.kind.streamed:
            upstreams.record_failure(upstream, now)
    return [*aborted, dispatching.send_to(state, now, request, place)]
