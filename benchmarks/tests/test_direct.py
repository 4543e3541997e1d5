"""Tests that optimized decisions equal those of an exhaustive search."""

import collections
import dataclasses
import heapq
import itertools
import random

import pytest

from benchmarks import direct
from sycamorefall.direct import (
    dispatching,
    eligibility,
    engine_measurement,
    fair_queue,
    homes,
    placement_constraints,
    service_floors,
    upstreams,
)

SMALL = direct.Size(
    5, 2, 8, 12, 12, requests_per_target=2, running_per_engine=4
)
SEEDS = range(30)


def create_mixed_router(seed):
    """Creates a router with full, loaded, idle and suspended engines."""
    rng = random.Random(seed)
    others = rng.choice([0, 8, 20, 28])
    odd = rng.choice([0.0, 0.2])
    router = direct.create_full_router(SMALL, seed, others)
    for one in router.state.table.by_name.values():
        one.own_load.unread += rng.choice([0, 500, 6000, 30_000])
        if rng.random() < odd:
            upstreams.suspend_upstream(one, direct.NOW)
        if rng.random() < odd:
            one.own_load, one.peer_load = upstreams.Load(), upstreams.Load()
    for request in router.state.requests.values():
        request.target_at += rng.uniform(-1.2, 0.3)
        request.arrived_at -= rng.choice([0.0, 0.5])
        request.part_uses = rng.choice([1.0, 40.0])
        if rng.random() < 0.2:
            request.tried.add(f"e{2 * rng.randrange(SMALL.engines)}")
    return router


def list_usable(state, constraints):
    return [
        one
        for one in upstreams.list_upstreams(state.table, "engine-0")
        if one.listed.name not in constraints.tried
        and upstreams.is_usable(one, direct.NOW)
    ]


def compute_floors_exhaustively(state):
    """Computes the floors by examining every engine for every candidate."""
    floors = {}
    service = state.catalog.services["engine-0"]
    queue, accounts = (
        state.service_queues["engine-0"],
        state.accounts["engine-0"],
    )
    for team in fair_queue.order_teams(queue, accounts, direct.NOW):
        received = int(fair_queue.compute_received(accounts, direct.NOW, team))
        for number in fair_queue.list_candidates(queue, team):
            request = state.requests[number]
            constraints = placement_constraints.compute_constraints(
                state, direct.NOW, request
            )
            home_engines = homes.list_homes(
                state.table, direct.NOW, service, constraints
            )
            for one in list_usable(state, constraints):
                is_home = one in home_engines
                engine_load = engine_measurement.measure_engine_load(
                    one, service.engine, direct.NOW
                )
                if eligibility.is_awaited(
                    engine_load, service.engine, constraints, is_home
                ):
                    floors.setdefault(one.listed.name, received)
    return floors


@pytest.mark.parametrize("seed", SEEDS)
def test_floors_are_those_of_a_look_at_everything(seed):
    # Guards against an early stop, once every engine has a floor, that omits
    # an engine or assigns the floor of another team. Other routers would then
    # fill an engine that a team awaits here, or avoid one that nobody awaits.
    state = create_mixed_router(seed).state
    assert service_floors.compute_floors(
        state, direct.NOW
    ) == compute_floors_exhaustively(state)


def test_floors_differ_between_the_states():
    # Ensures that the states of the test above have floors to compare.
    found = [
        service_floors.compute_floors(
            create_mixed_router(seed).state, direct.NOW
        )
        for seed in SEEDS
    ]
    assert any(len(floors) == SMALL.engines for floors in found)
    assert any(0 < len(floors) < SMALL.engines for floors in found)
    assert any(len(set(floors.values())) > 2 for floors in found)


def send_exhaustively(state):
    """Sends waiting requests, listing the engines again for each request."""
    sent = []
    queue, accounts = (
        state.service_queues["engine-0"],
        state.accounts["engine-0"],
    )
    teams = [
        (fair_queue.compute_received(accounts, direct.NOW, team), team)
        for team in queue.by_team
    ]
    heapq.heapify(teams)
    while teams:
        _, team = heapq.heappop(teams)
        for number in fair_queue.list_candidates(queue, team):
            request = state.requests[number]
            done = dispatching.try_send(state, direct.NOW, request)
            if done:
                fair_queue.remove_request(queue, team, number)
                sent += done
                received = fair_queue.compute_received(
                    accounts, direct.NOW, team
                )
                heapq.heappush(teams, (received, team))
                break
    return sent


@pytest.mark.parametrize("seed", SEEDS)
def test_look_sends_what_single_tries_send(seed):
    # Guards against a pass that uses the engine loads from before its own
    # sends: a waiting request would go to an engine that the previous one
    # has just filled.
    first, second = (create_mixed_router(seed).state for _ in range(2))
    batch = dispatching.send_waiting_requests(first, direct.NOW)
    single = send_exhaustively(second)
    pairs = [
        [(one.request, one.upstream) for one in s] for s in (batch, single)
    ]
    assert pairs[0] == pairs[1]


def test_looks_send_in_some_states():
    # Ensures that requests are sent in the states of the test above.
    counts = [
        len(
            dispatching.send_waiting_requests(
                create_mixed_router(seed).state, direct.NOW
            )
        )
        for seed in SEEDS
    ]
    assert sum(count > 1 for count in counts) >= 5


@pytest.mark.parametrize("seed", SEEDS)
def test_refusals_count_what_each_engine_has_in_the_way(seed):
    # Guards against refusals that name the wrong obstacle, such as full
    # engines instead of parts that would be computed again: operators would
    # look for the wrong cause.
    state = create_mixed_router(seed).state
    service = state.catalog.services["engine-0"]
    waiting_ones = [one for one in state.requests.values() if not one.attempt]
    assert waiting_ones
    for request in waiting_ones:
        constraints = placement_constraints.compute_constraints(
            state, direct.NOW, request
        )
        home_engines = homes.list_homes(
            state.table, direct.NOW, service, constraints
        )
        usable = list_usable(state, constraints)
        expected = collections.Counter(
            eligibility.find_obstacle(
                engine_measurement.measure_engine_load(
                    one, service.engine, direct.NOW
                ),
                service.engine,
                constraints,
                one in home_engines,
            )
            for one in usable
        )
        expected[eligibility.Obstacle.UNUSABLE] = SMALL.engines - len(usable)
        refusal = dispatching.explain_refusal(state, direct.NOW, request)
        assert refusal.obstacles == {
            obstacle.value: count
            for obstacle, count in expected.items()
            if count and obstacle is not None
        }


def list_prefiltered(state):
    """Lists the engines that the prefilter excludes, by waiting request."""
    group = dispatching.measure_free_engines(state, direct.NOW, "engine-0")
    for request in state.requests.values():
        if request.attempt is None:
            constraints = placement_constraints.compute_constraints(
                state, direct.NOW, request
            )
            possible = eligibility.prefilter_engines(group, constraints)
            excluded = [
                one for one in group.engine_loads if one not in possible
            ]
            yield constraints, possible, excluded


@pytest.mark.parametrize("seed", SEEDS)
def test_engine_that_gets_no_look_has_no_room(seed):
    # Guards against a request that waits or is refused although an engine
    # could take it, because a bound that holds for most engines is applied to
    # all of them.
    state = create_mixed_router(seed).state
    engine = state.catalog.services["engine-0"].engine
    for constraints, _, excluded in list_prefiltered(state):
        for one in excluded:
            assert (
                eligibility.find_load_obstacle(one, engine, constraints)
                is not None
            )


def test_states_leave_out_all_or_some_or_no_engines():
    # Ensures that the states of the test above cover all outcomes of the
    # prefilter.
    kinds = collections.Counter(
        (bool(possible), bool(excluded))
        for seed in SEEDS
        for _, possible, excluded in list_prefiltered(
            create_mixed_router(seed).state
        )
    )
    for kind in itertools.product((True, False), repeat=2):
        if kind != (False, False):
            assert kinds[kind] > 0.02 * kinds.total()


def test_every_step_can_be_repeated():
    size = dataclasses.replace(SMALL, routers=3)
    for step in direct.list_steps(direct.create_full_router(size)).values():
        step()
        step()
