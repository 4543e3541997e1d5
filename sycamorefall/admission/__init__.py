"""Admission: an upstream's concurrency limit, and estimates of the wait."""

__all__ = [
    "ConcurrencyLimit",
    "DrainRate",
    "LoadReport",
    "begin_low",
    "count_own",
    "count_room",
    "count_startable",
    "estimate_wait",
    "note_departure",
    "note_end",
    "note_foreign",
    "note_latency",
    "note_load",
    "note_start",
    "suggest_retry_after",
]

from sycamorefall.admission.limit import (
    ConcurrencyLimit,
    LoadReport,
    begin_low,
    count_own,
    count_room,
    count_startable,
    note_end,
    note_foreign,
    note_latency,
    note_load,
    note_start,
)
from sycamorefall.admission.waits import (
    DrainRate,
    estimate_wait,
    note_departure,
    suggest_retry_after,
)
