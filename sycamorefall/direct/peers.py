"""The other routers, and what they told of their load."""

__all__ = [
    "Peer",
    "Totals",
    "drop_silent",
    "list_heard",
    "note_loads",
    "note_teams",
    "take_load",
]

import collections
from collections.abc import Iterable, Set
import dataclasses
import math

from sycamorefall import messages
from sycamorefall.direct import state as state_module
from sycamorefall.direct import upstreams

PEER_TIMEOUT = 2.5
"""Seconds after which a router that says nothing counts as gone, and its load
with it: two idle messages and a half."""

FORGET_AFTER = 60.0
"""Seconds after which a router that is not heard is forgotten, its link too:
VMs are replaced every day, and a process would keep a link to each."""


@dataclasses.dataclass(slots=True)
class Peer:
    """Another router.

    Attributes:
        control: Where its control messages go.
        heard_at: When it was last heard, or heard of if it never was.
        incarnation: The process that was heard; 0 if none is.
        sequence: Number of its last message.
        loads: What it has at upstreams, by name.
        services: What it gave teams, by service.
    """

    control: str
    heard_at: float
    incarnation: int = 0
    sequence: int = 0
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
        loads: Load at upstreams by name, also at those that are not listed
            yet.
        floors: Least that a team received that waits for an upstream, by the
            upstream's name; those without any are left out.
        services: What teams received, by service.
    """

    loads: dict[str, upstreams.Load] = dataclasses.field(default_factory=dict)
    floors: dict[str, int] = dataclasses.field(default_factory=dict)
    services: dict[str, collections.Counter[str]] = dataclasses.field(
        default_factory=dict
    )


_NOTHING = messages.UpstreamLoad("", 0, 0, 0, -1)
"""What a router has at an upstream that it doesn't tell of."""


def take_load(
    peers: dict[str, Peer],
    totals: Totals,
    now: float,
    envelope: messages.Envelope,
) -> set[str] | None:
    """Takes over what another router tells of itself.

    Args:
        peers: The other routers by VM name, the sender one of them; changed.
        totals: What all of them have; changed.
        now: This process's time.
        envelope: A `RouterLoad` and its sender.

    Returns:
        Upstreams whose load it may have changed; None if the message is
        older than what is known.
    """
    peer = peers[envelope.sender]
    load = envelope.message
    # 0 stands for a router that isn't heard, whose load doesn't count.
    if envelope.incarnation < max(peer.incarnation, 1):
        return None
    if envelope.incarnation == peer.incarnation:
        if load.sequence <= peer.sequence:
            return None
    elif not load.whole:
        # A new process whose first message was lost: the change tells
        # nothing of what the process before it had.
        return None
    told = {entry.upstream: entry for entry in load.upstreams}
    changed = told.keys() | (peer.loads.keys() if load.whole else set())
    peer.heard_at, peer.sequence = now, load.sequence
    peer.incarnation = envelope.incarnation
    before = {name: peer.loads.get(name, _NOTHING) for name in changed}
    if load.whole:
        peer.control, peer.loads = load.control, told
        _replace_services(peer, totals, load.services)
    else:
        peer.loads |= told
    for name, old in before.items():
        new = told.get(name, _NOTHING)
        _move_load(totals, name, old, new)
        _move_floor(peers, totals, name, old, new)
    return changed


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
    peers: dict[str, Peer],
    totals: Totals,
    name: str,
    old: messages.UpstreamLoad,
    new: messages.UpstreamLoad,
) -> None:
    """Brings an upstream's floor up to date.

    Only if the least one rises are the others' floors looked at.
    """
    if new.floor == old.floor:
        return
    least = totals.floors.get(name, math.inf)
    if 0 <= new.floor <= least:
        totals.floors[name] = new.floor
    elif old.floor == least:
        _find_floor(peers, totals, name)


def _find_floor(peers: dict[str, Peer], totals: Totals, name: str) -> None:
    entries = (peer.loads.get(name, _NOTHING) for peer in peers.values())
    floors = [entry.floor for entry in entries if entry.floor >= 0]
    if floors:
        totals.floors[name] = min(floors)
    else:
        totals.floors.pop(name, None)


def _replace_services(
    peer: Peer, totals: Totals, services: Iterable[messages.ServiceDemand]
) -> None:
    """Replaces what a router gave teams."""
    for service, teams in peer.services.items():
        given = totals.services[service]
        for entry in teams:
            given[entry.team] -= entry.amount
            if not given[entry.team]:
                del given[entry.team]
    peer.services = {one.service: one.teams for one in services}
    for service, teams in peer.services.items():
        given = totals.services.setdefault(service, collections.Counter())
        for entry in teams:
            given[entry.team] += entry.amount


def list_heard(peers: dict[str, Peer]) -> list[Peer]:
    """Lists the routers that live as far as is known."""
    return [peer for peer in peers.values() if peer.incarnation]


def drop_silent(
    peers: dict[str, Peer],
    totals: Totals,
    state: state_module.DirectState,
    now: float,
) -> None:
    """Drops the load of routers that are gone, and forgets them later.

    Args:
        peers: The other routers by VM name; changed.
        totals: What all of them have; changed.
        state: The router's decisions; changed.
        now: This process's time.
    """
    silent = [
        peer
        for peer in list_heard(peers)
        if now - peer.heard_at >= PEER_TIMEOUT
    ]
    _drop_loads(peers, totals, silent)
    gone = [
        name
        for name, peer in peers.items()
        if now - peer.heard_at >= FORGET_AFTER
    ]
    for name in gone:
        del peers[name]
    if silent:
        note_loads(peers, totals, state, state.table.by_name.keys())
        note_teams(totals, state)


def _drop_loads(
    peers: dict[str, Peer], totals: Totals, silent: list[Peer]
) -> None:
    """Drops the loads of some routers, then finds each floor once."""
    dropped = [entry for peer in silent for entry in peer.loads.values()]
    for peer in silent:
        peer.incarnation, peer.sequence, peer.loads = 0, 0, {}
        _replace_services(peer, totals, ())
    for entry in dropped:
        _move_load(totals, entry.upstream, entry, _NOTHING)
    for name in {entry.upstream for entry in dropped if entry.floor >= 0}:
        _find_floor(peers, totals, name)


def note_loads(
    peers: dict[str, Peer],
    totals: Totals,
    state: state_module.DirectState,
    names: Set[str],
) -> None:
    """Takes note of what the others have at some upstreams.

    Args:
        peers: The other routers by VM name.
        totals: What all of them have.
        state: The router's decisions; changed.
        names: The upstreams; those that are not listed are left out.
    """
    state.routers = 1 + len(list_heard(peers))
    state.serve = True
    for name in names & state.table.by_name.keys():
        upstream = state.table.by_name[name]
        total = totals.loads.get(name, _NOTHING)
        upstream.others = upstreams.Load(
            total.running, total.unread, total.memory
        )
        upstream.floor = totals.floors.get(name, math.inf)


def note_teams(totals: Totals, state: state_module.DirectState) -> None:
    """Takes note of what the others gave each team."""
    for accounts in state.accounts.values():
        accounts.others = {}
    for service, given in totals.services.items():
        state_module.find_accounts(state, service).others = given
