"""Random crashes, successes, losses and restarts around parts of prompts."""

import hypothesis
from hypothesis import stateful, strategies

from sycamorefall.direct import fingerprints, quarantine
from sycamorefall.direct.quarantine import Crash, Evidence
from sycamorefall.direct.tests import simulated_fleet

DEAD = fingerprints.compute_part_fingerprint("dead")

SOUND = [fingerprints.compute_part_fingerprint(f"f{n}") for n in range(3)]

SPREAD_BOUND = 3.0
"""Seconds within which all routers must know of a fifth crash."""

ROUTERS = strategies.integers(0, 3)


class PartsMachine(stateful.RuleBasedStateMachine):
    """Four routers in two failure domains; DEAD crashes any engine.

    Attributes:
        crashes: Number of crashes so far, of all causes.
        dead_crashes: Crashes by DEAD since the last restart of a router.
        since_success: Number of crashes at which a part was present since its
            last success.
        lossy: Whether messages may have been lost for good.
    """

    def __init__(self):
        super().__init__()
        self.fleet = simulated_fleet.Fleet(domains=2, size=2)
        self.fleet.run(2.5)
        self.crashes = self.dead_crashes = 0
        self.since_success = dict.fromkeys(SOUND, 0)
        self.lossy = False

    def get_router(self, number):
        return list(self.fleet.routers.values())[number]

    def record_crash(self, number, parts):
        """Records a crash as `crashes` does, each by a request of its own."""
        self.crashes += 1
        now, known = self.fleet.now, self.get_router(number).state.quarantine
        crash = Crash(f"e{self.crashes}", 1)
        source = frozenset({self.crashes.to_bytes(fingerprints.SOURCE_SIZE)})
        evidence = [
            Evidence(crash, part, False, now, source)
            for part in parts
            if not quarantine.is_proven(known, part, now)
        ]
        new, _ = quarantine.add_evidence(known, now, evidence)
        known.unsent += ((one.crash, one.fingerprint) for one in new)
        for part in parts:
            if part in self.since_success:
                self.since_success[part] += 1

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
        self.since_success[part] = 0

    @stateful.rule(seconds=strategies.sampled_from([0.02, 0.2, 1.5]))
    def wait(self, seconds):
        self.fleet.run(seconds)

    @stateful.rule(loss=strategies.sampled_from([0.0, 0.3]))
    def set_loss(self, loss):
        self.fleet.loss = loss
        self.lossy = self.lossy or loss > 0

    @stateful.rule(router=ROUTERS)
    def restart(self, router):
        """Restarts a router when the others know what it knows."""
        self.fleet.loss = 0.0
        self.fleet.run(SPREAD_BOUND)
        self.fleet.restart(list(self.fleet.routers)[router])

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
                    count < quarantine.CRASH_LIMIT and not self.lossy
                ):
                    assert not quarantine.is_quarantined(known, part)

    def teardown(self):
        self.check_in_time()


PartsMachine.TestCase.settings = hypothesis.settings(
    max_examples=40, stateful_step_count=20, deadline=None, derandomize=True
)
TestParts = PartsMachine.TestCase
