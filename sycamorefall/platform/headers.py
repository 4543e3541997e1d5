"""Headers of callers and upstreams, to and from the product's types."""

__all__ = ["create_dialect"]

import math

from returns import result

from sycamorefall import observation, transport
from sycamorefall.direct import dialects, effects, prompts
from sycamorefall.direct import state as state_module

_ID = "Attempt-Id"
_STAMP = "Server-Stamp"
"""Signature of the upstream; an answer without it isn't an upstream's."""

_NOT_RUN = "Not-Executed"
_TIME_LEFT = "Request-Deadline-Ms"
_KEY = "Credential"
_TEAM = "Tenant"
_INCARNATION = "Expect-Instance"
_LAST_EVENT = "Last-Event-Id"
_FETCH_FROM = "Kv-Fetch"
_LEAVING = "Server-Leaving"
_RETRY_AFTER = "Retry-After"

_CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    }
)
"""Headers that concern one connection, or are written anew."""

_OWN_HEADERS = frozenset(
    name.lower()
    for name in (
        _KEY,
        _TEAM,
        _INCARNATION,
        _TIME_LEFT,
        "Hold",
        "Pin-Ms",
        "Kv-Backup",
        "Kv-From",
        _FETCH_FROM,
    )
)
"""Headers that only the system sets, or that are not for upstreams."""

_MISDIRECTED = 421
"""Status of an upstream that is another incarnation than was meant."""

_UNAVAILABLE = 503
"""Status of an upstream that refuses a request."""

_PROMISES = frozenset({408, 429, 503})
"""Statuses that tell a caller that its request did not run. From an upstream
that doesn't say so in the header for it they can't be passed on."""


def create_dialect() -> dialects.Dialect:
    """Creates the platform's way to put requests and answers in HTTP."""
    return dialects.Dialect(
        read_request=_read_request,
        read_request_id=lambda call: call.headers.get(_ID, ""),
        write_headers=_write_headers,
        is_matching_response=_is_ours,
        read_response_head=_read_answer,
    )


def _read_request(
    call: transport.IncomingCall,
) -> result.Result[state_module.IncomingRequest, str]:
    headers = call.headers
    try:
        left = headers.get(_TIME_LEFT)
        return result.Success(
            state_module.IncomingRequest(
                host=headers.get("Host", ""),
                path=call.path,
                key=headers.get(_KEY, "").strip(),
                time_left=None if left is None else float(left) / 1000,
                prompt=_read_prompt(headers),
                method=call.method,
                target=call.target,
                body=call.body,
            )
        )
    except ValueError as fault:
        return result.Failure(f"header: {fault}")


def _read_prompt(headers: transport.RequestHeaders) -> prompts.Prompt | None:
    usage = headers.get("Token-Usage")
    if usage is None:
        return None
    tokens, _, most = usage.partition(",")
    hint = headers.get("Length-Hint")
    output = min(int(most), int(float(hint))) if hint else int(most)
    parts = [
        entry.strip().rpartition(":")
        for entry in headers.get("Prompt-Prefix", "").split(",")
        if entry.strip()
    ]
    return prompts.Prompt(
        int(tokens),
        output,
        tuple((key, int(size)) for key, _, size in parts),
    )


def _write_headers(
    call: transport.IncomingCall, send: effects.SendRequest, last_event: str
) -> tuple[tuple[str, str], ...]:
    dropped = _CONNECTION_HEADERS | _OWN_HEADERS | _list_hop_headers(call)
    if last_event:
        dropped = dropped | {_LAST_EVENT.lower()}
    passed = [
        (name, value)
        for name, value in call.headers.pairs
        if name not in dropped
    ]
    own = [
        (_INCARNATION, send.upstream),
        (_TIME_LEFT, str(max(1, int(send.time_left * 1000)))),
    ]
    if send.team:
        own.append((_TEAM, send.team))
    if last_event:
        own.append((_LAST_EVENT, last_event))
    if send.source is not None:
        own.append((_FETCH_FROM, str(send.source)))
    return (*passed, *own)


def _list_hop_headers(call: transport.IncomingCall) -> frozenset[str]:
    """Lists the headers that the caller's connection header names."""
    named = call.headers.get("Connection", "").split(",")
    return frozenset(name.strip().lower() for name in named)


def _is_ours(call: transport.IncomingCall, headers: dict[str, str]) -> bool:
    """Tells whether an answer is to this call.

    An upstream may send a second answer to an earlier request. One that bears
    no id is taken: some failures are answered before the id is read.
    """
    answered = headers.get(_ID.lower())
    return answered is None or answered == call.headers.get(_ID)


def _read_answer(
    status: int, headers: list[tuple[str, str]]
) -> dialects.ResponseHead:
    named = dict(headers)
    outcome = _judge(status, named)
    passed = tuple(
        (name.title(), value)
        for name, value in headers
        if name not in _CONNECTION_HEADERS
    )
    leaving = named.get(_LEAVING.lower()) == "1"
    retry_after = _read_retry_after(named) if status == _UNAVAILABLE else None
    return dialects.ResponseHead(outcome, status, passed, leaving, retry_after)


def _read_retry_after(named: dict[str, str]) -> float | None:
    """Reads the Retry-After delay in seconds.

    A value that isn't a finite, non-negative number is logged and ignored.
    """
    text = named.get(_RETRY_AFTER.lower())
    if text is None:
        return None
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if math.isfinite(seconds) and seconds >= 0:
        return seconds
    observation.write_rate_limited(
        observation.Level.WARNING, "upstream.malformed_rest", value=text[:64]
    )
    return None


def _judge(status: int, named: dict[str, str]) -> dialects.ResponseOutcome:
    if status == _MISDIRECTED:
        return dialects.ResponseOutcome.OTHER_INCARNATION
    if _NOT_RUN.lower() in named:
        return dialects.ResponseOutcome.NOT_RUN
    signed = _STAMP.lower() in named and "content-encoding" not in named
    if 200 <= status < 300 and signed:
        return dialects.ResponseOutcome.SUCCESS
    if status < 300 or status in _PROMISES:
        return dialects.ResponseOutcome.INVALID
    return dialects.ResponseOutcome.FAILURE
