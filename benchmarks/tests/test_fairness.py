"""Regression bounds on the fairness benchmark, on a small fleet.

All figures follow from the seed and the decisions, so the bounds are cost units
and ratios, not wall time.
"""

import dataclasses

import pytest

from benchmarks import fairness, fleet, loads, results

SMALL = fleet.Options(routers=3, upstreams=4, slots=4, seconds=160.0)

LARGEST_GAPS = {
    "even": 1.0,
    "skewed": 1.0,
    "flood": 1.6,
    "weights": 1.0,
    "hints": 1.5,
}
"""Regression bounds on the gap, as a multiple of the largest request.

The bound of `flood` is larger, as the flooding team fills every slot before the
other teams send requests.
"""


def measure(name, options):
    case = loads.CASES[name]
    outcome = fleet.run_fleet(case, options)
    return results.measure_outcome(case, options, "", outcome, 0.1)


@pytest.mark.parametrize("name", LARGEST_GAPS)
def test_gap_stays_far_below_its_bound(name):
    figures = measure(name, SMALL)
    assert figures.gap <= figures.bound
    assert figures.gap <= LARGEST_GAPS[name] * loads.LARGEST_COST
    assert figures.lost < 0.01


def test_large_team_on_one_router_gets_no_more_than_its_share():
    # All requests of a large team arrive at the same router. With separate
    # queues at each router, the team would be limited to that router's part
    # of the slots, and small teams at other routers would be served far more.
    options = dataclasses.replace(SMALL, seconds=480.0)
    own, local, push, first = fairness.compare_policies(
        loads.CASES["skewed"], options
    )
    assert own.gap * 10 <= local.gap
    assert own.gap * 40 <= min(push.gap, first.gap)


def test_gap_does_not_grow_with_time():
    # Guards against a constant rate of unfairness and against accumulating
    # random differences: with either, the gap grows with the run's duration.
    options = dataclasses.replace(SMALL, seconds=640.0)
    own, local, *_ = fairness.compare_policies(loads.CASES["even"], options)
    limit = 1.5 * loads.LARGEST_COST
    assert own.gap <= limit < 2 * limit < local.gap


def test_same_seed_gives_the_same_figures():
    options = dataclasses.replace(SMALL, seconds=24.0)
    assert measure("flood", options) == measure("flood", options)


def test_sidecars_cut_off_from_some_routers_serve_the_others():
    # During a partition, half of the upstreams reach only one router, but
    # their sidecars still hold announcements of the other routers. If they
    # kept claiming that work, each claim would leave a slot idle for a lease
    # while callers of the reachable router wait.
    options = dataclasses.replace(SMALL, routers=4)
    assert measure("partition", options).lost < 0.06


def test_team_that_returns_has_not_saved_up_service():
    options = dataclasses.replace(SMALL, routers=4)
    figures = measure("returning", options)
    assert figures.gap <= loads.LARGEST_COST
