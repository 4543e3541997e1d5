"""Exchange of crash evidence between routers.

Repetitions of a request that crashes upstreams may arrive at different routers,
each of which sees only one crash. A router sends new evidence to its failure
domain within `BATCH_INTERVAL`. The domain's delegates forward it to the
delegates of the other domains, which forward it within theirs. New evidence is
sent several times because messages may be lost. Delegates also send a summary
once a second, for routers that were unreachable or have just started.
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
from sycamorefall.direct.fingerprints import FINGERPRINT_SIZE
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

MAX_RECORDS = 64
"""Records in one message: 1.3 KB at about 20 bytes each. The remaining ones are
sent with the next message."""

_Record = tuple[Crash, bytes]


@dataclasses.dataclass(slots=True)
class _Outbox:
    """Records to be sent to a set of receivers.

    Attributes:
        left: Remaining sends of each record.
        due: Earliest time of the next message.
        sent_at: Time of the last message.
    """

    left: dict[_Record, int] = dataclasses.field(default_factory=dict)
    due: float = float("-inf")
    sent_at: float = float("-inf")


@dataclasses.dataclass(slots=True)
class CrashExchange:
    """Crash evidence that a router has yet to send.

    Attributes:
        near: For the routers of its failure domain.
        far: For the delegates of the other failure domains.
        summary_due: Time of the next summary, if this router is a delegate.
    """

    near: _Outbox = dataclasses.field(default_factory=_Outbox)
    far: _Outbox = dataclasses.field(default_factory=_Outbox)
    summary_due: float = float("-inf")


def find_next_due(
    crashes: CrashExchange, state: state_module.DirectState
) -> float:
    """Tells when the next message is due; infinity if none is."""
    if state.quarantine.unsent:
        return float("-inf")
    due = min(
        (one.due for one in (crashes.near, crashes.far) if one.left),
        default=float("inf"),
    )
    if state.quarantine.suspects:
        due = min(due, crashes.summary_due)
    return due


def build_due_messages(
    crashes: CrashExchange,
    exchange: exchange_module.Exchange,
    state: state_module.DirectState,
    now: float,
) -> list[exchange_module.OutboundMessage]:
    """Writes the messages that are due.

    Args:
        crashes: Evidence to be sent; changed.
        exchange: What is known of the other routers.
        state: The router's state; changed.
        now: This process's time.

    Returns:
        The messages with their receivers.
    """
    unsent, state.quarantine.unsent = state.quarantine.unsent, []
    _queue(crashes.near, now, unsent, SEND_COUNT)
    near, far = exchange_module.list_local_receivers(exchange, state), ()
    is_delegate = exchange_module.is_delegate(exchange, state, now)
    if is_delegate:
        _queue(crashes.far, now, unsent, SEND_COUNT)
        far = exchange_module.list_remote_delegates(exchange, state, now)
    reports = [
        exchange_module.OutboundMessage(receivers, message)
        for outbox, receivers in ((crashes.near, near), (crashes.far, far))
        if (message := _write_outbox(outbox, state, now)) is not None
    ]
    if now >= crashes.summary_due:
        crashes.summary_due = now + SUMMARY_INTERVAL
        message = _write_summary(state, now) if is_delegate else None
        if message is not None:
            reports.append(
                exchange_module.OutboundMessage((*near, *far), message)
            )
    return reports


def _queue(
    outbox: _Outbox, now: float, records: Iterable[_Record], send_count: int
) -> None:
    due = max(now, outbox.sent_at + BATCH_INTERVAL)
    for record in records:
        outbox.left[record] = send_count
        outbox.due = min(outbox.due, due)


def _write_outbox(
    outbox: _Outbox, state: state_module.DirectState, now: float
) -> messages.CrashReports | None:
    if not outbox.left or now < outbox.due:
        return None
    # Requests with the most crashes go first, so that a backlog doesn't delay
    # quarantines; among equals, records with the most remaining sends.
    batch = heapq.nlargest(
        MAX_RECORDS,
        outbox.left.items(),
        key=lambda item: (_count_crashes(state, item[0]), item[1]),
    )
    for record, left in batch:
        if left > 1:
            outbox.left[record] = left - 1
        else:
            del outbox.left[record]
    outbox.sent_at, outbox.due = now, now + SEND_INTERVAL
    records = [record for record, _ in batch]
    found = quarantine_module.list_evidence(state.quarantine, records)
    return _write_reports(now, found)


def _count_crashes(state: state_module.DirectState, record: _Record) -> int:
    return quarantine_module.count_crashes(state.quarantine, record[1])


def _write_summary(
    state: state_module.DirectState, now: float
) -> messages.CrashReports | None:
    """Writes suspects with several crashes, most crashes first."""
    quarantine = state.quarantine
    found = [
        (len(suspect.crashes), suspect.seen_at, fingerprint)
        for fingerprint, suspect in quarantine.suspects.items()
        if len(suspect.crashes) > 1
    ]
    records = (
        (crash, fingerprint)
        for *_, fingerprint in sorted(found, reverse=True)
        for crash in quarantine.suspects[fingerprint].crashes
    )
    batch = itertools.islice(records, MAX_RECORDS)
    return _write_reports(
        now, quarantine_module.list_evidence(quarantine, batch)
    )


def _write_reports(
    now: float, found: Iterable[Evidence]
) -> messages.CrashReports | None:
    by_crash: dict[Crash, list[messages.SuspectRecord]] = {}
    for one in found:
        # Rounding down would let two routers keep a record from expiring by
        # sending it to each other.
        age = math.ceil(max(0.0, now - one.seen_at))
        record = messages.SuspectRecord(one.fingerprint, age, one.cleared)
        by_crash.setdefault(one.crash, []).append(record)
    if not by_crash:
        return None
    return messages.CrashReports(
        tuple(
            messages.CrashReport(crash.upstream, crash.born, tuple(records))
            for crash, records in by_crash.items()
        )
    )


def handle_reports(
    crashes: CrashExchange,
    exchange: exchange_module.Exchange,
    state: state_module.DirectState,
    now: float,
    envelope: messages.Envelope,
) -> list[bytes]:
    """Adds crash evidence from another router and queues it for forwarding.

    Args:
        crashes: Evidence to be sent; changed.
        exchange: What is known of the other routers.
        state: The router's state; changed.
        now: This process's time.
        envelope: `CrashReports` and their sender.

    Returns:
        Fingerprints that are newly quarantined.
    """
    reports: messages.CrashReports = envelope.message
    found = [
        Evidence(
            Crash(report.upstream, report.born),
            record.fingerprint,
            record.cleared,
            now - record.age,
        )
        for report in reports.reports
        for record in report.suspects
        if len(record.fingerprint) == FINGERPRINT_SIZE and record.age >= 0
    ]
    new, quarantined = quarantine_module.add_evidence(
        state.quarantine, now, found
    )
    records = [(one.crash, one.fingerprint) for one in new]
    if (
        exchange_module.classify_domain(exchange, state, envelope.sender)
        != "own"
    ):
        _queue(crashes.near, now, records, FORWARD_COUNT)
    elif exchange_module.is_delegate(exchange, state, now):
        _queue(crashes.far, now, records, FORWARD_COUNT)
    return quarantined
