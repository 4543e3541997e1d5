"""Upstreams whose process restarts under the same name."""

import dataclasses

from sycamorefall import errors
from sycamorefall.direct import core, effects, outcomes, upstreams
from sycamorefall.direct.tests import fakes

SHARED_PART = (("paper", 9000),)


def create_entries(*processes):
    """Creates the entries of engines from pairs of name and start time."""
    return [
        dataclasses.replace(
            fakes.create_upstream_entry(name, port=port), start_time=start_time
        )
        for port, (name, start_time) in enumerate(processes, start=1)
    ]


def create_state(*processes):
    return fakes.create_state(listing=create_entries(*processes))


def test_restarted_engine_starts_with_an_empty_cache():
    # Guards against late responses of a restarted engine that is sent prompts
    # as if it still had their shared parts in its cache.
    state = create_state(("e1", 100))
    number, _ = fakes.submit_request(
        state, 0.0, "draft", tokens=9500, parts=SHARED_PART
    )
    core.cancel_request(state, number, 0.0)
    core.apply_listing(state, 1.0, create_entries(("e1", 200)))
    _, sent = fakes.submit_request(
        state, 1.0, "draft", tokens=9500, parts=SHARED_PART
    )
    assert sent.reads == 9500


def test_requests_of_the_old_process_do_not_reduce_the_load_of_the_new():
    # Guards against a load that stays too low: requests of the old process end
    # after the restart and must not be subtracted from the new one's load.
    state = create_state(("e1", 100))
    old, _ = fakes.submit_request(state, 0.0, "draft", tokens=100)
    core.apply_listing(state, 1.0, create_entries(("e1", 200)))
    assert state.table.by_name["e1"].own_load.running == 0
    fakes.submit_request(state, 1.0, "draft", tokens=100)
    outcomes.end_attempt(state, 1.1, old, outcomes.AttemptEnd.BROKEN)
    engine = state.table.by_name["e1"]
    assert (engine.own_load.running, engine.own_load.unread) == (1, 100)


def test_load_is_kept_while_an_entry_is_gone_for_a_while():
    # Guards against an engine that seems emptier than empty: its entry lapses
    # and comes back while its process runs, and the requests that it had are
    # subtracted from a load that never included them.
    state = create_state(("e1", 100), ("e2", 100))
    number, sent = fakes.submit_request(state, 0.0, "answer", tokens=100)
    others = {"e1", "e2"} - {sent.upstream}
    core.apply_listing(state, 0.1, create_entries(*((n, 100) for n in others)))
    assert sent.upstream not in state.table.by_name
    core.apply_listing(state, 0.2, create_entries(("e1", 100), ("e2", 100)))
    load = state.table.by_name[sent.upstream].own_load
    assert (load.running, load.unread) == (1, 100)
    end = outcomes.AttemptEnd.COMPLETE
    outcomes.end_attempt(state, 0.3, number, end)
    assert load == upstreams.Load()
    assert not state.table.unlisted


def test_restart_ends_the_suspension_of_the_old_process():
    # Guards against leaving a restarted engine suspended: the crashed process
    # was suspended for four seconds, but the engine is back after one.
    state = create_state(("e1", 100))
    engine = state.table.by_name["e1"]
    for _ in range(6):
        upstreams.record_sent(engine, 0.0)
        upstreams.record_failure(engine, 0.0)
        upstreams.suspend_upstream(engine, 0.0)
    assert fakes.submit_request(state, 0.0, "draft", tokens=100)[1] is None
    core.apply_listing(state, 0.3, create_entries(("e1", 200)))
    (sent,) = fakes.list_sends(core.run_timers(state, 0.31))
    assert sent.upstream == "e1"


def test_request_at_the_old_process_has_an_unknown_outcome():
    # Guards against a caller that waits until its deadline, or is told that its
    # request did not run, when an engine restarts behind a network partition:
    # the connections to it are never reset.
    state = create_state(("e1", 100))
    number, _ = fakes.submit_request(state, 0.0, "draft", tokens=100)
    core.apply_listing(state, 0.5, create_entries(("e1", 200)))
    done = core.run_timers(state, 0.6)
    assert effects.AbortAttempt(number) in done
    assert fakes.list_error_kinds(done) == [errors.ErrorKind.OUTCOME_UNKNOWN]


def test_resumable_stream_of_the_old_process_continues_elsewhere():
    # Guards against the same for a resumable stream, which another engine can
    # continue.
    state = create_state(("e1", 100), ("e2", 100))
    number, sent = fakes.submit_request(state, 0.0, "answer", tokens=100)
    outcomes.record_response(state, 0.1, number, first=True)
    processes = {"e1": 100, "e2": 100} | {sent.upstream: 200}
    core.apply_listing(state, 0.5, create_entries(*processes.items()))
    abort, retry = core.run_timers(state, 0.6)
    assert isinstance(abort, effects.AbortAttempt)
    assert retry.upstream != sent.upstream


def test_entry_that_loses_its_start_time_is_not_a_restart():
    # Guards against aborting all requests at an engine when another program
    # overwrites its entry with one without a start time. Such an entry is no
    # restart.
    state = create_state(("e1", 100), ("e2", 100))
    dropped = core.apply_listing(
        state, 1.0, create_entries(("e1", 0), ("e2", 100))
    )
    assert dropped == ["e1"]


def test_upstream_replaced_at_its_address_is_used_after_a_restart():
    # Guards against excluding an upstream for good after another process
    # answered at its address: it may restart under the same name.
    state = create_state(("e1", 100))
    upstreams.record_other_incarnation(state.table, "e1")
    assert fakes.submit_request(state, 0.0, "draft", tokens=100)[1] is None
    core.apply_listing(state, 0.3, create_entries(("e1", 200)))
    (sent,) = fakes.list_sends(core.run_timers(state, 0.31))
    assert sent.upstream == "e1"
