"""Tests of a router whose VM gets more work than it can do."""

from sycamorefall.direct import core, outcomes, overload
from sycamorefall.direct.tests import fakes


def flood(state, requests=60, teams=("mill", "trader")):
    for one in state.table.by_service["engine"]:
        one.own_load.running = 4
    for number in range(requests):
        fakes.submit_request(
            state, 0.0, "draft", team=teams[number % len(teams)]
        )


def test_dispatch_of_waiting_requests_takes_bounded_time():
    # One team sends far more requests than a small VM of a large fleet can
    # serve. Each load report of another router made the router try all waiting
    # requests at all engines, so that even callers of plain services got no
    # response.
    listing = [
        fakes.create_upstream_entry(f"e{n}", port=n) for n in range(1, 301)
    ]
    state = fakes.create_state(listing=listing)
    flood(state)
    dispatches = 0
    for turn in range(1, 251):
        state.dispatch_needed = True
        core.run_timers(state, turn * 1e-3)
        dispatches += state.last_dispatch_at == turn * 1e-3
    tries = 2 * 3
    spent = dispatches * tries * len(listing) * 0.7e-6
    assert 0.01 < spent < 0.04, "a tenth of a quarter of a second, about"
    due = core.find_next_due(state)
    assert due > state.last_dispatch_at + core.DISPATCH_INTERVAL


def test_free_slot_is_used_at_once_in_a_small_fleet():
    # The bound on the time for trying waiting requests must not delay callers
    # where a try costs next to nothing.
    state = fakes.create_state()
    flood(state, requests=4)
    core.run_timers(state, 0.01)
    state.dispatch_needed = True
    assert core.find_next_due(state) < 0.011


def test_router_that_is_always_late_is_not_ready():
    # All callers of a large team reach one small VM. Its event loop is late by
    # seconds, while other VMs idle. The balancer can move callers only if the
    # router reports that it is not ready.
    state = fakes.create_state()
    for tenth in range(10):
        overload.record_lateness(state.overload, tenth / 10, 0.1)
    assert core.list_unready_reasons(state, 1.0) == ["overloaded"]
    assert core.list_unready_reasons(
        state, 1.0 + overload.OVERLOAD_HOLD_TIME
    ) != ["overloaded"]


def test_frozen_router_does_not_count_as_overloaded():
    # A VM freezes for seconds, and so may all VMs at once. Afterwards all of
    # them are needed, so none may report that it is not ready.
    state = fakes.create_state()
    overload.record_lateness(state.overload, 10.0, 5.0)
    assert not overload.is_overloaded(state.overload, 10.0)


def respond_late(arrived_after, handled_at, responses=20):
    """Lets responses arrive at a router; returns the rate that it estimates.

    Args:
        arrived_after: Seconds from each send after which its response arrived.
        handled_at: Seconds from each send until the router handles it.
        responses: Number of responses.
    """
    state = fakes.create_state(
        listing=[fakes.create_upstream_entry("e1", port=1)]
    )
    engine = state.table.by_name["e1"]
    for turn in range(responses):
        now = 10.0 * turn
        core.record_proof(state, now, now)
        parts = ((f"part-{turn}", 7500),)
        number, sent = fakes.submit_request(
            state, now, "draft", tokens=8000, parts=parts
        )
        assert sent
        outcomes.record_response(
            state,
            now + handled_at,
            number,
            first=True,
            arrived_after=now + arrived_after,
        )
        end = outcomes.AttemptEnd.COMPLETE
        outcomes.end_attempt(state, now + handled_at, number, end)
    return engine.prefill_rate


def test_late_router_does_not_take_its_lateness_for_slow_engines():
    # Guards against a flooded router that estimates each response as late and
    # sends next to nothing: it measured engines by the time at which it handled
    # their responses, 0.3 s after they had arrived.
    usual = respond_late(arrived_after=0.1, handled_at=0.1)
    assert respond_late(arrived_after=0.1, handled_at=0.4) >= 80_000.0
    assert usual >= 80_000.0


def test_router_learns_that_engines_are_slow_though_it_is_late():
    # Guards against a late router that never learns from slow responses.
    assert respond_late(arrived_after=0.4, handled_at=0.7) < 40_000.0
    assert respond_late(arrived_after=0.4, handled_at=0.4) < 40_000.0


def test_time_left_of_a_request_counts_from_its_arrival():
    # A router that was late gave a request its whole time again when it read
    # it: its caller had left before it was answered, and its upstream was told
    # of more time than was left.
    state = fakes.create_state()
    incoming = fakes.create_request("look", time_left=2.0)
    number, (sent,) = core.handle_request(state, 5.0, incoming, 4.2)
    assert state.requests[number].deadline == 6.2
    assert outcomes.record_sent(state, 5.1, number) < 1.2
    late, _ = core.handle_request(state, 5.0, incoming, 2.5)
    answered = core.run_timers(state, 5.01)
    assert late not in state.requests
    assert fakes.list_error_kinds(answered)
    assert state.requests[number].attempt is not None


def test_begun_answer_is_not_cut_before_its_caller_gives_up():
    # A request that had lain unread for an unknown time was taken for an old
    # one, and its answer cut though its caller still waited.
    state = fakes.create_state(5.0)
    incoming = fakes.create_request("answer", time_left=2.0)
    number, (sent,) = core.handle_request(state, 5.0, incoming, 4.2)
    assert fakes.list_sends([sent])
    for step in range(1, 40):
        now = 5.0 + step / 20
        outcomes.record_response(state, now, number, first=True)
        assert not core.run_timers(state, now)
    outcomes.record_response(state, 6.99, number, first=True)
    assert core.run_timers(state, 7.01)
    assert number not in state.requests
