"""A router whose VM is frozen for a while among its callers."""

import asyncio
import collections
import concurrent.futures
import signal
import time

from standins import site as site_module
from sycamorefall.platform.tests import callers, router_client

CALLERS = 30
FREEZES = 6
FREEZE = 0.8
"""Seconds for which a VM is frozen: longer than a router waits for the answer
of a plain service."""

BETWEEN = 200
"""Requests that are answered between two freezes."""

STREAM_FREEZES = 3
STREAM_FREEZE = 1.5
"""Seconds for which a VM is frozen among streams: longer than a router waits
for the next event of an engine."""

STREAM_CALLERS = 16
STREAMS_BETWEEN = 60
EVENTS = 20


class ConcurrentCallers:
    """Callers that ask without pause while their router is frozen."""

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

    async def wait_for_answers(self):
        enough = len(self.outcomes) + BETWEEN
        await callers.wait_for(lambda: len(self.outcomes) >= enough)

    async def run_scenario(self):
        tasks = [
            asyncio.create_task(self.send_continuously())
            for _ in range(CALLERS)
        ]
        for _ in range(FREEZES):
            await self.wait_for_answers()
            self.router.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(FREEZE)
            self.router.process.send_signal(signal.SIGCONT)
        await self.wait_for_answers()
        self.done = True
        await asyncio.gather(*tasks)


def test_freeze_has_no_request_sent_twice(site):
    # A VM is frozen for most of a second among busy callers. The upstreams
    # answer meanwhile. As the router woke up, its timers ran before it read:
    # it took the upstreams for silent and sent their requests to others, so
    # that these ran twice, and some callers got an error in the end.
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
    # A busy machine's router may refuse some unread; it must be true.
    refused = {
        outcome.request
        for outcome in concurrent_callers.outcomes
        if outcome.end is callers.EndKind.REFUSED
    }
    assert not refused & runs.keys()
    assert len(refused) < len(concurrent_callers.outcomes) / 20


class Readers:
    """Callers that read streams without pause."""

    def __init__(self, router):
        self.router = router
        self.answers = []
        self.done = False

    def read_steadily(self, path):
        usage = {"Token-Usage": f"1100,{EVENTS}"}
        while not self.done:
            request, status, _, answer = router_client.send_request(
                self.router, path, prompt=True, **usage
            )
            events = len(router_client.parse_event_data(answer))
            self.answers.append((request, status, events))

    def wait_for_answers(self):
        enough = len(self.answers) + STREAMS_BETWEEN
        site_module.wait_until(lambda: len(self.answers) >= enough)

    def run_scenario(self):
        paths = ["/answer/x", "/draft/x"] * (STREAM_CALLERS // 2)
        with concurrent.futures.ThreadPoolExecutor(STREAM_CALLERS) as pool:
            reading = [pool.submit(self.read_steadily, path) for path in paths]
            try:
                for _ in range(STREAM_FREEZES):
                    self.wait_for_answers()
                    self.router.process.send_signal(signal.SIGSTOP)
                    time.sleep(STREAM_FREEZE)
                    self.router.process.send_signal(signal.SIGCONT)
                self.wait_for_answers()
            finally:
                self.done = True
            for reader in reading:
                reader.result()


def test_freeze_breaks_off_no_stream(site):
    # A VM is frozen for longer than an engine may say nothing, while engines
    # go on sending. As the router woke up, it took them for silent before it
    # read: streams were broken off, and some callers got an error.
    for name in ("e1", "e2"):
        site.add_upstream(name, "engine", slots=32)
    router = site.add_router()
    readers = Readers(router)
    readers.run_scenario()
    wrong = [one for one in readers.answers if one[1:] != (200, EVENTS)]
    assert wrong == []
