"""Which software version began each stream; no I/O.

A stream may go on only at an upstream with the software version that began it:
what two versions write doesn't fit together, and upstreams don't check this.
Versions have no order. An origin is a digest of a service and a version, which
all routers compute alike, so that messages between them need no names.
"""

__all__ = ["compute_origin"]

import hashlib

ORIGIN_SIZE = 4
"""Bytes of an origin: few versions serve at the same time."""


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
    # A length before each part keeps ("a", "bc") and ("ab", "c") apart.
    text = "".join(f"{len(part)}:{part}" for part in parts)
    digest = hashlib.blake2b(
        text.encode(errors="surrogatepass"), digest_size=ORIGIN_SIZE
    )
    return int.from_bytes(digest.digest()) or 1
