"""Computes the current placement constraints of a request; no I/O."""

__all__ = [
    "compute_constraints",
    "compute_move_constraints",
    "list_candidates",
]

from collections.abc import Iterator
import math

from sycamorefall.direct import (
    eligibility,
    fair_queue,
    latency_targets,
    stream_pace,
)
from sycamorefall.direct import (
    state as state_module,
)

FAIRNESS_SLACK = 0.1
"""Lead in received service up to which a team need not yield to a team that
waits at another router, in seconds of the throughput of all engines. A lead
smaller than the accounts exchanged between routers can resolve would make teams
yield to each other in turn."""

REREAD_WAIT_SHARE = 0.5
"""Fraction of its maximum wait after which a request of an underserved team may
use any engine. The other half of the wait is left for that engine to respond in
time."""


def compute_constraints(
    state: state_module.DirectState,
    now: float,
    request: state_module.Request,
) -> eligibility.PlacementConstraints:
    """Computes under which conditions a request may be sent now.

    Args:
        state: The router's state.
        now: Current time of this process's clock.
        request: A request without an attempt in progress.
    """
    accounts = state_module.get_or_create_accounts(state, request.service)
    received = fair_queue.compute_received(accounts, now, request.team)
    share = _compute_share(state, accounts, received)
    slack = FAIRNESS_SLACK * state.catalog.tokens_per_second
    has_waited_long = _has_waited_long(request, now)
    is_behind = (
        not state.knows_others or received < accounts.max_received - slack
    )
    return eligibility.PlacementConstraints(
        request.incoming.prompt,
        request.target_at - now,
        request.tried,
        yield_below=received - slack,
        yield_idle_below=fair_queue.IDLE_UNDERSERVED_SHARE * received,
        recent_part_uses=request.part_uses * state.routers,
        allow_reread=has_waited_long and share < fair_queue.UNDERSERVED_SHARE,
        allow_reread_if_idle=not request.part_known
        or (has_waited_long and share < fair_queue.IDLE_UNDERSERVED_SHARE),
        max_queue_seconds=_compute_max_queue_seconds(state, now, request),
        max_gap=math.inf
        if is_behind
        else _find_max_gap(state, now, request.service),
        keep_pauses=not has_waited_long,
        origin=request.origin,
        is_ahead=state.knows_others and received > accounts.max_ahead,
    )


def compute_move_constraints(
    request: state_module.Request, now: float
) -> eligibility.PlacementConstraints:
    """Computes the constraints of a request whose upstream is stalled.

    The request was let through before, and its target latency is usually over.
    Any upstream with room serves its caller better than the one that is silent.

    Args:
        request: The request.
        now: Current time of this process's clock.
    """
    return eligibility.PlacementConstraints(
        request.incoming.prompt,
        request.deadline - now,
        request.tried,
        allow_reread=True,
        origin=request.origin,
    )


def list_candidates(
    state: state_module.DirectState,
    now: float,
    service: str,
    queue: fair_queue.ServiceQueue,
    team: str,
) -> Iterator[int]:
    """Lists the requests of a team that one dispatch pass tries.

    Args:
        state: The router's state.
        now: Current time of this process's clock.
        service: Name of the service.
        queue: Queues of the service.
        team: The team.
    """
    accounts = state_module.get_or_create_accounts(state, service)
    received = fair_queue.compute_received(accounts, now, team)
    share = _compute_share(state, accounts, received)
    if share >= fair_queue.IDLE_UNDERSERVED_SHARE:
        return fair_queue.list_candidates(queue, team)
    return fair_queue.list_candidates(
        queue,
        team,
        lambda number: _has_waited_long(state.requests[number], now),
    )


def _compute_share(
    state: state_module.DirectState,
    accounts: fair_queue.TeamAccounts,
    received: float,
) -> float:
    """Computes a team's service as a fraction of the best served team's.

    A router that doesn't know what other routers give to teams would take its
    own teams for the best served ones. To it, any team may be underserved.
    """
    if not state.knows_others:
        return 0.0
    return fair_queue.compute_relative_share(accounts, received)


def _compute_max_queue_seconds(
    state: state_module.DirectState,
    now: float,
    request: state_module.Request,
) -> float:
    """Computes the longest acceptable prefill queue of an engine, in seconds.

    A request is urgent once its time left is within the shortest target
    latency that its service was recently asked for. The queue is not limited
    for urgent requests, except that the response must start in time. Others,
    which have time to wait at the router, may use only a part of the queue.
    """
    recent_targets = state_module.get_or_create_recent_targets(
        state, request.service
    )
    shortest = latency_targets.find_shortest_target(recent_targets, now)
    if request.target_at - now <= shortest:
        return math.inf
    return eligibility.QUEUE_SHARE * shortest


def _find_max_gap(
    state: state_module.DirectState, now: float, service: str
) -> float:
    """Finds the longest acceptable gap between the events of streams.

    Routers with many streams know the pace better than others. A team whose
    callers meet such a router must not get less for that, so the limit holds
    only for the teams that are served best.
    """
    lengths = state.response_lengths.get(service, {})
    return stream_pace.find_max_gap(lengths.values(), now)


def _has_waited_long(request: state_module.Request, now: float) -> bool:
    """Returns whether a request has waited long enough to leave its homes.

    It may then have its shared parts computed again on another engine if its
    team is underserved. Otherwise a team whose homes are all full would get
    nothing while other engines have free slots. A small team that received
    little because it asks for little is usually served by a home before that.
    """
    max_wait = request.give_up_at - request.arrived_at
    return now - request.arrived_at >= REREAD_WAIT_SHARE * max_wait
