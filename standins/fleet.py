"""Starts a fleet and the fakes around it as processes on loopback.

The demo and the tests on real processes use it. Control links pass through a
relay, which counts their bytes and can hold them back.
"""

import contextlib
import dataclasses
import hashlib
import json
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request

_PORT_RANGE = range(10_000, 32_000)
"""Ports that the processes of fleets listen on."""

_BLOCK_SIZE = 200
"""Number of consecutive ports that a process reserves at a time."""

START_TIMEOUT = 20.0
"""Seconds within which a started process has to answer."""

STOP_TIMEOUT = 15.0
"""Seconds within which a process has to exit after SIGTERM."""


@dataclasses.dataclass(slots=True)
class UpstreamGroup:
    """Identical upstreams of one service, to be started with a fleet.

    Attributes:
        service: Name of the service.
        count: Number of upstreams.
        module: Module that is run as the fake upstream.
        slots: Number of requests that an upstream runs at the same time.
        arguments: Further command-line arguments of the fake upstream.
    """

    service: str
    count: int
    module: str
    slots: int
    arguments: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True)
class Node:
    """A VM of the fleet with its processes.

    Attributes:
        name: Name of the VM.
        role: `router` or `upstream`.
        service: The upstream's service; empty for a router.
        data: Port of the process's HTTP server.
        control: Port on which the process receives control messages.
        relayed_control: Port of the relay that forwards to `control`.
        relayed_data: Port of the relay that forwards attempts to a sidecar's
            `data`; 0 if routers connect to the sidecar directly.
        upstream: Port of the upstream beside a sidecar; 0 for a router.
        process: The router or sidecar process.
        upstream_process: The upstream's process.
        state: State of the VM in the published list, set by operators.
        platform: Port of the platform that the process reads; 0 for the
            fleet's platform.
        peers: Data addresses of peers in the process's settings.
    """

    name: str
    role: str
    service: str
    data: int
    control: int
    relayed_control: int
    upstream: int = 0
    relayed_data: int = 0
    process: subprocess.Popen | None = None
    upstream_process: subprocess.Popen | None = None
    state: str = "live"
    platform: int = 0
    peers: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True)
class Fleet:
    """A running fleet.

    Attributes:
        folder: Directory of the settings and log files.
        platform: Port of the fake platform.
        relay: Port of the relay's HTTP interface.
        nodes: VMs by name.
        text: Configuration text that was published last.
        revision: Revision of that text.
        vms_revision: Revision of the VM list that was published last.
        platform_settings: Further lines of section `[platform]` in the
            settings of all routers and sidecars.
        shared_processes: Processes of the fakes that belong to no VM.
        extra_settings: Further INI sections for all routers and sidecars.
    """

    folder: pathlib.Path
    platform: int
    relay: int
    nodes: dict[str, Node]
    text: str = ""
    revision: int = 0
    vms_revision: int = 0
    platform_settings: str = ""
    shared_processes: list[subprocess.Popen] = dataclasses.field(
        default_factory=list
    )
    extra_settings: str = ""


class _PortAllocator:
    """Allocates each port once, also across processes of the same machine.

    Without the reservation, two test runs at the same time both found a port
    free before either listened on it, and a process exited with "address in
    use". The first port of a block is kept bound until this process exits,
    and so reserves the block.
    """

    __slots__ = ("_free_ports", "_reserved_sockets")

    def __init__(self):
        self._free_ports: list[int] = []
        self._reserved_sockets: list[socket.socket] = []

    def allocate(self) -> int:
        """Allocates the next free port, in a new block if necessary."""
        while True:
            if not self._free_ports:
                self._reserve_block()
            port = self._free_ports.pop()
            with socket.socket() as probe, contextlib.suppress(OSError):
                probe.bind(("127.0.0.1", port))
                return port

    def _reserve_block(self) -> None:
        blocks = _PORT_RANGE[::_BLOCK_SIZE]
        for first in random.SystemRandom().sample(blocks, len(blocks)):
            reserved_socket = socket.socket()
            try:
                reserved_socket.bind(("127.0.0.1", first))
            except OSError:
                reserved_socket.close()
                continue
            self._reserved_sockets.append(reserved_socket)
            self._free_ports = list(range(first + 1, first + _BLOCK_SIZE))
            return
        raise OSError(f"no free ports in {_PORT_RANGE}")


_port_allocator = _PortAllocator()


def reserve_ports(count: int) -> list[int]:
    """Reserves free ports on loopback.

    The ports are below the kernel's ephemeral range: an outgoing connection
    could otherwise take a port before the process listens on it, and the
    process would exit with "address in use".
    """
    return [_port_allocator.allocate() for _ in range(count)]


def call(port: int, path: str, body: object = None) -> object:
    """Sends an HTTP request to a process on loopback; returns the JSON body.

    The method is PUT if there is a body, else GET.
    """
    request = urllib.request.Request(
        f"http://127.0.0.1:{port}{path}",
        data=None if body is None else json.dumps(body).encode(),
        method="GET" if body is None else "PUT",
        headers={"Content-Type": "application/json"},
    )
    with urllib.request.urlopen(request, timeout=10) as response:
        return json.load(response)


def wait_until(check, what: str, timeout: float = START_TIMEOUT):
    """Calls a function until it returns a true value, and returns that.

    `OSError` and `ValueError` of the function count as a false value.

    Args:
        check: The function.
        what: What is waited for, for the error message.
        timeout: Maximum time in seconds.

    Raises:
        TimeoutError: The function returned no true value in time.
    """
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError, ValueError):
            if value := check():
                return value
        time.sleep(0.02)
    raise TimeoutError(f"waited {timeout} s for {what}")


def make_key(team: str) -> str:
    """Returns the bearer key of a team in tests and the demo."""
    return f"key-of-{team}"


def build_configuration_text(
    teams: dict[str, float], services: str, limits: str = ""
) -> str:
    """Builds an operators' configuration text.

    Args:
        teams: Weights by team.
        services: The text's service sections.
        limits: Lines of section `[limits]`; empty for no such section.
    """
    sections = [
        f"[team {team}]\nweight = {weight}\nkeys_sha256 = "
        f"{hashlib.sha256(make_key(team).encode()).hexdigest()}\n"
        for team, weight in teams.items()
    ]
    limits_section = f"[limits]\n{limits}\n" if limits else ""
    return limits_section + services + "\n" + "\n".join(sections)


def start_fleet(
    folder: pathlib.Path,
    text: str,
    routers: int,
    upstreams: list[UpstreamGroup],
    extra_settings: str = "",
    platform_settings: str = "",
    relays_data: bool = False,
) -> Fleet:
    """Starts a fleet and waits until its routers reach all services.

    Args:
        folder: Directory for the settings and log files.
        text: The operators' configuration text.
        routers: Number of routers.
        upstreams: Upstreams to start, a group for each service.
        extra_settings: Further INI sections for all routers and sidecars.
        platform_settings: Further lines of section `[platform]`.
        relays_data: Whether routers connect to sidecars through the relay, so
            that attempts can be held back.

    Returns:
        The running fleet.
    """
    fleet = _plan_fleet(folder, routers, upstreams, relays_data)
    fleet.extra_settings = extra_settings
    fleet.platform_settings = platform_settings
    try:
        _start_fakes(fleet, upstreams)
        publish_text(fleet, text)
        publish_vms(fleet)
        for node in fleet.nodes.values():
            start_node(fleet, node)
        wait_until_ready(fleet)
    except BaseException:
        kill_fleet(fleet)
        raise
    return fleet


def _plan_fleet(
    folder: pathlib.Path,
    routers: int,
    upstreams: list[UpstreamGroup],
    relays_data: bool,
) -> Fleet:
    vms = [(f"router-{index}", "router", "") for index in range(routers)]
    vms += [
        (f"{group.service}-{index}", "upstream", group.service)
        for group in upstreams
        for index in range(group.count)
    ]
    ports = iter(reserve_ports(2 + 5 * len(vms)))
    fleet = Fleet(folder, next(ports), next(ports), {})
    for name, role, service in vms:
        node = Node(name, role, service, next(ports), next(ports), next(ports))
        upstream_port, relayed_data = next(ports), next(ports)
        if role == "upstream":
            node.upstream = upstream_port
            node.relayed_data = relayed_data if relays_data else 0
        fleet.nodes[name] = node
    return fleet


def _start_fakes(fleet: Fleet, upstreams: list[UpstreamGroup]) -> None:
    routes = [
        f"{node.relayed_control}:{node.control}"
        for node in fleet.nodes.values()
    ]
    routes += [
        f"{node.relayed_data}:{node.data}"
        for node in fleet.nodes.values()
        if node.relayed_data
    ]
    fleet.shared_processes.append(
        _spawn(fleet, "platform", "standins.platform", str(fleet.platform))
    )
    fleet.shared_processes.append(
        _spawn(fleet, "relay", "standins.relay", str(fleet.relay), *routes)
    )
    groups = {group.service: group for group in upstreams}
    for node in fleet.nodes.values():
        if node.role == "upstream":
            start_upstream(fleet, node, groups[node.service])
    wait_until(lambda: call(fleet.platform, "/test/reads"), "the platform")
    wait_until(lambda: call(fleet.relay, "/test/bytes"), "the relay")


def start_platform(fleet: Fleet, name: str) -> int:
    """Starts another fake platform and returns its port."""
    port = reserve_ports(1)[0]
    process = _spawn(fleet, name, "standins.platform", str(port))
    fleet.shared_processes.append(process)
    wait_until(lambda: call(port, "/test/reads"), name)
    return port


def start_upstream(fleet: Fleet, node: Node, group: UpstreamGroup) -> None:
    """Starts the upstream beside a sidecar and waits until it answers."""
    node.upstream_process = _spawn(
        fleet,
        f"{node.name}-upstream",
        group.module,
        str(node.upstream),
        f"--slots={group.slots}",
        *group.arguments,
    )
    wait_until(lambda: call(node.upstream, "/v1/load"), node.name)


def _spawn(
    fleet: Fleet, name: str, module: str, *arguments: str
) -> subprocess.Popen:
    log = (fleet.folder / f"{name}.log").open("ab")
    with log:
        return subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )


def start_node(fleet: Fleet, node: Node) -> None:
    """Writes the settings of a node and starts its router or sidecar."""
    path = fleet.folder / f"{node.name}.ini"
    path.write_text(_build_settings_text(fleet, node))
    program = "router" if node.role == "router" else "sidecar"
    node.process = _spawn(
        fleet, node.name, "sycamorefall.command", program, str(path)
    )


def _build_settings_text(fleet: Fleet, node: Node) -> str:
    upstream = (
        f"[upstream]\nservice = {node.service}\n"
        f"address = 127.0.0.1:{node.upstream}\n"
        if node.role == "upstream"
        else ""
    )
    return (
        f"[vm]\nname = {node.name}\n"
        f"failure_domain = {_compute_failure_domain(node)}\n"
        f"[listen]\ndata = 127.0.0.1:{node.data}\n"
        f"control = 127.0.0.1:{node.control}\n"
        f"[platform]\naddress = 127.0.0.1:{node.platform or fleet.platform}\n"
        f"start_spread = 0.1\n{fleet.platform_settings}\n"
        f"[peers]\naddresses = {','.join(node.peers)}\n"
        f"{upstream}{fleet.extra_settings}"
    )


def _compute_failure_domain(node: Node) -> str:
    index = int(node.name.rpartition("-")[2])
    return f"domain-{index % 4}"


def publish_text(fleet: Fleet, text: str) -> None:
    """Publishes a configuration text as the next revision."""
    fleet.text = text
    fleet.revision += 1
    body = {"revision": fleet.revision, "text": text}
    call(fleet.platform, "/test/config", body)


def list_vms(fleet: Fleet) -> list[dict]:
    """Lists the entries of the VM list that the platform publishes."""
    return [
        {
            "name": node.name,
            "role": node.role,
            "failure_domain": _compute_failure_domain(node),
            "control": f"127.0.0.1:{node.relayed_control}",
            "data": f"127.0.0.1:{node.relayed_data or node.data}",
            "service": node.service,
            "state": node.state,
        }
        for node in fleet.nodes.values()
    ]


def publish_vms(fleet: Fleet) -> None:
    """Publishes the current VM list as the next revision."""
    fleet.vms_revision += 1
    body = {"revision": fleet.vms_revision, "vms": list_vms(fleet)}
    call(fleet.platform, "/test/vms", body)


def wait_until_ready(fleet: Fleet) -> None:
    """Waits until each process answers and each router reaches all services."""
    services = {node.service for node in fleet.nodes.values()} - {""}
    for node in fleet.nodes.values():
        path = "/ready" if node.role == "router" else "/status"
        wait_until(lambda n=node, p=path: call(n.data, p) is not None, path)
        if node.role == "router":
            wait_until(
                lambda n=node: (
                    services <= set(call(n.data, "/status")["services"])
                ),
                f"upstreams at {node.name}",
            )


def stop_process(process: subprocess.Popen | None) -> int | None:
    """Stops a process with SIGTERM; returns its exit status."""
    if process is None:
        return None
    process.send_signal(signal.SIGTERM)
    return process.wait(STOP_TIMEOUT)


def stop_fleet(fleet: Fleet) -> dict[str, int | None]:
    """Stops all nodes with SIGTERM, routers first, and kills the fakes.

    Returns:
        Exit status of each node's process, by node name.
    """
    running = [node for node in fleet.nodes.values() if node.process]
    routers_first = sorted(running, key=lambda node: node.role)
    statuses = {node.name: stop_process(node.process) for node in routers_first}
    kill_fleet(fleet)
    return statuses


def set_gates(
    fleet: Fleet, port: int, forward: bool = True, backward: bool = True
) -> None:
    """Sets which directions of a relayed port forward bytes.

    Args:
        fleet: The fleet.
        port: Port that the relay listens on.
        forward: Whether bytes towards the target are forwarded.
        backward: Whether bytes from the target are forwarded.
    """
    body = {"port": port, "forward": forward, "backward": backward}
    call(fleet.relay, "/test/gate", body)


def kill_fleet(fleet: Fleet) -> None:
    """Kills all processes of the fleet that still run."""
    processes = list(fleet.shared_processes)
    for node in fleet.nodes.values():
        processes += [node.process, node.upstream_process]
    for process in filter(None, processes):
        if process.poll() is None:
            process.kill()
            process.wait()
