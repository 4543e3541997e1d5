"""Fake of a plain service that books orders in a ledger.

`POST /orders` books the order in the body, `GET /orders/ID` returns how often
an order was booked. A body is a JSON object: `id` and `team` identify the
request, `work_ms` is the duration of the booking. The ledger doesn't
deduplicate orders, so that tests can detect double bookings.
"""

import asyncio

from aiohttp import web

from standins import runs as runs_module


class Ledger:
    """Slots and records of the fake."""

    __slots__ = ("running", "runs", "slots")

    def __init__(self, slots: int):
        self.runs: list[runs_module.Run] = []
        self.running = 0
        self.slots = asyncio.Semaphore(slots)


async def _run_order(
    ledger: Ledger, run: runs_module.Run, seconds: float
) -> None:
    async with ledger.slots:
        ledger.running += 1
        run.started = runs_module.read_clock()
        try:
            await asyncio.sleep(seconds)
            run.cost = seconds * 1000
            run.whole = True
        finally:
            run.finished = runs_module.read_clock()
            ledger.running -= 1


async def _book(request: web.Request, ledger: Ledger) -> web.Response:
    order = await request.json()
    run = runs_module.Run(
        order["id"], order["team"], arrived=runs_module.read_clock()
    )
    ledger.runs.append(run)
    # As in a real ledger, the booking continues if the caller disconnects.
    await asyncio.shield(
        _run_order(ledger, run, order.get("work_ms", 0) / 1000)
    )
    return web.json_response({"id": order["id"], "state": "confirmed"})


async def _look_up(request: web.Request, ledger: Ledger) -> web.Response:
    order_id = request.match_info["id"]
    booked = sum(run.request == order_id for run in ledger.runs)
    return web.json_response({"id": order_id, "booked": booked})


def create_application(ledger: Ledger) -> web.Application:
    """Creates the HTTP application of a ledger."""
    application = web.Application()
    application.add_routes(
        [
            web.post("/orders", lambda r: _book(r, ledger)),
            web.get("/orders/{id}", lambda r: _look_up(r, ledger)),
        ]
    )
    runs_module.add_plain_service_routes(application, ledger)
    return application


def main() -> None:
    """Runs the fake ledger."""
    runs_module.run_plain_service(
        __doc__, lambda slots: create_application(Ledger(slots))
    )


if __name__ == "__main__":
    main()
