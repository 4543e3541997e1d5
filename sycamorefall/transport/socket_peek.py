"""Checks of a socket for unread input or a closed peer, without reading."""

__all__ = ["has_hung_up", "has_pending", "has_unread"]

import select
import socket


def has_unread(sock: socket.socket) -> bool:
    """Returns whether unread bytes have arrived on a connection."""
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) != b""
    except OSError:
        return False


def has_hung_up(sock: socket.socket) -> bool:
    """Returns whether a caller closed its side and no unread bytes are left.

    A failed connection counts as closed. Guards against work for callers that
    have left: a process that was frozen or is overloaded reads requests seconds
    after they were sent, and would forward them before it reads that their
    connections are closed. On a flooded small VM this was true of all 250
    requests a second.
    """
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


def has_pending(listening: socket.socket) -> bool:
    """Returns whether connections wait to be accepted on a listening socket."""
    waiting = select.poll()
    waiting.register(listening, select.POLLIN)
    return bool(waiting.poll(0))
