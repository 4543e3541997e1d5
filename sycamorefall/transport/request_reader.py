"""Parses HTTP requests from the bytes of a connection; no I/O.

h11 does the parsing. The parser of circuits.web decodes escape sequences in
header values, treats bytes after a body as part of it, and raises exceptions on
some malformed input. Each of these lets a caller forge headers or receive
another caller's response.
"""

__all__ = ["BODY_COPIES", "InboundRequest", "RequestHeaders", "RequestReader"]

import collections
import dataclasses
import itertools
import math
import urllib.parse

import h11

from sycamorefall import errors, settings

HEADER_MEMORY = 512
"""Bytes of memory for a header besides its text: the objects for name and value
that the parser and the request keep."""

HEAD_COPIES = 3
"""Bytes of memory for each byte of a head: the parser and the request keep its
text, and a copy is being sent."""

BODY_COPIES = 2
"""Bytes of memory for each byte of a body: the request keeps it for another
attempt, and a copy with the head is being sent."""

MAX_ARRIVALS = 16
"""Maximum number of reads behind a request whose times are kept apart."""


class RequestHeaders:
    """Headers by name; the case of names is ignored.

    Attributes:
        pairs: Each header as it was sent, with its name in lower case.
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
    """A complete request.

    Attributes:
        method: HTTP method.
        path: Path as sent, without query.
        query: Query string, possibly empty.
        headers: The headers.
        body: The body.
        protocol: HTTP version, such as (1, 1).
        keep_alive: Whether the connection may carry another request.
        target: Path and query exactly as sent, for requests that are forwarded.
        arrived_after: Time after which its first byte arrived; infinity if that
            isn't known.
    """

    method: str
    path: str
    query: str
    headers: RequestHeaders
    body: bytes
    protocol: tuple[int, int] = (1, 1)
    keep_alive: bool = True
    target: str = ""
    arrived_after: float = math.inf


class RequestReader:
    """Parses the requests of one connection, one at a time.

    Bytes that follow a request in the same read (pipelining) are not parsed
    until `start_next` is called.

    Guards against requests that take many times their size in memory: nothing
    is kept for a chunk of a body or for a read.

    Attributes:
        unread: Number of bytes received after the end of the current request;
            only meaningful once that request is complete.
        body_size: Bytes of the current request's body: as its head states, or
            as received.
        received: Bytes of the current request's body that were received.
        has_unparsed: Whether `parse_request` ended because of its limit, so
            that it is to be called again.
    """

    __slots__ = (
        "_arrivals",
        "_body",
        "_buffered",
        "_head",
        "_head_size",
        "_headers",
        "_is_complete",
        "_limits",
        "_may_expect_continue",
        "_parser",
        "body_size",
        "has_unparsed",
        "received",
        "unread",
    )

    def __init__(self, limits: settings.LimitSettings):
        self._limits = limits
        self.unread = 0
        # Size and time of reads with bytes of this request or a later one.
        self._arrivals: collections.deque[tuple[int, float]] = (
            collections.deque()
        )
        self._create_parser(b"")

    def _create_parser(self, data: bytes) -> None:
        self._parser = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self._limits.max_header_bytes,
        )
        self._head: h11.Request | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_size = 0
        self._body = bytearray()
        self._buffered = len(data)
        self._is_complete = False
        self.body_size = 0
        self.received = 0
        self.has_unparsed = False
        self._may_expect_continue = False
        if data:
            self._parser.receive_data(data)

    def feed(self, data: bytes, arrived_after: float = math.inf) -> None:
        """Buffers bytes received from the connection.

        Args:
            data: The bytes.
            arrived_after: Time after which they arrived; infinity if that
                isn't known.
        """
        self._record_arrival(len(data), arrived_after)
        self.unread += len(data)
        self._buffered += len(data)
        self._parser.receive_data(data)

    def _record_arrival(self, size: int, arrived_after: float) -> None:
        arrivals = self._arrivals
        if not self._is_complete and len(arrivals) > 1:
            # What was read before belongs to the current request.
            read = sum(known for known, _ in arrivals)
            arrived_first = arrivals[0][1]
            arrivals.clear()
            arrivals.append((read, arrived_first))
        elif len(arrivals) >= MAX_ARRIVALS:
            known, before = arrivals.pop()
            size, arrived_after = known + size, min(before, arrived_after)
        arrivals.append((size, arrived_after))

    @property
    def held_memory(self) -> int:
        """Bytes of memory that the current request and what follows it take."""
        return (
            self._buffered
            + BODY_COPIES * self.body_size
            + HEAD_COPIES * self._head_size
            + HEADER_MEMORY * len(self._headers)
        )

    def discard(self) -> None:
        """Releases what was received; the connection isn't read further."""
        self._arrivals.clear()
        self._create_parser(b"")

    def start_next(self) -> bool:
        """Starts the next request; returns whether bytes of it arrived."""
        rest, _ = self._parser.trailing_data
        self._create_parser(rest)
        self.unread = len(rest)
        read = sum(size for size, _ in self._arrivals)
        while self._arrivals and read - self._arrivals[0][0] >= len(rest):
            read -= self._arrivals.popleft()[0]
        return bool(rest)

    def consume_expect_continue(self) -> bool:
        """Returns, once per request, whether its caller expects `100 Continue`.

        Such a caller sends the body only after that response, or after a pause.
        """
        waiting = self._parser.they_are_waiting_for_100_continue
        expected, self._may_expect_continue = (
            self._may_expect_continue and waiting,
            False,
        )
        return expected

    def parse_request(
        self, max_events: int | None = None
    ) -> InboundRequest | errors.ErrorKind | None:
        """Parses the current request from the bytes that were fed.

        Args:
            max_events: Maximum number of parts, such as chunks of a body, that
                are parsed now; None for no limit.

        Returns:
            The request, or the kind of error if the request is refused, or None
            if it is not yet complete. After a refusal the connection can't be
            read further.
        """
        try:
            return self._read_events(max_events)
        except h11.RemoteProtocolError as error:
            if error.error_status_hint == 431:
                return errors.ErrorKind.HEADERS_TOO_LARGE
            return errors.ErrorKind.MALFORMED_REQUEST

    def _read_events(
        self, max_events: int | None
    ) -> InboundRequest | errors.ErrorKind | None:
        self.has_unparsed = False
        parts = itertools.count() if max_events is None else range(max_events)
        for _ in parts:
            event = self._parser.next_event()
            match event:
                case h11.Request():
                    self._head = event
                    # h11 creates each pair anew on every iteration: for eight
                    # headers one iteration takes 3 us, three take 8 us.
                    self._headers = list(event.headers)
                    self._head_size = len(event.target) + sum(
                        len(name) + len(value) for name, value in self._headers
                    )
                    self._may_expect_continue = True
                    if refusal := self._check_headers():
                        return refusal
                case h11.Data():
                    self.received += len(event.data)
                    self.body_size = max(self.body_size, self.received)
                    if self.received > self._limits.max_body_bytes:
                        return errors.ErrorKind.BODY_TOO_LARGE
                    self._body += event.data
                case h11.EndOfMessage():
                    return self._create_request()
                case _:
                    self._buffered = len(self._parser.trailing_data[0])
                    return None
        self.has_unparsed = True
        self._buffered = len(self._parser.trailing_data[0])
        return None

    def _check_headers(self) -> errors.ErrorKind | None:
        names = [name for name, _ in self._headers]
        lengths = [v for name, v in self._headers if name == b"content-length"]
        # If both were accepted, a proxy in front could see other bounds of the
        # request than this process, and one caller's bytes would become
        # another's request.
        if lengths and b"transfer-encoding" in names:
            return errors.ErrorKind.MALFORMED_REQUEST
        if lengths and int(lengths[0]) > self._limits.max_body_bytes:
            return errors.ErrorKind.BODY_TOO_LARGE
        if lengths:
            self.body_size = int(lengths[0])
        return None

    def _create_request(self) -> InboundRequest | errors.ErrorKind:
        head = self._head
        try:
            target = urllib.parse.urlsplit(head.target.decode("ascii"))
        except ValueError:
            return errors.ErrorKind.MALFORMED_REQUEST
        major, _, minor = head.http_version.decode("ascii").partition(".")
        rest, _ = self._parser.trailing_data
        self.unread = self._buffered = len(rest)
        self._is_complete = True
        body, self._body = bytes(self._body), bytearray()
        return InboundRequest(
            method=head.method.decode("ascii"),
            path=target.path,
            query=target.query,
            headers=RequestHeaders(self._headers),
            body=body,
            protocol=(int(major), int(minor)),
            keep_alive=self._parser.their_state is not h11.MUST_CLOSE,
            target=head.target.decode("ascii"),
            arrived_after=self._arrivals[0][1] if self._arrivals else math.inf,
        )
