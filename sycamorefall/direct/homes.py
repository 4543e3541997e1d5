"""Which engines are to hold a shared part of prompts.

All routers find the same ones by rendezvous hashing over the part, without a
word between them.
"""

__all__ = ["USES_PER_HOME", "list_homes", "rank_engines"]

import hashlib
import itertools

from sycamorefall.direct import catalog as catalog_module
from sycamorefall.direct import eligibility, prompts
from sycamorefall.direct import upstreams as upstreams_module
from sycamorefall.direct.upstreams import Upstream

USES_PER_HOME = 30
"""Uses of a shared part in the last seconds from which on another engine is
to hold it too: about a sixth of what one engine can serve of long prompts."""


def list_homes(
    table: upstreams_module.UpstreamTable,
    now: float,
    service: catalog_module.Service,
    constraints: eligibility.PlacementConstraints,
) -> list[Upstream]:
    """Lists the engines that are to hold a part, the first choice first.

    A part that is asked for often has several. Engines that can't be used or
    had the request already are passed over.

    Args:
        table: All upstreams.
        now: This process's time.
        service: The request's service.
        constraints: What the request needs; it has a prompt.

    Returns:
        The engines; none if it shares no part with others.
    """
    ranked = rank_engines(table, service, constraints.prompt.home_key)
    count = 1 + int(constraints.uses / USES_PER_HOME)
    usable = (
        one
        for one in ranked
        if one.listed.name not in constraints.tried
        and upstreams_module.is_usable(one, now)
    )
    return list(itertools.islice(usable, count))


def rank_engines(
    table: upstreams_module.UpstreamTable,
    service: catalog_module.Service,
    key: str,
) -> list[Upstream]:
    """Ranks a service's engines in the order in which they hold a part.

    Args:
        table: All upstreams; the ranking is kept there.
        service: The service.
        key: The part; for an empty one there is no ranking.

    Returns:
        The engines, also those that can't be used now.
    """
    if not key:
        return []
    ranked = table.rankings.get((service.name, key))
    if ranked is None:
        if len(table.rankings) >= prompts.MAX_PARTS:
            table.rankings.clear()
        group = upstreams_module.list_upstreams(table, service.name)
        ranked = sorted(group, key=lambda one: _draw(key, one), reverse=True)
        table.rankings[service.name, key] = ranked
    return ranked


def _draw(key: str, upstream: Upstream) -> bytes:
    text = f"{key} {upstream.listed.address}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
