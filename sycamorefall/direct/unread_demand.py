"""Estimates what callers ask of a process that refuses requests unread.

A VM without processor time refuses most requests before it reads them, so it
doesn't know whose they are. They are taken for alike to those that it reads.
"""

__all__ = ["UnreadDemand", "compute_factor", "record_counts"]

import dataclasses

from sycamorefall.direct import fair_queue


@dataclasses.dataclass(slots=True)
class UnreadDemand:
    """Recent requests by whether they were read; decays like service.

    Attributes:
        unread: Decayed number of requests that were refused unread.
        read: Decayed number of requests that were read.
        unread_total: Requests refused unread since the start of the process.
        read_total: Requests read since then.
        updated_at: Time of the last update.
    """

    unread: float = 0.0
    read: float = 0.0
    unread_total: int = 0
    read_total: int = 0
    updated_at: float = 0.0


def record_counts(
    demand: UnreadDemand, now: float, unread_total: int, read_total: int
) -> None:
    """Records how many requests were refused unread and read so far."""
    left = fair_queue.decay(1.0, max(0.0, now - demand.updated_at))
    demand.unread = left * demand.unread + unread_total - demand.unread_total
    demand.read = left * demand.read + read_total - demand.read_total
    demand.unread_total, demand.read_total = unread_total, read_total
    demand.updated_at = now


def compute_factor(demand: UnreadDemand) -> float:
    """Computes how many requests came for each one that was read.

    Example:
        >>> demand = UnreadDemand()
        >>> compute_factor(demand)
        1.0
        >>> record_counts(demand, 0.1, unread_total=90, read_total=30)
        >>> compute_factor(demand)
        4.0
    """
    return 1.0 + demand.unread / max(1.0, demand.read)
