"""Bytes of answers on their way out of circuits' TCP server.

circuits takes a piece of a streamed answer through six events (`stream`, two
that report on it, `write`, `_write`, and the poller's), which is most of what
a token costs. A piece goes straight to its socket here; what the socket does
not take waits in circuits' own buffer, and the loop's poller sends it.
"""

__all__ = ["count_unsent", "frame_chunk", "frame_refusal", "push_bytes"]

import socket

from circuits.net import sockets
import msgspec

from sycamorefall import errors

LAST_CHUNK = b"0\r\n\r\n"
"""Ends an answer in chunks."""


def frame_chunk(data: bytes) -> bytes:
    r"""Frames a piece of a body that is sent in chunks.

    Example:
        >>> frame_chunk(b"data: 1")
        b'7\r\ndata: 1\r\n'
    """
    return b"%x\r\n%b\r\n" % (len(data), data)


def frame_refusal(kind: errors.ErrorKind, pause: float | None = None) -> bytes:
    """Frames the answer to a request that wasn't read whole.

    Args:
        kind: Why it is refused.
        pause: Seconds after which its caller is to come back, if that helps.
    """
    body = msgspec.json.encode(errors.create_error_body(kind))
    again = "" if pause is None else f"Retry-After: {pause:g}\r\n"
    head = (
        f"HTTP/1.1 {errors.ANSWERS[kind].status} Refused\r\n"
        f"Content-Type: application/json\r\n{again}"
        f"Content-Length: {len(body)}\r\n"
        "Connection: close\r\n\r\n"
    )
    return head.encode() + body


def push_bytes(
    server: sockets.TCPServer, sock: socket.socket, data: bytes
) -> None:
    """Sends bytes on a connection, after all that was written to it before.

    Args:
        server: The server that accepted the connection.
        sock: The connection; if it is closed, the bytes are dropped.
        data: What is to be sent.
    """
    if sock.fileno() < 0:
        return
    # Sent past waiting bytes, these would overtake them.
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
    """Counts the bytes that wait in a connection's buffer."""
    return sum(map(len, server._buffers.get(sock, ())))
