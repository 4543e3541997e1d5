"""A fleet of decision cores on an event queue, every control byte counted.

Routers and sidecars are the real decision cores, messages are encoded as on
the wire; only the network, the callers and the upstreams are played.
"""

__all__ = ["TRIP", "Case", "Counts", "World"]

import collections
from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random

from sycamorefall import configuration, effects, membership, messages, names
from sycamorefall.router import attempt_lifecycle, intake
from sycamorefall.router import core as router_core
from sycamorefall.router import effects as router_effects
from sycamorefall.router import state as router_state
from sycamorefall.sidecar import claiming, running
from sycamorefall.sidecar import core as sidecar_core
from sycamorefall.sidecar import state as sidecar_state

FRAME_BYTES = 8
"""What the transport adds to each message: its length."""

INCARNATION = 1_790_000_000_000_000
"""Incarnation of all nodes, as long as a real one."""

TRIP = 0.0005
"""Seconds one way between two nodes."""


@dataclasses.dataclass(slots=True, frozen=True)
class Case:
    """A fleet and its load.

    Attributes:
        routers: Number of routers.
        sidecars: Number of sidecars, over all services.
        services: Number of services.
        teams: Number of teams.
        rate: Requests per second over the fleet.
        slots: Requests that one upstream runs at a time.
        work: Mean seconds that one request runs.
        seconds: Length of the run, the first half not counted.
        loss: Share of control messages that are lost.
        seed: Seed of all choices.
    """

    routers: int = 4
    sidecars: int = 10
    services: int = 1
    teams: int = 16
    rate: float = 40.0
    slots: int = 8
    work: float = 0.5
    seconds: float = 8.0
    loss: float = 0.0
    seed: int = 1


@dataclasses.dataclass(slots=True)
class Counts:
    """What was counted in the second half of a run.

    Attributes:
        sent: Bytes sent by node.
        received: Bytes received by node.
        kinds: Bytes sent by kind of message.
        messages: Messages sent by kind.
        waits: Seconds from arrival to start, by request.
        lost: Slot seconds that were free while requests waited.
    """

    sent: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    received: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    kinds: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    messages: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    waits: list[float] = dataclasses.field(default_factory=list)
    lost: float = 0.0


@dataclasses.dataclass(slots=True)
class Load:
    """Requests of one service that wait and run, over all nodes.

    Attributes:
        slots: Slots of all upstreams.
        waiting: Requests that came and did not start.
        running: Requests in progress.
        changed: When one of these changed last.
    """

    slots: int
    waiting: int = 0
    running: int = 0
    changed: float = 0.0


class World:
    """A fleet on an event queue."""

    def __init__(self, case: Case):
        self.case = case
        self.now = 0.0
        self.chance = random.Random(case.seed)
        self.counts = Counts()
        self.arrivals: dict[str, float] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._timers: dict[str, float] = {}
        self.nodes = _create_nodes(case)
        self.slots = {
            f"upstream-{index}": [0.0] * case.slots
            for index in range(case.sidecars)
        }
        self.loads = {
            f"service-{index}": Load(
                case.slots * len(range(index, case.sidecars, case.services))
            )
            for index in range(case.services)
        }
        self.names = {name: names.NameTable() for name in self.nodes}
        digests = names.NameTable()
        known = [f"member-{index:05d}" for index in range(case.teams)]
        names.update_digests(digests, known)
        for table in self.names.values():
            table.digests = digests.digests
            table.by_digest = digests.by_digest

    def run(self) -> Counts:
        """Runs the case to its end."""
        for name in self.nodes:
            self.at(self.chance.uniform(0, 0.5), lambda n=name: self.tick(n))
        self.at(1.0, self.arrive)
        while self._events[0][0] < self.case.seconds:
            self.now, _, step = heapq.heappop(self._events)
            step()
        return self.counts

    def at(self, when: float, step: Callable[[], None]) -> None:
        """Plans a step."""
        heapq.heappush(self._events, (when, next(self._numbers), step))

    def is_counted(self) -> bool:
        """Tells whether the run's second half has begun."""
        return self.now >= self.case.seconds / 2

    def note_load(self, service: str, waiting: int, running: int) -> None:
        """Counts requests that wait or run, and capacity lost until now."""
        load = self.loads[service]
        if self.is_counted():
            begun = max(load.changed, self.case.seconds / 2)
            idle = max(0, min(load.slots - load.running, load.waiting))
            self.counts.lost += (self.now - begun) * idle
        load.changed = self.now
        load.waiting += waiting
        load.running += running

    def tick(self, name: str) -> None:
        """Runs a node's timers."""
        core = _find_core(self.nodes[name])
        self._timers.pop(name, None)
        self.perform(name, core.run_timers(self.nodes[name], self.now))

    def plan_tick(self, name: str) -> None:
        """Plans a node's next timer, if it is earlier than the planned."""
        core = _find_core(self.nodes[name])
        due = max(self.now, core.find_next_due(self.nodes[name]))
        if due < self._timers.get(name, float("inf")):
            self._timers[name] = due
            self.at(due, lambda: self.tick_due(name, due))

    def tick_due(self, name: str, due: float) -> None:
        """Runs a node's timers unless an earlier plan replaced this one."""
        if self._timers.get(name) == due:
            self.tick(name)

    def perform(self, name: str, outcome) -> None:
        """Carries out a node's effects."""
        for effect in outcome:
            if isinstance(effect, effects.SendMessage):
                self.send(name, effect)
            elif isinstance(effect, router_effects.SendRequest):
                self.at(self.now + TRIP, lambda e=effect: self.start(name, e))
        self.plan_tick(name)

    def send(self, name: str, effect: effects.SendMessage) -> None:
        """Sends a control message and counts it."""
        node = self.nodes[name]
        envelope = messages.Envelope(name, node.incarnation, 1, effect.message)
        names_sent = names.compact_envelope(
            self.names[name], effect.to, envelope
        )
        data = messages.encode_envelope(names_sent)
        size = len(data) + FRAME_BYTES
        if self.is_counted():
            kind = type(effect.message).__name__
            self.counts.sent[name] += size
            self.counts.kinds[kind] += size
            self.counts.messages[kind] += 1
        if self.chance.random() >= self.case.loss:
            self.at(
                self.now + TRIP, lambda: self.receive(effect.to, data, size)
            )

    def receive(self, name: str, data: bytes, size: int) -> None:
        """Takes a control message."""
        if self.is_counted():
            self.counts.received[name] += size
        decoded = messages.decode_envelope(data)
        envelope, unknown = names.expand_envelope(self.names[name], decoded)
        node = self.nodes[name]
        if unknown:
            question = messages.UnknownNames(unknown)
            self.send(name, effects.SendMessage(decoded.sender, question))
        if envelope is None:
            return
        if isinstance(envelope.message, messages.UnknownNames):
            names.mark_undefined(
                self.names[name], envelope.sender, envelope.message.indexes
            )
        core = _find_core(node)
        self.perform(name, core.receive_message(node, self.now, envelope))

    def arrive(self) -> None:
        """Lets a request come in and plans the next."""
        case = self.case
        team = min(int(self.chance.expovariate(4 / case.teams)), case.teams - 1)
        service = self.chance.randrange(case.services)
        router = f"router-{self.chance.randrange(case.routers)}"
        new = router_state.NewRequest(
            service=f"service-{service}",
            team=f"member-{team:05d}",
            method="POST",
            path="/",
            headers=(),
            timeout=60.0,
            idempotent=True,
        )
        number, outcome = intake.admit_request(
            self.nodes[router], self.now, new
        )
        self.arrivals[f"{router}/{INCARNATION}/{number}"] = self.now
        self.note_load(new.service, 1, 0)
        self.perform(router, outcome)
        self.at(self.now + self.chance.expovariate(case.rate), self.arrive)

    def start(self, router: str, effect: router_effects.SendRequest) -> None:
        """Lets a hand-out reach its sidecar."""
        name, order = effect.sidecar, effect.order
        node = self.nodes[name]
        accepted = running.accept_attempt(node, self.now, order)
        if accepted is not running.Acceptance.STARTED:
            end = attempt_lifecycle.AttemptEnd.REFUSED
            self.at(
                self.now + TRIP,
                lambda: self.finish(router, order.attempt_id, end),
            )
            return
        # A request claimed ahead of a slot waits for it at the upstream.
        begins = max(self.now, heapq.heappop(self.slots[name]))
        seconds = self.chance.expovariate(1 / self.case.work)
        heapq.heappush(self.slots[name], begins + seconds)
        self.at(begins, lambda: self.begin(router, name, order, seconds))
        self.plan_tick(name)

    def begin(
        self,
        router: str,
        name: str,
        order: messages.AttemptOrder,
        seconds: float,
    ) -> None:
        """Lets a run begin at its upstream."""
        self.note_load(order.service, -1, 1)
        arrived = self.arrivals.pop(order.attempt_id.rpartition("/")[0], None)
        if arrived is not None and self.is_counted():
            self.counts.waits.append(self.now - arrived)
        self.at(
            self.now + seconds,
            lambda: self.end(router, name, order.attempt_id, seconds),
        )

    def end(
        self, router: str, name: str, attempt_id: str, seconds: float
    ) -> None:
        """Lets a run end at its upstream."""
        node = self.nodes[name]
        self.note_load(node.service, 0, -1)
        running.charge_run(node, attempt_id, seconds * 1000.0)
        running.finish_run(node, self.now, attempt_id)
        self.perform(name, claiming.make_claims(node, self.now))
        end = attempt_lifecycle.AttemptEnd.COMPLETE
        self.at(self.now + TRIP, lambda: self.finish(router, attempt_id, end))

    def finish(
        self, router: str, attempt_id: str, end: attempt_lifecycle.AttemptEnd
    ) -> None:
        """Lets an attempt's end reach its router."""
        outcome = attempt_lifecycle.end_attempt(
            self.nodes[router], self.now, attempt_id, end, False
        )
        self.perform(router, outcome)


def _find_core(node):
    is_router = isinstance(node, router_state.RouterState)
    return router_core if is_router else sidecar_core


def _create_nodes(case: Case) -> dict:
    text = "".join(
        f"[service service-{index}]\nkind = plain\nconcurrency = {case.slots}\n"
        for index in range(case.services)
    )
    versions = configuration.VersionState()
    configuration.submit_text(versions, 1, text)
    vms = membership.VmList(1, tuple(_list_vms(case)))
    nodes: dict = {}
    for vm in vms.vms:
        if vm.role is membership.VmRole.ROUTER:
            node = router_state.RouterState(vm.name, INCARNATION, versions)
        else:
            node = sidecar_state.create_state(vm.name, INCARNATION, vm.service)
            node.versions = versions
            sidecar_core.apply_configuration(node)
        membership.apply_vm_list(node.directory, vms)
        nodes[vm.name] = node
    return nodes


def _list_vms(case: Case):
    for index in range(case.routers):
        yield membership.VmEntry(
            f"router-{index}",
            membership.VmRole.ROUTER,
            f"domain-{index % 8}",
            "",
            "",
        )
    for index in range(case.sidecars):
        yield membership.VmEntry(
            f"upstream-{index}",
            membership.VmRole.UPSTREAM,
            f"domain-{index // case.services % 8}",
            "",
            "",
            f"service-{index % case.services}",
        )
