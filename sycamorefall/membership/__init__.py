"""Which VMs there are and which of them may get new work."""

__all__ = [
    "FORGET_AFTER",
    "SUSPECT_AFTER",
    "Directory",
    "Peer",
    "VmEntry",
    "VmList",
    "VmRole",
    "VmState",
    "create_list_document",
    "forget_departed",
    "is_outdated",
    "note_heartbeat",
    "read_list_document",
    "replace_list",
    "select_routers",
    "select_upstreams",
]

from sycamorefall.membership.directory import (
    FORGET_AFTER,
    SUSPECT_AFTER,
    Directory,
    Peer,
    VmEntry,
    VmList,
    VmRole,
    VmState,
    create_list_document,
    forget_departed,
    is_outdated,
    note_heartbeat,
    read_list_document,
    replace_list,
    select_routers,
    select_upstreams,
)
