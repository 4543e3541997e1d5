"""Schema of a valid configuration text: services, teams and limits."""

__all__ = [
    "Configuration",
    "FleetLimits",
    "Service",
    "ServiceKind",
    "Team",
    "hash_key",
]

import enum
import hashlib
from typing import Annotated

import msgspec

Positive = Annotated[float, msgspec.Meta(gt=0)]
NonNegative = Annotated[float, msgspec.Meta(ge=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]


class ServiceKind(enum.Enum):
    """Type of the upstreams of a service.

    ENGINE: model engines.
    PLAIN: plain HTTP services.
    """

    ENGINE = "engine"
    PLAIN = "plain"


class Team(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `[team NAME]`.

    Attributes:
        name: The team.
        weight: Share of capacity that the team gets, relative to the
            weights of the other teams.
        keys_sha256: SHA-256 of each bearer key, in hex.
    """

    name: str
    keys_sha256: tuple[str, ...]
    weight: Positive = 1.0


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `[service NAME]`.

    Attributes:
        name: Name of the service; for engines, the model that callers
            request.
        kind: Model engine or plain service.
        depends_on: Names of the services that this service calls while it
            handles a request.
        concurrency: Maximum number of requests in progress at one upstream.
        idempotent: Whether a request may be executed again if its headers
            don't say. By default, requests to engines may, and requests to
            plain services may if their HTTP method is idempotent.
        prompt_weight: Cost units of one prompt token.
        output_weight: Cost units of one output token.
        upstreams_check_orders: Whether the service's upstreams refuse a
            command to an engine, such as to load a model, that carries an
            outdated fencing number.
    """

    name: str
    kind: ServiceKind
    depends_on: tuple[str, ...] = ()
    concurrency: Count = 8
    idempotent: bool | None = None
    prompt_weight: NonNegative = 1.0
    output_weight: NonNegative = 4.0
    upstreams_check_orders: bool = False


class FleetLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `[limits]`: limits that are the same at every router.

    Attributes:
        waiting_per_team: Maximum number of requests of one team that wait
            at one router.
        waiting_per_router: Maximum number of requests that wait at one
            router.
        retries: Maximum number of attempts of an idempotent request after
            the first.
    """

    waiting_per_team: Count = 500
    waiting_per_router: Count = 5000
    retries: Annotated[int, msgspec.Meta(ge=0)] = 2


class Configuration(msgspec.Struct, frozen=True):
    """A parsed and validated configuration text.

    Attributes:
        teams: Teams by name.
        services: Services by name.
        limits: Limits for all routers.
        team_by_key: Team name by SHA-256 of a bearer key.
    """

    teams: dict[str, Team]
    services: dict[str, Service]
    limits: FleetLimits
    team_by_key: dict[str, str]


def hash_key(key: str) -> str:
    """Computes the SHA-256 of a bearer key, in hex, as in `keys_sha256`.

    Example:
        >>> hash_key("secret")[:8]
        '2bb80d53'
    """
    return hashlib.sha256(key.encode("utf-8")).hexdigest()
