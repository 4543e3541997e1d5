"""Exchange of crash evidence between routers, in simulated time."""

import collections

import pytest

from sycamorefall import messages, names
from sycamorefall.direct import crash_exchange as crash_exchange_module
from sycamorefall.direct import (
    evidence,
    exchange,
    fingerprints,
    quarantine,
    trials,
)
from sycamorefall.direct.quarantine import Crash, Evidence
from sycamorefall.direct.tests import simulated_fleet

HARMFUL = b"h" * 16

SPREAD_BOUND = 3.0
"""Seconds within which all routers must learn of a third crash."""


def record_crash(fleet, name, crash, request=HARMFUL, cleared=False):
    """Records a crash at one router, or a request's success after it."""
    known = fleet.routers[name].state.quarantine
    evidence = [Evidence(Crash(crash, 1), request, cleared, fleet.now)]
    new, _ = quarantine.add_evidence(known, fleet.now, evidence)
    known.unsent += ((one.crash, one.fingerprint) for one in new)


def list_unquarantined(fleet, request=HARMFUL):
    """Lists routers at which a request is not quarantined."""
    return [
        one.name
        for one in fleet.list_live()
        if not quarantine.is_quarantined(one.state.quarantine, request)
    ]


@pytest.fixture
def fleet():
    made = simulated_fleet.Fleet()
    made.run(4.0)
    return made


def test_crashes_seen_by_three_routers_are_summed_at_all_routers(fleet):
    # Guards against a request whose repetitions arrive at different routers,
    # each of which sees only one crash.
    for name, crash in (
        ("router-0-0", "e1"),
        ("router-1-2", "e2"),
        ("router-2-3", "e3"),
    ):
        record_crash(fleet, name, crash)
        fleet.run(0.02)
    fleet.run(0.05)
    assert list_unquarantined(fleet) == []


@pytest.mark.parametrize("seed", range(8))
def test_quarantine_spreads_within_the_bound_despite_lost_messages(seed):
    # Guards against routers that miss a quarantine because control messages
    # are lost.
    fleet = simulated_fleet.Fleet(domains=4, size=6, seed=seed)
    fleet.run(4.0)
    fleet.loss = 0.3
    for number in range(3):
        record_crash(fleet, f"router-{number}-{number + 2}", f"e{number}")
    fleet.run(SPREAD_BOUND)
    assert list_unquarantined(fleet) == []


def test_failure_domain_learns_of_a_quarantine_after_a_partition(fleet):
    # Guards against routers that send a quarantined request after a partition
    # because the evidence was exchanged during it.
    fleet.partitioned = {"domain-2"}
    for number in range(3):
        record_crash(fleet, "router-0-1", f"e{number}")
    fleet.run(5.0)
    assert set(list_unquarantined(fleet)) == {f"router-2-{n}" for n in range(4)}
    fleet.partitioned = set()
    fleet.run(2.5)
    assert list_unquarantined(fleet) == []


def test_restarted_router_learns_of_a_quarantine(fleet):
    # Guards against a restarted router that sends a quarantined request.
    for number in range(3):
        record_crash(fleet, "router-0-1", f"e{number}")
    fleet.run(20.0)
    fleet.restart("router-1-1")
    fleet.run(2.0)
    assert list_unquarantined(fleet) == []


def test_success_anywhere_clears_a_request_everywhere(fleet):
    # Guards against a harmless request that stays a suspect at other routers.
    for number in range(2):
        record_crash(fleet, "router-0-1", f"e{number}")
    fleet.run(0.2)
    for number in range(2):
        record_crash(fleet, "router-2-2", f"e{number}", cleared=True)
    fleet.run(0.2)
    record_crash(fleet, "router-1-0", "e3")
    fleet.run(0.2)
    counts = {
        quarantine.count_crashes(one.state.quarantine, HARMFUL)
        for one in fleet.list_live()
    }
    assert counts == {1}


def test_evidence_expires_although_routers_repeat_it(monkeypatch):
    # Guards against evidence that never expires because routers keep sending
    # it to each other.
    monkeypatch.setattr(quarantine, "QUARANTINE_RETENTION", 6.0)
    monkeypatch.setattr(quarantine, "EXPIRY_SCAN_INTERVAL", 1.0)
    fleet = simulated_fleet.Fleet(domains=2, size=3)
    fleet.run(4.0)
    for number in range(3):
        record_crash(fleet, "router-0-1", f"e{number}")
    for _ in range(12):
        fleet.run(1.0)
        for one in fleet.list_live():
            quarantine.drop_expired(one.state.quarantine, fleet.now)
    assert not any(one.state.quarantine.suspects for one in fleet.list_live())


def test_messages_about_crashes_are_bounded(fleet):
    # Guards against excessive control traffic after the crash of an engine
    # with many requests in progress.
    sizes = []
    for number in range(96):
        record_crash(fleet, "router-0-1", "e1", b"%016d" % number)
    one = fleet.routers["router-0-1"]
    for _ in range(10):
        for outbound in crash_exchange_module.build_due_messages(
            one.crash_exchange, one.load_exchange, one.state, fleet.now
        ):
            envelope = messages.Envelope(one.name, 1, 1, outbound.message)
            sizes.append(len(messages.encode_envelope(envelope)))
        fleet.now += crash_exchange_module.SEND_INTERVAL
    assert max(sizes) < 2000
    seconds = 10 * crash_exchange_module.SEND_INTERVAL
    assert sum(sizes) / 2 / seconds < 3500


def test_malformed_record_is_ignored(fleet):
    # Guards against malformed records, which another version might send.
    report = messages.CrashReport(
        "e1",
        1,
        (
            messages.SuspectRecord(b"short", 0),
            messages.SuspectRecord(HARMFUL, -5),
        ),
    )
    one = fleet.routers["router-0-0"]
    envelope = messages.Envelope(
        "router-0-1", 1, 1, messages.CrashReports((report,))
    )
    crash_exchange_module.handle_reports(
        one.crash_exchange, one.load_exchange, one.state, fleet.now, envelope
    )
    assert not one.state.quarantine.suspects


def test_upstream_names_in_crash_reports_are_defined_once():
    # Guards against crash reports in which the receiver can't resolve the
    # upstream's name.
    record = messages.SuspectRecord(HARMFUL, 3, True)
    report = messages.CrashReport("e1", 1_791_542_604_516, (record,))
    sent = messages.Envelope("a", 1, 1, messages.CrashReports((report,)))
    sender, receiver = names.NameTable(), names.NameTable()
    for _ in range(2):
        compact = names.compact_envelope(sender, "b", sent)
        data = messages.encode_envelope(compact)
        found, unknown = names.expand_envelope(
            receiver, messages.decode_envelope(data)
        )
        assert (found, unknown) == (sent, ())
    assert b"e1" not in data


def test_evidence_of_requests_with_most_crashes_is_sent_first(fleet):
    # Guards against a quarantine that is delayed by a backlog of evidence about
    # requests with a single crash.
    for number in range(200):
        record_crash(fleet, "router-0-3", "e1", b"%016d" % number)
    for crash in ("e1", "e2", "e3"):
        record_crash(fleet, "router-0-3", crash)
    fleet.run(0.2)
    assert list_unquarantined(fleet) == []


PART = fingerprints.compute_part_fingerprint("dead")


def record_part_crash(fleet, name, crash, request, part=PART):
    """Records a crash at one router whose request had a part in its prompt."""
    known = fleet.routers[name].state.quarantine
    evidence = [
        Evidence(Crash(crash, 1), part, False, fleet.now, frozenset({request}))
    ]
    new, _ = quarantine.add_evidence(known, fleet.now, evidence)
    known.unsent += ((one.crash, one.fingerprint) for one in new)


def test_part_at_crashes_of_three_routers_is_refused_by_all(fleet):
    # Guards against a part whose crashes are seen by different routers, and
    # against counting one request that several routers sent.
    for number, name in enumerate(("router-0-0", "router-1-2", "router-2-3")):
        record_part_crash(fleet, name, f"e{number}", b"same")
        fleet.run(0.02)
    fleet.run(0.3)
    assert len(list_unquarantined(fleet, PART)) == len(fleet.routers)
    record_part_crash(fleet, "router-1-0", "e2", b"diff")
    fleet.run(0.1)
    assert list_unquarantined(fleet, PART) == []


def test_restarted_router_learns_of_a_part(fleet):
    # Guards against a router that has just started and sends a part that the
    # others refuse.
    for number in range(3):
        record_part_crash(fleet, "router-0-1", f"e{number}", b"req%d" % number)
    fleet.run(20.0)
    fleet.restart("router-1-1")
    fleet.run(2.0)
    assert list_unquarantined(fleet, PART) == []


@pytest.mark.parametrize("seed", range(4))
def test_success_at_one_router_keeps_a_part_in_use_at_all(seed):
    # Guards against refusing a part that one router only knows to be sound,
    # while crashes of several upstreams are reported at once.
    fleet = simulated_fleet.Fleet(seed=seed)
    fleet.run(4.0)
    # Delegates forward what they know; the others have to tell it themselves.
    sound = next(
        one
        for one in fleet.list_live()
        if not exchange.is_delegate(one.load_exchange, one.state, fleet.now)
        and not one.name.endswith("-0")
    )
    quarantine.record_proof(sound.state.quarantine, fleet.now, [PART])
    for number in range(3):
        name = f"router-{number}-0"
        record_part_crash(fleet, name, f"e{number}", b"req%d" % number)
    fleet.run(1.0)
    assert len(list_unquarantined(fleet, PART)) == len(fleet.routers)


def test_one_router_tells_of_a_success_that_all_know(fleet):
    # Guards against messages of all routers about a part that all of them know
    # to be sound, each time that one router accuses it.
    for router in fleet.list_live():
        quarantine.record_proof(router.state.quarantine, fleet.now, [PART])
    fleet.restart("router-0-1")
    fleet.run(1.0)
    sent = count_crash_messages(fleet)
    record_part_crash(fleet, "router-0-1", "e1", b"req1")
    fleet.run(0.5)
    tellers = {name for name in sent if name != "router-0-1"}
    assert 1 <= len(tellers) < len(fleet.routers) - 1


def count_crash_messages(fleet):
    """Counts messages about crashes from now on, by their sender."""
    counts = collections.Counter()
    deliver = fleet._deliver

    def count(router, to, envelope, size):
        if isinstance(envelope.message, messages.CrashReports):
            counts[router.name] += 1
        deliver(router, to, envelope, size)

    fleet._deliver = count
    return counts


def record_crash_of_parts(fleet, name, crash, *parts, tried=frozenset()):
    """Records a crash at one router, by a request of its own."""
    known = fleet.routers[name].state.quarantine
    source = crash.encode().ljust(fingerprints.SOURCE_SIZE)
    sources = dict.fromkeys(parts, frozenset({source}))
    quarantine.record_crash(known, fleet.now, Crash(crash, 1), sources, tried)


@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_all_routers_learn_that_a_part_was_answered_before(fleet, loss):
    # Guards against routers that refuse the sound part of a caller's prompts,
    # as only another router has served them.
    first, dead = map(fingerprints.compute_part_fingerprint, ("f0", "dead"))
    known = fleet.routers["router-2-3"].state.quarantine
    quarantine.record_proof(known, fleet.now, [first])
    fleet.run(5.0)
    fleet.loss = loss
    for number in range(3):
        record_crash_of_parts(
            fleet, f"router-{number}-{number}", f"e{number}", first, dead
        )
        fleet.run(0.6)
    fleet.run(SPREAD_BOUND)
    names = {one.name for one in fleet.list_live()}
    assert list_unquarantined(fleet, dead) == []
    assert set(list_unquarantined(fleet, first)) == names


def test_all_routers_learn_of_a_failed_trial(fleet):
    # Guards against a harmful part that is tried by one router after the other.
    first, dead = map(fingerprints.compute_part_fingerprint, ("f0", "dead"))
    for number in range(3):
        record_crash_of_parts(fleet, "router-0-1", f"e{number}", first, dead)
    fleet.run(SPREAD_BOUND)
    record_crash_of_parts(fleet, "router-1-2", "e4", dead, tried={dead})
    fleet.run(SPREAD_BOUND)
    assert all(
        one.state.quarantine.suspects[dead].tried == evidence.TRIED_ALONE
        for one in fleet.list_live()
    )


def test_few_routers_try_a_part_at_the_same_time():
    # Guards against a harmful part that all routers of a large fleet try at the
    # same time, each once.
    part = fingerprints.compute_part_fingerprint("f0")
    known = quarantine.Quarantine()
    for crash in "abc":
        sources = dict.fromkeys((part, b"other"), frozenset({crash.encode()}))
        quarantine.record_crash(known, 0.0, Crash(crash, 1), sources)

    def may_try(router, now):
        known.trials.clear()
        return bool(trials.choose_trial(known, now, [part], router, 368))

    def count_triers(now):
        return sum(may_try(f"router-{number}", now) for number in range(368))

    due = trials.TRIAL_DELAY
    assert count_triers(due - 0.1) == 0
    assert count_triers(due) <= 3
    assert count_triers(due + trials.TRIAL_STEP) <= 5
    assert count_triers(due + 12 * trials.TRIAL_STEP) == 368
