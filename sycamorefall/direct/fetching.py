"""Where an engine is to fetch what it lacks of a prompt's shared parts.

Copying a part from another engine's cache takes a seventh of the time that
reading it takes, reckoned from the slowest link and the reading rates that
were met.
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
"""Tokens below which a part is read rather than fetched: 5 ms of reading. Not
tuned; a transfer that saves less isn't worth a place in the links' queues."""


@dataclasses.dataclass(slots=True, frozen=True)
class Fetch:
    """A copy from one engine to another.

    Attributes:
        source: The engine that is asked.
        tokens: What it is known to hold beyond what the other one holds.
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
    """Chooses where an engine fetches what it lacks of shared parts.

    One that was sent the prompt's parts is the best; where none is known, the
    part's home is asked, to which all routers send it. If that turns out to
    hold nothing, the target reads the part as it would have without.

    Args:
        table: All upstreams.
        now: This process's time.
        service: The request's service.
        prompt: The request's prompt.
        target: The engine that gets the request.

    Returns:
        The source; None if there is nothing worth fetching, or nowhere.
    """
    if not service.engine.fetch_rate:
        return None
    held = caches.count_cached_tokens(target.cache, prompt)
    if prompt.shared - held < MIN_FETCH_TOKENS:
        return None
    others = [
        one
        for one in homes.rank_engines(table, service, prompt.home_key)
        if one is not target and upstreams_module.is_usable(one, now)
    ]
    if not others:
        return None
    source = max(
        others, key=lambda one: caches.count_cached_tokens(one.cache, prompt)
    )
    gain = caches.count_cached_tokens(source.cache, prompt) - held
    return Fetch(source, gain) if gain > 0 else Fetch(others[0], 0)


def count_saved_tokens(
    fetch: Fetch, target: Upstream, service: catalog_module.Service
) -> int:
    """Counts the tokens that a fetch spares an engine's time.

    Args:
        fetch: The fetch.
        target: The engine that gets the request.
        service: Its service.

    Returns:
        Prompt tokens that it could read in the time that fetching is faster.
    """
    as_read = target.prefill_rate / service.engine.fetch_rate
    return max(0, int(fetch.tokens * (1 - as_read)))
