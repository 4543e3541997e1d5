"""Non-blocking writes to files, pipes and sockets."""

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
"""Writes as much as possible without blocking and returns the bytes written.

Raises `BlockingIOError` if nothing can be written now, or another `OSError`.
"""

STANDARD_STREAMS = {"stdout": 1, "stderr": 2}
"""Descriptors of the standard streams by their name in the settings."""

_FLAGS = os.O_WRONLY | os.O_APPEND | os.O_NONBLOCK | os.O_NOCTTY | os.O_CLOEXEC


def open_destination(destination: str) -> NonBlockingWrite:
    """Opens the destination of the log.

    Args:
        destination: `stderr`, `stdout` or the path of a file.

    Returns:
        A function that writes to it without blocking.

    Raises:
        errors.SettingsRefused: The file can't be opened.
    """
    if destination in STANDARD_STREAMS:
        return reopen_nonblocking(STANDARD_STREAMS[destination])
    try:
        descriptor = os.open(destination, _FLAGS | os.O_CREAT, 0o640)
    except (OSError, ValueError) as error:
        raise errors.SettingsRefused(f"log destination: {error}") from error
    return lambda data: os.write(descriptor, data)


def reopen_nonblocking(descriptor: int) -> NonBlockingWrite:
    """Creates a function that writes to an open descriptor without blocking.

    Opens the file behind the descriptor again. `O_NONBLOCK` isn't set on the
    descriptor itself since the flag would apply to every process that shares
    the open file, such as the shell.
    """
    if stat.S_ISSOCK(os.fstat(descriptor).st_mode):
        return _write_socket(descriptor)
    try:
        reopened = os.open(f"/proc/self/fd/{descriptor}", _FLAGS)
    except OSError:
        return _write_when_ready(descriptor)
    return lambda data: os.write(reopened, data)


def _write_socket(descriptor: int) -> NonBlockingWrite:
    """Creates a function that sends to a socket without blocking.

    Sockets, such as those of journald, can't be opened by path.
    """
    stream_socket = socket.socket(fileno=os.dup(descriptor))
    flags = socket.MSG_DONTWAIT | socket.MSG_NOSIGNAL
    return lambda data: stream_socket.send(data, flags)


def _write_when_ready(descriptor: int) -> NonBlockingWrite:
    """Creates a function that writes only if the descriptor polls as writable.

    Used where this user has no permission to open the file behind the
    descriptor. A pipe that polls as writable has room for `PIPE_BUF` bytes, so
    the write blocks only if another process fills the pipe after the poll.
    """
    poller = select.poll()
    poller.register(descriptor, select.POLLOUT)

    def write(data: bytes) -> int:
        if not poller.poll(0):
            raise BlockingIOError
        return os.write(descriptor, data[: select.PIPE_BUF])

    return write
