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

LEVEL_SCALE = 8
"""Steps in which a doubling of the time is told."""


def collect_rows(
    state: state_module.DirectState, now: float
) -> dict[str, shared_sums.Rows]:
    """Collects what this router observed, by service and engine."""
    by_service: dict[str, shared_sums.Rows] = {}
    for name, upstream in state.table.by_name.items():
        values = _build_values(upstream, now)
        if values:
            service = upstream.listed.service
            by_service.setdefault(service, {})[name] = values
    return by_service


def _build_values(
    upstream: upstreams_module.Upstream, now: float
) -> tuple[int, ...]:
    speed = upstream.speed
    levels = round(speed.told * speed.told_level * LEVEL_SCALE)
    slowdown = speed.reported / estimates.compute_usual_scale(speed)
    is_fresh = now - speed.reported_at <= estimates.REPORT_LIFETIME
    if is_fresh and slowdown >= reference.MIN_SLOWDOWN:
        return speed.told, levels, 1, round(100 * slowdown)
    return (speed.told, levels) if speed.told else ()


def apply_rows(
    state: state_module.DirectState,
    now: float,
    by_service: dict[str, shared_sums.Rows],
) -> None:
    """Applies what all other routers observed.

    Values that no router of this version sends are ignored.
    """
    del now
    for name, upstream in state.table.by_name.items():
        rows = by_service.get(upstream.listed.service, {})
        values = (*rows.get(name, ()), *itertools.repeat(0, ROW_SIZE))
        weight, levels, slow, percent = values[:ROW_SIZE]
        speed = upstream.speed
        is_valid = weight > 0 and abs(levels) <= (
            weight * estimates.MAX_LEVEL * LEVEL_SCALE
        )
        speed.peer_weight = weight if is_valid else 0
        speed.peer_levels = levels / LEVEL_SCALE if is_valid else 0.0
        upstream.service_speed.is_told |= is_valid
        slowdown = percent / 100 / slow if slow > 0 else 1.0
        speed.peer_slowdown = max(1.0, min(estimates.MAX_SCALE, slowdown))


CONTRIBUTOR = contributor.Contributor(
    messages.SumKind.UPSTREAM_SPEED, collect_rows, apply_rows
)
