"""Detection of crashed upstreams and handling of their requests."""

import dataclasses

import pytest

from sycamorefall import errors, settings
from sycamorefall.direct import (
    core,
    crashes,
    effects,
    fingerprints,
    outcomes,
    quarantine,
)
from sycamorefall.direct.outcomes import AttemptEnd
from sycamorefall.direct.tests import fakes
from sycamorefall.transport import Reachability

LISTING = [
    *(
        fakes.create_upstream_entry(f"e{number}", port=number)
        for number in range(1, 7)
    ),
    fakes.create_upstream_entry("l1", "ledger", port=11),
    fakes.create_upstream_entry("l2", "ledger", port=12),
    fakes.create_upstream_entry("l3", "ledger", port=13),
]


@pytest.fixture
def state():
    return fakes.create_state(listing=LISTING)


def lose_connection(state, now, number, reachability=Reachability.REFUSED):
    """Ends an attempt by a lost connection and checks the upstream.

    Returns:
        All effects.
    """
    checks = crashes.record_disconnect(state, now, number)
    done = outcomes.end_attempt(state, now, number, AttemptEnd.BROKEN)
    for check in checks:
        done = [
            *done,
            *crashes.handle_check_result(state, now, check, reachability),
        ]
    return done


def add_crashes(state, now, request, *names):
    """Adds evidence of a request at crashes.

    Returns:
        Fingerprints that are newly quarantined.
    """
    evidence = [
        quarantine.Evidence(quarantine.Crash(name, 0), request, False, now)
        for name in names
    ]
    return quarantine.add_evidence(state.quarantine, now, evidence)[1]


def compute_route_fingerprint(route, team="mill"):
    asked = fakes.create_request(route, team)
    return fingerprints.compute_fingerprint(
        asked, team if route in ("draft", "answer") else ""
    )


def test_third_crash_quarantines_a_request_and_the_next_arrival_is_refused(
    state,
):
    # Guards against a request that crashes one upstream after the other, and
    # against a Retry-After for it.
    for now in (0.0, 1.0, 2.0):
        number, sent = fakes.submit_request(state, now, "draft")
        assert isinstance(sent, effects.SendRequest)
        done = lose_connection(state, now + 0.1, number)
    assert [one for one in done if isinstance(one, effects.ReportQuarantine)]
    number, refused = fakes.submit_request(state, 3.0, "draft")
    assert refused.kind is errors.ErrorKind.QUARANTINED
    assert refused.retry_after is None
    assert errors.ANSWERS[refused.kind].ran is errors.Ran.NO
    assert fakes.submit_request(state, 3.0, "draft", team="trader")[1].upstream


def test_one_arrival_crashes_two_upstreams_at_most(state):
    # Guards against a request that crashes every upstream and is retried up to
    # its route's limit.
    number, first = fakes.submit_request(state, 0.0, "look")
    request = state.requests[number]
    request.route = dataclasses.replace(request.route, max_upstreams=5)
    retry = fakes.list_sends(lose_connection(state, 0.1, number))
    assert [one.upstream for one in retry] != [first.upstream]
    done = lose_connection(state, 0.2, number)
    assert not fakes.list_sends(done)
    assert fakes.list_error_kinds(done) == [errors.ErrorKind.RETRIES_EXHAUSTED]


def test_suspect_is_not_retried(state):
    # Guards against a retry by a router that knows of an earlier crash from
    # another router.
    add_crashes(state, 0.0, compute_route_fingerprint("look"), "elsewhere")
    number, _ = fakes.submit_request(state, 0.0, "look")
    assert not fakes.list_sends(lose_connection(state, 0.1, number))


@pytest.mark.parametrize(
    "reachability", [Reachability.ACCEPTED, Reachability.UNKNOWN]
)
def test_lost_connection_to_a_live_or_unreachable_upstream_is_no_crash(
    state, reachability
):
    # Guards against quarantining harmless requests because an upstream resets
    # connections or is unreachable.
    for now in (0.0, 1.0, 2.0, 3.0):
        number, _ = fakes.submit_request(state, now, "draft")
        lose_connection(state, now + 0.1, number, reachability)
    assert not state.quarantine.suspects


def test_unanswered_check_is_repeated(state):
    # Guards against missing a crash because a packet was lost.
    number, _ = fakes.submit_request(state, 0.0, "draft")
    (check,) = crashes.record_disconnect(state, 0.1, number)
    outcomes.end_attempt(state, 0.1, number, AttemptEnd.BROKEN)
    unknown, refused = Reachability.UNKNOWN, Reachability.REFUSED
    for now in (0.5, 0.9):
        assert crashes.handle_check_result(state, now, check, unknown) == [
            check
        ]
    assert crashes.handle_check_result(state, 1.3, check, refused)
    assert state.quarantine.suspects


def test_end_of_a_leaving_upstream_is_no_crash(state):
    # Guards against suspecting requests of an upstream that terminated on
    # purpose.
    number, sent = fakes.submit_request(state, 0.0, "draft")
    leaving = [
        fakes.create_upstream_entry(
            one.name,
            one.service,
            one.address.port,
            leaving=one.name == sent.upstream,
        )
        for one in LISTING
    ]
    core.apply_listing(state, 0.1, leaving)
    assert crashes.record_disconnect(state, 0.2, number) == []


def test_requests_of_one_crash_are_checked_once_and_all_suspected(state):
    # Guards against counting a crash once per request, and against missing
    # requests whose connection is lost after the check.
    one = [fakes.create_upstream_entry("e1")]
    core.apply_listing(state, 0.0, one)
    numbers = [
        fakes.submit_request(state, 0.0, "draft", team=team)[0]
        for team in ("mill", "trader")
    ]
    numbers.append(fakes.submit_request(state, 0.0, "answer")[0])
    (check,) = crashes.record_disconnect(state, 0.1, numbers[0])
    assert crashes.record_disconnect(state, 0.1, numbers[1]) == []
    crashes.handle_check_result(state, 0.1, check, Reachability.REFUSED)
    assert crashes.record_disconnect(state, 0.11, numbers[2]) == []
    counts = {
        len(suspect.crashes) for suspect in state.quarantine.suspects.values()
    }
    assert len(state.quarantine.suspects) == 3
    assert counts == {1}


def test_crashed_upstream_gets_no_further_request(state):
    # Guards against further attempts at a process that is known to have
    # crashed.
    core.apply_listing(state, 0.0, [fakes.create_upstream_entry("e1")])
    number, _ = fakes.submit_request(state, 0.0, "draft")
    lose_connection(state, 0.1, number)
    assert fakes.submit_request(state, 0.11, "draft", team="trader")[1] is None


def test_success_clears_a_suspect_and_queues_the_evidence(state):
    # Guards against a harmless request that stays a suspect at other routers.
    number, _ = fakes.submit_request(state, 0.0, "answer")
    retry = lose_connection(state, 0.1, number)
    assert fakes.list_sends(retry)
    state.quarantine.unsent.clear()
    outcomes.end_attempt(state, 0.5, number, AttemptEnd.COMPLETE)
    (record,) = state.quarantine.unsent
    (evidence,) = quarantine.list_evidence(state.quarantine, [record])
    assert evidence.cleared


def test_waiting_request_is_refused_when_it_is_quarantined():
    # Guards against a quarantined request that waits until its timeout, or is
    # sent when an upstream has capacity.
    state = fakes.create_state(listing=[])
    number, sent = fakes.submit_request(state, 0.0, "draft")
    assert sent is None
    added = add_crashes(
        state, 0.0, compute_route_fingerprint("draft"), "a", "b", "c"
    )
    done = crashes.report_quarantined(state, 0.1, added)
    assert fakes.list_error_kinds(done) == [errors.ErrorKind.QUARANTINED]
    assert not state.requests


def test_quarantined_request_is_not_retried_after_a_refused_connection(state):
    # Guards against sending a request to the next upstream if it was
    # quarantined while its connection was being established.
    number, _ = fakes.submit_request(state, 0.0, "draft")
    add_crashes(state, 0.0, compute_route_fingerprint("draft"), "a", "b", "c")
    done = outcomes.end_attempt(state, 0.1, number, AttemptEnd.NOT_SENT)
    assert fakes.list_error_kinds(done) == [errors.ErrorKind.QUARANTINED]


def test_check_uses_the_address_of_the_upstream(state):
    number, sent = fakes.submit_request(state, 0.0, "draft")
    (check,) = crashes.record_disconnect(state, 0.1, number)
    assert check.address == sent.address
    assert isinstance(check.address, settings.Address)


def test_quarantined_request_is_not_retried_after_a_stall(state):
    # Guards against sending a request to the next upstream if it was
    # quarantined while in progress at a stalled upstream.
    number, sent = fakes.submit_request(state, 0.0, "look")
    assert sent
    add_crashes(state, 0.1, compute_route_fingerprint("look"), "a", "b", "c")
    for now in (0.7, 1.2, 2.9):
        assert not core.run_timers(state, now)
    done = core.run_timers(state, 3.0)
    assert not fakes.list_sends(done)
    assert fakes.list_error_kinds(done) == [errors.ErrorKind.DEADLINE_EXCEEDED]


def test_fingerprint_is_updated_when_a_waiting_request_changes_team():
    # Guards against a stale fingerprint after a configuration moves a key to
    # another team, as a quarantine would then not match the request.
    state = fakes.create_state(listing=[])
    number, _ = fakes.submit_request(state, 0.0, "draft")
    request = state.requests[number]
    old_fingerprint = fingerprints.get_fingerprint(request)
    new_catalog = fakes.create_catalog(version=2)
    new_catalog.teams["key-mill"] = new_catalog.teams["key-trader"]
    core.apply_catalog(state, 0.1, new_catalog)
    assert request.team == "trader"
    assert fingerprints.get_fingerprint(request) != old_fingerprint
