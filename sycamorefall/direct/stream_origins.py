"""Which software version began each stream; no I/O.

A stream may go on only at an upstream with the software version that began it:
what two versions write doesn't fit together, and upstreams don't check this.
Versions have no order. An origin is a digest of a service and a version, which
all routers compute alike, so that messages between them need no names.

A caller that takes a stream up names the attempt that brought its first event.
The router that forwarded this event tells a few others the stream's origin, and
a router that doesn't know a stream asks them (`origin_exchange`). A stream
whose origin remains unknown doesn't go on.
"""

__all__ = [
    "AMBIGUOUS",
    "KnownOrigin",
    "Lookup",
    "StreamOrigins",
    "compute_key",
    "compute_origin",
    "compute_retention",
    "drop_expired",
    "find_origin",
    "record_origin",
]

import dataclasses
import hashlib

AMBIGUOUS = 0
"""Origin of a stream whose id was used for streams of several origins."""

ORIGIN_SIZE = 4
"""Bytes of an origin: few versions serve at the same time."""

KEY_SIZE = 8
"""Bytes of a stream's key."""

RETENTION_MARGIN = 5.0
"""Seconds for which an origin is kept after its caller's deadline, as a caller
may come back with a later one."""

MAX_RETENTION = 120.0
"""Maximum seconds for which an origin is kept, whatever a caller states."""

MAX_STREAMS = 32_768
"""Maximum number of streams whose origins are kept, about 10 MB. Only streams
that have begun count, so callers can't fill it with ids. If there are more, the
oldest are dropped."""

SCAN_INTERVAL = 5.0
"""Seconds between two scans for expired origins."""


@dataclasses.dataclass(slots=True)
class KnownOrigin:
    """The origin of a stream, as this router knows it.

    Attributes:
        origin: The origin; `AMBIGUOUS` if the stream can't go on.
        learned_at: When this router learned of the stream.
        expires_at: When the stream is forgotten.
        source: VM name of the router that told of the stream; empty if it was
            this router that forwarded its first event.
    """

    origin: int
    learned_at: float
    expires_at: float
    source: str = ""


@dataclasses.dataclass(slots=True)
class Lookup:
    """A stream that is taken up here and whose origin was asked for.

    Attributes:
        due: When the lookup ends without an answer.
        requests: Numbers of the requests that wait for the origin.
        pending: Routers that have not answered yet; None until they are asked.
    """

    due: float
    requests: list[int] = dataclasses.field(default_factory=list)
    pending: set[str] | None = None


@dataclasses.dataclass(slots=True)
class StreamOrigins:
    """Origins of streams, by key.

    Attributes:
        known: The known origins, the oldest first.
        untold: Keys of streams that other routers have yet to be told of.
        lookups: Streams whose origins were asked for.
        unasked: Keys of streams whose origins have yet to be asked for.
        next_scan_at: Time of the next scan for expired origins.
    """

    known: dict[int, KnownOrigin] = dataclasses.field(default_factory=dict)
    untold: list[int] = dataclasses.field(default_factory=list)
    lookups: dict[int, Lookup] = dataclasses.field(default_factory=dict)
    unasked: list[int] = dataclasses.field(default_factory=list)
    next_scan_at: float = float("-inf")


def compute_origin(
    service: str, software_version: str, process: tuple[str, int]
) -> int:
    """Computes the origin of the streams that an upstream begins.

    Args:
        service: Service of the upstream.
        software_version: Version of the upstream's software.
        process: Name and start time of the upstream's process. They identify
            the origin if the version is blank: nothing then says that another
            process has the same software.

    Returns:
        A positive number.

    Example:
        >>> old = compute_origin("engine", "v1", ("e1", 1))
        >>> old == compute_origin("engine", "v1", ("e2", 7))
        True
        >>> old == compute_origin("engine", "v1.1", ("e1", 1))
        False
        >>> blank = compute_origin("engine", "", ("e1", 1))
        >>> blank == compute_origin("engine", "", ("e2", 1))
        False
    """
    parts = [service, software_version]
    if not software_version.strip():
        parts += [process[0], str(process[1])]
    return _digest(parts, ORIGIN_SIZE) or 1


def compute_key(team: str, attempt_id: str) -> int:
    """Computes the key of a stream.

    Args:
        team: Name of the caller's team; empty on public routes. It is part of
            the key, so the id of another team's stream finds nothing.
        attempt_id: Id of the caller's attempt that brought the first event.
    """
    return _digest([team, attempt_id], KEY_SIZE)


def _digest(parts: list[str], size: int) -> int:
    # A length before each part keeps ("a", "bc") and ("ab", "c") apart.
    text = "".join(f"{len(part)}:{part}" for part in parts)
    digest = hashlib.blake2b(
        text.encode(errors="surrogatepass"), digest_size=size
    )
    return int.from_bytes(digest.digest())


def compute_retention(time_left: float) -> float:
    """Computes for how long an origin is kept, in seconds.

    Args:
        time_left: Seconds until the caller's deadline.
    """
    return min(max(0.0, time_left) + RETENTION_MARGIN, MAX_RETENTION)


def find_origin(
    origins: StreamOrigins, now: float, key: int
) -> KnownOrigin | None:
    """Finds the origin of a stream; None if it is unknown or has expired."""
    known = origins.known.get(key)
    return known if known is not None and now < known.expires_at else None


def record_origin(
    origins: StreamOrigins,
    now: float,
    key: int,
    origin: int,
    retention: float,
    source: str = "",
) -> KnownOrigin:
    """Records the origin of a stream that has begun.

    If a caller uses an id twice, two streams with different origins may have
    the same key. Which of them it takes up isn't known, so neither goes on.

    Args:
        origins: The known origins; changed.
        now: Current time of this process's clock.
        key: Key of the stream.
        origin: Origin of the stream.
        retention: Seconds for which it is kept.
        source: VM name of the router that told of it; empty for this one.

    Returns:
        What is known now.

    Example:
        >>> table, told = StreamOrigins(), (3, 3, 4, 3)
        >>> [record_origin(table, 0.0, 7, one, 9.0).origin for one in told]
        [3, 3, 0, 0]
    """
    expires_at = now + min(retention, MAX_RETENTION)
    known = find_origin(origins, now, key)
    if known is None:
        # Removed first, so that the order is that of learning.
        origins.known.pop(key, None)
        if len(origins.known) >= MAX_STREAMS:
            del origins.known[next(iter(origins.known))]
        known = KnownOrigin(origin, now, expires_at, source)
        origins.known[key] = known
        return known
    if known.origin != origin:
        known.origin = AMBIGUOUS
    known.expires_at = max(known.expires_at, expires_at)
    return known


def drop_expired(origins: StreamOrigins, now: float) -> None:
    """Drops expired origins; does nothing until the next scan is due."""
    if now < origins.next_scan_at:
        return
    origins.next_scan_at = now + SCAN_INTERVAL
    expired = [
        key for key, known in origins.known.items() if now >= known.expires_at
    ]
    for key in expired:
        del origins.known[key]
