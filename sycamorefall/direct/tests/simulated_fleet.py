"""Simulated fleet of routers that exchange loads, crashes and streams' origins.

Time and message delivery are simulated: no network, no processes.
"""

import heapq
import itertools
import random

from sycamorefall import messages, settings
from sycamorefall.direct import core, exchange, origin_queries
from sycamorefall.direct import crash_exchange as crash_exchange_module
from sycamorefall.direct import origin_exchange as origin_exchange_module
from sycamorefall.direct import state as state_module
from sycamorefall.direct.tests import fakes

TIME_STEP = 0.01
"""Seconds per step of simulated time."""

ENGINES = [fakes.create_upstream_entry(f"e{n}", port=n) for n in range(1, 7)]


class Router:
    """State and exchanges of a router.

    Attributes:
        alive: Whether its process runs.
        messages_received: Number of messages received.
        remote_bytes_received: Bytes received from other failure domains.
        origin_bytes_received: Bytes received about origins of streams.
        pending: Effects that the decision logic asked for on messages.
    """

    def __init__(self, name, domain, process, seeds, capacity, now):
        self.name, self.domain, self.process = name, domain, process
        self.alive = True
        self.messages_received, self.remote_bytes_received = 0, 0
        self.origin_bytes_received = 0
        self.pending = []
        bounds = settings.BoundSettings()
        self.state = state_module.create_state(domain, bounds, process, now)
        core.apply_catalog(self.state, 0.0, fakes.create_catalog())
        core.apply_listing(self.state, 0.0, list(ENGINES))
        self.load_exchange = exchange.Exchange(name, name, seeds, capacity, now)
        self.crash_exchange = crash_exchange_module.CrashExchange()
        self.origin_exchange = origin_exchange_module.OriginExchange()

    def submit_request(self, now, **kinds):
        """Submits a request; returns its number and its effect, if any."""
        core.record_proof(self.state, now, now)
        return fakes.submit_request(self.state, now, "draft", **kinds)


class Fleet:
    """Routers by name, and the messages between them.

    Attributes:
        partitioned: Failure domains that are partitioned from the others.
        loss: Fraction of messages that are lost.
        is_lost: Whether a message is lost, by receiver and message.
    """

    def __init__(self, domains=3, size=4, seeds=2, seed=1, capacities=(4,)):
        self.random = random.Random(seed)
        self.now = 0.0
        self.events = []
        self.number = itertools.count()
        self.partitioned = set()
        self.loss = 0.0
        self.is_lost = lambda receiver, message: False
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
        return [router for router in self.routers.values() if router.alive]

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += TIME_STEP
            while self.events and self.events[0][0] <= self.now:
                heapq.heappop(self.events)[2]()
            for router in self.list_live():
                if self.now >= exchange.find_next_due(
                    router.load_exchange, router.state
                ):
                    self._send(
                        router,
                        exchange.build_due_messages(
                            router.load_exchange, router.state, self.now
                        ),
                    )
                due = crash_exchange_module.find_next_due(
                    router.crash_exchange, router.state
                )
                if self.now >= due:
                    outbound = crash_exchange_module.build_due_messages(
                        router.crash_exchange,
                        router.load_exchange,
                        router.state,
                        self.now,
                    )
                    self._send(router, outbound)
                self.send_origins(router)

    def send_origins(self, router):
        """Sends a router's messages about streams that are due."""
        due = origin_exchange_module.find_next_due(
            router.origin_exchange, router.state
        )
        if self.now >= due:
            outbound = origin_exchange_module.build_due_messages(
                router.origin_exchange,
                router.load_exchange,
                router.state,
                self.now,
            )
            self._send(router, outbound)

    def _send(self, router, outbound):
        for outbound_message in outbound:
            envelope = messages.Envelope(
                router.name, router.process, 1, outbound_message.message
            )
            size = len(messages.encode_envelope(envelope))
            for to in outbound_message.receivers:
                self._deliver(router, to, envelope, size)

    def _deliver(self, router, to, envelope, size):
        receiver = self.routers.get(to)
        if receiver is None:
            return
        ends = {router.domain, receiver.domain}
        if len(ends) > 1 and ends & self.partitioned:
            return
        if self.random.random() < self.loss:
            return
        if self.is_lost(to, envelope.message):
            return

        def receive():
            if not receiver.alive or self.routers[to] is not receiver:
                return
            receiver.messages_received += 1
            if receiver.domain != router.domain:
                receiver.remote_bytes_received += size
            message = envelope.message
            if self._receive_origins(receiver, envelope, size):
                return
            if isinstance(message, messages.CrashReports):
                crash_exchange_module.handle_reports(
                    receiver.crash_exchange,
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

        delay = self.random.uniform(0.0005, 0.003)
        event = (self.now + delay, next(self.number), receive)
        heapq.heappush(self.events, event)

    def _receive_origins(self, receiver, envelope, size):
        """Handles a message about streams; returns whether it is one."""
        state, known = receiver.state, []
        match envelope.message:
            case messages.StreamOrigins():
                known = origin_exchange_module.handle_origins(
                    receiver.origin_exchange,
                    receiver.load_exchange,
                    state,
                    self.now,
                    envelope,
                )
            case messages.OriginQuery():
                self._send(
                    receiver,
                    origin_queries.handle_query(
                        receiver.load_exchange, state, self.now, envelope
                    ),
                )
            case messages.OriginAnswer():
                known = origin_queries.handle_answer(state, self.now, envelope)
            case _:
                return False
        for key in known:
            receiver.pending += core.end_lookup(state, self.now, key)
        receiver.origin_bytes_received += size
        return True

    def list_miscounts(self):
        """Lists wrong counts of the other routers' load or number.

        Returns:
            Tuples of router, upstream (if the load is wrong), the router's
            count and the correct count.
        """
        live = self.list_live()
        miscounts = []
        for router in live:
            for name, upstream in router.state.table.by_name.items():
                running = sum(
                    other.state.table.by_name[name].own_load.running
                    for other in live
                    if other is not router
                )
                if upstream.peer_load.running != running:
                    miscounts.append(
                        (router.name, name, upstream.peer_load.running, running)
                    )
            if router.state.routers != len(live):
                miscounts.append((router.name, router.state.routers, len(live)))
        return miscounts
