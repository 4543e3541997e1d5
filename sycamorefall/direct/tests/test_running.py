"""The count of requests at upstreams, on which looks for silence hang."""

import random

import pytest

from sycamorefall.direct import core, freshness, outcomes
from sycamorefall.direct.tests import fakes

PATHS = ("draft", "answer", "book", "look")


def act(state, draws, now):
    """Does one of the things that begin, move or end a request."""
    number = draws.choice([0, *state.requests])
    match draws.randrange(5):
        case 0 | 1:
            fakes.submit_request(state, now, draws.choice(PATHS), time_left=2.0)
        case 2:
            core.cancel_request(state, number, now)
        case 3:
            end = draws.choice(list(outcomes.AttemptEnd))
            outcomes.end_attempt(state, now, number, end)
        case 4:
            outcomes.record_response(state, now, number, first=True)


@pytest.mark.parametrize("seed", range(20))
def test_running_is_the_number_of_requests_at_upstreams(seed):
    # An engine hangs and nobody notices until a caller's deadline. Cause: the
    # count of running requests fell to 0 too early, so the loop slept through
    # the looks for silence.
    draws = random.Random(seed)
    state, now, most = fakes.create_state(), 0.0, 0
    for _ in range(600):
        now += draws.expovariate(20.0)
        freshness.record_proof(state.freshness, now)
        act(state, draws, now)
        core.run_timers(state, now)
        running = [one for one in state.requests.values() if one.attempt]
        assert state.running == len(running)
        most = max(most, len(running))
        look = state.stalls_checked_at + core.STALL_CHECK_INTERVAL
        assert not running or core.find_next_due(state) <= look
    assert most > 3
    core.run_timers(state, now + 100.0)
    assert state.running == 0
    assert core.find_next_due(state) == float("inf")
