"""Effects: the I/O that the decision logic asks `relay` to perform."""

__all__ = [
    "AbortAttempt",
    "AbortResponse",
    "AnswerError",
    "CheckUpstream",
    "Effect",
    "EndReason",
    "ForwardResponse",
    "Refusal",
    "ReportCrash",
    "ReportQuarantine",
    "ReportTrial",
    "SendRequest",
]

import dataclasses
import enum

from sycamorefall import errors, settings
from sycamorefall.direct import quarantine


class EndReason(enum.Enum):
    """Why a router ends an attempt, or a response that has started.

    CALLER_LEFT: The caller disconnected.
    DEADLINE: The request's deadline has passed.
    SILENT: The upstream has sent no bytes for too long.
    RESTARTED: The upstream's process was restarted.
    GONE: The upstream is no longer listed, and silent since its last heartbeat.
    BROKEN: The connection to the upstream was lost, or it sent no valid
        response.
    FAILED: The upstream sent a failure after the response had started.
    NOT_RUN: The upstream that was to go on with the response declined.
    NOT_SENT: The request could not be sent to the upstream that was to go on
        with the response.
    STOP: The router's process is about to be killed.
    """

    CALLER_LEFT = "caller_left"
    DEADLINE = "deadline"
    SILENT = "silent"
    RESTARTED = "restarted"
    GONE = "gone"
    BROKEN = "broken"
    FAILED = "failed"
    NOT_RUN = "not_run"
    NOT_SENT = "not_sent"
    STOP = "stop"


def _create_logged_field(default: object = None) -> dataclasses.Field:
    """Creates a field that is only logged, so that equality ignores it."""
    return dataclasses.field(default=default, compare=False)


@dataclasses.dataclass(slots=True, frozen=True)
class SendRequest:
    """Send a request to an upstream.

    The fields from `running` on are only logged, except `source`.

    Attributes:
        request: Number of the request.
        attempt: Number of the attempt, from 1.
        upstream: Name of the upstream.
        address: Address of the upstream.
        time_left: Seconds that the upstream may take.
        team: Name of the caller's team; empty if the route needs no key.
        requires_new_connection: Whether to use a new connection.
        max_idle_connections: Maximum number of idle connections to the upstream
            that may stay
            open after the request; None if the service states no connection
            limit.
        running: Requests that the upstream runs, including this one.
        reads: Prompt tokens that the engine has to process for this request.
        unread: Prompt tokens that the engine has to process for all requests,
            including this one.
        begins_in: Estimated seconds until the first event of the response;
            None for plain services.
        source: Address of the engine from which the upstream fetches cached
            shared parts of the prompt that it lacks; None if it processes all
            of them itself.
        fetches: Tokens that the upstream is expected to fetch from there.
        cost: Cost units that the team is charged.
        received: Cost units that the team recently received from all routers,
            before this charge.
        floor: Fewest cost units recently received by a team that waits for the
            upstream at another router; None if no team does.
        idle: Whether the upstream had almost nothing to do.
        scale: Time that work takes at the upstream at this moment, relative to
            one of scale 1.
        pending_limit: Prompt tokens that may be pending there without too long
            a pause of its streams; None if there is no limit.
        software_version: Version of the upstream's software.
    """

    request: int
    attempt: int
    upstream: str
    address: settings.Address
    time_left: float
    team: str
    requires_new_connection: bool
    max_idle_connections: int | None = None
    running: int = 0
    reads: int = 0
    unread: int = 0
    begins_in: float | None = None
    source: settings.Address | None = None
    fetches: int = 0
    cost: int = 0
    received: int = 0
    floor: int | None = None
    idle: bool = False
    scale: float = 1.0
    pending_limit: int | None = None
    software_version: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class AbortAttempt:
    """Close the upstream connection of a request's attempt.

    All fields but the first are only logged.

    Attributes:
        request: Number of the request.
        reason: Why the attempt is aborted.
        upstream: Name of the upstream.
        begun: Whether the response had started.
        silent: Seconds since the latest byte from the upstream, or since the
            send if that was later; None if it isn't computed.
    """

    request: int
    reason: EndReason | None = _create_logged_field()
    upstream: str = _create_logged_field("")
    begun: bool = _create_logged_field(False)
    silent: float | None = _create_logged_field()


@dataclasses.dataclass(slots=True, frozen=True)
class Refusal:
    """The values on which a refusal was based, for its log record.

    Attributes:
        obstacles: Number of upstreams that could not take the request, by
            reason; see `eligibility.Obstacle`.
        cost: Cost units that the team would have been charged.
        received: Cost units that the team recently received from all routers.
        most: Most cost units that any team recently received.
        floor: Fewest cost units recently received by a team that waits for one
            of the upstreams at another router; None if no team does.
        routers: Number of routers whose load was counted, including this one.
        configuration: Version of the configuration in force.
        listing_age: Seconds since the listing of upstreams was last proven to
            be the newest; None if it never was.
    """

    obstacles: dict[str, int]
    cost: int
    received: int
    most: int
    floor: int | None
    routers: int
    configuration: int
    listing_age: float | None


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerError:
    """Answer a request with an error.

    Attributes:
        request: Number of the request.
        kind: The kind of error.
        retry_after: Seconds after which a retry can help; None if it can't.
        refusal: The values on which the refusal was based; None unless `kind`
            is `NO_UPSTREAM`.
        ran: Whether the request ran, where more is known than
            `errors.ANSWERS` states for the kind; None otherwise.
        fingerprint: Fingerprint of a quarantined request, or of the quarantined
            part of its prompt, for its log record.
    """

    request: int
    kind: errors.ErrorKind
    retry_after: float | None = None
    refusal: Refusal | None = None
    ran: errors.Ran | None = None
    fingerprint: bytes = b""


@dataclasses.dataclass(slots=True, frozen=True)
class AbortResponse:
    """Abort a response that has started, so that it can't pass for complete.

    All fields but the first are only logged.

    Attributes:
        request: Number of the request.
        reason: Why the response is aborted.
        upstream: Name of the upstream of the request's last attempt.
    """

    request: int
    reason: EndReason | None = _create_logged_field()
    upstream: str = _create_logged_field("")


@dataclasses.dataclass(slots=True, frozen=True)
class ForwardResponse:
    """Forward the buffered response of the upstream to the caller.

    Attributes:
        request: Number of the request.
    """

    request: int


@dataclasses.dataclass(slots=True, frozen=True)
class CheckUpstream:
    """Check whether an upstream still accepts connections.

    Attributes:
        crash: The upstream's process that may have crashed.
        address: Address of the upstream.
    """

    crash: quarantine.Crash
    address: settings.Address


@dataclasses.dataclass(slots=True, frozen=True)
class ReportCrash:
    """Log that an upstream crashed.

    Attributes:
        crash: The upstream's process that crashed.
        requests: Number of this router's requests in progress there.
    """

    crash: quarantine.Crash
    requests: int


@dataclasses.dataclass(slots=True, frozen=True)
class ReportQuarantine:
    """Log that a request or a part of prompts is quarantined.

    Attributes:
        fingerprint: Fingerprint of the request or part.
        crashes: The crashes at which it was present.
    """

    fingerprint: bytes
    crashes: tuple[quarantine.Crash, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class ReportTrial:
    """Log that a request is let through to try a quarantined part.

    Attributes:
        fingerprint: Fingerprint of the part.
    """

    fingerprint: bytes


Effect = (
    SendRequest
    | AbortAttempt
    | AnswerError
    | AbortResponse
    | ForwardResponse
    | CheckUpstream
    | ReportCrash
    | ReportQuarantine
    | ReportTrial
)
