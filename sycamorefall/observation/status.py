"""What a process tells of itself at `/status`: structs, encoded as JSON."""

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
"""Teams listed in a status, those with the most waiting first."""

_QUANTILES = (0.5, 0.95, 0.99, 1.0)


class PeerState(enum.Enum):
    """What a process thinks of another.

    OK: heard from lately.
    SUSPECT: silent for longer than `membership.SUSPECT_AFTER`.
    UNHEARD: listed by the platform, never heard from.
    STOPPING: it said that it takes nothing new.
    LEAVING: the operators marked its VM as leaving.
    """

    OK = "ok"
    SUSPECT = "suspect"
    UNHEARD = "unheard"
    STOPPING = "stopping"
    LEAVING = "leaving"


class PeerStatus(msgspec.Struct, frozen=True):
    """Another process; `silent_for` is in seconds, null if never heard."""

    vm: str
    role: membership.VmRole
    failure_domain: str
    service: str
    state: PeerState
    silent_for: float | None


class ControlStatus(msgspec.Struct, frozen=True):
    """Control traffic: bytes, and messages dropped or refused."""

    bytes_sent: int
    bytes_received: int
    dropped: int
    refused: int


class PlatformStatus(msgspec.Struct, frozen=True):
    """Reads of the platform's configuration service."""

    reads: int
    failures: int
    bytes_read: int


class ReplicationStatus(msgspec.Struct, frozen=True):
    """What this process holds of the platform's values, and from whom.

    Attributes:
        settled: Whether peers and platform were asked since the start.
        watching: Whether this process watches the platform.
        digest: Start of the digest of the text in force.
        conflict: Which two texts came under its revision, if any did.
        alarms: What operators have to mend at the platform.
        older_lists: VM lists of a lower revision, ignored.
        outdated: Messages of replaced processes, ignored.
        fetches: Requests sent to peers.
        failures: Of these, those that gave nothing usable.
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
    """A team at a service.

    Attributes:
        service: The service.
        team: The team.
        waiting: Requests waiting: here at a router, anywhere at a sidecar.
        oldest_age: Seconds that the oldest has waited; null if not known.
        weight: The team's weight.
        key: Its order key, at a sidecar: the least is served next.
        served: Cost units charged, over all sidecars known here.
    """

    service: str
    team: str
    waiting: int
    oldest_age: float | None = None
    weight: float = 1.0
    key: float | None = None
    served: float | None = None


class TimeStatus(msgspec.Struct, frozen=True):
    """A histogram in short, in seconds; an empty team is all others.

    `encoded` is the whole of it, in units of 0.1 ms, as HdrHistogram's V2
    format in Base64; empty unless it was asked for.
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
    """What routers and sidecars have in common.

    Attributes:
        vm: This VM.
        incarnation: Number of this process.
        taken_at: Wall-clock time of this status, in seconds since 1970.
        revision: Revision of the configuration in force; 0 if there is none.
        refused_revision: Revision of a later text that was refused, else 0.
        refusal: Why it was refused, with the line.
        older_seen: Offers of a lower revision, ignored.
        vms_revision: Revision of the list of VMs in use.
        unready: Why the process can't be used; empty if it can.
        stopping: Whether it takes nothing new.
        teams: Teams with work waiting, those with the most first.
        teams_total: How many there are; more than listed, if there are many.
        peers: The other processes that this one speaks with.
        control: Control traffic.
        platform: Reads of the platform.
        replication: What it publishes, as it is held here.
        times: Histograms in short.
        log_dropped: Log records lost.
        shared_key: Whether only holders of the shared key are believed.
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
        services: Services with an upstream that can get work.
        waiting: Requests waiting here.
        requests: Requests not yet answered, waiting ones among them.
        late_answers: Answers that matched no attempt, dropped.
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
        service: The upstream's service.
        running: Requests in progress at the upstream.
        claimed: Claims whose request has not come yet.
        limit: Most requests in progress.
    """

    service: str
    running: int
    claimed: int
    limit: int


def summarize_peers(
    directory: membership.Directory, now: float, linked: Collection[str]
) -> tuple[PeerStatus, ...]:
    """Describes the processes that this one should hear from.

    Args:
        directory: This process's view of the fleet.
        now: This process's time.
        linked: Names of the VMs that this process has a link to.

    Returns:
        Those processes, and any other that was heard from lately.
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
    """Describes all histograms.

    Args:
        histograms: The histograms.
        full_histograms: Whether to encode each whole, and not only in short.

    Returns:
        One entry for each service, team and kind of time.
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
