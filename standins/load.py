"""Load tool: sends requests as callers do and checks every answer."""

import asyncio
import dataclasses
import json

import aiohttp

from standins import fleet as fleet_module
from standins import runs as runs_module


@dataclasses.dataclass(slots=True)
class PlannedRequest:
    """A request to be sent.

    Attributes:
        request: Identity of the request.
        team: Whose it is.
        service: The service.
        router: Data port of the router.
        at: Seconds after the start at which it is sent.
        tokens: Output tokens it will take, for engines.
        work_ms: Milliseconds it will take, for plain services.
        streamed: Whether the answer is streamed.
        idempotent: Whether it may be run again.
        timeout: Seconds until its deadline.
        dies_after: Tokens after which an engine breaks off the first run; 0
            if it doesn't.
    """

    request: str
    team: str
    service: str
    router: int
    at: float
    tokens: int = 0
    work_ms: float = 0.0
    streamed: bool = False
    idempotent: bool = True
    timeout: float = 30.0
    dies_after: int = 0


@dataclasses.dataclass(slots=True)
class RequestResult:
    """What became of a request, as its caller saw it.

    Attributes:
        plan: The request.
        sent: When it was sent.
        first: When the first part of the answer came; 0 if none did.
        ended: When the answer was complete or given up.
        status: HTTP status; 0 if there was no answer.
        kind: Error kind, empty for a right answer.
        ran: What the error said about running.
        retry_after: Seconds the error advised, 0 if none.
        right: Whether the whole and only this request's answer came.
    """

    plan: PlannedRequest
    sent: float
    first: float = 0.0
    ended: float = 0.0
    status: int = 0
    kind: str = ""
    ran: str = ""
    retry_after: float = 0.0
    right: bool = False


def build_expected_text(plan: PlannedRequest) -> str:
    """Gives the text that an engine answers to a request."""
    return "".join(f"{plan.request}:{i} " for i in range(plan.tokens))


def _make_headers(plan: PlannedRequest) -> dict[str, str]:
    return {
        "Authorization": f"Bearer {fleet_module.make_key(plan.team)}",
        "Content-Type": "application/json",
        "Sycamorefall-Timeout": str(plan.timeout),
        "Sycamorefall-Idempotent": str(plan.idempotent).lower(),
    }


def _make_request(plan: PlannedRequest) -> tuple[str, dict]:
    if plan.tokens:
        content = {
            "id": plan.request,
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
        "id": plan.request,
        "team": plan.team,
        "work_ms": plan.work_ms,
    }
    return f"/v1/services/{plan.service}/orders", order


async def send_request(
    session: aiohttp.ClientSession, plan: PlannedRequest
) -> RequestResult:
    """Sends one request and checks its answer."""
    path, body = _make_request(plan)
    answer = RequestResult(plan, sent=runs_module.read_clock())
    try:
        async with session.post(
            f"http://127.0.0.1:{plan.router}{path}",
            json=body,
            headers=_make_headers(plan),
        ) as response:
            answer.status = response.status
            answer.retry_after = float(response.headers.get("Retry-After", 0))
            await _read_answer(response, plan, answer)
    except (aiohttp.ClientError, OSError, ValueError, TimeoutError) as fault:
        answer.kind = answer.kind or f"broken: {type(fault).__name__}"
    answer.ended = runs_module.read_clock()
    return answer


async def _read_answer(
    response: aiohttp.ClientResponse,
    plan: PlannedRequest,
    answer: RequestResult,
) -> None:
    if response.status != 200:
        error = json.loads(await response.read())["error"]
        answer.kind, answer.ran = error["kind"], error["ran"]
        return
    if plan.streamed:
        text = await _read_stream(response, answer)
        answer.right = text == build_expected_text(plan)
        return
    body = json.loads(await response.read())
    answer.first = runs_module.read_clock()
    if plan.tokens:
        text = body["choices"][0]["message"]["content"]
        answer.right = text == build_expected_text(plan)
    else:
        answer.right = body == {"id": plan.request, "state": "confirmed"}


async def _read_stream(
    response: aiohttp.ClientResponse, answer: RequestResult
) -> str | None:
    """Reads a streamed answer; None unless it came whole."""
    parts: list[str] = []
    is_error = False
    async for raw in response.content:
        line = raw.decode().strip()
        answer.first = answer.first or runs_module.read_clock()
        if line == "event: error":
            is_error = True
        elif line == "data: [DONE]":
            return "".join(parts)
        elif line.startswith("data: "):
            chunk = json.loads(line.removeprefix("data: "))
            if is_error:
                error = chunk["error"]
                answer.kind, answer.ran = error["kind"], error["ran"]
                return None
            for choice in chunk["choices"]:
                parts.append(choice["delta"]["content"])
    return None


async def send_all(
    plans: list[PlannedRequest], on_answer=None
) -> list[RequestResult]:
    """Sends all requests, each at its time, whatever the others do.

    Args:
        plans: The requests.
        on_answer: Called with each answer as it is complete.

    Returns:
        All answers, in the order of the plans.
    """
    start = runs_module.read_clock()
    connector = aiohttp.TCPConnector(limit=0, force_close=False)
    timeout = aiohttp.ClientTimeout(total=None)

    async with aiohttp.ClientSession(
        connector=connector, timeout=timeout
    ) as session:

        async def send_at(plan: PlannedRequest) -> RequestResult:
            delay = start + plan.at - runs_module.read_clock()
            await asyncio.sleep(max(0.0, delay))
            answer = await send_request(session, plan)
            if on_answer is not None:
                on_answer(answer)
            return answer

        return await asyncio.gather(*map(send_at, plans))
