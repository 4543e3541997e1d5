"""Lease on the configuration: until when a process accepts keys.

A revoked key must stop working within a bound, also at a process that is cut
off from the platform and can't learn of the revocation. A process therefore
accepts keys only while it has proof that its configuration was the newest one a
short time ago. All times are by the process's own clock; clocks of different
VMs are never compared.
"""

__all__ = [
    "Freshness",
    "is_fresh",
    "record_proof",
]

import dataclasses

DISPATCH_ALLOWANCE = 1.2
"""Maximum time in seconds between the check of a request's key and its start at
the upstream: the transit time and a short queue. Upstreams with a longer queue
aren't chosen; see `upstream_selection`."""


@dataclasses.dataclass(slots=True)
class Freshness:
    """Latest proof that the configuration in effect is the newest.

    Attributes:
        revocation_bound: Seconds after its revocation at which a key must no
            longer work.
        proven_at: When the last read that proved it was sent, and not when its
            answer came: the answer doesn't show changes made while it was in
            transit.
    """

    revocation_bound: float
    proven_at: float = float("-inf")


def record_proof(freshness: Freshness, sent_at: float) -> None:
    """Renews the lease after a read that proved the configuration the newest.

    Args:
        freshness: The lease; changed unless a later read proved it already.
        sent_at: When the read was sent.
    """
    freshness.proven_at = max(freshness.proven_at, sent_at)


def is_fresh(freshness: Freshness, now: float) -> bool:
    """Returns whether keys may be accepted, as the lease hasn't expired.

    A request that is accepted now may start up to `DISPATCH_ALLOWANCE` later,
    so the lease ends that much before the revocation bound.

    Example:
        >>> freshness = Freshness(revocation_bound=5.0)
        >>> record_proof(freshness, 10.0)
        >>> is_fresh(freshness, 13.0), is_fresh(freshness, 14.0)
        (True, False)
    """
    return (
        now - freshness.proven_at
        < freshness.revocation_bound - DISPATCH_ALLOWANCE
    )
