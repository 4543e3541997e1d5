"""A router's view of the upstreams: listing, load and health."""

__all__ = [
    "INITIAL_PREFILL_RATE",
    "Load",
    "Notice",
    "ProcessKey",
    "Upstream",
    "UpstreamEntry",
    "UpstreamTable",
    "begin_grace",
    "compute_failure_rate",
    "confirm_listing",
    "drop_missing",
    "end_probe",
    "find_grace_end",
    "find_retry_delay_end",
    "is_leaving",
    "is_other_process",
    "is_usable",
    "keep_leaving",
    "list_upstreams",
    "record_failure",
    "record_leaving",
    "record_other_incarnation",
    "record_bytes",
    "record_retry_delay",
    "record_sent",
    "record_stall",
    "record_success",
    "replace_listing",
    "suspend_upstream",
    "takes_new_requests",
]

from collections.abc import Iterable
import dataclasses
import enum
import math
from typing import NamedTuple

from sycamorefall import settings
from sycamorefall.direct import (
    caches,
    revisions,
    stream_origins,
    stream_pace,
)
from sycamorefall.direct import pacing as pacing_module
from sycamorefall.direct import speed as speed_module

MISSING_ENTRY_GRACE = 2.3
"""Seconds after a platform outage during which upstreams that are missing from
the listing are kept, as their entries may have lapsed in the outage. Upstreams
renew their entries within two seconds; the remaining time covers one read of
the platform."""

PLATFORM_OUTAGE_THRESHOLD = 2.0
"""Seconds without proof that the listing is current after which the platform is
taken to have been unavailable. Must lie between two times: a router that loses
both its readers reads the platform itself within 1.4 seconds, and entries lapse
in outages of 2.4 seconds or longer."""

INITIAL_SUSPENSION = 0.3
"""Seconds for which an upstream is suspended after its first failure: about the
time that a process takes to start."""

MAX_SUSPENSION = 4.0
"""Longest suspension in seconds, reached after several consecutive failures.
One failed probe every four seconds is well within the retry budget."""

FAILURE_WEIGHT = 0.25
"""Weight of the latest outcome in the moving average of the failure rate."""

FAILURE_HALF_LIFE = 4.0
"""Half-life in seconds of the failure rate of an upstream that gets no
requests. The decay lets a recovered upstream get requests again."""

INITIAL_PREFILL_RATE = 80_000.0
"""Prompt tokens per second that an engine is assumed to process until its rate
has been observed: the rate of the slowest engine observed so far."""

MAX_RETRY_DELAY = 300.0
"""Maximum seconds for which an upstream's Retry-After is honored, so that an
excessive value does not exclude the upstream indefinitely."""

NOTICE_RETENTION = 600.0
"""Seconds for which the notice of an unlisted process is kept, since the
process's entry may be missing for as long as the platform is unavailable."""


class ProcessKey(NamedTuple):
    """Identifies an upstream's process across listings.

    Attributes:
        name: The upstream's name.
        start_time: Start time of the process; see `UpstreamEntry`.
    """

    name: str
    start_time: int


@dataclasses.dataclass(slots=True)
class Notice:
    """State that an upstream's process announced in its responses.

    The notice applies regardless of the platform's listing, which may be stale.

    Attributes:
        leaving: Whether the process announced that it is shutting down.
        delayed_until: When the process's retry delay ends.
        updated_at: When the last announcement was received.
    """

    leaving: bool = False
    delayed_until: float = float("-inf")
    updated_at: float = float("-inf")


class _Health(enum.Enum):
    """Circuit breaker state of an upstream.

    USABLE: requests are sent.
    SUSPENDED: no requests are sent until the suspension ends, then one probe.
    PROBING: one request is in progress as a probe; no others are sent.
    """

    USABLE = "usable"
    SUSPENDED = "barred"
    PROBING = "probing"


@dataclasses.dataclass(slots=True, frozen=True)
class UpstreamEntry:
    """An upstream's entry in the platform's listing.

    Attributes:
        name: Name of the upstream, which usually changes with each start of
            its process.
        service: Service that the upstream belongs to.
        address: Address at which the upstream accepts requests.
        failure_domain: Failure domain that the upstream runs in.
        slots: Number of requests that the upstream runs concurrently.
        leaving: Whether the upstream is to get no new requests.
        listed_revision: Platform revision at which the entry was created.
        start_time: Start time of the upstream's process by its own clock; 0 if
            unknown. Distinguishes processes that use the same name.
        cold_remaining: Seconds for which the upstream was still cold when it
            wrote the entry.
        changed_revision: Platform revision at which the entry was last changed.
        software_version: Version of the upstream's software, as the entry
            states it; has no order.
    """

    name: str
    service: str
    address: settings.Address
    failure_domain: str
    slots: int
    leaving: bool
    listed_revision: int = 0
    start_time: int = 0
    cold_remaining: float = 0.0
    changed_revision: int = 0
    software_version: str = ""


@dataclasses.dataclass(slots=True)
class Load:
    """Load of an upstream.

    Attributes:
        running: Requests in progress.
        unread: Prompt tokens that requests without a response yet add to the
            engine's prefill queue.
        memory: Tokens in the engine's KV cache that the requests in progress
            need, including their expected output.
    """

    running: int = 0
    unread: int = 0
    memory: int = 0


@dataclasses.dataclass(slots=True, eq=False)
class Upstream:
    """An upstream, with its load and health as this router knows them.

    Attributes:
        listed: The upstream's entry in the platform's listing.
        own_load: Load of the requests that this router sent.
        peer_load: Load of the requests that other routers sent, as last
            reported.
        floor: Fewest cost units recently received by a team that waits for this
            upstream at another router; infinity if no team does.
        short_floor: Like `floor`, but only for teams that recently had a
            request refused.
        idle_since: Time since which the upstream has been idle; infinity if it
            is not idle.
        last_byte_at: Time at which this router last received bytes from the
            upstream.
        listed_at: Time at which its process was first listed.
        stalled_at: Time at which it was taken for stalled; None if it isn't.
        prefill_rate: Estimated prompt tokens that the upstream processes per
            second.
        cache: Estimate of the prompt parts in the engine's KV cache.
        suspended_until: Time from which a probe may be sent after a failure.
        notice: State that the upstream's process announced in its responses.
        evacuated: Whether its failure domain is evacuated.
        pacing: Limit on the requests that it gets while it is cold.
        pace: Observed pace of its streams.
        speed: Observed speed of its process.
        service_speed: Speed of the upstreams of its service on average.
        origin: Origin of the streams that it begins; see `stream_origins`.
    """

    listed: UpstreamEntry
    own_load: Load = dataclasses.field(default_factory=Load)
    peer_load: Load = dataclasses.field(default_factory=Load)
    floor: float = math.inf
    short_floor: float = math.inf
    idle_since: float = math.inf
    last_byte_at: float = 0.0
    listed_at: float = 0.0
    stalled_at: float | None = None
    prefill_rate: float = INITIAL_PREFILL_RATE
    cache: caches.CacheEstimate = dataclasses.field(
        default_factory=caches.CacheEstimate
    )
    suspended_until: float = 0.0
    notice: Notice = dataclasses.field(default_factory=Notice)
    evacuated: bool = False
    pacing: pacing_module.Pacing = dataclasses.field(
        default_factory=pacing_module.Pacing
    )
    pace: stream_pace.StreamPace = dataclasses.field(
        default_factory=stream_pace.StreamPace
    )
    speed: speed_module.EngineSpeed = dataclasses.field(
        default_factory=speed_module.EngineSpeed
    )
    service_speed: speed_module.ServiceSpeed = dataclasses.field(
        default_factory=speed_module.ServiceSpeed
    )
    _health: _Health = _Health.USABLE
    _consecutive_failures: int = 0
    _failure_rate: float = 0.0
    _failure_rate_at: float = 0.0
    origin: int = dataclasses.field(init=False)

    def __post_init__(self):
        entry = self.listed
        self.origin = stream_origins.compute_origin(
            entry.service,
            entry.software_version,
            (entry.name, entry.start_time),
        )

    @property
    def running(self) -> int:
        """Number of requests in progress, sent by all routers."""
        return self.own_load.running + self.peer_load.running

    @property
    def unread(self) -> int:
        """Prompt tokens yet to be processed, sent by all routers."""
        return self.own_load.unread + self.peer_load.unread

    @property
    def memory(self) -> int:
        """KV cache tokens of the requests in progress, sent by all routers."""
        return self.own_load.memory + self.peer_load.memory


@dataclasses.dataclass(slots=True)
class UpstreamTable:
    """All upstreams.

    Attributes:
        by_name: Upstreams by name.
        by_service: The same upstreams by service, without those that were
            replaced by another process at their address.
        proven_at: Latest time at which the listing was proven current; None if
            it never was.
        grace_ends_at: Time until which upstreams that are missing from the
            listing are kept.
        missing: Names of the upstreams that the latest listing lacks, and that
            are kept until the grace period ends.
        replaced: Names of the upstreams at whose address another process
            answered.
        notices: Notices by process, including processes that are currently
            not listed.
        unlisted: Upstreams that were dropped from the listing while requests
            of this router were in progress there, by process.
        rankings: Upstreams of a service in the order of preference for caching
            a prompt part, by service and part; see `homes`.
        speeds: Speed of the upstreams on average, by service.
        shared_speeds: What other routers last told of the speed of upstreams,
            by name; see `speed.exchange`.
    """

    by_name: dict[str, Upstream] = dataclasses.field(default_factory=dict)
    by_service: dict[str, list[Upstream]] = dataclasses.field(
        default_factory=dict
    )
    proven_at: float | None = None
    grace_ends_at: float = 0.0
    missing: set[str] = dataclasses.field(default_factory=set)
    replaced: set[str] = dataclasses.field(default_factory=set)
    notices: dict[ProcessKey, Notice] = dataclasses.field(default_factory=dict)
    unlisted: dict[ProcessKey, Upstream] = dataclasses.field(
        default_factory=dict
    )
    rankings: dict[tuple[str, str], list[Upstream]] = dataclasses.field(
        default_factory=dict
    )
    speeds: dict[str, speed_module.ServiceSpeed] = dataclasses.field(
        default_factory=dict
    )
    shared_speeds: dict[str, tuple[int, ...]] = dataclasses.field(
        default_factory=dict
    )


def replace_listing(
    table: UpstreamTable, now: float, listing: Iterable[UpstreamEntry]
) -> list[str]:
    """Applies a new listing of all upstreams.

    Entries may have lapsed during a platform outage, so the first listings
    after it may lack live upstreams. Missing upstreams are therefore kept for
    a grace period; removing all of them would interrupt the service.

    A process that restarted under the same name gets a new `Upstream`, because
    its cache is empty and the requests of its predecessor are lost. The old
    cache estimate and load would be wrong for it. A change of the software
    version shows a restart too.

    Args:
        table: The upstreams; changed.
        now: Current time of this process's clock.
        listing: Entries of all upstreams that the platform lists.

    Returns:
        Names of the removed upstreams.
    """
    confirm_listing(table, now, table.proven_at)
    listed = {
        entry.name: entry
        for entry in listing
        if not _lacks_start_time(table.by_name.get(entry.name), entry)
    }
    table.missing = {name for name in table.by_name if name not in listed}
    dropped = drop_missing(table, now)
    for name, entry in listed.items():
        known = table.by_name.get(name) or _restore_unlisted(table, entry)
        if known is None or is_other_process(known.listed, entry):
            notice = (
                table.notices.get(ProcessKey(name, entry.start_time))
                or Notice()
            )
            upstream = Upstream(
                entry,
                last_byte_at=now,
                listed_at=now,
                notice=notice,
                service_speed=table.speeds.setdefault(
                    entry.service, speed_module.ServiceSpeed()
                ),
            )
            upstream.pacing.listed_until = now + entry.cold_remaining
            table.by_name[name] = upstream
            table.replaced.discard(name)
        else:
            # A restored platform lists the same entry at a new revision.
            if revisions.get_number(
                known.listed.changed_revision
            ) != revisions.get_number(entry.changed_revision):
                known.pacing.listed_until = now + entry.cold_remaining
            known.listed = entry
    table.replaced &= table.by_name.keys()
    table.unlisted = {
        process: upstream
        for process, upstream in table.unlisted.items()
        if upstream.own_load.running
    }
    _drop_notices(table, now)
    _index_by_service(table)
    return dropped


def is_other_process(before: UpstreamEntry, entry: UpstreamEntry) -> bool:
    """Returns whether an entry is of another process with the same name."""
    return (
        before.start_time != entry.start_time
        or before.software_version != entry.software_version
    )


def keep_leaving(
    before: UpstreamEntry | None, entry: UpstreamEntry
) -> UpstreamEntry:
    """Keeps an upstream leaving whose notice a restored platform has lost.

    Args:
        before: The upstream's entry as it was known before; None if unknown.
        entry: Its new entry.

    Returns:
        The new entry, leaving if the earlier one was, unless it is of another
        process, or was changed since in the same era.
    """
    if (
        before is None
        or not before.leaving
        or is_other_process(before, entry)
        or revisions.get_era(before.changed_revision)
        == revisions.get_era(entry.changed_revision)
    ):
        return entry
    return dataclasses.replace(entry, leaving=True)


def begin_grace(table: UpstreamTable, until: float) -> None:
    """Keeps upstreams that are missing from the listing until a time."""
    table.grace_ends_at = max(table.grace_ends_at, until)


def _drop_notices(table: UpstreamTable, now: float) -> None:
    """Drops expired notices of unlisted processes."""
    listed = {
        ProcessKey(name, one.listed.start_time)
        for name, one in table.by_name.items()
    }
    table.notices = {
        process: notice
        for process, notice in table.notices.items()
        if process in listed or now - notice.updated_at < NOTICE_RETENTION
    }


def confirm_listing(
    table: UpstreamTable, now: float, proven_at: float | None
) -> None:
    """Records when the listing was proven current.

    If the previous proof is older than `PLATFORM_OUTAGE_THRESHOLD`, the
    platform was unavailable, and a grace period for missing upstreams starts.

    Args:
        table: The upstreams; changed.
        now: Current time of this process's clock.
        proven_at: Time at which the listing was current; None if unknown.
    """
    known = table.proven_at
    if known is not None and now - known > PLATFORM_OUTAGE_THRESHOLD:
        table.grace_ends_at = now + MISSING_ENTRY_GRACE
        table.proven_at = now
    if proven_at is not None:
        table.proven_at = max(proven_at, table.proven_at or proven_at)


def find_grace_end(table: UpstreamTable) -> float:
    """Returns when `drop_missing` is due; infinity if nothing is missing."""
    return table.grace_ends_at if table.missing else math.inf


def drop_missing(table: UpstreamTable, now: float) -> list[str]:
    """Drops upstreams missing from the listing once the grace period is over.

    Args:
        table: The upstreams; changed.
        now: Current time of this process's clock.

    Returns:
        Names of the dropped upstreams; empty during the grace period.
    """
    if not table.missing or now < table.grace_ends_at:
        return []
    dropped, table.missing = sorted(table.missing), set()
    for name in dropped:
        upstream = table.by_name.pop(name)
        if upstream.own_load.running:
            process = ProcessKey(name, upstream.listed.start_time)
            table.unlisted[process] = upstream
    table.replaced &= table.by_name.keys()
    _index_by_service(table)
    return dropped


def _restore_unlisted(
    table: UpstreamTable, entry: UpstreamEntry
) -> Upstream | None:
    """Lists an upstream again whose entry was gone while its process ran.

    Its requests may still be in progress. With a new `Upstream` in its place,
    their load would be missing, and would be subtracted when they end.

    Returns:
        The upstream; None if the entry is of a process without requests.
    """
    known = table.unlisted.pop(ProcessKey(entry.name, entry.start_time), None)
    if known is not None:
        table.by_name[entry.name] = known
    return known


def _lacks_start_time(known: Upstream | None, entry: UpstreamEntry) -> bool:
    """Returns whether an entry lacks the start time that an earlier one had.

    Such an entry was written by another program. If it were taken for a
    restart of the upstream, all requests in progress there would be aborted.
    """
    return (
        known is not None
        and known.listed.start_time > 0
        and not entry.start_time
    )


def _index_by_service(table: UpstreamTable) -> None:
    """Rebuilds `by_service` with only the newest upstream of each address.

    The entry of a crashed process stays listed for a while beside the entry of
    its successor at the same address. The successor refuses requests that are
    addressed to the crashed process.
    """
    newest: dict[settings.Address, Upstream] = {}
    for upstream in table.by_name.values():
        other = newest.get(upstream.listed.address)
        if (
            other is None
            or other.listed.listed_revision < upstream.listed.listed_revision
        ):
            newest[upstream.listed.address] = upstream
    table.by_service = {}
    table.rankings.clear()
    for upstream in newest.values():
        if upstream.listed.name not in table.replaced:
            group = table.by_service.setdefault(upstream.listed.service, [])
            group.append(upstream)


def list_upstreams(table: UpstreamTable, service: str) -> list[Upstream]:
    """Returns a service's upstreams, including currently unusable ones."""
    return table.by_service.get(service, [])


def is_usable(upstream: Upstream, now: float) -> bool:
    """Returns whether a request may be sent to an upstream.

    A suspended upstream gets no requests until its suspension ends, then one
    request as a probe. Further requests follow once the probe has succeeded, or
    once bytes for any request show that a stalled upstream goes on.
    """
    if not takes_new_requests(upstream):
        return False
    if now < upstream.notice.delayed_until:
        return False
    if not pacing_module.allows_send(upstream.pacing, now):
        return False
    if upstream._health is _Health.USABLE:
        return True
    return (
        upstream._health is _Health.SUSPENDED
        and now >= upstream.suspended_until
    )


def takes_new_requests(upstream: Upstream) -> bool:
    """Returns whether an upstream neither leaves nor is evacuated."""
    return not (is_leaving(upstream) or upstream.evacuated)


def is_leaving(upstream: Upstream) -> bool:
    """Returns whether an upstream is leaving by its entry or its own notice."""
    return upstream.listed.leaving or upstream.notice.leaving


def record_leaving(
    table: UpstreamTable, now: float, upstream: Upstream
) -> bool:
    """Records that an upstream announced its shutdown in a response.

    Guards against requests sent to a leaving upstream while the listing is
    stale or unavailable. The notice does not apply to a process restarted
    under the same name.

    Returns:
        Whether this is the first shutdown notice of the process.
    """
    notice = _update_notice(table, now, upstream)
    was_leaving, notice.leaving = notice.leaving, True
    return not was_leaving


def record_retry_delay(
    table: UpstreamTable, now: float, upstream: Upstream, seconds: float
) -> bool:
    """Records the retry delay that an upstream announced in a response.

    If delays overlap, the one that ends last applies.

    Args:
        table: The upstreams; changed.
        now: Current time of this process's clock.
        upstream: The upstream; changed.
        seconds: The delay; limited to `MAX_RETRY_DELAY`.

    Returns:
        Whether a retry delay starts; False if one is already in effect.
    """
    notice = _update_notice(table, now, upstream)
    was_delayed = now < notice.delayed_until
    until = now + min(seconds, MAX_RETRY_DELAY)
    notice.delayed_until = max(notice.delayed_until, until)
    return not was_delayed and until > now


def find_retry_delay_end(
    table: UpstreamTable, now: float, service: str, origin: int | None = None
) -> float | None:
    """Finds when the first retry delay of a service's upstreams ends.

    Args:
        table: All upstreams.
        now: Current time of this process's clock.
        service: The service.
        origin: Origin to whose upstreams a request is bound; None if any of
            the service may run it.

    Returns:
        The time; infinity if all upstreams that are not leaving are evacuated;
        None if any of them can take requests now, or if there is none.
    """
    ends = [
        math.inf if one.evacuated else one.notice.delayed_until
        for one in list_upstreams(table, service)
        if not is_leaving(one) and origin in (None, one.origin)
    ]
    end = min(ends, default=now)
    return end if end > now else None


def _update_notice(
    table: UpstreamTable, now: float, upstream: Upstream
) -> Notice:
    listed = upstream.listed
    table.notices[ProcessKey(listed.name, listed.start_time)] = upstream.notice
    upstream.notice.updated_at = now
    return upstream.notice


def record_sent(upstream: Upstream, now: float) -> bool:
    """Records a sent request.

    Returns:
        Whether it is the probe of a suspended upstream.
    """
    pacing_module.record_send(upstream.pacing, now)
    is_probe = upstream._health is _Health.SUSPENDED
    if is_probe:
        upstream._health = _Health.PROBING
    return is_probe


def suspend_upstream(upstream: Upstream, now: float) -> None:
    """Suspends an unreachable, stalled or crashed upstream.

    The suspension doubles with each consecutive failure. Without it, requests
    would fail one after the other at a dead process, and each retry elsewhere
    would use up part of the small retry budget.
    """
    if upstream._health is _Health.SUSPENDED and now < upstream.suspended_until:
        return
    pause = min(
        MAX_SUSPENSION, INITIAL_SUSPENSION * 2**upstream._consecutive_failures
    )
    upstream._consecutive_failures += 1
    upstream.suspended_until = now + pause
    upstream._health = _Health.SUSPENDED


def record_stall(upstream: Upstream, now: float, is_probe: bool) -> None:
    """Records that an upstream is stalled, and suspends it.

    Args:
        upstream: The upstream; changed.
        now: Current time of this process's clock.
        is_probe: Whether a request shows it that was sent as a probe.
    """
    if upstream.stalled_at is None:
        upstream.stalled_at = now
        record_failure(upstream, now)
        suspend_upstream(upstream, now)
    elif is_probe and upstream._health is _Health.PROBING:
        suspend_upstream(upstream, now)


def record_bytes(upstream: Upstream, now: float) -> None:
    """Records that bytes were received from an upstream, which ends a stall."""
    upstream.last_byte_at = now
    if upstream.stalled_at is not None:
        upstream.stalled_at = None
        upstream._health = _Health.USABLE
        upstream._consecutive_failures = 0


def end_probe(upstream: Upstream) -> None:
    """Allows another probe after one was aborted, such as by its caller."""
    if upstream._health is _Health.PROBING:
        upstream._health = _Health.SUSPENDED


def record_other_incarnation(table: UpstreamTable, name: str) -> None:
    """Records that another process answered at an upstream's address."""
    if name in table.by_name:
        table.replaced.add(name)
        _index_by_service(table)


def compute_failure_rate(upstream: Upstream, now: float) -> float:
    """Computes an upstream's decayed failure rate, from 0 to 1."""
    age = max(0.0, now - upstream._failure_rate_at)
    return upstream._failure_rate * 0.5 ** (age / FAILURE_HALF_LIFE)


def _update_failure_rate(upstream: Upstream, now: float, failed: float) -> None:
    """Adds an outcome, 1 for a failure, to the average failure rate."""
    rate = compute_failure_rate(upstream, now)
    upstream._failure_rate = rate + FAILURE_WEIGHT * (failed - rate)
    upstream._failure_rate_at = now


def record_success(upstream: Upstream, now: float) -> None:
    """Records a successful response, or the first part of a response."""
    upstream._health = _Health.USABLE
    upstream._consecutive_failures = 0
    _update_failure_rate(upstream, now, 0.0)


def record_failure(upstream: Upstream, now: float) -> None:
    """Records a failed attempt; suspends the upstream if it was a probe."""
    if upstream._health is _Health.PROBING:
        suspend_upstream(upstream, now)
    _update_failure_rate(upstream, now, 1.0)
