"""Which suspects are refused, by the crashes at which they were present.

One suspect explains a crash whole, so the others that were present need not be
at fault. A part on which upstreams have answered before is therefore excused
from crashes at which a convicted suspect without an answer was present. Without
this, the first part that all prompts of a caller share would be convicted
together with a part that crashes engines.

A verdict depends on the evidence alone, not on the order in which it came, so
all routers come to the same one.
"""

__all__ = [
    "CRASH_LIMIT",
    "MAX_EXCUSED",
    "MIN_SOURCES",
    "is_convicted",
    "list_explained",
    "may_be_sound",
]

from collections.abc import Collection, Iterable, Mapping, Set

from sycamorefall.direct.evidence import (
    TRIED_TOGETHER,
    Crash,
    Suspect,
    list_uncleared,
)

CRASH_LIMIT = 3
"""Crashes without a success in between after which a suspect is convicted.
Operators set a limit on the cost of a request after its third crash."""

MIN_SOURCES = 2
"""Different requests through which a part must have been present at crashes to
be convicted."""

MAX_EXCUSED = 6
"""Maximum number of crashes, excused ones included, after which a part still
isn't convicted. Operators bear five crashes by a part and three requests more:
with the seventh crash and a trial the part has reached engines eight times."""


def list_explained(
    suspects: Mapping[bytes, Suspect], explaining: Iterable[bytes]
) -> Set[Crash]:
    """Lists the crashes at which any of some suspects was present."""
    return frozenset().union(
        *(list_uncleared(suspects[one]) for one in explaining)
    )


def is_convicted(
    suspect: Suspect, explained: Collection[Crash] = frozenset()
) -> bool:
    """Returns whether a suspect's crashes suffice to refuse it.

    Crashes at which a part was present through one request only are that
    request's: others with the same part may be sound.

    Args:
        suspect: A request or part.
        explained: Crashes that other convicted suspects explain. They excuse
            only a part that has been answered.
    """
    crashes = list_uncleared(suspect)
    if suspect.answered and len(crashes) <= MAX_EXCUSED:
        crashes = crashes.difference(explained)
    return _suffice(suspect, crashes)


def _suffice(suspect: Suspect, crashes: Set[Crash]) -> bool:
    if len(crashes) < CRASH_LIMIT:
        return False
    if not suspect.sources:
        return True  # It is a request.
    sources = (suspect.sources.get(one, frozenset()) for one in crashes)
    return len(frozenset().union(*sources)) >= MIN_SOURCES


def may_be_sound(
    suspects: Mapping[bytes, Suspect],
    convicted: Set[bytes],
    accused: Collection[bytes],
) -> bool:
    """Returns whether the convicted parts of a request may all be sound.

    They may if other convicted parts, which the request doesn't contain, were
    present at all of their crashes. A single part may also if upstreams have
    answered on it before. Trials that ended with a crash settle it.

    Args:
        suspects: All suspects by fingerprint.
        convicted: Fingerprints of all convicted suspects.
        accused: Fingerprints of the convicted ones that the request contains.
    """
    parts = [suspects[one] for one in accused]
    max_tried = 0 if len(parts) > 1 else TRIED_TOGETHER
    if any(not one.sources or one.tried > max_tried for one in parts):
        return False
    if len(parts) == 1 and parts[0].answered:
        return True
    others = (
        one for one in convicted.difference(accused) if suspects[one].sources
    )
    explained = list_explained(suspects, others)
    return all(list_uncleared(one) <= explained for one in parts)
