"""Control messages between the system's processes, and their codec.

A message travels in an `Envelope`, encoded as MessagePack. Control messages
may be lost, repeated, delayed and reordered: every receiver must cope.
"""

__all__ = [
    "ATTEMPT_HEADER",
    "ATTEMPT_PATH",
    "ORDER_HEADER",
    "OUTCOME_HEADER",
    "SIGNATURE_HEADER",
    "UNCLAIMED",
    "AccountEntry",
    "AccountUpdate",
    "AttemptOrder",
    "AttemptQuery",
    "AttemptReport",
    "AttemptState",
    "Claim",
    "Envelope",
    "Heartbeat",
    "Message",
    "Name",
    "NameEntry",
    "NoWork",
    "Outcome",
    "RouterAddress",
    "RouterLoad",
    "ServiceDemand",
    "TeamService",
    "TeamWaiting",
    "UnknownNames",
    "UpstreamLoad",
    "Waiting",
    "decode_envelope",
    "decode_order",
    "encode_envelope",
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
"""Header of a sidecar's answer in place of the upstream's: an `Outcome`."""


UNCLAIMED = 0
"""Claim number of an offer: a hand-out that nobody claimed."""


Name = str | int
"""A name; on the wire an index that the sender defined, see `names`."""


class Outcome(enum.Enum):
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


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    """Says that the sender lives, and what it holds.

    Attributes:
        stopping: Whether the sender takes nothing new.
        room: Of a sidecar: slots that are free and that it knows no work
            for, a hint for routers; 0 of a router.
        vms_revision: Revision of the VM list in use.
        fingerprint: Differs between processes whose documents differ; 0 of
            a process that is starting.
        second: Of a sidecar with room: its clock, in whole seconds. An offer
            on this hint brings it back.
    """

    stopping: bool = False
    room: int = 0
    vms_revision: int = 0
    fingerprint: int = 0
    second: int = 0


class TeamWaiting(msgspec.Struct, frozen=True, array_like=True):
    """Work of one team that waits at a router.

    Attributes:
        team: The team's name.
        count: Waiting requests.
        oldest_ms: Milliseconds the oldest of them has waited.
    """

    team: Name
    count: int
    oldest_ms: int


class Waiting(msgspec.Struct, frozen=True, array_like=True, tag="w"):
    """A router tells which teams of a service have work waiting with it.

    Attributes:
        service: The service.
        sequence: Grows with each announcement of the sender's incarnation.
        teams: Teams whose count changed; a count of 0 ends an announcement.
        complete: Whether `teams` is all there is, replacing what was known.
    """

    service: Name
    sequence: int
    teams: tuple[TeamWaiting, ...]
    complete: bool


class Claim(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """A sidecar asks a router for one request of a team.

    The claim is a lease: the sidecar refuses an attempt that arrives after
    `lease_ms` milliseconds by its own clock.
    """

    claim_id: int
    service: Name
    team: Name
    lease_ms: int


class NoWork(msgspec.Struct, frozen=True, array_like=True, tag="n"):
    """A router's answer to a claim when the team has nothing waiting."""

    claim_id: int
    service: Name
    team: Name


class AccountEntry(msgspec.Struct, frozen=True, array_like=True):
    """What one sidecar incarnation gave to a team.

    Attributes:
        team: The team's name.
        label: The owner: VM name and incarnation.
        sequence: Grows with each change by the owner.
        served: Cost units charged so far.
        reserved: Estimated units of claims and runs in flight.
        offset: Order key from which the units count, the highest known.
    """

    team: Name
    label: Name
    sequence: int
    served: float
    reserved: float
    offset: float


class AccountUpdate(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """Account entries of a service, the sender's own or passed on."""

    service: Name
    entries: tuple[AccountEntry, ...]


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


class UpstreamLoad(msgspec.Struct, frozen=True, array_like=True):
    """What one router has at an upstream.

    Attributes:
        upstream: The upstream's incarnation.
        running: Requests sent and not ended.
        unread: Prompt tokens of those that have not begun to answer.
        memory: Tokens of all of them, output included.
        floor: Least that a team received lately, of all routers, whose
            request waits there for this upstream; -1 if none does.
    """

    upstream: Name
    running: int
    unread: int
    memory: int
    floor: int = -1


class TeamService(msgspec.Struct, frozen=True, array_like=True):
    """What a router gave a team lately, in cost units."""

    team: Name
    amount: int


class ServiceDemand(msgspec.Struct, frozen=True, array_like=True):
    """A service as one router sees it.

    Attributes:
        service: The service.
        teams: What the router gave its teams lately.
    """

    service: Name
    teams: tuple[TeamService, ...]


class RouterAddress(msgspec.Struct, frozen=True, array_like=True):
    """A router and the address that its control messages go to."""

    vm: str
    control: str


class SentPrompt(msgspec.Struct, frozen=True, array_like=True):
    """A prompt that a router sent to an engine.

    Attributes:
        upstream: The engine's incarnation.
        parts: Digests of the prompt's shared parts in order, with their
            tokens.
        own: Tokens that no other request shares.
    """

    upstream: Name
    parts: tuple[tuple[int, int], ...]
    own: int


class RouterLoad(msgspec.Struct, frozen=True, array_like=True, tag="l"):
    """What a router that sends directly has at the upstreams.

    A later one replaces an earlier one, so loss and repetition do no harm;
    `sequence` tells which is later.

    Attributes:
        sequence: Grows with each message of the sender's incarnation.
        control: Where the sender takes control messages.
        routers: Other routers that it heard of.
        upstreams: Its load, and what waits for them; what is left out has
            none.
        services: What it gave.
        whole: Whether this is all; otherwise what is left out, but for the
            sequence, is as it was told before.
        prompts: Prompts sent since the last message whose shared parts are
            worth copying from engine to engine, as many as the budget of
            control traffic allows. Where a message is lost, the others know
            less of what engines hold.
    """

    sequence: int
    control: str
    routers: tuple[RouterAddress, ...] = ()
    upstreams: tuple[UpstreamLoad, ...] = ()
    services: tuple[ServiceDemand, ...] = ()
    whole: bool = True
    prompts: tuple[SentPrompt, ...] = ()


class UnknownNames(msgspec.Struct, frozen=True, array_like=True, tag="u"):
    """A receiver lacks names, and dropped a message because of it."""

    indexes: tuple[int, ...]


class NameEntry(msgspec.Struct, frozen=True, array_like=True):
    """Defines a name of the sender's process by an index."""

    index: int
    name: str


Message = (
    Heartbeat
    | Waiting
    | Claim
    | NoWork
    | AccountUpdate
    | AttemptQuery
    | AttemptReport
    | UnknownNames
    | RouterLoad
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender.

    Attributes:
        sender: VM name of the sending process.
        incarnation: Number of the sending process, new at each start.
        revision: Revision of the configuration in force at the sender.
        message: The message.
        names: Names that the sender defines.
    """

    sender: str
    incarnation: int
    revision: int
    message: Message
    names: tuple[NameEntry, ...] = ()


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
_envelope_decoder = msgspec.msgpack.Decoder(Envelope)
_order_decoder = msgspec.msgpack.Decoder(AttemptOrder)


def encode_envelope(envelope: Envelope) -> bytes:
    """Encodes an envelope as MessagePack."""
    return _encoder.encode(envelope)


def decode_envelope(data: bytes) -> Envelope:
    """Decodes an envelope.

    Args:
        data: Bytes as received.

    Returns:
        The envelope.

    Raises:
        errors.MessageRefused: The bytes are not an envelope.

    Example:
        >>> sent = Envelope("router-1", 1, 7, Heartbeat())
        >>> decode_envelope(encode_envelope(sent)) == sent
        True
    """
    try:
        return _envelope_decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as fault:
        # The decoder gives nesting without end up with a RecursionError; it
        # would escape to the loop, and the link's reader would lose its turn.
        raise errors.MessageRefused(str(fault)) from fault


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
