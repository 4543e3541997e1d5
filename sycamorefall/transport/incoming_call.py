"""A request that came in over HTTP, and the way to answer it."""

__all__ = ["EVENT_STREAM", "IncomingCall"]

from collections.abc import Callable
import dataclasses
import socket
from typing import Protocol

from circuits.web import wrappers
import msgspec

from sycamorefall import errors
from sycamorefall.transport import request_reader, response_output

EVENT_STREAM = "text/event-stream"
"""Media type of an answer that is streamed token by token."""


class Answerer(Protocol):
    """What a call needs of its server."""

    def push(self, sock: socket.socket, data: bytes) -> None:
        """Sends bytes on a connection."""

    def finish(self, call: "IncomingCall") -> None:
        """Turns a call's connection to what comes after its answer."""

    def break_off(self, call: "IncomingCall") -> None:
        """Closes a call's connection after what was written to it."""

    def count_unsent(self, sock: socket.socket) -> int:
        """Counts bytes that wait in a connection's send buffer."""


@dataclasses.dataclass(slots=True, frozen=True)
class _Asked:
    """What circuits.web reads of a request as it shapes the answer.

    Its own request parses two URLs, makes a cookie jar and asks the kernel
    for the server's address: 49 us of processor time where this takes 2, both
    timed alone; a whole refusal on a kept connection took about 440.

    Attributes:
        method: HTTP method.
        protocol: HTTP version, such as (1, 1).
        server: What the answer goes out by.
        cookie: Cookies that the answer is to set; none.
    """

    method: str
    protocol: tuple[int, int]
    server: Answerer
    cookie: dict[str, object] = dataclasses.field(default_factory=dict)


class IncomingCall:
    """A request that came in, and the way to answer it.

    Attributes:
        method: HTTP method.
        path: Path without query.
        query: Query string, possibly empty.
        headers: Headers; `get` ignores case.
        target: Path and query to the letter.
        body: The whole body.
        remote: The caller's IP number.
        status: Status of the answer; 0 before it begins.
        on_hangup: Called if the caller goes away before the answer is whole.
        on_drained: Called when the caller has taken all that was written.
    """

    __slots__ = (
        "_head_only",
        "_response",
        "_server",
        "begun",
        "body",
        "ended",
        "headers",
        "method",
        "on_drained",
        "on_hangup",
        "path",
        "query",
        "remote",
        "sock",
        "status",
        "target",
    )

    def __init__(
        self,
        server: Answerer,
        sock: socket.socket,
        request: request_reader.InboundRequest,
    ):
        self._server = server
        self.sock = sock
        self.method = request.method
        self.path = request.path
        self.query = request.query
        self.headers = request.headers
        self.target = request.target
        self.body = request.body
        self.remote: str = sock.getpeername()[0]
        self._head_only = request.method == "HEAD"
        self._response = wrappers.Response(
            _Asked(request.method, request.protocol, server)
        )
        self._response.close = not request.keep_alive
        self.status = 0
        self.begun = False
        self.ended = False
        self.on_hangup: Callable[[], None] | None = None
        self.on_drained: Callable[[], None] | None = None

    def respond(
        self,
        status: int,
        body: bytes,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        """Gives the whole answer."""
        if self.begun or self.ended:
            return
        self._response.body = body
        head = self._format_head(status, headers)
        self.begun = True
        self.ended = True
        self._server.push(self.sock, head if self._head_only else head + body)
        self._server.finish(self)

    def fail(
        self,
        kind: errors.ErrorKind,
        message: str = "",
        ran: errors.Ran | None = None,
        retry_after: float | None = None,
    ) -> None:
        """Answers with an error body."""
        headers = [("Content-Type", "application/json")]
        if retry_after is not None:
            headers.append(("Retry-After", f"{retry_after:g}"))
        body = msgspec.json.encode(errors.create_error_body(kind, message, ran))
        self.respond(errors.ANSWERS[kind].status, body, tuple(headers))

    def begin(
        self, status: int, headers: tuple[tuple[str, str], ...] = ()
    ) -> None:
        """Begins an answer whose body follows piece by piece."""
        if self.begun or self.ended:
            return
        # circuits.web takes a body that is false and no list as one whose
        # length is open.
        self._response.body = ()
        self._response.stream = True
        self.begun = True
        self._server.push(self.sock, self._format_head(status, headers))

    def write(self, data: bytes) -> None:
        """Sends a piece of the body."""
        if data and not self.ended and not self._head_only:
            framed = self._response.chunked
            self._server.push(
                self.sock, response_output.frame_chunk(data) if framed else data
            )

    def end(self) -> None:
        """Ends the answer as a whole one."""
        if not self.ended:
            self.ended = True
            if self._response.chunked:
                self._server.push(self.sock, response_output.LAST_CHUNK)
            self._server.finish(self)

    def abort(self) -> None:
        """Breaks the answer off so that nobody can take it for whole."""
        if not self.ended:
            self.ended = True
            self._server.break_off(self)

    def close_after(self) -> None:
        """Has the connection closed after the answer, if it has not begun."""
        if not self.begun:
            self._response.close = True

    @property
    def unsent_bytes(self) -> int:
        """Bytes written that the caller has not taken yet."""
        return self._server.count_unsent(self.sock)

    @property
    def keep_alive(self) -> bool:
        """Whether the connection may carry another request."""
        return not self._response.close

    def _format_head(
        self, status: int, headers: tuple[tuple[str, str], ...]
    ) -> bytes:
        self.status = status
        self._response.status = status
        for name, value in headers:
            self._response.headers[name] = value
        self._response.prepare()
        return bytes(self._response) + bytes(self._response.headers)
