"""Finds the most frequent keys, the heavy hitters, in bounded memory."""

__all__ = [
    "HeavyHitters",
    "record_key",
]

from collections.abc import Hashable
import dataclasses

MAX_COUNTED_KEYS = 256
"""Maximum number of keys that have a count."""

HALVING_INTERVAL = 8192
"""Recorded keys after which all counts are halved, so that old load decays."""

DISPLACEMENT_RATIO = 2
"""Ratio of counts above which a key displaces the least frequent selected key.

With a ratio of 1, keys of about equal frequency would displace each other
again and again, and each displacement interrupts the histograms of a key.
"""


@dataclasses.dataclass(slots=True)
class HeavyHitters:
    """State of the selection of the most frequent keys.

    Keys are counted by the Space-Saving algorithm: if all counts are taken, a
    key without a count replaces the least frequent key and inherits its count.

    Attributes:
        capacity: Maximum number of selected keys.
        selected: The most frequent keys.
        counts: Counts by key, also of keys that are not selected.
        records_since_halving: Keys recorded since the counts were halved.
    """

    capacity: int
    selected: set[Hashable] = dataclasses.field(default_factory=set)
    counts: dict[Hashable, int] = dataclasses.field(default_factory=dict)
    records_since_halving: int = 0


def record_key(selection: HeavyHitters, key: Hashable) -> Hashable | None:
    """Counts one occurrence of a key and updates the selection.

    Args:
        selection: The selection; modified.
        key: The key.

    Returns:
        The key that this one displaced from the selection; None if none.

    Example:
        >>> busiest = HeavyHitters(capacity=1)
        >>> [record_key(busiest, key) for key in "abbb"]
        [None, None, None, 'a']
    """
    _count(selection, key)
    if key in selection.selected:
        return None
    if len(selection.selected) < selection.capacity:
        selection.selected.add(key)
        return None
    counts = selection.counts
    least_frequent = min(
        selection.selected, key=lambda other: counts.get(other, 0)
    )
    if counts[key] <= DISPLACEMENT_RATIO * counts.get(least_frequent, 0):
        return None
    selection.selected.remove(least_frequent)
    selection.selected.add(key)
    return least_frequent


def _count(selection: HeavyHitters, key: Hashable) -> None:
    counts = selection.counts
    if key not in counts and len(counts) >= MAX_COUNTED_KEYS:
        least_frequent = min(counts, key=counts.get)
        counts[key] = counts.pop(least_frequent)
    counts[key] = counts.get(key, 0) + 1
    selection.records_since_halving += 1
    if selection.records_since_halving >= HALVING_INTERVAL:
        selection.records_since_halving = 0
        selection.counts = {
            other: count // 2 for other, count in counts.items() if count > 1
        }
