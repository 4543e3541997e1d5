"""A site on loopback: a fake store, fake upstreams and real routers.

The store and the upstreams implement the platform's protocols and run on a
thread of this process; each router is a process of the real program.
Upstreams record every request that they run, so that a test can compare
responses with requests and count runs.
"""

import asyncio
import contextlib
import dataclasses
import http.client
import os
import pathlib
import subprocess
import sys
import threading
import time
import urllib.request

from aiohttp import web

from standins import fleet, wire_store, wire_upstream

START_TIMEOUT = 10.0
"""Seconds that a router may take until it is ready."""


@dataclasses.dataclass
class Router:
    """A router process.

    Attributes:
        process: The process.
        data: Port for callers.
        operators: Port of the operators' pages.
        control: Port for control messages.
        settings: Its settings file.
    """

    process: subprocess.Popen
    data: int
    operators: int
    control: int
    settings: pathlib.Path


class Site:
    """A store, upstreams and routers, as a context manager.

    On exit the routers are killed, and the store and the upstreams stop.

    Attributes:
        folder: Directory of the settings and log files.
        store: The fake store.
        store_port: Port of the store.
        upstreams: Fake upstreams by name.
        routers: Routers that were started.
    """

    def __init__(self, folder: pathlib.Path):
        self.folder = folder
        self.store = wire_store.Store()
        (self.store_port,) = fleet.reserve_ports(1)
        self.upstreams: dict[str, wire_upstream.Upstream] = {}
        self.routers: list[Router] = []
        self._runner: web.AppRunner | None = None
        self._tasks: set[asyncio.Task] = set()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, daemon=True
        )

    def __enter__(self) -> "Site":
        self._thread.start()
        self._run(self._serve_store())
        return self

    def __exit__(self, *_) -> None:
        for router in self.routers:
            if router.process.poll() is None:
                router.process.kill()
            router.process.wait()
        self._run(self._stop_serving())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(
            10
        )

    async def _serve_store(self) -> None:
        application = web.Application()
        application.router.add_get("/{path:.*}", self.store.handle_request)
        runner = web.AppRunner(application, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", self.store_port).start()
        self._runner = runner

    async def _stop_serving(self) -> None:
        await self._runner.cleanup()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def add_upstream(
        self,
        name: str,
        service: str,
        slots: int = 8,
        port: int = 0,
        version: str = "v1",
    ) -> wire_upstream.Upstream:
        """Starts an upstream and writes its entry to the store.

        Args:
            name: Name of the upstream, also its incarnation.
            service: Service that the upstream belongs to.
            slots: Number of slots in the entry.
            port: Port to listen on; 0 for any free port.
            version: Version of its software.
        """
        upstream = wire_upstream.Upstream(name, version=version)

        async def listen():
            upstream.server = await asyncio.start_server(
                upstream.serve, "127.0.0.1", port
            )
            return upstream.server.sockets[0].getsockname()[1]

        upstream.port = self._run(listen())
        self.upstreams[name] = upstream
        self.register_upstream(name, service, slots)
        return upstream

    def restart_after_crash(self, name: str, delay: float) -> None:
        """Makes an upstream start again some seconds after each crash.

        The new process has another name at the same address, as on the
        platform.

        Args:
            name: Name of the upstream.
            delay: Seconds from a crash to the start.
        """
        crashed = self.upstreams[name]

        async def restart() -> None:
            await asyncio.sleep(delay)
            fields = dataclasses.replace(
                crashed,
                name=f"{name}r",
                runs=[],
                refused=[],
                cancelled=[],
                crashed=False,
                _last_responses={},
                _streaming=set(),
            )
            fields.server = await asyncio.start_server(
                fields.serve, "127.0.0.1", fields.port
            )
            self.upstreams[fields.name] = fields
            self.store.delete(f"servers/{name}")
            self.register_upstream(fields.name, "engine")
            self.restart_after_crash(fields.name, delay)

        crashed.on_crash = lambda: self._tasks.add(
            self._loop.create_task(restart())
        )

    def register_upstream(
        self,
        name: str,
        service: str,
        slots: int = 8,
        state: str = "ready",
        born: int = 1,
        zone: str = "a",
        cold_ms: int = 0,
        version: str | None = None,
    ) -> None:
        """Writes an upstream's entry to the store, or replaces it.

        Without `version`, the entry has that of the running upstream.
        """
        if version is None:
            version = self.upstreams[name].version
        self.store.put(
            f"servers/{name}",
            {
                "Service": service,
                "Address": f"127.0.0.1:{self.upstreams[name].port}",
                "Zone": zone,
                "Version": version,
                "Slots": slots,
                "State": state,
                "ColdRemainingMs": cold_ms,
                "Sequence": 1,
                "born": born,
            },
        )

    def add_router(
        self,
        name: str = "front-a-1",
        wait: bool = True,
        extra_settings: str = "",
    ) -> Router:
        """Writes the settings of a router and starts it.

        Args:
            name: Name of the router's VM.
            wait: Whether to wait until the router is ready.
            extra_settings: Further sections of its settings.
        """
        data, operators, control = fleet.reserve_ports(3)
        path = self.folder / f"{name}.ini"
        path.write_text(
            f"[vm]\nname = {name}\nfailure_domain = a\n"
            "failure_domains = a, b\n"
            f"[listen]\ndata = 127.0.0.1:{data}\n"
            f"operators = 127.0.0.1:{operators}\n"
            f"control = 127.0.0.1:{control}\n"
            f"[platform]\naddress = 127.0.0.1:{self.store_port}\n"
            f"[log]\ndestination = {self.folder / name}.log\n{extra_settings}"
        )
        process = subprocess.Popen(
            [sys.executable, "-m", "sycamorefall.platform"],
            env=os.environ | {"SYCAMOREFALL_SETTINGS": str(path)},
        )
        router = Router(process, data, operators, control, path)
        self.routers.append(router)
        if wait:
            wait_until(lambda: is_ready(router), START_TIMEOUT)
        return router


def is_ready(router: Router) -> bool:
    """Checks whether `/ready` of a router has status 200."""
    url = f"http://127.0.0.1:{router.operators}/ready"
    try:
        with urllib.request.urlopen(url, timeout=1) as response:
            return response.status == 200
    except OSError:
        return False


def wait_until(condition, timeout: float = 5.0) -> None:
    """Waits until a function returns a true value.

    Raises:
        TimeoutError: It returned none within `timeout` seconds.
    """
    deadline = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError
        time.sleep(0.02)


def call(
    router: Router, path: str, headers: dict[str, str], body: bytes = b""
) -> tuple[int, dict[str, str], bytes]:
    """Sends a request to a router, as POST if it has a body, else as GET.

    Returns:
        Status, headers with lower-case names, and body of the response.
    """
    connection = http.client.HTTPConnection(
        "127.0.0.1", router.data, timeout=20
    )
    with contextlib.closing(connection):
        connection.request(
            "POST" if body else "GET",
            path,
            body or None,
            {"Host": "site.example"} | headers,
        )
        response = connection.getresponse()
        response_headers = {
            name.lower(): value for name, value in response.getheaders()
        }
        return response.status, response_headers, response.read()


def build_route(
    name: str, kind: str, service: str, **overrides: object
) -> dict:
    """Builds the store's value for a route with path prefix `/NAME/`."""
    return {
        "Name": name,
        "Host": "site.example",
        "Prefix": f"/{name}/",
        "Kind": kind,
        "TimeoutMs": 3000,
        "TargetLatencyMs": 500,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
        "Public": False,
    } | overrides


def build_configuration(
    version: int, routes: list[dict], keys: dict[str, list[str]]
) -> dict:
    """Builds the store's value for a configuration.

    Its services are `engine`, of model engines, and `ledger`, a plain one.

    Args:
        version: Version of the configuration.
        routes: Its routes, from `build_route`.
        keys: API keys by team.
    """
    engine = {
        "Slots": 8,
        "KvCapacityTokens": 500_000,
        "KvTokenBytes": 1000,
        "LinkMbps": 1000,
    }
    return {
        "Version": version,
        "Routes": routes,
        "Services": [
            {"Name": "engine", "MaxConnections": 100, "Engine": engine},
            {"Name": "ledger", "MaxConnections": 100},
        ],
        "Limits": {"MaxHeaderBytes": 16384, "TokensPerS": 100_000},
        "Tenants": [
            {"Name": team, "ApiKeys": team_keys}
            for team, team_keys in keys.items()
        ],
    }


STANDARD_ROUTES = (
    build_route("draft", "streaming", "engine", MaxAttempts=1),
    build_route("answer", "streaming", "engine", StreamResume=True),
    build_route("book", "unsafe", "ledger", Public=True, MaxAttempts=1),
    build_route("look", "safe", "ledger", Public=True),
    build_route("order", "unsafe", "ledger", MaxAttempts=1),
)
"""A route of each kind, and one to a plain service that requires a key."""
