"""Tests of a platform that is restored from a copy, losing its last changes.

What is lost is written again within `replica.SETTLING_TIME`.
"""

from hypothesis import given, settings, strategies
import pytest

from sycamorefall import messages
from sycamorefall.direct import (
    core,
    freshness,
    records,
    replica,
    revisions,
    upstreams,
)
from sycamorefall.direct.tests import fakes, simulated_replicas

APPLY_BOUND = 2.0
"""Seconds within which a change has to be in effect."""

LEASE = simulated_replicas.REVOCATION_BOUND - freshness.DISPATCH_ALLOWANCE


class Operator:
    """Writes configurations, and writes them again if they are lost.

    Attributes:
        acknowledged: Time at which each version was first acknowledged.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.version, self.acknowledged = 0, {}
        self.write()

    def write(self):
        self.version += 1
        self.acknowledged[self.version] = self.fleet.now
        self.write_again()

    def write_again(self):
        value = str(self.version).encode()
        self.fleet.platform.put("configuration", self.fleet.now, value)

    def check(self):
        """Checks that no router regresses or accepts a key for too long."""
        for router in self.fleet.list_live():
            assert router.version >= getattr(router, "seen_version", 0)
            router.seen_version = router.version
            if self.fleet.accepts_keys(router):
                for version, at in self.acknowledged.items():
                    if self.fleet.now - at > LEASE:
                        assert router.version >= version, router.name


def start_fleet(**options):
    fleet = simulated_replicas.Fleet(**options)
    operator = Operator(fleet)
    fleet.run(5.0, operator.check)
    return fleet, operator


def lose_changes(fleet, operator, changes=40):
    """Makes changes, and restores a copy from before them."""
    copy = fleet.platform.copy()
    for number in range(changes):
        fleet.platform.put(f"upstream-{number}", fleet.now)
    operator.write()
    fleet.run(2.0, operator.check)
    fleet.platform.unavailable = True
    fleet.run(2.5, operator.check)
    fleet.platform.restore(copy)
    fleet.platform.unavailable = False


def make_record(key, revision):
    return messages.Record(key, revision, revision, b"")


@pytest.mark.parametrize("restorations", [1, 2, 3])
def test_changes_in_a_new_era_are_in_force_in_time_at_all_routers(restorations):
    # Guards against routers that ignore the changes of a restored platform
    # while their revisions are lower than those before.
    fleet, operator = start_fleet(domains=3, size=4)
    for _ in range(restorations):
        lose_changes(fleet, operator)
        operator.write_again()
        fleet.run(2.5, operator.check)
        operator.write()
        fleet.platform.put("upstream-new", fleet.now)
        fleet.run(APPLY_BOUND, operator.check)
        for router in fleet.list_live():
            assert router.version == operator.version
            assert "upstream-new" in router.upstreams
            assert fleet.accepts_keys(router)


def test_reads_after_a_restoration_stay_few():
    # Guards against a burst of calls when all routers learn of a restoration.
    fleet, operator = start_fleet(domains=6, size=10)
    lose_changes(fleet, operator)
    before = len(fleet.platform.calls)
    fleet.run(3.0, operator.check)
    assert len(fleet.platform.calls) - before <= 3 * 2.2 * 6 + 2 * 6 + 60


def test_late_message_of_an_earlier_era_changes_nothing():
    # Guards against a relay, or a router that was partitioned, that brings the
    # records from before a restoration back.
    early, late = records.Records(), records.Records()
    first = [make_record("e1", revisions.combine(1, 90))]
    records.apply_snapshot(early, revisions.combine(1, 101), first)
    second = [make_record("e2", revisions.combine(2, 60))]
    records.apply_snapshot(late, revisions.combine(1, 95), first)
    records.apply_snapshot(late, revisions.combine(2, 88), second)
    for since in (0, revisions.combine(1, 50)):
        changes = records.collect_changes(early, since)
        outcome = records.apply_changes(late, changes)
        assert outcome is records.UpdateOutcome.UNCHANGED
    assert list(late.by_key) == ["e2"]


def test_upstream_that_had_left_waits_until_the_records_settle():
    # Guards against requests to an upstream whose entry was deleted, and came
    # back with the copy.
    known = records.Records()
    entry = make_record("e1", revisions.combine(1, 5))
    records.apply_snapshot(known, revisions.combine(1, 6), [entry])
    records.apply_snapshot(known, revisions.combine(1, 9), [])
    copied = make_record("e1", revisions.combine(2, 5))
    records.apply_snapshot(known, revisions.combine(2, 7), [copied])
    assert not records.list_in_force(known)
    written = make_record("e1", revisions.combine(2, 8))
    records.apply_snapshot(known, revisions.combine(2, 8), [written])
    assert list(records.list_in_force(known)) == ["e1"]


def test_leaving_upstream_stays_so_until_it_writes_its_entry_again():
    # Guards against new requests to an upstream whose notice was lost.
    leaving = fakes.create_upstream_entry(
        "e1", leaving=True, changed_revision=revisions.combine(1, 9)
    )
    copied = fakes.create_upstream_entry(
        "e1", changed_revision=revisions.combine(2, 5)
    )
    written = fakes.create_upstream_entry(
        "e1", changed_revision=revisions.combine(2, 8)
    )
    kept = upstreams.keep_leaving(leaving, copied)
    assert kept.leaving
    assert not upstreams.keep_leaving(kept, written).leaving


def test_entry_of_a_copy_does_not_make_an_upstream_cold_again():
    # Guards against few requests to all upstreams after a restoration, whose
    # entries say how long they were cold when they were written.
    def list_at(era):
        return [
            fakes.create_upstream_entry(
                "e1",
                cold_remaining=8.0,
                changed_revision=revisions.combine(era, 5),
            )
        ]

    state = fakes.create_state(listing=list_at(1))
    core.apply_listing(state, 60.0, list_at(2))
    assert state.table.by_name["e1"].pacing.listed_until == 8.0


def test_missing_upstream_is_kept_while_the_records_settle():
    # Guards against the loss of upstreams that registered in the seconds that
    # the copy lacks, and write their entries again.
    state = fakes.create_state()
    listing = list(fakes.STANDARD_LISTING)
    core.begin_settling(state, 3.0, False)
    core.record_proof(state, 1.0, 1.0)
    core.apply_listing(state, 1.0, listing[1:])
    assert "e1" in state.table.by_name
    core.record_proof(state, 2.5, 2.5)
    core.apply_listing(state, 3.0, listing[1:])
    assert "e1" not in state.table.by_name


def test_process_started_after_a_restoration_learns_of_it_from_others():
    # Guards against a key whose revocation was lost: a process that started
    # after the restoration would take the copy for complete.
    fleet, operator = start_fleet()
    lose_changes(fleet, operator)
    fleet.run(0.6, operator.check)
    fleet.restart("router-0-2")

    def check():
        assert not fleet.accepts_keys(fleet.routers["router-0-2"])

    fleet.run(1.4, check)
    operator.write_again()
    fleet.run(3.0, operator.check)
    assert fleet.accepts_keys(fleet.routers["router-0-2"])


@pytest.mark.parametrize("outage", [0.5, 2.0, 4.0, 6.0])
def test_revocation_that_was_lost_before_it_was_read_is_not_missed(outage):
    # Guards against a lease that is renewed by a copy without a revocation that
    # no router has read, while operators have yet to write it again.
    fleet, operator = start_fleet()
    copy = fleet.platform.copy()
    fleet.platform.unavailable = True
    operator.write()
    fleet.run(outage, operator.check)
    fleet.platform.restore(copy)
    fleet.platform.unavailable = False
    fleet.run(replica.SETTLING_TIME - 0.1, operator.check)
    operator.write_again()
    fleet.run(3.0, operator.check)
    assert all(map(fleet.accepts_keys, fleet.list_live()))


def test_platform_that_goes_back_without_a_new_era_proves_nothing():
    # Guards against leases that are renewed by a platform that lost changes and
    # doesn't say so, or that no longer states its era.
    fleet, operator = start_fleet()
    copy = fleet.platform.copy()
    fleet.platform.put("upstream-1", fleet.now)
    fleet.run(2.0, operator.check)
    fleet.platform.restore(copy)
    fleet.platform.era -= 1
    fleet.run(LEASE + 0.1)
    assert not any(map(fleet.accepts_keys, fleet.list_live()))
    assert all("upstream-1" in one.upstreams for one in fleet.list_live())


@settings(max_examples=40)
@given(data=strategies.data())
def test_restorations_at_any_moment_break_no_bound(data):
    # Guards against any order of restorations, lost and late messages and
    # partitions in which a router regresses, accepts a key beyond the bound, or
    # doesn't follow the platform in the end.
    fleet, operator = start_fleet(seed=data.draw(strategies.integers(0, 1000)))
    fleet.loss_rate = data.draw(strategies.sampled_from([0.0, 0.1, 0.5]))
    fleet.max_delay = data.draw(strategies.sampled_from([0.001, 0.3, 2.0]))
    names = strategies.sampled_from(sorted(fleet.routers))
    pauses = strategies.floats(0.05, 1.5)
    copies = [fleet.platform.copy()]
    for step in range(data.draw(strategies.integers(3, 10))):
        fleet.run(data.draw(pauses), operator.check)
        match data.draw(strategies.integers(0, 7)):
            case 0:
                router = fleet.routers[data.draw(names)]
                router.frozen = not router.frozen
            case 1:
                fleet.platform.unavailable = not fleet.platform.unavailable
            case 2:
                fleet.platform.refused_routers ^= {data.draw(names)}
            case 3:
                fleet.isolated_routers ^= {data.draw(names)}
            case 4:
                fleet.platform.put(f"upstream-{step % 4}", fleet.now)
            case 5:
                operator.write()
            case 6:
                copies.append(fleet.platform.copy())
            case 7:
                fleet.platform.unavailable = True
                fleet.run(data.draw(pauses), operator.check)
                fleet.platform.restore(
                    data.draw(strategies.sampled_from(copies))
                )
                copies = [fleet.platform.copy()]
                fleet.platform.unavailable = False
                rewrite_after = strategies.floats(
                    0, replica.SETTLING_TIME - 0.1
                )
                fleet.run(data.draw(rewrite_after), operator.check)
                operator.write_again()
    fleet.platform.unavailable, fleet.platform.refused_routers = False, set()
    fleet.isolated_routers, fleet.loss_rate, fleet.max_delay = set(), 0.0, 0.001
    for router in fleet.routers.values():
        router.frozen = False
    fleet.run(8.0, operator.check)
    for router in fleet.list_live():
        assert router.replica.records.by_key == fleet.platform.records
        assert router.version == operator.version
        assert fleet.accepts_keys(router)
