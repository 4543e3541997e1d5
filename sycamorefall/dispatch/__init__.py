"""Hand-out of requests: claims, attempts, outcomes, retries."""

__all__ = [
    "CLAIM_LEASE",
    "ClaimTable",
    "OpenClaim",
    "OutcomeRecords",
    "answer_query",
    "expire_claims",
    "open_claim",
    "redeem_claim",
    "release_claim",
    "try_start",
]

from sycamorefall.dispatch.claims import (
    CLAIM_LEASE,
    ClaimTable,
    OpenClaim,
    expire_claims,
    open_claim,
    redeem_claim,
    release_claim,
)
from sycamorefall.dispatch.outcomes import (
    OutcomeRecords,
    answer_query,
    try_start,
)
