"""Outcome records: what a sidecar knows of each attempt it was sent."""

__all__ = [
    "RECORD_LIFETIME",
    "OutcomeRecords",
    "SettledRecord",
    "answer_query",
    "expire_records",
    "find_attempt_state",
    "record_settled_state",
    "try_start",
]

import dataclasses

from sycamorefall import messages

RECORD_LIFETIME = 600.0
"""Seconds for which an outcome is remembered once it is settled.

A router believes "never seen" only about attempts younger than this, so a
record that was dropped can't be taken for an attempt that never came.
"""


@dataclasses.dataclass(slots=True)
class SettledRecord:
    """What became of one attempt.

    Attributes:
        state: `REFUSED` or `FINISHED`.
        changed: When that became known.
    """

    state: messages.AttemptState
    changed: float


@dataclasses.dataclass(slots=True)
class OutcomeRecords:
    """Records of one sidecar incarnation.

    Attributes:
        started: Attempts in progress. They are kept for as long as they run:
            dropped by age, a long run would be reported as never seen, and
            its request would be run a second time.
        settled: Attempts that were refused or have ended, oldest first.
    """

    started: set[str] = dataclasses.field(default_factory=set)
    settled: dict[str, SettledRecord] = dataclasses.field(default_factory=dict)


def find_attempt_state(
    outcomes: OutcomeRecords, attempt_id: str
) -> messages.AttemptState | None:
    """Tells what became of an attempt, or None if it was never seen."""
    if attempt_id in outcomes.started:
        return messages.AttemptState.STARTED
    record = outcomes.settled.get(attempt_id)
    return record.state if record else None


def record_settled_state(
    outcomes: OutcomeRecords,
    now: float,
    attempt_id: str,
    state: messages.AttemptState,
) -> None:
    """Records that an attempt is settled: `REFUSED` or `FINISHED`."""
    outcomes.started.discard(attempt_id)
    outcomes.settled.pop(attempt_id, None)
    outcomes.settled[attempt_id] = SettledRecord(state, now)


def try_start(outcomes: OutcomeRecords, attempt_id: str) -> bool:
    """Records the start of an attempt unless there is a record of it.

    Guards against a hand-out that arrives twice, or after the router was
    told that the attempt was never seen: the record (a tombstone in the
    latter case) refuses it, so what was called "not run" never runs.

    Returns:
        Whether the attempt may start.
    """
    if find_attempt_state(outcomes, attempt_id) is not None:
        return False
    outcomes.started.add(attempt_id)
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

    Example:
        >>> records = OutcomeRecords()
        >>> answer_query(records, 0.0, "router-1/1/1/1").value
        'never_seen'
        >>> try_start(records, "router-1/1/1/1")
        False
    """
    known = find_attempt_state(outcomes, attempt_id)
    if known is not None:
        return known
    record_settled_state(
        outcomes, now, attempt_id, messages.AttemptState.REFUSED
    )
    return messages.AttemptState.NEVER_SEEN


def expire_records(outcomes: OutcomeRecords, now: float) -> None:
    """Forgets settled outcomes that no router can still ask for."""
    while outcomes.settled:
        attempt_id, record = next(iter(outcomes.settled.items()))
        if now - record.changed < RECORD_LIFETIME:
            return
        del outcomes.settled[attempt_id]
