"""Timers that fail beside others, and what a fault leaves behind."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from sycamorefall import errors
from sycamorefall.direct import core, timers
from sycamorefall.direct.tests import failing_router


@pytest.fixture
def create_router(monkeypatch):
    return lambda **arguments: failing_router.Router(monkeypatch, **arguments)


STEPS = ("client", "callers", "operators", "replicator", "log")


@given(st.sets(st.sampled_from(STEPS)))
def test_timer_that_raises_leaves_the_others_to_run(breaks):
    # Guards against a link or a read that can't be opened: the timers after it
    # were left out, so requests were neither sent nor expired.
    with pytest.MonkeyPatch.context() as patch:
        router = failing_router.Router(patch)
        router.handle_calls(["look"])
        daemon, calls = failing_router.create_daemon(router, breaks)
        for name in (
            "_record_lateness",
            "_send_due_messages",
            "_drop_missing_upstreams",
        ):
            patch.setattr(timers, name, lambda *_: None)
        router.now = 10.0
        timers.run(daemon, router.now, lambda *_: calls.append("stop"))
        assert calls == [*STEPS, "stop"]
        assert [one[1] for one in router.calls[0].ends] == [
            errors.ErrorKind.DEADLINE_EXCEEDED
        ]
        router.assert_consistent()
        assert (daemon.timers_resume_at > router.now) == bool(breaks)


def test_requests_that_a_fault_has_orphaned_end(create_router, monkeypatch):
    # Guards against an exception between ending a request by the decisions and
    # telling its caller, who would wait until it gives up by itself.
    router = create_router()
    router.handle_calls(["look", "look"])
    daemon, _ = failing_router.create_daemon(router, ())
    for name in (
        "_record_lateness",
        "_send_due_messages",
        "_drop_missing_upstreams",
    ):
        monkeypatch.setattr(timers, name, lambda *_: None)

    def end_one_and_raise(state, now):
        core.cancel_request(state, next(iter(state.requests)), now)
        raise RuntimeError("a test exception")

    monkeypatch.setattr(core, "run_timers", end_one_and_raise)
    timers.run(daemon, 0.1, lambda *_: None)
    assert [len(call.ends) for call in router.calls] == [1, 0]
    router.assert_consistent()


def test_request_without_a_caller_frees_its_slot_after_a_fault(
    create_router, monkeypatch
):
    # Guards against a request that only the decisions know, since something
    # raised as its caller left: it would keep its slot until its deadline.
    router = create_router()
    router.handle_calls(["look", "look"])
    del router.proxy.in_flight[next(iter(router.proxy.in_flight))]
    router.proxy.faulted = True  # The loop has reported the exception.
    daemon, _ = failing_router.create_daemon(router, ())
    for name in (
        "_record_lateness",
        "_send_due_messages",
        "_drop_missing_upstreams",
    ):
        monkeypatch.setattr(timers, name, lambda *_: None)
    timers.run(daemon, 0.1, lambda *_: None)
    assert router.state.running == 1
    router.assert_consistent()
    assert not router.proxy.faulted
