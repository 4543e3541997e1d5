"""Translates between the platform's HTTP headers and the router's types."""

__all__ = ["create_dialect"]

import math

from returns import result

from sycamorefall import observation, transport
from sycamorefall.direct import dialects, effects, prompts
from sycamorefall.direct import state as state_module

_ATTEMPT_ID_HEADER = "Attempt-Id"
_SIGNATURE_HEADER = "Server-Stamp"
"""Header in which an upstream signs its responses. A response without it comes
from another sender, such as a proxy."""

_NOT_RUN_HEADER = "Not-Executed"
_TIME_LEFT_HEADER = "Request-Deadline-Ms"
_API_KEY_HEADER = "Credential"
_TEAM_HEADER = "Tenant"
_INCARNATION_HEADER = "Expect-Instance"
_LAST_EVENT_HEADER = "Last-Event-Id"
_RESUMES_HEADER = "Resumes"
"""Header in which a caller names the attempt that brought a stream's first
event, if it asks for the rest of the stream."""

_FETCH_FROM_HEADER = "Kv-Fetch"
_LEAVING_HEADER = "Server-Leaving"
_RETRY_AFTER_HEADER = "Retry-After"
_LOAD_HEADER = "Server-Load"
"""Header with the requests that run and wait at an upstream, its slots, and the
time that work takes at this moment, in percent of the usual time. Only the last
figure is read: routers tell each other the others."""

_MAX_LOAD_DIGITS = 6
"""Digits of that figure; a longer one is ignored."""

_MAX_TOKENS = 1 << 31
"""Largest number of tokens of a prompt, of one of its parts or of an output.
Sums over all requests in progress stay far below `messages.MAX_AMOUNT`."""

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
"""Headers that apply to a single connection or are generated per request."""

_RESERVED_HEADERS = frozenset(
    name.lower()
    for name in (
        _API_KEY_HEADER,
        _TEAM_HEADER,
        _INCARNATION_HEADER,
        _TIME_LEFT_HEADER,
        "Hold",
        "Pin-Ms",
        "Kv-Backup",
        "Kv-From",
        _FETCH_FROM_HEADER,
    )
)
"""Headers of a caller's request that aren't forwarded to upstreams: those that
only the router or the engines may set, and the caller's API key."""

_MISDIRECTED = 421
"""Status by which an upstream refuses a request that names another
incarnation than its own."""

_UNAVAILABLE = 503
"""Status of an upstream that refuses a request, possibly with Retry-After."""

_NOT_RUN_STATUSES = frozenset({408, 429, 503})
"""Statuses by which a caller concludes that its request did not run. They are
not forwarded from an upstream that doesn't confirm it by `_NOT_RUN_HEADER`,
because the request may have run."""


def create_dialect() -> dialects.Dialect:
    """Creates the dialect that uses the platform's headers and statuses."""
    return dialects.Dialect(
        read_request=_read_request,
        read_request_id=lambda call: call.headers.get(_ATTEMPT_ID_HEADER, ""),
        write_headers=_write_headers,
        is_matching_response=_is_matching_response,
        read_response_head=_read_response_head,
    )


def _read_request(
    call: transport.IncomingCall,
) -> result.Result[state_module.IncomingRequest, str]:
    headers = call.headers
    try:
        time_left = _read_time_left(headers)
        return result.Success(
            state_module.IncomingRequest(
                host=headers.get("Host", ""),
                path=call.path,
                key=headers.get(_API_KEY_HEADER, "").strip(),
                time_left=time_left,
                prompt=_read_prompt(headers),
                method=call.method,
                target=call.target,
                body=call.body,
                attempt_id=headers.get(_ATTEMPT_ID_HEADER, ""),
                resumes=headers.get(_RESUMES_HEADER),
                last_event_id=headers.get(_LAST_EVENT_HEADER, "").strip(),
            )
        )
    except ValueError as error:
        return result.Failure(f"header: {error}")


def _read_time_left(headers: transport.RequestHeaders) -> float | None:
    """Returns for how many seconds a caller will wait; None if it doesn't say.

    Raises:
        ValueError: The value is no finite number.
    """
    text = headers.get(_TIME_LEFT_HEADER)
    if text is None:
        return None
    time_left_ms = float(text)
    if not math.isfinite(time_left_ms):
        raise ValueError(f"{_TIME_LEFT_HEADER} is not finite")
    return time_left_ms / 1000


def _parse_tokens(text: str) -> int:
    """Parses a number of tokens.

    Raises:
        ValueError: It isn't a whole number from 0 to `_MAX_TOKENS`.
    """
    number = int(text)
    if not 0 <= number <= _MAX_TOKENS:
        raise ValueError(
            f"a number of tokens is not within 0 and {_MAX_TOKENS}"
        )
    return number


def _read_prompt(headers: transport.RequestHeaders) -> prompts.Prompt | None:
    usage = headers.get("Token-Usage")
    if usage is None:
        return None
    tokens, _, max_output = usage.partition(",")
    hint = headers.get("Length-Hint")
    output = _parse_tokens(max_output)
    if hint:
        expected = float(hint)
        if not 0 <= expected < math.inf:
            raise ValueError("Length-Hint is not a number of tokens")
        output = min(output, int(expected))
    parts = [
        entry.strip().rpartition(":")
        for entry in headers.get("Prompt-Prefix", "").split(",")
        if entry.strip()
    ]
    return prompts.Prompt(
        _parse_tokens(tokens),
        output,
        tuple((key, _parse_tokens(size)) for key, _, size in parts),
    )


def _write_headers(
    call: transport.IncomingCall, send: effects.SendRequest, last_event: str
) -> tuple[tuple[str, str], ...]:
    dropped = (
        _CONNECTION_HEADERS | _RESERVED_HEADERS | _list_connection_options(call)
    )
    if last_event:
        dropped = dropped | {_LAST_EVENT_HEADER.lower()}
    forwarded = [
        (name, value)
        for name, value in call.headers.pairs
        if name not in dropped
    ]
    added = [
        (_INCARNATION_HEADER, send.upstream),
        (_TIME_LEFT_HEADER, str(max(1, int(send.time_left * 1000)))),
    ]
    if send.team:
        added.append((_TEAM_HEADER, send.team))
    if last_event:
        added.append((_LAST_EVENT_HEADER, last_event))
    if send.source is not None:
        added.append((_FETCH_FROM_HEADER, str(send.source)))
    return (*forwarded, *added)


def _list_connection_options(call: transport.IncomingCall) -> frozenset[str]:
    """Lists the header names in the caller's Connection header, lower case."""
    options = call.headers.get("Connection", "").split(",")
    return frozenset(name.strip().lower() for name in options)


def _is_matching_response(
    call: transport.IncomingCall, headers: dict[str, str]
) -> bool:
    """Returns whether a response belongs to a call, by its attempt id.

    An upstream may send a second response to an earlier request on the same
    connection. A response without an id is accepted, because an upstream may
    respond with an error before it has read the id.
    """
    attempt_id = headers.get(_ATTEMPT_ID_HEADER.lower())
    return attempt_id is None or attempt_id == call.headers.get(
        _ATTEMPT_ID_HEADER
    )


def _read_response_head(
    status: int, headers: list[tuple[str, str]]
) -> dialects.ResponseHead:
    headers_by_name = dict(headers)
    outcome = _classify_response(status, headers_by_name)
    forwarded = tuple(
        (name.title(), value)
        for name, value in headers
        if name not in _CONNECTION_HEADERS
    )
    leaving = headers_by_name.get(_LEAVING_HEADER.lower()) == "1"
    retry_after = (
        _read_retry_after(headers_by_name) if status == _UNAVAILABLE else None
    )
    return dialects.ResponseHead(
        outcome,
        status,
        forwarded,
        leaving,
        retry_after,
        _read_scale(headers_by_name.get(_LOAD_HEADER.lower())),
    )


def _read_retry_after(headers_by_name: dict[str, str]) -> float | None:
    """Returns the Retry-After delay in seconds; None if there is none.

    A value that isn't a finite, non-negative number is logged and ignored.
    """
    text = headers_by_name.get(_RETRY_AFTER_HEADER.lower())
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


def _read_scale(text: str | None) -> float | None:
    """Parses how long work takes at an upstream; None if it isn't readable.

    Example:
        >>> _read_scale("3,0,8,250"), _read_scale("3,0,8"), _read_scale(None)
        (2.5, None, None)
        >>> _read_scale("3,0,8,0"), _read_scale("3,0,8,-1")
        (None, None)
    """
    _, _, _, percent, *_ = [*(text or "").split(","), "", "", "", ""]
    percent = percent.strip()
    is_readable = (
        percent.isascii()
        and percent.isdecimal()
        and len(percent) <= _MAX_LOAD_DIGITS
    )
    return int(percent) / 100 or None if is_readable else None


def _classify_response(
    status: int, headers_by_name: dict[str, str]
) -> dialects.ResponseOutcome:
    if status == _MISDIRECTED:
        return dialects.ResponseOutcome.OTHER_INCARNATION
    if _NOT_RUN_HEADER.lower() in headers_by_name:
        return dialects.ResponseOutcome.NOT_RUN
    signed = (
        _SIGNATURE_HEADER.lower() in headers_by_name
        and "content-encoding" not in headers_by_name
    )
    if 200 <= status < 300 and signed:
        return dialects.ResponseOutcome.SUCCESS
    if status < 300 or status in _NOT_RUN_STATUSES:
        return dialects.ResponseOutcome.INVALID
    return dialects.ResponseOutcome.FAILURE
