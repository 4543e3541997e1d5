"""Gate that enforces the concurrency limit of a sidecar's upstream.

A sidecar claims requests slightly before a slot becomes free. Runs that arrive
before that are held at the gate. The upstream therefore never has more requests
in progress than the configured cap, and a free slot is filled without waiting
for a message.
"""

__all__ = [
    "ConcurrencyGate",
    "release_run",
    "start_held_runs",
    "submit_run",
]

from collections.abc import Callable
import dataclasses

from sycamorefall import admission


@dataclasses.dataclass(slots=True)
class ConcurrencyGate:
    """Runs of one upstream, held or started.

    Attributes:
        limit: Concurrency limit of the upstream.
        held: Callback that starts each held run, by attempt, in order of
            arrival.
        started_at: Time at which each run was started at the upstream, by
            attempt.
    """

    limit: admission.ConcurrencyLimit
    held: dict[str, Callable[[], None]] = dataclasses.field(
        default_factory=dict
    )
    started_at: dict[str, float] = dataclasses.field(default_factory=dict)


def submit_run(
    gate: ConcurrencyGate,
    now: float,
    attempt_id: str,
    start: Callable[[], None],
) -> None:
    """Starts a run now, or as soon as the limit allows it.

    Args:
        gate: The gate; changed.
        now: This process's time, in seconds.
        attempt_id: Attempt of the run.
        start: Sends the request to the upstream.
    """
    gate.held[attempt_id] = start
    start_held_runs(gate, now)


def start_held_runs(gate: ConcurrencyGate, now: float) -> None:
    """Starts held runs while the limit allows it."""
    while gate.held and admission.count_startable(gate.limit):
        attempt_id = next(iter(gate.held))
        start = gate.held.pop(attempt_id)
        gate.started_at[attempt_id] = now
        admission.record_start(gate.limit, now)
        start()


def release_run(
    gate: ConcurrencyGate,
    now: float,
    attempt_id: str,
    answered: bool,
    is_engine: bool,
) -> None:
    """Removes a run that has ended, held or started, and starts held runs.

    Args:
        gate: The gate; changed.
        now: This process's time, in seconds.
        attempt_id: Attempt of the run. If it was removed before, nothing
            changes.
        answered: Whether the upstream responded. Without a response, the run's
            duration isn't used as a latency: a connection that fails at once
            doesn't show that the upstream is fast.
        is_engine: Whether the upstream is a model engine.
    """
    gate.held.pop(attempt_id, None)
    started = gate.started_at.pop(attempt_id, None)
    if started is None:
        return
    if answered:
        admission.adjust_to_latency(gate.limit, now, now - started, is_engine)
    admission.record_end(gate.limit, now)
    start_held_runs(gate, now)
