"""Stateful test: requests run at most once, and callers get true outcomes.

A request that isn't idempotent must not run twice, and one that was reported as
not run must not run later. Either can happen if a message or an attempt between
router and sidecar is lost, repeated, delayed or reordered, or if a process is
restarted, suspended or resumed at the wrong moment. Hypothesis searches for a
sequence of such events that violates a guarantee.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from sycamorefall.dispatch.tests import model
from sycamorefall.router import attempt_lifecycle

INDICES = st.integers(0, 1 << 16)
PROCESS_NAMES = st.sampled_from((*model.ROUTERS, *model.SIDECARS))
DURATIONS = st.sampled_from((0.3, 0.6, 1.1, 2.5, 11.0, 700.0))


def pick(items, index):
    return items[index % len(items)]


class OutcomesMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.fleet = model.Fleet()
        self.fleet.advance_connected(1.0)

    def is_running(self, name):
        return not self.fleet.processes[name].frozen

    @stateful.rule(
        name=st.sampled_from(model.ROUTERS),
        timeout=st.sampled_from((3000.0, 30.0, 3.0)),
        idempotent=st.sampled_from((False, False, True)),
        deliver_messages=st.booleans(),
    )
    def submit(self, name, timeout, idempotent, deliver_messages):
        if self.is_running(name):
            self.fleet.submit(name, timeout, idempotent)
        if deliver_messages:
            self.fleet.deliver_all_messages()

    @stateful.rule(name=st.sampled_from(model.ROUTERS), index=INDICES)
    def disconnect_caller(self, name, index):
        callers = list(self.fleet.processes[name].callers)
        if callers and self.is_running(name):
            self.fleet.disconnect_caller(name, pick(callers, index))

    @stateful.rule(seconds=DURATIONS, connected=st.booleans())
    def advance(self, seconds, connected):
        if connected:
            self.fleet.advance_connected(seconds)
        else:
            self.fleet.advance(seconds)

    @stateful.rule(kind=st.sampled_from(("messages", "attempts", "replies")))
    def deliver_all(self, kind):
        getattr(self.fleet, f"deliver_all_{kind}")()

    @stateful.precondition(lambda self: self.fleet.pending_messages)
    @stateful.rule(
        index=INDICES, keep=st.booleans(), arrives=st.sampled_from((1, 1, 0))
    )
    def deliver_one_message(self, index, keep, arrives):
        position = index % len(self.fleet.pending_messages)
        if arrives and self.is_running(
            self.fleet.pending_messages[position][0]
        ):
            self.fleet.deliver_message(position)
        if not keep:
            del self.fleet.pending_messages[position]

    @stateful.precondition(lambda self: self.fleet.pending_attempts)
    @stateful.rule(
        index=INDICES, keep=st.booleans(), reachable=st.sampled_from((1, 1, 0))
    )
    def deliver_one_attempt(self, index, keep, reachable):
        attempt_id = pick(self.fleet.pending_attempts, index)
        if not self.is_running(
            self.fleet.connections[attempt_id].order.sidecar
        ):
            return
        if not keep:
            self.fleet.pending_attempts.remove(attempt_id)
        self.fleet.deliver_attempt(attempt_id, bool(reachable))

    @stateful.precondition(lambda self: self.fleet.pending_attempts)
    @stateful.rule(index=INDICES, lost=st.booleans())
    def fail_to_connect(self, index, lost):
        """Fails to connect, or breaks a connection with an attempt in transit.

        A lost attempt stays pending, so it may still arrive later.
        """
        attempt_id = pick(self.fleet.pending_attempts, index)
        if lost:
            self.fleet.break_connection(attempt_id)
        elif self.fleet.connections[attempt_id].accepted_by is None:
            self.fleet.pending_attempts.remove(attempt_id)
            reply = (attempt_id, attempt_lifecycle.AttemptEnd.REFUSED)
            self.fleet.pending_replies.append(reply)

    @stateful.precondition(lambda self: self.fleet.connections)
    @stateful.rule(index=INDICES, cut=st.booleans())
    def break_connection(self, index, cut):
        attempt_id = pick(list(self.fleet.connections), index)
        if cut:
            self.fleet.break_connection(attempt_id)
        else:
            self.fleet.detect_disconnect(attempt_id)

    @stateful.precondition(lambda self: self.fleet.runs)
    @stateful.rule(index=INDICES, complete=st.booleans())
    def end_run(self, index, complete):
        attempt_id = pick(list(self.fleet.runs), index)
        end = attempt_lifecycle.AttemptEnd.COMPLETE
        if not complete:
            end = attempt_lifecycle.AttemptEnd.FAILED
        if self.is_running(self.fleet.connections[attempt_id].accepted_by[0]):
            self.fleet.end_run(attempt_id, end)

    @stateful.precondition(lambda self: self.fleet.pending_replies)
    @stateful.rule(index=INDICES, keep=st.booleans())
    def deliver_one_reply(self, index, keep):
        position = index % len(self.fleet.pending_replies)
        attempt_id, end = self.fleet.pending_replies[position]
        if self.is_running(self.fleet.connections[attempt_id].router[0]):
            self.fleet.deliver_reply(attempt_id, end)
            if not keep:
                del self.fleet.pending_replies[position]

    @stateful.rule(
        name=PROCESS_NAMES, seconds=st.sampled_from((0.6, 2.5, 11.0, 700.0))
    )
    def freeze_for(self, name, seconds):
        """Suspends a process for a time while the other ones continue."""
        self.fleet.processes[name].frozen = True
        self.fleet.advance_connected(seconds)
        self.fleet.processes[name].frozen = False

    @stateful.rule(name=PROCESS_NAMES, freeze=st.booleans())
    def restart_or_freeze(self, name, freeze):
        if freeze:
            self.fleet.processes[name].frozen = self.is_running(name)
        else:
            self.fleet.restart(name)

    @stateful.invariant()
    def only_requests_that_seek_a_sidecar_wait_with_an_attempt(self):
        for name in model.ROUTERS:
            state = self.fleet.processes[name].state
            queued = {
                number
                for teams in state.waiting.queues.values()
                for queue in teams.values()
                for number in queue.arrivals
            }
            attempts = {
                number: request.attempt
                for number, request in state.requests.items()
                if request.attempt is not None
            }
            assert queued <= state.requests.keys()
            assert state.seeking == queued & attempts.keys()
            assert state.seeking == {
                number
                for number, attempt in attempts.items()
                if attempt.seeking
            }
            assert not any(
                attempts[number].forwarding_started for number in state.seeking
            )

    def teardown(self):
        """Ends all failures, and checks that nothing is left in progress.

        Each caller that stayed connected must have got a final answer.
        """
        fleet = self.fleet
        for process in fleet.processes.values():
            process.frozen = False
        for seconds in (0.1, 0.5, 2.5, 2.5, 12.0, 40.0, 3600.0, 0.5, 2.5):
            fleet.deliver_all_messages()
            fleet.deliver_all_attempts()
            fleet.deliver_all_replies()
            for attempt_id in list(fleet.runs):
                fleet.end_run(attempt_id, attempt_lifecycle.AttemptEnd.COMPLETE)
            fleet.advance(seconds)
        for name, process in fleet.processes.items():
            assert not process.callers, "a caller got no final answer"
            if name in model.ROUTERS:
                state = process.state
                assert not state.requests and not state.request_by_attempt
                assert not state.awaiting_outcome and not state.checks
                assert not state.seeking and not state.waiting.total
        submitted = set(fleet.idempotent)
        assert submitted == set(fleet.final_answers) | fleet.abandoned
        for name in model.SIDECARS:
            assert not fleet.processes[name].state.runs


OutcomesMachine.TestCase.settings = hypothesis.settings(
    max_examples=100,
    stateful_step_count=50,
    phases=[hypothesis.Phase.generate],  # shrinking takes minutes
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
test_no_sequence_of_failures_violates_the_guarantees = OutcomesMachine.TestCase
