"""Splits an event stream into complete events and tracks the last event id.

Lines end with LF, CRLF or CR, and an empty line ends an event, as the HTML
standard interprets event streams.
"""

__all__ = [
    "EventSplitter",
    "StreamEnd",
    "classify_end",
    "count_events",
    "count_incomplete_bytes",
    "flush_rest",
    "prepare_resume",
    "split_events",
]

import enum
import re

_EVENT_END = re.compile(rb"\r?\n\r?\n|\r\r")
_BYTE_ORDER_MARK = b"\xef\xbb\xbf"
_EVENT_ID = re.compile(
    rb"(?:\A(?:%b)?|[\r\n])id: ?([^\r\n]*)" % _BYTE_ORDER_MARK
)
_LINE_END = re.compile(rb"\r\n|\n|\r")


class StreamEnd(enum.Enum):
    """Where in a stream an upstream's response ends.

    BETWEEN_EVENTS: After a complete event, or after comments that follow one.
    INSIDE_EVENT: After some bytes of an event.
    NO_EVENT: Before the first event.
    """

    BETWEEN_EVENTS = "between_events"
    INSIDE_EVENT = "inside_event"
    NO_EVENT = "no_event"


class EventSplitter:
    """Splits one response into complete events, across resumed streams.

    An upstream may stop in the middle of an event. Only complete events are
    forwarded, so that another upstream can resume the stream after the last
    one.

    Attributes:
        resumed: Whether another upstream resumes the stream.
        has_event: Whether an event of the current upstream was complete.
    """

    __slots__ = (
        "_ends_in_feed",
        "_last_id",
        "_unscanned",
        "_incomplete",
        "has_event",
        "resumed",
    )

    def __init__(self):
        self.resumed = False
        self.has_event = False
        self._ends_in_feed = True
        self._incomplete = b""
        self._unscanned = b""
        self._last_id = ""

    @property
    def last_id(self) -> str:
        """Id of the last forwarded event; empty before the first one.

        The id is searched for only when it is read, which happens once per
        broken stream. Searching at each event took a quarter of the time of
        splitting.
        """
        ids = _EVENT_ID.findall(self._unscanned)
        if ids:
            self._last_id = ids[-1].decode("latin-1")
        self._unscanned = b""
        return self._last_id

    def record_id(self, event_id: str) -> None:
        """Records the id of an event that is forwarded."""
        self._last_id, self._unscanned = event_id, b""


def split_events(splitter: EventSplitter, data: bytes) -> bytes:
    r"""Adds received bytes to a stream and returns the events to forward.

    Args:
        splitter: The stream; changed.
        data: The received bytes.

    Returns:
        The events that are now complete, byte for byte, without those that the
        caller has received before a resume.

    Example:
        >>> splitter = EventSplitter()
        >>> split_events(splitter, b"id: 1\ndata: a\n\nid: 2\nda")
        b'id: 1\ndata: a\n\n'
        >>> splitter.last_id
        '1'
    """
    text = splitter._incomplete + data if splitter._incomplete else data
    end = max(
        _find_last_end(text, b"\n\n"),
        _find_last_end(text, b"\n\r\n"),
        _find_last_end(text, b"\r\r"),
    )
    if not end:
        splitter._incomplete = text
        return b""
    splitter.has_event = True
    splitter._incomplete = text[end:]
    complete = text[:end]
    splitter._ends_in_feed = complete.endswith(b"\n")
    if splitter.resumed:
        return _drop_known_events(splitter, complete)
    if b"id:" in complete:
        splitter._unscanned = complete
    return complete


def count_events(data: bytes) -> int:
    r"""Counts the events in the result of `split_events`.

    Example:
        >>> count_events(b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n")
        2
    """
    return sum(map(data.count, (b"\n\n", b"\n\r\n", b"\r\r")))


def count_incomplete_bytes(splitter: EventSplitter) -> int:
    r"""Counts the bytes received after the last complete event.

    Example:
        >>> splitter = EventSplitter()
        >>> _ = split_events(splitter, b"data: a\n\ndata")
        >>> count_incomplete_bytes(splitter)
        4
    """
    return len(splitter._incomplete)


def _find_last_end(text: bytes, ending: bytes) -> int:
    """Finds the end of the last event with this ending; 0 if there is none."""
    found = text.rfind(ending)
    return found + len(ending) if found >= 0 else 0


def _drop_known_events(splitter: EventSplitter, complete: bytes) -> bytes:
    """Drops the events that the caller has already received."""
    ends = [match.end() for match in _EVENT_END.finditer(complete)]
    starts = [0, *ends[:-1]]
    events = [complete[a:b] for a, b in zip(starts, ends, strict=True)]
    return b"".join(event for event in events if _is_new(splitter, event))


def _is_new(splitter: EventSplitter, event: bytes) -> bool:
    """Returns whether the caller lacks an event, and records its id if so.

    A resumed stream may repeat events; an event whose decimal id is not above
    the last one is a repeat.
    """
    found = _EVENT_ID.search(event)
    if found is None:
        return True
    event_id, last = found[1].decode("latin-1"), splitter.last_id
    if event_id.isdecimal() and last.isdecimal() and int(event_id) <= int(last):
        return False
    splitter.record_id(event_id)
    return True


def classify_end(splitter: EventSplitter) -> StreamEnd:
    r"""Classifies the end of the current upstream's response.

    Example:
        >>> splitter = EventSplitter()
        >>> _ = split_events(splitter, b"data: a\n\ndata: b\n")
        >>> classify_end(splitter)
        <StreamEnd.INSIDE_EVENT: 'inside_event'>
        >>> _ = split_events(splitter, b"\n: a comment\n")
        >>> classify_end(splitter)
        <StreamEnd.BETWEEN_EVENTS: 'between_events'>
    """
    rest = splitter._incomplete
    if not splitter.has_event:
        rest = rest.removeprefix(_BYTE_ORDER_MARK)
    *lines, unfinished = _LINE_END.split(rest)
    if rest.endswith(b"\r") and splitter._ends_in_feed:
        return StreamEnd.INSIDE_EVENT  # Only half of a CRLF has arrived.
    if unfinished or any(line and not line.startswith(b":") for line in lines):
        return StreamEnd.INSIDE_EVENT
    if not splitter.has_event:
        return StreamEnd.NO_EVENT
    return StreamEnd.BETWEEN_EVENTS


def flush_rest(splitter: EventSplitter) -> bytes:
    """Removes and returns the bytes after the last complete event."""
    rest, splitter._incomplete = splitter._incomplete, b""
    return rest


def prepare_resume(splitter: EventSplitter) -> None:
    """Prepares for the response of an upstream that resumes the stream.

    The bytes of an incomplete event are dropped.
    """
    splitter._incomplete = b""
    splitter.has_event = False
    splitter.resumed = bool(splitter.last_id)
