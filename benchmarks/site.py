"""A site of routers and engines under load, driven by an event queue.

Routers are the decisions of `sycamorefall.direct` with the messages that they
tell each other. Engines read prompts in order of arrival, keep what they read
until newer prompts push it out, and copy parts from each other. Callers that
are refused come back once, as late as they were told. Time goes in steps, and
all draws come from the seed, so a second run gives the same figures.
"""

__all__ = ["Figures", "Kind", "Site", "run_site"]

import collections
import dataclasses
import heapq
import itertools
import random

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

FIRST_STEP = 0.03
"""Seconds from the end of reading to the first event."""


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


@dataclasses.dataclass(slots=True, frozen=True)
class Site:
    """Size and load of a site.

    Attributes:
        kinds: What is asked.
        routers: Routers; the first one gets half of the requests.
        engines: Engines.
        slots: Requests that one runs at once.
        memory: Tokens that its cache holds.
        reading: Tokens that it reads in a second.
        fetching: Tokens that it copies in a second.
        making: Seconds for a token that is made.
        teams: Teams; each asks half as often as the one before.
        seconds: How long callers ask.
        seed: Seed of all draws.
    """

    kinds: tuple[Kind, ...]
    routers: int = 4
    engines: int = 6
    slots: int = 32
    memory: int = 300_000
    reading: float = 60_000.0
    fetching: float = 600_000.0
    making: float = 0.01
    teams: int = 6
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
    cache: caches.Cache = dataclasses.field(default_factory=caches.Cache)
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
    """A router; `callers` are those of its requests, by number."""

    name: str
    state: state_module.DirectState
    told: exchange.Exchange
    callers: dict[int, _Caller] = dataclasses.field(default_factory=dict)


class _World:
    """A run: the event queue and all that lives in it."""

    __slots__ = (
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

    def plan(self, time: float, act, *given: object) -> None:
        """Plans what happens at a time."""
        heapq.heappush(self.events, (time, next(self.numbers), act, given))

    def run(self) -> Figures:
        """Plays the load to its end."""
        for kind in self.site.kinds:
            _plan_callers(self, kind)
        for router in self.routers:
            self.plan(0.0, _tick, self, router)
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
    state = state_module.create_state(
        "a", settings.BoundSettings(), site.seed + number
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
        site.engines * site.reading,
    )
    core.apply_catalog(state, 0.0, known)
    listing = [
        upstreams.Listed(
            f"e{n}",
            SERVICE,
            settings.Address("127.0.0.1", n + 1),
            "a",
            site.slots,
            False,
        )
        for n in range(site.engines)
    ]
    core.apply_listing(state, 0.0, listing)
    seeds = tuple(f"127.0.0.1:{100 + n}" for n in range(site.routers))
    return _Router(name, state, exchange.Exchange(name, seeds[number], seeds))


def _plan_callers(world: _World, kind: Kind) -> None:
    draws = world.random
    sizes = [
        max(1, int(draws.lognormvariate(0, 0.7) * kind.shared / 1.28))
        for _ in range(kind.parts)
    ]
    weights = [0.5**n for n in range(world.site.teams)]
    time = draws.expovariate(kind.rate)
    while time < world.site.seconds:
        part = draws.randrange(kind.parts)
        own = max(1, int(draws.lognormvariate(0, 1.0) * kind.own / 1.65))
        parts = ((f"{kind.name}-{part}", sizes[part]), (f"{time}", own))
        prompt = prompts.Prompt(sizes[part] + own, kind.output, parts)
        team = draws.choices(range(world.site.teams), weights)[0]
        patience = kind.patience * (1 - kind.spread * draws.random())
        caller = _Caller(kind, f"{KEY}-{team}", prompt, time, patience)
        others = world.routers[1:]
        first = draws.random() < 0.5
        router = world.routers[0] if first else draws.choice(others)
        world.figures.asked[kind.name] += prompt.tokens
        world.plan(time, _ask, world, router, caller)
        time += draws.expovariate(kind.rate)


def _ask(world: _World, router: _Router, caller: _Caller) -> None:
    left = caller.patience - (world.now - caller.asked_at)
    new = state_module.NewRequest(
        HOST, f"/{caller.kind.name}/x", caller.team, left, caller.prompt
    )
    number, done = core.take_request(router.state, world.now, new)
    router.callers[number] = caller
    _perform(world, router, done)


def _tick(world: _World, router: _Router) -> None:
    state, now = router.state, world.now
    freshness.note_proof(state.freshness, now)
    _perform(world, router, core.run_timers(state, now))
    if now >= exchange.find_next_due(router.told, state):
        load = exchange.write_load(router.told, state, now)
        envelope = messages.Envelope(router.name, 1, 1, load)
        for other in world.routers:
            if other is not router:
                world.plan(now + 0.002, _hear, world, other, envelope)
    world.plan(now + TICK, _tick, world, router)


def _hear(world: _World, router: _Router, envelope: messages.Envelope) -> None:
    exchange.take_load(router.told, router.state, world.now, envelope)


def _perform(
    world: _World, router: _Router, done: list[effects.Effect]
) -> None:
    for effect in done:
        match effect:
            case effects.SendTo():
                _read(world, router, effect)
            case effects.Fail():
                _refuse(world, router, effect)


def _read(world: _World, router: _Router, send: effects.SendTo) -> None:
    """Has an engine read a prompt behind all that it was sent before."""
    site, prompt = world.site, router.callers[send.request].prompt
    engine = world.engines[send.upstream]
    held = caches.count_held(engine.cache, prompt)
    fetched = 0
    if send.source is not None:
        source = world.engines[f"e{send.source.port - 1}"]
        found = caches.count_held(source.cache, prompt)
        fetched = max(0, min(found, prompt.shared) - held)
    read = prompt.tokens - held - fetched
    world.figures.read += read
    if prompt.digests[0][0] in world.seen:
        world.figures.again += max(0, prompt.shared - held - fetched)
    world.seen.add(prompt.digests[0][0])
    caches.note_parts(engine.cache, prompt.digests, site.memory)
    took = read / site.reading + fetched / site.fetching
    engine.free_at = max(world.now, engine.free_at) + took
    first_at = engine.free_at + FIRST_STEP
    world.plan(first_at, _begin, world, router, send.request)
    ends_at = first_at + prompt.output * site.making
    world.plan(ends_at, _end, world, router, send.request)


def _begin(world: _World, router: _Router, number: int) -> None:
    caller = router.callers[number]
    outcomes.note_answer(router.state, world.now, number, first=True)
    if world.now - caller.asked_at <= caller.kind.target:
        world.figures.on_time[caller.kind.name] += caller.prompt.tokens


def _end(world: _World, router: _Router, number: int) -> None:
    end = outcomes.AttemptEnd.COMPLETE
    done = outcomes.end_attempt(router.state, world.now, number, end)
    _perform(world, router, done)
    del router.callers[number]


def _refuse(world: _World, router: _Router, fail: effects.Fail) -> None:
    caller = router.callers.pop(fail.request)
    world.figures.refusals[caller.kind.name] += 1
    if caller.again or fail.retry_after is None:
        return
    caller.again = True
    others = [one for one in world.routers if one is not router]
    time = world.now + fail.retry_after
    if time - caller.asked_at < caller.patience:
        other = world.random.choice(others)
        world.plan(time, _ask, world, other, caller)
