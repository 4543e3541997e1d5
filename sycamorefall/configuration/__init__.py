"""The operators' text: parsing, checking, versions."""

__all__ = [
    "Adoption",
    "Configuration",
    "FleetLimits",
    "Service",
    "ServiceKind",
    "Team",
    "VersionState",
    "hash_key",
    "offer_text",
    "parse_configuration",
]

from sycamorefall.configuration.text import (
    Configuration,
    FleetLimits,
    Service,
    ServiceKind,
    Team,
    hash_key,
    parse_configuration,
)
from sycamorefall.configuration.versions import (
    Adoption,
    VersionState,
    offer_text,
)
