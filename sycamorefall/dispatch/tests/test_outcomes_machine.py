"""At most once and truthful "not run", under every order of failures.

Story: an order is booked twice, or one that was called "not run" is booked
later, because somewhere between router and sidecar a message or hand-out was
lost, repeated, late or out of order, or a process restarted, froze or thawed
at the wrong moment. Hypothesis looks for such an order of events.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from sycamorefall.dispatch.tests import model
from sycamorefall.router import attempt_lifecycle

INDEX = st.integers(0, 1 << 16)
NAMES = st.sampled_from((*model.ROUTERS, *model.SIDECARS))
STEPS = st.sampled_from((0.3, 0.6, 1.1, 2.5, 11.0, 700.0))


def pick(items, index):
    return items[index % len(items)]


class Outcomes(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.fleet = model.Fleet()
        self.fleet.advance_connected(1.0)

    def awake(self, name):
        return not self.fleet.processes[name].frozen

    @stateful.rule(
        name=st.sampled_from(model.ROUTERS),
        timeout=st.sampled_from((3000.0, 30.0, 3.0)),
        idempotent=st.sampled_from((False, False, True)),
        handed_out=st.booleans(),
    )
    def submit(self, name, timeout, idempotent, handed_out):
        if self.awake(name):
            self.fleet.submit(name, timeout, idempotent)
        if handed_out:
            self.fleet.deliver_all_mail()

    @stateful.rule(name=st.sampled_from(model.ROUTERS), index=INDEX)
    def hang_up(self, name, index):
        callers = list(self.fleet.processes[name].callers)
        if callers and self.awake(name):
            self.fleet.hang_up(name, pick(callers, index))

    @stateful.rule(seconds=STEPS, connected=st.booleans())
    def advance(self, seconds, connected):
        if connected:
            self.fleet.advance_connected(seconds)
        else:
            self.fleet.advance(seconds)

    @stateful.rule(what=st.sampled_from(("mail", "hand_outs", "replies")))
    def deliver_all(self, what):
        getattr(self.fleet, f"deliver_all_{what}")()

    @stateful.precondition(lambda self: self.fleet.mail)
    @stateful.rule(
        index=INDEX, keep=st.booleans(), arrives=st.sampled_from((1, 1, 0))
    )
    def deliver_one_message(self, index, keep, arrives):
        place = index % len(self.fleet.mail)
        if arrives and self.awake(self.fleet.mail[place][0]):
            self.fleet.deliver_mail(place)
        if not keep:
            del self.fleet.mail[place]

    @stateful.precondition(lambda self: self.fleet.hand_outs)
    @stateful.rule(
        index=INDEX, keep=st.booleans(), reachable=st.sampled_from((1, 1, 0))
    )
    def deliver_one_hand_out(self, index, keep, reachable):
        attempt_id = pick(self.fleet.hand_outs, index)
        if not self.awake(self.fleet.links[attempt_id].order.sidecar):
            return
        if not keep:
            self.fleet.hand_outs.remove(attempt_id)
        self.fleet.deliver_hand_out(attempt_id, bool(reachable))

    @stateful.precondition(lambda self: self.fleet.hand_outs)
    @stateful.rule(index=INDEX, lost=st.booleans())
    def fail_to_connect(self, index, lost):
        """No connection was made, or it broke with the hand-out on its way."""
        attempt_id = pick(self.fleet.hand_outs, index)
        if lost:
            self.fleet.break_link(attempt_id)
        elif self.fleet.links[attempt_id].at is None:
            self.fleet.hand_outs.remove(attempt_id)
            reply = (attempt_id, attempt_lifecycle.AttemptEnd.REFUSED)
            self.fleet.replies.append(reply)

    @stateful.precondition(lambda self: self.fleet.links)
    @stateful.rule(index=INDEX, cut=st.booleans())
    def break_connection(self, index, cut):
        attempt_id = pick(list(self.fleet.links), index)
        if cut:
            self.fleet.break_link(attempt_id)
        else:
            self.fleet.hear_hang_up(attempt_id)

    @stateful.precondition(lambda self: self.fleet.runs)
    @stateful.rule(index=INDEX, whole=st.booleans())
    def end_run(self, index, whole):
        attempt_id = pick(list(self.fleet.runs), index)
        end = attempt_lifecycle.AttemptEnd.COMPLETE
        if not whole:
            end = attempt_lifecycle.AttemptEnd.FAILED
        if self.awake(self.fleet.links[attempt_id].at[0]):
            self.fleet.end_run(attempt_id, end)

    @stateful.precondition(lambda self: self.fleet.replies)
    @stateful.rule(index=INDEX, keep=st.booleans())
    def deliver_one_reply(self, index, keep):
        place = index % len(self.fleet.replies)
        attempt_id, end = self.fleet.replies[place]
        if self.awake(self.fleet.links[attempt_id].router[0]):
            self.fleet.deliver_reply(attempt_id, end)
            if not keep:
                del self.fleet.replies[place]

    @stateful.rule(name=NAMES, seconds=st.sampled_from((0.6, 2.5, 11.0, 700.0)))
    def freeze_for(self, name, seconds):
        """A process stops; the others go on, and it wakes up late."""
        self.fleet.processes[name].frozen = True
        self.fleet.advance_connected(seconds)
        self.fleet.processes[name].frozen = False

    @stateful.rule(name=NAMES, freeze=st.booleans())
    def restart_or_freeze(self, name, freeze):
        if freeze:
            self.fleet.processes[name].frozen = self.awake(name)
        else:
            self.fleet.restart(name)

    def teardown(self):
        """Heals everything; then nobody may be left waiting."""
        fleet = self.fleet
        for process in fleet.processes.values():
            process.frozen = False
        for seconds in (0.1, 0.5, 2.5, 2.5, 12.0, 40.0, 3600.0, 0.5, 2.5):
            fleet.deliver_all_mail()
            fleet.deliver_all_hand_outs()
            fleet.deliver_all_replies()
            for attempt_id in list(fleet.runs):
                fleet.end_run(attempt_id, attempt_lifecycle.AttemptEnd.COMPLETE)
            fleet.advance(seconds)
        for name, process in fleet.processes.items():
            assert not process.callers, "a caller is left waiting"
            if name in model.ROUTERS:
                state = process.state
                assert not state.requests and not state.request_by_attempt
                assert not state.awaiting_outcome and not state.checks
        asked = set(fleet.idempotent)
        assert asked == set(fleet.final) | fleet.gone
        for name in model.SIDECARS:
            assert not fleet.processes[name].state.runs


Outcomes.TestCase.settings = hypothesis.settings(
    max_examples=100,
    stateful_step_count=50,
    phases=[hypothesis.Phase.generate],  # shrinking takes minutes
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
test_no_order_of_failures_breaks_the_promises = Outcomes.TestCase
