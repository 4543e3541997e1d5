"""Failure domains whose upstreams the operators evacuate.

The load: requests run at and wait for upstreams of several failure domains
while one, two or all of the domains are evacuated and put into use again.
"""

import pytest

from sycamorefall import errors
from sycamorefall.direct import core, homes, outcomes, warmup
from sycamorefall.direct.tests import fakes

LISTING = [
    fakes.create_upstream_entry("e1", port=1, failure_domain="a"),
    fakes.create_upstream_entry("e2", port=2, failure_domain="b"),
    fakes.create_upstream_entry("l1", "ledger", port=3, failure_domain="a"),
    fakes.create_upstream_entry("l2", "ledger", port=4, failure_domain="b"),
]


@pytest.fixture
def state():
    created = fakes.create_state(listing=LISTING)
    catalog = fakes.create_catalog(version=2, cold_seconds=3.0, cold_rate=10.0)
    core.apply_catalog(created, 0.0, catalog)
    warmup.update_senders(created, 0.0, "front-1", {"front-1"})
    return created


@pytest.mark.parametrize("route", ["draft", "answer", "book", "look"])
def test_evacuated_domain_gets_no_requests(state, route):
    # Guards against first sends, retries and resumed streams to upstreams of
    # a domain in which the operators are at work.
    core.apply_evacuated_domains(state, 0.0, {"a"})
    number, sent = fakes.submit_request(state, 0.0, route)
    assert sent.upstream in ("e2", "l2")
    end = outcomes.AttemptEnd.NOT_RUN
    pending = outcomes.end_attempt(state, 0.1, number, end)
    assert not fakes.list_sends(pending)


def test_request_in_progress_ends_well(state):
    # Guards against requests that are cut off as their domain is evacuated.
    number, sent = fakes.submit_request(state, 0.0, "draft")
    domain = state.table.by_name[sent.upstream].listed.failure_domain
    assert core.apply_evacuated_domains(state, 0.1, {domain}) == []
    assert core.apply_listing(state, 0.2, LISTING) == []
    outcomes.record_response(state, 0.3, number, first=True)
    end = outcomes.AttemptEnd.COMPLETE
    assert outcomes.end_attempt(state, 0.4, number, end) == []


def test_waiting_requests_move_at_once(state):
    # Guards against requests that go on waiting for the upstreams of an
    # evacuated domain until their time is over.
    for name in ("e1", "e2"):
        state.table.by_name[name].own_load.running = 4
    number, sent = fakes.submit_request(state, 0.0, "draft")
    assert sent is None
    core.apply_evacuated_domains(state, 0.1, {"a"})
    state.table.by_name["e2"].own_load.running = 0
    (sent,) = fakes.list_sends(core.run_timers(state, 0.1))
    assert (sent.request, sent.upstream) == (number, "e2")


def test_requests_are_refused_at_once_if_all_domains_are_evacuated(state):
    # Guards against callers that wait for upstreams that will not be used.
    for name in ("e1", "e2"):
        state.table.by_name[name].own_load.running = 4
    waiting, sent = fakes.submit_request(state, 0.0, "draft")
    assert sent is None
    (refused,) = core.apply_evacuated_domains(state, 0.1, {"a", "b"})
    assert refused.request == waiting
    assert refused.kind is errors.ErrorKind.NO_UPSTREAM
    assert refused.refusal.obstacles == {"evacuated": 2}
    _, refused = fakes.submit_request(state, 0.2, "draft")
    assert refused.kind is errors.ErrorKind.NO_UPSTREAM
    assert 0.5 < refused.retry_after < 2.0


def test_homes_move_while_a_domain_is_evacuated(state):
    # Guards against prompts without a home, whose shared parts are then
    # computed again at every engine.
    request = fakes.create_request("draft", parts=[("part", 600)])
    service = state.catalog.services["engine"]
    ranked = homes.rank_engines(state.table, service, request.prompt.home_key)
    core.apply_evacuated_domains(state, 0.0, {ranked[0].listed.failure_domain})
    core.record_proof(state, 0.0, 0.0)
    _, (sent,) = core.handle_request(state, 0.0, request)
    assert sent.upstream == ranked[1].listed.name


def test_domain_in_use_again_is_cold_at_first(state):
    # Guards against the full load for upstreams that were restarted while
    # their domain was evacuated, before their entries say so.
    core.apply_evacuated_domains(state, 0.0, {"a"})
    core.apply_evacuated_domains(state, 10.0, {"b"})
    core.record_proof(state, 10.0, 10.0)
    _, first = fakes.submit_request(state, 10.0, "draft")
    _, second = fakes.submit_request(state, 10.01, "draft")
    assert first.upstream == "e1"
    assert second is None
    core.run_timers(state, 13.0)
    core.record_proof(state, 13.0, 13.0)
    _, third = fakes.submit_request(state, 13.0, "draft")
    assert third.upstream == "e1"


def test_upstream_listed_during_the_evacuation_gets_no_requests(state):
    # Guards against requests to an upstream that starts in an evacuated
    # domain, also at a router that starts meanwhile.
    core.apply_evacuated_domains(state, 0.0, {"a", "b"})
    new = fakes.create_upstream_entry("e3", port=5, failure_domain="a")
    core.apply_listing(state, 0.0, [*LISTING, new])
    _, refused = fakes.submit_request(state, 0.0, "draft")
    assert refused.kind is errors.ErrorKind.NO_UPSTREAM
