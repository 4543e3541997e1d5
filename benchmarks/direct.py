"""Cost of a decision of a router that sends directly, at two fleet sizes.

The router knows many other routers, all engines are full, and teams have
waiting requests with several target latencies. Each step is repeated, and its
cost is measured in microseconds of processor time. The lowest cost of several
rounds is reported, as other work on the machine can only increase it. Run it
with `python -m benchmarks.direct`.
"""

__all__ = [
    "SIZES",
    "FullRouter",
    "Size",
    "create_full_router",
    "list_steps",
    "main",
]

import argparse
from collections.abc import Callable
import dataclasses
import itertools
import json
import random
import time

import msgspec

from sycamorefall import messages, settings
from sycamorefall.direct import (
    caches,
    catalog,
    core,
    dispatching,
    exchange,
    fetching,
    freshness,
    outcomes,
    placement_constraints,
    prompts,
    stalls,
    upstream_selection,
    upstreams,
)
from sycamorefall.direct import state as state_module

HOST = "site.example"
TARGETS = (0.3, 0.6, 1.2)
SLOTS = 32
CACHE_TOKENS = 300_000
SHARED_PARTS = 300
"""Number of shared prompt parts to draw from."""

QUEUED_TOKENS = 12_000
"""Prompt tokens of a long engine queue: 0.15 s of prefill."""

NOW = 1.0
ROUNDS = 5
ROUND_TIME = 0.05
"""Minimum processor time of a round, in seconds."""


@dataclasses.dataclass(slots=True, frozen=True)
class Size:
    """Size of a fleet, and load of one of its routers.

    Attributes:
        routers: Number of routers.
        services: Number of services with engines.
        engines: Number of engines per service.
        teams: Number of teams with a key.
        waiting_teams: Number of teams with waiting requests at this router, all
            for the first service.
        requests_per_target: Waiting requests per team and target latency.
        running_per_engine: Requests of this router that run at each engine of
            the first service.
    """

    routers: int
    services: int
    engines: int
    teams: int
    waiting_teams: int
    requests_per_target: int = 5
    running_per_engine: int = 8


SIZES = {
    "28 routers, 26 engines, 30 teams": Size(28, 1, 26, 30, 30),
    "370 routers, 910 engines, 31,000 teams": Size(370, 19, 48, 31_000, 40),
}


@dataclasses.dataclass(slots=True)
class FullRouter:
    """A router whose engines are full.

    Attributes:
        size: Size of its fleet.
        state: State of its decisions.
        load_exchange: Its exchange of load reports with the other routers.
        random: Random number generator.
        full_loads: A full load message of each other router.
    """

    size: Size
    state: state_module.DirectState
    load_exchange: exchange.Exchange
    random: random.Random
    full_loads: list[messages.Envelope] = dataclasses.field(
        default_factory=list
    )


def create_full_router(
    size: Size, seed: int = 1, others: int | None = None
) -> FullRouter:
    """Creates a router whose engines are all full.

    Args:
        size: Size of the fleet.
        seed: Seed of all random choices.
        others: Requests of the other routers at each engine; by default as many
            as fill the engine.

    Returns:
        The router, at `NOW`.
    """
    state = state_module.create_state("a", settings.BoundSettings(), seed, 0.0)
    seeds = tuple(f"127.0.0.1:{2 + n}" for n in range(size.routers - 1))
    load_exchange = exchange.Exchange("front-0", "127.0.0.1:1", seeds)
    router = FullRouter(size, state, load_exchange, random.Random(seed))
    core.apply_catalog(state, 0.0, _create_catalog(size))
    core.apply_listing(state, 0.0, _list_engines(size))
    freshness.record_proof(state.freshness, NOW)
    _fill_caches(router)
    _start_own_requests(router)
    others_per_engine = (
        SLOTS - size.running_per_engine if others is None else others
    )
    router.full_loads = [
        _create_full_load(router, n, others_per_engine)
        for n in range(1, size.routers)
    ]
    for envelope in router.full_loads:
        exchange.handle_load(load_exchange, state, NOW, envelope)
    for _ in range(size.requests_per_target):
        for team, target in itertools.product(
            range(size.waiting_teams), TARGETS
        ):
            add_waiting_request(router, team, target)
    return router


def _create_catalog(size: Size) -> catalog.Catalog:
    routes = [
        catalog.Route(
            f"r{target}",
            HOST,
            f"/{target}/",
            catalog.RouteKind.STREAM,
            (catalog.Share("engine-0", 1.0),),
            8.0,
            target,
        )
        for target in TARGETS
    ]
    engine = catalog.Engine(SLOTS, CACHE_TOKENS, 600_000.0)
    services = [
        catalog.Service(f"engine-{n}", 100, engine)
        for n in range(size.services)
    ]
    teams = {f"k{n}": catalog.Team(f"t{n}") for n in range(size.teams)}
    rate = 60_000.0 * size.engines * size.services
    return catalog.create_catalog(1, routes, services, teams, True, rate)


def _list_engines(size: Size) -> list[upstreams.UpstreamEntry]:
    return [
        upstreams.UpstreamEntry(
            f"e{n}",
            f"engine-{n % size.services}",
            settings.Address("127.0.0.1", n + 1),
            "a",
            SLOTS,
            False,
            software_version="v1",
        )
        for n in range(size.engines * size.services)
    ]


def draw_prompt(router: FullRouter) -> prompts.Prompt:
    """Draws a prompt that consists of a long shared part and a unique part."""
    part, rng = router.random.randrange(SHARED_PARTS), router.random
    shared, own = 2000 + 20 * part, max(1, int(rng.expovariate(1 / 1500)))
    parts = (("system", 300), (f"part-{part}", shared), (f"{own}", own))
    return prompts.Prompt(300 + shared + own, 100, parts)


def _fill_caches(router: FullRouter) -> None:
    for one in router.state.table.by_name.values():
        for _ in range(40):
            caches.record_parts(
                one.cache, draw_prompt(router).digests, CACHE_TOKENS
            )


def create_request(
    router: FullRouter, team: int, target: float
) -> state_module.IncomingRequest:
    """Creates a request of a team."""
    prompt = draw_prompt(router)
    return state_module.IncomingRequest(
        HOST, f"/{target}/x", f"k{team}", 8.0, prompt
    )


def _start_own_requests(router: FullRouter) -> None:
    """Sends requests of this router to the engines that it selects."""
    for number in range(router.size.running_per_engine * router.size.engines):
        team = number % router.size.waiting_teams
        target = router.random.choice(TARGETS)
        incoming = create_request(router, team, target)
        request, _ = core.handle_request(router.state, NOW, incoming)
        outcomes.record_response(router.state, NOW, request, first=True)


def _create_full_load(
    router: FullRouter, number: int, others: int
) -> messages.Envelope:
    """Creates a full load message of another router.

    Each other router runs an equal share of the requests at each engine.

    Args:
        router: The receiving router.
        number: Number of the other router, from 1.
        others: Requests of all other routers at each engine.
    """
    size, rng = router.size, router.random
    names = list(router.state.table.by_name)
    part = others / (size.routers - 1)
    loads = [
        messages.UpstreamLoad(
            name,
            int(part * number) - int(part * (number - 1)),
            rng.randrange(300),
            rng.randrange(4000),
            rng.randrange(10**6) if rng.random() < 0.3 else -1,
        )
        for name in names[:: size.services]
    ]
    teams = [
        messages.TeamService(f"t{n}", rng.randrange(10**6))
        for n in range(size.waiting_teams)
    ]
    service = messages.ServiceDemand("engine-0", tuple(teams))
    message = messages.RouterLoad(
        1, f"127.0.0.1:{1 + number}", (), tuple(loads), (service,)
    )
    return messages.Envelope(f"front-{number}", 1, 1, message)


def add_waiting_request(
    router: FullRouter, team: int, target: float
) -> state_module.Request:
    """Submits a request, which waits in the router if no engine is free."""
    number, sent = core.handle_request(
        router.state, NOW, create_request(router, team, target)
    )
    request = router.state.requests[number]
    if not sent and request.attempt is None:
        dispatching.dequeue_request(router.state, request)
        dispatching.enqueue_request(router.state, request)
    return request


def _create_router_with_queues(size: Size) -> state_module.DirectState:
    """Creates a router whose engines have free slots but long prompt queues."""
    state = create_full_router(size, others=SLOTS // 2).state
    for one in state.table.by_service["engine-0"]:
        one.own_load.unread += QUEUED_TOKENS
    return state


def list_steps(router: FullRouter) -> dict[str, Callable[[], object]]:
    """Lists the measured steps, each of which can be repeated.

    Returns:
        Functions by name.
    """
    state, load_exchange, size = router.state, router.load_exchange, router.size
    service = state.catalog.services["engine-0"]
    waiting = [one for one in state.requests.values() if not one.attempt]
    idle_state = dataclasses.replace(
        state, requests={one.number: one for one in waiting}, running=0
    )
    request = waiting[len(waiting) // 2]
    queued = _create_router_with_queues(size)
    constraints = placement_constraints.compute_constraints(state, NOW, request)
    group = dispatching.measure_free_engines(state, NOW, "engine-0")
    engine = state.table.by_service["engine-0"][0]
    sequences = itertools.count(2)
    senders = itertools.cycle(router.full_loads)
    partial = router.full_loads[0].message.upstreams[:3]

    def build_full_load():
        load_exchange.own_group.due = 0.0
        exchange.build_load_message(load_exchange, state, NOW)

    def build_partial_load():
        load_exchange.own_group.due = NOW + 1.0
        exchange.build_load_message(load_exchange, state, NOW)

    def handle_full_load():
        envelope = next(senders)
        load = msgspec.structs.replace(
            envelope.message, sequence=next(sequences)
        )
        later = messages.Envelope(envelope.sender, 1, 1, load)
        exchange.handle_load(load_exchange, state, NOW, later)

    def handle_partial_load():
        load = messages.RouterLoad(
            next(sequences), "", upstreams=partial, whole=False
        )
        later = messages.Envelope(router.full_loads[0].sender, 1, 1, load)
        exchange.handle_load(load_exchange, state, NOW, later)

    def submit_and_cancel():
        number, _ = core.handle_request(
            state, NOW, create_request(router, 1, TARGETS[1])
        )
        core.cancel_request(state, number, NOW)

    def apply_catalog():
        new_catalog = dataclasses.replace(
            state.catalog, version=state.catalog.version + 1
        )
        core.apply_catalog(state, NOW, new_catalog)

    return {
        "write whole message": build_full_load,
        "write change": build_partial_load,
        "take whole message": handle_full_load,
        "take change": handle_partial_load,
        "look at waiting requests": lambda: dispatching.send_waiting_requests(
            state, NOW
        ),
        "the same, slots but long queues": lambda: (
            dispatching.send_waiting_requests(queued, NOW)
        ),
        "try a request": lambda: dispatching.try_send(state, NOW, request),
        "describe a need": lambda: placement_constraints.compute_constraints(
            state, NOW, request
        ),
        "choose an engine": lambda: upstream_selection.choose_upstream(
            state.table, NOW, service, constraints, "a", group
        ),
        "choose a source": lambda: fetching.choose_source(
            state.table, NOW, service, request.incoming.prompt, engine
        ),
        "take and cancel": submit_and_cancel,
        "explain a refusal": lambda: dispatching.explain_refusal(
            state, NOW, request
        ),
        "find what is due next": lambda: core.find_next_due(state),
        "the same, nothing runs": lambda: core.find_next_due(idle_state),
        "check for stalls": lambda: stalls.handle_stalls(state, NOW),
        f"apply a catalog, {size.waiting_teams} teams wait": apply_catalog,
    }


def measure_step(step: Callable[[], object]) -> float:
    """Measures the processor time of a step, in microseconds."""
    step()
    costs = []
    for _ in range(ROUNDS):
        started_at, count = time.process_time(), 0
        while (cpu_time := time.process_time() - started_at) < ROUND_TIME:
            step()
            count += 1
        costs.append(cpu_time / count)
    return round(min(costs) * 1e6, 1)


def main() -> None:
    """Measures and prints the cost of each step at each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", help="file to write the figures to")
    options = parser.parse_args()
    figures = {}
    for name, size in SIZES.items():
        steps = list_steps(create_full_router(size))
        figures[name] = {step: measure_step(steps[step]) for step in steps}
        print(name)
        for step, cost in figures[name].items():
            print(f"  {step:<36} {cost:>10.1f} us")
    if options.json:
        with open(options.json, "w", encoding="utf-8") as file:
            json.dump(figures, file, indent=2)


if __name__ == "__main__":
    main()
