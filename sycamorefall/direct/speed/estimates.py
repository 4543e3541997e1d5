"""Estimates how long work takes at an engine, relative to others of a service.

Two things make an engine slow: its machine, for as long as its process lives,
and other work on that machine, for fractions of a second. An engine may tell in
its responses how long work takes there at this moment; the median of what it
tells is its usual scale. Engines that don't tell are taken to be alike.
"""

__all__ = [
    "EngineSpeed",
    "compute_scale",
    "compute_usual_scale",
    "record_gap",
    "record_prefill",
    "record_reported",
]

import dataclasses
import math

from sycamorefall.direct.speed import reference as reference_module

MAX_LEVEL = 3.0
"""Largest logarithm (to base 2) of an engine's usual scale."""

MIN_SCALE, MAX_SCALE = 0.1, 20.0
"""Range of the scales that engines are believed to tell."""

PRIOR_WEIGHT = 2
"""Scales for which the assumption counts that an engine is like the others."""

MAX_WEIGHT = 32
"""Scales over which the usual level of an engine extends."""

FRESH_SECONDS = 0.15
"""Seconds for which what an engine told this router goes before what it told
others."""

REPORT_LIFETIME = 0.4
"""Seconds for which what an engine tells counts. An engine that has recovered
gets work again soon after."""

MAX_GAP = 1.0
"""Longest seconds between two events that count; see `stream_pace.MAX_GAP`."""

STEADY_READING = 0.1
"""Seconds of pending prompts with which an engine is reading all the time
between two events."""

MIN_OWN_SHARE = 0.5
"""Smallest part of an engine's pending prompt tokens that must be a request's
own for the time to its first event to tell the reading rate. How much of the
others' tokens is left is not known exactly."""

MIN_PROMPT_TOKENS = 1_500
"""Smallest number of own tokens for that; below, the fixed part of the time to
the first event dominates."""

_NEVER = float("-inf")


@dataclasses.dataclass(slots=True)
class EngineSpeed:
    """Observed speed of one engine's process.

    Attributes:
        told: Number of scales that it told this router, up to `MAX_WEIGHT`.
        told_level: Their median logarithm (to base 2).
        peer_weight: Number of scales that it told the other routers.
        peer_levels: Sum of their logarithms.
        reported: Scale that the engine last told this router.
        reported_at: When it did so.
        peer_slowdown: Average time that work takes at this moment, relative to
            usual, as the engine told other routers; 1 if none was told more.
        shared_at: When other routers were last told of it.
        measured_at: When the limits were computed.
        pending_limit: Prompt tokens that may be pending there; see `pauses`.
        single_limit: Tokens of a prompt that may be the only one pending.
    """

    told: int = 0
    told_level: float = 0.0
    peer_weight: int = 0
    peer_levels: float = 0.0
    reported: float = 1.0
    reported_at: float = _NEVER
    peer_slowdown: float = 1.0
    shared_at: float = _NEVER
    measured_at: float = _NEVER
    pending_limit: float = math.inf
    single_limit: float = math.inf


def compute_usual_scale(speed: EngineSpeed) -> float:
    """Computes how long work usually takes at an engine.

    Returns:
        Time relative to an engine of scale 1.

    Example:
        >>> compute_usual_scale(EngineSpeed())
        1.0
        >>> round(compute_usual_scale(EngineSpeed(told=30, told_level=1.0)), 1)
        1.9
    """
    total = speed.told * speed.told_level + speed.peer_levels
    level = total / (PRIOR_WEIGHT + speed.told + speed.peer_weight)
    return 2.0 ** max(-MAX_LEVEL, min(MAX_LEVEL, level))


def compute_scale(speed: EngineSpeed, now: float) -> float:
    """Computes how long work takes at an engine at this moment.

    Example:
        >>> speed = EngineSpeed()
        >>> record_reported(speed, reference_module.ServiceSpeed(), 1.0, 2.5)
        >>> compute_scale(speed, 1.1)
        2.5
        >>> compute_scale(speed, 9.0) < 2.0
        True
    """
    age = now - speed.reported_at
    if age <= FRESH_SECONDS:
        return speed.reported
    told_by_others = compute_usual_scale(speed) * speed.peer_slowdown
    if age <= REPORT_LIFETIME:
        return max(speed.reported, told_by_others)
    return told_by_others


def record_reported(
    speed: EngineSpeed,
    reference: reference_module.ServiceSpeed,
    now: float,
    scale: float | None,
) -> None:
    """Records how long work takes by an engine's own word; None is ignored."""
    if scale is None:
        return
    reference.is_told = True
    speed.reported = max(MIN_SCALE, min(MAX_SCALE, scale))
    speed.reported_at = now
    speed.measured_at = _NEVER
    level = math.log2(speed.reported)
    if not speed.told:
        speed.told_level = level
    speed.told = min(speed.told + 1, MAX_WEIGHT)
    usual = compute_usual_scale(speed)
    reference_module.record_slowdown(reference, speed.reported / usual)
    # Steps of a fixed size per sample lead to the median.
    step = 1 / speed.told
    difference = level - speed.told_level
    speed.told_level += max(-step, min(step, difference))


def record_gap(
    speed: EngineSpeed,
    reference: reference_module.ServiceSpeed,
    now: float,
    gap: float,
    running: int,
    pending: int,
) -> None:
    """Records the seconds between two events of a stream at an engine.

    Args:
        speed: Speed of the engine.
        reference: Reference of its service; changed.
        now: Current time of this process's clock.
        gap: Seconds since the last event. Above `MAX_GAP` they say nothing of
            the engine.
        running: Requests that the engine runs.
        pending: Prompt tokens that it has yet to read.
    """
    if not reference.is_told or not 0.0 < gap <= MAX_GAP:
        return
    scale = compute_scale(speed, now)
    rate = reference_module.estimate_read_rate(reference)
    load = reference_module.GapLoad.DECODING
    if pending:
        is_steady = rate and scale * pending / rate >= STEADY_READING
        load = reference_module.GapLoad.READING
        if is_steady:
            load = reference_module.GapLoad.STEADY
    reference_module.record_gap(reference, running, load, gap / scale)


def record_prefill(
    speed: EngineSpeed,
    reference: reference_module.ServiceSpeed,
    now: float,
    own_tokens: int,
    queued_tokens: int,
    seconds: float,
) -> None:
    """Records how long an engine took to read a prompt.

    The engine read at least the prompt's own tokens in that time, and at most
    all that were pending: the geometric mean of both is taken.

    Args:
        speed: Speed of the engine.
        reference: Reference of its service; changed.
        now: Current time of this process's clock.
        own_tokens: Tokens of the prompt that weren't cached.
        queued_tokens: Tokens that were pending, including these.
        seconds: Time to the first event, without its fixed part.
    """
    if (
        own_tokens < MIN_PROMPT_TOKENS
        or own_tokens < MIN_OWN_SHARE * queued_tokens
        or seconds <= 0
    ):
        return
    tokens = math.sqrt(own_tokens * queued_tokens)
    rate = compute_scale(speed, now) * tokens / seconds
    reference_module.record_read_rate(reference, rate)
