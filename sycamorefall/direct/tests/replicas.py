"""A fleet's replicas of the platform's records, in simulated time.

No network and no processes: reads and messages are events that come later,
or never. Each router has a clock of its own.
"""

import heapq
import itertools
import random

from sycamorefall import messages
from sycamorefall.direct import readers, replica

STEP = 0.01
"""Seconds between two looks of a router at what is due."""

ANSWER = 0.004
"""Seconds of a read."""

NOTICE = 2.5
"""Seconds until the others notice that a router is gone."""


class Platform:
    """What is published, with switches for its troubles.

    Attributes:
        away: Whether it refuses all.
        refuses: Routers that it turns away.
        mute: Routers that it doesn't answer.
        calls: Reads asked for, by router.
    """

    def __init__(self):
        self.records = {}
        self.revision = 1
        self.changed = {}
        self.away = False
        self.refuses = set()
        self.mute = set()
        self.calls = []

    def put(self, key, now):
        self.revision += 1
        known = self.records.get(key)
        made = known.made_at if known else self.revision
        self.records[key] = messages.Record(key, made, self.revision, b"v")
        self.changed[self.revision] = now

    def delete(self, key, now):
        self.revision += 1
        del self.records[key]
        self.changed[self.revision] = now


class Router:
    """A router's replica.

    Attributes:
        alive: Whether its process runs.
        frozen: Whether it stands still: what comes waits.
        seen_at: When it last ran.
        proven_at: Latest time for which it has proof, by its own clock.
        adopted: Revision that it brought into force.
    """

    def __init__(self, fleet, name, domain, process, offset):
        self.name, self.domain, self.process = name, domain, process
        self.offset = offset
        self.alive, self.frozen = True, False
        self.seen_at = fleet.now
        self.proven_at, self.adopted = float("-inf"), 0
        self.read = 0
        self.inbox = []
        self.replica = replica.create_replica(
            fleet.now + offset,
            hash_name(name, process),
            process,
            name,
            readers.ReaderSelection(name, domain),
            fleet.seeds,
        )


def hash_name(name, process):
    return sum(map(ord, name)) * 1000 + process


class Fleet:
    """Routers by name, and the events between them and the platform."""

    def __init__(self, domains=3, size=4, seeds=2, seed=1):
        self.random = random.Random(seed)
        self.now = 0.0
        self.platform = Platform()
        self.platform.put("configuration", 0.0)
        self.events = []
        self.number = itertools.count()
        self.lossy = 0.0
        self.slowest = 0.001
        self.deaf = set()
        names = [
            (f"router-{domain}-{n}", f"domain-{domain}")
            for n in range(size)
            for domain in range(domains)
        ]
        self.seeds = [name for name, _ in names[:seeds]]
        self.routers = {}
        for name, domain in names:
            self.start(name, domain)

    def start(self, name, domain, process=1):
        offset = self.random.uniform(0.0, 1000.0)
        self.routers[name] = Router(self, name, domain, process, offset)

    def restart(self, name):
        known = self.routers[name]
        self.start(name, known.domain, known.process + 1)

    def rank(self):
        """Ranks the routers as one that hears all of them would."""
        ranking = {}
        for one in sorted(self.routers.values(), key=lambda one: one.name):
            if self.now - one.seen_at < NOTICE:
                ranking.setdefault(one.domain, []).append(one.name)
        return ranking

    def list_live(self):
        return [
            one for one in self.routers.values() if one.alive and not one.frozen
        ]

    def run(self, seconds, check=None):
        end = self.now + seconds
        while self.now < end:
            self.now += STEP
            while self.events and self.events[0][0] <= self.now:
                heapq.heappop(self.events)[2]()
            for one in self.list_live():
                one.seen_at = self.now
                waiting, one.inbox = one.inbox, []
                for act in waiting:
                    act()
                clock = self.now + one.offset
                if clock >= replica.find_next_due(one.replica):
                    self._perform(
                        one, replica.run_timers(one.replica, clock, self.rank)
                    )
            if check is not None:
                check()

    def _later(self, pause, act):
        event = (self.now + pause, next(self.number), act)
        heapq.heappush(self.events, event)

    def _perform(self, one, done):
        for effect in done:
            match effect:
                case replica.StartRead(kind):
                    one.read += 1
                    self._read(one, kind, one.read)
                case replica.CancelRead():
                    one.read += 1
                case replica.SendMessage(to, message):
                    self._send(one, to, message)
                case replica.ApplyRecords():
                    one.adopted = one.replica.records.revision
                case replica.RecordProof(proven_at):
                    one.proven_at = max(one.proven_at, proven_at)

    def _read(self, one, kind, number):
        platform = self.platform
        platform.calls.append((self.now, one.name))
        if one.name in platform.mute:
            return
        if platform.away or one.name in platform.refuses:
            self._later(ANSWER, lambda: self._end_read(one, number, None))
            return

        def answer():
            shown = platform.revision, list(platform.records.values())
            self._later(
                ANSWER / 2, lambda: self._end_read(one, number, (kind, shown))
            )

        self._later(ANSWER / 2, answer)

    def _end_read(self, one, number, answer):
        def act():
            if number != one.read or not one.alive:
                return
            now = self.now + one.offset
            if answer is None:
                self._perform(
                    one, replica.handle_read_failure(one.replica, now)
                )
                return
            kind, (revision, listed) = answer
            if kind.value == "probe":
                done = replica.handle_probe(one.replica, now, revision)
            else:
                done = replica.handle_snapshot(
                    one.replica, now, revision, listed
                )
            self._perform(one, done)

        one.inbox.append(act)

    def _send(self, one, to, message):
        cut = {one.name, to} & self.deaf
        if cut or self.random.random() < self.lossy:
            return
        envelope = messages.Envelope(one.name, one.process, 1, message)

        def arrive():
            receiver = self.routers[to]

            def act():
                if receiver.alive and self.routers[to] is receiver:
                    now = self.now + receiver.offset
                    self._perform(
                        receiver,
                        replica.receive_message(
                            receiver.replica, now, envelope
                        ),
                    )

            receiver.inbox.append(act)

        self._later(self.random.uniform(0.0001, self.slowest), arrive)

    def find_age(self, one):
        """Tells the true age of a router's proof, in seconds."""
        return self.now + one.offset - one.proven_at

    def check_proofs(self):
        """Checks that no router takes its records for newer than they are."""
        for one in self.routers.values():
            true_time = one.proven_at - one.offset
            known = one.replica.records.revision
            missed = [
                at
                for revision, at in self.platform.changed.items()
                if revision > known
            ]
            assert min(missed, default=float("inf")) >= true_time, one.name
