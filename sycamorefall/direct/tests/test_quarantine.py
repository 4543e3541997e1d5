"""Quarantine of requests that were in progress at several crashes."""

import itertools
import random

from hypothesis import given, strategies
import pytest

from sycamorefall.direct import quarantine
from sycamorefall.direct.quarantine import Crash, Evidence

HARMFUL, HARMLESS, OTHER = b"harmful", b"harmless", b"other"


def create(*records, now=0.0):
    """Creates a quarantine from (crash, request) pairs, added one by one."""
    known = quarantine.Quarantine()
    for crash, request in records:
        add(known, crash, request, now=now)
    return known


def add(known, crash, *requests, now=0.0, cleared=False):
    found = [
        Evidence(Crash(crash, 1), request, cleared, now) for request in requests
    ]
    return quarantine.add_evidence(known, now, found)


def test_request_at_three_crashes_in_a_row_is_quarantined():
    known = create(("e1", HARMFUL), ("e2", HARMFUL))
    assert not quarantine.is_quarantined(known, HARMFUL)
    assert add(known, "e3", HARMFUL)[1] == [HARMFUL]
    assert quarantine.is_quarantined(known, HARMFUL)


def test_crash_that_is_reported_repeatedly_counts_once():
    # Guards against quarantining a harmless request because several routers
    # report the same crash.
    known = create(*[("e1", HARMLESS)] * 5)
    assert quarantine.count_crashes(known, HARMLESS) == 1
    assert add(known, "e1", HARMLESS) == ([], [])


def test_crash_of_a_restarted_process_counts_again():
    # Guards against counting only once a request that repeatedly crashes an
    # upstream that restarts under the same name.
    known = quarantine.Quarantine()
    found = [
        Evidence(Crash("e1", start_time), HARMFUL, False, 0.0)
        for start_time in "abc"
    ]
    quarantine.add_evidence(known, 0.0, found)
    assert quarantine.is_quarantined(known, HARMFUL)


def test_success_resets_the_crash_count():
    # Guards against quarantining a popular request that was in progress at
    # several unrelated crashes.
    known = create(("e1", HARMLESS), ("e2", HARMLESS))
    quarantine.clear_suspects(known, 1.0, [HARMLESS])
    assert quarantine.count_crashes(known, HARMLESS) == 0
    add(known, "e3", HARMLESS)
    add(known, "e4", HARMLESS)
    assert not quarantine.is_quarantined(known, HARMLESS)


def test_late_success_ends_a_quarantine():
    # Guards against a false quarantine that lasts although an attempt that was
    # still in progress succeeded.
    known = create(("e1", HARMLESS), ("e2", HARMLESS), ("e3", HARMLESS))
    quarantine.clear_suspects(known, 1.0, [HARMLESS])
    assert not quarantine.is_quarantined(known, HARMLESS)


def test_requests_that_reach_the_limit_together_are_all_quarantined():
    # Guards against missing a harmful request because another one with the
    # same crashes was quarantined first.
    known = create(*itertools.product(("e1", "e2"), (HARMFUL, HARMLESS)))
    assert sorted(add(known, "e3", HARMFUL, HARMLESS)[1]) == [HARMFUL, HARMLESS]


def test_suspects_expire_and_refused_requests_stay_quarantined():
    known = create(("e1", HARMLESS), ("e1", HARMFUL), ("e2", HARMFUL))
    add(known, "e3", HARMFUL)
    late = quarantine.SUSPECT_RETENTION
    quarantine.extend_quarantine(known, late, HARMFUL)
    quarantine.drop_expired(known, late)
    assert list(known.suspects) == [HARMFUL]
    quarantine.drop_expired(known, late + quarantine.QUARANTINE_RETENTION - 1)
    assert quarantine.is_quarantined(known, HARMFUL)
    quarantine.drop_expired(known, late + quarantine.QUARANTINE_RETENTION)
    assert not known.suspects
    assert quarantine.find_next_scan(known) == float("inf")


def test_suspects_displace_no_quarantined_request(monkeypatch):
    # Guards against unbounded memory, and against the eviction of quarantined
    # requests, if a caller changes one byte of its request each time.
    monkeypatch.setattr(quarantine, "MAX_SUSPECTS", 50)
    known = create(("e1", HARMFUL), ("e2", HARMFUL), ("e3", HARMFUL))
    add(known, "e4", OTHER)
    add(known, "e5", OTHER)
    for number in range(500):
        add(known, f"x{number}", b"%d" % number, now=1.0 + number)
    assert len(known.suspects) == 51
    assert quarantine.is_quarantined(known, HARMFUL)
    assert quarantine.count_crashes(known, OTHER) == 2


def test_quarantined_requests_are_bounded(monkeypatch):
    monkeypatch.setattr(quarantine, "MAX_QUARANTINED", 4)
    known = quarantine.Quarantine()
    for number in range(6):
        for crash in "abc":
            add(known, f"{number}{crash}", b"%d" % number, now=float(number))
    assert known.quarantined == {b"2", b"3", b"4", b"5"}
    assert known.suspects.keys() == known.quarantined


RECORDS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from("abcde"),
        strategies.sampled_from((HARMFUL, HARMLESS, OTHER)),
        strategies.booleans(),
    ),
    max_size=15,
)


@given(RECORDS, strategies.randoms(use_true_random=False))
def test_order_and_repetition_of_evidence_do_not_matter(records, order):
    # Guards against routers that derive different records from the same
    # evidence because messages are repeated or reordered.
    def collect(found):
        known = quarantine.Quarantine()
        for crash, request, cleared in found:
            add(known, crash, request, cleared=cleared)
        return {
            request: (suspect.crashes, suspect.cleared)
            for request, suspect in known.suspects.items()
        }

    shuffled = records * 2
    order.shuffle(shuffled)
    assert collect(shuffled) == collect(records)


@pytest.mark.parametrize("seed", range(20))
def test_request_that_always_crashes_is_found_among_harmless_ones(seed):
    # Guards against missing a harmful request because different harmless
    # requests are in progress at each crash.
    draws = random.Random(seed)
    known = quarantine.Quarantine()
    harmless = [b"%d" % number for number in range(200)]
    for number in range(3):
        others = draws.sample(harmless, 12)
        add(known, f"e{number}", HARMFUL, *others)
        for request in draws.sample(harmless, 150):
            quarantine.clear_suspects(known, float(number), [request])
    assert known.quarantined == {HARMFUL}


PARTS = (b"first", b"second", b"third")


@strategies.composite
def draw_pieces(draw):
    """Draws evidence of parts and of a request, mostly of crashes."""
    name = draw(strategies.sampled_from("abcdefgh"))
    fingerprint = draw(strategies.sampled_from((*PARTS, HARMFUL)))
    is_part = fingerprint in PARTS
    return Evidence(
        Crash(name, 1),
        fingerprint,
        draw(strategies.integers(0, 9)) == 0,
        0.0,
        frozenset({name.encode()}) if is_part else frozenset(),
        answered=is_part and draw(strategies.integers(0, 5)) == 0,
        tried=draw(strategies.integers(0, 9 if is_part else 0)) // 8,
    )


@given(
    strategies.lists(draw_pieces(), max_size=40),
    strategies.randoms(use_true_random=False),
)
def test_verdicts_do_not_depend_on_the_order_of_evidence(pieces, order):
    # Guards against routers that refuse different parts by the same evidence:
    # whether one is convicted depends on the verdicts on others.
    def collect(found):
        known = quarantine.Quarantine()
        for size in order.choices(range(1, 5), k=len(found)):
            quarantine.add_evidence(known, 0.0, found[:size])
            found = found[size:]
        quarantine.add_evidence(known, 0.0, found)
        return known.quarantined

    shuffled = pieces * 2
    order.shuffle(shuffled)
    assert collect(shuffled) == collect(pieces)


def test_verdict_is_taken_back_when_another_one_explains_its_crashes():
    # Guards against a verdict on a sound part that outlasts the evidence
    # against the harmful one, or the news that the sound one was answered.
    known = quarantine.Quarantine()

    def add_part(crash, part, answered=False):
        sources = frozenset({crash.encode()})
        piece = Evidence(Crash(crash, 1), part, False, 0.0, sources, answered)
        quarantine.add_evidence(known, 0.0, [piece])

    for crash in "abc":
        add_part(crash, PARTS[0], answered=True)
    assert known.quarantined == {PARTS[0]}
    for crash in "abc":
        add_part(crash, PARTS[1])
    assert known.quarantined == {PARTS[1]}
    for crash in "abc":
        add_part(crash, PARTS[2])
    assert known.quarantined == {PARTS[1], PARTS[2]}
    add_part("a", PARTS[2], answered=True)
    assert known.quarantined == {PARTS[1]}
