"""The VMs of the fleet: the platform's lagging list joined with heartbeats."""

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
"""Seconds without a message after which a peer gets nothing new."""

FORGET_AFTER = 30.0
"""Seconds without a message after which what a peer said no longer counts."""


class VmRole(enum.Enum):
    """Which program of the system runs on a VM."""

    ROUTER = "router"
    UPSTREAM = "upstream"


class VmState(enum.Enum):
    """The operators' mark on a VM."""

    LIVE = "live"
    LEAVING = "leaving"


class VmEntry(msgspec.Struct, frozen=True):
    """A VM in the platform's list.

    Attributes:
        name: The VM.
        role: Entry VM with a router, or upstream VM with a sidecar.
        failure_domain: The failure domain it stands in.
        control: `IP:port` of its control messages.
        data: `IP:port` of its HTTP server.
        service: The upstream's service; empty for routers.
        state: The operators' mark.
    """

    name: str
    role: VmRole
    failure_domain: str
    control: str
    data: str
    service: str = ""
    state: VmState = VmState.LIVE


class VmList(msgspec.Struct, frozen=True):
    """The platform's list of VMs at a revision."""

    revision: int
    vms: tuple[VmEntry, ...]


@dataclasses.dataclass(slots=True)
class Peer:
    """What this process has heard from another.

    Attributes:
        incarnation: The peer's process: the newest heard from.
        heard_at: When that message came, by this process's clock.
        stopping: Whether the peer said that it takes nothing new.
    """

    incarnation: int
    heard_at: float
    stopping: bool = False


@dataclasses.dataclass(slots=True)
class Directory:
    """VMs of the fleet as this process sees them.

    Attributes:
        document: The list in use.
        vms: Listed VMs by name, and departed ones that still talk.
        departed: Names of VMs that the list no longer has.
        peers: Processes heard from, by VM name.
        by_service: Entries of `indexed` by service.
        indexed: The VMs that were last sorted by service; outdated once it
            is no longer the same dictionary as `vms`.
        older_seen: Lists of a lower revision, ignored.
        outdated: Messages of replaced processes, ignored.
    """

    document: documents.Document | None = None
    vms: dict[str, VmEntry] = dataclasses.field(default_factory=dict)
    departed: set[str] = dataclasses.field(default_factory=set)
    peers: dict[str, Peer] = dataclasses.field(default_factory=dict)
    by_service: dict[str, list[VmEntry]] = dataclasses.field(
        default_factory=dict
    )
    indexed: dict[str, VmEntry] | None = None
    older_seen: int = 0
    outdated: int = 0

    @property
    def revision(self) -> int:
        """Revision of the list in use; 0 if there is none."""
        return self.document.revision if self.document else 0


def create_vm_list_document(vms: VmList) -> documents.Document:
    """Writes a list as a document, one VM a line, for passing it on."""
    lines = (msgspec.json.encode(vm).decode("utf-8") for vm in vms.vms)
    text = "".join(f"{line}\n" for line in lines)
    return documents.create_document(vms.revision, text)


def parse_vm_list_document(document: documents.Document) -> VmList | None:
    """Reads a list from its document; None if it is not a list of VMs."""
    try:
        vms = tuple(
            msgspec.json.decode(line, type=VmEntry)
            for line in document.text.splitlines()
        )
    except msgspec.DecodeError:
        return None
    return VmList(document.revision, vms)


def apply_vm_list(directory: Directory, vms: VmList) -> bool:
    """Takes a newer list of VMs into use.

    Guards against a platform that was restored from an old copy: its list
    would make VMs that are leaving live again. Only a higher revision is
    taken; of two lists under one revision, each process takes the same one.

    A VM that the list drops while its process still talks is kept as leaving
    until it falls silent: requests may be in progress there, and their
    outcome could not be asked for any more.

    Args:
        directory: This process's view; changed.
        vms: The platform's list.

    Returns:
        Whether it was newer.
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
    """Drops departed VMs whose processes have fallen silent.

    Args:
        directory: This process's view; changed.
        now: This process's time, in seconds.

    Returns:
        Whether any was dropped.
    """
    silent = {
        name
        for name in directory.departed
        if now - directory.peers[name].heard_at > FORGET_AFTER
    }
    if not silent:
        return False
    # A new map, as for a new list: links are computed once for each.
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
    """Tells whether a message is from a process that was replaced.

    Guards against a message that comes late: taken for the VM's state, one
    of the old process would hide the new one, which then looks restarted
    once more. Later processes have higher numbers, so a lower one is late.

    The numbers come from the VM's clock, which may be set back before a
    restart; a lower number is therefore believed once the higher one has
    been silent for `FORGET_AFTER`, longer than any link holds a message.

    Args:
        directory: This process's view; the count of such messages may rise.
        now: This process's time, in seconds.
        name: The sender's VM.
        incarnation: The sending process.

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
    """Records a message of a peer, unless a newer process sent one.

    Args:
        directory: This process's view; changed.
        now: This process's time, in seconds.
        name: The peer's VM.
        incarnation: The peer's process.
        stopping: Whether the peer says that it takes nothing new; None if
            the message doesn't say.

    Returns:
        Whether the peer is a new process, or was out of reach until now.
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
    """Lists upstream VMs of a service that may get new work.

    Args:
        directory: This process's view.
        now: This process's time, in seconds.
        service: The service.

    Returns:
        VMs that are listed as live, heard from lately and not stopping.
    """
    listed = _list_service(directory, service)
    return [vm for vm in listed if _is_usable(directory, now, vm)]


def _list_service(directory: Directory, service: str) -> list[VmEntry]:
    """Lists all upstream VMs of a service.

    Guards the routers' loop: with 1,280 VMs a look at each of them, several
    times a request, took longer than all other decisions on the request.
    """
    if directory.indexed is not directory.vms:
        directory.indexed = directory.vms
        directory.by_service = {}
        for vm in directory.vms.values():
            directory.by_service.setdefault(vm.service, []).append(vm)
    return directory.by_service.get(service, []) if service else []


def is_usable_upstream(
    directory: Directory, now: float, name: str, service: str
) -> bool:
    """Tells whether a VM is an upstream of a service and may get new work."""
    vm = directory.vms.get(name)
    known = vm is not None and vm.service == service
    return known and _is_usable(directory, now, vm)


def has_usable_upstream(directory: Directory, now: float, service: str) -> bool:
    """Tells whether a service has an upstream that may get new work."""
    listed = _list_service(directory, service)
    return any(_is_usable(directory, now, vm) for vm in listed)


def list_router_vms(directory: Directory) -> list[VmEntry]:
    """Lists all router VMs; a leaving router still has work to hand out."""
    return [vm for vm in directory.vms.values() if vm.role is VmRole.ROUTER]
