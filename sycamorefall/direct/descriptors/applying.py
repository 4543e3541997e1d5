"""Applies the division of descriptors to the connections of a process."""

__all__ = ["apply_limits"]

from typing import TYPE_CHECKING

from sycamorefall import observation
from sycamorefall.transport import division, vm_limits

if TYPE_CHECKING:
    from sycamorefall.direct import daemon as daemon_module

FRESH_TIME = 0.25
"""Seconds that a new caller's first request may take to arrive: some round
trips. Idle connections are closed early only under a crowd, in which most are
new."""


def apply_limits(daemon: "daemon_module.Daemon") -> None:
    """Divides what the VM has now, and sets the limits on connections.

    The kernel's limit may change while the process runs, and the number of
    peers does.
    """
    vm = vm_limits.read_vm(daemon.config.limits)
    vm_limits.bound_memory(daemon.servers[0].memory, vm)
    peers = max(daemon.state.routers - 1, daemon.control.link_count)
    divided = division.divide(vm, peers)
    if divided == daemon.division:
        return
    before, daemon.division = daemon.division, divided
    vm_limits.limit_servers(daemon.servers, divided)
    daemon.servers[0].acceptor.fresh_time = FRESH_TIME
    daemon.client.max_connections = divided.upstreams
    if before and (before.callers, before.refusals) == (
        divided.callers,
        divided.refusals,
    ):
        return  # Peers come and go; what is left for callers is the same.
    observation.write_record(
        observation.Level.INFO,
        "connections.divided",
        callers=divided.callers,
        refusals=divided.refusals,
        upstreams=divided.upstreams,
        control=divided.control,
        peers=peers,
    )
