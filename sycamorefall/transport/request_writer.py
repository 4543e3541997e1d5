"""Writes requests to upstreams and to the platform; free of I/O."""

__all__ = ["format_request"]

from collections.abc import Iterable

BODILESS_METHODS = frozenset({"GET", "HEAD", "DELETE"})
"""Methods whose requests carry no length if they have no body."""


def format_request(
    method: str,
    target: str,
    host: str,
    headers: Iterable[tuple[str, str]],
    body: bytes,
) -> bytes:
    r"""Writes a request.

    h11 checks each header by itself, at a tenth of what a short request costs
    here; those of a caller's request it has checked as they came in.

    Args:
        method: HTTP method.
        target: Path and query.
        host: Host header.
        headers: All others but those of its length.
        body: The body.

    Raises:
        ValueError: A part of it holds a line break or a NUL. Written out, it
            would forge a header, or another request.

    Example:
        >>> format_request("POST", "/a", "b:80", [("X", "y")], b"z")
        b'POST /a HTTP/1.1\r\nHost: b:80\r\nContent-Length: 1\r\nX: y\r\n\r\nz'
    """
    sized = body or method not in BODILESS_METHODS
    length = [f"Content-Length: {len(body)}"] if sized else []
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {host}",
        *length,
        *(f"{name}: {value}" for name, value in headers),
    ]
    head = "\r\n".join(lines)
    breaks = len(lines) - 1
    if (
        head.count("\r") != breaks
        or head.count("\n") != breaks
        or "\0" in head
        or " " in target
    ):
        raise ValueError(f"request to {host} is malformed")
    return head.encode("latin-1") + b"\r\n\r\n" + body
