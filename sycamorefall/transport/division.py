"""Divides a VM's descriptors and memory under a crowd of callers; no I/O.

The load it answers: more callers at one small VM than it has descriptors for.
A request needs two connections, its caller's and one to an upstream. If callers
took all descriptors, none of their requests could be sent.
"""

__all__ = ["Division", "Vm", "divide"]

import dataclasses

PROCESS_DESCRIPTORS = 16
"""Descriptors that the process holds without any connection: log, poller, pipes
and listening sockets."""

PLATFORM_CONNECTIONS = 2
"""Connections to the platform: a read in progress, and one for the next."""

OPERATOR_CONNECTIONS = 8
"""Connections of the balancer's checks and of operators."""

LINKS_PER_PEER = 2
"""Control links to and from each peer; each direction has its own."""

PEER_HEADROOM = 4
"""Peers, a fourth of them and at least one, whose old links may still be open
when their successors connect."""

REFUSAL_SHARE = 10
"""One connection in this many may be one that is refused. A refusal takes about
a round trip, a tenth or less of what a request takes that is served."""

REFUSAL_RANGE = (2, 32)
"""Fewest and most connections that may be open to be refused."""

BASE_MEMORY = 112 << 20
"""Bytes of the process without callers: 45 MB at rest, and the 64 MB that the
state of the largest fleet may take."""

CALLER_MEMORY = 64 << 10
"""Bytes for a caller with a request in progress; one with a body of 20 KB takes
about 30 KB."""

SMALL_REQUEST_MEMORY = CALLER_MEMORY // 2
"""What such a caller takes at most. The other half is for larger bodies: a full
VM would refuse each of them without it."""

MIN_CALLERS = 4
"""Callers that are served however little the VM is said to have."""


@dataclasses.dataclass(slots=True, frozen=True)
class Vm:
    """What a process may use of its VM.

    Attributes:
        max_descriptors: Number of descriptors by the settings; 0 if unknown.
        reserved_descriptors: How many of these sockets can't use.
        kernel_descriptors: Number by the kernel; None without a limit.
        max_memory: Bytes of memory by the settings; 0 if unknown.
        max_callers: Highest number of callers' connections by the settings.
    """

    max_descriptors: int
    reserved_descriptors: int
    kernel_descriptors: int | None
    max_memory: float
    max_callers: int


@dataclasses.dataclass(slots=True, frozen=True)
class Division:
    """Highest numbers of connections by use.

    Attributes:
        callers: Of callers that are served. Idle ones among them are closed for
            the next caller.
        refusals: Of callers that are refused, on top.
        upstreams: To upstreams; at least as many as there are callers, so that
            each of them can have a request in progress. Idle ones fill what
            is left. None without a limit.
        control: To and from other routers, operators and the platform; None
            without a limit.
    """

    callers: int
    refusals: int
    upstreams: int | None
    control: int | None


def divide(vm: Vm, peers: int) -> Division:
    """Divides what a VM has.

    Args:
        vm: What the process may use.
        peers: Number of routers to which there are control links.

    Returns:
        The division. The lower one of the kernel's limit and that of the
        settings binds.

    Example:
        >>> divide(Vm(1675, 200, None, 160e6, 3000), 22)
        Division(callers=649, refusals=32, upstreams=714, control=64)
    """
    callers = min(vm.max_callers, _count_by_memory(vm.max_memory))
    sockets = _count_sockets(vm)
    if sockets is None:
        return Division(callers, REFUSAL_RANGE[1], None, None)
    expected = peers + max(1, peers // PEER_HEADROOM)
    control = (
        LINKS_PER_PEER * expected + PLATFORM_CONNECTIONS + OPERATOR_CONNECTIONS
    )
    rest = max(2 * MIN_CALLERS, sockets - control)
    fewest, most = REFUSAL_RANGE
    refusals = min(most, max(fewest, rest // REFUSAL_SHARE))
    rest = max(2 * MIN_CALLERS, rest - refusals)
    callers = min(callers, rest // 2)
    return Division(callers, refusals, rest - callers, control)


def _count_by_memory(max_memory: float) -> int | float:
    if not max_memory:
        return float("inf")
    return max(MIN_CALLERS, int((max_memory - BASE_MEMORY) // CALLER_MEMORY))


def _count_sockets(vm: Vm) -> int | None:
    """Returns how many connections may be open; None without a limit."""
    limits = []
    if vm.max_descriptors:
        limits.append(vm.max_descriptors - vm.reserved_descriptors)
    if vm.kernel_descriptors is not None:
        limits.append(vm.kernel_descriptors)
    return min(limits) - PROCESS_DESCRIPTORS if limits else None
