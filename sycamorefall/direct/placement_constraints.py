"""What a request asks of an engine at a moment; no I/O."""

__all__ = [
    "compute_constraints",
]

import math

from sycamorefall.direct import eligibility, fair_queue, latency_targets
from sycamorefall.direct import (
    state as state_module,
)

FAIRNESS_SLACK = 0.1
"""Lead in service that a team may have over one that waits elsewhere, in
seconds of what all engines serve: less than one exchange of accounts can
tell apart would make teams wait for each other in turn."""

DEPRIVED_AFTER = 0.5
"""Part of its patience after which a request of a team that is behind goes to
any engine; the other half is left for that engine to be on time."""


def compute_constraints(
    state: state_module.DirectState,
    now: float,
    request: state_module.Request,
) -> eligibility.PlacementConstraints:
    """Describes what a request asks of an upstream now.

    Args:
        state: The router.
        now: This process's time.
        request: A request that is nowhere.
    """
    accounts = state_module.get_or_create_accounts(state, request.service)
    received = fair_queue.compute_received(accounts, now, request.team)
    share = fair_queue.compute_relative_share(accounts, received)
    slack = FAIRNESS_SLACK * state.catalog.tokens_per_second
    has_waited = _has_waited(request, now)
    return eligibility.PlacementConstraints(
        request.new.prompt,
        request.target_at - now,
        request.tried,
        yields_to=received - slack,
        leaves_idle_to=fair_queue.IDLE_UNDERSERVED_SHARE * received,
        uses=request.part_uses * state.routers,
        anywhere=has_waited and share < fair_queue.UNDERSERVED_SHARE,
        anywhere_idle=has_waited and share < fair_queue.IDLE_UNDERSERVED_SHARE,
        most_queue=_find_most_queue(state, now, request),
    )


def _find_most_queue(
    state: state_module.DirectState,
    now: float,
    request: state_module.Request,
) -> float:
    """Finds how long a request may wait for others inside an engine.

    A request is urgent once it has no more time left than those of the
    shortest target had when they came. It may wait until it would be late;
    what is left of the engine's queue is all that the others may fill, which
    have time to wait here.
    """
    known = state_module.get_or_create_recent_targets(state, request.service)
    shortest = latency_targets.find_shortest_target(known, now)
    if request.target_at - now <= shortest:
        return math.inf
    return eligibility.QUEUE_SHARE * shortest


def _has_waited(request: state_module.Request, now: float) -> bool:
    """Tells whether a request may have its shared part read elsewhere now.

    If its team is behind, too. Guards against a team whose parts all lie with
    full engines: it would get nothing while others are served next door. A
    small team that received little because it asks for little has its request
    served at home before half of its patience is over.
    """
    patience = request.give_up_at - request.arrived_at
    return now - request.arrived_at >= DEPRIVED_AFTER * patience
