"""TCP relay whose links a parent process delays, silences, slows or resets.

Routes are given as `PORT:TARGET_PORT`. Each line of standard input is a
command: `delay SECONDS` for all links from now on, `silence PORT SECONDS`,
`forth PORT SECONDS` and `back PORT SECONDS` for one direction, `reset PORT`,
`down PORT` and `up PORT` for a target that doesn't listen and listens again.
Bytes of a silent link are held, not lost.

Standard output has a line for each connection that its target ended: `closed`,
the port of the end that connected, and when bytes were last passed on to the
target and when it ended, by the machine's monotonic clock; or `unreachable`,
that port and the time, if nobody listened there.
"""

import asyncio
import collections
import contextlib
import dataclasses
import socket
import struct
import sys
import time

READ_SIZE = 1 << 16

MAX_HELD_BYTES = 1 << 17
"""Bytes that a link holds before it stops reading, like a small window."""

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclasses.dataclass(slots=True)
class Route:
    """A relayed port, with the times until which its directions are silent.

    Attributes:
        target: Port to which it forwards.
        silent_until: Loop time until which bytes are held, by direction: to
            the target, and from it.
        writers: Both ends of all its connections.
    """

    target: int
    silent_until: list[float] = dataclasses.field(
        default_factory=lambda: [0.0, 0.0]
    )
    writers: set[asyncio.StreamWriter] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class Link:
    """A relayed connection.

    Attributes:
        route: Its route.
        port: Port of the end that connected.
        passed_on_at: Time at which bytes were last passed on to the target.
    """

    route: Route
    port: int
    passed_on_at: float = 0.0

    def print_end(self) -> None:
        """Prints that the target ended the connection."""
        times = f"{self.passed_on_at:.6f} {time.monotonic():.6f}"
        print("closed", self.port, times, flush=True)


class Relay:
    """Forwards connections of several routes, and performs commands.

    Attributes:
        routes: Routes by listening port.
        servers: Listening sockets by port.
        delay: Seconds for which each piece of data is held.
    """

    def __init__(self, routes: dict[int, Route]):
        self.routes = routes
        self.servers: dict[int, asyncio.Server] = {}
        self.delay = 0.0

    async def forward(self, link, direction, reader, writer) -> None:
        """Forwards one direction of a connection, in order, until it ends."""
        route = link.route
        held: collections.deque = collections.deque()
        added, taken = asyncio.Event(), asyncio.Event()

        async def write_held() -> None:
            loop = asyncio.get_running_loop()
            while True:
                while not held:
                    added.clear()
                    await added.wait()
                due, data = held[0]
                while (
                    wait := max(due, route.silent_until[direction])
                    - loop.time()
                ) > 0:
                    await asyncio.sleep(wait)
                held.popleft()
                taken.set()
                if not data:
                    return
                writer.write(data)
                if direction == 0:
                    link.passed_on_at = time.monotonic()
                await writer.drain()

        writing = asyncio.create_task(write_held())
        try:
            data = b"-"
            while data and not writing.done():
                data = await _read(reader)
                if not data and direction == 1:
                    link.print_end()
                if data is None:
                    raise ConnectionResetError
                due = asyncio.get_running_loop().time() + self.delay
                held.append((due, data))
                added.set()
                while sum(len(one) for _, one in held) > MAX_HELD_BYTES:
                    taken.clear()
                    await taken.wait()
            await writing
        except OSError:
            # An orderly end would look like the end of a response without
            # length.
            _reset(writer)
        finally:
            writing.cancel()
        with contextlib.suppress(OSError, RuntimeError):
            writer.close()

    async def handle_connection(self, route, reader, writer) -> None:
        """Connects to a route's target and forwards both directions."""
        link = Link(route, writer.get_extra_info("peername")[1])
        try:
            target = await asyncio.open_connection("127.0.0.1", route.target)
        except OSError:
            print("unreachable", link.port, time.monotonic(), flush=True)
            _reset(writer)
            return
        both = {writer, target[1]}
        route.writers |= both
        await asyncio.gather(
            self.forward(link, 0, reader, target[1]),
            self.forward(link, 1, target[0], writer),
        )
        route.writers -= both

    async def listen(self, port: int) -> None:
        """Listens at the port of a route."""
        self.servers[port] = await asyncio.start_server(
            lambda reader, writer: self.handle_connection(
                self.routes[port], reader, writer
            ),
            "127.0.0.1",
            port,
            backlog=1024,
        )

    async def perform(self, line: str) -> None:
        """Performs a command."""
        now = asyncio.get_running_loop().time()
        match line.split():
            case ["delay", seconds]:
                self.delay = float(seconds)
            case ["down", port]:
                self.servers[int(port)].close()
            case ["up", port]:
                await self.listen(int(port))
            case ["reset", port]:
                for writer in list(self.routes[int(port)].writers):
                    _reset(writer)
            case [("silence" | "forth" | "back") as kind, port, seconds]:
                route = self.routes[int(port)]
                directions = {"silence": (0, 1), "forth": (0,), "back": (1,)}
                for direction in directions[kind]:
                    route.silent_until[direction] = now + float(seconds)


async def _read(reader: asyncio.StreamReader) -> bytes | None:
    """Reads what has arrived; None if the connection was reset."""
    try:
        return await reader.read(READ_SIZE)
    except OSError:
        return None


def _reset(writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError):
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
        )
    writer.transport.abort()


async def run(routes: dict[int, Route]) -> None:
    """Serves until standard input ends."""
    relay = Relay(routes)
    for port in routes:
        await relay.listen(port)
    commands = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(commands), sys.stdin
    )
    while line := await commands.readline():
        await relay.perform(line.decode())


if __name__ == "__main__":
    pairs = [tuple(map(int, one.split(":"))) for one in sys.argv[1:]]
    asyncio.run(run({port: Route(target) for port, target in pairs}))
