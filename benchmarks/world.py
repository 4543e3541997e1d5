"""Simulation of a fleet that counts the bytes of all control messages.

Routers and sidecars run the product's decision cores, and messages are encoded
as on the wire. Only the network, the callers and the upstreams are simulated.
"""

__all__ = ["ONE_WAY_DELAY", "Case", "Counts", "Simulation"]

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
"""Bytes that the transport adds to each message: its length."""

INCARNATION = 1_790_000_000_000_000
"""Incarnation of all nodes, with as many digits as a real one."""

ONE_WAY_DELAY = 0.0005
"""One-way delay between two nodes, in seconds."""


@dataclasses.dataclass(slots=True, frozen=True)
class Case:
    """Size and load of a fleet.

    Attributes:
        routers: Number of routers.
        sidecars: Number of sidecars, over all services.
        services: Number of services.
        teams: Number of teams.
        rate: Requests per second over the fleet.
        slots: Requests that one upstream runs concurrently.
        work: Mean run time of a request in seconds.
        seconds: Duration of the run, whose first half is not counted.
        loss: Fraction of control messages that are lost.
        seed: Seed of all random choices.
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
    """Counts of the second half of a run.

    Attributes:
        sent: Bytes sent by node.
        received: Bytes received by node.
        kinds: Bytes sent by kind of message.
        messages: Number of messages sent by kind.
        waits: Seconds from arrival to start of each request.
        lost: Slot seconds that were idle while requests waited.
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
class ServiceLoad:
    """Waiting and running requests of one service, over all nodes.

    Attributes:
        slots: Number of slots of all upstreams of the service.
        waiting: Requests that have arrived and not started.
        running: Requests in progress.
        changed: Time of the last change of these counts.
    """

    slots: int
    waiting: int = 0
    running: int = 0
    changed: float = 0.0


class Simulation:
    """A simulated fleet and its event queue."""

    def __init__(self, case: Case):
        self.case = case
        self.now = 0.0
        self.rng = random.Random(case.seed)
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
            f"service-{index}": ServiceLoad(
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
        """Runs the case to its end, and returns the counts."""
        for name in self.nodes:
            self.schedule(
                self.rng.uniform(0, 0.5), lambda n=name: self.run_node_timers(n)
            )
        self.schedule(1.0, self.handle_arrival)
        while self._events[0][0] < self.case.seconds:
            self.now, _, step = heapq.heappop(self._events)
            step()
        return self.counts

    def schedule(self, when: float, step: Callable[[], None]) -> None:
        """Schedules a step at a time."""
        heapq.heappush(self._events, (when, next(self._numbers), step))

    def is_counted(self) -> bool:
        """Returns whether the second half of the run has begun."""
        return self.now >= self.case.seconds / 2

    def record_load_change(
        self, service: str, waiting: int, running: int
    ) -> None:
        """Changes the counts of a service's requests, and adds idle capacity.

        Args:
            service: Name of the service.
            waiting: Change of the number of waiting requests.
            running: Change of the number of running requests.
        """
        load = self.loads[service]
        if self.is_counted():
            begun = max(load.changed, self.case.seconds / 2)
            idle = max(0, min(load.slots - load.running, load.waiting))
            self.counts.lost += (self.now - begun) * idle
        load.changed = self.now
        load.waiting += waiting
        load.running += running

    def run_node_timers(self, name: str) -> None:
        """Runs the timers of a node."""
        core = _get_core(self.nodes[name])
        self._timers.pop(name, None)
        self.apply_effects(name, core.run_timers(self.nodes[name], self.now))

    def schedule_timers(self, name: str) -> None:
        """Schedules a node's timers, unless an earlier time is scheduled."""
        core = _get_core(self.nodes[name])
        due = max(self.now, core.find_next_due(self.nodes[name]))
        if due < self._timers.get(name, float("inf")):
            self._timers[name] = due
            self.schedule(due, lambda: self.run_due_timers(name, due))

    def run_due_timers(self, name: str, due: float) -> None:
        """Runs a node's timers unless an earlier schedule replaced this one."""
        if self._timers.get(name) == due:
            self.run_node_timers(name)

    def apply_effects(self, name: str, outcome) -> None:
        """Executes the effects of a node, and schedules its timers."""
        for effect in outcome:
            if isinstance(effect, effects.SendMessage):
                self.send(name, effect)
            elif isinstance(effect, router_effects.SendRequest):
                self.schedule(
                    self.now + ONE_WAY_DELAY,
                    lambda e=effect: self.deliver_attempt(name, e),
                )
        self.schedule_timers(name)

    def send(self, name: str, effect: effects.SendMessage) -> None:
        """Sends a control message and counts its bytes."""
        node = self.nodes[name]
        envelope = messages.Envelope(name, node.incarnation, 1, effect.message)
        compacted = names.compact_envelope(
            self.names[name], effect.to, envelope
        )
        data = messages.encode_envelope(compacted)
        size = len(data) + FRAME_BYTES
        if self.is_counted():
            kind = type(effect.message).__name__
            self.counts.sent[name] += size
            self.counts.kinds[kind] += size
            self.counts.messages[kind] += 1
        if self.rng.random() >= self.case.loss:
            self.schedule(
                self.now + ONE_WAY_DELAY,
                lambda: self.receive(effect.to, data, size),
            )

    def receive(self, name: str, data: bytes, size: int) -> None:
        """Decodes a control message and passes it to the receiver's core."""
        if self.is_counted():
            self.counts.received[name] += size
        decoded = messages.decode_envelope(data)
        envelope, unknown = names.expand_envelope(self.names[name], decoded)
        node = self.nodes[name]
        if unknown:
            query = messages.UnknownNames(unknown)
            self.send(name, effects.SendMessage(decoded.sender, query))
        if envelope is None:
            return
        if isinstance(envelope.message, messages.UnknownNames):
            names.mark_undefined(
                self.names[name], envelope.sender, envelope.message.indexes
            )
        core = _get_core(node)
        self.apply_effects(name, core.receive_message(node, self.now, envelope))

    def handle_arrival(self) -> None:
        """Sends a request to a random router and schedules the next one."""
        case = self.case
        team = min(int(self.rng.expovariate(4 / case.teams)), case.teams - 1)
        service = self.rng.randrange(case.services)
        router = f"router-{self.rng.randrange(case.routers)}"
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
        self.record_load_change(new.service, 1, 0)
        self.apply_effects(router, outcome)
        self.schedule(
            self.now + self.rng.expovariate(case.rate), self.handle_arrival
        )

    def deliver_attempt(
        self, router: str, effect: router_effects.SendRequest
    ) -> None:
        """Delivers an attempt to its sidecar and schedules the run."""
        name, order = effect.sidecar, effect.order
        node = self.nodes[name]
        accepted = running.accept_attempt(node, self.now, order)
        if accepted is not running.Acceptance.STARTED:
            end = attempt_lifecycle.AttemptEnd.REFUSED
            self.schedule(
                self.now + ONE_WAY_DELAY,
                lambda: self.deliver_end(router, order.attempt_id, end),
            )
            return
        # A request claimed before a slot is free waits at the upstream.
        begins = max(self.now, heapq.heappop(self.slots[name]))
        seconds = self.rng.expovariate(1 / self.case.work)
        heapq.heappush(self.slots[name], begins + seconds)
        self.schedule(
            begins, lambda: self.start_run(router, name, order, seconds)
        )
        self.schedule_timers(name)

    def start_run(
        self,
        router: str,
        name: str,
        order: messages.AttemptOrder,
        seconds: float,
    ) -> None:
        """Starts a request at its upstream."""
        self.record_load_change(order.service, -1, 1)
        arrived = self.arrivals.pop(order.attempt_id.rpartition("/")[0], None)
        if arrived is not None and self.is_counted():
            self.counts.waits.append(self.now - arrived)
        self.schedule(
            self.now + seconds,
            lambda: self.complete_run(router, name, order.attempt_id, seconds),
        )

    def complete_run(
        self, router: str, name: str, attempt_id: str, seconds: float
    ) -> None:
        """Completes a request at its upstream and charges its cost."""
        node = self.nodes[name]
        self.record_load_change(node.service, 0, -1)
        running.charge_run(node, attempt_id, seconds * 1000.0)
        running.finish_run(node, self.now, attempt_id)
        self.apply_effects(name, claiming.make_claims(node, self.now))
        end = attempt_lifecycle.AttemptEnd.COMPLETE
        self.schedule(
            self.now + ONE_WAY_DELAY,
            lambda: self.deliver_end(router, attempt_id, end),
        )

    def deliver_end(
        self, router: str, attempt_id: str, end: attempt_lifecycle.AttemptEnd
    ) -> None:
        """Delivers the end of an attempt to its router."""
        outcome = attempt_lifecycle.end_attempt(
            self.nodes[router], self.now, attempt_id, end, False
        )
        self.apply_effects(router, outcome)


def _get_core(node):
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
