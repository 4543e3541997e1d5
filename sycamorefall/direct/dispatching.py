"""Sends requests to upstreams, at once or from the waiting rooms."""

__all__ = [
    "MAX_WAIT_SHARE",
    "MIN_TIME_LEFT",
    "dequeue_request",
    "enqueue_request",
    "explain_refusal",
    "get_or_create_budget",
    "is_quarantined",
    "is_retry_delay_too_long",
    "send_waiting_requests",
    "try_send",
]

import heapq
import math

from sycamorefall.direct import (
    budget,
    caches,
    catalog,
    effects,
    eligibility,
    fair_queue,
    fetching,
    fingerprints,
    freshness,
    placement_constraints,
    prompts,
    quarantine,
    upstream_selection,
    upstreams,
)
from sycamorefall.direct import (
    state as state_module,
)

MAX_WAIT_SHARE = 0.8
"""Part of its target latency that a request waits at most for its first send;
after that it would be late, and is refused with a time to come back."""

CHECK_TIME = 0.7e-6
"""Seconds that it takes to check whether an engine can take a request: 0.2 to
0.7 us were measured with 26 engines, 30 teams waiting."""

LOOK_SHARE = 0.1
"""Part of a process's time that looks at waiting requests may take. Without a
bound, a flood at one router of a large fleet had it look without pause: its
callers got no answer, also those of plain services."""

KEPT_SHARE = 0.5
"""Part of the connections that an upstream takes of all callers which routers
may keep idle, together. Without a bound, 28 routers that kept 32 each filled
the 230 of a plain service: it reset a third of the new connections, and 40% of
the requests that may not be sent twice ended with an unknown outcome."""

MIN_TIME_LEFT = 0.01
"""Seconds that must be left of a request's time for a send to make sense."""


def get_or_create_budget(
    state: state_module.DirectState, service: str
) -> budget.RetryBudget:
    """Finds the budget of second sends of a service."""
    known = state.budgets.get(service)
    if known is None:
        bounds = state.bounds
        known = state.budgets[service] = budget.RetryBudget(
            bounds.retry_ratio, bounds.retry_extra, bounds.retry_window
        )
    budget.record_routers(known, state.routers)
    return known


def enqueue_request(
    state: state_module.DirectState, request: state_module.Request
) -> None:
    """Has a request wait."""
    room = state.service_queues.setdefault(
        request.service, fair_queue.ServiceQueue()
    )
    target = request.route.target_latency
    fair_queue.add_request(room, request.team, request.number, target)


def dequeue_request(
    state: state_module.DirectState, request: state_module.Request
) -> None:
    """Ends a request's wait, if it waits."""
    room = state.service_queues.get(request.service)
    if room is not None:
        fair_queue.remove_request(room, request.team, request.number)


def try_send(
    state: state_module.DirectState,
    now: float,
    request: state_module.Request,
    group: eligibility.EngineGroup | None = None,
) -> list[effects.Effect]:
    """Sends a request if an upstream has room for it.

    Args:
        state: The router; changed.
        now: This process's time.
        request: A request that is nowhere.
        group: Engines of its service with a free slot, if they were listed
            since the last send.

    Returns:
        The send, or nothing if it has to wait.
    """
    service = state.catalog.services.get(request.service)
    if service is None or request.answer_by - now < MIN_TIME_LEFT:
        return []
    if request.team and not freshness.is_fresh(state.freshness, now):
        return []
    if is_quarantined(state, request):
        return []
    if group is None:
        group = _list_group(state, now, request.service)
    is_engine = request.new.prompt is not None and service.engine is not None
    if is_engine and not group.engine_loads:
        return []
    constraints = placement_constraints.compute_constraints(state, now, request)
    chosen = upstream_selection.choose_upstream(
        state.table, now, service, constraints, state.failure_domain, group
    )
    if chosen is None:
        return []
    if request.sends and not budget.take_retry(
        get_or_create_budget(state, request.service), now
    ):
        return []
    return [_send(state, now, request, chosen, service)]


def is_retry_delay_too_long(
    state: state_module.DirectState,
    now: float,
    request: state_module.Request,
) -> bool:
    """Tells whether all upstreams' retry delays outlast a request's wait."""
    end = upstreams.find_retry_delay_end(state.table, now, request.service)
    return end is not None and end >= request.give_up_at


def is_quarantined(
    state: state_module.DirectState, request: state_module.Request
) -> bool:
    """Tells whether a request is quarantined, so no upstream may get it."""
    known = state.quarantine
    return bool(known.quarantined) and quarantine.is_quarantined(
        known, fingerprints.get_fingerprint(request)
    )


def explain_refusal(
    state: state_module.DirectState,
    now: float,
    request: state_module.Request,
) -> effects.Refusal:
    """Tells what decides that a request is refused.

    Args:
        state: The router.
        now: This process's time.
        request: A request that is nowhere.

    Returns:
        What its log line is to say.
    """
    service = state.catalog.services.get(request.service)
    obstacles = {}
    if service is not None:
        constraints = placement_constraints.compute_constraints(
            state, now, request
        )
        obstacles = upstream_selection.count_obstacles(
            state.table, now, service, constraints
        )
    accounts = state_module.get_or_create_accounts(state, request.service)
    group = upstreams.list_upstreams(state.table, request.service)
    floor = min((one.floor for one in group), default=math.inf)
    proven_at = state.table.proven_at
    return effects.Refusal(
        {obstacle.value: count for obstacle, count in obstacles.items()},
        _reckon_cost(request),
        int(fair_queue.compute_received(accounts, now, request.team)),
        int(accounts.most),
        _describe_floor(floor),
        state.routers,
        state.catalog.version,
        None if proven_at is None else round(now - proven_at, 3),
    )


def _send(
    state: state_module.DirectState,
    now: float,
    request: state_module.Request,
    chosen: upstreams.Upstream,
    service: catalog.Service,
) -> effects.SendRequest:
    idle = service.engine is not None and (
        eligibility.measure_engine_load(chosen, service.engine, now).idle
    )
    request.sends += 1
    request.tried.add(chosen.listed.name)
    attempt = state_module.Attempt(
        request.sends, chosen.listed.name, now, chosen.listed.born
    )
    request.attempt = attempt
    state.running += 1
    if not chosen.own.running:
        # Its silence so far meant nothing.
        chosen.last_byte_at = now
    chosen.own.running += 1
    upstreams.record_sent(chosen)
    prompt, begins_in, fetch = request.new.prompt, None, None
    cost, received = _reckon_cost(request), 0.0
    if prompt is not None and service.engine is not None:
        fetch = fetching.choose_source(
            state.table, now, service, prompt, chosen
        )
        attempt.unread = eligibility.count_uncached_tokens(
            chosen, prompt, home=False
        )
        if fetch is not None:
            attempt.unread -= fetching.count_saved_tokens(
                fetch, chosen, service
            )
        chosen.own.unread += attempt.unread
        state.total_unread_sent += attempt.unread
        attempt.queued = chosen.unread
        begins_in = (
            eligibility.FIRST_TOKEN_OVERHEAD
            + attempt.queued / chosen.prefill_rate
        )
        attempt.memory = prompt.tokens + prompt.output
        chosen.own.memory += attempt.memory
        _note_placement(state, chosen, prompt, service.engine)
        attempt.cost, attempt.charged_at = cost, now
        accounts = state_module.get_or_create_accounts(state, request.service)
        received = fair_queue.compute_received(accounts, now, request.team)
        fair_queue.charge_team(accounts, now, request.team, cost)
    return effects.SendRequest(
        request.number,
        attempt.number,
        chosen.listed.name,
        chosen.listed.address,
        request.answer_by - now,
        request.team,
        # A kept connection may be closed as the request is on its way, which
        # leaves open whether it ran; one that may not be repeated is then
        # lost. The new connection costs a millisecond.
        fresh=request.route.kind is catalog.RouteKind.AT_MOST_ONCE,
        keep=_count_kept(service, state.routers),
        running=chosen.running,
        reads=attempt.unread,
        unread=chosen.unread,
        begins_in=begins_in and round(begins_in, 3),
        source=fetch and fetch.source.listed.address,
        fetches=fetch.tokens if fetch else 0,
        cost=cost,
        received=int(received),
        floor=_describe_floor(chosen.floor),
        idle=idle,
    )


def _reckon_cost(request: state_module.Request) -> int:
    """Reckons the cost units of a request; 0 of one that asks no engine."""
    prompt = request.new.prompt
    if prompt is None:
        return 0
    return prompt.tokens + prompts.OUTPUT_WEIGHT * prompt.output


def _describe_floor(floor: float) -> int | None:
    return None if floor == math.inf else int(floor)


def _count_kept(service: catalog.Service, routers: int) -> int | None:
    """Counts the idle connections that this router may keep to an upstream."""
    if not service.max_connections:
        return None
    return int(KEPT_SHARE * service.max_connections / routers)


def _note_placement(
    state: state_module.DirectState,
    chosen: upstreams.Upstream,
    prompt: prompts.Prompt,
    engine: catalog.Engine,
) -> None:
    """Takes note of what an engine will hold, for the other routers too."""
    if engine.fetch_rate and prompt.shared >= fetching.MIN_FETCH_TOKENS:
        held = caches.count_cached_tokens(chosen.cache, prompt)
        new_tokens = max(0, prompt.shared - held)
        placement = state_module.Placement(
            chosen.listed.name, prompt, new_tokens
        )
        state.placements.append(placement)
    caches.record_parts(chosen.cache, prompt.digests, engine.kv_capacity_tokens)


def send_waiting_requests(
    state: state_module.DirectState, now: float
) -> list[effects.Effect]:
    """Sends waiting requests while there is room, least served team first.

    Args:
        state: The router; changed.
        now: This process's time.

    Returns:
        What is to be done.
    """
    sent: list[effects.Effect] = []
    checks = 0
    for service, room in state.service_queues.items():
        tries, effects_of_room = _serve_room(state, now, service, room)
        sent += effects_of_room
        group = upstreams.list_upstreams(state.table, service)
        checks += tries * len(group)
    state.min_dispatch_interval = checks * CHECK_TIME / LOOK_SHARE
    return sent


def _serve_room(
    state: state_module.DirectState,
    now: float,
    service: str,
    room: fair_queue.ServiceQueue,
) -> tuple[int, list[effects.Effect]]:
    """Serves one room; returns the requests tried and what is to be done.

    Room at the engines only shrinks while requests are sent, so a team for
    which there is none is not tried again.
    """
    accounts = state_module.get_or_create_accounts(state, service)
    sent: list[effects.Effect] = []
    tries = 0
    teams = [
        (fair_queue.compute_received(accounts, now, team), team)
        for team in room.by_team
    ]
    heapq.heapify(teams)
    group = _list_group(state, now, service)
    while teams:
        _, team = heapq.heappop(teams)
        for number in fair_queue.list_candidates(room, team):
            tries += 1
            request = state.requests[number]
            done = try_send(state, now, request, group)
            if done:
                group = _list_group(state, now, service)
                fair_queue.remove_request(room, team, number)
                sent += done
                received = fair_queue.compute_received(accounts, now, team)
                heapq.heappush(teams, (received, team))
                break
    return tries, sent


def _list_group(
    state: state_module.DirectState, now: float, service: str
) -> eligibility.EngineGroup:
    """Lists the engines of a service that have a free slot."""
    known = state.catalog.services.get(service)
    engine_loads = (
        upstream_selection.list_engine_loads(state.table, now, known)
        if known
        else []
    )
    return eligibility.summarize_group(engine_loads)
