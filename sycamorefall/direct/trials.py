"""Trials of convicted parts of prompts that may be sound.

What is refused everywhere can't be answered, so nothing would ever clear a part
that was convicted because it came with a harmful one. After a while without a
crash, one request with the part is therefore let through. An answer clears the
part at all routers; a crash ends all trials of it. Several parts are tried
together if the request leaves out another convicted one that explains their
crashes. If that ends with a crash, each of them may still be tried alone.

Routers don't agree on who may try. At first one of them is expected to be
allowed, then each second twice as many, so the first trials of a part come one
or two at a time, whatever the number of routers and requests.
"""

__all__ = ["choose_trial", "estimate_retry_after"]

from collections.abc import Collection, Iterable
import zlib

from sycamorefall.direct import quarantine as quarantine_module
from sycamorefall.direct import verdicts

TRIAL_DELAY = 3.0
"""Seconds after a part's last crash until it may be tried. Evidence has reached
all routers by then, also if messages are lost. Routers tell ages in whole
seconds, rounded up, so one that wasn't at the crash may try a second early."""

TRIAL_STEP = 1.0
"""Seconds in which the number of routers that may try a part doubles. A trial
shows its result within about a second."""

FIRST_TRIERS = 1.0
"""Expected number of routers that may try a part at first."""

TRIAL_INTERVAL = 3.0
"""Seconds between two trials of a part at one router, as the first may end
without a result."""

MIN_RETRY_AFTER = 1.0
"""Minimum Retry-After in seconds of a request that a trial may let through."""

MAX_STEPS = 32.0
"""Steps after which any number of routers may try a part."""


def choose_trial(
    quarantine: quarantine_module.Quarantine,
    now: float,
    fingerprints: Iterable[bytes],
    router: str,
    routers: int,
) -> frozenset[bytes]:
    """Chooses the convicted parts that a request may try.

    Args:
        quarantine: The suspects; changed if parts are chosen.
        now: Current time of this process's clock.
        fingerprints: Fingerprints of the request and of its prompt's parts.
        router: Name of this router's VM.
        routers: Number of routers, including this one.

    Returns:
        Fingerprints of the parts, which are all of the convicted ones; empty if
        there are none or the request is to be refused.
    """
    accused = quarantine.quarantined.intersection(fingerprints)
    if not accused or not _may_be_sound(quarantine, accused):
        return frozenset()
    steps = (now - _find_due(quarantine, accused)) // TRIAL_STEP
    if steps < 0.0:
        return frozenset()
    allowed = FIRST_TRIERS * 2.0 ** min(steps, MAX_STEPS)
    for part in accused:
        last_at = quarantine.trials.get(part, float("-inf"))
        if now - last_at < TRIAL_INTERVAL:
            return frozenset()
    if _draw_fraction(router, accused) >= allowed / routers:
        return frozenset()
    quarantine.trials.update(dict.fromkeys(accused, now))
    return frozenset(accused)


def estimate_retry_after(
    quarantine: quarantine_module.Quarantine,
    now: float,
    fingerprints: Iterable[bytes],
) -> float | None:
    """Estimates when a refused request may be served.

    Returns:
        Seconds; None if the request contains what no trial can clear.
    """
    accused = quarantine.quarantined.intersection(fingerprints)
    if not accused or not _may_be_sound(quarantine, accused):
        return None
    due = _find_due(quarantine, accused)
    return max(MIN_RETRY_AFTER, due + TRIAL_STEP - now)


def _find_due(
    quarantine: quarantine_module.Quarantine, parts: Iterable[bytes]
) -> float:
    return TRIAL_DELAY + max(quarantine.suspects[one].seen_at for one in parts)


def _may_be_sound(
    quarantine: quarantine_module.Quarantine, accused: Collection[bytes]
) -> bool:
    return verdicts.may_be_sound(
        quarantine.suspects, quarantine.quarantined, accused
    )


def _draw_fraction(router: str, parts: Iterable[bytes]) -> float:
    """Draws a number from 0 to 1 that is fixed for a router and some parts."""
    joined = b"".join(sorted(parts))
    return zlib.crc32(joined, zlib.crc32(router.encode())) / 2**32
