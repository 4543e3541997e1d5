"""A count's recent range, for comparison with reports that lag."""

__all__ = ["CountHistory", "find_range", "note_count"]

import dataclasses

BUCKETS = 16
"""Parts into which the window is cut; bounds the memory at any rate."""


@dataclasses.dataclass(slots=True)
class CountHistory:
    """Least and most of a count in each part of a sliding window.

    Attributes:
        window: Seconds that are remembered.
        current: The count now.
        buckets: (number of the part, least, most), oldest first.
    """

    window: float
    current: int = 0
    buckets: list[tuple[int, int, int]] = dataclasses.field(
        default_factory=list
    )


def _find_bucket(history: CountHistory, now: float) -> int:
    return int(now * BUCKETS / history.window)


def note_count(history: CountHistory, now: float, count: int) -> None:
    """Notes a count's new value.

    Args:
        history: The history; changed.
        now: This process's time, never falling.
        count: The value from now on.
    """
    bucket = _find_bucket(history, now)
    least, most = min(history.current, count), max(history.current, count)
    if history.buckets and history.buckets[-1][0] == bucket:
        _, known_least, known_most = history.buckets.pop()
        least, most = min(least, known_least), max(most, known_most)
    history.buckets.append((bucket, least, most))
    history.current = count
    _forget_old(history, bucket)


def _forget_old(history: CountHistory, bucket: int) -> None:
    while history.buckets and history.buckets[0][0] < bucket - BUCKETS:
        history.buckets.pop(0)


def find_range(history: CountHistory, now: float) -> tuple[int, int]:
    """Finds the least and the most that the count was in the window.

    Args:
        history: The history; old parts are dropped.
        now: This process's time.

    Returns:
        Least and most value.

    Example:
        >>> history = CountHistory(window=2.0)
        >>> for now, count in ((1.0, 4), (2.0, 1), (3.5, 2)):
        ...     note_count(history, now, count)
        >>> find_range(history, 3.5)
        (1, 4)
    """
    _forget_old(history, _find_bucket(history, now))
    least = min((part[1] for part in history.buckets), default=history.current)
    most = max((part[2] for part in history.buckets), default=history.current)
    return min(least, history.current), max(most, history.current)
