"""Splits a stream into whole events and keeps count of what was passed on."""

__all__ = ["EventSplitter", "flush_rest", "split_events", "start_over"]

import dataclasses
import re

_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"^id: ?([^\r\n]*)", re.MULTILINE)


@dataclasses.dataclass(slots=True)
class EventSplitter:
    """One answer's events.

    Guards against an upstream that stops inside an event: what the caller has
    of a broken stream must end with an event, so that the next upstream can
    go on after it.

    Attributes:
        last_id: Id of the last event passed on; empty before the first.
        resumed: Whether another upstream went on with the stream.
    """

    last_id: str = ""
    resumed: bool = False
    _rest: bytes = b""


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
    text = splitter._rest + data
    ends = [match.end() for match in _END.finditer(text)]
    if not ends:
        splitter._rest = text
        return b""
    splitter._rest = text[ends[-1] :]
    if not splitter.resumed:
        whole = text[: ends[-1]]
        ids = _ID.findall(whole)
        if ids:
            splitter.last_id = ids[-1].decode("latin-1")
        return whole
    starts = [0, *ends[:-1]]
    events = [text[a:b] for a, b in zip(starts, ends, strict=True)]
    return b"".join(event for event in events if _is_new(splitter, event))


def _is_new(splitter: EventSplitter, event: bytes) -> bool:
    """Leaves out an event that the caller has: one sent again by a resume."""
    found = _ID.search(event)
    if found is None:
        return True
    number, last = found[1].decode("latin-1"), splitter.last_id
    if number.isdecimal() and last.isdecimal() and int(number) <= int(last):
        return False
    splitter.last_id = number
    return True


def flush_rest(splitter: EventSplitter) -> bytes:
    """Returns what follows the last whole event of a stream that ended."""
    rest, splitter._rest = splitter._rest, b""
    return rest


def start_over(splitter: EventSplitter) -> None:
    """Prepares for the answer of another upstream that goes on."""
    splitter._rest = b""
    splitter.resumed = bool(splitter.last_id)
