"""Limits how long an engine processes prompts without a break.

An engine processes prompts in chunks between the steps in which it generates
tokens. While prompts are pending, each step takes longer, and so do the pauses
between the events of all streams that run there. How much longer depends on the
engine, so it is observed: each pause over its route's limit shortens the time
for which the engine gets prompts without a break. That time recovers slowly.
"""

__all__ = [
    "PrefillBreaks",
    "compute_max_busy",
    "needs_break",
    "record_pause",
    "update_busy",
]

import dataclasses

MAX_BUSY_SECONDS = 2.0
"""Longest time without a break, with which an engine starts."""

MIN_BUSY_SECONDS = 0.1
"""Shortest time without a break: one long prompt."""

DECREASE = 0.8
"""Factor by which a pause over the limit shortens the time without a break."""

DECREASE_INTERVAL = 0.5
"""Minimum seconds between two decreases, as all streams of an engine pause at
the same time."""

RECOVERY_PER_SECOND = 1.03
"""Factor by which the time without a break recovers per second."""

_NEVER = float("-inf")


@dataclasses.dataclass(slots=True)
class PrefillBreaks:
    """State of the limit of one engine.

    Attributes:
        max_busy: Time in seconds without a break, as of `lowered_at`.
        lowered_at: When it was last lowered.
        busy_since: Time since which prompts have been pending without a break;
            None if none or few are pending.
    """

    max_busy: float = MAX_BUSY_SECONDS
    lowered_at: float = _NEVER
    busy_since: float | None = None


def compute_max_busy(breaks: PrefillBreaks, now: float) -> float:
    """Computes for how long the engine may get prompts without a break."""
    if breaks.lowered_at == _NEVER:
        return MAX_BUSY_SECONDS
    recovered = RECOVERY_PER_SECOND ** (now - breaks.lowered_at)
    return min(MAX_BUSY_SECONDS, breaks.max_busy * recovered)


def record_pause(breaks: PrefillBreaks, now: float) -> None:
    """Records a pause between two events that exceeded its route's limit."""
    if now - breaks.lowered_at < DECREASE_INTERVAL:
        return
    known = compute_max_busy(breaks, now)
    breaks.max_busy = max(MIN_BUSY_SECONDS, DECREASE * known)
    breaks.lowered_at = now


def update_busy(breaks: PrefillBreaks, now: float, busy: bool) -> None:
    """Records whether prompts are pending at the engine."""
    if not busy:
        breaks.busy_since = None
    elif breaks.busy_since is None:
        breaks.busy_since = now


def needs_break(breaks: PrefillBreaks, now: float) -> bool:
    """Returns whether the engine is to finish its pending prompts first."""
    since = breaks.busy_since
    return since is not None and now - since >= compute_max_busy(breaks, now)
