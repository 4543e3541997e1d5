"""Quarantine of requests that crash the upstreams that run them.

All requests in progress at a crashed upstream are suspects. A suspect with
several crashes and no success since is quarantined: the router refuses it and
sends it to no upstream. Evidence is kept in sets that only grow until suspects
expire, so routers may exchange it in any order and repeatedly.
"""

__all__ = [
    "Crash",
    "Evidence",
    "Quarantine",
    "Suspect",
    "add_evidence",
    "clear_request",
    "count_crashes",
    "drop_expired",
    "extend_quarantine",
    "find_next_scan",
    "is_quarantined",
    "list_evidence",
]

from collections.abc import Iterable, Iterator, Set
import dataclasses
import heapq
from typing import NamedTuple

CRASH_LIMIT = 3
"""Crashes without a success in between after which a request is quarantined.
Operators set a limit on the cost of a request after its third crash."""

SUSPECT_RETENTION = 300.0
"""Seconds after its last crash until a suspect expires."""

QUARANTINE_RETENTION = 900.0
"""Seconds after its last crash or arrival until a quarantine expires."""

MAX_SUSPECTS = 4096
"""Maximum number of suspects, without quarantined requests. Bounds the memory
that a caller can use up by changing a byte of its request each time."""

MAX_QUARANTINED = 1024
"""Maximum number of quarantined requests."""

EXPIRY_SCAN_INTERVAL = 10.0
"""Seconds between two scans for expired suspects."""


class Crash(NamedTuple):
    """A crashed process of an upstream.

    Attributes:
        upstream: The upstream's name.
        start_time: When the process started; see `upstreams.UpstreamEntry`.
    """

    upstream: str
    start_time: int


class Evidence(NamedTuple):
    """The fact that a request was in progress at a crash.

    Attributes:
        crash: The crash.
        fingerprint: The request's fingerprint.
        cleared: Whether the request has succeeded since.
        seen_at: Time of the request's last crash, or of its last arrival
            while quarantined.
    """

    crash: Crash
    fingerprint: bytes
    cleared: bool
    seen_at: float


@dataclasses.dataclass(slots=True)
class Suspect:
    """A request that was in progress at one or more crashes.

    Attributes:
        crashes: Crashes at which it was in progress.
        cleared: The crashes after which it succeeded.
        seen_at: Time of its last crash, or of its last arrival while
            quarantined.
        quarantined: Whether it is refused.
    """

    crashes: set[Crash] = dataclasses.field(default_factory=set)
    cleared: set[Crash] = dataclasses.field(default_factory=set)
    seen_at: float = float("-inf")
    quarantined: bool = False


@dataclasses.dataclass(slots=True)
class Quarantine:
    """Suspects by fingerprint.

    Attributes:
        suspects: All suspects, quarantined ones included.
        quarantined: Fingerprints of the quarantined suspects.
        unsent: New evidence of this router that other routers have yet to be
            sent, as pairs of a crash and a fingerprint.
        next_scan_at: Time of the next scan for expired suspects.
    """

    suspects: dict[bytes, Suspect] = dataclasses.field(default_factory=dict)
    quarantined: set[bytes] = dataclasses.field(default_factory=set)
    unsent: list[tuple[Crash, bytes]] = dataclasses.field(default_factory=list)
    next_scan_at: float = float("inf")


def is_quarantined(quarantine: Quarantine, fingerprint: bytes) -> bool:
    """Returns whether the request with a fingerprint is quarantined."""
    return fingerprint in quarantine.quarantined


def count_crashes(
    quarantine: Quarantine, fingerprint: bytes, excluded: Crash | None = None
) -> int:
    """Counts the crashes that a request may have caused.

    Args:
        quarantine: The suspects.
        fingerprint: The request's fingerprint.
        excluded: A crash that is not counted.

    Returns:
        The number of the request's crashes that no success has cleared.
    """
    suspect = quarantine.suspects.get(fingerprint)
    return len(_list_uncleared(suspect) - {excluded}) if suspect else 0


def _list_uncleared(suspect: Suspect) -> Set[Crash]:
    return suspect.crashes - suspect.cleared


def add_evidence(
    quarantine: Quarantine, now: float, evidence: Iterable[Evidence]
) -> tuple[list[Evidence], list[bytes]]:
    """Adds evidence of this or another router; repeated evidence is ignored.

    Args:
        quarantine: The suspects; changed.
        now: Current time of this process's clock.
        evidence: The evidence.

    Returns:
        The evidence that was new, and the fingerprints that are newly
        quarantined.
    """
    new = [one for one in evidence if _add_piece(quarantine, one)]
    if not new:
        return [], []
    quarantine.next_scan_at = min(
        quarantine.next_scan_at, now + EXPIRY_SCAN_INTERVAL
    )
    added = _update_quarantined(quarantine, new)
    _drop_excess(quarantine)
    return new, added


def _add_piece(quarantine: Quarantine, piece: Evidence) -> bool:
    """Adds a piece of evidence; returns whether it was new."""
    suspect = quarantine.suspects.get(piece.fingerprint)
    if suspect is None:
        suspect = quarantine.suspects[piece.fingerprint] = Suspect()
    suspect.seen_at = max(suspect.seen_at, piece.seen_at)
    known = suspect.cleared if piece.cleared else suspect.crashes
    if piece.crash in known:
        return False
    suspect.crashes.add(piece.crash)
    if piece.cleared:
        suspect.cleared.add(piece.crash)
    return True


def _update_quarantined(
    quarantine: Quarantine, new: Iterable[Evidence]
) -> list[bytes]:
    """Updates quarantined requests; returns the newly quarantined ones."""
    added = []
    for fingerprint in dict.fromkeys(one.fingerprint for one in new):
        suspect = quarantine.suspects[fingerprint]
        before = suspect.quarantined
        suspect.quarantined = len(_list_uncleared(suspect)) >= CRASH_LIMIT
        if suspect.quarantined and not before:
            quarantine.quarantined.add(fingerprint)
            added.append(fingerprint)
        elif before and not suspect.quarantined:
            quarantine.quarantined.discard(fingerprint)
    return added


def clear_request(
    quarantine: Quarantine, now: float, fingerprint: bytes
) -> None:
    """Clears a request that succeeded of its crashes."""
    suspect = quarantine.suspects.get(fingerprint)
    if suspect is None:
        return
    evidence = [
        Evidence(crash, fingerprint, True, suspect.seen_at)
        for crash in _list_uncleared(suspect)
    ]
    new, _ = add_evidence(quarantine, now, evidence)
    quarantine.unsent += ((one.crash, one.fingerprint) for one in new)


def extend_quarantine(
    quarantine: Quarantine, now: float, fingerprint: bytes
) -> None:
    """Extends the quarantine of a request that arrived again."""
    quarantine.suspects[fingerprint].seen_at = now


def list_evidence(
    quarantine: Quarantine, records: Iterable[tuple[Crash, bytes]]
) -> Iterator[Evidence]:
    """Lists the known evidence for pairs of a crash and a request."""
    for crash, fingerprint in records:
        suspect = quarantine.suspects.get(fingerprint)
        if suspect is not None and crash in suspect.crashes:
            cleared = crash in suspect.cleared
            yield Evidence(crash, fingerprint, cleared, suspect.seen_at)


def find_next_scan(quarantine: Quarantine) -> float:
    """Returns when `drop_expired` is due; infinity if nothing expires."""
    return quarantine.next_scan_at


def drop_expired(quarantine: Quarantine, now: float) -> None:
    """Drops expired suspects and quarantined requests."""
    expired = [
        fingerprint
        for fingerprint, suspect in quarantine.suspects.items()
        if now - suspect.seen_at
        >= (QUARANTINE_RETENTION if suspect.quarantined else SUSPECT_RETENTION)
    ]
    _drop(quarantine, expired)
    due = now + EXPIRY_SCAN_INTERVAL
    quarantine.next_scan_at = due if quarantine.suspects else float("inf")


def _drop(quarantine: Quarantine, expired: Iterable[bytes]) -> None:
    for fingerprint in expired:
        del quarantine.suspects[fingerprint]
        quarantine.quarantined.discard(fingerprint)


def _drop_excess(quarantine: Quarantine) -> None:
    """Drops requests above the limits.

    Suspects with the fewest crashes are dropped first, then the oldest ones.
    Suspects never displace a quarantined request.
    """
    suspects = quarantine.suspects
    excess = len(suspects) - len(quarantine.quarantined) - MAX_SUSPECTS
    if excess > 0:
        ranked = heapq.nsmallest(
            excess,
            (
                (len(_list_uncleared(suspect)), suspect.seen_at, fingerprint)
                for fingerprint, suspect in suspects.items()
                if not suspect.quarantined
            ),
        )
        _drop(quarantine, (fingerprint for *_, fingerprint in ranked))
    excess = len(quarantine.quarantined) - MAX_QUARANTINED
    if excess > 0:
        oldest = heapq.nsmallest(
            excess,
            quarantine.quarantined,
            key=lambda one: suspects[one].seen_at,
        )
        _drop(quarantine, oldest)
