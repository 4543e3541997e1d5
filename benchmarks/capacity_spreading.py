"""Cost of reading the platform for the whole fleet, and of one change per node.

The read schedules of all processes run on a simulated clock. The simulated
platform answers a read at once, and a watch at the next change. A change is
transferred between two replicas without I/O, by the calls that two processes
make.
"""

import collections
import heapq
import time

import msgspec

from benchmarks import capacity_fleet, capacity_state
from benchmarks import capacity_probe as probe
from sycamorefall import configuration, membership, replication, settings
from sycamorefall.configuration import polling
from sycamorefall.configuration import text as text_module
from sycamorefall.replication import offers

NODES = capacity_fleet.ROUTERS + capacity_fleet.SIDECARS
CHANGES_PER_DAY = 2_700
SECONDS_PER_DAY = 86_400
SECONDS = 1_200.0
"""Duration of a run on the simulated clock: four epochs of watchers."""

PATHS = ("config", "vms")


def count_reads() -> list[int]:
    """Counts the fleet's reads in each second after a simultaneous start."""
    defaults = settings.PlatformSettings(settings.Address("127.0.0.1", 1))
    names = [f"vm-{index}" for index in range(NODES)]
    schedules = {
        (name, path): configuration.create_read_schedule(
            defaults.poll_interval,
            defaults.start_spread,
            index * len(PATHS) + place,
            0.0,
        )
        for index, name in enumerate(names)
        for place, path in enumerate(PATHS)
    }
    counts: collections.Counter[int] = collections.Counter()
    epoch, watchers = -1, set()
    due = [(s.next_read_at, key) for key, s in schedules.items()]
    heapq.heapify(due)
    while due[0][0] < SECONDS:
        now, key = heapq.heappop(due)
        schedule = schedules[key]
        if now < schedule.next_read_at:
            heapq.heappush(due, (schedule.next_read_at, key))
            continue
        if int(now / polling.EPOCH_SECONDS) != epoch:
            epoch = int(now / polling.EPOCH_SECONDS)
            watchers = configuration.choose_watchers(
                names, epoch, defaults.watchers
            )
            for (name, path), other in schedules.items():
                polling.set_watching(other, now, name in watchers)
                if name in watchers:
                    heapq.heappush(due, (other.next_read_at, (name, path)))
        counts[int(now)] += 1
        read = polling.plan_read(schedule, 1)
        duration = min(read.wait, _find_next_change(now, key[1]) - now)
        polling.record_response(schedule, now + duration, read, True)
        heapq.heappush(due, (schedule.next_read_at, key))
    return [counts[second] for second in range(int(SECONDS))]


def _find_next_change(now: float, path: str) -> float:
    """Returns the time of the next change of a value.

    The VM list changes every 450 s.
    """
    pause = SECONDS_PER_DAY / CHANGES_PER_DAY if path == "config" else 450.0
    return (now // pause + 1) * pause


def measure_reads() -> list[probe.Measure]:
    """Measures reads per second, during a simultaneous start and afterwards."""
    counts = count_reads()
    later = counts[300:]
    conditions = f"{NODES} schedules, {SECONDS:g} s, all started at once"
    return [
        probe.Measure(
            "platform-reads-start",
            "reads of the platform in the worst second of a start of all",
            max(counts[:300]),
            "1/s",
            conditions,
        ),
        probe.Measure(
            "platform-reads-mean",
            "reads of the platform by all processes, mean of later seconds",
            sum(later) / len(later),
            "1/s",
            f"worst later second {max(later)}; {conditions}",
        ),
    ]


def build_replica(vm: str, text: str, revision: int):
    """Builds the replica of a process that has completed its start."""
    versions = configuration.VersionState()
    directory = membership.Directory()
    state = replication.create_state(vm, versions, directory)
    state.settled = True
    replication.apply_published_text(state, revision, text)
    replication.apply_published_list(state, capacity_fleet.list_vms())
    return state


def transfer_change(count: int) -> tuple[float, float]:
    """Transfers a change of one team between two replicas.

    Args:
        count: Number of teams in the text.

    Returns:
        The bytes transferred, and the processor time of both replicas in
        seconds.
    """
    text = capacity_state.build_text(count)
    head = "[team team-00500]\nweight = "
    changed = text.replace(f"{head}1.0", f"{head}2.0")
    sender = build_replica("entry-000", changed, 2)
    # The receiver is another process, which has not parsed the changed block.
    text_module._parse_block.cache_clear()
    receiver = build_replica("entry-001", text, 1)
    started_at = time.process_time()
    request = offers.create_offer_request(receiver)
    offer = offers.create_offer(sender, request)
    wanted = offers.create_block_request(receiver, offer)
    blocks = offers.collect_blocks(sender, wanted)
    _, complete = offers.apply_offer(receiver, offer, blocks)
    cpu_time = time.process_time() - started_at
    if not complete or receiver.versions.in_force != 2:
        raise RuntimeError("the change did not arrive")
    sizes = map(len, map(msgspec.msgpack.encode, (offer, blocks)))
    return float(sum(sizes)), cpu_time


def measure_changes() -> list[probe.Measure]:
    """Measures bytes and time of a change of one team, by number of teams."""
    counts = (1_000, 4_000, 9_000)
    transferred = [transfer_change(count) for count in counts]
    sizes = ", ".join(
        f"{n}: {size:.0f}"
        for n, (size, _) in zip(counts, transferred, strict=True)
    )
    times = ", ".join(
        f"{n}: {cpu_time:.4f}"
        for n, (_, cpu_time) in zip(counts, transferred, strict=True)
    )
    return [
        probe.Measure(
            "change-bytes",
            "bytes that a node receives for one changed team",
            transferred[-1][0],
            "bytes",
            sizes,
        ),
        probe.Measure(
            "change-pause",
            "processor time of one changed team, the loop stands still",
            transferred[-1][1],
            "s",
            f"{times}; both ends together",
        ),
    ]


def measure() -> list[probe.Measure]:
    """Measures reads of the platform and transfers of a change."""
    return [*measure_reads(), *measure_changes()]


def main() -> None:
    """Prints all measures."""
    for line in measure():
        print(f"{line.key}: {line.value:.4g} {line.unit} ({line.points})")


if __name__ == "__main__":
    main()
