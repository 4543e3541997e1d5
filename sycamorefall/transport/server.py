"""HTTP server of a process: circuits.web with bounds, answering later.

circuits.web parses a request and fires it as an event; an answer here is
given whenever it is known, whole or piece by piece.
"""

__all__ = ["HttpServer", "IncomingCall"]

from collections.abc import Callable
import socket

import circuits
from circuits.net import events as net_events
from circuits.net import sockets
from circuits.web import events as web_events
from circuits.web import http as web_http
import msgspec

from sycamorefall import errors, settings
from sycamorefall.transport import outflow

DRAIN_LIMIT = 1 << 24
"""Bytes of a refused request that are read and thrown away."""


class IncomingCall:
    """A request that came in, and the way to answer it.

    Attributes:
        method: HTTP method.
        path: Path without query.
        query: Query string, possibly empty.
        headers: Headers; `get` ignores case.
        body: The whole body.
        on_hangup: Called if the caller goes away before the answer is whole.
        on_drained: Called when the caller has taken all that was written.
    """

    __slots__ = (
        "_request",
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
    )

    def __init__(self, server: "HttpServer", request, response):
        self._server = server
        self._request = request
        self._response = response
        self.method: str = request.method
        self.path: str = request.path
        self.query: str = request.qs or ""
        self.headers = request.headers
        self.body: bytes = request.body.getvalue()
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
        self._set_head(status, headers)
        self._response.body = body
        self.begun = True
        self.ended = True
        self._server.finish(self)
        self._server.fire(web_events.response(self._response), "web")

    def fail(
        self,
        kind: errors.ErrorKind,
        message: str = "",
        ran: errors.Ran | None = None,
        retry_after: int | None = None,
    ) -> None:
        """Answers with an error body."""
        headers = [("Content-Type", "application/json")]
        if retry_after is not None:
            headers.append(("Retry-After", str(retry_after)))
        body = msgspec.json.encode(errors.describe_error(kind, message, ran))
        self.respond(errors.ANSWERS[kind].status, body, tuple(headers))

    def begin(
        self, status: int, headers: tuple[tuple[str, str], ...] = ()
    ) -> None:
        """Begins an answer whose body follows piece by piece."""
        self._set_head(status, headers)
        # circuits.web takes a body that is false and no list as one whose
        # length is open.
        self._response.body = ()
        self._response.stream = True
        self.begun = True
        self._response.prepare()
        head = bytes(self._response) + bytes(self._response.headers)
        self._server.push(self, head)

    def write(self, data: bytes) -> None:
        """Sends a piece of the body."""
        if data and not self.ended:
            framed = self._response.chunked
            self._server.push(
                self, outflow.frame_chunk(data) if framed else data
            )

    def end(self) -> None:
        """Ends the answer as a whole one."""
        if not self.ended:
            self.ended = True
            if self._response.chunked:
                self._server.push(self, outflow.LAST_CHUNK)
            self._server.finish(self)
            self._server.forget_answer(self, close=self._response.close)

    def abort(self) -> None:
        """Breaks the answer off so that nobody can take it for whole."""
        if not self.ended:
            self.ended = True
            self._server.finish(self)
            self._server.forget_answer(self, close=True)

    @property
    def backlog(self) -> int:
        """Bytes written that the caller has not taken yet."""
        return outflow.count_unsent(self._server.server, self._request.sock)

    @property
    def sock(self) -> socket.socket:
        """The caller's connection."""
        return self._request.sock

    def _set_head(
        self, status: int, headers: tuple[tuple[str, str], ...]
    ) -> None:
        self._response.status = status
        for name, value in headers:
            self._response.headers[name] = value


class HttpServer(circuits.BaseComponent):
    """Listens for HTTP and hands each request to a function."""

    channel = "web"
    secure = False
    display_banner = False

    def __init__(
        self,
        listen: settings.Address,
        limits: settings.LimitSettings,
        on_call: Callable[[IncomingCall], None],
    ):
        """Opens the listening socket.

        Args:
            listen: Address to listen at.
            limits: Bounds on sizes and connections.
            on_call: Called with each request.

        Raises:
            errors.AddressInUse: The address can't be bound.
        """
        super().__init__()
        self._limits = limits
        self._on_call = on_call
        self._calls: dict[socket.socket, IncomingCall] = {}
        self._received: dict[socket.socket, int] = {}
        self._refused: set[socket.socket] = set()
        try:
            self.server = sockets.TCPServer(listen.pair, channel="web")
        except OSError as fault:
            raise errors.AddressInUse(f"data {listen}: {fault}") from fault
        self.server.register(self)
        self.http = web_http.HTTP(self, channel="web").register(self)

    @property
    def host(self) -> str | None:
        """IP number listened at."""
        return self.server.host

    @property
    def port(self) -> int | None:
        """Port listened at."""
        return self.server.port

    @property
    def open_calls(self) -> int:
        """Requests whose answer is not complete."""
        return len(self._calls)

    def finish(self, call: IncomingCall) -> None:
        """Forgets a call whose answer is complete or broken off."""
        self._calls.pop(call.sock, None)

    def push(self, call: IncomingCall, data: bytes) -> None:
        """Sends bytes of a streamed answer."""
        outflow.push_bytes(self.server, call.sock, data)

    def forget_answer(self, call: IncomingCall, close: bool) -> None:
        """Ends a streamed answer; what was written to it is still sent.

        Args:
            call: The call that is answered.
            close: Whether its connection is closed too.
        """
        # circuits.web would take the next request for this one.
        self.http._clients.pop(call.sock, None)
        if close and call.sock.fileno() >= 0:
            self.server.close(call.sock)

    @circuits.handler("request", priority=1)
    def _on_request(self, event, request, response) -> bool:
        event.stop()
        self._received.pop(request.sock, None)
        call = IncomingCall(self, request, response)
        self._calls[request.sock] = call
        self._on_call(call)
        return True

    @circuits.handler("read", priority=10)
    def _guard_read(self, event, sock, data) -> None:
        """Keeps input that circuits.web would mishandle from it.

        A second request on a connection whose first is not answered would
        overwrite the first one's state, and its caller could get the other
        answer; so such a connection is broken off. Input of a refused
        request is thrown away until its caller has read the refusal.
        """
        if sock in self._refused:
            event.stop()
            self._count_drained(sock, len(data))
            return
        if sock in self._calls:
            event.stop()
            self._hang_up(sock)
            self.fire(net_events.close(sock), "web")
            return
        received = self._received.get(sock, 0) + len(data)
        self._received[sock] = received
        limit = self._limits.max_header_bytes + self._limits.max_body_bytes
        if received > limit:
            event.stop()
            self._refuse(sock, errors.ErrorKind.BODY_TOO_LARGE)

    @circuits.handler("read", priority=-10)
    def _check_head(self, sock, data) -> None:
        """Refuses oversized requests once their head is known."""
        parser = self.http._buffers.get(sock)
        if parser is None or sock in self._refused:
            return
        if not parser.is_headers_complete():
            if self._received.get(sock, 0) > self._limits.max_header_bytes:
                self._refuse(sock, errors.ErrorKind.HEADERS_TOO_LARGE)
            return
        length = parser.get_headers().get("Content-Length", "0")
        if not length.isdecimal():
            self._refuse(sock, errors.ErrorKind.MALFORMED_REQUEST)
        elif int(length) > self._limits.max_body_bytes:
            self._refuse(sock, errors.ErrorKind.BODY_TOO_LARGE)

    def _refuse(self, sock: socket.socket, kind: errors.ErrorKind) -> None:
        """Answers before the request is whole, then reads on to the end.

        Closing at once would reset the connection under a caller that still
        sends, and it would never see why it was refused.
        """
        self._refused.add(sock)
        self._forget_parser(sock)
        body = msgspec.json.encode(errors.describe_error(kind))
        head = (
            f"HTTP/1.1 {errors.ANSWERS[kind].status} Refused\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n"
            "Connection: close\r\n\r\n"
        )
        self.fire(net_events.write(sock, head.encode() + body), "web")

    def _count_drained(self, sock: socket.socket, size: int) -> None:
        self._received[sock] = self._received.get(sock, 0) + size
        if self._received[sock] > DRAIN_LIMIT:
            self.fire(net_events.close(sock), "web")

    @circuits.handler("httperror", priority=1)
    def _on_httperror(self, event, request, response, code, **_) -> None:
        """Gives errors found by circuits.web the body that ours have."""
        event.stop()
        malformed = code is not None and 400 <= code < 500
        kind = (
            errors.ErrorKind.MALFORMED_REQUEST
            if malformed
            else errors.ErrorKind.INTERNAL
        )
        self._calls.pop(request.sock, None)
        response.status = errors.ANSWERS[kind].status
        response.headers["Content-Type"] = "application/json"
        response.body = msgspec.json.encode(errors.describe_error(kind))
        response.close = True
        self.fire(web_events.response(response), "web")

    @circuits.handler("connect")
    def _on_connect(self, sock, *_) -> None:
        if len(self.server._clients) > self._limits.max_connections:
            self.fire(net_events.close(sock), "web")

    @circuits.handler("disconnect")
    def _on_disconnect(self, sock, *_) -> None:
        self._forget_parser(sock)
        self._received.pop(sock, None)
        self._refused.discard(sock)
        self._hang_up(sock)

    def _forget_parser(self, sock: socket.socket) -> None:
        # circuits.web keeps the parser of a request that never got whole.
        self.http._buffers.pop(sock, None)
        self.http._clients.pop(sock, None)

    def _hang_up(self, sock: socket.socket) -> None:
        call = self._calls.pop(sock, None)
        if call is None:
            return
        call.ended = True
        if call.on_hangup is not None:
            call.on_hangup()

    @circuits.handler("_write", priority=-1)
    def _on_written(self, sock) -> None:
        call = self._calls.get(sock)
        if call is not None and call.on_drained and not call.backlog:
            call.on_drained()
