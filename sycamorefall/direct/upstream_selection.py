"""Which upstream gets a request.

An engine that has read the shared part of a prompt before need not read it
again, which is most of a long prompt's work. So requests with the same last
shared part go to the same engine, found by rendezvous hashing that all routers
compute alike, unless waiting there costs more than reading anew elsewhere.
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
from sycamorefall.direct import eligibility, prompts
from sycamorefall.direct import homes as homes_module
from sycamorefall.direct import upstreams as upstreams_module
from sycamorefall.direct.upstreams import Upstream

READ_AGAIN = 3.0
"""Weight of reading a shared part again, against waiting as long: it delays
all that runs at the engine too, and pushes another part out of its cache."""

FAILURE_COST = 0.6
"""Seconds that a certain failure counts like."""

CROWD_COST = 0.04
"""Seconds that a full batch counts like: tokens come slower in it."""

PLAIN_WORK = 0.045
"""Seconds that a plain service's request takes, about."""

PLAIN_QUEUE = 2
"""Requests at a plain upstream at a time, as a multiple of its slots."""

AWAY_COST = 0.004
"""Seconds that another failure domain counts like, for plain services."""


def choose_upstream(
    table: upstreams_module.UpstreamTable,
    now: float,
    service: catalog_module.Service,
    constraints: eligibility.PlacementConstraints,
    failure_domain: str,
    group: eligibility.EngineGroup,
) -> Upstream | None:
    """Chooses the upstream that is to get a request now.

    Args:
        table: All upstreams.
        now: This process's time.
        service: The request's service.
        constraints: What the request needs.
        failure_domain: Where this router stands.
        group: Engines with a free slot.

    Returns:
        The upstream, or None if the request has to wait.
    """
    if constraints.prompt is None or service.engine is None:
        usable = _list_usable(table, now, service, constraints)
        return _choose_plain(usable, now, failure_domain)
    prompt, engine = constraints.prompt, service.engine
    uncrowded = [
        one
        for one in eligibility.prefilter_engines(group, constraints)
        if one.upstream.listed.name not in constraints.tried
        and eligibility.find_load_obstacle(one, engine, constraints) is None
    ]
    if not uncrowded:
        return None
    homes = homes_module.list_homes(table, now, service, constraints)
    costs = [
        (_weigh(one.upstream, now, prompt, engine, home), one.upstream)
        for one in uncrowded
        for home in [one.upstream in homes]
        if eligibility.find_obstacle(one, engine, constraints, home) is None
    ]
    return min(costs, key=lambda pair: pair[0], default=(0.0, None))[1]


def list_engine_loads(
    table: upstreams_module.UpstreamTable,
    now: float,
    service: catalog_module.Service,
    full: bool = False,
) -> list[eligibility.EngineLoad]:
    """Lists what the engines that may be used have to do now.

    Args:
        table: All upstreams.
        now: This process's time.
        service: The service.
        full: Whether engines without a free slot are listed too.

    Returns:
        One for each engine; none if the service has no engines.
    """
    engine = service.engine
    if engine is None:
        return []
    return [
        eligibility.measure_engine_load(one, engine, now)
        for one in upstreams_module.list_upstreams(table, service.name)
        if (full or one.running < engine.slots)
        and upstreams_module.is_usable(one, now)
    ]


def _list_usable(
    table: upstreams_module.UpstreamTable,
    now: float,
    service: catalog_module.Service,
    constraints: eligibility.PlacementConstraints,
) -> list[Upstream]:
    return [
        one
        for one in upstreams_module.list_upstreams(table, service.name)
        if one.listed.name not in constraints.tried
        and upstreams_module.is_usable(one, now)
    ]


def count_obstacles(
    table: upstreams_module.UpstreamTable,
    now: float,
    service: catalog_module.Service,
    constraints: eligibility.PlacementConstraints,
) -> dict[eligibility.Obstacle, int]:
    """Counts a service's upstreams by what keeps a request from them.

    Args:
        table: All upstreams.
        now: This process's time.
        service: The request's service.
        constraints: What the request needs.

    Returns:
        Upstreams by obstacle; those that could take the request are left out.
    """
    usable = _list_usable(table, now, service, constraints)
    group = upstreams_module.list_upstreams(table, service.name)
    counts = collections.Counter(
        {eligibility.Obstacle.UNUSABLE: len(group) - len(usable)}
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


def _find_obstacle(
    one: Upstream,
    now: float,
    engine: catalog_module.Engine,
    constraints: eligibility.PlacementConstraints,
    home: bool,
) -> eligibility.Obstacle | None:
    """Finds what keeps a request from an engine.

    Most engines of a full service are kept from it by what they hold, for
    which they need not be described.
    """
    if not constraints.anywhere_idle and eligibility.exceeds_reread_limit(
        one, constraints, home
    ):
        return eligibility.Obstacle.READS_AGAIN
    engine_load = eligibility.measure_engine_load(one, engine, now)
    return eligibility.find_obstacle(engine_load, engine, constraints, home)


def list_awaited_engines(
    table: upstreams_module.UpstreamTable,
    now: float,
    service: catalog_module.Service,
    constraints: eligibility.PlacementConstraints,
    engine_loads: Iterable[eligibility.EngineLoad],
) -> list[Upstream]:
    """Lists the engines that a request waits for.

    Args:
        table: All upstreams.
        now: This process's time.
        service: The request's service.
        constraints: What the request needs.
        engine_loads: Engines of the service that may be used; others aren't
            looked at.

    Returns:
        Those of the engines that would get it if they had room, the one that
        suits it best first.
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
        if one.upstream.listed.name not in constraints.tried
        and eligibility.is_awaited(
            one, service.engine, constraints, one.upstream in homes
        )
    ]

    def weigh(one: Upstream) -> float:
        return _weigh(
            one, now, constraints.prompt, service.engine, one in homes
        )

    return sorted(found, key=weigh)


def _has_room(one: Upstream) -> bool:
    return one.running < PLAIN_QUEUE * one.listed.slots


def _choose_plain(
    usable: list[Upstream], now: float, failure_domain: str
) -> Upstream | None:
    def weigh(one: Upstream) -> float:
        queued = PLAIN_WORK * one.running / max(1, one.listed.slots)
        away = AWAY_COST * (one.listed.failure_domain != failure_domain)
        failing = upstreams_module.compute_failure_rate(one, now)
        return queued + away + FAILURE_COST * failing

    return min(filter(_has_room, usable), key=weigh, default=None)


def _weigh(
    one: Upstream,
    now: float,
    prompt: prompts.Prompt,
    engine: catalog_module.Engine,
    home: bool,
) -> float:
    own = prompt.tokens - prompt.shared
    again = eligibility.count_reread_tokens(one, prompt, home)
    reading = (one.unread + own + READ_AGAIN * again) / one.prefill_rate
    crowd = CROWD_COST * one.running / engine.slots
    failing = upstreams_module.compute_failure_rate(one, now)
    return reading + crowd + FAILURE_COST * failing
