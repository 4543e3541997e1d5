"""Decision logic of a sidecar; no I/O.

It handles control messages and timers and returns effects.
"""

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
"""Seconds between heartbeats to linked routers."""

SIBLING_HEARTBEAT_INTERVAL = 5.0
"""Seconds between heartbeats to siblings, the other sidecars of the service."""

SIBLING_RESYNC_AFTER = 12.0
"""Seconds without a message from a sibling after which it gets all account
entries again."""


def apply_configuration(state: state_module.SidecarState) -> None:
    """Takes the upstream's cap from the configuration in force.

    The next heartbeats are due at once, so that the peers learn of the new
    revision.
    """
    state.next_heartbeat_at = 0.0
    in_force = state.versions.configuration
    service = in_force.services.get(state.service) if in_force else None
    if service is not None:
        state.limit.cap = service.concurrency


def begin_stop(state: state_module.SidecarState) -> None:
    """Stops claiming and announces the stop in heartbeats, due at once."""
    state.stopping = True
    state.next_heartbeat_at = 0.0


def is_idle(state: state_module.SidecarState) -> bool:
    """Returns whether nothing is in progress and all account entries are sent.

    The service that this process has recorded for the teams is lost with it.
    Unless the other sidecars know it, the teams would get that much service
    twice.
    """
    busy = state.runs or state.claims.open or state.accounts.unsent
    return not busy


def receive_message(
    state: state_module.SidecarState, now: float, envelope: messages.Envelope
) -> list[effects.SendMessage]:
    """Handles a control message.

    A message from an unlisted VM or an outdated process is ignored.

    Args:
        state: The sidecar's state; changed.
        now: This process's time, in seconds.
        envelope: The message and its sender.

    Returns:
        Messages to send, including new claims.
    """
    sender = envelope.sender
    if sender not in state.directory.vms:
        return []
    if membership.is_outdated(
        state.directory, now, sender, envelope.incarnation
    ):
        return []
    message = envelope.message
    is_heartbeat = isinstance(message, messages.Heartbeat)
    stopping = message.stopping if is_heartbeat else None
    known = state.directory.peers.get(sender)
    membership.record_peer_message(
        state.directory, now, sender, envelope.incarnation, stopping
    )
    responses = _handle_reappearance(state, now, sender, known)
    match message:
        case messages.Waiting():
            _handle_waiting(state, now, envelope, message)
        case messages.NoWork():
            claiming.handle_no_work(state, sender, message)
        case messages.AccountUpdate():
            if message.service == state.service:
                sharing.merge_entries(state.accounts, message.entries)
        case messages.UnknownNames():
            sharing.schedule_sibling_sync(
                state.account_exchange,
                state.accounts,
                sender,
                include_other_owners=False,
            )
        case messages.AttemptQuery():
            report = running.report_attempt(state, now, message.attempt_id)
            responses.append(effects.SendMessage(sender, report))
    return responses + claiming.make_claims(state, now)


def _handle_waiting(
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
    newly_waiting = sharing.record_waiting(
        state.demand, now, envelope.sender, envelope.incarnation, message
    )
    for team in newly_waiting:
        weight = claiming.get_team_weight(state, team)
        sharing.raise_to_floor(state.fairness, state.accounts, team, weight)


def _handle_reappearance(
    state: state_module.SidecarState,
    now: float,
    sender: str,
    known: membership.Peer | None,
) -> list[effects.SendMessage]:
    """Sends a heartbeat or account entries to a peer that is new or back.

    A router gets a heartbeat. A sibling that restarted, or was partitioned for
    longer than entries are repeated, lacks account entries. Without them it
    would serve a team first that the other sidecars know to be far ahead.
    """
    vm = state.directory.vms[sender]
    peer = state.directory.peers[sender]
    restarted = known is None or known.incarnation != peer.incarnation
    silent_for = float("inf") if restarted else now - known.heard_at
    if vm.role is membership.VmRole.ROUTER:
        reappeared = silent_for > membership.SUSPECT_AFTER
        heartbeat = hinting.build_heartbeat(state, now)
        return [effects.SendMessage(sender, heartbeat)] if reappeared else []
    if vm.service == state.service and silent_for > SIBLING_RESYNC_AFTER:
        siblings = _list_siblings(state, now)
        full_sync_senders = membership.choose_full_sync_senders(
            sender, [state.vm, *siblings]
        )
        sharing.schedule_sibling_sync(
            state.account_exchange,
            state.accounts,
            sender,
            state.vm in full_sync_senders,
        )
    return []


def run_timers(
    state: state_module.SidecarState, now: float
) -> list[effects.SendMessage | sidecar_effects.CancelRun]:
    """Performs the actions that are due.

    Args:
        state: The sidecar's state; changed.
        now: This process's time, in seconds.

    Returns:
        Messages to send and runs to cancel.
    """
    claiming.release_expired_claims(state, now)
    due_effects: list[effects.SendMessage | sidecar_effects.CancelRun] = []
    due_effects += running.cancel_overdue(state, now)
    due_effects += hinting.send_due_hints(state, now)
    if now >= state.next_heartbeat_at:
        state.next_heartbeat_at = now + HEARTBEAT_INTERVAL
        outcomes.expire_records(state.outcomes, now)
        sweeping.sweep_accounts(state)
        due_effects += hinting.send_heartbeats(state, now)
    if now >= state.next_sibling_heartbeat_at:
        state.next_sibling_heartbeat_at = now + SIBLING_HEARTBEAT_INTERVAL
        heartbeat = messages.Heartbeat(state.stopping)
        due_effects += [
            effects.SendMessage(name, heartbeat)
            for name in _list_siblings(state, now)
        ]
    if now >= sharing.compute_next_update_time(
        state.account_exchange, state.accounts
    ):
        due_effects += _send_accounts(state, now)
    return due_effects + claiming.make_claims(state, now)


def find_next_due(state: state_module.SidecarState) -> float:
    """Returns the time at which `run_timers` has something to do next."""
    leases = (claim.expires_at for claim in state.claims.open.values())
    return min(
        state.next_heartbeat_at,
        state.next_sibling_heartbeat_at,
        hinting.find_next_hint(state),
        running.find_next_overdue(state),
        sharing.compute_next_update_time(
            state.account_exchange, state.accounts
        ),
        *leases,
    )


def _send_accounts(
    state: state_module.SidecarState, now: float
) -> list[effects.SendMessage]:
    siblings = _list_siblings(state, now)
    updates = sharing.build_due_updates(
        state.account_exchange, state.accounts, now, siblings
    )
    if len(updates) >= len(siblings):
        # Account updates to all siblings take the place of heartbeats.
        state.next_sibling_heartbeat_at = now + SIBLING_HEARTBEAT_INTERVAL
    return [
        effects.SendMessage(
            name, messages.AccountUpdate(state.service, tuple(entries))
        )
        for name, entries in updates
    ]


def _list_siblings(state: state_module.SidecarState, now: float) -> list[str]:
    return membership.list_siblings(state.links, state.directory, now, state.vm)
