"""What an engine's cache is taken to hold of prompts."""

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
    """Parts that an engine was sent, the least recently used first.

    Attributes:
        parts: Their tokens by digest.
        tokens: The tokens of all.
    """

    parts: collections.OrderedDict[int, int] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    tokens: int = 0
    _nameless: int = 0


def record_parts(
    cache: CacheEstimate, parts: prompts.Digests, limit: int, nameless: int = 0
) -> None:
    """Takes note that an engine reads a prompt.

    Args:
        cache: What it is taken to hold; changed.
        parts: The prompt's parts.
        limit: Tokens that the engine's cache holds.
        nameless: Tokens of parts that are not known, but push others out.

    Example:
        >>> cache = CacheEstimate()
        >>> record_parts(cache, ((7, 600),), 1000, nameless=100)
        >>> record_parts(cache, ((8, 200),), 1000, nameless=150)
        >>> record_parts(cache, ((7, 600),), 1000, nameless=150)
        >>> 7 in cache.parts, 8 in cache.parts, cache.tokens
        (True, False, 900)
    """
    cache._nameless -= 1
    for digest, tokens in (*parts, (cache._nameless, nameless)):
        cache.tokens += tokens - cache.parts.pop(digest, 0)
        cache.parts[digest] = tokens
    while cache.tokens > limit and cache.parts:
        cache.tokens -= cache.parts.popitem(last=False)[1]


def count_cached_tokens(cache: CacheEstimate, prompt: prompts.Prompt) -> int:
    """Counts the tokens of a prompt that an engine is known to hold.

    A part counts only if all parts before it are held too. One that has grown
    since counts as long as it was.
    """
    held = 0
    for digest, tokens in prompt.digests:
        known = cache.parts.get(digest, 0)
        if known < tokens:
            return held + known
        held += tokens
    return held
