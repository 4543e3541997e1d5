"""Describes the prompts of requests and counts uses of their shared parts."""

__all__ = [
    "MAX_PARTS",
    "OUTPUT_WEIGHT",
    "Digests",
    "PartUsage",
    "Prompt",
    "compute_cost",
    "record_use",
]

import collections
import dataclasses
import math
import zlib

MAX_PARTS = 20_000
"""Maximum number of parts whose uses are counted; they take 4 MB."""

OUTPUT_WEIGHT = 2
"""Cost units of an output token; a prompt token costs one unit."""

USE_DECAY_SECONDS = 10.0
"""Time constant in seconds of the exponential decay of a part's use count."""


Digests = tuple[tuple[int, int], ...]
"""The (digest, token count) pairs of a prompt's parts, in order."""


@dataclasses.dataclass(slots=True, frozen=True)
class Prompt:
    """The prompt of a request and its expected output.

    Attributes:
        tokens: Tokens of the whole prompt.
        output: Expected number of output tokens.
        parts: The (key, token count) pairs of the prompt's parts, in order.
            The last part belongs to this request alone, the others are shared.
        digests: The parts with a four-byte digest in place of the key, which
            halves their size in messages. In one of 10,000 fleets, two of
            1,000 parts have the same digest. An engine is then wrongly
            estimated to hold one of them in its cache.
        home_key: Key of the last shared part, which determines the homes of
            the prompt; empty if there is none.
        shared: Tokens of the shared parts.
        own_work: Cost units of the request's own part and its output.
    """

    tokens: int
    output: int
    parts: tuple[tuple[str, int], ...] = ()
    # Derived once, as each dispatch pass reads them for each pair of waiting
    # request and engine. Deriving them there took a third of the pass.
    digests: Digests = dataclasses.field(init=False)
    home_key: str = dataclasses.field(init=False)
    shared: int = dataclasses.field(init=False)
    own_work: int = dataclasses.field(init=False)

    def __post_init__(self):
        """Derives the fields that depend on the parts."""
        home_key = self.parts[-2][0] if len(self.parts) > 1 else ""
        shared = sum(tokens for _, tokens in self.parts[:-1])
        own_work = self.tokens - shared + OUTPUT_WEIGHT * self.output
        digests = tuple(
            (zlib.crc32(key.encode()), size) for key, size in self.parts
        )
        object.__setattr__(self, "digests", digests)
        object.__setattr__(self, "home_key", home_key)
        object.__setattr__(self, "shared", shared)
        object.__setattr__(self, "own_work", own_work)


@dataclasses.dataclass(slots=True)
class PartUsage:
    """Recent uses of shared parts at this router.

    Attributes:
        uses: Decaying use count and the time of its last update, by key of
            the part, least recently used first.
    """

    uses: collections.OrderedDict[str, tuple[float, float]] = dataclasses.field(
        default_factory=collections.OrderedDict
    )


def compute_cost(prompt: Prompt) -> int:
    """Computes the cost units of a prompt and its expected output.

    Example:
        >>> compute_cost(Prompt(1000, 50, (("own", 1000),)))
        1100
    """
    return prompt.tokens + OUTPUT_WEIGHT * prompt.output


def record_use(usage: PartUsage, now: float, key: str) -> float:
    """Counts a use of a shared part.

    Args:
        usage: Use counts of parts; changed.
        now: Current time of this process's clock.
        key: Key of the part; an empty key is not counted.

    Returns:
        Uses of the part over about `USE_DECAY_SECONDS`, including this one; 0
        for an empty key.
    """
    if not key:
        return 0.0
    count, updated_at = usage.uses.get(key, (0.0, now))
    count = count * math.exp((updated_at - now) / USE_DECAY_SECONDS) + 1.0
    usage.uses[key] = (count, now)
    usage.uses.move_to_end(key)
    while len(usage.uses) > MAX_PARTS:
        usage.uses.popitem(last=False)
    return count
