"""When a process reads the platform: as a watch, as a slow poll, backed off.

The platform serves about 2,000 reads a second to the whole fleet, a waiting
watch being one. So a few processes watch, chosen anew each epoch without
any talk between them; the others learn from their peers and poll slowly.
"""

__all__ = [
    "EPOCH_SECONDS",
    "WATCH_WAIT",
    "PlannedRead",
    "ReadSchedule",
    "choose_watchers",
    "create_read_schedule",
    "plan_read",
    "record_failure",
    "record_response",
    "schedule_read_soon",
    "set_watching",
]

from collections.abc import Iterable
import dataclasses
import hashlib
import heapq
import random

EPOCH_SECONDS = 300.0
"""Seconds after which other processes watch."""

WATCH_WAIT = 30.0
"""Seconds that a watch may wait for a change."""

MAX_WATCH_PAUSE = 0.2
"""Longest pause between two watches, in seconds."""

WATCH_START_SPREAD = 2.0
"""Seconds over which new watchers begin."""

INITIAL_BACKOFF = 2.0
"""Seconds until the next read after a first failure, before jitter."""

MAX_BACKOFF = 30.0
"""Seconds until the next read after many failures, before jitter."""

MAX_RETRY_AFTER = 120.0
"""Most seconds that a platform's Retry-After is followed."""


@dataclasses.dataclass(slots=True, frozen=True)
class PlannedRead:
    """A read to be sent.

    Attributes:
        after: Only a higher revision is wanted; None if any is.
        wait: Seconds that the platform may wait for one.
    """

    after: int | None
    wait: float


@dataclasses.dataclass(slots=True)
class ReadSchedule:
    """When to read one value of the platform.

    Attributes:
        interval: Seconds between two polls, before jitter.
        random: Source of the jitter.
        next_read_at: When the next read is due.
        watching: Whether this process holds a watch.
        read_unconditionally: Whether the next read asks for the value in any
            case.
        skip_wait: Whether the next read is to be answered at once.
        failures: Reads in a row that gave nothing usable.
    """

    interval: float
    random: random.Random
    next_read_at: float
    watching: bool = False
    read_unconditionally: bool = True
    skip_wait: bool = False
    failures: int = 0


def choose_watchers(names: Iterable[str], epoch: int, count: int) -> set[str]:
    """Chooses the VMs whose processes watch the platform in an epoch.

    By rendezvous hashing, each process finds the same ones by itself. If
    processes see different lists or epochs, a few more or fewer watch; slow
    polls cover an epoch in which none does.

    Args:
        names: The live VMs.
        epoch: Number of the epoch.
        count: How many are to watch.

    Returns:
        The chosen VMs.

    Example:
        >>> choose_watchers(["router-1"], 7, 4)
        {'router-1'}
    """

    def score(name: str) -> bytes:
        data = f"{epoch}/{name}".encode()
        return hashlib.blake2b(data, digest_size=8).digest()

    return set(heapq.nlargest(count, names, key=score))


def create_read_schedule(
    interval: float, start_spread: float, seed: int, now: float
) -> ReadSchedule:
    """Creates a schedule whose first read comes at a random time.

    Guards against a fleet that restarts at once: 1,280 processes would send
    2,560 reads in the first instant, over the platform's 2,000 a second.

    Args:
        interval: Seconds between two polls, before jitter.
        start_spread: Seconds over which first reads are spread.
        seed: Seed of the jitter.
        now: This process's time.

    Returns:
        The schedule.
    """
    source = random.Random(seed)
    first = now + source.uniform(0.0, start_spread)
    return ReadSchedule(interval, source, first)


def set_watching(schedule: ReadSchedule, now: float, watching: bool) -> None:
    """Makes a process watch in this epoch, or poll again.

    A new watcher first reads the whole value: to a wait for more than the
    revision in use, a platform that was set back would never answer.
    """
    if watching and not schedule.watching:
        schedule.read_unconditionally = True
        schedule_read_soon(schedule, now)
    schedule.watching = watching


def schedule_read_soon(schedule: ReadSchedule, now: float) -> None:
    """Makes the next read due soon, unless it is backed off.

    It doesn't wait for a change: what the platform shows now is in question.
    """
    schedule.skip_wait = True
    if not schedule.failures:
        soon = now + schedule.random.uniform(0.0, WATCH_START_SPREAD)
        schedule.next_read_at = min(schedule.next_read_at, soon)


def plan_read(schedule: ReadSchedule, known: int) -> PlannedRead:
    """Plans the read that is due.

    Args:
        schedule: The schedule.
        known: Revision in use.

    Returns:
        What to ask for.
    """
    if schedule.read_unconditionally or not known:
        return PlannedRead(None, 0.0)
    waits = schedule.watching and not schedule.skip_wait
    wait = WATCH_WAIT if waits else 0.0
    return PlannedRead(known, wait)


def record_response(
    schedule: ReadSchedule, now: float, read: PlannedRead, useful: bool
) -> None:
    """Plans on after an answer.

    Guards against a platform that answers watches at once with nothing new:
    the next watch would follow at once, for ever. Only an answer that
    brought something, or came after the wait, lets a watch follow closely.

    Args:
        schedule: The schedule; changed.
        now: This process's time.
        read: The read that was answered.
        useful: Whether it was a first whole read, brought a higher revision,
            or came after most of the wait.
    """
    if not useful:
        record_failure(schedule, now)
        return
    schedule.failures = 0
    schedule.read_unconditionally = False
    schedule.skip_wait = False
    if schedule.watching:
        pause = schedule.random.uniform(0.0, MAX_WATCH_PAUSE)
    else:
        pause = schedule.interval * schedule.random.uniform(0.5, 1.5)
    schedule.next_read_at = now + pause


def record_failure(
    schedule: ReadSchedule, now: float, retry_after: float = 0.0
) -> None:
    """Backs off after a read that gave nothing usable.

    Guards against a platform that is overloaded or down: reads repeated at
    the same pace would keep it so, and all of them at its return would bring
    it down again. The pause doubles, and its jitter keeps processes apart.

    Args:
        schedule: The schedule; changed.
        now: This process's time.
        retry_after: Seconds that the platform asked to stay away.
    """
    doubled = INITIAL_BACKOFF * 2.0 ** min(schedule.failures, 16)
    pause = min(MAX_BACKOFF, doubled) * schedule.random.uniform(0.5, 1.5)
    advised = min(retry_after, MAX_RETRY_AFTER)
    advised *= schedule.random.uniform(1.0, 1.5)
    schedule.failures += 1
    schedule.next_read_at = now + max(pause, advised)
