"""This process's replica of the platform's records; no I/O.

It is brought up to date by reads of its own (`read_schedule`) and by what other
routers tell (`readers`). What it is told never makes it believe something to
be newer than it is: a time that another router tells is put in terms of this
process's clock, by a message that this process sent before.
"""

__all__ = [
    "ApplyRecords",
    "CancelRead",
    "Effect",
    "RecordProof",
    "Replica",
    "SendMessage",
    "StartRead",
    "create_replica",
    "find_next_due",
    "handle_probe",
    "handle_read_failure",
    "handle_snapshot",
    "receive_message",
    "run_timers",
]

from collections.abc import Callable, Iterable, Mapping, Sequence
import dataclasses

from sycamorefall import messages
from sycamorefall.direct import read_schedule as read_schedule_module
from sycamorefall.direct import readers as readers_module
from sycamorefall.direct import records as records_module

CATCH_UP = 0.3
"""Seconds that another router may take to tell the records whose revision it
told; then they are read from the platform."""

CHOICE_INTERVAL = 0.25
"""Seconds between two choices of the readers."""

LARGEST_CHANGES = 900_000
"""Bytes of records in one message. Links take a megabyte; a router that lacks
more than this reads it from the platform."""

RankRouters = Callable[[], Mapping[str, Sequence[str]]]


@dataclasses.dataclass(slots=True, frozen=True)
class StartRead:
    """Send a read to the platform."""

    kind: read_schedule_module.ReadKind


@dataclasses.dataclass(slots=True, frozen=True)
class CancelRead:
    """Give up the read in progress."""


@dataclasses.dataclass(slots=True, frozen=True)
class SendMessage:
    """Send a control message to a router."""

    to: str
    message: messages.Message


@dataclasses.dataclass(slots=True, frozen=True)
class ApplyRecords:
    """Bring the records into force: some have changed."""


@dataclasses.dataclass(slots=True, frozen=True)
class RecordProof:
    """What is in force was the newest at a time."""

    proven_at: float


Effect = StartRead | CancelRead | SendMessage | ApplyRecords | RecordProof


@dataclasses.dataclass(slots=True)
class Replica:
    """The records, and how they are kept up to date.

    Attributes:
        process: Incarnation of this process.
        control: Where it takes control messages.
        records: What is known.
        read_schedule: When to read the platform.
        readers: Who reads for whom.
        heard: Latest revision that another router told.
        announced_proof: When that was the newest.
        choose_readers_at: When the readers are chosen next.
    """

    process: int
    control: str
    read_schedule: read_schedule_module.ReadSchedule
    readers: readers_module.ReaderSelection
    records: records_module.Records = dataclasses.field(
        default_factory=records_module.Records
    )
    heard: int = 0
    announced_proof: float = float("-inf")
    choose_readers_at: float = float("-inf")


def create_replica(
    now: float,
    seed: int,
    process: int,
    control: str,
    readers: readers_module.ReaderSelection,
    seeds: Sequence[str],
) -> Replica:
    """Creates the replica of a process that knows nothing.

    Args:
        now: This process's time.
        seed: Seed of its draws.
        process: Its incarnation.
        control: Where it takes control messages.
        readers: Its name and place.
        seeds: Routers to begin with, by the address of their control
            messages. Each of them reads for itself at once.
    """
    alone = not seeds or control in seeds
    read_schedule = read_schedule_module.create_read_schedule(now, seed, alone)
    replica = Replica(process, control, read_schedule, readers)
    readers.subscriptions = {
        address: readers_module.Subscription(now, float("-inf"), now, False)
        for address in seeds
        if address != control
    }
    replica.choose_readers_at = now + CATCH_UP
    return replica


def find_next_due(replica: Replica) -> float:
    """Tells when `run_timers` has something to do next."""
    return min(
        read_schedule_module.find_next_due(replica.read_schedule),
        readers_module.find_next_due(replica.readers),
        replica.choose_readers_at,
    )


def run_timers(
    replica: Replica, now: float, rank_routers: RankRouters
) -> list[Effect]:
    """Does what has come due.

    Args:
        replica: The replica; changed.
        now: This process's time.
        rank_routers: Lists the routers that are heard, by failure domain, the
            first choice as a reader first; this one among them.

    Returns:
        What is to be done.
    """
    read_schedule, readers = replica.read_schedule, replica.readers
    done: list[Effect] = []
    if read_schedule_module.is_read_expired(read_schedule, now):
        done += [CancelRead(), *handle_read_failure(replica, now)]
    if now >= replica.choose_readers_at:
        replica.choose_readers_at = now + CHOICE_INTERVAL
        able = read_schedule.failures == 0
        read_schedule.is_reader = readers_module.choose_readers(
            readers, now, rank_routers(), able
        )
    for name, changes_only in readers_module.renew_due_subscriptions(
        readers, now
    ):
        asked = messages.Subscribe(
            replica.control, now, replica.records.revision, changes_only
        )
        done.append(SendMessage(name, asked))
    kind = read_schedule_module.start_due_read(read_schedule, now)
    if kind is not None:
        done.append(StartRead(kind))
    return done


def handle_probe(replica: Replica, now: float, revision: int) -> list[Effect]:
    """Takes note of the platform's revision that a probe showed."""
    was_able = replica.read_schedule.failures == 0
    sent_at = read_schedule_module.finish_read(
        replica.read_schedule, now, good=True
    )
    if revision > replica.records.revision:
        read_schedule_module.schedule_snapshot(replica.read_schedule, now)
        return [] if was_able else _tell_all(replica, now)
    return _prove(replica, now, sent_at, here=True)


def handle_snapshot(
    replica: Replica,
    now: float,
    revision: int,
    listed: Iterable[messages.Record],
) -> list[Effect]:
    """Takes note of all records that were read.

    Args:
        replica: The replica; changed.
        now: This process's time.
        revision: Up to which they show every change.
        listed: The records.

    Returns:
        What is to be done.
    """
    sent_at = read_schedule_module.finish_read(
        replica.read_schedule, now, good=True
    )
    before = replica.records.revision
    outcome = records_module.apply_snapshot(replica.records, revision, listed)
    done: list[Effect] = []
    if outcome is not records_module.UpdateOutcome.UNCHANGED or not before:
        done.append(ApplyRecords())
    replica.read_schedule.snapshot_due_at = float("inf")
    return done + _note_caught_up(replica, now, sent_at, before, here=True)


def handle_read_failure(replica: Replica, now: float) -> list[Effect]:
    """Takes note of a read that gave nothing.

    The others are told at once: they would wait for a proof that doesn't come.
    """
    was_able = replica.read_schedule.failures == 0
    read_schedule_module.finish_read(replica.read_schedule, now, good=False)
    if not was_able:
        return []
    replica.choose_readers_at = now
    return _tell_all(replica, now)


def receive_message(
    replica: Replica, now: float, envelope: messages.Envelope
) -> list[Effect]:
    """Takes what another router asks or tells.

    Args:
        replica: The replica; changed.
        now: This process's time.
        envelope: The message and its sender.

    Returns:
        What is to be done.
    """
    sender, message = envelope.sender, envelope.message
    match message:
        case messages.Subscribe():
            return _take_subscriber(replica, now, envelope)
        case messages.ReaderState():
            return _take_state(replica, now, sender, message)
        case messages.FetchRecords():
            return _answer_fetch(replica, sender, message.since)
        case messages.RecordChanges():
            return _take_changes(replica, now, sender, message)
    return []


def _take_subscriber(
    replica: Replica, now: float, envelope: messages.Envelope
) -> list[Effect]:
    asked: messages.Subscribe = envelope.message
    is_new = readers_module.record_subscription(replica.readers, now, envelope)
    lags = asked.revision < replica.records.revision
    if is_new or lags or replica.read_schedule.failures:
        one = replica.readers.subscribers[envelope.sender]
        return [_describe_state(replica, envelope.sender, one)]
    return []


def _describe_state(
    replica: Replica, name: str, one: readers_module.Subscriber
) -> SendMessage:
    state = messages.ReaderState(
        one.process,
        replica.records.revision,
        replica.read_schedule.proven_at + one.offset,
        replica.read_schedule.failures == 0,
    )
    return SendMessage(name, state)


def _tell_all(
    replica: Replica, now: float, changed: bool = False
) -> list[Effect]:
    """Tells the subscribers how new this process's knowledge is."""
    subscribers = readers_module.list_subscribers(replica.readers, now)
    return [
        _describe_state(replica, name, one)
        for name, one in subscribers
        if changed or not one.changes_only
    ]


def _take_state(
    replica: Replica, now: float, sender: str, told: messages.ReaderState
) -> list[Effect]:
    if told.process != replica.process:
        return []
    readers = replica.readers
    if sender in readers.subscriptions:
        readers.subscriptions[sender].heard_at = now
    if told.able:
        readers.barred.pop(sender, None)
    elif readers.barred.get(sender, now) <= now:
        readers_module.exclude_reader(readers, now, sender)
        replica.choose_readers_at = now
    proven_at = min(told.proven_at, now)
    if told.revision <= replica.records.revision:
        return _prove(replica, now, proven_at, here=False)
    if told.revision >= replica.heard and proven_at >= replica.announced_proof:
        replica.heard, replica.announced_proof = told.revision, proven_at
    read_schedule_module.schedule_snapshot(
        replica.read_schedule, now + CATCH_UP
    )
    fetch = messages.FetchRecords(replica.records.revision)
    return [SendMessage(sender, fetch)]


def _answer_fetch(replica: Replica, sender: str, since: int) -> list[Effect]:
    if not replica.records.revision:
        return []
    changes = records_module.collect_changes(replica.records, since)
    size = sum(len(record.value) for record in changes.records)
    return [SendMessage(sender, changes)] if size <= LARGEST_CHANGES else []


def _take_changes(
    replica: Replica, now: float, sender: str, changes: messages.RecordChanges
) -> list[Effect]:
    before = replica.records.revision
    outcome = records_module.apply_changes(replica.records, changes)
    done: list[Effect] = []
    if outcome is not records_module.UpdateOutcome.UNCHANGED:
        done.append(ApplyRecords())
    if outcome is records_module.UpdateOutcome.INCOMPLETE:
        return [*done, SendMessage(sender, messages.FetchRecords(0))]
    return done + _note_caught_up(
        replica, now, float("-inf"), before, here=False
    )


def _note_caught_up(
    replica: Replica, now: float, proven_at: float, before: int, here: bool
) -> list[Effect]:
    """Takes note of records that came.

    Args:
        replica: The replica; changed.
        now: This process's time.
        proven_at: When they were the newest, as far as they tell.
        before: Revision known before.
        here: Whether this process read them.

    Returns:
        What is to be done.
    """
    revision = replica.records.revision
    if revision >= replica.heard:
        if replica.announced_proof > proven_at:
            proven_at, here = replica.announced_proof, False
        replica.read_schedule.snapshot_due_at = float("inf")
    else:
        read_schedule_module.schedule_snapshot(
            replica.read_schedule, now + CATCH_UP
        )
    done = _prove(replica, now, proven_at, here)
    if revision > before:
        told = [one for one in done if not isinstance(one, SendMessage)]
        return told + _tell_all(replica, now, changed=True)
    return done


def _prove(
    replica: Replica, now: float, proven_at: float, here: bool
) -> list[Effect]:
    """Takes note that what is known was the newest at a time."""
    if not read_schedule_module.record_proof(
        replica.read_schedule, proven_at, here
    ):
        return []
    proved: list[Effect] = [RecordProof(proven_at)]
    return proved + _tell_all(replica, now) if here else proved
