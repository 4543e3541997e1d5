"""What operators publish for direct sending: routes, services, teams."""

__all__ = [
    "Catalog",
    "Engine",
    "Route",
    "RouteKind",
    "Service",
    "Share",
    "Team",
    "choose_service",
    "create_catalog",
    "find_route",
]

from collections.abc import Iterable
import dataclasses
import enum


class RouteKind(enum.Enum):
    """What may be repeated of a route's requests, and how they are answered.

    IDEMPOTENT: may run more than once.
    AT_MOST_ONCE: runs once at most.
    STREAM: answered by events; runs once at most.
    RESUMABLE_STREAM: answered by events; may go on at another upstream.
    """

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"
    RESUMABLE_STREAM = "resumable_stream"

    @property
    def retryable(self) -> bool:
        """Whether a request that may have run may run again."""
        return self in (RouteKind.IDEMPOTENT, RouteKind.RESUMABLE_STREAM)

    @property
    def streamed(self) -> bool:
        """Whether answers come as events."""
        return self in (RouteKind.STREAM, RouteKind.RESUMABLE_STREAM)


@dataclasses.dataclass(slots=True, frozen=True)
class Share:
    """A service's part of a route's requests, by weight."""

    service: str
    weight: float


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """Where requests of a host and path go.

    Attributes:
        name: Its name.
        host: Host header of its requests, in lower case.
        prefix: Beginning of their path; begins and ends with a slash.
        kind: What may be repeated.
        shares: Services that share its requests.
        timeout: Seconds after which a caller is told that it failed.
        target_latency: Seconds within which an answer, or a stream's first
            event, is on time.
        max_upstreams: Upstreams that may run one request.
        public: Whether its requests carry no key.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[Share, ...]
    timeout: float
    target_latency: float
    max_upstreams: int = 1
    public: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Engine:
    """What is known of a service's model engines.

    Attributes:
        slots: Requests that one runs at once.
        kv_capacity_tokens: Tokens that its cache holds.
        fetch_rate: Tokens that one copies from another's cache in a second;
            0 if it can't.
    """

    slots: int
    kv_capacity_tokens: int
    fetch_rate: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Service:
    """A group of upstreams that answer alike.

    Attributes:
        name: Its name.
        max_connections: Connections that one upstream takes of all callers.
        engine: Its engines; None for a plain service.
    """

    name: str
    max_connections: int
    engine: Engine | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Team:
    """A team that shares the capacity."""

    name: str


@dataclasses.dataclass(slots=True, frozen=True)
class Catalog:
    """One version of what operators published.

    Attributes:
        version: Its version; a later one is higher.
        routes: Routes by host, then by prefix.
        services: Services by name.
        teams: Teams by key.
        requires_key: Whether requests of routes that are not public need a key.
        tokens_per_second: What all engines together serve, a token read
            counted once and one made twice; 0 if not known.
    """

    version: int
    routes: dict[str, dict[str, Route]]
    services: dict[str, Service]
    teams: dict[str, Team]
    requires_key: bool = False
    tokens_per_second: float = 0.0


def create_catalog(
    version: int,
    routes: Iterable[Route],
    services: Iterable[Service],
    teams: dict[str, Team],
    requires_key: bool = False,
    tokens_per_second: float = 0.0,
) -> Catalog:
    """Creates a catalog, its routes ready to be looked up.

    Args:
        version: Its version.
        routes: All routes.
        services: All services.
        teams: Teams by key.
        requires_key: Whether routes that are not public need a key.
        tokens_per_second: What the engines serve together.

    Returns:
        The catalog.
    """
    by_host: dict[str, dict[str, Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, {})[route.prefix] = route
    by_name = {service.name: service for service in services}
    return Catalog(
        version, by_host, by_name, teams, requires_key, tokens_per_second
    )


def find_route(catalog: Catalog, host: str, path: str) -> Route | None:
    """Finds the route of a request: of its host, the longest prefix.

    Args:
        catalog: The catalog.
        host: Host header of the request.
        path: Its path, without query.

    Returns:
        The route, or None if there is none.

    Example:
        >>> share = (Share("ledger", 1),)
        >>> kind = RouteKind.IDEMPOTENT
        >>> routes = [Route(p, "h", p, kind, share, 1, 1) for p in ("/", "/a/")]
        >>> found = create_catalog(1, routes, [], {})
        >>> [find_route(found, "H", path).name for path in ("/a/b", "/a")]
        ['/a/', '/']
    """
    prefixes = catalog.routes.get(host.lower())
    if not prefixes:
        return None
    end = path.rfind("/") + 1
    while end > 0:
        route = prefixes.get(path[:end])
        if route is not None:
            return route
        end = path.rfind("/", 0, end - 1) + 1
    return None


def choose_service(route: Route, draw: float) -> str:
    """Chooses the service of one request.

    Args:
        route: Its route.
        draw: A number from 0 up to 1, drawn for the request.

    Returns:
        The service's name.

    Example:
        >>> shares = (Share("old", 90), Share("new", 10))
        >>> route = Route("r", "h", "/", RouteKind.STREAM, shares, 1, 1)
        >>> choose_service(route, 0.5), choose_service(route, 0.95)
        ('old', 'new')
    """
    left = draw * sum(share.weight for share in route.shares)
    for share in route.shares:
        left -= share.weight
        if left < 0:
            return share.service
    return route.shares[-1].service
