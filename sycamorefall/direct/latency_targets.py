"""The shortest target latency among the requests that a service gets."""

__all__ = [
    "RecentTargets",
    "find_shortest_target",
    "record_target",
]

import dataclasses
import math

MEMORY = 10.0
"""Seconds for which a target counts after a request had it: the routes that a
configuration lists and nobody calls don't count."""


@dataclasses.dataclass(slots=True)
class RecentTargets:
    """When requests of each target latency last came.

    Attributes:
        asked_at: The last time, by target latency in seconds.
    """

    asked_at: dict[float, float] = dataclasses.field(default_factory=dict)


def record_target(urgency: RecentTargets, now: float, target: float) -> None:
    """Takes note of a request.

    Args:
        urgency: What is known of the service; changed.
        now: This process's time.
        target: Its target latency in seconds.
    """
    urgency.asked_at[target] = now


def find_shortest_target(urgency: RecentTargets, now: float) -> float:
    """Finds the shortest target latency that was asked for lately.

    Args:
        urgency: What is known of the service.
        now: This process's time.

    Returns:
        Seconds; infinity if nothing was asked for.

    Example:
        >>> urgency = RecentTargets()
        >>> record_target(urgency, 0.0, 0.3)
        >>> record_target(urgency, 9.0, 1.2)
        >>> [find_shortest_target(urgency, now) for now in (9.0, 11.0)]
        [0.3, 1.2]
    """
    lately = [
        target
        for target, asked_at in urgency.asked_at.items()
        if now - asked_at <= MEMORY
    ]
    return min(lately, default=math.inf)
