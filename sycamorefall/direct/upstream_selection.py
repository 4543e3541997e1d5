"""Selects the upstream that a request is sent to.

An engine that has the shared parts of a prompt in its KV cache skips most of
the prefill of a long prompt. Requests with the same last shared part are
therefore routed to the same engines, the homes of the part (see `homes`). A
request goes elsewhere if the queue at its homes costs more than computing the
part again on another engine.
"""

__all__ = [
    "choose_upstream",
    "count_obstacles",
    "list_awaited_engines",
    "list_engine_loads",
]

import collections
from collections.abc import Iterable

from sycamorefall.direct import catalog as catalog_module
from sycamorefall.direct import (
    eligibility,
    engine_measurement,
    pacing,
    prompts,
    speed,
)
from sycamorefall.direct import homes as homes_module
from sycamorefall.direct import upstreams as upstreams_module
from sycamorefall.direct.upstreams import Upstream

REREAD_WEIGHT = 3.0
"""Weight of a second of prefill that repeats a shared part, relative to a
second in the queue. Repeated prefill also delays all requests that run on the
engine and evicts other parts from its cache."""

FAILURE_COST = 0.6
"""Cost in seconds of a failure, multiplied by the upstream's failure rate."""

BATCH_COST = 0.04
"""Cost in seconds of a full batch, in which each token takes longer to
generate. A partly filled batch costs a proportional part."""

PLAIN_REQUEST_SECONDS = 0.045
"""Approximate duration in seconds of a request of a plain service."""

PLAIN_QUEUE_FACTOR = 2
"""Maximum number of concurrent requests at an upstream of a plain service, as
a multiple of its slots."""

REMOTE_DOMAIN_COST = 0.004
"""Cost in seconds of an upstream of a plain service in another failure
domain."""

REMOTE_ENGINE_COST = 0.05
"""Cost in seconds of an engine in another failure domain. Traffic between
domains is billed, so a request crosses only if it would wait noticeably longer
in its own domain, or to an engine that holds a long shared part."""


def choose_upstream(
    table: upstreams_module.UpstreamTable,
    now: float,
    service: catalog_module.Service,
    constraints: eligibility.PlacementConstraints,
    failure_domain: str,
    group: engine_measurement.EngineGroup,
) -> Upstream | None:
    """Chooses the upstream with the lowest estimated cost for a request.

    Args:
        table: All upstreams.
        now: Current time of this process's clock.
        service: Service of the request.
        constraints: Placement constraints of the request.
        failure_domain: Failure domain of this router.
        group: Engines of the service with a free slot.

    Returns:
        The upstream; None if no upstream can take the request now.
    """
    if constraints.prompt is None or service.engine is None:
        usable = _list_usable(table, now, service, constraints)
        return _choose_plain_upstream(usable, now, failure_domain)
    prompt, engine = constraints.prompt, service.engine
    candidates = [
        one
        for one in eligibility.prefilter_engines(group, constraints)
        if not eligibility.is_excluded(one.upstream, constraints)
        and eligibility.find_load_obstacle(one, engine, constraints) is None
    ]
    if not candidates:
        return None
    homes = homes_module.list_homes(table, now, service, constraints)
    costs = [
        (
            _estimate_cost(one.upstream, now, prompt, engine, is_home)
            + REMOTE_ENGINE_COST
            * (one.upstream.listed.failure_domain != failure_domain),
            one.upstream,
        )
        for one in candidates
        for is_home in [one.upstream in homes]
        if eligibility.find_obstacle(one, engine, constraints, is_home) is None
    ]
    return min(costs, key=lambda pair: pair[0], default=(0.0, None))[1]


def list_engine_loads(
    table: upstreams_module.UpstreamTable,
    now: float,
    service: catalog_module.Service,
    full: bool = False,
) -> list[engine_measurement.EngineLoad]:
    """Measures the loads of a service's usable engines.

    Args:
        table: All upstreams.
        now: Current time of this process's clock.
        service: The service.
        full: Whether to include engines without a free slot.

    Returns:
        The load of each engine; empty for a plain service.
    """
    engine = service.engine
    if engine is None:
        return []
    engine_loads = [
        engine_measurement.measure_engine_load(one, engine, now)
        for one in upstreams_module.list_upstreams(table, service.name)
        if (full or one.running < engine.slots)
        and upstreams_module.is_usable(one, now)
    ]
    engine_measurement.fill_unknown_gaps(engine_loads)
    return engine_loads


def _list_usable(
    table: upstreams_module.UpstreamTable,
    now: float,
    service: catalog_module.Service,
    constraints: eligibility.PlacementConstraints,
) -> list[Upstream]:
    return [
        one
        for one in upstreams_module.list_upstreams(table, service.name)
        if not eligibility.is_excluded(one, constraints)
        and upstreams_module.is_usable(one, now)
    ]


def count_obstacles(
    table: upstreams_module.UpstreamTable,
    now: float,
    service: catalog_module.Service,
    constraints: eligibility.PlacementConstraints,
) -> dict[eligibility.Obstacle, int]:
    """Counts a service's upstreams by the obstacle to a request.

    Args:
        table: All upstreams.
        now: Current time of this process's clock.
        service: Service of the request.
        constraints: Placement constraints of the request.

    Returns:
        Number of upstreams by obstacle, without those that could take the
        request.
    """
    usable = _list_usable(table, now, service, constraints)
    usable_names = {one.listed.name for one in usable}
    counts = collections.Counter(
        _classify_unusable(one, now, constraints)
        for one in upstreams_module.list_upstreams(table, service.name)
        if one.listed.name not in usable_names
    )
    if constraints.prompt is None or service.engine is None:
        full = [one for one in usable if not _has_room(one)]
        counts[eligibility.Obstacle.SLOTS] = len(full)
    else:
        homes = homes_module.list_homes(table, now, service, constraints)
        counts.update(
            _find_obstacle(one, now, service.engine, constraints, one in homes)
            for one in usable
        )
        del counts[None]
    return {obstacle: count for obstacle, count in counts.items() if count}


def _classify_unusable(
    upstream: Upstream,
    now: float,
    constraints: eligibility.PlacementConstraints,
) -> eligibility.Obstacle:
    """Returns why an upstream can't take a request, whatever its load."""
    if constraints.origin not in (None, upstream.origin):
        return eligibility.Obstacle.VERSION
    if upstream.evacuated:
        return eligibility.Obstacle.EVACUATED
    if pacing.allows_send(upstream.pacing, now):
        return eligibility.Obstacle.UNUSABLE
    return eligibility.Obstacle.COLD


def _find_obstacle(
    upstream: Upstream,
    now: float,
    engine: catalog_module.Engine,
    constraints: eligibility.PlacementConstraints,
    is_home: bool,
) -> eligibility.Obstacle | None:
    """Finds the obstacle to a request at a usable engine.

    At a full service the reread limit rules out most engines. It depends on
    the cache only, so it is checked before the engine's load is measured.
    """
    if (
        not constraints.allow_reread_if_idle
        and eligibility.exceeds_reread_limit(upstream, constraints, is_home)
    ):
        return eligibility.Obstacle.READS_AGAIN
    engine_load = engine_measurement.measure_engine_load(upstream, engine, now)
    return eligibility.find_obstacle(engine_load, engine, constraints, is_home)


def list_awaited_engines(
    table: upstreams_module.UpstreamTable,
    now: float,
    service: catalog_module.Service,
    constraints: eligibility.PlacementConstraints,
    engine_loads: Iterable[engine_measurement.EngineLoad],
) -> list[Upstream]:
    """Lists the engines that could take a request if their load were lower.

    Args:
        table: All upstreams.
        now: Current time of this process's clock.
        service: Service of the request.
        constraints: Placement constraints of the request.
        engine_loads: Loads of the usable engines to consider.

    Returns:
        The engines by increasing estimated cost; empty if the request is not
        for an engine or its response can no longer start in time.
    """
    if (
        constraints.prompt is None
        or constraints.time_left < eligibility.FIRST_TOKEN_OVERHEAD
    ):
        return []
    homes = homes_module.list_homes(table, now, service, constraints)
    found = [
        one.upstream
        for one in engine_loads
        if not eligibility.is_excluded(one.upstream, constraints)
        and eligibility.is_awaited(
            one, service.engine, constraints, one.upstream in homes
        )
    ]

    def estimate_cost(upstream: Upstream) -> float:
        return _estimate_cost(
            upstream, now, constraints.prompt, service.engine, upstream in homes
        )

    return sorted(found, key=estimate_cost)


def _has_room(upstream: Upstream) -> bool:
    return upstream.running < PLAIN_QUEUE_FACTOR * upstream.listed.slots


def _choose_plain_upstream(
    usable: list[Upstream], now: float, failure_domain: str
) -> Upstream | None:
    """Chooses the upstream of a plain service with the lowest cost."""

    def estimate_cost(upstream: Upstream) -> float:
        queued = (
            PLAIN_REQUEST_SECONDS
            * upstream.running
            / max(1, upstream.listed.slots)
        )
        remote = REMOTE_DOMAIN_COST * (
            upstream.listed.failure_domain != failure_domain
        )
        failing = upstreams_module.compute_failure_rate(upstream, now)
        return queued + remote + FAILURE_COST * failing

    return min(filter(_has_room, usable), key=estimate_cost, default=None)


def _estimate_cost(
    upstream: Upstream,
    now: float,
    prompt: prompts.Prompt,
    engine: catalog_module.Engine,
    is_home: bool,
) -> float:
    """Estimates the cost in seconds of sending a prompt to an engine."""
    own_tokens = prompt.tokens - prompt.shared
    reread = eligibility.count_reread_tokens(upstream, prompt, is_home)
    prefill = (
        upstream.unread + own_tokens + REREAD_WEIGHT * reread
    ) / upstream.prefill_rate
    scale = speed.compute_usual_scale(upstream.speed)
    batch = BATCH_COST * scale * upstream.running / engine.slots
    failing = upstreams_module.compute_failure_rate(upstream, now)
    return prefill + batch + FAILURE_COST * failing
