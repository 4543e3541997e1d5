"""Crowds of clients that send what a server should not have to hold.

The clients start one after the other and then send at the same time. Each does
so until all is sent, the server closes the connection, or the server takes no
more, and then stays connected without reading.
"""

__all__ = [
    "Crowd",
    "format_chunks",
    "format_head",
    "hold_connections",
]

import asyncio
from collections.abc import Callable, Iterator
import contextlib
import dataclasses
import itertools
import socket

STALL_TIME = 3.0
"""Seconds without a byte sent after which a client counts as held up."""

MAX_SENDING_TIME = 240.0
"""Seconds after which a crowd stops sending; far more than any crowd needs."""

START_PAUSE = 0.03
"""Seconds between the starts of two clients. A server that sheds load refuses
most of a crowd that starts at the same instant."""

PIECE_SIZE = 1 << 16
"""Bytes that a client passes to its socket at once."""


@dataclasses.dataclass(slots=True, frozen=True)
class Crowd:
    """Clients of one server that send the same.

    Attributes:
        port: Port of the server, on loopback.
        count: Number of clients.
        data: What each client sends.
        format_start: Formats what the client with a number sends before that.
        start_pause: Seconds between the starts of two clients.
    """

    port: int
    count: int
    data: bytes
    format_start: Callable[[int], bytes] = lambda number: b""
    start_pause: float = START_PAUSE


def format_head(path: str, *headers: str, method: str = "POST") -> bytes:
    """Formats the head of a request; `headers` are lines without line end."""
    lines = [f"{method} {path} HTTP/1.1", "Host: site.example", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def format_chunks(size: int, count: int) -> bytes:
    """Formats chunks of a body, without the last one."""
    return (b"%x\r\n" % size + b"x" * size + b"\r\n") * count


async def _start(crowd: Crowd, number: int) -> socket.socket:
    """Connects a client and sends the first bytes."""
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setblocking(False)
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(STALL_TIME):
            await loop.sock_connect(sock, ("127.0.0.1", crowd.port))
            await loop.sock_sendall(sock, crowd.format_start(number))
    return sock


async def _send(crowd: Crowd, sock: socket.socket) -> None:
    """Sends the rest as far as the server takes it."""
    loop = asyncio.get_running_loop()
    with contextlib.suppress(OSError, TimeoutError):
        for start in range(0, len(crowd.data), PIECE_SIZE):
            piece = memoryview(crowd.data)[start : start + PIECE_SIZE]
            async with asyncio.timeout(STALL_TIME):
                await loop.sock_sendall(sock, piece)


async def _send_all(
    crowds: tuple[Crowd, ...], sockets: list[socket.socket]
) -> None:
    clients = []
    for crowd in crowds:
        for number in range(crowd.count):
            clients.append((crowd, await _start(crowd, number)))
            await asyncio.sleep(crowd.start_pause)
    sockets += (sock for _, sock in clients)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(MAX_SENDING_TIME):
            await asyncio.gather(*itertools.starmap(_send, clients))


@contextlib.contextmanager
def hold_connections(*crowds: Crowd) -> Iterator[None]:
    """Lets crowds send at the same time, and keeps their connections open."""
    sockets: list[socket.socket] = []
    try:
        asyncio.run(_send_all(crowds, sockets))
        yield
    finally:
        for sock in sockets:
            sock.close()
