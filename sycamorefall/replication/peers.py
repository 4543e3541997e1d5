"""Decides when to fetch newer documents, and from which peer; no I/O."""

__all__ = [
    "add_replica_info",
    "compute_fingerprint",
    "find_next_due",
    "record_envelope",
    "record_failure",
    "record_success",
    "start_due_fetches",
]

import dataclasses
import zlib

import msgspec

from sycamorefall import membership, messages
from sycamorefall.replication import replica

FETCH_JITTER = 0.3
"""Seconds over which the first fetches of a new revision are spread."""

MAX_STARTUP_FETCHES = 3
"""Maximum number of concurrent fetches of a starting process."""

CHOICE_INTERVAL = 0.25
"""Seconds between two attempts to choose peers to fetch from.

Used by starting processes, and by settled ones while they back off from all
peers that are ahead.
"""

INITIAL_BACKOFF = 1.0
"""Seconds from a first failed fetch to the next from the same peer.

Before jitter.
"""

MAX_BACKOFF = 30.0
"""Maximum seconds from a failed fetch to the next from the same peer.

Before jitter.
"""


def compute_fingerprint(state: replica.ReplicaState) -> int:
    """Computes a checksum of the heads of all documents held; 0 if unsettled.

    Peers compare it with their own. Revisions alone wouldn't show that two
    processes hold different texts with the same revision.
    """
    if not state.settled:
        return 0
    heads = msgspec.msgpack.encode(replica.list_heads(state))
    return zlib.crc32(heads) or 1


def add_replica_info(
    state: replica.ReplicaState, message: messages.Message
) -> messages.Message:
    """Adds the VM list revision and the document fingerprint to a heartbeat.

    Args:
        state: The replica of the sender.
        message: A control message about to be sent.

    Returns:
        The heartbeat with the two fields set; other messages unchanged.
    """
    if not isinstance(message, messages.Heartbeat):
        return message
    return msgspec.structs.replace(
        message,
        vms_revision=state.directory.revision,
        fingerprint=compute_fingerprint(state),
    )


def record_envelope(
    state: replica.ReplicaState, now: float, envelope: messages.Envelope
) -> None:
    """Records which documents the sender of a control message holds.

    Messages of VMs that aren't in the directory are ignored.

    Args:
        state: The replica; changed.
        now: This process's time, in seconds.
        envelope: The received message with its sender.
    """
    sender, message = envelope.sender, envelope.message
    if sender == state.vm or sender not in state.directory.vms:
        return
    known = state.peer_views.get(sender, replica.PeerView())
    if isinstance(message, messages.Heartbeat):
        view = replica.PeerView(
            envelope.revision, message.vms_revision, message.fingerprint
        )
    else:
        view = dataclasses.replace(known, text_revision=envelope.revision)
    if view == known:
        return
    state.peer_views[sender] = view
    _update_peer_ahead(state, now, sender)


def _update_peer_ahead(
    state: replica.ReplicaState, now: float, name: str
) -> None:
    if not _may_be_ahead(state, name):
        state.peers_ahead.discard(name)
        return
    if not state.peers_ahead:
        soon = now + state.rng.uniform(0.0, FETCH_JITTER)
        state.next_fetch_at = max(state.next_fetch_at, soon)
    state.peers_ahead.add(name)


def _may_be_ahead(state: replica.ReplicaState, name: str) -> bool:
    view = state.peer_views[name]
    if not view.fingerprint or state.fetched_views.get(name) == view:
        return False
    text, vms = state.versions.in_force, state.directory.revision
    if view.text_revision > text or view.vms_revision > vms:
        return True
    same = (view.text_revision, view.vms_revision) == (text, vms)
    return same and view.fingerprint != compute_fingerprint(state)


def update_peers_ahead(state: replica.ReplicaState, now: float) -> None:
    """Recomputes which peers may hold newer documents.

    Has to be called after a document was applied. Views of VMs that are no
    longer in the directory are dropped.
    """
    state.peer_views = {
        name: view
        for name, view in state.peer_views.items()
        if name in state.directory.vms
    }
    state.peers_ahead &= state.peer_views.keys()
    for name in state.peer_views:
        _update_peer_ahead(state, now, name)


def start_due_fetches(state: replica.ReplicaState, now: float) -> list[str]:
    """Chooses the peers to fetch from now and marks the fetches as started.

    A starting process fetches from several peers at a time. A settled one
    fetches from one of the peers that may hold newer documents, chosen at
    random to spread the load over all of them.

    Args:
        state: The replica; changed.
        now: This process's time, in seconds.

    Returns:
        Data addresses of the peers, `IP:port`.
    """
    if now < state.next_fetch_at:
        return []
    if state.settled:
        chosen = _choose_peer_ahead(state, now)
    else:
        state.next_fetch_at = now + CHOICE_INTERVAL
        chosen = _choose_startup_peers(state, now)
    state.fetching.update(chosen)
    return chosen


def _choose_peer_ahead(state: replica.ReplicaState, now: float) -> list[str]:
    if state.fetching:
        return []
    free = [
        (name, state.directory.vms[name].data)
        for name in sorted(state.peers_ahead)
        if name in state.directory.vms
        and state.blocked_until.get(state.directory.vms[name].data, 0.0) <= now
    ]
    if not free:
        state.next_fetch_at = now + CHOICE_INTERVAL
        return []
    name, address = state.rng.choice(free)
    state.fetched_views[name] = state.peer_views[name]
    return [address]


def list_peer_addresses(state: replica.ReplicaState) -> list[str]:
    """Lists the data addresses of all other listed VMs and fixed peers."""
    own = state.directory.vms.get(state.vm)
    listed = [
        vm.data for name, vm in state.directory.vms.items() if name != state.vm
    ]
    fixed = [
        address
        for address in state.fixed_peers
        if own is None or address != own.data
    ]
    return sorted({*listed, *fixed})


def _choose_startup_peers(state: replica.ReplicaState, now: float) -> list[str]:
    free = [
        address
        for address in list_peer_addresses(state)
        if address not in state.fetching
        and not state.settled_by_address.get(address)
        and state.blocked_until.get(address, 0.0) <= now
    ]
    untried = [
        address for address in free if address not in state.tried_addresses
    ]
    pool = untried or free
    room = min(MAX_STARTUP_FETCHES - len(state.fetching), len(pool))
    chosen = state.rng.sample(pool, max(0, room))
    state.tried_addresses.update(chosen)
    return chosen


def find_next_due(state: replica.ReplicaState) -> float:
    """Returns the time at which `start_due_fetches` may next choose a peer."""
    waits = state.settled and (state.fetching or not state.peers_ahead)
    return float("inf") if waits else state.next_fetch_at


def record_success(
    state: replica.ReplicaState, now: float, address: str, settled: bool
) -> None:
    """Records that a fetch from a peer succeeded.

    Args:
        state: The replica; changed.
        now: This process's time, in seconds.
        address: Data address of the peer.
        settled: Whether the peer was settled.
    """
    state.fetching.discard(address)
    state.failures.pop(address, None)
    state.settled_by_address[address] = settled
    if not settled:
        pause = INITIAL_BACKOFF * state.rng.uniform(0.5, 1.5)
        state.blocked_until[address] = now + pause
    update_peers_ahead(state, now)


def record_failure(
    state: replica.ReplicaState, now: float, address: str
) -> None:
    """Records that a fetch from a peer failed, and backs off from the peer.

    The failure may be that of the link, so it has no effect on other
    processes, which may still reach the peer.

    Args:
        state: The replica; changed.
        now: This process's time, in seconds.
        address: Data address of the peer.
    """
    state.fetching.discard(address)
    failed = state.failures.get(address, 0)
    state.failures[address] = failed + 1
    max_pause = MAX_BACKOFF if state.settled else 2 * INITIAL_BACKOFF
    pause = min(max_pause, INITIAL_BACKOFF * 2.0 ** min(failed, 8))
    state.blocked_until[address] = now + pause * state.rng.uniform(0.5, 1.5)
    for name, vm in state.directory.vms.items():
        if vm.data == address:
            state.fetched_views.pop(name, None)
    update_peers_ahead(state, now)


def is_listed_host(directory: membership.Directory, host: str) -> bool:
    """Returns whether an IP address is that of a listed VM."""
    return any(
        host in (vm.data.rpartition(":")[0], vm.control.rpartition(":")[0])
        for vm in directory.vms.values()
    )
