"""Attempts at a sidecar: started at most once, charged while they run."""

__all__ = [
    "Acceptance",
    "accept_attempt",
    "build_parent_headers",
    "cancel_overdue",
    "charge_run",
    "find_next_overdue",
    "finish_run",
    "record_sent",
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
    """What a sidecar does with an attempt order.

    STARTED: the attempt is recorded as started and has to be run.
    REFUSED: the attempt did not start here and never will.
    REPEATED: the attempt started here before; the order is a copy.
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
        state: The sidecar's state; changed.
        now: This process's time, in seconds.
        order: Order of the attempt.

    Returns:
        Whether it starts. A refusal is recorded, so that the attempt is refused
        whenever it arrives again.
    """
    known = outcomes.find_attempt_state(state.outcomes, order.attempt_id)
    if known in (
        messages.AttemptState.STARTED,
        messages.AttemptState.FINISHED,
    ):
        # If a copy of an order were reported as refused, the router would send
        # the request again although it runs here.
        return Acceptance.REPEATED
    claim = None
    if _is_addressed_to_this_process(state, order) and not _is_outdated(
        state, order
    ):
        if order.claim_id != messages.UNCLAIMED:
            claim_backoff.clear_backoff(state, order.router)
        claim = offers.redeem_order(state, now, order)
    if claim is None:
        _record_refusal(state, now, order.attempt_id)
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


def _is_addressed_to_this_process(
    state: state_module.SidecarState, order: messages.AttemptOrder
) -> bool:
    """Returns whether an order is addressed to this very process.

    Claim numbers begin anew in each process. An order to an earlier process, or
    to the VM that had this address before, could match a claim of this process
    by chance. The claim would be redeemed for another request, and its router
    would learn of the run under the wrong incarnation.
    """
    addressee = (order.sidecar, order.sidecar_incarnation, order.service)
    return addressee == (state.vm, state.incarnation, state.service)


def _is_outdated(
    state: state_module.SidecarState, order: messages.AttemptOrder
) -> bool:
    """Returns whether an order comes from a router that has restarted since.

    Such an order was in transit when its router died. Nobody waits for the
    response, the caller may have sent the same request again, and the claim
    that the order names belongs to the router's new process.
    """
    peer = state.directory.peers.get(order.router)
    return peer is not None and peer.incarnation > order.incarnation


def _record_refusal(
    state: state_module.SidecarState, now: float, attempt_id: str
) -> None:
    outcomes.record_settled_state(
        state.outcomes, now, attempt_id, messages.AttemptState.REFUSED
    )


def charge_run(
    state: state_module.SidecarState, attempt_id: str, units: float
) -> None:
    """Charges a team for a part of a run.

    The total is known only at the end. Until then, charged units replace
    reserved ones.

    Args:
        state: The sidecar's state; changed.
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


def record_sent(
    state: state_module.SidecarState, attempt_id: str, size: int
) -> None:
    """Counts bytes of a response that were forwarded to the router."""
    run = state.runs.get(attempt_id)
    if run is not None:
        run.sent += size


def finish_run(
    state: state_module.SidecarState,
    now: float,
    attempt_id: str,
    ran: bool = True,
) -> None:
    """Ends a run and updates the team's cost estimate.

    Args:
        state: The sidecar's state; changed.
        now: This process's time, in seconds.
        attempt_id: The attempt that has ended, for whatever reason.
        ran: Whether the upstream may have received the request. If no byte
            reached the upstream, the attempt is recorded as refused, so that a
            router that did not learn of the end can still report "not run".
    """
    run = state.runs.pop(attempt_id, None)
    if run is None:
        return
    sharing.reserve_units(state.accounts, run.team, -run.reserved)
    if ran:
        sharing.record_cost(state.estimates, run.team, run.charged)
        state.fairness.max_lead = sharing.compute_max_lead(state.estimates)
    final_state = messages.AttemptState.FINISHED
    if not ran:
        final_state = messages.AttemptState.REFUSED
    outcomes.record_settled_state(state.outcomes, now, attempt_id, final_state)


def report_attempt(
    state: state_module.SidecarState, now: float, attempt_id: str
) -> messages.AttemptReport:
    """Builds a report of an attempt's state for a router.

    Args:
        state: The sidecar's state. An attempt that was never seen is refused
            from now on.
        now: This process's time, in seconds.
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

    A router may vanish without closing its connections, as in a partition. Its
    runs would then hold their slots for minutes, until the kernel gives up the
    connections. A run that is not idempotent continues to its end, because
    aborting it could leave its work half done, such as an order booked in part.

    Args:
        state: The sidecar's state.
        now: This process's time, in seconds.

    Returns:
        Runs to be cancelled.
    """
    return [
        effects.CancelRun(run.attempt_id)
        for run in state.runs.values()
        if run.idempotent and run.deadline <= now
    ]


def find_next_overdue(state: state_module.SidecarState) -> float:
    """Returns the time at which `cancel_overdue` has something to do next."""
    return min(
        (run.deadline for run in state.runs.values() if run.idempotent),
        default=float("inf"),
    )


def serves_engine(state: state_module.SidecarState) -> bool:
    """Returns whether the upstream is a model engine."""
    service = state.versions.configuration.services.get(state.service)
    engine = configuration.ServiceKind.ENGINE
    return service is not None and service.kind is engine


def build_parent_headers(
    state: state_module.SidecarState,
    order: messages.AttemptOrder,
    held_for: float,
) -> tuple[tuple[str, str], ...]:
    """Builds the headers that an upstream passes on with calls it makes.

    They attribute these calls to the attempt.

    Args:
        state: The sidecar's state.
        order: Order of the attempt that is sent to the upstream.
        held_for: Seconds for which this process held the attempt.

    Returns:
        Headers for the upstream; none if its service depends on no other.
    """
    in_force = state.versions.configuration
    service = in_force.services.get(state.service)
    if service is None or not service.depends_on:
        return ()
    remaining = max(0.0, order.remaining - held_for)
    parent = admission.Parent(
        order.team, state.service, order.attempt_id, remaining
    )
    token = admission.issue_token(in_force, parent)
    return ((admission.PARENT_HEADER, token),) if token else ()
