"""A small site on loopback: a store, upstreams, and routers as processes.

The store and the upstreams speak the platform's wire and run on a thread of
their own; routers are the real program. Upstreams note every request that
they run, so a test can compare answers with requests and count runs.
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
    """A router process and where it listens."""

    process: subprocess.Popen
    data: int
    operators: int
    control: int
    settings: pathlib.Path


class Site:
    """A store, upstreams and routers; a context manager."""

    def __init__(self, folder: pathlib.Path):
        self.folder = folder
        self.store = wire_store.Store()
        (self.store_port,) = fleet.reserve_ports(1)
        self.upstreams: dict[str, wire_upstream.Upstream] = {}
        self.routers: list[Router] = []
        self._runner: web.AppRunner | None = None
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, daemon=True
        )

    def __enter__(self) -> "Site":
        self._thread.start()
        self._await(self._serve_store())
        return self

    def __exit__(self, *_) -> None:
        for router in self.routers:
            if router.process.poll() is None:
                router.process.kill()
            router.process.wait()
        self._await(self._end())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _await(self, task):
        return asyncio.run_coroutine_threadsafe(task, self._loop).result(10)

    async def _serve_store(self) -> None:
        application = web.Application()
        application.router.add_get("/{path:.*}", self.store.answer)
        runner = web.AppRunner(application, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", self.store_port).start()
        self._runner = runner

    async def _end(self) -> None:
        await self._runner.cleanup()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def add_upstream(
        self, name: str, service: str, slots: int = 8, port: int = 0
    ) -> wire_upstream.Upstream:
        """Starts an upstream and lists it in the store."""
        upstream = wire_upstream.Upstream(name)

        async def listen():
            upstream.server = await asyncio.start_server(
                upstream.serve, "127.0.0.1", port
            )
            return upstream.server.sockets[0].getsockname()[1]

        upstream.port = self._await(listen())
        self.upstreams[name] = upstream
        self.register_upstream(name, service, slots)
        return upstream

    def register_upstream(
        self,
        name: str,
        service: str,
        slots: int = 8,
        state: str = "ready",
        born: int = 1,
    ) -> None:
        """Writes an upstream's entry to the store."""
        self.store.put(
            f"servers/{name}",
            {
                "Service": service,
                "Address": f"127.0.0.1:{self.upstreams[name].port}",
                "Zone": "a",
                "Version": "v1",
                "Slots": slots,
                "State": state,
                "ColdRemainingMs": 0,
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
        """Starts a router and waits until it is ready.

        Args:
            name: The name of its VM.
            wait: Whether to wait.
            extra_settings: Further sections of its settings.
        """
        data, operators, control = fleet.reserve_ports(3)
        path = self.folder / f"{name}.ini"
        path.write_text(
            f"[vm]\nname = {name}\nfailure_domain = a\n"
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
    """Asks a router whether it takes connections."""
    url = f"http://127.0.0.1:{router.operators}/ready"
    try:
        with urllib.request.urlopen(url, timeout=1) as answer:
            return answer.status == 200
    except OSError:
        return False


def wait_until(condition, timeout: float = 5.0) -> None:
    """Waits for a condition; raises TimeoutError if it doesn't come."""
    end = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > end:
            raise TimeoutError
        time.sleep(0.02)


def call(
    router: Router, path: str, headers: dict[str, str], body: bytes = b""
) -> tuple[int, dict[str, str], bytes]:
    """Sends a request; gives status, headers (lower case) and body."""
    line = http.client.HTTPConnection("127.0.0.1", router.data, timeout=20)
    with contextlib.closing(line):
        line.request(
            "POST" if body else "GET",
            path,
            body or None,
            {"Host": "site.example"} | headers,
        )
        answer = line.getresponse()
        found = {name.lower(): value for name, value in answer.getheaders()}
        return answer.status, found, answer.read()


def build_route(
    name: str, kind: str, service: str, **extra_settings: object
) -> dict:
    """Describes a route below `/NAME/` as the store holds it."""
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
    } | extra_settings


def build_configuration(
    version: int, routes: list[dict], keys: dict[str, list[str]]
) -> dict:
    """Describes a configuration with an engine and a ledger service."""
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
"""One route of each kind, and one of a plain service that needs a key."""
