"""Attempts at a sidecar: started at most once, charged as they run."""

__all__ = [
    "Acceptance",
    "accept_attempt",
    "cancel_overdue",
    "charge_run",
    "find_next_overdue",
    "finish_run",
    "list_parent_headers",
    "note_sent",
    "report_attempt",
    "serves_engine",
]

import enum

from sycamorefall import (
    admission,
    configuration,
    dispatch,
    messages,
    sharing,
)
from sycamorefall.dispatch import outcomes
from sycamorefall.sidecar import claim_backoff, effects, offers
from sycamorefall.sidecar import state as state_module


class Acceptance(enum.Enum):
    """What a sidecar does with a hand-out.

    STARTED: it is now on record as started and is to be run.
    REFUSED: it did not start here, and never will.
    REPEATED: it started here before; this is a copy.
    """

    STARTED = "started"
    REFUSED = "refused"
    REPEATED = "repeated"


def accept_attempt(
    state: state_module.SidecarState,
    now: float,
    order: messages.AttemptOrder,
) -> Acceptance:
    """Decides whether an attempt may start, directly before it would.

    Args:
        state: The sidecar; changed.
        now: This process's time.
        order: Head of the attempt.

    Returns:
        Whether it starts. A refusal is on record, so that the attempt is
        refused whenever it comes again.
    """
    known = outcomes.find_attempt_state(state.outcomes, order.attempt_id)
    if known in (
        messages.AttemptState.STARTED,
        messages.AttemptState.FINISHED,
    ):
        # Guards against a copy of a hand-out: called refused, its request
        # would be handed out again although it runs.
        return Acceptance.REPEATED
    claim = None
    if _is_meant_here(state, order) and not _is_outdated(state, order):
        if order.claim_id != messages.UNCLAIMED:
            claim_backoff.note_answer(state, order.router)
        claim = offers.redeem_order(state, now, order)
    if claim is None:
        _refuse(state, now, order.attempt_id)
        return Acceptance.REFUSED
    if not dispatch.try_start(state.outcomes, order.attempt_id):
        sharing.reserve_units(state.accounts, order.team, -claim.reserved)
        return Acceptance.REFUSED
    state.runs[order.attempt_id] = state_module.Run(
        order.attempt_id,
        order.team,
        claim.reserved,
        idempotent=order.idempotent,
        deadline=now + order.remaining,
    )
    return Acceptance.STARTED


def _is_meant_here(
    state: state_module.SidecarState, order: messages.AttemptOrder
) -> bool:
    """Tells whether a hand-out is meant for this very process.

    Guards against a claim redeemed for another request: claim numbers begin
    anew in each process, so a hand-out for the process before this one, or
    for the VM that had this address before, could match a claim of this one
    by chance. Its router would hear of it under the wrong incarnation.
    """
    meant = (order.sidecar, order.sidecar_incarnation, order.service)
    return meant == (state.vm, state.incarnation, state.service)


def _is_outdated(
    state: state_module.SidecarState, order: messages.AttemptOrder
) -> bool:
    """Tells whether a hand-out comes from a router that has restarted since.

    Guards against a hand-out that was on its way as its router died: nobody
    waits for its answer, its caller may already have come back with the same
    order, and the claim it names belongs to the router's new process.
    """
    peer = state.directory.peers.get(order.router)
    return peer is not None and peer.incarnation > order.incarnation


def _refuse(
    state: state_module.SidecarState, now: float, attempt_id: str
) -> None:
    outcomes.record_settled_state(
        state.outcomes, now, attempt_id, messages.AttemptState.REFUSED
    )


def charge_run(
    state: state_module.SidecarState, attempt_id: str, units: float
) -> None:
    """Charges a team for service as it is given.

    The cost is known only at the end, so what is charged on the way takes
    the place of what was reserved.

    Args:
        state: The sidecar; changed.
        attempt_id: The attempt in progress.
        units: Cost units since the last charge.
    """
    run = state.runs.get(attempt_id)
    if run is None or units <= 0:
        return
    released = min(run.reserved, units)
    run.reserved -= released
    run.charged += units
    sharing.charge_team(state.accounts, run.team, units)
    sharing.reserve_units(state.accounts, run.team, -released)


def note_sent(
    state: state_module.SidecarState, attempt_id: str, size: int
) -> None:
    """Counts bytes of an answer that were passed on to the router."""
    run = state.runs.get(attempt_id)
    if run is not None:
        run.sent += size


def finish_run(
    state: state_module.SidecarState,
    now: float,
    attempt_id: str,
    ran: bool = True,
) -> None:
    """Ends a run and learns from its cost.

    Args:
        state: The sidecar; changed.
        now: This process's time.
        attempt_id: The attempt that ended, in whichever way.
        ran: Whether the upstream may have seen it. If no byte reached the
            upstream, the attempt goes on record as refused, so that a router
            that didn't hear of it can still say "not run".
    """
    run = state.runs.pop(attempt_id, None)
    if run is None:
        return
    sharing.reserve_units(state.accounts, run.team, -run.reserved)
    if ran:
        sharing.record_cost(state.estimates, run.team, run.charged)
        state.fairness.max_lead = sharing.compute_max_lead(state.estimates)
    settled = messages.AttemptState.FINISHED
    if not ran:
        settled = messages.AttemptState.REFUSED
    outcomes.record_settled_state(state.outcomes, now, attempt_id, settled)


def report_attempt(
    state: state_module.SidecarState, now: float, attempt_id: str
) -> messages.AttemptReport:
    """Tells a router what became of an attempt.

    Args:
        state: The sidecar; an attempt never seen is refused from now on.
        now: This process's time.
        attempt_id: The attempt.

    Returns:
        The report.
    """
    known = dispatch.answer_query(state.outcomes, now, attempt_id)
    run = state.runs.get(attempt_id)
    return messages.AttemptReport(attempt_id, known, run.sent if run else 0)


def cancel_overdue(
    state: state_module.SidecarState, now: float
) -> list[effects.CancelRun]:
    """Cancels idempotent runs whose callers have stopped waiting.

    Guards against a router that vanished without closing its connection, as
    in a partition: its runs would hold their slots until the kernel gives
    the connection up, after minutes. A run that is not idempotent goes on to
    its end, since breaking it off could leave half an order booked.

    Args:
        state: The sidecar.
        now: This process's time.

    Returns:
        Runs to be cancelled.
    """
    return [
        effects.CancelRun(run.attempt_id)
        for run in state.runs.values()
        if run.idempotent and run.deadline <= now
    ]


def find_next_overdue(state: state_module.SidecarState) -> float:
    """Tells when `cancel_overdue` has something to do next."""
    return min(
        (run.deadline for run in state.runs.values() if run.idempotent),
        default=float("inf"),
    )


def serves_engine(state: state_module.SidecarState) -> bool:
    """Tells whether the upstream is a model engine."""
    service = state.versions.configuration.services.get(state.service)
    engine = configuration.ServiceKind.ENGINE
    return service is not None and service.kind is engine


def list_parent_headers(
    state: state_module.SidecarState,
    order: messages.AttemptOrder,
    held: float,
) -> tuple[tuple[str, str], ...]:
    """Lists what an upstream has to pass on with the calls that it makes.

    Args:
        state: The sidecar.
        order: Head of the attempt that is passed to the upstream.
        held: Seconds for which this process held it.

    Returns:
        Headers for the upstream; none if its service depends on no other.
    """
    in_force = state.versions.configuration
    service = in_force.services.get(state.service)
    if service is None or not service.depends_on:
        return ()
    remaining = max(0.0, order.remaining - held)
    parent = admission.Parent(
        order.team, state.service, order.attempt_id, remaining
    )
    token = admission.issue_token(in_force, parent)
    return ((admission.PARENT_HEADER, token),) if token else ()
