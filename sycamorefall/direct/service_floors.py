"""Which engines the other routers leave to teams that wait here; no I/O."""

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
"""Engines that the other routers leave to one waiting request: one of so many
has room soon. Were all of them left to it, teams that wait at different
routers would keep each other from engines that stand half empty."""


def compute_floors(
    state: state_module.DirectState, now: float, short: bool = False
) -> dict[str, int]:
    """Finds the least that a team received that waits here, by engine.

    The other routers leave these engines to it. One that has next to nothing
    to do they leave only to a team that is short, and only for a moment.

    Args:
        state: The router.
        now: This process's time.
        short: Whether to look at teams only that had a request refused here
            lately.

    Returns:
        Cost units by the engine's name; engines for which nothing waits are
        left out.
    """
    floors: dict[str, int] = {}
    for name, room in state.service_queues.items():
        service = state.catalog.services.get(name)
        if service is not None and service.engine is not None:
            accounts = state_module.get_or_create_accounts(state, name)
            teams = fair_queue.order_teams(room, accounts, now)
            if short:
                teams = [
                    team
                    for team in teams
                    if fair_queue.was_refused_recently(accounts, now, team)
                ]
            floors |= _find_room_floors(state, now, service, room, teams)
    return floors


def _find_room_floors(
    state: state_module.DirectState,
    now: float,
    service: catalog.Service,
    room: fair_queue.ServiceQueue,
    teams: list[str],
) -> dict[str, int]:
    """Finds the floors of one service's engines.

    The least served team goes first, so an engine that has a floor need not
    be looked at for the teams after it, and nothing once all have one. Each
    whole message to the other routers needs this: with 26 engines, and 30
    teams that wait with three target latencies, it took 40 ms without and
    takes 0.8 ms with it (`benchmarks.direct`).
    """
    floors: dict[str, int] = {}
    if not teams:
        return floors
    accounts = state_module.get_or_create_accounts(state, service.name)
    engine_loads = upstream_selection.list_engine_loads(
        state.table, now, service, full=True
    )
    left = {one.upstream: one for one in engine_loads}
    for team in teams:
        received = int(fair_queue.compute_received(accounts, now, team))
        candidates = list(fair_queue.list_candidates(room, team))
        stands_for = fair_queue.count_waiting(room, team) / len(candidates)
        most = math.ceil(MAX_ENGINES_PER_REQUEST * stands_for)
        for number in candidates:
            if not left:
                return floors
            constraints = placement_constraints.compute_constraints(
                state, now, state.requests[number]
            )
            found = upstream_selection.list_awaited_engines(
                state.table, now, service, constraints, left.values()
            )
            for one in found[:most]:
                del left[one]
                floors[one.listed.name] = received
    return floors
