"""The platform's documents, decoded into the product's types."""

__all__ = [
    "ItemPage",
    "decode_catalog",
    "decode_listing",
    "translate_item",
]

import base64
from collections.abc import Iterable
from typing import Annotated, Literal

import msgspec

from sycamorefall import errors, messages, settings
from sycamorefall.direct import catalog, upstreams


class Item(msgspec.Struct, rename="pascal"):
    """An entry of the store.

    Attributes:
        key: Its key.
        value: Its bytes, in base64.
        create_rev: Revision at which the key was made.
        revision: Revision of its last change.
    """

    key: str
    value: str = ""
    create_rev: int = 0
    revision: int = 0


class ItemPage(msgspec.Struct, rename="pascal"):
    """Answer to a read of a range.

    Attributes:
        items: The entries.
        current_rev: The store's revision.
        more_pages: Whether the answer is cut, and goes on after its last key.
    """

    items: list[Item] = []
    more_pages: bool = False
    current_rev: int = 0


class _Upstream(msgspec.Struct, rename="pascal"):
    """An entry of an upstream; all of its fields are always there.

    Attributes:
        slots: Requests that it runs at once.
        cold_remaining_ms: How much longer it is slow after its start.
        sequence: Counts what it wrote; starts anew with the process.
        born: When the process started, by its own clock in milliseconds; 0
            on platforms that don't tell.
    """

    service: str
    address: str
    zone: str
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1)]
    state: Literal["ready", "draining"]
    cold_remaining_ms: float
    sequence: int
    born: Annotated[int, msgspec.Meta(ge=1)] | None = msgspec.field(
        name="born", default=None
    )


class _Share(msgspec.Struct, rename="pascal"):
    service: str
    weight: float


class _Route(msgspec.Struct, rename="pascal"):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float
    max_attempts: int = 1
    public: bool = False
    stream_resume: bool = False
    service: str = ""
    traffic_split: list[_Share] = []


class _Engine(msgspec.Struct, rename="pascal"):
    slots: int
    kv_capacity_tokens: int
    kv_token_bytes: float = 0.0
    link_mbps: float = 0.0


class _Service(msgspec.Struct, rename="pascal"):
    name: str
    max_connections: int = 0
    engine: _Engine | None = None


class _Limits(msgspec.Struct, frozen=True, rename="pascal"):
    tokens_per_s: float = 0.0


class _Team(msgspec.Struct, rename="pascal"):
    name: str
    api_keys: list[str] = []


class _Configuration(msgspec.Struct, rename="pascal"):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()
    tenants: list[_Team] = []


_KINDS = {
    "safe": catalog.RouteKind.IDEMPOTENT,
    "unsafe": catalog.RouteKind.AT_MOST_ONCE,
    "streaming": catalog.RouteKind.STREAM,
}

_BYTES_PER_MEGABIT = 125_000

_LEAVING = "draining"
"""State of an upstream that is to get no new work."""


def translate_item(item: Item) -> messages.Record:
    """Translates an entry of the store.

    One whose bytes can't be read has none, so it is refused as any other
    that can't be used.
    """
    try:
        value = base64.b64decode(item.value, validate=True)
    except ValueError:
        value = b""
    return messages.Record(item.key, item.create_rev, item.revision, value)


def _decode(record: messages.Record, kind: type) -> object:
    try:
        return msgspec.json.decode(record.value, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as fault:
        reason = f"{record.key}: {fault}"
        raise errors.ConfigurationRefused(0, reason) from fault


def decode_catalog(record: messages.Record) -> catalog.Catalog:
    """Decodes the configuration.

    Args:
        record: The record that holds it.

    Returns:
        The configuration.

    Raises:
        errors.ConfigurationRefused: It can't be used; the text says why.
    """
    read = _decode(record, _Configuration)
    keys = {
        key: catalog.Team(team.name)
        for team in read.tenants
        for key in team.api_keys
    }
    return catalog.create_catalog(
        read.version,
        [_translate_route(route) for route in read.routes],
        [_translate_service(service) for service in read.services],
        keys,
        bool(read.tenants),
        read.limits.tokens_per_s,
    )


def _translate_route(route: _Route) -> catalog.Route:
    kind = _KINDS.get(route.kind)
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
    )


def _translate_service(service: _Service) -> catalog.Service:
    engine = service.engine and catalog.Engine(
        service.engine.slots,
        service.engine.kv_capacity_tokens,
        _read_fetch_rate(service.engine),
    )
    return catalog.Service(service.name, service.max_connections, engine)


def _read_fetch_rate(engine: _Engine) -> float:
    if engine.kv_token_bytes <= 0:
        return 0.0
    return engine.link_mbps * _BYTES_PER_MEGABIT / engine.kv_token_bytes


def decode_listing(
    records: Iterable[messages.Record], prefix: str
) -> tuple[dict[str, upstreams.UpstreamEntry], dict[str, str]]:
    """Decodes the entries of upstreams.

    Args:
        records: The records that hold them.
        prefix: What their keys begin with; the rest is the incarnation.

    Returns:
        The upstreams, and a reason for each entry that can't be used, both by
        the record's key.
    """
    listing: dict[str, upstreams.UpstreamEntry] = {}
    refused: dict[str, str] = {}
    for record in records:
        try:
            listing[record.key] = _translate_entry(record, prefix)
        except (errors.ConfigurationRefused, ValueError) as fault:
            refused[record.key] = str(fault)
    return listing, refused


def _translate_entry(
    record: messages.Record, prefix: str
) -> upstreams.UpstreamEntry:
    entry = _decode(record, _Upstream)
    name = record.key.removeprefix(prefix)
    # It stands in a header of each request there.
    if not name.isascii() or not name.isprintable() or not name.strip():
        raise errors.ConfigurationRefused(0, f"{record.key!r}: no name")
    return upstreams.UpstreamEntry(
        name,
        entry.service,
        settings.parse_address(entry.address),
        entry.zone,
        entry.slots,
        entry.state == _LEAVING,
        record.created_revision,
        entry.born or 0,
    )
