"""What a process shows of itself: logs, counters, histograms, reports."""

__all__ = [
    "Level",
    "LogWriter",
    "Recorder",
    "Track",
    "begin_request",
    "count_event",
    "end_action",
    "end_request",
    "note_attempt_end",
    "note_hand_out",
    "note_piece",
    "open_log",
    "start_action",
    "write_limited",
    "write_record",
]

from sycamorefall.observation.log import (
    Level,
    LogWriter,
    end_action,
    open_log,
    start_action,
    write_limited,
    write_record,
)
from sycamorefall.observation.recorder import (
    Recorder,
    Track,
    begin_request,
    count_event,
    end_request,
    note_attempt_end,
    note_hand_out,
    note_piece,
)
