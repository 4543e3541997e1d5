"""Outcome records of a sidecar: what became of each attempt it was sent."""

__all__ = [
    "RECORD_LIFETIME",
    "OutcomeRecord",
    "OutcomeRecords",
    "answer_query",
    "expire_records",
    "record_outcome",
    "try_start",
]

import dataclasses

from sycamorefall import messages

RECORD_LIFETIME = 600.0
"""Seconds for which an outcome is remembered after its last change."""


@dataclasses.dataclass(slots=True)
class OutcomeRecord:
    """What is known of one attempt.

    Attributes:
        state: What became of it.
        changed: When that became known.
    """

    state: messages.AttemptState
    changed: float


@dataclasses.dataclass(slots=True)
class OutcomeRecords:
    """Records of one sidecar incarnation by attempt, oldest change first."""

    records: dict[str, OutcomeRecord] = dataclasses.field(default_factory=dict)


def record_outcome(
    outcomes: OutcomeRecords,
    now: float,
    attempt_id: str,
    state: messages.AttemptState,
) -> None:
    """Records what became of an attempt."""
    outcomes.records.pop(attempt_id, None)
    outcomes.records[attempt_id] = OutcomeRecord(state, now)


def try_start(outcomes: OutcomeRecords, now: float, attempt_id: str) -> bool:
    """Records the start of an attempt unless there is a record of it.

    Guards against a hand-out that arrives twice, or after the router was
    told that the attempt was never seen: the record (a tombstone in the
    latter case) refuses it, so what was called "not run" never runs.

    Returns:
        Whether the attempt may start.
    """
    if attempt_id in outcomes.records:
        return False
    record_outcome(outcomes, now, attempt_id, messages.AttemptState.STARTED)
    return True


def answer_query(
    outcomes: OutcomeRecords, now: float, attempt_id: str
) -> messages.AttemptState:
    """Tells what became of an attempt; one never seen is refused from now on.

    Args:
        outcomes: The records; a tombstone is added for an unseen attempt.
        now: This process's time.
        attempt_id: The attempt.

    Returns:
        Its state.
    """
    record = outcomes.records.get(attempt_id)
    if record is not None:
        return record.state
    record_outcome(outcomes, now, attempt_id, messages.AttemptState.REFUSED)
    return messages.AttemptState.NEVER_SEEN


def expire_records(outcomes: OutcomeRecords, now: float) -> None:
    """Forgets outcomes that no router can still ask for."""
    while outcomes.records:
        attempt_id, record = next(iter(outcomes.records.items()))
        if now - record.changed < RECORD_LIFETIME:
            return
        del outcomes.records[attempt_id]
