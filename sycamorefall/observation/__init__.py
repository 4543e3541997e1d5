"""Logs, metrics, status and reports of a process."""

__all__ = [
    "Level",
    "LogWriter",
    "Recorder",
    "RequestTrace",
    "count_event",
    "end_action",
    "open_log",
    "record_attempt_end",
    "record_attempt_start",
    "record_piece",
    "record_request_end",
    "record_request_start",
    "record_resumption",
    "start_action",
    "write_rate_limited",
    "write_record",
]

from sycamorefall.observation.log import (
    Level,
    LogWriter,
    end_action,
    open_log,
    start_action,
    write_rate_limited,
    write_record,
)
from sycamorefall.observation.recorder import (
    Recorder,
    RequestTrace,
    count_event,
    record_attempt_end,
    record_attempt_start,
    record_piece,
    record_request_end,
    record_request_start,
    record_resumption,
)
