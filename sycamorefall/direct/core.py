"""Decisions of a router that sends directly to upstreams; no I/O."""

__all__ = [
    "apply_catalog",
    "apply_listing",
    "begin_stop",
    "cancel_request",
    "find_next_due",
    "handle_request",
    "list_unready_reasons",
    "record_proof",
    "run_timers",
]

import heapq

from returns import result

from sycamorefall import errors
from sycamorefall.direct import (
    budget,
    catalog,
    dispatching,
    effects,
    fingerprints,
    freshness,
    latency_targets,
    outcomes,
    overload,
    patience,
    prompts,
    quarantine,
    stalls,
    stopping,
    upstreams,
)
from sycamorefall.direct import (
    state as state_module,
)

STALL_CHECK_INTERVAL = 0.1
"""Seconds between two looks for upstreams that say nothing."""

OTHER_ROUTER_RETRY_AFTER = 0.1
"""Seconds after which a caller that only this router can't serve is to come
back; enough for its next connection to reach another one."""

DISPATCH_INTERVAL = 0.01
"""Seconds between two looks whether a waiting request can go: load that other
routers report, and upstreams whose pause ended, call for no look."""


def apply_catalog(
    state: state_module.DirectState, now: float, new: catalog.Catalog
) -> list[effects.Effect]:
    """Brings a configuration into force, unless a later one is.

    Waiting requests are judged anew: their key may be gone, or their route.

    Args:
        state: The router; changed.
        now: This process's time.
        new: The configuration.

    Returns:
        What is to be done.
    """
    if state.catalog is not None and new.version <= state.catalog.version:
        return []
    state.catalog = new
    state.dispatch_needed = True
    waiting_ones = [one for one in state.requests.values() if not one.attempt]
    done: list[effects.Effect] = []
    for request in waiting_ones:
        judged = _admit(state, now, request.new)
        if isinstance(judged, result.Failure):
            done.append(effects.AnswerError(request.number, judged.failure()))
            outcomes.discard_request(state, request)
            continue
        route, team = judged.unwrap()
        dispatching.dequeue_request(state, request)
        request.route, request.team = route, team
        # Recomputed on next use, since it depends on the team.
        request.fingerprint = b""
        request.service = catalog.choose_service(route, state.random.random())
        dispatching.enqueue_request(state, request)
    return done


def apply_listing(
    state: state_module.DirectState,
    now: float,
    listing: list[upstreams.UpstreamEntry],
) -> list[str]:
    """Takes over a listing of upstreams; returns names no longer used."""
    state.dispatch_needed = True
    return upstreams.replace_listing(state.table, now, listing)


def record_proof(
    state: state_module.DirectState, now: float, proven_at: float
) -> None:
    """Takes note of when all that is in force was the newest for certain."""
    freshness.record_proof(state.freshness, proven_at)
    upstreams.confirm_listing(state.table, now, proven_at)


def begin_stop(state: state_module.DirectState, now: float) -> None:
    """Makes the router report that it is not ready; it goes on serving."""
    state.stop.since = now


def list_unready_reasons(
    state: state_module.DirectState, now: float
) -> list[str]:
    """Lists why callers had better be sent to another router."""
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
    new: state_module.NewRequest,
) -> result.Result[tuple[catalog.Route, str], errors.ErrorKind]:
    """Judges whether a request has a route and may use it."""
    known = state.catalog
    if known is None:
        return result.Failure(errors.ErrorKind.NOT_READY)
    route = catalog.find_route(known, new.host, new.path)
    if route is None:
        return result.Failure(errors.ErrorKind.UNKNOWN_SERVICE)
    if route.public or not known.requires_key:
        return result.Success((route, ""))
    if not freshness.is_fresh(state.freshness, now):
        return result.Failure(errors.ErrorKind.NOT_READY)
    team = known.teams.get(new.key)
    if team is None:
        return result.Failure(errors.ErrorKind.UNKNOWN_TEAM)
    return result.Success((route, team.name))


def handle_request(
    state: state_module.DirectState,
    now: float,
    new: state_module.NewRequest,
) -> tuple[int, list[effects.Effect]]:
    """Takes a caller's request: it is sent, waits or is refused.

    Args:
        state: The router; changed.
        now: This process's time.
        new: The request.

    Returns:
        The request's number and what is to be done.
    """
    state.last_number += 1
    number = state.last_number
    judged = _admit(state, now, new)
    if isinstance(judged, result.Failure):
        kind = judged.failure()
        pause = _choose_pause(state, kind)
        return number, [effects.AnswerError(number, kind, pause)]
    route, team = judged.unwrap()
    if state.quarantine.quarantined:
        fingerprint = fingerprints.compute_fingerprint(new, team)
        if quarantine.is_quarantined(state.quarantine, fingerprint):
            quarantine.extend_quarantine(state.quarantine, now, fingerprint)
            kind = errors.ErrorKind.QUARANTINED
            return number, [
                effects.AnswerError(number, kind, fingerprint=fingerprint)
            ]
    left = route.timeout
    if new.time_left is not None:
        left = min(left, new.time_left)
    if not stopping.may_accept(state.stop, now, now + left):
        kind = errors.ErrorKind.STOPPING
        return number, [
            effects.AnswerError(number, kind, _choose_pause(state, kind))
        ]
    wait = min(left, dispatching.MAX_WAIT_SHARE * route.target_latency)
    request = state_module.Request(
        number,
        new,
        route,
        catalog.choose_service(route, state.random.random()),
        team,
        now,
        answer_by=now + left,
        target_at=now + route.target_latency - _read_elapsed(state, route, new),
        give_up_at=now + wait,
    )
    state.requests[number] = request
    if new.prompt is not None:
        key = new.prompt.home_key
        request.part_uses = prompts.record_use(state.uses, now, key)
        known = state_module.get_or_create_recent_targets(
            state, request.service
        )
        latency_targets.record_target(known, now, route.target_latency)
    budget.count_request(
        dispatching.get_or_create_budget(state, request.service), now
    )
    heapq.heappush(state.deadlines, (request.answer_by, number))
    heapq.heappush(state.deadlines, (request.give_up_at, number))
    room = state.service_queues.get(request.service)
    if room is None or not room.by_team:
        sent = dispatching.try_send(state, now, request)
        if sent:
            return number, sent
    if dispatching.is_retry_delay_too_long(state, now, request):
        return number, outcomes.fail_request(state, request, now)
    dispatching.enqueue_request(state, request)
    return number, []


def _choose_pause(
    state: state_module.DirectState, kind: errors.ErrorKind
) -> float | None:
    """Chooses when a refused caller is to come back, in seconds.

    One that this router alone can't serve is to come back at once: it opens
    a new connection, and the balancer gives that to another router.
    """
    if kind in (errors.ErrorKind.NOT_READY, errors.ErrorKind.STOPPING):
        return OTHER_ROUTER_RETRY_AFTER
    return (
        outcomes.draw_retry_after(state) if errors.ANSWERS[kind].retry else None
    )


def _read_elapsed(
    state: state_module.DirectState,
    route: catalog.Route,
    new: state_module.NewRequest,
) -> float:
    """Tells how long a caller has been asking already, in seconds."""
    if new.time_left is None:
        return 0.0
    known = state.patience.setdefault(route.name, patience.Patience())
    return patience.read_elapsed(known, new.time_left)


def cancel_request(
    state: state_module.DirectState, number: int, now: float
) -> list[effects.Effect]:
    """Ends a request whose caller has gone."""
    request = state.requests.get(number)
    if request is None:
        return []
    aborted = outcomes.abort_attempt(state, request, now)
    outcomes.discard_request(state, request)
    return aborted


def run_timers(
    state: state_module.DirectState, now: float
) -> list[effects.Effect]:
    """Does what has come due.

    Args:
        state: The router; changed.
        now: This process's time.

    Returns:
        What is to be done.
    """
    due = _expire_requests(state, now)
    if now >= quarantine.find_next_scan(state.quarantine):
        quarantine.drop_expired(state.quarantine, now)
    if now - state.stalls_checked_at >= STALL_CHECK_INTERVAL:
        state.stalls_checked_at = now
        due += stalls.handle_stalls(state, now)
    if _is_serving_due(state, now):
        state.last_dispatch_at = now
        due += dispatching.send_waiting_requests(state, now)
        state.dispatch_needed = False
    return due


def _is_serving_due(state: state_module.DirectState, now: float) -> bool:
    return _is_anyone_waiting(state) and now >= _find_next_look(state)


def _find_next_look(state: state_module.DirectState) -> float:
    """Tells when waiting requests are looked at next.

    At once if a place may have come free; but looks take a bounded part of
    the process's time, however many requests wait for however many engines.
    """
    pause = 0.0 if state.dispatch_needed else DISPATCH_INTERVAL
    return state.last_dispatch_at + max(pause, state.min_dispatch_interval)


def find_next_due(state: state_module.DirectState) -> float:
    """Tells when `run_timers` has something to do next."""
    due = state.deadlines[0][0] if state.deadlines else float("inf")
    if _is_anyone_waiting(state):
        due = min(due, _find_next_look(state))
    if state.running:
        due = min(due, state.stalls_checked_at + STALL_CHECK_INTERVAL)
    return min(due, quarantine.find_next_scan(state.quarantine))


def _is_anyone_waiting(state: state_module.DirectState) -> bool:
    return any(room.by_team for room in state.service_queues.values())


def _expire_requests(
    state: state_module.DirectState, now: float
) -> list[effects.Effect]:
    done: list[effects.Effect] = []
    while state.deadlines and state.deadlines[0][0] <= now:
        _, number = heapq.heappop(state.deadlines)
        request = state.requests.get(number)
        if request is None:
            continue
        if now >= request.answer_by:
            done += outcomes.expire_request(state, request, now)
        elif now >= request.give_up_at and request.attempt is None:
            done += outcomes.fail_request(state, request, now)
    return done
