"""Tests that the cost of a decision does not grow with the number of teams."""

import pytest

from benchmarks import decisions

BOUNDS = {
    "admit (router)": 1.1,
    "hand out (router)": 1.1,
    "end (router)": 1.1,
    "start and finish (sidecar)": 1.1,
}


@pytest.fixture(scope="module")
def calls():
    return {
        teams: decisions.measure_calls(teams, spread=False, repeats=20)
        for teams in (1600, 31000)
    }


@pytest.mark.parametrize("step", BOUNDS)
def test_calls_of_a_step_do_not_grow_with_the_teams(calls, step):
    assert calls[31000][step] <= BOUNDS[step] * calls[1600][step]


def test_sweep_looks_at_a_bounded_number_of_queues(calls):
    """The sweep examines a bounded number of queues in turn.

    The sweep runs four times a second. Guards against a sweep of all queues:
    with 3,100 backlogged teams it would block the router's event loop.
    """
    most = {teams: cost["sweep (router)"] for teams, cost in calls.items()}
    assert most[31000] <= 3.0 * most[1600]
