"""Tells whether any engine is known to hold a shared part of a prompt.

Answers the load after a start and after a crowd: prompts whose shared parts no
engine has computed yet. The limit on computing parts again keeps such a prompt
at its homes, in the belief that they hold its parts. If the homes are busy, its
callers would be refused while the other engines are idle, although computing
the parts there repeats nothing.
"""

__all__ = ["is_part_known"]

from sycamorefall.direct import catalog, prompts, upstreams

LEARNING_SECONDS = 5.0
"""Seconds after its start in which a router learns from others what engines
hold. Until then, parts that it doesn't know of may be cached."""


def is_part_known(
    table: upstreams.UpstreamTable,
    service: catalog.Service,
    prompt: prompts.Prompt,
    uptime: float,
) -> bool:
    """Returns whether the last shared part of a prompt may be cached anywhere.

    Args:
        table: All upstreams.
        service: Service of the request.
        prompt: The prompt.
        uptime: Seconds since the router's start.
    """
    if uptime < LEARNING_SECONDS or not prompt.home_key:
        return True
    digest, _ = prompt.digests[-2]
    return any(
        digest in one.cache.parts
        for one in upstreams.list_upstreams(table, service.name)
    )
