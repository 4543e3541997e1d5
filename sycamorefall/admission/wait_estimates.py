"""Estimates how long a request will wait, from the queue's drain rate.

The drain rate is measured as the mean time between departures, that is,
between requests that leave the queue for an upstream.
"""

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
"""Minimum weight of the newest interval in the mean time between departures.

Departures come in bursts, as teams take turns. A mean of the last few would
fluctuate with every turn, and wait estimates multiply it by the queue length.
"""

MIN_DEPARTURES = 4
"""Departures that have to be measured before a request may be refused."""

RUN_QUANTILE = 0.8
"""Quantile of the requests' run times that `RunTime` estimates."""

RUN_STEP = 0.05
"""Relative step of the run-time estimate per response."""

RATE_LIFETIME = 30.0
"""Seconds without a departure after which an idle queue's rate is stale."""

MAX_RETRY_AFTER = 60
"""Seconds; a longer wait would outlast the measurements behind it."""


@dataclasses.dataclass(slots=True)
class DrainRate:
    """Measured drain rate of a queue.

    Attributes:
        interval: Mean seconds between departures while work waits.
        last_departure: Time of the last departure.
        departures: Number of departures measured.
    """

    interval: float = 0.0
    last_departure: float = 0.0
    departures: int = 0


@dataclasses.dataclass(slots=True)
class RunTime:
    """Estimated run time of a service's requests, without their wait.

    Attributes:
        seconds: `RUN_QUANTILE` quantile of the time from the start of an
            attempt to its complete response; 0 if unknown.
        last_response_at: Time of the last complete response.
    """

    seconds: float = 0.0
    last_response_at: float = 0.0


def record_run_time(run_time: RunTime, now: float, seconds: float) -> None:
    """Updates the run-time estimate with the run time of one request.

    The estimate is a quantile rather than the mean, as a few long responses
    say little about most others. It is multiplied by a larger factor when it
    rises than when it falls, so that it converges to the value that
    `RUN_QUANTILE` of the run times stay below.

    Args:
        run_time: The estimate; changed.
        now: Time of the complete response.
        seconds: Seconds from the start of the attempt to the complete
            response.
    """
    run_time.last_response_at = now
    if run_time.seconds == 0.0:
        run_time.seconds = seconds
    elif seconds > run_time.seconds:
        run_time.seconds *= 1.0 + RUN_STEP * RUN_QUANTILE
    else:
        run_time.seconds /= 1.0 + RUN_STEP * (1.0 - RUN_QUANTILE)


def record_departure(rate: DrainRate, now: float, busy_since: float) -> None:
    """Updates the drain rate with a request that left for an upstream.

    Args:
        rate: The drain rate; changed.
        now: Time of the departure.
        busy_since: Time since which the queue has not been empty; callers
            pass the arrival of the oldest waiting request. Idle time before
            it is left out of the rate.
    """
    elapsed = max(0.0, now - max(rate.last_departure, busy_since))
    rate.last_departure = now
    rate.departures += 1
    rate.interval += _compute_smoothing(rate) * (elapsed - rate.interval)


def _compute_smoothing(rate: DrainRate) -> float:
    return max(SMOOTHING, 1.0 / rate.departures)


def compute_departure_interval(
    rate: DrainRate, now: float, busy_since: float | None
) -> float:
    """Computes the mean time between departures, including the current gap.

    When an upstream hangs, nothing departs. Departures alone would show the
    previous rate indefinitely, and requests would be admitted that can't be
    served in time. The time since the last departure is a lower bound of the
    next interval, so it is included once it exceeds the mean.

    Args:
        rate: The queue's drain rate.
        now: This process's time, in seconds.
        busy_since: Time since which the queue has not been empty, as for
            `record_departure`; None if the queue is empty.

    Returns:
        Seconds; 0 while no departure has been measured.
    """
    if busy_since is None or not rate.departures:
        return rate.interval
    gap = now - max(rate.last_departure, busy_since)
    excess = max(0.0, gap - rate.interval)
    return rate.interval + _compute_smoothing(rate) * excess


def estimate_wait(interval: float, ahead: int) -> float:
    """Estimates how long a request waits until it leaves the queue.

    Args:
        interval: Mean seconds between departures.
        ahead: Requests that leave before the request.

    Returns:
        Seconds; 0 while the rate is unknown.
    """
    return interval * (ahead + 1)


def exceeds_deadline(
    rate: DrainRate,
    interval: float,
    ahead: int,
    time_left: float,
) -> bool:
    """Returns whether a request is expected to wait beyond its deadline.

    An outdated low rate must not refuse requests forever. A request that no
    other precedes is therefore never refused: its departure yields a new
    measurement of the rate.

    Args:
        rate: The queue's drain rate.
        interval: Mean seconds between departures, of
            `compute_departure_interval`.
        ahead: Requests that leave before the request.
        time_left: Seconds until the request has to leave the queue.

    Returns:
        Whether the request is to be refused at once.
    """
    if ahead == 0 or rate.departures < MIN_DEPARTURES:
        return False
    return estimate_wait(interval, ahead) > time_left


def is_stale(rate: DrainRate, now: float) -> bool:
    """Returns whether an idle queue's rate is too old to be used."""
    return now - rate.last_departure > RATE_LIFETIME


def suggest_retry_after(interval: float, waiting: int) -> int:
    """Computes the Retry-After value of a refused request.

    Args:
        interval: Mean seconds between departures.
        waiting: Requests waiting now.

    Returns:
        Whole seconds, between 1 and `MAX_RETRY_AFTER`.

    Example:
        >>> suggest_retry_after(0.5, waiting=9)
        5
    """
    wait = math.ceil(estimate_wait(interval, waiting))
    return min(MAX_RETRY_AFTER, max(1, wait))
