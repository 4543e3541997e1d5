"""Estimates which prompt parts an engine holds in its KV cache."""

__all__ = [
    "CacheEstimate",
    "count_cached_tokens",
    "record_parts",
]

import collections
import dataclasses

from sycamorefall.direct import prompts


@dataclasses.dataclass(slots=True)
class CacheEstimate:
    """LRU model of an engine's KV cache, built from the prompts sent to it.

    Attributes:
        parts: Token counts of the parts by digest, least recently used first.
        tokens: Total tokens of the parts.
    """

    parts: collections.OrderedDict[int, int] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    tokens: int = 0
    _last_unidentified: int = 0


def record_parts(
    cache: CacheEstimate,
    parts: prompts.Digests,
    limit: int,
    unidentified: int = 0,
) -> None:
    """Adds the parts of a prompt that an engine was sent and evicts the oldest.

    Args:
        cache: Estimate of the engine's cache; changed.
        parts: Parts of the prompt.
        limit: Capacity of the engine's cache in tokens.
        unidentified: Tokens of parts whose digests are unknown. No prompt can
            reuse them, but they take up capacity.

    Example:
        >>> cache = CacheEstimate()
        >>> record_parts(cache, ((7, 600),), 1000, unidentified=100)
        >>> record_parts(cache, ((8, 200),), 1000, unidentified=150)
        >>> record_parts(cache, ((7, 600),), 1000, unidentified=150)
        >>> 7 in cache.parts, 8 in cache.parts, cache.tokens
        (True, False, 900)
    """
    cache._last_unidentified -= 1
    for digest, tokens in (*parts, (cache._last_unidentified, unidentified)):
        cache.tokens += tokens - cache.parts.pop(digest, 0)
        cache.parts[digest] = tokens
    while cache.tokens > limit and cache.parts:
        cache.tokens -= cache.parts.popitem(last=False)[1]


def count_cached_tokens(cache: CacheEstimate, prompt: prompts.Prompt) -> int:
    """Counts the leading tokens of a prompt that a cache is estimated to hold.

    A part counts only if all parts before it are cached as well. A part that
    has grown since it was cached counts with its cached length.
    """
    cached = 0
    for digest, tokens in prompt.digests:
        cached_part = cache.parts.get(digest, 0)
        if cached_part < tokens:
            return cached + cached_part
        cached += tokens
    return cached
