"""Upstreams as one router knows them: listing, load and health."""

__all__ = [
    "Load",
    "Notice",
    "ProcessKey",
    "Upstream",
    "UpstreamEntry",
    "UpstreamTable",
    "compute_failure_rate",
    "confirm_listing",
    "drop_missing",
    "end_probe",
    "find_grace_end",
    "find_retry_delay_end",
    "is_leaving",
    "is_usable",
    "list_upstreams",
    "record_failure",
    "record_leaving",
    "record_other_incarnation",
    "record_retry_delay",
    "record_sent",
    "record_success",
    "replace_listing",
    "suspend_upstream",
]

from collections.abc import Iterable
import dataclasses
import enum
import math
from typing import NamedTuple

from sycamorefall import settings
from sycamorefall.direct import caches

MISSING_ENTRY_GRACE = 2.3
"""Seconds after the platform's return during which a missing entry may be one
that lapsed while it was away. Upstreams renew theirs within two seconds; the
rest covers one read."""

PLATFORM_OUTAGE_THRESHOLD = 2.0
"""Seconds without proof of what is known from which on the platform was away.
A router that loses both its readers reads for itself within 1.4 seconds;
entries lapse if the platform was away for 2.4 seconds or longer."""

INITIAL_SUSPENSION = 0.3
"""Seconds that an upstream is left alone after its first failure: about what
a process takes to start."""

MAX_SUSPENSION = 4.0
"""Seconds that it is left alone at most, after failures in a row: one lost
send every four seconds is well within the budget of second sends."""

FAILURE_WEIGHT = 0.25
"""Weight of the last outcome in an upstream's rate of failures."""

FAILURE_HALF_LIFE = 4.0
"""Seconds after which the rate of failures has halved if nothing is sent, so
that an upstream that recovered is tried again."""

INITIAL_PREFILL_RATE = 80_000.0
"""Prompt tokens an engine reads in a second until it was seen reading: the
slowest that was met."""

MAX_RETRY_DELAY = 300.0
"""Most seconds for which an upstream's Retry-After is followed, so that an
excessive value does not exclude it indefinitely."""

NOTICE_RETENTION = 600.0
"""Seconds for which the notice of an unlisted process is kept, since its entry
may be missing for as long as the platform is away."""


class ProcessKey(NamedTuple):
    """Identifies an upstream's process across listings.

    Attributes:
        name: Its incarnation.
        born: When it started; see `UpstreamEntry`.
    """

    name: str
    born: int


@dataclasses.dataclass(slots=True)
class Notice:
    """State that an upstream's process announced in its answers.

    It applies regardless of the platform's listing, which may be stale.

    Attributes:
        leaving: Whether the process announced that it is shutting down.
        delayed_until: When the process's retry delay ends.
        updated_at: When the last announcement was received.
    """

    leaving: bool = False
    delayed_until: float = float("-inf")
    updated_at: float = float("-inf")


class _Health(enum.Enum):
    USABLE = "usable"
    BARRED = "barred"
    PROBING = "probing"


@dataclasses.dataclass(slots=True, frozen=True)
class UpstreamEntry:
    """An upstream as the platform lists it.

    Attributes:
        name: Its incarnation, usually new at each start.
        service: Service it belongs to.
        address: Where it answers.
        failure_domain: Where it stands.
        slots: Requests it runs at once.
        leaving: Whether it is to get no new work.
        listed_revision: Revision at which the entry was made.
        born: When its process started, by its own clock; 0 if it doesn't say.
            One that starts again under its name is told apart by this.
    """

    name: str
    service: str
    address: settings.Address
    failure_domain: str
    slots: int
    leaving: bool
    listed_revision: int = 0
    born: int = 0


@dataclasses.dataclass(slots=True)
class Load:
    """Work at an upstream.

    Attributes:
        running: Requests sent and not ended.
        unread: Prompt tokens of those that have not begun to answer.
        memory: Tokens of all of them, output included.
    """

    running: int = 0
    unread: int = 0
    memory: int = 0


@dataclasses.dataclass(slots=True, eq=False)
class Upstream:
    """One upstream.

    Attributes:
        listed: What the platform says of it.
        own: Work sent by this router.
        others: Work sent by the other routers, as they last told.
        floor: Least that a team received whose request waits for it at
            another router; infinity if none does.
        short_floor: The same of teams that had a request refused lately.
        idle_since: Since when it has next to nothing to do; infinity while
            it has more.
        last_byte_at: When it last sent anything to this router.
        prefill_rate: Prompt tokens it reads in a second.
        cache: What it is taken to hold of prompts.
        suspended_until: When it may be tried again after a failure.
        notice: What its process announced in its answers.
    """

    listed: UpstreamEntry
    own: Load = dataclasses.field(default_factory=Load)
    others: Load = dataclasses.field(default_factory=Load)
    floor: float = math.inf
    short_floor: float = math.inf
    idle_since: float = math.inf
    last_byte_at: float = 0.0
    prefill_rate: float = INITIAL_PREFILL_RATE
    cache: caches.CacheEstimate = dataclasses.field(
        default_factory=caches.CacheEstimate
    )
    suspended_until: float = 0.0
    notice: Notice = dataclasses.field(default_factory=Notice)
    _health: _Health = _Health.USABLE
    _failures: int = 0
    _failure_rate: float = 0.0
    _rated_at: float = 0.0

    @property
    def running(self) -> int:
        """Requests at it, of all routers."""
        return self.own.running + self.others.running

    @property
    def unread(self) -> int:
        """Prompt tokens it has not read yet, of all routers."""
        return self.own.unread + self.others.unread

    @property
    def memory(self) -> int:
        """Tokens of running requests, of all routers."""
        return self.own.memory + self.others.memory


@dataclasses.dataclass(slots=True)
class UpstreamTable:
    """All upstreams.

    Attributes:
        by_name: By incarnation.
        by_service: The same by service.
        proven_at: When the listing was the newest for certain.
        grace_ends_at: From when on a missing entry means that it is gone.
        missing: Upstreams that the platform listed and lists no more, and that
            are used until then.
        replaced: Incarnations known to be replaced at their address.
        notices: Notices by process, including processes that are currently
            not listed.
        rankings: Upstreams of a service in the order in which they are to
            hold a prompt part, by service and part; see `placing`.
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
    rankings: dict[tuple[str, str], list[Upstream]] = dataclasses.field(
        default_factory=dict
    )


def replace_listing(
    table: UpstreamTable, now: float, listing: Iterable[UpstreamEntry]
) -> list[str]:
    """Takes over a listing.

    Guards against entries that lapsed while the platform was away: it lists
    fewer upstreams than live for a while after its return, and taking all
    of them for gone would stop the service.

    Guards also against a process that starts again under its name: it holds
    nothing of what its former life was sent. Its cache would be counted on,
    and its load would stand beside that of requests that are long lost, so it
    begins as one that nothing is known of.

    Args:
        table: The upstreams; changed.
        now: This process's time.
        listing: All upstreams that the platform lists.

    Returns:
        Names of those that are no longer used.
    """
    confirm_listing(table, now, table.proven_at)
    listed = {
        entry.name: entry
        for entry in listing
        if not _lacks_birth(table.by_name.get(entry.name), entry)
    }
    table.missing = {name for name in table.by_name if name not in listed}
    gone = drop_missing(table, now)
    for name, entry in listed.items():
        known = table.by_name.get(name)
        if known is None or known.listed.born != entry.born:
            notice = table.notices.get(ProcessKey(name, entry.born)) or Notice()
            table.by_name[name] = Upstream(
                entry, last_byte_at=now, notice=notice
            )
            table.replaced.discard(name)
        else:
            known.listed = entry
    table.replaced &= table.by_name.keys()
    _drop_notices(table, now)
    _index(table)
    return gone


def _drop_notices(table: UpstreamTable, now: float) -> None:
    """Drops expired notices of unlisted processes."""
    listed = {
        ProcessKey(name, one.listed.born) for name, one in table.by_name.items()
    }
    table.notices = {
        process: notice
        for process, notice in table.notices.items()
        if process in listed or now - notice.updated_at < NOTICE_RETENTION
    }


def confirm_listing(
    table: UpstreamTable, now: float, proven_at: float | None
) -> None:
    """Takes note of when the listing was the newest for certain.

    Args:
        table: The upstreams; changed.
        now: This process's time.
        proven_at: That time; None if it is not known.
    """
    known = table.proven_at
    if known is not None and now - known > PLATFORM_OUTAGE_THRESHOLD:
        table.grace_ends_at = now + MISSING_ENTRY_GRACE
        table.proven_at = now
    if proven_at is not None:
        table.proven_at = max(proven_at, table.proven_at or proven_at)


def find_grace_end(table: UpstreamTable) -> float:
    """Tells when lapsed upstreams are to be dropped; infinity if none is."""
    return table.grace_ends_at if table.missing else math.inf


def drop_missing(table: UpstreamTable, now: float) -> list[str]:
    """Drops upstreams that the platform lists no more.

    Args:
        table: The upstreams; changed.
        now: This process's time.

    Returns:
        Names of those dropped; none while they may come back.
    """
    if not table.missing or now < table.grace_ends_at:
        return []
    gone, table.missing = sorted(table.missing), set()
    for name in gone:
        del table.by_name[name]
    table.replaced &= table.by_name.keys()
    _index(table)
    return gone


def _lacks_birth(known: Upstream | None, entry: UpstreamEntry) -> bool:
    """Tells whether an entry can't be of the process that had told its birth.

    Guards against an entry that somebody else wrote: taken for a restart, it
    would have all requests at the process given up.
    """
    return known is not None and known.listed.born > 0 and not entry.born


def _index(table: UpstreamTable) -> None:
    """Groups upstreams by service, the newest one of each address only.

    Guards against the entry of a process that crashed: it stays listed for a
    while beside that of its successor at the same address, which refuses
    whatever is meant for the older one.
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
    """Lists a service's upstreams, also those that can't be used now."""
    return table.by_service.get(service, [])


def is_usable(upstream: Upstream, now: float) -> bool:
    """Tells whether a request may be sent to an upstream.

    After a failure it gets nothing for a while, then one request; the rest
    follows once that one is answered.
    """
    if is_leaving(upstream) or now < upstream.notice.delayed_until:
        return False
    if upstream._health is _Health.USABLE:
        return True
    return (
        upstream._health is _Health.BARRED and now >= upstream.suspended_until
    )


def is_leaving(upstream: Upstream) -> bool:
    """Tells whether an upstream is listed as leaving or announced it itself."""
    return upstream.listed.leaving or upstream.notice.leaving


def record_leaving(
    table: UpstreamTable, now: float, upstream: Upstream
) -> bool:
    """Records that an upstream announced its shutdown in an answer.

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
    """Records the retry delay that an upstream announced in an answer.

    If delays overlap, the one that ends last applies.

    Args:
        table: The upstreams; changed.
        now: This process's time.
        upstream: The upstream.
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
    table: UpstreamTable, now: float, service: str
) -> float | None:
    """Finds when the first retry delay of a service's upstreams ends.

    Returns:
        The time; None unless every upstream that is not leaving has a retry
        delay in effect.
    """
    ends = [
        one.notice.delayed_until
        for one in list_upstreams(table, service)
        if not is_leaving(one)
    ]
    end = min(ends, default=now)
    return end if end > now else None


def _update_notice(
    table: UpstreamTable, now: float, upstream: Upstream
) -> Notice:
    listed = upstream.listed
    table.notices[ProcessKey(listed.name, listed.born)] = upstream.notice
    upstream.notice.updated_at = now
    return upstream.notice


def record_sent(upstream: Upstream) -> None:
    """Takes note of a request sent; to a barred upstream it is a probe."""
    if upstream._health is _Health.BARRED:
        upstream._health = _Health.PROBING


def suspend_upstream(upstream: Upstream, now: float) -> None:
    """Leaves an upstream alone that can't be reached or says nothing.

    Guards against many requests lost one after the other at a process that
    is gone: each would be a second send elsewhere, and their budget is small.
    """
    if upstream._health is _Health.BARRED and now < upstream.suspended_until:
        return
    pause = min(MAX_SUSPENSION, INITIAL_SUSPENSION * 2**upstream._failures)
    upstream._failures += 1
    upstream.suspended_until = now + pause
    upstream._health = _Health.BARRED


def end_probe(upstream: Upstream) -> None:
    """Allows another probe after one whose caller went away."""
    if upstream._health is _Health.PROBING:
        upstream._health = _Health.BARRED


def record_other_incarnation(table: UpstreamTable, name: str) -> None:
    """Takes note that another process answers at an upstream's address."""
    if name in table.by_name:
        table.replaced.add(name)
        _index(table)


def compute_failure_rate(upstream: Upstream, now: float) -> float:
    """Reads an upstream's rate of failures, from 0 to 1."""
    age = max(0.0, now - upstream._rated_at)
    return upstream._failure_rate * 0.5 ** (age / FAILURE_HALF_LIFE)


def _rate(upstream: Upstream, now: float, failed: float) -> None:
    rate = compute_failure_rate(upstream, now)
    upstream._failure_rate = rate + FAILURE_WEIGHT * (failed - rate)
    upstream._rated_at = now


def record_success(upstream: Upstream, now: float) -> None:
    """Takes note of a good answer, or of the beginning of one."""
    upstream._health = _Health.USABLE
    upstream._failures = 0
    _rate(upstream, now, 0.0)


def record_failure(upstream: Upstream, now: float) -> None:
    """Takes note of an answer that says that the upstream failed."""
    if upstream._health is _Health.PROBING:
        suspend_upstream(upstream, now)
    _rate(upstream, now, 1.0)
