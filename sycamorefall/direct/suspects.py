"""What may crash upstreams: a request, or a shared part of its prompt.

A part is accused like a whole request, since requests of which no two are alike
may have nothing but a part in common. The parts of a prompt are cleared when an
upstream has answered it, whatever else the request contains.
"""

__all__ = [
    "PROOF_DELAY",
    "find_quarantined",
    "is_suspect",
    "list_suspects",
    "record_answer",
    "record_success",
]

from sycamorefall.direct import fingerprints, quarantine
from sycamorefall.direct import state as state_module

PROOF_DELAY = 0.25
"""Seconds after the first event of a response in which it may still crash its
upstream. An upstream crashes when it begins to write, but events that it sent
before may be read first."""


def list_suspects(
    now: float, request: state_module.Request
) -> dict[bytes, frozenset[bytes]]:
    """Lists what may have crashed a request's upstream.

    Parts crash an upstream when it begins to write a response, so those of a
    response that was going on are no suspects.

    Args:
        now: Current time of this process's clock.
        request: A request whose attempt has lost its upstream.

    Returns:
        Sources by fingerprint of a suspect; see `evidence.Evidence`.
    """
    attempt = request.attempt
    whole = fingerprints.get_fingerprint(request)
    suspects = {whole: frozenset()}
    if attempt.response_started and now - attempt.began_at >= PROOF_DELAY:
        return suspects
    source = frozenset({whole[: fingerprints.SOURCE_SIZE]})
    parts = fingerprints.list_part_fingerprints(request.incoming.prompt)
    return suspects | dict.fromkeys(parts, source)


def record_answer(
    state: state_module.DirectState,
    now: float,
    request: state_module.Request,
) -> None:
    """Clears the shared parts of a prompt on which an upstream has answered."""
    parts = fingerprints.list_part_fingerprints(request.incoming.prompt)
    quarantine.record_proof(state.quarantine, now, parts)
    if state.quarantine.suspects:
        quarantine.clear_suspects(state.quarantine, now, parts)


def record_success(
    state: state_module.DirectState,
    now: float,
    request: state_module.Request,
    has_answer: bool,
) -> None:
    """Clears a request that succeeded.

    Args:
        state: The router's state; changed.
        now: Current time of this process's clock.
        request: The request.
        has_answer: Whether its upstream has written an answer.
    """
    if has_answer:
        record_answer(state, now, request)
    if state.quarantine.suspects:
        fingerprint = fingerprints.get_fingerprint(request)
        quarantine.clear_suspects(state.quarantine, now, [fingerprint])


def find_quarantined(
    state: state_module.DirectState, request: state_module.Request
) -> bytes:
    """Returns the fingerprint for which a request is refused; empty if none."""
    known = state.quarantine
    if not known.quarantined:
        return b""
    return quarantine.find_quarantined(
        known,
        (
            one
            for one in fingerprints.list_fingerprints(request)
            if one not in request.tried_parts
        ),
    )


def is_suspect(
    state: state_module.DirectState,
    now: float,
    request: state_module.Request,
    attempt: state_module.Attempt,
) -> bool:
    """Returns whether a request may have crashed an upstream before an attempt.

    Suspects are not retried, so each arrival of a request crashes at most two
    upstreams, and a trial at most one.

    Args:
        state: The router's state.
        now: Current time of this process's clock.
        request: The request.
        attempt: Its attempt that has lost its upstream.
    """
    known = state.quarantine
    if request.tried_parts:
        return True
    if not known.suspects:
        return False
    present = quarantine.Crash(attempt.upstream, attempt.start_time)
    return any(
        quarantine.count_unexplained(known, one, present) > 0
        and not quarantine.is_proven(known, one, now)
        for one in fingerprints.list_fingerprints(request)
    )
