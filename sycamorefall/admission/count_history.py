"""Minimum and maximum of a count over a sliding window.

Load reports arrive with an unknown delay. They are compared with the range of
values that the count had during the longest possible delay.
"""

__all__ = ["CountHistory", "compute_range", "record_count"]

import dataclasses

BUCKETS = 16
"""Buckets per window; bounds the memory at any rate of changes."""


@dataclasses.dataclass(slots=True)
class CountHistory:
    """Minimum and maximum of a count in each bucket of a sliding window.

    Attributes:
        window: Length of the window, in seconds.
        current: Latest value of the count.
        buckets: (bucket number, minimum, maximum), oldest first.
    """

    window: float
    current: int = 0
    buckets: list[tuple[int, int, int]] = dataclasses.field(
        default_factory=list
    )


def _compute_bucket(history: CountHistory, now: float) -> int:
    return int(now * BUCKETS / history.window)


def record_count(history: CountHistory, now: float, count: int) -> None:
    """Records a new value of the count.

    Args:
        history: The history; changed.
        now: This process's monotonic time.
        count: The new value.
    """
    bucket = _compute_bucket(history, now)
    minimum, maximum = min(history.current, count), max(history.current, count)
    if history.buckets and history.buckets[-1][0] == bucket:
        _, known_minimum, known_maximum = history.buckets.pop()
        minimum, maximum = (
            min(minimum, known_minimum),
            max(maximum, known_maximum),
        )
    history.buckets.append((bucket, minimum, maximum))
    history.current = count
    _drop_expired_buckets(history, bucket)


def _drop_expired_buckets(history: CountHistory, bucket: int) -> None:
    while history.buckets and history.buckets[0][0] < bucket - BUCKETS:
        history.buckets.pop(0)


def compute_range(history: CountHistory, now: float) -> tuple[int, int]:
    """Computes the minimum and maximum of the count within the window.

    Args:
        history: The history; buckets older than the window are dropped.
        now: This process's time, in seconds.

    Returns:
        Minimum and maximum, including the current value.

    Example:
        >>> history = CountHistory(window=2.0)
        >>> for now, count in ((1.0, 4), (2.0, 1), (3.5, 2)):
        ...     record_count(history, now, count)
        >>> compute_range(history, 3.5)
        (1, 4)
    """
    _drop_expired_buckets(history, _compute_bucket(history, now))
    minimum = min(
        (part[1] for part in history.buckets), default=history.current
    )
    maximum = max(
        (part[2] for part in history.buckets), default=history.current
    )
    return min(minimum, history.current), max(maximum, history.current)
