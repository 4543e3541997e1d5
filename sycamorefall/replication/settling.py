"""When a process that started without memory may serve; no I/O."""

__all__ = ["try_settle"]

import dataclasses

from sycamorefall.replication import peers, replica

MIN_ANSWERS = 3
"""Peers whose answer is waited for, if there are so many."""

MIN_STARTING_PEERS = 5
"""Starting peers that show that the whole fleet is starting."""

PLATFORM_KINDS = (replica.Kind.TEXT, replica.Kind.VMS)
"""What the platform publishes."""

STARTUP_GRACE = 5.0
"""Seconds until fewer starting peers are enough."""


def try_settle(state: replica.ReplicaState, now: float) -> list[replica.Event]:
    """Takes the highest documents into force once enough were asked.

    Guards against a restart while the platform is stale: the process has no
    memory, so the platform's old text would look new to it and go back into
    force. It therefore serves nothing until a settled peer has answered too,
    or until nobody is found who is not starting as well.

    Cut off from all peers it never settles, and never says ready. That is
    right also while the platform answers: it may be stale, and a process
    that reaches no other one has nobody to serve.

    Args:
        state: The replica; changed.
        now: This process's time.

    Returns:
        What changed.
    """
    if state.settled or not _has_asked_enough(state, now):
        return []
    state.settled = True
    for field in dataclasses.fields(state.startup_versions):
        setattr(
            state.versions,
            field.name,
            getattr(state.startup_versions, field.name),
        )
    peers.update_peers_ahead(state, now)
    detail = f"revision {state.versions.in_force}"
    adopted = replica.Event(replica.EventKind.TEXT_ADOPTED, detail)
    return [adopted, *_compare_platform(state)]


def _compare_platform(state: replica.ReplicaState) -> list[replica.Event]:
    events: list[replica.Event] = []
    for kind in PLATFORM_KINDS:
        shown = state.published_revisions.get(kind)
        known = replica.get_known_revision(state, kind)
        if shown is not None and shown < known:
            detail = f"{kind.value} revision {shown}, peers had {known}"
            event = replica.EventKind.PLATFORM_OLDER
            events.append(replica.Event(event, detail))
    return events


def _has_asked_enough(state: replica.ReplicaState, now: float) -> bool:
    if (
        state.startup_versions.configuration is None
        or not state.directory.revision
    ):
        return False
    others = peers.list_peer_addresses(state)
    platform_read = len(state.published_revisions) == len(PLATFORM_KINDS)
    if not others:
        return platform_read
    if any(state.settled_by_address.values()):
        return len(state.settled_by_address) >= min(
            MIN_ANSWERS, len(others)
        ) or not _has_untried(state, others)
    return platform_read and _is_fleet_starting(state, now, others)


def _has_untried(state: replica.ReplicaState, others: list[str]) -> bool:
    return bool(state.fetching) or not state.tried_addresses.issuperset(others)


def _is_fleet_starting(
    state: replica.ReplicaState, now: float, others: list[str]
) -> bool:
    if not state.settled_by_address:
        return False
    if len(state.settled_by_address) >= min(MIN_STARTING_PEERS, len(others)):
        return True
    if not state.grace_ends_at:
        state.grace_ends_at = now + STARTUP_GRACE
    return now >= state.grace_ends_at
