"""Which peer is asked for newer documents, and when; no I/O."""

__all__ = [
    "choose_addresses",
    "find_next_due",
    "fingerprint",
    "note_envelope",
    "note_failure",
    "note_success",
    "stamp_message",
]

import dataclasses
import zlib

import msgspec

from sycamorefall import membership, messages
from sycamorefall.replication import replica

FETCH_JITTER = 0.3
"""Seconds over which peers that hear of a revision begin to fetch it."""

ASKED_AT_ONCE = 3
"""Peers that a starting process asks at a time."""

START_TICK = 0.25
"""Seconds between two looks of a starting process at whom to ask."""

FIRST_BACKOFF = 1.0
"""Seconds until a peer that failed is asked again, before jitter."""

LONGEST_BACKOFF = 30.0
"""Seconds until a peer that failed often is asked again, before jitter."""


def fingerprint(state: replica.ReplicaState) -> int:
    """Computes a number that differs where held documents differ.

    Revisions alone don't tell of two texts under one revision.
    """
    if not state.settled:
        return 0
    heads = msgspec.msgpack.encode(replica.list_heads(state))
    return zlib.crc32(heads) or 1


def stamp_message(
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


def note_envelope(
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
    known = state.views.get(sender, replica.PeerView())
    if isinstance(message, messages.Heartbeat):
        view = replica.PeerView(
            envelope.revision, message.vms_revision, message.fingerprint
        )
    else:
        view = dataclasses.replace(known, text=envelope.revision)
    if view == known:
        return
    state.views[sender] = view
    _judge_view(state, now, sender)


def _judge_view(state: replica.ReplicaState, now: float, name: str) -> None:
    if not _may_be_ahead(state, name):
        state.ahead.discard(name)
        return
    if not state.ahead:
        soon = now + state.jitter.uniform(0.0, FETCH_JITTER)
        state.next_fetch = max(state.next_fetch, soon)
    state.ahead.add(name)


def _may_be_ahead(state: replica.ReplicaState, name: str) -> bool:
    view = state.views[name]
    if not view.fingerprint or state.asked.get(name) == view:
        return False
    text, vms = state.versions.in_force, state.directory.revision
    if view.text > text or view.vms > vms:
        return True
    same = (view.text, view.vms) == (text, vms)
    return same and view.fingerprint != fingerprint(state)


def judge_all_views(state: replica.ReplicaState, now: float) -> None:
    """Finds anew who may be ahead, after a document was taken."""
    state.views = {
        name: view
        for name, view in state.views.items()
        if name in state.directory.vms
    }
    state.ahead &= state.views.keys()
    for name in state.views:
        _judge_view(state, now, name)


def choose_addresses(state: replica.ReplicaState, now: float) -> list[str]:
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
    if now < state.next_fetch:
        return []
    if state.settled:
        chosen = _choose_ahead(state, now)
    else:
        state.next_fetch = now + START_TICK
        chosen = _choose_any(state, now)
    state.fetching.update(chosen)
    return chosen


def _choose_ahead(state: replica.ReplicaState, now: float) -> list[str]:
    if state.fetching:
        return []
    free = [
        (name, state.directory.vms[name].data)
        for name in sorted(state.ahead)
        if name in state.directory.vms
        and state.blocked.get(state.directory.vms[name].data, 0.0) <= now
    ]
    if not free:
        state.next_fetch = now + START_TICK
        return []
    name, address = state.jitter.choice(free)
    state.asked[name] = state.views[name]
    return [address]


def list_others(state: replica.ReplicaState) -> list[str]:
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
        for address in list_others(state)
        if address not in state.fetching
        and not state.answers.get(address)
        and state.blocked.get(address, 0.0) <= now
    ]
    fresh = [address for address in free if address not in state.tried]
    pool = fresh or free
    room = min(ASKED_AT_ONCE - len(state.fetching), len(pool))
    chosen = state.jitter.sample(pool, max(0, room))
    state.tried.update(chosen)
    return chosen


def find_next_due(state: replica.ReplicaState) -> float:
    """Tells when `choose_addresses` may choose someone next."""
    waits = state.settled and (state.fetching or not state.ahead)
    return float("inf") if waits else state.next_fetch


def note_success(
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
    state.answers[address] = settled
    if not settled:
        pause = FIRST_BACKOFF * state.jitter.uniform(0.5, 1.5)
        state.blocked[address] = now + pause
    judge_all_views(state, now)


def note_failure(state: replica.ReplicaState, now: float, address: str) -> None:
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
    longest = LONGEST_BACKOFF if state.settled else 2 * FIRST_BACKOFF
    pause = min(longest, FIRST_BACKOFF * 2.0 ** min(failed, 8))
    state.blocked[address] = now + pause * state.jitter.uniform(0.5, 1.5)
    for name, vm in state.directory.vms.items():
        if vm.data == address:
            state.asked.pop(name, None)
    judge_all_views(state, now)


def is_listed_host(directory: membership.Directory, host: str) -> bool:
    """Tells whether an IP number is one of the fleet's."""
    return any(
        host in (vm.data.rpartition(":")[0], vm.control.rpartition(":")[0])
        for vm in directory.vms.values()
    )
