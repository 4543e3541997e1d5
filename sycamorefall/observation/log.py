"""Structured logging: eliot records as JSON lines, written without blocking.

Records about a request contain the id of its attempt and the caller's
`X-Request-Id`, which both router and sidecar know. Bearer keys and request
bodies are never passed to the functions of this module.
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
"""Maximum bytes buffered for a slow reader; further records are dropped."""


LIMIT_INTERVAL = 1.0
"""Minimum seconds between two records of a kind written by
`write_rate_limited`."""


class Level(enum.IntEnum):
    """Severity of a record; its names are values of `LogSettings.level`."""

    DEBUG = 10
    INFO = 20
    WARNING = 30
    ERROR = 40
    OFF = 100


class LogWriter:
    """An eliot destination with a bounded buffer.

    Writes never block, since a log reader that stops reading would otherwise
    stop the event loop of the process and with it all requests. Records that
    can't be written at once are buffered; records that don't fit into the
    buffer, or whose write fails (closed pipe, full disk), are dropped and
    counted.

    Attributes:
        dropped: Number of records dropped so far.
    """

    __slots__ = ("_buffer", "_reported", "_size", "_write", "dropped")

    def __init__(self, write: nonblocking_output.NonBlockingWrite):
        self._write = write
        self._buffer: collections.deque[bytes] = collections.deque()
        self._size = 0
        self._reported = 0
        self.dropped = 0

    def __call__(self, record: dict[str, object]) -> None:
        """Adds a record to the buffer as a line of JSON and flushes it."""
        line = msgspec.json.encode(record, enc_hook=repr) + b"\n"
        if self._size + len(line) > BUFFER_BYTES:
            self.dropped += 1
        else:
            self._buffer.append(line)
            self._size += len(line)
        self.flush()

    def flush(self) -> None:
        """Writes as much of the buffer as possible without blocking."""
        while self._buffer:
            line = self._buffer[0]
            try:
                written = self._write(line)
            except BlockingIOError:
                return
            except OSError:
                # Closed pipe or full disk: waiting wouldn't help this line.
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
        """Logs the number of records dropped since the last such report."""
        if self.dropped == self._reported:
            return
        lost, self._reported = self.dropped - self._reported, self.dropped
        write_record(Level.WARNING, "log.dropped", records=lost)


_threshold = Level.OFF
"""Lowest level that is written; global, as eliot's destinations are."""


def open_log(config: settings.LogSettings) -> LogWriter:
    """Opens the log of the process and sets its level.

    Args:
        config: Section `[log]` of the settings.

    Returns:
        The log writer. The caller flushes it periodically and reports its
        count of dropped records.

    Raises:
        errors.SettingsRefused: The destination can't be opened.
    """
    global _threshold
    writer = LogWriter(nonblocking_output.open_destination(config.destination))
    _threshold = Level[config.level.upper()]
    eliot.add_destinations(writer)
    return writer


def write_record(level: Level, kind: str, **fields: object) -> None:
    """Writes a record to the log unless its level is below the log's level.

    Args:
        level: Severity of the record.
        kind: Kind of the record, such as `control.refused`.
        fields: Further fields of the record, encoded as JSON.
    """
    if level >= _threshold:
        eliot.log_message(kind, level=level.name.lower(), **fields)


_rate_limits: dict[str, tuple[float, int]] = {}
"""Time of the last written record and number of suppressed records since, by
kind."""


def write_rate_limited(level: Level, kind: str, **fields: object) -> None:
    """Writes at most one record of this kind per second.

    The next record that is written has the number of suppressed records in its
    field `left_out`. Without the limit, a client that keeps sending requests
    that are refused would push all other records out of the log.

    Args:
        level: Severity of the record.
        kind: Kind of the record.
        fields: Further fields of the record, encoded as JSON.
    """
    now = time.monotonic()
    last, left_out = _rate_limits.get(kind, (-LIMIT_INTERVAL, 0))
    if now - last < LIMIT_INTERVAL:
        _rate_limits[kind] = (last, left_out + 1)
        return
    _rate_limits[kind] = (now, 0)
    write_record(level, kind, left_out=left_out, **fields)


def start_action(kind: str, **fields: object) -> eliot.Action | None:
    """Logs the start of an action; `end_action` logs its end.

    Args:
        kind: Kind of the action, such as `request`.
        fields: Fields of the start record.

    Returns:
        The action; None if the log level excludes actions.
    """
    if _threshold > Level.INFO:
        return None
    return eliot.start_task(action_type=kind, level="info", **fields)


def end_action(action: eliot.Action | None, **fields: object) -> None:
    """Logs the end of an action.

    Args:
        action: Return value of `start_action`; does nothing if None.
        fields: Fields of the end record.
    """
    if action is not None:
        action.add_success_fields(level="info", **fields)
        action.finish()
