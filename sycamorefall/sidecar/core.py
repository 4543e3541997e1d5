"""A sidecar's decisions: messages and timers in, effects out; no I/O."""

__all__ = [
    "apply_configuration",
    "begin_stop",
    "find_next_due",
    "is_idle",
    "receive_message",
    "run_timers",
]

from sycamorefall import effects, membership, messages, sharing
from sycamorefall.dispatch import outcomes
from sycamorefall.sidecar import (
    claim_backoff,
    claiming,
    hinting,
    running,
    sweeping,
)
from sycamorefall.sidecar import effects as sidecar_effects
from sycamorefall.sidecar import state as state_module

HEARTBEAT_INTERVAL = 1.0
"""Seconds between heartbeats."""

SIBLING_INTERVAL = 5.0
"""Seconds between heartbeats to siblings."""

SIBLING_SILENCE = 12.0
"""Seconds of silence after which a sibling is told everything again."""


def apply_configuration(state: state_module.SidecarState) -> None:
    """Takes the upstream's limit from the configuration in force.

    The peers are told at once that another one is in force.
    """
    state.next_heartbeat = 0.0
    in_force = state.versions.configuration
    service = in_force.services.get(state.service) if in_force else None
    if service is not None:
        state.limit.cap = service.concurrency


def begin_stop(state: state_module.SidecarState) -> None:
    """Makes the sidecar claim nothing more and tell so."""
    state.stopping = True
    state.next_heartbeat = 0.0


def is_idle(state: state_module.SidecarState) -> bool:
    """Tells whether nothing is in progress and all accounts are handed over.

    What this process knows of the teams' service dies with it: unless the
    other sidecars have it, teams would get that much service twice.
    """
    busy = state.runs or state.claims.open or state.accounts.unsent
    return not busy


def receive_message(
    state: state_module.SidecarState, now: float, envelope: messages.Envelope
) -> list[effects.SendMessage]:
    """Handles a control message.

    Args:
        state: The sidecar; changed.
        now: This process's time.
        envelope: The message and its sender.

    Returns:
        Messages to send, new claims among them.
    """
    sender = envelope.sender
    if sender not in state.directory.vms:
        return []
    if membership.is_outdated(
        state.directory, now, sender, envelope.incarnation
    ):
        return []
    message = envelope.message
    is_beat = isinstance(message, messages.Heartbeat)
    stopping = message.stopping if is_beat else None
    known = state.directory.peers.get(sender)
    membership.record_peer_message(
        state.directory, now, sender, envelope.incarnation, stopping
    )
    replies = _greet(state, now, sender, known)
    match message:
        case messages.Waiting():
            _take_waiting(state, now, envelope, message)
        case messages.NoWork():
            claiming.release_no_work(state, sender, message)
        case messages.AccountUpdate():
            if message.service == state.service:
                sharing.merge_entries(state.accounts, message.entries)
        case messages.UnknownNames():
            sharing.schedule_sibling_sync(
                state.exchange,
                state.accounts,
                sender,
                include_other_owners=False,
            )
        case messages.AttemptQuery():
            report = running.report_attempt(state, now, message.attempt_id)
            replies.append(effects.SendMessage(sender, report))
    return replies + claiming.make_claims(state, now)


def _take_waiting(
    state: state_module.SidecarState,
    now: float,
    envelope: messages.Envelope,
    message: messages.Waiting,
) -> None:
    if message.service != state.service:
        return
    message = claim_backoff.limit_waiting(state, now, envelope.sender, message)
    if message is None:
        return
    fresh = sharing.record_waiting(
        state.demand, now, envelope.sender, envelope.incarnation, message
    )
    for team in fresh:
        weight = claiming.find_weight(state, team)
        sharing.raise_to_floor(state.fairness, state.accounts, team, weight)


def _greet(
    state: state_module.SidecarState,
    now: float,
    sender: str,
    known: membership.Peer | None,
) -> list[effects.SendMessage]:
    """Tells a new router of this sidecar, a new sibling of the accounts.

    Guards against a sibling that restarted, or that a partition cut off for
    longer than any repetition lasts: without the entries it missed it would
    serve a team first that others know to be far ahead.
    """
    vm = state.directory.vms[sender]
    peer = state.directory.peers[sender]
    restarted = known is None or known.incarnation != peer.incarnation
    silence = float("inf") if restarted else now - known.heard_at
    if vm.role is membership.VmRole.ROUTER:
        met = silence > membership.SUSPECT_AFTER
        beat = hinting.build_heartbeat(state, now)
        return [effects.SendMessage(sender, beat)] if met else []
    if vm.service == state.service and silence > SIBLING_SILENCE:
        siblings = _list_siblings(state, now)
        full_sync_senders = membership.choose_full_sync_senders(
            sender, [state.vm, *siblings]
        )
        sharing.schedule_sibling_sync(
            state.exchange,
            state.accounts,
            sender,
            state.vm in full_sync_senders,
        )
    return []


def run_timers(
    state: state_module.SidecarState, now: float
) -> list[effects.SendMessage | sidecar_effects.CancelRun]:
    """Does what has come due.

    Args:
        state: The sidecar; changed.
        now: This process's time.

    Returns:
        Messages to send and runs to cancel.
    """
    claiming.release_expired(state, now)
    due: list[effects.SendMessage | sidecar_effects.CancelRun] = []
    due += running.cancel_overdue(state, now)
    due += hinting.hint_room(state, now)
    if now >= state.next_heartbeat:
        state.next_heartbeat = now + HEARTBEAT_INTERVAL
        outcomes.expire_records(state.outcomes, now)
        sweeping.sweep_accounts(state)
        due += hinting.send_heartbeats(state, now)
    if now >= state.next_sibling_beat:
        state.next_sibling_beat = now + SIBLING_INTERVAL
        beat = messages.Heartbeat(state.stopping)
        due += [
            effects.SendMessage(name, beat)
            for name in _list_siblings(state, now)
        ]
    if now >= sharing.compute_next_update_time(state.exchange, state.accounts):
        due += _send_accounts(state, now)
    return due + claiming.make_claims(state, now)


def find_next_due(state: state_module.SidecarState) -> float:
    """Tells when `run_timers` has something to do next."""
    leases = (claim.expires_at for claim in state.claims.open.values())
    return min(
        state.next_heartbeat,
        state.next_sibling_beat,
        hinting.find_next_hint(state),
        running.find_next_overdue(state),
        sharing.compute_next_update_time(state.exchange, state.accounts),
        *leases,
    )


def _send_accounts(
    state: state_module.SidecarState, now: float
) -> list[effects.SendMessage]:
    siblings = _list_siblings(state, now)
    news = sharing.build_due_updates(
        state.exchange, state.accounts, now, siblings
    )
    if len(news) >= len(siblings):
        # An update to all of them tells as well that this sidecar lives.
        state.next_sibling_beat = now + SIBLING_INTERVAL
    return [
        effects.SendMessage(
            name, messages.AccountUpdate(state.service, tuple(entries))
        )
        for name, entries in news
    ]


def _list_siblings(state: state_module.SidecarState, now: float) -> list[str]:
    return membership.list_siblings(state.links, state.directory, now, state.vm)
