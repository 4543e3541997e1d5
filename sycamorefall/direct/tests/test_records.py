"""Tests of records that arrive in any order from the platform and peers."""

from hypothesis import stateful, strategies

from sycamorefall import messages
from sycamorefall.direct import records


def make_record(key, changed_revision, created_revision=1):
    return messages.Record(key, created_revision, changed_revision, b"")


def test_later_record_is_not_replaced_by_an_earlier_one():
    # Guards against requests to an upstream that is leaving: two routers send
    # its record, and the slower one sends the version from before it began to
    # leave.
    replica = records.Records()
    records.apply_snapshot(replica, 9, [make_record("e1", 8)])
    older = messages.RecordChanges(0, 9, (make_record("e1", 3),), (), 0)
    records.apply_changes(replica, older)
    assert replica.by_key["e1"].changed_revision == 8


def test_deleted_record_does_not_reappear():
    # Guards against requests to a deleted upstream: a listing that is read in
    # pages still contains it if its page was read before the deletion.
    replica = records.Records()
    records.apply_snapshot(replica, 5, [make_record("e1", 3)])
    records.apply_snapshot(replica, 9, [])
    outdated = messages.RecordChanges(0, 9, (make_record("e1", 3),), (), 0)
    assert (
        records.apply_changes(replica, outdated)
        is records.UpdateOutcome.UNCHANGED
    )
    assert not replica.by_key
    again = messages.RecordChanges(0, 12, (make_record("e1", 11, 11),), (), 0)
    records.apply_changes(replica, again)
    assert list(replica.by_key) == ["e1"]


def test_deletion_unknown_to_the_sender_is_detected():
    # Guards against a missed deletion: an upstream is added and deleted between
    # two reads of the sender, while the receiver has read its record. The
    # sender's changes can't include a deletion that it doesn't know of.
    sender, receiver = records.Records(), records.Records()
    for replica in (sender, receiver):
        records.apply_snapshot(replica, 5, [make_record("e1", 3)])
    both = [make_record("e1", 3), make_record("e2", 7, 7)]
    records.apply_snapshot(receiver, 7, both)
    records.apply_snapshot(sender, 9, [make_record("e1", 3)])
    changes = records.collect_changes(sender, receiver.revision)
    assert (
        records.apply_changes(receiver, changes)
        is records.UpdateOutcome.INCOMPLETE
    )
    assert receiver.revision == 7, "the receiver has to fetch again"
    records.apply_changes(receiver, records.collect_changes(sender, 0))
    assert receiver.by_key == sender.by_key


class RecordsMachine(stateful.RuleBasedStateMachine):
    """Three replicas of a changing store that send each other changes."""

    def __init__(self):
        super().__init__()
        self.store, self.revision = {}, 1
        self.replicas = [records.Records() for _ in range(3)]
        self.last_changes = {}
        self.sent_changes = []

    keys = strategies.sampled_from("abcde")
    replica_numbers = strategies.integers(0, 2)

    @stateful.rule(key=keys)
    def put(self, key):
        self.revision += 1
        current = self.store.get(key)
        created_revision = (
            current.created_revision if current else self.revision
        )
        self.store[key] = make_record(key, self.revision, created_revision)

    @stateful.rule(key=keys)
    def delete(self, key):
        if self.store.pop(key, None):
            self.revision += 1

    @stateful.rule(number=replica_numbers)
    def read(self, number):
        listed = list(self.store.values())
        records.apply_snapshot(self.replicas[number], self.revision, listed)

    @stateful.rule(number=replica_numbers, key=keys)
    def read_in_pages(self, number, key):
        """Reads a first page, changes a record, and reads the rest."""
        revision = self.revision
        first = [record for record in self.store.values() if record.key <= "b"]
        self.put(key)
        rest = [record for record in self.store.values() if record.key > "b"]
        records.apply_snapshot(self.replicas[number], revision, first + rest)

    @stateful.rule(
        sender=replica_numbers,
        receiver=replica_numbers,
        everything=strategies.booleans(),
    )
    def send_changes(self, sender, receiver, everything):
        since = 0 if everything else self.replicas[receiver].revision
        changes = records.collect_changes(self.replicas[sender], since)
        records.apply_changes(self.replicas[receiver], changes)
        self.sent_changes.append(changes)

    @stateful.rule(number=replica_numbers, data=strategies.data())
    def resend_changes(self, number, data):
        if self.sent_changes:
            changes = data.draw(strategies.sampled_from(self.sent_changes))
            records.apply_changes(self.replicas[number], changes)

    @stateful.invariant()
    def knows_every_change_up_to_its_revision(self):
        for replica in self.replicas:
            for key, record in self.store.items():
                if record.changed_revision <= replica.revision:
                    assert replica.by_key[key] == record
            if replica.revision == self.revision:
                assert replica.by_key == self.store

    @stateful.invariant()
    def never_returns_to_an_earlier_version(self):
        for number, replica in enumerate(self.replicas):
            for key, record in replica.by_key.items():
                before = self.last_changes.get((number, key), 0)
                assert record.changed_revision >= before
                self.last_changes[number, key] = record.changed_revision


TestRecords = RecordsMachine.TestCase
