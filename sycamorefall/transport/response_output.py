"""Output of response bytes through the TCP server of circuits.

circuits handles a piece of a streamed response with six events (`stream`, two
that report on it, `write`, `_write`, and the poller's), which take most of the
processor time of a token. This module sends a piece directly on its socket.
Bytes that the socket does not accept go to the send buffer of circuits, from
which the loop's poller sends them.
"""

__all__ = ["count_unsent", "frame_chunk", "frame_refusal", "push_bytes"]

import socket

from circuits.net import sockets
import msgspec

from sycamorefall import errors

LAST_CHUNK = b"0\r\n\r\n"
"""Ends a chunked response."""


def frame_chunk(data: bytes) -> bytes:
    r"""Frames a piece of a chunked body.

    Example:
        >>> frame_chunk(b"data: 1")
        b'7\r\ndata: 1\r\n'
    """
    return b"%x\r\n%b\r\n" % (len(data), data)


def frame_refusal(
    kind: errors.ErrorKind, retry_after: float | None = None
) -> bytes:
    """Formats the error response to a request that was not read completely.

    Args:
        kind: Why the request is refused.
        retry_after: Seconds after which the caller should retry; None if a
            retry would not help.
    """
    body = msgspec.json.encode(errors.create_error_body(kind))
    retry_header = (
        "" if retry_after is None else f"Retry-After: {retry_after:g}\r\n"
    )
    head = (
        f"HTTP/1.1 {errors.ANSWERS[kind].status} Refused\r\n"
        f"Content-Type: application/json\r\n{retry_header}"
        f"Content-Length: {len(body)}\r\n"
        "Connection: close\r\n\r\n"
    )
    return head.encode() + body


def push_bytes(
    server: sockets.TCPServer, sock: socket.socket, data: bytes
) -> None:
    """Sends bytes on a connection, after all bytes written to it before.

    Args:
        server: The server that accepted the connection.
        sock: The connection; if it is closed, the bytes are dropped.
        data: The bytes to send.
    """
    if sock.fileno() < 0:
        return
    # Sent directly, the data would overtake bytes in the send buffer.
    if server._buffers.get(sock):
        server.write(sock, data)
        return
    try:
        sent = sock.send(data)
    except BlockingIOError:
        sent = 0
    except OSError:
        server._close(sock)
        return
    if sent < len(data):
        server.write(sock, data[sent:])


def count_unsent(server: sockets.TCPServer, sock: socket.socket) -> int:
    """Counts the bytes in a connection's send buffer."""
    return sum(map(len, server._buffers.get(sock, ())))
