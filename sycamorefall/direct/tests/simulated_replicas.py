"""Simulation of a fleet's replicas of the platform's records.

There is no network and there are no processes: reads and messages are events
in simulated time that happen after a delay or never. Each router has a clock of
its own.
"""

import heapq
import itertools
import random

from sycamorefall import messages
from sycamorefall.direct import (
    freshness,
    readers,
    records,
    replica,
    revisions,
)

STEP = 0.01
"""Seconds of simulated time between two runs of a router's timers."""

READ_TIME = 0.004
"""Seconds from the start of a read to its answer."""

REVOCATION_BOUND = 5.0
"""Seconds after its revocation at which a key must no longer work."""

FAILURE_DETECTION_TIME = 2.5
"""Seconds until the other routers detect that a router has failed."""


class Platform:
    """A simulated platform that can refuse reads or leave them unanswered.

    Attributes:
        records: Records by key.
        era: Number of times that it was restored from a copy, and one.
        number: Number of the last change.
        changed_at: Simulated time of each change that isn't lost, by revision.
        unavailable: Whether all reads are refused.
        refused_routers: Names of routers whose reads are refused.
        unanswered_routers: Names of routers whose reads are never answered.
        calls: Simulated time and router name of each read.
    """

    def __init__(self):
        self.records = {}
        self.era, self.number = 1, 1
        self.changed_at = {}
        self.unavailable = False
        self.refused_routers = set()
        self.unanswered_routers = set()
        self.calls = []

    @property
    def revision(self):
        return revisions.combine(self.era, self.number)

    def put(self, key, now, value=b"v"):
        self.number += 1
        known = self.records.get(key)
        created = known.created_revision if known else self.revision
        self.records[key] = messages.Record(key, created, self.revision, value)
        self.changed_at[self.revision] = now

    def delete(self, key, now):
        self.number += 1
        del self.records[key]
        self.changed_at[self.revision] = now

    def copy(self):
        return self.number, dict(self.records)

    def restore(self, copy):
        """Restores a copy; all records get revisions of the new era."""
        self.number, kept = copy
        self.era += 1

        def renew(revision):
            return revisions.combine(self.era, revisions.get_number(revision))

        self.records = {
            key: messages.Record(
                key,
                renew(record.created_revision),
                renew(record.changed_revision),
                record.value,
            )
            for key, record in kept.items()
        }
        self.changed_at.clear()


class Router:
    """A simulated router process with its replica.

    Attributes:
        clock_offset: The router's clock minus the simulated time, in seconds.
        alive: Whether its process runs.
        frozen: Whether its process is paused; events wait in the inbox.
        ran_at: Simulated time at which it last ran.
        proven_at: Time of the latest proof, by its own clock.
        lease: Its lease on keys.
        version: Highest version of the configuration that it has applied.
        upstreams: Keys of the other records in effect.
        applied_revision: Revision of the records that it put into effect.
        read_number: Number of the latest read; answers to earlier reads are
            ignored.
        inbox: Actions to perform when it runs next.
    """

    def __init__(self, fleet, name, domain, incarnation, clock_offset):
        self.name, self.domain, self.incarnation = name, domain, incarnation
        self.clock_offset = clock_offset
        self.alive, self.frozen = True, False
        self.ran_at = fleet.now
        self.proven_at, self.applied_revision = float("-inf"), 0
        self.lease = freshness.Freshness(REVOCATION_BOUND)
        self.version, self.upstreams = 0, frozenset()
        self.read_number = 0
        self.inbox = []
        self.replica = replica.create_replica(
            fleet.now + clock_offset,
            hash_name(name, incarnation),
            incarnation,
            name,
            readers.ReaderSelection(name, domain),
            fleet.seeds,
        )


def hash_name(name, incarnation):
    return sum(map(ord, name)) * 1000 + incarnation


class Fleet:
    """A simulated fleet of routers that read a simulated platform.

    Attributes:
        now: Simulated time in seconds.
        routers: Routers by name.
        events: Heap of (time, number, action).
        loss_rate: Probability that a message is lost.
        max_delay: Maximum transit time of a message, in seconds.
        isolated_routers: Names of routers that neither send nor receive
            messages.
    """

    def __init__(self, domains=3, size=4, seeds=2, seed=1):
        self.random = random.Random(seed)
        self.now = 0.0
        self.platform = Platform()
        self.platform.put("configuration", 0.0)
        self.events = []
        self.event_numbers = itertools.count()
        self.loss_rate = 0.0
        self.max_delay = 0.001
        self.isolated_routers = set()
        names = [
            (f"router-{domain}-{n}", f"domain-{domain}")
            for n in range(size)
            for domain in range(domains)
        ]
        self.seeds = [name for name, _ in names[:seeds]]
        self.routers = {}
        for name, domain in names:
            self.start(name, domain)

    def start(self, name, domain, incarnation=1):
        clock_offset = self.random.uniform(0.0, 1000.0)
        self.routers[name] = Router(
            self, name, domain, incarnation, clock_offset
        )

    def restart(self, name):
        known = self.routers[name]
        self.start(name, known.domain, known.incarnation + 1)

    def rank_routers(self):
        """Ranks routers as a router that hears all live ones ranks them."""
        ranking = {}
        for router in sorted(
            self.routers.values(), key=lambda router: router.name
        ):
            if self.now - router.ran_at < FAILURE_DETECTION_TIME:
                ranking.setdefault(router.domain, []).append(router.name)
        return ranking

    def list_live(self):
        return [
            router
            for router in self.routers.values()
            if router.alive and not router.frozen
        ]

    def run(self, seconds, check=None):
        end = self.now + seconds
        while self.now < end:
            self.now += STEP
            while self.events and self.events[0][0] <= self.now:
                heapq.heappop(self.events)[2]()
            for router in self.list_live():
                router.ran_at = self.now
                actions, router.inbox = router.inbox, []
                for action in actions:
                    action()
                clock = self.now + router.clock_offset
                if clock >= replica.find_next_due(router.replica):
                    self._perform(
                        router,
                        replica.run_timers(
                            router.replica, clock, self.rank_routers
                        ),
                    )
            if check is not None:
                check()

    def _schedule(self, delay, action):
        event = (self.now + delay, next(self.event_numbers), action)
        heapq.heappush(self.events, event)

    def _perform(self, router, effects):
        for effect in effects:
            match effect:
                case replica.StartRead(kind):
                    router.read_number += 1
                    self._start_read(router, kind, router.read_number)
                case replica.CancelRead():
                    router.read_number += 1
                case replica.SendMessage(to, message):
                    self._send(router, to, message)
                case replica.ApplyRecords():
                    self._apply_records(router)
                case replica.RecordProof(proven_at):
                    router.proven_at = max(router.proven_at, proven_at)
                    freshness.record_proof(router.lease, proven_at)
                case replica.BeginSettling():
                    freshness.hold_proofs(
                        router.lease, effect.until, effect.withdraw
                    )

    def _apply_records(self, router):
        known = router.replica.records
        router.applied_revision = known.revision
        in_force = dict(records.list_in_force(known))
        configuration = in_force.pop("configuration", None)
        if configuration is not None and configuration.value.isdigit():
            router.version = max(router.version, int(configuration.value))
        router.upstreams = frozenset(in_force)

    def _start_read(self, router, kind, number):
        platform = self.platform
        platform.calls.append((self.now, router.name))
        if router.name in platform.unanswered_routers:
            return
        if platform.unavailable or router.name in platform.refused_routers:
            self._schedule(
                READ_TIME, lambda: self._end_read(router, number, None)
            )
            return

        def answer():
            shown = platform.revision, list(platform.records.values())
            self._schedule(
                READ_TIME / 2,
                lambda: self._end_read(router, number, (kind, shown)),
            )

        self._schedule(READ_TIME / 2, answer)

    def _end_read(self, router, number, answer):
        def action():
            if number != router.read_number or not router.alive:
                return
            now = self.now + router.clock_offset
            if answer is None:
                self._perform(
                    router, replica.handle_read_failure(router.replica, now)
                )
                return
            kind, (revision, listed) = answer
            if replica.is_contradictory(router.replica, revision):
                self._perform(
                    router, replica.handle_read_failure(router.replica, now)
                )
                return
            if kind.value == "probe":
                effects = replica.handle_probe(router.replica, now, revision)
            else:
                effects = replica.handle_snapshot(
                    router.replica, now, revision, listed
                )
            self._perform(router, effects)

        router.inbox.append(action)

    def _send(self, router, to, message):
        blocked = {router.name, to} & self.isolated_routers
        if blocked or self.random.random() < self.loss_rate:
            return
        envelope = messages.Envelope(
            router.name, router.incarnation, 1, message
        )

        def arrive():
            receiver = self.routers[to]

            def action():
                if receiver.alive and self.routers[to] is receiver:
                    now = self.now + receiver.clock_offset
                    self._perform(
                        receiver,
                        replica.receive_message(
                            receiver.replica, now, envelope
                        ),
                    )

            receiver.inbox.append(action)

        self._schedule(self.random.uniform(0.0001, self.max_delay), arrive)

    def accepts_keys(self, router):
        now = self.now + router.clock_offset
        return freshness.is_fresh(router.lease, now)

    def compute_proof_age(self, router):
        """Computes the true age of a router's proof, in seconds."""
        return self.now + router.clock_offset - router.proven_at

    def check_proofs(self):
        """Checks that no router has proof for a time after a missed change."""
        for router in self.routers.values():
            true_time = router.proven_at - router.clock_offset
            known_revision = router.replica.records.revision
            missed = [
                at
                for revision, at in self.platform.changed_at.items()
                if revision > known_revision
            ]
            assert min(missed, default=float("inf")) >= true_time, router.name
