"""Limits the prompts of an engine so that its streams keep their pauses.

Answers the load of long or many prompts at engines of uneven speed: an engine
reads prompts in chunks between the tokens of its streams. At a fast engine even
steady reading leaves their events close together; at a slow one, or at one that
is slow for a moment, they pause for longer than their callers accept, and all
responses there are late at once. The limit is on the pending tokens: as many as
the engine reads between two events that are still close enough.
"""

__all__ = [
    "compute_pending_limit",
    "find_max_pause",
    "is_in_effect",
    "record_max_pause",
]

import math

from sycamorefall.direct import latency_targets
from sycamorefall.direct.speed import reference as reference_module

HEADROOM = 0.9
"""Fraction of the limit on pauses that an engine may use. The rest covers the
way to the caller."""


def record_max_pause(
    reference: reference_module.ServiceSpeed, now: float, max_pause: float
) -> None:
    """Records the limit on pauses of a route that was asked for."""
    if max_pause < math.inf:
        latency_targets.record_target(reference.max_pauses, now, max_pause)


def find_max_pause(
    reference: reference_module.ServiceSpeed, now: float
) -> float:
    """Finds the shortest limit on pauses of the routes asked for recently.

    Returns:
        Seconds; infinity if there is no limit.
    """
    return latency_targets.find_shortest_target(reference.max_pauses, now)


def is_in_effect(reference: reference_module.ServiceSpeed, now: float) -> bool:
    """Returns whether engines' scales and limits on pauses are decided by.

    They are if engines tell their scales and routes limit pauses.
    """
    return reference.is_told and find_max_pause(reference, now) < math.inf


def compute_pending_limit(
    reference: reference_module.ServiceSpeed,
    read_rate: float,
    scale: float,
    running: int,
    max_pause: float,
) -> float:
    """Computes how many prompt tokens may be pending at an engine.

    Args:
        reference: Reference of the engine's service.
        read_rate: Prompt tokens a second that an engine of scale 1 reads.
        scale: Time that work takes at the engine at this moment, relative to
            one of scale 1.
        running: Requests that run there.
        max_pause: Limit on pauses in seconds.

    Returns:
        Tokens; infinity if the streams keep the limit whatever is pending.
    """
    allowed = HEADROOM * max_pause / scale
    if reference_module.get_longest_gap(reference) <= allowed:
        return math.inf
    gap = reference_module.estimate_gap(
        reference, running, reference_module.GapLoad.DECODING
    )
    return max(0.0, allowed - (gap or 0.0)) * read_rate
