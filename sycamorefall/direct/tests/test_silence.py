"""Answers of upstreams that fall silent for a while and then go on."""

import itertools

import pytest

from sycamorefall.direct import core, effects, outcomes, upstreams
from sycamorefall.direct.tests import fakes, silent_processes

STEP = 0.05

CASES = [("answer", True, 1.3), ("answer", False, 2.6), ("look", False, 1.3)]


def submit(state, route, begun):
    """Submits a request and begins its response if asked to."""
    number, sent = fakes.submit_request(state, 0.0, route)
    if begun:
        outcomes.record_response(state, STEP, number, first=True)
    return number, sent.upstream


def fill_others(state, upstream):
    for name, one in state.table.by_name.items():
        if name != upstream:
            one.peer_load = upstreams.Load(running=8)


def run_timers(state, until, since=0.0):
    """Runs the router's timers in steps; returns all effects."""
    steps = itertools.takewhile(
        lambda now: now <= until + STEP / 2,
        (since + STEP * count for count in itertools.count(1)),
    )
    return [effect for now in steps for effect in core.run_timers(state, now)]


def create_patient_state():
    """Creates a router whose streams may take longer than a silence."""
    state = fakes.create_state()
    catalog = silent_processes.create_catalog(
        2, ("mill", "trader"), ("engine", "ledger")
    )
    core.apply_catalog(state, 0.0, catalog)
    return state


def list_ends(pending):
    kinds = (effects.AbortAttempt, effects.AbortResponse, effects.AnswerError)
    return [one for one in pending if isinstance(one, kinds)]


@pytest.mark.parametrize(("route", "begun", "seconds"), CASES)
@pytest.mark.parametrize("has_budget", [True, False])
def test_answer_of_an_upstream_that_goes_on_is_not_ended(
    route, begun, seconds, has_budget
):
    # Guards against an answer that ends because its upstream is silent and
    # nothing else can run the request: no upstream has room, or no retry is
    # left.
    bounds = {} if has_budget else {"retry_ratio": 0.0, "retry_extra": 0.0}
    state = fakes.create_state(**bounds)
    number, upstream = submit(state, route, begun)
    if has_budget:
        fill_others(state, upstream)
    silent_until = seconds + STEP * begun
    assert not list_ends(run_timers(state, silent_until))
    outcomes.record_response(state, silent_until, number, first=route != "look")
    end = outcomes.AttemptEnd.COMPLETE
    assert not outcomes.end_attempt(state, silent_until, number, end)
    assert not state.requests and not state.running


def test_stream_leaves_a_silent_upstream_whose_entry_is_gone():
    # Guards against callers that wait until their deadlines because an
    # upstream that left the listing is not watched for silence.
    state = create_patient_state()
    _, upstream = submit(state, "answer", begun=True)
    others = [one for one in fakes.STANDARD_LISTING if one.name != upstream]
    core.apply_listing(state, 2 * STEP, others)
    # The limit, the interval of the check and one step.
    moved = run_timers(state, STEP + 1.0 + 0.1 + STEP)
    (sent,) = fakes.list_sends(moved)
    assert sent.upstream != upstream


def test_upstream_that_sends_again_gets_waiting_requests():
    # Guards against an upstream that is left to idle after a silence, since
    # its suspension outlasts the silence.
    state = create_patient_state()
    number, upstream = submit(state, "draft", begun=True)
    fill_others(state, upstream)
    run_timers(state, 2.0)
    waiting, sent = fakes.submit_request(state, 2.0, "answer")
    assert sent is None
    run_timers(state, 2.3, since=2.0)
    outcomes.record_response(state, 2.3, number, first=True)
    (sent,) = fakes.list_sends(run_timers(state, 2.8, since=2.3))
    assert (sent.request, sent.upstream) == (waiting, upstream)
