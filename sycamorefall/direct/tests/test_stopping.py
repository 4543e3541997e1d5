"""Tests of the requests that a stopping router still accepts."""

import types

import pytest

from sycamorefall import errors
from sycamorefall.direct import core, daemon, effects, stopping
from sycamorefall.direct.tests import fakes
from sycamorefall.transport.tests import last_passes, test_server


def create_stopping_router(grace):
    state = fakes.create_state(grace=grace)
    core.begin_stop(state, 0.0, 0.0)
    return state


def test_stopping_router_refuses_requests_it_cannot_complete():
    # A caller that waits up to 3 s comes 3 s after the signal. Its stream was
    # accepted and then cut off when the process was killed.
    state = create_stopping_router(grace=6.0)
    _, sent = fakes.submit_request(state, 1.0, "draft")
    assert fakes.list_sends([sent])
    _, refused = fakes.submit_request(state, 3.0, "draft")
    assert refused.kind is errors.ErrorKind.STOPPING
    assert refused.retry_after == core.OTHER_ROUTER_RETRY_AFTER
    assert core.list_unready_reasons(state, 3.0)[0] == "stopping"


def test_stopping_router_serves_requests_that_end_in_time():
    # A short request that comes 3 s after the signal was refused too, though it
    # would have ended long before the process.
    state = create_stopping_router(grace=6.0)
    _, sent = fakes.submit_request(state, 3.0, "draft", time_left=1.0)
    assert fakes.list_sends([sent])


def test_late_notice_of_a_stop_leaves_no_more_time_until_the_kill():
    # A process that noticed its signal late counted its whole stop from then:
    # it accepted streams that the kill cut, and gave its last answers after it.
    state = fakes.create_state(grace=6.0)
    core.begin_stop(state, 1.4, 0.0)
    _, sent = fakes.submit_request(state, 2.5, "draft")
    assert fakes.list_sends([sent])
    _, refused = fakes.submit_request(state, 2.7, "draft")
    assert refused.kind is errors.ErrorKind.STOPPING
    _, sent = fakes.submit_request(state, 2.7, "draft", time_left=2.0)
    assert fakes.list_sends([sent])
    assert not stopping.must_answer(state.stop, 5.7)
    assert stopping.must_answer(state.stop, 5.8)


def test_late_notice_of_a_stop_leaves_the_balancer_its_time():
    # The balancer's checks fail only once the process has noticed the signal.
    stop = stopping.Stop(8.0, since=1.4, sent_after=0.0)
    assert not stopping.may_end_listening(stop, 3.9, 3.0)
    assert stopping.may_end_listening(stop, 4.1, 3.0)
    very_late = stopping.Stop(8.0, since=6.5, sent_after=0.0)
    assert not stopping.may_end_listening(very_late, 7.1, 7.0)
    assert stopping.may_end_listening(very_late, 7.3, 7.2)


def test_requests_are_answered_before_the_process_is_killed():
    # The platform killed a router whose upstream was silent, or that held a
    # request which waited: their connections ended without an answer.
    state = create_stopping_router(grace=2.0)
    number, sent = fakes.submit_request(state, 0.5, "book")
    assert fakes.list_sends([sent])
    begun, _ = fakes.submit_request(state, 0.5, "answer")
    state.requests[begun].forwarding_started = True
    for _ in range(100):
        waiting, pending = fakes.submit_request(state, 0.5, "look")
        if not pending:
            break
    answered = {
        one.request: (one.kind, one.retry_after)
        for one in core.answer_all(state, 1.75)
        if isinstance(one, effects.AnswerError)
    }
    # Only what certainly didn't run is to come back, and at another router.
    unknown = errors.ErrorKind.OUTCOME_UNKNOWN, None
    assert answered[number] == unknown
    stopping_now = errors.ErrorKind.STOPPING, core.OTHER_ROUTER_RETRY_AFTER
    assert answered[waiting] == stopping_now
    assert list(state.requests) == [begun]


@pytest.mark.parametrize(
    ("now", "last_request_at", "ends"),
    [
        (2.5, 0.0, False),  # The balancer has not noticed the stop yet.
        (2.7, 2.6, False),  # Callers still come.
        (3.0, 2.6, True),
        (4.2, 4.15, True),  # The longest time to listen is over.
    ],
)
def test_listening_ends_once_callers_use_other_routers(
    now, last_request_at, ends
):
    stop = stopping.Stop(8.0, since=0.0, sent_after=0.0)
    assert stopping.may_end_listening(stop, now, last_request_at) is ends


def test_process_stays_while_a_response_is_in_progress():
    stop = stopping.Stop(8.0, since=0.0, sent_after=0.0)
    checks = [(3.0, True), (3.2, False), (3.4, True), (3.6, True), (3.75, True)]
    exits = [stopping.may_exit(stop, now, quiet) for now, quiet in checks]
    assert exits == [False, False, False, False, True]


class StoppingRouter:
    """A router that stops at time 0.0; the test runs its event loop."""

    def __init__(self):
        self.site = test_server.Site()
        self.site.run_until(lambda: self.site.server.port)
        self.state = fakes.create_state(grace=8.0)
        self.daemon = types.SimpleNamespace(
            state=self.state,
            servers=[self.site.server],
            ticker=types.SimpleNamespace(late=0.0),
            loop=self.site.loop,
            next_stop_check_at=0.0,
        )

    def stop(self):
        core.begin_stop(self.state, 0.0, 0.0)
        self.site.server.announce_stop()

    def check_stop(self, now):
        """Checks the stop before input is read, as the event loop does."""
        self.site.now = now
        daemon._continue_stop(self.daemon, now)


def test_late_router_listens_while_requests_are_unread():
    # One pass of a busy router's event loop takes longer than the 0.3 s without
    # a request after which the router stops listening. Requests had arrived on
    # kept and on new connections, but were not read yet, so the router stopped
    # listening and refused later callers.
    for connect_late in (False, True):
        router = StoppingRouter()
        site = router.site
        caller = site.connect()
        if not connect_late:
            site.run_until(lambda s=site: s.server._connections)
        router.stop()
        caller.sendall(test_server.GET % b"now")
        router.check_stop(2.8)
        assert site.server.listening
        assert site.read(caller, b"\r\n\r\nnow").endswith(b"now")
        router.check_stop(3.0)
        assert site.server.listening
        router.check_stop(3.2)
        assert not site.server.listening
        caller.close()


def test_connection_stays_open_if_its_close_was_not_announced():
    # A stream that began before the stop ends after listening has ended, and
    # its head didn't announce that the connection closes. The next check of the
    # stop, at most 0.05 s later, closed the connection while the caller sent
    # its next request.
    router = StoppingRouter()
    site = router.site
    caller = site.connect()
    caller.sendall(test_server.GET % b"long")
    call = site.run_until(lambda: site.calls)[0]
    call.begin(200)
    router.stop()
    router.check_stop(3.0)
    assert not site.server.listening
    call.end()
    assert site.read(caller, b"0\r\n\r\n").endswith(b"0\r\n\r\n")
    router.check_stop(3.05)
    assert site.server.is_drained()
    caller.sendall(test_server.GET % b"now")
    assert not site.server.is_drained()
    assert b"Connection: close" in site.read(caller, b"\r\n\r\nnow")


def test_full_router_listens_for_waiting_callers_until_its_kill_is_near():
    # Guards against a router that never stops listening, as callers wait in the
    # kernel for as long as its connections are taken, and against waiting
    # callers that are reset before.
    router = StoppingRouter()
    site = router.site
    site.server.acceptor.max_connections = 1
    site.server.acceptor.max_excess = 0
    served = site.connect()
    served.sendall(test_server.GET % b"long")
    site.run_until(lambda: site.calls)
    waiting = site.connect()
    router.stop()
    for now in (3.0, 4.2, 7.0):
        router.check_stop(now)
        assert site.server.listening
        assert site.loop.running
    router.check_stop(7.3)
    assert not site.server.listening
    site.calls[0].respond(200, b"last")
    assert site.read(served, b"last").endswith(b"last")
    site.run_until(lambda: not site.server.open_count)
    for now in (7.35, 7.4, 7.7):
        router.check_stop(now)
    assert not site.loop.running
    for caller in (served, waiting):
        caller.close()


@pytest.mark.parametrize("pass_time", [last_passes.PASS_TIME, 0.4])
def test_request_in_the_last_moment_of_a_stop_is_not_lost(pass_time):
    # A caller that was not told that its connection closes uses it again while
    # the process ends. The loop read the request after the last check, sent it
    # to an upstream and ended.
    def create_last_passes(step):
        router = StoppingRouter()
        site = router.site
        caller = site.connect()
        caller.sendall(test_server.GET % b"long")
        call = site.run_until(lambda: site.calls)[0]
        call.begin(200)
        router.stop()
        router.check_stop(3.0)
        call.end()
        site.read(caller, b"0\r\n\r\n")
        return last_passes.LastPasses(
            site,
            caller,
            lambda now: daemon._continue_stop(router.daemon, now),
            step,
            pass_time,
        )

    quiet_until = 3.0 + pass_time + stopping.QUIET_PERIOD
    losing = last_passes.list_losing_steps(create_last_passes, quiet_until)
    assert losing == []
