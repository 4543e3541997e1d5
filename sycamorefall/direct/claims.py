"""Which engines the other routers leave to teams that wait here; no I/O."""

__all__ = ["MOST_CLAIMS", "find_floors"]

import math

from sycamorefall.direct import catalog, needs, placing, waiting
from sycamorefall.direct import (
    state as state_module,
)

MOST_CLAIMS = 8
"""Engines that the other routers leave to one waiting request: one of so many
has room soon. Were all of them left to it, teams that wait at different
routers would keep each other from engines that stand half empty."""


def find_floors(
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
    for name, room in state.rooms.items():
        service = state.catalog.services.get(name)
        if service is not None and service.engine is not None:
            accounts = state_module.find_accounts(state, name)
            teams = waiting.order_teams(room, accounts, now)
            if short:
                teams = [
                    team
                    for team in teams
                    if waiting.is_short(accounts, now, team)
                ]
            floors |= _find_room_floors(state, now, service, room, teams)
    return floors


def _find_room_floors(
    state: state_module.DirectState,
    now: float,
    service: catalog.Service,
    room: waiting.WaitingRoom,
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
    accounts = state_module.find_accounts(state, service.name)
    standings = placing.list_standings(state.table, now, service, full=True)
    left = {one.upstream: one for one in standings}
    for team in teams:
        received = int(waiting.read_service(accounts, now, team))
        candidates = list(waiting.list_candidates(room, team))
        stands_for = waiting.count_waiting(room, team) / len(candidates)
        most = math.ceil(MOST_CLAIMS * stands_for)
        for number in candidates:
            if not left:
                return floors
            need = needs.describe_need(state, now, state.requests[number])
            found = placing.list_waited_for(
                state.table, now, service, need, left.values()
            )
            for one in found[:most]:
                del left[one]
                floors[one.listed.name] = received
    return floors
