"""Budget of second sends, which all routers share.

Each router stays within the part of the allowance that its own requests earn,
and within an even part of the fixed one, so no message has to be exchanged.
"""

__all__ = [
    "RetryBudget",
    "count_request",
    "record_routers",
    "take_retry",
]

import collections
import dataclasses

BUCKET_SECONDS = 0.5
"""Seconds of one count; the window slides by this."""

MIN_ROUTERS = 4
"""Routers that share the fixed part until more are heard: after a start, or
cut off from all others, a router would otherwise take the whole of it."""

SAFETY = 0.8
"""Part of the allowance that is used: requests that are counted here as they
arrive are counted elsewhere as they are sent, and windows there begin at any
moment, so their edges differ by up to a step at both ends."""


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Second sends of one service in a sliding window.

    Attributes:
        ratio: Second sends allowed for each request.
        extra: Second sends of all routers that are always allowed.
        window: Its length in seconds.
        routers: Most routers that were known to share `extra`. A router that
            is cut off from the others hears none of them, but they still
            send; so a number once seen is kept.
    """

    ratio: float
    extra: float
    window: float
    routers: int = MIN_ROUTERS
    _requests: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )
    _retries: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )


def record_routers(budget: RetryBudget, routers: int) -> None:
    """Takes note of how many routers are heard."""
    budget.routers = max(budget.routers, routers)


def _count(counts: collections.deque, now: float) -> None:
    step = int(now / BUCKET_SECONDS)
    if counts and counts[-1][0] == step:
        counts[-1][1] += 1
    else:
        counts.append([step, 1])


def _sum(counts: collections.deque, now: float, window: float) -> int:
    first = int((now - window) / BUCKET_SECONDS)
    while counts and counts[0][0] < first:
        counts.popleft()
    return sum(count for _, count in counts)


def count_request(budget: RetryBudget, now: float) -> None:
    """Counts a request that a caller sent."""
    _count(budget._requests, now)


def take_retry(budget: RetryBudget, now: float) -> bool:
    """Takes a second send from the budget, if one is left.

    Args:
        budget: The budget; changed.
        now: This process's time.

    Returns:
        Whether it may be made.

    Example:
        >>> budget = RetryBudget(ratio=0.2, extra=20, window=10)
        >>> [take_retry(budget, 1.0) for _ in range(5)]
        [True, True, True, True, False]
    """
    requests = _sum(budget._requests, now, budget.window)
    allowed = budget.ratio * requests + budget.extra / budget.routers
    if _sum(budget._retries, now, budget.window) + 1 > SAFETY * allowed:
        return False
    _count(budget._retries, now)
    return True
