"""Splits a stream into whole events and keeps count of what was passed on."""

__all__ = [
    "EventSplitter",
    "flush_rest",
    "prepare_resume",
    "split_events",
]

import re

_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"^id: ?([^\r\n]*)", re.MULTILINE)


class EventSplitter:
    """One answer's events.

    Guards against an upstream that stops inside an event: what the caller has
    of a broken stream must end with an event, so that the next upstream can
    go on after it.

    Attributes:
        resumed: Whether another upstream went on with the stream.
    """

    __slots__ = ("_last_id", "_newest", "_rest", "resumed")

    def __init__(self):
        self.resumed = False
        self._rest = b""
        self._newest = b""
        self._last_id = ""

    @property
    def last_id(self) -> str:
        """Id of the last event passed on; empty before the first.

        Looked for when it is asked, which is once a broken stream; at each
        event it was a quarter of what splitting them cost.
        """
        ids = _ID.findall(self._newest)
        if ids:
            self._last_id = ids[-1].decode("latin-1")
        self._newest = b""
        return self._last_id

    def note_id(self, number: str) -> None:
        """Takes note of the id of an event that is passed on."""
        self._last_id, self._newest = number, b""


def split_events(splitter: EventSplitter, data: bytes) -> bytes:
    r"""Takes bytes of a stream.

    Args:
        splitter: The stream; changed.
        data: What has come.

    Returns:
        The events that are now whole, to the letter.

    Example:
        >>> splitter = EventSplitter()
        >>> split_events(splitter, b"id: 1\ndata: a\n\nid: 2\nda")
        b'id: 1\ndata: a\n\n'
        >>> splitter.last_id
        '1'
    """
    text = splitter._rest + data if splitter._rest else data
    end = max(_find_last(text, b"\n\n"), _find_last(text, b"\n\r\n"))
    if not end:
        splitter._rest = text
        return b""
    splitter._rest = text[end:]
    whole = text[:end]
    if splitter.resumed:
        return _leave_out_known(splitter, whole)
    if b"id:" in whole:
        splitter._newest = whole
    return whole


def _find_last(text: bytes, ending: bytes) -> int:
    """Finds where the last event ends that ends so; 0 if none does."""
    found = text.rfind(ending)
    return found + len(ending) if found >= 0 else 0


def _leave_out_known(splitter: EventSplitter, whole: bytes) -> bytes:
    """Leaves out the events that the caller has already."""
    ends = [match.end() for match in _END.finditer(whole)]
    starts = [0, *ends[:-1]]
    events = [whole[a:b] for a, b in zip(starts, ends, strict=True)]
    return b"".join(event for event in events if _is_new(splitter, event))


def _is_new(splitter: EventSplitter, event: bytes) -> bool:
    """Leaves out an event that the caller has: one sent again by a resume."""
    found = _ID.search(event)
    if found is None:
        return True
    number, last = found[1].decode("latin-1"), splitter.last_id
    if number.isdecimal() and last.isdecimal() and int(number) <= int(last):
        return False
    splitter.note_id(number)
    return True


def flush_rest(splitter: EventSplitter) -> bytes:
    """Returns what follows the last whole event of a stream that ended."""
    rest, splitter._rest = splitter._rest, b""
    return rest


def prepare_resume(splitter: EventSplitter) -> None:
    """Prepares for the answer of another upstream that goes on."""
    splitter._rest = b""
    splitter.resumed = bool(splitter.last_id)
