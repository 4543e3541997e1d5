"""Fingerprints of requests and of the parts that their prompts share."""

__all__ = [
    "FINGERPRINT_SIZE",
    "MAX_PARTS",
    "PART_FINGERPRINT_SIZE",
    "SOURCE_SIZE",
    "compute_fingerprint",
    "compute_part_fingerprint",
    "get_fingerprint",
    "is_part",
    "list_fingerprints",
    "list_part_fingerprints",
]

import functools
import hashlib

from sycamorefall.direct import prompts
from sycamorefall.direct import state as state_module

FINGERPRINT_SIZE = 16
"""Size of a fingerprint in bytes. Finding two requests with the same one takes
2**64 tries; finding one with the fingerprint of another team's request takes
2**128 tries."""


PART_FINGERPRINT_SIZE = 12
"""Size of a part's fingerprint in bytes. Its size tells it from a request's.
Finding a key with the fingerprint of another one takes 2**96 tries."""

SOURCE_SIZE = 4
"""Size in bytes of the digest by which requests with the same part differ."""

MAX_PARTS = 64
"""Maximum number of shared parts of a prompt that have fingerprints."""

_CACHED_PARTS = 16_384
"""Parts whose fingerprints are kept; they take 3 MB."""


def compute_fingerprint(
    incoming: state_module.IncomingRequest, team: str
) -> bytes:
    """Computes the fingerprint of a request.

    Requests with the same method, host, path with query, team and body have
    the same fingerprint, regardless of connection, attempt id and router. The
    host is case-insensitive.

    Args:
        incoming: The request.
        team: The request's team; empty on public routes.

    Returns:
        `FINGERPRINT_SIZE` bytes.

    Example:
        >>> x = state_module.IncomingRequest("h", "/a", target="/a", body=b"x")
        >>> y = state_module.IncomingRequest("h", "/a", target="/a", body=b"y")
        >>> compute_fingerprint(x, "mill") == compute_fingerprint(x, "mill")
        True
        >>> compute_fingerprint(x, "mill") == compute_fingerprint(y, "mill")
        False
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_SIZE)
    for field in (
        incoming.method,
        incoming.host.lower(),
        incoming.target,
        team,
    ):
        encoded = field.encode("utf-8", "surrogatepass")
        # The length prefix prevents collisions between different splits of
        # the same bytes into fields.
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    digest.update(incoming.body)
    return digest.digest()


def get_fingerprint(request: state_module.Request) -> bytes:
    """Returns the fingerprint of a request, computed on first use."""
    if not request.fingerprint:
        request.fingerprint = compute_fingerprint(
            request.incoming, request.team
        )
    return request.fingerprint


@functools.lru_cache(_CACHED_PARTS)
def compute_part_fingerprint(key: str) -> bytes:
    """Computes the fingerprint of a prompt's part.

    Keys are hexadecimal, so their case doesn't matter. Neither do the number of
    tokens, the team and the service: a part is the same text for all of them.

    Args:
        key: Key of the part.

    Returns:
        `PART_FINGERPRINT_SIZE` bytes.

    Example:
        >>> compute_part_fingerprint("5C1E") == compute_part_fingerprint("5c1e")
        True
    """
    encoded = key.lower().encode("utf-8", "surrogatepass")
    return hashlib.blake2b(
        encoded, digest_size=PART_FINGERPRINT_SIZE, person=b"prompt part"
    ).digest()


def list_part_fingerprints(prompt: prompts.Prompt | None) -> tuple[bytes, ...]:
    """Lists the fingerprints of a prompt's shared parts, each once.

    The last part belongs to one request or session, so it isn't shared.

    Example:
        >>> list_part_fingerprints(prompts.Prompt(9, 1, (("5c1e", 9),)))
        ()
    """
    if prompt is None:
        return ()
    shared = prompt.parts[:-1][:MAX_PARTS]
    return tuple(
        dict.fromkeys(compute_part_fingerprint(key) for key, _ in shared)
    )


def list_fingerprints(
    request: state_module.Request,
) -> tuple[bytes, ...]:
    """Lists the fingerprints of a request and of its prompt's shared parts."""
    parts = list_part_fingerprints(request.incoming.prompt)
    return (*parts, get_fingerprint(request))


def is_part(fingerprint: bytes) -> bool:
    """Returns whether a fingerprint is that of a part, not of a request."""
    return len(fingerprint) == PART_FINGERPRINT_SIZE
