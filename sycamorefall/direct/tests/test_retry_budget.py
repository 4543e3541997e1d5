import itertools

from hypothesis import example, given, strategies
import pytest

from sycamorefall import settings
from sycamorefall.direct import budget, core, dispatching, outcomes
from sycamorefall.direct import state as state_module
from sycamorefall.direct.tests import fakes

SERVICE = "engine"
STEP = 0.25
DURATION = 40.0
HEARD_AFTER = 1.0
BOUNDS = settings.BoundSettings(
    retry_ratio=0.2, retry_extra=58, retry_window=10
)


class Router:
    """A router whose process may be restarted at any time."""

    def __init__(self, routers):
        self.routers = routers
        self.requests, self.retries = [], []
        self.restart(0.0)

    def restart(self, now):
        self.started_at = now
        self.state = state_module.create_state("a", BOUNDS, 1, now)

    def run(self, now, requests, tries):
        """Counts requests and tries to send retries."""
        if now >= self.started_at + HEARD_AFTER:
            self.state.routers = self.routers
        known = dispatching.get_or_create_budget(self.state, SERVICE)
        for _ in range(requests):
            budget.count_request(known, now)
            self.requests.append(now)
        for _ in range(tries):
            if budget.take_retry(known, now):
                self.retries.append(now)


def count_within(times, begin, end):
    return sum(begin <= at < end for at in times)


def find_excess(routers):
    """Returns the largest excess of retries in any window of the fleet.

    Requests count in the window, in the one before it, or in the one half a
    window before it, whichever has most.
    """
    requests = [at for router in routers for at in router.requests]
    retries = [at for router in routers for at in router.retries]
    window = BOUNDS.retry_window

    def compute_excess(begin):
        asked = max(
            count_within(requests, begin - shift, begin - shift + window)
            for shift in (0, window / 2, window)
        )
        allowed = BOUNDS.retry_ratio * asked + BOUNDS.retry_extra
        return count_within(retries, begin, begin + window) - allowed

    return max(map(compute_excess, set(retries)), default=0.0)


ALL = (0, 1, 2, 3, 4)


@example(requests=1, failing_at=20.0, restarts=[])
@example(requests=1, failing_at=20.0, restarts=[(22.0, ALL), (24.0, ALL)])
@example(requests=5, failing_at=20.0, restarts=[(21.0, ALL), (25.0, ALL)])
@example(requests=1, failing_at=0.0, restarts=[(t, ALL) for t in range(1, 30)])
@given(
    requests=strategies.integers(0, 8),
    failing_at=strategies.floats(0, 25),
    restarts=strategies.lists(
        strategies.tuples(
            strategies.floats(0, DURATION),
            strategies.lists(strategies.sampled_from(ALL), min_size=1),
        ),
        max_size=12,
    ),
)
def test_restarted_routers_stay_within_the_budget_of_all_routers(
    requests, failing_at, restarts
):
    # Guards against processes that forget on a restart how many retries they
    # sent, so that a failing service gets the allowance once more each time.
    routers = [Router(len(ALL)) for _ in ALL]
    pending = sorted((at, tuple(chosen)) for at, chosen in restarts)
    for step in itertools.count():
        now = step * STEP
        if now >= DURATION:
            break
        while pending and pending[0][0] <= now:
            for number in pending.pop(0)[1]:
                routers[number].restart(now)
        for router in routers:
            tries = 30 if now >= failing_at else 0
            router.run(now, requests, tries)
    assert find_excess(routers) <= 0


@pytest.mark.parametrize(
    ("end", "is_sent_again"),
    [
        (outcomes.AttemptEnd.NOT_SENT, True),
        (outcomes.AttemptEnd.NOT_RUN, False),
        (outcomes.AttemptEnd.OTHER_INCARNATION, False),
        (outcomes.AttemptEnd.BROKEN, False),
    ],
)
def test_send_that_reached_no_upstream_needs_no_retry(end, is_sent_again):
    # Guards against a router without retries, as after its start, that refuses
    # each request whose first upstream is down.
    state = fakes.create_state(retry_ratio=0.0, retry_extra=0.0)
    number, _ = fakes.submit_request(state, 0.0, "look")
    again = outcomes.end_attempt(state, 0.01, number, end)
    again += core.run_timers(state, 0.02)
    assert bool(fakes.list_sends(again)) == is_sent_again
