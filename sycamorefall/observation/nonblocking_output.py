"""Writes to a file descriptor that never wait for its reader."""

__all__ = [
    "NonBlockingWrite",
    "open_destination",
]

from collections.abc import Callable
import os
import select
import socket
import stat

from sycamorefall import errors

NonBlockingWrite = Callable[[bytes], int]
"""Writes what goes at once; returns its size, raises `OSError` if nothing."""

STANDARD_STREAMS = {"stdout": 1, "stderr": 2}
"""Destinations that are open already."""

_FLAGS = os.O_WRONLY | os.O_APPEND | os.O_NONBLOCK | os.O_NOCTTY | os.O_CLOEXEC


def open_destination(destination: str) -> NonBlockingWrite:
    """Opens where log records go.

    Args:
        destination: `stderr`, `stdout` or the path of a file.

    Returns:
        A function that writes without waiting.

    Raises:
        errors.SettingsRefused: The file can't be opened.
    """
    if destination in STANDARD_STREAMS:
        return reopen_nonblocking(STANDARD_STREAMS[destination])
    try:
        descriptor = os.open(destination, _FLAGS | os.O_CREAT, 0o640)
    except (OSError, ValueError) as fault:
        raise errors.SettingsRefused(f"log destination: {fault}") from fault
    return lambda data: os.write(descriptor, data)


def reopen_nonblocking(descriptor: int) -> NonBlockingWrite:
    """Makes a non-blocking writer for an open descriptor.

    Setting the flag on the descriptor itself would set it for every process
    that shares it, such as the shell; so the file behind it is opened anew.
    """
    if stat.S_ISSOCK(os.fstat(descriptor).st_mode):
        return _write_socket(descriptor)
    try:
        own = os.open(f"/proc/self/fd/{descriptor}", _FLAGS)
    except OSError:
        return _write_when_ready(descriptor)
    return lambda data: os.write(own, data)


def _write_socket(descriptor: int) -> NonBlockingWrite:
    """Writes to a socket, which can't be opened by path (journald's)."""
    shared = socket.socket(fileno=os.dup(descriptor))
    flags = socket.MSG_DONTWAIT | socket.MSG_NOSIGNAL
    return lambda data: shared.send(data, flags)


def _write_when_ready(descriptor: int) -> NonBlockingWrite:
    """Writes to what another user opened and this one may not open anew.

    A pipe that polls as writable has room for this much, so the write does
    not block unless another process fills it in between.
    """
    poller = select.poll()
    poller.register(descriptor, select.POLLOUT)

    def write(data: bytes) -> int:
        if not poller.poll(0):
            raise BlockingIOError
        return os.write(descriptor, data[: select.PIPE_BUF])

    return write
