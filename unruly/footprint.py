"""Reads what a process holds, from the kernel's files."""

__all__ = [
    "count_descriptors",
    "read_peak_memory",
    "read_unread_bytes",
    "wait_until_idle",
]

import os
import pathlib
import time

IDLE_SHARE = 0.25
"""Share of a core below which a process counts as idle."""

MAX_BUSY_TIME = 120.0
"""Seconds after which a process is no longer waited for."""


def read_peak_memory(pid: int) -> int:
    """Returns the highest resident size of a process so far, in bytes.

    Raises:
        FileNotFoundError: The process has ended.
    """
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    line = next(one for one in status.splitlines() if one.startswith("VmHWM"))
    return int(line.split()[1]) << 10


def read_unread_bytes(port: int) -> int:
    """Returns the bytes that the kernel holds unread for a server's port."""
    lines = pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]
    fields = [line.split() for line in lines]
    return sum(
        int(queues.partition(":")[2], 16)
        for _, local, _, state, queues, *_ in fields
        # The queue of a listening socket counts connections.
        if int(local.partition(":")[2], 16) == port and state != "0A"
    )


def count_descriptors(pid: int) -> int:
    """Returns the number of descriptors that a process holds."""
    return len(os.listdir(f"/proc/{pid}/fd"))


def _read_processor_time(pid: int) -> float:
    """Returns the seconds of processor time that a process has used."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def wait_until_idle(pid: int) -> None:
    """Waits until a process has handled what it reads, or has ended."""
    until = time.monotonic() + MAX_BUSY_TIME
    try:
        used = _read_processor_time(pid)
        while time.monotonic() < until:
            time.sleep(1.0)
            before, used = used, _read_processor_time(pid)
            if used - before < IDLE_SHARE:
                return
    except FileNotFoundError:
        return
