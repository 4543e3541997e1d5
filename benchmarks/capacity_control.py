"""Cost of control traffic: idle processes, messages, links and listed VMs.

A router and a sidecar run as processes. The VM list also contains VMs that do
not exist: their control address is a socket of this benchmark, which receives
what the processes send to them and sends messages in their names.
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
"""Duration of one measured run."""

IDLE_SECONDS = 15.0
"""Duration of the run of an idle process.

It is longer than `SECONDS` because processor time is read in hundredths of a
second.
"""

SETTLE_SECONDS = 2.0
"""Seconds that the processes are given to open their links."""

ABSENT_VM_COUNTS = (8, 64, 128)
"""Numbers of VMs that are listed but do not exist."""

MESSAGE_RATES = (200, 400, 800)
"""Numbers of messages per second sent to a process."""

TEAM_COUNTS = (1_000, 4_000, 9_000)
"""Numbers of teams of the published texts.

The last fills one value of the configuration service.
"""


@dataclasses.dataclass(slots=True)
class ProcessUsage:
    """Resources that a process used during one run.

    Attributes:
        cpu: Processor seconds per second.
        resident: Resident memory at the end, in bytes.
        private: Part of the resident memory not shared with other processes, in
            bytes.
        threads: Number of threads at the end.
        messages: Messages per second that the process sent to absent VMs.
        size: Mean size of these messages in bytes.
    """

    cpu: float
    resident: int
    private: int
    threads: int
    messages: float
    size: float


class Sink:
    """Socket that receives the messages to all absent VMs."""

    __slots__ = ("address", "socket")

    def __init__(self):
        self.socket = pynng.Pull0(recv_buffer_size=8192)
        port = fleet_module.reserve_ports(1)[0]
        self.address = f"127.0.0.1:{port}"
        self.socket.listen(f"tcp://{self.address}")

    def drain(self) -> list[bytes]:
        """Returns the messages received since the last call."""
        received = []
        while True:
            try:
                received.append(self.socket.recv(block=False))
            except pynng.TryAgain:
                return received


def publish_absent_vms(
    fleet: fleet_module.Fleet, sink: Sink, role: str, count: int
) -> None:
    """Publishes a VM list with absent VMs, and waits until all nodes use it.

    Args:
        fleet: The running fleet, whose own VMs stay listed.
        sink: Receives the messages to the absent VMs.
        role: Role of the absent VMs.
        count: Number of absent VMs.
    """
    published = fleet_module.call(fleet.platform, "/v1/vms")
    real = [vm for vm in published["vms"] if vm["name"] in fleet.nodes]
    absent = [
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
        "vms": real + absent,
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


def measure_process(
    node: fleet_module.Node,
    sink: Sink,
    work=None,
    seconds: float = SECONDS,
) -> ProcessUsage:
    """Measures the resources that a process uses while it is given work.

    Args:
        node: The process.
        sink: Receives the messages to the absent VMs.
        work: Called every 10 ms with the seconds since the start; sends work
            to the process.
        seconds: Duration.
    """
    pid, name = node.process.pid, node.name.encode()
    sink.drain()
    started_at, before = time.monotonic(), probe.read_cpu(pid)
    received: list[bytes] = []
    while (now := time.monotonic()) < started_at + seconds:
        if work is not None:
            work(now - started_at)
        received += sink.drain()
        time.sleep(0.01)
    duration = time.monotonic() - started_at
    after = probe.read_cpu(pid)
    # The sink also receives messages of the other process. Every message
    # contains the name of its sender.
    received = [data for data in received if name in data]
    return ProcessUsage(
        (after - before) / duration,
        probe.read_resident(pid),
        probe.read_private(pid),
        probe.count_threads(pid),
        len(received) / duration,
        sum(map(len, received)) / max(1, len(received)),
    )


def start_fleet(folder: pathlib.Path) -> fleet_module.Fleet:
    """Starts one router, and one engine with its sidecar."""
    text = fleet_module.build_configuration_text(
        {f"team-{index}": 1.0 for index in range(16)},
        "[service assistant]\nkind = engine\nconcurrency = 4\n",
    )
    engine = fleet_module.UpstreamGroup("assistant", 1, "standins.engine", 4)
    # Every VM is a watcher, since absent VMs chosen as watchers would not
    # read.
    return fleet_module.start_fleet(
        folder, text, 1, [engine], platform_settings="watchers = 1000"
    )


def create_sender(node: fleet_module.Node, rate: float, create_message):
    """Creates a function that sends messages in the names of absent VMs.

    Returns:
        The function, which is called with the seconds since the start and
        sends the messages due by then, and its socket, to be closed.
    """
    link = pynng.Push0(send_buffer_size=1024)
    link.dial(f"tcp://127.0.0.1:{node.control}")
    sent = 0

    def send_due(elapsed: float) -> None:
        nonlocal sent
        while sent < elapsed * rate:
            envelope = messages.Envelope(
                f"absent-upstream-{sent % ABSENT_VM_COUNTS[0]}",
                1,
                1,
                create_message(sent),
            )
            link.send(messages.encode_envelope(envelope))
            sent += 1

    return send_due, link


def create_update(number: int) -> messages.AccountUpdate:
    """Creates an update of the accounts of ten teams."""
    entries = tuple(
        messages.AccountEntry(
            f"team-{index}",
            f"absent-upstream-{number % ABSENT_VM_COUNTS[0]}/1",
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
    create_message,
) -> probe.Measure:
    """Measures the processor time per received message, fitted over rates."""
    points = []
    for rate in MESSAGE_RATES:
        send_due, link = create_sender(node, rate, create_message)
        usage = measure_process(node, sink, send_due)
        link.close()
        points.append((float(rate), usage.cpu))
    return probe.fit_slope(key, what, "us", points, 1e6)


def measure_idle(
    fleet: fleet_module.Fleet, node: fleet_module.Node, sink: Sink
) -> list[probe.Measure]:
    """Measures a process that only sends heartbeats."""
    usage = measure_process(node, sink, seconds=IDLE_SECONDS)
    role = node.role if node.role == "router" else "sidecar"
    conditions = f"over {IDLE_SECONDS:g} s, one router and one sidecar"
    mib = 1 << 20
    lines = (
        ("cpu", "processor time while idle", usage.cpu * 100, "% of a core"),
        (
            "resident",
            "resident memory while idle",
            usage.resident / mib,
            "MiB",
        ),
        ("private", "of it shared with none", usage.private / mib, "MiB"),
        ("threads", "threads", usage.threads, ""),
    )
    return [
        probe.Measure(
            f"{role}-idle-{key}", f"{role}: {what}", value, unit, conditions
        )
        for key, what, value, unit in lines
    ]


def measure_links(
    fleet: fleet_module.Fleet, node: fleet_module.Node, sink: Sink, peer: str
) -> list[probe.Measure]:
    """Measures messages, processor time and memory per listed peer."""
    role = node.role if node.role == "router" else "sidecar"
    message_points, cpu_points, memory_points = [], [], []
    for count in ABSENT_VM_COUNTS:
        publish_absent_vms(fleet, sink, peer, count)
        time.sleep(SETTLE_SECONDS)
        usage = measure_process(node, sink)
        message_points.append((count, usage.messages))
        cpu_points.append((usage.messages, usage.cpu))
        memory_points.append((count, float(usage.private)))
    name = "router" if role == "sidecar" else "sidecar"
    return [
        probe.fit_slope(
            f"{role}-peer-messages",
            f"{role}: messages sent per listed {name}, idle",
            "1/s",
            message_points,
        ),
        probe.fit_slope(
            f"{role}-send-cpu", f"{role}: a message sent", "us", cpu_points, 1e6
        ),
        probe.fit_slope(
            f"{role}-peer-memory",
            f"{role}: private memory per listed {name}",
            "bytes",
            memory_points,
        ),
        probe.Measure(
            f"{role}-message-size",
            f"{role}: mean size of a message sent while idle",
            usage.size,
            "bytes",
            f"at {ABSENT_VM_COUNTS[-1]} listed",
        ),
    ]


def measure_texts(
    fleet: fleet_module.Fleet, node: fleet_module.Node
) -> list[probe.Measure]:
    """Measures processor time and memory per team of an adopted text."""
    cpu_points, memory_points = [], []
    for count in TEAM_COUNTS:
        fleet_module.publish_text(fleet, capacity_state.build_text(count))
        before = probe.read_cpu(node.process.pid)
        fleet_module.wait_until(
            lambda: (
                fleet_module.call(node.data, "/status")["revision"]
                == fleet.revision
            ),
            "the text in force",
        )
        cpu_points.append((count, probe.read_cpu(node.process.pid) - before))
        memory_points.append(
            (count, float(probe.read_private(node.process.pid)))
        )
    role = node.role if node.role == "router" else "sidecar"
    return [
        probe.fit_slope(
            f"{role}-adopt-cpu",
            f"{role}: a text taken into force, per team",
            "us",
            cpu_points,
            1e6,
        ),
        probe.fit_slope(
            f"{role}-adopt-memory",
            f"{role}: private memory per team of the text",
            "bytes",
            memory_points,
        ),
    ]


def measure() -> list[probe.Measure]:
    """Measures idle processes, links, messages and texts."""
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
    publish_absent_vms(fleet, sink, "upstream", ABSENT_VM_COUNTS[0])
    time.sleep(SETTLE_SECONDS)
    heartbeat = messages.Heartbeat()
    measures += [
        measure_received(
            fleet,
            router,
            sink,
            "router-heartbeat-cpu",
            "router: a heartbeat received",
            lambda _: heartbeat,
        ),
        measure_received(
            fleet,
            sidecar,
            sink,
            "sidecar-heartbeat-cpu",
            "sidecar: a heartbeat received",
            lambda _: heartbeat,
        ),
        measure_received(
            fleet,
            sidecar,
            sink,
            "sidecar-update-cpu",
            "sidecar: an update of ten accounts received",
            create_update,
        ),
    ]
    return measures + measure_texts(fleet, router)


def main() -> None:
    """Prints all measures."""
    for line in [*measure(), *capacity_state.measure()]:
        print(f"{line.key}: {line.value:.4g} {line.unit} ({line.points})")


if __name__ == "__main__":
    main()
