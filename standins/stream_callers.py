"""Callers that take up broken streams, at the same router or at another one.

Each stream is read on a thread of its own. Like a client of the platform, a
caller sends a new attempt with an id of its own, and names the attempt that
brought the stream's first event and the last event that it has received.
"""

__all__ = ["Stream", "read_streams", "take_up"]

import concurrent.futures
import contextlib
import dataclasses
import http.client
import itertools
import re

from standins import site as site_module

READ_TIMEOUT = 10.0
"""Seconds without a byte after which a caller gives up."""

_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)\nversion: (\S+)\n\n")

_attempt_numbers = itertools.count(1)


@dataclasses.dataclass
class Stream:
    """A stream as its caller sees it, over all its attempts.

    Attributes:
        path: Path of the requests.
        count: Number of events that it asks for.
        parts: Its prompt, in the form of a Prompt-Prefix header.
        first: Id of the attempt that brought the first event; empty before it.
        attempts: Ids of all attempts.
        statuses: Status of each attempt; 0 without a response.
        retry_after: Retry-After of the last response; None if it had none.
        events: Event id, id of the attempt that it is of, and software version
            of each event.
    """

    path: str = "/answer/x"
    count: int = 20
    parts: str = "aa:800,bb:300"
    first: str = ""
    attempts: list[str] = dataclasses.field(default_factory=list)
    statuses: list[int] = dataclasses.field(default_factory=list)
    retry_after: str | None = None
    events: list[tuple[int, str, str]] = dataclasses.field(default_factory=list)

    @property
    def complete(self) -> bool:
        """Whether the caller has each event once, in order."""
        ids = [number for number, _, _ in self.events]
        return ids == list(range(1, self.count + 1))

    @property
    def versions(self) -> set[str]:
        """Software versions of the upstreams that its events are from."""
        return {version for _, _, version in self.events}


def take_up(
    router: site_module.Router,
    stream: Stream,
    key: str = "k-mill",
    time_left_ms: int = 8000,
    **extra_headers: str,
) -> None:
    """Sends an attempt for the rest of a stream and reads what it brings.

    Args:
        router: The router that gets the attempt.
        stream: The stream, new or broken; changed.
        key: The caller's key.
        time_left_ms: Milliseconds that the caller will wait.
        extra_headers: Further headers, or other values of those that it sends.
    """
    attempt = f"{next(_attempt_numbers):016x}"
    headers = {
        "Host": "site.example",
        "Attempt-Id": attempt,
        "Request-Deadline-Ms": str(time_left_ms),
        "Credential": key,
        "Token-Usage": f"1100,{stream.count}",
        "Prompt-Prefix": stream.parts,
    }
    if stream.events:
        headers["Resumes"] = stream.first
        headers["Last-Event-Id"] = str(stream.events[-1][0])
    stream.attempts.append(attempt)
    stream.statuses.append(0)
    connection = http.client.HTTPConnection(
        "127.0.0.1", router.data, timeout=READ_TIMEOUT
    )
    with (
        contextlib.closing(connection),
        contextlib.suppress(OSError, http.client.HTTPException),
    ):
        connection.request("GET", stream.path, None, headers | extra_headers)
        response = connection.getresponse()
        stream.statuses[-1] = response.status
        stream.retry_after = response.getheader("Retry-After")
        if response.status == 200:
            _read_events(response, stream, attempt)


def _read_events(
    response: http.client.HTTPResponse, stream: Stream, attempt: str
) -> None:
    data = b""
    while piece := response.read1():
        data += piece
        for found in _EVENT.finditer(data):
            number, sender, version = (part.decode() for part in found.groups())
            stream.first = stream.first or attempt
            stream.events.append(
                (int(number), sender.partition("/")[0], version)
            )
        data = data[data.rfind(b"\n\n") + 2 :] if b"\n\n" in data else data


@contextlib.contextmanager
def read_streams(router: site_module.Router, streams: list[Stream]):
    """Begins streams at a router, each read on a thread of its own.

    Yields:
        None, while the streams are read; their threads end after the block.
    """
    with concurrent.futures.ThreadPoolExecutor(len(streams)) as pool:
        reading = [pool.submit(take_up, router, stream) for stream in streams]
        yield
        for one in reading:
            one.result()
