"""A small deployment on loopback, of stand-ins and real router processes.

The stand-ins use the standard library only. Store and workers run on a thread
of this process and speak what the users' pages describe. Each router is a
process of its own, started with the command of the deploy file.
"""

__all__ = [
    "Answer",
    "Router",
    "Site",
    "Worker",
    "build_entry",
    "build_route",
    "create_attempt_id",
    "exit_with_verdict",
    "is_troubled",
    "send_request",
]

import asyncio
import base64
from collections.abc import Callable
import contextlib
import dataclasses
import http.client
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse
import urllib.request

from lib2 import link as link_module

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
DEPLOY_FILE = REPOSITORY / "deploy" / "system.toml"
DEPENDENCIES = REPOSITORY / "target" / "deps"

HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit statuses of a case: rule held, rule broken, case could not run."""

READY_TIMEOUT = 20.0
"""Seconds that a router may take until it reports that it is ready."""

HOST = "ficu95.example"
KEY = "asnmgkcuyj8pjbvk9m68"
TENANTS = {"hule930": KEY, "tavo114": "k7b2ex5wa5xwyhks8nbk"}

_CONNECTION_ENDS = (
    ConnectionError,
    asyncio.IncompleteReadError,
    asyncio.CancelledError,
)

_request_ids = itertools.count(1)

SETTINGS = """\
[vm]
name = {name}
failure_domain = {zone}
failure_domains = zone-a,zone-b
cores = 1
cpu_share = 0.817

[listen]
data = 127.0.0.1:{data}
operators = 127.0.0.1:{ready}
control = 127.0.0.1:{control}

[platform]
address = 127.0.0.1:{store}

[peers]
addresses = {seeds}

[bounds]
revocation = 5000e-3
retry_ratio = 0.2
retry_extra = 56
retry_window = 10
grace = 8
heartbeat = 1200e-3

[limits]
max_body_bytes = 8388608
max_header_bytes = 65536
max_connections = 3000
max_descriptors = 4100
reserved_descriptors = 200
max_memory_mb = 300

[log]
destination = stdout
"""
"""`deploy/router.ini`, filled in as for a machine of a small site."""


def is_troubled() -> bool:
    """Returns whether the case is to bring its disruption about."""
    return os.environ.get("TROUBLE", "1") != "0"


def exit_with_verdict(run_case) -> None:
    """Runs a case in a site of its own and exits with its verdict.

    Args:
        run_case: Called with the site; returns whether the rule was broken.
    """
    if not DEPENDENCIES.is_dir():
        print("target/deps is missing: build the deploy file first")
        sys.exit(NOT_RUN)
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    try:
        with Site(folder / "record.txt") as site:
            broken = run_case(site)
            site.note("verdict", "rule broken" if broken else "rule held")
    except Exception as error:
        print(f"the case could not run: {error!r}")
        sys.exit(NOT_RUN)
    print("rule broken" if broken else "rule held")
    sys.exit(BROKEN if broken else HELD)


def build_route(
    name: str, kind: str, service: str, **overrides: object
) -> dict[str, object]:
    """Builds the store's value for a route with path prefix `/NAME/`."""
    return {
        "Name": f"r-{name}",
        "Host": HOST,
        "Prefix": f"/{name}/",
        "Kind": kind,
        "TimeoutMs": 3000,
        "TargetLatencyMs": 500,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 1,
        "Public": False,
    } | overrides


def build_entry(
    service: str,
    address: str,
    slots: int,
    weights: int = 0,
    zone: str = "zone-a",
) -> dict[str, object]:
    """Builds the store's value for the entry of a worker that is ready."""
    return {
        "Service": service,
        "Address": address,
        "Zone": zone,
        "Version": "v1",
        "Slots": slots,
        "State": "ready",
        "ColdRemainingMs": 0,
        "Stage": "both",
        "Models": [{"Name": "m", "Version": weights, "Adapters": []}],
        "Sequence": 1,
    }


def _build_configuration(version: int, routes: list[dict]) -> dict:
    engine = {
        "Slots": 32,
        "KvCapacityTokens": 646398,
        "KvTokenBytes": 18432,
        "LinkMbps": 370000.0,
        "Models": [{"Name": "m"}],
    }
    return {
        "Version": version,
        "Routes": routes,
        "Services": [
            *(
                {"Name": name, "HealthPath": "/health", "Engine": engine}
                | {"MaxConnections": 240, "Protocol": "h1", "Tls": False}
                for name in ("engines", "engines-b")
            ),
            {"Name": "ledger", "HealthPath": "/health", "Protocol": "h1"}
            | {"MaxConnections": 110, "Tls": False},
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
            "TokensPerS": 250000,
        },
        "Tenants": [
            {"Name": name, "ApiKeys": [key], "Priority": 1}
            for name, key in TENANTS.items()
        ],
    }


class _Store:
    """The platform's store: items with revisions, read over HTTP."""

    def __init__(self):
        self.items: dict[str, tuple[str, int, int]] = {}
        self.revision = 1

    def put(self, key: str, value: dict) -> None:
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        created = self.items.get(key, ("", 0, self.revision))[2]
        self.items[key] = (text, self.revision, created)

    def delete(self, key: str) -> None:
        self.revision += 1
        self.items.pop(key, None)

    def respond(self, target: str) -> tuple[int, dict]:
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        if parts.path == "/kv-key":
            key = query.get("Key", "")
            if key not in self.items:
                return 404, {}
            found = self._describe(key) | {"CurrentRev": self.revision}
            return 200, found
        if parts.path != "/kv-range":
            return 404, {}
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query.get("Prefix", ""))
            and key > query.get("After", "")
        )
        page = [self._describe(key) for key in keys[:500]]
        return 200, {
            "Items": page,
            "MorePages": len(keys) > len(page),
            "CurrentRev": self.revision,
        }

    def _describe(self, key: str) -> dict:
        value, revision, created = self.items[key]
        return {
            "Key": key,
            "Value": value,
            "Revision": revision,
            "CreateRev": created,
            "Lease": 0,
        }


@dataclasses.dataclass
class Worker:
    """A worker: a model engine, or an instance of a plain service.

    Attributes:
        name: Its id.
        service: Its service.
        weights: Version of its weights; 0 for a plain service.
        note: Writes a line of the record.
        address: IP and port at which it listens.
        runs: Id, method, path and tenant of each request that it ran.
        work: Seconds that a request of a plain service takes.
        events: Events of a stream, one each 20 ms.
        zone: Its zone.
        on_run: Called with the tenant of each request that it runs.
        misdirected: Ids of the requests that it answered with 421.
        server: Its listening socket.
        writers: Its open connections.
    """

    name: str
    service: str
    weights: int
    note: Callable[[str, str], None]
    address: str = ""
    work: float = 0.02
    events: int = 5
    zone: str = "zone-a"
    runs: list[tuple[str, str, str, str]] = dataclasses.field(
        default_factory=list
    )
    misdirected: list[str] = dataclasses.field(default_factory=list)
    on_run: Callable[[str], None] = lambda tenant: None
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = dataclasses.field(default_factory=set)

    def crash(self) -> None:
        """Closes all sockets, as the kernel does for a crashed process."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers the requests of a connection, one after the other."""
        self.writers.add(writer)
        with contextlib.suppress(*_CONNECTION_ENDS):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, *lines = head.decode("latin-1").split("\r\n")
                headers = {
                    name.strip().lower(): value.strip()
                    for name, _, value in (
                        line.partition(":") for line in lines if line
                    )
                }
                size = int(headers.get("content-length", "0"))
                await reader.readexactly(size)
                method, path, _ = first.split(" ")
                await self._answer(method, path, headers, writer)
        self.writers.discard(writer)
        writer.close()

    async def _answer(self, method, path, headers, writer) -> None:
        attempt = headers.get("attempt-id", "")
        expected = headers.get("expect-instance", self.name)
        version = headers.get("expect-version", str(self.weights))
        if expected != self.name or (
            self.weights and version != str(self.weights)
        ):
            self.misdirected.append(attempt)
            self.note("worker", f"{self.name} 421 {attempt}")
            writer.write(
                f"HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {attempt}"
                f"\r\nInstance-Id: {self.name}\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return
        tenant = headers.get("tenant", "")
        self.on_run(tenant)
        self.runs.append((attempt, method, path, tenant))
        self.note("worker", f"{self.name} runs {attempt} {method} {path}")
        stamp = (
            f"Attempt-Id: {attempt}\r\nServer-Stamp: 3e1b.{self.name}\r\n"
            "Keep-Alive: timeout=5\r\n"
        )
        if not self.weights:
            await asyncio.sleep(self.work)
            body = f"{self.name} {attempt}".encode()
            length = f"Content-Length: {len(body)}\r\n"
            head = f"HTTP/1.1 200 OK\r\n{stamp}{length}\r\n"
            writer.write(head.encode() + body)
            return
        writer.write(
            f"HTTP/1.1 200 OK\r\n{stamp}Weight-Versions: {self.weights}\r\n"
            "Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        first = int(headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(0.02)
            event = f"id: {number}\ndata: {attempt}/{number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


@dataclasses.dataclass
class Router:
    """A machine with a router process.

    Attributes:
        name: Name of the machine.
        settings: Path of its settings file.
        data: Port for clients.
        ready: Port of the readiness page.
        control: Port for the other routers.
        process: Its process; None before the first start.
        log: File that gets the output of its processes.
    """

    name: str
    settings: pathlib.Path
    data: int
    ready: int
    control: int
    log: pathlib.Path
    process: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        deploy = tomllib.loads(DEPLOY_FILE.read_text())
        command = deploy["roles"]["router"]["run"].split()
        inherited = ("PATH", "HOME", "LANG")
        environment = {
            name: os.environ[name] for name in inherited if name in os.environ
        }
        environment |= {
            "SYCAMOREFALL_SETTINGS": str(self.settings),
            "PYTHONPATH": str(DEPENDENCIES),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                command,
                cwd=REPOSITORY,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def is_ready(self) -> bool:
        """Returns whether the readiness page answers 200."""
        url = f"http://127.0.0.1:{self.ready}/ready"
        try:
            with urllib.request.urlopen(url, timeout=1) as response:
                return response.status == 200
        except OSError:
            return False

    def wait_until_ready(self) -> None:
        """Waits until the readiness page answers 200.

        Raises:
            TimeoutError: It didn't in time.
        """
        until = time.monotonic() + READY_TIMEOUT
        while not self.is_ready():
            if time.monotonic() > until:
                raise TimeoutError(f"{self.name} doesn't get ready")
            time.sleep(0.05)

    def end(self) -> None:
        """Ends the process, if it runs."""
        if self.process is None:
            return
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()


@dataclasses.dataclass(frozen=True)
class Answer:
    """What a client got: its request's id, and the status, headers and body.

    The status is 0 if the connection ended without a complete answer.
    """

    attempt: str
    status: int
    headers: dict[str, str]
    body: bytes


def create_attempt_id() -> str:
    """Creates the id of a client attempt."""
    return f"{next(_request_ids):016x}"


def send_request(
    router: Router,
    target: str,
    method: str = "POST",
    is_prompt: bool = False,
    key: str | None = KEY,
    time_left_ms: int = 3000,
    extra: dict[str, str] | None = None,
    body: bytes = b"",
) -> Answer:
    """Sends a request on a new connection and reads its answer."""
    attempt = create_attempt_id()
    headers = {
        "Host": HOST,
        "Attempt-Id": attempt,
        "Request-Deadline-Ms": str(time_left_ms),
    }
    if key is not None:
        headers["Credential"] = key
    if is_prompt:
        headers["Model"] = "m"
        headers["Token-Usage"] = "1460,80"
        headers["Prompt-Prefix"] = f"5c1e07a2:800,{attempt[-8:]}:660"
    headers |= extra or {}
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}"] if method == "POST" else []
    data = "\r\n".join([*lines, "", ""]).encode("utf-8") + body
    with contextlib.closing(
        socket.create_connection(("127.0.0.1", router.data), timeout=10)
    ) as sock:
        try:
            sock.sendall(data)
            response = http.client.HTTPResponse(sock, method=method)
            response.begin()
            answer = response.read()
        except (OSError, http.client.HTTPException):
            return Answer(attempt, 0, {}, b"")
        found = {name.lower(): value for name, value in response.getheaders()}
        return Answer(attempt, response.status, found, answer)


class Site:
    """Store, workers and routers, as a context manager.

    Attributes:
        on_run: Called with the tenant of each request that a worker runs.
        store: The store.
        workers: The workers that were added.
        routers: The routers that were added.
    """

    def __init__(self, record: pathlib.Path):
        self._record = record.open("w")
        self._record_lock = threading.Lock()
        self._began = time.monotonic()
        self._temporary = tempfile.TemporaryDirectory()
        self._folder = pathlib.Path(self._temporary.name)
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, daemon=True
        )
        self._store_port = 0
        self.on_run: Callable[[str], None] = lambda tenant: None
        self.store = _Store()
        self.workers: list[Worker] = []
        self.routers: list[Router] = []

    def __enter__(self) -> "Site":
        self._thread.start()
        self._store_port = _get_port(self._listen(self._serve_store))
        return self

    def __exit__(self, *_) -> None:
        for router in self.routers:
            router.end()
        if os.environ.get("KEEP_LOGS"):
            for router in self.routers:
                print(f"--- {router.name}\n{router.log.read_text()[-8000:]}")
        self._run(_cancel_tasks())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._temporary.cleanup()
        self._record.close()

    def note(self, kind: str, text: str) -> None:
        """Writes a line of the record."""
        passed = time.monotonic() - self._began
        with self._record_lock:
            self._record.write(f"{passed:8.3f} {kind} {text}\n")
            self._record.flush()

    def record_run(self, tenant: str) -> None:
        """Records that a worker begins to run a request of a tenant."""
        self.on_run(tenant)

    def _run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(
            10
        )

    def _listen(self, serve, port: int = 0) -> asyncio.Server:
        return self._run(asyncio.start_server(serve, "127.0.0.1", port))

    async def _serve_store(self, reader, writer) -> None:
        with contextlib.suppress(*_CONNECTION_ENDS):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode("latin-1")
                await asyncio.sleep(0.004)
                status, fields = self.store.respond(target)
                body = json.dumps(fields).encode()
                writer.write(
                    f"HTTP/1.1 {status} OK\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
        writer.close()

    def configure(self, version: int, routes: list[dict], **changes) -> None:
        """Writes a configuration to the store."""
        configuration = _build_configuration(version, routes) | changes
        self.store.put("op/config", configuration)
        self.note("operator", f"configuration {version} acknowledged")

    def add_worker(
        self,
        name: str,
        service: str,
        weights: int = 0,
        zone: str = "zone-a",
        work: float = 0.02,
        port: int = 0,
    ) -> Worker:
        """Starts a worker and writes its entry to the store."""
        worker = Worker(name, service, weights, self.note, work=work, zone=zone)
        worker.on_run = self.record_run
        worker.server = self._listen(worker.serve, port)
        worker.address = f"127.0.0.1:{_get_port(worker.server)}"
        self.workers.append(worker)
        self.register(worker)
        return worker

    def add_cuttable_worker(
        self, name: str, service: str, weights: int = 0
    ) -> tuple[Worker, link_module.Link]:
        """Starts a worker behind a link, and writes its entry to the store."""
        worker = Worker(name, service, weights, self.note)
        worker.on_run = self.record_run
        worker.server = self._listen(worker.serve)
        link = link_module.Link(_get_port(worker.server))
        worker.address = f"127.0.0.1:{_get_port(self._listen(link.serve))}"
        self.workers.append(worker)
        self.register(worker)
        return worker, link

    def register(self, worker: Worker) -> None:
        """Writes a worker's entry to the store."""
        slots = 32 if worker.weights else 6
        entry = build_entry(
            worker.service, worker.address, slots, worker.weights, worker.zone
        )
        self.store.put(f"servers/{worker.name}", entry)
        self.note("store", f"entry of {worker.name}")

    def expire(self, worker: Worker) -> None:
        """Removes the entry of a worker whose heartbeats are missing."""
        self.store.delete(f"servers/{worker.name}")
        self.note("store", f"entry of {worker.name} has expired")

    def call_soon(self, function) -> None:
        """Calls a function on the thread of the stand-ins."""
        self._loop.call_soon_threadsafe(function)

    def crash_workers(self, workers: list[Worker]) -> None:
        """Crashes workers at the same moment."""

        async def crash() -> None:
            for worker in workers:
                worker.crash()

        self._run(crash())
        for worker in workers:
            self.note("worker", f"{worker.name} crashes")

    def restart_worker(self, worker: Worker, name: str) -> Worker:
        """Starts a crashed worker again, with a new id."""
        self.store.delete(f"servers/{worker.name}")
        port = int(worker.address.rpartition(":")[2])
        self.note("worker", f"{worker.name} starts again as {name}")
        return self.add_worker(
            name,
            worker.service,
            worker.weights,
            worker.zone,
            worker.work,
            port,
        )

    def add_routers(self, count: int) -> list[Router]:
        """Writes the settings of some routers, without starting them."""
        ports = iter(_reserve_ports(3 * count))
        for number in range(1, count + 1):
            name = f"front-{'ab'[number % 2]}-{number}"
            self.routers.append(
                Router(
                    name,
                    self._folder / f"{name}.ini",
                    next(ports),
                    next(ports),
                    next(ports),
                    self._folder / f"{name}.log",
                )
            )
        seeds = ",".join(f"127.0.0.1:{one.control}" for one in self.routers[:3])
        for router in self.routers:
            self.write_settings(router, seeds)
        return self.routers

    def write_settings(self, router: Router, seeds: str) -> None:
        """Writes the settings file of a router."""
        router.settings.write_text(
            SETTINGS.format(
                name=router.name,
                zone=f"zone-{router.name[6]}",
                data=router.data,
                ready=router.ready,
                control=router.control,
                store=self._store_port,
                seeds=seeds,
            )
        )

    def send(self, router: Router, target: str, **options) -> Answer:
        """Sends a request as `send_request` does, and records it."""
        answer = send_request(router, target, **options)
        status = answer.status or "no answer"
        self.note("client", f"{answer.attempt} {target} -> {status}")
        return answer


async def _cancel_tasks() -> None:
    """Ends the connections of the stand-ins."""
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def _get_port(server: asyncio.Server) -> int:
    return server.sockets[0].getsockname()[1]


def _reserve_ports(count: int) -> list[int]:
    """Finds free ports; all are held until the last one is found."""
    with contextlib.ExitStack() as held:
        socks = [held.enter_context(socket.socket()) for _ in range(count)]
        for sock in socks:
            sock.bind(("127.0.0.1", 0))
        return [sock.getsockname()[1] for sock in socks]
