"""Status of a process: the JSON body of `/status`."""

__all__ = [
    "ControlStatus",
    "PeerState",
    "PeerStatus",
    "PlatformStatus",
    "ProcessStatus",
    "ReplicationStatus",
    "RouterStatus",
    "SidecarStatus",
    "TeamStatus",
    "TimeStatus",
    "summarize_peers",
    "summarize_times",
]

from collections.abc import Collection
import enum

import msgspec

from sycamorefall import membership
from sycamorefall.observation import histograms as histograms_module

MAX_TEAMS_SHOWN = 200
"""Maximum number of teams in a status; those with most requests are kept."""

_QUANTILES = (0.5, 0.95, 0.99, 1.0)


class PeerState(enum.Enum):
    """State of another process as seen by this one.

    OK: a message from it was received recently.
    SUSPECT: no message for longer than `membership.SUSPECT_AFTER`.
    UNHEARD: in the platform's VM list, but no message was received yet.
    STOPPING: it announced that it accepts no new work.
    LEAVING: the operators marked its VM as leaving.
    """

    OK = "ok"
    SUSPECT = "suspect"
    UNHEARD = "unheard"
    STOPPING = "stopping"
    LEAVING = "leaving"


class PeerStatus(msgspec.Struct, frozen=True):
    """State of another process.

    `silent_for` is the time since its last message in seconds, null if none was
    received.
    """

    vm: str
    role: membership.VmRole
    failure_domain: str
    service: str
    state: PeerState
    silent_for: float | None


class ControlStatus(msgspec.Struct, frozen=True):
    """Control traffic: bytes, and counts of messages dropped or refused."""

    bytes_sent: int
    bytes_received: int
    dropped: int
    refused: int


class PlatformStatus(msgspec.Struct, frozen=True):
    """Counts of reads from the platform's configuration service."""

    reads: int
    failures: int
    bytes_read: int


class ReplicationStatus(msgspec.Struct, frozen=True):
    """State of the replication of the configuration text and the VM list.

    Attributes:
        settled: Whether the process has asked peers and platform for the
            newest documents since its start.
        watching: Whether this process watches the platform.
        digest: First characters of the digest of the configuration text in
            force.
        conflict: Describes two different texts that were received with the
            revision in force; empty if there is no such conflict.
        alarms: Problems of the platform that operators have to fix.
        older_lists: Ignored VM lists with a lower revision.
        outdated: Ignored messages of processes that have been replaced.
        fetches: Requests sent to peers.
        failures: Requests to peers without a usable response.
        bytes_sent: Bytes sent to peers.
        bytes_received: Bytes received from peers.
    """

    settled: bool
    watching: bool
    digest: str
    conflict: str
    alarms: tuple[str, ...]
    older_lists: int
    outdated: int
    fetches: int
    failures: int
    bytes_sent: int
    bytes_received: int


class TeamStatus(msgspec.Struct, frozen=True):
    """Waiting requests and received service of a team at one service.

    Attributes:
        service: The service.
        team: The team.
        waiting: Number of waiting requests: in a router's status those at this
            router, in a sidecar's status those at all routers.
        oldest_age: Seconds that the oldest of them has waited; null if not
            known.
        weight: The team's weight.
        key: The team's order key, in a sidecar's status only; the team with
            the lowest key is served next.
        served: Cost units charged to the team, summed over the sidecars known
            to this process.
    """

    service: str
    team: str
    waiting: int
    oldest_age: float | None = None
    weight: float = 1.0
    key: float | None = None
    served: float | None = None


class TimeStatus(msgspec.Struct, frozen=True):
    """Summary of a time histogram in seconds.

    An empty `team` stands for all teams without their own histograms.
    `encoded` is the full histogram in units of 0.1 ms, in the V2 format of
    HdrHistogram, in Base64; empty unless it was requested.
    """

    service: str
    team: str
    time: str
    count: int
    p50: float
    p95: float
    p99: float
    longest: float
    encoded: str = ""


class ProcessStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Fields of the status that routers and sidecars have in common.

    Attributes:
        vm: Name of this VM.
        incarnation: Number of this process; a restarted process has a higher
            one.
        taken_at: Wall-clock time of this status, in seconds since 1970.
        revision: Revision of the configuration in force; 0 if there is none.
        refused_revision: Revision of a newer configuration text that was
            refused; 0 if none.
        refusal: Why that text was refused, with the line number; empty if none
            was.
        older_seen: Ignored configuration texts with a lower revision.
        vms_revision: Revision of the VM list in use.
        unready: Reasons why the process isn't ready; empty if it is ready.
        stopping: Whether the process is stopping and accepts no new work.
        teams: Teams with waiting requests, those with the most first; in a
            sidecar's status also teams that only have an account.
        teams_total: Number of such teams; higher than the length of `teams` if
            that list is truncated.
        peers: Other processes that this one exchanges messages with.
        control: Control traffic.
        platform: Reads from the platform.
        replication: Replication of the configuration text and the VM list.
        times: Summaries of the time histograms.
        log_dropped: Log records dropped.
        shared_key: Whether messages and orders must be signed with the shared
            key.
    """

    vm: str
    incarnation: int
    taken_at: float
    revision: int
    refused_revision: int
    refusal: str
    older_seen: int
    vms_revision: int
    unready: tuple[str, ...]
    stopping: bool
    teams: tuple[TeamStatus, ...]
    teams_total: int
    peers: tuple[PeerStatus, ...]
    control: ControlStatus
    platform: PlatformStatus
    replication: ReplicationStatus
    times: tuple[TimeStatus, ...]
    log_dropped: int
    shared_key: bool = False


class RouterStatus(
    ProcessStatus, frozen=True, kw_only=True, tag_field="role", tag="router"
):
    """Status of a router.

    Attributes:
        services: Services with at least one usable upstream.
        waiting: Requests waiting at this router.
        requests: Requests in progress, including the waiting ones.
        late_answers: Dropped responses that belonged to no current attempt.
        limits: Section `[limits]` of the configuration in force.
    """

    services: tuple[str, ...]
    waiting: int
    requests: int
    late_answers: int
    limits: dict[str, int | float]


class SidecarStatus(
    ProcessStatus, frozen=True, kw_only=True, tag_field="role", tag="sidecar"
):
    """Status of a sidecar.

    Attributes:
        service: Service of the upstream.
        running: Requests in progress at the upstream.
        claimed: Claims for which no request was received yet.
        limit: Maximum number of requests in progress.
    """

    service: str
    running: int
    claimed: int
    limit: int


def summarize_peers(
    directory: membership.Directory, now: float, linked: Collection[str]
) -> tuple[PeerStatus, ...]:
    """Summarizes the state of the processes that this one has contact with.

    Args:
        directory: This process's view of the fleet.
        now: Current time of this process's clock.
        linked: Names of the VMs that this process has a link to.

    Returns:
        The processes on the linked VMs and all others from which a message was
        received within `membership.SUSPECT_AFTER`.
    """
    heard = {
        name
        for name, peer in directory.peers.items()
        if now - peer.heard_at <= membership.SUSPECT_AFTER
    }
    names = heard.union(linked)
    return tuple(
        _summarize_peer(directory, now, vm)
        for vm in directory.vms.values()
        if vm.name in names
    )


def _summarize_peer(
    directory: membership.Directory, now: float, vm: membership.VmEntry
) -> PeerStatus:
    peer = directory.peers.get(vm.name)
    silent_for = None if peer is None else now - peer.heard_at
    if vm.state is membership.VmState.LEAVING:
        state = PeerState.LEAVING
    elif peer is None:
        state = PeerState.UNHEARD
    elif silent_for > membership.SUSPECT_AFTER:
        state = PeerState.SUSPECT
    else:
        state = PeerState.STOPPING if peer.stopping else PeerState.OK
    return PeerStatus(
        vm.name, vm.role, vm.failure_domain, vm.service, state, silent_for
    )


def summarize_times(
    histograms: histograms_module.TeamHistograms, full_histograms: bool
) -> tuple[TimeStatus, ...]:
    """Summarizes all time histograms.

    Args:
        histograms: The histograms.
        full_histograms: Whether to include the full histograms, encoded.

    Returns:
        One summary for each service, team and kind of time.
    """
    return tuple(
        TimeStatus(
            service,
            team,
            kind.label,
            recorded.count,
            *recorded.compute_quantiles(_QUANTILES),
            recorded.encode() if full_histograms else "",
        )
        for service, team, kind, recorded in histograms_module.list_histograms(
            histograms
        )
    )
