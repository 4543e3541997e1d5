"""Stand-in of a model engine with an OpenAI-style interface.

It batches continuously: up to `--slots` requests each get a token every
`--token-ms`, the others wait in its inner queue in order of arrival. A
request's last message holds a JSON object: `id` and `team` name the request,
`tokens` is how many it will take, known to nobody else before it ends. With
`dies_after` the engine breaks off its first run of the request after that many
tokens, in the way of a process that dies.
"""

import argparse
import asyncio
import json

from aiohttp import web

from standins import runs as runs_module

OUTPUT_WEIGHT = 4.0
"""Cost units of one output token, as the demo's configuration says."""


class Engine:
    """State of the stand-in."""

    __slots__ = (
        "load",
        "queued",
        "running",
        "runs",
        "slots",
        "token_seconds",
    )

    def __init__(self, slots: int, token_seconds: float):
        self.slots = asyncio.Semaphore(slots)
        self.token_seconds = token_seconds
        self.runs: list[runs_module.Run] = []
        self.running = 0
        self.queued = 0
        self.load = {"running": 0, "queued": 0, "slots": slots}


async def _generate(engine: Engine, run: runs_module.Run, tokens: int):
    """Yields the tokens of one request at the engine's pace."""
    engine.queued += 1
    try:
        await engine.slots.acquire()
    finally:
        engine.queued -= 1
    engine.running += 1
    run.started = runs_module.read_clock()
    try:
        for index in range(tokens):
            due = run.started + (index + 1) * engine.token_seconds
            await asyncio.sleep(max(0.0, due - runs_module.read_clock()))
            run.cost += OUTPUT_WEIGHT
            yield f"{run.request}:{index} "
        run.whole = True
    finally:
        run.finished = runs_module.read_clock()
        engine.running -= 1
        engine.slots.release()


def _format_chunk(run: runs_module.Run, text: str) -> bytes:
    choice = {"index": 0, "delta": {"content": text}}
    chunk = {"id": run.request, "choices": [choice]}
    return b"data: " + json.dumps(chunk).encode() + b"\n\n"


async def _complete(request: web.Request, engine: Engine):
    body = await request.json()
    asked = json.loads(body["messages"][-1]["content"])
    run = runs_module.Run(
        asked["id"], asked["team"], arrived=runs_module.read_clock()
    )
    engine.runs.append(run)
    tokens = int(asked["tokens"])
    dies_after = int(asked.get("dies_after", tokens))
    if sum(other.request == run.request for other in engine.runs) > 1:
        dies_after = tokens
    usage = {"prompt_tokens": 1, "completion_tokens": tokens}
    if not body.get("stream"):
        parts = [part async for part in _generate(engine, run, dies_after)]
        if dies_after < tokens:
            return await _die(request, run)
        message = {"role": "assistant", "content": "".join(parts)}
        return web.json_response(
            {
                "id": run.request,
                "choices": [{"index": 0, "message": message}],
                "usage": usage,
            }
        )
    response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
    await response.prepare(request)
    async for part in _generate(engine, run, dies_after):
        await response.write(_format_chunk(run, part))
    if dies_after < tokens:
        return await _die(request, run, response)
    last = {"id": run.request, "choices": [], "usage": usage}
    await response.write(b"data: " + json.dumps(last).encode() + b"\n\n")
    await response.write(b"data: [DONE]\n\n")
    return response


async def _die(
    request: web.Request,
    run: runs_module.Run,
    response: web.StreamResponse | None = None,
) -> web.StreamResponse:
    """Breaks a run's connection off, in the middle of its answer."""
    run.whole = False
    if response is None:
        response = web.StreamResponse()
        response.content_length = 1 << 10
        await response.prepare(request)
        await response.write(b'{"choices": [')
    request.transport.abort()
    return response


async def _publish_load(engine: Engine, lag: float) -> None:
    while True:
        current = engine.load | {
            "running": engine.running,
            "queued": engine.queued,
        }
        await asyncio.sleep(lag)
        engine.load = current


def create_application(engine: Engine, lag: float) -> web.Application:
    """Creates the engine's application."""

    async def get_load(_: web.Request) -> web.Response:
        return web.json_response(engine.load)

    async def run_publisher(_: web.Application):
        task = asyncio.create_task(_publish_load(engine, lag))
        yield
        task.cancel()

    application = web.Application()
    application.add_routes(
        [
            web.post("/v1/chat/completions", lambda r: _complete(r, engine)),
            web.get("/v1/load", get_load),
        ]
    )
    runs_module.add_run_routes(application, engine.runs)
    application.cleanup_ctx.append(run_publisher)
    return application


def main() -> None:
    """Runs the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("port", type=int)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--token-ms", type=float, default=5.0)
    parser.add_argument("--load-lag", type=float, default=0.5)
    options = parser.parse_args()

    async def create() -> web.Application:
        engine = Engine(options.slots, options.token_ms / 1000)
        return create_application(engine, options.load_lag)

    web.run_app(
        create(),
        host="127.0.0.1",
        port=options.port,
        print=None,
        handler_cancellation=True,
    )


if __name__ == "__main__":
    main()
