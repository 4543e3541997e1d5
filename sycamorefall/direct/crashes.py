"""Detection of upstreams that crash with requests in progress.

A lost connection alone does not prove a crash: an upstream may reset a
connection and keep running, and a network partition or a frozen VM closes none.
The router therefore opens a new connection at once. That connection is refused
only if the upstream's process no longer exists.
"""

__all__ = [
    "handle_check_result",
    "record_disconnect",
    "report_quarantined",
]

from collections.abc import Iterable, Mapping, Set

from sycamorefall import transport
from sycamorefall.direct import (
    dispatching,
    effects,
    fingerprints,
    outcomes,
    quarantine,
    upstreams,
    warmup,
)
from sycamorefall.direct import state as state_module
from sycamorefall.direct import suspects as suspects_module
from sycamorefall.direct.quarantine import Crash

MAX_CHECKS = 3
"""Maximum reachability checks of an upstream that does not respond. More than
one, since packets may be lost."""

DISCONNECT_RETENTION = 5.0
"""Seconds for which later lost connections count as part of the same crash."""


def record_disconnect(
    state: state_module.DirectState, now: float, number: int
) -> list[effects.Effect]:
    """Records a connection that was lost after its request was sent.

    The first lost connection of an upstream's process starts a reachability
    check. A leaving upstream is ignored, as it terminates on purpose.

    Args:
        state: The router's state; changed.
        now: Current time of this process's clock.
        number: Number of the request, whose attempt has not been ended yet.

    Returns:
        Effects to perform.
    """
    request = state.requests.get(number)
    if request is None or request.attempt is None:
        return []
    upstream = state_module.find_upstream(state, request.attempt)
    if upstream is None or upstreams.is_leaving(upstream):
        return []
    crash = Crash(upstream.listed.name, upstream.listed.start_time)
    suspects = suspects_module.list_suspects(now, request)
    tried = request.tried_parts & suspects.keys()
    known = state.disconnects.get(crash)
    if known is None:
        state.disconnects = {
            other: disconnect
            for other, disconnect in state.disconnects.items()
            if now - disconnect.since < DISCONNECT_RETENTION
        }
        state.disconnects[crash] = state_module.Disconnect(now, suspects, tried)
        return [effects.CheckUpstream(crash, upstream.listed.address)]
    if known.crashed:
        return _add_suspects(state, now, crash, suspects, tried)
    known.tried |= tried
    for fingerprint, sources in suspects.items():
        others = known.suspects.get(fingerprint, frozenset())
        known.suspects[fingerprint] = others | sources
    return []


def handle_check_result(
    state: state_module.DirectState,
    now: float,
    check: effects.CheckUpstream,
    reachability: transport.Reachability,
) -> list[effects.Effect]:
    """Handles the result of a reachability check.

    A refused connection means a crash: the upstream is suspended and its
    requests become suspects. A check without a response is repeated until
    `MAX_CHECKS` checks have been made.

    Args:
        state: The router's state; changed.
        now: Current time of this process's clock.
        check: The check.
        reachability: The result.

    Returns:
        Effects to perform.
    """
    known = state.disconnects.get(check.crash)
    if known is None:
        return []
    if reachability is transport.Reachability.REFUSED:
        known.crashed = True
        upstream = state.table.by_name.get(check.crash.upstream)
        if (
            upstream is not None
            and upstream.listed.start_time == check.crash.start_time
        ):
            upstreams.suspend_upstream(upstream, now)
            warmup.presume_cold(state, now, upstream)
        return [
            effects.ReportCrash(check.crash, _count_requests(known)),
            *_add_suspects(
                state, now, check.crash, known.suspects, known.tried
            ),
        ]
    if (
        reachability is transport.Reachability.UNKNOWN
        and known.checks < MAX_CHECKS
    ):
        known.checks += 1
        return [check]
    del state.disconnects[check.crash]
    return []


def _count_requests(disconnect: state_module.Disconnect) -> int:
    return sum(not fingerprints.is_part(one) for one in disconnect.suspects)


def _add_suspects(
    state: state_module.DirectState,
    now: float,
    crash: Crash,
    suspects: Mapping[bytes, frozenset[bytes]],
    tried: Set[bytes],
) -> list[effects.Effect]:
    """Adds the evidence of a crash and queues it for the other routers."""
    added = quarantine.record_crash(
        state.quarantine, now, crash, suspects, tried
    )
    return report_quarantined(state, now, added)


def report_quarantined(
    state: state_module.DirectState, now: float, added: Iterable[bytes]
) -> list[effects.Effect]:
    """Reports newly quarantined requests and refuses those that wait.

    Args:
        state: The router's state; changed.
        now: Current time of this process's clock.
        added: Fingerprints of the newly quarantined requests.

    Returns:
        Effects to perform.
    """
    added = list(added)
    if not added:
        return []
    reports = [
        effects.ReportQuarantine(
            fingerprint,
            tuple(sorted(state.quarantine.suspects[fingerprint].crashes)),
        )
        for fingerprint in added
        if fingerprint in state.quarantine.suspects
    ]
    return [*reports, *_refuse_waiting(state, now)]


def _refuse_waiting(
    state: state_module.DirectState, now: float
) -> list[effects.Effect]:
    """Refuses quarantined requests that wait; those in progress continue."""
    refused = [
        request
        for request in state.requests.values()
        if request.attempt is None
        and dispatching.is_quarantined(state, request)
    ]
    return [
        effect
        for request in refused
        for effect in outcomes.fail_request(state, request, now)
    ]
