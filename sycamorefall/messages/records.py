"""What routers tell each other of the platform, so that few need to read it."""

__all__ = [
    "FetchRecords",
    "ReaderState",
    "Record",
    "RecordChanges",
    "Subscribe",
]

import msgspec


class Record(msgspec.Struct, frozen=True, array_like=True):
    """A document of the platform, as it is stored there.

    Attributes:
        key: Its key.
        created_revision: Revision at which the key was made.
        changed_revision: Revision of its last change.
        value: Its bytes.
    """

    key: str
    created_revision: int
    changed_revision: int
    value: bytes


class Subscribe(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """A router asks another one to tell it what it learns of the platform.

    Repeated while it holds, so that loss does no harm; without it the
    subscription ends by itself.

    Attributes:
        control: Where the sender takes control messages.
        clock: The sender's clock as this was written, in seconds. What it is
            told later is put in terms of this clock.
        revision: Up to which the sender knows the records.
        changes_only: Whether it is to be told only of later revisions.
    """

    control: str
    clock: float
    revision: int
    changes_only: bool = False


class ReaderState(msgspec.Struct, frozen=True, array_like=True, tag="k"):
    """A router tells a subscriber how new its knowledge of the platform is.

    Attributes:
        process: Incarnation of the subscriber that is meant. A later one has
            another clock, by which `proven_at` would mean another time.
        revision: Up to which the sender knows the records.
        proven_at: When the sender's records were the newest for certain, by
            the subscriber's clock in seconds, or earlier.
        reads_succeed: Whether the sender's reads of the platform succeed.
    """

    process: int
    revision: int
    proven_at: float
    reads_succeed: bool


class FetchRecords(msgspec.Struct, frozen=True, array_like=True, tag="f"):
    """A router asks for the records that changed after a revision."""

    since: int


class RecordChanges(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """The records that changed between two revisions.

    Attributes:
        since: The earlier revision; 0 if these are all records.
        revision: The later one.
        records: Those made or changed.
        deleted_keys: Keys of those deleted.
        fingerprint: Of the keys of all records at the later revision.
    """

    since: int
    revision: int
    records: tuple[Record, ...]
    deleted_keys: tuple[str, ...]
    fingerprint: int
