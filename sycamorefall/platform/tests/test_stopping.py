"""A router is stopped while callers send requests until it has exited."""

import asyncio
import concurrent.futures
import pathlib
import random
import signal
import time

import pytest

from standins import site as site_module
from sycamorefall.platform.tests import callers, router_client

MAX_CROSSING_SECONDS = 0.2
"""Longest time from sending a request to the close of its connection for which
the two may have crossed, in seconds."""

STOP_TIMEOUT = 8.0
"""Maximum seconds from SIGTERM until the router has exited."""

SHORT_GRACE = 4
"""Seconds between the SIGTERM and the kill of a router, where a test needs no
longer time."""

STREAM_EVENTS = 24
EVENT_INTERVAL = 0.2
STREAM_COUNT = 4
CONTINUOUS_CALLER_COUNT = 24
IDLE_CONNECTION_COUNT = 600
REUSE_PERIOD = (2.4, 3.0)
"""Seconds after SIGTERM between which idle connections are used again."""

BURST_INTERVAL = 0.1
"""Seconds between bursts of requests that are sent at the same moment."""

FREEZE_PERIOD = (2.4, 2.9)
"""Seconds after SIGTERM between which the router is frozen."""


class ConcurrentCallers:
    """Callers that send requests before and after the SIGTERM of a router."""

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

    def has_exited(self):
        return self.router.process.poll() is not None

    async def send_continuously(self):
        """Sends requests continuously until the router's process has exited."""
        caller = self.create_caller()
        while not self.has_exited():
            if caller.writer is None and not await caller.connect():
                await asyncio.sleep(0.01)
                continue
            path = self.random.choice(("/look/x", "/book/x"))
            await caller.send_request(path, self.next_number())
        caller.close()

    async def open_idle_connection(self):
        """Opens a connection and leaves it idle after one answered request."""
        caller = self.create_caller()
        await caller.connect()
        await caller.send_request("/look/x", self.next_number())
        return caller

    async def open_idle_connections(self):
        return await asyncio.gather(
            *(
                self.open_idle_connection()
                for _ in range(CONTINUOUS_CALLER_COUNT)
            )
        )

    async def reuse_connection(self, caller, delay):
        """Sends a request on an idle connection, if it is still open.

        Args:
            caller: Caller that has the connection.
            delay: Seconds after SIGTERM at which the request is sent.
        """
        await asyncio.sleep(self.stopped_at + delay - time.monotonic())
        if caller.writer is not None and not caller.reader.at_eof():
            await caller.send_request("/book/x", self.next_number())
        caller.close()

    async def freeze_router(self):
        """Freezes the router at about the time when it stops listening."""
        begin, end = FREEZE_PERIOD
        await asyncio.sleep(self.stopped_at + begin - time.monotonic())
        self.router.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.stopped_at + end - time.monotonic())
        self.router.process.send_signal(signal.SIGCONT)

    async def run_scenario(self, freeze):
        """Stops the router while callers send requests.

        Returns:
            Exit status of the router, and seconds from SIGTERM to its exit.
        """
        idle_callers = [
            caller
            for _ in range(IDLE_CONNECTION_COUNT // CONTINUOUS_CALLER_COUNT)
            for caller in await self.open_idle_connections()
        ]
        continuous_tasks = [
            asyncio.create_task(self.send_continuously())
            for _ in range(CONTINUOUS_CALLER_COUNT)
        ]
        await callers.wait_for(
            lambda: (
                len(self.outcomes)
                > IDLE_CONNECTION_COUNT + 8 * CONTINUOUS_CALLER_COUNT
            )
        )
        self.router.process.send_signal(signal.SIGTERM)
        self.stopped_at = time.monotonic()
        reuses = [
            self.reuse_connection(caller, self.choose_reuse_delay())
            for caller in idle_callers
        ]
        await asyncio.gather(
            *reuses, *([self.freeze_router()] if freeze else [])
        )
        await callers.wait_for(self.has_exited)
        stop_seconds = time.monotonic() - self.stopped_at
        await asyncio.gather(*continuous_tasks)
        return self.router.process.returncode, stop_seconds

    def choose_reuse_delay(self):
        delay = self.random.uniform(*REUSE_PERIOD)
        return delay - delay % BURST_INTERVAL


def is_lost(outcome, executed):
    """Returns whether a request was lost.

    A request is lost if its response is invalid, if the router refused it or
    closed its connection although it ran, or if the connection was closed too
    late for the close to have crossed with the request.

    Args:
        outcome: Outcome of the request.
        executed: Ids of the requests that upstreams ran.
    """
    match outcome.end:
        case callers.EndKind.ANSWERED:
            return False
        case callers.EndKind.REFUSED:
            return outcome.request in executed
        case callers.EndKind.CLOSED:
            return (
                outcome.duration > MAX_CROSSING_SECONDS
                or outcome.request in executed
            )
        case callers.EndKind.INVALID:
            return True


def list_lost(outcomes, executed):
    return [outcome for outcome in outcomes if is_lost(outcome, executed)]


def request_stream(router):
    usage = {"Token-Usage": f"1100,{STREAM_EVENTS}"}
    return router_client.send_request(
        router, "/draft/x", prompt=True, time_left_ms=9000, **usage
    )


def check_streams(streams):
    for stream in streams:
        request, status, _, response_body = stream.result()
        expected = [
            f"{request}/{n}".encode() for n in range(1, STREAM_EVENTS + 1)
        ]
        assert (status, router_client.parse_event_data(response_body)) == (
            200,
            expected,
        )


def test_request_at_a_silent_upstream_is_answered_before_the_kill(site):
    # The upstream of a request said nothing until the router's grace time was
    # over. Its connection was closed with the process, without an answer.
    routes = [
        site_module.build_route("book", "unsafe", "ledger", TimeoutMs=9000)
        | {"Public": True},
        site_module.build_route("look", "safe", "ledger", TimeoutMs=9000)
        | {"Public": True},
    ]
    router_client.store_configuration(site, 4, routes=routes)
    ledger = site.add_upstream("l1", "ledger")
    ledger.hang = True
    router = site.add_router(
        extra_settings=f"[bounds]\ngrace = {SHORT_GRACE}\n"
    )
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        calls = [
            pool.submit(
                router_client.send_request, router, path, time_left_ms=9000
            )
            for path in ("/book/x", "/look/x")
        ]
        site_module.wait_until(lambda: len(ledger.runs) == 2)
        router.process.send_signal(signal.SIGTERM)
        time.sleep(SHORT_GRACE)
        router.process.kill()
        statuses = [call.result()[1] for call in calls]
    assert statuses == [502, 502]


def test_router_that_stands_still_at_its_signal_accepts_by_the_kill(site):
    # A router that stood still as its SIGTERM came accepted a stream that could
    # not end before the kill, as it counted its stop from when it went on.
    engine = site.add_upstream("e1", "engine")
    routes = [
        site_module.build_route(
            "draft", "streaming", "engine", MaxAttempts=1, TimeoutMs=9000
        )
    ]
    router_client.store_configuration(site, 4, routes=routes)
    router = site.add_router()
    for delay in (1.0, 1.9):
        router.process.send_signal(signal.SIGSTOP)
        router.process.send_signal(signal.SIGTERM)
        stopped_at = time.monotonic()
        time.sleep(delay)
        router.process.send_signal(signal.SIGCONT)
        time.sleep(stopped_at + 2.8 - time.monotonic())
        status = router_client.send_request(
            router, "/draft/x", prompt=True, time_left_ms=9000
        )[1]
        assert status == 503
        router.process.wait(STOP_TIMEOUT)
        site.routers.remove(router)
        router = site.add_router(f"front-{delay}")
    assert engine.runs == []


def test_signals_come_to_the_thread_that_handles_them(site):
    # A thread of a library took the signal of a router that had stood still;
    # the loop ran some steps before it knew of it.
    site.add_upstream("e1", "engine")
    router = site.add_router()
    threads = pathlib.Path(f"/proc/{router.process.pid}/task")
    asked = 1 << (signal.SIGTERM - 1)
    taking = [
        int(thread.name)
        for thread in threads.iterdir()
        if not _read_blocked_signals(thread) & asked
    ]
    assert taking == [router.process.pid]


def _read_blocked_signals(thread):
    for line in (thread / "status").read_text().splitlines():
        if line.startswith("SigBlk:"):
            return int(line.split()[1], 16)
    raise AssertionError("no blocked signals")


@pytest.mark.parametrize(("seed", "freeze"), [(1, False), (2, True)])
def test_callers_of_a_stopping_router_lose_no_request(site, seed, freeze):
    # A router is stopped while callers use idle connections and open new ones
    # until the process has exited. Its event loop is late when it stops
    # listening, because many requests arrive at once or because the VM is
    # frozen. Some callers got neither a response nor a refusal: connections
    # were closed as idle although unread requests had arrived on them.
    draft_route = site_module.build_route(
        "draft", "streaming", "engine", MaxAttempts=1, TimeoutMs=9000
    )
    plain_routes = [
        route
        for route in site_module.STANDARD_ROUTES
        if route["Service"] == "ledger"
    ]
    router_client.store_configuration(
        site, 4, routes=[draft_route, *plain_routes]
    )
    engine = site.add_upstream("e1", "engine")
    engine.event_interval = EVENT_INTERVAL
    ledgers = [site.add_upstream(f"l{n}", "ledger", 40) for n in (1, 2)]
    router = site.add_router()
    concurrent_callers = ConcurrentCallers(router, seed)
    with concurrent.futures.ThreadPoolExecutor(STREAM_COUNT) as pool:
        streams = [
            pool.submit(request_stream, router) for _ in range(STREAM_COUNT)
        ]
        site_module.wait_until(lambda: len(engine.runs) == STREAM_COUNT)
        status, stop_seconds = asyncio.run(
            concurrent_callers.run_scenario(freeze)
        )
    executed = {request for ledger in ledgers for request, _ in ledger.runs}
    assert list_lost(concurrent_callers.outcomes, executed) == []
    assert (status, stop_seconds < STOP_TIMEOUT) == (0, True)
    check_streams(streams)
