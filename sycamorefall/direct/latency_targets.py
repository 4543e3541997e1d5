"""Tracks the target latencies of the requests that a service receives."""

__all__ = [
    "RecentTargets",
    "find_shortest_target",
    "record_target",
]

import dataclasses
import math

TARGET_RETENTION = 10.0
"""Seconds for which a target counts after its last request, so that configured
routes without traffic have no effect."""


@dataclasses.dataclass(slots=True)
class RecentTargets:
    """Target latencies of a service's recent requests.

    Attributes:
        last_requested_at: Arrival time of the last request, by target latency
            in seconds.
    """

    last_requested_at: dict[float, float] = dataclasses.field(
        default_factory=dict
    )


def record_target(
    recent_targets: RecentTargets, now: float, target: float
) -> None:
    """Records the target latency of a request.

    Args:
        recent_targets: Targets of the request's service; changed.
        now: Current time of this process's clock.
        target: Target latency of the request in seconds.
    """
    recent_targets.last_requested_at[target] = now


def find_shortest_target(recent_targets: RecentTargets, now: float) -> float:
    """Finds the shortest target latency of the recent requests.

    Args:
        recent_targets: Targets of the service.
        now: Current time of this process's clock.

    Returns:
        Seconds; infinity if there were no recent requests.

    Example:
        >>> recent_targets = RecentTargets()
        >>> record_target(recent_targets, 0.0, 0.3)
        >>> record_target(recent_targets, 9.0, 1.2)
        >>> [find_shortest_target(recent_targets, now) for now in (9.0, 11.0)]
        [0.3, 1.2]
    """
    targets = [
        target
        for target, requested_at in recent_targets.last_requested_at.items()
        if now - requested_at <= TARGET_RETENTION
    ]
    return min(targets, default=math.inf)
