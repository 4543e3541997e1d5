"""Simulation of a fleet whose engines fall silent, or one of which is gone.

Routers make the product's decisions and tell each other their loads, as in
`site`; engines run batches. Connections to silent engines stay open. A stream
that another engine takes over goes on after the last event that its caller has.
All random choices follow from the seed, so that each trouble meets the same
requests.
"""

__all__ = ["simulate"]

import collections
import heapq
import math
import random

from benchmarks import batches, site
from benchmarks import silence_cases as cases
from sycamorefall.direct import (
    budget,
    core,
    dispatching,
    effects,
    exchange,
    freshness,
    outcomes,
    prompts,
)
from sycamorefall.direct import state as state_module

TIMER_INTERVAL = 0.02
STOP_LEAD, STOP_NOTICED = 0.5, 2.0
LISTED_SECONDS = 3.6
"""Seconds after which an engine that is gone leaves the listing."""

RETURN_DELAY = 0.1
"""Seconds after which a caller whose answer was ended asks again."""


class _Simulation(site._Simulation):
    """A fleet, its callers and a trouble."""

    def __init__(
        self,
        routers: int,
        load: float,
        trouble: cases.Trouble,
        seed: int,
    ):
        super().__init__(cases.create_site(routers, load, seed))
        self.trouble, self.figures = trouble, cases.Figures()
        self.draws = random.Random(seed)
        self.at = self.draws.uniform(2.5, 3.0)
        self.returns_at = self.at + trouble.seconds
        shuffled = self.draws.sample(sorted(self.engines), len(self.engines))
        count = max(1, math.ceil(trouble.share * len(shuffled)))
        self.silent = set(shuffled[:count])
        self.stopping = self.draws.sample(range(routers), routers)
        del self.stopping[math.ceil(trouble.stops * routers) :]
        self.runs: dict[tuple[str, int], cases.Run] = {}
        self.let_go: dict[tuple[str, int], cases.Run] = {}
        self.unsent = set(self.silent)
        for router in self.routers:
            cases.allow_resumption(router.state)

    def run(self) -> cases.Figures:
        for kind in self.site.kinds:
            callers = cases.draw_callers(self.draws, self.site, kind)
            for caller in callers:
                router = self.draws.choice(self.routers)
                self.schedule(caller.asked_at, self.submit, router, caller)
        for router in self.routers:
            offset = self.draws.uniform(0.0, TIMER_INTERVAL)
            self.schedule(offset, self.run_timers, router)
        self.schedule(self.at - STOP_LEAD, self.stop_routers)
        self.schedule(self.at, self.begin_trouble)
        end = self.site.seconds + cases.PATIENCE + 0.5
        while self.events and self.events[0][0] < end:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        self.count_retries(1)
        return self.figures

    def stop_routers(self) -> None:
        for number in self.stopping:
            core.begin_stop(self.routers[number].state, self.now, self.now)

    def begin_trouble(self) -> None:
        if self.trouble.spent:
            for router in self.routers:
                known = self.get_budget(router)
                while budget.take_retry(known, self.now):
                    pass
        self.count_retries(-1)
        if self.returns_at == math.inf:
            for run in self.runs.values():
                if run.engine.name in self.silent:
                    run.caller.silent_since = run.last_at
            self.schedule(self.at + LISTED_SECONDS, self.unlist)
            return
        for number in range(40):
            self.schedule(self.returns_at + 0.05 * number, self.count_slots)

    def get_budget(self, router: site._Router) -> budget.RetryBudget:
        return dispatching.get_or_create_budget(router.state, site.SERVICE)

    def count_retries(self, sign: int) -> None:
        budgets = [self.get_budget(router) for router in self.routers]
        counts = self.figures.counts
        counts["retries"] += sign * sum(one.sent for one in budgets)
        counts["unpaid"] += sign * sum(one.refused for one in budgets)

    def count_slots(self) -> None:
        engines = (self.engines[name] for name in self.silent)
        self.figures.slots += (len(one.batch.running) for one in engines)

    def unlist(self) -> None:
        for router in self.routers:
            known = router.state.table.by_name
            left = [known[name] for name in known if name not in self.silent]
            listing = [one.listed for one in left]
            core.apply_listing(router.state, self.now, listing)

    def run_timers(self, router: site._Router) -> None:
        self.schedule(self.now + TIMER_INTERVAL, self.run_timers, router)
        freshness.record_proof(router.state.freshness, self.now)
        self.apply(router, core.run_timers(router.state, self.now))
        sender, state = router.load_exchange, router.state
        if self.now >= exchange.find_next_due(sender, state):
            reports = exchange.build_due_messages(sender, state, self.now)
            site._send_messages(self, router, reports)

    def submit(self, router: site._Router, caller: cases.Caller) -> None:
        noticed = self.now > self.at - STOP_LEAD + STOP_NOTICED
        while noticed and self.routers.index(router) in self.stopping:
            router = self.random.choice(self.routers)
        left = caller.patience - (self.now - caller.asked_at)
        path = f"/{caller.kind.name}/"
        incoming = state_module.IncomingRequest(
            site.HOST, path, caller.team, left, caller.prompt
        )
        number, pending = core.handle_request(router.state, self.now, incoming)
        router.callers[number] = caller
        self.apply(router, pending)

    def apply(self, router: site._Router, pending: list) -> None:
        for effect in pending:
            match effect:
                case effects.SendRequest():
                    self.send(router, effect)
                case effects.AbortAttempt():
                    self.abort(router, effect)
                case effects.AbortResponse() | effects.AnswerError():
                    self.end(router, effect)

    def send(self, router: site._Router, effect: effects.SendRequest) -> None:
        key = router.name, effect.request
        caller = router.callers[effect.request]
        if key in self.runs:
            self.let_go[key] = self.remove_run(key)
        if self.let_go.pop(key, None) is not None:
            is_repeated = caller.kind.name != cases.RESUMABLE
            self.figures.counts["moved"] += 1
            self.figures.counts["repeated"] += is_repeated
        engine = self.engines[effect.upstream]
        prompt = caller.prompt
        left = max(1, prompt.output // cases.EVENT_TOKENS - caller.events)
        run = cases.Run(
            router, key[1], prompt.tokens, left, caller, engine, self.now
        )
        self.runs[key] = run
        engine.batch.waiting.append(run)
        if engine.name in self.silent:
            if self.now >= self.returns_at and engine.name in self.unsent:
                self.unsent.discard(engine.name)
                self.figures.idle.append(self.now - self.returns_at)
            if self.is_gone(engine) and caller.silent_since is None:
                caller.silent_since = self.now
        if not engine.batch.is_busy:
            self.start_step(engine)

    def is_gone(self, engine: site._Engine) -> bool:
        is_silent = engine.name in self.silent and self.now >= self.at
        return is_silent and self.returns_at == math.inf

    def start_step(self, engine: site._Engine) -> None:
        step = batches.start_step(
            engine.batch,
            cases.BATCHING,
            self.site.slots,
            self.site.prefill_rate,
        )
        if step is not None:
            when = self.now + step.seconds
            self.schedule(when, self.end_step, engine, step)

    def end_step(self, engine: site._Engine, step: batches.Step) -> None:
        if engine.name in self.silent and self.at <= self.now < self.returns_at:
            if self.returns_at < math.inf:
                self.schedule(self.returns_at, self.end_step, engine, step)
            return
        made = batches.end_step(engine.batch, cases.BATCHING, step)
        for run in [*made.begun, *made.events]:
            if self.is_current(run):
                self.deliver(run)
        for run in made.ended:
            if self.is_current(run):
                self.complete(run)
        self.start_step(engine)

    def is_current(self, run: cases.Run) -> bool:
        return self.runs.get((run.router.name, run.number)) is run

    def deliver(self, run: cases.Run) -> None:
        outcomes.record_response(
            run.router.state, self.now, run.number, first=True
        )
        caller, run.last_at = run.caller, self.now
        caller.events += 1
        self.end_wait(caller)
        if caller.began_at == math.inf:
            caller.began_at = self.now
            if self.at <= self.now < self.at + 5.0:
                cost = prompts.compute_cost(caller.prompt)
                self.figures.tokens += cost / 5.0

    def complete(self, run: cases.Run) -> None:
        del self.runs[run.router.name, run.number]
        end = outcomes.AttemptEnd.COMPLETE
        state, caller = run.router.state, run.caller
        self.apply(
            run.router, outcomes.end_attempt(state, self.now, run.number, end)
        )
        run.router.callers.pop(run.number)
        is_late = caller.began_at - caller.asked_at > caller.kind.target
        self.figures.counts["late" if is_late else "in_time"] += 1

    def abort(self, router: site._Router, effect: effects.AbortAttempt) -> None:
        key = router.name, effect.request
        if self.runs[key].engine.name != effect.upstream:
            return  # Another engine has taken over already.
        run = self.remove_run(key)
        if effect.reason is not effects.EndReason.DEADLINE:
            self.let_go[key] = run
        elif self.is_gone(run.engine):
            self.figures.counts["ended_at_gone"] += 1
        else:
            self.figures.counts["expired"] += 1

    def remove_run(self, key: tuple[str, int]) -> cases.Run:
        run = self.runs.pop(key)
        batch = run.engine.batch
        batch.running = [one for one in batch.running if one is not run]
        waiting = [one for one in batch.waiting if one is not run]
        batch.waiting = collections.deque(waiting)
        return run

    def end(self, router: site._Router, effect: effects.Effect) -> None:
        caller = router.callers.pop(effect.request)
        run = self.let_go.pop((router.name, effect.request), None)
        limit = caller.asked_at + caller.patience
        if run is not None:
            caller.was_ended = True
            if self.is_gone(run.engine):
                self.figures.counts["ended_at_gone"] += 1
            elif run.engine.name not in self.silent or limit > self.returns_at:
                self.figures.counts["faults"] += 1
        if caller.silent_since is not None and not caller.saw_error:
            caller.saw_error = True
            errors = self.figures.errors[caller.kind.name]
            errors.append(self.now - caller.silent_since)
        pause = getattr(effect, "retry_after", None)
        may_return = pause is not None and not caller.retried
        if caller.was_ended and caller.kind.name == cases.RESUMABLE:
            may_return, pause = True, pause or RETURN_DELAY
        if not may_return or self.now + pause >= limit:
            self.end_wait(caller)
            self.figures.counts["unserved"] += 1
            return
        caller.retried = True
        others = [one for one in self.routers if one is not router]
        other = self.random.choice(others)
        self.schedule(self.now + pause, self.submit, other, caller)

    def end_wait(self, caller: cases.Caller) -> None:
        if caller.silent_since is not None:
            waits = self.figures.waits[caller.kind.name]
            waits.append(self.now - caller.silent_since)
            caller.silent_since, caller.saw_error = None, False


def simulate(
    routers: int, load: float, trouble: str, seed: int
) -> cases.Figures:
    """Simulates a trouble of a fleet.

    Args:
        routers: Number of routers, a key of `silence_cases.FLEETS`.
        load: Request rate as a fraction of what the engines can run.
        trouble: Name of the trouble, a key of `silence_cases.TROUBLES`.
        seed: Seed of the requests, the engines and the moment.

    Returns:
        The figures.
    """
    return _Simulation(routers, load, cases.TROUBLES[trouble], seed).run()
