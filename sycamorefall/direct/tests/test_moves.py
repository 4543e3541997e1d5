"""Requests that this router lets go because their upstream is silent."""

import time

import pytest

from sycamorefall import transport
from sycamorefall.direct import (
    core,
    dialects,
    effects,
    local_failures,
    outcomes,
    upstreams,
)
from sycamorefall.direct.tests import failing_router, fakes

STEP = 0.05

FULL = upstreams.Load(200)


def create_entries(count, service="engine", **more):
    return [
        fakes.create_upstream_entry(f"u{place}", service, port=place, **more)
        for place in range(1, count + 1)
    ]


def begin_stream(state, now):
    """Begins a resumable stream; returns its number and its upstream."""
    number, sent = fakes.submit_request(state, now, "answer")
    outcomes.record_response(state, now, number, first=True)
    return number, state.table.by_name[sent.upstream]


def run_timers(state, until):
    """Runs the timers in steps up to a time; returns the last effects."""
    now, pending = 0.0, []
    while now < until and not fakes.list_sends(pending):
        now = round(now + STEP, 2)
        pending = core.run_timers(state, now)
    return now, pending


def fill(state):
    for one in state.table.by_name.values():
        one.peer_load = FULL


def end_declined(state, now, number):
    end = outcomes.AttemptEnd.NOT_RUN
    return outcomes.end_attempt(state, now, number, end)


def end_unopened(state, now, number):
    return local_failures.end_unopened_attempt(state, now, number)


def test_requests_to_move_do_not_delay_those_that_wait():
    # Guards against waiting requests, also those of other services, that are
    # tried every few seconds because others can't move from silent engines.
    listing = [
        *create_entries(910),
        fakes.create_upstream_entry("l", "ledger", port=911),
    ]
    state = fakes.create_state(listing=listing, retry_extra=0.0)
    for _ in range(400):
        begin_stream(state, 0.0)
    fill(state)
    for now in (0.1, 1.2):
        core.run_timers(state, now)
    number, sent = fakes.submit_request(state, 1.25, "look")
    assert sent is None and state.requests[number].attempt is None
    core.run_timers(state, 1.31)
    state.table.by_name["l"].peer_load = upstreams.Load()
    state.dispatch_needed = True
    sends = [
        one.request
        for step in range(1, 5)
        for one in fakes.list_sends(core.run_timers(state, 1.31 + 0.1 * step))
    ]
    assert sends == [number]


def test_requests_to_move_leave_time_for_others():
    # Guards against a router that does nothing but look for places: the check
    # for stalls runs ten times a second, and each takes a pass over all
    # upstreams for each request.
    state = fakes.create_state(listing=create_entries(910, "ledger"))
    for _ in range(400):
        fakes.submit_request(state, 0.0, "look")
    fill(state)
    for now in (0.1, 0.6):
        core.run_timers(state, now)
    assert len(state.moving) == 400
    began = time.process_time()
    for step in range(1, 11):
        core.run_timers(state, 0.6 + 0.1001 * step)
    assert time.process_time() - began < 0.5


@pytest.mark.parametrize("end_attempt", [end_declined, end_unopened])
def test_request_that_no_upstream_takes_leaves_the_retry_budget(end_attempt):
    # Guards against one request that uses up a service's retry budget, as the
    # upstreams that declined it are asked again at each pass.
    state = fakes.create_state(listing=create_entries(3), retry_extra=200.0)
    number, _ = begin_stream(state, 0.0)
    sends, now = 0, 0.0
    while now < 2.5:
        now = round(now + STEP, 2)
        pending = core.run_timers(state, now)
        while fakes.list_sends(pending):
            sends += 1
            pending = end_attempt(state, now, number)
    assert sends <= len(state.table.by_name)


def test_move_from_a_stalled_upstream_does_not_end_its_probe():
    # Guards against several probes at a time at a stalled upstream: each
    # request that leaves it lets the next one in.
    state = fakes.create_state(listing=create_entries(2), retry_extra=200.0)
    state.table.by_name["u2"].peer_load = FULL
    old = [begin_stream(state, 0.0)[0] for _ in range(2)]
    run_timers(state, 1.2)
    silent = state.table.by_name["u1"]
    probe, _ = fakes.submit_request(state, 1.55, "answer")
    assert state.requests[probe].attempt.process is silent
    assert not upstreams.is_usable(silent, 1.6)
    state.table.by_name["u2"].peer_load = upstreams.Load(3)
    (sent,) = fakes.list_sends(core.run_timers(state, 1.6))
    assert sent.request in old
    assert not upstreams.is_usable(silent, 1.65)


def test_request_that_waits_for_a_place_ends_with_its_service():
    # Guards against a caller that is held until its deadline for a service that
    # the configuration no longer has.
    state = fakes.create_state(listing=create_entries(2), retry_extra=200.0)
    number, _ = begin_stream(state, 0.0)
    now, _ = run_timers(state, 1.5)
    fill(state)
    end_declined(state, now, number)
    assert state.requests[number].attempt is None
    new = fakes.create_catalog(2, excluded=("draft", "answer"))
    del new.services["engine"]
    pending = core.apply_catalog(state, now, new)
    pending += core.run_timers(state, now + 0.2)
    assert any(isinstance(one, effects.AbortResponse) for one in pending)


def test_stream_whose_bytes_arrive_outlasts_another_start_time():
    # Guards against streams that are all cut by an entry with another start
    # time although bytes of their process arrive after it.
    state = fakes.create_state(listing=create_entries(1, start_time=3))
    number, _ = begin_stream(state, 0.0)
    core.apply_listing(state, 0.5, create_entries(1, start_time=4))
    outcomes.record_response(state, 0.55, number, first=True)
    pending = core.run_timers(state, 0.6)
    assert not any(isinstance(one, effects.AbortAttempt) for one in pending)


def test_bytes_of_a_plain_response_end_its_silence(monkeypatch):
    # Guards against a plain response that is ended while its body arrives, as
    # its upstream's entry is gone and only heads of responses count as bytes.
    router = failing_router.Router(monkeypatch)
    router.handle_calls(["look"])
    (number,) = router.state.requests
    head = dialects.ResponseHead(dialects.ResponseOutcome.SUCCESS, 200, ())
    router.read_head = lambda: head
    listener = router.sent["/look/0"].listener
    for one in router.state.table.by_name.values():
        one.peer_load = FULL
    listener.on_head(200, [])
    attempt = router.state.requests[number].attempt
    router.now = 2.0
    listener.on_data(b"part")
    assert attempt.process.last_byte_at == transport.read_clock()


def test_plain_response_that_arrives_slowly_is_not_moved():
    # Guards against a plain response that is given up while its body arrives,
    # as only the time since the send counted.
    state = fakes.create_state()
    number, _ = fakes.submit_request(state, 0.0, "look")
    for now in (0.3, 0.6, 0.9):
        outcomes.record_response(state, now, number, first=False)
        assert not core.run_timers(state, now + 0.1)
