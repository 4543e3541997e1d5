"""Reads requests from a connection's bytes; free of I/O.

h11 does the parsing. The parser of circuits.web turns written-out escapes in
header values into the characters that they stand for, takes bytes after a
body for a part of it, and raises on some malformed input; each of these lets
a caller forge headers or reach another caller's answer.
"""

__all__ = ["InboundRequest", "RequestHeaders", "RequestReader"]

import dataclasses
import urllib.parse

import h11

from sycamorefall import errors, settings


class RequestHeaders:
    """Headers by name, whose case does not matter.

    Attributes:
        pairs: Each header as it was sent, its name in lower case.
    """

    __slots__ = ("_values", "pairs")

    def __init__(self, pairs: list[tuple[bytes, bytes]]):
        self._values: dict[str, str] = {}
        self.pairs = [
            (name.decode("ascii").lower(), value.decode("latin-1"))
            for name, value in pairs
        ]
        for key, text in self.pairs:
            known = self._values.get(key)
            self._values[key] = text if known is None else f"{known}, {text}"

    def get(self, name: str, default: str | None = None) -> str | None:
        """Returns a header's value; values of the same name are joined."""
        return self._values.get(name.lower(), default)


@dataclasses.dataclass(slots=True, frozen=True)
class InboundRequest:
    """A request that came in whole.

    Attributes:
        method: HTTP method.
        path: Path as sent, without query.
        query: Query string, possibly empty.
        headers: Its headers.
        body: Its body.
        protocol: HTTP version, such as (1, 1).
        keep_alive: Whether the connection may carry another request.
        target: Path and query to the letter, for one that is passed on.
    """

    method: str
    path: str
    query: str
    headers: RequestHeaders
    body: bytes
    protocol: tuple[int, int] = (1, 1)
    keep_alive: bool = True
    target: str = ""


class RequestReader:
    """Reads the requests of one connection, one at a time.

    What follows a request in the same bytes (pipelining) waits until
    `start_next` is called.

    Attributes:
        unread: Bytes fed since the current request was whole.
    """

    __slots__ = (
        "_body",
        "_expecting",
        "_head",
        "_headers",
        "_limits",
        "_parser",
        "_size",
        "unread",
    )

    def __init__(self, limits: settings.LimitSettings):
        self._limits = limits
        self.unread = 0
        self._begin(b"")

    def _begin(self, data: bytes) -> None:
        self._parser = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self._limits.max_header_bytes,
        )
        self._head: h11.Request | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._size = 0
        self._expecting = False
        if data:
            self._parser.receive_data(data)

    def feed(self, data: bytes) -> None:
        """Takes bytes as received."""
        self.unread += len(data)
        self._parser.receive_data(data)

    def start_next(self) -> bool:
        """Turns to the next request; tells whether bytes of it are there."""
        rest, _ = self._parser.trailing_data
        self._begin(rest)
        self.unread = len(rest)
        return bool(rest)

    def take_expectation(self) -> bool:
        """Tells, once a request, whether its caller waits for `100 Continue`.

        Such a caller sends its body only after it, or after a pause.
        """
        waiting = self._parser.they_are_waiting_for_100_continue
        expected, self._expecting = self._expecting and waiting, False
        return expected

    def take(self) -> InboundRequest | errors.ErrorKind | None:
        """Takes the next request from what was fed.

        Returns:
            The request, or the kind of its refusal, or None if it is not yet
            whole. After a refusal the connection can't be read further.
        """
        try:
            return self._read_events()
        except h11.RemoteProtocolError as fault:
            if fault.error_status_hint == 431:
                return errors.ErrorKind.HEADERS_TOO_LARGE
            return errors.ErrorKind.MALFORMED_REQUEST

    def _read_events(self) -> InboundRequest | errors.ErrorKind | None:
        while True:
            event = self._parser.next_event()
            match event:
                case h11.Request():
                    self._head = event
                    # h11 makes each pair anew whenever they are gone through:
                    # once costs 3 us for eight headers, three times 8.
                    self._headers = list(event.headers)
                    self._expecting = True
                    if refusal := self._check_headers():
                        return refusal
                case h11.Data():
                    self._size += len(event.data)
                    self._body.append(bytes(event.data))
                    if self._size > self._limits.max_body_bytes:
                        return errors.ErrorKind.BODY_TOO_LARGE
                case h11.EndOfMessage():
                    return self._finish()
                case h11.ConnectionClosed():
                    return None
                case _:
                    return None

    def _check_headers(self) -> errors.ErrorKind | None:
        names = [name for name, _ in self._headers]
        lengths = [v for name, v in self._headers if name == b"content-length"]
        # With both, a proxy in front could see other bounds of the request
        # than this process, and one caller's bytes become another's request.
        if lengths and b"transfer-encoding" in names:
            return errors.ErrorKind.MALFORMED_REQUEST
        if lengths and int(lengths[0]) > self._limits.max_body_bytes:
            return errors.ErrorKind.BODY_TOO_LARGE
        return None

    def _finish(self) -> InboundRequest | errors.ErrorKind:
        head = self._head
        try:
            target = urllib.parse.urlsplit(head.target.decode("ascii"))
        except ValueError:
            return errors.ErrorKind.MALFORMED_REQUEST
        major, _, minor = head.http_version.decode("ascii").partition(".")
        rest, _ = self._parser.trailing_data
        self.unread = len(rest)
        return InboundRequest(
            method=head.method.decode("ascii"),
            path=target.path,
            query=target.query,
            headers=RequestHeaders(self._headers),
            body=b"".join(self._body),
            protocol=(int(major), int(minor)),
            keep_alive=self._parser.their_state is not h11.MUST_CLOSE,
            target=head.target.decode("ascii"),
        )
