"""Admission control: concurrency limits, wait estimates, parent tokens."""

__all__ = [
    "PARENT_HEADER",
    "RATE_LIFETIME",
    "ConcurrencyLimit",
    "DrainRate",
    "LoadReport",
    "Parent",
    "RunTime",
    "adjust_to_latency",
    "adjust_to_load",
    "compute_departure_interval",
    "compute_own_limit",
    "count_claimable",
    "count_startable",
    "estimate_wait",
    "exceeds_deadline",
    "is_stale",
    "issue_token",
    "record_departure",
    "record_end",
    "record_foreign",
    "record_run_time",
    "record_start",
    "start_at_minimum",
    "suggest_retry_after",
    "verify_token",
]

from sycamorefall.admission.latency import adjust_to_latency
from sycamorefall.admission.limit import (
    ConcurrencyLimit,
    compute_own_limit,
    count_claimable,
    count_startable,
    record_end,
    record_start,
    start_at_minimum,
)
from sycamorefall.admission.load_reports import (
    LoadReport,
    adjust_to_load,
    record_foreign,
)
from sycamorefall.admission.parent_tokens import (
    PARENT_HEADER,
    Parent,
    issue_token,
    verify_token,
)
from sycamorefall.admission.wait_estimates import (
    RATE_LIFETIME,
    DrainRate,
    RunTime,
    compute_departure_interval,
    estimate_wait,
    exceeds_deadline,
    is_stale,
    record_departure,
    record_run_time,
    suggest_retry_after,
)
