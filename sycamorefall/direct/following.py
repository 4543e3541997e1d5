"""When to read the platform, and what a read proves; no I/O.

A waiting watch tells of changes at once but proves nothing: it may be deaf.
So the listing of upstreams is also read at fixed intervals; it shows the
platform's revision, and the configuration is read anew if that has moved.
Both reads are linearizable: each proves that what was known when it was sent
is not older than that moment.
"""

__all__ = [
    "Following",
    "Read",
    "create_following",
    "find_expired",
    "find_next_due",
    "hasten_listing",
    "note_catalog",
    "note_failure",
    "note_listing",
    "note_watch",
    "plan_reads",
]

import dataclasses
import enum
import random

INTERVAL = 0.8
"""Seconds between two reads of the listing. A change is in force after this
and two answers even if no watch tells of it, within the two seconds that
operators allow; a lease of five seconds survives four lost reads."""

RETRY = 0.25
"""Seconds until a read that failed is made again."""

READ_TIMEOUT = 0.7
"""Seconds after which a read is given up: a slow platform takes a quarter of
a second, and one on a dead connection never answers."""

WATCH_WAIT = 30.0
"""Seconds that a watch waits; the longest that the platform allows. Each
watch is counted as a call."""

WATCH_RETRY = 1.0
"""Seconds until a watch that failed is made again."""


class Read(enum.Enum):
    """What is read."""

    LISTING = "listing"
    CATALOG = "catalog"
    WATCH = "watch"


@dataclasses.dataclass(slots=True)
class Following:
    """Reads of the platform that are in progress or due.

    Attributes:
        random: Source of jitter.
        due: When each kind is read next; infinity while one is in progress
            or none is needed.
        sent: When each read in progress was sent.
        seen: Highest revision seen in any answer.
        catalog_at: Revision at which the configuration was last read.
        again: Whether to read the listing again once the present read ends.
    """

    random: random.Random
    due: dict[Read, float] = dataclasses.field(default_factory=dict)
    sent: dict[Read, float] = dataclasses.field(default_factory=dict)
    seen: int = 0
    catalog_at: int = -1
    again: bool = False


def create_following(now: float, seed: int) -> Following:
    """Creates the plan of a process that has read nothing."""
    following = Following(random.Random(seed))
    following.due[Read.LISTING] = now
    return following


def plan_reads(following: Following, now: float) -> list[Read]:
    """Tells which reads are to be sent now.

    Args:
        following: The plan; changed.
        now: This process's time.

    Returns:
        The kinds to be read.
    """
    due = [kind for kind, at in following.due.items() if at <= now]
    for kind in due:
        del following.due[kind]
        following.sent[kind] = now
    return due


def find_expired(following: Following, now: float) -> list[Read]:
    """Lists the reads in progress that are to be given up."""
    return [
        kind
        for kind, sent_at in following.sent.items()
        if now >= sent_at + _read_limit(kind)
    ]


def _read_limit(kind: Read) -> float:
    return READ_TIMEOUT + (WATCH_WAIT if kind is Read.WATCH else 0.0)


def find_next_due(following: Following) -> float:
    """Tells when a read is to be sent or given up next."""
    limits = [sent + _read_limit(k) for k, sent in following.sent.items()]
    return min([*following.due.values(), *limits], default=float("inf"))


def note_listing(following: Following, now: float, revision: int) -> float:
    """Takes note of a listing that was read.

    Args:
        following: The plan; changed.
        now: This process's time.
        revision: The platform's revision at the read.

    Returns:
        When the read was sent, if it proves that the configuration known is
        the newest; minus infinity if that has to be read first.
    """
    sent_at = following.sent.pop(Read.LISTING)
    following.seen = max(following.seen, revision)
    _plan_listing(following, now)
    if Read.WATCH not in following.sent and Read.WATCH not in following.due:
        following.due[Read.WATCH] = now
    if revision <= following.catalog_at:
        return sent_at
    if Read.CATALOG not in following.sent:
        following.due[Read.CATALOG] = now
    return float("-inf")


def _plan_listing(following: Following, now: float) -> None:
    if following.again:
        following.again = False
        following.due[Read.LISTING] = now
    else:
        pause = INTERVAL * following.random.uniform(0.9, 1.1)
        following.due[Read.LISTING] = now + pause


def note_catalog(following: Following, revision: int) -> float:
    """Takes note of a configuration that was read; returns when it was sent."""
    following.catalog_at = max(following.catalog_at, revision)
    following.seen = max(following.seen, revision)
    return following.sent.pop(Read.CATALOG)


def note_watch(following: Following, now: float, revision: int) -> None:
    """Takes note of a watch that told of changes, or waited in vain."""
    following.sent.pop(Read.WATCH)
    following.due[Read.WATCH] = now
    if revision > following.seen:
        following.seen = revision
        hasten_listing(following, now)


def hasten_listing(following: Following, now: float) -> None:
    """Has the listing read now, or again if it is being read already."""
    if Read.LISTING in following.sent:
        following.again = True
    else:
        following.due[Read.LISTING] = now


def note_failure(
    following: Following, now: float, kind: Read, history_lost: bool = False
) -> None:
    """Takes note of a read that gave nothing.

    Args:
        following: The plan; changed.
        now: This process's time.
        kind: What was read.
        history_lost: Whether a watch failed as the revisions that it asked
            for are forgotten; what changed meanwhile has to be read.
    """
    following.sent.pop(kind, None)
    if kind is Read.WATCH:
        # It begins anew after the next listing, from that one's revision.
        if history_lost:
            hasten_listing(following, now)
        else:
            following.due[kind] = now + WATCH_RETRY
        return
    following.due[kind] = now + RETRY * following.random.uniform(0.8, 1.2)
