"""Estimates how long a request will wait, from the measured drain rate."""

__all__ = [
    "DrainRate",
    "estimate_wait",
    "note_departure",
    "suggest_retry_after",
]

import dataclasses
import math

SMOOTHING = 0.1
"""Weight of the newest interval in the mean time between departures."""

LONGEST_RETRY_AFTER = 60
"""Seconds; longer advice would outlive what it was computed from."""


@dataclasses.dataclass(slots=True)
class DrainRate:
    """How fast a queue drains.

    Attributes:
        interval: Mean seconds between departures while work waits; 0 if not
            yet known.
        last_departure: Time of the last departure.
    """

    interval: float = 0.0
    last_departure: float = 0.0


def note_departure(rate: DrainRate, now: float, busy_since: float) -> None:
    """Counts one request that left the queue for an upstream.

    Args:
        rate: The rate; changed.
        now: Time of the departure.
        busy_since: Since when the queue has not been empty; idle time before
            it says nothing about the rate.
    """
    elapsed = now - max(rate.last_departure, busy_since)
    rate.last_departure = now
    if rate.interval == 0.0:
        rate.interval = elapsed
    else:
        rate.interval += SMOOTHING * (elapsed - rate.interval)


def estimate_wait(rate: DrainRate, ahead: int) -> float:
    """Estimates the wait of a request that joins the queue now.

    Args:
        rate: The queue's drain rate.
        ahead: Requests that leave before it.

    Returns:
        Seconds; 0 while the rate is unknown.
    """
    return rate.interval * (ahead + 1)


def suggest_retry_after(rate: DrainRate, ahead: int) -> int:
    """Suggests when a refused caller should come back.

    Args:
        rate: The queue's drain rate.
        ahead: Requests waiting now.

    Returns:
        Whole seconds, at least 1.
    """
    wait = math.ceil(estimate_wait(rate, ahead))
    return min(LONGEST_RETRY_AFTER, max(1, wait))
