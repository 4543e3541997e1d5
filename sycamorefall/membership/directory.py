"""The VMs of the fleet: the platform's lagging list joined with heartbeats."""

__all__ = [
    "SUSPECT_AFTER",
    "Directory",
    "Peer",
    "VmEntry",
    "VmList",
    "VmRole",
    "VmState",
    "note_heartbeat",
    "replace_list",
    "select_routers",
    "select_upstreams",
]

import dataclasses
import enum

import msgspec

SUSPECT_AFTER = 3.0
"""Seconds without a message after which a peer gets nothing new."""


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
        incarnation: The peer's process, by its last message.
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
        revision: Revision of the list in use.
        vms: Listed VMs by name.
        peers: Processes heard from, by VM name.
    """

    revision: int = 0
    vms: dict[str, VmEntry] = dataclasses.field(default_factory=dict)
    peers: dict[str, Peer] = dataclasses.field(default_factory=dict)


def replace_list(directory: Directory, vms: VmList) -> bool:
    """Takes a newer list of VMs into use.

    Args:
        directory: This process's view; changed.
        vms: The platform's list.

    Returns:
        Whether it was newer.
    """
    if vms.revision <= directory.revision:
        return False
    directory.revision = vms.revision
    directory.vms = {vm.name: vm for vm in vms.vms}
    directory.peers = {
        name: peer
        for name, peer in directory.peers.items()
        if name in directory.vms
    }
    return True


def note_heartbeat(
    directory: Directory,
    now: float,
    name: str,
    incarnation: int,
    stopping: bool,
) -> bool:
    """Records a message of a peer.

    Args:
        directory: This process's view; changed.
        now: This process's time, in seconds.
        name: The peer's VM.
        incarnation: The peer's process.
        stopping: Whether the peer says that it takes nothing new.

    Returns:
        Whether the peer is a new process, or was out of reach until now.
    """
    known = directory.peers.get(name)
    directory.peers[name] = Peer(incarnation, now, stopping)
    if known is None or known.incarnation != incarnation:
        return True
    return now - known.heard_at > SUSPECT_AFTER


def _is_usable(directory: Directory, now: float, vm: VmEntry) -> bool:
    if vm.state is VmState.LEAVING:
        return False
    peer = directory.peers.get(vm.name)
    if peer is None or peer.stopping:
        return False
    return now - peer.heard_at <= SUSPECT_AFTER


def select_upstreams(
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
    return [
        vm
        for vm in directory.vms.values()
        if vm.service == service and _is_usable(directory, now, vm)
    ]


def select_routers(directory: Directory) -> list[VmEntry]:
    """Lists all router VMs; a leaving router still has work to hand out."""
    return [vm for vm in directory.vms.values() if vm.role is VmRole.ROUTER]
