"""Sends requests to upstreams, on arrival or from the service queues."""

__all__ = [
    "MAX_TIME_SHARE",
    "MAX_WAIT_SHARE",
    "MIN_TIME_LEFT",
    "dequeue_request",
    "enqueue_request",
    "explain_refusal",
    "find_place",
    "get_or_create_budget",
    "is_quarantined",
    "is_retry_delay_too_long",
    "measure_free_engines",
    "send_to",
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
    engine_measurement,
    fair_queue,
    fetching,
    freshness,
    known_parts,
    leads,
    placement_constraints,
    prompts,
    speed,
    suspects,
    upstream_selection,
    upstreams,
)
from sycamorefall.direct import (
    state as state_module,
)

MAX_WAIT_SHARE = 0.8
"""Maximum wait of a request for its first send, as a fraction of its target
latency. A request that waited longer would be late, so it is refused with a
Retry-After."""

MAX_TIME_SHARE = 0.5
"""Maximum wait of a request as a fraction of the time until its deadline. A
caller that retries has little time left: the rest is for the response, or for
the caller to learn that its request did not run."""

CHECK_SECONDS = 0.7e-6
"""Seconds that a check whether an engine can take a request takes: 0.2 to 0.7
us were measured with 26 engines and 30 waiting teams."""

MAX_DISPATCH_SHARE = 0.1
"""Largest fraction of a process's time that dispatch passes over waiting
requests may take. Without a limit, a router of a large fleet that received a
flood ran them without pause, and its callers, including those of plain
services, got no response."""

IDLE_CONNECTION_SHARE = 0.5
"""Largest fraction of an upstream's connection limit that idle connections of
all routers together may use. Without a limit, 28 routers with 32 idle
connections each filled the 230 of a plain service. It reset a third of the new
connections, and 40% of the requests that must not be sent twice ended with an
unknown outcome."""

MIN_TIME_LEFT = 0.01
"""Minimum number of seconds before a request's deadline for a send."""


def get_or_create_budget(
    state: state_module.DirectState, service: str
) -> budget.RetryBudget:
    """Looks up a service's retry budget, creating it if missing.

    The budget's number of routers is raised to the current one.
    """
    known = state.budgets.get(service)
    if known is None:
        bounds = state.bounds
        known = state.budgets[service] = budget.RetryBudget(
            bounds.retry_ratio,
            bounds.retry_extra,
            bounds.retry_window,
            state.started_at,
        )
    budget.record_routers(known, state.routers)
    return known


def enqueue_request(
    state: state_module.DirectState, request: state_module.Request
) -> None:
    """Adds a request to the queue of its service."""
    service_queue = state.service_queues.setdefault(
        request.service, fair_queue.ServiceQueue()
    )
    fair_queue.add_request(
        service_queue,
        request.team,
        request.number,
        request.route.target_latency,
        request.origin,
    )


def dequeue_request(
    state: state_module.DirectState, request: state_module.Request
) -> None:
    """Removes a request from the queue of its service, if it is queued."""
    service_queue = state.service_queues.get(request.service)
    if service_queue is not None:
        fair_queue.remove_request(service_queue, request.team, request.number)


def try_send(
    state: state_module.DirectState,
    now: float,
    request: state_module.Request,
    group: engine_measurement.EngineGroup | None = None,
) -> list[effects.Effect]:
    """Sends a request if an upstream can take it now.

    Args:
        state: The router's state; changed.
        now: Current time of this process's clock.
        request: A request without an attempt in progress.
        group: Engines of the service with a free slot, if they were measured
            since the last send; measured here otherwise.

    Returns:
        The effect that sends the request; empty if it is not sent now.
    """
    chosen = find_place(state, now, request, group)
    if chosen is None:
        return []
    if request.arrivals and not budget.take_retry(
        get_or_create_budget(state, request.service), now
    ):
        return []
    return [send_to(state, now, request, chosen)]


def find_place(
    state: state_module.DirectState,
    now: float,
    request: state_module.Request,
    group: engine_measurement.EngineGroup | None = None,
    constraints: eligibility.PlacementConstraints | None = None,
) -> upstreams.Upstream | None:
    """Finds the upstream that a request can be sent to now.

    Args:
        state: The router's state.
        now: Current time of this process's clock.
        request: The request.
        group: Engines of the service with a free slot; measured here if None.
        constraints: Placement constraints; those of a waiting request if None.

    Returns:
        The upstream; None if no upstream can take the request now.
    """
    service = state.catalog.services.get(request.service)
    if service is None or request.deadline - now < MIN_TIME_LEFT:
        return None
    if request.team and not freshness.is_fresh(state.freshness, now):
        return None
    if is_quarantined(state, request):
        return None
    if group is None:
        group = measure_free_engines(state, now, request.service)
    is_engine = (
        request.incoming.prompt is not None and service.engine is not None
    )
    if is_engine and not group.engine_loads:
        return None
    if constraints is None:
        constraints = placement_constraints.compute_constraints(
            state, now, request
        )
    return upstream_selection.choose_upstream(
        state.table, now, service, constraints, state.failure_domain, group
    )


def is_retry_delay_too_long(
    state: state_module.DirectState,
    now: float,
    request: state_module.Request,
) -> bool:
    """Returns whether all upstreams' retry delays outlast a request's wait.

    An evacuated upstream counts as one with an endless delay.
    """
    end = upstreams.find_retry_delay_end(
        state.table, now, request.service, request.origin
    )
    return end is not None and end >= request.give_up_at


def is_quarantined(
    state: state_module.DirectState, request: state_module.Request
) -> bool:
    """Returns whether a request is quarantined, so no upstream may get it."""
    return bool(suspects.find_quarantined(state, request))


def explain_refusal(
    state: state_module.DirectState,
    now: float,
    request: state_module.Request,
) -> effects.Refusal:
    """Collects the data behind a refusal, for its log record.

    Args:
        state: The router's state.
        now: Current time of this process's clock.
        request: A request without an attempt in progress.

    Returns:
        The obstacles at the service's upstreams and the accounts of its teams.
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
        _compute_cost(request),
        int(fair_queue.compute_received(accounts, now, request.team)),
        int(accounts.max_received),
        _encode_limit(floor),
        state.routers,
        state.catalog.version,
        None if proven_at is None else round(now - proven_at, 3),
    )


def send_to(
    state: state_module.DirectState,
    now: float,
    request: state_module.Request,
    chosen: upstreams.Upstream,
) -> effects.SendRequest:
    """Starts an attempt at an upstream; updates its load and the accounts.

    Args:
        state: The router's state; changed.
        now: Current time of this process's clock.
        request: A request without an attempt in progress.
        chosen: The upstream, from `find_place`.

    Returns:
        The effect that sends the request.
    """
    service = state.catalog.services[request.service]
    idle = service.engine is not None and (
        engine_measurement.measure_engine_load(chosen, service.engine, now).idle
    )
    request.sends += 1
    request.tried.add(chosen.listed.name)
    attempt = state_module.Attempt(
        request.sends,
        chosen.listed.name,
        chosen,
        now,
        chosen.listed.start_time,
        origin=chosen.origin,
    )
    request.attempt = attempt
    state.running += 1
    if not chosen.own_load.running:
        # The upstream had nothing to send, so it was not stalled.
        chosen.last_byte_at, chosen.stalled_at = now, None
    chosen.own_load.running += 1
    attempt.is_probe = upstreams.record_sent(chosen, now)
    prompt, begins_in, fetch = request.incoming.prompt, None, None
    cost, received = _compute_cost(request), 0.0
    if prompt is not None and service.engine is not None:
        fetch = fetching.choose_source(
            state.table, now, service, prompt, chosen
        )
        attempt.unread = eligibility.count_uncached_tokens(
            chosen, prompt, is_home=False
        )
        if fetch is not None:
            attempt.unread -= fetching.count_saved_tokens(
                fetch, chosen, service
            )
        chosen.own_load.unread += attempt.unread
        state.total_unread_sent += attempt.unread
        attempt.queued = chosen.unread
        begins_in = (
            eligibility.FIRST_TOKEN_OVERHEAD
            + attempt.queued / chosen.prefill_rate
        )
        attempt.memory = prompt.tokens + prompt.output
        chosen.own_load.memory += attempt.memory
        _record_placement(state, chosen, prompt, service.engine)
        attempt.cost, attempt.charged_at = cost, now
        accounts = state_module.get_or_create_accounts(state, request.service)
        received = fair_queue.compute_received(accounts, now, request.team)
        fair_queue.charge_team(accounts, now, request.team, cost)
        leads.record_cost(accounts, service.engine, prompt)
    return effects.SendRequest(
        request.number,
        attempt.number,
        chosen.listed.name,
        chosen.listed.address,
        request.deadline - now,
        request.team,
        # The upstream may close an idle connection while the request is in
        # transit, which leaves unknown whether the request ran. A request that
        # must not be repeated would then be lost. A new connection takes a
        # millisecond.
        requires_new_connection=request.route.kind
        is catalog.RouteKind.AT_MOST_ONCE,
        max_idle_connections=_limit_idle_connections(service, state.routers),
        running=chosen.running,
        reads=attempt.unread,
        unread=chosen.unread,
        begins_in=begins_in and round(begins_in, 3),
        source=fetch and fetch.source.listed.address,
        fetches=fetch.tokens if fetch else 0,
        cost=cost,
        received=int(received),
        floor=_encode_limit(chosen.floor),
        idle=idle,
        scale=round(speed.compute_scale(chosen.speed, now), 2),
        pending_limit=_encode_limit(chosen.speed.pending_limit),
        software_version=chosen.listed.software_version,
    )


def _compute_cost(request: state_module.Request) -> int:
    """Computes the cost units of a request; 0 if it is not for an engine."""
    prompt = request.incoming.prompt
    if prompt is None:
        return 0
    return prompts.compute_cost(prompt)


def _encode_limit(limit: float) -> int | None:
    return None if limit == math.inf else int(limit)


def _limit_idle_connections(
    service: catalog.Service, routers: int
) -> int | None:
    """Limits this router's idle connections to an upstream; None: no limit."""
    if not service.max_connections:
        return None
    return int(IDLE_CONNECTION_SHARE * service.max_connections / routers)


def _record_placement(
    state: state_module.DirectState,
    chosen: upstreams.Upstream,
    prompt: prompts.Prompt,
    engine: catalog.Engine,
) -> None:
    """Adds a prompt to the engine's cache estimate.

    Prompts whose shared parts are worth fetching are also queued for the
    reports to the other routers.
    """
    if engine.fetch_rate and prompt.shared >= fetching.MIN_FETCH_TOKENS:
        cached = caches.count_cached_tokens(chosen.cache, prompt)
        new_tokens = max(0, prompt.shared - cached)
        placement = state_module.Placement(
            chosen.listed.name, prompt, new_tokens
        )
        state.placements.append(placement)
    known_parts.record_parts(state.known_parts, prompt.digests[:-1])
    caches.record_parts(chosen.cache, prompt.digests, engine.kv_capacity_tokens)


def send_waiting_requests(
    state: state_module.DirectState, now: float, checks: int = 0
) -> list[effects.Effect]:
    """Runs a dispatch pass: sends waiting requests, least served team first.

    The interval until the next pass is set in proportion to the checks made,
    see `MAX_DISPATCH_SHARE`.

    Args:
        state: The router's state; changed.
        now: Current time of this process's clock.
        checks: Number of checks that were made in the same pass before.

    Returns:
        The effects that send requests.
    """
    sent: list[effects.Effect] = []
    for service, service_queue in state.service_queues.items():
        tries, queue_effects = _send_from_queue(
            state, now, service, service_queue
        )
        sent += queue_effects
        group = upstreams.list_upstreams(state.table, service)
        checks += tries * len(group)
    state.min_dispatch_interval = checks * CHECK_SECONDS / MAX_DISPATCH_SHARE
    return sent


def _send_from_queue(
    state: state_module.DirectState,
    now: float,
    service: str,
    service_queue: fair_queue.ServiceQueue,
) -> tuple[int, list[effects.Effect]]:
    """Sends requests from one queue while the service's upstreams take any.

    The free capacity only shrinks during a pass, so a team none of whose
    candidates could be sent is not tried again.

    Returns:
        Number of tried requests, and the effects that send requests.
    """
    accounts = state_module.get_or_create_accounts(state, service)
    sent: list[effects.Effect] = []
    tries = 0
    teams = [
        (fair_queue.compute_received(accounts, now, team), team)
        for team in service_queue.by_team
    ]
    heapq.heapify(teams)
    group = measure_free_engines(state, now, service)
    while teams:
        _, team = heapq.heappop(teams)
        candidates = placement_constraints.list_candidates(
            state, now, service, service_queue, team
        )
        for number in candidates:
            tries += 1
            request = state.requests[number]
            done = try_send(state, now, request, group)
            if done:
                group = measure_free_engines(state, now, service)
                fair_queue.remove_request(service_queue, team, number)
                sent += done
                received = fair_queue.compute_received(accounts, now, team)
                heapq.heappush(teams, (received, team))
                break
    return tries, sent


def measure_free_engines(
    state: state_module.DirectState, now: float, service: str
) -> engine_measurement.EngineGroup:
    """Measures the engines of a service that have a free slot.

    Args:
        state: The router's state.
        now: Current time of this process's clock.
        service: Name of the service.
    """
    known = state.catalog.services.get(service)
    engine_loads = (
        upstream_selection.list_engine_loads(state.table, now, known)
        if known
        else []
    )
    return engine_measurement.summarize_group(engine_loads)
