"""How long a caller has been asking already, from the time it has left.

A caller that was refused and comes back says the same as a new one, but has
less time left. Its answer will be late wherever it comes from, so those that
can still be on time go first. But callers of one route also differ in how long
they are ready to wait, and a new caller of little patience must not pass for
one that has come back: its answer would be held to a target that is over.
"""

__all__ = ["Patience", "read_elapsed"]

import collections
import dataclasses
import statistics

SAMPLES = 300
"""Callers from whose times left the spread of a route is learned: the standard
error of their median is 0.03 of the spread."""

LEARN_AFTER = 100
"""Callers after which it is learned, and learned anew; that takes 10 us."""

FIRST_SPREAD = 0.25
"""Spread that is assumed until `LEARN_AFTER` callers were seen, as a part of
the longest time: more than the 0.15 that was met."""

SPREAD_OF_MEDIAN = 3.0
"""Spread as a multiple of what the middle caller lacks of the longest time: 2
if callers lie evenly, and the rest for the error of the median, four times the
standard error after `LEARN_AFTER` callers."""


@dataclasses.dataclass(slots=True)
class Patience:
    """How long the callers of a route are ready to wait.

    Attributes:
        longest: Most seconds that one had left.
        spread: Part of that by which new callers differ.
    """

    longest: float = 0.0
    spread: float = FIRST_SPREAD
    _shares: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=SAMPLES)
    )
    _unlearned: int = 0


def read_elapsed(patience: Patience, time_left: float) -> float:
    """Reads how long a caller has been asking at least; learns from it.

    Most callers ask for the first time, so the middle one of the times left is
    that of a new caller, and new callers lie about evenly around it. Only what
    is missing of the longest time beyond their spread is time that has passed.

    Args:
        patience: What is known of the route's callers; changed.
        time_left: Seconds that the caller will wait.

    Returns:
        Seconds; 0 for a new caller, and less than the truth for one that was
        more patient than others.

    Example:
        >>> patience = Patience()
        >>> [round(read_elapsed(patience, left), 2) for left in (8, 7, 5)]
        [0.0, 0.0, 1.0]
    """
    patience.longest = max(patience.longest, time_left)
    share = 1 - time_left / patience.longest if patience.longest else 0.0
    patience._shares.append(share)
    patience._unlearned += 1
    if patience._unlearned >= LEARN_AFTER:
        patience._unlearned = 0
        patience.spread = SPREAD_OF_MEDIAN * statistics.median(patience._shares)
    return max(0.0, share - patience.spread) * patience.longest
