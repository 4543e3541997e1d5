"""Control traffic of one router and one sidecar in a full-size fleet.

The decision cores need no I/O, so both run here on a simulated clock. They
know 370 routers and 910 sidecars and receive heartbeats from their linked
peers. Only sent messages are counted. Received ones are derived from them,
since all nodes of a role behave alike. Responses of peers are not simulated.
"""

import collections
import dataclasses
import itertools
import time

from benchmarks import capacity_probe as probe
from benchmarks import capacity_state
from sycamorefall import configuration, effects, membership, messages, names
from sycamorefall.router import core as router_core
from sycamorefall.router import intake
from sycamorefall.router import state as router_state
from sycamorefall.sidecar import core as sidecar_core
from sycamorefall.sidecar import running
from sycamorefall.sidecar import state as sidecar_state

ROUTERS = 370
SIDECARS = 910
MODELS = 19
DOMAINS = 8
"""Two regions of four failure domains."""

TEAMS = 9_000
"""Teams whose sections fit into one value of the configuration service."""

SECONDS = 20.0
"""Duration of a run on the simulated clock."""

PEER_MESSAGE_INTERVAL = 0.5
"""Seconds between two messages from the same peer."""

LINK_OVERHEAD = 8
"""Bytes that the transport adds to each message."""


@dataclasses.dataclass(slots=True)
class NodeTraffic:
    """Messages that a node sent during a run, and their cost.

    Attributes:
        sent: Number of messages by kind.
        size: Bytes of all messages.
        by_receiver: Number of messages by receiver.
        bytes_by_receiver: Bytes of the messages by receiver.
        spent: Processor time of the decision core, in seconds.
    """

    sent: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    size: int = 0
    by_receiver: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    bytes_by_receiver: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    spent: float = 0.0


def list_vms() -> membership.VmList:
    """Creates the VM list of the full-size fleet."""
    entry, role = membership.VmEntry, membership.VmRole
    routers = [
        entry(
            f"entry-{index:03d}",
            role.ROUTER,
            f"domain-{index % DOMAINS}",
            f"10.1.{index // 250}.{index % 250}:7401",
            f"10.1.{index // 250}.{index % 250}:7400",
        )
        for index in range(ROUTERS)
    ]
    sidecars = [
        entry(
            f"engine-{index:03d}",
            role.UPSTREAM,
            f"domain-{index // MODELS % DOMAINS}",
            f"10.2.{index // 250}.{index % 250}:7401",
            f"10.2.{index // 250}.{index % 250}:7400",
            f"model-{index % MODELS}",
        )
        for index in range(SIDECARS)
    ]
    return membership.VmList(1, (*routers, *sidecars))


def apply_fleet(state, now: float) -> None:
    """Applies the configuration and the VM list to a node."""
    text = capacity_state.build_text(TEAMS)
    configuration.submit_text(state.versions, 1, text)
    membership.apply_vm_list(state.directory, list_vms())
    record_linked_peers(state, now)


def record_linked_peers(state, now: float) -> None:
    """Records a message from every peer that is linked to the node."""
    view = (state.links, state.directory, now, state.vm)
    if isinstance(state, router_state.RouterState):
        peers = itertools.chain.from_iterable(
            membership.list_linked_sidecars(*view, f"model-{index}")
            for index in range(MODELS)
        )
    else:
        membership.list_linked_routers(*view)
        peers = [*state.links.linked_routers, *state.links.siblings]
    for name in peers:
        membership.record_peer_message(state.directory, now, name, 1, False)


def count_sends(state, count: NodeTraffic, outcome, table) -> None:
    """Counts the messages among the effects, in the encoding of the links."""
    for effect in outcome:
        if isinstance(effect, effects.SendMessage):
            envelope = messages.Envelope(state.vm, 10**15, 1000, effect.message)
            compact = names.compact_envelope(table, effect.to, envelope)
            encoded = messages.encode_envelope(compact)
            count.sent[type(effect.message).__name__] += 1
            count.by_receiver[effect.to] += 1
            size = len(encoded) + LINK_OVERHEAD
            count.size += size
            count.bytes_by_receiver[effect.to] += size


def run(state, core, work) -> NodeTraffic:
    """Runs a node's timers, and gives the node work at each step of 10 ms.

    Args:
        state: State of the node.
        core: Module with the decision core of the node's role.
        work: Called with the time of each step; returns the node's effects.

    Returns:
        The messages sent after the first five seconds.
    """
    count, begun, now = NodeTraffic(), 100.0, 100.0
    table = names.NameTable()
    names.update_digests(table, state.versions.configuration.teams)
    next_message = begun
    while now < begun + 5.0 + SECONDS:
        if now >= next_message:
            next_message = now + PEER_MESSAGE_INTERVAL
            record_linked_peers(state, now)
        before = time.process_time()
        outcome = [*work(now)]
        if now >= core.find_next_due(state):
            outcome += core.run_timers(state, now)
        spent = time.process_time() - before
        if now >= begun + 5.0:
            count.spent += spent
            count_sends(state, count, outcome, table)
        now += 0.01
    return count


def run_router(backlogged: int) -> NodeTraffic:
    """Runs a router while some teams have eight waiting requests each."""
    state = router_state.RouterState("entry-000", 10**15)
    apply_fleet(state, 100.0)
    for index in range(backlogged * 8):
        new = router_state.NewRequest(
            f"model-{index % backlogged % MODELS}",
            f"team-{index % backlogged:05d}",
            "POST",
            "/v1/chat/completions",
            (),
            3600.0,
            True,
        )
        intake.admit_request(state, 100.0, new)
    return run(state, router_core, lambda now: ())


def run_sidecar(streams: int, teams: int) -> NodeTraffic:
    """Runs a sidecar whose upstream streams responses to several teams.

    Each stream produces 20 tokens per second, which are charged at each step.
    """
    state = sidecar_state.create_state("engine-000", 10**15, "model-0")
    apply_fleet(state, 100.0)
    for index in range(streams):
        name = f"attempt-{index}"
        state.runs[name] = sidecar_state.Run(
            name, f"team-{index % teams:05d}", 100.0
        )

    def charge(_: float) -> tuple:
        for name in state.runs:
            running.charge_run(state, name, 0.8)
        return ()

    return run(state, sidecar_core, charge)


def measure_sent_bytes(
    counts: list[tuple[float, NodeTraffic]], key: str, what: str
):
    """Creates the measure of bytes sent per second, under the last load."""
    points = ", ".join(f"{n:g}: {c.size / SECONDS:.0f}" for n, c in counts)
    value = counts[-1][1].size / SECONDS
    return probe.Measure(key, what, value, "bytes/s", points)


def measure_sent_messages(
    counts: list[tuple[float, NodeTraffic]], key: str, what: str
):
    """Creates the measure of messages sent per second, under the last load."""
    kinds = counts[-1][1].sent
    points = ", ".join(f"{k} {n / SECONDS:.1f}" for k, n in kinds.items())
    value = kinds.total() / SECONDS
    return probe.Measure(key, what, value, "1/s", points)


def _sum_by_receiver(counter: collections.Counter, start: str) -> float:
    """Sums the counts of the receivers whose names start with a prefix."""
    return sum(n for name, n in counter.items() if name.startswith(start))


def measure() -> list[probe.Measure]:
    """Measures the control traffic of both roles in a full-size fleet."""
    router = [(n, run_router(n)) for n in (1, 10, 40)]
    sidecar = [(n, run_sidecar(n, 16)) for n in (0, 8, 24)]
    router_traffic, sidecar_traffic = router[-1][1], sidecar[-1][1]
    to_router, to_sidecar = SIDECARS / ROUTERS, ROUTERS / SIDECARS
    received = (
        _sum_by_receiver(sidecar_traffic.by_receiver, "entry") * to_router
    )
    from_routers = (
        _sum_by_receiver(router_traffic.by_receiver, "engine") * to_sidecar
    )
    from_siblings = _sum_by_receiver(sidecar_traffic.by_receiver, "engine")
    from_routers_bytes = (
        _sum_by_receiver(router_traffic.bytes_by_receiver, "engine")
        * to_sidecar
    )
    from_siblings_bytes = _sum_by_receiver(
        sidecar_traffic.bytes_by_receiver, "engine"
    )
    return [
        probe.Measure(
            "router-received-bytes",
            "router: bytes received",
            _sum_by_receiver(sidecar_traffic.bytes_by_receiver, "entry")
            * to_router
            / SECONDS,
            "bytes/s",
            f"what a sidecar sends to routers, times {SIDECARS}/{ROUTERS}",
        ),
        probe.Measure(
            "sidecar-received-bytes",
            "sidecar: bytes received",
            (from_routers_bytes + from_siblings_bytes) / SECONDS,
            "bytes/s",
            f"what a router sends, times {ROUTERS}/{SIDECARS}, "
            "and what a sibling sends to siblings",
        ),
        measure_sent_messages(router, "router-sent", "router: messages sent"),
        measure_sent_bytes(
            router,
            "router-sent-bytes",
            "router: bytes sent, by teams that wait with it",
        ),
        probe.Measure(
            "router-peers",
            "router: peers that it sends to",
            len(router_traffic.by_receiver),
            "",
            "distinct receivers",
        ),
        probe.Measure(
            "router-received",
            "router: messages received",
            received / SECONDS,
            "1/s",
            f"what a sidecar sends to routers, times {SIDECARS}/{ROUTERS}",
        ),
        probe.Measure(
            "router-decisions-cpu",
            "router: timers and announcements",
            router_traffic.spent / SECONDS * 100,
            "% of a core",
            "40 teams waiting",
        ),
        measure_sent_messages(
            sidecar, "sidecar-sent", "sidecar: messages sent"
        ),
        measure_sent_bytes(
            sidecar,
            "sidecar-sent-bytes",
            "sidecar: bytes sent, by streams of 16 teams",
        ),
        probe.Measure(
            "sidecar-peers",
            "sidecar: peers that it sends to",
            len(sidecar_traffic.by_receiver),
            "",
            "distinct receivers",
        ),
        probe.Measure(
            "sidecar-received",
            "sidecar: messages received",
            (from_routers + from_siblings) / SECONDS,
            "1/s",
            f"what a router sends, times {ROUTERS}/{SIDECARS}, "
            "and what a sibling sends to siblings",
        ),
        probe.Measure(
            "sidecar-decisions-cpu",
            "sidecar: timers, charges and updates",
            sidecar_traffic.spent / SECONDS * 100,
            "% of a core",
            "24 streams of 16 teams",
        ),
    ]


def main() -> None:
    """Prints all measures."""
    for line in measure():
        print(f"{line.key}: {line.value:.4g} {line.unit} ({line.points})")


if __name__ == "__main__":
    main()
