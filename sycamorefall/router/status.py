"""Status, readiness and metrics of a router."""

__all__ = ["create_pages"]

from collections.abc import Iterator
import heapq

import msgspec
from prometheus_client import metrics_core

from sycamorefall import membership, observation, pages, settings, transport
from sycamorefall import node as node_module
from sycamorefall.observation import metrics as metrics_module
from sycamorefall.observation import status as status_module
from sycamorefall.router import state as state_module
from sycamorefall.sharing import queues


def create_pages(
    node: node_module.Node,
    state: state_module.RouterState,
    recorder: observation.Recorder,
    listen: settings.ListenSettings,
) -> pages.Pages:
    """Creates the operators' pages of a router.

    Args:
        node: The process.
        state: State of the router's decision logic.
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
    node: node_module.Node, state: state_module.RouterState
) -> tuple[str, ...]:
    common = pages.list_common_unready_reasons(node)
    if _list_available_services(state, transport.read_clock()):
        return common
    return (*common, "no upstream of any service is reached")


def _list_available_services(
    state: state_module.RouterState, now: float
) -> tuple[str, ...]:
    in_force = state.versions.configuration
    return tuple(
        service
        for service in (in_force.services if in_force else ())
        if membership.list_usable_upstreams(state.directory, now, service)
    )


def _collect_linked_sidecars(
    state: state_module.RouterState, now: float
) -> set[str]:
    in_force = state.versions.configuration
    return {
        name
        for service in (in_force.services if in_force else ())
        for name in membership.list_linked_sidecars(
            state.links, state.directory, now, state.vm, service
        )
    }


def _build_status(
    node: node_module.Node,
    state: state_module.RouterState,
    recorder: observation.Recorder,
    full_histograms: bool,
) -> status_module.RouterStatus:
    now = transport.read_clock()
    in_force = state.versions.configuration
    listed = queues.list_queues(state.waiting)
    return status_module.RouterStatus(
        **pages.collect_common_status(
            node,
            recorder,
            now,
            _collect_linked_sidecars(state, now),
            full_histograms,
        ),
        unready=_list_unready_reasons(node, state),
        teams=_build_team_statuses(state, now, listed),
        teams_total=len(listed),
        services=_list_available_services(state, now),
        waiting=state.waiting.total,
        requests=len(state.requests),
        late_answers=state.late_answers,
        limits=msgspec.to_builtins(in_force.limits) if in_force else {},
    )


def _build_team_statuses(
    state: state_module.RouterState,
    now: float,
    listed: list[tuple[str, str]],
) -> tuple[status_module.TeamStatus, ...]:
    most = heapq.nlargest(
        status_module.MAX_TEAMS_SHOWN,
        listed,
        key=lambda pair: queues.count_waiting(state.waiting, *pair),
    )
    in_force = state.versions.configuration
    known = in_force.teams if in_force else {}
    return tuple(
        status_module.TeamStatus(
            service,
            team,
            queues.count_waiting(state.waiting, service, team),
            now - queues.get_oldest_arrival(state.waiting, service, team),
            known[team].weight if team in known else 1.0,
        )
        for service, team in most
    )


def _list_metrics(
    node: node_module.Node,
    state: state_module.RouterState,
    recorder: observation.Recorder,
) -> Iterator[metrics_core.Metric]:
    now = transport.read_clock()
    linked = _collect_linked_sidecars(state, now)
    yield from pages.list_metrics(node, recorder, now, linked)
    yield metrics_module.create_gauge(
        "waiting",
        "Requests waiting here.",
        ("service",),
        {
            (service,): sum(
                queues.count_waiting(state.waiting, service, team)
                for team in teams
            )
            for service, teams in state.waiting.queues.items()
        },
    )
    yield metrics_module.create_gauge(
        "backlogged_teams",
        "Teams with requests waiting here.",
        ("service",),
        {
            (service,): len(teams)
            for service, teams in state.waiting.queues.items()
        },
    )
    yield metrics_module.create_counter(
        "late_answers",
        "Answers that matched no attempt, dropped.",
        (),
        {(): state.late_answers},
    )
