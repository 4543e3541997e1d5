"""A router that is given more than its VM can do."""

from sycamorefall.direct import core, overload
from sycamorefall.direct.tests import fakes


def flood(state, requests=60, teams=("mill", "trader")):
    for one in state.table.by_service["engine"]:
        one.own.running = 4
    for number in range(requests):
        fakes.submit_request(
            state, 0.0, "draft", team=teams[number % len(teams)]
        )


def test_looks_at_waiting_requests_take_a_bounded_part_of_the_time():
    # One team's flood meets a small VM of a large fleet. Each message of
    # another router has all waiting requests tried at all engines, without
    # pause, and callers of plain services get no answer either.
    listing = [
        fakes.create_upstream_entry(f"e{n}", port=n) for n in range(1, 301)
    ]
    state = fakes.create_state(listing=listing)
    flood(state)
    looks = 0
    for turn in range(1, 251):
        state.dispatch_needed = True
        core.run_timers(state, turn * 1e-3)
        looks += state.last_dispatch_at == turn * 1e-3
    tries = 2 * 3
    spent = looks * tries * len(listing) * 0.7e-6
    assert 0.01 < spent < 0.04, "a tenth of a quarter of a second, about"
    due = core.find_next_due(state)
    assert due > state.last_dispatch_at + core.DISPATCH_INTERVAL


def test_place_that_comes_free_is_used_at_once_in_a_small_fleet():
    # The bound must not have callers wait where a look costs nothing.
    state = fakes.create_state()
    flood(state, requests=4)
    core.run_timers(state, 0.01)
    state.dispatch_needed = True
    assert core.find_next_due(state) < 0.011


def test_router_that_is_late_all_the_time_is_not_ready():
    # A large team's callers all reach one small VM, whose loop is late by
    # seconds, while the VMs beside it idle. The balancer can only help if it
    # is told.
    state = fakes.create_state()
    for tenth in range(10):
        overload.record_lateness(state.overload, tenth / 10, 0.1)
    assert core.list_unready_reasons(state, 1.0) == ["overloaded"]
    assert core.list_unready_reasons(state, 1.0 + overload.REST) != [
        "overloaded"
    ]


def test_router_that_was_frozen_is_not_taken_for_overloaded():
    # A VM freezes for seconds, as may all at once. Awake, they are all
    # needed.
    state = fakes.create_state()
    overload.record_lateness(state.overload, 10.0, 5.0)
    assert not overload.is_overloaded(state.overload, 10.0)
