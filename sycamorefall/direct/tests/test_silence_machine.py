"""State machines: upstreams that fall silent, go on, vanish and leave.

Each machine plays the same rules and asserts some of the checks, so that each
fault is seen by itself.
"""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from sycamorefall.direct.tests import silence_checks
from sycamorefall.direct.tests import silence_rules as rules

PICKS = st.integers(0, 63)
SETTINGS = hypothesis.settings(max_examples=150, stateful_step_count=30)
MORE = hypothesis.settings(SETTINGS, max_examples=400)
# Shrinking a failure that needs many rules takes minutes.
UNSHRUNK = hypothesis.settings(MORE, phases=[hypothesis.Phase.generate])


class SilenceMachine(stateful.RuleBasedStateMachine):
    """Callers and upstreams of one router.

    Attributes:
        checks: Names of the checks that are asserted.
    """

    checks: tuple[str, ...] = ()

    @stateful.initialize(bounds=st.sampled_from(rules.BOUNDS))
    def start(self, bounds):
        self.findings = silence_checks.Findings()
        self.world = silence_checks.create_world(self.findings, **bounds)

    @stateful.rule(
        routes=st.lists(st.sampled_from(rules.ROUTES), min_size=1, max_size=6),
        team=st.sampled_from(rules.TEAMS),
        time_left=st.sampled_from(rules.TIMES_LEFT),
        work=st.sampled_from(rules.WORK),
        steps=st.integers(0, 4),
    )
    def submit(self, routes, team, time_left, work, steps):
        rules.submit(self.world, routes, team, time_left, work, steps)

    @stateful.rule(steps=st.sampled_from(rules.WAITS))
    def wait(self, steps):
        self.world.wait(steps)

    @stateful.precondition(lambda self: rules.list_serving(self.world))
    @stateful.rule(
        pick=PICKS,
        seconds=st.sampled_from(rules.SILENCES),
        frozen=st.booleans(),
        steps=st.sampled_from(rules.WAITS),
    )
    def fall_silent(self, pick, seconds, frozen, steps):
        rules.fall_silent(self.world, pick, seconds, frozen, steps)

    @stateful.precondition(lambda self: rules.list_serving(self.world))
    @stateful.rule(
        service=st.sampled_from(rules.SERVICES),
        seconds=st.sampled_from(rules.SILENCES),
        steps=st.sampled_from(rules.WAITS),
    )
    def fall_silent_together(self, service, seconds, steps):
        rules.fall_silent_together(self.world, service, seconds, steps)

    @stateful.precondition(lambda self: rules.list_serving(self.world))
    @stateful.rule(pick=PICKS, way=st.sampled_from(rules.WAYS))
    def end_process(self, pick, way):
        rules.end_process(self.world, pick, way)

    @stateful.rule(
        service=st.sampled_from(rules.SERVICES),
        kept=st.integers(0, 2),
        full=st.booleans(),
    )
    def fill(self, service, kept, full):
        rules.fill(self.world, service, kept, full)

    @stateful.rule(
        service=st.sampled_from(rules.SERVICES), kept=st.integers(1, 2)
    )
    def crowd(self, service, kept):
        rules.crowd(self.world, service, kept)

    @stateful.rule(kind=st.sampled_from(rules.DISTURBANCES), pick=PICKS)
    def disturb(self, kind, pick):
        rules.disturb(self.world, kind, pick)

    @stateful.invariant()
    def nothing_is_found(self):
        if not hasattr(self, "findings"):
            return
        for check in self.checks:
            assert not self.findings.by_check[check], check


class KeptAnswers(SilenceMachine):
    """No answer is ended while its upstream could still give it."""

    checks = ("ended",)


class CountedRequests(SilenceMachine):
    """No request runs twice that must not, and none is forgotten."""

    checks = ("twice", "forgotten")


class CountedLoad(SilenceMachine):
    """Each run counts as load of its upstream, and nothing else does."""

    checks = ("load",)

    @stateful.precondition(lambda self: rules.list_serving(self.world))
    @stateful.rule(pick=PICKS)
    def lapse(self, pick):
        rules.lapse(self.world, pick)


class Retries(SilenceMachine):
    """Retries stay within the budget."""

    checks = ("retries",)


class MovedRequests(SilenceMachine):
    """Requests leave silent upstreams soon if another upstream is free."""

    checks = ("stays",)


class ReturnedUpstreams(SilenceMachine):
    """An upstream that sends again after a silence gets requests again."""

    checks = ("idles",)


TestKeptAnswers = KeptAnswers.TestCase
TestKeptAnswers.settings = MORE
TestCountedRequests = CountedRequests.TestCase
TestCountedRequests.settings = SETTINGS
TestCountedLoad = CountedLoad.TestCase
TestCountedLoad.settings = SETTINGS
TestRetries = Retries.TestCase
TestRetries.settings = SETTINGS
TestMovedRequests = MovedRequests.TestCase
TestMovedRequests.settings = UNSHRUNK
TestReturnedUpstreams = ReturnedUpstreams.TestCase
TestReturnedUpstreams.settings = UNSHRUNK


def play_random(seed, rule_count=60):
    """Plays rules at random; silences are frequent.

    Args:
        seed: Seed of the draws.
        rule_count: Number of rules that are played.

    Returns:
        Faults by check.
    """
    draws = random.Random(seed)
    findings = silence_checks.Findings()
    bounds = draws.choice(rules.BOUNDS)
    world = silence_checks.create_world(findings, **bounds)
    for _ in range(rule_count):
        _play_rule(world, draws)
    return {check: told for check, told in findings.by_check.items() if told}


def _play_rule(world, draws):
    pick, service = draws.randrange(64), draws.choice(rules.SERVICES)
    seconds, steps = draws.choice(rules.SILENCES), draws.choice(rules.WAITS)
    name = draws.choices(
        [
            "submit",
            "wait",
            "silent",
            "together",
            "end",
            "fill",
            "crowd",
            "disturb",
        ],
        [40, 15, 15, 5, 3, 8, 3, 8],
    )[0]
    if name == "submit":
        routes = draws.choices(rules.ROUTES, k=draws.randint(1, 6))
        team, time_left = (
            draws.choice(rules.TEAMS),
            draws.choice(rules.TIMES_LEFT),
        )
        work, steps = draws.choice(rules.WORK), draws.randint(0, 4)
        rules.submit(world, routes, team, time_left, work, steps)
    elif name == "wait":
        world.wait(steps)
    elif name == "fill":
        kept, full = draws.randint(0, 2), draws.random() < 0.5
        rules.fill(world, service, kept, full)
    elif name == "crowd":
        rules.crowd(world, service, draws.randint(1, 2))
    elif name == "disturb":
        rules.disturb(world, draws.choice(rules.DISTURBANCES), pick)
    elif rules.list_serving(world):
        if name == "silent":
            frozen = draws.random() < 0.3
            rules.fall_silent(world, pick, seconds, frozen, steps)
        elif name == "together":
            rules.fall_silent_together(world, service, seconds, steps)
        else:
            rules.end_process(world, pick, draws.choice(rules.WAYS))
