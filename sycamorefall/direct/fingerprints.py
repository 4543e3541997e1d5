"""Request fingerprints, which identify repeated requests."""

__all__ = [
    "FINGERPRINT_SIZE",
    "compute_fingerprint",
    "get_fingerprint",
]

import hashlib

from sycamorefall.direct import state as state_module

FINGERPRINT_SIZE = 16
"""Size of a fingerprint in bytes. Finding two requests with the same one takes
2**64 tries; finding one with the fingerprint of another team's request takes
2**128 tries."""


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
