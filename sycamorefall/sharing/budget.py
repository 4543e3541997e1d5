"""Byte budgets: what a process may send for control, per second."""

__all__ = [
    "ByteBudget",
    "compute_next_send_time",
    "compute_remaining_rate",
    "is_open",
    "spend_bytes",
]

import dataclasses


@dataclasses.dataclass(slots=True)
class ByteBudget:
    """A token bucket that may be overdrawn by one sending.

    Whoever sends waits until the level is above zero and then takes what it
    needs, so that a sending larger than the bucket still goes, and the next
    one waits the longer. Over any time the bytes spent are at most
    `burst + rate * time` and one sending.

    Attributes:
        rate: Bytes per second.
        burst: Most bytes that may be saved up.
        level: Bytes that may be sent now; below 0 if overdrawn.
        updated: When the level was last brought up to date.
    """

    rate: float
    burst: float
    level: float
    updated: float = 0.0


def compute_remaining_rate(most: float, per_link: float, links: int) -> float:
    """Computes what is left of a budget beside its links' heartbeats.

    Args:
        most: Bytes per second without any link.
        per_link: Bytes per second that a link's heartbeats take.
        links: Number of links.

    Returns:
        Bytes per second, at least a tenth of the most.

    Example:
        >>> [compute_remaining_rate(4000.0, 50.0, links) for links in (4, 400)]
        [3800.0, 400.0]
    """
    return max(most / 10, most - per_link * links)


def _refill(budget: ByteBudget, now: float) -> None:
    elapsed = max(0.0, now - budget.updated)
    budget.level = min(budget.burst, budget.level + elapsed * budget.rate)
    budget.updated = max(budget.updated, now)


def spend_bytes(budget: ByteBudget, now: float, size: float) -> None:
    """Takes bytes out, below zero if need be.

    Args:
        budget: The budget; changed.
        now: This process's time.
        size: Bytes that are sent now, over all receivers.
    """
    _refill(budget, now)
    budget.level -= size


def is_open(budget: ByteBudget, now: float, overdraft: float = 0.0) -> bool:
    """Tells whether something may be sent now."""
    return now >= compute_next_send_time(budget, overdraft)


def compute_next_send_time(budget: ByteBudget, overdraft: float = 0.0) -> float:
    """Tells from when on something may be sent.

    Args:
        budget: The budget.
        overdraft: Bytes by which the budget may be overdrawn already.

    Returns:
        The time; in the past if something may be sent now.

    Example:
        >>> budget = ByteBudget(rate=100.0, burst=50.0, level=50.0)
        >>> spend_bytes(budget, 10.0, 150.0)
        >>> compute_next_send_time(budget)
        11.0
    """
    lacking = -(budget.level + overdraft)
    if lacking <= 0.0:
        return budget.updated
    # A sidecar that knows no router may save up nothing: its rate is 0.
    return budget.updated + (
        lacking / budget.rate if budget.rate else float("inf")
    )
