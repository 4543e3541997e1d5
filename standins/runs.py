"""Records of the requests that a fake upstream ran, and their HTTP routes.

Tests compare them with the responses that callers got. Times are those of the
machine's monotonic clock, so that records of several fakes and of the load
generator are comparable.
"""

import argparse
from collections.abc import Callable
import dataclasses
import time
from typing import Protocol

from aiohttp import web


@dataclasses.dataclass(slots=True)
class Run:
    """One run of a request at an upstream.

    Tests receive it as a JSON object under these field names.

    Attributes:
        request: Identifier of the request, from its body.
        team: Team that sent the request.
        arrived: When the request arrived at the upstream.
        started: When it got a slot; 0 if it never did.
        finished: When the run ended; 0 while it is in progress.
        cost: Cost units so far.
        whole: Whether the run was completed.
    """

    request: str
    team: str
    arrived: float
    started: float = 0.0
    finished: float = 0.0
    cost: float = 0.0
    whole: bool = False


def read_clock() -> float:
    """Returns the time of the clock that all records use, in seconds."""
    return time.monotonic()


def add_run_routes(application: web.Application, runs: list[Run]) -> None:
    """Adds the route `/test/runs`, by which tests read the records."""

    async def get_runs(_: web.Request) -> web.Response:
        return web.json_response([dataclasses.asdict(run) for run in runs])

    application.add_routes([web.get("/test/runs", get_runs)])


class PlainService(Protocol):
    """State that all fakes of plain services have."""

    running: int
    runs: list[Run]


def add_plain_service_routes(
    application: web.Application, service: PlainService
) -> None:
    """Adds the routes of all fake plain services: load report and records."""

    async def get_load(_: web.Request) -> web.Response:
        return web.json_response({"running": service.running, "queued": 0})

    application.add_routes([web.get("/v1/load", get_load)])
    add_run_routes(application, service.runs)


def run_plain_service(
    description: str, create_application: Callable[[int], web.Application]
) -> None:
    """Runs a fake plain service; parses its command line.

    Args:
        description: Text of `--help`.
        create_application: Creates the application for a number of slots.
    """
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("port", type=int)
    parser.add_argument("--slots", type=int, default=8)
    options = parser.parse_args()

    async def create() -> web.Application:
        return create_application(options.slots)

    web.run_app(create(), host="127.0.0.1", port=options.port, print=None)
