"""Schedules reads of the platform and records what they prove; no I/O.

A probe reads the platform's revision. If this process knows that revision,
nothing has changed, and its records are proven to have been the newest when the
probe was sent. Otherwise a snapshot reads all records. Both kinds of read are
linearizable. Watches aren't used: a watch can silently stop delivering events,
so it proves nothing, and each change would end it and cost another call.

A reader is a router that reads the platform for others. It sends a read as
soon as the newest proof is `READER_PROOF_AGE` old. Two readers receive each
other's proofs, so they take turns without further coordination. A follower,
which is any other router, reads only if no proof reaches it.
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

READER_PROOF_AGE = 0.5
"""Age of the newest proof, in seconds, at which a reader reads the platform.
With this age a change is in effect everywhere within the two seconds that
operators allow, including the time of a few answers, and a lease of five
seconds survives six lost reads."""

OWN_PROOF_AGE = 0.8
"""The same if the proof comes from the reader's own read, so that the other
reader takes its turn first. It is less than `FOLLOWER_PROOF_AGE` by the time
that an answer takes."""

FOLLOWER_PROOF_AGE = 1.1
"""Age of the newest proof, in seconds, at which a follower reads the platform
itself, since both readers have failed to send it a proof. This time,
`JITTER_FRACTION` of it and the read itself fit into two seconds."""

JITTER_FRACTION = 0.2
"""Maximum jitter as a fraction of these ages and of retry delays, so that
routers that lost the same reader don't all read at once."""

START_DELAY_RANGE = (0.15, 0.45)
"""Range of the random delay, in seconds, after which a started router reads the
platform itself, unless a running router sends it the records before. If a whole
fleet starts at once, only a few routers read the platform."""

MIN_RETRY_DELAY = 0.25
"""Seconds before the first retry of a failed read."""

MAX_READER_RETRY_DELAY = 0.5
"""Maximum retry delay of a reader, in seconds. It is short, since the followers
learn from the readers that the platform is available again."""

MAX_FOLLOWER_RETRY_DELAY = 3.0
"""Maximum retry delay of a follower, in seconds."""

MAX_DOUBLINGS = 4
"""Maximum number of times that the retry delay is doubled."""

READ_TIMEOUT = 0.7
"""Seconds without any part of an answer after which a read times out. A slow
platform answers in a quarter of a second; a read on a dead connection is never
answered."""

_NEVER = float("inf")


class ReadKind(enum.Enum):
    """What a read asks the platform for.

    PROBE: the revision only.
    SNAPSHOT: all records.
    """

    PROBE = "probe"
    SNAPSHOT = "snapshot"


@dataclasses.dataclass(slots=True)
class ReadSchedule:
    """State that determines when the next read of the platform is sent.

    Attributes:
        random: Random source of the jitter.
        proven_at: Latest time at which the records were certainly the newest;
            minus infinity before the first proof.
        proven_by_own_read: Whether a read by this process proved it.
        read: The read in progress; None if there is none.
        sent_at: When the last read was sent.
        expires_at: When the read in progress times out; infinity if there is
            none.
        retry_at: When the next read is sent after a failure.
        failures: Number of failed reads in a row.
        snapshot_due_at: When a snapshot is to be read, after the start or since
            the platform has a later revision than this process; infinity if
            none is needed.
        is_reader: Whether this router reads the platform for other routers.
        jitter: Random number from 0 to 1, renewed with each proof and failure.
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


def create_read_schedule(
    now: float, seed: int, read_at_once: bool
) -> ReadSchedule:
    """Creates the schedule of a process that has just started.

    Args:
        now: Current time of this process's clock.
        seed: Seed of the random jitter.
        read_at_once: Whether the first snapshot is due now, and not after a
            random delay. True for a seed router, and for a router that has no
            seed routers.
    """
    schedule = ReadSchedule(random.Random(seed))
    start_delay = (
        0.0 if read_at_once else schedule.random.uniform(*START_DELAY_RANGE)
    )
    schedule.snapshot_due_at = now + start_delay
    schedule.is_reader = read_at_once
    return schedule


def start_due_read(schedule: ReadSchedule, now: float) -> ReadKind | None:
    """Marks a read as in progress if one is due; the caller sends it.

    Args:
        schedule: The schedule; changed.
        now: Current time of this process's clock.

    Returns:
        What to read; None if no read is due, or if one is in progress.
    """
    if schedule.read is not None or now < _find_due(schedule):
        return None
    snapshot_due = now >= schedule.snapshot_due_at
    schedule.read = ReadKind.SNAPSHOT if snapshot_due else ReadKind.PROBE
    schedule.sent_at = now
    extend_read(schedule, now)
    return schedule.read


def extend_read(schedule: ReadSchedule, now: float) -> None:
    """Restarts the read's timeout: it is sent, or part of its answer came."""
    schedule.expires_at = now + READ_TIMEOUT


def _find_due(schedule: ReadSchedule) -> float:
    if schedule.failures:
        # Retries also while proofs from other routers arrive: the choice of
        # readers depends on whether this process can read the platform.
        return schedule.retry_at
    if schedule.proven_at == -_NEVER:
        # There are no records yet that a probe could prove to be the newest.
        return schedule.snapshot_due_at
    if not schedule.is_reader:
        max_age = FOLLOWER_PROOF_AGE
    elif schedule.proven_by_own_read:
        max_age = OWN_PROOF_AGE
    else:
        max_age = READER_PROOF_AGE
    probe_due_at = schedule.proven_at + max_age * (
        1 + JITTER_FRACTION * schedule.jitter
    )
    return min(probe_due_at, schedule.snapshot_due_at)


def is_read_expired(schedule: ReadSchedule, now: float) -> bool:
    """Returns whether the read in progress has timed out."""
    return now >= schedule.expires_at


def find_next_due(schedule: ReadSchedule) -> float:
    """Returns when the read in progress times out or the next one is due."""
    if schedule.read is not None:
        return schedule.expires_at
    return _find_due(schedule)


def schedule_snapshot(schedule: ReadSchedule, at: float) -> None:
    """Schedules a snapshot, as the platform has a later revision.

    Args:
        schedule: The schedule; changed.
        at: When to read it, unless other routers send the records before; an
            earlier scheduled time is kept.
    """
    schedule.snapshot_due_at = min(schedule.snapshot_due_at, at)


def record_proof(
    schedule: ReadSchedule, proven_at: float, by_own_read: bool
) -> bool:
    """Records a time at which the records were certainly the newest.

    Args:
        schedule: The schedule; changed if the proof is later than the last
            one.
        proven_at: The time.
        by_own_read: Whether a read by this process proved it.

    Returns:
        Whether the proof is later than the last one.
    """
    if proven_at <= schedule.proven_at:
        return False
    schedule.proven_at = proven_at
    schedule.proven_by_own_read = by_own_read
    schedule.jitter = schedule.random.random()
    return True


def finish_read(schedule: ReadSchedule, now: float, succeeded: bool) -> float:
    """Ends the read in progress; a failure delays the next read.

    Args:
        schedule: The schedule; changed.
        now: Current time of this process's clock.
        succeeded: Whether the read was answered.

    Returns:
        When the read was sent.
    """
    schedule.read = None
    schedule.expires_at = _NEVER
    if succeeded:
        schedule.failures = 0
        return schedule.sent_at
    max_delay = (
        MAX_READER_RETRY_DELAY
        if schedule.is_reader
        else MAX_FOLLOWER_RETRY_DELAY
    )
    factor = 2 ** min(schedule.failures, MAX_DOUBLINGS)
    delay = min(max_delay, MIN_RETRY_DELAY * factor)
    schedule.failures += 1
    schedule.jitter = schedule.random.random()
    schedule.retry_at = now + delay * (1 + JITTER_FRACTION * schedule.jitter)
    return schedule.sent_at
