"""Sums of the load and team usage that all other routers reported."""

__all__ = [
    "ELSEWHERE",
    "LoadSource",
    "SourceKey",
    "Totals",
    "apply_report",
    "apply_totals",
    "compute_account_ages",
    "compute_ages",
    "drop_old_floors",
    "drop_silent_sources",
    "drop_sources",
    "is_current",
    "list_services",
    "list_source_keys",
    "sum_loads",
]

from collections.abc import Callable, Collection, Iterable, Set
import dataclasses
import math
import operator

import msgspec

from sycamorefall import messages
from sycamorefall.direct import (
    peers,
    reported_services,
    shared_sums,
    upstreams,
)
from sycamorefall.direct import state as state_module

SourceKey = tuple[messages.LoadScope, str, int]
"""Identifies reported load: its scope, its VM or failure domain, its part."""

MAX_REPORT_AGE = 1.5
"""Seconds without a full update after which the floors and the team usage of a
source are old: one and a half intervals between the full updates of the slowest
reporter. A floor keeps engines free for requests, which wait for less."""

MAX_HOLD = 0.5
"""Longest time in seconds for which a reported account doesn't decay yet: half
of the interval between the full updates of the slowest reporter."""

ELSEWHERE: SourceKey = (messages.LoadScope.ELSEWHERE, "", 0)
"""Key of the load of all other failure domains, as summed up by a delegate."""


@dataclasses.dataclass(slots=True)
class LoadSource:
    """Load and team usage that one router at a time reports.

    Attributes:
        reporter: VM name of the router that reports it.
        incarnation: Incarnation of the reporting process.
        sequence: Sequence number of the last message.
        heard_at: When the last message was received.
        updated_at: When the last full update would have been received if it
            had not been late. Team usage and floors are this old; deltas leave
            them as they are.
        parts: Number of parts in which the load of its failure domain is
            reported.
        covers: Number of routers whose load is included.
        loads: Load of these routers at upstreams, by upstream name.
        services: Service that these routers gave to teams.
        tables: Further sums of these routers.
    """

    reporter: str
    incarnation: int
    sequence: int
    heard_at: float
    updated_at: float
    parts: int = 1
    covers: int = 1
    loads: dict[str, messages.UpstreamLoad] = dataclasses.field(
        default_factory=dict
    )
    services: reported_services.Amounts = dataclasses.field(
        default_factory=dict
    )
    tables: tuple[messages.SumTable, ...] = ()


@dataclasses.dataclass(slots=True)
class Totals:
    """Sums of the load and team usage of all other routers.

    Each message updates the sums by its difference from the previous one.
    Recomputing the sums took 0.4 ms a message with 27 other routers and 14 ms
    with 369; at up to 80 messages a second, the latter exceeds one core.
    Incremental updates take 0.11 ms and 0.15 ms (`benchmarks.direct`). All
    amounts are integers, so no rounding errors accumulate.

    Attributes:
        sources: The last report of each source.
        loads: Load at upstreams by name, including upstreams that are not
            listed yet.
        floors: Service received by the least served team that waits for an
            upstream, by upstream name. Upstreams that no team waits for are
            left out.
        short_floors: The same for teams that had a request refused recently.
        services: Service received by teams.
        sums: Sums of the sources' tables.
    """

    sources: dict[SourceKey, LoadSource] = dataclasses.field(
        default_factory=dict
    )
    loads: dict[str, upstreams.Load] = dataclasses.field(default_factory=dict)
    floors: dict[str, int] = dataclasses.field(default_factory=dict)
    short_floors: dict[str, int] = dataclasses.field(default_factory=dict)
    services: reported_services.ReportedServices = dataclasses.field(
        default_factory=reported_services.ReportedServices
    )
    sums: shared_sums.Sums = dataclasses.field(default_factory=dict)


_FloorGetter = Callable[[messages.UpstreamLoad], int]

_GET_FLOOR: _FloorGetter = operator.attrgetter("floor")

_GET_SHORT_FLOOR: _FloorGetter = operator.attrgetter("short_floor")

_NO_LOAD = messages.UpstreamLoad("", 0, 0, 0, -1)
"""Load of a source at an upstream that it doesn't report."""


def list_source_keys(
    totals: Totals, scope: messages.LoadScope
) -> list[SourceKey]:
    """Lists the keys of the sources of a scope."""
    return [key for key in totals.sources if key[0] is scope]


def apply_report(
    totals: Totals,
    key: SourceKey,
    now: float,
    envelope: messages.Envelope,
    lateness: float = 0.0,
) -> set[str] | None:
    """Applies a report to its source and to the sums.

    Args:
        totals: The sums; changed.
        key: Key of the reported load.
        now: Current time of this process's clock.
        envelope: A `RouterLoad` and its sender.
        lateness: Seconds that the message was longer on its way than others.

    Returns:
        Names of the upstreams whose load may have changed; None if the message
        is ignored because it is outdated, or a delta to an unknown report.
    """
    load: messages.RouterLoad = envelope.message
    source = _get_or_create_source(totals, key, envelope)
    if source is None:
        return None
    entries = load.upstreams
    if lateness >= MAX_REPORT_AGE:
        entries = map(_remove_floors, entries)
    reported = {entry.upstream: entry for entry in entries}
    changed = reported.keys() | (source.loads.keys() if load.whole else set())
    source.heard_at, source.sequence = now, load.sequence
    source.parts, source.covers = load.parts, load.covers
    before = {name: source.loads.get(name, _NO_LOAD) for name in changed}
    if load.whole:
        interval = now - lateness - source.updated_at
        source.updated_at = now - lateness
        source.loads = reported
        half_interval = min(max(0.0, interval / 2), MAX_HOLD)
        _replace_services(totals, source, now, load.services, half_interval)
        _replace_tables(totals, source, load.tables)
    else:
        source.loads |= reported
    for name, old in before.items():
        new = reported.get(name, _NO_LOAD)
        _update_load(totals, name, old, new)
        _update_floors(totals, name, old, new)
    return changed


def _get_or_create_source(
    totals: Totals, key: SourceKey, envelope: messages.Envelope
) -> LoadSource | None:
    """Looks up the source that a message updates, and creates it if missing.

    Only a full update may come from another process than the last message,
    because a delta doesn't include the unchanged loads. Of two processes on the
    same VM, only the later incarnation counts.

    Returns:
        The source; None if the message must be ignored.
    """
    load: messages.RouterLoad = envelope.message
    known = totals.sources.get(key)
    sender, incarnation = envelope.sender, envelope.incarnation
    if known is not None and known.reporter == sender:
        if incarnation < known.incarnation:
            return None
        if incarnation == known.incarnation:
            return known if load.sequence > known.sequence else None
    # A process of incarnation 0 counts as not heard, so its load would never
    # be removed.
    if not load.whole or incarnation < 1:
        return None
    if known is None:
        known = totals.sources[key] = LoadSource(
            sender, incarnation, 0, 0.0, math.inf
        )
    known.reporter, known.incarnation = sender, incarnation
    return known


def _update_load(
    totals: Totals,
    name: str,
    old: messages.UpstreamLoad,
    new: messages.UpstreamLoad,
) -> None:
    total = totals.loads.setdefault(name, upstreams.Load())
    total.running += new.running - old.running
    total.unread += new.unread - old.unread
    total.memory += new.memory - old.memory
    if not (total.running or total.unread or total.memory):
        del totals.loads[name]


def _update_floors(
    totals: Totals,
    name: str,
    old: messages.UpstreamLoad,
    new: messages.UpstreamLoad,
) -> None:
    """Updates the floors of an upstream after one source's load changed.

    The floors of the other sources are examined only if the minimum rises.
    """
    for floors, get_floor in _list_floor_kinds(totals):
        if get_floor(new) == get_floor(old):
            continue
        min_floor = floors.get(name, math.inf)
        if 0 <= get_floor(new) <= min_floor:
            floors[name] = get_floor(new)
        elif get_floor(old) == min_floor:
            _recompute_floor(totals, name, floors, get_floor)


def _list_floor_kinds(
    totals: Totals,
) -> tuple[tuple[dict[str, int], _FloorGetter], ...]:
    """Pairs the minimum floors by upstream with the getters of their fields."""
    return (totals.floors, _GET_FLOOR), (totals.short_floors, _GET_SHORT_FLOOR)


def _recompute_floor(
    totals: Totals, name: str, floors: dict[str, int], get_floor: _FloorGetter
) -> None:
    sources = totals.sources.values()
    reported = (
        get_floor(source.loads.get(name, _NO_LOAD)) for source in sources
    )
    min_floor = min((floor for floor in reported if floor >= 0), default=-1)
    if min_floor >= 0:
        floors[name] = min_floor
    else:
        floors.pop(name, None)


def _replace_services(
    totals: Totals,
    source: LoadSource,
    now: float,
    services: Iterable[messages.ServiceDemand],
    hold: float,
) -> None:
    """Replaces a source's team usage and updates the sums.

    What the source gives until its next report is unknown to this router. A
    team that is served steadily makes up for the decay, so the amounts hold for
    half of the usual interval: on average over it they are neither too high nor
    too low, and teams that other routers serve don't look less served.
    """
    sources = list(totals.sources.values())
    moved = reported_services.move_epoch(
        totals.services, (one.services for one in sources), now
    )
    for one, amounts in zip(sources, moved, strict=True):
        one.services = amounts
    new = reported_services.convert_report(
        totals.services, services, source.updated_at + hold
    )
    reported_services.replace_amounts(totals.services, source.services, new)
    source.services = new


def _replace_tables(
    totals: Totals,
    source: LoadSource,
    tables: tuple[messages.SumTable, ...],
) -> None:
    """Replaces a source's tables and updates the sums."""
    shared_sums.add_tables(totals.sums, source.tables, sign=-1)
    source.tables = shared_sums.drop_absurd_rows(tables)
    tables = source.tables
    shared_sums.add_tables(totals.sums, tables)


def compute_ages(totals: Totals, now: float) -> dict[messages.LoadScope, float]:
    """Computes the age of the oldest report of each scope, in seconds.

    Example:
        >>> one = LoadSource("front-2", 1, 1, heard_at=1.0, updated_at=0.0)
        >>> two = LoadSource("front-3", 1, 1, heard_at=1.5, updated_at=1.5)
        >>> scope = messages.LoadScope.ROUTER
        >>> sources = {(scope, "front-2", 0): one, (scope, "front-3", 0): two}
        >>> compute_ages(Totals(sources), 1.75)[scope]
        0.75
    """
    return _compute_oldest(totals, now, operator.attrgetter("heard_at"))


def compute_account_ages(
    totals: Totals, now: float
) -> dict[messages.LoadScope, float]:
    """Computes the age of the oldest team usage of each scope, in seconds.

    Example:
        >>> one = LoadSource("front-2", 1, 1, heard_at=1.0, updated_at=0.0)
        >>> scope = messages.LoadScope.ROUTER
        >>> totals = Totals({(scope, "front-2", 0): one})
        >>> compute_account_ages(totals, 1.75)[scope]
        1.75
    """
    return _compute_oldest(totals, now, operator.attrgetter("updated_at"))


def _compute_oldest(
    totals: Totals, now: float, get_time: Callable[[LoadSource], float]
) -> dict[messages.LoadScope, float]:
    """Computes the age of each scope's oldest source by one of its times."""
    ages: dict[messages.LoadScope, float] = {}
    for (scope, _, _), source in totals.sources.items():
        age = round(now - get_time(source), 3)
        ages[scope] = max(age, ages.get(scope, 0.0))
    return ages


def drop_silent_sources(totals: Totals, now: float) -> bool:
    """Drops sources that sent no message for `PEER_TIMEOUT`.

    Args:
        totals: The sums; changed.
        now: Current time of this process's clock.

    Returns:
        Whether any source was dropped.
    """
    silent = [
        key
        for key, source in totals.sources.items()
        if now - source.heard_at >= peers.PEER_TIMEOUT
    ]
    drop_sources(totals, silent)
    return bool(silent)


def drop_old_floors(totals: Totals, now: float) -> bool:
    """Drops the floors of sources without a full update for `MAX_REPORT_AGE`.

    Args:
        totals: The sums; changed.
        now: Current time of this process's clock.

    Returns:
        Whether any floor was dropped.
    """
    old_floors = [
        (source, name, entry)
        for source in totals.sources.values()
        if now - source.updated_at >= MAX_REPORT_AGE
        for name, entry in source.loads.items()
        if max(entry.floor, entry.short_floor) >= 0
    ]
    for source, name, entry in old_floors:
        source.loads[name] = _remove_floors(entry)
        _update_floors(totals, name, entry, source.loads[name])
    return bool(old_floors)


def is_current(totals: Totals, now: float) -> bool:
    """Returns whether the team usage of at least half of the others is known.

    Example:
        >>> one = LoadSource("front-2", 1, 1, heard_at=2.0, updated_at=0.0)
        >>> totals = Totals({(messages.LoadScope.ROUTER, "front-2", 0): one})
        >>> is_current(totals, 1.0), is_current(totals, 2.0)
        (True, False)
        >>> is_current(Totals(), 2.0)
        True
    """
    covered = sum(source.covers for source in totals.sources.values())
    current = sum(
        source.covers
        for source in totals.sources.values()
        if now - source.updated_at < MAX_REPORT_AGE
    )
    return 2 * current >= covered


def _remove_floors(entry: messages.UpstreamLoad) -> messages.UpstreamLoad:
    return msgspec.structs.replace(entry, floor=-1, short_floor=-1)


def drop_sources(totals: Totals, keys: Collection[SourceKey]) -> None:
    """Drops sources, then recomputes each affected floor once."""
    dropped = [totals.sources.pop(key) for key in keys]
    entries = [
        entry
        for dropped_source in dropped
        for entry in dropped_source.loads.values()
    ]
    for source in dropped:
        reported_services.replace_amounts(totals.services, source.services, {})
        _replace_tables(totals, source, ())
    for entry in entries:
        _update_load(totals, entry.upstream, entry, _NO_LOAD)
    for floors, get_floor in _list_floor_kinds(totals):
        for name in {load.upstream for load in entries if get_floor(load) >= 0}:
            _recompute_floor(totals, name, floors, get_floor)


def sum_loads(
    parts: Iterable[Iterable[messages.UpstreamLoad]],
) -> dict[str, messages.UpstreamLoad]:
    """Sums up the loads of several routers by upstream.

    The floors of a sum are the minimum of the floors.

    Example:
        >>> one = messages.UpstreamLoad("e1", 1, 10, 100, 7)
        >>> two = messages.UpstreamLoad("e1", 2, 20, 200, -1)
        >>> sum_loads([[one], [two]])["e1"]
        UpstreamLoad(upstream='e1', running=3, unread=30, memory=300, floor=7, \
short_floor=-1)
    """
    sums: dict[str, messages.UpstreamLoad] = {}
    for loads in parts:
        for load in loads:
            known = sums.get(load.upstream)
            sums[load.upstream] = _add_loads(known, load) if known else load
    return sums


def _add_loads(
    first: messages.UpstreamLoad, second: messages.UpstreamLoad
) -> messages.UpstreamLoad:
    return messages.UpstreamLoad(
        first.upstream,
        first.running + second.running,
        first.unread + second.unread,
        first.memory + second.memory,
        _find_min_floor(first.floor, second.floor),
        _find_min_floor(first.short_floor, second.short_floor),
    )


def _find_min_floor(*floors: int) -> int:
    """Returns the minimum of the floors other than -1; -1 if there is none."""
    return min((floor for floor in floors if floor >= 0), default=-1)


def list_services(
    totals: Totals, source: LoadSource, now: float
) -> tuple[messages.ServiceDemand, ...]:
    """Lists by service what a source gave to teams and refused, as of now."""
    return reported_services.list_amounts(totals.services, source.services, now)


def apply_totals(
    totals: Totals,
    state: state_module.DirectState,
    names: Set[str],
    teams: bool,
) -> None:
    """Copies the sums to the state's upstreams and team accounts.

    Args:
        totals: The sums.
        state: The router's state; changed.
        names: Names of the upstreams to update; unlisted ones are ignored.
        teams: Whether to update the team accounts too.
    """
    covered = sum(source.covers for source in totals.sources.values())
    state.routers = 1 + covered
    state.dispatch_needed = True
    for name in names & state.table.by_name.keys():
        upstream = state.table.by_name[name]
        total = totals.loads.get(name, _NO_LOAD)
        upstream.peer_load = upstreams.Load(
            total.running, total.unread, total.memory
        )
        upstream.floor = totals.floors.get(name, math.inf)
        upstream.short_floor = totals.short_floors.get(name, math.inf)
    if teams:
        _apply_team_totals(totals, state)


def _apply_team_totals(totals: Totals, state: state_module.DirectState) -> None:
    """Copies the other routers' team usage to the state's accounts."""
    for accounts in state.accounts.values():
        accounts.peer_received = {}
        accounts.peer_unmet = {}
    for (service, kind), amounts in totals.services.sums.items():
        accounts = state_module.get_or_create_accounts(state, service)
        accounts.peer_epoch = totals.services.epoch
        if kind is reported_services.Kind.RECEIVED:
            accounts.peer_received = amounts
        else:
            accounts.peer_unmet = amounts
