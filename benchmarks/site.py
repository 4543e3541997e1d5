"""Simulation of a site with routers and engines under load.

Routers run the decision core of `sycamorefall.direct` and exchange its
messages. Engines compute prompts in order of arrival, at a constant rate or in
the steps of a batch (see `batches`), cache them until newer prompts evict them,
and copy cached parts from each other. Refused callers retry
once, after the delay that the router told them. All random choices follow from
the seed, so a second run gives the same figures.
"""

__all__ = [
    "EngineLoss",
    "Figures",
    "LostUpdates",
    "PowerLoss",
    "RequestKind",
    "Site",
    "Surge",
    "run_site",
]

import collections
from collections.abc import Iterable, Sequence
import dataclasses
import heapq
import itertools
import math
import random

from benchmarks import batches
from benchmarks import shares as shares_module
from sycamorefall import messages, settings
from sycamorefall.direct import (
    caches,
    catalog,
    core,
    effects,
    exchange,
    freshness,
    outcomes,
    prompts,
    upstreams,
)
from sycamorefall.direct import state as state_module

SERVICE = "engine"
HOST = "site.example"
KEY = "key"

TIMER_INTERVAL = 0.005
"""Seconds between two runs of a router's timers."""

FIRST_TOKEN_OVERHEAD = 0.03
"""Seconds from the end of prefill to the first token."""

NUMBERS_PER_PROCESS = 1_000_000
"""Step between the first request numbers of two processes of a router.

It exceeds the number of requests that one process handles.
"""

MESSAGE_DELAY = 0.002
"""Seconds that a message between two routers takes."""


@dataclasses.dataclass(slots=True, frozen=True)
class RequestKind:
    """A kind of request.

    Attributes:
        name: Name of its route.
        rate: Requests per second, at all routers.
        target: Target latency of the first token, in seconds.
        patience: Longest time that a caller waits, in seconds.
        parts: Number of shared parts, drawn with equal probability.
        shared_mean: Mean tokens of a shared part.
        own_mean: Mean tokens of the unique part, which are lognormal.
        output_tokens: Number of tokens that the engine produces.
        patience_spread: Fraction of the patience by which callers differ.
        own_sigma: Standard deviation of the logarithm of the unique part's
            tokens.
        own_max: Largest number of tokens of the unique part.
    """

    name: str
    rate: float
    target: float
    patience: float
    parts: int
    shared_mean: int
    own_mean: int
    output_tokens: int
    patience_spread: float = 0.15
    own_sigma: float = 1.0
    own_max: float = math.inf


@dataclasses.dataclass(slots=True, frozen=True)
class PowerLoss:
    """Power loss of a router, which restarts without any state.

    Attributes:
        router: Number of the router.
        at: Time of the power loss, in seconds.
        until: Time of the restart, in seconds.
    """

    router: int
    at: float
    until: float


@dataclasses.dataclass(slots=True, frozen=True)
class EngineLoss:
    """Loss of an engine for good, with all that runs there.

    Attributes:
        engine: Number of the engine.
        at: Time of the loss, in seconds.
        listed_until: Time from which routers no longer list it, in seconds.
    """

    engine: int
    at: float
    listed_until: float


@dataclasses.dataclass(slots=True, frozen=True)
class Surge:
    """A team that sends more from some time on.

    Attributes:
        team: Number of the team.
        at: Start of the surge, in seconds.
        factor: Its request rate from then on, relative to the one before.
    """

    team: int
    at: float
    factor: float


@dataclasses.dataclass(slots=True, frozen=True)
class LostUpdates:
    """An interval in which a router receives deltas but no full updates.

    Full updates are larger, and they use more names that the sender defines
    once, so a router that reads its messages late may lose them alone.

    Attributes:
        router: Number of the router.
        at: Start of the interval, in seconds.
        until: End of the interval, in seconds.
    """

    router: int
    at: float
    until: float


@dataclasses.dataclass(slots=True, frozen=True)
class Site:
    """Size and load of a site.

    Attributes:
        kinds: Kinds of requests.
        routers: Number of routers; without `entries` the first one receives
            half of the requests.
        domains: Number of failure domains over which the routers are spread.
        entries: Numbers of the routers that each team's callers send to.
        engines: Number of engines.
        slots: Requests that an engine runs concurrently.
        cache_tokens: Capacity of an engine's cache, in tokens.
        prefill_rate: Prompt tokens that an engine computes per second.
        fetch_rate: Tokens that an engine copies from another one per second.
        stated_rate: Service rate stated in the configuration, as a fraction of
            the engines' prefill rate.
        token_interval: Seconds between two output tokens without `batching`.
        batching: Steps of an engine's batch; None if engines compute prompts at
            a constant rate beside any output.
        teams: Number of teams; without `weights` each team sends half as many
            requests as the one before it.
        weights: Request rate of each team relative to the others.
        separate_parts: Whether each team has its own shared parts.
        power_losses: Power losses of routers.
        engine_losses: Losses of engines.
        surges: Surges of teams' requests.
        lost_updates: Intervals in which routers receive no full updates.
        seconds: Duration in which callers send requests.
        seed: Seed of all random choices.
    """

    kinds: tuple[RequestKind, ...]
    routers: int = 4
    domains: int = 1
    entries: tuple[tuple[int, ...], ...] = ()
    engines: int = 6
    slots: int = 32
    cache_tokens: int = 300_000
    prefill_rate: float = 60_000.0
    fetch_rate: float = 600_000.0
    stated_rate: float = 1.0
    token_interval: float = 0.01
    batching: batches.Batching | None = None
    teams: int = 6
    weights: tuple[float, ...] = ()
    separate_parts: bool = False
    power_losses: tuple[PowerLoss, ...] = ()
    engine_losses: tuple[EngineLoss, ...] = ()
    surges: tuple[Surge, ...] = ()
    lost_updates: tuple[LostUpdates, ...] = ()
    seconds: float = 12.0
    seed: int = 1


@dataclasses.dataclass(slots=True)
class Figures:
    """Result of a run, in prompt tokens unless stated otherwise.

    Attributes:
        requested: Tokens of all requests, by kind.
        on_time: Tokens of requests whose first token met the target, by kind.
        refusals: Number of refusals, by kind.
        read: Tokens that engines computed.
        reread: Tokens of shared parts that were computed again although some
            engine had computed the part before.
        shares: Requested and received service of each team.
    """

    requested: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    on_time: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    refusals: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    read: int = 0
    reread: int = 0
    shares: shares_module.Shares = dataclasses.field(
        default_factory=shares_module.Shares
    )

    def compute_share(self, kind: str) -> float:
        """Computes the fraction of a kind's tokens answered on time."""
        return self.on_time[kind] / self.requested[kind]

    def compute_total_share(self) -> float:
        """Computes the fraction of all tokens answered on time."""
        return self.on_time.total() / self.requested.total()


@dataclasses.dataclass(slots=True)
class _Engine:
    """An engine.

    Attributes:
        name: Name of the engine.
        cache: Contents of its cache.
        free_at: Time at which it has computed all prompts in its queue.
        batch: Its batch, if the site has `batching`.
        alive: Whether it answers.
    """

    name: str
    cache: caches.CacheEstimate = dataclasses.field(
        default_factory=caches.CacheEstimate
    )
    free_at: float = 0.0
    batch: batches.Batch = dataclasses.field(default_factory=batches.Batch)
    alive: bool = True


@dataclasses.dataclass(slots=True)
class _Caller:
    """A request of a caller.

    Attributes:
        kind: Kind of the request.
        team: Key of the team.
        prompt: The prompt.
        asked_at: Time of the first attempt.
        patience: Longest time that the caller waits, in seconds.
        retried: Whether the caller has retried after a refusal.
    """

    kind: RequestKind
    team: str
    prompt: prompts.Prompt
    asked_at: float
    patience: float
    retried: bool = False


@dataclasses.dataclass(slots=True)
class _Router:
    """A router.

    Attributes:
        name: Name of its VM, also used as its address.
        state: State of its decisions.
        load_exchange: Its exchange of load reports with the other routers.
        callers: Callers of its requests, by request number.
        incarnation: Number of its process, from 1.
        alive: Whether it has power.
    """

    name: str
    state: state_module.DirectState
    load_exchange: exchange.Exchange
    callers: dict[int, _Caller] = dataclasses.field(default_factory=dict)
    incarnation: int = 1
    alive: bool = True


class _Simulation:
    """State of a simulation: event queue, routers, engines and figures."""

    __slots__ = (
        "by_name",
        "engines",
        "events",
        "figures",
        "now",
        "numbers",
        "random",
        "routers",
        "read_parts",
        "site",
    )

    def __init__(self, site: Site):
        self.site = site
        self.random = random.Random(site.seed)
        self.figures = Figures()
        self.now = 0.0
        self.numbers = itertools.count()
        self.events: list = []
        self.read_parts: set[int] = set()
        self.engines = {f"e{n}": _Engine(f"e{n}") for n in range(site.engines)}
        self.routers = [
            _create_router(site, number) for number in range(site.routers)
        ]
        self.by_name = {router.name: router for router in self.routers}

    def schedule(self, time: float, action, *arguments: object) -> None:
        """Schedules an action at a time."""
        heapq.heappush(
            self.events, (time, next(self.numbers), action, arguments)
        )

    def run(self) -> Figures:
        """Runs the simulation to its end, and returns the figures."""
        for kind in self.site.kinds:
            _schedule_requests(self, kind)
        for router in self.routers:
            self.schedule(0.0, _run_timers, self, router)
        for loss in self.site.power_losses:
            router = self.routers[loss.router]
            self.schedule(loss.at, _power_off, router)
            self.schedule(loss.until, _restart, self, router, loss.router)
        for loss in self.site.engine_losses:
            self.schedule(loss.at, _lose_engine, self, loss)
            self.schedule(loss.listed_until, _update_listings, self)
        end = self.site.seconds + max(k.target for k in self.site.kinds) + 2.0
        while self.events and self.events[0][0] < end:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        return self.figures


def run_site(site: Site) -> Figures:
    """Simulates the load on a site.

    Args:
        site: Size and load of the site.

    Returns:
        The figures.
    """
    return _Simulation(site).run()


def _list_engines(site: Site, now: float) -> list[upstreams.UpstreamEntry]:
    gone = {
        loss.engine for loss in site.engine_losses if loss.listed_until <= now
    }
    return [
        upstreams.UpstreamEntry(
            f"e{n}",
            SERVICE,
            settings.Address("127.0.0.1", n + 1),
            f"domain-{n % site.domains}",
            site.slots,
            False,
            software_version="v1",
        )
        for n in range(site.engines)
        if n not in gone
    ]


def _create_router(site: Site, number: int, now: float = 0.0) -> _Router:
    name = f"front-{number}"
    domain = f"domain-{number % site.domains}"
    state = state_module.create_state(
        domain, settings.BoundSettings(), site.seed + number, 0.0
    )
    routes = [
        catalog.Route(
            kind.name,
            HOST,
            f"/{kind.name}/",
            catalog.RouteKind.STREAM,
            (catalog.Share(SERVICE, 1.0),),
            kind.patience,
            kind.target,
        )
        for kind in site.kinds
    ]
    engine = catalog.Engine(site.slots, site.cache_tokens, site.fetch_rate)
    teams = {f"{KEY}-{n}": catalog.Team(f"t{n}") for n in range(site.teams)}
    fleet_catalog = catalog.create_catalog(
        1,
        routes,
        [catalog.Service(SERVICE, 100, engine)],
        teams,
        True,
        site.stated_rate * site.engines * site.prefill_rate,
    )
    core.apply_catalog(state, 0.0, fleet_catalog)
    core.apply_listing(state, now, _list_engines(site, now))
    seeds = tuple(f"front-{n}" for n in range(site.routers))
    return _Router(name, state, exchange.Exchange(name, name, seeds))


def _power_off(router: _Router) -> None:
    router.alive = False
    router.callers.clear()


def _restart(simulation: _Simulation, router: _Router, number: int) -> None:
    new = _create_router(simulation.site, number, simulation.now)
    new.load_exchange.started_at = simulation.now
    router.state, router.load_exchange = new.state, new.load_exchange
    router.incarnation += 1
    router.alive = True
    # Engines still answer requests of the previous process, so request
    # numbers must not be reused.
    router.state.last_number = router.incarnation * NUMBERS_PER_PROCESS


def _lose_engine(simulation: _Simulation, loss: EngineLoss) -> None:
    """Ends all attempts at an engine as broken."""
    engine = simulation.engines[f"e{loss.engine}"]
    engine.alive = False
    runs = [*engine.batch.running, *engine.batch.waiting]
    engine.batch = batches.Batch()
    for run in runs:
        _break_attempt(simulation, run.router, run.number)


def _break_attempt(
    simulation: _Simulation, router: _Router, number: int
) -> None:
    if number in router.state.requests:
        end = outcomes.AttemptEnd.BROKEN
        _apply_effects(
            simulation,
            router,
            outcomes.end_attempt(router.state, simulation.now, number, end),
        )


def _update_listings(simulation: _Simulation) -> None:
    listing = _list_engines(simulation.site, simulation.now)
    for router in simulation.routers:
        core.apply_listing(router.state, simulation.now, listing)


def _schedule_requests(simulation: _Simulation, kind: RequestKind) -> None:
    rng = simulation.random
    sizes = [
        max(1, int(rng.lognormvariate(0, 0.7) * kind.shared_mean / 1.28))
        for _ in range(kind.parts)
    ]
    weights = simulation.site.weights or [
        0.5**n for n in range(simulation.site.teams)
    ]
    teams = range(simulation.site.teams)
    _schedule_stream(simulation, kind, sizes, (teams, weights), 0.0, kind.rate)
    for surge in simulation.site.surges:
        share = weights[surge.team] / sum(weights)
        rate = kind.rate * share * (surge.factor - 1)
        choice = (surge.team,), (1.0,)
        _schedule_stream(simulation, kind, sizes, choice, surge.at, rate)


def _schedule_stream(
    simulation: _Simulation,
    kind: RequestKind,
    sizes: list[int],
    choice: tuple[Sequence[int], Sequence[float]],
    start: float,
    rate: float,
) -> None:
    """Schedules requests of a kind at random times.

    Args:
        simulation: The simulation.
        kind: Kind of the requests.
        sizes: Tokens of each shared part.
        choice: Numbers of the teams that send them, and their weights.
        start: Time from which they are sent.
        rate: Requests per second.
    """
    rng = simulation.random
    time = start + rng.expovariate(rate)
    while time < simulation.site.seconds:
        part = rng.randrange(kind.parts)
        own = _draw_own_tokens(rng, kind)
        team = rng.choices(*choice)[0]
        if simulation.site.separate_parts:
            part = _select_team_part(simulation.site, kind, part, team)
        parts = ((f"{kind.name}-{part}", sizes[part]), (f"{time}", own))
        prompt = prompts.Prompt(sizes[part] + own, kind.output_tokens, parts)
        patience = kind.patience * (1 - kind.patience_spread * rng.random())
        caller = _Caller(kind, f"{KEY}-{team}", prompt, time, patience)
        router = _choose_router(simulation, team)
        simulation.figures.requested[kind.name] += prompt.tokens
        cost = prompts.compute_cost(prompt)
        shares_module.record_requested(
            simulation.figures.shares, time, caller.team, cost
        )
        simulation.schedule(time, _submit_request, simulation, router, caller)
        time += rng.expovariate(rate)


def _draw_own_tokens(rng: random.Random, kind: RequestKind) -> int:
    """Draws the number of tokens of the unique part of a prompt."""
    mean = round(math.exp(kind.own_sigma**2 / 2), 2)
    own = rng.lognormvariate(0, kind.own_sigma) * kind.own_mean / mean
    return int(min(max(1, own), kind.own_max))


def _select_team_part(
    site: Site, kind: RequestKind, part: int, team: int
) -> int:
    """Maps a drawn part to the nearest part that belongs to the team."""
    own = part - part % site.teams + team
    return own if own < kind.parts else own - site.teams


def _choose_router(simulation: _Simulation, team: int) -> _Router:
    """Chooses the router that a caller of a team sends to."""
    rng, entries = simulation.random, simulation.site.entries
    if entries:
        return simulation.routers[rng.choice(entries[team])]
    first = rng.random() < 0.5
    return (
        simulation.routers[0] if first else rng.choice(simulation.routers[1:])
    )


def _submit_request(
    simulation: _Simulation, router: _Router, caller: _Caller
) -> None:
    if not router.alive:
        live = [one for one in simulation.routers if one.alive]
        router = simulation.random.choice(live)
    left = caller.patience - (simulation.now - caller.asked_at)
    incoming = state_module.IncomingRequest(
        HOST, f"/{caller.kind.name}/x", caller.team, left, caller.prompt
    )
    number, new_effects = core.handle_request(
        router.state, simulation.now, incoming
    )
    router.callers[number] = caller
    _apply_effects(simulation, router, new_effects)


def _run_timers(simulation: _Simulation, router: _Router) -> None:
    state, now = router.state, simulation.now
    simulation.schedule(now + TIMER_INTERVAL, _run_timers, simulation, router)
    if not router.alive:
        return
    freshness.record_proof(state.freshness, now)
    _apply_effects(simulation, router, core.run_timers(state, now))
    if now >= exchange.find_next_due(router.load_exchange, state):
        _send_messages(
            simulation,
            router,
            exchange.build_due_messages(router.load_exchange, state, now),
        )


def _send_messages(
    simulation: _Simulation,
    router: _Router,
    reports: Iterable[exchange.OutboundMessage],
) -> None:
    for report in reports:
        envelope = messages.Envelope(
            router.name, router.incarnation, 1, report.message
        )
        for name in report.receivers:
            if name != router.name:
                time = simulation.now + MESSAGE_DELAY
                simulation.schedule(
                    time,
                    _deliver_message,
                    simulation,
                    simulation.by_name[name],
                    envelope,
                )


def _deliver_message(
    simulation: _Simulation, router: _Router, envelope: messages.Envelope
) -> None:
    if not router.alive or _loses_update(simulation, router, envelope.message):
        return
    load_exchange, state, now = (
        router.load_exchange,
        router.state,
        simulation.now,
    )
    if isinstance(envelope.message, messages.KnownRouters):
        exchange.record_known_routers(
            load_exchange, now, envelope.message.routers
        )
        return
    referral = exchange.handle_load(load_exchange, state, now, envelope)
    if referral is not None:
        _send_messages(simulation, router, [referral])


def _loses_update(
    simulation: _Simulation, router: _Router, message: messages.Message
) -> bool:
    return (
        isinstance(message, messages.RouterLoad)
        and message.whole
        and any(
            simulation.routers[lost.router] is router
            and lost.at <= simulation.now < lost.until
            for lost in simulation.site.lost_updates
        )
    )


def _apply_effects(
    simulation: _Simulation, router: _Router, new_effects: list[effects.Effect]
) -> None:
    for effect in new_effects:
        match effect:
            case effects.SendRequest():
                _start_attempt(simulation, router, effect)
            case effects.AnswerError():
                caller = router.callers.pop(effect.request)
                _handle_refusal(simulation, router, caller, effect.retry_after)


def _start_attempt(
    simulation: _Simulation, router: _Router, send: effects.SendRequest
) -> None:
    """Queues a prompt at an engine and schedules its first and last token."""
    site, prompt = simulation.site, router.callers[send.request].prompt
    engine = simulation.engines[send.upstream]
    if not engine.alive:
        time = simulation.now + MESSAGE_DELAY
        simulation.schedule(
            time, _break_attempt, simulation, router, send.request
        )
        return
    cached = caches.count_cached_tokens(engine.cache, prompt)
    fetched = 0
    if send.source is not None:
        source = simulation.engines[f"e{send.source.port - 1}"]
        found = caches.count_cached_tokens(source.cache, prompt)
        fetched = max(0, min(found, prompt.shared) - cached)
    read = prompt.tokens - cached - fetched
    simulation.figures.read += read
    if prompt.digests[0][0] in simulation.read_parts:
        simulation.figures.reread += max(0, prompt.shared - cached - fetched)
    simulation.read_parts.add(prompt.digests[0][0])
    caches.record_parts(engine.cache, prompt.digests, site.cache_tokens)
    if site.batching is not None:
        run = batches.Run(router, send.request, read, prompt.output)
        engine.batch.waiting.append(run)
        if not engine.batch.is_busy:
            _start_step(simulation, engine)
        return
    duration = read / site.prefill_rate + fetched / site.fetch_rate
    engine.free_at = max(simulation.now, engine.free_at) + duration
    first_at = engine.free_at + FIRST_TOKEN_OVERHEAD
    simulation.schedule(
        first_at, _handle_first_token, simulation, router, send.request
    )
    ends_at = first_at + prompt.output * site.token_interval
    simulation.schedule(
        ends_at, _complete_request, simulation, router, send.request
    )


def _start_step(simulation: _Simulation, engine: _Engine) -> None:
    """Starts the next step of an engine's batch, if it has any work."""
    site = simulation.site
    step = batches.start_step(
        engine.batch, site.batching, site.slots, site.prefill_rate
    )
    if step is not None:
        time = simulation.now + step.seconds
        simulation.schedule(time, _end_step, simulation, engine, step)


def _end_step(
    simulation: _Simulation, engine: _Engine, step: batches.Step
) -> None:
    """Delivers the tokens of a step, then starts the next one."""
    if not engine.alive:
        return
    result = batches.end_step(engine.batch, simulation.site.batching, step)
    for run in result.begun:
        _handle_first_token(simulation, run.router, run.number)
    for run in result.events:
        outcomes.record_response(
            run.router.state, simulation.now, run.number, first=True
        )
    for run in result.ended:
        _complete_request(simulation, run.router, run.number)
    _start_step(simulation, engine)


def _handle_first_token(
    simulation: _Simulation, router: _Router, number: int
) -> None:
    caller, shares = router.callers.get(number), simulation.figures.shares
    if caller is None:
        return  # The router ended the request at its deadline.
    outcomes.record_response(router.state, simulation.now, number, first=True)
    cost = prompts.compute_cost(caller.prompt)
    shares_module.record_started(shares, simulation.now, caller.team, cost)
    if simulation.now - caller.asked_at <= caller.kind.target:
        simulation.figures.on_time[caller.kind.name] += caller.prompt.tokens
    else:
        shares_module.record_delayed(shares, simulation.now, caller.team)


def _complete_request(
    simulation: _Simulation, router: _Router, number: int
) -> None:
    end = outcomes.AttemptEnd.COMPLETE
    new_effects = outcomes.end_attempt(
        router.state, simulation.now, number, end
    )
    _apply_effects(simulation, router, new_effects)
    router.callers.pop(number, None)


def _handle_refusal(
    simulation: _Simulation,
    router: _Router,
    caller: _Caller,
    pause: float | None,
) -> None:
    simulation.figures.refusals[caller.kind.name] += 1
    shares = simulation.figures.shares
    shares_module.record_delayed(shares, simulation.now, caller.team)
    if caller.retried or pause is None:
        return
    caller.retried = True
    others = [one for one in simulation.routers if one is not router]
    time = simulation.now + pause
    if time - caller.asked_at < caller.patience:
        other = simulation.random.choice(others)
        simulation.schedule(time, _submit_request, simulation, other, caller)
