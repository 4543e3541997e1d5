"""Decides when a starting process has learned enough to serve; no I/O.

A process stores nothing on disk. After its start it asks the platform and its
peers for their documents. It is settled once enough of them have answered, and
puts the newest valid configuration in force only then.
"""

__all__ = ["try_settle"]

import dataclasses

from sycamorefall.replication import peers, replica

MIN_ANSWERS = 3
"""Number of peers, at least one of them settled, that have to answer.

Fewer suffice if there are fewer peers or all of them have been tried.
"""

MIN_STARTING_PEERS = 5
"""Number of starting peers from which the whole fleet counts as starting."""

PLATFORM_KINDS = (replica.Kind.TEXT, replica.Kind.VMS)
"""Kinds of the documents that the platform publishes."""

STARTUP_GRACE = 5.0
"""Seconds after which fewer than `MIN_STARTING_PEERS` are enough."""


def try_settle(state: replica.ReplicaState, now: float) -> list[replica.Event]:
    """Settles a starting process once enough peers have answered.

    The newest valid configuration text found since the start comes into
    force.

    A process that restarts while the platform is stale stores nothing by
    which it could detect that the platform's text is old. It therefore serves
    only after a settled peer has answered as well, or after enough peers have
    answered that they are starting too.

    A process that reaches none of its peers never settles and never reports
    ready, even if the platform answers: the platform may be stale, and a
    process that reaches no other has nobody to serve.

    Args:
        state: The replica; changed.
        now: This process's time, in seconds.

    Returns:
        The changes; empty if the process doesn't settle now.
    """
    if state.settled or not _has_enough_answers(state, now):
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
    return [adopted, *_detect_older_platform(state)]


def _detect_older_platform(state: replica.ReplicaState) -> list[replica.Event]:
    events: list[replica.Event] = []
    for kind in PLATFORM_KINDS:
        published = state.published_revisions.get(kind)
        known = replica.get_known_revision(state, kind)
        if published is not None and published < known:
            detail = f"{kind.value} revision {published}, peers had {known}"
            event = replica.EventKind.PLATFORM_OLDER
            events.append(replica.Event(event, detail))
    return events


def _has_enough_answers(state: replica.ReplicaState, now: float) -> bool:
    if (
        state.startup_versions.configuration is None
        or not state.directory.revision
    ):
        return False
    addresses = peers.list_peer_addresses(state)
    platform_read = len(state.published_revisions) == len(PLATFORM_KINDS)
    if not addresses:
        return platform_read
    if any(state.settled_by_address.values()):
        return len(state.settled_by_address) >= min(
            MIN_ANSWERS, len(addresses)
        ) or not _has_untried_peers(state, addresses)
    return platform_read and _is_fleet_starting(state, now, addresses)


def _has_untried_peers(
    state: replica.ReplicaState, addresses: list[str]
) -> bool:
    return bool(state.fetching) or not state.tried_addresses.issuperset(
        addresses
    )


def _is_fleet_starting(
    state: replica.ReplicaState, now: float, addresses: list[str]
) -> bool:
    if not state.settled_by_address:
        return False
    if len(state.settled_by_address) >= min(MIN_STARTING_PEERS, len(addresses)):
        return True
    if not state.grace_ends_at:
        state.grace_ends_at = now + STARTUP_GRACE
    return now >= state.grace_ends_at
