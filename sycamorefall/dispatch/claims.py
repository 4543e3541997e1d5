"""A sidecar's claims: leases on one waiting request of a team at a router.

A sidecar with a free slot claims a request from a router, and reserves the
request's estimated cost. The claim ends when the router sends the request, when
the router answers that none waits, or when the lease expires.
"""

__all__ = [
    "CLAIM_LEASE",
    "ClaimTable",
    "OpenClaim",
    "expire_claims",
    "open_claim",
    "redeem_claim",
    "release_claim",
]

import dataclasses

CLAIM_LEASE = 1.0
"""Seconds after a claim within which the claimed request may start."""


@dataclasses.dataclass(slots=True)
class OpenClaim:
    """A claim whose request has not arrived yet.

    Attributes:
        claim_id: Number of the claim, unique within the sidecar's process.
        router: VM name of the router at which the request waits.
        team: Team of the request.
        expires_at: When the lease ends, by this process's clock.
        reserved: Cost units reserved for the request.
    """

    claim_id: int
    router: str
    team: str
    expires_at: float
    reserved: float


@dataclasses.dataclass(slots=True)
class ClaimTable:
    """Open claims of one sidecar.

    Attributes:
        last_id: Number of the last claim; 0 if there was none.
        open: Open claims by number, in the order in which they expire.
    """

    last_id: int = 0
    open: dict[int, OpenClaim] = dataclasses.field(default_factory=dict)


def open_claim(
    table: ClaimTable, now: float, router: str, team: str, reserved: float
) -> OpenClaim:
    """Adds a claim with a new number and a lease of `CLAIM_LEASE` seconds.

    Args:
        table: The claims; changed.
        now: This process's time, in seconds.
        router: VM name of the router that the claim is sent to.
        team: Team whose request is claimed.
        reserved: Cost units reserved for the request.

    Returns:
        The claim.
    """
    table.last_id += 1
    claim = OpenClaim(table.last_id, router, team, now + CLAIM_LEASE, reserved)
    table.open[claim.claim_id] = claim
    return claim


def redeem_claim(
    table: ClaimTable, now: float, claim_id: int, router: str, team: str
) -> OpenClaim | None:
    """Ends a claim because its request arrived.

    A request can arrive late, because the sidecar's process was suspended or
    the link was slow. By then its slot may have been given to another request.
    The lease is therefore checked directly before the request would start, and
    by this process's own clock, so that a process which resumes after a
    suspension finds the lease expired.

    Args:
        table: The claims; changed.
        now: This process's time, in seconds.
        claim_id: Number of the claim, as stated by the router.
        router: VM name of the router that sent the request.
        team: Team of the request.

    Returns:
        The claim; None if there is no such claim for this router and team, or
        its lease has expired.
    """
    claim = table.open.get(claim_id)
    if claim is None or (claim.router, claim.team) != (router, team):
        return None
    del table.open[claim_id]
    return claim if now < claim.expires_at else None


def release_claim(table: ClaimTable, claim_id: int) -> OpenClaim | None:
    """Ends a claim because the router has no waiting request for it.

    Returns:
        The claim; None if it was not open.
    """
    return table.open.pop(claim_id, None)


def expire_claims(table: ClaimTable, now: float) -> list[OpenClaim]:
    """Ends all claims whose lease has expired.

    Returns:
        The claims that ended.
    """
    expired = [
        claim for claim in table.open.values() if claim.expires_at <= now
    ]
    for claim in expired:
        del table.open[claim.claim_id]
    return expired
