"""What all other routers have at upstreams and gave teams, together."""

__all__ = [
    "ELSEWHERE",
    "Key",
    "Source",
    "Totals",
    "compute_ages",
    "drop_silent",
    "drop_sources",
    "list_keys",
    "list_services",
    "note_totals",
    "sum_loads",
    "sum_services",
    "take_report",
]

import collections
from collections.abc import Callable, Collection, Iterable, Set
import dataclasses
import math
import operator

from sycamorefall import messages
from sycamorefall.direct import peers, upstreams
from sycamorefall.direct import state as state_module

Key = tuple[messages.LoadScope, str, int]
"""Whose load it is: the scope, then the VM or failure domain, and the part."""

ELSEWHERE: Key = (messages.LoadScope.ELSEWHERE, "", 0)
"""The load of all other failure domains, as a delegate sums it up."""


@dataclasses.dataclass(slots=True)
class Source:
    """Load that is told of by one router at a time.

    Attributes:
        reporter: VM name of the router that tells of it.
        incarnation: The process there.
        sequence: Number of its last message.
        heard_at: When that came.
        parts: In how many parts the load of the failure domain is told.
        covers: Routers whose load it is.
        loads: What they have at upstreams, by name.
        services: What they gave teams, by service.
    """

    reporter: str
    incarnation: int
    sequence: int
    heard_at: float
    parts: int = 1
    covers: int = 1
    loads: dict[str, messages.UpstreamLoad] = dataclasses.field(
        default_factory=dict
    )
    services: dict[str, tuple[messages.TeamService, ...]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class Totals:
    """What all other routers have and gave together.

    Kept up to date by the difference that a message makes. Adding up anew what
    each of the others told took 0.4 ms a message with 27 of them and 14 ms
    with 369, of which up to 80 come in a second: more than a core. By the
    difference it takes 0.11 ms and 0.15 ms (`benchmarks.direct`). All amounts
    are whole numbers, so no error grows.

    Attributes:
        sources: What was told, by whose load it is.
        loads: Load at upstreams by name, also at those that are not listed
            yet.
        floors: Least that a team received that waits for an upstream, by the
            upstream's name; those without any are left out.
        short_floors: The same of teams that had a request refused lately.
        services: What teams received, by service.
    """

    sources: dict[Key, Source] = dataclasses.field(default_factory=dict)
    loads: dict[str, upstreams.Load] = dataclasses.field(default_factory=dict)
    floors: dict[str, int] = dataclasses.field(default_factory=dict)
    short_floors: dict[str, int] = dataclasses.field(default_factory=dict)
    services: dict[str, collections.Counter[str]] = dataclasses.field(
        default_factory=dict
    )


_ReadFloor = Callable[[messages.UpstreamLoad], int]

_READ_FLOOR: _ReadFloor = operator.attrgetter("floor")

_READ_SHORT: _ReadFloor = operator.attrgetter("short_floor")

_NOTHING = messages.UpstreamLoad("", 0, 0, 0, -1)
"""What a router has at an upstream that it doesn't tell of."""


def list_keys(totals: Totals, scope: messages.LoadScope) -> list[Key]:
    """Lists whose load is told of in a scope."""
    return [key for key in totals.sources if key[0] is scope]


def take_report(
    totals: Totals, key: Key, now: float, envelope: messages.Envelope
) -> set[str] | None:
    """Takes over what a router tells.

    Args:
        totals: What all others have; changed.
        key: Whose load it is.
        now: This process's time.
        envelope: A `RouterLoad` and its sender.

    Returns:
        Upstreams whose load it may have changed; None if the message is
        older than what is known, or changes something that isn't.
    """
    load: messages.RouterLoad = envelope.message
    source = _find_source(totals, key, envelope)
    if source is None:
        return None
    told = {entry.upstream: entry for entry in load.upstreams}
    changed = told.keys() | (source.loads.keys() if load.whole else set())
    source.heard_at, source.sequence = now, load.sequence
    source.parts, source.covers = load.parts, load.covers
    before = {name: source.loads.get(name, _NOTHING) for name in changed}
    if load.whole:
        source.loads = told
        _replace_services(totals, source, load.services)
    else:
        source.loads |= told
    for name, old in before.items():
        new = told.get(name, _NOTHING)
        _move_load(totals, name, old, new)
        _move_floor(totals, name, old, new)
    return changed


def _find_source(
    totals: Totals, key: Key, envelope: messages.Envelope
) -> Source | None:
    """Finds what is known of a load, if a message may change it.

    A message of another process than told of it last counts if it is whole: a
    change tells nothing of what was there before. Of a process that has
    another one's VM only the later one counts.
    """
    load: messages.RouterLoad = envelope.message
    known = totals.sources.get(key)
    sender, incarnation = envelope.sender, envelope.incarnation
    if known is not None and known.reporter == sender:
        if incarnation < known.incarnation:
            return None
        if incarnation == known.incarnation:
            return known if load.sequence > known.sequence else None
    # A process without an incarnation counts as not heard.
    if not load.whole or incarnation < 1:
        return None
    if known is None:
        known = totals.sources[key] = Source(sender, incarnation, 0, 0.0)
    known.reporter, known.incarnation = sender, incarnation
    return known


def _move_load(
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


def _move_floor(
    totals: Totals,
    name: str,
    old: messages.UpstreamLoad,
    new: messages.UpstreamLoad,
) -> None:
    """Brings an upstream's floors up to date.

    Only if the least one rises are the others' floors looked at.
    """
    for floors, read in _list_floors(totals):
        if read(new) == read(old):
            continue
        least = floors.get(name, math.inf)
        if 0 <= read(new) <= least:
            floors[name] = read(new)
        elif read(old) == least:
            _find_floor(totals, name, floors, read)


def _list_floors(
    totals: Totals,
) -> tuple[tuple[dict[str, int], _ReadFloor], ...]:
    """Lists the floors that are kept, and where loads tell of them."""
    return (totals.floors, _READ_FLOOR), (totals.short_floors, _READ_SHORT)


def _find_floor(
    totals: Totals, name: str, floors: dict[str, int], read: _ReadFloor
) -> None:
    sources = totals.sources.values()
    told = (read(source.loads.get(name, _NOTHING)) for source in sources)
    least = min((floor for floor in told if floor >= 0), default=-1)
    if least >= 0:
        floors[name] = least
    else:
        floors.pop(name, None)


def _replace_services(
    totals: Totals, source: Source, services: Iterable[messages.ServiceDemand]
) -> None:
    """Replaces what was given to teams."""
    for service, teams in source.services.items():
        given = totals.services[service]
        for entry in teams:
            given[entry.team] -= entry.amount
            if not given[entry.team]:
                del given[entry.team]
    source.services = {one.service: one.teams for one in services}
    for service, teams in source.services.items():
        given = totals.services.setdefault(service, collections.Counter())
        for entry in teams:
            given[entry.team] += entry.amount


def compute_ages(totals: Totals, now: float) -> dict[messages.LoadScope, float]:
    """Finds how old the oldest load of each scope is, in seconds.

    Example:
        >>> one = Source("front-2", 1, 1, heard_at=1.0)
        >>> two = Source("front-3", 1, 1, heard_at=1.5)
        >>> scope = messages.LoadScope.ROUTER
        >>> sources = {(scope, "front-2", 0): one, (scope, "front-3", 0): two}
        >>> compute_ages(Totals(sources), 1.75)[scope]
        0.75
    """
    ages: dict[messages.LoadScope, float] = {}
    for (scope, _, _), source in totals.sources.items():
        age = round(now - source.heard_at, 3)
        ages[scope] = max(age, ages.get(scope, 0.0))
    return ages


def drop_silent(totals: Totals, now: float) -> bool:
    """Drops what was told by routers that say nothing any more.

    Args:
        totals: What all others have; changed.
        now: This process's time.

    Returns:
        Whether there was any.
    """
    silent = [
        key
        for key, source in totals.sources.items()
        if now - source.heard_at >= peers.PEER_TIMEOUT
    ]
    drop_sources(totals, silent)
    return bool(silent)


def drop_sources(totals: Totals, keys: Collection[Key]) -> None:
    """Drops some loads, then finds each floor once."""
    dropped = [totals.sources.pop(key) for key in keys]
    entries = [entry for one in dropped for entry in one.loads.values()]
    for source in dropped:
        _replace_services(totals, source, ())
    for entry in entries:
        _move_load(totals, entry.upstream, entry, _NOTHING)
    for floors, read in _list_floors(totals):
        for name in {one.upstream for one in entries if read(one) >= 0}:
            _find_floor(totals, name, floors, read)


def sum_loads(
    parts: Iterable[Iterable[messages.UpstreamLoad]],
) -> dict[str, messages.UpstreamLoad]:
    """Adds up what several routers have at upstreams.

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
    one: messages.UpstreamLoad, other: messages.UpstreamLoad
) -> messages.UpstreamLoad:
    return messages.UpstreamLoad(
        one.upstream,
        one.running + other.running,
        one.unread + other.unread,
        one.memory + other.memory,
        _find_least(one.floor, other.floor),
        _find_least(one.short_floor, other.short_floor),
    )


def _find_least(*floors: int) -> int:
    """Finds the least of some floors; -1 if there is none."""
    return min((floor for floor in floors if floor >= 0), default=-1)


def sum_services(
    parts: Iterable[Iterable[messages.ServiceDemand]],
) -> tuple[messages.ServiceDemand, ...]:
    """Adds up what several routers gave teams."""
    sums: dict[str, collections.Counter[str]] = {}
    for services in parts:
        for service in services:
            given = sums.setdefault(service.service, collections.Counter())
            for entry in service.teams:
                given[entry.team] += entry.amount
    return tuple(
        messages.ServiceDemand(
            service,
            tuple(messages.TeamService(*entry) for entry in given.items()),
        )
        for service, given in sums.items()
    )


def list_services(source: Source) -> list[messages.ServiceDemand]:
    """Lists what a source's routers gave teams."""
    return [
        messages.ServiceDemand(service, teams)
        for service, teams in source.services.items()
    ]


def note_totals(
    totals: Totals,
    state: state_module.DirectState,
    names: Set[str],
    teams: bool,
) -> None:
    """Takes note of what the others have at some upstreams.

    Args:
        totals: What all of them have.
        state: The router's decisions; changed.
        names: The upstreams; those that are not listed are left out.
        teams: Whether what they gave teams may have changed too.
    """
    covered = sum(source.covers for source in totals.sources.values())
    state.routers = 1 + covered
    state.dispatch_needed = True
    for name in names & state.table.by_name.keys():
        upstream = state.table.by_name[name]
        total = totals.loads.get(name, _NOTHING)
        upstream.others = upstreams.Load(
            total.running, total.unread, total.memory
        )
        upstream.floor = totals.floors.get(name, math.inf)
        upstream.short_floor = totals.short_floors.get(name, math.inf)
    if teams:
        _note_teams(totals, state)


def _note_teams(totals: Totals, state: state_module.DirectState) -> None:
    """Takes note of what the others gave each team."""
    for accounts in state.accounts.values():
        accounts.others = {}
    for service, given in totals.services.items():
        state_module.get_or_create_accounts(state, service).others = given
