"""A process's replica of what the platform publishes; no I/O."""

__all__ = [
    "WARNINGS",
    "Event",
    "EventKind",
    "PeerView",
    "ReplicaState",
    "create_state",
    "describe_alarms",
    "find_known",
    "list_documents",
    "list_heads",
    "note_heads",
    "take_document",
    "take_published_list",
    "take_published_text",
    "take_unchanged",
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
        draft: Texts read before the process is settled.
        fixed_peers: Data addresses to ask before any list is known.
        jitter: Source of jitter and choice.
        settled: Whether peers and platform were asked since the start.
        published: The platform's last answered revision by kind.
        lagging: The platform's revision by kind, where it is lower than ours.
        views: What peers said, by VM name.
        asked: What a peer had said when it was last asked, by VM name.
        ahead: Peers that may have something newer.
        answers: Whether a peer was settled when it answered, by address.
        failures: Failed fetches in a row, by address.
        blocked: When an address may be asked again.
        fetching: Addresses that are being asked.
        next_fetch: When the next fetch is due.
        tried: Addresses tried since the start, until settled.
        settle_by: When a starting fleet need not wait for more answers.
    """

    vm: str
    versions: configuration.VersionState
    directory: membership.Directory
    fixed_peers: tuple[str, ...] = ()
    jitter: random.Random = dataclasses.field(
        default_factory=lambda: random.Random(0)
    )
    draft: configuration.VersionState = dataclasses.field(
        default_factory=configuration.VersionState
    )
    settled: bool = False
    published: dict[Kind, int] = dataclasses.field(default_factory=dict)
    lagging: dict[Kind, int] = dataclasses.field(default_factory=dict)
    views: dict[str, PeerView] = dataclasses.field(default_factory=dict)
    asked: dict[str, PeerView] = dataclasses.field(default_factory=dict)
    ahead: set[str] = dataclasses.field(default_factory=set)
    answers: dict[str, bool] = dataclasses.field(default_factory=dict)
    failures: dict[str, int] = dataclasses.field(default_factory=dict)
    blocked: dict[str, float] = dataclasses.field(default_factory=dict)
    fetching: set[str] = dataclasses.field(default_factory=set)
    next_fetch: float = 0.0
    tried: set[str] = dataclasses.field(default_factory=set)
    settle_by: float = 0.0

    @property
    def judged(self) -> configuration.VersionState:
        """Where texts are offered: the draft until settled."""
        return self.versions if self.settled else self.draft


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
        Kind.TEXT: state.judged.document,
        Kind.REFUSED: state.judged.refused,
        Kind.VMS: state.directory.document,
    }
    return {kind: held[kind] for kind in held if held[kind] is not None}


def take_published_text(
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
    take_unchanged(state, Kind.TEXT, revision)
    if revision < 1:
        return []
    document = configuration.create_document(revision, text)
    return take_document(state, Kind.TEXT, document)


def take_published_list(
    state: ReplicaState, vms: membership.VmList
) -> list[Event]:
    """Takes the list of VMs as the platform published it.

    Args:
        state: The replica; changed.
        vms: The list.

    Returns:
        What changed.
    """
    take_unchanged(state, Kind.VMS, vms.revision)
    return _replace_list(state, vms) if vms.revision >= 1 else []


def take_unchanged(state: ReplicaState, kind: Kind, revision: int) -> None:
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
    state.published[kind] = revision
    if revision < find_known(state, kind):
        state.lagging[kind] = revision
    else:
        state.lagging.pop(kind, None)


def find_known(state: ReplicaState, kind: Kind) -> int:
    """Finds the newest revision of a kind that this process has judged."""
    if kind is Kind.TEXT:
        return state.judged.revision
    return state.directory.revision


def take_document(
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
    vms = membership.read_list_document(document)
    return [] if vms is None else _replace_list(state, vms)


def note_heads(
    state: ReplicaState, heads: tuple[configuration.DocumentHead, ...]
) -> list[Event]:
    """Notes that a peer holds another text under the revision in force.

    Args:
        state: The replica; changed.
        heads: What the peer holds.

    Returns:
        The conflict, if it is new.
    """
    versions = state.judged
    before = versions.conflict
    for head in heads:
        if head.kind in (Kind.TEXT, Kind.RIVAL):
            configuration.note_rival(versions, head.revision, head.digest)
    if versions.conflict in ("", before):
        return []
    return [Event(EventKind.TEXT_CONFLICT, versions.conflict)]


def list_heads(state: ReplicaState) -> tuple[configuration.DocumentHead, ...]:
    """Lists the heads of all documents held, and that of a losing text."""
    heads = [
        configuration.DocumentHead(kind, document.revision, document.digest)
        for kind, document in list_documents(state).items()
    ]
    versions = state.judged
    if versions.rival:
        heads.append(
            configuration.DocumentHead(
                Kind.RIVAL, versions.in_force, versions.rival
            )
        )
    return tuple(heads)


def _replace_list(state: ReplicaState, vms: membership.VmList) -> list[Event]:
    if not membership.replace_list(state.directory, vms):
        return []
    return [Event(EventKind.LIST_REPLACED, f"revision {vms.revision}")]


def _offer_text(
    state: ReplicaState, document: configuration.Document
) -> list[Event]:
    versions = state.judged
    conflict, refusal = versions.conflict, versions.refusal
    adoption = configuration.offer_document(versions, document)
    events: list[Event] = []
    if adoption is configuration.Adoption.ADOPTED and state.settled:
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
        for kind, revision in state.lagging.items()
    )
