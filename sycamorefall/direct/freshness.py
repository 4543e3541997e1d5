"""Lease on the configuration: until when a process accepts keys.

A revoked key must stop working within a bound, also at a process that is cut
off from the platform and can't learn of the revocation. A process therefore
accepts keys only while it has proof that its configuration was the newest one a
short time ago. All times are by the process's own clock; clocks of different
VMs are never compared.
"""

__all__ = [
    "Freshness",
    "hold_proofs",
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
        held_until: Proofs of earlier times don't count; minus infinity if none
            are held.
    """

    revocation_bound: float
    proven_at: float = float("-inf")
    held_until: float = float("-inf")


def record_proof(freshness: Freshness, sent_at: float) -> None:
    """Renews the lease after a read that proved the configuration the newest.

    Args:
        freshness: The lease; changed unless a later read proved it already.
        sent_at: When the read was sent.
    """
    if sent_at >= freshness.held_until:
        freshness.proven_at = max(freshness.proven_at, sent_at)


def hold_proofs(freshness: Freshness, until: float, withdraw: bool) -> None:
    """Ignores proofs of times before a platform's records are complete again.

    Guards against a key whose revocation was lost when the platform was
    restored from a copy, before this process had read it. Until operators have
    written it again, the newest configuration still has the key. A lease from
    before the restoration ends in time by itself.

    Args:
        freshness: The lease; changed.
        until: When the records count as complete.
        withdraw: Whether the lease rests on records from after the restoration
            and ends now.

    Example:
        >>> freshness = Freshness(revocation_bound=5.0)
        >>> hold_proofs(freshness, until=12.0, withdraw=False)
        >>> record_proof(freshness, 11.0)
        >>> is_fresh(freshness, 11.0)
        False
        >>> record_proof(freshness, 12.0)
        >>> is_fresh(freshness, 12.0)
        True
    """
    freshness.held_until = max(freshness.held_until, until)
    if withdraw and freshness.proven_at < freshness.held_until:
        freshness.proven_at = float("-inf")


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
