"""Callers with kept connections, and what each of their requests came to."""

import asyncio
import contextlib
import dataclasses
import random
import re
import socket
import time

READ_SIZE = 1 << 16

SLOW_READ_PAUSE = 0.3
"""Seconds between two reads of a slow caller."""

SLOW_WINDOW = 4096
"""Receive buffer of a slow caller, in bytes."""

_EVENT = re.compile(rb"data: (\S+)\n")


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request.

    Attributes:
        route: Name of its route.
        share: Weight of its share of all requests.
        time_left: Seconds that its callers wait.
        events: Smallest and largest number of events; None for plain requests.
        body_bytes: Size of its body; 0 for none.
        repeatable: Whether it may run more than once.
    """

    route: str
    share: float
    time_left: float
    events: tuple[int, int] | None = None
    body_bytes: int = 0
    repeatable: bool = False


@dataclasses.dataclass(slots=True)
class Outcome:
    """What a request came to; times are of the machine's monotonic clock.

    Attributes:
        request: Id of the request.
        kind: Its kind.
        router: Name of the router that its connection led to.
        manner: How it was sent and read.
        sent_at: When its last byte was sent.
        ended_at: When its answer was complete or its connection ended.
        status: Status of the response; 0 without a complete head.
        whole: Whether the response was complete and the request's own.
        error: What was wrong with it.
        port: Local port of its connection.
        connected_at: When that was made.
    """

    request: str
    kind: Kind
    router: str
    manner: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    whole: bool = False
    error: str = ""
    port: int = 0
    connected_at: float = 0.0


class Caller:
    """A caller that sends one request after the other while it runs.

    Attributes:
        choose_router: Returns name and port of the router for a new connection;
            None if there is none.
        outcomes: Outcomes of all callers.
    """

    def __init__(self, number, kinds, seed, choose_router, outcomes, pause):
        self.random = random.Random(seed)
        self.kinds = kinds
        self.number = number
        self.choose_router = choose_router
        self.outcomes = outcomes
        self.pause = pause
        self.sent = 0
        self.router = ""
        self.reader = self.writer = None
        self.manner = "kept"
        self.port = 0
        self.connected_at = 0.0

    async def run(self, ends_at: float) -> None:
        """Sends requests until a time, then closes its connection."""
        await asyncio.sleep(self.random.random() * self.pause)
        while time.monotonic() < ends_at:
            if self.reader is not None and self.reader.at_eof():
                self._close()
            if self.writer is None and not await self._connect():
                await asyncio.sleep(0.05)
                continue
            await self._send_request()
            await asyncio.sleep(self.random.expovariate(1 / self.pause))
        self._close()

    async def _connect(self) -> bool:
        chosen = self.choose_router(self.random)
        if chosen is None:
            return False
        self.router, port = chosen
        self.manner = self.random.choices(
            ("kept", "slow", "two parts", "continue", "pipelined", "old"),
            (10, 2, 2, 1, 2, 1),
        )[0]
        self.connected_at = time.monotonic()
        sock = socket.socket()
        if self.manner == "slow":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_WINDOW)
        sock.setblocking(False)
        try:
            async with asyncio.timeout(1.0):
                await asyncio.get_running_loop().sock_connect(
                    sock, ("127.0.0.1", port)
                )
            self.reader, self.writer = await asyncio.open_connection(
                sock=sock,
                limit=SLOW_WINDOW if self.manner == "slow" else READ_SIZE,
            )
        except OSError:
            sock.close()
            return False
        self.port = sock.getsockname()[1]
        return True

    def _format(self, kind: Kind) -> tuple[Outcome, bytes, bytes, int]:
        self.sent += 1
        request = f"{self.number:06x}{self.sent:010x}"
        events = self.random.randint(*kind.events) if kind.events else 0
        body = b"x" * kind.body_bytes
        lines = [
            f"{'POST' if body else 'GET'} /{kind.route}/x "
            f"HTTP/1.{0 if self.manner == 'old' else 1}",
            "Host: site.example",
            f"Attempt-Id: {request}",
            "Credential: k-mill",
            f"Request-Deadline-Ms: {kind.time_left * 1000:.0f}",
        ]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        if body and self.manner == "continue":
            lines.append("Expect: 100-continue")
        if events:
            part = f"{self.random.randrange(40):08x}:800,{request[-8:]}:300"
            lines += [f"Token-Usage: 1100,{events}", f"Prompt-Prefix: {part}"]
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        outcome = Outcome(
            request,
            kind,
            self.router,
            self.manner,
            0.0,
            port=self.port,
            connected_at=self.connected_at,
        )
        return outcome, head, body, events

    async def _send_request(self) -> None:
        count = 2 if self.manner == "pipelined" else 1
        batch = [
            self._format(
                self.random.choices(
                    self.kinds, [kind.share for kind in self.kinds]
                )[0]
            )
            for _ in range(count)
        ]
        for position, (outcome, head, body, _events) in enumerate(batch):
            try:
                await self._write(head, body)
            except OSError:
                break
            outcome.sent_at = time.monotonic()
            if position + 1 == len(batch):
                await self._read_answers(batch)
                return
        self._close()

    async def _write(self, head: bytes, body: bytes) -> None:
        if body and self.manner == "two parts":
            half = len(body) // 2
            self.writer.write(head + body[:half])
            await self.writer.drain()
            await asyncio.sleep(self.random.uniform(0.0, 0.4))
            body = body[half:]
        elif body and self.manner == "continue":
            self.writer.write(head)
            await asyncio.sleep(self.random.uniform(0.0, 0.2))
        else:
            body = head + body
        self.writer.write(body)
        await self.writer.drain()

    async def _read_answers(self, batch) -> None:
        for outcome, _, body, events in batch:
            if self.writer is None:
                # A pipelined request whose connection ended before it.
                return
            self.outcomes.append(outcome)
            try:
                async with asyncio.timeout(outcome.kind.time_left + 2.0):
                    await self._read_answer(outcome, len(body), events)
            except asyncio.IncompleteReadError as broken:
                outcome.error = f"ended after {len(broken.partial)} bytes"
            except (OSError, ValueError, asyncio.LimitOverrunError) as error:
                outcome.error = type(error).__name__
            outcome.ended_at = time.monotonic()
            if outcome.error:
                self._close()

    async def _read_answer(self, outcome, body_bytes: int, events: int) -> None:
        status, headers = await self._read_head()
        while status == 100:
            status, headers = await self._read_head()
        outcome.status = status
        body = await self._read_body(headers)
        if headers.get("connection") == "close" or self.manner == "old":
            self._close()
        if status != 200:
            outcome.whole = True
        elif events:
            expected = [
                f"{outcome.request}/{number}".encode()
                for number in range(1, events + 1)
            ]
            outcome.whole = _EVENT.findall(body) == expected
        else:
            path = f"/{outcome.kind.route}/x"
            expected = f"{path} {outcome.request} {body_bytes}".encode()
            outcome.whole = body == expected
        if not outcome.whole:
            outcome.error = "another body"

    async def _read_head(self) -> tuple[int, dict[str, str]]:
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines[1:])
        }
        return int(lines[0].split()[1]), headers

    async def _read_body(self, headers: dict[str, str]) -> bytes:
        if headers.get("transfer-encoding") == "chunked":
            pieces = []
            while size := int(await self.reader.readuntil(b"\r\n"), 16):
                pieces.append(await self._read_exactly(size))
                await self.reader.readexactly(2)
            await self.reader.readexactly(2)
            return b"".join(pieces)
        if "content-length" in headers:
            return await self._read_exactly(int(headers["content-length"]))
        return await self.reader.read()

    async def _read_exactly(self, size: int) -> bytes:
        if self.manner == "slow":
            await asyncio.sleep(self.random.random() * SLOW_READ_PAUSE)
        return await self.reader.readexactly(size)

    def _close(self) -> None:
        if self.writer is not None:
            with contextlib.suppress(OSError):
                self.writer.close()
        self.reader = self.writer = None
