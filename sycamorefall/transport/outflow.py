"""Bytes of answers on their way out of circuits' TCP server.

circuits takes a piece of a streamed answer through six events (`stream`, two
that report on it, `write`, `_write`, and the poller's), which is most of what
a token costs. A piece goes straight to its socket here; what the socket does
not take waits in circuits' own buffer, and the loop's poller sends it.
"""

__all__ = ["count_unsent", "frame_chunk", "push_bytes"]

import socket

from circuits.net import sockets

LAST_CHUNK = b"0\r\n\r\n"
"""Ends an answer in chunks."""


def frame_chunk(data: bytes) -> bytes:
    r"""Frames a piece of a body that is sent in chunks.

    Example:
        >>> frame_chunk(b"data: 1")
        b'7\r\ndata: 1\r\n'
    """
    return b"%x\r\n%b\r\n" % (len(data), data)


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
