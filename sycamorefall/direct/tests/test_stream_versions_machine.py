"""Streams over routers that fail and upstreams that are released, in any order.

Hypothesis searches for a sequence of releases, kills, partitions, lost messages
and returning callers after which a stream has events of two versions.
"""

import dataclasses

from hypothesis import settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from sycamorefall.direct import core, outcomes, stalls
from sycamorefall.direct.outcomes import AttemptEnd
from sycamorefall.direct.tests import fakes, simulated_fleet

ROUTERS = strategies.integers(0, 4)
VERSIONS = strategies.sampled_from(["v1", "v1.1", "v2", ""])
NUMBERS = strategies.integers(0, 63)
SECONDS = strategies.sampled_from([0.01, 0.05, 0.4, 3.0])


@dataclasses.dataclass(eq=False)
class Stream:
    """A stream as its caller sees it.

    Attributes:
        first: Id of the attempt that brought its first event; empty before it.
        versions: Processes or versions that its events are from.
        attempts: Number of its attempts.
    """

    name: str
    first: str = ""
    versions: set = dataclasses.field(default_factory=set)
    attempts: int = 0


class StreamVersionsMachine(RuleBasedStateMachine):
    """Callers, routers and engines; the truth about each engine's version.

    Attributes:
        engines: Entries of the running engines by name. A router's listing may
            be older.
        running: Streams by router and request in progress there, with the
            engine's entry; None while the request waits.
    """

    @initialize(domains=strategies.integers(1, 3))
    def start(self, domains):
        self.fleet = simulated_fleet.Fleet(domains, 6 // domains)
        self.engines = {}
        self.engine_count = 0
        self.running = {}
        self.streams = []
        for version in ("v1", "v1", "v1.1"):
            self.add_engine(version)
        for router in self.fleet.routers.values():
            self.read_listing(router)
        self.fleet.run(2.0)

    def add_engine(self, version, name=None):
        self.engine_count += 1
        entry = fakes.create_upstream_entry(
            name or f"e{self.engine_count}",
            # Addresses are used again.
            port=1 + self.engine_count % 5,
            listed_revision=self.engine_count,
            software_version=version,
            start_time=self.engine_count,
        )
        self.engines[entry.name] = entry

    def read_listing(self, router):
        now = self.fleet.now
        core.apply_listing(router.state, now, list(self.engines.values()))
        core.record_proof(router.state, now, now)

    def pick_router(self, number):
        live = self.fleet.list_live()
        return live[number % len(live)]

    def perform(self, router, pending):
        """Carries effects out, as the shell and the engines would."""
        for effect in pending:
            place = (router, effect.request)
            if isinstance(effect, fakes.effects.SendRequest):
                entry = self.engines.get(effect.upstream)
                self.running[place] = (self.find_stream(place), entry)
                if entry is None:
                    self.end(place, AttemptEnd.NOT_SENT)
            elif not isinstance(effect, fakes.effects.AbortAttempt):
                self.running.pop(place, None)

    def find_stream(self, place):
        return self.running[place][0]

    def submit(self, router, stream):
        stream.attempts += 1
        attempt = f"{stream.name}.{stream.attempts}"
        request = dataclasses.replace(
            fakes.create_request("answer", time_left=20.0, tokens=200),
            attempt_id=attempt,
            resumes=stream.first or None,
            last_event_id="1" if stream.first else "",
        )
        now = self.fleet.now
        number = router.state.last_number + 1
        self.running[router, number] = (stream, None)
        _, pending = core.handle_request(router.state, now, request)
        self.perform(router, pending)

    def end(self, place, end):
        router, number = place
        done = outcomes.end_attempt(router.state, self.fleet.now, number, end)
        self.perform(router, done)

    @rule(router=ROUTERS, count=strategies.integers(1, 4))
    def begin(self, router, count):
        """Callers begin streams, some of which get their first events."""
        for _ in range(count):
            self.streams.append(Stream(f"s{len(self.streams)}"))
            self.submit(self.pick_router(router), self.streams[-1])
        for place in self.list_sent()[-count:]:
            self.send_event(place)

    @precondition(lambda self: any(one.first for one in self.streams))
    @rule(router=ROUTERS, number=NUMBERS, seconds=SECONDS)
    def take_up(self, router, number, seconds):
        """Callers come back, whether or not their first attempts still run."""
        begun = [one for one in self.streams if one.first]
        for stream in begun[number % len(begun) :][:4]:
            self.submit(self.pick_router(router), stream)
        self.wait(seconds)
        for place in self.list_sent():
            self.send_event(place)

    def list_sent(self):
        return [
            one for one, (_, entry) in self.running.items() if entry is not None
        ]

    def send_event(self, place):
        router, request = place
        stream, entry = self.running[place]
        known = router.state.requests[request]
        outcomes.record_response(
            router.state, self.fleet.now, request, first=True
        )
        self.fleet.send_origins(router)
        if not stream.first:
            stream.first = known.incoming.attempt_id
        # A second attempt without an id of the first begins a stream anew.
        if known.resumes or known.incoming.attempt_id == stream.first:
            stream.versions.add(entry.software_version or entry.name)

    @rule(number=NUMBERS, ran=strategies.booleans())
    def break_off(self, number, ran):
        sent = self.list_sent()
        if sent:
            end = AttemptEnd.BROKEN if ran else AttemptEnd.NOT_RUN
            self.end(sent[number % len(sent)], end)

    @rule(version=VERSIONS, number=NUMBERS)
    def release(self, version, number):
        """An engine is replaced; routers don't know it yet."""
        names = sorted(self.engines)
        if len(names) > 2:
            self.crash(names[number % len(names)])
        self.add_engine(version)

    def crash(self, name):
        del self.engines[name]
        for place, (_, entry) in list(self.running.items()):
            if entry is not None and entry.name == name:
                self.end(place, AttemptEnd.BROKEN)

    @rule(router=ROUTERS)
    def learn(self, router):
        chosen = self.pick_router(router)
        self.read_listing(chosen)
        self.perform(chosen, core.run_timers(chosen.state, self.fleet.now))

    @precondition(lambda self: len(self.fleet.list_live()) > 2)
    @rule(router=ROUTERS, back=strategies.booleans())
    def kill(self, router, back):
        chosen = self.pick_router(router)
        chosen.alive = False
        for place in [one for one in self.running if one[0] is chosen]:
            del self.running[place]
        if back:
            self.read_listing(self.fleet.restart(chosen.name))

    @rule(
        loss=strategies.sampled_from([0.0, 0.0, 0.3, 1.0]),
        domains=strategies.sets(strategies.sampled_from(["domain-0"])),
    )
    def disturb(self, loss, domains):
        self.fleet.loss, self.fleet.partitioned = loss, domains

    @rule(seconds=SECONDS)
    def wait(self, seconds):
        self.fleet.run(seconds)
        for router in self.fleet.list_live():
            core.record_proof(router.state, self.fleet.now, self.fleet.now)
            pending, router.pending = router.pending, []
            pending += core.run_timers(router.state, self.fleet.now)
            pending += stalls.handle_stalls(router.state, self.fleet.now)
            self.perform(router, pending)

    @invariant()
    def streams_have_one_version(self):
        for stream in getattr(self, "streams", ()):
            assert len(stream.versions) <= 1, stream


StreamVersionsMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None
)
TestStreamVersions = StreamVersionsMachine.TestCase
