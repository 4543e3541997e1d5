"""Claims of a sidecar: leases on one request of a team at a router."""

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
"""Seconds a sidecar waits for the request that it claimed."""


@dataclasses.dataclass(slots=True)
class OpenClaim:
    """A claim whose request has not come yet.

    Attributes:
        claim_id: Number of the claim at this sidecar's incarnation.
        router: Where the request waits.
        team: Whose request it is.
        expires_at: When the lease ends, by this process's clock.
        reserved: Cost units reserved for it.
    """

    claim_id: int
    router: str
    team: str
    expires_at: float
    reserved: float


@dataclasses.dataclass(slots=True)
class ClaimTable:
    """Open claims of one sidecar, in the order in which they expire."""

    last_id: int = 0
    open: dict[int, OpenClaim] = dataclasses.field(default_factory=dict)


def open_claim(
    table: ClaimTable, now: float, router: str, team: str, reserved: float
) -> OpenClaim:
    """Opens a claim.

    Args:
        table: The claims; changed.
        now: This process's time.
        router: The router to be asked.
        team: The team.
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
    """Ends a claim because its request came.

    Guards against a request that comes late, after the sidecar was frozen or
    the link was slow: its slot may have been given away. The lease is judged
    by this process's own clock, directly before the request would start, so
    a thawed process finds it expired.

    Args:
        table: The claims; changed.
        now: This process's time.
        claim_id: The claim that the router names.
        router: The router that sent the request.
        team: The request's team.

    Returns:
        The claim, or None if there is no such claim in force.
    """
    claim = table.open.get(claim_id)
    if claim is None or (claim.router, claim.team) != (router, team):
        return None
    del table.open[claim_id]
    return claim if now < claim.expires_at else None


def release_claim(table: ClaimTable, claim_id: int) -> OpenClaim | None:
    """Ends a claim because the router has nothing for it.

    Returns:
        The claim, or None if it was not open.
    """
    return table.open.pop(claim_id, None)


def expire_claims(table: ClaimTable, now: float) -> list[OpenClaim]:
    """Ends all claims whose lease is over.

    Returns:
        The ended claims.
    """
    over = [claim for claim in table.open.values() if claim.expires_at <= now]
    for claim in over:
        del table.open[claim.claim_id]
    return over
