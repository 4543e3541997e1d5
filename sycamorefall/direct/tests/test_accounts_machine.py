"""A state machine: teams are charged for the responses that began."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from sycamorefall.direct import core, fair_queue, freshness, outcomes
from sycamorefall.direct.tests import fakes

TEAMS = ("mill", "trader")


def decay(cost, seconds):
    return cost * 0.5 ** (seconds / fair_queue.ACCOUNT_HALF_LIFE)


class Accounts(stateful.RuleBasedStateMachine):
    """Requests of two teams at one router, and what each team has to pay.

    Attributes:
        open: Attempt, cost and time of each send whose response hasn't
            begun, by request number.
        begun: Team, cost and time of each send whose response began.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.state = fakes.create_state()
        self.open = {}
        self.begun = []

    def apply(self, pending):
        """Records sends and forgets those that ended before their response."""
        for sent in fakes.list_sends(pending):
            self.open[sent.request] = (sent.attempt, sent.cost, self.now)
        for number, (attempt, _, _) in list(self.open.items()):
            request = self.state.requests.get(number)
            if (
                request is None
                or request.attempt is None
                or request.attempt.number != attempt
            ):
                del self.open[number]

    def pick(self, data, numbers):
        return data.draw(st.sampled_from(sorted(numbers)))

    @stateful.rule(
        team=st.sampled_from(TEAMS),
        route=st.sampled_from(["draft", "answer"]),
        tokens=st.integers(100, 20_000),
        time_left=st.floats(0.3, 3.0),
    )
    def submit(self, team, route, tokens, time_left):
        incoming = fakes.create_request(route, team, time_left, tokens)
        _, pending = core.handle_request(self.state, self.now, incoming)
        self.apply(pending)

    @stateful.precondition(lambda self: self.open)
    @stateful.rule(data=st.data())
    def begin_response(self, data):
        number = self.pick(data, self.open)
        team = self.state.requests[number].team
        _, cost, sent_at = self.open.pop(number)
        self.begun.append((team, cost, sent_at))
        outcomes.record_response(self.state, self.now, number, first=True)

    @stateful.precondition(lambda self: self.state.running)
    @stateful.rule(data=st.data(), end=st.sampled_from(outcomes.AttemptEnd))
    def end_attempt(self, data, end):
        running = [
            number
            for number, request in self.state.requests.items()
            if request.attempt is not None
            and (
                end is not outcomes.AttemptEnd.COMPLETE
                or request.attempt.response_started
            )
        ]
        hypothesis.assume(running)
        number = self.pick(data, running)
        self.apply(outcomes.end_attempt(self.state, self.now, number, end))

    @stateful.precondition(lambda self: self.state.requests)
    @stateful.rule(data=st.data())
    def caller_leaves(self, data):
        number = self.pick(data, self.state.requests)
        self.apply(core.cancel_request(self.state, number, self.now))

    @stateful.rule(seconds=st.floats(0.01, 1.0))
    def run_timers(self, seconds):
        self.now += seconds
        freshness.record_proof(self.state.freshness, self.now)
        self.apply(core.run_timers(self.state, self.now))

    @stateful.invariant()
    def teams_are_charged_for_responses_that_began_or_may_begin(self):
        # Guards against a team that pays for work that no engine began: it
        # falls behind teams that got what they paid for.
        accounts = self.state.accounts.get("engine")
        if accounts is None:
            return
        for team in TEAMS:
            waiting = [
                (cost, sent_at)
                for number, (_, cost, sent_at) in self.open.items()
                if self.state.requests[number].team == team
            ]
            begun = [(c, at) for name, c, at in self.begun if name == team]
            due = sum(
                decay(cost, self.now - at) for cost, at in [*waiting, *begun]
            )
            received = fair_queue.compute_received(accounts, self.now, team)
            assert received == pytest.approx(due, abs=1.0)


TestAccounts = Accounts.TestCase
TestAccounts.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=30
)
