"""Paces the requests of all routers to an upstream that has just started.

A cold upstream takes few requests per second from all routers together and
crashes if it gets many more. No router knows what the others send to it at
this moment, so the rate is divided in advance: rendezvous hashing chooses a few
routers for each cold upstream, and each of them keeps a fixed interval between
its requests. Two groups of routers that don't know each other choose two sets
of senders at most, whose requests together stay within twice the planned rate.
"""

__all__ = [
    "MAX_SENDERS",
    "PLANNED_RATE_SHARE",
    "Pacing",
    "allows_send",
    "choose_senders",
    "compute_interval",
    "is_cold",
    "record_send",
]

from collections.abc import Iterable
import dataclasses
import hashlib
import heapq
import math

MAX_SENDERS = 4
"""Maximum number of routers that send to one cold upstream. Each may send one
request early, as its interval starts with its first request, so the burst
grows with their number."""

PLANNED_RATE_SHARE = 0.5
"""Planned rate of requests to a cold upstream, as a fraction of the rate that
it takes. The rest is for routers with different views of the fleet and for
requests that are delayed on their way and arrive together."""

_NEVER = float("-inf")


@dataclasses.dataclass(slots=True)
class Pacing:
    """Limits the requests of this router to an upstream while that is cold.

    Attributes:
        listed_until: Time until which the upstream is cold by its own account.
        presumed_until: Time until which the upstream is taken to be cold
            because it may have been restarted.
        interval: Minimum seconds between two requests of this router while the
            upstream is cold; infinity if this router sends it none.
        last_send_at: Time of this router's last request to the upstream.
    """

    listed_until: float = _NEVER
    presumed_until: float = _NEVER
    interval: float = math.inf
    last_send_at: float = _NEVER


def is_cold(pacing: Pacing, now: float) -> bool:
    """Returns whether an upstream is cold, or taken to be cold."""
    return now < pacing.listed_until or now < pacing.presumed_until


def allows_send(pacing: Pacing, now: float) -> bool:
    """Returns whether this router may send a request to the upstream now.

    Example:
        >>> pacing = Pacing(listed_until=3.0, interval=0.5)
        >>> record_send(pacing, 1.0)
        >>> [allows_send(pacing, now) for now in (1.4, 1.5, 3.0)]
        [False, True, True]
    """
    if not is_cold(pacing, now):
        return True
    return pacing.interval < math.inf and (
        now - pacing.last_send_at >= pacing.interval
    )


def record_send(pacing: Pacing, now: float) -> None:
    """Records that this router sends a request to the upstream."""
    pacing.last_send_at = now


def choose_senders(upstream: str, routers: Iterable[str]) -> list[str]:
    """Chooses the routers that send to a cold upstream, by rendezvous hashing.

    Args:
        upstream: Name of the upstream.
        routers: VM names of the routers to choose from.

    Returns:
        Up to `MAX_SENDERS` VM names.
    """
    return heapq.nlargest(
        MAX_SENDERS,
        routers,
        key=lambda router: _compute_score(upstream, router),
    )


def _compute_score(upstream: str, router: str) -> bytes:
    key = f"{upstream}/{router}".encode()
    return hashlib.blake2b(key, digest_size=8).digest()


def compute_interval(
    upstream: str, own: str, routers: Iterable[str], rate: float
) -> float:
    """Computes the interval between two requests to a cold upstream.

    Args:
        upstream: Name of the upstream.
        own: VM name of this router.
        routers: VM names of the routers to choose senders from.
        rate: Requests per second that the upstream takes from all routers; 0
            if it takes any number.

    Returns:
        Minimum seconds between two requests of this router; infinity if it is
        not a sender.

    Example:
        >>> compute_interval("e1", "front-1", ["front-1"], 10.0)
        0.2
        >>> compute_interval("e1", "front-9", ["front-1"], 10.0)
        inf
    """
    if rate <= 0:
        return 0.0
    senders = choose_senders(upstream, routers)
    if own not in senders:
        return math.inf
    return len(senders) / (PLANNED_RATE_SHARE * rate)
