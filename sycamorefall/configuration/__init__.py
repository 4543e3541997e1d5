"""The fleet configuration that operators publish as text on the platform.

Parses and validates the text, decides which revision is in force, splits
published values into blocks that peers exchange, and schedules the reads of the
platform.
"""

__all__ = [
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
    "SubmitOutcome",
    "Team",
    "VersionState",
    "assemble_document",
    "choose_watchers",
    "create_document",
    "create_manifest",
    "create_read_schedule",
    "hash_key",
    "list_missing_blocks",
    "parse_configuration",
    "record_rival",
    "submit_document",
    "submit_text",
]

from sycamorefall.configuration.documents import (
    Block,
    Document,
    DocumentHead,
    DocumentKind,
    Manifest,
    assemble_document,
    create_document,
    create_manifest,
    list_missing_blocks,
)
from sycamorefall.configuration.polling import (
    ReadSchedule,
    choose_watchers,
    create_read_schedule,
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
    SubmitOutcome,
    VersionState,
    record_rival,
    submit_document,
    submit_text,
)
