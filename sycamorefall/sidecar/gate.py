"""The gate between a sidecar and its upstream: never more than the limit.

A sidecar claims slightly ahead of a slot that comes free. What arrives before
the slot is free is held here, so that the upstream never has more in progress
than the configured cap, and the slot is filled again without a message.
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
    """Runs of one upstream, held or passed on.

    Attributes:
        limit: The upstream's concurrency limit.
        held: What starts each held run, by attempt, in order of arrival.
        started_at: When each run was passed to the upstream, by attempt.
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
    """Starts a run, now or as soon as the limit lets it.

    Args:
        gate: The gate; changed.
        now: This process's time.
        attempt_id: The run's attempt.
        start: Sends its request to the upstream.
    """
    gate.held[attempt_id] = start
    start_held_runs(gate, now)


def start_held_runs(gate: ConcurrencyGate, now: float) -> None:
    """Starts held runs while the limit lets them."""
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
    whole: bool,
    is_engine: bool,
) -> None:
    """Ends a run, held or passed on, and starts the next.

    Args:
        gate: The gate; changed.
        now: This process's time.
        attempt_id: The run's attempt; one that already left changes nothing.
        whole: Whether the upstream answered; a connection that fails at once
            is no sign of a fast upstream.
        is_engine: Whether the upstream is a model engine.
    """
    gate.held.pop(attempt_id, None)
    since = gate.started_at.pop(attempt_id, None)
    if since is None:
        return
    if whole:
        admission.adjust_to_latency(gate.limit, now, now - since, is_engine)
    admission.record_end(gate.limit, now)
    start_held_runs(gate, now)
