"""Parses a caller's HTTP request into a request for a service."""

__all__ = ["Refusal", "read_request"]

import math
from typing import Protocol
import urllib.parse

import msgspec
from returns import result

from sycamorefall import configuration, errors, settings
from sycamorefall.router import state as state_module

COMPLETIONS_PATH = "/v1/chat/completions"
SERVICES_PREFIX = "/v1/services/"

TIMEOUT_HEADER = "Sycamorefall-Timeout"
IDEMPOTENT_HEADER = "Sycamorefall-Idempotent"
COST_HEADER = "Sycamorefall-Cost-Hint"
REQUEST_ID_HEADER = "X-Request-Id"

_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})
_FORWARDED_HEADERS = (
    "Content-Type",
    "Accept",
    REQUEST_ID_HEADER,
    "Idempotency-Key",
)
_BOOLEANS = {"true": True, "1": True, "false": False, "0": False}


class Call(Protocol):
    """The parts of an HTTP request that are parsed here."""

    method: str
    path: str
    query: str
    body: bytes


class Refusal(msgspec.Struct, frozen=True):
    """Why an HTTP request is refused.

    Attributes:
        kind: The kind of error.
        message: One sentence for people.
    """

    kind: errors.ErrorKind
    message: str = ""


class _Completion(msgspec.Struct):
    """Fields of an OpenAI-style completion request that the router reads."""

    model: str
    messages: list[msgspec.Raw]
    stream: bool = False
    max_tokens: int | None = None


_completion_decoder = msgspec.json.Decoder(_Completion)


def read_request(
    call: Call,
    team: str,
    in_force: configuration.Configuration,
    limits: settings.LimitSettings,
) -> result.Result[state_module.NewRequest, Refusal]:
    """Parses a caller's HTTP request.

    Args:
        call: The HTTP request with its complete body.
        team: The team that the request is accounted to.
        in_force: The configuration in force.
        limits: Default and maximum of the timeout.

    Returns:
        `Success` with the request, or `Failure` with a refusal.
    """
    try:
        return result.Success(_read(call, team, in_force, limits))
    except _Refused as refused:
        return result.Failure(refused.refusal)


class _Refused(errors.SycamorefallError):
    def __init__(self, kind: errors.ErrorKind, message: str):
        super().__init__(message)
        self.refusal = Refusal(kind, message)


def _read(
    call: Call,
    team: str,
    in_force: configuration.Configuration,
    limits: settings.LimitSettings,
) -> state_module.NewRequest:
    if call.path == COMPLETIONS_PATH:
        service, path = _read_completion(call, in_force)
    elif call.path.startswith(SERVICES_PREFIX):
        service, path = _read_service_path(call, in_force)
    else:
        kind = errors.ErrorKind.UNKNOWN_SERVICE
        raise _Refused(kind, f"nothing is served at {call.path}")
    return state_module.NewRequest(
        service=service.name,
        team=team,
        method=call.method,
        path=path,
        headers=_read_forwarded_headers(call),
        timeout=_read_timeout(call, limits),
        idempotent=_read_idempotent(call, service),
        cost_hint=_read_number(call, COST_HEADER, default=0.0),
    )


def _read_forwarded_headers(call: Call) -> tuple[tuple[str, str], ...]:
    """Reads the headers that are forwarded to the upstream.

    Values that aren't ASCII are refused: HTTP clients refuse to send them, so
    every attempt would fail at the sidecar.
    """
    values = ((name, call.headers.get(name)) for name in _FORWARDED_HEADERS)
    forwarded = tuple((name, value) for name, value in values if value)
    for name, value in forwarded:
        if not value.isascii():
            kind = errors.ErrorKind.MALFORMED_REQUEST
            raise _Refused(kind, f"{name}: expected ASCII characters")
    return forwarded


def _read_completion(
    call: Call, in_force: configuration.Configuration
) -> tuple[configuration.Service, str]:
    if call.method != "POST":
        kind = errors.ErrorKind.METHOD_NOT_ALLOWED
        raise _Refused(kind, "completions are asked for with POST")
    try:
        completion = _completion_decoder.decode(call.body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        # Deeply nested JSON makes the decoder raise RecursionError. Left
        # unhandled, it would be reported as a request that may have run.
        kind = errors.ErrorKind.MALFORMED_REQUEST
        raise _Refused(kind, f"body: {error}") from error
    service = _find_service(
        in_force, completion.model, configuration.ServiceKind.ENGINE
    )
    return service, COMPLETIONS_PATH


def _read_service_path(
    call: Call, in_force: configuration.Configuration
) -> tuple[configuration.Service, str]:
    name, _, rest = call.path.removeprefix(SERVICES_PREFIX).partition("/")
    service = _find_service(in_force, name, configuration.ServiceKind.PLAIN)
    path = "/" + urllib.parse.quote(rest, safe="/%:@!$&'()*+,;=~-._")
    if call.query:
        path += "?" + call.query
    return service, path


def _find_service(
    in_force: configuration.Configuration,
    name: str,
    kind: configuration.ServiceKind,
) -> configuration.Service:
    service = in_force.services.get(name)
    if service is None or service.kind is not kind:
        raise _Refused(
            errors.ErrorKind.UNKNOWN_SERVICE,
            f"no {kind.value} service is named {name[:80]!r}",
        )
    return service


def _read_timeout(call: Call, limits: settings.LimitSettings) -> float:
    timeout = _read_number(call, TIMEOUT_HEADER, limits.default_timeout)
    if timeout == 0.0:
        kind = errors.ErrorKind.MALFORMED_REQUEST
        raise _Refused(kind, f"{TIMEOUT_HEADER}: expected more than 0")
    return min(timeout, limits.max_timeout)


def _read_number(call: Call, name: str, default: float) -> float:
    text = call.headers.get(name)
    if text is None:
        return default
    try:
        number = float(text)
    except ValueError:
        number = math.nan
    if not (math.isfinite(number) and number >= 0):
        kind = errors.ErrorKind.MALFORMED_REQUEST
        raise _Refused(kind, f"{name}: expected a number, not below 0")
    return number


def _read_idempotent(call: Call, service: configuration.Service) -> bool:
    text = call.headers.get(IDEMPOTENT_HEADER)
    if text is not None:
        if text.strip().lower() not in _BOOLEANS:
            kind = errors.ErrorKind.MALFORMED_REQUEST
            raise _Refused(kind, f"{IDEMPOTENT_HEADER}: expected true or false")
        return _BOOLEANS[text.strip().lower()]
    if service.idempotent is not None:
        return service.idempotent
    if service.kind is configuration.ServiceKind.ENGINE:
        return True
    return call.method in _IDEMPOTENT_METHODS
