"""Stand-in of a plain service that calls another service for its work.

`POST /orders` passes the order on to the service that the body names, through
the router whose port it names, and answers with what came back. It sends back
the parent's token as it got it, unless the body says not to.
"""

import asyncio

import aiohttp
from aiohttp import web

from standins import runs as runs_module

PARENT_HEADER = "Sycamorefall-Parent"


class DependentService:
    """State of the stand-in."""

    __slots__ = ("running", "runs", "slots")

    def __init__(self, slots: int):
        self.runs: list[runs_module.Run] = []
        self.running = 0
        self.slots = asyncio.Semaphore(slots)


async def _pass_on(request: web.Request, order: dict) -> web.Response:
    address = f"http://127.0.0.1:{order['router']}"
    headers = {}
    if order.get("with_token", True):
        headers[PARENT_HEADER] = request.headers.get(PARENT_HEADER, "")
    async with (
        aiohttp.ClientSession(address) as session,
        session.post(
            f"/v1/services/{order['service']}/orders",
            json=order,
            headers=headers,
        ) as answer,
    ):
        body = await answer.json()
        return web.json_response({"status": answer.status, "answer": body})


async def _book(request: web.Request, desk: DependentService) -> web.Response:
    order = await request.json()
    run = runs_module.Run(
        order["id"], order["team"], arrived=runs_module.read_clock()
    )
    desk.runs.append(run)
    async with desk.slots:
        desk.running += 1
        run.started = runs_module.read_clock()
        try:
            return await _pass_on(request, order)
        finally:
            run.finished = runs_module.read_clock()
            desk.running -= 1


def create_application(desk: DependentService) -> web.Application:
    """Creates the desk's application."""
    application = web.Application()
    application.add_routes(
        [
            web.post("/orders", lambda request: _book(request, desk)),
        ]
    )
    runs_module.add_plain_routes(application, desk)
    return application


def main() -> None:
    """Runs the stand-in."""
    runs_module.run_plain(
        __doc__, lambda slots: create_application(DependentService(slots))
    )


if __name__ == "__main__":
    main()
