"""A small site on loopback: a store, upstreams, and routers as processes.

The store and the upstreams speak the platform's wire and run on a thread of
their own; routers are the real program. Upstreams note every request that
they run, so a test can compare answers with requests and count runs.
"""

import asyncio
import base64
import collections
import contextlib
import dataclasses
import http.client
import json
import os
import pathlib
import socket
import subprocess
import sys
import threading
import time
import urllib.request

from aiohttp import web

START_TIMEOUT = 10.0
"""Seconds that a router may take until it is ready."""

HISTORY = 10_000
"""Changes that the store remembers."""


class Store:
    """The platform's store, with switches for its troubles.

    Attributes:
        away: Answers 503 to everything.
        deaf: Watches hear nothing.
        calls: Reads served, by path.
    """

    def __init__(self):
        self.items: dict[str, tuple[str, int, int]] = {}
        self.changes: list[tuple[int, str]] = []
        self.revision = 1
        self.first_kept = 0
        self.away = False
        self.deaf = False
        self.calls: collections.Counter = collections.Counter()

    def put(self, key: str, value: object) -> None:
        """Writes a key."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.revision += 1
        made = self.items.get(key, ("", 0, self.revision))[2]
        self.items[key] = (text, self.revision, made)
        self.changes.append((self.revision, key))

    def delete(self, key: str) -> None:
        """Deletes a key."""
        self.revision += 1
        self.items.pop(key, None)
        self.changes.append((self.revision, key))

    def forget_history(self) -> None:
        """Answers 410 to watches from before now."""
        self.first_kept = self.revision

    def _describe(self, key: str) -> dict:
        value, revision, made = self.items[key]
        return {
            "Key": key,
            "Value": value,
            "Revision": revision,
            "CreateRev": made,
        }

    async def answer(self, request: web.Request) -> web.Response:
        """Answers a read."""
        self.calls[request.path] += 1
        if self.away:
            return web.Response(status=503)
        query = request.query
        match request.path:
            case "/kv-key":
                if query["Key"] not in self.items:
                    return web.Response(status=404)
                found = self._describe(query["Key"])
                return web.json_response(found | {"CurrentRev": self.revision})
            case "/kv-range":
                keys = sorted(
                    key
                    for key in self.items
                    if key.startswith(query["Prefix"])
                    and key > query.get("After", "")
                )
                page = [self._describe(key) for key in keys[:50]]
                more = len(keys) > len(page)
                answer = {"Items": page, "MorePages": more}
                answer["CurrentRev"] = self.revision
                return web.json_response(answer)
        return await self._watch(query)

    async def _watch(self, query) -> web.Response:
        after, end = int(query["After"]), int(query["WaitMs"]) / 1000
        end += time.monotonic()
        while time.monotonic() < end:
            if after < self.first_kept:
                return web.Response(status=410)
            news = [c for c in self.changes if c[0] > after and not self.deaf]
            if news or self.away:
                break
            await asyncio.sleep(0.02)
        else:
            news = []
        events = [{"Key": key, "Revision": rev} for rev, key in news]
        answer = {"events": events, "CurrentRev": self.revision}
        return web.json_response(answer)


@dataclasses.dataclass
class Upstream:
    """A model engine or a plain service.

    Attributes:
        name: Its incarnation.
        port: Where it listens on loopback.
        runs: What it ran: request id and the headers that came with it.
        refuse: Answers 503 and says that it did not run the request.
        fail: Answers 500 after running the request.
        cut_after: Breaks a stream off, inside an event, after so many.
        hang: Runs requests and never answers.
        extra: Sends the answer to a request twice.
        repeat: Sends it again before the next answer on its connection.
        repeated: How often it did.
        pause: Seconds between two events.
    """

    name: str
    port: int = 0
    runs: list[tuple[str, dict[str, str]]] = dataclasses.field(
        default_factory=list
    )
    gone: list[str] = dataclasses.field(default_factory=list)
    refuse: bool = False
    fail: bool = False
    cut_after: int | None = None
    hang: bool = False
    extra: bool = False
    repeat: bool = False
    repeated: int = 0
    pause: float = 0.01
    _last: dict[asyncio.StreamWriter, bytes] = dataclasses.field(
        default_factory=dict
    )

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        self._last[writer] = b""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                headers = {
                    name.strip().lower(): value.strip()
                    for name, _, value in (
                        line.partition(":") for line in lines[1:] if line
                    )
                }
                size = int(headers.get("content-length", "0"))
                body = await reader.readexactly(size)
                await self._answer(lines[0], headers, body, reader, writer)
        writer.close()

    async def _answer(self, line, headers, body, reader, writer) -> None:
        request = headers.get("attempt-id", "")
        if headers.get("expect-instance") != self.name:
            writer.write(
                b"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: "
                + self.name.encode()
                + b"\r\nContent-Length: 0\r\n\r\n"
            )
            return
        if self.refuse:
            writer.write(
                b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n"
                b"Content-Length: 0\r\n\r\n"
            )
            return
        self.runs.append((request, headers))
        if self.hang:
            if not await reader.read(1):
                self.gone.append(request)
            return
        stamp = f"Attempt-Id: {request}\r\nServer-Stamp: s.{self.name}\r\n"
        if "prompt-prefix" in headers:
            await self._stream(stamp, headers, reader, writer)
            return
        text = f"{line.split()[1]} {request} {len(body)}".encode()
        status = "500 Failed" if self.fail else "200 OK"
        answer = (
            f"HTTP/1.1 {status}\r\n{stamp}Content-Length: {len(text)}\r\n\r\n"
        ).encode() + text
        if self.repeat and self._last[writer]:
            self.repeated += 1
            writer.write(self._last[writer])
            await writer.drain()
            await asyncio.sleep(0.01)
        self._last[writer] = answer
        writer.write(answer)
        if self.extra:
            writer.write(answer)

    async def _stream(self, stamp, headers, reader, writer) -> None:
        count = int(headers["token-usage"].split(",")[1])
        first = int(headers.get("last-event-id", "0")) + 1
        writer.write(
            f"HTTP/1.1 200 OK\r\n{stamp}Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        request = headers["attempt-id"]
        for number in range(first, count + 1):
            event = f"id: {number}\ndata: {request}/{number}\n\n".encode()
            if self.cut_after is not None and number > self.cut_after:
                writer.write(b"%x\r\n%b" % (len(event), event[:7]))
                await writer.drain()
                raise ConnectionResetError
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.pause)
        writer.write(b"0\r\n\r\n")


def find_port() -> int:
    """Finds a free port on loopback."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


@dataclasses.dataclass
class Router:
    """A router process and where it listens."""

    process: subprocess.Popen
    data: int
    ready: int
    settings: pathlib.Path


class Site:
    """A store, upstreams and routers; a context manager."""

    def __init__(self, folder: pathlib.Path):
        self.folder = folder
        self.store = Store()
        self.store_port = find_port()
        self.upstreams: dict[str, Upstream] = {}
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
    ) -> Upstream:
        """Starts an upstream and lists it in the store."""
        upstream = Upstream(name)

        async def listen():
            server = await asyncio.start_server(
                upstream.serve, "127.0.0.1", port
            )
            return server.sockets[0].getsockname()[1]

        upstream.port = self._await(listen())
        self.upstreams[name] = upstream
        self.list_upstream(name, service, slots)
        return upstream

    def list_upstream(
        self, name: str, service: str, slots: int = 8, state: str = "ready"
    ) -> None:
        """Writes an upstream's entry to the store."""
        self.store.put(
            f"servers/{name}",
            {
                "Service": service,
                "Address": f"127.0.0.1:{self.upstreams[name].port}",
                "Zone": "a",
                "Slots": slots,
                "State": state,
                "Sequence": 1,
            },
        )

    def add_router(self, name: str = "front-a-1", wait: bool = True) -> Router:
        """Starts a router and waits until it is ready."""
        data, ready, control = find_port(), find_port(), find_port()
        path = self.folder / f"{name}.ini"
        path.write_text(
            f"[vm]\nname = {name}\nfailure_domain = a\n"
            f"[listen]\ndata = 127.0.0.1:{data}\n"
            f"operators = 127.0.0.1:{ready}\ncontrol = 127.0.0.1:{control}\n"
            f"[platform]\naddress = 127.0.0.1:{self.store_port}\n"
            f"[log]\ndestination = {self.folder / name}.log\n"
        )
        process = subprocess.Popen(
            [sys.executable, "-m", "sycamorefall.platform"],
            env=os.environ | {"SYCAMOREFALL_SETTINGS": str(path)},
        )
        router = Router(process, data, ready, path)
        self.routers.append(router)
        if wait:
            wait_until(lambda: is_ready(router), START_TIMEOUT)
        return router


def is_ready(router: Router) -> bool:
    """Asks a router whether it takes connections."""
    url = f"http://127.0.0.1:{router.ready}/ready"
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


def describe_route(name: str, kind: str, service: str, **more: object) -> dict:
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
    } | more


def describe_configuration(
    version: int, routes: list[dict], keys: dict[str, list[str]]
) -> dict:
    """Describes a configuration with an engine and a ledger service."""
    engine = {"Slots": 8, "KvCapacityTokens": 500_000, "KvTokenBytes": 1}
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
    describe_route("draft", "streaming", "engine", MaxAttempts=1),
    describe_route("answer", "streaming", "engine", StreamResume=True),
    describe_route("book", "unsafe", "ledger", Public=True, MaxAttempts=1),
    describe_route("look", "safe", "ledger", Public=True),
    describe_route("order", "unsafe", "ledger", MaxAttempts=1),
)
"""One route of each kind, and one of a plain service that needs a key."""
