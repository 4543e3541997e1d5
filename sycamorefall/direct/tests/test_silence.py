"""Answers of upstreams that fall silent for a while and then go on."""

import itertools
import math

import pytest

from sycamorefall.direct import core, effects, outcomes, upstreams
from sycamorefall.direct.tests import fakes, silent_processes

STEP = 0.05

CASES = [("answer", True, 1.3), ("answer", False, 2.6), ("look", False, 1.3)]


def submit(state, route, begun):
    """Submits a request and begins its response if asked to."""
    number, sent = fakes.submit_request(state, 0.0, route)
    if begun:
        outcomes.record_response(state, STEP, number, first=True)
    return number, sent.upstream


def fill_others(state, upstream):
    for name, one in state.table.by_name.items():
        if name != upstream:
            one.peer_load = upstreams.Load(running=8)


def run_timers(state, until, since=0.0):
    """Runs the router's timers in steps; returns all effects."""
    steps = itertools.takewhile(
        lambda now: now <= until + STEP / 2,
        (since + STEP * count for count in itertools.count(1)),
    )
    return [effect for now in steps for effect in core.run_timers(state, now)]


def create_patient_state():
    """Creates a router whose streams may take longer than a silence."""
    state = fakes.create_state()
    catalog = silent_processes.create_catalog(
        2, ("mill", "trader"), ("engine", "ledger")
    )
    core.apply_catalog(state, 0.0, catalog)
    return state


def list_ends(pending):
    kinds = (effects.AbortAttempt, effects.AbortResponse, effects.AnswerError)
    return [one for one in pending if isinstance(one, kinds)]


@pytest.mark.parametrize(("route", "begun", "seconds"), CASES)
@pytest.mark.parametrize("has_budget", [True, False])
def test_answer_of_an_upstream_that_goes_on_is_not_ended(
    route, begun, seconds, has_budget
):
    # Guards against an answer that ends because its upstream is silent and
    # nothing else can run the request: no upstream has room, or no retry is
    # left.
    bounds = {} if has_budget else {"retry_ratio": 0.0, "retry_extra": 0.0}
    state = fakes.create_state(**bounds)
    number, upstream = submit(state, route, begun)
    if has_budget:
        fill_others(state, upstream)
    silent_until = seconds + STEP * begun
    assert not list_ends(run_timers(state, silent_until))
    outcomes.record_response(state, silent_until, number, first=route != "look")
    end = outcomes.AttemptEnd.COMPLETE
    assert not outcomes.end_attempt(state, silent_until, number, end)
    assert not state.requests and not state.running


def leave_listing(state, now, upstream):
    """Applies a listing without an upstream."""
    others = [one for one in fakes.STANDARD_LISTING if one.name != upstream]
    core.apply_listing(state, now, others)
    core.record_proof(state, now, now)


def test_stream_moves_from_a_silent_upstream_that_is_no_longer_listed():
    # Guards against a caller that waits for a dead engine until its deadline
    # because the engine's entry was gone before another one had room.
    state = fakes.create_state()
    number, upstream = submit(state, "answer", begun=True)
    fill_others(state, upstream)
    assert not run_timers(state, 1.5)
    leave_listing(state, 1.5, upstream)
    for one in state.table.by_name.values():
        one.peer_load = upstreams.Load()
    (abort, sent) = core.run_timers(state, 1.6)
    assert abort == effects.AbortAttempt(number)
    assert isinstance(sent, effects.SendRequest) and sent.upstream != upstream


@pytest.mark.parametrize("route", ["answer", "look"])
def test_request_at_an_upstream_that_nobody_hears_is_ended(route):
    # Guards against a caller that is held until its deadline by a dead upstream
    # whose connections stay open, while nothing else has room.
    state = fakes.create_state(heartbeat=0.5)
    number, upstream = submit(state, route, begun=False)
    fill_others(state, upstream)
    assert not run_timers(state, 1.4)
    leave_listing(state, 1.4, upstream)
    assert not core.run_timers(state, 1.5)
    abort, end = core.run_timers(state, 1.7)
    assert abort == effects.AbortAttempt(number)
    assert abort.reason is effects.EndReason.GONE
    assert isinstance(end, effects.AnswerError)
    assert not state.requests and not state.running


@pytest.mark.parametrize("restarted", [True, False])
def test_begun_answer_is_not_cut_at_an_upstream_that_nobody_hears(restarted):
    # Guards against an answer that is cut although its upstream, which stood
    # still until its entry had lapsed, goes on before the deadline.
    state = fakes.create_state(heartbeat=0.5, retry_ratio=0.0, retry_extra=0.0)
    number, upstream = submit(state, "answer", begun=True)
    if restarted:
        entry = fakes.create_upstream_entry(upstream, start_time=2)
        others = [one for one in fakes.STANDARD_LISTING if one.name != upstream]
        core.apply_listing(state, 0.1, [*others, entry])
        outcomes.record_response(state, 0.2, number, first=True)
    else:
        leave_listing(state, 0.2, upstream)
    request = state.requests[number]
    silent_until = request.deadline - 0.1
    assert silent_until > 2.5
    assert not run_timers(state, silent_until)
    outcomes.record_response(state, silent_until, number, first=True)
    end = outcomes.AttemptEnd.COMPLETE
    assert not outcomes.end_attempt(state, silent_until, number, end)
    assert not state.requests and not state.running


@pytest.mark.parametrize("announced", [True, False])
def test_stream_of_a_leaving_upstream_is_not_ended(announced):
    # Guards against an answer that ends because its engine, which is about to
    # leave and serves on, is silent for a moment after its entry is gone.
    state = fakes.create_state(heartbeat=0.5)
    number, upstream = submit(state, "answer", begun=True)
    fill_others(state, upstream)
    known = state.table.by_name[upstream]
    if announced:
        upstreams.record_leaving(state.table, 0.1, known)
    leave_listing(state, 0.2, upstream)
    silent_until = 2.5 if announced else 1.5
    assert not run_timers(state, silent_until)
    outcomes.record_response(state, silent_until, number, first=True)
    assert not run_timers(state, 2.9)
    assert state.requests[number].attempt.upstream == upstream


def test_stalled_upstream_is_probed_while_old_requests_stay_there():
    # Guards against an engine that idles until the deadlines of requests on
    # dead connections, although it answers on new ones.
    state = fakes.create_state(
        listing=[fakes.create_upstream_entry("e1")], retry_extra=0.0
    )
    submit(state, "draft", begun=True)
    assert not run_timers(state, 1.2)
    number, sent = fakes.submit_request(state, 1.2, "draft")
    assert sent is None
    (probe,) = run_timers(state, 1.6)
    assert (probe.request, probe.upstream) == (number, "e1")
    outcomes.record_response(state, 1.65, number, first=True)
    assert fakes.submit_request(state, 1.66, "draft")[1] is not None


def test_first_bytes_after_a_stall_end_the_suspension():
    # Guards against an engine that goes on and is left to idle, as its failures
    # were counted while it was silent.
    state = fakes.create_state(listing=[fakes.create_upstream_entry("e1")])
    number, _ = submit(state, "draft", begun=True)
    run_timers(state, 1.2)
    waiting, sent = fakes.submit_request(state, 1.2, "draft")
    assert sent is None
    outcomes.record_response(state, 1.25, number, first=True)
    (sent,) = core.run_timers(state, 1.26)
    assert sent.request == waiting


def test_probe_of_a_stalled_upstream_has_time_to_be_answered():
    # Guards against probes that leave a stalled engine at once, so that it
    # never shows that it goes on.
    state = fakes.create_state()
    first, upstream = submit(state, "answer", begun=True)
    fill_others(state, upstream)
    run_timers(state, 1.2)
    probe, _ = fakes.submit_request(state, 1.5, "answer")
    assert state.requests[probe].attempt.upstream == upstream
    for one in state.table.by_name.values():
        if one.listed.name != upstream:
            one.peer_load = upstreams.Load()
    moved = fakes.list_sends(core.run_timers(state, 1.6))
    assert [one.request for one in moved] == [first]
    assert state.requests[probe].attempt.upstream == upstream


def test_stream_that_is_not_read_is_not_taken_for_stalled():
    # Guards against a stream that leaves its engine, although that goes on,
    # because its caller is slow and this router has paused reading.
    state = fakes.create_state()
    number, upstream = submit(state, "answer", begun=True)
    request = state.requests[number]
    outcomes.record_pause(request, math.inf)
    assert not run_timers(state, 1.5)
    outcomes.record_pause(request, 1.5)
    assert not core.run_timers(state, 2.4)
    assert request.attempt.upstream == upstream
    (_, sent) = core.run_timers(state, 2.6)
    assert sent.upstream != upstream


def test_stream_leaves_a_silent_upstream_whose_entry_is_gone():
    # Guards against callers that wait until their deadlines because an
    # upstream that left the listing is not watched for silence.
    state = create_patient_state()
    _, upstream = submit(state, "answer", begun=True)
    others = [one for one in fakes.STANDARD_LISTING if one.name != upstream]
    core.apply_listing(state, 2 * STEP, others)
    # The limit, the interval of the check and one step.
    moved = run_timers(state, STEP + 1.0 + 0.1 + STEP)
    (sent,) = fakes.list_sends(moved)
    assert sent.upstream != upstream


def test_upstream_that_sends_again_gets_waiting_requests():
    # Guards against an upstream that is left to idle after a silence, since
    # its suspension outlasts the silence.
    state = create_patient_state()
    number, upstream = submit(state, "draft", begun=True)
    fill_others(state, upstream)
    run_timers(state, 2.0)
    _, probe = fakes.submit_request(state, 2.0, "answer")
    assert probe.upstream == upstream
    waiting, sent = fakes.submit_request(state, 2.0, "answer")
    assert sent is None
    run_timers(state, 2.3, since=2.0)
    outcomes.record_response(state, 2.3, number, first=True)
    (sent,) = fakes.list_sends(run_timers(state, 2.8, since=2.3))
    assert (sent.request, sent.upstream) == (waiting, upstream)


def test_request_that_stays_without_a_retry_is_no_refused_retry():
    # Guards against a metric of refused retries that grows at each pass while a
    # request stays at a silent upstream.
    state = fakes.create_state(retry_ratio=0.0, retry_extra=0.0)
    submit(state, "answer", begun=True)
    assert not run_timers(state, 1.5)
    assert state.moving
    assert state.budgets["engine"].refused == 0
