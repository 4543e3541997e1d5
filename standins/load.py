"""Load generator: sends requests as callers do and checks the responses."""

import asyncio
import dataclasses
import json

import aiohttp

from standins import fleet as fleet_module
from standins import runs as runs_module


@dataclasses.dataclass(slots=True)
class PlannedRequest:
    """A request that is sent at a planned time.

    Attributes:
        request_id: Identifier that the fake upstreams record for the request.
        team: Team that sends the request.
        service: Service that the request is for.
        router_port: Data port of the router that it is sent to.
        send_at: Seconds from the start of the load until it is sent.
        tokens: Number of output tokens that an engine generates for it; 0
            for plain services.
        work_ms: Milliseconds that a plain service works on it.
        streamed: Whether it asks for a streamed response.
        idempotent: Whether routers may run it more than once.
        timeout: Seconds until its deadline.
        dies_after: Number of tokens after which the fake engine closes the
            connection in its first run of the request; 0 for never.
    """

    request_id: str
    team: str
    service: str
    router_port: int
    send_at: float
    tokens: int = 0
    work_ms: float = 0.0
    streamed: bool = False
    idempotent: bool = True
    timeout: float = 30.0
    dies_after: int = 0


@dataclasses.dataclass(slots=True)
class RequestResult:
    """Outcome of a request as its caller observes it.

    Times are in seconds of the monotonic clock.

    Attributes:
        plan: The request.
        sent_at: When the request was sent.
        first_byte_at: When the first part of the response body arrived; 0 if
            none did.
        ended_at: When the response was complete or had failed.
        status: HTTP status; 0 if no response arrived.
        kind: Error kind of the response, or `broken: ` and the exception's
            name if the connection failed; empty if there was no error.
        ran: Field `ran` of the error: whether an upstream ran the request.
        retry_after: Retry-After header in seconds; 0 if there was none.
        correct: Whether the response is complete and belongs to this request.
    """

    plan: PlannedRequest
    sent_at: float
    first_byte_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    kind: str = ""
    ran: str = ""
    retry_after: float = 0.0
    correct: bool = False


def build_expected_text(plan: PlannedRequest) -> str:
    """Builds the text that the fake engine generates for a request."""
    return "".join(f"{plan.request_id}:{i} " for i in range(plan.tokens))


def _build_headers(plan: PlannedRequest) -> dict[str, str]:
    return {
        "Authorization": f"Bearer {fleet_module.make_key(plan.team)}",
        "Content-Type": "application/json",
        "Sycamorefall-Timeout": str(plan.timeout),
        "Sycamorefall-Idempotent": str(plan.idempotent).lower(),
    }


def _build_request(plan: PlannedRequest) -> tuple[str, dict]:
    if plan.tokens:
        content = {
            "id": plan.request_id,
            "team": plan.team,
            "tokens": plan.tokens,
        }
        if plan.dies_after:
            content["dies_after"] = plan.dies_after
        body = {
            "model": plan.service,
            "stream": plan.streamed,
            "messages": [{"role": "user", "content": json.dumps(content)}],
        }
        return "/v1/chat/completions", body
    order = {
        "id": plan.request_id,
        "team": plan.team,
        "work_ms": plan.work_ms,
    }
    return f"/v1/services/{plan.service}/orders", order


async def send_request(
    session: aiohttp.ClientSession, plan: PlannedRequest
) -> RequestResult:
    """Sends a request, reads the response and checks its content."""
    path, body = _build_request(plan)
    result = RequestResult(plan, sent_at=runs_module.read_clock())
    try:
        async with session.post(
            f"http://127.0.0.1:{plan.router_port}{path}",
            json=body,
            headers=_build_headers(plan),
        ) as response:
            result.status = response.status
            result.retry_after = float(response.headers.get("Retry-After", 0))
            await _read_response(response, plan, result)
    except (aiohttp.ClientError, OSError, ValueError, TimeoutError) as error:
        result.kind = result.kind or f"broken: {type(error).__name__}"
    result.ended_at = runs_module.read_clock()
    return result


async def _read_response(
    response: aiohttp.ClientResponse,
    plan: PlannedRequest,
    result: RequestResult,
) -> None:
    if response.status != 200:
        error = json.loads(await response.read())["error"]
        result.kind, result.ran = error["kind"], error["ran"]
        return
    if plan.streamed:
        text = await _read_stream(response, result)
        result.correct = text == build_expected_text(plan)
        return
    body = json.loads(await response.read())
    result.first_byte_at = runs_module.read_clock()
    if plan.tokens:
        text = body["choices"][0]["message"]["content"]
        result.correct = text == build_expected_text(plan)
    else:
        result.correct = body == {"id": plan.request_id, "state": "confirmed"}


async def _read_stream(
    response: aiohttp.ClientResponse, result: RequestResult
) -> str | None:
    """Reads a stream of server-sent events.

    Returns:
        The generated text; None if the stream ends without `[DONE]` or with
        an error event, whose kind is stored in `result`.
    """
    parts: list[str] = []
    is_error = False
    async for raw in response.content:
        line = raw.decode().strip()
        result.first_byte_at = result.first_byte_at or runs_module.read_clock()
        if line == "event: error":
            is_error = True
        elif line == "data: [DONE]":
            return "".join(parts)
        elif line.startswith("data: "):
            chunk = json.loads(line.removeprefix("data: "))
            if is_error:
                error = chunk["error"]
                result.kind, result.ran = error["kind"], error["ran"]
                return None
            for choice in chunk["choices"]:
                parts.append(choice["delta"]["content"])
    return None


async def send_all(
    plans: list[PlannedRequest], on_result=None
) -> list[RequestResult]:
    """Sends each request at its planned time, without waiting for others.

    Args:
        plans: The requests.
        on_result: Called with the result of each request when it ends.

    Returns:
        The results, in the order of `plans`.
    """
    start = runs_module.read_clock()
    connector = aiohttp.TCPConnector(limit=0, force_close=False)
    timeout = aiohttp.ClientTimeout(total=None)

    async with aiohttp.ClientSession(
        connector=connector, timeout=timeout
    ) as session:

        async def send_on_time(plan: PlannedRequest) -> RequestResult:
            delay = start + plan.send_at - runs_module.read_clock()
            await asyncio.sleep(max(0.0, delay))
            result = await send_request(session, plan)
            if on_result is not None:
                on_result(result)
            return result

        return await asyncio.gather(*map(send_on_time, plans))
