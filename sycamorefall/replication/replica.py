"""A process's replica of what the platform publishes; no I/O."""

__all__ = [
    "WARNINGS",
    "Event",
    "EventKind",
    "PeerView",
    "ReplicaState",
    "apply_document",
    "apply_published_list",
    "apply_published_text",
    "create_state",
    "describe_alarms",
    "detect_conflict",
    "get_known_revision",
    "list_documents",
    "list_heads",
    "record_published_revision",
]

import dataclasses
import enum
import random

from sycamorefall import configuration, membership

Kind = configuration.DocumentKind


class EventKind(enum.Enum):
    """What a document changed at this process.

    TEXT_ADOPTED: another configuration is in force.
    TEXT_REFUSED: a text is not valid.
    TEXT_CONFLICT: two texts came under one revision.
    LIST_REPLACED: another list of VMs is in use.
    PLATFORM_OLDER: the platform showed less than peers had at the start.
    """

    TEXT_ADOPTED = "configuration.adopted"
    TEXT_REFUSED = "configuration.refused"
    TEXT_CONFLICT = "configuration.conflict"
    LIST_REPLACED = "vms.changed"
    PLATFORM_OLDER = "platform.behind"


WARNINGS = frozenset(
    {
        EventKind.TEXT_REFUSED,
        EventKind.TEXT_CONFLICT,
        EventKind.PLATFORM_OLDER,
    }
)
"""Events that operators should look at."""


@dataclasses.dataclass(slots=True, frozen=True)
class Event:
    """A change, for the log and for whoever acts on it."""

    kind: EventKind
    detail: str


@dataclasses.dataclass(slots=True, frozen=True)
class PeerView:
    """What a peer last said about its documents.

    Attributes:
        text: Revision of the text in force there.
        vms: Revision of the VM list in use there.
        fingerprint: Stands for all its documents; 0 if it is starting.
    """

    text: int = 0
    vms: int = 0
    fingerprint: int = 0


@dataclasses.dataclass(slots=True)
class ReplicaState:
    """Documents of this process and what it knows of its peers'.

    Attributes:
        vm: This VM's name.
        versions: The configuration in force; empty until settled.
        directory: The VMs of the fleet.
        startup_versions: Texts read before the process is settled.
        fixed_peers: Data addresses to ask before any list is known.
        jitter: Source of jitter and choice.
        settled: Whether peers and platform were asked since the start.
        published_revisions: The platform's last answered revision by kind.
        lagging_revisions: The platform's revision by kind, where it is lower
            than ours.
        peer_views: What peers said, by VM name.
        fetched_views: What a peer had said when it was last asked, by VM name.
        peers_ahead: Peers that may have something newer.
        settled_by_address: Whether a peer was settled when it answered, by
            address.
        failures: Failed fetches in a row, by address.
        blocked_until: When an address may be asked again.
        fetching: Addresses that are being asked.
        next_fetch_at: When the next fetch is due.
        tried_addresses: Addresses tried since the start, until settled.
        grace_ends_at: When a starting fleet need not wait for more answers.
    """

    vm: str
    versions: configuration.VersionState
    directory: membership.Directory
    fixed_peers: tuple[str, ...] = ()
    jitter: random.Random = dataclasses.field(
        default_factory=lambda: random.Random(0)
    )
    startup_versions: configuration.VersionState = dataclasses.field(
        default_factory=configuration.VersionState
    )
    settled: bool = False
    published_revisions: dict[Kind, int] = dataclasses.field(
        default_factory=dict
    )
    lagging_revisions: dict[Kind, int] = dataclasses.field(default_factory=dict)
    peer_views: dict[str, PeerView] = dataclasses.field(default_factory=dict)
    fetched_views: dict[str, PeerView] = dataclasses.field(default_factory=dict)
    peers_ahead: set[str] = dataclasses.field(default_factory=set)
    settled_by_address: dict[str, bool] = dataclasses.field(
        default_factory=dict
    )
    failures: dict[str, int] = dataclasses.field(default_factory=dict)
    blocked_until: dict[str, float] = dataclasses.field(default_factory=dict)
    fetching: set[str] = dataclasses.field(default_factory=set)
    next_fetch_at: float = 0.0
    tried_addresses: set[str] = dataclasses.field(default_factory=set)
    grace_ends_at: float = 0.0

    @property
    def current_versions(self) -> configuration.VersionState:
        """Where texts are offered: the draft until settled."""
        return self.versions if self.settled else self.startup_versions


def create_state(
    vm: str,
    versions: configuration.VersionState,
    directory: membership.Directory,
    fixed_peers: tuple[str, ...] = (),
    seed: int = 0,
) -> ReplicaState:
    """Creates the replica of a process that has just started.

    Args:
        vm: This VM's name.
        versions: The process's configuration, changed once it is settled.
        directory: The process's VMs, changed with each newer list.
        fixed_peers: Data addresses to ask before any list is known.
        seed: Seed of jitter and choice.

    Returns:
        The state.
    """
    source = random.Random(seed)
    return ReplicaState(vm, versions, directory, fixed_peers, source)


def list_documents(
    state: ReplicaState,
) -> dict[Kind, configuration.Document]:
    """Lists the documents that this process holds, by kind."""
    held = {
        Kind.TEXT: state.current_versions.document,
        Kind.REFUSED: state.current_versions.refused,
        Kind.VMS: state.directory.document,
    }
    return {kind: held[kind] for kind in held if held[kind] is not None}


def apply_published_text(
    state: ReplicaState, revision: int, text: str
) -> list[Event]:
    """Takes the operators' text as the platform published it.

    Args:
        state: The replica; changed.
        revision: Its revision.
        text: The text.

    Returns:
        What changed.
    """
    record_published_revision(state, Kind.TEXT, revision)
    if revision < 1:
        return []
    document = configuration.create_document(revision, text)
    return apply_document(state, Kind.TEXT, document)


def apply_published_list(
    state: ReplicaState, vms: membership.VmList
) -> list[Event]:
    """Takes the list of VMs as the platform published it.

    Args:
        state: The replica; changed.
        vms: The list.

    Returns:
        What changed.
    """
    record_published_revision(state, Kind.VMS, vms.revision)
    return _replace_list(state, vms) if vms.revision >= 1 else []


def record_published_revision(
    state: ReplicaState, kind: Kind, revision: int
) -> None:
    """Notes the platform's revision of a value.

    Guards against a platform that was rebuilt and counts from a low number:
    nothing it publishes would ever be taken, and nobody would know why. Such
    a platform is not followed, but shown in the status until it has caught
    up.

    Args:
        state: The replica; changed.
        kind: Which value.
        revision: The platform's revision of it.
    """
    state.published_revisions[kind] = revision
    if revision < get_known_revision(state, kind):
        state.lagging_revisions[kind] = revision
    else:
        state.lagging_revisions.pop(kind, None)


def get_known_revision(state: ReplicaState, kind: Kind) -> int:
    """Finds the newest revision of a kind that this process has judged."""
    if kind is Kind.TEXT:
        return state.current_versions.revision
    return state.directory.revision


def apply_document(
    state: ReplicaState, kind: Kind, document: configuration.Document
) -> list[Event]:
    """Takes a document if it is newer, whoever it comes from.

    Args:
        state: The replica; changed.
        kind: What the document is.
        document: The document.

    Returns:
        What changed.
    """
    if kind is not Kind.VMS:
        return _offer_text(state, document)
    vms = membership.parse_vm_list_document(document)
    return [] if vms is None else _replace_list(state, vms)


def detect_conflict(
    state: ReplicaState, heads: tuple[configuration.DocumentHead, ...]
) -> list[Event]:
    """Notes that a peer holds another text under the revision in force.

    Args:
        state: The replica; changed.
        heads: What the peer holds.

    Returns:
        The conflict, if it is new.
    """
    versions = state.current_versions
    before = versions.conflict
    for head in heads:
        if head.kind in (Kind.TEXT, Kind.RIVAL):
            configuration.record_rival(versions, head.revision, head.digest)
    if versions.conflict in ("", before):
        return []
    return [Event(EventKind.TEXT_CONFLICT, versions.conflict)]


def list_heads(state: ReplicaState) -> tuple[configuration.DocumentHead, ...]:
    """Lists the heads of all documents held, and that of a losing text."""
    heads = [
        configuration.DocumentHead(kind, document.revision, document.digest)
        for kind, document in list_documents(state).items()
    ]
    versions = state.current_versions
    if versions.rival:
        heads.append(
            configuration.DocumentHead(
                Kind.RIVAL, versions.in_force, versions.rival
            )
        )
    return tuple(heads)


def _replace_list(state: ReplicaState, vms: membership.VmList) -> list[Event]:
    if not membership.apply_vm_list(state.directory, vms):
        return []
    return [Event(EventKind.LIST_REPLACED, f"revision {vms.revision}")]


def _offer_text(
    state: ReplicaState, document: configuration.Document
) -> list[Event]:
    versions = state.current_versions
    conflict, refusal = versions.conflict, versions.refusal
    adoption = configuration.submit_document(versions, document)
    events: list[Event] = []
    if adoption is configuration.SubmitOutcome.ADOPTED and state.settled:
        detail = f"revision {document.revision}"
        events.append(Event(EventKind.TEXT_ADOPTED, detail))
    if versions.refusal and versions.refusal != refusal:
        detail = f"revision {document.revision}: {versions.refusal}"
        events.append(Event(EventKind.TEXT_REFUSED, detail))
    if versions.conflict and versions.conflict != conflict:
        events.append(Event(EventKind.TEXT_CONFLICT, versions.conflict))
    return events


def describe_alarms(state: ReplicaState) -> tuple[str, ...]:
    """Describes what operators have to mend at the platform."""
    return tuple(
        f"the platform shows {kind.value} revision {revision}, lower than the "
        "one in use: it is ignored until it is higher"
        for kind, revision in state.lagging_revisions.items()
    )
