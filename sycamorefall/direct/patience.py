"""Estimates from a caller's remaining time how long it has been retrying.

A caller that repeats a refused request sends it unchanged, but with less time
left. Its response will be late anyway, so requests that can still be on time go
first. Callers of one route also differ in their patience, the total time that
they are ready to wait. An impatient new caller must not be mistaken for one
that retries: its request would be treated as past its target latency.
"""

__all__ = ["Patience", "estimate_elapsed"]

import collections
import dataclasses
import statistics

SAMPLE_SIZE = 300
"""Number of callers from whose remaining times the spread of a route is
estimated: the standard error of their median is 0.03 of the spread."""

UPDATE_INTERVAL = 100
"""Number of callers after which the spread is first estimated and after which
it is updated; each update takes 10 us."""

INITIAL_SPREAD = 0.25
"""Spread assumed for the first `UPDATE_INTERVAL` callers, as a fraction of the
longest remaining time: more than the 0.15 that was seen."""

SPREAD_PER_MEDIAN = 3.0
"""Spread as a multiple of the median shortfall from the longest remaining time:
2 for uniformly distributed callers, and 1 for the error of the median, which is
four times the standard error after `UPDATE_INTERVAL` callers."""


@dataclasses.dataclass(slots=True)
class Patience:
    """Estimated distribution of the patience of a route's callers.

    Attributes:
        longest: Longest remaining time of any caller, in seconds.
        spread: Fraction of `longest` by which the remaining times of new
            callers differ.
    """

    longest: float = 0.0
    spread: float = INITIAL_SPREAD
    _shortfalls: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=SAMPLE_SIZE)
    )
    _samples_since_update: int = 0


def estimate_elapsed(patience: Patience, time_left: float) -> float:
    """Estimates how long a caller has been retrying, and updates the estimates.

    Most callers are new, so the median remaining time is that of a new caller,
    and the remaining times of new callers are about evenly distributed around
    it. Only the shortfall from the longest remaining time that exceeds the
    spread is counted as time that has passed.

    Args:
        patience: Estimates for the route; changed.
        time_left: Seconds that the caller is still ready to wait.

    Returns:
        Lower bound in seconds; 0 for a new caller. It is below the actual time
        for a caller that was more patient than others.

    Example:
        >>> patience = Patience()
        >>> [round(estimate_elapsed(patience, left), 2) for left in (8, 7, 5)]
        [0.0, 0.0, 1.0]
    """
    patience.longest = max(patience.longest, time_left)
    shortfall = 1 - time_left / patience.longest if patience.longest else 0.0
    patience._shortfalls.append(shortfall)
    patience._samples_since_update += 1
    if patience._samples_since_update >= UPDATE_INTERVAL:
        patience._samples_since_update = 0
        patience.spread = SPREAD_PER_MEDIAN * statistics.median(
            patience._shortfalls
        )
    return max(0.0, shortfall - patience.spread) * patience.longest
