"""Remembers which shared parts of prompts any engine was sent.

Answers the load after a start and after a crowd: prompts whose shared parts no
engine has computed yet. The limit on computing parts again keeps such a prompt
at its homes, in the belief that they hold its parts. If the homes are busy, its
callers would be refused while other engines are idle, although computing the
parts there repeats nothing. A part that was evicted since counts as known.
"""

__all__ = ["KnownParts", "is_part_known", "record_parts"]

import collections
import dataclasses

from sycamorefall.direct import prompts

LEARNING_SECONDS = 5.0
"""Seconds after its start in which a router learns from others what engines
were sent. Until then, parts that it doesn't know of may be cached."""


@dataclasses.dataclass(slots=True)
class KnownParts:
    """Parts that engines were sent, as far as this router knows.

    Attributes:
        digests: Digests of the parts, least recently sent first.
    """

    digests: collections.OrderedDict[int, None] = dataclasses.field(
        default_factory=collections.OrderedDict
    )


def record_parts(known: KnownParts, parts: prompts.Digests) -> None:
    """Records the shared parts of a prompt that an engine was sent.

    Example:
        >>> known = KnownParts()
        >>> record_parts(known, ((7, 600), (8, 200)))
        >>> list(known.digests)
        [7, 8]
    """
    for digest, _ in parts:
        known.digests[digest] = None
        known.digests.move_to_end(digest)
    while len(known.digests) > prompts.MAX_PARTS:
        known.digests.popitem(last=False)


def is_part_known(
    known: KnownParts, prompt: prompts.Prompt, uptime: float
) -> bool:
    """Returns whether an engine may have been sent a prompt's last shared part.

    Args:
        known: The parts that engines were sent.
        prompt: The prompt.
        uptime: Seconds since the router's start.
    """
    if uptime < LEARNING_SECONDS or not prompt.home_key:
        return True
    digest, _ = prompt.digests[-2]
    return digest in known.digests
