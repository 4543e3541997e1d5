"""Fake of the platform's configuration service.

Serves the operators' configuration text at `/v1/config` and the VM list at
`/v1/vms`, each with its revision. `?after=N&wait=S` waits up to S seconds for
a revision above N, and gets status 204 if there is none. The paths below
`/test/` are for tests: they replace a published value, also by an older
revision, make the service fail, and count reads. Two instances simulate a
platform with a split brain.
"""

import argparse
import asyncio
import contextlib
import dataclasses

from aiohttp import web


@dataclasses.dataclass(slots=True)
class PublishedState:
    """PublishedState values and injected faults of the platform.

    Attributes:
        text: The operators' configuration text.
        text_revision: Revision of the text.
        vms: Entries of the VM list.
        vms_revision: Revision of the VM list.
        down: Whether every read gets status 503.
        fault: Kind of fault of every read: `garbage`, `slow` or `overloaded`,
            any other text for status 503; empty for none.
        reads: Number of reads so far; a watch counts as one.
        value_reads: Number of reads that returned a value.
        changed: Event that wakes waiting watches; set and replaced at each
            change.
    """

    text: str = ""
    text_revision: int = 0
    vms: list[dict] = dataclasses.field(default_factory=list)
    vms_revision: int = 0
    down: bool = False
    fault: str = ""
    reads: int = 0
    value_reads: int = 0
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


SLOW_RESPONSE_SECONDS = 3600.0
"""Response time of fault `slow` in seconds, above all read timeouts."""

RETRY_AFTER = "1"
"""Retry-After header of fault `overloaded`, in seconds."""


def _notify_watches(published: PublishedState) -> None:
    published.changed.set()
    published.changed = asyncio.Event()


async def _respond_with_fault(published: PublishedState) -> web.Response:
    match "down" if published.down else published.fault:
        case "garbage":
            return web.Response(body=b'{"revision": "\xff', status=200)
        case "slow":
            await asyncio.sleep(SLOW_RESPONSE_SECONDS)
        case "overloaded":
            return web.json_response(
                {"error": "overloaded"},
                status=429,
                headers={"Retry-After": RETRY_AFTER},
            )
    return web.json_response({"error": "down"}, status=503)


async def _handle_read(request: web.Request, published: PublishedState, read):
    published.reads += 1
    after = int(request.query.get("after", -1))
    loop = asyncio.get_running_loop()
    deadline = loop.time() + float(request.query.get("wait", 0))
    while not (published.down or published.fault):
        if read()["revision"] > after:
            published.value_reads += 1
            return web.json_response(read())
        if loop.time() >= deadline:
            header = {"Revision": str(read()["revision"])}
            return web.Response(status=204, headers=header)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(
                published.changed.wait(), deadline - loop.time()
            )
    return await _respond_with_fault(published)


def create_application(published: PublishedState) -> web.Application:
    """Creates the HTTP application of the platform."""

    def read_text() -> dict:
        return {"revision": published.text_revision, "text": published.text}

    def read_vms() -> dict:
        return {"revision": published.vms_revision, "vms": published.vms}

    async def put_config(request: web.Request) -> web.Response:
        body = await request.json()
        published.text = body["text"]
        published.text_revision = body["revision"]
        _notify_watches(published)
        return web.json_response({})

    async def put_vms(request: web.Request) -> web.Response:
        body = await request.json()
        published.vms = body["vms"]
        published.vms_revision = body["revision"]
        _notify_watches(published)
        return web.json_response({})

    async def put_down(request: web.Request) -> web.Response:
        published.down = (await request.json())["down"]
        _notify_watches(published)
        return web.json_response({})

    async def put_fault(request: web.Request) -> web.Response:
        published.fault = (await request.json())["fault"]
        _notify_watches(published)
        return web.json_response({})

    async def get_reads(_: web.Request) -> web.Response:
        counts = {"reads": published.reads, "values": published.value_reads}
        return web.json_response(counts)

    application = web.Application()
    application.add_routes(
        [
            web.get(
                "/v1/config", lambda r: _handle_read(r, published, read_text)
            ),
            web.get("/v1/vms", lambda r: _handle_read(r, published, read_vms)),
            web.put("/test/config", put_config),
            web.put("/test/vms", put_vms),
            web.put("/test/down", put_down),
            web.put("/test/fault", put_fault),
            web.get("/test/reads", get_reads),
        ]
    )
    return application


def main() -> None:
    """Runs the fake platform."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("port", type=int)
    options = parser.parse_args()

    async def create() -> web.Application:
        return create_application(PublishedState())

    web.run_app(create(), host="127.0.0.1", port=options.port, print=None)


if __name__ == "__main__":
    main()
