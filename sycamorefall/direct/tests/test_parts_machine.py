"""Random crashes, successes, losses and restarts around parts of prompts."""

import hypothesis
from hypothesis import stateful, strategies

from sycamorefall.direct import fingerprints, quarantine, verdicts
from sycamorefall.direct.quarantine import Crash
from sycamorefall.direct.tests import simulated_fleet

DEAD = fingerprints.compute_part_fingerprint("dead")

SOUND = [fingerprints.compute_part_fingerprint(f"f{n}") for n in range(2)]

SPREAD_BOUND = 3.0
"""Seconds within which all routers must know of a fifth crash."""

ROUTERS = strategies.integers(0, 3)


class PartsMachine(stateful.RuleBasedStateMachine):
    """Four routers in two failure domains; DEAD crashes any engine.

    Attributes:
        LOSS: Fraction of messages that are lost until a check.
        crashes: Number of crashes so far, of all causes.
        dead_crashes: Number of crashes by DEAD so far.
        since_success: Number of crashes at which a part was present since its
            last success.
        of_other_cause: Those of them without DEAD.
    """

    LOSS = 0.0

    def __init__(self):
        super().__init__()
        self.fleet = simulated_fleet.Fleet(domains=2, size=2)
        self.fleet.run(2.5)
        self.fleet.loss = self.LOSS
        self.crashes = self.dead_crashes = 0
        self.since_success = dict.fromkeys(SOUND, 0)
        self.of_other_cause = dict.fromkeys(SOUND, 0)

    def get_router(self, number):
        return list(self.fleet.routers.values())[number]

    def record_crash(self, number, parts):
        """Records a crash as `crashes` does, each by a request of its own."""
        self.crashes += 1
        now, known = self.fleet.now, self.get_router(number).state.quarantine
        crash = Crash(f"e{self.crashes}", 1)
        source = frozenset({self.crashes.to_bytes(fingerprints.SOURCE_SIZE)})
        quarantine.record_crash(known, now, crash, dict.fromkeys(parts, source))
        for part in parts:
            if part in self.since_success:
                self.since_success[part] += 1
                self.of_other_cause[part] += DEAD not in parts

    @stateful.rule(
        router=ROUTERS, parts=strategies.sets(strategies.sampled_from(SOUND))
    )
    def crash_by_part(self, router, parts):
        state = self.get_router(router).state
        if quarantine.is_quarantined(state.quarantine, DEAD):
            return
        self.record_crash(router, [DEAD, *sorted(parts)])
        self.dead_crashes += 1

    @stateful.rule(
        router=ROUTERS, parts=strategies.sets(strategies.sampled_from(SOUND))
    )
    def crash_by_other_cause(self, router, parts):
        self.record_crash(router, sorted(parts))

    @stateful.rule(router=ROUTERS, part=strategies.sampled_from(SOUND))
    def succeed(self, router, part):
        self.fleet.run(0.2)
        known = self.get_router(router).state.quarantine
        if quarantine.is_quarantined(known, part):
            return
        quarantine.record_proof(known, self.fleet.now, [part])
        quarantine.clear_suspects(known, self.fleet.now, [part])
        self.since_success[part] = self.of_other_cause[part] = 0

    @stateful.rule(seconds=strategies.sampled_from([0.02, 0.2, 1.5]))
    def wait(self, seconds):
        self.fleet.run(seconds)

    @stateful.rule(router=ROUTERS)
    def restart(self, router):
        """Restarts a router when the others know what it knows."""
        self.fleet.loss = 0.0
        self.fleet.run(SPREAD_BOUND)
        self.fleet.restart(list(self.fleet.routers)[router])
        self.fleet.loss = self.LOSS

    @stateful.rule()
    def check_in_time(self):
        """Checks what all routers refuse when messages have come through."""
        self.fleet.loss = 0.0
        self.fleet.run(SPREAD_BOUND)
        for router in self.fleet.list_live():
            known = router.state.quarantine
            if self.dead_crashes >= 5:
                assert quarantine.is_quarantined(known, DEAD)
            for part, count in self.since_success.items():
                if count == 0 or (
                    count < verdicts.CRASH_LIMIT and not self.LOSS
                ):
                    assert not quarantine.is_quarantined(known, part)
                if self.is_excused(part):
                    assert not quarantine.is_quarantined(known, part)
        self.fleet.loss = self.LOSS

    def is_excused(self, part):
        """Returns whether DEAD explains the crashes of a sound part."""
        live = self.fleet.list_live()
        return (
            any(part in one.state.quarantine.proofs for one in live)
            and self.dead_crashes >= verdicts.CRASH_LIMIT
            and self.of_other_cause[part] < verdicts.CRASH_LIMIT
            and self.since_success[part] <= verdicts.MAX_EXCUSED
        )

    def teardown(self):
        self.check_in_time()


class LossyPartsMachine(PartsMachine):
    """The same with three of ten messages lost between two checks."""

    LOSS = 0.3


SETTINGS = hypothesis.settings(
    max_examples=40, stateful_step_count=30, deadline=None, derandomize=True
)
PartsMachine.TestCase.settings = SETTINGS
LossyPartsMachine.TestCase.settings = SETTINGS
TestParts = PartsMachine.TestCase
TestPartsWithLoss = LossyPartsMachine.TestCase
