"""Messages by which routers forward the platform's records to each other.

They allow a few routers to read the platform on behalf of all. All revisions
include the platform's era. The tags differ from those of earlier versions,
whose revisions didn't: a process of such a version would take these for
revisions that the platform has yet to reach.
"""

__all__ = [
    "FetchRecords",
    "ReaderState",
    "Record",
    "RecordChanges",
    "Subscribe",
]

import msgspec

from sycamorefall.messages.numbers import Quantity, Time


class Record(msgspec.Struct, frozen=True, array_like=True):
    """A key and its value, as stored on the platform.

    Attributes:
        key: The key.
        created_revision: Revision at which the key was created.
        changed_revision: Revision of the last change to the value.
        value: The stored bytes.
    """

    key: str
    created_revision: int
    changed_revision: int
    value: bytes


class Subscribe(msgspec.Struct, frozen=True, array_like=True, tag="S"):
    """A router's subscription to the records that another router learns.

    The message is repeated for as long as the subscription is wanted, so a lost
    message has no effect. Without it the subscription expires.

    Attributes:
        control: Address at which the sender receives control messages.
        clock: The sender's clock when the message was created, in seconds. The
            receiver answers with `ReaderState` messages, and states their
            `proven_at` by this clock.
        revision: Revision up to which the sender has the records.
        changes_only: Whether to send a `ReaderState` message only when the
            revision changes, and not with each new proof.
    """

    control: str
    clock: Quantity
    revision: int
    changes_only: bool = False


class ReaderState(msgspec.Struct, frozen=True, array_like=True, tag="K"):
    """Revision and age of a router's records, sent to a subscriber.

    Attributes:
        process_incarnation: Incarnation of the subscriber's process for which
            the message is meant. A later process has another clock, by which
            `proven_at` would be another time.
        revision: Revision up to which the sender has the records.
        proven_at: Time at which the sender's records were proven to be the
            latest, in seconds by the subscriber's clock. The conversion between
            clocks may make it earlier, never later.
        reads_succeed: Whether the sender's reads of the platform succeed.
        settles_at: Time by the subscriber's clock from which the sender's
            records count as complete again, after the platform was restored
            from a copy; minus infinity if the sender knows of no restoration.
    """

    process_incarnation: int
    revision: int
    proven_at: Time
    reads_succeed: bool
    settles_at: Time = float("-inf")


class FetchRecords(msgspec.Struct, frozen=True, array_like=True, tag="F"):
    """A router's request for the records that changed after a revision.

    Attributes:
        since: The revision.
    """

    since: int


class RecordChanges(msgspec.Struct, frozen=True, array_like=True, tag="D"):
    """The records that changed between two revisions.

    Attributes:
        since: The earlier revision; 0 if the message contains all records.
        revision: The later revision.
        records: Records that were created or changed.
        deleted_keys: Keys of the records that were deleted.
        fingerprint: XOR of the hashes of the keys of all records at the later
            revision.
    """

    since: int
    revision: int
    records: tuple[Record, ...]
    deleted_keys: tuple[str, ...]
    fingerprint: int
