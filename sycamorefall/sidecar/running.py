"""Attempts at a sidecar: started at most once, charged as they run."""

__all__ = [
    "accept_attempt",
    "charge_run",
    "finish_run",
    "list_parent_headers",
    "serves_engine",
]

from sycamorefall import (
    admission,
    configuration,
    dispatch,
    messages,
    sharing,
)
from sycamorefall.dispatch import outcomes
from sycamorefall.sidecar import offers, silence
from sycamorefall.sidecar import state as state_module


def accept_attempt(
    state: state_module.SidecarState,
    now: float,
    order: messages.AttemptOrder,
) -> bool:
    """Decides whether an attempt may start, directly before it would.

    Args:
        state: The sidecar; changed.
        now: This process's time.
        order: Head of the attempt.

    Returns:
        True if the attempt is now on record as started; False if it is
        refused, and will be whenever it comes again.
    """
    if order.claim_id != messages.UNCLAIMED:
        silence.note_answer(state, order.router)
    claim = offers.redeem_order(state, now, order)
    if claim is None:
        _refuse(state, now, order.attempt_id)
        return False
    if not dispatch.try_start(state.outcomes, now, order.attempt_id):
        sharing.reserve_units(state.accounts, order.team, -claim.reserved)
        return False
    state.runs[order.attempt_id] = state_module.Run(
        order.attempt_id, order.team, claim.reserved
    )
    return True


def _refuse(
    state: state_module.SidecarState, now: float, attempt_id: str
) -> None:
    """Records a refusal, but not over the record of an earlier start."""
    if dispatch.try_start(state.outcomes, now, attempt_id):
        outcomes.record_outcome(
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


def finish_run(
    state: state_module.SidecarState, now: float, attempt_id: str
) -> None:
    """Ends a run and learns from its cost.

    Args:
        state: The sidecar; changed.
        now: This process's time.
        attempt_id: The attempt that ended, in whichever way.
    """
    run = state.runs.pop(attempt_id, None)
    if run is None:
        return
    sharing.reserve_units(state.accounts, run.team, -run.reserved)
    sharing.note_cost(state.estimates, run.team, run.charged)
    state.fairness.horizon = sharing.compute_horizon(state.estimates)
    outcomes.record_outcome(
        state.outcomes, now, attempt_id, messages.AttemptState.FINISHED
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
