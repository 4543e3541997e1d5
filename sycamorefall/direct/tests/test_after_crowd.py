"""Tests of a router whose engines have room again after a crowd."""

import dataclasses
import heapq

from sycamorefall.direct import catalog, core, effects, outcomes
from sycamorefall.direct.tests import fakes

FIRST_EVENT_SECONDS = 0.4
"""Seconds until an engine begins a response, however long its prompt is."""

RESPONSE_SECONDS = 0.6


class Engines:
    """A lone router before four engines that begin all responses alike late.

    Attributes:
        state: State of the router.
        sent: Number of requests that were sent.
        refused: Number of requests that were refused.
    """

    def __init__(self):
        listing = [
            fakes.create_upstream_entry(f"e{n}", port=n) for n in range(1, 5)
        ]
        self.state = fakes.create_state(listing=listing)
        engine = catalog.Engine(64, 600_000)
        self.state.catalog.services["engine"] = catalog.Service(
            "engine", 500, engine
        )
        self.sent = self.refused = 0
        self._events = []
        self._parts = 0

    def submit(self, now):
        """Submits a request whose shared part nobody has asked for before."""
        self._parts += 1
        core.record_proof(self.state, now, now)
        request = fakes.create_request(
            "draft",
            tokens=4000,
            parts=((f"part-{self._parts}", 3000),),
        )
        prompt = dataclasses.replace(request.prompt, output=50)
        request = dataclasses.replace(request, prompt=prompt)
        self._perform(now, core.handle_request(self.state, now, request)[1])

    def run(self, now, until):
        """Runs the engines and the router's timers."""
        while now < until:
            now += 0.01
            while self._events and self._events[0][0] <= now:
                at, number, is_end = heapq.heappop(self._events)
                if is_end:
                    end = outcomes.AttemptEnd.COMPLETE
                    pending = outcomes.end_attempt(self.state, at, number, end)
                    self._perform(at, pending)
                else:
                    outcomes.record_response(self.state, at, number, first=True)
            core.record_proof(self.state, now, now)
            self._perform(now, core.run_timers(self.state, now))

    def _perform(self, now, pending):
        for effect in pending:
            if isinstance(effect, effects.SendRequest):
                self.sent += 1
                begin = now + FIRST_EVENT_SECONDS
                end = now + RESPONSE_SECONDS
                heapq.heappush(self._events, (begin, effect.request, False))
                heapq.heappush(self._events, (end, effect.request, True))
            elif isinstance(effect, effects.AnswerError):
                self.refused += 1


def test_engines_with_room_serve_all_after_a_crowd():
    # Guards against callers that are refused while engines idle: a crowd has
    # lowered the rate that the router learnt of an engine, so that it counts as
    # late, and the others are barred, as that engine is assumed to hold a part
    # that nobody has ever seen.
    engines = Engines()
    for _ in range(160):
        engines.submit(0.0)
    engines.run(0.0, 4.0)
    engines.sent = engines.refused = 0
    for n in range(60):
        now = 4.0 + n / 16
        engines.submit(now)
        engines.run(now, now + 1 / 16)
    engines.run(8.0, 10.0)
    assert (engines.sent, engines.refused) == (60, 0)
