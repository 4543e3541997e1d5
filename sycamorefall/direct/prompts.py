"""What requests ask of engines, and how often their shared parts are used."""

__all__ = [
    "MAX_PARTS",
    "OUTPUT_WEIGHT",
    "Digests",
    "PartUsage",
    "Prompt",
    "record_use",
]

import collections
import dataclasses
import math
import zlib

MAX_PARTS = 20_000
"""Parts whose uses are counted: 4 MB."""

OUTPUT_WEIGHT = 2
"""What a token that is made costs, in tokens that are read."""

USE_MEMORY = 10.0
"""Seconds over which the uses of a part are counted."""


Digests = tuple[tuple[int, int], ...]
"""Digests of a prompt's parts in order, with their tokens."""


@dataclasses.dataclass(slots=True, frozen=True)
class Prompt:
    """What a request asks of an engine.

    Attributes:
        tokens: Tokens of the whole prompt.
        output: Tokens it is expected to make.
        parts: Parts of the prompt in order, with their tokens; the last one
            is the request's own.
        digests: The same, by digest: four bytes in place of the key, half of
            what that takes in a message. Two of 1,000 parts share one in one
            of 10,000 fleets; an engine is then taken to hold what it has to
            read.
        home_key: The last part that other requests share; empty if there is
            none.
        shared: Tokens of the parts that other requests share.
        own_work: Cost units of what no other request shares.
    """

    tokens: int
    output: int
    parts: tuple[tuple[str, int], ...] = ()
    # Reckoned once: each look at a waiting request reads them for each
    # engine, which took a third of the look's time.
    digests: Digests = dataclasses.field(init=False)
    home_key: str = dataclasses.field(init=False)
    shared: int = dataclasses.field(init=False)
    own_work: int = dataclasses.field(init=False)

    def __post_init__(self):
        """Reckons what follows from the parts."""
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
    """How often shared parts were asked for lately at this router.

    Attributes:
        uses: By part: a count that decays, and when it was last brought up
            to date. The least recently used come first.
    """

    uses: collections.OrderedDict[str, tuple[float, float]] = dataclasses.field(
        default_factory=collections.OrderedDict
    )


def record_use(uses: PartUsage, now: float, key: str) -> float:
    """Counts a use of a part.

    Args:
        uses: The counts; changed.
        now: This process's time.
        key: The part; an empty one is not counted.

    Returns:
        Uses of the part over about `USE_MEMORY` seconds, this one included.
    """
    if not key:
        return 0.0
    count, since = uses.uses.get(key, (0.0, now))
    count = count * math.exp((since - now) / USE_MEMORY) + 1.0
    uses.uses[key] = (count, now)
    uses.uses.move_to_end(key)
    while len(uses.uses) > MAX_PARTS:
        uses.uses.popitem(last=False)
    return count
