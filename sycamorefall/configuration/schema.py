"""What a valid operators' text says: services, teams and limits."""

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
NotNegative = Annotated[float, msgspec.Meta(ge=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]


class ServiceKind(enum.Enum):
    """What stands behind a service."""

    ENGINE = "engine"
    PLAIN = "plain"


class Team(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `[team NAME]`.

    Attributes:
        name: The team.
        weight: Its share relative to the other teams.
        keys_sha256: SHA-256 of each bearer key, in hex.
    """

    name: str
    keys_sha256: tuple[str, ...]
    weight: Positive = 1.0


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `[service NAME]`.

    Attributes:
        name: The service; for engines, the model that callers name.
        kind: Model engine or plain service.
        depends_on: Services that its work calls.
        concurrency: Most requests in progress at one upstream.
        idempotent: Whether requests that don't say may be run again; by
            default engines' may, and plain services' by their HTTP method.
        prompt_weight: Cost units of one prompt token.
        output_weight: Cost units of one output token.
        upstreams_check_orders: Whether its upstreams refuse an order that
            carries an old fencing number.
    """

    name: str
    kind: ServiceKind
    depends_on: tuple[str, ...] = ()
    concurrency: Count = 8
    idempotent: bool | None = None
    prompt_weight: NotNegative = 1.0
    output_weight: NotNegative = 4.0
    upstreams_check_orders: bool = False


class FleetLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `[limits]`: bounds that hold at every router alike.

    Attributes:
        waiting_per_team: Requests of one team that may wait at one router.
        waiting_per_router: Requests that may wait at one router.
        retries: Further attempts of an idempotent request.
    """

    waiting_per_team: Count = 500
    waiting_per_router: Count = 5000
    retries: Annotated[int, msgspec.Meta(ge=0)] = 2


class Configuration(msgspec.Struct, frozen=True):
    """A valid configuration.

    Attributes:
        teams: Teams by name.
        services: Services by name.
        limits: Bounds for all routers.
        team_by_key: Team name by SHA-256 of a bearer key.
    """

    teams: dict[str, Team]
    services: dict[str, Service]
    limits: FleetLimits
    team_by_key: dict[str, str]


def hash_key(key: str) -> str:
    """Hashes a bearer key as the configuration text holds it.

    Example:
        >>> hash_key("secret")[:8]
        '2bb80d53'
    """
    return hashlib.sha256(key.encode("utf-8")).hexdigest()
