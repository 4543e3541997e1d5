"""Requests that go on with a stream which another request has begun; no I/O.

Such a request is bound to the upstreams of the stream's origin. If this router
doesn't know the origin, the request waits for the answer of other routers.
"""

__all__ = [
    "LOOKUP_TIMEOUT",
    "MAX_ID_LENGTH",
    "bind_request",
    "check_request",
    "classify_resumption",
    "expire_lookups",
    "find_next_due",
    "find_version",
    "is_servable",
    "look_up_origin",
    "refuse",
    "refuse_gone",
    "refuse_unservable",
    "take_lookup",
]

from returns import result

from sycamorefall import errors
from sycamorefall.direct import (
    catalog,
    effects,
    outcomes,
    stream_origins,
    upstreams,
)
from sycamorefall.direct import state as state_module

LOOKUP_TIMEOUT = 0.3
"""Seconds after which a lookup ends without an answer: a lost packet is sent
again within that time, and most of the target latency is left."""

MAX_ID_LENGTH = 200
"""Maximum number of characters of the id by which a caller names a stream."""

MAX_LOOKUPS = 1024
"""Maximum number of lookups in progress."""

MAX_TEAM_LOOKUPS = 128
"""Maximum number of a team's requests that wait for an origin. Without it, made
up ids of one team would fill the lookups and the links to other routers."""

OTHER_ROUTER_RETRY_AFTER = 0.1
"""Retry-After, in seconds, of a stream that another router may know."""


def check_request(
    incoming: state_module.IncomingRequest, route: catalog.Route
) -> result.Result[str, errors.ErrorKind]:
    """Checks which stream a request goes on with.

    Args:
        incoming: The request.
        route: Its route.

    Returns:
        The id that names the stream, empty if the request begins one or isn't
        for a stream; or the kind of error.
    """
    if not route.kind.streamed:
        return result.Success("")
    if incoming.resumes is None and not incoming.last_event_id:
        return result.Success("")
    if route.kind is not catalog.RouteKind.RESUMABLE_STREAM:
        return result.Failure(errors.ErrorKind.STREAM_NOT_RESUMABLE)
    if incoming.resumes is None:
        return result.Failure(errors.ErrorKind.STREAM_UNKNOWN)
    stream = incoming.resumes.strip()
    if not (0 < len(stream) <= MAX_ID_LENGTH and stream.isprintable()):
        return result.Failure(errors.ErrorKind.MALFORMED_REQUEST)
    return result.Success(stream)


def look_up_origin(
    state: state_module.DirectState,
    now: float,
    request: state_module.Request,
) -> list[effects.Effect]:
    """Begins a lookup for a request whose stream is unknown here.

    Args:
        state: The router's state; changed.
        now: Current time of this process's clock.
        request: The request; it waits until the lookup ends.

    Returns:
        The error if too many requests wait for an origin.
    """
    origins = state.origins
    waiting = sum(
        1
        for lookup in origins.lookups.values()
        for number in lookup.requests
        if number in state.requests
        and state.requests[number].team == request.team
    )
    lookup = origins.lookups.get(request.stream_key)
    is_full = lookup is None and len(origins.lookups) >= MAX_LOOKUPS
    if is_full or waiting >= MAX_TEAM_LOOKUPS:
        return refuse(state, request, True)
    if lookup is None:
        due = min(now + LOOKUP_TIMEOUT, request.give_up_at)
        lookup = stream_origins.Lookup(due)
        origins.lookups[request.stream_key] = lookup
        origins.unasked.append(request.stream_key)
    lookup.requests.append(request.number)
    request.awaits_origin = True
    return []


def take_lookup(
    state: state_module.DirectState, key: int
) -> list[state_module.Request]:
    """Ends a lookup; returns its requests that are still in progress."""
    lookup = state.origins.lookups.pop(key, None)
    if lookup is None:
        return []
    found = [state.requests.get(number) for number in lookup.requests]
    requests = [one for one in found if one is not None]
    for request in requests:
        request.awaits_origin = False
    return requests


def bind_request(
    state: state_module.DirectState,
    request: state_module.Request,
    known: stream_origins.KnownOrigin,
) -> list[effects.Effect]:
    """Binds a request to the origin of its stream.

    The stream goes on at the service that began it, whichever one the route's
    split would choose, as long as the configuration in force lets the route use
    that service.

    Args:
        state: The router's state; changed.
        request: The request; changed.
        known: What is known of its stream.

    Returns:
        The error if the stream can't go on; empty if the request is bound.
    """
    request.known_origin = known
    if known.origin == stream_origins.AMBIGUOUS:
        return refuse(state, request, False)
    services = (
        share.service
        for share in request.route.shares
        if share.weight > 0
        and _has_upstream(state.table, share.service, known.origin)
    )
    service = next(services, None)
    if service is None:
        return refuse_gone(state, request)
    request.origin, request.service = known.origin, service
    return []


def _has_upstream(
    table: upstreams.UpstreamTable, service: str, origin: int
) -> bool:
    """Returns whether a service has an upstream of an origin that stays."""
    return any(
        one.origin == origin and not upstreams.is_leaving(one)
        for one in upstreams.list_upstreams(table, service)
    )


def is_servable(
    state: state_module.DirectState, request: state_module.Request
) -> bool:
    """Returns whether a request isn't bound, or an upstream may take it."""
    return request.origin is None or _has_upstream(
        state.table, request.service, request.origin
    )


def refuse(
    state: state_module.DirectState,
    request: state_module.Request,
    may_be_known: bool,
) -> list[effects.Effect]:
    """Refuses a request whose stream is unknown.

    Args:
        state: The router's state; changed.
        request: The request.
        may_be_known: Whether another router may know the stream.
    """
    outcomes.discard_request(state, request)
    retry_after = OTHER_ROUTER_RETRY_AFTER if may_be_known else None
    kind = errors.ErrorKind.STREAM_UNKNOWN
    return [effects.AnswerError(request.number, kind, retry_after)]


def refuse_gone(
    state: state_module.DirectState, request: state_module.Request
) -> list[effects.Effect]:
    """Refuses a request whose stream no upstream can go on with.

    It gets no Retry-After: another router knows the same upstreams, and a
    version that has left isn't expected back.
    """
    outcomes.discard_request(state, request)
    kind = errors.ErrorKind.STREAM_VERSION_GONE
    return [effects.AnswerError(request.number, kind)]


def refuse_unservable(
    state: state_module.DirectState, now: float
) -> list[effects.Effect]:
    """Refuses waiting requests for which no upstream is left.

    One that an upstream may have run gets an error that says so.
    """
    unservable = [
        request
        for request in state.requests.values()
        if request.attempt is None and not is_servable(state, request)
    ]
    return [
        effect
        for request in unservable
        for effect in (
            outcomes.fail_request(
                state, request, now, effects.EndReason.NOT_RUN
            )
            if request.possible_runs
            else refuse_gone(state, request)
        )
    ]


def expire_lookups(
    state: state_module.DirectState, now: float
) -> list[effects.Effect]:
    """Refuses the requests of lookups that got no answer in time."""
    lookups = state.origins.lookups
    expired = [key for key, lookup in lookups.items() if now >= lookup.due]
    return [
        effect
        for key in expired
        for request in take_lookup(state, key)
        for effect in refuse(state, request, True)
    ]


def find_next_due(state: state_module.DirectState) -> float:
    """Returns when the next lookup ends; infinity if there is none."""
    lookups = state.origins.lookups
    # Usually there are none, and each pass of the event loop asks.
    if not lookups:
        return float("inf")
    return min(one.due for one in lookups.values())


def classify_resumption(request: state_module.Request | None) -> str:
    """Classifies how far a request came that goes on with a stream.

    Returns:
        `sent`, to an upstream; `waited`, for one; `gone`, as no upstream has
        the version; `ambiguous` or `unknown`, the origin; or `refused`, before
        the stream was looked for. One of a fixed set, for metrics.
    """
    if request is None:
        return "refused"
    if request.sends:
        return "sent"
    if request.known_origin is None:
        return "unknown"
    if request.known_origin.origin == stream_origins.AMBIGUOUS:
        return "ambiguous"
    return "gone" if request.origin is None else "waited"


def find_version(
    state: state_module.DirectState, known: stream_origins.KnownOrigin
) -> str:
    """Finds the software version of an origin, for logs.

    Returns:
        The version that a listed upstream states, or the origin in hexadecimal
        if there is none.
    """
    versions = (
        one.listed.software_version
        for one in state.table.by_name.values()
        if one.origin == known.origin
    )
    return next(versions, f"{known.origin:08x}")
