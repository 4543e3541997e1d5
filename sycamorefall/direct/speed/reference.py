"""What events and prompts take at the engines of a service, on average.

Engines of one service run the same model, but on faster and slower machines. So
one reference describes all of them, and a scale each engine (see `estimates`).
The reference learns from all engines at once, and knows what an engine is
likely to do under a load that this router never saw there.
"""

__all__ = [
    "GapLoad",
    "ServiceSpeed",
    "estimate_gap",
    "estimate_read_rate",
    "get_expected_slowdown",
    "get_longest_gap",
    "record_gap",
    "record_read_rate",
    "record_slowdown",
]

import dataclasses
import enum
import math

from sycamorefall.direct import latency_targets

BUCKET_WIDTH = 8
"""Running requests that share one average gap between events."""

MIN_SAMPLES = 10
"""Gaps after which an average counts."""

MIN_LONGEST_SAMPLES = 100
"""Gaps after which `longest` counts; it is a quantile far out."""

MAX_SAMPLES = 400
"""Gaps over which an average extends."""

LONGEST_SHARE = 0.99
"""Fraction of the gaps at steady reading that don't exceed `longest`. A stream
has dozens of gaps, and one that is too long makes its response late."""

LONGEST_STEP = 0.02
"""Largest relative change of `longest` with one gap."""

MIN_SLOWDOWN = 1.2
"""Smallest change of the time that work takes that counts as a slowdown."""

COMMON_SHARE = 0.05
"""Fraction of the time from which on slowdowns are expected at any moment."""

SLOWDOWN_WEIGHT = 0.02
"""Weight of one told scale in the averages of slowdowns."""

RATE_SAMPLES = 60
"""Prompts over which the average reading rate extends."""

MAX_RATE_STEP = math.log(4)
"""Largest deviation of one sample from the average logarithm of the rate. A
prompt whose parts were cached unexpectedly seems to be read in no time."""

INITIAL_DEVIATION = 0.3
"""Mean deviation of the logarithm of the rate before there are samples."""

SAFETY = 1.25
"""Mean deviations by which the rate that responses are promised by is below the
average, so that one in six starts later than promised (a normal distribution
has a standard deviation of 1.25 mean deviations)."""


class GapLoad(enum.Enum):
    """What an engine does between two events of a stream.

    DECODING: It reads no prompts.
    READING: It reads prompts some of the time.
    STEADY: It reads prompts all of the time.
    """

    DECODING = "decoding"
    READING = "reading"
    STEADY = "steady"


@dataclasses.dataclass(slots=True)
class ServiceSpeed:
    """Speed of an engine of scale 1; the scale of others is relative to it.

    Attributes:
        is_told: Whether an engine has told how long work takes there.
        gaps: Average seconds between two events and the number of samples, by
            group of running requests and what the engine does meanwhile.
        longest: Seconds between two events during steady reading that one gap
            in a hundred exceeds.
        longest_samples: Number of gaps that it comes from.
        log_rate: Average logarithm of the prompt tokens read per second.
        rate_deviation: Mean deviation of that logarithm.
        rate_samples: Number of prompts that it comes from.
        max_pauses: Limits on pauses of the routes that were asked for recently.
        slow_share: Fraction of the told scales that were a slowdown.
        slowdown: Their average, relative to the engines' usual scales.
    """

    is_told: bool = False
    gaps: dict[tuple[int, GapLoad], tuple[float, int]] = dataclasses.field(
        default_factory=dict
    )
    longest: float = 0.0
    longest_samples: int = 0
    log_rate: float = 0.0
    rate_deviation: float = INITIAL_DEVIATION
    rate_samples: int = 0
    max_pauses: latency_targets.RecentTargets = dataclasses.field(
        default_factory=latency_targets.RecentTargets
    )
    slow_share: float = 0.0
    slowdown: float = 1.0


def record_gap(
    reference: ServiceSpeed, running: int, load: GapLoad, gap: float
) -> None:
    """Records seconds between two events, divided by the engine's scale.

    Args:
        reference: The service's reference; changed.
        running: Requests that the engine runs.
        load: What it does between the events.
        gap: Seconds.
    """
    key = (running // BUCKET_WIDTH, load)
    average, count = reference.gaps.get(key, (0.0, 0))
    count = min(count + 1, MAX_SAMPLES)
    reference.gaps[key] = (average + (gap - average) / count, count)
    if load is not GapLoad.STEADY:
        return
    reference.longest_samples += 1
    if reference.longest_samples == 1:
        reference.longest = gap
    step = LONGEST_STEP * reference.longest
    reference.longest += step * (
        LONGEST_SHARE if gap > reference.longest else LONGEST_SHARE - 1
    )


def estimate_gap(
    reference: ServiceSpeed, running: int, load: GapLoad
) -> float | None:
    """Estimates the seconds between two events at an engine of scale 1.

    Returns:
        Seconds, from the group of running requests nearest to the given number;
        None if there are too few samples.

    Example:
        >>> reference = ServiceSpeed()
        >>> for _ in range(MIN_SAMPLES):
        ...     record_gap(reference, 20, GapLoad.DECODING, 0.03)
        >>> estimate_gap(reference, 40, GapLoad.DECODING)
        0.03
        >>> estimate_gap(reference, 9, GapLoad.READING) is None
        True
    """
    bucket = running // BUCKET_WIDTH
    found = reference.gaps.get((bucket, load))
    if found is not None and found[1] >= MIN_SAMPLES:
        return found[0]
    known = [
        (abs(other - bucket), average)
        for (other, other_load), (average, count) in reference.gaps.items()
        if other_load is load and count >= MIN_SAMPLES
    ]
    return min(known)[1] if known else None


def get_longest_gap(reference: ServiceSpeed) -> float:
    """Returns the longest usual gap at steady reading, for scale 1.

    Returns:
        Seconds; infinity if there are too few samples.
    """
    if reference.longest_samples < MIN_LONGEST_SAMPLES:
        return math.inf
    return reference.longest


def record_slowdown(reference: ServiceSpeed, slowdown: float) -> None:
    """Records a scale that an engine told, relative to its usual one."""
    is_slow = slowdown >= MIN_SLOWDOWN
    reference.slow_share += SLOWDOWN_WEIGHT * (is_slow - reference.slow_share)
    if is_slow:
        weight = SLOWDOWN_WEIGHT / max(SLOWDOWN_WEIGHT, reference.slow_share)
        reference.slowdown += weight * (slowdown - reference.slowdown)


def get_expected_slowdown(reference: ServiceSpeed) -> float:
    """Returns the slowdown that an engine may have at any moment.

    Prompts that are pending when it begins can't be taken back.
    """
    is_common = reference.slow_share >= COMMON_SHARE
    return reference.slowdown if is_common else 1.0


def record_read_rate(reference: ServiceSpeed, rate: float) -> None:
    """Records prompt tokens read per second, times the engine's scale."""
    sample = math.log(rate)
    if reference.rate_samples:
        difference = sample - reference.log_rate
        difference = max(-MAX_RATE_STEP, min(MAX_RATE_STEP, difference))
    else:
        reference.log_rate, difference = sample, 0.0
    reference.rate_samples = min(reference.rate_samples + 1, RATE_SAMPLES)
    weight = 1 / reference.rate_samples
    reference.log_rate += weight * difference
    reference.rate_deviation += max(weight / 2, 1 / RATE_SAMPLES) * (
        abs(difference) - reference.rate_deviation
    )


def estimate_read_rate(
    reference: ServiceSpeed, safe: bool = False
) -> float | None:
    """Estimates the prompt tokens that an engine of scale 1 reads per second.

    Args:
        reference: The service's reference.
        safe: Whether to return a rate that five of six prompts reach.

    Returns:
        Tokens per second; None if there are too few samples.
    """
    if reference.rate_samples < MIN_SAMPLES:
        return None
    margin = SAFETY * reference.rate_deviation if safe else 0.0
    return math.exp(reference.log_rate - margin)
