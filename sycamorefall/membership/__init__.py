"""Which VMs there are and which of them may get new work."""

__all__ = [
    "SUSPECT_AFTER",
    "Directory",
    "Links",
    "Peer",
    "VmEntry",
    "VmList",
    "VmRole",
    "VmState",
    "list_routers",
    "list_siblings",
    "list_sidecars",
    "list_unlinked",
    "note_heartbeat",
    "replace_list",
    "select_routers",
    "select_upstreams",
]

from sycamorefall.membership.directory import (
    SUSPECT_AFTER,
    Directory,
    Peer,
    VmEntry,
    VmList,
    VmRole,
    VmState,
    note_heartbeat,
    replace_list,
    select_routers,
    select_upstreams,
)
from sycamorefall.membership.links import (
    Links,
    list_routers,
    list_siblings,
    list_sidecars,
    list_unlinked,
)
