"""Tests of reads of the store, with a simulated connection."""

import json
import types

import pytest

from sycamorefall import settings
from sycamorefall.direct import revisions
from sycamorefall.direct.read_schedule import ReadKind
from sycamorefall.platform import store


class Replicator:
    """Records how reads ended."""

    def __init__(self):
        self.results = []

    def extend_read(self):
        pass

    def receive_probe(self, revision):
        self.results.append(revision)

    def receive_snapshot(self, revision, listed):
        self.results.append((revision, list(listed)))

    def receive_failure(self, reason):
        self.results.append(reason)


class Connection:
    """Responds to the requests of a reader."""

    def send(self, request, listener):
        self.listener = listener

    def respond(self, era, keys=(), revision=9, more=False):
        items = [{"Key": key, "Revision": 5, "CreateRev": 4} for key in keys]
        body = {"Items": items, "CurrentRev": revision, "MorePages": more}
        headers = [] if era is None else [("store-era", era)]
        listener = self.listener
        listener.on_head(200, headers)
        listener.on_data(json.dumps(body).encode())
        listener.on_end()


@pytest.fixture
def reader():
    connection, replicator = Connection(), Replicator()
    daemon = types.SimpleNamespace(client=connection, replicator=replicator)
    made = store.StoreReader(settings.Address("127.0.0.1", 1), daemon)
    return made, connection, replicator.results


def test_pages_of_two_eras_are_not_joined(reader):
    # Guards against records of two eras in one snapshot, if the store is
    # restored between two pages.
    made, connection, results = reader
    made.start_read(ReadKind.SNAPSHOT)
    connection.respond("1", ["a"], more=True)
    connection.respond("2", ["b"])
    assert results == ["restored between two pages"]


def test_revisions_of_items_include_the_era(reader):
    # Guards against an entry of a restored store that is taken for an earlier
    # version of the known one.
    made, connection, results = reader
    made.start_read(ReadKind.SNAPSHOT)
    connection.respond("2", ["a"])
    ((revision, (record,)),) = results
    assert revision == revisions.combine(2, 9)
    assert record.changed_revision == revisions.combine(2, 5)
    assert record.created_revision == revisions.combine(2, 4)


@pytest.mark.parametrize(
    ("era", "expected"),
    [
        ("3", revisions.combine(3, 9)),
        (None, 9),
        ("", "invalid era"),
        ("-1", "invalid era"),
        ("two", "invalid era"),
        ("\u0662", "invalid era"),
        ("9" * 5000, "invalid era"),
        (str(revisions.MAX_ERA + 1), "invalid era"),
    ],
)
def test_answer_with_an_invalid_era_proves_nothing(reader, era, expected):
    # Guards against revisions that can't be ordered among those of other eras.
    made, connection, results = reader
    made.start_read(ReadKind.PROBE)
    connection.respond(era)
    assert results == [expected]


@pytest.mark.parametrize("number", [-1, revisions.MAX_NUMBER + 1])
def test_revision_out_of_range_is_refused(reader, number):
    # Guards against a revision that would be taken for one of another era.
    made, connection, results = reader
    made.start_read(ReadKind.PROBE)
    connection.respond("1", revision=number)
    assert len(results) == 1
    assert isinstance(results[0], str)
