"""When to read the platform, and what a read proves; no I/O.

A probe shows the platform's revision. If that is known, nothing has changed,
and all that is known was the newest as the probe was sent; otherwise all
records are read. Both reads are linearizable. Watches aren't used: one may be
deaf, so it proves nothing, and each change would end it and cost a call more.

A router that reads for others reads as soon as the newest proof is
`READER_AGE` old. As two of them hear each other's proofs, they take turns by
themselves. All others read only if no proof reaches them.
"""

__all__ = [
    "ReadKind",
    "ReadSchedule",
    "create_read_schedule",
    "extend_read",
    "find_next_due",
    "finish_read",
    "is_read_expired",
    "record_proof",
    "schedule_snapshot",
    "start_due_read",
]

import dataclasses
import enum
import random

READER_AGE = 0.5
"""Seconds after which a reader reads anew, from when the newest proof was
sent. A change is in force everywhere after this and a few answers, within the
two seconds that operators allow; a lease of five seconds survives six lost
reads."""

OWN_AGE = 0.8
"""Seconds of the same if that proof is its own: it is another reader's turn.
Less than `FOLLOWER_AGE` by what an answer takes."""

FOLLOWER_AGE = 1.1
"""Seconds of the same after which a router reads for itself: two readers have
failed to tell it anything. This, `AGE_SPREAD` of it and the read itself fit
into two seconds."""

AGE_SPREAD = 0.2
"""Part by which these times differ from read to read, so that routers that
lost the same reader don't all read at once."""

START_SPREAD = (0.15, 0.45)
"""Seconds after its start at which a router reads for itself, unless it was
told by a router that was there before. Of a fleet that starts at once only a
few read then."""

RETRY = 0.25
"""Seconds until a read that failed is made again, the first time."""

LONGEST_RETRY = 0.5
"""Seconds of the same at most at a reader: when the platform is back, the
others learn it from there."""

LONGEST_PAUSE = 3.0
"""Seconds of the same at most at all others."""

MOST_DOUBLED = 4
"""Times that the pause after failures is doubled at most."""

READ_TIMEOUT = 0.7
"""Seconds after which a read is given up if nothing came: a slow platform
takes a quarter of a second, and one on a dead connection never answers."""

_NEVER = float("inf")


class ReadKind(enum.Enum):
    """What is read.

    PROBE: the platform's revision.
    SNAPSHOT: all records.
    """

    PROBE = "probe"
    SNAPSHOT = "snapshot"


@dataclasses.dataclass(slots=True)
class ReadSchedule:
    """Reads of the platform that are in progress or due.

    Attributes:
        random: Source of jitter.
        proven_at: When what is known was the newest for certain.
        proven_by_own_read: Whether that was proved by a read of this process.
        read: The read in progress.
        sent_at: When that was sent.
        expires_at: When it is given up; infinity if there is none.
        retry_at: Until when nothing is read after a failure.
        failures: Reads that failed in a row.
        snapshot_due_at: When all records are to be read, as a later revision
            than
            is known was heard of; infinity if none was.
        is_reader: Whether this router reads for others.
        jitter: From 0 to 1, drawn anew with each proof and failure.
    """

    random: random.Random
    proven_at: float = -_NEVER
    proven_by_own_read: bool = False
    read: ReadKind | None = None
    sent_at: float = -_NEVER
    expires_at: float = _NEVER
    retry_at: float = -_NEVER
    failures: int = 0
    snapshot_due_at: float = _NEVER
    is_reader: bool = True
    jitter: float = 0.0


def create_read_schedule(now: float, seed: int, alone: bool) -> ReadSchedule:
    """Creates the plan of a process that has read nothing.

    Args:
        now: This process's time.
        seed: Seed of its draws.
        alone: Whether it has nobody to ask, or is one that others ask.
    """
    read_schedule = ReadSchedule(random.Random(seed))
    wait = 0.0 if alone else read_schedule.random.uniform(*START_SPREAD)
    read_schedule.snapshot_due_at = now + wait
    read_schedule.is_reader = alone
    return read_schedule


def start_due_read(read_schedule: ReadSchedule, now: float) -> ReadKind | None:
    """Tells which read is to be sent now.

    Args:
        read_schedule: The plan; changed.
        now: This process's time.

    Returns:
        What is to be read; None if nothing is, or something is being read.
    """
    if read_schedule.read is not None or now < _find_due(read_schedule):
        return None
    is_behind = now >= read_schedule.snapshot_due_at
    read_schedule.read = ReadKind.SNAPSHOT if is_behind else ReadKind.PROBE
    read_schedule.sent_at = now
    extend_read(read_schedule, now)
    return read_schedule.read


def extend_read(read_schedule: ReadSchedule, now: float) -> None:
    """Gives a read more time, as a part of its answer has come."""
    read_schedule.expires_at = now + READ_TIMEOUT


def _find_due(read_schedule: ReadSchedule) -> float:
    if read_schedule.failures:
        # Also if others prove what is known: whether this process can read
        # decides who reads for whom.
        return read_schedule.retry_at
    if read_schedule.proven_at == -_NEVER:
        # Nothing is known that a probe could prove.
        return read_schedule.snapshot_due_at
    if not read_schedule.is_reader:
        age = FOLLOWER_AGE
    elif read_schedule.proven_by_own_read:
        age = OWN_AGE
    else:
        age = READER_AGE
    probe = read_schedule.proven_at + age * (
        1 + AGE_SPREAD * read_schedule.jitter
    )
    return min(probe, read_schedule.snapshot_due_at)


def is_read_expired(read_schedule: ReadSchedule, now: float) -> bool:
    """Tells whether the read in progress is to be given up."""
    return now >= read_schedule.expires_at


def find_next_due(read_schedule: ReadSchedule) -> float:
    """Tells when a read is to be sent or given up next."""
    if read_schedule.read is not None:
        return read_schedule.expires_at
    return _find_due(read_schedule)


def schedule_snapshot(read_schedule: ReadSchedule, at: float) -> None:
    """Takes note that there is a later revision than is known.

    Args:
        read_schedule: The plan; changed.
        at: When all records are to be read, unless they come until then.
    """
    read_schedule.snapshot_due_at = min(read_schedule.snapshot_due_at, at)


def record_proof(
    read_schedule: ReadSchedule, proven_at: float, here: bool
) -> bool:
    """Takes note that what is known was the newest at a time.

    Args:
        read_schedule: The plan; changed.
        proven_at: The time.
        here: Whether a read of this process proved it.

    Returns:
        Whether that is later than was known.
    """
    if proven_at <= read_schedule.proven_at:
        return False
    read_schedule.proven_at = proven_at
    read_schedule.proven_by_own_read = here
    read_schedule.jitter = read_schedule.random.random()
    return True


def finish_read(read_schedule: ReadSchedule, now: float, good: bool) -> float:
    """Takes note of how the read in progress ended.

    Args:
        read_schedule: The plan; changed.
        now: This process's time.
        good: Whether it was answered.

    Returns:
        When it was sent.
    """
    read_schedule.read = None
    read_schedule.expires_at = _NEVER
    if good:
        read_schedule.failures = 0
        return read_schedule.sent_at
    longest = LONGEST_RETRY if read_schedule.is_reader else LONGEST_PAUSE
    doubled = 2 ** min(read_schedule.failures, MOST_DOUBLED)
    pause = min(longest, RETRY * doubled)
    read_schedule.failures += 1
    read_schedule.jitter = read_schedule.random.random()
    read_schedule.retry_at = now + pause * (
        1 + AGE_SPREAD * read_schedule.jitter
    )
    return read_schedule.sent_at
