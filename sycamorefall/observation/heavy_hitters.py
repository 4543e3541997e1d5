"""Which keys are busiest, found in memory that does not grow with the keys."""

__all__ = [
    "HeavyHitters",
    "record_key",
]

from collections.abc import Hashable
import dataclasses

MAX_COUNTED_KEYS = 256
"""Keys that are counted at a time."""

HALVING_INTERVAL = 8192
"""Notes after which all counts are halved, so that old load is forgotten."""

DISPLACEMENT_RATIO = 2
"""How many times busier a key must be than the one whose place it takes.

Without a lead, keys that are about equally busy would take each other's
place all the time, and each change costs the histograms' continuity.
"""


@dataclasses.dataclass(slots=True)
class HeavyHitters:
    """A bounded choice of the busiest keys.

    The counts are those of the Space-Saving algorithm: a key that is not
    counted takes the place, and the count, of the least one.

    Attributes:
        capacity: Most keys that are chosen.
        selected: The busiest keys.
        counts: Counts of more keys than are chosen.
        records_since_halving: Notes since the counts were halved.
    """

    capacity: int
    selected: set[Hashable] = dataclasses.field(default_factory=set)
    counts: dict[Hashable, int] = dataclasses.field(default_factory=dict)
    records_since_halving: int = 0


def record_key(busiest: HeavyHitters, key: Hashable) -> Hashable | None:
    """Counts a key once.

    Args:
        busiest: The choice; changed.
        key: The key.

    Returns:
        The key that is no longer chosen because this one is now, if any.

    Example:
        >>> busiest = HeavyHitters(capacity=1)
        >>> [record_key(busiest, key) for key in "abbb"]
        [None, None, None, 'a']
    """
    _count(busiest, key)
    if key in busiest.selected:
        return None
    if len(busiest.selected) < busiest.capacity:
        busiest.selected.add(key)
        return None
    counts = busiest.counts
    least = min(busiest.selected, key=lambda other: counts.get(other, 0))
    if counts[key] <= DISPLACEMENT_RATIO * counts.get(least, 0):
        return None
    busiest.selected.remove(least)
    busiest.selected.add(key)
    return least


def _count(busiest: HeavyHitters, key: Hashable) -> None:
    counts = busiest.counts
    if key not in counts and len(counts) >= MAX_COUNTED_KEYS:
        least = min(counts, key=counts.get)
        counts[key] = counts.pop(least)
    counts[key] = counts.get(key, 0) + 1
    busiest.records_since_halving += 1
    if busiest.records_since_halving >= HALVING_INTERVAL:
        busiest.records_since_halving = 0
        busiest.counts = {
            other: count // 2 for other, count in counts.items() if count > 1
        }
