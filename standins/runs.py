"""Records that stand-in upstreams keep of what they ran; tests judge by them.

Times are the machine's monotonic clock, so that records of several stand-ins
and of the load tool can be laid side by side.
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

    Attributes:
        request: Identity that the caller gave the request.
        team: Whose request it was.
        arrived: When it came to the upstream.
        started: When it got a slot; 0 if it never did.
        finished: When it ended; 0 while in progress.
        cost: Cost units so far.
        whole: Whether it ran to its end.
    """

    request: str
    team: str
    arrived: float
    started: float = 0.0
    finished: float = 0.0
    cost: float = 0.0
    whole: bool = False


def read_clock() -> float:
    """Reads the clock that all records share."""
    return time.monotonic()


def add_run_routes(application: web.Application, runs: list[Run]) -> None:
    """Adds the routes by which tests read the records."""

    async def get_runs(_: web.Request) -> web.Response:
        return web.json_response([dataclasses.asdict(run) for run in runs])

    application.add_routes([web.get("/test/runs", get_runs)])


class PlainService(Protocol):
    """State that stand-ins of plain services have in common."""

    running: int
    runs: list[Run]


def add_plain_routes(
    application: web.Application, service: PlainService
) -> None:
    """Adds the routes of all plain services: load report and records."""

    async def get_load(_: web.Request) -> web.Response:
        return web.json_response({"running": service.running, "queued": 0})

    application.add_routes([web.get("/v1/load", get_load)])
    add_run_routes(application, service.runs)


def run_plain(
    description: str, create_application: Callable[[int], web.Application]
) -> None:
    """Runs a stand-in of a plain service.

    Args:
        description: What it is, for `--help`.
        create_application: Creates it with a number of slots.
    """
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("port", type=int)
    parser.add_argument("--slots", type=int, default=8)
    options = parser.parse_args()

    async def create() -> web.Application:
        return create_application(options.slots)

    web.run_app(create(), host="127.0.0.1", port=options.port, print=None)
