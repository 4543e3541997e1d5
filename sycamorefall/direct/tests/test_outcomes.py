"""Outcomes of attempts: correct errors, and no unsafe retries."""

import math

from hypothesis import given, strategies
import pytest

from sycamorefall import errors
from sycamorefall.direct import core, effects, outcomes
from sycamorefall.direct.outcomes import AttemptEnd
from sycamorefall.direct.tests import fakes


@pytest.mark.parametrize("route", ["book", "draft"])
def test_request_that_may_have_run_is_not_retried(route):
    # Guards against running a request twice whose upstream broke the
    # connection: by a retry, or by its caller, who is told that it did not run.
    # Whether it ran is unknown.
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
def test_request_that_did_not_run_is_retried_elsewhere(end):
    # Guards against an error for a request that one upstream refused and
    # another can run.
    state = fakes.create_state()
    number, first = fakes.submit_request(state, 0.0, "book")
    retry = outcomes.end_attempt(state, 0.01, number, end)
    (second,) = fakes.list_sends(retry)
    assert second.upstream != first.upstream


def test_refusal_after_a_possible_run_does_not_claim_not_run():
    # Guards against telling the caller that a request did not run when its
    # second upstream refuses it: the first, whose connection was lost, may have
    # run it.
    state = fakes.create_state()
    number, _ = fakes.submit_request(state, 0.0, "look")
    (_,) = outcomes.end_attempt(state, 0.1, number, AttemptEnd.BROKEN)
    done = outcomes.end_attempt(state, 0.2, number, AttemptEnd.NOT_RUN)
    assert fakes.list_error_kinds(done) == [errors.ErrorKind.RETRIES_EXHAUSTED]


def test_failed_idempotent_request_is_retried_once_then_forwarded():
    # Guards against failures that reach callers although a retry would succeed:
    # one idempotent request in eight fails at its upstream. The failure of the
    # second upstream is forwarded.
    state = fakes.create_state()
    number, _ = fakes.submit_request(state, 0.0, "look")
    (retry,) = outcomes.end_attempt(state, 0.05, number, AttemptEnd.FAILED)
    assert isinstance(retry, effects.SendRequest)
    done = outcomes.end_attempt(state, 0.1, number, AttemptEnd.FAILED)
    assert done == [effects.ForwardResponse(number)]


def test_broken_stream_is_resumed_only_if_the_route_allows_it():
    # Guards against a truncated stream that looks complete after an engine
    # crashes. A resumable stream continues at another engine; any other is
    # aborted.
    state = fakes.create_state()
    resumable, first = fakes.submit_request(state, 0.0, "answer")
    other, _ = fakes.submit_request(state, 0.0, "draft")
    for number in (resumable, other):
        outcomes.record_response(state, 0.1, number, first=True)
    (retry,) = outcomes.end_attempt(state, 0.2, resumable, AttemptEnd.BROKEN)
    assert retry.upstream != first.upstream
    done = outcomes.end_attempt(state, 0.2, other, AttemptEnd.BROKEN)
    assert done == [effects.AbortResponse(other)]


def test_other_incarnation_excludes_upstream_for_all_requests():
    # Guards against using up the retry budget at a restarted upstream whose old
    # entry is still listed: each request sent there would be refused and
    # retried, unless the first refusal excludes the entry.
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


def test_refused_connection_suspends_upstream_for_all_requests():
    # Guards against sending one request after the other to a crashed upstream
    # although the first found its connection refused.
    state = fakes.create_state(
        listing=[fakes.create_upstream_entry("l1", "ledger")]
    )
    number, _ = fakes.submit_request(state, 0.0, "book")
    outcomes.end_attempt(state, 0.01, number, AttemptEnd.NOT_SENT)
    assert fakes.submit_request(state, 0.02, "book")[1] is None
    core.run_timers(state, 0.9)
    probe, sent = fakes.submit_request(state, 1.0, "look")
    assert sent, "one request is sent as a probe after the suspension"
    assert fakes.submit_request(state, 1.0, "look")[1] is None, "and only one"
    outcomes.end_attempt(state, 1.05, probe, AttemptEnd.COMPLETE)
    assert fakes.list_sends(core.run_timers(state, 1.1))


def test_timeout_answers_the_caller_and_aborts_the_attempt():
    # Guards against a caller that waits until its own, later deadline for an
    # upstream that never responds. At the route's timeout the caller gets an
    # error and the attempt is aborted.
    state = fakes.create_state()
    number, _ = fakes.submit_request(state, 0.0, "book", time_left=10.0)
    assert core.find_next_due(state) <= 3.0
    core.run_timers(state, 2.9)
    done = core.run_timers(state, 3.0)
    assert effects.AbortAttempt(number) in done
    assert fakes.list_error_kinds(done) == [errors.ErrorKind.DEADLINE_EXCEEDED]
    assert not state.requests


def test_disconnect_of_the_caller_aborts_the_attempt():
    # Guards against an attempt that keeps occupying a slot of an engine after
    # its caller has disconnected.
    state = fakes.create_state()
    number, sent = fakes.submit_request(state, 0.0, "draft")
    upstream = state.table.by_name[sent.upstream]
    assert upstream.running == 1
    assert core.cancel_request(state, number, 0.1) == [
        effects.AbortAttempt(number)
    ]
    assert (upstream.running, upstream.unread, upstream.memory) == (0, 0, 0)


def test_disconnect_of_the_caller_removes_a_waiting_request():
    # Guards against sending a waiting request whose caller has disconnected.
    state = fakes.create_state(listing=[])
    number, sent = fakes.submit_request(state, 0.0, "draft")
    assert sent is None
    assert core.cancel_request(state, number, 0.1) == []
    core.apply_listing(state, 0.2, fakes.STANDARD_LISTING)
    assert core.run_timers(state, 0.2) == []


def test_resumable_streams_of_a_stalled_engine_continue_elsewhere():
    # Guards against callers that wait until their deadlines for an engine that
    # stopped responding without closing its connections. After a second without
    # a byte for any request, resumable streams continue at another engine. The
    # other requests keep waiting, as the engine may still run them.
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
    (retry,) = fakes.list_sends(done)
    assert (retry.request, retry.upstream) == (answer, "e2")
    assert draft in state.requests


def test_busy_engine_is_not_taken_for_a_stalled_one():
    # Guards against moving a request whose prompt waits while its engine
    # generates tokens for another one: its prefill would start over.
    state = fakes.create_state(listing=[fakes.create_upstream_entry("e1")])
    first, _ = fakes.submit_request(state, 0.0, "answer")
    fakes.submit_request(state, 0.0, "answer")
    for step in range(1, 29):
        now = step * 0.1
        outcomes.record_response(state, now, first, first=step == 1)
        assert not core.run_timers(state, now)


def test_request_that_waits_too_long_is_refused_with_retry_after():
    # Guards against holding a request until its deadline while all engines are
    # full. It is refused with a Retry-After as soon as its target latency can't
    # be met.
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
def test_no_order_of_outcomes_retries_unsafely_or_misstates_runs(route, ends):
    # Guards against a code path that loses track of a possible run. After any
    # sequence of outcomes, a request whose route forbids retries is not sent
    # again once an attempt may have run, and the caller is told that it did not
    # run only if no attempt may have.
    state = fakes.create_state(retry_extra=1000.0)
    number, sent = fakes.submit_request(state, 0.0, route)
    assert sent
    may_have_run, now = 0, 0.0
    max_runs = 2 if route in ("answer", "look") else 1
    for end, response_starts in ends:
        now += 0.01
        if response_starts and end is not AttemptEnd.NOT_SENT:
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
        assert may_have_run < max_runs
    counts = [one.own_load for one in state.table.by_name.values()]
    if number not in state.requests:
        assert all(load.running == 0 for load in counts)
        assert all(load.unread == 0 for load in counts)
        assert all(load.memory == 0 for load in counts)
        assert core.find_next_due(state) in (
            math.inf,
            *(due for due, _ in state.deadlines),
        )


def test_timed_out_request_that_was_sent_may_have_run():
    # Guards against telling the caller of a timed-out request that it did not
    # run although an upstream had it, as the caller would then repeat it. A
    # request that only waited did not run.
    state = fakes.create_state()
    sent, _ = fakes.submit_request(state, 0.0, "book", team="", time_left=0.3)
    (_, late) = core.run_timers(state, 0.31)
    assert (late.request, late.ran) == (sent, errors.Ran.UNKNOWN)
    for one in state.table.by_service["ledger"]:
        one.own_load.running = 100
    waits, _ = fakes.submit_request(state, 1.0, "book", team="", time_left=0.1)
    (late,) = core.run_timers(state, 1.11)
    assert (late.request, late.ran) == (waits, None)
