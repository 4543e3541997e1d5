"""Decodes the platform's documents into the router's own types."""

__all__ = [
    "ItemPage",
    "decode_catalog",
    "decode_evacuated_domain",
    "decode_items",
    "decode_listing",
    "decode_page",
    "parse_era",
    "translate_item",
]

import base64
from collections.abc import Iterable
import contextlib
import json
import math
from typing import Annotated, Literal

import msgspec

from sycamorefall import errors, messages, settings
from sycamorefall.direct import catalog, revisions, upstreams

_Number = Annotated[int, msgspec.Meta(ge=0, le=revisions.MAX_NUMBER)]

_Whole = Annotated[
    int, msgspec.Meta(ge=-messages.MAX_AMOUNT, le=messages.MAX_AMOUNT)
]
"""A whole number with a bound: JSON has none, and arithmetic with floats raises
for a number that is too large for them."""

_Positive = Annotated[int, msgspec.Meta(ge=1, le=messages.MAX_AMOUNT)]

_Real = Annotated[
    float, msgspec.Meta(ge=-messages.MAX_AMOUNT, le=messages.MAX_AMOUNT)
]

_NonNegative = Annotated[float, msgspec.Meta(ge=0, le=messages.MAX_AMOUNT)]


class Item(msgspec.Struct, rename="pascal"):
    """An item of the platform's store.

    Attributes:
        key: Key of the item.
        value: Value of the item, in base64.
        create_rev: Revision of the store at which the key was created.
        revision: Revision of the store at which the value was last changed.
    """

    key: str
    value: str = ""
    create_rev: _Number = 0
    revision: _Number = 0


class ItemPage(msgspec.Struct, rename="pascal"):
    """Response to a read of a range of keys, or one page of it.

    Attributes:
        items: Items of this page, in the order of their keys, each still
            encoded: one that can't be decoded must not hide the others.
        current_rev: Revision of the store.
        more_pages: Whether the next page starts after the last key of this one.
    """

    items: list[msgspec.Raw] = []
    more_pages: bool = False
    current_rev: _Number = 0


class _Upstream(msgspec.Struct, rename="pascal"):
    """Entry that an upstream writes about itself.

    All fields but `born` are required, so that an entry of another program
    isn't decoded as an upstream.

    Attributes:
        slots: Number of requests that the upstream runs concurrently.
        cold_remaining_ms: Remaining time in milliseconds for which the upstream
            is slow after its start.
        sequence: Counter of the entries that the upstream wrote; restarts with
            its process.
        born: Start time of the process by its own clock, in milliseconds; None
            on platforms that don't state it.
    """

    service: str
    address: str
    zone: str
    version: str
    slots: _Positive
    state: Literal["ready", "draining"]
    cold_remaining_ms: _Real
    sequence: _Whole
    born: _Positive | None = msgspec.field(name="born", default=None)


class _Share(msgspec.Struct, rename="pascal"):
    service: str
    weight: _Real


class _Route(msgspec.Struct, rename="pascal"):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: _Real
    target_latency_ms: _Real
    max_attempts: _Whole = 1
    public: bool = False
    stream_resume: bool = False
    service: str = ""
    gap_aim_ms: _Real = 0.0
    traffic_split: list[_Share] = []


class _Engine(msgspec.Struct, rename="pascal"):
    slots: _Whole
    kv_capacity_tokens: _Whole
    kv_token_bytes: _Real = 0.0
    link_mbps: _Real = 0.0


class _Service(msgspec.Struct, rename="pascal"):
    name: str
    max_connections: _Whole = 0
    cold_start_s: _NonNegative = 0.0
    cold_per_s: _NonNegative = 0.0
    engine: _Engine | None = None


class _Limits(msgspec.Struct, frozen=True, rename="pascal"):
    tokens_per_s: _Real = 0.0


class _Team(msgspec.Struct, rename="pascal"):
    name: str
    api_keys: list[str] = []


class _Configuration(msgspec.Struct, rename="pascal"):
    version: _Whole
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()
    tenants: list[_Team] = []


_ROUTE_KINDS = {
    "safe": catalog.RouteKind.IDEMPOTENT,
    "unsafe": catalog.RouteKind.AT_MOST_ONCE,
    "streaming": catalog.RouteKind.STREAM,
}

_BYTES_PER_MEGABIT = 125_000

_DRAINING_STATE = "draining"
"""State of an upstream that is to get no new requests."""


def parse_era(text: str | None) -> int | None:
    """Parses the era that a response of the store states.

    Args:
        text: Value of the header; None if the response lacks it.

    Returns:
        The era, 0 without the header; None if the value is not valid.

    Example:
        >>> parse_era("3"), parse_era(None), parse_era("-1"), parse_era("new")
        (3, 0, None, None)
    """
    if text is None:
        return 0
    if not (text.isascii() and text.isdecimal()):
        return None
    # The length is checked first: `int` refuses thousands of digits.
    is_short = len(text) <= len(str(revisions.MAX_ERA))
    return int(text) if is_short and int(text) <= revisions.MAX_ERA else None


class _Key(msgspec.Struct, rename="pascal"):
    key: str


_DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)


def decode_page(data: bytes) -> ItemPage:
    """Decodes one page of a read.

    Raises:
        errors.ConfigurationRefused: It is no page.
    """
    with contextlib.suppress(*_DECODE_ERRORS):
        return msgspec.json.decode(data, type=ItemPage)
    # msgspec refuses all of a page with half of a surrogate pair in one key.
    try:
        fields = json.loads(data)
        items = [
            msgspec.Raw(json.dumps(one).encode()) for one in fields["Items"]
        ]
        return msgspec.convert(fields | {"Items": items}, type=ItemPage)
    except (TypeError, KeyError, ValueError, *_DECODE_ERRORS) as error:
        reason = f"{type(error).__name__}: {error}"
        raise errors.ConfigurationRefused(0, reason) from error


def decode_items(page: ItemPage) -> tuple[list[Item], str, list[str]]:
    """Decodes the items of a page.

    Returns:
        The items that can be decoded, the last key of the page that can be, and
        why the other items were refused.
    """
    items: list[Item] = []
    last_key, refused = "", []
    for encoded in page.items:
        try:
            last_key = msgspec.json.decode(encoded, type=_Key).key
            items.append(msgspec.json.decode(encoded, type=Item))
        except _DECODE_ERRORS as error:
            refused.append(f"an item, last key {last_key!r}: {error}")
    return items, last_key, refused


def translate_item(item: Item, era: int) -> messages.Record:
    """Translates an item of the store into a record.

    If the value is not valid base64, the record's value is empty. Decoding the
    record then fails as it does for any invalid document.

    Args:
        item: The item.
        era: Era of the store in which the item was read.
    """
    try:
        value = base64.b64decode(item.value, validate=True)
    except ValueError:
        value = b""
    return messages.Record(
        item.key,
        revisions.combine(era, item.create_rev),
        revisions.combine(era, item.revision),
        value,
    )


def _decode(record: messages.Record, struct_type: type) -> object:
    try:
        return msgspec.json.decode(record.value, type=struct_type)
    except _DECODE_ERRORS as error:
        reason = f"{record.key}: {error}"
        raise errors.ConfigurationRefused(0, reason) from error


def decode_catalog(record: messages.Record) -> catalog.Catalog:
    """Decodes the configuration into a catalog.

    Args:
        record: Record that holds the configuration as JSON.

    Returns:
        The catalog of routes, services and teams.

    Raises:
        errors.ConfigurationRefused: The configuration is invalid; the message
            names the record's key or the route.
    """
    configuration = _decode(record, _Configuration)
    keys = {
        key: catalog.Team(team.name)
        for team in configuration.tenants
        for key in team.api_keys
    }
    return catalog.create_catalog(
        configuration.version,
        [_translate_route(route) for route in configuration.routes],
        [_translate_service(service) for service in configuration.services],
        keys,
        bool(configuration.tenants),
        configuration.limits.tokens_per_s,
    )


def _translate_route(route: _Route) -> catalog.Route:
    kind = _ROUTE_KINDS.get(route.kind)
    if kind is None:
        reason = f"route {route.name}: unknown kind {route.kind!r}"
        raise errors.ConfigurationRefused(0, reason)
    if route.stream_resume and kind.streamed:
        kind = catalog.RouteKind.RESUMABLE_STREAM
    shares = [
        catalog.Share(share.service, share.weight)
        for share in route.traffic_split
    ]
    return catalog.Route(
        route.name,
        route.host.lower(),
        route.prefix,
        kind,
        tuple(shares) or (catalog.Share(route.service, 1.0),),
        route.timeout_ms / 1000,
        route.target_latency_ms / 1000,
        max(1, route.max_attempts),
        route.public,
        route.gap_aim_ms / 1000 if route.gap_aim_ms > 0 else math.inf,
    )


def _translate_service(service: _Service) -> catalog.Service:
    engine = service.engine and catalog.Engine(
        service.engine.slots,
        service.engine.kv_capacity_tokens,
        _compute_fetch_rate(service.engine),
    )
    return catalog.Service(
        service.name,
        service.max_connections,
        engine,
        service.cold_start_s,
        service.cold_per_s,
    )


def _compute_fetch_rate(engine: _Engine) -> float:
    if engine.kv_token_bytes <= 0:
        return 0.0
    return engine.link_mbps * _BYTES_PER_MEGABIT / engine.kv_token_bytes


def decode_evacuated_domain(record: messages.Record, prefix: str) -> str:
    """Decodes a record by which the operators evacuate a failure domain.

    Args:
        record: The record.
        prefix: Prefix of the record's key. The rest of the key is the name of
            the failure domain.

    Returns:
        Name of the failure domain.

    Raises:
        errors.ConfigurationRefused: The record's value is not a JSON object,
            or its key names no failure domain.
    """
    _decode(record, dict)
    name = record.key.removeprefix(prefix)
    if not name.strip():
        raise errors.ConfigurationRefused(0, f"{record.key!r}: no name")
    return name


def decode_listing(
    records: Iterable[messages.Record], prefix: str
) -> tuple[dict[str, upstreams.UpstreamEntry], dict[str, str]]:
    """Decodes the entries of upstreams.

    Args:
        records: Records that hold one entry each.
        prefix: Prefix of the records' keys. The rest of a key is the
            upstream's incarnation.

    Returns:
        The decoded entries, and the reasons why the invalid ones were refused.
        Both are keyed by the record's key.
    """
    listing: dict[str, upstreams.UpstreamEntry] = {}
    refused: dict[str, str] = {}
    for record in records:
        try:
            listing[record.key] = _translate_upstream(record, prefix)
        except (errors.ConfigurationRefused, ValueError) as error:
            refused[record.key] = str(error)
    return listing, refused


def _translate_upstream(
    record: messages.Record, prefix: str
) -> upstreams.UpstreamEntry:
    entry = _decode(record, _Upstream)
    name = record.key.removeprefix(prefix)
    # The name is sent as a header value in each request to the upstream, so a
    # line break in it would inject another header.
    if not name.isascii() or not name.isprintable() or not name.strip():
        raise errors.ConfigurationRefused(0, f"{record.key!r}: no name")
    return upstreams.UpstreamEntry(
        name,
        entry.service,
        settings.parse_address(entry.address),
        entry.zone,
        entry.slots,
        entry.state == _DRAINING_STATE,
        record.created_revision,
        entry.born or 0,
        max(0.0, entry.cold_remaining_ms / 1000),
        record.changed_revision,
        entry.version,
    )
