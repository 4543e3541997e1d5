"""Stand-in of the network between processes: a TCP relay that can be cut.

It listens on several ports, passes each on to its target, counts the bytes,
and on demand holds back one direction or both without closing anything, as a
partition does. Routes are given as `PORT:TARGET_PORT`.
"""

import argparse
import asyncio
import contextlib
import dataclasses

from aiohttp import web

READ_SIZE = 1 << 16


@dataclasses.dataclass(slots=True)
class Route:
    """One relayed port.

    Attributes:
        port: Where the relay listens.
        target: Port on the same machine that it passes on to.
        forward: Set while bytes towards the target pass.
        backward: Set while bytes from the target pass.
        bytes_forward: Bytes passed towards the target.
        bytes_backward: Bytes passed from the target.
        held: Connections that came while bytes towards the target don't pass.
    """

    port: int
    target: int
    forward: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    backward: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    bytes_forward: int = 0
    bytes_backward: int = 0
    held: int = 0


async def _pump(reader, writer, gate: asyncio.Event, count) -> None:
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


async def _relay(route: Route, reader, writer) -> None:
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
        _pump(reader, target[1], route.forward, count_forward),
        _pump(target[0], writer, route.backward, count_backward),
    )


async def create_application(routes: dict[int, Route]) -> web.Application:
    """Creates the relay's control interface and starts its routes."""

    async def run_routes(_: web.Application):
        servers = [
            await asyncio.start_server(
                lambda reader, writer, route=route: _relay(
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
    """Runs the stand-in."""
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
