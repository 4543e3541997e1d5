"""Starts a whole fleet with its surroundings as processes on loopback.

The demo and the tests on real processes use it. Control links pass through a
relay, which counts their bytes and can cut them.
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

_PORTS = range(10_000, 32_000)
"""Ports that fleets listen at."""

_BLOCK = 200
"""Ports that a process reserves at once."""

START_TIMEOUT = 20.0
"""Seconds that a process may take until it answers."""

STOP_TIMEOUT = 15.0
"""Seconds that a process may take to stop gracefully."""


@dataclasses.dataclass(slots=True)
class UpstreamGroup:
    """Upstreams of one service that the fleet is to have.

    Attributes:
        service: The service.
        count: How many upstreams.
        module: Stand-in module that plays them.
        slots: Requests that one runs at a time.
        arguments: Further arguments of the stand-in.
    """

    service: str
    count: int
    module: str
    slots: int
    arguments: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True)
class Node:
    """One VM of the fleet with its process.

    Attributes:
        name: The VM.
        role: `router` or `upstream`.
        service: The upstream's service; empty for a router.
        data: Port of its HTTP server.
        control: Port of its control messages.
        relayed_control: Port at which the relay passes them on.
        relayed_data: Port at which the relay passes on hand-outs to a
            sidecar; 0 if they don't pass it.
        upstream: Port of the upstream beside a sidecar; 0 for a router.
        process: The router or sidecar process.
        upstream_process: The upstream's process.
        state: The operators' mark.
        platform: Port of the platform it reads; 0 for the fleet's.
        peers: Data addresses that its settings name.
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
        folder: Where settings and logs lie.
        platform: Port of the platform stand-in.
        relay: Port of the relay's interface.
        nodes: VMs by name.
        text: The operators' text last published.
        revision: Its revision.
        vms_revision: Revision of the VM list last published.
        platform_settings: Further lines of section `[platform]`.
        shared_processes: Processes of the stand-ins that belong to no VM.
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


class _Ports:
    """Ports of this process: each is given out once, and to nobody else.

    Guards against two fleets that are started at once, by test runs side by
    side: each found the same port free before the other listened at it, and
    a process ended with "address in use". A port that is bound for as long
    as this process lives reserves the block that it begins.
    """

    __slots__ = ("_left", "_locks")

    def __init__(self):
        self._left: list[int] = []
        self._locks: list[socket.socket] = []

    def take(self) -> int:
        """Takes the next free port."""
        while True:
            if not self._left:
                self._reserve()
            port = self._left.pop()
            with socket.socket() as probe, contextlib.suppress(OSError):
                probe.bind(("127.0.0.1", port))
                return port

    def _reserve(self) -> None:
        blocks = _PORTS[::_BLOCK]
        for first in random.SystemRandom().sample(blocks, len(blocks)):
            lock = socket.socket()
            try:
                lock.bind(("127.0.0.1", first))
            except OSError:
                lock.close()
                continue
            self._locks.append(lock)
            self._left = list(range(first + 1, first + _BLOCK))
            return
        raise OSError(f"no free ports in {_PORTS}")


_ports = _Ports()


def reserve_ports(count: int) -> list[int]:
    """Finds free ports on loopback.

    They lie below those that the system gives to outgoing connections: such
    a connection could take a port between its being found and its being
    listened at, and the process would end with "address in use".
    """
    return [_ports.take() for _ in range(count)]


def call(port: int, path: str, body: object = None) -> object:
    """Calls a stand-in or a process: GET, or PUT if there is a body."""
    request = urllib.request.Request(
        f"http://127.0.0.1:{port}{path}",
        data=None if body is None else json.dumps(body).encode(),
        method="GET" if body is None else "PUT",
        headers={"Content-Type": "application/json"},
    )
    with urllib.request.urlopen(request, timeout=10) as answer:
        return json.load(answer)


def wait_until(check, what: str, timeout: float = START_TIMEOUT):
    """Waits until a check gives something true, and returns that.

    Raises:
        TimeoutError: It did not in time.
    """
    until = time.monotonic() + timeout
    while time.monotonic() < until:
        with contextlib.suppress(OSError, ValueError):
            if found := check():
                return found
        time.sleep(0.02)
    raise TimeoutError(f"waited {timeout} s for {what}")


def make_key(team: str) -> str:
    """Makes the bearer key that a team has in tests."""
    return f"key-of-{team}"


def write_text(teams: dict[str, float], services: str, limits: str = "") -> str:
    """Writes an operators' text with teams and their weights."""
    sections = [
        f"[team {team}]\nweight = {weight}\nkeys_sha256 = "
        f"{hashlib.sha256(make_key(team).encode()).hexdigest()}\n"
        for team, weight in teams.items()
    ]
    head = f"[limits]\n{limits}\n" if limits else ""
    return head + services + "\n" + "\n".join(sections)


def start_fleet(
    folder: pathlib.Path,
    text: str,
    routers: int,
    upstreams: list[UpstreamGroup],
    extra_settings: str = "",
    platform_settings: str = "",
    relays_data: bool = False,
) -> Fleet:
    """Starts a fleet and waits until its routers are ready to serve.

    Args:
        folder: Where settings and logs are written.
        text: The operators' text.
        routers: Number of routers.
        upstreams: Upstreams by service.
        extra_settings: Further INI sections for all routers and sidecars.
        platform_settings: Further lines of section `[platform]`.
        relays_data: Whether hand-outs pass the relay, so that it can hold
            them back.

    Returns:
        The running fleet.
    """
    fleet = _plan_fleet(folder, routers, upstreams, relays_data)
    fleet.extra_settings = extra_settings
    fleet.platform_settings = platform_settings
    try:
        _start_surroundings(fleet, upstreams)
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
    named = [(f"router-{index}", "router", "") for index in range(routers)]
    named += [
        (f"{group.service}-{index}", "upstream", group.service)
        for group in upstreams
        for index in range(group.count)
    ]
    ports = iter(reserve_ports(2 + 5 * len(named)))
    fleet = Fleet(folder, next(ports), next(ports), {})
    for name, role, service in named:
        node = Node(name, role, service, next(ports), next(ports), next(ports))
        spare, relayed_data = next(ports), next(ports)
        if role == "upstream":
            node.upstream = spare
            node.relayed_data = relayed_data if relays_data else 0
        fleet.nodes[name] = node
    return fleet


def _start_surroundings(fleet: Fleet, upstreams: list[UpstreamGroup]) -> None:
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
    """Starts one more platform beside the fleet's; returns its port."""
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
    """Starts a router or sidecar process."""
    path = fleet.folder / f"{node.name}.ini"
    path.write_text(_write_settings(fleet, node))
    program = "router" if node.role == "router" else "sidecar"
    node.process = _spawn(
        fleet, node.name, "sycamorefall.command", program, str(path)
    )


def _write_settings(fleet: Fleet, node: Node) -> str:
    upstream = (
        f"[upstream]\nservice = {node.service}\n"
        f"address = 127.0.0.1:{node.upstream}\n"
        if node.role == "upstream"
        else ""
    )
    return (
        f"[vm]\nname = {node.name}\n"
        f"failure_domain = {_choose_domain(node)}\n"
        f"[listen]\ndata = 127.0.0.1:{node.data}\n"
        f"control = 127.0.0.1:{node.control}\n"
        f"[platform]\naddress = 127.0.0.1:{node.platform or fleet.platform}\n"
        f"start_spread = 0.1\n{fleet.platform_settings}\n"
        f"[peers]\naddresses = {','.join(node.peers)}\n"
        f"{upstream}{fleet.extra_settings}"
    )


def _choose_domain(node: Node) -> str:
    index = int(node.name.rpartition("-")[2])
    return f"domain-{index % 4}"


def publish_text(fleet: Fleet, text: str) -> None:
    """Publishes an operators' text as the next revision."""
    fleet.text = text
    fleet.revision += 1
    body = {"revision": fleet.revision, "text": text}
    call(fleet.platform, "/test/config", body)


def list_vms(fleet: Fleet) -> list[dict]:
    """Lists the VMs as the platform publishes them."""
    return [
        {
            "name": node.name,
            "role": node.role,
            "failure_domain": _choose_domain(node),
            "control": f"127.0.0.1:{node.relayed_control}",
            "data": f"127.0.0.1:{node.relayed_data or node.data}",
            "service": node.service,
            "state": node.state,
        }
        for node in fleet.nodes.values()
    ]


def publish_vms(fleet: Fleet) -> None:
    """Publishes the list of VMs as the next revision."""
    fleet.vms_revision += 1
    body = {"revision": fleet.vms_revision, "vms": list_vms(fleet)}
    call(fleet.platform, "/test/vms", body)


def wait_until_ready(fleet: Fleet) -> None:
    """Waits until every router reaches an upstream of every service."""
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
    """Stops a process gracefully; returns its exit status."""
    if process is None:
        return None
    process.send_signal(signal.SIGTERM)
    return process.wait(STOP_TIMEOUT)


def stop_fleet(fleet: Fleet) -> dict[str, int | None]:
    """Stops all gracefully; returns the exit status of each node."""
    running = [node for node in fleet.nodes.values() if node.process]
    routers_first = sorted(running, key=lambda node: node.role)
    statuses = {node.name: stop_process(node.process) for node in routers_first}
    kill_fleet(fleet)
    return statuses


def set_gates(
    fleet: Fleet, port: int, forward: bool = True, backward: bool = True
) -> None:
    """Holds back or lets pass the bytes of a relayed port, by direction."""
    body = {"port": port, "forward": forward, "backward": backward}
    call(fleet.relay, "/test/gate", body)


def kill_fleet(fleet: Fleet) -> None:
    """Ends whatever still runs."""
    processes = list(fleet.shared_processes)
    for node in fleet.nodes.values():
        processes += [node.process, node.upstream_process]
    for process in filter(None, processes):
        if process.poll() is None:
            process.kill()
            process.wait()
