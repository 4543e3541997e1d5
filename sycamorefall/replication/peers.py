"""Which peer is asked for newer documents, and when; no I/O."""

__all__ = [
    "add_replica_info",
    "find_next_due",
    "fingerprint",
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
"""Seconds over which peers that hear of a revision begin to fetch it."""

MAX_STARTUP_FETCHES = 3
"""Peers that a starting process asks at a time."""

CHOICE_INTERVAL = 0.25
"""Seconds between two looks of a starting process at whom to ask."""

INITIAL_BACKOFF = 1.0
"""Seconds until a peer that failed is asked again, before jitter."""

MAX_BACKOFF = 30.0
"""Seconds until a peer that failed often is asked again, before jitter."""


def fingerprint(state: replica.ReplicaState) -> int:
    """Computes a number that differs where held documents differ.

    Revisions alone don't tell of two texts under one revision.
    """
    if not state.settled:
        return 0
    heads = msgspec.msgpack.encode(replica.list_heads(state))
    return zlib.crc32(heads) or 1


def add_replica_info(
    state: replica.ReplicaState, message: messages.Message
) -> messages.Message:
    """Adds to a heartbeat what its sender holds."""
    if not isinstance(message, messages.Heartbeat):
        return message
    return msgspec.structs.replace(
        message,
        vms_revision=state.directory.revision,
        fingerprint=fingerprint(state),
    )


def record_envelope(
    state: replica.ReplicaState, now: float, envelope: messages.Envelope
) -> None:
    """Notes from a control message what its sender holds.

    Args:
        state: The replica; changed.
        now: This process's time.
        envelope: The message and its sender.
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
        view = dataclasses.replace(known, text=envelope.revision)
    if view == known:
        return
    state.peer_views[sender] = view
    _judge_view(state, now, sender)


def _judge_view(state: replica.ReplicaState, now: float, name: str) -> None:
    if not _may_be_ahead(state, name):
        state.peers_ahead.discard(name)
        return
    if not state.peers_ahead:
        soon = now + state.jitter.uniform(0.0, FETCH_JITTER)
        state.next_fetch_at = max(state.next_fetch_at, soon)
    state.peers_ahead.add(name)


def _may_be_ahead(state: replica.ReplicaState, name: str) -> bool:
    view = state.peer_views[name]
    if not view.fingerprint or state.fetched_views.get(name) == view:
        return False
    text, vms = state.versions.in_force, state.directory.revision
    if view.text > text or view.vms > vms:
        return True
    same = (view.text, view.vms) == (text, vms)
    return same and view.fingerprint != fingerprint(state)


def update_peers_ahead(state: replica.ReplicaState, now: float) -> None:
    """Finds anew who may be ahead, after a document was taken."""
    state.peer_views = {
        name: view
        for name, view in state.peer_views.items()
        if name in state.directory.vms
    }
    state.peers_ahead &= state.peer_views.keys()
    for name in state.peer_views:
        _judge_view(state, now, name)


def start_due_fetches(state: replica.ReplicaState, now: float) -> list[str]:
    """Chooses the data addresses of peers to be asked now.

    A starting process asks several at a time; a settled one asks one of
    those that may be ahead, chosen at random so that the load spreads over
    all that have the newer document already.

    Args:
        state: The replica; the chosen are noted as being asked.
        now: This process's time.

    Returns:
        Addresses, `IP:port`.
    """
    if now < state.next_fetch_at:
        return []
    if state.settled:
        chosen = _choose_ahead(state, now)
    else:
        state.next_fetch_at = now + CHOICE_INTERVAL
        chosen = _choose_any(state, now)
    state.fetching.update(chosen)
    return chosen


def _choose_ahead(state: replica.ReplicaState, now: float) -> list[str]:
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
    name, address = state.jitter.choice(free)
    state.fetched_views[name] = state.peer_views[name]
    return [address]


def list_peer_addresses(state: replica.ReplicaState) -> list[str]:
    """Lists the data addresses of all other processes that are known."""
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


def _choose_any(state: replica.ReplicaState, now: float) -> list[str]:
    free = [
        address
        for address in list_peer_addresses(state)
        if address not in state.fetching
        and not state.settled_by_address.get(address)
        and state.blocked_until.get(address, 0.0) <= now
    ]
    fresh = [
        address for address in free if address not in state.tried_addresses
    ]
    pool = fresh or free
    room = min(MAX_STARTUP_FETCHES - len(state.fetching), len(pool))
    chosen = state.jitter.sample(pool, max(0, room))
    state.tried_addresses.update(chosen)
    return chosen


def find_next_due(state: replica.ReplicaState) -> float:
    """Tells when `start_due_fetches` may choose someone next."""
    waits = state.settled and (state.fetching or not state.peers_ahead)
    return float("inf") if waits else state.next_fetch_at


def record_success(
    state: replica.ReplicaState, now: float, address: str, settled: bool
) -> None:
    """Notes that a peer answered.

    Args:
        state: The replica; changed.
        now: This process's time.
        address: The peer's data address.
        settled: Whether the peer was settled.
    """
    state.fetching.discard(address)
    state.failures.pop(address, None)
    state.settled_by_address[address] = settled
    if not settled:
        pause = INITIAL_BACKOFF * state.jitter.uniform(0.5, 1.5)
        state.blocked_until[address] = now + pause
    update_peers_ahead(state, now)


def record_failure(
    state: replica.ReplicaState, now: float, address: str
) -> None:
    """Notes that a peer gave no answer, or one of no use.

    Only this process's own link is judged: others may reach that peer.

    Args:
        state: The replica; changed.
        now: This process's time.
        address: The peer's data address.
    """
    state.fetching.discard(address)
    failed = state.failures.get(address, 0)
    state.failures[address] = failed + 1
    longest = MAX_BACKOFF if state.settled else 2 * INITIAL_BACKOFF
    pause = min(longest, INITIAL_BACKOFF * 2.0 ** min(failed, 8))
    state.blocked_until[address] = now + pause * state.jitter.uniform(0.5, 1.5)
    for name, vm in state.directory.vms.items():
        if vm.data == address:
            state.fetched_views.pop(name, None)
    update_peers_ahead(state, now)


def is_listed_host(directory: membership.Directory, host: str) -> bool:
    """Tells whether an IP number is one of the fleet's."""
    return any(
        host in (vm.data.rpartition(":")[0], vm.control.rpartition(":")[0])
        for vm in directory.vms.values()
    )
