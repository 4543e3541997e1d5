"""Engines and plain services, as stand-ins that speak the platform's wire."""

__all__ = ["Upstream"]

import asyncio
import contextlib
import dataclasses


@dataclasses.dataclass
class Upstream:
    """A model engine or a plain service.

    Attributes:
        name: Its incarnation.
        port: Where it listens on loopback.
        runs: What it ran: request id and the headers that came with it.
        refuse: Answers 503 and says that it did not run the request.
        fail: Answers 500 after running the request.
        truncate_after: Breaks a stream off, inside an event, after so many.
        hang: Runs requests and never answers.
        extra: Sends the answer to a request twice.
        repeat_previous: Sends it again before the next answer on its
            connection.
        repeat_count: How often it did.
        event_interval: Seconds between two events.
        crash_on_body: Body of the requests that crash it.
        crashed: Whether it has crashed.
        server: The server that listens for its connections.
        leaving: Sends Server-Leaving in its responses, except in a 421.
        retry_after: Retry-After value of its 503 responses; None omits the
            header.
        refused: Ids of the requests that it refused.
    """

    name: str
    port: int = 0
    runs: list[tuple[str, dict[str, str]]] = dataclasses.field(
        default_factory=list
    )
    cancelled: list[str] = dataclasses.field(default_factory=list)
    refuse: bool = False
    fail: bool = False
    truncate_after: int | None = None
    hang: bool = False
    extra: bool = False
    repeat_previous: bool = False
    repeat_count: int = 0
    event_interval: float = 0.01
    crash_on_body: bytes | None = None
    crashed: bool = False
    server: asyncio.Server | None = None
    leaving: bool = False
    retry_after: str | None = None
    refused: list[str] = dataclasses.field(default_factory=list)
    _last: dict[asyncio.StreamWriter, bytes] = dataclasses.field(
        default_factory=dict
    )

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        self._last[writer] = b""
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
                await self._answer(lines[0], headers, body, reader, writer)
        writer.close()

    def crash(self) -> None:
        """Closes all sockets, as the kernel does for a crashed process."""
        self.crashed = True
        self.server.close()
        for writer in self._last:
            writer.transport.abort()

    async def _answer(self, line, headers, body, reader, writer) -> None:
        request = headers.get("attempt-id", "")
        if headers.get("expect-instance") != self.name:
            writer.write(
                b"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: "
                + self.name.encode()
                + b"\r\nContent-Length: 0\r\n\r\n"
            )
            return
        extra_headers = "Server-Leaving: 1\r\n" if self.leaving else ""
        if self.refuse:
            self.refused.append(request)
            if self.retry_after is not None:
                extra_headers += f"Retry-After: {self.retry_after}\r\n"
            writer.write(
                f"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n{extra_headers}"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return
        self.runs.append((request, headers))
        if self.crash_on_body is not None and body == self.crash_on_body:
            await asyncio.sleep(self.event_interval)
            self.crash()
            raise ConnectionResetError
        if self.hang:
            if not await reader.read(1):
                self.cancelled.append(request)
            return
        stamp = (
            f"Attempt-Id: {request}\r\nServer-Stamp: s.{self.name}\r\n"
            f"{extra_headers}"
        )
        if "prompt-prefix" in headers:
            await self._stream(stamp, headers, reader, writer)
            return
        text = f"{line.split()[1]} {request} {len(body)}".encode()
        status = "500 Failed" if self.fail else "200 OK"
        answer = (
            f"HTTP/1.1 {status}\r\n{stamp}Content-Length: {len(text)}\r\n\r\n"
        ).encode() + text
        if self.repeat_previous and self._last[writer]:
            self.repeat_count += 1
            writer.write(self._last[writer])
            await writer.drain()
            await asyncio.sleep(0.01)
        self._last[writer] = answer
        writer.write(answer)
        if self.extra:
            writer.write(answer)

    async def _stream(self, stamp, headers, reader, writer) -> None:
        count = int(headers["token-usage"].split(",")[1])
        first = int(headers.get("last-event-id", "0")) + 1
        writer.write(
            f"HTTP/1.1 200 OK\r\n{stamp}Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        request = headers["attempt-id"]
        for number in range(first, count + 1):
            event = f"id: {number}\ndata: {request}/{number}\n\n".encode()
            if self.truncate_after is not None and number > self.truncate_after:
                writer.write(b"%x\r\n%b" % (len(event), event[:7]))
                await writer.drain()
                raise ConnectionResetError
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_interval)
        writer.write(b"0\r\n\r\n")
