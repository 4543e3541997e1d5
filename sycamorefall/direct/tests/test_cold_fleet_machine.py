"""State machine of a fleet with cold upstreams and evacuated domains.

The load: every router always has requests waiting. Upstreams restart and turn
cold, failure domains are evacuated and put into use again, and routers are
killed, started, partitioned and cut off from the platform, in any order.
"""

import collections

from hypothesis import settings, stateful, strategies

from sycamorefall.direct import core, outcomes, upstreams
from sycamorefall.direct.tests import fakes, simulated_fleet

DOMAINS = ("domain-0", "domain-1")
ROUTERS = [f"router-{domain}-{n}" for n in range(4) for domain in range(2)]

COLD_SECONDS = 3.0
COLD_RATE = 13.0

MAX_ARRIVALS = 24.5
"""Most requests that a cold upstream takes in any second."""

MAX_EVACUATION_DELAY = 1.5
"""Seconds after which an evacuation is in force at all routers that hear of it;
the platform's word takes up to `MAX_NEWS_DELAY`."""

MAX_NEWS_DELAY = 1.0
"""Longest time in seconds until a router reads what the platform publishes."""

MIN_EVACUATION = 5.5
"""Shortest evacuation in seconds. A router that is cut off from the platform
for longer than its lease sends nothing more, so it can't overrun the upstreams
when the domain is in use again."""

STEP = 0.05
"""Seconds between two rounds in which all routers submit requests."""


class Engine:
    """An engine's address, where one process runs after the other."""

    def __init__(self, number):
        self.number, self.life = number, 0
        self.domain = DOMAINS[number % 2]
        self.cold_until, self.revision = float("-inf"), 1

    @property
    def name(self):
        return f"e{self.number}.{self.life}"

    def build_entry(self, now):
        return fakes.create_upstream_entry(
            self.name,
            port=self.number,
            failure_domain=self.domain,
            cold_remaining=max(0.0, self.cold_until - now),
            listed_revision=1 + self.life,
            changed_revision=self.revision,
        )


class ColdFleet(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.fleet = simulated_fleet.Fleet(domains=2, size=4)
        self.engines = [Engine(n) for n in range(1, 5)]
        self.evacuated = {}
        self.cut_off = set()
        self.version = 0
        self.news = collections.defaultdict(list)
        self.applied = {}
        self.arrivals = collections.defaultdict(list)
        self.delay = self.fleet.random.uniform
        for name in ROUTERS:
            self._set_up(name)
        self._publish()
        self._run(6.0)

    def _set_up(self, name):
        router = self.fleet.routers[name]
        catalog = fakes.create_catalog(
            version=2, cold_seconds=COLD_SECONDS, cold_rate=COLD_RATE
        )
        core.apply_catalog(router.state, self.fleet.now, catalog)
        core.apply_listing(router.state, self.fleet.now, [])
        self.applied[name], self.news[name] = 0, []

    def _publish(self):
        """Publishes the entries and evacuations to the routers."""
        self.version += 1
        for name in ROUTERS:
            self._tell(name)

    def _tell(self, name):
        now = self.fleet.now
        due = now + self.delay(0.05, MAX_NEWS_DELAY)
        listing = [engine.build_entry(now) for engine in self.engines]
        content = (self.version, listing, set(self.evacuated))
        if name not in self.cut_off:
            self.news[name].append((due, content))

    def _apply_news(self, router, now):
        due = [one for at, one in self.news[router.name] if at <= now]
        self.news[router.name] = [
            one for one in self.news[router.name] if one[0] > now
        ]
        for version, listing, evacuated in due:
            if version > self.applied[router.name]:
                self.applied[router.name] = version
                core.apply_evacuated_domains(router.state, now, evacuated)
                core.apply_listing(router.state, now, listing)

    def _run(self, seconds):
        for _ in range(round(seconds / STEP)):
            self.fleet.run(STEP)
            for router in self.fleet.list_live():
                self._apply_news(router, self.fleet.now)
                self._send(router, self.fleet.now)

    def _send(self, router, now):
        state = router.state
        if router.name not in self.cut_off:
            core.record_proof(state, now, now)
        pending = core.run_timers(state, now)
        for _ in range(3):
            pending += core.handle_request(
                state, now, fakes.create_request("draft")
            )[1]
        for sent in fakes.list_sends(pending):
            self._arrive(router, sent, now)

    def _arrive(self, router, sent, now):
        engine = next(
            (one for one in self.engines if one.name == sent.upstream), None
        )
        end = outcomes.AttemptEnd.OTHER_INCARNATION
        if engine is not None:
            end = outcomes.AttemptEnd.COMPLETE
            at = now + self.delay(0.001, 0.05)
            self._check(router, engine, at)
        core_effects = outcomes.end_attempt(
            router.state, now, sent.request, end
        )
        for retried in fakes.list_sends(core_effects):
            self._arrive(router, retried, now)

    def _check(self, router, engine, at):
        since = self.evacuated.get(engine.domain)
        if since is not None and router.name not in self.cut_off:
            assert at - since <= MAX_EVACUATION_DELAY
        if at < engine.cold_until:
            times = self.arrivals[engine.name, engine.cold_until]
            times.append(at)
            assert sum(at - 1 < one <= at for one in times) <= MAX_ARRIVALS

    @stateful.rule(seconds=strategies.sampled_from([0.2, 1.0, 3.0]))
    def advance(self, seconds):
        self._run(seconds)

    @stateful.rule(number=strategies.integers(0, 3))
    def restart_engine(self, number):
        engine = self.engines[number]
        engine.life += 1
        engine.revision += 1
        engine.cold_until = self.fleet.now + COLD_SECONDS
        self._publish()

    @stateful.rule(domain=strategies.sampled_from(DOMAINS))
    def evacuate(self, domain):
        self.evacuated.setdefault(domain, self.fleet.now)
        self._publish()

    @stateful.precondition(lambda self: self.evacuated)
    @stateful.rule(cold=strategies.booleans())
    def put_into_use(self, cold):
        domain = min(self.evacuated)
        elapsed = self.fleet.now - self.evacuated[domain]
        self._run(max(0.0, MIN_EVACUATION - elapsed))
        del self.evacuated[domain]
        for engine in self.engines:
            if engine.domain == domain and cold:
                engine.cold_until = self.fleet.now + COLD_SECONDS
        self._publish()
        self._run(MAX_NEWS_DELAY)
        for engine in self.engines:
            engine.revision += engine.domain == domain and cold
        self._publish()

    @stateful.rule(name=strategies.sampled_from(ROUTERS))
    def kill(self, name):
        self.fleet.routers[name].alive = False

    @stateful.rule(name=strategies.sampled_from(ROUTERS))
    def restart(self, name):
        self.fleet.restart(name)
        self._set_up(name)
        self._tell(name)

    @stateful.rule(domain=strategies.sampled_from(DOMAINS))
    def partition(self, domain):
        self.fleet.partitioned ^= {domain}

    @stateful.rule(name=strategies.sampled_from(ROUTERS))
    def cut_off_from_platform(self, name):
        self.cut_off.add(name)
        self.news[name].clear()

    @stateful.rule()
    def reconnect_to_platform(self):
        names, self.cut_off = self.cut_off, set()
        for name in sorted(names):
            self._tell(name)

    def teardown(self):
        """Checks that all warm upstreams of domains in use are used again."""
        self.cut_off.clear()
        self.evacuated.clear()
        for name in ROUTERS:
            if not self.fleet.routers[name].alive:
                self.fleet.restart(name)
                self._set_up(name)
        self._publish()
        self._run(MAX_NEWS_DELAY + COLD_SECONDS + 0.5)
        for router in self.fleet.list_live():
            for upstream in router.state.table.by_name.values():
                assert upstreams.is_usable(upstream, self.fleet.now)


TestColdFleet = ColdFleet.TestCase
TestColdFleet.settings = settings(max_examples=20, stateful_step_count=25)
