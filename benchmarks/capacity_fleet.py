"""Control messages of one router and one sidecar in a fleet of full size.

The decisions need no I/O, so both run here on a clock of their own, in view
of 370 routers and 910 sidecars, whose linked ones were heard from. Counted
is what they send; what they receive follows from that, since the others are
like them. Their peers' answers are not played.
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
"""Length of a run, by its own clock."""

BEAT = 0.5
"""Seconds between two messages of each peer."""

LINK_OVERHEAD = 8
"""Bytes that the links put before a message."""


@dataclasses.dataclass(slots=True)
class Count:
    """What a node's decisions did during a run.

    Attributes:
        sent: Messages by kind.
        size: Bytes of all messages.
        to: Messages by receiver.
        size_to: Bytes by receiver.
        spent: Processor time of the decisions, in seconds.
    """

    sent: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    size: int = 0
    to: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    size_to: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    spent: float = 0.0


def list_vms() -> membership.VmList:
    """Lists the VMs of the whole fleet."""
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


def prepare(state, now: float) -> None:
    """Gives a node the configuration and the VMs."""
    text = capacity_state.write_teams(TEAMS)
    configuration.submit_text(state.versions, 1, text)
    membership.apply_vm_list(state.directory, list_vms())
    hear_peers(state, now)


def hear_peers(state, now: float) -> None:
    """Notes that all were heard from that keep a link to this node."""
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


def note_sends(state, count: Count, outcome, table) -> None:
    """Counts the messages among what is to be done."""
    for effect in outcome:
        if isinstance(effect, effects.SendMessage):
            envelope = messages.Envelope(state.vm, 10**15, 1000, effect.message)
            compact = names.compact_envelope(table, effect.to, envelope)
            encoded = messages.encode_envelope(compact)
            count.sent[type(effect.message).__name__] += 1
            count.to[effect.to] += 1
            size = len(encoded) + LINK_OVERHEAD
            count.size += size
            count.size_to[effect.to] += size


def run(state, core, work) -> Count:
    """Runs a node's timers, with some work done to it in between.

    Args:
        state: The node.
        core: The module of its decisions.
        work: Called with each step's time; gives what is to be done.

    Returns:
        What it sent after the first five seconds.
    """
    count, begun, now = Count(), 100.0, 100.0
    table = names.NameTable()
    names.update_digests(table, state.versions.configuration.teams)
    next_beat = begun
    while now < begun + 5.0 + SECONDS:
        if now >= next_beat:
            next_beat = now + BEAT
            hear_peers(state, now)
        before = time.process_time()
        outcome = [*work(now)]
        if now >= core.find_next_due(state):
            outcome += core.run_timers(state, now)
        spent = time.process_time() - before
        if now >= begun + 5.0:
            count.spent += spent
            note_sends(state, count, outcome, table)
        now += 0.01
    return count


def run_router(backlogged: int) -> Count:
    """Runs a router with some teams' work waiting, eight requests each."""
    state = router_state.RouterState("entry-000", 10**15)
    prepare(state, 100.0)
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


def run_sidecar(streams: int, teams: int) -> Count:
    """Runs a sidecar whose upstream streams answers to several teams.

    Each stream takes 20 tokens a second, and each step charges them.
    """
    state = sidecar_state.create_state("engine-000", 10**15, "model-0")
    prepare(state, 100.0)
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


def count_bytes(counts: list[tuple[float, Count]], key: str, what: str):
    """Makes the measure of bytes sent per second at full size."""
    points = ", ".join(f"{n:g}: {c.size / SECONDS:.0f}" for n, c in counts)
    value = counts[-1][1].size / SECONDS
    return probe.Measure(key, what, value, "bytes/s", points)


def count_messages(counts: list[tuple[float, Count]], key: str, what: str):
    """Makes the measure of messages sent per second at full size."""
    kinds = counts[-1][1].sent
    points = ", ".join(f"{k} {n / SECONDS:.1f}" for k, n in kinds.items())
    value = kinds.total() / SECONDS
    return probe.Measure(key, what, value, "1/s", points)


def _sum_to(counter: collections.Counter, start: str) -> float:
    """Sums what went to one role, whose VMs' names begin alike."""
    return sum(n for name, n in counter.items() if name.startswith(start))


def measure() -> list[probe.Measure]:
    """Measures both roles in a fleet of full size."""
    router = [(n, run_router(n)) for n in (1, 10, 40)]
    sidecar = [(n, run_sidecar(n, 16)) for n in (0, 8, 24)]
    own, beside = router[-1][1], sidecar[-1][1]
    to_router, to_sidecar = SIDECARS / ROUTERS, ROUTERS / SIDECARS
    received = _sum_to(beside.to, "entry") * to_router
    told = _sum_to(own.to, "engine") * to_sidecar
    exchanged = _sum_to(beside.to, "engine")
    told_size = _sum_to(own.size_to, "engine") * to_sidecar
    exchanged_size = _sum_to(beside.size_to, "engine")
    return [
        probe.Measure(
            "router-received-bytes",
            "router: bytes received",
            _sum_to(beside.size_to, "entry") * to_router / SECONDS,
            "bytes/s",
            f"what a sidecar sends to routers, times {SIDECARS}/{ROUTERS}",
        ),
        probe.Measure(
            "sidecar-received-bytes",
            "sidecar: bytes received",
            (told_size + exchanged_size) / SECONDS,
            "bytes/s",
            f"what a router sends, times {ROUTERS}/{SIDECARS}, "
            "and what a sibling sends to siblings",
        ),
        count_messages(router, "router-sent", "router: messages sent"),
        count_bytes(
            router,
            "router-sent-bytes",
            "router: bytes sent, by teams that wait with it",
        ),
        probe.Measure(
            "router-peers",
            "router: peers that it sends to",
            len(own.to),
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
            own.spent / SECONDS * 100,
            "% of a core",
            "40 teams waiting",
        ),
        count_messages(sidecar, "sidecar-sent", "sidecar: messages sent"),
        count_bytes(
            sidecar,
            "sidecar-sent-bytes",
            "sidecar: bytes sent, by streams of 16 teams",
        ),
        probe.Measure(
            "sidecar-peers",
            "sidecar: peers that it sends to",
            len(beside.to),
            "",
            "distinct receivers",
        ),
        probe.Measure(
            "sidecar-received",
            "sidecar: messages received",
            (told + exchanged) / SECONDS,
            "1/s",
            f"what a router sends, times {ROUTERS}/{SIDECARS}, "
            "and what a sibling sends to siblings",
        ),
        probe.Measure(
            "sidecar-decisions-cpu",
            "sidecar: timers, charges and updates",
            beside.spent / SECONDS * 100,
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
