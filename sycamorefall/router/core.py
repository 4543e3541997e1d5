"""A router's decisions: messages and timers in, effects out; no I/O."""

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
    stalls,
    sweep,
)
from sycamorefall.router import effects as router_effects
from sycamorefall.router import state as state_module

HEARTBEAT_INTERVAL = 2.0
"""Seconds between heartbeats; sidecars need them only to greet a router."""


def apply_configuration(state: state_module.RouterState) -> None:
    """Tells the peers at once that another configuration is in force."""
    state.next_heartbeat = 0.0


def begin_stop(state: state_module.RouterState) -> None:
    """Makes the router take no new request; what it holds is still served."""
    state.stopping = True
    state.next_heartbeat = 0.0


def receive_message(
    state: state_module.RouterState, now: float, envelope: messages.Envelope
) -> list[router_effects.Effect]:
    """Handles a control message.

    Args:
        state: The router; changed.
        now: This process's time.
        envelope: The message and its sender.

    Returns:
        What is to be done.
    """
    sender, incarnation = envelope.sender, envelope.incarnation
    if sender not in state.directory.vms:
        return []
    if membership.is_outdated(state.directory, now, sender, incarnation):
        return []
    message = envelope.message
    is_beat = isinstance(message, messages.Heartbeat)
    stopping = message.stopping if is_beat else None
    is_new = membership.record_peer_message(
        state.directory, now, sender, incarnation, stopping
    )
    news = _greet(state, now, sender) if is_new else []
    match message:
        case messages.Heartbeat():
            news += _take_hint(state, now, envelope, message)
        case messages.UnknownNames():
            news += announcement.announce_to(state, now, sender)
        case messages.Claim():
            news += attempt_lifecycle.answer_claim(
                state, now, sender, incarnation, message
            )
        case messages.AttemptReport():
            news += attempt_lifecycle.take_report(
                state, now, sender, incarnation, message
            )
    return news


def _greet(
    state: state_module.RouterState, now: float, sidecar: str
) -> list[router_effects.Effect]:
    """Answers a process that is new, so that both know of each other."""
    beat = messages.Heartbeat(state.stopping)
    news = announcement.announce_to(state, now, sidecar)
    return [effects.SendMessage(sidecar, beat), *news]


def _take_hint(
    state: state_module.RouterState,
    now: float,
    envelope: messages.Envelope,
    beat: messages.Heartbeat,
) -> list[router_effects.Effect]:
    """Takes over a sidecar's hint; one that has room learns what waits."""
    sidecar = envelope.sender
    service = state.directory.vms[sidecar].service
    free_slots = 0 if beat.stopping else beat.free_slots
    hints.note_hint(
        state,
        service,
        sidecar,
        envelope.incarnation,
        free_slots,
        beat.clock_seconds,
    )
    if not free_slots:
        return []
    offers = offering.offer_to_room(state, now, service, sidecar)
    return offers or announcement.announce_to(state, now, sidecar)


def run_timers(
    state: state_module.RouterState, now: float
) -> list[router_effects.Effect]:
    """Does what has come due.

    Args:
        state: The router; changed.
        now: This process's time.

    Returns:
        What is to be done.
    """
    due = _expire_requests(state, now)
    due += sweep.end_backoffs(state, now)
    due += sweep.sweep_waiting(state, now)
    for request in _list_asking(state):
        if request.attempt.ask_next <= now:
            due += attempt_lifecycle.ask_again(state, now, request)
    for request in stalls.pop_silent(state, now):
        due += _check_attempt(state, now, request)
    if now >= state.next_heartbeat:
        state.next_heartbeat = now + HEARTBEAT_INTERVAL
        due += _send_heartbeats(state, now)
    due += offering.offer_fresh(state, now)
    if now >= announcement.find_next_announcement(state):
        due += announcement.announce_changes(state, now)
    if now >= announcement.find_next_digest(state):
        due += announcement.announce_all(state, now)
    return due


def _check_attempt(
    state: state_module.RouterState,
    now: float,
    request: state_module.Request,
) -> list[router_effects.Effect]:
    if not stalls.is_abandoned(state, now, request):
        return [stalls.ask_sidecar(state, now, request)]
    hints.note_end(state, request, free=False)
    abort = router_effects.AbortAttempt(request.attempt.attempt_id)
    return [abort, *attempt_lifecycle.retry_or_give_up(state, now, request)]


def find_next_due(state: state_module.RouterState) -> float:
    """Tells when `run_timers` has something to do next."""
    awaiting_outcome = (
        request.attempt.ask_next for request in _list_asking(state)
    )
    deadlines = (entry[0] for entry in state.deadlines[:1])
    silent = (entry[0] for entry in state.checks[:1])
    offers = [0.0] if state.fresh else []
    return min(
        state.next_heartbeat,
        announcement.find_next_announcement(state),
        announcement.find_next_digest(state),
        sweep.find_next_due(state),
        *awaiting_outcome,
        *deadlines,
        *silent,
        *offers,
    )


def _list_asking(
    state: state_module.RouterState,
) -> list[state_module.Request]:
    return [state.requests[number] for number in state.awaiting_outcome]


def _send_heartbeats(
    state: state_module.RouterState, now: float
) -> list[router_effects.Effect]:
    beat = messages.Heartbeat(state.stopping)
    services = {vm.service for vm in state.directory.vms.values()}
    linked = [
        name
        for service in sorted(services)
        for name in membership.list_linked_sidecars(
            state.links, state.directory, now, state.vm, service
        )
    ]
    state.announcing.rate = sharing.compute_remaining_rate(
        state_module.ANNOUNCE_RATE, state_module.HEARTBEAT_RATE, len(linked)
    )
    return [effects.SendMessage(name, beat) for name in linked]


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
    ran = attempt_lifecycle.judge_ran(request)
    retry_after = estimates.suggest_return(state, now, new.service, new.team)
    answer = router_effects.AnswerError(
        request.number, errors.ErrorKind.DEADLINE_EXCEEDED, ran, retry_after
    )
    return [answer, *outcome]
