"""The processes of a run: routers, upstreams and relays, and faults on them."""

import dataclasses
import os
import pathlib
import random
import signal
import subprocess
import sys
import urllib.request

from soak import callers
from standins import fleet, wire_upstream
from standins import site as site_module

GRACE = 8.0
"""Seconds from SIGTERM to SIGKILL, as the routers are told."""

MAX_MEMORY_MB = 300
"""Resident size above which a router is killed, as their VM would do."""

SPARE_PLACES = 2
"""VMs on which upstreams are started in the course of a run."""

MISSES_OUT = 2
"""Questions in a row without a 200 that take a router out."""

_SETTINGS = f"""
[limits]
max_body_bytes = 8388608
max_header_bytes = 65536
max_connections = 3000
max_descriptors = 4100
reserved_descriptors = 200
max_memory_mb = {MAX_MEMORY_MB}
[bounds]
grace = {GRACE:g}
"""


@dataclasses.dataclass(frozen=True)
class Size:
    """How many processes a run has and how much is sent.

    Attributes:
        routers: Number of routers.
        engines: Number of model engines.
        slots: Slots of each engine.
        plain: Number of upstreams of the plain service.
        callers: Number of callers.
        pause: Mean seconds between two requests of a caller.
    """

    routers: int = 5
    engines: int = 9
    slots: int = 48
    plain: int = 3
    callers: int = 150
    pause: float = 1.0


@dataclasses.dataclass(slots=True)
class Router:
    """A router, over all its processes.

    Attributes:
        name: Name of its VM.
        running: Its present process and ports.
        entry: Port at which callers reach it, by way of a relay.
        misses: Questions in a row whether it is ready that had no 200.
        stopped_at: Times of its SIGTERMs.
        disturbed: Begin and end of each fault from outside on it.
        ended: Exit status, seconds since SIGTERM, and whether it was asked to
            end or killed, for each process that ended.
        max_memory: Largest resident size seen, in megabytes.
    """

    name: str
    running: site_module.Router
    entry: int
    misses: int = MISSES_OUT
    stopped_at: list[float] = dataclasses.field(default_factory=list)
    disturbed: list[tuple[float, float]] = dataclasses.field(
        default_factory=list
    )
    ended: list[tuple[int, float, bool]] = dataclasses.field(
        default_factory=list
    )
    max_memory: float = 0.0
    _stopping: bool = False

    def is_stopping(self) -> bool:
        """Whether its present process was sent a SIGTERM."""
        return self._stopping

    def stop(self, now: float) -> None:
        """Sends a SIGTERM; the first one of a process begins its grace."""
        self.running.process.send_signal(signal.SIGTERM)
        if not self._stopping:
            self._stopping = True
            self.stopped_at.append(now)

    def tend(self, now: float) -> None:
        """Kills it at the end of its grace or for memory; starts it again."""
        process = self.running.process
        status = process.poll()
        if status is None:
            memory = _read_memory(process.pid)
            self.max_memory = max(self.max_memory, memory)
            overdue = self._stopping and now >= self.stopped_at[-1] + GRACE
            if overdue or memory > MAX_MEMORY_MB:
                process.kill()
            return
        since = now - self.stopped_at[-1] if self._stopping else 0.0
        was_killed = any(begin <= now <= end for begin, end in self.disturbed)
        self.ended.append((status, since, self._stopping or was_killed))
        self._stopping, self.misses = False, MISSES_OUT
        environment = os.environ | {
            "SYCAMOREFALL_SETTINGS": str(self.running.settings)
        }
        self.running.process = subprocess.Popen(
            [sys.executable, "-m", "sycamorefall.platform"], env=environment
        )


@dataclasses.dataclass(slots=True, frozen=True)
class LinkEnd:
    """How a router ended a caller's connection, as the relay saw it.

    Attributes:
        passed_on_at: Time at which bytes were last passed on to the router;
            None if no router listened.
        at: Time of the end.
    """

    passed_on_at: float | None
    at: float


def is_odd_end(ended: tuple[int, float, bool]) -> bool:
    """Returns whether a process ended by itself, or not as it was asked to.

    Args:
        ended: See `Router.ended`.
    """
    status, _, was_asked = ended
    return not was_asked or status not in (0, -signal.SIGKILL)


def _read_memory(pid: int) -> float:
    try:
        text = pathlib.Path(f"/proc/{pid}/statm").read_text()
    except OSError:
        return 0.0
    return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


@dataclasses.dataclass(slots=True)
class Place:
    """A VM for upstreams, on which one runs after the other.

    Attributes:
        name: Name of the VM.
        service: Service of its upstreams.
        target: Port on which they listen.
        link: Port at which routers reach them, by way of a relay.
        upstream: Name of the one that runs; empty if none does.
        count: Number of upstreams that ran there.
        changing: Whether a change of its upstream is in progress.
    """

    name: str
    service: str
    target: int
    link: int
    upstream: str = ""
    count: int = 0
    changing: bool = False


class Fleet:
    """Routers, upstreams and relays of a run, as a context manager.

    Attributes:
        site: The fake store and the routers' settings.
        routers: The routers.
        upstreams: Process of each upstream by name, also of those that ended.
        places: The VMs of upstreams; those at the end are spare.
        links: Relayed port of each upstream by name.
    """

    def __init__(self, folder: pathlib.Path, size: Size, kinds, seed: int):
        self.folder = folder
        self.size = size
        self.kinds = kinds
        self.random = random.Random(seed)
        self.site = site_module.Site(folder)
        self.routers: list[Router] = []
        self.upstreams: dict[str, subprocess.Popen] = {}
        self.links: dict[str, int] = {}
        self.places: list[Place] = []
        self.version = 1
        self._relays: list[subprocess.Popen] = []

    def __enter__(self) -> "Fleet":
        self.site.__enter__()
        self.put_configuration()
        self._start_upstreams()
        self._start_routers()
        return self

    def __exit__(self, *_) -> None:
        self.site.__exit__()
        for process in (*self.upstreams.values(), *self._relays):
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()

    def put_configuration(self) -> None:
        """Writes the next version of the configuration.

        Each version has one more route, which nobody uses.
        """
        self.version += 1
        names = [*self.kinds, *(f"new{n}" for n in range(self.version % 30))]
        routes = [self._build_route(name) for name in names]
        value = site_module.build_configuration(
            self.version, routes, {"mill": ["k-mill"], "trader": ["k-trader"]}
        )
        value["Services"][0]["Engine"]["Slots"] = self.size.slots
        value["Services"][0]["MaxConnections"] = 4 * self.size.slots
        self.site.store.put("op/config", value)

    def _build_route(self, name: str) -> dict:
        kind: callers.Kind | None = self.kinds.get(name)
        if kind is None:
            return site_module.build_route(name, "safe", "ledger")
        engine = kind.events is not None
        return site_module.build_route(
            name,
            "streaming" if engine else "safe" if kind.repeatable else "unsafe",
            "engine" if engine else "ledger",
            TimeoutMs=round(1000 * kind.time_left),
            StreamResume=engine and kind.repeatable,
            MaxAttempts=2 if kind.repeatable else 1,
            Public=not engine,
        )

    def _start_upstreams(self) -> None:
        names = {f"e{n}": "engine" for n in range(self.size.engines)}
        names |= {f"l{n}": "ledger" for n in range(self.size.plain)}
        names |= {f"s{n}": "engine" for n in range(SPARE_PLACES)}
        targets = fleet.reserve_ports(len(names))
        ports = fleet.reserve_ports(len(names))
        self.places = [
            Place(name, service, target, port)
            for (name, service), target, port in zip(
                names.items(), targets, ports, strict=True
            )
        ]
        for place in self.places[:-SPARE_PLACES]:
            self.start_upstream(place)
            self.list_upstream(place)
        self._start_relay(ports, targets)

    def start_upstream(self, place: Place, version: str = "v1") -> None:
        """Starts an upstream on a VM; it isn't listed yet."""
        place.count += 1
        name = f"{place.name}i{place.count}"
        delay = "0.05" if place.service == "ledger" else "0.1"
        with open(self.folder / f"{name}.runs", "w") as runs:
            self.upstreams[name] = subprocess.Popen(
                [sys.executable, "-m", "soak.upstream", name, str(place.target)]
                + ["--begin-delay", delay, "--version", version],
                stdin=subprocess.PIPE,
                stdout=runs,
            )
        self.links[name] = place.link
        self.site.upstreams[name] = wire_upstream.Upstream(
            name, place.link, version
        )
        place.upstream = name

    def list_upstream(self, place: Place, state: str = "ready") -> None:
        """Writes the entry of a VM's upstream."""
        slots = self.size.slots if place.service == "engine" else 6
        self.site.register_upstream(
            place.upstream, place.service, slots, state, born=place.count
        )

    def unlist_upstream(self, name: str) -> None:
        """Removes the entry of an upstream."""
        self.site.store.delete(f"servers/{name}")

    def count_running(self, name: str) -> int:
        """Counts the requests that an upstream works on."""
        lines = (self.folder / f"{name}.runs").read_text().splitlines()
        return sum(
            1 if line.split()[1] == "begun" else -1
            for line in lines
            if len(line.split()) == 3
        )

    def _start_routers(self) -> None:
        entries = fleet.reserve_ports(self.size.routers)
        for number, entry in enumerate(entries):
            seeds = ", ".join(
                f"127.0.0.1:{one.running.control}" for one in self.routers[:3]
            )
            running = self.site.add_router(
                f"front-{number}",
                False,
                _SETTINGS + f"[peers]\naddresses = {seeds}\n",
            )
            self.routers.append(Router(f"front-{number}", running, entry))
        self._start_relay(entries, [one.running.data for one in self.routers])

    def _start_relay(self, ports: list[int], targets: list[int]) -> None:
        pairs = [f"{a}:{b}" for a, b in zip(ports, targets, strict=True)]
        name = f"relay-{len(self._relays)}.ends"
        with open(self.folder / name, "w") as ends:
            self._relays.append(
                subprocess.Popen(
                    [sys.executable, "-m", "soak.relay", *pairs],
                    stdin=subprocess.PIPE,
                    stdout=ends,
                )
            )

    def command_upstream_links(self, line: str) -> None:
        """Sends a command to the relay between routers and upstreams."""
        self._relays[0].stdin.write(line.encode() + b"\n")
        self._relays[0].stdin.flush()

    def command_entries(self, line: str) -> None:
        """Sends a command to the relay between callers and routers."""
        self._relays[1].stdin.write(line.encode() + b"\n")
        self._relays[1].stdin.flush()

    def check_ready(self) -> None:
        """Asks each router whether it is ready, as the balancer does."""
        for router in self.routers:
            url = f"http://127.0.0.1:{router.running.operators}/ready"
            try:
                with urllib.request.urlopen(url, timeout=0.5) as response:
                    ready = response.status == 200
            except OSError:
                ready = False
            router.misses = 0 if ready else router.misses + 1

    def choose_router(self, choice: random.Random) -> tuple[str, int] | None:
        """Chooses the router of a new connection, as the balancer does."""
        ready = [one for one in self.routers if one.misses < MISSES_OUT]
        if 2 * len(ready) < len(self.routers):
            ready = self.routers
        router = choice.choice(ready)
        return router.name, router.entry

    def read_ends(self) -> dict[int, list[LinkEnd]]:
        """Reads how routers ended callers' connections, by their port."""
        ends: dict[int, list[LinkEnd]] = {}
        lines = (self.folder / "relay-1.ends").read_text().splitlines()
        for kind, port, *times in map(str.split, lines):
            passed_on = float(times[0]) if kind == "closed" else None
            ends.setdefault(int(port), []).append(
                LinkEnd(passed_on, float(times[-1]))
            )
        return ends

    def read_runs(self) -> dict[str, list[tuple[str, str, float]]]:
        """Reads what upstreams ran: upstream, change and time, by request."""
        runs: dict[str, list[tuple[str, str, float]]] = {}
        for name in self.upstreams:
            for line in (self.folder / f"{name}.runs").read_text().splitlines():
                request, change, at = line.split()
                runs.setdefault(request, []).append((name, change, float(at)))
        return runs
