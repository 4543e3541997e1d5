"""Floors that keep engines free for teams that wait at this router; no I/O.

A floor of an engine is the service received by the least served team that waits
for it. Other routers don't send the engine requests of teams that received
clearly more.
"""

__all__ = [
    "MAX_ENGINES_PER_REQUEST",
    "compute_floors",
]

import math

from sycamorefall.direct import (
    catalog,
    fair_queue,
    placement_constraints,
    upstream_selection,
)
from sycamorefall.direct import (
    state as state_module,
)

MAX_ENGINES_PER_REQUEST = 8
"""Engines that are kept free for one waiting request; one of eight soon has
room. If all engines were kept free for it, teams that wait at different routers
would keep each other off engines that are half idle."""


def compute_floors(
    state: state_module.DirectState, now: float, short: bool = False
) -> dict[str, int]:
    """Computes the floors of engines from this router's waiting requests.

    Other routers keep an engine free for the team with its floor. They keep an
    idle engine free only briefly, and only for a team that had a request
    refused recently.

    Args:
        state: The router's state.
        now: Current time of this process's clock.
        short: Whether to count only teams that recently had a request refused
            by this router.

    Returns:
        Cost units by engine name; engines that no request waits for are left
        out.
    """
    floors: dict[str, int] = {}
    for name, queue in state.service_queues.items():
        service = state.catalog.services.get(name)
        if service is not None and service.engine is not None:
            accounts = state_module.get_or_create_accounts(state, name)
            teams = fair_queue.order_teams(queue, accounts, now)
            if short:
                teams = [
                    team
                    for team in teams
                    if fair_queue.was_refused_recently(accounts, now, team)
                ]
            floors |= _compute_service_floors(state, now, service, queue, teams)
    return floors


def _compute_service_floors(
    state: state_module.DirectState,
    now: float,
    service: catalog.Service,
    queue: fair_queue.ServiceQueue,
    teams: list[str],
) -> dict[str, int]:
    """Computes the floors of one service's engines.

    Teams are examined in order of received service, least first. An engine that
    has a floor is therefore skipped for later teams, and the loop ends once all
    engines have one. Each full update to the other routers computes the floors:
    with 26 engines and 30 waiting teams with three target latencies, that took
    40 ms without the skipping and takes 0.8 ms with it (`benchmarks.direct`).
    """
    floors: dict[str, int] = {}
    if not teams:
        return floors
    accounts = state_module.get_or_create_accounts(state, service.name)
    engine_loads = upstream_selection.list_engine_loads(
        state.table, now, service, full=True
    )
    without_floor = {
        engine_load.upstream: engine_load for engine_load in engine_loads
    }
    for team in teams:
        received = int(fair_queue.compute_received(accounts, now, team))
        candidates = list(
            placement_constraints.list_candidates(
                state, now, service.name, queue, team
            )
        )
        requests_per_candidate = fair_queue.count_waiting(queue, team) / len(
            candidates
        )
        max_engines = math.ceil(
            MAX_ENGINES_PER_REQUEST * requests_per_candidate
        )
        for number in candidates:
            if not without_floor:
                return floors
            constraints = placement_constraints.compute_constraints(
                state, now, state.requests[number]
            )
            awaited = upstream_selection.list_awaited_engines(
                state.table, now, service, constraints, without_floor.values()
            )
            for engine in awaited[:max_engines]:
                del without_floor[engine]
                floors[engine.listed.name] = received
    return floors
