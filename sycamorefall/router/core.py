"""A router's decisions: messages and timers in, effects out; no I/O."""

__all__ = ["begin_stop", "find_next_due", "receive_message", "run_timers"]

import heapq

from sycamorefall import effects, errors, membership, messages
from sycamorefall.router import announcement, checks, handout, intake
from sycamorefall.router import effects as router_effects
from sycamorefall.router import state as state_module

HEARTBEAT_INTERVAL = 0.5
"""Seconds between heartbeats."""


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
    message = envelope.message
    stopping = isinstance(message, messages.Heartbeat) and message.stopping
    known = state.directory.peers.get(sender)
    if known is not None and known.incarnation == incarnation:
        stopping = stopping or known.stopping
    is_new = membership.note_heartbeat(
        state.directory, now, sender, incarnation, stopping
    )
    news = announcement.announce_all(state, now, sender) if is_new else []
    match message:
        case messages.Claim():
            news += handout.answer_claim(
                state, now, sender, incarnation, message
            )
        case messages.AttemptReport():
            news += handout.take_report(
                state, now, sender, incarnation, message
            )
    return news


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
    for request in _list_asking(state):
        if request.attempt.ask_next <= now:
            due += handout.ask_again(state, now, request)
    for request in checks.pop_silent(state, now):
        due += _check_attempt(state, now, request)
    if now >= state.next_heartbeat:
        state.next_heartbeat = now + HEARTBEAT_INTERVAL
        due += _send_heartbeats(state)
    if now >= state.next_digest:
        state.next_digest = now + announcement.DIGEST_INTERVAL
        due += announcement.announce_all(state, now)
    return due


def _check_attempt(
    state: state_module.RouterState,
    now: float,
    request: state_module.Request,
) -> list[router_effects.Effect]:
    if not checks.is_abandoned(state, now, request):
        return [checks.ask_sidecar(state, now, request)]
    abort = router_effects.AbortAttempt(request.attempt.attempt_id)
    return [abort, *handout.retry_or_give_up(state, now, request)]


def find_next_due(state: state_module.RouterState) -> float:
    """Tells when `run_timers` has something to do next."""
    asking = (request.attempt.ask_next for request in _list_asking(state))
    deadlines = (entry[0] for entry in state.deadlines[:1])
    silent = (entry[0] for entry in state.checks[:1])
    return min(
        state.next_heartbeat,
        state.next_digest,
        *asking,
        *deadlines,
        *silent,
    )


def _list_asking(
    state: state_module.RouterState,
) -> list[state_module.Request]:
    return [state.requests[number] for number in state.asking]


def _send_heartbeats(
    state: state_module.RouterState,
) -> list[router_effects.Effect]:
    beat = messages.Heartbeat(state.stopping)
    return [
        effects.Send(vm.name, beat)
        for vm in state.directory.vms.values()
        if vm.role is membership.VmRole.UPSTREAM
    ]


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
    ran = handout.judge_ran(request)
    retry_after = intake.suggest_return(state, new.service, new.team)
    answer = router_effects.AnswerError(
        request.number, errors.ErrorKind.DEADLINE_EXCEEDED, ran, retry_after
    )
    return [answer, *outcome]
