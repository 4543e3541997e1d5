"""Structured logs: eliot records as JSON lines, written without waiting.

A record of what concerns a request carries the attempt's id and the caller's
`X-Request-Id`, which router and sidecar both know. Bearer keys and bodies are
never passed to a function of this module.
"""

__all__ = [
    "Level",
    "LogWriter",
    "end_action",
    "open_log",
    "start_action",
    "write_rate_limited",
    "write_record",
]

import collections
import enum
import time

import eliot
import msgspec

from sycamorefall import settings
from sycamorefall.observation import nonblocking_output

BUFFER_BYTES = 1 << 18
"""Most bytes that wait for a slow reader; further records are dropped."""


LIMIT_INTERVAL = 1.0
"""Seconds between two records of a kind that strangers can provoke."""


class Level(enum.IntEnum):
    """How much a record matters; `settings.LogSettings.level` by name."""

    DEBUG = 10
    INFO = 20
    WARNING = 30
    ERROR = 40
    OFF = 100


class LogWriter:
    """An eliot destination with a bounded buffer.

    Guards against a reader of the log that stops reading, a pipe that is
    closed and a disk that is full: a blocking write would stop the one loop
    of the process, and all its callers with it. What the descriptor does not
    take at once waits in the buffer; what does not fit there is counted.

    Attributes:
        dropped: Records lost so far.
    """

    __slots__ = ("_buffer", "_reported", "_size", "_write", "dropped")

    def __init__(self, write: nonblocking_output.NonBlockingWrite):
        self._write = write
        self._buffer: collections.deque[bytes] = collections.deque()
        self._size = 0
        self._reported = 0
        self.dropped = 0

    def __call__(self, record: dict[str, object]) -> None:
        """Takes an eliot record."""
        line = msgspec.json.encode(record, enc_hook=repr) + b"\n"
        if self._size + len(line) > BUFFER_BYTES:
            self.dropped += 1
        else:
            self._buffer.append(line)
            self._size += len(line)
        self.flush()

    def flush(self) -> None:
        """Writes as much of the buffer as goes without waiting."""
        while self._buffer:
            line = self._buffer[0]
            try:
                written = self._write(line)
            except BlockingIOError:
                return
            except OSError:
                # Closed pipe or full disk: waiting would not help this line.
                self._drop_first()
                return
            self._size -= written
            if written < len(line):
                self._buffer[0] = line[written:]
                return
            self._buffer.popleft()
        self._report_dropped()

    def _drop_first(self) -> None:
        self._size -= len(self._buffer.popleft())
        self.dropped += 1

    def _report_dropped(self) -> None:
        """Says in the log itself that records are missing, once it flows."""
        if self.dropped == self._reported:
            return
        lost, self._reported = self.dropped - self._reported, self.dropped
        write_record(Level.WARNING, "log.dropped", records=lost)


_threshold = Level.OFF
"""Least level that is written; eliot's destinations are as global."""


def open_log(config: settings.LogSettings) -> LogWriter:
    """Opens the process's log.

    Args:
        config: Section `[log]` of its settings.

    Returns:
        The writer, to be flushed now and then and asked for its drops.

    Raises:
        errors.SettingsRefused: The destination can't be opened.
    """
    global _threshold
    writer = LogWriter(nonblocking_output.open_destination(config.destination))
    _threshold = Level[config.level.upper()]
    eliot.add_destinations(writer)
    return writer


def write_record(level: Level, kind: str, **fields: object) -> None:
    """Writes one record.

    Args:
        level: How much it matters.
        kind: What happened, such as `control.refused`.
        fields: Details that JSON can show.
    """
    if level >= _threshold:
        eliot.log_message(kind, level=level.name.lower(), **fields)


_rate_limits: dict[str, tuple[float, int]] = {}
"""When a limited kind was last written, and how many were left out since."""


def write_rate_limited(level: Level, kind: str, **fields: object) -> None:
    """Writes at most one record of a kind a second.

    Guards against a stranger who sends what is refused as fast as he can:
    without the limit he would push all other records out of the log.

    Args:
        level: How much it matters.
        kind: What happened.
        fields: Details that JSON can show.
    """
    now = time.monotonic()
    last, left_out = _rate_limits.get(kind, (-LIMIT_INTERVAL, 0))
    if now - last < LIMIT_INTERVAL:
        _rate_limits[kind] = (last, left_out + 1)
        return
    _rate_limits[kind] = (now, 0)
    write_record(level, kind, left_out=left_out, **fields)


def start_action(kind: str, **fields: object) -> eliot.Action | None:
    """Starts an action that ends later, by `end_action`.

    Args:
        kind: What is done, such as `request`.
        fields: Details known at the start.

    Returns:
        The action; None if the level leaves actions out.
    """
    if _threshold > Level.INFO:
        return None
    return eliot.start_task(action_type=kind, level="info", **fields)


def end_action(action: eliot.Action | None, **fields: object) -> None:
    """Ends an action.

    Args:
        action: What `start_action` gave; None does nothing.
        fields: Details known at the end.
    """
    if action is not None:
        action.add_success_fields(level="info", **fields)
        action.finish()
