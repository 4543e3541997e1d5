"""Propagation of a configuration change to 1,280 processes.

Runs the replication logic of all processes without I/O, over the links that
membership computes. Messages take no time, and a fetch completes in the step in
which it starts, so the result shows only the delay from heartbeat intervals and
the number of hops. Also counts how many fetches each process serves.

Run it with `python -m benchmarks.spreading`.
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
MAX_SECONDS = 30.0
HEARTBEAT_INTERVALS = {
    membership.VmRole.ROUTER: 2.0,
    membership.VmRole.UPSTREAM: 1.0,
}
"""Seconds between two heartbeats, by role."""


@dataclasses.dataclass(slots=True)
class Fleet:
    """All processes of a fleet.

    Attributes:
        vms: VM entries by name.
        replicas: Replication state by VM name.
        links: Names of the linked peers by VM name.
        next_heartbeats: Time of the next heartbeat by VM name.
        names: VM names by data address.
    """

    vms: dict[str, membership.VmEntry]
    replicas: dict[str, replica.ReplicaState]
    links: dict[str, list[str]]
    next_heartbeats: dict[str, float]
    names: dict[str, str]


def list_vms(routers: int, sidecars: int) -> membership.VmList:
    """Creates the VM list of a fleet in eight failure domains."""
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


def compute_links(directory: membership.Directory) -> dict[str, list[str]]:
    """Computes the linked peers of each process."""
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


def build_text(weight: int) -> str:
    """Builds a text of 200 teams, one of which has the given weight."""
    return "".join(
        f"[team t{index}]\nweight = {weight if index == 5 else 1}\n"
        for index in range(200)
    )


def create_fleet(routers: int, sidecars: int, seed: int) -> Fleet:
    """Creates a fleet in which revision 1 is in force everywhere."""
    vm_list = list_vms(routers, sidecars)
    vms = {vm.name: vm for vm in vm_list.vms}
    document = membership.create_vm_list_document(vm_list)
    source = random.Random(seed)
    replicas = {}
    for number, name in enumerate(vms):
        versions = configuration.VersionState()
        configuration.submit_text(versions, 1, build_text(1))
        directory = membership.Directory(document=document, vms=vms)
        state = replica.create_state(name, versions, directory, seed=number)
        state.settled = True
        replicas[name] = state
    next_heartbeats = {
        name: source.uniform(0, HEARTBEAT_INTERVALS[vms[name].role])
        for name in vms
    }
    links = compute_links(membership.Directory(document=document, vms=vms))
    names = {vm.data: vm.name for vm in vms.values()}
    return Fleet(vms, replicas, links, next_heartbeats, names)


def send_heartbeats(fleet: Fleet, now: float) -> None:
    """Sends the heartbeats that are due to the linked peers."""
    for name, state in fleet.replicas.items():
        if now < fleet.next_heartbeats[name]:
            continue
        fleet.next_heartbeats[name] = (
            now + HEARTBEAT_INTERVALS[fleet.vms[name].role]
        )
        message = peers.add_replica_info(state, messages.Heartbeat())
        envelope = messages.Envelope(name, 1, state.versions.in_force, message)
        for peer in fleet.links[name]:
            peers.record_envelope(fleet.replicas[peer], now, envelope)


def run_fetches(
    fleet: Fleet, now: float, fetches_by_vm: collections.Counter
) -> None:
    """Runs the fetches that are due.

    A process that adopts a new revision schedules its next heartbeat at once.
    """
    for name, state in fleet.replicas.items():
        if not state.peers_ahead:
            continue
        for address in peers.start_due_fetches(state, now):
            other = fleet.replicas[fleet.names[address]]
            offer = offers.create_offer(
                other, offers.create_offer_request(state)
            )
            wanted = offers.create_block_request(state, offer)
            blocks = offers.collect_blocks(other, wanted)
            events, _ = offers.apply_offer(state, offer, blocks)
            peers.record_success(state, now, address, offer.settled)
            fetches_by_vm[other.vm] += 1
            if events:
                fleet.next_heartbeats[name] = now


def measure_spreading(
    routers: int, sidecars: int, seed: int
) -> tuple[list[float], collections.Counter]:
    """Measures when a change comes into force at each process.

    Returns:
        Sorted times in seconds, and the number of fetches served by VM.
    """
    fleet = create_fleet(routers, sidecars, seed)
    fetches_by_vm: collections.Counter = collections.Counter()
    for name in configuration.choose_watchers(fleet.vms, seed, WATCHERS):
        replica.apply_published_text(fleet.replicas[name], 2, build_text(2))
        fleet.next_heartbeats[name] = 0.0
    reached: dict[str, float] = {}
    now = 0.0
    while now < MAX_SECONDS and len(reached) < len(fleet.replicas):
        send_heartbeats(fleet, now)
        run_fetches(fleet, now, fetches_by_vm)
        for name, state in fleet.replicas.items():
            if state.versions.in_force == 2:
                reached.setdefault(name, now)
        now += STEP
    return sorted(reached.values()), fetches_by_vm


def main() -> None:
    """Prints the figures for three seeds."""
    for seed in (1, 2, 3):
        times, fetches_by_vm = measure_spreading(ROUTERS, SIDECARS, seed)
        print(
            f"seed {seed}: in force at {len(times)} of {ROUTERS + SIDECARS}, "
            f"half after {times[len(times) // 2]:.2f} s, all after "
            f"{times[-1]:.2f} s; fetches {fetches_by_vm.total()}, "
            f"most served by one {max(fetches_by_vm.values())}"
        )


if __name__ == "__main__":
    main()
