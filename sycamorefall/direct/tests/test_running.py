"""Tests of the count of running requests, which controls the stall checks."""

import random

import pytest

from sycamorefall.direct import core, freshness, outcomes
from sycamorefall.direct.tests import fakes

ROUTES = ("draft", "answer", "book", "look")


def perform_random_step(state, rng, now):
    """Performs a random event that starts, advances or ends a request."""
    number = rng.choice([0, *state.requests])
    match rng.randrange(5):
        case 0 | 1:
            fakes.submit_request(state, now, rng.choice(ROUTES), time_left=2.0)
        case 2:
            core.cancel_request(state, number, now)
        case 3:
            end = rng.choice(list(outcomes.AttemptEnd))
            outcomes.end_attempt(state, now, number, end)
        case 4:
            outcomes.record_response(state, now, number, first=True)


@pytest.mark.parametrize("seed", range(20))
def test_running_equals_the_number_of_requests_at_upstreams(seed):
    # A hanging engine goes unnoticed until a caller's deadline: if the count of
    # running requests falls to 0 too early, the event loop schedules no stall
    # checks.
    rng = random.Random(seed)
    state, now, most = fakes.create_state(), 0.0, 0
    for _ in range(600):
        now += rng.expovariate(20.0)
        freshness.record_proof(state.freshness, now)
        perform_random_step(state, rng, now)
        core.run_timers(state, now)
        running = [one for one in state.requests.values() if one.attempt]
        assert state.running == len(running)
        most = max(most, len(running))
        next_check_at = state.stalls_checked_at + core.STALL_CHECK_INTERVAL
        assert not running or core.find_next_due(state) <= next_check_at
    assert most > 3
    core.run_timers(state, now + 100.0)
    assert state.running == 0
    assert core.find_next_due(state) == float("inf")
