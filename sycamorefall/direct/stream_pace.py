"""Keeps streams fast enough for long responses to end before their deadlines.

While an engine processes prompts, each of its steps takes several times as
long, and so do the gaps between the events of all its streams. A long response
then reaches its deadline before its end, and the work on it is lost. Neither
the speed of an engine nor the length of a response is known in advance, so both
are observed: the gaps between the events at each engine, and the distribution
of the lengths on each route.
"""

__all__ = [
    "ResponseLengths",
    "StreamPace",
    "compute_max_gap",
    "estimate_gap",
    "estimate_length",
    "find_max_gap",
    "record_end",
    "record_event",
    "record_gap",
    "record_start",
]

from collections.abc import Iterable
import dataclasses
import itertools
import math

TARGET_SHARE = 0.95
"""Fraction of the responses of a route that are to end in time."""

MAX_EVENTS = 1_000
"""Length up to which responses are told apart."""

MAX_SAMPLES = 1_000
"""Number of responses at which the weight of all earlier ones is halved."""

UPDATE_INTERVAL = 0.25
"""Seconds between two estimates of the length of a route's responses."""

LENGTH_LIFETIME = 10.0
"""Seconds after the last event of a route for which its responses count."""

SMOOTHING_TIME = 2.0
"""Time constant in seconds of an engine's average gap: several times as long as
its prompts are queued, so that the average varies little."""

MAX_GAP = 1.0
"""Longest time in seconds without an event that counts. A longer one is no
engine's pace: this VM was frozen, packets were lost, or the request was
preempted."""

GAP_LIFETIME = 2.0
"""Seconds after the last event of its streams for which an engine's average gap
is known."""

_NEVER = float("-inf")


@dataclasses.dataclass(slots=True)
class StreamPace:
    """Observed pace of the streams at an engine.

    Attributes:
        gap: Average seconds between two events of a stream.
        measured_at: Time of the last event.
    """

    gap: float = 0.0
    measured_at: float = _NEVER


@dataclasses.dataclass(slots=True)
class ResponseLengths:
    """Observed lengths of the responses of a route.

    Attributes:
        reached: Decayed number of responses that had at least as many events as
            the index says.
        ended: Decayed number of responses that were complete with as many.
        available: Average seconds from the first event to the deadline.
        max_gap: Latest result of `compute_max_gap`.
        computed_at: Time of that computation.
        last_event_at: Time of the last event.
    """

    reached: list[float] = dataclasses.field(default_factory=lambda: [0.0])
    ended: list[float] = dataclasses.field(default_factory=lambda: [0.0])
    available: float = 0.0
    max_gap: float = math.inf
    computed_at: float = _NEVER
    last_event_at: float = _NEVER


def record_gap(
    pace: StreamPace, now: float, elapsed: float, events: int = 1
) -> None:
    """Records the gap before the events of a stream that are read at once.

    Args:
        pace: Pace of the stream's engine; changed.
        now: Current time of this process's clock.
        elapsed: Seconds since the last event of the stream. If it is above
            `MAX_GAP`, the average stays as it is.
        events: Number of events, which the engine sent one after the other.
    """
    if elapsed > MAX_GAP:
        if pace.measured_at > _NEVER:
            # More events may be read at the same moment, and must not count
            # for the time that has passed.
            pace.measured_at = now
        return
    weight = -math.expm1((pace.measured_at - now) / SMOOTHING_TIME)
    pace.gap += weight * (elapsed / events - pace.gap)
    pace.measured_at = now


def estimate_gap(pace: StreamPace, now: float) -> float | None:
    """Estimates the seconds between two events of a stream; None if unknown."""
    return pace.gap if now - pace.measured_at <= GAP_LIFETIME else None


def record_start(
    lengths: ResponseLengths, now: float, available: float
) -> None:
    """Records the first event of a response.

    Args:
        lengths: Lengths on the route; changed.
        now: Current time of this process's clock.
        available: Seconds until the deadline of the response.
    """
    if lengths.reached[0] >= MAX_SAMPLES:
        lengths.reached = [count / 2 for count in lengths.reached]
        lengths.ended = [count / 2 for count in lengths.ended]
    lengths.reached[0] += 1
    lengths.available += (available - lengths.available) / lengths.reached[0]
    lengths.last_event_at = now


def record_event(lengths: ResponseLengths, now: float, events: int) -> None:
    """Records an event after the first one of a response.

    Args:
        lengths: Lengths on the route; changed.
        now: Current time of this process's clock.
        events: Number of events of the response after its first one.
    """
    if events >= MAX_EVENTS:
        return
    if events >= len(lengths.reached):
        missing = events + 1 - len(lengths.reached)
        lengths.reached.extend(itertools.repeat(0.0, missing))
        lengths.ended.extend(itertools.repeat(0.0, missing))
    lengths.reached[events] += 1
    lengths.last_event_at = now


def record_end(lengths: ResponseLengths, events: int) -> None:
    """Records that a response is complete, with events after its first one."""
    lengths.ended[min(events, len(lengths.ended) - 1)] += 1


def estimate_length(lengths: ResponseLengths) -> int:
    """Estimates the length up to which most responses end.

    Responses that are cut, or still in progress, are longer than they were
    seen to be. They count up to there only (Kaplan-Meier estimator).

    Args:
        lengths: Lengths on the route.

    Returns:
        Number of events after the first one within which `TARGET_SHARE` of the
        responses end; that of the longest one so far if too few ended.

    Example:
        >>> lengths = ResponseLengths()
        >>> for _ in range(20):
        ...     record_start(lengths, 0.0, 10.0)
        ...     record_event(lengths, 0.1, 1)
        ...     record_end(lengths, 1)
        >>> estimate_length(lengths)
        1
    """
    remaining = 1.0
    for events, (reached, ended) in enumerate(
        zip(lengths.reached, lengths.ended, strict=True)
    ):
        if reached:
            remaining *= max(0.0, 1 - ended / reached)
        if remaining <= 1 - TARGET_SHARE:
            return events
    return len(lengths.reached) - 1


def compute_max_gap(lengths: ResponseLengths) -> float:
    """Computes the longest gap with which most responses end in time.

    Returns:
        Seconds between two events; infinity if the responses have one event.
    """
    events = estimate_length(lengths)
    return lengths.available / events if events else math.inf


def find_max_gap(all_lengths: Iterable[ResponseLengths], now: float) -> float:
    """Finds the longest gap that suits the streams of all routes of a service.

    Args:
        all_lengths: Lengths on the routes; their `max_gap` is updated.
        now: Current time of this process's clock.

    Returns:
        Seconds between two events; infinity if there were no responses lately.
    """
    shortest = math.inf
    for lengths in all_lengths:
        if now - lengths.last_event_at > LENGTH_LIFETIME:
            continue
        if now - lengths.computed_at >= UPDATE_INTERVAL:
            lengths.max_gap = compute_max_gap(lengths)
            lengths.computed_at = now
        shortest = min(shortest, lengths.max_gap)
    return shortest
