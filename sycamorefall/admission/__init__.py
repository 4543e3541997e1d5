"""Admission: an upstream's concurrency limit, and estimates of the wait."""

__all__ = [
    "ConcurrencyLimit",
    "DrainRate",
    "count_room",
    "estimate_wait",
    "note_departure",
    "note_load",
    "suggest_retry_after",
]

from sycamorefall.admission.limit import (
    ConcurrencyLimit,
    count_room,
    note_load,
)
from sycamorefall.admission.waits import (
    DrainRate,
    estimate_wait,
    note_departure,
    suggest_retry_after,
)
