"""Upstreams that start again under the name that they had."""

import dataclasses

from sycamorefall import errors
from sycamorefall.direct import core, effects, outcomes, upstreams
from sycamorefall.direct.tests import fakes

PAPER = (("paper", 9000),)


def list_born(*lives):
    """Lists engines by (name, birth)."""
    return [
        dataclasses.replace(
            fakes.create_upstream_entry(name, port=port), born=born
        )
        for port, (name, born) in enumerate(lives, start=1)
    ]


def create_state(*lives):
    return fakes.create_state(listing=list_born(*lives))


def test_restarted_engine_is_not_taken_to_hold_what_it_held():
    # An engine starts again under its name. It is sent prompts as if it still
    # had their shared parts, reads them all, and its answers are late.
    state = create_state(("e1", 100))
    number, _ = fakes.submit_request(
        state, 0.0, "draft", tokens=9500, parts=PAPER
    )
    core.cancel_request(state, number, 0.0)
    core.apply_listing(state, 1.0, list_born(("e1", 200)))
    _, sent = fakes.submit_request(
        state, 1.0, "draft", tokens=9500, parts=PAPER
    )
    assert sent.reads == 9500


def test_load_of_the_former_life_is_not_taken_off_the_new_one():
    # Requests of the former life end after the restart. Taken off the new
    # life's load, they make it look emptier than it is, for good.
    state = create_state(("e1", 100))
    old, _ = fakes.submit_request(state, 0.0, "draft", tokens=100)
    core.apply_listing(state, 1.0, list_born(("e1", 200)))
    assert state.table.by_name["e1"].own.running == 0
    fakes.submit_request(state, 1.0, "draft", tokens=100)
    outcomes.end_attempt(state, 1.1, old, outcomes.AttemptEnd.BROKEN)
    engine = state.table.by_name["e1"]
    assert (engine.own.running, engine.own.unread) == (1, 100)


def test_bars_and_failures_of_the_former_life_are_forgotten():
    # An engine crashed, was barred for four seconds, and is back after one.
    state = create_state(("e1", 100))
    engine = state.table.by_name["e1"]
    for _ in range(6):
        upstreams.record_sent(engine)
        upstreams.record_failure(engine, 0.0)
        upstreams.suspend_upstream(engine, 0.0)
    assert fakes.submit_request(state, 0.0, "draft", tokens=100)[1] is None
    core.apply_listing(state, 0.3, list_born(("e1", 200)))
    (sent,) = fakes.list_sends(core.run_timers(state, 0.31))
    assert sent.upstream == "e1"


def test_caller_of_the_former_life_is_told_that_nobody_knows():
    # An engine restarts behind a partition, so its connections are never
    # reset. A caller whose request may not be repeated waits to its deadline,
    # or is told that it did not run.
    state = create_state(("e1", 100))
    number, _ = fakes.submit_request(state, 0.0, "draft", tokens=100)
    core.apply_listing(state, 0.5, list_born(("e1", 200)))
    done = core.run_timers(state, 0.6)
    assert effects.AbortAttempt(number) in done
    assert fakes.list_error_kinds(done) == [errors.ErrorKind.OUTCOME_UNKNOWN]


def test_stream_of_the_former_life_goes_on_elsewhere():
    # The same with a stream that another engine may go on with.
    state = create_state(("e1", 100), ("e2", 100))
    number, sent = fakes.submit_request(state, 0.0, "answer", tokens=100)
    outcomes.record_response(state, 0.1, number, first=True)
    lives = {"e1": 100, "e2": 100} | {sent.upstream: 200}
    core.apply_listing(state, 0.5, list_born(*lives.items()))
    abort, again = core.run_timers(state, 0.6)
    assert isinstance(abort, effects.AbortAttempt)
    assert again.upstream != sent.upstream


def test_entry_without_a_birth_is_not_that_of_a_process_that_had_one():
    # Another program overwrites an engine's entry with one that lacks its
    # birth. Taken for a restart, all that runs there would be given up.
    state = create_state(("e1", 100), ("e2", 100))
    gone = core.apply_listing(state, 1.0, list_born(("e1", 0), ("e2", 100)))
    assert gone == ["e1"]


def test_process_that_was_replaced_at_its_address_can_come_back():
    # A process answers at another one's address, so the entry of that one is
    # left alone. It then starts again elsewhere, under its name.
    state = create_state(("e1", 100))
    upstreams.record_other_incarnation(state.table, "e1")
    assert fakes.submit_request(state, 0.0, "draft", tokens=100)[1] is None
    core.apply_listing(state, 0.3, list_born(("e1", 200)))
    (sent,) = fakes.list_sends(core.run_timers(state, 0.31))
    assert sent.upstream == "e1"
