"""Byte budgets that limit the control traffic of a process."""

__all__ = [
    "ByteBudget",
    "compute_next_send_time",
    "compute_remaining_rate",
    "may_send",
    "spend_bytes",
]

import dataclasses


@dataclasses.dataclass(slots=True)
class ByteBudget:
    """A token bucket that one transmission may overdraw.

    A sender waits until the level is not negative and then subtracts the
    size of the transmission, whatever it is. A transmission larger than the
    bucket is thus possible, and delays the next one accordingly. Over any
    period the bytes sent are at most `burst + rate * period` plus one
    transmission.

    Attributes:
        rate: Bytes added per second.
        burst: Maximum level, in bytes.
        level: Bytes that may be sent now; negative if overdrawn.
        updated: Time for which `level` was computed.
    """

    rate: float
    burst: float
    level: float
    updated: float = 0.0


def compute_remaining_rate(
    total_rate: float, rate_per_link: float, links: int
) -> float:
    """Computes the rate that the heartbeats of all links leave.

    Args:
        total_rate: Bytes per second, heartbeats included.
        rate_per_link: Bytes per second that the heartbeats of a link take.
        links: Number of links.

    Returns:
        Bytes per second, at least a tenth of the total rate.

    Example:
        >>> [compute_remaining_rate(4000.0, 50.0, links) for links in (4, 400)]
        [3800.0, 400.0]
    """
    return max(total_rate / 10, total_rate - rate_per_link * links)


def _refill(budget: ByteBudget, now: float) -> None:
    elapsed = max(0.0, now - budget.updated)
    budget.level = min(budget.burst, budget.level + elapsed * budget.rate)
    budget.updated = max(budget.updated, now)


def spend_bytes(budget: ByteBudget, now: float, size: float) -> None:
    """Subtracts sent bytes from the level, which may become negative.

    Args:
        budget: The budget; changed.
        now: This process's time, in seconds.
        size: Bytes that are sent now, summed over all receivers.
    """
    _refill(budget, now)
    budget.level -= size


def may_send(budget: ByteBudget, now: float, overdraft: float = 0.0) -> bool:
    """Returns whether the budget allows a transmission now."""
    return now >= compute_next_send_time(budget, overdraft)


def compute_next_send_time(budget: ByteBudget, overdraft: float = 0.0) -> float:
    """Computes the time from which the budget allows a transmission.

    Args:
        budget: The budget.
        overdraft: Bytes by which the budget may be overdrawn beforehand.

    Returns:
        The time; in the past if a transmission is allowed now, infinite if
        the budget is used up and its rate is 0.

    Example:
        >>> budget = ByteBudget(rate=100.0, burst=50.0, level=50.0)
        >>> spend_bytes(budget, 10.0, 150.0)
        >>> compute_next_send_time(budget)
        11.0
    """
    lacking = -(budget.level + overdraft)
    if lacking <= 0.0:
        return budget.updated
    # The rate of a sidecar that knows no router is 0.
    return budget.updated + (
        lacking / budget.rate if budget.rate else float("inf")
    )
