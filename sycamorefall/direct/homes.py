"""Assigns shared prompt parts to home engines by rendezvous hashing.

The homes of a part are the engines that should keep it in their KV caches. All
routers compute the same ranking of engines for a part, without messages.
"""

__all__ = ["USES_PER_HOME", "list_homes", "rank_engines"]

import hashlib
import itertools

from sycamorefall.direct import catalog as catalog_module
from sycamorefall.direct import eligibility, prompts
from sycamorefall.direct import upstreams as upstreams_module
from sycamorefall.direct.upstreams import Upstream

USES_PER_HOME = 30
"""Recent uses of a shared part (see `prompts.record_use`) for each home beyond
the first: about a sixth of the long prompts that one engine can serve."""


def list_homes(
    table: upstreams_module.UpstreamTable,
    now: float,
    service: catalog_module.Service,
    constraints: eligibility.PlacementConstraints,
) -> list[Upstream]:
    """Lists the homes of a prompt's last shared part, highest rank first.

    The number of homes grows with the recent uses of the part. Engines that
    are not usable or may not get the request are skipped in favor of the next
    in rank.

    Args:
        table: All upstreams.
        now: Current time of this process's clock.
        service: Service of the request.
        constraints: Placement constraints of the request, with a prompt.

    Returns:
        The homes; empty if the prompt has no shared part.
    """
    ranked = rank_engines(table, service, constraints.prompt.home_key)
    count = 1 + int(constraints.recent_part_uses / USES_PER_HOME)
    usable = (
        one
        for one in ranked
        if not eligibility.is_excluded(one, constraints)
        and upstreams_module.is_usable(one, now)
    )
    return list(itertools.islice(usable, count))


def rank_engines(
    table: upstreams_module.UpstreamTable,
    service: catalog_module.Service,
    key: str,
) -> list[Upstream]:
    """Ranks a service's engines by their rendezvous score for a part.

    Args:
        table: All upstreams; caches the ranking.
        service: The service.
        key: Key of the part.

    Returns:
        All engines of the service, usable or not, highest score first; empty
        if the key is empty.
    """
    if not key:
        return []
    ranked = table.rankings.get((service.name, key))
    if ranked is None:
        if len(table.rankings) >= prompts.MAX_PARTS:
            table.rankings.clear()
        group = upstreams_module.list_upstreams(table, service.name)
        ranked = sorted(
            group, key=lambda one: _compute_score(key, one), reverse=True
        )
        table.rankings[service.name, key] = ranked
    return ranked


def _compute_score(key: str, upstream: Upstream) -> bytes:
    text = f"{key} {upstream.listed.address}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
