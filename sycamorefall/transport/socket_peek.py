"""What has arrived on a connection that the loop hasn't come to yet."""

__all__ = ["has_hung_up", "has_unread"]

import socket


def has_unread(sock: socket.socket) -> bool:
    """Tells whether bytes have arrived on a connection that nobody read."""
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) != b""
    except OSError:
        return False


def has_hung_up(sock: socket.socket) -> bool:
    """Tells whether a caller has closed its side after its request.

    Guards against work for callers that have left: a process that was frozen,
    or is given more than it can do, reads requests seconds after they were
    sent, and would pass them on before it reads that their connection is
    closed. On a flooded small VM these were all 250 requests a second.
    """
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True
