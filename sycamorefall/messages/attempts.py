"""Attempts that routers hand out to sidecars, and what became of them."""

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

ATTEMPT_PATH = "/v1/attempts"
"""Where a sidecar takes attempts over HTTP."""

ATTEMPT_HEADER = "Sycamorefall-Attempt"
"""Header of a sidecar's answer that names the attempt it answers."""

ORDER_HEADER = "Sycamorefall-Order"
"""Header of a hand-out that carries its `AttemptOrder`."""

SIGNATURE_HEADER = "Sycamorefall-Signature"
"""Header of a hand-out with the digest of its order and body."""

OUTCOME_HEADER = "Sycamorefall-Outcome"
"""Header of a sidecar's answer in place of the upstream's: an
`AttemptOutcome`."""


UNCLAIMED = 0
"""Claim number of an offer: a hand-out that nobody claimed."""


class AttemptOutcome(enum.Enum):
    """Why a sidecar answers a hand-out without the upstream's answer.

    REFUSED: it did not start the attempt and never will.
    REPEATED: it started this attempt before; this was a copy of it.
    NOT_RUN: it could not reach the upstream.
    FAILED: the upstream broke off after it had the request.
    """

    REFUSED = "refused"
    REPEATED = "repeated"
    NOT_RUN = "not-run"
    FAILED = "failed"


class AttemptState(enum.Enum):
    """What a sidecar knows of an attempt."""

    NEVER_SEEN = "never_seen"
    REFUSED = "refused"
    STARTED = "started"
    FINISHED = "finished"


class AttemptQuery(msgspec.Struct, frozen=True, array_like=True, tag="q"):
    """A router asks what became of an attempt whose answer broke off."""

    attempt_id: str


class AttemptReport(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """A sidecar's answer to a query.

    Attributes:
        attempt_id: The attempt.
        state: What the sidecar knows of it.
        sent: Bytes of its answer that the sidecar has passed on so far.
    """

    attempt_id: str
    state: AttemptState
    sent: int = 0


class AttemptOrder(msgspec.Struct, frozen=True):
    """Head of an attempt that a router hands out to a sidecar.

    It travels in one HTTP header of the hand-out, as Base64 of MessagePack.

    Attributes:
        attempt_id: Unique over all routers, incarnations and attempts.
        claim_id: The claim this attempt answers, or `UNCLAIMED`.
        router: VM name of the router.
        incarnation: The router's incarnation.
        service: The service.
        team: The team.
        method: HTTP method towards the upstream.
        path: Path and query towards the upstream.
        headers: Headers to pass on.
        remaining: Seconds left until the caller's deadline.
        idempotent: Whether the request may be run again.
        cost_hint: The caller's estimate in cost units, 0 if none.
        sidecar: VM name of the sidecar it is meant for.
        sidecar_incarnation: The process there that it is meant for.
        hinted: Of an offer: `second` of the hint that it answers.
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
    remaining: float
    idempotent: bool
    cost_hint: float = 0.0
    sidecar: str = ""
    sidecar_incarnation: int = 0
    hinted: int = 0


_encoder = msgspec.msgpack.Encoder()
_order_decoder = msgspec.msgpack.Decoder(AttemptOrder)


def encode_order(order: AttemptOrder) -> str:
    """Encodes an attempt's head as text that fits an HTTP header."""
    return base64.b64encode(_encoder.encode(order)).decode("ascii")


def decode_order(text: str) -> AttemptOrder:
    """Decodes an attempt's head.

    Args:
        text: The header's value.

    Returns:
        The head.

    Raises:
        errors.MessageRefused: The text is not an attempt's head.
    """
    try:
        return _order_decoder.decode(base64.b64decode(text, validate=True))
    except (
        msgspec.DecodeError,
        binascii.Error,
        ValueError,
        RecursionError,
    ) as fault:
        raise errors.MessageRefused(str(fault)) from fault
