"""Pauses of streams at engines that process prompts without a break.

The load: long and short prompts arrive at an engine as fast as it processes
them, and streams that have begun there pause between their events.
"""

import pytest

from sycamorefall.direct import catalog, core, outcomes, pauses
from sycamorefall.direct.tests import fakes

MAX_PAUSE = 0.5


@pytest.fixture
def state():
    """A router with two engines and a limit on the pauses of its streams."""
    created = fakes.create_state()
    engine = catalog.Engine(64, 600_000)
    created.catalog.services["engine"] = catalog.Service("engine", 500, engine)
    for routes in created.catalog.routes.values():
        for prefix, route in routes.items():
            fields = {name: getattr(route, name) for name in route.__slots__}
            routes[prefix] = catalog.Route(**fields | {"max_pause": MAX_PAUSE})
    return created


def play_stream(state, now, gaps, team="mill"):
    """Plays a stream with the given gaps between its events."""
    core.record_proof(state, now, now)
    number, sent = fakes.submit_request(state, now, "draft", team=team)
    at = now + 0.05
    outcomes.record_response(state, at, number, first=True)
    for gap in gaps:
        at += gap
        outcomes.record_response(state, at, number, first=True)
    outcomes.end_attempt(state, at, number, outcomes.AttemptEnd.COMPLETE)
    return sent.upstream


def test_long_pauses_limit_the_time_without_a_break(state):
    # Guards against an engine that processes prompts without a break, so that
    # its streams pause for longer than their callers find acceptable.
    name = play_stream(state, 0.0, [0.1, 0.6, 0.1])
    slow = state.table.by_name[name]
    (other,) = (
        one for one in state.table.by_service["engine"] if one is not slow
    )
    assert pauses.compute_max_busy(slow.breaks, 1.0) < (
        pauses.compute_max_busy(other.breaks, 1.0)
    )


def test_engine_finishes_its_prompts_before_it_gets_more(state):
    # Guards against prompts that follow each other so closely that the engine
    # never generates tokens at its full speed.
    slow, other = state.table.by_service["engine"]
    other.own_load.running = 64
    for at in range(40):
        pauses.record_pause(slow.breaks, float(at))
    slow.own_load.running, slow.own_load.unread = 20, 8_000
    sent = []
    for step in range(100):
        now = 40.0 + step / 100
        core.record_proof(state, now, now)
        if now >= 40.7:
            slow.own_load.unread = 0
        _, pending = core.handle_request(
            state, now, fakes.create_request("draft")
        )
        pending += core.run_timers(state, now)
        sent += [now] * len(fakes.list_sends(pending))
    longest = pauses.MIN_BUSY_SECONDS
    assert [at for at in sent if at < 40.0 + longest]
    assert not [at for at in sent if 40.0 + longest < at < 40.7]
    assert [at for at in sent if at >= 40.7]


def test_limit_recovers(state):
    # Guards against an engine that stays half empty after a single delay.
    slow = state.table.by_service["engine"][0]
    pauses.record_pause(slow.breaks, 0.0)
    lowered = pauses.compute_max_busy(slow.breaks, 0.0)
    assert lowered < pauses.MAX_BUSY_SECONDS
    recovered = pauses.compute_max_busy(slow.breaks, 60.0)
    assert recovered == pauses.MAX_BUSY_SECONDS


def test_streams_of_routes_without_a_limit_do_not_count(state):
    # Guards against breaks for callers that didn't ask for them.
    state.catalog = fakes.create_catalog(version=9)
    name = play_stream(state, 0.0, [2.0])
    breaks = state.table.by_name[name].breaks
    assert pauses.compute_max_busy(breaks, 3.0) == pauses.MAX_BUSY_SECONDS
