"""What follows from the end of a send: truthful answers, at most one run."""

import math

from hypothesis import given, strategies
import pytest

from sycamorefall import errors
from sycamorefall.direct import core, effects, outcomes
from sycamorefall.direct.outcomes import AttemptEnd
from sycamorefall.direct.tests import fakes


@pytest.mark.parametrize("route", ["book", "draft"])
def test_request_that_may_have_run_is_not_sent_again(route):
    # A booking's upstream breaks the connection. Sent again, it books twice;
    # told "not run", its caller books again. Cause: nobody knows if it ran.
    state = fakes.create_state()
    number, sent = fakes.submit_request(state, 0.0, route)
    assert sent
    done = outcomes.end_attempt(state, 0.1, number, AttemptEnd.BROKEN)
    assert fakes.list_error_kinds(done) == [errors.ErrorKind.OUTCOME_UNKNOWN]
    assert errors.ANSWERS[errors.ErrorKind.OUTCOME_UNKNOWN].status == 502


@pytest.mark.parametrize(
    "end",
    [AttemptEnd.NOT_RUN, AttemptEnd.NOT_SENT, AttemptEnd.OTHER_INCARNATION],
)
def test_request_that_did_not_run_goes_elsewhere(end):
    # An upstream refuses a booking. Its caller must get the confirmation of
    # another one, not an error.
    state = fakes.create_state()
    number, first = fakes.submit_request(state, 0.0, "book")
    again = outcomes.end_attempt(state, 0.01, number, end)
    (second,) = fakes.list_sends(again)
    assert second.upstream != first.upstream


def test_refusal_after_a_possible_run_is_no_promise():
    # A lookup's first upstream breaks off, the second refuses it. "Not run"
    # would be wrong: the first may have run it.
    state = fakes.create_state()
    number, _ = fakes.submit_request(state, 0.0, "look")
    (_,) = outcomes.end_attempt(state, 0.1, number, AttemptEnd.BROKEN)
    done = outcomes.end_attempt(state, 0.2, number, AttemptEnd.NOT_RUN)
    assert fakes.list_error_kinds(done) == [errors.ErrorKind.RETRIES_EXHAUSTED]


def test_failed_lookup_is_tried_once_more_and_then_passed_on():
    # One lookup in eight fails at its upstream; most callers must not see it.
    # One that fails twice gets the upstream's own failure.
    state = fakes.create_state()
    number, _ = fakes.submit_request(state, 0.0, "look")
    (again,) = outcomes.end_attempt(state, 0.05, number, AttemptEnd.FAILED)
    assert isinstance(again, effects.SendRequest)
    done = outcomes.end_attempt(state, 0.1, number, AttemptEnd.FAILED)
    assert done == [effects.ForwardResponse(number)]


def test_begun_stream_goes_on_only_where_it_may():
    # An engine crashes in the middle of two answers. The one that may be
    # resumed goes on at another engine; the other breaks off visibly, as a
    # whole-looking end would pass for the whole answer.
    state = fakes.create_state()
    resumable, first = fakes.submit_request(state, 0.0, "answer")
    other, _ = fakes.submit_request(state, 0.0, "draft")
    for number in (resumable, other):
        outcomes.record_response(state, 0.1, number, first=True)
    (again,) = outcomes.end_attempt(state, 0.2, resumable, AttemptEnd.BROKEN)
    assert again.upstream != first.upstream
    done = outcomes.end_attempt(state, 0.2, other, AttemptEnd.BROKEN)
    assert done == [effects.AbortResponse(other)]


def test_other_incarnation_teaches_all_requests():
    # An upstream restarts; its old entry stays listed. Each request sent
    # there is refused and costs a second send, until their budget is gone.
    # Cause: the router didn't learn from the first refusal.
    state = fakes.create_state(
        listing=[fakes.create_upstream_entry("l1", "ledger")]
    )
    number, _ = fakes.submit_request(state, 0.0, "book")
    outcomes.end_attempt(state, 0.01, number, AttemptEnd.OTHER_INCARNATION)
    _, sent = fakes.submit_request(state, 0.02, "book")
    assert sent is None
    core.run_timers(state, 0.9)
    assert not state.requests
    _, sent = fakes.submit_request(state, 1.0, "book")
    assert sent is None


def test_refused_connection_teaches_all_requests():
    # An upstream crashed. The first request finds out; the others must not
    # be lost there one after the other.
    state = fakes.create_state(
        listing=[fakes.create_upstream_entry("l1", "ledger")]
    )
    number, _ = fakes.submit_request(state, 0.0, "book")
    outcomes.end_attempt(state, 0.01, number, AttemptEnd.NOT_SENT)
    assert fakes.submit_request(state, 0.02, "book")[1] is None
    core.run_timers(state, 0.9)
    probe, sent = fakes.submit_request(state, 1.0, "look")
    assert sent, "after a pause one request tries again"
    assert fakes.submit_request(state, 1.0, "look")[1] is None, "and only one"
    outcomes.end_attempt(state, 1.05, probe, AttemptEnd.COMPLETE)
    assert fakes.list_sends(core.run_timers(state, 1.1))


def test_timeout_is_answered_then_and_ends_the_run():
    # An upstream never answers. The caller is told at the route's timeout,
    # not at its own, later deadline, and the upstream is let go.
    state = fakes.create_state()
    number, _ = fakes.submit_request(state, 0.0, "book", time_left=10.0)
    assert core.find_next_due(state) <= 3.0
    core.run_timers(state, 2.9)
    done = core.run_timers(state, 3.0)
    assert effects.AbortAttempt(number) in done
    assert fakes.list_error_kinds(done) == [errors.ErrorKind.DEADLINE_EXCEEDED]
    assert not state.requests


def test_caller_that_left_takes_its_run_with_it():
    # A caller closes its connection. Its run at the engine must end at once:
    # it takes a place that others wait for.
    state = fakes.create_state()
    number, sent = fakes.submit_request(state, 0.0, "draft")
    upstream = state.table.by_name[sent.upstream]
    assert upstream.running == 1
    assert core.cancel_request(state, number, 0.1) == [
        effects.AbortAttempt(number)
    ]
    assert (upstream.running, upstream.unread, upstream.memory) == (0, 0, 0)


def test_caller_that_left_while_waiting_is_forgotten():
    # A caller leaves while its request waits. It must not be sent later.
    state = fakes.create_state(listing=[])
    number, sent = fakes.submit_request(state, 0.0, "draft")
    assert sent is None
    assert core.cancel_request(state, number, 0.1) == []
    core.apply_listing(state, 0.2, fakes.STANDARD_LISTING)
    assert core.run_timers(state, 0.2) == []


def test_silent_engine_loses_what_may_go_on_elsewhere():
    # An engine goes dark without closing connections. Callers would wait to
    # their deadlines. After a second without a byte from it to anyone, what
    # may be resumed goes on at another one; the rest waits, as it may live.
    state = fakes.create_state(listing=[fakes.create_upstream_entry("e1")])
    answer, _ = fakes.submit_request(state, 0.0, "answer")
    draft, _ = fakes.submit_request(state, 0.0, "draft")
    for number in (answer, draft):
        outcomes.record_response(state, 0.2, number, first=True)
    core.apply_listing(
        state,
        0.3,
        [
            fakes.create_upstream_entry("e1"),
            fakes.create_upstream_entry("e2", port=2),
        ],
    )
    assert not core.run_timers(state, 1.1)
    done = core.run_timers(state, 1.3)
    assert effects.AbortAttempt(answer) in done
    (again,) = fakes.list_sends(done)
    assert (again.request, again.upstream) == (answer, "e2")
    assert draft in state.requests


def test_busy_engine_is_not_taken_for_a_silent_one():
    # An engine makes tokens for one caller while another's prompt is read.
    # The second must not be moved: its reading would begin anew.
    state = fakes.create_state(listing=[fakes.create_upstream_entry("e1")])
    first, _ = fakes.submit_request(state, 0.0, "answer")
    fakes.submit_request(state, 0.0, "answer")
    for step in range(1, 29):
        now = step * 0.1
        outcomes.record_response(state, now, first, first=step == 1)
        assert not core.run_timers(state, now)


def test_request_that_waits_too_long_is_told_when_to_come_back():
    # All engines are full. The caller is told at once when its target can't
    # be met, with a time to come back, not held until its deadline.
    state = fakes.create_state(listing=[])
    fakes.submit_request(state, 0.0, "draft")
    assert not core.run_timers(state, 0.3)
    (refused,) = core.run_timers(state, 0.45)
    assert refused.kind is errors.ErrorKind.NO_UPSTREAM
    assert 0 < refused.retry_after <= 2


_ENDS = strategies.sampled_from(list(AttemptEnd))


@given(
    route=strategies.sampled_from(["draft", "answer", "book", "look"]),
    ends=strategies.lists(
        strategies.tuples(_ENDS, strategies.booleans()), max_size=8
    ),
)
def test_no_order_of_outcomes_runs_twice_or_promises_falsely(route, ends):
    # Whatever upstreams do, in any order: a request that may not be repeated
    # is never sent after a send that may have run, and "not run" is only
    # said if none has. Cause guarded against: a path that forgets a run.
    state = fakes.create_state(retry_extra=1000.0)
    number, sent = fakes.submit_request(state, 0.0, route)
    assert sent
    may_have_run, now = 0, 0.0
    most = 2 if route in ("answer", "look") else 1
    for end, begins in ends:
        now += 0.01
        if begins and end is not AttemptEnd.NOT_SENT:
            outcomes.record_response(state, now, number, first=True)
        forwarding_started = state.requests[number].forwarding_started
        done = outcomes.end_attempt(state, now, number, end)
        ran = end in (
            AttemptEnd.COMPLETE,
            AttemptEnd.FAILED,
            AttemptEnd.BROKEN,
        )
        may_have_run += ran
        for kind in fakes.list_error_kinds(done):
            answer = errors.ANSWERS[kind]
            assert not forwarding_started
            assert answer.ran is not errors.Ran.NO or not may_have_run
            assert answer.status not in (429, 503) or not may_have_run
        if not fakes.list_sends(done):
            break
        assert may_have_run < most
    counts = [one.own for one in state.table.by_name.values()]
    if number not in state.requests:
        assert all(load.running == 0 for load in counts)
        assert all(load.unread == 0 for load in counts)
        assert all(load.memory == 0 for load in counts)
        assert core.find_next_due(state) in (
            math.inf,
            *(due for due, _ in state.deadlines),
        )


def test_late_request_that_was_sent_may_have_run():
    # A booking's upstream does not answer in time. Its caller reads "not
    # run" in the answer's body and books again. One that only waited has
    # not run.
    state = fakes.create_state()
    sent, _ = fakes.submit_request(state, 0.0, "book", team="", time_left=0.3)
    (_, late) = core.run_timers(state, 0.31)
    assert (late.request, late.ran) == (sent, errors.Ran.UNKNOWN)
    for one in state.table.by_service["ledger"]:
        one.own.running = 100
    waits, _ = fakes.submit_request(state, 1.0, "book", team="", time_left=0.1)
    (late,) = core.run_timers(state, 1.11)
    assert (late.request, late.ran) == (waits, None)
