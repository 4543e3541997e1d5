"""Test of the requests that a cold upstream gets from fleets of all sizes.

The load: every router has more requests waiting than it can send, and the
upstreams of a failure domain start together.
"""

import pytest

from benchmarks import cold_upstreams

RATE = 13.0
TRIALS = 25

MAX_ARRIVALS = 24.5
"""Most requests that a cold upstream with this rate takes in one second: one
and a half times the rate, and five."""


@pytest.mark.parametrize("size", cold_upstreams.FLEET_SIZES)
@pytest.mark.parametrize("scenario", cold_upstreams.SCENARIOS)
def test_cold_upstream_is_not_overrun(size, scenario):
    # Guards against a limit that each router keeps for itself while all of
    # them together exceed it, also if their views of the fleet differ.
    most, _ = cold_upstreams.measure(size, scenario, "senders", RATE, TRIALS)
    assert most <= MAX_ARRIVALS


def test_cold_upstream_gets_some_requests():
    # Guards against a limit that leaves cold upstreams idle.
    for size in cold_upstreams.FLEET_SIZES:
        _, mean = cold_upstreams.measure(
            size, "agreed", "senders", RATE, TRIALS
        )
        assert mean > 0.4 * RATE
