"""A few engines of uneven speed before one router, without a network.

Each engine reads its prompts in chunks between the tokens of its streams, as
batching engines do, so a step with a chunk takes several times as long.
"""

import dataclasses
import heapq
import math

from sycamorefall.direct import catalog, core, dialects, effects, outcomes
from sycamorefall.direct.tests import fakes

STEP_SECONDS = 0.004
READ_RATE = 60_000.0
CHUNK = 1024
TOKENS_PER_EVENT = 7
MAX_PAUSE = 0.25
TARGET = 0.8
SHORT_OUTPUT = 21
SLOWDOWN = 2.5
SLOW_SECONDS, SLOW_PERIOD = 0.6, 4.0


@dataclasses.dataclass
class Stream:
    """A request at an engine."""

    number: int
    unread: int
    tokens_left: int
    made: int = 0
    sent_at: float = 0.0
    due_at: float = math.inf
    on_time: bool = True
    last_event_at: float = math.nan
    longest_pause: float = 0.0


@dataclasses.dataclass
class Engine:
    """An engine that tells its scale in the head of each response."""

    name: str
    usual_scale: float
    slow_phase: float = 0.0
    streams: list[Stream] = dataclasses.field(default_factory=list)

    def compute_scale(self, now):
        """Computes the scale at a time: slow for 0.6 s in every four."""
        is_slow = (now + self.slow_phase) % SLOW_PERIOD < SLOW_SECONDS
        return self.usual_scale * (SLOWDOWN if is_slow else 1.0)

    def step(self, now):
        """Runs a step; returns its seconds and the streams that got a token."""
        waiting = [one for one in self.streams if one.unread]
        read = min(CHUNK, waiting[0].unread) if waiting else 0
        decoding = [one for one in self.streams if not one.unread]
        if waiting:
            waiting[0].unread -= read
        seconds = STEP_SECONDS + read / READ_RATE
        return self.compute_scale(now) * seconds, decoding


class Site:
    """A router and its engines; records the pauses of complete streams."""

    def __init__(self, scales, max_pause=MAX_PAUSE):
        names = [f"e{n}" for n in range(len(scales))]
        self.engines = {
            name: Engine(name, scale, slow_phase=0.7 * number)
            for number, (name, scale) in enumerate(
                zip(names, scales, strict=True)
            )
        }
        self.state = fakes.create_state(
            listing=[
                fakes.create_upstream_entry(name, port=n + 1)
                for n, name in enumerate(names)
            ]
        )
        known = self.state.catalog
        engine = catalog.Engine(64, 600_000)
        known.services["engine"] = catalog.Service("engine", 500, engine)
        routes = known.routes[fakes.HOST]
        for name in ("draft", "short"):
            routes[f"/{name}/"] = dataclasses.replace(
                routes["/draft/"],
                name=name,
                prefix=f"/{name}/",
                timeout=15.0,
                target_latency=TARGET,
                max_pause=max_pause,
            )
        self.due = [(0.0, name) for name in names]
        self.pauses, self.sent_to = [], {}
        self.on_time, self.refused = 0, 0

    def submit(self, now, tokens, output_tokens):
        """Submits a request whose response has this many tokens."""
        core.record_proof(self.state, now, now)
        request = fakes.create_request("draft", tokens=tokens, time_left=12.0)
        if output_tokens <= SHORT_OUTPUT:
            request = dataclasses.replace(request, path="/short/x")
        _, pending = core.handle_request(self.state, now, request)
        self._perform(pending, output_tokens)

    def run(self, now, until):
        """Runs engines and timers up to a time."""
        while self.due[0][0] < until:
            at, name = heapq.heappop(self.due)
            seconds, decoding = self.engines[name].step(at)
            end = at + seconds
            self._emit(self.engines[name], decoding, end)
            heapq.heappush(self.due, (end, name))
        self._perform(core.run_timers(self.state, until), None)

    def _perform(self, pending, output_tokens):
        for effect in pending:
            if isinstance(effect, effects.SendRequest):
                request = self.state.requests[effect.request]
                tokens = output_tokens or 7 * 40
                stream = Stream(
                    effect.request,
                    request.incoming.prompt.tokens,
                    tokens,
                    due_at=request.arrived_at + TARGET,
                )
                self.engines[effect.upstream].streams.append(stream)
                sent = self.sent_to.setdefault(effect.upstream, [])
                sent.append(stream.unread)
            elif isinstance(effect, effects.AnswerError):
                self.refused += 1

    def _emit(self, engine, decoding, now):
        for stream in decoding:
            stream.made += 1
            stream.tokens_left -= 1
            if stream.made % TOKENS_PER_EVENT == 1:
                self._deliver_event(engine, stream, now)
            if not stream.tokens_left:
                engine.streams.remove(stream)
                self.pauses.append(stream.longest_pause)
                self.on_time += stream.on_time
                outcomes.end_attempt(
                    self.state, now, stream.number, outcomes.AttemptEnd.COMPLETE
                )

    def _deliver_event(self, engine, stream, now):
        if stream.made == 1:
            head = dialects.ResponseHead(
                dialects.ResponseOutcome.SUCCESS,
                200,
                (),
                scale=engine.compute_scale(now),
            )
            outcomes.record_scale(self.state, now, stream.number, head)
        else:
            pause = now - stream.last_event_at
            stream.longest_pause = max(stream.longest_pause, pause)
            stream.on_time &= pause <= MAX_PAUSE
        stream.on_time &= stream.made > 1 or now <= stream.due_at
        stream.last_event_at = now
        outcomes.record_response(self.state, now, stream.number, first=True)
