"""Effects that fail, in batches of effects of other requests."""

import types

from hypothesis import given
from hypothesis import strategies as st
import pytest

from sycamorefall import errors, transport
from sycamorefall.direct import (
    core,
    effects,
    fair_queue,
    local_failures,
    outcomes,
    relay,
    upstreams,
)
from sycamorefall.direct.tests import failing_router

EXCEPTIONS = (
    OSError(24, "Too many open files"),
    MemoryError(),
    RuntimeError("a test exception"),
    KeyError("a test exception"),
)

FULL = 100
"""Requests that run at an upstream which takes no more."""


@pytest.fixture
def create_router(monkeypatch):
    return lambda **arguments: failing_router.Router(monkeypatch, **arguments)


def fill_upstreams(router, count):
    for upstream in router.state.table.by_name.values():
        upstream.own_load.running += count


def create_full_batch(router, routes):
    """Lets requests wait, then returns the batch that sends them all."""
    fill_upstreams(router, FULL)
    router.handle_calls(routes)
    assert not any(call.ends for call in router.calls)
    fill_upstreams(router, -FULL)
    router.now += 0.05
    router.state.dispatch_needed = True
    return core.run_timers(router.state, router.now)


plans = st.lists(
    st.tuples(
        st.sampled_from(("draft", "answer", "look", "book")),
        st.sampled_from((None, None, "raise", "unopened")),
    ),
    min_size=1,
    max_size=4,
)


@given(plans, st.sampled_from(EXCEPTIONS))
def test_failing_send_ends_its_own_request_only(planned, error):
    # Guards against a send that raises for want of a descriptor: the rest of
    # its batch was dropped while the decisions counted it as running.
    with pytest.MonkeyPatch.context() as patch:
        router = failing_router.Router(patch)
        router.error = error
        routes = [route for route, _ in planned]
        batch = create_full_batch(router, routes)
        sends = [one for one in batch if isinstance(one, effects.SendRequest)]
        assert len(sends) == len(planned)
        router.plan = {
            call.target: plan
            for call, (_, plan) in zip(router.calls, planned, strict=True)
        }
        relay.perform_effects(router.proxy, batch)
        router.report_unopened()
        for call, (_, plan) in zip(router.calls, planned, strict=True):
            if plan is None:
                assert call.ends == []
                assert call.target in router.sent
                continue
            ((end, kind, ran, retry_after),) = call.ends
            assert (end, kind) == ("fail", errors.ErrorKind.OVERLOADED)
            assert ran is errors.Ran.NO
            assert retry_after == core.OTHER_ROUTER_RETRY_AFTER
        router.assert_consistent()
        usable = [
            upstreams.is_usable(one, router.now)
            for one in router.state.table.by_name.values()
        ]
        assert all(usable), "the upstreams did nothing wrong"


@given(
    st.lists(st.booleans(), min_size=1, max_size=4),
    st.sampled_from(EXCEPTIONS),
)
def test_failing_answer_ends_its_own_request_only(fails, error):
    # Guards against an answer that raises and takes with it the answers of the
    # other requests that expire at the same time.
    with pytest.MonkeyPatch.context() as patch:
        router = failing_router.Router(patch)
        fill_upstreams(router, FULL)
        router.handle_calls(["look"] * len(fails))
        for call, failing in zip(router.calls, fails, strict=True):
            call.raises = error if failing else None
        router.now = 10.0
        batch = core.run_timers(router.state, router.now)
        relay.perform_effects(router.proxy, batch)
        fill_upstreams(router, -FULL)
        for call, failing in zip(router.calls, fails, strict=True):
            ((end, kind, ran, _),) = call.ends
            assert ran in (None, errors.Ran.NO)
            assert (kind is errors.ErrorKind.INTERNAL) == failing
        router.assert_consistent()
        assert not router.proxy.in_flight


def test_send_that_raises_after_its_bytes_left_may_have_run(create_router):
    # Guards against an answer that says "not run" although bytes were sent: an
    # exception after the send must not look like one before it.
    router = create_router()
    records = []

    def record_sent(state, now, number):
        records.append(number)
        if len(records) > 1:
            raise RuntimeError
        return 3.0

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(outcomes, "record_sent", record_sent)
        router.handle_calls(["book"])
    ((_, kind, ran, _),) = router.calls[0].ends
    assert kind is errors.ErrorKind.OUTCOME_UNKNOWN
    assert router.aborted == [router.sent["/book/0"]]
    router.assert_consistent()


def test_response_that_raises_ends_its_own_request(create_router):
    # Guards against a response on which the router raises: its request stayed
    # counted as running, and its caller was held until the deadline.
    router = create_router()
    router.error = RuntimeError("a test exception")
    router.handle_calls(["look", "look"])
    router.sent["/look/0"].listener.on_head(200, [])
    assert [one[1] for one in router.calls[0].ends] == [
        errors.ErrorKind.INTERNAL
    ]
    assert router.calls[1].ends == []
    assert router.state.running == 1
    router.assert_consistent()


def test_request_that_fails_before_its_effects_releases_its_slot(
    create_router,
):
    # Guards against an exception between a decision and its effects: the
    # request kept its slot at the upstream until its deadline.
    router = create_router()
    broken = types.SimpleNamespace(
        read_request=router.proxy.dialect.read_request,
        read_request_id=lambda _: 1 / 0,
    )
    router.proxy.dialect = broken
    with pytest.raises(ZeroDivisionError):
        router.handle_calls(["look"])
    router.assert_consistent()
    assert router.state.running == 0


def test_unopened_retry_says_that_the_request_may_have_run(create_router):
    # Guards against a "not run" for a request that one upstream may have run
    # and whose retry found no descriptor.
    router = create_router()
    router.handle_calls(["look"])
    router.sent["/look/0"].listener.on_failure(transport.SendStage.SENT)
    number = next(iter(router.state.requests))
    assert router.state.requests[number].attempt is not None
    (error,) = local_failures.end_unopened_attempt(
        router.state, router.now, number
    )
    assert error.kind is errors.ErrorKind.RETRIES_EXHAUSTED


def test_unopened_attempt_is_refunded_and_frees_the_probe(create_router):
    # Guards against teams that are charged for requests which never left, and
    # against a suspended upstream that is never probed again.
    router = create_router()
    upstream = router.state.table.by_name["e1"]
    router.state.table.by_name["e2"].evacuated = True
    upstreams.suspend_upstream(upstream, 0.0)
    router.now = upstream.suspended_until + 0.001
    for _ in range(2):
        router.plan = {}
        router.calls.clear()
        router.handle_calls(["draft"])
        assert "/draft/0" in router.sent, "it is probed again"
        router.plan = {"/draft/0": "unopened"}
        router.report_unopened()
    accounts = router.state.accounts["engine"]
    received = fair_queue.compute_received(accounts, router.now, "mill")
    assert received == pytest.approx(0.0, abs=1e-6)
