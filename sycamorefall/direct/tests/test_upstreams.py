"""Listings, notices and retry delays of upstreams."""

import dataclasses
import math

import pytest

from sycamorefall import errors
from sycamorefall.direct import core, dialects, outcomes, upstreams
from sycamorefall.direct.tests import fakes


def list_names(table, service="engine"):
    return {one.listed.name for one in upstreams.list_upstreams(table, service)}


def apply_current_listing(table, now, listing):
    """Applies a listing and records that it is current."""
    dropped = upstreams.replace_listing(table, now, listing)
    upstreams.confirm_listing(table, now, now)
    return dropped


def test_lapsed_entries_do_not_stop_the_service():
    # Guards against dropping live upstreams after a platform outage, in which
    # their entries lapsed. Upstreams renew their entries within two seconds; an
    # upstream that has not by the end of the grace period is dropped.
    table = upstreams.UpstreamTable()
    both = [
        fakes.create_upstream_entry("e1"),
        fakes.create_upstream_entry("e2", port=2),
    ]
    apply_current_listing(table, 10.0, both)
    assert apply_current_listing(table, 20.0, []) == []
    assert list_names(table) == {"e1", "e2"}
    apply_current_listing(table, 21.0, both[:1])
    dropped = apply_current_listing(table, 22.4, both[:1])
    assert dropped == ["e2"]


def test_lapsed_entry_that_does_not_come_back_is_dropped_in_time():
    # Guards against sending requests forever to an upstream that is gone, if
    # nothing is written to the platform after the outage, so that no later
    # listing arrives.
    table = upstreams.UpstreamTable()
    both = [
        fakes.create_upstream_entry("e1"),
        fakes.create_upstream_entry("e2", port=2),
    ]
    apply_current_listing(table, 10.0, both)
    apply_current_listing(table, 20.0, both[:1])
    end = upstreams.find_grace_end(table)
    assert upstreams.drop_missing(table, end - 0.01) == []
    assert list_names(table) == {"e1", "e2"}
    assert 22.0 < end < 23.0
    assert upstreams.drop_missing(table, end) == ["e2"]
    assert list_names(table) == {"e1"}
    assert upstreams.find_grace_end(table) == math.inf


def test_missing_entry_drops_the_upstream_without_a_platform_outage():
    # Guards against new requests to an upstream that left without a notice:
    # within two seconds of the removal of its entry it must get none.
    table = upstreams.UpstreamTable()
    apply_current_listing(table, 10.0, [fakes.create_upstream_entry("e1")])
    assert apply_current_listing(table, 10.8, []) == ["e1"]


def test_leaving_upstream_gets_no_new_requests():
    # Guards against requests that are cut off because their upstream was
    # shutting down when they were sent.
    state = fakes.create_state(
        listing=[
            fakes.create_upstream_entry("e1", leaving=True),
            fakes.create_upstream_entry("e2", port=2),
        ]
    )
    for _ in range(3):
        _, sent = fakes.submit_request(state, 0.0, "draft", tokens=100)
        assert sent.upstream == "e2"


def test_newer_entry_at_an_address_replaces_the_older_one():
    # Guards against requests addressed to the old entry of an upstream that
    # crashed and restarted while both entries are listed: the new process
    # refuses them, and each costs a retry.
    table = upstreams.UpstreamTable()
    listing = [
        fakes.create_upstream_entry("old", listed_revision=3),
        fakes.create_upstream_entry("new", listed_revision=9),
    ]
    for order in (listing, listing[::-1]):
        upstreams.replace_listing(table, 1.0, order)
        assert list_names(table) == {"new"}


def test_failure_rate_decays():
    # Guards against excluding a recovered upstream, as no health checks are
    # sent: its failure rate must decay with time.
    one = upstreams.Upstream(fakes.create_upstream_entry("e1"))
    for _ in range(10):
        upstreams.record_failure(one, 1.0)
    before = upstreams.compute_failure_rate(one, 1.0)
    after = upstreams.compute_failure_rate(
        one, 1.0 + upstreams.FAILURE_HALF_LIFE
    )
    assert before > 0.9
    assert abs(after - before / 2) < 1e-9


def find_upstream(state, name):
    return state.table.by_name[name]


def create_entry(name, start_time=0, leaving=False):
    return dataclasses.replace(
        fakes.create_upstream_entry(name, leaving=leaving),
        start_time=start_time,
    )


def record_leaving(state, name, now=0.0):
    upstream = find_upstream(state, name)
    return upstreams.record_leaving(state.table, now, upstream)


def test_stale_listing_does_not_clear_leaving_notice():
    # Guards against new requests to a leaving upstream that the platform still
    # lists as ready.
    state = fakes.create_state(listing=[create_entry("e1")])
    assert record_leaving(state, "e1")
    assert not record_leaving(state, "e1"), "a repeated notice is not new"
    core.apply_listing(state, 1.0, [create_entry("e1")])
    assert not upstreams.is_usable(find_upstream(state, "e1"), 1.0)
    assert fakes.submit_request(state, 1.0, "draft")[1] is None


def test_relisted_process_keeps_leaving_notice():
    # Guards against requests to a leaving upstream whose entry lapsed while
    # the platform was away and is listed again.
    state = fakes.create_state(listing=[create_entry("e1"), create_entry("e2")])
    record_leaving(state, "e1")
    core.apply_listing(state, 1.0, [create_entry("e2")])
    assert "e1" not in state.table.by_name
    core.apply_listing(state, 30.0, [create_entry("e1"), create_entry("e2")])
    assert not upstreams.is_usable(find_upstream(state, "e1"), 30.0)


def test_restarted_process_does_not_inherit_leaving_notice():
    # Guards against a restarted upstream that never receives requests because
    # of its predecessor's notice.
    state = fakes.create_state(listing=[create_entry("e1", start_time=5)])
    record_leaving(state, "e1")
    core.apply_listing(state, 1.0, [create_entry("e1", start_time=9)])
    assert upstreams.is_usable(find_upstream(state, "e1"), 1.0)


def test_notices_of_unlisted_processes_expire():
    # Guards against memory use that grows with each replaced upstream.
    state = fakes.create_state(listing=[create_entry("e1")])
    record_leaving(state, "e1")
    core.apply_listing(state, 1.0, [])
    assert state.table.notices
    core.apply_listing(state, upstreams.NOTICE_RETENTION, [])
    assert not state.table.notices


@pytest.mark.parametrize("outcome", list(dialects.ResponseOutcome))
def test_leaving_notice_is_read_from_any_response_of_the_upstream(outcome):
    # Guards against missing a notice in a refusal or failure, and against
    # attributing one from another process at the address to the upstream.
    state = fakes.create_state()
    number, sent = fakes.submit_request(state, 0.0, "draft")
    head = dialects.ResponseHead(outcome, 200, (), leaving=True)
    other_process = outcome is dialects.ResponseOutcome.OTHER_INCARNATION
    assert outcomes.record_leaving(state, 0.1, number, head) != other_process
    usable = upstreams.is_usable(find_upstream(state, sent.upstream), 0.1)
    assert usable == other_process


def record_retry_delay(state, name, seconds, now=0.0):
    upstream = find_upstream(state, name)
    return upstreams.record_retry_delay(state.table, now, upstream, seconds)


def test_shorter_retry_delay_does_not_replace_longer_one():
    # Guards against a later, shorter retry delay that ends a longer one early.
    state = fakes.create_state(listing=[create_entry("e1")])
    assert record_retry_delay(state, "e1", 3.0)
    assert not record_retry_delay(state, "e1", 1.0, now=1.0)
    for now, usable in ((2.9, False), (3.0, True)):
        assert upstreams.is_usable(find_upstream(state, "e1"), now) == usable


def test_retry_delay_is_limited():
    # Guards against an upstream that is excluded indefinitely because of an
    # excessive Retry-After.
    state = fakes.create_state(listing=[create_entry("e1")])
    record_retry_delay(state, "e1", 1e12)
    end = upstreams.MAX_RETRY_DELAY
    assert upstreams.is_usable(find_upstream(state, "e1"), end)


def test_relisted_process_keeps_retry_delay_and_restarted_one_does_not():
    # Guards against a retry delay that is lost while the platform's store is
    # unavailable, and against one that a restarted process inherits.
    state = fakes.create_state(listing=[create_entry("e1", start_time=5)])
    record_retry_delay(state, "e1", 60.0)
    core.apply_listing(state, 1.0, [])
    core.apply_listing(state, 30.0, [create_entry("e1", start_time=5)])
    assert not upstreams.is_usable(find_upstream(state, "e1"), 30.0)
    core.apply_listing(state, 31.0, [create_entry("e1", start_time=9)])
    assert upstreams.is_usable(find_upstream(state, "e1"), 31.0)


def test_retry_skips_upstream_with_retry_delay():
    # Guards against retries at an upstream before its retry delay has elapsed.
    listing = [
        fakes.create_upstream_entry(f"l{n}", "ledger", port=n)
        for n in (1, 2, 3)
    ]
    state = fakes.create_state(listing=listing)
    number, first = fakes.submit_request(state, 0.0, "look")
    others = [one.name for one in listing if one.name != first.upstream]
    record_retry_delay(state, others[0], 3.0)
    end = outcomes.AttemptEnd.NOT_RUN
    (again,) = outcomes.end_attempt(state, 0.1, number, end)
    assert again.upstream == others[1]


def test_request_is_refused_at_once_if_all_retry_delays_exceed_its_wait():
    # Guards against a caller that waits until its wait limit and then gets a
    # Retry-After that ends before any upstream accepts requests.
    state = fakes.create_state()
    record_retry_delay(state, "e1", 9.0)
    record_retry_delay(state, "e2", 4.0)
    _, refused = fakes.submit_request(state, 1.0, "draft")
    assert refused.kind is errors.ErrorKind.NO_UPSTREAM
    assert 3.0 <= refused.retry_after <= 3.0 + outcomes.RETRY_JITTER
    assert not state.requests
    assert fakes.submit_request(state, 1.0, "book")[1].upstream, (
        "unaffected service"
    )


def test_request_waits_for_retry_delay_that_ends_in_time():
    # Guards against refusing a request that an upstream can accept before the
    # request's wait limit.
    state = fakes.create_state()
    record_retry_delay(state, "e1", 9.0)
    record_retry_delay(state, "e2", 0.2)
    number, sent = fakes.submit_request(state, 0.0, "draft")
    assert sent is None
    assert not fakes.list_sends(core.run_timers(state, 0.1))
    (sent,) = fakes.list_sends(core.run_timers(state, 0.21))
    assert (sent.request, sent.upstream) == (number, "e2")


def test_leaving_upstream_does_not_shorten_retry_after():
    # Guards against callers that wait for a leaving upstream while the retry
    # delays of all others are in effect.
    state = fakes.create_state()
    record_retry_delay(state, "e1", 9.0)
    record_leaving(state, "e2")
    _, refused = fakes.submit_request(state, 0.0, "draft")
    assert refused.retry_after >= 9.0


def test_waiting_requests_are_refused_if_all_retry_delays_exceed_their_wait():
    # Guards against requests that wait until their wait limit although no
    # upstream will accept them before it.
    state = fakes.create_state(listing=[create_entry("e1")])
    numbers = [fakes.submit_request(state, 0.0, "draft")[0] for _ in range(6)]
    waiting = [one for one in numbers if not state.requests[one].attempt]
    assert waiting
    record_retry_delay(state, "e1", 5.0)
    refused = outcomes.refuse_delayed_requests(state, 0.1, "engine")
    assert [one.request for one in refused] == waiting
    assert all(one.retry_after >= 4.9 for one in refused)


@pytest.mark.parametrize("outcome", list(dialects.ResponseOutcome))
def test_retry_delay_of_another_process_is_ignored(outcome):
    # Guards against attributing a retry delay from another process at the
    # address to the upstream.
    state = fakes.create_state()
    number, sent = fakes.submit_request(state, 0.0, "draft")
    head = dialects.ResponseHead(outcome, 503, (), retry_after=2.0)
    other_process = outcome is dialects.ResponseOutcome.OTHER_INCARNATION
    assert (
        outcomes.record_retry_delay(state, 0.1, number, head) != other_process
    )
    usable = upstreams.is_usable(find_upstream(state, sent.upstream), 0.2)
    assert usable == other_process
