"""How fast a change reaches 1,280 processes, and who pays for it.

Drives the replicas' decisions without I/O, over the links that membership
computes. Messages take no time, and fetches end within the step in which
they begin: what is measured is how many hops the pauses and links allow.

Run: `python -m benchmarks.spreading`
"""

import collections
import dataclasses
import random

from sycamorefall import configuration, membership, messages
from sycamorefall.replication import offers, peers, replica

ROUTERS = 370
SIDECARS = 910
SERVICES = 19
WATCHERS = 4
STEP = 0.05
LIMIT = 30.0
PAUSES = {membership.VmRole.ROUTER: 2.0, membership.VmRole.UPSTREAM: 1.0}
"""Seconds between two heartbeats."""


@dataclasses.dataclass(slots=True)
class Fleet:
    """All processes: replicas, links and the times of their heartbeats."""

    vms: dict[str, membership.VmEntry]
    replicas: dict[str, replica.ReplicaState]
    links: dict[str, list[str]]
    beats: dict[str, float]
    names: dict[str, str]


def list_vms(routers: int, sidecars: int) -> membership.VmList:
    """Lists a fleet in eight failure domains."""
    role = membership.VmRole
    entries = [
        membership.VmEntry(
            f"vm-{index}",
            role.ROUTER if index < routers else role.UPSTREAM,
            f"domain-{index % 8}",
            f"10.0.{index // 250}.{index % 250}:1",
            f"10.0.{index // 250}.{index % 250}:2",
            "" if index < routers else f"service-{index % SERVICES}",
        )
        for index in range(routers + sidecars)
    ]
    return membership.VmList(1, tuple(entries))


def find_links(directory: membership.Directory) -> dict[str, list[str]]:
    """Finds each process's linked peers."""
    links = collections.defaultdict(list)
    for name, vm in directory.vms.items():
        if vm.role is not membership.VmRole.ROUTER:
            continue
        own = membership.Links()
        for index in range(SERVICES):
            for sidecar in membership.list_linked_sidecars(
                own, directory, 0.0, name, f"service-{index}"
            ):
                links[name].append(sidecar)
                links[sidecar].append(name)
    return links


def write_text(weight: int) -> str:
    """Writes a text of 200 teams, of which one has this weight."""
    return "".join(
        f"[team t{index}]\nweight = {weight if index == 5 else 1}\n"
        for index in range(200)
    )


def create_fleet(routers: int, sidecars: int, seed: int) -> Fleet:
    """Creates a fleet in which all have revision 1 in force."""
    listed = list_vms(routers, sidecars)
    vms = {vm.name: vm for vm in listed.vms}
    document = membership.create_vm_list_document(listed)
    source = random.Random(seed)
    replicas = {}
    for number, name in enumerate(vms):
        versions = configuration.VersionState()
        configuration.submit_text(versions, 1, write_text(1))
        directory = membership.Directory(document=document, vms=vms)
        held = replica.create_state(name, versions, directory, seed=number)
        held.settled = True
        replicas[name] = held
    beats = {name: source.uniform(0, PAUSES[vms[name].role]) for name in vms}
    links = find_links(membership.Directory(document=document, vms=vms))
    names = {vm.data: vm.name for vm in vms.values()}
    return Fleet(vms, replicas, links, beats, names)


def beat(fleet: Fleet, now: float) -> None:
    """Sends the heartbeats that are due."""
    for name, held in fleet.replicas.items():
        if now < fleet.beats[name]:
            continue
        fleet.beats[name] = now + PAUSES[fleet.vms[name].role]
        message = peers.add_replica_info(held, messages.Heartbeat())
        envelope = messages.Envelope(name, 1, held.versions.in_force, message)
        for peer in fleet.links[name]:
            peers.record_envelope(fleet.replicas[peer], now, envelope)


def fetch(fleet: Fleet, now: float, served: collections.Counter) -> None:
    """Fetches what is due; who adopts something tells so at once."""
    for name, held in fleet.replicas.items():
        if not held.peers_ahead:
            continue
        for address in peers.start_due_fetches(held, now):
            other = fleet.replicas[fleet.names[address]]
            offer = offers.create_offer(
                other, offers.create_offer_request(held)
            )
            wanted = offers.create_block_request(held, offer)
            blocks = offers.collect_blocks(other, wanted)
            events, _ = offers.apply_offer(held, offer, blocks)
            peers.record_success(held, now, address, offer.settled)
            served[other.vm] += 1
            if events:
                fleet.beats[name] = now


def measure_spreading(
    routers: int, sidecars: int, seed: int
) -> tuple[list[float], collections.Counter]:
    """Measures when a change is in force at each process.

    Returns:
        Seconds until it was in force, sorted, and fetches served by VM.
    """
    fleet = create_fleet(routers, sidecars, seed)
    served: collections.Counter = collections.Counter()
    for name in configuration.choose_watchers(fleet.vms, seed, WATCHERS):
        replica.apply_published_text(fleet.replicas[name], 2, write_text(2))
        fleet.beats[name] = 0.0
    reached: dict[str, float] = {}
    now = 0.0
    while now < LIMIT and len(reached) < len(fleet.replicas):
        beat(fleet, now)
        fetch(fleet, now, served)
        for name, held in fleet.replicas.items():
            if held.versions.in_force == 2:
                reached.setdefault(name, now)
        now += STEP
    return sorted(reached.values()), served


def main() -> None:
    """Prints the figures of three seeds."""
    for seed in (1, 2, 3):
        times, served = measure_spreading(ROUTERS, SIDECARS, seed)
        print(
            f"seed {seed}: in force at {len(times)} of {ROUTERS + SIDECARS}, "
            f"half after {times[len(times) // 2]:.2f} s, all after "
            f"{times[-1]:.2f} s; fetches {served.total()}, "
            f"most served by one {max(served.values())}"
        )


if __name__ == "__main__":
    main()
