"""Decides which upstreams are cold, and which of them this router sends to.

An upstream is cold for some seconds after its start, and says so in its entry
in the listing. It is also taken to be cold where its entry may not show a start
yet: after its failure domain has been evacuated, and after its process was
found to have crashed.

Only routers of its own failure domain send to a cold upstream, as those all
know each other. A router that has just started, or that has not heard from any
other, doesn't know who else sends, so it waits until the upstream is warm.
"""

__all__ = [
    "FLEET_DISCOVERY_TIME",
    "presume_cold",
    "update_intervals",
    "update_senders",
]

from collections.abc import Collection

from sycamorefall.direct import catalog, pacing, upstreams
from sycamorefall.direct import state as state_module

FLEET_DISCOVERY_TIME = 5.0
"""Seconds after its start from which a router may send to cold upstreams. By
then it and the routers that started with it have heard from each other."""


def presume_cold(
    state: state_module.DirectState, now: float, upstream: upstreams.Upstream
) -> None:
    """Takes an upstream to be cold, since it may have been restarted.

    Args:
        state: The router's state.
        now: Current time of this process's clock.
        upstream: The upstream; changed if upstreams of its service are cold
            after a start.
    """
    service = _find_service(state, upstream)
    if service is None or not service.cold_seconds:
        return
    start = max(now, upstream.suspended_until)
    upstream.pacing.presumed_until = max(
        upstream.pacing.presumed_until, start + service.cold_seconds
    )
    _update_interval(state, upstream, service)


def update_intervals(state: state_module.DirectState, now: float) -> None:
    """Computes this router's send interval for each cold upstream."""
    for upstream in state.table.by_name.values():
        if pacing.is_cold(upstream.pacing, now):
            service = _find_service(state, upstream)
            if service is not None:
                _update_interval(state, upstream, service)


def update_senders(
    state: state_module.DirectState,
    now: float,
    own: str,
    routers: Collection[str],
) -> None:
    """Records the routers among which the senders are chosen.

    Args:
        state: The router's state; changed.
        now: Current time of this process's clock.
        own: VM name of this router.
        routers: VM names of the routers in this router's failure domain, this
            one included; empty while they are not known.
    """
    state.vm = own
    state.domain_routers = frozenset(routers)
    update_intervals(state, now)


def _find_service(
    state: state_module.DirectState, upstream: upstreams.Upstream
) -> catalog.Service | None:
    if state.catalog is None:
        return None
    return state.catalog.services.get(upstream.listed.service)


def _update_interval(
    state: state_module.DirectState,
    upstream: upstreams.Upstream,
    service: catalog.Service,
) -> None:
    is_local = upstream.listed.failure_domain == state.failure_domain
    upstream.pacing.interval = pacing.compute_interval(
        upstream.listed.name,
        state.vm,
        state.domain_routers if is_local else (),
        service.cold_rate,
    )
