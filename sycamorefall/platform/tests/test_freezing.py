"""A router whose VM is frozen for a while among its callers."""

import asyncio
import collections
import signal

from sycamorefall.platform.tests import callers

CALLERS = 30
FREEZES = 6
FREEZE = 0.8
"""Seconds for which a VM is frozen: longer than a router waits for the answer
of a plain service."""

BETWEEN = 200
"""Requests that are answered between two freezes."""


class Crowd:
    """Callers that ask without pause while their router is frozen."""

    def __init__(self, router):
        self.router = router
        self.outcomes = []
        self.last_number = 0
        self.done = False

    async def ask_steadily(self):
        caller = callers.Caller(self.router.data, self.outcomes, lambda: 0.0)
        while not self.done:
            if caller.writer is None:
                assert await caller.connect()
            self.last_number += 1
            await caller.ask("/look/x", self.last_number)
        caller.close()

    async def wait_for_answers(self):
        enough = len(self.outcomes) + BETWEEN
        await callers.wait_for(lambda: len(self.outcomes) >= enough)

    async def play(self):
        tasks = [
            asyncio.create_task(self.ask_steadily()) for _ in range(CALLERS)
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
    crowd = Crowd(router)
    asyncio.run(crowd.play())
    runs = collections.Counter(
        request for ledger in ledgers for request, _ in ledger.runs
    )
    assert [request for request, count in runs.items() if count > 1] == []
    ends = {outcome.end for outcome in crowd.outcomes}
    assert ends == {callers.End.ANSWERED}
