"""Attempts that routers send to sidecars, and their states and outcomes.

An attempt is one try to run a caller's request at an upstream. A router sends
it to the upstream's sidecar as an HTTP request, the attempt request: its
`AttemptOrder` in a header, and the caller's body as the body.
"""

__all__ = [
    "ATTEMPT_HEADER",
    "ATTEMPT_PATH",
    "ORDER_HEADER",
    "OUTCOME_HEADER",
    "SIGNATURE_HEADER",
    "UNCLAIMED",
    "AttemptOrder",
    "AttemptOutcome",
    "AttemptQuery",
    "AttemptReport",
    "AttemptState",
    "decode_order",
    "encode_order",
]

import base64
import binascii
import enum

import msgspec

from sycamorefall import errors
from sycamorefall.messages.numbers import Quantity

ATTEMPT_PATH = "/v1/attempts"
"""HTTP path at which a sidecar accepts attempt requests."""

ATTEMPT_HEADER = "Sycamorefall-Attempt"
"""Header of a sidecar's response: ID of the attempt that it answers."""

ORDER_HEADER = "Sycamorefall-Order"
"""Header of an attempt request: its encoded `AttemptOrder`."""

SIGNATURE_HEADER = "Sycamorefall-Signature"
"""Header with a keyed digest (HMAC): of an attempt request's order and body, or
of a message between the replicas of configuration and VM list."""

OUTCOME_HEADER = "Sycamorefall-Outcome"
"""Header of a response that a sidecar sends without an upstream's response: an
`AttemptOutcome`."""


UNCLAIMED = 0
"""Claim number of an offer: an attempt that the sidecar did not claim."""


class AttemptOutcome(enum.Enum):
    """Reason why a sidecar has no upstream's response to an attempt request.

    REFUSED: the sidecar did not start the attempt and never will.
    REPEATED: the sidecar started the attempt before; this request was a copy.
    NOT_RUN: the sidecar could not connect to the upstream.
    FAILED: the upstream failed after the request was sent to it.
    """

    REFUSED = "refused"
    REPEATED = "repeated"
    NOT_RUN = "not-run"
    FAILED = "failed"


class AttemptState(enum.Enum):
    """State of an attempt in the records of a sidecar.

    NEVER_SEEN: there was no record of it; the sidecar refuses it from now on.
    REFUSED: it was not run, and the sidecar will not start it.
    STARTED: it is in progress.
    FINISHED: it was run and has ended, successfully or not.
    """

    NEVER_SEEN = "never_seen"
    REFUSED = "refused"
    STARTED = "started"
    FINISHED = "finished"


class AttemptQuery(msgspec.Struct, frozen=True, array_like=True, tag="q"):
    """A router's query for the state of an attempt.

    It is sent when the connection of the attempt broke, or when nothing was
    received on it for some time.

    Attributes:
        attempt_id: The attempt.
    """

    attempt_id: str


class AttemptReport(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """A sidecar's response to an `AttemptQuery`.

    Attributes:
        attempt_id: The attempt.
        state: State of the attempt in the sidecar's records.
        sent: Bytes of the response body that the sidecar has sent to the router
            so far; 0 unless the attempt is in progress.
    """

    attempt_id: str
    state: AttemptState
    sent: int = 0


class AttemptOrder(msgspec.Struct, frozen=True):
    """Metadata of an attempt that a router sends to a sidecar.

    It is sent in one header of the attempt request, as Base64 of MessagePack.

    Attributes:
        attempt_id: ID, unique over all routers, incarnations and attempts.
        claim_id: Number of the sidecar's claim that the attempt redeems, or
            `UNCLAIMED`.
        router: VM name of the router.
        incarnation: Incarnation of the router's process.
        service: Name of the service.
        team: Name of the caller's team.
        method: HTTP method of the request to the upstream.
        path: Path and query of the request to the upstream.
        headers: Headers of the request to the upstream.
        remaining: Seconds left until the caller's deadline.
        idempotent: Whether the request may be run more than once.
        cost_hint: The caller's estimate of the cost, in cost units; 0 if there
            is none.
        sidecar: VM name of the receiving sidecar.
        sidecar_incarnation: Incarnation of the receiving process.
        hinted: If the attempt is an offer, `Heartbeat.clock_seconds` of the
            sidecar's hint of free slots that led to it.
    """

    attempt_id: str
    claim_id: int
    router: str
    incarnation: int
    service: str
    team: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    remaining: Quantity
    idempotent: bool
    cost_hint: Quantity = 0.0
    sidecar: str = ""
    sidecar_incarnation: int = 0
    hinted: int = 0


_encoder = msgspec.msgpack.Encoder()
_order_decoder = msgspec.msgpack.Decoder(AttemptOrder)


def encode_order(order: AttemptOrder) -> str:
    """Encodes an attempt order as text for an HTTP header."""
    return base64.b64encode(_encoder.encode(order)).decode("ascii")


def decode_order(text: str) -> AttemptOrder:
    """Decodes an attempt order.

    Args:
        text: The header's value.

    Returns:
        The order.

    Raises:
        errors.MessageRefused: The text is not an encoded attempt order.
    """
    try:
        return _order_decoder.decode(base64.b64decode(text, validate=True))
    except (
        msgspec.DecodeError,
        binascii.Error,
        ValueError,
        RecursionError,
    ) as error:
        raise errors.MessageRefused(str(error)) from error
