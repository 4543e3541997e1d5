"""Quarantine of what crashes upstreams: requests, and parts of prompts.

All requests in progress at a crashed upstream are suspects, and so are the
shared parts of the prompts that it had not begun to answer. A suspect with
several crashes and no success since is quarantined: the router refuses requests
that contain it and sends them to no upstream. Evidence is kept in sets that
only grow until suspects expire, so routers may exchange it in any order and
repeatedly.
"""

__all__ = [
    "Crash",
    "Evidence",
    "Quarantine",
    "Suspect",
    "add_evidence",
    "apply_proofs",
    "clear_suspects",
    "count_crashes",
    "drop_expired",
    "extend_quarantine",
    "find_next_scan",
    "find_quarantined",
    "is_proven",
    "is_quarantined",
    "list_evidence",
    "record_proof",
]

import collections
from collections.abc import Iterable, Iterator, Set
import dataclasses
import heapq
from typing import NamedTuple

CRASH_LIMIT = 3
"""Crashes without a success in between after which a request is quarantined.
Operators set a limit on the cost of a request after its third crash."""

MIN_SOURCES = 2
"""Different requests through which a part must have been present at crashes to
be quarantined."""

MAX_SOURCES = 2
"""Maximum number of requests kept for a part and a crash."""

SUSPECT_RETENTION = 300.0
"""Seconds after its last crash until a suspect expires."""

QUARANTINE_RETENTION = 900.0
"""Seconds after its last crash or arrival until a quarantine expires."""

MAX_SUSPECTS = 4096
"""Maximum number of suspects, without quarantined requests. Bounds the memory
that a caller can use up by changing a byte of its request each time."""

MAX_QUARANTINED = 1024
"""Maximum number of quarantined requests and parts."""

PROOF_LEAD = 2.0
"""Seconds before a crash in which a success still shows that a part didn't
cause it. A part that is used all the time succeeds between any two crashes, but
crashes of several upstreams within a second leave no time for it."""

MAX_PROOFS = 8192
"""Maximum number of parts whose last success is kept."""

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
    """The fact that a request, or a prompt's part, was present at a crash.

    Attributes:
        crash: The crash.
        fingerprint: Fingerprint of the request or part.
        cleared: Whether it has succeeded since.
        seen_at: Time of its last crash, or of a request's last arrival while
            quarantined.
        sources: For a part, digests of requests through which it was present.
    """

    crash: Crash
    fingerprint: bytes
    cleared: bool
    seen_at: float
    sources: frozenset[bytes] = frozenset()


@dataclasses.dataclass(slots=True)
class Suspect:
    """A request or a part of prompts that was present at one or more crashes.

    Attributes:
        crashes: Crashes at which it was present.
        cleared: The crashes after which it succeeded.
        seen_at: Time of its last crash, or of a request's last arrival while
            quarantined.
        quarantined: Whether it is refused.
        sources: For a part, digests of requests through which it was present,
            by crash; at most `MAX_SOURCES` for each.
    """

    crashes: set[Crash] = dataclasses.field(default_factory=set)
    sources: dict[Crash, frozenset[bytes]] = dataclasses.field(
        default_factory=dict
    )
    cleared: set[Crash] = dataclasses.field(default_factory=set)
    seen_at: float = float("-inf")
    quarantined: bool = False


@dataclasses.dataclass(slots=True)
class Quarantine:
    """Suspects by fingerprint.

    Attributes:
        suspects: All suspects, quarantined ones included.
        quarantined: Fingerprints of the quarantined suspects.
        proofs: Time of the last success of parts, by fingerprint, least recent
            first.
        unsent: New evidence of this router that other routers have yet to be
            sent, as pairs of a crash and a fingerprint.
        next_scan_at: Time of the next scan for expired suspects.
    """

    suspects: dict[bytes, Suspect] = dataclasses.field(default_factory=dict)
    quarantined: set[bytes] = dataclasses.field(default_factory=set)
    proofs: collections.OrderedDict[bytes, float] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    unsent: list[tuple[Crash, bytes]] = dataclasses.field(default_factory=list)
    next_scan_at: float = float("inf")


def is_quarantined(quarantine: Quarantine, fingerprint: bytes) -> bool:
    """Returns whether the request with a fingerprint is quarantined."""
    return fingerprint in quarantine.quarantined


def find_quarantined(
    quarantine: Quarantine, fingerprints: Iterable[bytes]
) -> bytes:
    """Returns the first quarantined one of some fingerprints; empty if none."""
    return next(
        (one for one in fingerprints if one in quarantine.quarantined), b""
    )


def record_proof(
    quarantine: Quarantine, now: float, fingerprints: Iterable[bytes]
) -> None:
    """Records that upstreams have answered on parts without a crash."""
    proofs = quarantine.proofs
    for fingerprint in fingerprints:
        proofs[fingerprint] = now
        proofs.move_to_end(fingerprint)
    while len(proofs) > MAX_PROOFS:
        proofs.popitem(last=False)


def is_proven(
    quarantine: Quarantine, fingerprint: bytes, crashed_at: float
) -> bool:
    """Returns whether a part's last success shows that it caused no crash."""
    proven_at = quarantine.proofs.get(fingerprint)
    return proven_at is not None and proven_at >= crashed_at - PROOF_LEAD


def count_crashes(
    quarantine: Quarantine, fingerprint: bytes, excluded: Crash | None = None
) -> int:
    """Counts the crashes that a request or part may have caused.

    Args:
        quarantine: The suspects.
        fingerprint: Fingerprint of the request or part.
        excluded: A crash that is not counted.

    Returns:
        The number of its crashes that no success has cleared.
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
    has_new_source = _add_sources(suspect, piece)
    known = suspect.cleared if piece.cleared else suspect.crashes
    if piece.crash in known:
        return has_new_source
    suspect.crashes.add(piece.crash)
    if piece.cleared:
        suspect.cleared.add(piece.crash)
    return True


def _add_sources(suspect: Suspect, piece: Evidence) -> bool:
    """Adds the sources of evidence; returns whether the suspect lacked one."""
    known = suspect.sources.get(piece.crash, frozenset())
    if piece.sources <= known or len(known) >= MAX_SOURCES:
        return False
    merged = sorted(known | piece.sources)[:MAX_SOURCES]
    suspect.sources[piece.crash] = frozenset(merged)
    return True


def _is_convicted(suspect: Suspect) -> bool:
    """Returns whether a suspect's crashes suffice to refuse it.

    Crashes at which a part was present through one request only are that
    request's: others with the same part may be sound.
    """
    crashes = _list_uncleared(suspect)
    if len(crashes) < CRASH_LIMIT:
        return False
    if not suspect.sources:
        return True  # It is a request.
    sources = (suspect.sources.get(one, frozenset()) for one in crashes)
    return len(frozenset().union(*sources)) >= MIN_SOURCES


def _update_quarantined(
    quarantine: Quarantine, new: Iterable[Evidence]
) -> list[bytes]:
    """Updates quarantined requests; returns the newly quarantined ones."""
    added = []
    for fingerprint in dict.fromkeys(one.fingerprint for one in new):
        suspect = quarantine.suspects[fingerprint]
        before = suspect.quarantined
        suspect.quarantined = _is_convicted(suspect)
        if suspect.quarantined and not before:
            quarantine.quarantined.add(fingerprint)
            added.append(fingerprint)
        elif before and not suspect.quarantined:
            quarantine.quarantined.discard(fingerprint)
    return added


def clear_suspects(
    quarantine: Quarantine, now: float, fingerprints: Iterable[bytes]
) -> None:
    """Clears requests or parts that succeeded of their crashes."""
    suspects = quarantine.suspects
    evidence = [
        Evidence(crash, one, True, suspects[one].seen_at)
        for one in fingerprints
        if one in suspects
        for crash in _list_uncleared(suspects[one])
    ]
    new, _ = add_evidence(quarantine, now, evidence)
    quarantine.unsent += ((one.crash, one.fingerprint) for one in new)


def apply_proofs(
    quarantine: Quarantine, evidence: Iterable[Evidence]
) -> list[Evidence]:
    """Marks evidence of other routers as cleared if successes here clear it.

    Returns:
        The evidence, with `cleared` set for each part that succeeded at this
        router since the crash or just before it.
    """
    return [
        one._replace(
            cleared=one.cleared
            or is_proven(quarantine, one.fingerprint, one.seen_at)
        )
        for one in evidence
    ]


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
            yield Evidence(
                crash,
                fingerprint,
                crash in suspect.cleared,
                suspect.seen_at,
                suspect.sources.get(crash, frozenset()),
            )


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
