"""Stand-in of a plain ledger service that books orders.

`POST /orders` books the order in the body, `GET /orders/ID` looks one up. A
body is a JSON object: `id` and `team` name the request, `work_ms` is how long
it takes. Booking the same order twice is counted, never hidden.
"""

import asyncio

from aiohttp import web

from standins import runs as runs_module


class Ledger:
    """State of the stand-in."""

    __slots__ = ("running", "runs", "slots")

    def __init__(self, slots: int):
        self.runs: list[runs_module.Run] = []
        self.running = 0
        self.slots = asyncio.Semaphore(slots)


async def _work(ledger: Ledger, run: runs_module.Run, seconds: float) -> None:
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
    # Booking goes on when the caller hangs up, as it would in a real ledger.
    await asyncio.shield(_work(ledger, run, order.get("work_ms", 0) / 1000))
    return web.json_response({"id": order["id"], "state": "confirmed"})


async def _look_up(request: web.Request, ledger: Ledger) -> web.Response:
    wanted = request.match_info["id"]
    booked = sum(run.request == wanted for run in ledger.runs)
    return web.json_response({"id": wanted, "booked": booked})


def create_application(ledger: Ledger) -> web.Application:
    """Creates the ledger's application."""
    application = web.Application()
    application.add_routes(
        [
            web.post("/orders", lambda r: _book(r, ledger)),
            web.get("/orders/{id}", lambda r: _look_up(r, ledger)),
        ]
    )
    runs_module.add_plain_routes(application, ledger)
    return application


def main() -> None:
    """Runs the stand-in."""
    runs_module.run_plain(
        __doc__, lambda slots: create_application(Ledger(slots))
    )


if __name__ == "__main__":
    main()
