"""What the decisions of direct sending have the shell do."""

__all__ = ["Abort", "BreakOff", "Effect", "Fail", "PassOn", "SendTo"]

import dataclasses

from sycamorefall import errors, settings


@dataclasses.dataclass(slots=True, frozen=True)
class SendTo:
    """Send a request to an upstream.

    Attributes:
        request: Its number.
        attempt: Number of the send, from 1.
        upstream: Incarnation that is meant.
        address: Where it answers.
        time_left: Seconds that the upstream may work.
        team: The team; empty if the route needs none.
        fresh: Whether to use a new connection.
    """

    request: int
    attempt: int
    upstream: str
    address: settings.Address
    time_left: float
    team: str
    fresh: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Abort:
    """Close the connection to the upstream that has a request."""

    request: int


@dataclasses.dataclass(slots=True, frozen=True)
class Fail:
    """Answer a request with an error.

    Attributes:
        request: Its number.
        kind: The kind of error.
        retry_after: Seconds after which asking again can help, if it can.
    """

    request: int
    kind: errors.ErrorKind
    retry_after: float | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class BreakOff:
    """Break off an answer that has begun, so that it can't pass for whole."""

    request: int


@dataclasses.dataclass(slots=True, frozen=True)
class PassOn:
    """Give the caller the upstream's answer that was held."""

    request: int


Effect = SendTo | Abort | Fail | BreakOff | PassOn
