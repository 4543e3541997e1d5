"""Long streams at engines that process prompts without a break.

The load: prompts arrive at every engine as fast as it processes them, which
slows down the streams that run there. Most responses are short; the long ones
are still in progress at their callers' deadlines.
"""

import math
import random

import pytest

from sycamorefall.direct import (
    core,
    engine_measurement,
    fair_queue,
    outcomes,
    stream_pace,
    upstream_selection,
)
from sycamorefall.direct import state as state_module
from sycamorefall.direct.tests import fakes

AVAILABLE = 10.0
SLOW_GAP = 0.25
FAST_GAP = 0.08


@pytest.fixture
def state():
    """A router with two engines."""
    return fakes.create_state()


def draw_length(rng):
    """Draws the number of events of a response; one in ten is long."""
    return rng.randint(70, 100) if rng.random() < 0.1 else rng.randint(10, 50)


def play_responses(rng, gap, until):
    """Plays 30 responses a second with the same gap, up to a time."""
    lengths = stream_pace.ResponseLengths()
    for start in (step / 30 for step in range(int(30 * until))):
        stream_pace.record_start(lengths, start, AVAILABLE)
        events = draw_length(rng)
        known = int(min(AVAILABLE, until - start) / gap)
        for event in range(1, min(events, known) + 1):
            stream_pace.record_event(lengths, start + event * gap, event)
        if events <= known:
            stream_pace.record_end(lengths, events)
    return lengths


@pytest.mark.parametrize("gap", [FAST_GAP, SLOW_GAP])
@pytest.mark.parametrize("until", [12.0, 60.0])
@pytest.mark.parametrize("seed", range(5))
def test_longest_gap_lets_long_responses_end_in_time(gap, until, seed):
    # Guards against a limit from the responses that are complete: where streams
    # are slow, only short ones are.
    lengths = play_responses(random.Random(seed), gap, until)
    max_gap = stream_pace.compute_max_gap(lengths)
    rng = random.Random(seed + 1)
    drawn = [draw_length(rng) for _ in range(1_000)]
    in_time = sum(events * max_gap <= AVAILABLE for events in drawn)
    if gap == FAST_GAP:
        assert in_time / len(drawn) >= stream_pace.TARGET_SHARE - 0.03
        # Nor is it shorter than the longest responses need.
        assert max_gap >= AVAILABLE / 100
    else:
        # As many events as any stream had; more follow as streams get faster.
        assert max_gap <= SLOW_GAP


def test_old_lengths_are_forgotten():
    # Guards against prompts that are held back for streams of another time.
    lengths = stream_pace.ResponseLengths()
    for length in [90] * 1_000 + [10] * 5_000:
        stream_pace.record_start(lengths, 0.0, AVAILABLE)
        for event in range(1, length + 1):
            stream_pace.record_event(lengths, 0.0, event)
        stream_pace.record_end(lengths, length)
    assert stream_pace.estimate_length(lengths) == 10


def test_routes_without_recent_responses_do_not_count():
    # Guards against prompts that are held back for streams that nobody reads.
    slow, fast = stream_pace.ResponseLengths(), stream_pace.ResponseLengths()
    for lengths, at, events in ((fast, 0.0, 100), (slow, 20.0, 10)):
        stream_pace.record_start(lengths, at, AVAILABLE)
        stream_pace.record_event(lengths, at, events)
    assert stream_pace.find_max_gap([slow, fast], 1.0) == AVAILABLE / 100
    assert stream_pace.find_max_gap([slow, fast], 20.0) == AVAILABLE / 10
    assert stream_pace.find_max_gap([slow, fast], 60.0) == math.inf


def test_pace_is_forgotten():
    # Guards against an engine that gets nothing since it was once slow.
    pace = stream_pace.StreamPace()
    for step in range(20):
        stream_pace.record_gap(pace, step * SLOW_GAP, SLOW_GAP)
    assert stream_pace.estimate_gap(pace, 5.0) == pytest.approx(SLOW_GAP)
    assert stream_pace.estimate_gap(pace, 8.0) is None


def test_freeze_of_the_router_is_no_pace():
    # Guards against a router that refuses requests after its VM was frozen: all
    # of its streams then have one long gap.
    pace = stream_pace.StreamPace()
    for step in range(20):
        stream_pace.record_gap(pace, step * FAST_GAP, FAST_GAP)
    frozen_until = 20 * FAST_GAP + 2.0
    for _ in range(10):
        stream_pace.record_gap(pace, frozen_until, 2.0)
    stream_pace.record_gap(pace, frozen_until + FAST_GAP, FAST_GAP)
    gap = stream_pace.estimate_gap(pace, frozen_until + FAST_GAP)
    assert gap == pytest.approx(FAST_GAP)


def test_events_that_are_read_at_once_count_one_by_one(state):
    # Guards against a late router that takes its engines for slow: it reads
    # several events at once, after a longer time.
    core.record_proof(state, 0.0, 0.0)
    number, sent = fakes.submit_request(state, 0.0, "draft")
    outcomes.record_response(state, 0.1, number, first=True, events=2)
    outcomes.record_response(state, 0.6, number, first=True, events=5)
    outcomes.end_attempt(state, 0.6, number, outcomes.AttemptEnd.COMPLETE)
    pace = state.table.by_name[sent.upstream].pace
    assert stream_pace.estimate_gap(pace, 0.6) == pytest.approx(0.1)
    (lengths,) = state.response_lengths["engine"].values()
    assert stream_pace.estimate_length(lengths) == 6


def test_events_read_at_once_after_a_freeze_are_no_pace(state):
    # Guards against a router that refuses requests after its VM was frozen: the
    # events that came meanwhile are read at once, and the freeze was divided
    # by their number before it was compared with the longest gap that counts.
    numbers = []
    for _ in range(2):
        number, engine = start_stream(state, 0.0, FAST_GAP, 30)
        numbers.append(number)
        engine.own_load.running += 1  # The next stream runs at the other one.
    for number in numbers:
        for events in (5, 2):
            outcomes.record_response(state, 3.9, number, True, events)
    for one in state.table.by_service["engine"]:
        gap = stream_pace.estimate_gap(one.pace, 3.9)
        assert gap is None or gap == pytest.approx(FAST_GAP)


def start_stream(state, now, gap, events):
    """Starts a stream and plays some events; returns its number and engine."""
    core.record_proof(state, now, now)
    number, sent = fakes.submit_request(state, now, "draft")
    for event in range(events + 1):
        outcomes.record_response(state, now + event * gap, number, first=True)
    return number, state.table.by_name[sent.upstream]


def test_engine_with_slow_streams_gets_no_prompts(state):
    # Guards against an engine whose streams never run at full speed, as new
    # prompts arrive before it has processed those it has.
    number, _ = start_stream(state, 0.0, 0.02, 60)
    outcomes.end_attempt(state, 1.2, number, outcomes.AttemptEnd.COMPLETE)
    number, slow = start_stream(state, 1.3, 0.2, 5)
    (fast,) = (
        one for one in state.table.by_service["engine"] if one is not slow
    )
    slow.own_load.running = 2
    slow.own_load.unread = fast.own_load.unread = 3_000
    stream_pace.record_gap(fast.pace, 2.3, 0.02)
    sent = [fakes.submit_request(state, 2.3, "draft")[1] for _ in range(3)]
    assert [one.upstream for one in sent] == [fast.listed.name] * 3
    fast.own_load.running = 4
    waiting, nothing = fakes.submit_request(state, 2.3, "draft")
    assert nothing is None
    state.dispatch_needed = True
    assert not core.run_timers(state, 2.35)
    slow.pace.gap = 0.02
    state.dispatch_needed = True
    (sent,) = core.run_timers(state, 2.6)
    assert (sent.request, sent.upstream) == (waiting, slow.listed.name)


def test_team_behind_the_best_served_is_not_held_back(state):
    # Guards against a team that gets a fraction of the others' service since
    # its callers meet the router that knows how slow the streams are.
    number, _ = start_stream(state, 0.0, 0.02, 60)
    outcomes.end_attempt(state, 1.2, number, outcomes.AttemptEnd.COMPLETE)
    for one in state.table.by_service["engine"]:
        stream_pace.record_gap(one.pace, 2.0, 0.9)
        one.own_load.running = 2
    core.record_proof(state, 2.0, 2.0)
    accounts = state_module.get_or_create_accounts(state, "engine")
    fair_queue.charge_team(accounts, 2.0, "trader", 90_000)
    accounts.max_received = 90_000.0
    waiting = [
        fakes.submit_request(state, 2.0, "draft", team=team)[0]
        for team in ("trader", "mill")
    ]
    state.dispatch_needed = True
    sent = fakes.list_sends(core.run_timers(state, 2.05))
    assert [one.request for one in sent] == [waiting[1]]


def test_streams_that_are_cut_are_long(state):
    # Guards against streams that are cut at their deadlines without effect.
    number, _ = start_stream(state, 0.0, 0.1, 10)
    outcomes.end_attempt(state, 1.0, number, outcomes.AttemptEnd.COMPLETE)
    (lengths,) = state.response_lengths["engine"].values()
    assert stream_pace.estimate_length(lengths) == 10
    for step in range(3):
        number, _ = start_stream(state, 1.0 + step, 0.1, 25)
        core.cancel_request(state, number, 3.95 + step)
    assert stream_pace.estimate_length(lengths) == 25


def test_unknown_pace_is_that_of_other_engines(state):
    # Guards against routers with few streams that go on to send to engines
    # whose pace they don't know, at the cost of the others' teams.
    slow, unknown = state.table.by_service["engine"]
    service = state.catalog.services["engine"]
    for one in (slow, unknown):
        one.own_load.running = 2
    loads = upstream_selection.list_engine_loads(state.table, 1.0, service)
    assert [one.gap for one in loads] == [None, None]
    stream_pace.record_gap(slow.pace, 1.0, 0.3)
    loads = upstream_selection.list_engine_loads(state.table, 1.0, service)
    assert [one.gap for one in loads] == pytest.approx([0.3, 0.3])
    unknown.own_load.running = 1
    loads = upstream_selection.list_engine_loads(state.table, 1.0, service)
    assert [one.gap for one in loads] == pytest.approx([0.3, 0.0])


def test_mostly_free_engine_gets_prompts_at_any_pace(state):
    # Guards against a slow engine that gets nothing although it is idle.
    slow = state.table.by_service["engine"][0]
    stream_pace.record_gap(slow.pace, 1.0, 0.9)
    engine = state.catalog.services["engine"].engine
    load = engine_measurement.measure_engine_load(slow, engine, 1.0)
    assert load.gap == 0.0
    slow.own_load.running = 2
    load = engine_measurement.measure_engine_load(slow, engine, 1.0)
    assert load.gap == pytest.approx(0.9)
