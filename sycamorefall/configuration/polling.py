"""Schedules the reads of the platform: watches, slow polls and backoff.

A watch is a long poll: a read that the platform holds open until the value
changes or the wait ends. The platform serves about 2,000 reads per second to
the whole fleet, and a watch counts as one. Therefore only a few processes
watch. Each process computes by itself, anew in every epoch, which processes
watch; the others learn of changes from their peers and poll slowly.
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
"""Seconds after which the watching processes are chosen anew."""

WATCH_WAIT = 30.0
"""Seconds that the platform holds a watch open while nothing changes."""

MAX_WATCH_PAUSE = 0.2
"""Maximum pause between two watches, in seconds."""

WATCH_START_SPREAD = 2.0
"""Seconds over which the first reads of new watchers are spread."""

INITIAL_BACKOFF = 2.0
"""Seconds from a first failure to the next read, before jitter."""

MAX_BACKOFF = 30.0
"""Maximum seconds from a failure to the next read, before jitter."""

MAX_RETRY_AFTER = 120.0
"""Maximum Retry-After of the platform that is honored, in seconds."""


@dataclasses.dataclass(slots=True, frozen=True)
class PlannedRead:
    """Parameters of a read that is about to be sent.

    Attributes:
        after: The platform sends the value only if its revision is higher;
            None if it sends the value in any case.
        wait: Seconds that the platform waits for a higher revision before it
            answers that there is none.
    """

    after: int | None
    wait: float


@dataclasses.dataclass(slots=True)
class ReadSchedule:
    """State of the schedule by which one published value is read.

    Attributes:
        interval: Seconds between two polls, before jitter.
        rng: Random number generator of the jitter.
        next_read_at: Time at which the next read is due.
        watching: Whether this process watches the value, instead of polling.
        read_unconditionally: Whether the next read asks for the value even if
            its revision is not higher than the known one.
        skip_wait: Whether the platform answers the next read at once, also
            while watching.
        failures: Consecutive reads that failed or brought nothing useful.
    """

    interval: float
    rng: random.Random
    next_read_at: float
    watching: bool = False
    read_unconditionally: bool = True
    skip_wait: bool = False
    failures: int = 0


def choose_watchers(names: Iterable[str], epoch: int, count: int) -> set[str]:
    """Chooses the VMs whose processes watch the platform in an epoch.

    Rendezvous hashing gives the same result at each process without
    communication. If processes have different VM lists or epochs, a few more
    or fewer of them watch. If none watches in an epoch, the slow polls still
    find changes.

    Args:
        names: Names of the live VMs.
        epoch: Number of the epoch.
        count: Number of VMs to choose.

    Returns:
        Names of the chosen VMs.

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
    """Creates a schedule whose first read is due at a random time.

    If the whole fleet restarts at the same time, its 1,280 processes would
    otherwise send 2,560 reads at once, more than the 2,000 per second that
    the platform serves.

    Args:
        interval: Seconds between two polls, before jitter.
        start_spread: Seconds over which the first reads are spread.
        seed: Seed of the jitter.
        now: This process's time, in seconds.

    Returns:
        The schedule.
    """
    generator = random.Random(seed)
    first_read_at = now + generator.uniform(0.0, start_spread)
    return ReadSchedule(interval, generator, first_read_at)


def set_watching(schedule: ReadSchedule, now: float, watching: bool) -> None:
    """Switches a schedule between watching and polling.

    A new watcher first reads the value unconditionally. If the platform was
    restored to a lower revision, a watch for a revision higher than the known
    one would never bring a value, and the rollback would stay unnoticed.

    Args:
        schedule: The schedule; changed.
        now: This process's time, in seconds.
        watching: Whether this process is to watch the value from now on.
    """
    if watching and not schedule.watching:
        schedule.read_unconditionally = True
        schedule_read_soon(schedule, now)
    schedule.watching = watching


def schedule_read_soon(schedule: ReadSchedule, now: float) -> None:
    """Makes the next read due within `WATCH_START_SPREAD` seconds.

    While the schedule backs off, the due time stays. In either case the next
    read doesn't wait for a change, as the caller wants to know the value that
    the platform publishes now.

    Args:
        schedule: The schedule; changed.
        now: This process's time, in seconds.
    """
    schedule.skip_wait = True
    if not schedule.failures:
        soon = now + schedule.rng.uniform(0.0, WATCH_START_SPREAD)
        schedule.next_read_at = min(schedule.next_read_at, soon)


def plan_read(schedule: ReadSchedule, known: int) -> PlannedRead:
    """Computes the parameters of the read that is due.

    Args:
        schedule: The schedule.
        known: Revision of the value that this process knows; 0 if none.

    Returns:
        The parameters.
    """
    if schedule.read_unconditionally or not known:
        return PlannedRead(None, 0.0)
    waits = schedule.watching and not schedule.skip_wait
    wait = WATCH_WAIT if waits else 0.0
    return PlannedRead(known, wait)


def record_response(
    schedule: ReadSchedule, now: float, read: PlannedRead, useful: bool
) -> None:
    """Schedules the next read after the platform answered one.

    The next watch follows closely only if the response was useful; otherwise
    the schedule backs off as after a failure. A platform that answers watches
    at once without a change would otherwise get an endless series of
    immediate watches.

    Args:
        schedule: The schedule; changed.
        now: This process's time, in seconds.
        read: The read that was answered.
        useful: Whether the response was that of a first unconditional read,
            brought a higher revision, or came after most of the wait.
    """
    if not useful:
        record_failure(schedule, now)
        return
    schedule.failures = 0
    schedule.read_unconditionally = False
    schedule.skip_wait = False
    if schedule.watching:
        pause = schedule.rng.uniform(0.0, MAX_WATCH_PAUSE)
    else:
        pause = schedule.interval * schedule.rng.uniform(0.5, 1.5)
    schedule.next_read_at = now + pause


def record_failure(
    schedule: ReadSchedule, now: float, retry_after: float = 0.0
) -> None:
    """Schedules the next read with exponential backoff after a failure.

    Reads repeated at an unchanged rate would keep an overloaded platform
    overloaded, and if all processes read at the moment it recovers, it would
    fail again. The backoff doubles with each failure, and jitter spreads the
    processes over time.

    Args:
        schedule: The schedule; changed.
        now: This process's time, in seconds.
        retry_after: Value of the platform's Retry-After header, in seconds.
    """
    doubled = INITIAL_BACKOFF * 2.0 ** min(schedule.failures, 16)
    pause = min(MAX_BACKOFF, doubled) * schedule.rng.uniform(0.5, 1.5)
    requested = min(retry_after, MAX_RETRY_AFTER)
    requested *= schedule.rng.uniform(1.0, 1.5)
    schedule.failures += 1
    schedule.next_read_at = now + max(pause, requested)
