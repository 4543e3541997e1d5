"""Retry budget of a service, shared by all routers without messages.

A retry is any send of a request after the first that may have reached an
upstream. Each router may use the part of the allowance that its own requests
earn and an equal part of the fixed allowance.

A process forgets its retries when it ends. A process that has just started
therefore assumes that another one on its VM sent as many as allowed a moment
ago, and sends only the rest, as far as it has earned it since. So the retries
of all processes that a VM runs within a window add up to no more than the
allowance, however often they are restarted.
"""

__all__ = [
    "RetryBudget",
    "count_request",
    "has_retry",
    "record_routers",
    "take_retry",
]

import collections
import dataclasses

BUCKET_SECONDS = 0.5
"""Width in seconds of a bucket of the sliding window."""

MIN_ROUTERS = 4
"""Minimum number of routers assumed to share the fixed allowance. A router that
just started or is partitioned from all others would otherwise use all of it."""

FULL_SHARE = 0.55
"""Fraction of the allowance that is used by a process that has run for a
window."""

START_SHARE = 0.35
"""Fraction of the allowance that is used by a process that has run for less.

The sum with `FULL_SHARE` is less than 1, as the edges of windows differ by up
to a bucket at each end. This router counts requests when they arrive. Outside
of it they are counted when they are sent, in windows that begin at any time."""


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Retries of one service in a sliding window.

    Attributes:
        ratio: Retries allowed per request.
        extra: Fixed allowance of retries per window for all routers together.
        window: Length of the window in seconds.
        started_at: When this process started.
        sent: Number of retries that were taken from the budget since the start.
        refused: Number of retries that weren't sent, as none was left.
        routers: Number of routers that share `extra`. It never decreases: the
            others keep sending while this router is partitioned from them.
    """

    ratio: float
    extra: float
    window: float
    started_at: float
    routers: int = MIN_ROUTERS
    sent: int = 0
    refused: int = 0
    _requests: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )
    _retries: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )


def record_routers(budget: RetryBudget, routers: int) -> None:
    """Raises the number of routers that share the fixed allowance."""
    budget.routers = max(budget.routers, routers)


def _increment_bucket(counts: collections.deque, now: float) -> None:
    bucket = int(now / BUCKET_SECONDS)
    if counts and counts[-1][0] == bucket:
        counts[-1][1] += 1
    else:
        counts.append([bucket, 1])


def _sum_window(counts: collections.deque, now: float, window: float) -> int:
    first_bucket = int((now - window) / BUCKET_SECONDS)
    while counts and counts[0][0] < first_bucket:
        counts.popleft()
    return sum(count for _, count in counts)


def count_request(budget: RetryBudget, now: float) -> None:
    """Counts a request from a caller, which earns part of a retry."""
    _increment_bucket(budget._requests, now)


def take_retry(budget: RetryBudget, now: float) -> bool:
    """Takes a retry from the budget if one is left.

    Args:
        budget: The budget; changed.
        now: Current time of this process's clock.

    Returns:
        Whether the retry may be sent.

    Example:
        >>> budget = RetryBudget(ratio=0.2, extra=20, window=10, started_at=0.0)
        >>> [take_retry(budget, 5.0) for _ in range(5)]
        [False, False, False, False, False]
        >>> [take_retry(budget, 10.0) for _ in range(5)]
        [True, True, False, False, False]
    """
    if not has_retry(budget, now):
        budget.refused += 1
        return False
    budget.sent += 1
    _increment_bucket(budget._retries, now)
    return True


def has_retry(budget: RetryBudget, now: float) -> bool:
    """Returns whether a retry is left, without taking or counting it.

    Args:
        budget: The budget.
        now: Current time of this process's clock.
    """
    retries = _sum_window(budget._retries, now, budget.window)
    return retries + 1 <= _compute_allowance(budget, now)


def _compute_allowance(budget: RetryBudget, now: float) -> float:
    """Computes how many retries this process may send in a window until now."""
    requests = _sum_window(budget._requests, now, budget.window)
    earned = budget.ratio * requests
    fixed = budget.extra / budget.routers
    age = now - budget.started_at
    if age < budget.window:
        return START_SHARE * (earned + fixed * age / budget.window)
    return FULL_SHARE * (earned + fixed)
