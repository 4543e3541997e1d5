"""Estimates how long a request will wait, from the measured drain rate."""

__all__ = [
    "DrainRate",
    "RunTime",
    "compute_departure_interval",
    "estimate_wait",
    "exceeds_deadline",
    "is_stale",
    "record_departure",
    "record_run_time",
    "suggest_retry_after",
]

import dataclasses
import math

SMOOTHING = 1 / 64
"""Least weight of the newest interval in the mean time between departures.

Departures come in clumps, as teams take turns; a mean of the last few would
swing with every turn, and be multiplied by the whole queue.
"""

FEWEST_DEPARTURES = 4
"""Departures before which a rate is too little known to refuse by it."""

RUN_QUANTILE = 0.8
"""Share of a service's requests that run no longer than its run time."""

RUN_STEP = 0.05
"""Share by which the run time moves with an answer."""

RATE_LIFETIME = 30.0
"""Seconds without a departure after which an idle queue's rate is dropped."""

LONGEST_RETRY_AFTER = 60
"""Seconds; longer advice would outlive what it was computed from."""


@dataclasses.dataclass(slots=True)
class DrainRate:
    """How fast a queue drains.

    Attributes:
        interval: Mean seconds between departures while work waits.
        last_departure: Time of the last departure.
        departures: Departures that the mean is of.
    """

    interval: float = 0.0
    last_departure: float = 0.0
    departures: int = 0


@dataclasses.dataclass(slots=True)
class RunTime:
    """How long a service's requests run, once handed out.

    Attributes:
        seconds: Quantile of the time until the answer is whole; 0 if not
            known.
        last_answer: Time of the last answer.
    """

    seconds: float = 0.0
    last_answer: float = 0.0


def record_run_time(run_time: RunTime, now: float, seconds: float) -> None:
    """Learns from an answer.

    A quantile and not the mean, because a few long answers say little about
    most others. It rises by more than it falls, so it settles where the
    wanted share of the answers is below it.

    Args:
        run_time: The run time; changed.
        now: Time of the answer.
        seconds: How long it took from the hand-out.
    """
    run_time.last_answer = now
    if run_time.seconds == 0.0:
        run_time.seconds = seconds
    elif seconds > run_time.seconds:
        run_time.seconds *= 1.0 + RUN_STEP * RUN_QUANTILE
    else:
        run_time.seconds /= 1.0 + RUN_STEP * (1.0 - RUN_QUANTILE)


def record_departure(rate: DrainRate, now: float, busy_since: float) -> None:
    """Counts one request that left the queue for an upstream.

    Args:
        rate: The rate; changed.
        now: Time of the departure.
        busy_since: Since when the queue has not been empty; idle time before
            it says nothing about the rate.
    """
    elapsed = max(0.0, now - max(rate.last_departure, busy_since))
    rate.last_departure = now
    rate.departures += 1
    rate.interval += _weigh_newest(rate) * (elapsed - rate.interval)


def _weigh_newest(rate: DrainRate) -> float:
    return max(SMOOTHING, 1.0 / rate.departures)


def compute_departure_interval(
    rate: DrainRate, now: float, busy_since: float | None
) -> float:
    """Finds the mean time between departures, the current pause included.

    Guards against a rate that stands still with the queue: when an upstream
    hangs, nothing departs, so departures alone would show the old rate for
    ever, and callers would be let in to wait in vain. The pause so far is at
    least part of the next interval, and counts as soon as it is longer than
    the mean.

    Args:
        rate: The queue's drain rate.
        now: This process's time.
        busy_since: Since when the queue has not been empty; None if it is.

    Returns:
        Seconds; 0 while nothing is known.
    """
    if busy_since is None or not rate.departures:
        return rate.interval
    pause = now - max(rate.last_departure, busy_since)
    excess = max(0.0, pause - rate.interval)
    return rate.interval + _weigh_newest(rate) * excess


def estimate_wait(interval: float, ahead: int) -> float:
    """Estimates the wait of a request.

    Args:
        interval: Mean seconds between departures.
        ahead: Requests that leave before it.

    Returns:
        Seconds; 0 while the rate is unknown.
    """
    return interval * (ahead + 1)


def exceeds_deadline(
    rate: DrainRate,
    interval: float,
    ahead: int,
    left: float,
) -> bool:
    """Tells whether a request will wait beyond its deadline.

    Guards against a stale slow rate that refuses for ever: a request with
    none before it is never judged, so there is always one that waits and
    shows by its departure what the rate is now.

    Args:
        rate: The queue's drain rate.
        interval: Mean seconds between departures, of
            `compute_departure_interval`.
        ahead: Requests that leave before it.
        left: Seconds until it would have to be handed out.

    Returns:
        Whether it is to be answered at once.
    """
    if ahead == 0 or rate.departures < FEWEST_DEPARTURES:
        return False
    return estimate_wait(interval, ahead) > left


def is_stale(rate: DrainRate, now: float) -> bool:
    """Tells whether an idle queue's rate is too old to tell anything."""
    return now - rate.last_departure > RATE_LIFETIME


def suggest_retry_after(interval: float, waiting: int) -> int:
    """Suggests when a refused caller should come back.

    Args:
        interval: Mean seconds between departures.
        waiting: Requests waiting now.

    Returns:
        Whole seconds, at least 1.

    Example:
        >>> suggest_retry_after(0.5, waiting=9)
        5
    """
    wait = math.ceil(estimate_wait(interval, waiting))
    return min(LONGEST_RETRY_AFTER, max(1, wait))
