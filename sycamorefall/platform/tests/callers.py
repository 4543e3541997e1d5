"""Callers with a persistent connection each, which record their outcomes."""

import asyncio
import dataclasses
import enum
import time

WAIT_TIMEOUT = 8.0
"""Seconds after which `wait_for` raises TimeoutError."""


class EndKind(enum.Enum):
    """How a completely sent request ended.

    ANSWERED: complete response of status 200 with the expected body.
    REFUSED: complete response of status 429 or 503.
    INVALID: truncated response, wrong body or another status.
    CLOSED: the connection failed, or ended with no partly read head or body.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    INVALID = "invalid"
    CLOSED = "closed"


@dataclasses.dataclass(slots=True)
class Outcome:
    """Outcome of a completely sent request.

    Attributes:
        request: Id of the request.
        end: How the request ended.
        duration: Seconds from sending the request to its end.
        sent_at: Seconds from the caller's reference time to sending the
            request.
        status: Status of the response; 0 without a complete response.
    """

    request: str
    end: EndKind
    duration: float
    sent_at: float
    status: int


class Caller:
    """A caller that sends its requests on one connection while it is open.

    Attributes:
        port: Data port of the router, on loopback.
        outcomes: List to which the outcomes of the requests are appended.
        get_reference_time: Returns the time that `Outcome.sent_at` is relative
            to.
        reader: Reader of the open connection; None if there is none.
        writer: Writer of the open connection; None if there is none.
    """

    def __init__(self, port, outcomes, get_reference_time):
        self.port = port
        self.outcomes = outcomes
        self.get_reference_time = get_reference_time
        self.reader = self.writer = None

    async def connect(self):
        """Opens a new connection; returns whether the router accepted it."""
        self.close()
        try:
            self.reader, self.writer = await asyncio.open_connection(
                "127.0.0.1", self.port
            )
        except OSError:
            return False
        return True

    async def send_request(self, path, number):
        """Sends a request on the open connection and records its outcome."""
        request = f"{number:016x}"
        self.writer.write(
            f"GET {path} HTTP/1.1\r\nHost: site.example\r\n"
            f"Attempt-Id: {request}\r\n"
            "Request-Deadline-Ms: 3000\r\n\r\n".encode()
        )
        sent_at = time.monotonic()
        end, status = await self.read_response(f"{path} {request} 0".encode())
        now = time.monotonic()
        self.outcomes.append(
            Outcome(
                request,
                end,
                now - sent_at,
                sent_at - self.get_reference_time(),
                status,
            )
        )

    async def read_response(self, expected):
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
                EndKind.ANSWERED if body == expected else EndKind.INVALID
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
