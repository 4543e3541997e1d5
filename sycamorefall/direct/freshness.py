"""Lease on a configuration: until when keys may be believed.

A key that operators take away must not work for longer than a bound, also at
a process that is cut off from the platform and can't hear of it. So a process
believes keys only while it has proof that its configuration was the newest
one a short while ago. Time is the process's own clock; no clocks of several
VMs are compared.
"""

__all__ = [
    "Freshness",
    "is_fresh",
    "record_proof",
]

import dataclasses

DISPATCH_ALLOWANCE = 1.2
"""Seconds that a request may take from its check until its upstream begins
it: its way there and a short queue; a longer one isn't entered, see
`placing`."""


@dataclasses.dataclass(slots=True)
class Freshness:
    """Proof that the configuration in force is the newest.

    Attributes:
        revocation_bound: Seconds after which a key that was taken away must not
            work.
        proven_at: When the last read that proved it was sent. Its answer
            says nothing of changes made after it was taken on the way.
    """

    revocation_bound: float
    proven_at: float = float("-inf")


def record_proof(freshness: Freshness, sent_at: float) -> None:
    """Takes note of a read that showed the newest configuration."""
    freshness.proven_at = max(freshness.proven_at, sent_at)


def is_fresh(freshness: Freshness, now: float) -> bool:
    """Tells whether keys may still be believed.

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
