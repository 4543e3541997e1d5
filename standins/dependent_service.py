"""Fake of a plain service that calls another service.

`POST /orders` forwards the order to the service `service` of the JSON body,
through the router on port `router`, and responds with the status and the body
of that response. The call carries the parent token of the order, unless
`with_token` in the body is false.
"""

import asyncio

import aiohttp
from aiohttp import web

from standins import runs as runs_module

PARENT_HEADER = "Sycamorefall-Parent"


class DependentService:
    """Slots and records of the fake."""

    __slots__ = ("running", "runs", "slots")

    def __init__(self, slots: int):
        self.runs: list[runs_module.Run] = []
        self.running = 0
        self.slots = asyncio.Semaphore(slots)


async def _forward_order(request: web.Request, order: dict) -> web.Response:
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
        ) as response,
    ):
        body = await response.json()
        return web.json_response({"status": response.status, "answer": body})


async def _handle_order(
    request: web.Request, service: DependentService
) -> web.Response:
    order = await request.json()
    run = runs_module.Run(
        order["id"], order["team"], arrived=runs_module.read_clock()
    )
    service.runs.append(run)
    async with service.slots:
        service.running += 1
        run.started = runs_module.read_clock()
        try:
            return await _forward_order(request, order)
        finally:
            run.finished = runs_module.read_clock()
            service.running -= 1


def create_application(service: DependentService) -> web.Application:
    """Creates the HTTP application of the service."""
    application = web.Application()
    application.add_routes(
        [
            web.post(
                "/orders", lambda request: _handle_order(request, service)
            ),
        ]
    )
    runs_module.add_plain_service_routes(application, service)
    return application


def main() -> None:
    """Runs the fake service."""
    runs_module.run_plain_service(
        __doc__, lambda slots: create_application(DependentService(slots))
    )


if __name__ == "__main__":
    main()
