"""A router that is stopped among callers that go on until it is gone."""

import asyncio
import concurrent.futures
import random
import signal
import time

import pytest

from standins import site as site_module
from sycamorefall.platform.tests import callers, router_client

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


class ConcurrentCallers:
    """All callers of one router, before and after its SIGTERM."""

    def __init__(self, router, seed):
        self.router = router
        self.random = random.Random(seed)
        self.outcomes = []
        self.stopped_at = float("inf")
        self.last_number = seed << 32

    def create_caller(self):
        return callers.Caller(
            self.router.data, self.outcomes, lambda: self.stopped_at
        )

    def next_number(self):
        self.last_number += 1
        return self.last_number

    def is_gone(self):
        return self.router.process.poll() is not None

    async def send_continuously(self):
        """Asks without pause until the process is gone."""
        caller = self.create_caller()
        while not self.is_gone():
            if caller.writer is None and not await caller.connect():
                await asyncio.sleep(0.01)
                continue
            path = self.random.choice(("/look/x", "/book/x"))
            await caller.send_request(path, self.next_number())
        caller.close()

    async def open_kept(self):
        """Opens a connection on which a request was answered."""
        caller = self.create_caller()
        await caller.connect()
        await caller.send_request("/look/x", self.next_number())
        return caller

    async def open_some(self):
        return await asyncio.gather(
            *(self.open_kept() for _ in range(STEADY_CALLERS))
        )

    async def use_again(self, caller, after):
        """Uses a kept connection a while after SIGTERM, if it is open."""
        await asyncio.sleep(self.stopped_at + after - time.monotonic())
        if caller.writer is not None and not caller.reader.at_eof():
            await caller.send_request("/book/x", self.next_number())
        caller.close()

    async def freeze(self):
        """Freezes the router while it is about to end listening."""
        begin, end = FREEZE
        await asyncio.sleep(self.stopped_at + begin - time.monotonic())
        self.router.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.stopped_at + end - time.monotonic())
        self.router.process.send_signal(signal.SIGCONT)

    async def run_scenario(self, frozen):
        """Stops the router among its callers; returns its exit status."""
        kept = [
            caller
            for _ in range(KEPT_CONNECTIONS // STEADY_CALLERS)
            for caller in await self.open_some()
        ]
        steady = [
            asyncio.create_task(self.send_continuously())
            for _ in range(STEADY_CALLERS)
        ]
        await callers.wait_for(
            lambda: len(self.outcomes) > KEPT_CONNECTIONS + 8 * STEADY_CALLERS
        )
        self.router.process.send_signal(signal.SIGTERM)
        self.stopped_at = time.monotonic()
        again = [self.use_again(caller, self.choose_time()) for caller in kept]
        await asyncio.gather(*again, *([self.freeze()] if frozen else []))
        await callers.wait_for(self.is_gone)
        took = time.monotonic() - self.stopped_at
        await asyncio.gather(*steady)
        return self.router.process.returncode, took

    def choose_time(self):
        after = self.random.uniform(*CROWD_AT)
        return after - after % CROWD_EVERY


def is_lost(outcome, run):
    """Tells whether a request got an end that no caller may be given."""
    match outcome.end:
        case callers.EndKind.ANSWERED:
            return False
        case callers.EndKind.REFUSED:
            return outcome.request in run
        case callers.EndKind.CLOSED:
            return outcome.duration > CROSSING or outcome.request in run
        case callers.EndKind.INVALID:
            return True


def find_lost(outcomes, run):
    return [outcome for outcome in outcomes if is_lost(outcome, run)]


def ask_stream(router):
    usage = {"Token-Usage": f"1100,{STREAM_EVENTS}"}
    return router_client.send_request(
        router, "/draft/x", prompt=True, left=9000, **usage
    )


def check_streams(streams):
    for stream in streams:
        request, status, _, answer = stream.result()
        right = [f"{request}/{n}".encode() for n in range(1, STREAM_EVENTS + 1)]
        assert (status, router_client.parse_event_data(answer)) == (200, right)


@pytest.mark.parametrize(("seed", "frozen"), [(1, False), (2, True)])
def test_callers_of_a_stopping_router_lose_no_request(site, seed, frozen):
    # A router is stopped while callers use kept connections and open new ones
    # until it is gone. It is late as it ends listening: many requests come at
    # once, or its VM is frozen. Some callers got neither an answer nor a
    # refusal: what had arrived and wasn't handled yet was closed as idle.
    draft = site_module.build_route(
        "draft", "streaming", "engine", MaxAttempts=1, TimeoutMs=9000
    )
    plain = [
        route
        for route in site_module.STANDARD_ROUTES
        if route["Service"] == "ledger"
    ]
    router_client.store_configuration(site, 4, routes=[draft, *plain])
    engine = site.add_upstream("e1", "engine")
    engine.event_interval = STREAM_PAUSE
    ledgers = [site.add_upstream(f"l{n}", "ledger", 40) for n in (1, 2)]
    router = site.add_router()
    concurrent_callers = ConcurrentCallers(router, seed)
    with concurrent.futures.ThreadPoolExecutor(STREAMS) as pool:
        streams = [pool.submit(ask_stream, router) for _ in range(STREAMS)]
        site_module.wait_until(lambda: len(engine.runs) == STREAMS)
        status, took = asyncio.run(concurrent_callers.run_scenario(frozen))
    run = {request for ledger in ledgers for request, _ in ledger.runs}
    assert find_lost(concurrent_callers.outcomes, run) == []
    assert (status, took < STOP_LIMIT) == (0, True)
    check_streams(streams)
