"""Shares what routers observe of engines' speeds.

A row of the table is an engine: how many scales it told a router, the sum of
their levels, and if it told a slowdown a moment ago, one and the slowdown in
percent. Of engines that tell nothing there are no rows.
"""

__all__ = ["CONTRIBUTOR"]

import itertools

from sycamorefall import messages
from sycamorefall.direct import contributor, shared_sums
from sycamorefall.direct import state as state_module
from sycamorefall.direct import upstreams as upstreams_module
from sycamorefall.direct.speed import estimates, reference

ROW_SIZE = 4
"""Values of a row."""

MAX_ROWS_PER_SECOND = 150.0
"""Rows that a router receives from its failure domain: 1.1 to 1.7 KB/s. What
one router was told of an engine is enough, so each router tells of a few at a
time: those that are slow at this moment, then those that it has not told of for
longest."""

MAX_UPDATES_PER_SECOND, UPDATES_PER_ROUTER = 80.0, 6.7
"""Full updates that a router receives at most, and from each other router."""

LEVEL_SCALE = 8
"""Steps in which a doubling of the time is told."""


def collect_rows(
    state: state_module.DirectState, now: float
) -> dict[str, shared_sums.Rows]:
    """Collects what this router was told, by service and engine."""
    told = [one for one in state.table.by_name.values() if one.speed.told]
    slowdowns = {one: _find_slowdown(one, now) for one in told}
    told.sort(key=lambda one: (-slowdowns[one], one.speed.shared_at))
    by_service: dict[str, shared_sums.Rows] = {}
    for upstream in told[: count_rows(state)]:
        speed = upstream.speed
        speed.shared_at = now
        values = speed.told, round(speed.told * speed.told_level * LEVEL_SCALE)
        slowdown = slowdowns[upstream]
        if slowdown:
            values = (*values, 1, round(100 * slowdown))
        rows = by_service.setdefault(upstream.listed.service, {})
        rows[upstream.listed.name] = values
    return by_service


def count_rows(state: state_module.DirectState) -> int:
    """Counts the engines of which a full update may tell."""
    neighbors = max(1, len(state.domain_routers) or state.routers)
    updates = min(MAX_UPDATES_PER_SECOND, UPDATES_PER_ROUTER * neighbors)
    return max(1, int(MAX_ROWS_PER_SECOND / updates))


def _find_slowdown(upstream: upstreams_module.Upstream, now: float) -> float:
    """Finds the slowdown that an engine told a moment ago; 0 if none."""
    speed = upstream.speed
    if now - speed.reported_at > estimates.REPORT_LIFETIME:
        return 0.0
    slowdown = speed.reported / estimates.compute_usual_scale(speed)
    return slowdown if slowdown >= reference.MIN_SLOWDOWN else 0.0


def apply_rows(
    state: state_module.DirectState,
    now: float,
    by_service: dict[str, shared_sums.Rows],
) -> None:
    """Applies what all other routers were told.

    Only rows that have changed are applied, as this is called for each full
    update. Values that no router of this version sends are ignored.
    """
    del now
    table = state.table
    rows = dict(
        itertools.chain.from_iterable(
            one.items() for one in by_service.values()
        )
    )
    changed = [
        name
        for name in rows.keys() | table.shared_speeds.keys()
        if rows.get(name) != table.shared_speeds.get(name)
    ]
    table.shared_speeds = rows
    for name in changed:
        upstream = table.by_name.get(name)
        if upstream is not None:
            _apply_row(upstream, rows.get(name, ()))


def _apply_row(
    upstream: upstreams_module.Upstream, row: tuple[int, ...]
) -> None:
    """Applies what others were told of an engine; an empty row if nothing.

    Others tell of each engine in turn, so its usual scale stays as they told it
    last. A slowdown is over as soon as nobody tells of it.
    """
    values = (*row, *itertools.repeat(0, ROW_SIZE))
    weight, levels, slow, percent = values[:ROW_SIZE]
    speed = upstream.speed
    is_valid = weight > 0 and abs(levels) <= (
        weight * estimates.MAX_LEVEL * LEVEL_SCALE
    )
    if is_valid:
        speed.peer_weight, speed.peer_levels = weight, levels / LEVEL_SCALE
        upstream.service_speed.is_told = True
    slowdown = percent / 100 / slow if slow > 0 else 1.0
    speed.peer_slowdown = max(1.0, min(estimates.MAX_SCALE, slowdown))


CONTRIBUTOR = contributor.Contributor(
    messages.SumKind.UPSTREAM_SPEED, collect_rows, apply_rows
)
