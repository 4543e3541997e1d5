"""Quarantine of what crashes upstreams: requests, and parts of prompts.

All requests in progress at a crashed upstream are suspects, and so are the
shared parts of the prompts that it had not begun to answer. A suspect that is
convicted (see `verdicts`) is quarantined: the router refuses requests that
contain it and sends them to no upstream. Evidence is kept in sets that only
grow until suspects expire, so routers may exchange it in any order and
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
    "count_unexplained",
    "drop_expired",
    "extend_quarantine",
    "find_next_scan",
    "find_quarantined",
    "is_proven",
    "is_quarantined",
    "list_evidence",
    "record_crash",
    "record_proof",
]

import collections
from collections.abc import Collection, Iterable, Iterator, Mapping, Set
import dataclasses
import heapq

from sycamorefall.direct import verdicts
from sycamorefall.direct.evidence import (
    MAX_SOURCES,
    TRIED_ALONE,
    TRIED_TOGETHER,
    Crash,
    Evidence,
    Suspect,
    list_uncleared,
)

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
        trials: When this router last let a request through to try a quarantined
            part, by the part's fingerprint; see `trials`.
    """

    suspects: dict[bytes, Suspect] = dataclasses.field(default_factory=dict)
    quarantined: set[bytes] = dataclasses.field(default_factory=set)
    proofs: collections.OrderedDict[bytes, float] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    unsent: list[tuple[Crash, bytes]] = dataclasses.field(default_factory=list)
    next_scan_at: float = float("inf")
    trials: dict[bytes, float] = dataclasses.field(default_factory=dict)


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
    return len(list_uncleared(suspect) - {excluded}) if suspect else 0


def count_unexplained(
    quarantine: Quarantine, fingerprint: bytes, excluded: Crash | None = None
) -> int:
    """Counts the crashes of a request or part that nothing else explains.

    Args:
        quarantine: The suspects.
        fingerprint: Fingerprint of the request or part.
        excluded: A crash that is not counted.
    """
    suspect = quarantine.suspects.get(fingerprint)
    if suspect is None:
        return 0
    crashes = list_uncleared(suspect) - {excluded}
    if suspect.answered and crashes:
        crashes = crashes - _list_explained(quarantine)
    return len(crashes)


def _list_explained(quarantine: Quarantine) -> Set[Crash]:
    """Lists the crashes that convicted suspects without an answer explain."""
    suspects = quarantine.suspects
    return verdicts.list_explained(
        suspects,
        (one for one in quarantine.quarantined if not suspects[one].answered),
    )


def record_crash(
    quarantine: Quarantine,
    now: float,
    crash: Crash,
    sources: Mapping[bytes, frozenset[bytes]],
    tried: Collection[bytes] = (),
) -> list[bytes]:
    """Records what was present at a crash, and queues it for other routers.

    Args:
        quarantine: The suspects; changed.
        now: Current time of this process's clock.
        crash: The crash.
        sources: Sources by fingerprint of a suspect; see `Evidence`.
        tried: Fingerprints of the parts that a request tried there.

    Returns:
        Fingerprints that are newly quarantined.
    """
    level = TRIED_ALONE if len(tried) == 1 else TRIED_TOGETHER
    evidence = [
        Evidence(
            crash,
            one,
            False,
            now,
            found,
            answered=one in quarantine.proofs,
            tried=level if one in tried else 0,
        )
        for one, found in sorted(sources.items())
        if not is_proven(quarantine, one, now)
    ]
    new, added = add_evidence(quarantine, now, evidence)
    quarantine.unsent += ((one.crash, one.fingerprint) for one in new)
    return added


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
    is_news = _add_sources(suspect, piece)
    is_news |= piece.answered > suspect.answered or piece.tried > suspect.tried
    suspect.answered |= piece.answered
    suspect.tried = max(suspect.tried, piece.tried)
    known = suspect.cleared if piece.cleared else suspect.crashes
    if piece.crash in known:
        return is_news
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


def _update_quarantined(
    quarantine: Quarantine, new: Iterable[Evidence]
) -> list[bytes]:
    """Updates what is quarantined after new evidence.

    Verdicts on parts that have been answered depend on the other verdicts, so
    they are made anew each time, and last.

    Returns:
        Fingerprints that are newly quarantined.
    """
    suspects = quarantine.suspects
    before = set(quarantine.quarantined)
    for fingerprint in {one.fingerprint for one in new}:
        _set_quarantined(
            quarantine,
            fingerprint,
            verdicts.is_convicted(suspects[fingerprint]),
        )
    answered = [one for one, suspect in suspects.items() if suspect.answered]
    explained = _list_explained(quarantine) if answered else frozenset()
    for fingerprint in answered:
        convicted = verdicts.is_convicted(suspects[fingerprint], explained)
        _set_quarantined(quarantine, fingerprint, convicted)
    return sorted(quarantine.quarantined - before)


def _set_quarantined(
    quarantine: Quarantine, fingerprint: bytes, quarantined: bool
) -> None:
    quarantine.suspects[fingerprint].quarantined = quarantined
    if quarantined:
        quarantine.quarantined.add(fingerprint)
    else:
        quarantine.quarantined.discard(fingerprint)
        quarantine.trials.pop(fingerprint, None)


def clear_suspects(
    quarantine: Quarantine, now: float, fingerprints: Iterable[bytes]
) -> None:
    """Clears requests or parts that succeeded of their crashes."""
    suspects = quarantine.suspects
    evidence = [
        Evidence(crash, one, True, suspects[one].seen_at)
        for one in fingerprints
        if one in suspects
        for crash in list_uncleared(suspects[one])
    ]
    new, _ = add_evidence(quarantine, now, evidence)
    quarantine.unsent += ((one.crash, one.fingerprint) for one in new)


def apply_proofs(
    quarantine: Quarantine, evidence: Iterable[Evidence]
) -> list[Evidence]:
    """Marks evidence of other routers by the successes at this router.

    Returns:
        The evidence, with `cleared` set for each part that succeeded at this
        router since the crash or just before it, and `answered` for each that
        is not known to have been answered but was here.
    """
    return [
        one._replace(
            cleared=one.cleared
            or is_proven(quarantine, one.fingerprint, one.seen_at),
            answered=one.answered or _is_answered_here(quarantine, one),
        )
        for one in evidence
    ]


def _is_answered_here(quarantine: Quarantine, piece: Evidence) -> bool:
    """Returns whether only this router knows that a part was answered."""
    suspect = quarantine.suspects.get(piece.fingerprint)
    return piece.fingerprint in quarantine.proofs and not (
        suspect is not None and suspect.answered
    )


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
                suspect.answered,
                suspect.tried,
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
        quarantine.trials.pop(fingerprint, None)


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
                (len(list_uncleared(suspect)), suspect.seen_at, fingerprint)
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
