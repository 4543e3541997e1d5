"""This process's copy of the platform's records; no I/O.

Records arrive from the platform and from other routers, in any order. Each
carries the revision of its last change, so an older version never replaces a
later one, and a deleted record doesn't reappear.

A platform that is restored from a copy begins a new era, whose revisions are
higher than all before (`revisions`). Its records replace the known ones, also
those whose last change was lost.
"""

__all__ = [
    "Records",
    "UpdateOutcome",
    "apply_changes",
    "apply_snapshot",
    "collect_changes",
    "list_in_force",
]

from collections.abc import Iterable, Mapping
import dataclasses
import enum
import hashlib

from sycamorefall import messages
from sycamorefall.direct import revisions

MAX_TOMBSTONES = 1000
"""Maximum number of deleted keys that are remembered. A router that lacks an
earlier deletion detects by the fingerprint that its keys differ, and is sent
all records."""


class UpdateOutcome(enum.Enum):
    """Result of applying a snapshot or changes to the records.

    UNCHANGED: they contained nothing new.
    CHANGED: some records were added, replaced or deleted.
    INCOMPLETE: the changes don't lead to the sender's records; all records have
        to be fetched.
    """

    UNCHANGED = "unchanged"
    CHANGED = "changed"
    INCOMPLETE = "incomplete"


@dataclasses.dataclass(slots=True)
class Records:
    """All records, as of a revision.

    Attributes:
        by_key: The records by key; some may be later than the revision.
        tombstones: Deleted keys, earliest deletion first, with a revision by
            which the key was deleted.
        returned: Records that had been deleted in an earlier era and that came
            back with the copy, or were written since: revisions by key.
        revision: Revision up to which every change is included; 0 while there
            are no records.
        fingerprint: XOR of the hashes of all keys.
    """

    by_key: dict[str, messages.Record] = dataclasses.field(default_factory=dict)
    tombstones: dict[str, int] = dataclasses.field(default_factory=dict)
    returned: dict[str, int] = dataclasses.field(default_factory=dict)
    revision: int = 0
    fingerprint: int = 0


def _hash_key(key: str) -> int:
    digest = hashlib.blake2b(key.encode(), digest_size=7).digest()
    return int.from_bytes(digest, "big")


def _put(records: Records, record: messages.Record) -> bool:
    """Stores a record unless it, a later version or its deletion is known.

    Args:
        records: The records; changed.
        record: The record to store.

    Returns:
        Whether it was stored.
    """
    current = records.by_key.get(record.key)
    if current is None:
        deleted_by = records.tombstones.get(record.key)
        if deleted_by is not None:
            if record.changed_revision <= deleted_by:
                return False
            era = revisions.get_era(record.changed_revision)
            if revisions.get_era(deleted_by) < era:
                records.returned[record.key] = record.changed_revision
            del records.tombstones[record.key]
        records.fingerprint ^= _hash_key(record.key)
    elif record.changed_revision <= current.changed_revision:
        return False
    else:
        records.returned.pop(record.key, None)
    records.by_key[record.key] = record
    return True


def _delete(records: Records, key: str, revision: int) -> bool:
    """Deletes a record unless its last change is later than the deletion.

    Args:
        records: The records; changed.
        key: Key of the record.
        revision: Revision by which it was deleted.

    Returns:
        Whether it was deleted.
    """
    current = records.by_key.get(key)
    if current is None or current.changed_revision > revision:
        return False
    del records.by_key[key]
    records.returned.pop(key, None)
    records.fingerprint ^= _hash_key(key)
    records.tombstones[key] = revision
    while len(records.tombstones) > MAX_TOMBSTONES:
        del records.tombstones[next(iter(records.tombstones))]
    return True


def apply_snapshot(
    records: Records, revision: int, listed: Iterable[messages.Record]
) -> UpdateOutcome:
    """Replaces the records by a snapshot, but keeps later changes.

    Args:
        records: The records; changed.
        revision: Revision up to which the snapshot includes every change. A
            snapshot of an earlier revision than the records' is ignored.
        listed: All records of the snapshot. Some may include later changes.

    Returns:
        Whether anything changed.
    """
    if revision < records.revision:
        return UpdateOutcome.UNCHANGED
    by_key = {record.key: record for record in listed}
    changes = [_put(records, record) for record in by_key.values()]
    missing = records.by_key.keys() - by_key.keys()
    changes += [_delete(records, key, revision) for key in missing]
    records.revision = revision
    return UpdateOutcome.CHANGED if any(changes) else UpdateOutcome.UNCHANGED


def apply_changes(
    records: Records, changes: messages.RecordChanges
) -> UpdateOutcome:
    """Applies changes that another router sent.

    Guards against a missed deletion: if a record is created and deleted between
    two reads of the sender, the sender never learns of it, and its changes omit
    the deletion. A router that read the record in between would keep it and
    send requests to its upstream forever. The fingerprints of the keys differ
    in this case, and all records have to be fetched.

    Args:
        records: The records; changed.
        changes: The changes.

    Returns:
        Whether anything changed. `INCOMPLETE` leaves the revision as it was:
        the changes start after it or end in a later era, or the fingerprints
        differ after them.
    """
    if not changes.since:
        return apply_snapshot(records, changes.revision, changes.records)
    if changes.revision <= records.revision:
        return UpdateOutcome.UNCHANGED
    era = revisions.get_era(changes.revision)
    if (
        records.revision < changes.since
        or revisions.get_era(records.revision) < era
    ):
        return UpdateOutcome.INCOMPLETE
    puts = [_put(records, record) for record in changes.records]
    drops = [
        _delete(records, key, changes.revision) for key in changes.deleted_keys
    ]
    if records.fingerprint != changes.fingerprint:
        return UpdateOutcome.INCOMPLETE
    records.revision = changes.revision
    return (
        UpdateOutcome.CHANGED if any(puts + drops) else UpdateOutcome.UNCHANGED
    )


def collect_changes(records: Records, since: int) -> messages.RecordChanges:
    """Builds the message with all changes after a revision.

    Args:
        records: The records.
        since: The revision; 0 for all records.

    Returns:
        The records changed and the keys deleted after the revision.

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
        if not since or record.changed_revision > since
    )
    deleted_keys = tuple(
        key for key, revision in records.tombstones.items() if revision > since
    )
    return messages.RecordChanges(
        since,
        records.revision,
        changed,
        deleted_keys if since else (),
        records.fingerprint,
    )


def list_in_force(records: Records) -> Mapping[str, messages.Record]:
    """Lists the records that are to be put into effect, by key.

    Records that came back with a copy are left out while it is not known
    whether they are up to date: an upstream that has left would get requests.
    """
    if not records.returned:
        return records.by_key
    return {
        key: record
        for key, record in records.by_key.items()
        if key not in records.returned
    }
