"""A sidecar's records of the attempts that routers sent it.

By these records a sidecar starts each attempt at most once, and answers a
router that lost the connection of an attempt and queries its state.
"""

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
"""Seconds for which the record of a settled attempt is kept.

A router trusts the state "never seen" only for attempts younger than this.
Otherwise it could take an attempt whose record was dropped for one that never
arrived.
"""


@dataclasses.dataclass(slots=True)
class SettledRecord:
    """Final state of an attempt.

    Attributes:
        state: `REFUSED` or `FINISHED`.
        settled_at: When the state was recorded, by this process's clock.
    """

    state: messages.AttemptState
    settled_at: float


@dataclasses.dataclass(slots=True)
class OutcomeRecords:
    """Records of the attempts that one sidecar process was sent.

    Attributes:
        started: IDs of the attempts in progress. They don't expire. If they
            did, a long run would be reported as never seen, and its request
            would be run a second time.
        settled: Records of attempts that were refused or have ended, by attempt
            ID, earliest first.
    """

    started: set[str] = dataclasses.field(default_factory=set)
    settled: dict[str, SettledRecord] = dataclasses.field(default_factory=dict)


def find_attempt_state(
    outcomes: OutcomeRecords, attempt_id: str
) -> messages.AttemptState | None:
    """Looks up the state of an attempt; None if there is no record of it."""
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
    """Records that an attempt was refused or has ended.

    Args:
        outcomes: The records; changed.
        now: This process's time, in seconds.
        attempt_id: The attempt.
        state: `REFUSED` or `FINISHED`.
    """
    outcomes.started.discard(attempt_id)
    outcomes.settled.pop(attempt_id, None)
    outcomes.settled[attempt_id] = SettledRecord(state, now)


def try_start(outcomes: OutcomeRecords, attempt_id: str) -> bool:
    """Records the start of an attempt unless there is a record of it.

    The request that carries the attempt may arrive twice, or after the router
    was informed that the attempt was never seen. In the latter case
    `answer_query` has left a tombstone. Either record prevents the start, so a
    request that was reported as not run is never run.

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
    """Looks up an attempt's state; marks an unknown attempt as refused.

    Args:
        outcomes: The records. If the attempt is unknown, a tombstone with the
            state `REFUSED` is added.
        now: This process's time, in seconds.
        attempt_id: The attempt.

    Returns:
        The state before the call: `NEVER_SEEN` if the attempt was unknown.

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
    """Drops the records of attempts that settled `RECORD_LIFETIME` ago."""
    while outcomes.settled:
        attempt_id, record = next(iter(outcomes.settled.items()))
        if now - record.settled_at < RECORD_LIFETIME:
            return
        del outcomes.settled[attempt_id]
