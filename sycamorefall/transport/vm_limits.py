"""Applies what a VM grants to the servers of a process."""

__all__ = ["bound_memory", "limit_servers", "read_vm"]

from collections.abc import Sequence
import os
import resource

from sycamorefall import settings
from sycamorefall.transport import division, held_memory
from sycamorefall.transport import server as server_module

_MEGABYTE = 1e6

UNKNOWN_MEMORY_SHARE = 0.5
"""Share of the machine's memory that a process uses at most if its settings
don't tell: a router and a sidecar may run on the same machine."""


def _read_kernel_limit() -> int | None:
    """Reads the kernel's limit on descriptors; None if there is none."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return None if soft == resource.RLIM_INFINITY else soft


def _read_machine_memory() -> int:
    """Reads the bytes of memory of the machine."""
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")


def read_vm(limits: settings.LimitSettings) -> division.Vm:
    """Returns what a process may use of its VM now.

    The kernel's limit may change while the process runs.
    """
    return division.Vm(
        limits.max_descriptors,
        limits.reserved_descriptors,
        _read_kernel_limit(),
        limits.max_memory_mb * _MEGABYTE,
        limits.max_connections,
    )


def bound_memory(memory: held_memory.HeldMemory, vm: division.Vm) -> None:
    """Sets how much memory callers and what they send may take."""
    granted = vm.max_memory or _read_machine_memory() * UNKNOWN_MEMORY_SHARE
    memory.caller_memory = division.SMALL_REQUEST_MEMORY
    memory.max_memory = max(1.0, granted - division.BASE_MEMORY)


def limit_servers(
    servers: Sequence[server_module.HttpServer], divided: division.Division
) -> None:
    """Sets the limits on connections.

    Args:
        servers: The servers of a process: the first for callers, others for
            operators.
        divided: Division of what the VM has.
    """
    acceptor = servers[0].acceptor
    acceptor.max_connections = divided.callers
    acceptor.max_excess = divided.refusals
    for server in servers[1:]:
        server.acceptor.max_connections = division.OPERATOR_CONNECTIONS
        server.acceptor.max_excess = 0
