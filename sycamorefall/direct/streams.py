"""Splits an event stream into complete events and tracks the last event id."""

__all__ = [
    "EventSplitter",
    "count_events",
    "flush_rest",
    "prepare_resume",
    "split_events",
]

import re

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_EVENT_ID = re.compile(rb"^id: ?([^\r\n]*)", re.MULTILINE)


class EventSplitter:
    """Splits one response into complete events, across resumed streams.

    An upstream may stop in the middle of an event. Only complete events are
    forwarded, so that another upstream can resume the stream after the last
    one.

    Attributes:
        resumed: Whether another upstream resumes the stream.
    """

    __slots__ = ("_last_id", "_unscanned", "_incomplete", "resumed")

    def __init__(self):
        self.resumed = False
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
    end = max(_find_last_end(text, b"\n\n"), _find_last_end(text, b"\n\r\n"))
    if not end:
        splitter._incomplete = text
        return b""
    splitter._incomplete = text[end:]
    complete = text[:end]
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
    return data.count(b"\n\n") + data.count(b"\n\r\n")


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


def flush_rest(splitter: EventSplitter) -> bytes:
    """Removes and returns the bytes after the last complete event."""
    rest, splitter._incomplete = splitter._incomplete, b""
    return rest


def prepare_resume(splitter: EventSplitter) -> None:
    """Prepares for the response of an upstream that resumes the stream.

    The bytes of an incomplete event are dropped.
    """
    splitter._incomplete = b""
    splitter.resumed = bool(splitter.last_id)
