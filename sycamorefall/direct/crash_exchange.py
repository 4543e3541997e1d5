"""Exchange of crash evidence between routers.

Repetitions of a request that crashes upstreams may arrive at different routers,
each of which sees only one crash. A router sends new evidence to its failure
domain within `BATCH_INTERVAL`. The domain's delegates forward it to the
delegates of the other domains, which forward it within their domains. New
evidence is sent several times because messages may be lost. Delegates also send
a summary once a second, for routers that were unreachable or have just started.
"""

__all__ = [
    "CrashExchange",
    "build_due_messages",
    "find_next_due",
    "handle_reports",
]

from collections.abc import Iterable
import dataclasses
import heapq
import itertools
import math

from sycamorefall import messages
from sycamorefall.direct import exchange as exchange_module
from sycamorefall.direct import quarantine as quarantine_module
from sycamorefall.direct import state as state_module
from sycamorefall.direct.fingerprints import (
    FINGERPRINT_SIZE,
    PART_FINGERPRINT_SIZE,
    SOURCE_SIZE,
)
from sycamorefall.direct.quarantine import Crash, Evidence

SEND_COUNT = 3
"""Number of times that new evidence is sent, in case messages are lost."""

FORWARD_COUNT = 2
"""Number of times that a delegate sends forwarded evidence. Lower than
`SEND_COUNT` because the domain's other delegate forwards it too."""

SEND_INTERVAL = 0.3
"""Seconds until evidence is sent again if no new evidence is queued."""

BATCH_INTERVAL = 0.05
"""Minimum seconds between two messages with new evidence to the same receivers.
Batches evidence of a crash, which many routers report within milliseconds."""

SUMMARY_INTERVAL = 1.0
"""Seconds between two summaries of a delegate."""

CLEAR_DELAY_PER_ROUTER = 0.005
"""Seconds by which the maximum delay of a clearing grows with each router. All
routers at which a part succeeded may clear it of another router's crash; those
that hear one of the others do so first say nothing."""

MAX_CLEAR_DELAY = 1.0
"""Maximum delay of a clearing, in seconds."""

MAX_RECORDS = 64
"""Maximum number of records in a message: 1.3 KB at about 20 bytes each. The
remaining records are sent with the next message."""

_Record = tuple[Crash, bytes]


@dataclasses.dataclass(slots=True)
class _Outbox:
    """Records to be sent to a set of receivers.

    Attributes:
        remaining: Remaining sends of each record.
        due: Earliest time of the next message.
        sent_at: Time of the last message.
    """

    remaining: dict[_Record, int] = dataclasses.field(default_factory=dict)
    due: float = float("-inf")
    sent_at: float = float("-inf")


@dataclasses.dataclass(slots=True)
class CrashExchange:
    """Crash evidence that a router has yet to send.

    Attributes:
        local_outbox: Evidence for the routers of its failure domain.
        remote_outbox: Evidence for the delegates of the other failure domains.
        summary_due: Time of the next summary, if this router is a delegate.
        clearings: When to tell the other routers that a part is cleared of a
            crash, or was answered before it, unless another one does before.
    """

    local_outbox: _Outbox = dataclasses.field(default_factory=_Outbox)
    remote_outbox: _Outbox = dataclasses.field(default_factory=_Outbox)
    summary_due: float = float("-inf")
    clearings: dict[_Record, float] = dataclasses.field(default_factory=dict)


def find_next_due(
    pending: CrashExchange, state: state_module.DirectState
) -> float:
    """Returns when the next message is due; infinity if none is."""
    if state.quarantine.unsent:
        return float("-inf")
    due = min(
        (
            one.due
            for one in (pending.local_outbox, pending.remote_outbox)
            if one.remaining
        ),
        default=float("inf"),
    )
    if state.quarantine.suspects:
        due = min(due, pending.summary_due)
    return min(due, min(pending.clearings.values(), default=float("inf")))


def build_due_messages(
    pending: CrashExchange,
    exchange: exchange_module.Exchange,
    state: state_module.DirectState,
    now: float,
) -> list[exchange_module.OutboundMessage]:
    """Builds the messages that are due.

    Args:
        pending: Evidence to be sent; changed.
        exchange: The other routers as this one knows them.
        state: The router's state; changed.
        now: Current time of this process's clock.

    Returns:
        The messages with their receivers.
    """
    unsent, state.quarantine.unsent = state.quarantine.unsent, []
    unsent += _pop_due_clearings(pending, now)
    _enqueue(pending.local_outbox, now, unsent, SEND_COUNT)
    local_receivers, remote_delegates = (
        exchange_module.list_local_receivers(exchange, state),
        (),
    )
    is_delegate = exchange_module.is_delegate(exchange, state, now)
    if is_delegate:
        _enqueue(pending.remote_outbox, now, unsent, SEND_COUNT)
        remote_delegates = exchange_module.list_remote_delegates(
            exchange, state, now
        )
    outbound = [
        exchange_module.OutboundMessage(receivers, message)
        for outbox, receivers in (
            (pending.local_outbox, local_receivers),
            (pending.remote_outbox, remote_delegates),
        )
        if (message := _build_next_message(outbox, state, now)) is not None
    ]
    if now >= pending.summary_due:
        pending.summary_due = now + SUMMARY_INTERVAL
        message = _build_summary(state, now) if is_delegate else None
        if message is not None:
            outbound.append(
                exchange_module.OutboundMessage(
                    (*local_receivers, *remote_delegates), message
                )
            )
    return outbound


def _pop_due_clearings(pending: CrashExchange, now: float) -> list[_Record]:
    due = [one for one, when in pending.clearings.items() if when <= now]
    for record in due:
        del pending.clearings[record]
    return due


def _enqueue(
    outbox: _Outbox, now: float, records: Iterable[_Record], send_count: int
) -> None:
    """Queues records, each to be sent `send_count` times."""
    due = max(now, outbox.sent_at + BATCH_INTERVAL)
    for record in records:
        outbox.remaining[record] = send_count
        outbox.due = min(outbox.due, due)


def _build_next_message(
    outbox: _Outbox, state: state_module.DirectState, now: float
) -> messages.CrashReports | None:
    """Builds the next message of an outbox; None if none is due."""
    if not outbox.remaining or now < outbox.due:
        return None
    # Requests with the most crashes go first, so that a backlog doesn't delay
    # quarantines; among equals, records with the most remaining sends.
    batch = heapq.nlargest(
        MAX_RECORDS,
        outbox.remaining.items(),
        key=lambda item: (_count_crashes(state, item[0]), item[1]),
    )
    for record, remaining in batch:
        if remaining > 1:
            outbox.remaining[record] = remaining - 1
        else:
            del outbox.remaining[record]
    outbox.sent_at, outbox.due = now, now + SEND_INTERVAL
    records = [record for record, _ in batch]
    evidence = quarantine_module.list_evidence(state.quarantine, records)
    return _build_reports(now, evidence)


def _count_crashes(state: state_module.DirectState, record: _Record) -> int:
    return quarantine_module.count_crashes(state.quarantine, record[1])


def _build_summary(
    state: state_module.DirectState, now: float
) -> messages.CrashReports | None:
    """Builds a summary of suspects with several crashes, most crashes first."""
    quarantine = state.quarantine
    ranking = [
        (len(suspect.crashes), suspect.seen_at, fingerprint)
        for fingerprint, suspect in quarantine.suspects.items()
        if len(suspect.crashes) > 1
    ]
    records = (
        (crash, fingerprint)
        for *_, fingerprint in sorted(ranking, reverse=True)
        for crash in quarantine.suspects[fingerprint].crashes
    )
    batch = itertools.islice(records, MAX_RECORDS)
    return _build_reports(
        now, quarantine_module.list_evidence(quarantine, batch)
    )


def _build_reports(
    now: float, evidence: Iterable[Evidence]
) -> messages.CrashReports | None:
    """Builds a message from evidence; None if there is no evidence."""
    by_crash: dict[Crash, list[messages.SuspectRecord]] = {}
    for one in evidence:
        # Rounding down would let two routers keep a record from expiring by
        # sending it to each other.
        age = math.ceil(max(0.0, now - one.seen_at))
        record = messages.SuspectRecord(
            one.fingerprint,
            age,
            one.cleared,
            b"".join(sorted(one.sources)),
            one.answered,
            one.tried,
        )
        by_crash.setdefault(one.crash, []).append(record)
    if not by_crash:
        return None
    return messages.CrashReports(
        tuple(
            messages.CrashReport(
                crash.upstream, crash.start_time, tuple(records)
            )
            for crash, records in by_crash.items()
        )
    )


_FINGERPRINT_SIZES = frozenset({FINGERPRINT_SIZE, PART_FINGERPRINT_SIZE})


def _split_sources(joined: bytes) -> frozenset[bytes]:
    starts = range(0, len(joined) - SOURCE_SIZE + 1, SOURCE_SIZE)
    return frozenset(joined[one : one + SOURCE_SIZE] for one in starts)


def _delay_clearings(
    pending: CrashExchange,
    state: state_module.DirectState,
    now: float,
    cleared: Iterable[Evidence],
) -> None:
    """Schedules to tell the other routers what successes here show."""
    longest = min(MAX_CLEAR_DELAY, CLEAR_DELAY_PER_ROUTER * state.routers)
    for one in sorted(cleared):
        delay = state.random.uniform(0.0, longest)
        pending.clearings.setdefault((one.crash, one.fingerprint), now + delay)


def _is_cleared(state: state_module.DirectState, piece: Evidence) -> bool:
    suspect = state.quarantine.suspects.get(piece.fingerprint)
    return suspect is not None and piece.crash in suspect.cleared


def handle_reports(
    pending: CrashExchange,
    exchange: exchange_module.Exchange,
    state: state_module.DirectState,
    now: float,
    envelope: messages.Envelope,
) -> list[bytes]:
    """Adds crash evidence from another router and queues it for forwarding.

    Args:
        pending: Evidence to be sent; changed.
        exchange: The other routers as this one knows them.
        state: The router's state; changed.
        now: Current time of this process's clock.
        envelope: Message of type `CrashReports` with its sender.

    Returns:
        Fingerprints that are newly quarantined.
    """
    reports: messages.CrashReports = envelope.message
    evidence = [
        Evidence(
            Crash(report.upstream, report.born),
            record.fingerprint,
            record.cleared,
            now - record.age,
            _split_sources(record.sources),
            record.answered,
            record.tried,
        )
        for report in reports.reports
        for record in report.suspects
        if len(record.fingerprint) in _FINGERPRINT_SIZES and record.age >= 0
    ]
    for one in evidence:
        if one.cleared or (one.answered and not _is_cleared(state, one)):
            pending.clearings.pop((one.crash, one.fingerprint), None)
    known_here = quarantine_module.apply_proofs(state.quarantine, evidence)
    new, quarantined = quarantine_module.add_evidence(
        state.quarantine, now, known_here
    )
    _delay_clearings(pending, state, now, set(new) - set(evidence))
    records = [(one.crash, one.fingerprint) for one in new]
    if (
        exchange_module.classify_domain(exchange, state, envelope.sender)
        != "own"
    ):
        _enqueue(pending.local_outbox, now, records, FORWARD_COUNT)
    elif exchange_module.is_delegate(exchange, state, now):
        _enqueue(pending.remote_outbox, now, records, FORWARD_COUNT)
    return quarantined
