"""A router whose VM is frozen for a while as callers send requests."""

import asyncio
import collections
import concurrent.futures
import signal
import time

from standins import site as site_module
from sycamorefall.platform.tests import callers, router_client

CALLER_COUNT = 30
FREEZE_COUNT = 6
FREEZE_SECONDS = 0.8
"""Seconds for which the VM is frozen: longer than a router waits for a response
of a plain service."""

REQUESTS_BETWEEN_FREEZES = 200
"""Number of requests that end between two freezes."""

STREAM_FREEZE_COUNT = 3
STREAM_FREEZE_SECONDS = 1.5
"""Seconds for which the VM is frozen during streams: longer than a router waits
for the next event of an engine."""

ANSWER_SLACK = 0.5
"""Seconds after its caller's time within which a request is answered."""

STREAM_CALLER_COUNT = 16
STREAMS_BETWEEN_FREEZES = 60
EVENTS_PER_STREAM = 20


class ConcurrentCallers:
    """Callers that send plain requests continuously to a frozen router."""

    def __init__(self, router):
        self.router = router
        self.outcomes = []
        self.last_number = 0
        self.done = False

    async def send_continuously(self):
        caller = callers.Caller(self.router.data, self.outcomes, lambda: 0.0)
        while not self.done:
            if caller.writer is None:
                assert await caller.connect()
            self.last_number += 1
            await caller.send_request("/look/x", self.last_number)
        caller.close()

    async def wait_for_responses(self):
        target_count = len(self.outcomes) + REQUESTS_BETWEEN_FREEZES
        await callers.wait_for(lambda: len(self.outcomes) >= target_count)

    async def run_scenario(self):
        tasks = [
            asyncio.create_task(self.send_continuously())
            for _ in range(CALLER_COUNT)
        ]
        for _ in range(FREEZE_COUNT):
            await self.wait_for_responses()
            self.router.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(FREEZE_SECONDS)
            self.router.process.send_signal(signal.SIGCONT)
        await self.wait_for_responses()
        self.done = True
        await asyncio.gather(*tasks)


def test_frozen_router_sends_no_request_twice(site):
    # A VM is frozen for most of a second while callers send requests, and the
    # upstreams respond meanwhile. When the VM resumed, the router's timers ran
    # before it read the responses. It took the upstreams for stalled and sent
    # their requests to others, so that requests ran twice and some callers got
    # an error.
    ledgers = [site.add_upstream(f"l{n}", "ledger", 40) for n in (1, 2)]
    router = site.add_router()
    concurrent_callers = ConcurrentCallers(router)
    asyncio.run(concurrent_callers.run_scenario())
    runs = collections.Counter(
        request for ledger in ledgers for request, _ in ledger.runs
    )
    assert [request for request, count in runs.items() if count > 1] == []
    ends = {outcome.end for outcome in concurrent_callers.outcomes}
    assert ends <= {callers.EndKind.ANSWERED, callers.EndKind.REFUSED}
    # On a busy machine the router may refuse some requests without reading
    # them. Those must not have run.
    refused = {
        outcome.request
        for outcome in concurrent_callers.outcomes
        if outcome.end is callers.EndKind.REFUSED
    }
    assert not refused & runs.keys()
    assert len(refused) < len(concurrent_callers.outcomes) / 20


class StreamReaders:
    """Callers that read streams continuously from a frozen router."""

    def __init__(self, router):
        self.router = router
        self.responses = []
        self.done = False

    def read_streams_continuously(self, path):
        usage = {"Token-Usage": f"1100,{EVENTS_PER_STREAM}"}
        while not self.done:
            request, status, _, response_body = router_client.send_request(
                self.router, path, prompt=True, **usage
            )
            events = len(router_client.parse_event_data(response_body))
            self.responses.append((request, status, events))

    def wait_for_responses(self):
        target_count = len(self.responses) + STREAMS_BETWEEN_FREEZES
        site_module.wait_until(lambda: len(self.responses) >= target_count)

    def run_scenario(self):
        paths = ["/answer/x", "/draft/x"] * (STREAM_CALLER_COUNT // 2)
        with concurrent.futures.ThreadPoolExecutor(STREAM_CALLER_COUNT) as pool:
            reading = [
                pool.submit(self.read_streams_continuously, path)
                for path in paths
            ]
            try:
                for _ in range(STREAM_FREEZE_COUNT):
                    self.wait_for_responses()
                    self.router.process.send_signal(signal.SIGSTOP)
                    time.sleep(STREAM_FREEZE_SECONDS)
                    self.router.process.send_signal(signal.SIGCONT)
                self.wait_for_responses()
            finally:
                self.done = True
            for reader in reading:
                reader.result()


def test_frozen_router_aborts_no_stream(site):
    # A VM is frozen for longer than an engine may send nothing, while engines
    # continue to send. When the VM resumed, the router took the engines for
    # stalled before it read their events. It aborted streams, and some callers
    # got an error.
    for name in ("e1", "e2"):
        site.add_upstream(name, "engine", slots=32)
    router = site.add_router()
    readers = StreamReaders(router)
    readers.run_scenario()
    incorrect = [
        one for one in readers.responses if one[1:] != (200, EVENTS_PER_STREAM)
    ]
    assert incorrect == []


def test_time_left_of_a_request_runs_while_its_router_stands_still(site):
    # A request that came while its router's VM was frozen got its whole time
    # again when it was read, and its answer when its caller had given up.
    ledger = site.add_upstream("l1", "ledger")
    ledger.hang = True
    router = site.add_router()
    router.process.send_signal(signal.SIGSTOP)
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        sent_at = time.monotonic()
        answer = pool.submit(
            router_client.send_request, router, "/look/x", time_left_ms=2000
        )
        time.sleep(STREAM_FREEZE_SECONDS)
        router.process.send_signal(signal.SIGCONT)
        _, status, _, _ = answer.result()
    assert status >= 500
    assert time.monotonic() - sent_at < 2.0 + ANSWER_SLACK
    ((_, headers),) = ledger.runs
    assert int(headers["request-deadline-ms"]) <= 500
