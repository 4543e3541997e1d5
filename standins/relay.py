"""TCP relay that simulates network partitions between processes.

It listens on several ports, forwards each to a target port, and counts the
bytes. On request it holds back the bytes of one or both directions without
closing connections, as a partition does. Routes are given as
`PORT:TARGET_PORT`.
"""

import argparse
import asyncio
import contextlib
import dataclasses

from aiohttp import web

READ_SIZE = 1 << 16


@dataclasses.dataclass(slots=True)
class Route:
    """A relayed port.

    Attributes:
        port: Port on which the relay listens.
        target: Port on the same machine to which it forwards.
        forward: Event that is set while bytes towards the target pass.
        backward: Event that is set while bytes from the target pass.
        bytes_forward: Number of bytes forwarded towards the target.
        bytes_backward: Number of bytes forwarded from the target.
        held: Number of connections that were opened while bytes towards the
            target were held back.
    """

    port: int
    target: int
    forward: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    backward: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    bytes_forward: int = 0
    bytes_backward: int = 0
    held: int = 0


async def _forward_bytes(reader, writer, gate: asyncio.Event, count) -> None:
    try:
        while data := await reader.read(READ_SIZE):
            await gate.wait()
            count(len(data))
            writer.write(data)
            await writer.drain()
    except OSError:
        pass
    finally:
        await gate.wait()
        with contextlib.suppress(OSError):
            writer.close()


async def _handle_connection(route: Route, reader, writer) -> None:
    route.held += not route.forward.is_set()
    await route.forward.wait()
    try:
        target = await asyncio.open_connection("127.0.0.1", route.target)
    except OSError:
        writer.close()
        return

    def count_forward(size: int) -> None:
        route.bytes_forward += size

    def count_backward(size: int) -> None:
        route.bytes_backward += size

    await asyncio.gather(
        _forward_bytes(reader, target[1], route.forward, count_forward),
        _forward_bytes(target[0], writer, route.backward, count_backward),
    )


async def create_application(routes: dict[int, Route]) -> web.Application:
    """Creates the control interface, which runs the routes while it serves."""

    async def run_routes(_: web.Application):
        servers = [
            await asyncio.start_server(
                lambda reader, writer, route=route: _handle_connection(
                    route, reader, writer
                ),
                "127.0.0.1",
                route.port,
            )
            for route in routes.values()
        ]
        yield
        for server in servers:
            server.close()

    async def put_gate(request: web.Request) -> web.Response:
        body = await request.json()
        route = routes[body["port"]]
        for gate, passes in (
            (route.forward, body["forward"]),
            (route.backward, body["backward"]),
        ):
            if passes:
                gate.set()
            else:
                gate.clear()
        return web.json_response({})

    async def get_bytes(_: web.Request) -> web.Response:
        return web.json_response(
            {
                str(route.port): route.bytes_forward + route.bytes_backward
                for route in routes.values()
            }
        )

    async def get_held(_: web.Request) -> web.Response:
        held = {str(route.port): route.held for route in routes.values()}
        return web.json_response(held)

    for route in routes.values():
        route.forward.set()
        route.backward.set()
    application = web.Application()
    application.add_routes(
        [
            web.put("/test/gate", put_gate),
            web.get("/test/bytes", get_bytes),
            web.get("/test/held", get_held),
        ]
    )
    application.cleanup_ctx.append(run_routes)
    return application


def main() -> None:
    """Runs the relay."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("port", type=int)
    parser.add_argument("routes", nargs="*")
    options = parser.parse_args()
    pairs = [tuple(map(int, route.split(":"))) for route in options.routes]
    routes = {port: Route(port, target) for port, target in pairs}
    web.run_app(
        create_application(routes),
        host="127.0.0.1",
        port=options.port,
        print=None,
    )


if __name__ == "__main__":
    main()
