"""A site of routers and engines under load, driven by an event queue.

Routers are the decisions of `sycamorefall.direct` with the messages that they
tell each other. Engines read prompts in order of arrival, keep what they read
until newer prompts push it out, and copy parts from each other. Callers that
are refused come back once, as late as they were told. Time goes in steps, and
all draws come from the seed, so a second run gives the same figures.
"""

__all__ = ["Figures", "Kind", "Loss", "Site", "run_site"]

import collections
from collections.abc import Iterable
import dataclasses
import heapq
import itertools
import math
import random

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

TICK = 0.005
"""Seconds between two looks of a router at its timers."""

FIRST_TOKEN_OVERHEAD = 0.03
"""Seconds from the end of reading to the first event."""

REQUESTS = 1_000_000
"""More requests than one process of a router takes."""

MESSAGE_DELAY = 0.002
"""Seconds that a message between two routers takes."""


@dataclasses.dataclass(slots=True, frozen=True)
class Kind:
    """A kind of request.

    Attributes:
        name: Its route.
        rate: Requests in a second, of all routers.
        target: Seconds in which an answer is to begin.
        patience: Seconds that a caller waits at most.
        parts: Shared parts to choose from, all equally often.
        shared: Mean tokens of a shared part.
        own: Mean tokens that no other request shares; lognormal.
        tail: Standard deviation of their logarithm.
        most: Most of these tokens.
        output: Tokens that are made.
        spread: Part of the patience by which callers differ.
    """

    name: str
    rate: float
    target: float
    patience: float
    parts: int
    shared: int
    own: int
    output: int
    spread: float = 0.15
    tail: float = 1.0
    most: float = math.inf


@dataclasses.dataclass(slots=True, frozen=True)
class Loss:
    """A router that loses power, and is back with nothing.

    Attributes:
        router: Its number.
        at: When that is, in seconds.
        until: When it is back.
    """

    router: int
    at: float
    until: float


@dataclasses.dataclass(slots=True, frozen=True)
class Site:
    """Size and load of a site.

    Attributes:
        kinds: What is asked.
        routers: Routers; without `entries` the first one gets half of the
            requests.
        domains: Failure domains over which the routers are spread.
        entries: Numbers of the routers that each team's callers send to.
        engines: Engines.
        slots: Requests that one runs at once.
        memory: Tokens that its cache holds.
        reading: Tokens that it reads in a second.
        fetching: Tokens that it copies in a second.
        stated: What the configuration states the engines to produce, as a
            part of what they can read.
        making: Seconds for a token that is made.
        teams: Teams; without `weights` each asks half as often as the one
            before.
        weights: How much each team asks, as a multiple of the others.
        apart: Whether each team has shared parts of its own.
        losses: Routers that lose power.
        seconds: How long callers ask.
        seed: Seed of all draws.
    """

    kinds: tuple[Kind, ...]
    routers: int = 4
    domains: int = 1
    entries: tuple[tuple[int, ...], ...] = ()
    engines: int = 6
    slots: int = 32
    memory: int = 300_000
    reading: float = 60_000.0
    fetching: float = 600_000.0
    stated: float = 1.0
    making: float = 0.01
    teams: int = 6
    weights: tuple[float, ...] = ()
    apart: bool = False
    losses: tuple[Loss, ...] = ()
    seconds: float = 12.0
    seed: int = 1


@dataclasses.dataclass(slots=True)
class Figures:
    """What a run came to, by kind; all but counts in prompt tokens.

    Attributes:
        asked: Of requests.
        on_time: Of requests whose answers began within the target.
        refusals: Refusals, a number.
        read: Tokens that engines read.
        again: Of these, shared parts that some engine had read before.
        shares: What each team asked for and got.
    """

    asked: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    on_time: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    refusals: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    read: int = 0
    again: int = 0
    shares: shares_module.Shares = dataclasses.field(
        default_factory=shares_module.Shares
    )

    def find_share(self, kind: str) -> float:
        """Finds which part of a kind was answered on time."""
        return self.on_time[kind] / self.asked[kind]

    def find_total(self) -> float:
        """Finds which part of all was answered on time."""
        return self.on_time.total() / self.asked.total()


@dataclasses.dataclass(slots=True)
class _Engine:
    """An engine; `free_at` is when it has read all that it was sent."""

    name: str
    cache: caches.CacheEstimate = dataclasses.field(
        default_factory=caches.CacheEstimate
    )
    free_at: float = 0.0


@dataclasses.dataclass(slots=True)
class _Caller:
    """A caller's request, on its first try or its second."""

    kind: Kind
    team: str
    prompt: prompts.Prompt
    asked_at: float
    patience: float
    again: bool = False


@dataclasses.dataclass(slots=True)
class _Router:
    """A router.

    Attributes:
        name: Its VM, and its address.
        state: Its decisions.
        load_exchange: Its exchange of load reports with the other routers.
        callers: Those of its requests, by number.
        process: Counts its processes, from 1.
        alive: Whether it has power.
    """

    name: str
    state: state_module.DirectState
    load_exchange: exchange.Exchange
    callers: dict[int, _Caller] = dataclasses.field(default_factory=dict)
    process: int = 1
    alive: bool = True


class _World:
    """A run: the event queue and all that lives in it."""

    __slots__ = (
        "by_name",
        "engines",
        "events",
        "figures",
        "now",
        "numbers",
        "random",
        "routers",
        "seen",
        "site",
    )

    def __init__(self, site: Site):
        self.site = site
        self.random = random.Random(site.seed)
        self.figures = Figures()
        self.now = 0.0
        self.numbers = itertools.count()
        self.events: list = []
        self.seen: set[int] = set()
        self.engines = {f"e{n}": _Engine(f"e{n}") for n in range(site.engines)}
        self.routers = [
            _create_router(site, number) for number in range(site.routers)
        ]
        self.by_name = {router.name: router for router in self.routers}

    def plan(self, time: float, act, *given: object) -> None:
        """Plans what happens at a time."""
        heapq.heappush(self.events, (time, next(self.numbers), act, given))

    def run(self) -> Figures:
        """Plays the load to its end."""
        for kind in self.site.kinds:
            _plan_callers(self, kind)
        for router in self.routers:
            self.plan(0.0, _tick, self, router)
        for loss in self.site.losses:
            router = self.routers[loss.router]
            self.plan(loss.at, _lose, router)
            self.plan(loss.until, _restart, self, router, loss.router)
        end = self.site.seconds + max(k.target for k in self.site.kinds) + 2.0
        while self.events and self.events[0][0] < end:
            self.now, _, act, given = heapq.heappop(self.events)
            act(*given)
        return self.figures


def run_site(site: Site) -> Figures:
    """Plays a load on a site.

    Args:
        site: Its size and load.

    Returns:
        The figures.
    """
    return _World(site).run()


def _create_router(site: Site, number: int) -> _Router:
    name = f"front-{number}"
    domain = f"domain-{number % site.domains}"
    state = state_module.create_state(
        domain, settings.BoundSettings(), site.seed + number
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
    engine = catalog.Engine(site.slots, site.memory, site.fetching)
    teams = {f"{KEY}-{n}": catalog.Team(f"t{n}") for n in range(site.teams)}
    known = catalog.create_catalog(
        1,
        routes,
        [catalog.Service(SERVICE, 100, engine)],
        teams,
        True,
        site.stated * site.engines * site.reading,
    )
    core.apply_catalog(state, 0.0, known)
    listing = [
        upstreams.UpstreamEntry(
            f"e{n}",
            SERVICE,
            settings.Address("127.0.0.1", n + 1),
            f"domain-{n % site.domains}",
            site.slots,
            False,
        )
        for n in range(site.engines)
    ]
    core.apply_listing(state, 0.0, listing)
    seeds = tuple(f"front-{n}" for n in range(site.routers))
    return _Router(name, state, exchange.Exchange(name, name, seeds))


def _lose(router: _Router) -> None:
    router.alive = False
    router.callers.clear()


def _restart(world: _World, router: _Router, number: int) -> None:
    new = _create_router(world.site, number)
    new.load_exchange.started_at = world.now
    router.state, router.load_exchange = new.state, new.load_exchange
    router.process += 1
    router.alive = True
    # Engines still answer requests of the process before.
    router.state.last_number = router.process * REQUESTS


def _plan_callers(world: _World, kind: Kind) -> None:
    draws = world.random
    sizes = [
        max(1, int(draws.lognormvariate(0, 0.7) * kind.shared / 1.28))
        for _ in range(kind.parts)
    ]
    weights = world.site.weights or [0.5**n for n in range(world.site.teams)]
    time = draws.expovariate(kind.rate)
    while time < world.site.seconds:
        part = draws.randrange(kind.parts)
        own = _draw_own(draws, kind)
        team = draws.choices(range(world.site.teams), weights)[0]
        if world.site.apart:
            part = _find_own_part(world.site, kind, part, team)
        parts = ((f"{kind.name}-{part}", sizes[part]), (f"{time}", own))
        prompt = prompts.Prompt(sizes[part] + own, kind.output, parts)
        patience = kind.patience * (1 - kind.spread * draws.random())
        caller = _Caller(kind, f"{KEY}-{team}", prompt, time, patience)
        router = _choose_router(world, team)
        world.figures.asked[kind.name] += prompt.tokens
        cost = _reckon_cost(prompt)
        shares_module.note_asked(world.figures.shares, time, caller.team, cost)
        world.plan(time, _ask, world, router, caller)
        time += draws.expovariate(kind.rate)


def _draw_own(draws: random.Random, kind: Kind) -> int:
    """Draws the tokens that a request shares with no other."""
    mean = round(math.exp(kind.tail**2 / 2), 2)
    own = draws.lognormvariate(0, kind.tail) * kind.own / mean
    return int(min(max(1, own), kind.most))


def _find_own_part(site: Site, kind: Kind, part: int, team: int) -> int:
    """Finds the part of a team in whose place one was drawn."""
    own = part - part % site.teams + team
    return own if own < kind.parts else own - site.teams


def _reckon_cost(prompt: prompts.Prompt) -> int:
    return prompt.tokens + prompts.OUTPUT_WEIGHT * prompt.output


def _choose_router(world: _World, team: int) -> _Router:
    """Chooses the router that a team's caller sends to."""
    draws, entries = world.random, world.site.entries
    if entries:
        return world.routers[draws.choice(entries[team])]
    first = draws.random() < 0.5
    return world.routers[0] if first else draws.choice(world.routers[1:])


def _ask(world: _World, router: _Router, caller: _Caller) -> None:
    if not router.alive:
        live = [one for one in world.routers if one.alive]
        router = world.random.choice(live)
    left = caller.patience - (world.now - caller.asked_at)
    incoming = state_module.IncomingRequest(
        HOST, f"/{caller.kind.name}/x", caller.team, left, caller.prompt
    )
    number, done = core.handle_request(router.state, world.now, incoming)
    router.callers[number] = caller
    _perform(world, router, done)


def _tick(world: _World, router: _Router) -> None:
    state, now = router.state, world.now
    world.plan(now + TICK, _tick, world, router)
    if not router.alive:
        return
    freshness.record_proof(state.freshness, now)
    _perform(world, router, core.run_timers(state, now))
    if now >= exchange.find_next_due(router.load_exchange, state):
        _tell(
            world,
            router,
            exchange.build_due_messages(router.load_exchange, state, now),
        )


def _tell(
    world: _World, router: _Router, reports: Iterable[exchange.OutboundMessage]
) -> None:
    for report in reports:
        envelope = messages.Envelope(
            router.name, router.process, 1, report.message
        )
        for name in report.receivers:
            if name != router.name:
                time = world.now + MESSAGE_DELAY
                world.plan(time, _hear, world, world.by_name[name], envelope)


def _hear(world: _World, router: _Router, envelope: messages.Envelope) -> None:
    if not router.alive:
        return
    load_exchange, state, now = router.load_exchange, router.state, world.now
    if isinstance(envelope.message, messages.KnownRouters):
        exchange.record_known_routers(
            load_exchange, now, envelope.message.routers
        )
        return
    referral = exchange.handle_load(load_exchange, state, now, envelope)
    if referral is not None:
        _tell(world, router, [referral])


def _perform(
    world: _World, router: _Router, done: list[effects.Effect]
) -> None:
    for effect in done:
        match effect:
            case effects.SendRequest():
                _read(world, router, effect)
            case effects.AnswerError():
                caller = router.callers.pop(effect.request)
                _refuse(world, router, caller, effect.retry_after)


def _read(world: _World, router: _Router, send: effects.SendRequest) -> None:
    """Has an engine read a prompt behind all that it was sent before."""
    site, prompt = world.site, router.callers[send.request].prompt
    engine = world.engines[send.upstream]
    held = caches.count_cached_tokens(engine.cache, prompt)
    fetched = 0
    if send.source is not None:
        source = world.engines[f"e{send.source.port - 1}"]
        found = caches.count_cached_tokens(source.cache, prompt)
        fetched = max(0, min(found, prompt.shared) - held)
    read = prompt.tokens - held - fetched
    world.figures.read += read
    if prompt.digests[0][0] in world.seen:
        world.figures.again += max(0, prompt.shared - held - fetched)
    world.seen.add(prompt.digests[0][0])
    caches.record_parts(engine.cache, prompt.digests, site.memory)
    took = read / site.reading + fetched / site.fetching
    engine.free_at = max(world.now, engine.free_at) + took
    first_at = engine.free_at + FIRST_TOKEN_OVERHEAD
    world.plan(first_at, _begin, world, router, send.request)
    ends_at = first_at + prompt.output * site.making
    world.plan(ends_at, _end, world, router, send.request)


def _begin(world: _World, router: _Router, number: int) -> None:
    caller, shares = router.callers.get(number), world.figures.shares
    if caller is None:
        return  # It was given up at its deadline.
    outcomes.record_response(router.state, world.now, number, first=True)
    cost = _reckon_cost(caller.prompt)
    shares_module.note_begun(shares, world.now, caller.team, cost)
    if world.now - caller.asked_at <= caller.kind.target:
        world.figures.on_time[caller.kind.name] += caller.prompt.tokens
    else:
        shares_module.note_delayed(shares, world.now, caller.team)


def _end(world: _World, router: _Router, number: int) -> None:
    end = outcomes.AttemptEnd.COMPLETE
    done = outcomes.end_attempt(router.state, world.now, number, end)
    _perform(world, router, done)
    router.callers.pop(number, None)


def _refuse(
    world: _World, router: _Router, caller: _Caller, pause: float | None
) -> None:
    world.figures.refusals[caller.kind.name] += 1
    shares = world.figures.shares
    shares_module.note_delayed(shares, world.now, caller.team)
    if caller.again or pause is None:
        return
    caller.again = True
    others = [one for one in world.routers if one is not router]
    time = world.now + pause
    if time - caller.asked_at < caller.patience:
        other = world.random.choice(others)
        world.plan(time, _ask, world, other, caller)
