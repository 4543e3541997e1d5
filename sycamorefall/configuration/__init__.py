"""The operators' text: parsing, checking, versions, spreading."""

__all__ = [
    "Adoption",
    "Block",
    "Configuration",
    "Document",
    "DocumentHead",
    "DocumentKind",
    "FleetLimits",
    "Manifest",
    "ReadSchedule",
    "Service",
    "ServiceKind",
    "Team",
    "VersionState",
    "assemble_document",
    "choose_watchers",
    "create_document",
    "create_schedule",
    "hash_key",
    "list_missing",
    "make_manifest",
    "note_rival",
    "offer_document",
    "offer_text",
    "parse_configuration",
]

from sycamorefall.configuration.documents import (
    Block,
    Document,
    DocumentHead,
    DocumentKind,
    Manifest,
    assemble_document,
    create_document,
    list_missing,
    make_manifest,
)
from sycamorefall.configuration.polling import (
    ReadSchedule,
    choose_watchers,
    create_schedule,
)
from sycamorefall.configuration.schema import (
    Configuration,
    FleetLimits,
    Service,
    ServiceKind,
    Team,
    hash_key,
)
from sycamorefall.configuration.text import (
    parse_configuration,
)
from sycamorefall.configuration.versions import (
    Adoption,
    VersionState,
    note_rival,
    offer_document,
    offer_text,
)
