"""What the decisions of direct sending have the shell do."""

__all__ = [
    "AbortAttempt",
    "AbortResponse",
    "AnswerError",
    "CheckUpstream",
    "Effect",
    "ForwardResponse",
    "Refusal",
    "ReportCrash",
    "ReportQuarantine",
    "SendRequest",
]

import dataclasses

from sycamorefall import errors, settings
from sycamorefall.direct import quarantine


@dataclasses.dataclass(slots=True, frozen=True)
class SendRequest:
    """Send a request to an upstream.

    Attributes:
        request: Its number.
        attempt: Number of the send, from 1.
        upstream: Incarnation that is meant.
        address: Where it answers.
        time_left: Seconds that the upstream may work.
        team: The team; empty if the route needs none.
        fresh: Whether to use a new connection.
        keep: Idle connections to the upstream that may be kept after it; None
            if nothing says how many it takes.
        running: Requests that the upstream runs, this one included.
        reads: Prompt tokens that it is to read for this request.
        unread: The same for all requests, this one included.
        begins_in: Seconds until the answer's first event as reckoned; None
            for plain services.
        source: Where the upstream is to fetch what it lacks of the prompt's
            shared parts; None if it reads all that it lacks.
        fetches: Tokens that it is expected to find there.
        cost: Cost units that the team is charged.
        received: What the team received lately before, of all routers.
        floor: The least that a team received that waits for the upstream at
            another router; None if none does.
        idle: Whether the upstream had next to nothing to do.
    """

    request: int
    attempt: int
    upstream: str
    address: settings.Address
    time_left: float
    team: str
    fresh: bool
    keep: int | None = None
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


@dataclasses.dataclass(slots=True, frozen=True)
class AbortAttempt:
    """Close the connection to the upstream that has a request."""

    request: int


@dataclasses.dataclass(slots=True, frozen=True)
class Refusal:
    """What decided that a request is refused; for its log line.

    Attributes:
        obstacles: How many upstreams could not take it, by what was in the
            way; see `eligibility.Obstacle`.
        cost: Cost units that its team would have been charged.
        received: Cost units that its team received lately, of all routers.
        most: The most that any team received.
        floor: The least that a team received that waits for one of the
            upstreams at another router; None if nothing waits there.
        routers: Routers whose load was counted, this one included.
        configuration: Version in force.
        listing_age: Seconds since the listing of upstreams was the newest
            for certain; None if it never was.
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
        request: Its number.
        kind: The kind of error.
        retry_after: Seconds after which asking again can help, if it can.
        refusal: What decided it, if the router had a choice.
        ran: Overrides what the table of answers says, where it is known
            that the request was sent.
        fingerprint: Fingerprint of a quarantined request, for its log record.
    """

    request: int
    kind: errors.ErrorKind
    retry_after: float | None = None
    refusal: Refusal | None = None
    ran: errors.Ran | None = None
    fingerprint: bytes = b""


@dataclasses.dataclass(slots=True, frozen=True)
class AbortResponse:
    """Break off an answer that has begun, so that it can't pass for whole."""

    request: int


@dataclasses.dataclass(slots=True, frozen=True)
class ForwardResponse:
    """Give the caller the upstream's answer that was held."""

    request: int


@dataclasses.dataclass(slots=True, frozen=True)
class CheckUpstream:
    """Check whether an upstream still accepts connections.

    Attributes:
        crash: The process that may have crashed.
        address: Where it listens.
    """

    crash: quarantine.Crash
    address: settings.Address


@dataclasses.dataclass(slots=True, frozen=True)
class ReportCrash:
    """Log that an upstream crashed.

    Attributes:
        crash: The process.
        requests: Number of this router's requests in progress there.
    """

    crash: quarantine.Crash
    requests: int


@dataclasses.dataclass(slots=True, frozen=True)
class ReportQuarantine:
    """Log that a request is quarantined.

    Attributes:
        fingerprint: The request's fingerprint.
        crashes: The crashes at which it was in progress.
    """

    fingerprint: bytes
    crashes: tuple[quarantine.Crash, ...]


Effect = (
    SendRequest
    | AbortAttempt
    | AnswerError
    | AbortResponse
    | ForwardResponse
    | CheckUpstream
    | ReportCrash
    | ReportQuarantine
)
