"""Stand-in of the platform's configuration service.

Serves the operators' text at `/v1/config` and the list of VMs at `/v1/vms`,
each with its revision; `?after=N&wait=S` waits for a later one and answers
204 if none came. Everything below `/test/` is for tests: replacing what is
published, also by something older, making the service fail, and counting
reads. Two of them side by side are a platform that was split.
"""

import argparse
import asyncio
import contextlib
import dataclasses

from aiohttp import web


@dataclasses.dataclass(slots=True)
class Published:
    """What the platform publishes, and how it misbehaves.

    Attributes:
        text: The operators' text.
        text_revision: Its revision.
        vms: Entries of the VM list.
        vms_revision: Revision of the list.
        down: Whether every read is refused.
        fault: How every read fails; empty if none does.
        reads: Reads so far, a waiting watch counted as one.
        values: Reads that were answered with a value.
        changed: Set and replaced at each change, to wake watches.
    """

    text: str = ""
    text_revision: int = 0
    vms: list[dict] = dataclasses.field(default_factory=list)
    vms_revision: int = 0
    down: bool = False
    fault: str = ""
    reads: int = 0
    values: int = 0
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


SLOW = 3600.0
"""Seconds until a slow service answers: later than anyone waits."""

RETRY_AFTER = "1"
"""Seconds that an overloaded service asks its readers to stay away."""


def _note_change(published: Published) -> None:
    published.changed.set()
    published.changed = asyncio.Event()


async def _fail(published: Published) -> web.Response:
    match "down" if published.down else published.fault:
        case "garbage":
            return web.Response(body=b'{"revision": "\xff', status=200)
        case "slow":
            await asyncio.sleep(SLOW)
        case "overloaded":
            return web.json_response(
                {"error": "overloaded"},
                status=429,
                headers={"Retry-After": RETRY_AFTER},
            )
    return web.json_response({"error": "down"}, status=503)


async def _serve(request: web.Request, published: Published, read):
    published.reads += 1
    after = int(request.query.get("after", -1))
    loop = asyncio.get_running_loop()
    until = loop.time() + float(request.query.get("wait", 0))
    while not (published.down or published.fault):
        if read()["revision"] > after:
            published.values += 1
            return web.json_response(read())
        if loop.time() >= until:
            header = {"Revision": str(read()["revision"])}
            return web.Response(status=204, headers=header)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(
                published.changed.wait(), until - loop.time()
            )
    return await _fail(published)


def create_application(published: Published) -> web.Application:
    """Creates the service's application."""

    def read_text() -> dict:
        return {"revision": published.text_revision, "text": published.text}

    def read_vms() -> dict:
        return {"revision": published.vms_revision, "vms": published.vms}

    async def put_config(request: web.Request) -> web.Response:
        body = await request.json()
        published.text = body["text"]
        published.text_revision = body["revision"]
        _note_change(published)
        return web.json_response({})

    async def put_vms(request: web.Request) -> web.Response:
        body = await request.json()
        published.vms = body["vms"]
        published.vms_revision = body["revision"]
        _note_change(published)
        return web.json_response({})

    async def put_down(request: web.Request) -> web.Response:
        published.down = (await request.json())["down"]
        _note_change(published)
        return web.json_response({})

    async def put_fault(request: web.Request) -> web.Response:
        published.fault = (await request.json())["fault"]
        _note_change(published)
        return web.json_response({})

    async def get_reads(_: web.Request) -> web.Response:
        counts = {"reads": published.reads, "values": published.values}
        return web.json_response(counts)

    application = web.Application()
    application.add_routes(
        [
            web.get("/v1/config", lambda r: _serve(r, published, read_text)),
            web.get("/v1/vms", lambda r: _serve(r, published, read_vms)),
            web.put("/test/config", put_config),
            web.put("/test/vms", put_vms),
            web.put("/test/down", put_down),
            web.put("/test/fault", put_fault),
            web.get("/test/reads", get_reads),
        ]
    )
    return application


def main() -> None:
    """Runs the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("port", type=int)
    options = parser.parse_args()

    async def create() -> web.Application:
        return create_application(Published())

    web.run_app(create(), host="127.0.0.1", port=options.port, print=None)


if __name__ == "__main__":
    main()
