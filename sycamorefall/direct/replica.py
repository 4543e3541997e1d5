"""This process's replica of the platform's records; no I/O.

The replica is updated by this process's reads of the platform
(`read_schedule`) and by messages from other routers (`readers`). A proof is a
time at which the records were certainly the newest. A proof from another router
is never later than the true time: its sender converts the time to this
process's clock, using a `Subscribe` message that this process sent before.

After the platform was restored from a copy, its records lack what was written
in the seconds before. Operators and upstreams write that again. Until they have
had time to do so, the replica is settling: see `BeginSettling`.
"""

__all__ = [
    "ApplyRecords",
    "BeginSettling",
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
    "is_contradictory",
    "receive_message",
    "run_timers",
]

from collections.abc import Callable, Iterable, Mapping, Sequence
import dataclasses
import math

from sycamorefall import messages
from sycamorefall.direct import read_schedule as read_schedule_module
from sycamorefall.direct import readers as readers_module
from sycamorefall.direct import records as records_module
from sycamorefall.direct import revisions, upstreams

CATCH_UP_TIMEOUT = 0.3
"""Seconds that another router may take to send the records of a revision that
it announced; after that they are read from the platform."""

SETTLING_TIME = upstreams.MISSING_ENTRY_GRACE
"""Seconds after a restoration of the platform until what it lost is taken to be
written again."""

READER_CHOICE_INTERVAL = 0.25
"""Seconds between two choices of readers."""

MAX_CHANGES_SIZE = 900_000
"""Maximum size of the record values in one message, in bytes. Links accept
messages of up to a megabyte; a router that lacks more than this reads the
records from the platform."""

RankRouters = Callable[[], Mapping[str, Sequence[str]]]
"""Returns the live routers that may act as readers, including this one if it
is available, by failure domain in order of preference."""


@dataclasses.dataclass(slots=True, frozen=True)
class StartRead:
    """Effect: send a read of this kind to the platform."""

    kind: read_schedule_module.ReadKind


@dataclasses.dataclass(slots=True, frozen=True)
class CancelRead:
    """Effect: cancel the read in progress."""


@dataclasses.dataclass(slots=True, frozen=True)
class SendMessage:
    """Effect: send a control message to a router.

    Attributes:
        to: VM name or control address of the router.
        message: The message.
    """

    to: str
    message: messages.Message


@dataclasses.dataclass(slots=True, frozen=True)
class ApplyRecords:
    """Effect: put the records into effect, since some have changed."""


@dataclasses.dataclass(slots=True, frozen=True)
class RecordProof:
    """Effect: renew the lease, since the records are proven to be recent.

    Attributes:
        proven_at: When the records in effect were certainly the newest, by this
            process's clock.
    """

    proven_at: float


@dataclasses.dataclass(slots=True, frozen=True)
class BeginSettling:
    """Effect: keep in force what the restored platform may have lost.

    Attributes:
        until: When the records count as complete again, by this process's
            clock. Proofs of earlier times don't renew the lease.
        withdraw: Whether the lease in effect has to end, since this process
            started after the restoration and learned of it only now.
        era_before: The era before the restoration; None if unknown.
        era: The platform's era.
        returned: Number of records that came back with the copy.
    """

    until: float
    withdraw: bool
    era_before: int | None
    era: int
    returned: int


Effect = (
    StartRead
    | CancelRead
    | SendMessage
    | ApplyRecords
    | RecordProof
    | BeginSettling
)


@dataclasses.dataclass(slots=True)
class Replica:
    """The records, and the state that is needed to keep them up to date.

    Attributes:
        incarnation: Incarnation of this process.
        control: Address at which this process receives control messages.
        records: The platform's records as far as they are known.
        read_schedule: When to read the platform.
        readers: Subscriptions of this router, and of other routers to it.
        announced_revision: Latest revision announced by another router whose
            records this replica lacked; 0 before any is announced.
        announced_proof: When that revision was certainly the newest.
        choose_readers_at: When the readers are chosen next.
        known_at_read: Revision of the records when the read in progress was
            sent.
        settles_at: When the records count as complete after a restoration that
            this process has learned of; None if it knows of none.
        settling: Whether that time has yet to come.
    """

    incarnation: int
    control: str
    read_schedule: read_schedule_module.ReadSchedule
    readers: readers_module.ReaderSelection
    records: records_module.Records = dataclasses.field(
        default_factory=records_module.Records
    )
    announced_revision: int = 0
    announced_proof: float = float("-inf")
    choose_readers_at: float = float("-inf")
    known_at_read: int = 0
    settles_at: float | None = None
    settling: bool = False


def create_replica(
    now: float,
    seed: int,
    incarnation: int,
    control: str,
    readers: readers_module.ReaderSelection,
    seeds: Sequence[str],
) -> Replica:
    """Creates the empty replica of a process that has just started.

    Args:
        now: Current time of this process's clock.
        seed: Seed of the random jitter.
        incarnation: Incarnation of this process.
        control: Address at which this process receives control messages.
        readers: VM name and failure domain of this router; gets subscriptions
            to the seed routers.
        seeds: Control addresses of the seed routers, to which this router
            subscribes first. A seed router itself reads the platform at once.
    """
    read_at_once = not seeds or control in seeds
    read_schedule = read_schedule_module.create_read_schedule(
        now, seed, read_at_once
    )
    replica = Replica(incarnation, control, read_schedule, readers)
    readers.subscriptions = {
        address: readers_module.Subscription(now, float("-inf"), now, False)
        for address in seeds
        if address != control
    }
    replica.choose_readers_at = now + CATCH_UP_TIMEOUT
    return replica


def find_next_due(replica: Replica) -> float:
    """Returns when `run_timers` has to be called next."""
    return min(
        read_schedule_module.find_next_due(replica.read_schedule),
        readers_module.find_next_due(replica.readers),
        replica.choose_readers_at,
        replica.settles_at if replica.settling else float("inf"),
    )


def run_timers(
    replica: Replica,
    now: float,
    rank_routers: RankRouters,
    read_until: float = math.inf,
) -> list[Effect]:
    """Cancels an expired read, chooses readers, and starts what is due.

    Args:
        replica: The replica; changed.
        now: Current time of this process's clock.
        rank_routers: See `RankRouters`; called when readers are chosen.
        read_until: Time up to which input was handled. Guards against a busy
            process that gives up a read whose answer it has not handled yet.

    Returns:
        Effects to perform.
    """
    read_schedule, readers = replica.read_schedule, replica.readers
    effects: list[Effect] = []
    if replica.settling and now >= replica.settles_at:
        replica.settling = False
        replica.records.returned.clear()
        effects.append(ApplyRecords())
    if read_schedule_module.is_read_expired(
        read_schedule, min(now, read_until)
    ):
        effects += [CancelRead(), *handle_read_failure(replica, now)]
    if now >= replica.choose_readers_at:
        replica.choose_readers_at = now + READER_CHOICE_INTERVAL
        can_read = read_schedule.failures == 0
        read_schedule.is_reader = readers_module.choose_readers(
            readers, now, rank_routers(), can_read
        )
    for name, changes_only in readers_module.renew_due_subscriptions(
        readers, now
    ):
        subscribe = messages.Subscribe(
            replica.control, now, replica.records.revision, changes_only
        )
        effects.append(SendMessage(name, subscribe))
    kind = read_schedule_module.start_due_read(read_schedule, now)
    if kind is not None:
        replica.known_at_read = replica.records.revision
        effects.append(StartRead(kind))
    return effects


def is_contradictory(replica: Replica, revision: int) -> bool:
    """Returns whether an answer is from before what was known as it was asked.

    Reads are linearizable, so such a platform was restored without a higher
    era, or no longer states its era. Its answers prove nothing, and can't be
    ordered; the read counts as failed, so that the lease runs out.
    """
    return revision < replica.known_at_read


def handle_probe(replica: Replica, now: float, revision: int) -> list[Effect]:
    """Handles the answer to a probe.

    If the platform has a later revision than the replica, a snapshot is
    scheduled for now; otherwise the answer proves that the records were the
    newest when the probe was sent.

    Args:
        replica: The replica; changed.
        now: Current time of this process's clock.
        revision: The platform's revision.

    Returns:
        Effects to perform.
    """
    could_read = replica.read_schedule.failures == 0
    sent_at = read_schedule_module.finish_read(
        replica.read_schedule, now, succeeded=True
    )
    if revision > replica.records.revision:
        read_schedule_module.schedule_snapshot(replica.read_schedule, now)
        return [] if could_read else _send_state_to_all(replica, now)
    return _record_proof(replica, now, sent_at, by_own_read=True)


def handle_snapshot(
    replica: Replica,
    now: float,
    revision: int,
    listed: Iterable[messages.Record],
) -> list[Effect]:
    """Handles a snapshot that was read from the platform.

    Args:
        replica: The replica; changed.
        now: Current time of this process's clock.
        revision: Revision up to which the records include every change.
        listed: All records.

    Returns:
        Effects to perform.
    """
    sent_at = read_schedule_module.finish_read(
        replica.read_schedule, now, succeeded=True
    )
    before = replica.records.revision
    outcome = records_module.apply_snapshot(replica.records, revision, listed)
    effects = _begin_settling(replica, now, before)
    if outcome is not records_module.UpdateOutcome.UNCHANGED or not before:
        effects.append(ApplyRecords())
    replica.read_schedule.snapshot_due_at = float("inf")
    return effects + _handle_new_records(
        replica, now, sent_at, before, by_own_read=True
    )


def handle_read_failure(replica: Replica, now: float) -> list[Effect]:
    """Handles a read that failed or timed out.

    After the first failure in a row, subscribers are notified at once that this
    process can't read. Otherwise they would wait for a proof that doesn't come.
    """
    could_read = replica.read_schedule.failures == 0
    read_schedule_module.finish_read(
        replica.read_schedule, now, succeeded=False
    )
    if not could_read:
        return []
    replica.choose_readers_at = now
    return _send_state_to_all(replica, now)


def receive_message(
    replica: Replica, now: float, envelope: messages.Envelope
) -> list[Effect]:
    """Handles a control message from another router.

    Args:
        replica: The replica; changed.
        now: Current time of this process's clock.
        envelope: The message and its sender.

    Returns:
        Effects to perform; none for a message that is not
        about records.
    """
    sender, message = envelope.sender, envelope.message
    match message:
        case messages.Subscribe():
            return _handle_subscribe(replica, now, envelope)
        case messages.ReaderState():
            return _handle_reader_state(replica, now, sender, message)
        case messages.FetchRecords():
            return _handle_fetch(replica, sender, message.since)
        case messages.RecordChanges():
            return _handle_changes(replica, now, sender, message)
    return []


def _handle_subscribe(
    replica: Replica, now: float, envelope: messages.Envelope
) -> list[Effect]:
    subscribe: messages.Subscribe = envelope.message
    is_new = readers_module.record_subscription(replica.readers, now, envelope)
    lags = subscribe.revision < replica.records.revision
    if is_new or lags or replica.read_schedule.failures:
        subscriber = replica.readers.subscribers[envelope.sender]
        return [_build_state_message(replica, envelope.sender, subscriber)]
    return []


def _build_state_message(
    replica: Replica, name: str, subscriber: readers_module.Subscriber
) -> SendMessage:
    state = messages.ReaderState(
        subscriber.process_incarnation,
        replica.records.revision,
        replica.read_schedule.proven_at + subscriber.clock_offset,
        replica.read_schedule.failures == 0,
        float("-inf")
        if replica.settles_at is None
        else replica.settles_at + subscriber.clock_offset,
    )
    return SendMessage(name, state)


def _begin_settling(replica: Replica, now: float, before: int) -> list[Effect]:
    """Begins to settle if the new records are of a later era than those before.

    Args:
        replica: The replica, which has the new records already; changed.
        now: Current time of this process's clock.
        before: Revision of the replica before the new records; 0 if it had
            none.

    Returns:
        Effects to perform before the records are put into effect.
    """
    era_before = revisions.get_era(before)
    era = revisions.get_era(replica.records.revision)
    if not before or era <= era_before:
        return []
    replica.settles_at, replica.settling = now + SETTLING_TIME, True
    returned = len(replica.records.returned)
    return [BeginSettling(replica.settles_at, False, era_before, era, returned)]


def _learn_settling(
    replica: Replica, now: float, state: messages.ReaderState
) -> list[Effect]:
    """Settles with a router that learned of a restoration before.

    A process that started after the restoration doesn't learn of it otherwise.

    Returns:
        Effects to perform; none if this process has records of another era, or
        knows of a restoration itself.
    """
    era = revisions.get_era(state.revision)
    known = replica.records.revision
    if (
        replica.settles_at is not None
        or state.settles_at <= now
        or (known and revisions.get_era(known) != era)
    ):
        return []
    replica.settles_at = min(state.settles_at, now + SETTLING_TIME)
    replica.settling = True
    return [BeginSettling(replica.settles_at, True, None, era, 0)]


def _send_state_to_all(
    replica: Replica, now: float, changed: bool = False
) -> list[Effect]:
    """Sends this replica's revision and latest proof to its subscribers.

    Args:
        replica: The replica; expired subscribers are removed.
        now: Current time of this process's clock.
        changed: Whether the revision has changed, so that subscribers for
            changes only are notified as well.

    Returns:
        A message to each subscriber concerned.
    """
    subscribers = readers_module.list_subscribers(replica.readers, now)
    return [
        _build_state_message(replica, name, subscriber)
        for name, subscriber in subscribers
        if changed or not subscriber.changes_only
    ]


def _handle_reader_state(
    replica: Replica, now: float, sender: str, state: messages.ReaderState
) -> list[Effect]:
    if state.process_incarnation != replica.incarnation:
        return []
    readers = replica.readers
    if sender in readers.subscriptions:
        readers.subscriptions[sender].heard_at = now
    if state.reads_succeed:
        readers.excluded_until.pop(sender, None)
    elif readers.excluded_until.get(sender, now) <= now:
        readers_module.exclude_reader(readers, now, sender)
        replica.choose_readers_at = now
    proven_at = min(state.proven_at, now)
    effects = _learn_settling(replica, now, state)
    if state.revision <= replica.records.revision:
        return effects + _record_proof(
            replica, now, proven_at, by_own_read=False
        )
    if (
        state.revision >= replica.announced_revision
        and proven_at >= replica.announced_proof
    ):
        replica.announced_revision, replica.announced_proof = (
            state.revision,
            proven_at,
        )
    read_schedule_module.schedule_snapshot(
        replica.read_schedule, now + CATCH_UP_TIMEOUT
    )
    known = replica.records.revision
    is_same_era = revisions.get_era(state.revision) == revisions.get_era(known)
    fetch = messages.FetchRecords(known if is_same_era else 0)
    return [*effects, SendMessage(sender, fetch)]


def _handle_fetch(replica: Replica, sender: str, since: int) -> list[Effect]:
    if not replica.records.revision:
        return []
    changes = records_module.collect_changes(replica.records, since)
    size = sum(len(record.value) for record in changes.records)
    return [SendMessage(sender, changes)] if size <= MAX_CHANGES_SIZE else []


def _handle_changes(
    replica: Replica, now: float, sender: str, changes: messages.RecordChanges
) -> list[Effect]:
    before = replica.records.revision
    outcome = records_module.apply_changes(replica.records, changes)
    effects = _begin_settling(replica, now, before)
    if outcome is not records_module.UpdateOutcome.UNCHANGED:
        effects.append(ApplyRecords())
    if outcome is records_module.UpdateOutcome.INCOMPLETE:
        return [*effects, SendMessage(sender, messages.FetchRecords(0))]
    return effects + _handle_new_records(
        replica, now, float("-inf"), before, by_own_read=False
    )


def _handle_new_records(
    replica: Replica,
    now: float,
    proven_at: float,
    before: int,
    by_own_read: bool,
) -> list[Effect]:
    """Records the proof of new records and announces a new revision.

    If the records include the revision that another router announced, that
    router's proof holds as well, and a scheduled snapshot is cancelled.

    Args:
        replica: The replica, which has the new records already; changed.
        now: Current time of this process's clock.
        proven_at: When the records were the newest; minus infinity if
            unknown.
        before: Revision of the replica before the new records.
        by_own_read: Whether this process read the records from the platform.

    Returns:
        Effects to perform.
    """
    revision = replica.records.revision
    if revision >= replica.announced_revision:
        if replica.announced_proof > proven_at:
            proven_at, by_own_read = replica.announced_proof, False
        replica.read_schedule.snapshot_due_at = float("inf")
    else:
        read_schedule_module.schedule_snapshot(
            replica.read_schedule, now + CATCH_UP_TIMEOUT
        )
    effects = _record_proof(replica, now, proven_at, by_own_read)
    if revision > before:
        others = [
            effect for effect in effects if not isinstance(effect, SendMessage)
        ]
        return others + _send_state_to_all(replica, now, changed=True)
    return effects


def _record_proof(
    replica: Replica, now: float, proven_at: float, by_own_read: bool
) -> list[Effect]:
    """Records when the records were the newest; forwards proofs of own reads.

    Args:
        replica: The replica; changed.
        now: Current time of this process's clock.
        proven_at: When the records were the newest.
        by_own_read: Whether a read by this process proved it; only then are
            the subscribers notified.

    Returns:
        Effects to perform; none unless the proof is later
        than the last one.
    """
    if not read_schedule_module.record_proof(
        replica.read_schedule, proven_at, by_own_read
    ):
        return []
    renewal: list[Effect] = [RecordProof(proven_at)]
    return (
        renewal + _send_state_to_all(replica, now) if by_own_read else renewal
    )
