"""Status, readiness and metrics of a sidecar."""

__all__ = ["create_pages"]

from collections.abc import Iterator
import heapq

from prometheus_client import metrics_core

from sycamorefall import (
    admission,
    membership,
    observation,
    pages,
    settings,
    sharing,
    transport,
)
from sycamorefall import node as node_module
from sycamorefall.observation import metrics as metrics_module
from sycamorefall.observation import status as status_module
from sycamorefall.sidecar import claiming
from sycamorefall.sidecar import state as state_module


def create_pages(
    node: node_module.Node,
    state: state_module.SidecarState,
    recorder: observation.Recorder,
    listen: settings.ListenSettings,
) -> pages.Pages:
    """Creates the operators' pages of a sidecar.

    Args:
        node: The process.
        state: State of the sidecar's decision logic.
        recorder: Recorder of events and times.
        listen: Listening addresses of the process.

    Returns:
        The pages.
    """
    return pages.Pages(
        listen=listen,
        list_unready_reasons=lambda: _list_unready_reasons(node, state),
        build_status=lambda full_histograms: _build_status(
            node, state, recorder, full_histograms
        ),
        list_metrics=lambda: _list_metrics(node, state, recorder),
    )


def _list_unready_reasons(
    node: node_module.Node, state: state_module.SidecarState
) -> tuple[str, ...]:
    common = pages.list_common_unready_reasons(node)
    in_force = state.versions.configuration
    if in_force is None or state.service in in_force.services:
        return common
    return (*common, f"the configuration has no service {state.service}")


def _collect_linked_peers(
    state: state_module.SidecarState, now: float
) -> set[str]:
    links, directory, own = state.links, state.directory, state.vm
    return {
        *membership.list_linked_routers(links, directory, now, own),
        *membership.list_siblings(links, directory, now, own),
    }


def _build_status(
    node: node_module.Node,
    state: state_module.SidecarState,
    recorder: observation.Recorder,
    full_histograms: bool,
) -> status_module.SidecarStatus:
    now = transport.read_clock()
    waiting = _count_waiting(state)
    most_waiting = heapq.nlargest(
        status_module.MAX_TEAMS_SHOWN, waiting, key=waiting.get
    )
    return status_module.SidecarStatus(
        **pages.collect_common_status(
            node,
            recorder,
            now,
            _collect_linked_peers(state, now),
            full_histograms,
        ),
        unready=_list_unready_reasons(node, state),
        teams=tuple(
            _build_team_status(state, team, waiting[team])
            for team in most_waiting
        ),
        teams_total=len(waiting),
        service=state.service,
        running=len(state.runs),
        claimed=len(state.claims.open),
        limit=admission.compute_own_limit(state.limit),
    )


def _count_waiting(state: state_module.SidecarState) -> dict[str, int]:
    """Counts the requests that wait at all routers, by team.

    Teams that have an account are included even if none of their requests wait.
    """
    counts = dict.fromkeys(state.accounts.teams, 0)
    for router in state.demand.routers.values():
        for team, entry in router.teams.items():
            counts[team] = counts.get(team, 0) + entry.count
    return counts


def _build_team_status(
    state: state_module.SidecarState, team: str, waiting: int
) -> status_module.TeamStatus:
    weight = claiming.get_team_weight(state, team)
    account = state.accounts.teams.get(team)
    served = (
        sum(entry.served for entry in account.entries.values())
        if account
        else 0.0
    )
    return status_module.TeamStatus(
        state.service,
        team,
        waiting,
        weight=weight,
        key=sharing.compute_order_key(state.accounts, team, weight),
        served=served,
    )


def _list_metrics(
    node: node_module.Node,
    state: state_module.SidecarState,
    recorder: observation.Recorder,
) -> Iterator[metrics_core.Metric]:
    now = transport.read_clock()
    linked = _collect_linked_peers(state, now)
    yield from pages.list_metrics(node, recorder, now, linked)
    values = {
        "running": (len(state.runs), "Requests in progress at the upstream."),
        "claimed": (
            len(state.claims.open),
            "Claims not yet fulfilled.",
        ),
        "limit": (
            admission.compute_own_limit(state.limit),
            "Most requests in progress.",
        ),
        "foreign": (
            state.limit.foreign,
            "Requests at the upstream that this process did not start.",
        ),
        "held": (len(state.gate.held), "Runs held until a slot is free."),
        "accounts": (len(state.accounts.teams), "Teams with an account."),
    }
    for name, (value, text) in values.items():
        yield metrics_module.create_gauge(
            name, text, ("service",), {(state.service,): value}
        )
