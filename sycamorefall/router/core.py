"""Decision logic of a router; no I/O.

It handles control messages and timers and returns effects.
"""

__all__ = [
    "apply_configuration",
    "begin_stop",
    "find_next_due",
    "receive_message",
    "run_timers",
]

import heapq

from sycamorefall import effects, errors, membership, messages, sharing
from sycamorefall.router import (
    announcement,
    attempt_lifecycle,
    estimates,
    hints,
    intake,
    offering,
    seeking,
    stalls,
    sweep,
)
from sycamorefall.router import effects as router_effects
from sycamorefall.router import state as state_module

HEARTBEAT_INTERVAL = 2.0
"""Seconds between heartbeats; sidecars need them only to detect new routers."""


def apply_configuration(state: state_module.RouterState) -> None:
    """Schedules heartbeats at once, which report the new revision to peers."""
    state.next_heartbeat_at = 0.0


def begin_stop(state: state_module.RouterState) -> None:
    """Makes the router refuse new requests; admitted ones are still served."""
    state.stopping = True
    state.next_heartbeat_at = 0.0


def receive_message(
    state: state_module.RouterState, now: float, envelope: messages.Envelope
) -> list[router_effects.Effect]:
    """Handles a control message.

    Args:
        state: The router's state; changed.
        now: This process's time, in seconds.
        envelope: The message and its sender.

    Returns:
        Effects to perform.
    """
    sender, incarnation = envelope.sender, envelope.incarnation
    if sender not in state.directory.vms:
        return []
    if membership.is_outdated(state.directory, now, sender, incarnation):
        return []
    message = envelope.message
    is_heartbeat = isinstance(message, messages.Heartbeat)
    stopping = message.stopping if is_heartbeat else None
    is_new = membership.record_peer_message(
        state.directory, now, sender, incarnation, stopping
    )
    responses = _handle_reappearance(state, now, sender) if is_new else []
    match message:
        case messages.Heartbeat():
            responses += _handle_hint(state, now, envelope, message)
        case messages.UnknownNames():
            responses += announcement.announce_to_sidecar(state, now, sender)
        case messages.Claim():
            responses += attempt_lifecycle.handle_claim(
                state, now, sender, incarnation, message
            )
        case messages.AttemptReport():
            responses += attempt_lifecycle.handle_report(
                state, now, sender, incarnation, message
            )
    return responses


def _handle_reappearance(
    state: state_module.RouterState, now: float, sidecar: str
) -> list[router_effects.Effect]:
    """Sends a heartbeat and what waits to a sidecar that is new or back."""
    heartbeat = messages.Heartbeat(state.stopping)
    responses = announcement.announce_to_sidecar(state, now, sidecar)
    return [effects.SendMessage(sidecar, heartbeat), *responses]


def _handle_hint(
    state: state_module.RouterState,
    now: float,
    envelope: messages.Envelope,
    heartbeat: messages.Heartbeat,
) -> list[router_effects.Effect]:
    """Records a sidecar's hint and sends offers or an announcement to it."""
    sidecar = envelope.sender
    service = state.directory.vms[sidecar].service
    free_slots = 0 if heartbeat.stopping else heartbeat.free_slots
    hints.record_hint(
        state,
        service,
        sidecar,
        envelope.incarnation,
        free_slots,
        heartbeat.clock_seconds,
    )
    if not free_slots:
        return []
    offers = offering.offer_waiting_requests(state, now, service, sidecar)
    return offers or announcement.announce_to_sidecar(state, now, sidecar)


def run_timers(
    state: state_module.RouterState, now: float
) -> list[router_effects.Effect]:
    """Performs the actions that are due.

    Args:
        state: The router's state; changed.
        now: This process's time, in seconds.

    Returns:
        Effects to perform.
    """
    due = _expire_requests(state, now)
    due += sweep.requeue_after_backoff(state, now)
    due += sweep.sweep_waiting(state, now)
    for request in _list_awaiting_outcome(state):
        if request.attempt.next_query_at <= now:
            due += attempt_lifecycle.query_outcome(state, now, request)
    for request in stalls.pop_due_checks(state, now):
        due += _check_attempt(state, now, request)
    if now >= state.next_heartbeat_at:
        state.next_heartbeat_at = now + HEARTBEAT_INTERVAL
        due += _send_heartbeats(state, now)
    due += offering.offer_new_requests(state, now)
    if now >= announcement.find_next_announcement(state):
        due += announcement.announce_changes(state, now)
    if now >= announcement.find_next_full_announcement(state):
        due += announcement.announce_all(state, now)
    return due


def _check_attempt(
    state: state_module.RouterState,
    now: float,
    request: state_module.Request,
) -> list[router_effects.Effect]:
    if not stalls.should_abandon(state, now, request):
        if stalls.should_seek(now, request):
            seeking.seek_sidecar(state, now, request)
        return [stalls.query_sidecar(state, now, request)]
    intake.stop_seeking(state, now, request)
    hints.record_attempt_end(state, request, free=False)
    abort = router_effects.AbortAttempt(request.attempt.attempt_id)
    return [abort, *attempt_lifecycle.retry_or_fail(state, now, request)]


def find_next_due(state: state_module.RouterState) -> float:
    """Returns the time at which `run_timers` is to be called next."""
    outcome_queries = (
        request.attempt.next_query_at
        for request in _list_awaiting_outcome(state)
    )
    deadlines = (entry[0] for entry in state.deadlines[:1])
    stall_checks = (entry[0] for entry in state.checks[:1])
    offers = [0.0] if state.services_with_new_requests else []
    return min(
        state.next_heartbeat_at,
        announcement.find_next_announcement(state),
        announcement.find_next_full_announcement(state),
        sweep.find_next_due(state),
        *outcome_queries,
        *deadlines,
        *stall_checks,
        *offers,
    )


def _list_awaiting_outcome(
    state: state_module.RouterState,
) -> list[state_module.Request]:
    return [state.requests[number] for number in state.awaiting_outcome]


def _send_heartbeats(
    state: state_module.RouterState, now: float
) -> list[router_effects.Effect]:
    heartbeat = messages.Heartbeat(state.stopping)
    services = {vm.service for vm in state.directory.vms.values()}
    linked = [
        name
        for service in sorted(services)
        for name in membership.list_linked_sidecars(
            state.links, state.directory, now, state.vm, service
        )
    ]
    state.announcement_budget.rate = sharing.compute_remaining_rate(
        state_module.ANNOUNCE_RATE, state_module.HEARTBEAT_RATE, len(linked)
    )
    return [effects.SendMessage(name, heartbeat) for name in linked]


def _expire_requests(
    state: state_module.RouterState, now: float
) -> list[router_effects.Effect]:
    expired: list[router_effects.Effect] = []
    while state.deadlines and state.deadlines[0][0] <= now:
        _, number = heapq.heappop(state.deadlines)
        request = state.requests.get(number)
        if request is not None:
            expired += _expire_request(state, now, request)
    return expired


def _expire_request(
    state: state_module.RouterState,
    now: float,
    request: state_module.Request,
) -> list[router_effects.Effect]:
    new = request.new
    outcome = intake.cancel_request(state, now, request.number)
    ran = attempt_lifecycle.determine_ran(request)
    retry_after = estimates.compute_retry_after(
        state, now, new.service, new.team
    )
    answer = router_effects.AnswerError(
        request.number, errors.ErrorKind.DEADLINE_EXCEEDED, ran, retry_after
    )
    return [answer, *outcome]
