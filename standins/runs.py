"""Records that stand-in upstreams keep of what they ran; tests judge by them.

Times are the machine's monotonic clock, so that records of several stand-ins
and of the load tool can be laid side by side.
"""

import dataclasses
import time

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
