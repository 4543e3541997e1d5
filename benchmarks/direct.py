"""Cost of one decision of a router that sends directly, at two sizes.

A router in view of many others while all engines are full and teams wait with
requests of several target latencies. Each step is done many times; its cost is
process time in microseconds, the least of some rounds, as other work on the
machine only adds to it. Run it with `python -m benchmarks.direct`.
"""

__all__ = ["SIZES", "Busy", "Size", "create_busy", "list_steps", "main"]

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
MEMORY = 300_000
PARTS = 300
"""Shared parts to choose from."""

QUEUED = 12_000
"""Prompt tokens of a long queue: 0.15 s of reading."""

NOW = 1.0
ROUNDS = 5
ROUND_TIME = 0.05
"""Seconds of process time that a round takes at least."""


@dataclasses.dataclass(slots=True, frozen=True)
class Size:
    """Size of a fleet and what one of its routers has to do.

    Attributes:
        routers: Routers.
        services: Services with engines.
        engines: Engines of each.
        teams: Teams with a key.
        waiting: Teams that wait at this router, all for the first service.
        each: Requests that each of them waits with, of each target latency.
        own: Requests that this router runs at each engine of that service.
    """

    routers: int
    services: int
    engines: int
    teams: int
    waiting: int
    each: int = 5
    own: int = 8


SIZES = {
    "28 routers, 26 engines, 30 teams": Size(28, 1, 26, 30, 30),
    "370 routers, 910 engines, 31,000 teams": Size(370, 19, 48, 31_000, 40),
}


@dataclasses.dataclass(slots=True)
class Busy:
    """A router that is busy.

    Attributes:
        size: Of its fleet.
        state: Its decisions.
        load_exchange: Its exchange of load reports with the other routers.
        random: Source of draws.
        whole: A whole message of each other router.
    """

    size: Size
    state: state_module.DirectState
    load_exchange: exchange.Exchange
    random: random.Random
    whole: list[messages.Envelope] = dataclasses.field(default_factory=list)


def create_busy(size: Size, seed: int = 1, others: int | None = None) -> Busy:
    """Creates a router all of whose engines are full.

    Args:
        size: Its size.
        seed: Seed of all draws.
        others: Requests of the other routers at each engine; as many as are
            left to fill it if not given.

    Returns:
        The router, at `NOW`.
    """
    state = state_module.create_state("a", settings.BoundSettings(), seed)
    seeds = tuple(f"127.0.0.1:{2 + n}" for n in range(size.routers - 1))
    load_exchange = exchange.Exchange("front-0", "127.0.0.1:1", seeds)
    busy = Busy(size, state, load_exchange, random.Random(seed))
    core.apply_catalog(state, 0.0, _create_catalog(size))
    core.apply_listing(state, 0.0, _list_engines(size))
    freshness.record_proof(state.freshness, NOW)
    _fill_caches(busy)
    _send_own(busy)
    left = SLOTS - size.own if others is None else others
    busy.whole = [_tell(busy, n, left) for n in range(1, size.routers)]
    for envelope in busy.whole:
        exchange.handle_load(load_exchange, state, NOW, envelope)
    for _ in range(size.each):
        for team, target in itertools.product(range(size.waiting), TARGETS):
            wait(busy, team, target)
    return busy


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
    engine = catalog.Engine(SLOTS, MEMORY, 600_000.0)
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
        )
        for n in range(size.engines * size.services)
    ]


def draw_prompt(busy: Busy) -> prompts.Prompt:
    """Draws a prompt of a long shared part and an own one."""
    part, draws = busy.random.randrange(PARTS), busy.random
    shared, own = 2000 + 20 * part, max(1, int(draws.expovariate(1 / 1500)))
    parts = (("system", 300), (f"part-{part}", shared), (f"{own}", own))
    return prompts.Prompt(300 + shared + own, 100, parts)


def _fill_caches(busy: Busy) -> None:
    for one in busy.state.table.by_name.values():
        for _ in range(40):
            caches.record_parts(one.cache, draw_prompt(busy).digests, MEMORY)


def ask(busy: Busy, team: int, target: float) -> state_module.IncomingRequest:
    """Creates a request of a team."""
    prompt = draw_prompt(busy)
    return state_module.IncomingRequest(
        HOST, f"/{target}/x", f"k{team}", 8.0, prompt
    )


def _send_own(busy: Busy) -> None:
    """Has this router run some requests, each at the engine it chooses."""
    for number in range(busy.size.own * busy.size.engines):
        team = number % busy.size.waiting
        target = busy.random.choice(TARGETS)
        incoming = ask(busy, team, target)
        taken, _ = core.handle_request(busy.state, NOW, incoming)
        outcomes.record_response(busy.state, NOW, taken, first=True)


def _tell(busy: Busy, number: int, others: int) -> messages.Envelope:
    """Writes the whole message of another router, which has its even part."""
    size, draws = busy.size, busy.random
    names = list(busy.state.table.by_name)
    part = others / (size.routers - 1)
    loads = [
        messages.UpstreamLoad(
            name,
            int(part * number) - int(part * (number - 1)),
            draws.randrange(300),
            draws.randrange(4000),
            draws.randrange(10**6) if draws.random() < 0.3 else -1,
        )
        for name in names[:: size.services]
    ]
    teams = [
        messages.TeamService(f"t{n}", draws.randrange(10**6))
        for n in range(size.waiting)
    ]
    service = messages.ServiceDemand("engine-0", tuple(teams))
    message = messages.RouterLoad(
        1, f"127.0.0.1:{1 + number}", (), tuple(loads), (service,)
    )
    return messages.Envelope(f"front-{number}", 1, 1, message)


def wait(busy: Busy, team: int, target: float) -> state_module.Request:
    """Has a request wait at the router."""
    number, sent = core.handle_request(busy.state, NOW, ask(busy, team, target))
    request = busy.state.requests[number]
    if not sent and request.attempt is None:
        dispatching.dequeue_request(busy.state, request)
        dispatching.enqueue_request(busy.state, request)
    return request


def _create_queued(size: Size) -> state_module.DirectState:
    """Creates a router whose engines have slots but much to read."""
    state = create_busy(size, others=SLOTS // 2).state
    for one in state.table.by_service["engine-0"]:
        one.own_load.unread += QUEUED
    return state


def list_steps(busy: Busy) -> dict[str, Callable[[], object]]:
    """Lists the steps that are measured, each of which can be repeated.

    Returns:
        Functions by name.
    """
    state, load_exchange, size = busy.state, busy.load_exchange, busy.size
    service = state.catalog.services["engine-0"]
    waiting_ones = [one for one in state.requests.values() if not one.attempt]
    idle = dataclasses.replace(
        state, requests={one.number: one for one in waiting_ones}, running=0
    )
    one = waiting_ones[len(waiting_ones) // 2]
    queued = _create_queued(size)
    constraints = placement_constraints.compute_constraints(state, NOW, one)
    group = dispatching._measure_free_engines(state, NOW, "engine-0")
    target = state.table.by_service["engine-0"][0]
    sequences = itertools.count(2)
    senders = itertools.cycle(busy.whole)
    change = busy.whole[0].message.upstreams[:3]

    def write_whole():
        load_exchange.own_group.due = 0.0
        exchange.build_load_message(load_exchange, state, NOW)

    def write_change():
        load_exchange.own_group.due = NOW + 1.0
        exchange.build_load_message(load_exchange, state, NOW)

    def take_whole():
        envelope = next(senders)
        load = msgspec.structs.replace(
            envelope.message, sequence=next(sequences)
        )
        later = messages.Envelope(envelope.sender, 1, 1, load)
        exchange.handle_load(load_exchange, state, NOW, later)

    def take_change():
        load = messages.RouterLoad(
            next(sequences), "", upstreams=change, whole=False
        )
        later = messages.Envelope(busy.whole[0].sender, 1, 1, load)
        exchange.handle_load(load_exchange, state, NOW, later)

    def take_and_cancel():
        number, _ = core.handle_request(state, NOW, ask(busy, 1, TARGETS[1]))
        core.cancel_request(state, number, NOW)

    def apply_catalog():
        known = dataclasses.replace(
            state.catalog, version=state.catalog.version + 1
        )
        core.apply_catalog(state, NOW, known)

    return {
        "write whole message": write_whole,
        "write change": write_change,
        "take whole message": take_whole,
        "take change": take_change,
        "look at waiting requests": lambda: dispatching.send_waiting_requests(
            state, NOW
        ),
        "the same, slots but long queues": lambda: (
            dispatching.send_waiting_requests(queued, NOW)
        ),
        "try a request": lambda: dispatching.try_send(state, NOW, one),
        "describe a need": lambda: placement_constraints.compute_constraints(
            state, NOW, one
        ),
        "choose an engine": lambda: upstream_selection.choose_upstream(
            state.table, NOW, service, constraints, "a", group
        ),
        "choose a source": lambda: fetching.choose_source(
            state.table, NOW, service, one.incoming.prompt, target
        ),
        "take and cancel": take_and_cancel,
        "explain a refusal": lambda: dispatching.explain_refusal(
            state, NOW, one
        ),
        "find what is due next": lambda: core.find_next_due(state),
        "the same, nothing runs": lambda: core.find_next_due(idle),
        "check for stalls": lambda: stalls.handle_stalls(state, NOW),
        f"apply a catalog, {size.waiting} teams wait": apply_catalog,
    }


def measure_step(step: Callable[[], object]) -> float:
    """Measures the process time of a step, in microseconds."""
    step()
    costs = []
    for _ in range(ROUNDS):
        begun, count = time.process_time(), 0
        while (spent := time.process_time() - begun) < ROUND_TIME:
            step()
            count += 1
        costs.append(spent / count)
    return round(min(costs) * 1e6, 1)


def main() -> None:
    """Measures and prints everything."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", help="file to write the figures to")
    options = parser.parse_args()
    figures = {}
    for name, size in SIZES.items():
        steps = list_steps(create_busy(size))
        figures[name] = {step: measure_step(steps[step]) for step in steps}
        print(name)
        for step, cost in figures[name].items():
            print(f"  {step:<36} {cost:>10.1f} us")
    if options.json:
        with open(options.json, "w", encoding="utf-8") as file:
            json.dump(figures, file, indent=2)


if __name__ == "__main__":
    main()
