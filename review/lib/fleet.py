"""Stand-ins for the platform, workers and clients, and a launcher of routers.

Only the standard library is used, so that nothing has to be built or installed.
Everything listens on loopback addresses and on free ports.
"""

import asyncio
import base64
import contextlib
import dataclasses
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
PAGE_SIZE = 500
START_TIMEOUT = 15.0

WORK_SECONDS = 0.045
"""Seconds that a plain request works."""

STREAM_PREFIXES = ("/draft/", "/tag/")
"""Paths that a worker answers with a stream; their last part is its length."""

EVENT_SECONDS = 0.05
"""Seconds between two events of a stream."""


ENDS = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)
"""What ends a stand-in's connection."""


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, path):
        self._path = path
        self._begin = time.monotonic()
        path.write_text("", encoding="utf-8")

    def __call__(self, text):
        """Writes a line with the time since the start of the record."""
        elapsed = time.monotonic() - self._begin
        with self._path.open("a", encoding="utf-8") as file:
            file.write(f"{elapsed:8.3f} s  {text}\n")


def find_free_ports(count):
    """Returns ports that were free a moment ago."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


async def read_head(reader):
    """Reads the first line and the headers of an HTTP message."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_request_body(reader, headers):
    """Reads the body of a request that states its length, or has none."""
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Store:
    """The platform's store, read only from outside."""

    def __init__(self, port):
        self.port = port
        self.items = {}
        self.revision = 1
        self._server = None

    def put(self, key, value):
        """Writes a value as JSON at a new revision."""
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        created = self.items.get(key, {}).get("CreateRev", self.revision)
        self.items[key] = {
            "Key": key,
            "Value": text,
            "Revision": self.revision,
            "CreateRev": created,
            "Lease": 0,
        }

    def delete(self, key):
        """Deletes a key at a new revision."""
        self.revision += 1
        self.items.pop(key, None)

    async def start(self):
        """Listens for reads."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port
        )

    async def _serve(self, reader, writer):
        with contextlib.suppress(*ENDS):
            while True:
                first, headers = await read_head(reader)
                await read_request_body(reader, headers)
                status, body = self._answer(first.split()[1])
                data = json.dumps(body).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        writer.close()

    def _answer(self, target):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/kv-key":
            item = self.items.get(query["Key"])
            if item is None:
                return 404, {}
            return 200, item | {"CurrentRev": self.revision}
        if url.path != "/kv-range":
            return 404, {}
        after = query.get("After", "")
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query["Prefix"]) and key > after
        )
        return 200, {
            "Items": [self.items[key] for key in keys[:PAGE_SIZE]],
            "MorePages": len(keys) > PAGE_SIZE,
            "CurrentRev": self.revision,
        }


class Worker:
    """A sound worker of one service.

    Attributes:
        runs: Ids of the requests that it ran, each with the time of its start.
    """

    def __init__(self, name, service, port, record, slots=32):
        self.name = name
        self.service = service
        self.port = port
        self.slots = slots
        self.runs = {}
        self._record = record

    def describe(self):
        """Returns the worker's entry in the store."""
        return {
            "Service": self.service,
            "Address": f"127.0.0.1:{self.port}",
            "Zone": "a",
            "Version": "v1",
            "Slots": self.slots,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Sequence": 1,
        }

    async def start(self, store):
        """Listens for requests and registers itself."""
        await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        store.put(f"servers/{self.name}", self.describe())

    async def _serve(self, reader, writer):
        with contextlib.suppress(*ENDS):
            while True:
                first, headers = await read_head(reader)
                await read_request_body(reader, headers)
                await self._answer(first.split()[1], headers, writer)
                await writer.drain()
        writer.close()

    async def _answer(self, target, headers, writer):
        attempt = headers.get("attempt-id", "")
        common = f"Attempt-Id: {attempt}\r\n"
        if headers.get("expect-instance") != self.name:
            writer.write(
                f"HTTP/1.1 421 Misdirected Request\r\n{common}Instance-Id: "
                f"{self.name}\r\nContent-Length: 0\r\n\r\n".encode()
            )
            return
        self.runs[attempt] = time.monotonic()
        self._record(f"worker {self.name} runs {attempt} ({target})")
        common += f"Server-Stamp: {self.name}.{attempt}\r\n"
        if target.startswith(STREAM_PREFIXES):
            await self._stream(target, common, writer)
            return
        await asyncio.sleep(WORK_SECONDS)
        body = f"{attempt} done".encode()
        head = f"HTTP/1.1 200 OK\r\n{common}Content-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)

    async def _stream(self, target, common, writer):
        """Sends one event each `EVENT_SECONDS`; the path ends with a number."""
        head = (
            f"HTTP/1.1 200 OK\r\n{common}Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        for number in range(1, int(target.rpartition("/")[2]) + 1):
            await asyncio.sleep(EVENT_SECONDS)
            event = f"id: {number}\ndata: {number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


@dataclasses.dataclass
class Answer:
    """What a client has received for a request."""

    status: int | None
    headers: dict
    body: bytes
    complete: bool
    seconds: float


async def read_body(reader, headers, body):
    """Appends a response's body; returns whether its end is certain."""
    if headers.get("transfer-encoding") == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return True
    if "content-length" in headers:
        body += await reader.readexactly(int(headers["content-length"]))
        return True
    while data := await reader.read(1 << 16):
        body += data
    return True


async def send_request(port, data, deadline):
    """Sends one request on a new connection and reads its response."""
    begin = time.monotonic()
    status, headers, body, complete = None, {}, bytearray(), False
    writer = None
    with contextlib.suppress(
        OSError, asyncio.IncompleteReadError, TimeoutError
    ):
        async with asyncio.timeout(deadline):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(data)
            first, headers = await read_head(reader)
            status = int(first.split()[1])
            complete = await read_body(reader, headers, body)
    if writer is not None:
        writer.close()
    seconds = time.monotonic() - begin
    return Answer(status, headers, bytes(body), complete, seconds)


def format_request(method, target, headers, body=b""):
    """Formats a request."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def render(template, fields):
    """Fills the settings template as the platform does."""

    def find(path, scope):
        value = scope
        for part in path.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        return value

    def fill_section(match):
        name, inner = match.group(1), match.group(2)
        value = find(name, fields)
        if not value:
            return ""
        if not isinstance(value, dict):
            return inner.replace("{{.}}", str(value))
        keys = list(value)
        return "".join(
            inner.replace("{{@}}", key).replace(
                "{{,}}", "," if key != keys[-1] else ""
            )
            for key in keys
        )

    def fill(match):
        value = find(match.group(1), fields)
        return ",".join(value) if isinstance(value, list) else str(value)

    text = re.sub(
        r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", fill_section, template, flags=re.S
    )
    return re.sub(r"\{\{([\w.]+)\}\}", fill, text)


class Router:
    """A router process, started as the deploy file says."""

    def __init__(self, name, folder, fields, template):
        self.name = name
        self.fields = fields
        self.port = int(fields["Listen"]["Front"].rpartition(":")[2])
        self.ready_port = int(fields["Listen"]["Readiness"].rpartition(":")[2])
        self.settings = pathlib.Path(folder, f"{name}.ini")
        self.log = pathlib.Path(folder, f"{name}.log")
        self.process = None
        self.settings.write_text(render(template, fields), encoding="utf-8")

    def start(self, command):
        """Starts the process with a clean environment."""
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "SYCAMOREFALL_SETTINGS": str(self.settings),
        }
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def send_signal(self, number):
        """Sends a signal to the process if it still runs."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def is_ready(self):
        """Asks the process whether it is ready, as the balancer does."""
        request = format_request("GET", "/ready", {"Host": "ready"})
        answer = await send_request(self.ready_port, request, 1.0)
        return answer.status == 200

    async def wait_ready(self):
        """Waits until the process is ready; raises `CaseError` if it isn't."""
        end = time.monotonic() + START_TIMEOUT
        while time.monotonic() < end:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CaseError(f"{self.name} did not become ready")


class CaseError(Exception):
    """The case couldn't run."""


class Fleet:
    """Router processes on loopback, with settings of a small deployment."""

    def __init__(self, count, store_port, bounds=None):
        self.folder = tempfile.mkdtemp(prefix="review-")
        deploy = (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
        run = re.search(r'^run = "(.*)"$', deploy, re.M).group(1)
        self.command = run.split()
        template = (ROOT / "deploy" / "router.ini").read_text(encoding="utf-8")
        names = [f"front-a-{number + 1}" for number in range(count)]
        ports = find_free_ports(3 * count)
        controls = [f"127.0.0.1:{ports[3 * n + 2]}" for n in range(count)]
        self.routers = [
            Router(
                name,
                self.folder,
                {
                    "NodeName": name,
                    "Zone": "a",
                    "Zones": {"a": "r", "b": "r"},
                    "Listen": {
                        "Front": f"127.0.0.1:{ports[3 * n]}",
                        "Readiness": f"127.0.0.1:{ports[3 * n + 1]}",
                        "Control": controls[n],
                    },
                    "Seeds": controls[:3],
                    "Limits": {
                        "CpuShare": 0.817,
                        "Cores": 1,
                        "MemoryMb": 300,
                        "MaxFds": 4100,
                    },
                    "Bounds": {
                        "RevokeMs": 5000,
                        "RetryBudgetRatio": 0.2,
                        "RetryBudgetExtra": 56,
                        "BudgetWindowS": 10,
                        "GraceS": 8,
                    }
                    | (bounds or {}),
                    "Platform": {"Address": f"127.0.0.1:{store_port}"},
                },
                template,
            )
            for n, name in enumerate(names)
        ]

    async def start(self):
        """Starts all routers and waits until they are ready."""
        for router in self.routers:
            router.start(self.command)
        for router in self.routers:
            await router.wait_ready()

    def stop(self):
        """Ends all processes that were started, and removes their files."""
        for router in self.routers:
            process = router.process
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(play, folder):
    """Runs a case; returns its exit status.

    Args:
        play: Coroutine function with the record and whether there is trouble.
            Returns whether the rule was broken.
        folder: Folder of the case.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # Ends the case in order, so that its processes end too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(pathlib.Path(folder, "record.txt"))
    try:
        broken = asyncio.run(play(record, trouble))
    except (CaseError, OSError) as error:
        record(f"the case couldn't run: {error}")
        print(f"couldn't run: {error}", file=sys.stderr)
        return 2
    record("the rule was broken" if broken else "the rule held")
    return int(broken)
