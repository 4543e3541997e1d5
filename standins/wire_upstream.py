"""Fake model engines and plain services, with the platform's HTTP protocol."""

__all__ = ["Framing", "Upstream"]

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import enum
import socket
import struct


class Framing(enum.Enum):
    """How the end of a response is marked.

    CHUNKS: A stream by a last chunk, a plain response by its length.
    LENGTH: By its length.
    CLOSE: By the end of its connection.
    """

    CHUNKS = "chunks"
    LENGTH = "length"
    CLOSE = "close"


def _list_shared_parts(headers: dict[str, str]) -> list[str]:
    """Lists the keys of all parts of a prompt but the last."""
    entries = headers.get("prompt-prefix", "").split(",")
    return [entry.strip().partition(":")[0] for entry in entries[:-1]]


@dataclasses.dataclass
class Upstream:
    """A fake model engine or plain service, with fault injection.

    A request with a Prompt-Prefix header gets a stream of events, any other
    request a plain response.

    Attributes:
        name: Its incarnation; requests for another one get status 421.
        port: Port on loopback on which it listens.
        version: Version of its software, a field of each event that it sends.
        runs: Id and headers of each request that it ran.
        cancelled: Ids of the requests whose connection was closed while it
            hung.
        refuse: Whether it sends 503 with Not-Executed to every request.
        fail: Whether it runs plain requests and sends 500.
        truncate_after: Number of events after which it closes the connection
            inside the next event; None sends all events.
        framing: How it marks the end of its responses.
        line_end: Line end of the events that it sends.
        break_at: Number of bytes of a body after which it breaks a response
            off; None sends all bytes.
        reset: Whether it breaks a response off with a reset; in order if not.
        hang: Whether it runs requests and never responds.
        send_twice: Whether it sends every plain response twice.
        repeat_previous: Whether it sends the previous plain response of a
            connection again before the next one.
        repeat_count: Number of responses that it sent again so.
        begin_delay: Seconds before it begins to respond to a request it ran.
        event_interval: Seconds between two events, and before a crash.
        crash_on_body: Body of the requests at which it crashes.
        crash_on_part: Key of a shared part of prompts; it crashes when it
            begins to write a response to a prompt with this part.
        crashed: Whether it has crashed.
        on_crash: Called when it has crashed.
        server: The server that listens for its connections.
        leaving: Whether its responses, other than 421, have Server-Leaving.
        retry_after: Retry-After value of its 503 responses; None omits the
            header.
        refused: Ids of the requests that it refused.
    """

    name: str
    port: int = 0
    version: str = "v1"
    runs: list[tuple[str, dict[str, str]]] = dataclasses.field(
        default_factory=list
    )
    cancelled: list[str] = dataclasses.field(default_factory=list)
    refuse: bool = False
    fail: bool = False
    truncate_after: int | None = None
    framing: Framing = Framing.CHUNKS
    line_end: str = "\n"
    break_at: int | None = None
    reset: bool = False
    hang: bool = False
    send_twice: bool = False
    repeat_previous: bool = False
    repeat_count: int = 0
    begin_delay: float = 0.0
    event_interval: float = 0.01
    crash_on_body: bytes | None = None
    crash_on_part: str | None = None
    crashed: bool = False
    on_crash: Callable[[], None] = lambda: None
    server: asyncio.Server | None = None
    leaving: bool = False
    retry_after: str | None = None
    refused: list[str] = dataclasses.field(default_factory=list)
    _last_responses: dict[asyncio.StreamWriter, bytes] = dataclasses.field(
        default_factory=dict
    )
    _streaming: set[asyncio.StreamWriter] = dataclasses.field(
        default_factory=set
    )

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Reads the requests of a connection and responds to each."""
        self._last_responses[writer] = b""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                headers = {
                    name.strip().lower(): value.strip()
                    for name, _, value in (
                        line.partition(":") for line in lines[1:] if line
                    )
                }
                size = int(headers.get("content-length", "0"))
                body = await reader.readexactly(size)
                await self._respond(lines[0], headers, body, reader, writer)
        writer.close()

    def crash(self) -> None:
        """Closes all sockets, as the kernel does for a crashed process."""
        self.crashed = True
        self.server.close()
        for writer in self._last_responses:
            writer.transport.abort()
        self.on_crash()

    def count_runs_with_part(self, part: str) -> int:
        """Counts the requests that it ran whose prompt shares a part."""
        return sum(part in _list_shared_parts(one) for _, one in self.runs)

    def break_streams(self) -> int:
        """Resets the connections of all streams; returns their number."""
        for writer in self._streaming:
            writer.transport.abort()
        return len(self._streaming)

    async def _respond(self, line, headers, body, reader, writer) -> None:
        request_id = headers.get("attempt-id", "")
        if headers.get("expect-instance") != self.name:
            writer.write(
                b"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: "
                + self.name.encode()
                + b"\r\nContent-Length: 0\r\n\r\n"
            )
            return
        extra_headers = "Server-Leaving: 1\r\n" if self.leaving else ""
        if self.refuse:
            self.refused.append(request_id)
            if self.retry_after is not None:
                extra_headers += f"Retry-After: {self.retry_after}\r\n"
            writer.write(
                f"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n{extra_headers}"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return
        self.runs.append((request_id, headers))
        if self.crash_on_part in _list_shared_parts(headers) or (
            self.crash_on_body is not None and body == self.crash_on_body
        ):
            await asyncio.sleep(self.event_interval)
            self.crash()
            raise ConnectionResetError
        if self.hang:
            if not await reader.read(1):
                self.cancelled.append(request_id)
            return
        if self.begin_delay:
            await asyncio.sleep(self.begin_delay)
        stamp = (
            f"Attempt-Id: {request_id}\r\nServer-Stamp: s.{self.name}\r\n"
            f"{extra_headers}"
        )
        if "prompt-prefix" in headers:
            self._streaming.add(writer)
            try:
                await self._stream(stamp, headers, reader, writer)
            finally:
                self._streaming.discard(writer)
            return
        data = f"{line.split()[1]} {request_id} {len(body)}".encode()
        status = "500 Failed" if self.fail else "200 OK"
        closes = self.framing is Framing.CLOSE
        length = "" if closes else f"Content-Length: {len(data)}\r\n"
        response = f"HTTP/1.1 {status}\r\n{stamp}{length}\r\n".encode() + data
        if self.break_at is not None and self.break_at < len(data):
            writer.write(response[: self.break_at - len(data)])
            await self._break_off(writer)
        if self.repeat_previous and self._last_responses[writer]:
            self.repeat_count += 1
            writer.write(self._last_responses[writer])
            await writer.drain()
            await asyncio.sleep(0.01)
        self._last_responses[writer] = response
        writer.write(response)
        if self.send_twice:
            writer.write(response)
        if closes:
            await writer.drain()
            raise ConnectionResetError

    async def _break_off(self, writer) -> None:
        """Ends a connection inside a response, in order or with a reset."""
        await writer.drain()
        if self.reset:
            # Otherwise the bytes may not have left when the reset drops them.
            await asyncio.sleep(0.02)
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            writer.transport.abort()
        raise ConnectionResetError

    async def _stream(self, stamp, headers, reader, writer) -> None:
        count = int(headers["token-usage"].split(",")[1])
        first = int(headers.get("last-event-id", "0")) + 1
        request_id = headers["attempt-id"]
        events = [
            self._format_event(request_id, number)
            for number in range(first, count + 1)
        ]
        framing = {
            Framing.CHUNKS: "Transfer-Encoding: chunked\r\n",
            Framing.LENGTH: f"Content-Length: {sum(map(len, events))}\r\n",
            Framing.CLOSE: "",
        }[self.framing]
        writer.write(
            f"HTTP/1.1 200 OK\r\n{stamp}Content-Type: text/event-stream\r\n"
            f"{framing}\r\n".encode()
        )
        chunked = self.framing is Framing.CHUNKS
        sent = 0
        for number, event in enumerate(events, first):
            end = len(event)
            if self.truncate_after is not None and number > self.truncate_after:
                end = 7
            if self.break_at is not None:
                end = min(end, self.break_at - sent)
            if end < len(event):
                size = b"%x\r\n" % len(event) if chunked and end else b""
                writer.write(size + event[:end])
                await self._break_off(writer)
            sent += end
            writer.write(
                b"%x\r\n%b\r\n" % (len(event), event) if chunked else event
            )
            await writer.drain()
            await asyncio.sleep(self.event_interval)
        if self.framing is Framing.CLOSE:
            raise ConnectionResetError
        writer.write(b"0\r\n\r\n" if chunked else b"")

    def _format_event(self, request_id: str, number: int) -> bytes:
        lines = (
            f"id: {number}",
            f"data: {request_id}/{number}",
            f"version: {self.version}",
        )
        return (self.line_end.join(lines) + 2 * self.line_end).encode()
