"""What a process shows of itself: logs, counters, histograms, reports."""

__all__ = [
    "Level",
    "LogWriter",
    "end_action",
    "open_log",
    "start_action",
    "write_record",
]

from sycamorefall.observation.log import (
    Level,
    LogWriter,
    end_action,
    open_log,
    start_action,
    write_record,
)
