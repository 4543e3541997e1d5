"""Records that come from the platform and from peers, in any order."""

from hypothesis import stateful, strategies

from sycamorefall import messages
from sycamorefall.direct import records


def make_record(key, changed_at, made_at=1):
    return messages.Record(key, made_at, changed_at, b"")


def test_record_does_not_fall_back_to_an_older_one():
    # Two neighbours tell of an upstream, the slower one as it was before it
    # began to leave. It would be sent requests again.
    known = records.Records()
    records.apply_snapshot(known, 9, [make_record("e1", 8)])
    older = messages.RecordChanges(0, 9, (make_record("e1", 3),), (), 0)
    records.apply_changes(known, older)
    assert known.by_key["e1"].changed_at == 8


def test_deleted_record_does_not_come_back():
    # An upstream is gone. A listing that was read in pages, the first of them
    # before, shows it still, and it would be sent requests again.
    known = records.Records()
    records.apply_snapshot(known, 5, [make_record("e1", 3)])
    records.apply_snapshot(known, 9, [])
    late = messages.RecordChanges(0, 9, (make_record("e1", 3),), (), 0)
    assert records.apply_changes(known, late) is records.UpdateOutcome.UNCHANGED
    assert not known.by_key
    again = messages.RecordChanges(0, 12, (make_record("e1", 11, 11),), (), 0)
    records.apply_changes(known, again)
    assert list(known.by_key) == ["e1"]


def test_deletion_that_a_peer_never_saw_is_noticed():
    # An upstream comes and goes between two reads of one router, and another
    # has seen it. The first can't tell the other that it is gone.
    here, there = records.Records(), records.Records()
    for known in (here, there):
        records.apply_snapshot(known, 5, [make_record("e1", 3)])
    both = [make_record("e1", 3), make_record("e2", 7, 7)]
    records.apply_snapshot(there, 7, both)
    records.apply_snapshot(here, 9, [make_record("e1", 3)])
    told = records.collect_changes(here, there.revision)
    assert (
        records.apply_changes(there, told) is records.UpdateOutcome.INCOMPLETE
    )
    assert there.revision == 7, "it goes on asking"
    records.apply_changes(there, records.collect_changes(here, 0))
    assert there.by_key == here.by_key


class RecordsMachine(stateful.RuleBasedStateMachine):
    """Three replicas of a store that changes, which tell each other."""

    def __init__(self):
        super().__init__()
        self.store, self.revision = {}, 1
        self.replicas = [records.Records() for _ in range(3)]
        self.history = {}
        self.late = []

    keys = strategies.sampled_from("abcde")
    places = strategies.integers(0, 2)

    @stateful.rule(key=keys)
    def put(self, key):
        self.revision += 1
        known = self.store.get(key)
        made_at = known.made_at if known else self.revision
        self.store[key] = make_record(key, self.revision, made_at)

    @stateful.rule(key=keys)
    def delete(self, key):
        if self.store.pop(key, None):
            self.revision += 1

    @stateful.rule(place=places)
    def read(self, place):
        listed = list(self.store.values())
        records.apply_snapshot(self.replicas[place], self.revision, listed)

    @stateful.rule(place=places, key=keys)
    def read_in_pages(self, place, key):
        """Reads a first page, then the rest after one more change."""
        revision = self.revision
        first = [one for one in self.store.values() if one.key <= "b"]
        self.put(key)
        rest = [one for one in self.store.values() if one.key > "b"]
        records.apply_snapshot(self.replicas[place], revision, first + rest)

    @stateful.rule(place=places, other=places, whole=strategies.booleans())
    def tell(self, place, other, whole):
        since = 0 if whole else self.replicas[other].revision
        told = records.collect_changes(self.replicas[place], since)
        records.apply_changes(self.replicas[other], told)
        self.late.append(told)

    @stateful.rule(place=places, data=strategies.data())
    def tell_late(self, place, data):
        if self.late:
            told = data.draw(strategies.sampled_from(self.late))
            records.apply_changes(self.replicas[place], told)

    @stateful.invariant()
    def knows_every_change_up_to_its_revision(self):
        for known in self.replicas:
            for key, record in self.store.items():
                if record.changed_at <= known.revision:
                    assert known.by_key[key] == record
            if known.revision == self.revision:
                assert known.by_key == self.store

    @stateful.invariant()
    def never_falls_back(self):
        for place, known in enumerate(self.replicas):
            for key, record in known.by_key.items():
                before = self.history.get((place, key), 0)
                assert record.changed_at >= before
                self.history[place, key] = record.changed_at


TestRecords = RecordsMachine.TestCase
