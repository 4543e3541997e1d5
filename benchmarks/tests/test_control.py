"""Regression bounds on control traffic, by counts and bytes, never time."""

import functools

import pytest

from benchmarks import control, world

MAX_BYTES_PER_SECOND = 7000
"""Bytes per node and second for control."""

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
    # Pushing takes one trip too: nothing is added while there is room.
    assert run(name)["wait_trips_p50"] == 1.0
    assert run(name)["wait_trips_p95"] == 1.0


def test_unloaded_requests_cost_hardly_any_control_message():
    case = control.CASES["association, 0.25"]
    counts = world.World(case).run()
    per_request = ("Waiting", "Claim", "NoWork")
    sent = sum(counts.messages[kind] for kind in per_request)
    assert sent <= 0.05 * len(counts.waits)


def test_lost_messages_leave_nothing_waiting():
    # Three control messages in a hundred are lost: hints, announcements,
    # claims, definitions of names. Requests come later, but they all come.
    case = world.Case(rate=72, work=1.0, loss=0.03, seconds=12)
    fleet = world.World(case)
    counts = fleet.run()
    load = fleet.loads["service-0"]
    assert counts.lost / (load.slots * case.seconds / 2) < 0.03
    oldest = min(fleet.arrivals.values(), default=case.seconds)
    assert oldest > case.seconds - 3.0
