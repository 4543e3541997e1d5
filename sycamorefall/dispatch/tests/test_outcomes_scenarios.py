"""Tests of single sequences of failures between a router and a sidecar."""

import pytest

from sycamorefall import errors
from sycamorefall.dispatch.tests import model
from sycamorefall.router import attempt_lifecycle, stalls

UNKNOWN = ("outcome_unknown", errors.Ran.UNKNOWN)
COMPLETE = attempt_lifecycle.AttemptEnd.COMPLETE


def start_attempt(idempotent=False, timeout=3000.0, offered=False):
    """Creates a fleet with one request, sent to a sidecar but not received.

    Args:
        idempotent: Whether the request is idempotent.
        timeout: Seconds until its deadline.
        offered: Whether the router offers it to a sidecar on a hint of free
            slots; otherwise a sidecar claims it.

    Returns:
        The fleet and the ID of the attempt.
    """
    fleet = model.Fleet()
    fleet.advance_connected(1.0)
    submit(fleet, timeout, idempotent, offered)
    return fleet, fleet.pending_attempts[0]


def submit(fleet, timeout, idempotent, offered=False):
    """Submits a request to router-0; see `start_attempt` for the arguments."""
    if not offered:
        fleet.processes["router-0"].state.hints.clear()
    fleet.submit("router-0", timeout, idempotent)
    assert bool(fleet.pending_attempts) == offered
    fleet.advance_connected(0.1)


def test_attempt_reported_as_never_seen_is_refused():
    """A connection breaks while an attempt is in transit.

    The sidecar, when queried, reports that it has never seen the attempt, so
    the router sends a second attempt. Then the first one arrives while its
    claim is still open. Exactly one of the two may start.
    """
    fleet, first = start_attempt()
    fleet.deliver_reply(first, attempt_lifecycle.AttemptEnd.BROKEN)
    fleet.deliver_all_messages()
    assert len(fleet.pending_attempts) == 2
    fleet.deliver_all_attempts()
    assert fleet.start_counts["request-0"] == 1
    assert first not in fleet.runs


def test_never_seen_is_not_trusted_for_an_old_attempt():
    """A router is suspended for longer than the sidecar keeps a record.

    When it resumes, it finds the connection broken and queries the sidecar. The
    sidecar has dropped its record of the finished attempt, and reports that it
    has never seen the attempt. The router must not send the request again.
    """
    fleet, first = start_attempt()
    fleet.deliver_all_attempts()
    fleet.end_run(first, COMPLETE)
    fleet.processes["router-0"].frozen = True
    fleet.advance_connected(700.0)
    fleet.processes["router-0"].frozen = False
    fleet.deliver_reply(first, attempt_lifecycle.AttemptEnd.BROKEN)
    fleet.advance_connected(1.0)
    fleet.deliver_all_attempts()
    assert fleet.final_answers["request-0"] == UNKNOWN
    assert fleet.start_counts["request-0"] == 1


@pytest.mark.parametrize("restarted", ["router", "sidecar"])
def test_attempt_of_or_for_an_earlier_process_is_refused(restarted):
    """A router or sidecar restarts while an attempt is in transit.

    A new sidecar process numbers its claims from 1 again, so the attempt refers
    to a claim of the new process. A new router process may answer the claim to
    which the attempt of the old one refers. Either way the claim is now for
    another request of the same team.
    """
    fleet, first = start_attempt()
    connection = fleet.connections[first]
    name = connection.order.sidecar if restarted == "sidecar" else "router-0"
    fleet.restart(name)
    fleet.advance_connected(0.5)
    fleet.pending_attempts.clear()
    submit(fleet, 30.0, False)
    fleet.deliver_attempt(first, reachable=True)
    assert first not in fleet.runs


def test_request_whose_upstream_is_unreachable_runs_at_another():
    """An upstream refuses connections, and the sidecar's response is lost.

    Nothing was sent to the upstream, so the request may run at another one. The
    caller then gets its response instead of the error "outcome_unknown".
    """
    fleet, first = start_attempt()
    fleet.deliver_attempt(first, reachable=False)
    fleet.deliver_reply(first, attempt_lifecycle.AttemptEnd.BROKEN)
    fleet.deliver_all_messages()
    fleet.pending_attempts.remove(first)
    fleet.deliver_all_attempts()
    assert len(fleet.runs) == 1


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("frozen", [True, False])
def test_caller_does_not_wait_for_a_stalled_connection(idempotent, frozen):
    """A run has ended, but no response arrives and no connection is closed.

    Either only the attempt's connection has stalled, or the sidecar's process
    is suspended. Without a check the caller would wait until its deadline, 50
    minutes later.
    """
    fleet, first = start_attempt(idempotent)
    fleet.deliver_all_attempts()
    if not frozen:
        fleet.end_run(first, COMPLETE)
    fleet.processes[fleet.connections[first].order.sidecar].frozen = frozen
    fleet.advance_connected(stalls.FIRST_CHECK_DELAY + 12.0)
    if idempotent:
        assert fleet.pending_attempts, "not sent again"
    else:
        assert fleet.final_answers["request-0"] == UNKNOWN


def test_attempt_at_a_sidecar_suspended_briefly_completes():
    """A sidecar is suspended for 8 seconds during a run.

    This is shorter than the limit for requests that aren't idempotent, so the
    router keeps waiting and the caller gets the response.
    """
    fleet, first = start_attempt()
    fleet.deliver_all_attempts()
    sidecar = fleet.processes[fleet.connections[first].order.sidecar]
    sidecar.frozen = True
    fleet.advance_connected(8.0)
    sidecar.frozen = False
    fleet.advance_connected(20.0)
    fleet.end_run(first, COMPLETE)
    fleet.deliver_all_replies()
    assert fleet.final_answers["request-0"] == ("", errors.Ran.YES)


def freeze_all(fleet, frozen):
    """Suspends all sidecars, or resumes them."""
    for name in model.SIDECARS:
        fleet.processes[name].frozen = frozen


def list_waiting(fleet):
    """Lists the numbers of the requests in the queue of router-0."""
    teams = fleet.processes["router-0"].state.waiting.queues
    queue = teams.get(model.SERVICE, {}).get("mill")
    return list(queue.arrivals) if queue else []


def test_stream_at_a_sidecar_suspended_briefly_completes():
    # Guards against a stream that is ended for its sidecar's silence: the
    # caller has a part of it, so no other sidecar can take it over.
    fleet, first = start_attempt(idempotent=True)
    fleet.deliver_all_attempts()
    router = fleet.processes["router-0"].state
    stalls.record_progress(router, fleet.clock("router-0"), first, 9, True)
    freeze_all(fleet, True)
    fleet.advance_connected(8.0)
    freeze_all(fleet, False)
    fleet.advance_connected(20.0)
    fleet.end_run(first, COMPLETE)
    fleet.deliver_all_replies()
    assert fleet.final_answers["request-0"] == ("", errors.Ran.YES)


def test_request_of_a_silent_sidecar_waits_while_no_other_is_usable():
    # Guards against "no_upstream" for a request whose run goes on.
    fleet, first = start_attempt(idempotent=True)
    fleet.deliver_all_attempts()
    freeze_all(fleet, True)
    fleet.advance_connected(8.0)
    freeze_all(fleet, False)
    fleet.end_run(first, COMPLETE)
    fleet.deliver_all_replies()
    assert fleet.final_answers["request-0"] == ("", errors.Ran.YES)
    assert fleet.start_counts["request-0"] == 1


@pytest.mark.parametrize("heard", ["messages", "replies"])
def test_request_leaves_its_queue_when_its_sidecar_is_heard(heard):
    # Guards against a second run, or a second response, of a request whose
    # first run goes on.
    fleet, first = start_attempt(idempotent=True)
    fleet.deliver_all_attempts()
    budgets = fleet.processes["router-0"].state.retry_budgets.teams
    tokens = budgets["mill"].tokens
    name = fleet.connections[first].order.sidecar
    fleet.processes[name].frozen = True
    fleet.advance_connected(3.6)
    freeze_all(fleet, True)
    fleet.advance_connected(0.8)
    assert list_waiting(fleet) == [1], "it doesn't seek another sidecar"
    assert not fleet.pending_attempts
    fleet.processes[name].frozen = False
    if heard == "replies":
        fleet.end_run(first, COMPLETE)
        fleet.deliver_all_replies()
    fleet.deliver_all_messages()
    assert not list_waiting(fleet)
    assert budgets["mill"].tokens == pytest.approx(tokens)
    freeze_all(fleet, False)
    fleet.advance_connected(5.0)
    assert not fleet.pending_attempts, "it is sent a second time"
    fleet.end_run(first, COMPLETE)
    fleet.deliver_all_replies()
    assert fleet.final_answers["request-0"] == ("", errors.Ran.YES)


@pytest.mark.parametrize("idempotent", [True, False])
def test_response_that_is_held_back_for_a_while_completes(idempotent):
    # Guards against a connection that is given up while TCP holds its bytes
    # back, as it does for a while after the link was cut.
    fleet, first = start_attempt(idempotent)
    fleet.deliver_all_attempts()
    fleet.end_run(first, COMPLETE)
    name = fleet.connections[first].order.sidecar
    for sidecar in model.SIDECARS:
        fleet.processes[sidecar].state.stopping = sidecar != name
    fleet.processes[name].state.limit.cap = 0
    fleet.advance_connected(9.0)
    fleet.deliver_all_replies()
    assert fleet.final_answers["request-0"] == ("", errors.Ran.YES)
    assert fleet.start_counts["request-0"] == 1


def test_attempt_is_kept_until_another_sidecar_claims():
    # Guards against an attempt that is let go before its request has a place.
    fleet, first = start_attempt(idempotent=True)
    fleet.deliver_all_attempts()
    name = fleet.connections[first].order.sidecar
    fleet.processes[name].frozen = True
    while not fleet.pending_attempts:
        assert fleet.connections[first].open
        fleet.advance(0.1)
        fleet.deliver_all_messages()
    assert not fleet.connections[first].open
    assert fleet.now < 1000.0 + 1.1 + stalls.FIRST_CHECK_DELAY + 3.0
    fleet.deliver_all_attempts()
    assert fleet.start_counts["request-0"] == 2


@pytest.mark.parametrize("idempotent", [True, False])
def test_run_of_an_unreachable_router_releases_its_slot(idempotent):
    """A router disappears without closing its connections.

    Its run would occupy a slot forever. The sidecar cancels an idempotent run
    at its deadline; other runs continue to their end.
    """
    fleet, first = start_attempt(idempotent, timeout=30.0)
    fleet.deliver_all_attempts()
    fleet.processes["router-0"].frozen = True
    fleet.advance_connected(31.0)
    assert (first in fleet.runs) == (not idempotent)


@pytest.mark.parametrize("begun", [True, False])
def test_expired_request_reports_whether_it_was_run(begun):
    """A deadline passes after part of a response was received, or before.

    After the first part the router reports that the request was run, otherwise
    that this is unknown.
    """
    fleet, first = start_attempt(idempotent=True, timeout=30.0)
    fleet.deliver_all_attempts()
    state = fleet.processes["router-0"].state
    stalls.record_progress(state, fleet.clock("router-0"), first, 9, begun)
    fleet.advance(31.0)
    ran = errors.Ran.YES if begun else errors.Ran.UNKNOWN
    assert fleet.final_answers["request-0"] == ("deadline_exceeded", ran)


def test_stalled_stream_is_aborted():
    """A connection stalls after part of a response.

    The sidecar reports twice that it has sent more than the router received.
    The caller then gets an error at the end of the stream, and doesn't wait
    until its deadline. While the router itself pauses reading because the
    caller is slow, the connection doesn't count as stalled.
    """
    fleet, first = start_attempt(idempotent=True)
    fleet.deliver_all_attempts()
    sidecar = fleet.processes[fleet.connections[first].order.sidecar].state
    router = fleet.processes["router-0"].state
    sidecar.runs[first].sent = 20
    stalls.record_progress(router, fleet.clock("router-0"), first, 9, True)
    stalls.record_pause(router, first, True)
    fleet.advance_connected(12.0)
    assert not fleet.final_answers, (
        "a slow caller does not stall the connection"
    )
    stalls.record_pause(router, first, False)
    fleet.advance_connected(30.0)
    assert fleet.final_answers["request-0"] == (
        "answer_incomplete",
        errors.Ran.YES,
    )


@pytest.mark.parametrize("offered", [True, False])
def test_sidecar_resumed_after_its_lease_refuses_the_attempt(offered):
    """A sidecar claims or hints, and is suspended until the attempt arrives.

    Its slot may be in use by then, and its router may have sent the request to
    another sidecar.
    """
    fleet, first = start_attempt(offered=offered)
    fleet.now += 20.0
    fleet.deliver_attempt(first, reachable=True)
    assert not fleet.start_counts
    fleet.deliver_all_replies()
    assert not fleet.final_answers, "the request is not queued again"
