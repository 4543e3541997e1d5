"""A process's replica of the documents that the platform publishes; no I/O."""

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
    """Type of a change of the replica.

    TEXT_ADOPTED: another configuration came into force.
    TEXT_REFUSED: a configuration text failed validation.
    TEXT_CONFLICT: two texts have the same revision.
    LIST_REPLACED: another VM list came into use.
    PLATFORM_OLDER: at the start, the platform published a lower revision than
        peers held.
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
"""Kinds of events that are logged as warnings, for operators to look into."""


@dataclasses.dataclass(slots=True, frozen=True)
class Event:
    """A change of the replica, which the caller logs and acts on.

    Attributes:
        kind: Type of the change.
        detail: Description of the change for the log.
    """

    kind: EventKind
    detail: str


@dataclasses.dataclass(slots=True, frozen=True)
class PeerView:
    """Documents that a peer holds, as its last control messages said.

    Attributes:
        text_revision: Revision of the configuration text in force at the
            peer.
        vms_revision: Revision of the VM list in use at the peer.
        fingerprint: Checksum of the heads of all the peer's documents; 0 if
            the peer isn't settled.
    """

    text_revision: int = 0
    vms_revision: int = 0
    fingerprint: int = 0


@dataclasses.dataclass(slots=True)
class ReplicaState:
    """Documents of this process, and what it knows about its peers' documents.

    Addresses are data addresses, `IP:port`.

    Attributes:
        vm: Name of this process's VM.
        versions: Configuration texts of the process; empty until settled.
        directory: VMs of the fleet.
        startup_versions: Configuration texts received until the process is
            settled.
        fixed_peers: Addresses of peers to fetch from before a VM list is
            known.
        rng: Random number generator of jitter and random choices.
        settled: Whether enough peers and the platform have answered since the
            start, so that the process may serve.
        published_revisions: Revision in the platform's last response, by
            kind.
        lagging_revisions: The platform's revision, by kind, where it is lower
            than the revision that this process knows.
        peer_views: Last announced documents of the peers, by VM name.
        fetched_views: View of a peer at the last fetch from it, by VM name.
        peers_ahead: VM names of peers that may hold newer documents.
        settled_by_address: Whether a peer was settled when it last answered,
            by address.
        failures: Consecutive failed fetches, by address.
        blocked_until: Time before which nothing is fetched from a peer, by
            address.
        fetching: Addresses with a fetch in progress.
        next_fetch_at: Time at which the next fetch is due.
        tried_addresses: Addresses from which a fetch was tried until the
            process was settled.
        grace_ends_at: Time after which a process in a starting fleet settles
            with fewer answers; 0 until a first peer has answered.
    """

    vm: str
    versions: configuration.VersionState
    directory: membership.Directory
    fixed_peers: tuple[str, ...] = ()
    rng: random.Random = dataclasses.field(
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
        """The startup versions until settled, then the regular ones.

        New configuration texts are submitted to these.
        """
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
        vm: Name of this process's VM.
        versions: The process's configuration texts; the replica changes them
            once it is settled.
        directory: VMs of the fleet; the replica applies newer VM lists to it.
        fixed_peers: Data addresses of peers to fetch from before a VM list is
            known.
        seed: Seed of jitter and random choices.

    Returns:
        The state.
    """
    generator = random.Random(seed)
    return ReplicaState(vm, versions, directory, fixed_peers, generator)


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
    """Applies a configuration text that the platform published.

    Args:
        state: The replica; changed.
        revision: Revision of the text.
        text: The text.

    Returns:
        The changes.
    """
    record_published_revision(state, Kind.TEXT, revision)
    if revision < 1:
        return []
    document = configuration.create_document(revision, text)
    return apply_document(state, Kind.TEXT, document)


def apply_published_list(
    state: ReplicaState, vms: membership.VmList
) -> list[Event]:
    """Applies a VM list that the platform published.

    Args:
        state: The replica; changed.
        vms: The list.

    Returns:
        The changes.
    """
    record_published_revision(state, Kind.VMS, vms.revision)
    return _apply_vm_list(state, vms) if vms.revision >= 1 else []


def record_published_revision(
    state: ReplicaState, kind: Kind, revision: int
) -> None:
    """Records the revision of a document that the platform publishes.

    A platform that was rebuilt counts revisions from a low number again.
    Nothing that it publishes is adopted until its revisions have caught up.
    The status shows this as an alarm, so that operators know why their
    changes have no effect.

    Args:
        state: The replica; changed.
        kind: Kind of the document.
        revision: Revision that the platform publishes.
    """
    state.published_revisions[kind] = revision
    if revision < get_known_revision(state, kind):
        state.lagging_revisions[kind] = revision
    else:
        state.lagging_revisions.pop(kind, None)


def get_known_revision(state: ReplicaState, kind: Kind) -> int:
    """Returns the highest known revision of a kind of document.

    A configuration text counts as known once it was validated, also if it was
    refused.
    """
    if kind is Kind.TEXT:
        return state.current_versions.revision
    return state.directory.revision


def apply_document(
    state: ReplicaState, kind: Kind, document: configuration.Document
) -> list[Event]:
    """Applies a document if it is newer, from the platform or from a peer.

    Args:
        state: The replica; changed.
        kind: Kind of the document.
        document: The document.

    Returns:
        The changes.
    """
    if kind is not Kind.VMS:
        return _submit_text(state, document)
    vms = membership.parse_vm_list_document(document)
    return [] if vms is None else _apply_vm_list(state, vms)


def detect_conflict(
    state: ReplicaState, heads: tuple[configuration.DocumentHead, ...]
) -> list[Event]:
    """Detects that a peer holds another text with the revision in force.

    Args:
        state: The replica; changed.
        heads: Heads of the documents that the peer holds.

    Returns:
        An event that describes the conflict, if it is new.
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
    """Lists the heads of the documents that this process holds.

    The head of a conflicting text that isn't in force (`Kind.RIVAL`) is
    included, so that the peers learn of the conflict.
    """
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


def _apply_vm_list(state: ReplicaState, vms: membership.VmList) -> list[Event]:
    if not membership.apply_vm_list(state.directory, vms):
        return []
    return [Event(EventKind.LIST_REPLACED, f"revision {vms.revision}")]


def _submit_text(
    state: ReplicaState, document: configuration.Document
) -> list[Event]:
    versions = state.current_versions
    conflict, refusal = versions.conflict, versions.refusal
    outcome = configuration.submit_document(versions, document)
    events: list[Event] = []
    if outcome is configuration.SubmitOutcome.ADOPTED and state.settled:
        detail = f"revision {document.revision}"
        events.append(Event(EventKind.TEXT_ADOPTED, detail))
    if versions.refusal and versions.refusal != refusal:
        detail = f"revision {document.revision}: {versions.refusal}"
        events.append(Event(EventKind.TEXT_REFUSED, detail))
    if versions.conflict and versions.conflict != conflict:
        events.append(Event(EventKind.TEXT_CONFLICT, versions.conflict))
    return events


def describe_alarms(state: ReplicaState) -> tuple[str, ...]:
    """Describes problems of the platform that operators have to fix."""
    return tuple(
        f"the platform shows {kind.value} revision {revision}, lower than "
        "the one in use: it is ignored until it is higher"
        for kind, revision in state.lagging_revisions.items()
    )
