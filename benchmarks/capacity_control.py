"""Cost of control: an idle process, its messages, its links, its VMs.

A router and a sidecar run as processes. The VM list names further VMs that
are not there: their control address is a socket of this benchmark, which
takes what the processes send them and sends messages in their names.
"""

import dataclasses
import pathlib
import tempfile
import time

import pynng

from benchmarks import capacity_probe as probe
from benchmarks import capacity_state
from standins import fleet as fleet_module
from sycamorefall import messages

SECONDS = 6.0
"""Length of one measured run."""

IDLE_SECONDS = 15.0
"""Length of a run of an idle process, whose time is read in hundredths."""

SETTLE = 2.0
"""Seconds that processes get to open their links."""

PHANTOMS = (8, 64, 128)
"""VMs that are listed without being there."""

RATES = (200, 400, 800)
"""Messages per second sent to a process."""


TEAMS = (1_000, 4_000, 9_000)
"""Teams of the texts that are taken into force; the last fills a value."""


@dataclasses.dataclass(slots=True)
class Reading:
    """What a process used during one run.

    Attributes:
        cpu: Processor time per second.
        resident: Resident memory at the end, in bytes.
        private: The part of it that no other process shares.
        threads: Threads at the end.
        messages: Messages per second that it sent to the absent VMs.
        size: Their mean size in bytes.
    """

    cpu: float
    resident: int
    private: int
    threads: int
    messages: float
    size: float


class Sink:
    """The one socket at which all absent VMs are reached."""

    __slots__ = ("address", "socket")

    def __init__(self):
        self.socket = pynng.Pull0(recv_buffer_size=8192)
        port = fleet_module.reserve_ports(1)[0]
        self.address = f"127.0.0.1:{port}"
        self.socket.listen(f"tcp://{self.address}")

    def drain(self) -> list[bytes]:
        """Takes all messages that have come."""
        taken = []
        while True:
            try:
                taken.append(self.socket.recv(block=False))
            except pynng.TryAgain:
                return taken


def publish_phantoms(
    fleet: fleet_module.Fleet, sink: Sink, role: str, count: int
) -> None:
    """Lists VMs that are not there beside those of the fleet."""
    published = fleet_module.call(fleet.platform, "/v1/vms")
    real = [vm for vm in published["vms"] if vm["name"] in fleet.nodes]
    phantoms = [
        {
            "name": f"absent-{role}-{index}",
            "role": role,
            "failure_domain": f"domain-{index % 4}",
            "control": sink.address,
            "data": sink.address,
            "service": "assistant" if role == "upstream" else "",
            "state": "live",
        }
        for index in range(count)
    ]
    fleet.vms_revision += 1
    body = {
        "revision": fleet.vms_revision,
        "vms": real + phantoms,
    }
    fleet_module.call(fleet.platform, "/test/vms", body)
    for node in fleet.nodes.values():
        fleet_module.wait_until(
            lambda node=node: (
                fleet_module.call(node.data, "/status")["vms_revision"]
                == fleet.vms_revision
            ),
            "the list in use",
        )


def read_process(
    node: fleet_module.Node,
    sink: Sink,
    work=None,
    seconds: float = SECONDS,
) -> Reading:
    """Reads what a process uses while some work is done to it."""
    pid, name = node.process.pid, node.name.encode()
    sink.drain()
    begun, before = time.monotonic(), probe.read_cpu(pid)
    taken: list[bytes] = []
    while (now := time.monotonic()) < begun + seconds:
        if work is not None:
            work(now - begun)
        taken += sink.drain()
        time.sleep(0.01)
    lasted = time.monotonic() - begun
    after = probe.read_cpu(pid)
    # The other process's messages come to the same socket; every message
    # names its sender.
    taken = [data for data in taken if name in data]
    return Reading(
        (after - before) / lasted,
        probe.read_resident(pid),
        probe.read_private(pid),
        probe.count_threads(pid),
        len(taken) / lasted,
        sum(map(len, taken)) / max(1, len(taken)),
    )


def start_fleet(folder: pathlib.Path) -> fleet_module.Fleet:
    """Starts one router, one engine and its sidecar."""
    text = fleet_module.write_text(
        {f"team-{index}": 1.0 for index in range(16)},
        "[service assistant]\nkind = engine\nconcurrency = 4\n",
    )
    engine = fleet_module.UpstreamGroup("assistant", 1, "standins.engine", 4)
    # All watch: those chosen among the absent VMs could not.
    return fleet_module.start_fleet(
        folder, text, 1, [engine], platform_settings="watchers = 1000"
    )


def make_pusher(node: fleet_module.Node, rate: float, make_message):
    """Makes the function that sends messages in the absent VMs' names."""
    link = pynng.Push0(send_buffer_size=1024)
    link.dial(f"tcp://127.0.0.1:{node.control}")
    sent = 0

    def push(passed: float) -> None:
        nonlocal sent
        while sent < passed * rate:
            envelope = messages.Envelope(
                f"absent-upstream-{sent % PHANTOMS[0]}",
                1,
                1,
                make_message(sent),
            )
            link.send(messages.encode_envelope(envelope))
            sent += 1

    return push, link


def make_update(number: int) -> messages.AccountUpdate:
    """Makes an update of ten teams' accounts."""
    entries = tuple(
        messages.AccountEntry(
            f"team-{index}",
            f"absent-upstream-{number % PHANTOMS[0]}/1",
            number,
            10.0 * number,
            5.0,
            0.0,
        )
        for index in range(10)
    )
    return messages.AccountUpdate("assistant", entries)


def measure_received(
    fleet: fleet_module.Fleet,
    node: fleet_module.Node,
    sink: Sink,
    key: str,
    what: str,
    make_message,
) -> probe.Measure:
    """Measures the processor time of one more message received."""
    points = []
    for rate in RATES:
        push, link = make_pusher(node, rate, make_message)
        reading = read_process(node, sink, push)
        link.close()
        points.append((float(rate), reading.cpu))
    return probe.fit_slope(key, what, "us", points, 1e6)


def measure_idle(
    fleet: fleet_module.Fleet, node: fleet_module.Node, sink: Sink
) -> list[probe.Measure]:
    """Measures a process that has nothing to do but its heartbeats."""
    reading = read_process(node, sink, seconds=IDLE_SECONDS)
    role = node.role if node.role == "router" else "sidecar"
    how = f"over {IDLE_SECONDS:g} s, one router and one sidecar"
    mib = 1 << 20
    lines = (
        ("cpu", "processor time while idle", reading.cpu * 100, "% of a core"),
        (
            "resident",
            "resident memory while idle",
            reading.resident / mib,
            "MiB",
        ),
        ("private", "of it shared with none", reading.private / mib, "MiB"),
        ("threads", "threads", reading.threads, ""),
    )
    return [
        probe.Measure(f"{role}-idle-{key}", f"{role}: {what}", value, unit, how)
        for key, what, value, unit in lines
    ]


def measure_links(
    fleet: fleet_module.Fleet, node: fleet_module.Node, sink: Sink, peer: str
) -> list[probe.Measure]:
    """Measures one more listed peer: messages, processor time, memory."""
    role = node.role if node.role == "router" else "sidecar"
    sent, spent, held = [], [], []
    for count in PHANTOMS:
        publish_phantoms(fleet, sink, peer, count)
        time.sleep(SETTLE)
        reading = read_process(node, sink)
        sent.append((count, reading.messages))
        spent.append((reading.messages, reading.cpu))
        held.append((count, float(reading.private)))
    name = "router" if role == "sidecar" else "sidecar"
    return [
        probe.fit_slope(
            f"{role}-peer-messages",
            f"{role}: messages sent per listed {name}, idle",
            "1/s",
            sent,
        ),
        probe.fit_slope(
            f"{role}-send-cpu", f"{role}: a message sent", "us", spent, 1e6
        ),
        probe.fit_slope(
            f"{role}-peer-memory",
            f"{role}: private memory per listed {name}",
            "bytes",
            held,
        ),
        probe.Measure(
            f"{role}-message-size",
            f"{role}: mean size of a message sent while idle",
            reading.size,
            "bytes",
            f"at {PHANTOMS[-1]} listed",
        ),
    ]


def measure_texts(
    fleet: fleet_module.Fleet, node: fleet_module.Node
) -> list[probe.Measure]:
    """Measures a running node that takes texts with many teams into force."""
    spent, held = [], []
    for count in TEAMS:
        fleet_module.publish_text(fleet, capacity_state.write_teams(count))
        before = probe.read_cpu(node.process.pid)
        fleet_module.wait_until(
            lambda: (
                fleet_module.call(node.data, "/status")["revision"]
                == fleet.revision
            ),
            "the text in force",
        )
        spent.append((count, probe.read_cpu(node.process.pid) - before))
        held.append((count, float(probe.read_private(node.process.pid))))
    role = node.role if node.role == "router" else "sidecar"
    return [
        probe.fit_slope(
            f"{role}-adopt-cpu",
            f"{role}: a text taken into force, per team",
            "us",
            spent,
            1e6,
        ),
        probe.fit_slope(
            f"{role}-adopt-memory",
            f"{role}: private memory per team of the text",
            "bytes",
            held,
        ),
    ]


def measure() -> list[probe.Measure]:
    """Measures idle processes, links and messages."""
    sink = Sink()
    with tempfile.TemporaryDirectory() as folder:
        fleet = start_fleet(pathlib.Path(folder))
        try:
            return _measure_fleet(fleet, sink)
        finally:
            fleet_module.kill_fleet(fleet)


def _measure_fleet(
    fleet: fleet_module.Fleet, sink: Sink
) -> list[probe.Measure]:
    router = next(n for n in fleet.nodes.values() if n.role == "router")
    sidecar = next(n for n in fleet.nodes.values() if n.role == "upstream")
    measures = measure_idle(fleet, router, sink)
    measures += measure_idle(fleet, sidecar, sink)
    measures += measure_links(fleet, router, sink, "upstream")
    measures += measure_links(fleet, sidecar, sink, "router")
    publish_phantoms(fleet, sink, "upstream", PHANTOMS[0])
    time.sleep(SETTLE)
    beat = messages.Heartbeat()
    measures += [
        measure_received(
            fleet,
            router,
            sink,
            "router-heartbeat-cpu",
            "router: a heartbeat received",
            lambda _: beat,
        ),
        measure_received(
            fleet,
            sidecar,
            sink,
            "sidecar-heartbeat-cpu",
            "sidecar: a heartbeat received",
            lambda _: beat,
        ),
        measure_received(
            fleet,
            sidecar,
            sink,
            "sidecar-update-cpu",
            "sidecar: an update of ten accounts received",
            make_update,
        ),
    ]
    return measures + measure_texts(fleet, router)


def main() -> None:
    """Prints all measures."""
    for line in [*measure(), *capacity_state.measure()]:
        print(f"{line.key}: {line.value:.4g} {line.unit} ({line.points})")


if __name__ == "__main__":
    main()
