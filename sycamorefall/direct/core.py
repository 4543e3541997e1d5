"""Decision logic of a router that sends directly to upstreams; no I/O."""

__all__ = [
    "apply_catalog",
    "apply_evacuated_domains",
    "apply_listing",
    "begin_settling",
    "begin_stop",
    "answer_all",
    "cancel_request",
    "end_lookup",
    "find_next_due",
    "handle_request",
    "list_unready_reasons",
    "record_proof",
    "run_timers",
]

from collections.abc import Collection
import heapq
import math

from returns import result

from sycamorefall import errors
from sycamorefall.direct import (
    budget,
    catalog,
    dispatching,
    effects,
    fingerprints,
    freshness,
    known_parts,
    latency_targets,
    outcomes,
    overload,
    patience,
    prompts,
    quarantine,
    resumption,
    speed,
    stalls,
    stopping,
    stream_origins,
    trials,
    upstreams,
    warmup,
)
from sycamorefall.direct import (
    state as state_module,
)

STALL_CHECK_INTERVAL = 0.1
"""Seconds between two checks for stalled upstreams."""

OTHER_ROUTER_RETRY_AFTER = 0.1
"""Retry-After, in seconds, of a request that only this router can't serve; long
enough for the caller's next connection to reach another router."""

DISPATCH_INTERVAL = 0.01
"""Seconds between two tries to send waiting requests while nothing sets
`DirectState.dispatch_needed`. The end of an upstream's suspension, for example,
doesn't set it."""


def apply_catalog(
    state: state_module.DirectState, now: float, new: catalog.Catalog
) -> list[effects.Effect]:
    """Applies a configuration unless its version is not newer.

    Waiting requests are authorized and routed again, since their key or their
    route may be gone.

    Args:
        state: The router's state; changed.
        now: Current time of this process's clock.
        new: The configuration.

    Returns:
        Errors for the waiting requests that are no longer authorized.
    """
    if state.catalog is not None and new.version <= state.catalog.version:
        return []
    state.catalog = new
    state.dispatch_needed = True
    waiting_requests = [
        one for one in state.requests.values() if not one.attempt
    ]
    pending: list[effects.Effect] = []
    for request in waiting_requests:
        if request.abandoned:
            pending += _end_without_service(state, now, request)
            continue
        admission = _admit(state, now, request.incoming)
        if isinstance(admission, result.Failure):
            pending.append(
                effects.AnswerError(request.number, admission.failure())
            )
            outcomes.discard_request(state, request)
            continue
        route, team = admission.unwrap()
        dispatching.dequeue_request(state, request)
        request.route, request.team = route, team
        # Recomputed on next use, since it depends on the team.
        request.fingerprint = b""
        pending += _route_again(state, request)
    return pending


def _end_without_service(
    state: state_module.DirectState, now: float, request: state_module.Request
) -> list[effects.Effect]:
    """Ends a request that has run if its service has left the configuration.

    Otherwise it stays: it was authorized and routed before it ran.
    """
    if request.service in state.catalog.services:
        return []
    reason = effects.EndReason.NOT_RUN
    return outcomes.fail_request(state, request, now, reason)


def _route_again(
    state: state_module.DirectState, request: state_module.Request
) -> list[effects.Effect]:
    """Chooses the service of a waiting request anew, and queues the request.

    Returns:
        The error of a request that goes on with a stream and no longer may.
    """
    if request.resumes:
        check = resumption.check_request(request.incoming, request.route)
        if isinstance(check, result.Failure):
            outcomes.discard_request(state, request)
            return [effects.AnswerError(request.number, check.failure())]
        if request.awaits_origin:
            return []
        refused = resumption.bind_request(state, request, request.known_origin)
        if refused:
            return refused
    else:
        request.service = catalog.choose_service(
            request.route, state.random.random()
        )
    dispatching.enqueue_request(state, request)
    return []


def apply_listing(
    state: state_module.DirectState,
    now: float,
    listing: list[upstreams.UpstreamEntry],
) -> list[str]:
    """Replaces the listing of upstreams.

    Args:
        state: The router's state; changed.
        now: Current time of this process's clock.
        listing: All upstreams that the platform lists.

    Returns:
        Names of the upstreams that were removed.
    """
    state.dispatch_needed = True
    removed = upstreams.replace_listing(state.table, now, listing)
    _mark_evacuated(state, now)
    warmup.update_intervals(state, now)
    return removed


def apply_evacuated_domains(
    state: state_module.DirectState, now: float, domains: Collection[str]
) -> list[effects.Effect]:
    """Applies the set of failure domains whose upstreams get no requests.

    Requests in progress there continue. Waiting requests of a service without
    other upstreams are refused. The upstreams of a domain that is in use again
    are taken to be cold, since they may have been restarted in the meantime.

    Args:
        state: The router's state; changed.
        now: Current time of this process's clock.
        domains: Names of all evacuated failure domains.

    Returns:
        Errors for the refused requests.
    """
    state.evacuated_domains = frozenset(domains)
    state.dispatch_needed = True
    _mark_evacuated(state, now)
    return [
        effect
        for service in state.table.by_service
        for effect in outcomes.refuse_delayed_requests(state, now, service)
    ]


def _mark_evacuated(state: state_module.DirectState, now: float) -> None:
    """Marks the upstreams of evacuated domains, and those in use again."""
    for upstream in state.table.by_name.values():
        was_evacuated = upstream.evacuated
        domain = upstream.listed.failure_domain
        upstream.evacuated = domain in state.evacuated_domains
        if was_evacuated and not upstream.evacuated:
            warmup.presume_cold(state, now, upstream)


def record_proof(
    state: state_module.DirectState, now: float, proven_at: float
) -> None:
    """Records that the configuration and the listing were current at a time.

    Args:
        state: The router's state; changed.
        now: Current time of this process's clock.
        proven_at: Time at which both were proven to be the newest.
    """
    freshness.record_proof(state.freshness, proven_at)
    upstreams.confirm_listing(state.table, now, proven_at)


def begin_settling(
    state: state_module.DirectState, until: float, withdraw: bool
) -> None:
    """Keeps in force what a platform restored from a copy may have lost.

    Upstreams that are missing are kept, evacuated domains stay evacuated, and
    the lease on keys isn't renewed.

    Args:
        state: The router's state; changed.
        until: When the platform's records count as complete again.
        withdraw: Whether the lease ends now; see `freshness.hold_proofs`.
    """
    state.settles_at = until
    freshness.hold_proofs(state.freshness, until, withdraw)
    upstreams.begin_grace(state.table, until)


def begin_stop(
    state: state_module.DirectState, now: float, sent_after: float
) -> None:
    """Begins a graceful stop: reports not ready, but keeps serving requests.

    Args:
        state: The router's state; changed.
        now: Current time of this process's clock.
        sent_after: Time after which the signal came.
    """
    state.stop.since, state.stop.sent_after = now, sent_after


def answer_all(
    state: state_module.DirectState, now: float
) -> list[effects.Effect]:
    """Ends the requests without an answer, as the process is to be killed.

    Those whose response has begun go on: more of it may still arrive.

    Args:
        state: The router's state; changed.
        now: Current time of this process's clock.

    Returns:
        Their errors. A request that no upstream may have run is told so.
    """
    unanswered = [
        one for one in state.requests.values() if not one.forwarding_started
    ]
    return [
        effect
        for request in unanswered
        for effect in outcomes.end_at_stop(
            state, request, now, OTHER_ROUTER_RETRY_AFTER
        )
    ]


def list_unready_reasons(
    state: state_module.DirectState, now: float
) -> list[str]:
    """Lists the reasons why the balancer should choose another router."""
    reasons = {
        "stopping": state.stop.since is not None,
        "overloaded": overload.is_overloaded(state.overload, now),
        "no configuration": state.catalog is None,
        "no upstreams": not state.table.by_name,
        "configuration may be out of date": not freshness.is_fresh(
            state.freshness, now
        ),
    }
    return [reason for reason, holds in reasons.items() if holds]


def _admit(
    state: state_module.DirectState,
    now: float,
    incoming: state_module.IncomingRequest,
) -> result.Result[tuple[catalog.Route, str], errors.ErrorKind]:
    """Finds the route of a request and authorizes its key.

    Returns:
        The route and the team's name, which is empty if the route needs no key;
        or the kind of error.
    """
    current = state.catalog
    if current is None:
        return result.Failure(errors.ErrorKind.NOT_READY)
    route = catalog.find_route(current, incoming.host, incoming.path)
    if route is None:
        return result.Failure(errors.ErrorKind.UNKNOWN_SERVICE)
    if route.public or not current.requires_key:
        return result.Success((route, ""))
    if not freshness.is_fresh(state.freshness, now):
        return result.Failure(errors.ErrorKind.NOT_READY)
    team = current.teams.get(incoming.key)
    if team is None:
        return result.Failure(errors.ErrorKind.UNKNOWN_TEAM)
    return result.Success((route, team.name))


def handle_request(
    state: state_module.DirectState,
    now: float,
    incoming: state_module.IncomingRequest,
    arrived_after: float = math.inf,
) -> tuple[int, list[effects.Effect]]:
    """Sends, enqueues or refuses a caller's request.

    A late process reads a request after its caller has sent it. The caller's
    time runs from then on, so what must be over before its end counts from the
    earliest time at which the request may have arrived. An answer that has
    begun isn't cut before the latest one.

    Args:
        state: The router's state; changed.
        now: Current time of this process's clock.
        incoming: The request.
        arrived_after: Time after which it arrived; a later one than the current
            time is ignored.

    Returns:
        The request's number and the effects to perform.
    """
    state.last_number += 1
    number = state.last_number
    admission = _admit(state, now, incoming)
    if isinstance(admission, result.Failure):
        kind = admission.failure()
        retry_after = _choose_retry_after(state, kind)
        return number, [effects.AnswerError(number, kind, retry_after)]
    route, team = admission.unwrap()
    tried_parts: frozenset[bytes] = frozenset()
    if state.quarantine.quarantined:
        parts = fingerprints.list_part_fingerprints(incoming.prompt)
        whole = fingerprints.compute_fingerprint(incoming, team)
        fingerprint = quarantine.find_quarantined(
            state.quarantine, (*parts, whole)
        )
        tried_parts = trials.choose_trial(
            state.quarantine, now, (*parts, whole), state.vm, state.routers
        )
        if fingerprint and not tried_parts:
            if fingerprint == whole:
                quarantine.extend_quarantine(state.quarantine, now, whole)
            kind = errors.ErrorKind.QUARANTINED
            retry_after = outcomes.draw_quarantine_delay(
                state, now, (*parts, whole)
            )
            return number, [
                effects.AnswerError(
                    number, kind, retry_after, fingerprint=fingerprint
                )
            ]
    remaining = route.timeout
    if incoming.time_left is not None:
        remaining = min(remaining, incoming.time_left)
    unread_for = max(0.0, now - arrived_after)
    remaining -= unread_for
    if not stopping.may_accept(state.stop, now, now + remaining):
        kind = errors.ErrorKind.STOPPING
        return number, [
            effects.AnswerError(number, kind, _choose_retry_after(state, kind))
        ]
    check = resumption.check_request(incoming, route)
    if isinstance(check, result.Failure):
        return number, [effects.AnswerError(number, check.failure())]
    stream = check.unwrap()
    wait = min(
        dispatching.MAX_WAIT_SHARE * route.target_latency,
        dispatching.MAX_TIME_SHARE * remaining,
    )
    request = state_module.Request(
        number,
        incoming,
        route,
        catalog.choose_service(route, state.random.random()),
        team,
        now,
        deadline=now + remaining,
        target_at=now
        + route.target_latency
        - _estimate_elapsed(state, route, incoming),
        give_up_at=now + wait,
        unread_for=unread_for,
        stream_key=_compute_stream_key(team, stream or incoming.attempt_id),
        resumes=bool(stream),
        tried_parts=tried_parts,
    )
    state.requests[number] = request
    heapq.heappush(state.deadlines, (request.deadline, number))
    heapq.heappush(state.deadlines, (request.give_up_at, number))
    reports = [effects.ReportTrial(one) for one in sorted(tried_parts)]
    if not request.resumes:
        return number, [*_dispatch_request(state, now, request), *reports]
    known = stream_origins.find_origin(state.origins, now, request.stream_key)
    if known is None:
        pending = resumption.look_up_origin(state, now, request)
    else:
        pending = _resume_stream(state, now, request, known)
    return number, [*pending, *reports]


def _compute_stream_key(team: str, attempt_id: str) -> int | None:
    """Computes the key of a stream; None if its caller can't name it."""
    if not 0 < len(attempt_id) <= resumption.MAX_ID_LENGTH:
        return None
    return stream_origins.compute_key(team, attempt_id)


def _resume_stream(
    state: state_module.DirectState,
    now: float,
    request: state_module.Request,
    known: stream_origins.KnownOrigin,
) -> list[effects.Effect]:
    """Binds a request to the origin of its stream, then dispatches it."""
    refused = resumption.bind_request(state, request, known)
    return refused or _dispatch_request(state, now, request)


def end_lookup(
    state: state_module.DirectState, now: float, key: int
) -> list[effects.Effect]:
    """Dispatches or refuses the requests that waited for a stream's origin.

    Args:
        state: The router's state; changed.
        now: Current time of this process's clock.
        key: Key of the stream, of which all that can be known is known.

    Returns:
        Effects to perform.
    """
    known = stream_origins.find_origin(state.origins, now, key)
    return [
        effect
        for request in resumption.take_lookup(state, key)
        for effect in (
            _resume_stream(state, now, request, known)
            if known is not None
            else resumption.refuse(state, request, False)
        )
    ]


def _dispatch_request(
    state: state_module.DirectState,
    now: float,
    request: state_module.Request,
) -> list[effects.Effect]:
    """Sends a request whose service is known, or enqueues or refuses it."""
    incoming = request.incoming
    if incoming.prompt is not None:
        request.part_known = known_parts.is_part_known(
            state.known_parts, incoming.prompt, now - state.started_at
        )
        key = incoming.prompt.home_key
        request.part_uses = prompts.record_use(state.part_usage, now, key)
        recent_targets = state_module.get_or_create_recent_targets(
            state, request.service
        )
        latency_targets.record_target(
            recent_targets, now, request.route.target_latency
        )
        speed.record_max_pause(
            state.table.speeds.setdefault(
                request.service, speed.ServiceSpeed()
            ),
            now,
            request.route.max_pause,
        )
    budget.count_request(
        dispatching.get_or_create_budget(state, request.service), now
    )
    queue = state.service_queues.get(request.service)
    if queue is None or not queue.by_team:
        sent = dispatching.try_send(state, now, request)
        if sent:
            return sent
    if dispatching.is_retry_delay_too_long(state, now, request):
        return outcomes.fail_request(state, request, now)
    dispatching.enqueue_request(state, request)
    return []


def _choose_retry_after(
    state: state_module.DirectState, kind: errors.ErrorKind
) -> float | None:
    """Chooses the Retry-After of a refused request, in seconds.

    A caller that only this router can't serve should retry at once: its new
    connection is given to another router by the balancer.

    Returns:
        The seconds; None if a retry doesn't help.
    """
    if kind in (errors.ErrorKind.NOT_READY, errors.ErrorKind.STOPPING):
        return OTHER_ROUTER_RETRY_AFTER
    return (
        outcomes.draw_retry_after(state) if errors.ANSWERS[kind].retry else None
    )


def _estimate_elapsed(
    state: state_module.DirectState,
    route: catalog.Route,
    incoming: state_module.IncomingRequest,
) -> float:
    """Estimates how long a caller has been retrying at least, in seconds.

    The estimate compares the time that the caller has left with the times that
    other callers of the route had left. It is 0 for a caller that states none.
    """
    if incoming.time_left is None:
        return 0.0
    route_patience = state.patience.setdefault(route.name, patience.Patience())
    return patience.estimate_elapsed(route_patience, incoming.time_left)


def cancel_request(
    state: state_module.DirectState, number: int, now: float
) -> list[effects.Effect]:
    """Discards a request whose caller has disconnected.

    Args:
        state: The router's state; changed.
        number: The request; ignored if it has ended already.
        now: Current time of this process's clock.

    Returns:
        The abort of the request's attempt, if it is at an upstream.
    """
    request = state.requests.get(number)
    if request is None:
        return []
    reason = effects.EndReason.CALLER_LEFT
    aborted = outcomes.abort_attempt(state, request, now, reason)
    outcomes.discard_request(state, request)
    return aborted


def run_timers(
    state: state_module.DirectState, now: float
) -> list[effects.Effect]:
    """Handles expired requests, stalled upstreams and waiting requests.

    Args:
        state: The router's state; changed.
        now: Current time of this process's clock.

    Returns:
        Effects to perform.
    """
    pending = resumption.expire_lookups(state, now)
    pending += _expire_requests(state, now)
    stream_origins.drop_expired(state.origins, now)
    if now >= quarantine.find_next_scan(state.quarantine):
        quarantine.drop_expired(state.quarantine, now)
    if now - state.stalls_checked_at >= STALL_CHECK_INTERVAL:
        state.stalls_checked_at = now
        pending += stalls.handle_stalls(state, now)
        pending += resumption.refuse_unservable(state, now)
    if _is_dispatch_due(state, now):
        state.last_dispatch_at = now
        # These requests were let through before those that wait.
        moved, checks = stalls.move_requests(state, now)
        pending += moved
        pending += dispatching.send_waiting_requests(state, now, checks)
        state.dispatch_needed = False
    return pending


def _is_dispatch_due(state: state_module.DirectState, now: float) -> bool:
    return _is_any_request_waiting(state) and now >= _compute_next_dispatch(
        state
    )


def _compute_next_dispatch(state: state_module.DirectState) -> float:
    """Computes when the router next tries to send waiting requests.

    The next try is due immediately if capacity may have become free, but not
    before `min_dispatch_interval` has passed. This bounds the process's share
    of time for these tries, whatever the number of waiting requests and
    engines.
    """
    interval = 0.0 if state.dispatch_needed else DISPATCH_INTERVAL
    return state.last_dispatch_at + max(interval, state.min_dispatch_interval)


def find_next_due(state: state_module.DirectState) -> float:
    """Computes when `run_timers` next has work; infinity if never."""
    due = state.deadlines[0][0] if state.deadlines else float("inf")
    due = min(due, resumption.find_next_due(state))
    if _is_any_request_waiting(state):
        due = min(due, _compute_next_dispatch(state))
    if state.running:
        due = min(due, state.stalls_checked_at + STALL_CHECK_INTERVAL)
    return min(due, quarantine.find_next_scan(state.quarantine))


def _is_any_request_waiting(state: state_module.DirectState) -> bool:
    return bool(state.moving) or any(
        queue.by_team for queue in state.service_queues.values()
    )


def _expire_requests(
    state: state_module.DirectState, now: float
) -> list[effects.Effect]:
    pending: list[effects.Effect] = []
    while state.deadlines and state.deadlines[0][0] <= now:
        _, number = heapq.heappop(state.deadlines)
        request = state.requests.get(number)
        if request is None:
            continue
        deadline = request.deadline
        if request.forwarding_started:
            deadline += request.unread_for
        if request.deadline <= now < deadline:
            heapq.heappush(state.deadlines, (deadline, number))
        elif now >= deadline:
            pending += outcomes.expire_request(state, request, now)
        elif now >= request.give_up_at and request.attempt is None:
            pending += outcomes.fail_request(state, request, now)
    return pending
