"""The platform's documents, decoded into the product's types."""

__all__ = [
    "ItemPage",
    "SingleItem",
    "WatchAnswer",
    "decode_catalog",
    "decode_listing",
]

import base64
from collections.abc import Iterable
from typing import Annotated, Literal

import msgspec

from sycamorefall import errors, settings
from sycamorefall.direct import catalog, upstreams


class Item(msgspec.Struct, rename="pascal"):
    """An entry of the store.

    Attributes:
        key: Its key.
        value: Its bytes, in base64.
        create_rev: Revision at which the key was made.
    """

    key: str
    value: str = ""
    create_rev: int = 0


class SingleItem(Item, rename="pascal"):
    """Answer to a read of one key; `current_rev` is the store's revision."""

    current_rev: int = 0


class ItemPage(msgspec.Struct, rename="pascal"):
    """Answer to a read of a range; `more_pages` if it is cut."""

    items: list[Item] = []
    more_pages: bool = False
    current_rev: int = 0


class WatchAnswer(msgspec.Struct):
    """Answer to a watch; which entries changed is read from the range."""

    events: list[msgspec.Raw] = []
    current_rev: int = msgspec.field(name="CurrentRev", default=0)


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


def _unpack(item: Item) -> bytes:
    try:
        return base64.b64decode(item.value, validate=True)
    except ValueError as fault:
        raise errors.ConfigurationRefused(0, f"{item.key}: {fault}") from fault


def _decode(item: Item, kind: type) -> object:
    try:
        return msgspec.json.decode(_unpack(item), type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as fault:
        raise errors.ConfigurationRefused(0, f"{item.key}: {fault}") from fault


def decode_catalog(item: Item) -> catalog.Catalog:
    """Decodes the configuration.

    Args:
        item: The store's entry that holds it.

    Returns:
        The configuration.

    Raises:
        errors.ConfigurationRefused: It can't be used; the text says why.
    """
    read = _decode(item, _Configuration)
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
    items: Iterable[Item], prefix: str
) -> tuple[list[upstreams.Listed], list[str]]:
    """Decodes the entries of upstreams.

    Args:
        items: The store's entries.
        prefix: What their keys begin with; the rest is the incarnation.

    Returns:
        The upstreams, and a reason for each entry that can't be used.
    """
    listing: list[upstreams.Listed] = []
    refused: list[str] = []
    for item in items:
        try:
            listing.append(_translate_entry(item, prefix))
        except (errors.ConfigurationRefused, ValueError) as fault:
            refused.append(str(fault))
    return listing, refused


def _translate_entry(item: Item, prefix: str) -> upstreams.Listed:
    entry = _decode(item, _Upstream)
    name = item.key.removeprefix(prefix)
    if not name:
        raise errors.ConfigurationRefused(0, f"{item.key}: no name")
    return upstreams.Listed(
        name,
        entry.service,
        settings.parse_address(entry.address),
        entry.zone,
        entry.slots,
        entry.state == _LEAVING,
        item.create_rev,
        entry.born or 0,
    )
