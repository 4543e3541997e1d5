"""Dispatch of requests: claims, attempt records and retry budgets."""

__all__ = [
    "CLAIM_LEASE",
    "ClaimTable",
    "OpenClaim",
    "OutcomeRecords",
    "RetryBudgets",
    "answer_query",
    "compute_backoff",
    "deposit_request",
    "drop_idle_budgets",
    "expire_claims",
    "open_claim",
    "redeem_claim",
    "release_claim",
    "return_retry",
    "try_start",
    "withdraw_retry",
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
from sycamorefall.dispatch.retries import (
    RetryBudgets,
    compute_backoff,
    deposit_request,
    drop_idle_budgets,
    return_retry,
    withdraw_retry,
)
