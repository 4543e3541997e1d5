"""Regression bounds on control traffic, in counts and bytes, not in time."""

import functools

import pytest

from benchmarks import control, world

MAX_BYTES_PER_SECOND = 7000
"""Budget of control traffic in bytes per node and second."""

ALL = sorted(control.CASES)


@functools.cache
def run(name):
    return control.measure(control.CASES[name])


@pytest.mark.parametrize("name", ALL)
def test_every_case_of_today_stays_under_the_budget(name):
    figures = run(name)
    assert figures["bytes_per_node_s"] <= MAX_BYTES_PER_SECOND
    assert figures["router_bytes_s"] <= MAX_BYTES_PER_SECOND
    assert figures["sidecar_bytes_s"] <= MAX_BYTES_PER_SECOND


@pytest.mark.parametrize("name", ALL)
def test_no_capacity_idles_while_work_waits(name):
    assert run(name)["lost_capacity"] < 0.01


@pytest.mark.parametrize("name", ["demo, unloaded", "association, 0.25"])
def test_unloaded_request_takes_one_trip(name):
    # Sending a request at once also takes one message delay, so claims add no
    # latency while slots are free.
    assert run(name)["wait_trips_p50"] == 1.0
    assert run(name)["wait_trips_p95"] == 1.0


def test_unloaded_requests_cost_hardly_any_control_message():
    case = control.CASES["association, 0.25"]
    counts = world.Simulation(case).run()
    per_request = ("Waiting", "Claim", "NoWork")
    sent = sum(counts.messages[kind] for kind in per_request)
    assert sent <= 0.05 * len(counts.waits)


def test_lost_messages_leave_nothing_waiting():
    # 3% of the control messages are lost: hints, announcements, claims and
    # definitions of names. Guards against requests that are never started
    # after a loss; a delayed start is accepted.
    case = world.Case(rate=72, work=1.0, loss=0.03, seconds=12)
    fleet = world.Simulation(case)
    counts = fleet.run()
    load = fleet.loads["service-0"]
    assert counts.lost / (load.slots * case.seconds / 2) < 0.03
    oldest = min(fleet.arrivals.values(), default=case.seconds)
    assert oldest > case.seconds - 3.0
