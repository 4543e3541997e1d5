"""Selects the engine from whose KV cache another engine copies prompt parts.

Copying a shared part takes a seventh of the time that its prefill takes,
calculated from the slowest link and the prefill rates that were seen.
"""

__all__ = [
    "Fetch",
    "choose_source",
    "count_saved_tokens",
]

import dataclasses

from sycamorefall.direct import caches, homes, prompts
from sycamorefall.direct import catalog as catalog_module
from sycamorefall.direct import upstreams as upstreams_module
from sycamorefall.direct.upstreams import Upstream

MIN_FETCH_TOKENS = 500
"""Minimum number of missing shared tokens for a fetch: 5 ms of prefill. A
transfer that saves less would only delay others in the queues of the links."""


@dataclasses.dataclass(slots=True, frozen=True)
class Fetch:
    """A copy of cached prompt parts from one engine to another.

    Attributes:
        source: The engine that provides the parts.
        tokens: Estimated number of leading prompt tokens that the source has
            cached and the target has not; 0 if none are known.
    """

    source: Upstream
    tokens: int


def choose_source(
    table: upstreams_module.UpstreamTable,
    now: float,
    service: catalog_module.Service,
    prompt: prompts.Prompt,
    target: Upstream,
) -> Fetch | None:
    """Chooses the engine from which a target fetches missing shared parts.

    The engine with the most cached tokens of the prompt is chosen. If no
    engine is known to hold more than the target, it is the home of the last
    shared part, as all routers send the part there. If the home does not hold
    the part, the target computes it as it would without the fetch. Only engines
    of the target's software version count: what two versions write doesn't fit
    together.

    Args:
        table: All upstreams.
        now: Current time of this process's clock.
        service: Service of the request.
        prompt: Prompt of the request.
        target: The engine that gets the request.

    Returns:
        The fetch; None if the engines can't fetch, the target lacks fewer than
        `MIN_FETCH_TOKENS` shared tokens, or no other engine is usable.
    """
    if not service.engine.fetch_rate:
        return None
    cached = caches.count_cached_tokens(target.cache, prompt)
    if prompt.shared - cached < MIN_FETCH_TOKENS:
        return None
    others = [
        one
        for one in homes.rank_engines(table, service, prompt.home_key)
        if one is not target
        and one.origin == target.origin
        and upstreams_module.is_usable(one, now)
    ]
    if not others:
        return None
    source = max(
        others, key=lambda one: caches.count_cached_tokens(one.cache, prompt)
    )
    gain = caches.count_cached_tokens(source.cache, prompt) - cached
    return Fetch(source, gain) if gain > 0 else Fetch(others[0], 0)


def count_saved_tokens(
    fetch: Fetch, target: Upstream, service: catalog_module.Service
) -> int:
    """Converts the time that a fetch saves into prompt tokens.

    Args:
        fetch: The fetch.
        target: The engine that gets the request.
        service: Service of the request.

    Returns:
        Prompt tokens that the target could process in the saved time.
    """
    rate_ratio = target.prefill_rate / service.engine.fetch_rate
    return max(0, int(fetch.tokens * (1 - rate_ratio)))
