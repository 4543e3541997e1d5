"""Effects that fail, in batches of effects of other requests."""

import types

from hypothesis import given
from hypothesis import strategies as st
import pytest
from returns import result

from sycamorefall import errors, transport
from sycamorefall.direct import (
    core,
    dialects,
    effects,
    fair_queue,
    local_failures,
    outcomes,
    relay,
    timers,
    upstreams,
)
from sycamorefall.direct.tests import fakes

EXCEPTIONS = (
    OSError(24, "Too many open files"),
    MemoryError(),
    RuntimeError("a test exception"),
    KeyError("a test exception"),
)

FULL = 100
"""Requests that run at an upstream which takes no more."""


class Call:
    """A caller's request that records how it ended.

    Attributes:
        ends: Ends that its caller has seen.
        raises: Exception that its next response raises.
    """

    def __init__(self, path):
        self.method, self.target, self.path = "POST", path, path
        self.headers, self.body = {}, b""
        self.response_started = False
        self.ends = []
        self.raises = None

    def fail(self, kind, message="", ran=None, retry_after=None):
        if self.raises is not None:
            raised, self.raises = self.raises, None
            raise raised
        self.ends.append(("fail", kind, ran, retry_after))

    def abort(self):
        self.ends.append(("abort", None, None, None))


class Exchange:
    def __init__(self, listener):
        self.listener = listener
        self.sent_any = True
        self.ended_at_close = False


class Router:
    """A router whose HTTP client fails as a test says.

    Attributes:
        now: Time of its clock.
        calls: All calls, by the order of their arrival.
        sent: Exchanges of the requests that were sent, by target.
        plan: What `send` does for a target: `raise`, `raise_later` (by the
            listener), `unopened` or nothing.
        error: Exception that `raise` raises.
    """

    def __init__(self, monkeypatch, listing=fakes.STANDARD_LISTING):
        self.now = 0.0
        self.calls, self.sent, self.aborted = [], {}, []
        self.plan, self.error = {}, None
        monkeypatch.setattr(transport, "read_clock", lambda: self.now)
        self.state = fakes.create_state(listing=listing)
        dialect = dialects.Dialect(
            read_request=lambda call: result.Success(
                fakes.create_request(call.path.split("/")[1])
            ),
            read_request_id=lambda _: "1",
            write_headers=lambda *_: (),
            is_matching_response=lambda *_: True,
            read_response_head=lambda *_: self.read_head(),
        )
        self.proxy = relay.Proxy(self.state, self, dialect)

    def read_head(self):
        raise self.error

    def send(self, request, listener):
        planned = self.plan.get(request.path)
        if planned == "raise":
            raise self.error
        exchange = Exchange(listener)
        if planned == "unopened":
            exchange.sent_any = False
        self.sent[request.path] = exchange
        return exchange

    def abort(self, exchange):
        self.aborted.append(exchange)

    def check_reachable(self, address, on_result):
        """Finds nothing out."""

    def handle_calls(self, routes):
        for number, route in enumerate(routes):
            call = Call(f"/{route}/{number}")
            self.calls.append(call)
            relay.handle_call(self.proxy, call)

    def report_unopened(self):
        for path, exchange in list(self.sent.items()):
            if self.plan.get(path) == "unopened":
                exchange.listener.on_failure(transport.SendStage.NOT_OPENED)
                del self.sent[path]

    def count_load(self):
        by_name = self.state.table.by_name.values()
        return sum(one.own_load.running for one in by_name)

    def assert_consistent(self):
        state = self.state
        assert self.proxy.in_flight.keys() == state.requests.keys()
        assert state.running == self.count_load()
        attempts = sum(
            one.attempt is not None for one in state.requests.values()
        )
        assert state.running == attempts


@pytest.fixture
def create_router(monkeypatch):
    return lambda **arguments: Router(monkeypatch, **arguments)


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
        router = Router(patch)
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
        router = Router(patch)
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


class Daemon(types.SimpleNamespace):
    """What the timers of a router need, with steps that a test breaks."""


def create_daemon(router, breaks):
    calls = []

    def make(name, value=None):
        def step(*_):
            calls.append(name)
            if name in breaks:
                raise OSError(24, name) if value is None else value

        return step

    daemon = Daemon(
        state=router.state,
        proxy=router.proxy,
        client=types.SimpleNamespace(expire=make("client")),
        servers=[
            types.SimpleNamespace(expire=make("callers")),
            types.SimpleNamespace(expire=make("operators")),
        ],
        replicator=types.SimpleNamespace(run=make("replicator")),
        log=types.SimpleNamespace(flush=make("log")),
        next_division_at=float("inf"),
        next_backlog_log_at=float("inf"),
        next_stop_check_at=0.0,
        timers_resume_at=float("-inf"),
    )
    return daemon, calls


STEPS = ("client", "callers", "operators", "replicator", "log")


@given(st.sets(st.sampled_from(STEPS)))
def test_timer_that_raises_leaves_the_others_to_run(breaks):
    # Guards against a link or a read that can't be opened: the timers after it
    # were left out, so requests were neither sent nor expired.
    with pytest.MonkeyPatch.context() as patch:
        router = Router(patch)
        router.handle_calls(["look"])
        daemon, calls = create_daemon(router, breaks)
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
    daemon, _ = create_daemon(router, ())
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
    daemon, _ = create_daemon(router, ())
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
