"""Fake of a model engine with an OpenAI-compatible interface.

It simulates continuous batching: up to `--slots` requests each get a token
every `--token-ms`; further requests wait in a first-in, first-out queue. The
last message of a request is a JSON object: `id` and `team` identify the
request, `tokens` is its number of output tokens, which no other process knows
before the request ends. With `dies_after`, the engine closes the connection
after that many tokens of its first run of the request, as if its process had
crashed.
"""

import argparse
import asyncio
import json

from aiohttp import web

from standins import runs as runs_module

OUTPUT_WEIGHT = 4.0
"""Cost units of an output token; `output_weight` of the demo's assistant."""


class Engine:
    """State of the fake.

    Attributes:
        slots: Semaphore of the slots.
        token_seconds: Seconds per output token.
        runs: Runs so far, also those in progress.
        running: Number of requests that have a slot.
        queued: Number of requests that wait for one.
        load: Load report in force, which lags behind the counts above.
    """

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
    """Waits for a slot, then yields a token every `token_seconds`."""
    engine.queued += 1
    try:
        await engine.slots.acquire()
    finally:
        engine.queued -= 1
    engine.running += 1
    run.started = runs_module.read_clock()
    try:
        for index in range(tokens):
            token_at = run.started + (index + 1) * engine.token_seconds
            await asyncio.sleep(max(0.0, token_at - runs_module.read_clock()))
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


async def _handle_completion(request: web.Request, engine: Engine):
    body = await request.json()
    parameters = json.loads(body["messages"][-1]["content"])
    run = runs_module.Run(
        parameters["id"], parameters["team"], arrived=runs_module.read_clock()
    )
    engine.runs.append(run)
    tokens = int(parameters["tokens"])
    dies_after = int(parameters.get("dies_after", tokens))
    if sum(other.request == run.request for other in engine.runs) > 1:
        dies_after = tokens
    usage = {"prompt_tokens": 1, "completion_tokens": tokens}
    if not body.get("stream"):
        parts = [part async for part in _generate(engine, run, dies_after)]
        if dies_after < tokens:
            return await _abort_response(request, run)
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
        return await _abort_response(request, run, response)
    usage_chunk = {"id": run.request, "choices": [], "usage": usage}
    await response.write(b"data: " + json.dumps(usage_chunk).encode() + b"\n\n")
    await response.write(b"data: [DONE]\n\n")
    return response


async def _abort_response(
    request: web.Request,
    run: runs_module.Run,
    response: web.StreamResponse | None = None,
) -> web.StreamResponse:
    """Closes the connection of a run in the middle of its response.

    A response that is not streamed has announced more bytes than it sends.
    """
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
    """Creates the HTTP application of an engine.

    Args:
        engine: The engine.
        lag: Seconds between the measurement of a load report and its
            publication.
    """

    async def get_load(_: web.Request) -> web.Response:
        return web.json_response(engine.load)

    async def run_publisher(_: web.Application):
        task = asyncio.create_task(_publish_load(engine, lag))
        yield
        task.cancel()

    application = web.Application()
    application.add_routes(
        [
            web.post(
                "/v1/chat/completions", lambda r: _handle_completion(r, engine)
            ),
            web.get("/v1/load", get_load),
        ]
    )
    runs_module.add_run_routes(application, engine.runs)
    application.cleanup_ctx.append(run_publisher)
    return application


def main() -> None:
    """Runs the fake engine; parses its command line."""
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
