"""A fleet's exchange of loads in simulated time: no network, no processes."""

import heapq
import itertools
import random

from sycamorefall import messages, settings
from sycamorefall.direct import core, crash_exchange, exchange
from sycamorefall.direct import state as state_module
from sycamorefall.direct.tests import fakes

STEP = 0.01
"""Seconds between two looks of a router at what is due."""

ENGINES = [fakes.create_upstream_entry(f"e{n}", port=n) for n in range(1, 7)]


class Router:
    """A router's decisions and its exchange.

    Attributes:
        alive: Whether its process runs.
        heard: Messages that it was sent.
        heard_far: Bytes of those from other failure domains.
    """

    def __init__(self, name, domain, process, seeds, capacity, now):
        self.name, self.domain, self.process = name, domain, process
        self.alive = True
        self.heard, self.heard_far = 0, 0
        bounds = settings.BoundSettings()
        self.state = state_module.create_state(domain, bounds, process)
        core.apply_catalog(self.state, 0.0, fakes.create_catalog())
        core.apply_listing(self.state, 0.0, list(ENGINES))
        self.load_exchange = exchange.Exchange(name, name, seeds, capacity, now)
        self.crashes = crash_exchange.CrashExchange()

    def submit_request(self, now, **kinds):
        """Takes a request; gives its number and what is done at once."""
        core.record_proof(self.state, now, now)
        return fakes.submit_request(self.state, now, "draft", **kinds)


class Fleet:
    """Routers by name, and the messages between them.

    Attributes:
        partitioned: Failure domains that are partitioned from the others.
        loss: Fraction of messages that are lost.
    """

    def __init__(self, domains=3, size=4, seeds=2, seed=1, capacities=(4,)):
        self.random = random.Random(seed)
        self.now = 0.0
        self.events = []
        self.number = itertools.count()
        self.partitioned = set()
        self.loss = 0.0
        names = [
            (f"router-{domain}-{n}", f"domain-{domain}")
            for n in range(size)
            for domain in range(domains)
        ]
        self.seeds = tuple(name for name, _ in names[:seeds])
        self.capacities = itertools.cycle(capacities)
        self.routers = {}
        for name, domain in names:
            self.start(name, domain)

    def start(self, name, domain, process=1):
        capacity = next(self.capacities)
        router = Router(name, domain, process, self.seeds, capacity, self.now)
        self.routers[name] = router
        return router

    def restart(self, name):
        known = self.routers[name]
        return self.start(name, known.domain, known.process + 1)

    def list_live(self):
        return [one for one in self.routers.values() if one.alive]

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += STEP
            while self.events and self.events[0][0] <= self.now:
                heapq.heappop(self.events)[2]()
            for one in self.list_live():
                if self.now >= exchange.find_next_due(
                    one.load_exchange, one.state
                ):
                    self._send(
                        one,
                        exchange.build_due_messages(
                            one.load_exchange, one.state, self.now
                        ),
                    )
                due = crash_exchange.find_next_due(one.crashes, one.state)
                if self.now >= due:
                    reports = crash_exchange.build_due_messages(
                        one.crashes, one.load_exchange, one.state, self.now
                    )
                    self._send(one, reports)

    def _send(self, one, reports):
        for report in reports:
            envelope = messages.Envelope(
                one.name, one.process, 1, report.message
            )
            size = len(messages.encode_envelope(envelope))
            for to in report.receivers:
                self._pass_on(one, to, envelope, size)

    def _pass_on(self, one, to, envelope, size):
        receiver = self.routers.get(to)
        if receiver is None:
            return
        ends = {one.domain, receiver.domain}
        if len(ends) > 1 and ends & self.partitioned:
            return
        if self.random.random() < self.loss:
            return

        def arrive():
            if not receiver.alive or self.routers[to] is not receiver:
                return
            receiver.heard += 1
            if receiver.domain != one.domain:
                receiver.heard_far += size
            message = envelope.message
            if isinstance(message, messages.CrashReports):
                crash_exchange.handle_reports(
                    receiver.crashes,
                    receiver.load_exchange,
                    receiver.state,
                    self.now,
                    envelope,
                )
                return
            if isinstance(message, messages.KnownRouters):
                exchange.record_known_routers(
                    receiver.load_exchange, self.now, message.routers
                )
                return
            referral = exchange.handle_load(
                receiver.load_exchange, receiver.state, self.now, envelope
            )
            if referral is not None:
                self._send(receiver, [referral])

        pause = self.random.uniform(0.0005, 0.003)
        event = (self.now + pause, next(self.number), arrive)
        heapq.heappush(self.events, event)

    def list_wrong(self):
        """Lists routers that count the others' load wrong, and how."""
        live = self.list_live()
        wrong = []
        for one in live:
            for name, upstream in one.state.table.by_name.items():
                running = sum(
                    other.state.table.by_name[name].own.running
                    for other in live
                    if other is not one
                )
                if upstream.others.running != running:
                    wrong.append(
                        (one.name, name, upstream.others.running, running)
                    )
            if one.state.routers != len(live):
                wrong.append((one.name, one.state.routers, len(live)))
        return wrong
