"""Callers with connections of their own, which note what they get."""

import asyncio
import dataclasses
import enum
import time

WAIT_TIMEOUT = 8.0
"""Seconds until a condition is taken for one that doesn't come."""


class EndKind(enum.Enum):
    """What became of a request that was wholly sent."""

    ANSWERED = "answered"
    REFUSED = "refused"
    INVALID = "cut"
    CLOSED = "closed"


@dataclasses.dataclass(slots=True)
class Outcome:
    """A request that was wholly sent, and what came of it.

    Attributes:
        request: Its id.
        end: What became of it.
        duration: Seconds from its last byte to its end.
        sent_at: Seconds from the caller's reference time to its last byte.
        status: Status of its answer; 0 if there was none.
    """

    request: str
    end: EndKind
    duration: float
    sent_at: float
    status: int


class Caller:
    """A caller with one connection, which it uses as long as it is open."""

    def __init__(self, port, outcomes, began_at):
        self.port = port
        self.outcomes = outcomes
        self.began_at = began_at
        self.reader = self.writer = None

    async def connect(self):
        """Opens a connection; tells whether the router took it."""
        self.close()
        try:
            self.reader, self.writer = await asyncio.open_connection(
                "127.0.0.1", self.port
            )
        except OSError:
            return False
        return True

    async def send_request(self, path, number):
        """Sends a request on the open connection and notes its end."""
        request = f"{number:016x}"
        self.writer.write(
            f"GET {path} HTTP/1.1\r\nHost: site.example\r\n"
            f"Attempt-Id: {request}\r\n"
            "Request-Deadline-Ms: 3000\r\n\r\n".encode()
        )
        sent_at = time.monotonic()
        end, status = await self.read_end(f"{path} {request} 0".encode())
        now = time.monotonic()
        self.outcomes.append(
            Outcome(
                request, end, now - sent_at, sent_at - self.began_at(), status
            )
        )

    async def read_end(self, right):
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
            size = get_header(head, b"content-length")
            body = await self.reader.readexactly(int(size))
        except asyncio.IncompleteReadError as broken:
            self.close()
            return (EndKind.INVALID if broken.partial else EndKind.CLOSED), 0
        except OSError:
            self.close()
            return EndKind.CLOSED, 0
        if get_header(head, b"connection") == b"close":
            self.close()
        status = int(head.split()[1])
        if status == 200:
            return (
                EndKind.ANSWERED if body == right else EndKind.INVALID
            ), status
        return (
            EndKind.REFUSED if status in (429, 503) else EndKind.INVALID
        ), status

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


def get_header(head, name):
    lines = head.lower().split(b"\r\n")
    values = [
        line.partition(b":")[2]
        for line in lines
        if line.startswith(name + b":")
    ]
    return values[0].strip() if values else b""


async def wait_for(condition):
    async with asyncio.timeout(WAIT_TIMEOUT):
        while not condition():
            await asyncio.sleep(0.01)
