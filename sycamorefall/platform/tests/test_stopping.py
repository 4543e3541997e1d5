"""A router that is stopped among callers that go on until it is gone."""

import asyncio
import concurrent.futures
import dataclasses
import enum
import random
import signal
import time

import pytest

from standins import site as site_module
from sycamorefall.platform.tests import asking

CROSSING = 0.2
"""Seconds within which a request and a close may cross each other."""

STOP_LIMIT = 8.0
"""Seconds that a router may take to stop."""

STREAM_EVENTS = 24
STREAM_PAUSE = 0.2
STREAMS = 4
STEADY_CALLERS = 24
KEPT_CONNECTIONS = 600
CROWD_AT = (2.4, 3.0)
"""Seconds after SIGTERM within which kept connections are used again."""

CROWD_EVERY = 0.1
"""Seconds between crowds, which are all the requests sent at one moment."""

FREEZE = (2.4, 2.9)
"""Seconds after SIGTERM between which a router is frozen."""


class End(enum.Enum):
    """What became of a request that was wholly sent."""

    ANSWERED = "answered"
    REFUSED = "refused"
    CUT = "cut"
    CLOSED = "closed"


@dataclasses.dataclass(slots=True)
class Outcome:
    """A request that was wholly sent, and what came of it.

    Attributes:
        request: Its id.
        end: What became of it.
        waited: Seconds from its last byte to its end.
        sent_at: Seconds from SIGTERM to its last byte.
        status: Status of its answer; 0 if there was none.
    """

    request: str
    end: End
    waited: float
    sent_at: float
    status: int


class Caller:
    """A caller with one connection, which it uses as long as it is open."""

    def __init__(self, port, outcomes, stopped_at):
        self.port = port
        self.outcomes = outcomes
        self.stopped_at = stopped_at
        self.reader = self.writer = None

    async def connect(self):
        """Opens a connection; tells whether the router took it."""
        self.close()
        try:
            self.reader, self.writer = await asyncio.open_connection(
                "127.0.0.1", self.port
            )
        except OSError:
            return False
        return True

    async def ask(self, path, number):
        """Sends a request on the open connection and notes its end."""
        request = f"{number:016x}"
        self.writer.write(
            f"GET {path} HTTP/1.1\r\nHost: site.example\r\n"
            f"Attempt-Id: {request}\r\n"
            "Request-Deadline-Ms: 3000\r\n\r\n".encode()
        )
        sent_at = time.monotonic()
        end, status = await self.read_end(f"{path} {request} 0".encode())
        now = time.monotonic()
        self.outcomes.append(
            Outcome(
                request, end, now - sent_at, sent_at - self.stopped_at(), status
            )
        )

    async def read_end(self, right):
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
            size = find_header(head, b"content-length")
            body = await self.reader.readexactly(int(size))
        except asyncio.IncompleteReadError as broken:
            self.close()
            return (End.CUT if broken.partial else End.CLOSED), 0
        except OSError:
            self.close()
            return End.CLOSED, 0
        if find_header(head, b"connection") == b"close":
            self.close()
        status = int(head.split()[1])
        if status == 200:
            return (End.ANSWERED if body == right else End.CUT), status
        return (End.REFUSED if status in (429, 503) else End.CUT), status

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


def find_header(head, name):
    lines = head.lower().split(b"\r\n")
    values = [
        line.partition(b":")[2]
        for line in lines
        if line.startswith(name + b":")
    ]
    return values[0].strip() if values else b""


class Crowd:
    """All callers of one router, before and after its SIGTERM."""

    def __init__(self, router, seed):
        self.router = router
        self.random = random.Random(seed)
        self.outcomes = []
        self.stopped_at = float("inf")
        self.last_number = seed << 32

    def make_caller(self):
        return Caller(self.router.data, self.outcomes, lambda: self.stopped_at)

    def next_number(self):
        self.last_number += 1
        return self.last_number

    def is_gone(self):
        return self.router.process.poll() is not None

    async def ask_steadily(self):
        """Asks without pause until the process is gone."""
        caller = self.make_caller()
        while not self.is_gone():
            if caller.writer is None and not await caller.connect():
                await asyncio.sleep(0.01)
                continue
            path = self.random.choice(("/look/x", "/book/x"))
            await caller.ask(path, self.next_number())
        caller.close()

    async def open_kept(self):
        """Opens a connection on which a request was answered."""
        caller = self.make_caller()
        await caller.connect()
        await caller.ask("/look/x", self.next_number())
        return caller

    async def open_some(self):
        return await asyncio.gather(
            *(self.open_kept() for _ in range(STEADY_CALLERS))
        )

    async def use_again(self, caller, after):
        """Uses a kept connection a while after SIGTERM, if it is open."""
        await asyncio.sleep(self.stopped_at + after - time.monotonic())
        if caller.writer is not None and not caller.reader.at_eof():
            await caller.ask("/book/x", self.next_number())
        caller.close()

    async def freeze(self):
        """Freezes the router while it is about to end listening."""
        begin, end = FREEZE
        await asyncio.sleep(self.stopped_at + begin - time.monotonic())
        self.router.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.stopped_at + end - time.monotonic())
        self.router.process.send_signal(signal.SIGCONT)

    async def play(self, frozen):
        """Stops the router among its callers; returns its exit status."""
        kept = [
            caller
            for _ in range(KEPT_CONNECTIONS // STEADY_CALLERS)
            for caller in await self.open_some()
        ]
        steady = [
            asyncio.create_task(self.ask_steadily())
            for _ in range(STEADY_CALLERS)
        ]
        await wait_for(
            lambda: len(self.outcomes) > KEPT_CONNECTIONS + 8 * STEADY_CALLERS
        )
        self.router.process.send_signal(signal.SIGTERM)
        self.stopped_at = time.monotonic()
        again = [self.use_again(caller, self.choose_time()) for caller in kept]
        await asyncio.gather(*again, *([self.freeze()] if frozen else []))
        await wait_for(self.is_gone)
        took = time.monotonic() - self.stopped_at
        await asyncio.gather(*steady)
        return self.router.process.returncode, took

    def choose_time(self):
        after = self.random.uniform(*CROWD_AT)
        return after - after % CROWD_EVERY


async def wait_for(condition, timeout=STOP_LIMIT):
    async with asyncio.timeout(timeout):
        while not condition():
            await asyncio.sleep(0.01)


def is_lost(outcome, run):
    """Tells whether a request got an end that no caller may be given."""
    match outcome.end:
        case End.ANSWERED:
            return False
        case End.REFUSED:
            return outcome.request in run
        case End.CLOSED:
            return outcome.waited > CROSSING or outcome.request in run
        case End.CUT:
            return True


def find_lost(outcomes, run):
    return [outcome for outcome in outcomes if is_lost(outcome, run)]


def ask_stream(router):
    usage = {"Token-Usage": f"1100,{STREAM_EVENTS}"}
    return asking.ask(router, "/draft/x", prompt=True, left=9000, **usage)


def check_streams(streams):
    for stream in streams:
        request, status, _, answer = stream.result()
        right = [f"{request}/{n}".encode() for n in range(1, STREAM_EVENTS + 1)]
        assert (status, asking.list_events(answer)) == (200, right)


@pytest.mark.parametrize(("seed", "frozen"), [(1, False), (2, True)])
def test_callers_of_a_stopping_router_lose_no_request(site, seed, frozen):
    # A router is stopped while callers use kept connections and open new ones
    # until it is gone. It is late as it ends listening: many requests come at
    # once, or its VM is frozen. Some callers got neither an answer nor a
    # refusal: what had arrived and wasn't handled yet was closed as idle.
    draft = site_module.describe_route(
        "draft", "streaming", "engine", MaxAttempts=1, TimeoutMs=9000
    )
    plain = [
        route
        for route in site_module.STANDARD_ROUTES
        if route["Service"] == "ledger"
    ]
    asking.put_configuration(site, 4, routes=[draft, *plain])
    engine = site.add_upstream("e1", "engine")
    engine.pause = STREAM_PAUSE
    ledgers = [site.add_upstream(f"l{n}", "ledger", 40) for n in (1, 2)]
    router = site.add_router()
    crowd = Crowd(router, seed)
    with concurrent.futures.ThreadPoolExecutor(STREAMS) as pool:
        streams = [pool.submit(ask_stream, router) for _ in range(STREAMS)]
        site_module.wait_until(lambda: len(engine.runs) == STREAMS)
        status, took = asyncio.run(crowd.play(frozen))
    run = {request for ledger in ledgers for request, _ in ledger.runs}
    assert find_lost(crowd.outcomes, run) == []
    assert (status, took < STOP_LIMIT) == (0, True)
    check_streams(streams)
