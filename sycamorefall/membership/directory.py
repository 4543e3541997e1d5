"""Directory of the fleet's VMs: the platform's list and messages of peers.

The platform's list of VMs lags behind the fleet. A VM therefore gets new
requests only if it is listed and its process was heard from recently.
"""

__all__ = [
    "FORGET_AFTER",
    "SUSPECT_AFTER",
    "Directory",
    "Peer",
    "VmEntry",
    "VmList",
    "VmRole",
    "VmState",
    "apply_vm_list",
    "create_vm_list_document",
    "drop_departed",
    "has_usable_upstream",
    "is_outdated",
    "is_usable_upstream",
    "list_router_vms",
    "list_usable_upstreams",
    "parse_vm_list_document",
    "record_peer_message",
]

import dataclasses
import enum

import msgspec

from sycamorefall.configuration import documents

SUSPECT_AFTER = 3.0
"""Seconds without a message after which a peer gets no new requests."""

FORGET_AFTER = 30.0
"""Seconds without a message after which the state of a peer's process no longer
counts: a lower incarnation is accepted, and a departed VM is dropped."""


class VmRole(enum.Enum):
    """Program that runs on a VM.

    ROUTER: a router.
    UPSTREAM: an upstream and its sidecar.
    """

    ROUTER = "router"
    UPSTREAM = "upstream"


class VmState(enum.Enum):
    """State of a VM as set by the operators.

    LIVE: it may get new requests.
    LEAVING: it gets no new requests, because it will be removed.
    """

    LIVE = "live"
    LEAVING = "leaving"


class VmEntry(msgspec.Struct, frozen=True):
    """A VM in the platform's list.

    Attributes:
        name: Name of the VM.
        role: Whether it runs a router, or an upstream with a sidecar.
        failure_domain: Failure domain of the VM.
        control: `IP:port` at which its process receives control messages.
        data: `IP:port` of its process's HTTP server.
        service: Service of the upstream; empty for routers.
        state: State as set by the operators.
    """

    name: str
    role: VmRole
    failure_domain: str
    control: str
    data: str
    service: str = ""
    state: VmState = VmState.LIVE


class VmList(msgspec.Struct, frozen=True):
    """The platform's list of VMs at a revision.

    Attributes:
        revision: Revision of the list on the platform.
        vms: The VMs.
    """

    revision: int
    vms: tuple[VmEntry, ...]


@dataclasses.dataclass(slots=True)
class Peer:
    """State of another VM's process, from its messages.

    Attributes:
        incarnation: Incarnation of the latest process heard from.
        heard_at: When its last message arrived, by this process's clock.
        stopping: Whether it reported that it accepts no new requests.
    """

    incarnation: int
    heard_at: float
    stopping: bool = False


@dataclasses.dataclass(slots=True)
class Directory:
    """VMs of the fleet as known to this process.

    Attributes:
        document: The VM list in use, as a document.
        vms: Entries by VM name, of listed VMs and of departed ones.
        departed: Names of VMs that were removed from the list while their
            processes still sent messages.
        peers: Processes heard from, by VM name.
        by_service: Index of `indexed_vms`: entries by service.
        indexed_vms: Value of `vms` for which `by_service` was computed. The
            index is out of date once `vms` is another dictionary.
        older_seen: Number of ignored lists with a lower revision.
        outdated: Number of ignored messages of replaced processes.
    """

    document: documents.Document | None = None
    vms: dict[str, VmEntry] = dataclasses.field(default_factory=dict)
    departed: set[str] = dataclasses.field(default_factory=set)
    peers: dict[str, Peer] = dataclasses.field(default_factory=dict)
    by_service: dict[str, list[VmEntry]] = dataclasses.field(
        default_factory=dict
    )
    indexed_vms: dict[str, VmEntry] | None = None
    older_seen: int = 0
    outdated: int = 0

    @property
    def revision(self) -> int:
        """Revision of the list in use; 0 if there is none."""
        return self.document.revision if self.document else 0


def create_vm_list_document(vms: VmList) -> documents.Document:
    """Encodes a VM list as a document: one line of JSON for each VM."""
    lines = (msgspec.json.encode(vm).decode("utf-8") for vm in vms.vms)
    text = "".join(f"{line}\n" for line in lines)
    return documents.create_document(vms.revision, text)


def parse_vm_list_document(document: documents.Document) -> VmList | None:
    """Decodes a VM list from a document; None if the text is not a VM list."""
    try:
        vms = tuple(
            msgspec.json.decode(line, type=VmEntry)
            for line in document.text.splitlines()
        )
    except msgspec.DecodeError:
        return None
    return VmList(document.revision, vms)


def apply_vm_list(directory: Directory, vms: VmList) -> bool:
    """Replaces the VM list in use by a newer one.

    Only a list with a higher revision is applied. Otherwise the old list of a
    platform that was restored from a backup would change leaving VMs back to
    live. Of two lists with the same revision, all processes choose the one with
    the higher document key, so they end up with the same list.

    A VM that the new list lacks is kept, as leaving, while its process sends
    messages. Requests may be in progress there, and without the entry their
    outcomes could no longer be queried.

    Args:
        directory: This process's directory; changed.
        vms: The platform's list.

    Returns:
        Whether the list was newer and was applied.
    """
    if vms.revision < directory.revision:
        directory.older_seen += 1
        return False
    document = create_vm_list_document(vms)
    if directory.document and document.key <= directory.document.key:
        return False
    directory.document = document
    listed = {vm.name: vm for vm in vms.vms}
    dropped = directory.vms.keys() - listed.keys()
    directory.departed = {name for name in dropped if name in directory.peers}
    kept = {
        name: msgspec.structs.replace(
            directory.vms[name], state=VmState.LEAVING
        )
        for name in directory.departed
    }
    directory.vms = listed | kept
    directory.peers = {
        name: peer
        for name, peer in directory.peers.items()
        if name in directory.vms
    }
    return True


def drop_departed(directory: Directory, now: float) -> bool:
    """Drops departed VMs not heard from for `FORGET_AFTER` seconds.

    Args:
        directory: This process's directory; changed.
        now: This process's time, in seconds.

    Returns:
        Whether any VM was dropped.
    """
    silent = {
        name
        for name in directory.departed
        if now - directory.peers[name].heard_at > FORGET_AFTER
    }
    if not silent:
        return False
    # Creates a new dictionary, because links and the service index are computed
    # again only if the dictionary is another object.
    directory.vms = {
        name: vm for name, vm in directory.vms.items() if name not in silent
    }
    for name in silent:
        del directory.peers[name]
    directory.departed -= silent
    return True


def is_outdated(
    directory: Directory, now: float, name: str, incarnation: int
) -> bool:
    """Returns whether a message is from a process that has been replaced.

    A late message of an old process must not replace the state of the new
    process; the new one would then seem to have restarted again. Later
    processes have higher incarnations, so a message with a lower one is late.

    Incarnations are derived from the VM's clock, which may be set back before a
    restart. A lower incarnation is therefore accepted once the higher one has
    not been heard from for `FORGET_AFTER`, which is longer than any link delays
    a message.

    Args:
        directory: This process's directory; counts outdated messages.
        now: This process's time, in seconds.
        name: VM name of the sender.
        incarnation: Incarnation of the sending process.

    Returns:
        Whether the message is to be ignored.
    """
    known = directory.peers.get(name)
    if known is None or incarnation >= known.incarnation:
        return False
    if now - known.heard_at > FORGET_AFTER:
        return False
    directory.outdated += 1
    return True


def record_peer_message(
    directory: Directory,
    now: float,
    name: str,
    incarnation: int,
    stopping: bool | None,
) -> bool:
    """Records the arrival of a peer's message, unless it is outdated.

    Args:
        directory: This process's directory; changed.
        now: This process's time, in seconds.
        name: VM name of the peer.
        incarnation: Incarnation of the peer's process.
        stopping: Whether the peer accepts no new requests; None if the message
            doesn't state it.

    Returns:
        Whether the peer is a new process, or was silent for longer than
        `SUSPECT_AFTER` before the message.
    """
    if is_outdated(directory, now, name, incarnation):
        return False
    known = directory.peers.get(name)
    same = known is not None and known.incarnation == incarnation
    if stopping is None:
        stopping = same and known.stopping
    directory.peers[name] = Peer(incarnation, now, stopping)
    return not same or now - known.heard_at > SUSPECT_AFTER


def _is_usable(directory: Directory, now: float, vm: VmEntry) -> bool:
    if vm.state is VmState.LEAVING:
        return False
    peer = directory.peers.get(vm.name)
    if peer is None or peer.stopping:
        return False
    return now - peer.heard_at <= SUSPECT_AFTER


def list_usable_upstreams(
    directory: Directory, now: float, service: str
) -> list[VmEntry]:
    """Lists the upstream VMs of a service that may get new requests.

    Args:
        directory: This process's directory.
        now: This process's time, in seconds.
        service: Name of the service.

    Returns:
        VMs that are live, not stopping, and heard from within `SUSPECT_AFTER`.
    """
    listed = _list_service_vms(directory, service)
    return [vm for vm in listed if _is_usable(directory, now, vm)]


def _list_service_vms(directory: Directory, service: str) -> list[VmEntry]:
    """Lists all upstream VMs of a service, from the index.

    With 1,280 VMs, iterating over all of them several times per request took
    longer than all other decisions on the request.
    """
    if directory.indexed_vms is not directory.vms:
        directory.indexed_vms = directory.vms
        directory.by_service = {}
        for vm in directory.vms.values():
            directory.by_service.setdefault(vm.service, []).append(vm)
    return directory.by_service.get(service, []) if service else []


def is_usable_upstream(
    directory: Directory, now: float, name: str, service: str
) -> bool:
    """Returns whether a VM is an upstream of a service and usable."""
    vm = directory.vms.get(name)
    known = vm is not None and vm.service == service
    return known and _is_usable(directory, now, vm)


def has_usable_upstream(directory: Directory, now: float, service: str) -> bool:
    """Returns whether any upstream of a service may get new requests."""
    listed = _list_service_vms(directory, service)
    return any(_is_usable(directory, now, vm) for vm in listed)


def list_router_vms(directory: Directory) -> list[VmEntry]:
    """Lists all router VMs, also leaving ones, which still have requests."""
    return [vm for vm in directory.vms.values() if vm.role is VmRole.ROUTER]
