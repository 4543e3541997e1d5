"""Admission: an upstream's concurrency limit, and estimates of the wait."""

__all__ = [
    "ConcurrencyLimit",
    "DrainRate",
    "LoadReport",
    "PARENT_HEADER",
    "Parent",
    "RATE_LIFETIME",
    "RunTime",
    "begin_low",
    "count_own",
    "count_room",
    "count_startable",
    "estimate_wait",
    "exceeds_deadline",
    "find_interval",
    "is_stale",
    "issue_token",
    "note_departure",
    "note_end",
    "note_foreign",
    "note_latency",
    "note_load",
    "note_run",
    "note_start",
    "read_token",
    "suggest_retry_after",
]

from sycamorefall.admission.latency import note_latency
from sycamorefall.admission.limit import (
    ConcurrencyLimit,
    begin_low,
    count_own,
    count_room,
    count_startable,
    note_end,
    note_start,
)
from sycamorefall.admission.parents import (
    PARENT_HEADER,
    Parent,
    issue_token,
    read_token,
)
from sycamorefall.admission.reports import (
    LoadReport,
    note_foreign,
    note_load,
)
from sycamorefall.admission.waits import (
    RATE_LIFETIME,
    DrainRate,
    RunTime,
    estimate_wait,
    exceeds_deadline,
    find_interval,
    is_stale,
    note_departure,
    note_run,
    suggest_retry_after,
)
