"""Published configuration of routers that send directly to upstreams.

It consists of routes, services and teams.
"""

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
import math


class RouteKind(enum.Enum):
    """Whether a route's requests may be retried, and how they are answered.

    IDEMPOTENT: a request may run more than once.
    AT_MOST_ONCE: a request runs at most once.
    STREAM: answered by a stream of events; a request runs at most once.
    RESUMABLE_STREAM: answered by a stream of events, which another upstream may
        continue.
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
        """Whether requests are answered by a stream of events."""
        return self in (RouteKind.STREAM, RouteKind.RESUMABLE_STREAM)


@dataclasses.dataclass(slots=True, frozen=True)
class Share:
    """A service's share of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Share relative to the sum of the route's weights.
    """

    service: str
    weight: float


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """Services and limits of the requests with a host and path prefix.

    Attributes:
        name: Name of the route.
        host: Host header of its requests, in lower case.
        prefix: Prefix of their path; begins and ends with a slash.
        kind: Whether requests may be retried, and how they are answered.
        shares: Services among which the requests are split.
        timeout: Seconds after which a request fails.
        target_latency: Seconds within which a response, or a stream's first
            event, is on time.
        max_upstreams: Maximum number of upstreams that may run one request.
        public: Whether requests need no key.
        max_pause: Longest seconds between two events of a stream with which its
            response is on time; infinity if the route states none.
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
    max_pause: float = math.inf


@dataclasses.dataclass(slots=True, frozen=True)
class Engine:
    """Properties of each model engine of a service.

    Attributes:
        slots: Maximum number of concurrent requests.
        kv_capacity_tokens: Capacity of the engine's KV cache, in tokens.
        fetch_rate: Tokens per second that the engine copies from the cache of
            another one; 0 if it can't.
    """

    slots: int
    kv_capacity_tokens: int
    fetch_rate: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Service:
    """A group of interchangeable upstreams.

    Attributes:
        name: Name of the service.
        max_connections: Maximum number of connections that one upstream accepts
            from all callers together.
        engine: Properties of its model engines; None if its upstreams are not
            model engines.
        cold_seconds: Seconds for which an upstream is cold after its start; 0
            if its upstreams are never cold.
        cold_rate: Requests per second that a cold upstream takes from all
            callers together; 0 if it takes any number.
    """

    name: str
    max_connections: int
    engine: Engine | None = None
    cold_seconds: float = 0.0
    cold_rate: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Team:
    """A team; capacity is shared fairly among teams."""

    name: str


@dataclasses.dataclass(slots=True, frozen=True)
class Catalog:
    """One version of the published configuration.

    Attributes:
        version: Version number; a later version is higher.
        routes: Routes by host, then by prefix.
        services: Services by name.
        teams: Teams by key.
        requires_key: Whether requests of routes that are not public need a key.
        tokens_per_second: Capacity of all engines together. A prompt token
            counts once and a generated token twice; 0 if unknown.
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
    """Creates a catalog, with its routes indexed by host and prefix.

    Args:
        version: Version number.
        routes: All routes.
        services: All services.
        teams: Teams by key.
        requires_key: Whether requests of routes that are not public need a key.
        tokens_per_second: Capacity of all engines; see `Catalog`.

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
    """Finds a request's route: the longest matching prefix of its host.

    Args:
        catalog: The catalog.
        host: Host header of the request, in any case.
        path: Path of the request, without query.

    Returns:
        The route, or None if none matches.

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
    """Chooses the service of a request at random, by the route's weights.

    Args:
        route: Route of the request.
        draw: Random number in [0, 1) drawn for the request.

    Returns:
        Name of the service.

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
