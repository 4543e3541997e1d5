"""Which keys are busiest, found in memory that does not grow with the keys."""

__all__ = ["BusiestKeys", "note_key"]

from collections.abc import Hashable
import dataclasses

MOST_COUNTED = 256
"""Keys that are counted at a time."""

DECAY_AFTER = 8192
"""Notes after which all counts are halved, so that old load is forgotten."""

LEAD = 2
"""How many times busier a key must be than the one whose place it takes.

Without a lead, keys that are about equally busy would take each other's
place all the time, and each change costs the histograms' continuity.
"""


@dataclasses.dataclass(slots=True)
class BusiestKeys:
    """A bounded choice of the busiest keys.

    The counts are those of the Space-Saving algorithm: a key that is not
    counted takes the place, and the count, of the least one.

    Attributes:
        capacity: Most keys that are chosen.
        chosen: The busiest keys.
        counts: Counts of more keys than are chosen.
        notes: Notes since the counts were halved.
    """

    capacity: int
    chosen: set[Hashable] = dataclasses.field(default_factory=set)
    counts: dict[Hashable, int] = dataclasses.field(default_factory=dict)
    notes: int = 0


def note_key(busiest: BusiestKeys, key: Hashable) -> Hashable | None:
    """Counts a key once.

    Args:
        busiest: The choice; changed.
        key: The key.

    Returns:
        The key that is no longer chosen because this one is now, if any.

    Example:
        >>> busiest = BusiestKeys(capacity=1)
        >>> [note_key(busiest, key) for key in "abbb"]
        [None, None, None, 'a']
    """
    _count(busiest, key)
    if key in busiest.chosen:
        return None
    if len(busiest.chosen) < busiest.capacity:
        busiest.chosen.add(key)
        return None
    counts = busiest.counts
    least = min(busiest.chosen, key=lambda other: counts.get(other, 0))
    if counts[key] <= LEAD * counts.get(least, 0):
        return None
    busiest.chosen.remove(least)
    busiest.chosen.add(key)
    return least


def _count(busiest: BusiestKeys, key: Hashable) -> None:
    counts = busiest.counts
    if key not in counts and len(counts) >= MOST_COUNTED:
        least = min(counts, key=counts.get)
        counts[key] = counts.pop(least)
    counts[key] = counts.get(key, 0) + 1
    busiest.notes += 1
    if busiest.notes >= DECAY_AFTER:
        busiest.notes = 0
        busiest.counts = {
            other: count // 2 for other, count in counts.items() if count > 1
        }
