"""Requests to upstreams that are cold after their start.

The load: more requests wait than the upstreams can run, and some or all of the
upstreams have just been started.
"""

import pytest

from sycamorefall import transport
from sycamorefall.direct import (
    core,
    crashes,
    effects,
    outcomes,
    upstreams,
    warmup,
)
from sycamorefall.direct.tests import fakes

COLD_SECONDS = 3.0
COLD_RATE = 10.0

INTERVAL = 0.2
"""Send interval of the only router of a failure domain."""


def create_entry(name="e1", cold_remaining=0.0, revision=1, domain="a"):
    return fakes.create_upstream_entry(
        name,
        failure_domain=domain,
        cold_remaining=cold_remaining,
        changed_revision=revision,
    )


@pytest.fixture
def state():
    """A router that knows itself as the only one of its failure domain."""
    created = fakes.create_state(listing=[])
    catalog = fakes.create_catalog(
        version=2, cold_seconds=COLD_SECONDS, cold_rate=COLD_RATE
    )
    core.apply_catalog(created, 0.0, catalog)
    warmup.update_senders(created, 0.0, "front-1", {"front-1"})
    return created


def list_send_times(state, start, seconds):
    """Submits a request every 10 ms; returns when requests were sent.

    Upstreams respond at once.
    """
    times = []
    for step in range(round(seconds * 100)):
        now = start + step / 100
        core.record_proof(state, now, now)
        request = fakes.create_request("draft")
        _, pending = core.handle_request(state, now, request)
        pending += core.run_timers(state, now)
        for sent in fakes.list_sends(pending):
            times.append(now)
            end = outcomes.AttemptEnd.COMPLETE
            outcomes.end_attempt(state, now, sent.request, end)
    return times


def test_cold_upstream_gets_paced_requests_until_it_is_warm(state):
    # Guards against a crash of an upstream that gets a warm one's load
    # directly after its start.
    core.apply_listing(state, 0.0, [create_entry(cold_remaining=3.0)])
    times = list_send_times(state, 0.0, 4.0)
    cold = [time for time in times if time < 3.0]
    assert len(cold) == 15
    gaps = [b - a for a, b in zip(cold, cold[1:], strict=False)]
    assert min(gaps) >= INTERVAL - 1e-9
    assert sum(3.0 <= time < 3.5 for time in times) > 25


def test_router_that_is_no_sender_waits_until_the_upstream_is_warm(state):
    # Guards against a rate limit that each router applies for itself: the
    # upstream would get the limit times the number of routers.
    others = {f"front-{n}" for n in range(2, 40)}
    for name in (f"e{n}" for n in range(40)):
        core.apply_listing(state, 0.0, [create_entry(name, 3.0)])
        warmup.update_senders(state, 0.0, "front-1", others | {"front-1"})
        if not list_send_times(state, 0.0, 1.0):
            return
    pytest.fail("the router sends to every cold upstream")


@pytest.mark.parametrize("routers", [set(), {"front-2"}])
def test_router_that_does_not_know_the_others_does_not_send(state, routers):
    # Guards against routers that start together, don't know of each other yet
    # and all take the whole rate of a cold upstream.
    warmup.update_senders(state, 0.0, "front-1", routers)
    core.apply_listing(state, 0.0, [create_entry(cold_remaining=3.0)])
    times = list_send_times(state, 0.0, 3.5)
    assert min(times) == pytest.approx(3.0)


def test_router_of_another_failure_domain_does_not_send(state):
    # Guards against senders that don't know of each other: routers know only
    # those of their own failure domain.
    entry = create_entry(cold_remaining=3.0, domain="b")
    core.apply_listing(state, 0.0, [entry])
    assert min(list_send_times(state, 0.0, 3.5)) == pytest.approx(3.0)


def test_warm_upstreams_take_what_cold_ones_may_not(state):
    # Guards against requests that wait for a cold upstream, such as the home
    # of their prompt, while a warm one has room.
    warm = fakes.create_upstream_entry("e2", port=2)
    listing = [create_entry("e1", 3.0), warm]
    core.apply_listing(state, 0.0, listing)
    assert len(list_send_times(state, 0.0, 1.0)) >= 100


def test_upstream_that_turns_cold_again_is_paced_again(state):
    # Guards against a cold period that is only recognized at the first entry.
    core.apply_listing(state, 0.0, [create_entry()])
    assert len(list_send_times(state, 0.0, 0.5)) == 50
    core.apply_listing(state, 0.5, [create_entry("e1", 2.0, revision=2)])
    assert len(list_send_times(state, 0.5, 1.0)) in (4, 5)
    core.apply_listing(state, 1.5, [create_entry("e1", 0.0, revision=3)])
    assert len(list_send_times(state, 1.5, 0.5)) >= 50


def test_unchanged_entry_does_not_extend_the_cold_period(state):
    # Guards against an upstream that stays paced while its entry, written
    # when it was cold, is listed again with other entries' changes.
    entry = create_entry(cold_remaining=3.0)
    core.apply_listing(state, 0.0, [entry])
    core.apply_listing(state, 2.9, [entry, create_entry("e2", revision=5)])
    core.apply_listing(state, 2.95, [entry])
    assert len(list_send_times(state, 3.0, 0.5)) >= 50


def test_crashed_process_is_cold_when_it_is_back_under_its_name(state):
    # Guards against the full load for a restarted process whose new entry has
    # not been read yet.
    core.apply_listing(state, 0.0, [create_entry()])
    number, sent = fakes.submit_request(state, 0.0, "draft")
    (check,) = crashes.record_disconnect(state, 0.1, number)
    assert isinstance(check, effects.CheckUpstream)
    crashes.handle_check_result(
        state, 0.1, check, transport.Reachability.REFUSED
    )
    core.cancel_request(state, number, 0.1)
    upstream = state.table.by_name[sent.upstream]
    upstreams.record_success(upstream, 0.5)
    assert len(list_send_times(state, 0.5, 1.0)) == 5


def test_service_without_cold_time_is_not_paced(state):
    # Guards against pacing where the configuration states no cold rate.
    core.apply_catalog(state, 0.0, fakes.create_catalog(version=3))
    core.apply_listing(state, 0.0, [create_entry(cold_remaining=3.0)])
    assert len(list_send_times(state, 0.0, 0.5)) == 50
