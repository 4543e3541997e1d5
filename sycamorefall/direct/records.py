"""The platform's records as this process knows them; no I/O.

Records come from the platform itself and from other routers, in any order.
Each carries the revision of its last change, so an older one never replaces a
later one, and what was deleted doesn't come back.
"""

__all__ = [
    "Records",
    "UpdateOutcome",
    "apply_changes",
    "apply_snapshot",
    "collect_changes",
]

from collections.abc import Iterable
import dataclasses
import enum
import hashlib

from sycamorefall import messages

MOST_GONE = 1000
"""Deleted keys that are remembered. A router that lacks an earlier deletion
finds that its keys differ, and is told all records."""


class UpdateOutcome(enum.Enum):
    """What became of records that were offered.

    UNCHANGED: they were known.
    CHANGED: some were not.
    INCOMPLETE: they are changes to records that aren't known here.
    """

    UNCHANGED = "unchanged"
    CHANGED = "changed"
    INCOMPLETE = "incomplete"


@dataclasses.dataclass(slots=True)
class Records:
    """All records, as of a revision.

    Attributes:
        by_key: The records; some may be later than the revision.
        gone: Deleted keys, oldest first, and the revision by which they were.
        revision: Every change up to it is known; 0 before any is.
        fingerprint: Of the keys.
    """

    by_key: dict[str, messages.Record] = dataclasses.field(default_factory=dict)
    gone: dict[str, int] = dataclasses.field(default_factory=dict)
    revision: int = 0
    fingerprint: int = 0


def _hash_key(key: str) -> int:
    digest = hashlib.blake2b(key.encode(), digest_size=7).digest()
    return int.from_bytes(digest, "big")


def _put(records: Records, record: messages.Record) -> bool:
    """Takes a record over, unless a later one is known."""
    known = records.by_key.get(record.key)
    if known is None:
        if record.changed_at <= records.gone.get(record.key, 0):
            return False
        records.fingerprint ^= _hash_key(record.key)
        records.gone.pop(record.key, None)
    elif record.changed_at <= known.changed_at:
        return False
    records.by_key[record.key] = record
    return True


def _drop(records: Records, key: str, revision: int) -> bool:
    """Takes note that a key was deleted by a revision, unless made anew."""
    known = records.by_key.get(key)
    if known is None or known.changed_at > revision:
        return False
    del records.by_key[key]
    records.fingerprint ^= _hash_key(key)
    records.gone[key] = revision
    while len(records.gone) > MOST_GONE:
        del records.gone[next(iter(records.gone))]
    return True


def apply_snapshot(
    records: Records, revision: int, listed: Iterable[messages.Record]
) -> UpdateOutcome:
    """Takes over all records that there are.

    Args:
        records: What is known; changed.
        revision: Up to which the list shows every change; an earlier one
            than is known changes nothing.
        listed: All records. Some may show later changes.

    Returns:
        Whether anything changed.
    """
    if revision < records.revision:
        return UpdateOutcome.UNCHANGED
    by_key = {record.key: record for record in listed}
    changes = [_put(records, record) for record in by_key.values()]
    missing = records.by_key.keys() - by_key.keys()
    changes += [_drop(records, key, revision) for key in missing]
    records.revision = revision
    return UpdateOutcome.CHANGED if any(changes) else UpdateOutcome.UNCHANGED


def apply_changes(
    records: Records, changes: messages.RecordChanges
) -> UpdateOutcome:
    """Takes over what another router knows to have changed.

    Guards against a deletion that is never heard of: the router that tells of
    changes may have learned of a key and its deletion at once, and so not know
    of it, while this one knows the key. Its upstream would be sent requests
    for ever. The fingerprints of the keys differ then, and all records are to
    be asked for.

    Args:
        records: What is known; changed.
        changes: What is told.

    Returns:
        Whether anything changed. If what is told doesn't fit what is known,
        the revision stays as it was.
    """
    if not changes.since:
        return apply_snapshot(records, changes.revision, changes.records)
    if changes.revision <= records.revision:
        return UpdateOutcome.UNCHANGED
    if records.revision < changes.since:
        return UpdateOutcome.INCOMPLETE
    puts = [_put(records, record) for record in changes.records]
    drops = [_drop(records, key, changes.revision) for key in changes.gone]
    if records.fingerprint != changes.fingerprint:
        return UpdateOutcome.INCOMPLETE
    records.revision = changes.revision
    return (
        UpdateOutcome.CHANGED if any(puts + drops) else UpdateOutcome.UNCHANGED
    )


def collect_changes(records: Records, since: int) -> messages.RecordChanges:
    """Writes what changed after a revision.

    Args:
        records: What is known here.
        since: The revision; 0 for all records.

    Example:
        >>> here, there = Records(), Records()
        >>> one = messages.Record("upstream/e1", 3, 3, b"")
        >>> apply_snapshot(here, 5, [one])
        <UpdateOutcome.CHANGED: 'changed'>
        >>> apply_changes(there, collect_changes(here, there.revision))
        <UpdateOutcome.CHANGED: 'changed'>
        >>> there.revision, list(there.by_key)
        (5, ['upstream/e1'])
    """
    changed = tuple(
        record
        for record in records.by_key.values()
        if not since or record.changed_at > since
    )
    gone = tuple(
        key for key, revision in records.gone.items() if revision > since
    )
    return messages.RecordChanges(
        since,
        records.revision,
        changed,
        gone if since else (),
        records.fingerprint,
    )
