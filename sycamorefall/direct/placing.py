"""Which upstream gets a request.

An engine that has read the shared part of a prompt before need not read it
again, which is most of a long prompt's work. So requests with the same last
shared part go to the same engine, found by rendezvous hashing that all routers
compute alike, unless waiting there costs more than reading anew elsewhere.
"""

__all__ = [
    "choose_upstream",
    "count_obstacles",
    "list_standings",
    "list_waited_for",
]

import collections
from collections.abc import Iterable

from sycamorefall.direct import catalog as catalog_module
from sycamorefall.direct import fitting, prompts
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
    need: fitting.Need,
    failure_domain: str,
    group: fitting.Group,
) -> Upstream | None:
    """Chooses the upstream that is to get a request now.

    Args:
        table: All upstreams.
        now: This process's time.
        service: The request's service.
        need: What the request needs.
        failure_domain: Where this router stands.
        group: Engines with a free slot.

    Returns:
        The upstream, or None if the request has to wait.
    """
    if need.prompt is None or service.engine is None:
        usable = _list_usable(table, now, service, need)
        return _choose_plain(usable, now, failure_domain)
    prompt, engine = need.prompt, service.engine
    uncrowded = [
        one
        for one in fitting.list_possible(group, need)
        if one.upstream.listed.name not in need.tried
        and fitting.find_crowding(one, engine, need) is None
    ]
    if not uncrowded:
        return None
    homes = homes_module.list_homes(table, now, service, need)
    costs = [
        (_weigh(one.upstream, now, prompt, engine, home), one.upstream)
        for one in uncrowded
        for home in [one.upstream in homes]
        if fitting.find_obstacle(one, engine, need, home) is None
    ]
    return min(costs, key=lambda pair: pair[0], default=(0.0, None))[1]


def list_standings(
    table: upstreams_module.UpstreamTable,
    now: float,
    service: catalog_module.Service,
    full: bool = False,
) -> list[fitting.Standing]:
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
        fitting.describe_standing(one, engine, now)
        for one in upstreams_module.list_upstreams(table, service.name)
        if (full or one.running < engine.slots)
        and upstreams_module.is_usable(one, now)
    ]


def _list_usable(
    table: upstreams_module.UpstreamTable,
    now: float,
    service: catalog_module.Service,
    need: fitting.Need,
) -> list[Upstream]:
    return [
        one
        for one in upstreams_module.list_upstreams(table, service.name)
        if one.listed.name not in need.tried
        and upstreams_module.is_usable(one, now)
    ]


def count_obstacles(
    table: upstreams_module.UpstreamTable,
    now: float,
    service: catalog_module.Service,
    need: fitting.Need,
) -> dict[fitting.Obstacle, int]:
    """Counts a service's upstreams by what keeps a request from them.

    Args:
        table: All upstreams.
        now: This process's time.
        service: The request's service.
        need: What the request needs.

    Returns:
        Upstreams by obstacle; those that could take the request are left out.
    """
    usable = _list_usable(table, now, service, need)
    group = upstreams_module.list_upstreams(table, service.name)
    counts = collections.Counter(
        {fitting.Obstacle.UNUSABLE: len(group) - len(usable)}
    )
    if need.prompt is None or service.engine is None:
        full = [one for one in usable if not _has_room(one)]
        counts[fitting.Obstacle.SLOTS] = len(full)
    else:
        homes = homes_module.list_homes(table, now, service, need)
        counts.update(
            _find_obstacle(one, now, service.engine, need, one in homes)
            for one in usable
        )
        del counts[None]
    return {obstacle: count for obstacle, count in counts.items() if count}


def _find_obstacle(
    one: Upstream,
    now: float,
    engine: catalog_module.Engine,
    need: fitting.Need,
    home: bool,
) -> fitting.Obstacle | None:
    """Finds what keeps a request from an engine.

    Most engines of a full service are kept from it by what they hold, for
    which they need not be described.
    """
    if not need.anywhere_idle and fitting.reads_again(one, need, home):
        return fitting.Obstacle.READS_AGAIN
    standing = fitting.describe_standing(one, engine, now)
    return fitting.find_obstacle(standing, engine, need, home)


def list_waited_for(
    table: upstreams_module.UpstreamTable,
    now: float,
    service: catalog_module.Service,
    need: fitting.Need,
    standings: Iterable[fitting.Standing],
) -> list[Upstream]:
    """Lists the engines that a request waits for.

    Args:
        table: All upstreams.
        now: This process's time.
        service: The request's service.
        need: What the request needs.
        standings: Engines of the service that may be used; others aren't
            looked at.

    Returns:
        Those of the engines that would get it if they had room, the one that
        suits it best first.
    """
    if need.prompt is None or need.time_left < fitting.FIRST_STEP:
        return []
    homes = homes_module.list_homes(table, now, service, need)
    found = [
        one.upstream
        for one in standings
        if one.upstream.listed.name not in need.tried
        and fitting.is_waited_for(
            one, service.engine, need, one.upstream in homes
        )
    ]

    def weigh(one: Upstream) -> float:
        return _weigh(one, now, need.prompt, service.engine, one in homes)

    return sorted(found, key=weigh)


def _has_room(one: Upstream) -> bool:
    return one.running < PLAIN_QUEUE * one.listed.slots


def _choose_plain(
    usable: list[Upstream], now: float, failure_domain: str
) -> Upstream | None:
    def weigh(one: Upstream) -> float:
        queued = PLAIN_WORK * one.running / max(1, one.listed.slots)
        away = AWAY_COST * (one.listed.failure_domain != failure_domain)
        failing = upstreams_module.read_failure_rate(one, now)
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
    again = fitting.count_again(one, prompt, home)
    reading = (one.unread + own + READ_AGAIN * again) / one.reading_rate
    crowd = CROWD_COST * one.running / engine.slots
    failing = upstreams_module.read_failure_rate(one, now)
    return reading + crowd + FAILURE_COST * failing
