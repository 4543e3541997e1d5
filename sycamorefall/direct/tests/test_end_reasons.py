"""Log records and counts of attempts and responses that a router ends."""

import eliot
import pytest

from sycamorefall.direct import core, effects, outcomes, relay
from sycamorefall.direct.tests import failing_router
from sycamorefall.observation import log


@pytest.fixture
def records(monkeypatch):
    monkeypatch.setattr(log, "_threshold", log.Level.INFO)
    found = []
    eliot.add_destinations(found.append)
    yield found
    eliot.remove_destination(found.append)


def begin_stream(router):
    """Lets a caller's stream begin; returns the request's number."""
    router.handle_calls(["answer"])
    (number,) = router.state.requests
    outcomes.record_response(router.state, router.now, number, first=True)
    return number


def find_fields(records, **fields):
    return [one for one in records if fields.items() <= one.items()]


def test_response_aborted_at_the_deadline_is_logged_with_its_reason(
    monkeypatch, records
):
    # Guards against a caller's connection that closes without a line that says
    # why, at which upstream, and how old the request was.
    router = failing_router.Router(monkeypatch)
    number = begin_stream(router)
    upstream = router.state.requests[number].attempt.upstream
    router.now = 3.5
    relay.perform_effects(
        router.proxy, core.run_timers(router.state, router.now)
    )
    (attempt,) = find_fields(records, end="aborted", reason="deadline")
    assert attempt["sidecar"] == upstream
    assert attempt["begun"] and attempt["silent"] == 3.5
    (request,) = find_fields(records, result="broken_off", reason="deadline")
    assert request["sidecar"] == upstream and request["seconds"] == 3.5
    events = router.proxy.recorder.events
    assert events["attempt_aborted", "deadline"] == 1
    assert events["response_broken_off", "deadline"] == 1


@pytest.mark.parametrize("end", ["BROKEN", "FAILED"])
def test_response_that_its_upstream_breaks_off_is_logged_with_its_reason(
    monkeypatch, records, end
):
    # Guards against a break by the upstream that looks like one by the router.
    router = failing_router.Router(monkeypatch)
    number = begin_stream(router)
    request = router.state.requests[number]
    request.possible_runs = request.route.max_upstreams
    pending = outcomes.end_attempt(
        router.state, router.now, number, outcomes.AttemptEnd[end]
    )
    reason = effects.EndReason[end]
    assert [one.reason for one in pending] == [reason]
    relay.perform_effects(router.proxy, pending)
    assert find_fields(records, result="broken_off", reason=reason.value)


def test_attempt_of_a_caller_that_left_is_counted_and_not_logged(
    monkeypatch, records
):
    # Guards against a line for each of the many callers that leave.
    router = failing_router.Router(monkeypatch)
    number = begin_stream(router)
    relay.perform_effects(
        router.proxy, core.cancel_request(router.state, number, router.now)
    )
    assert not find_fields(records, end="aborted")
    assert router.proxy.recorder.events["attempt_aborted", "caller_left"] == 1
