"""The other routers, and what they told of their load."""

__all__ = [
    "Peer",
    "add_up_loads",
    "add_up_teams",
    "drop_silent",
    "list_heard",
    "take_load",
]

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


def take_load(
    peer: Peer, now: float, envelope: messages.Envelope
) -> set[str] | None:
    """Takes over what another router tells of itself.

    Args:
        peer: The router; changed.
        now: This process's time.
        envelope: A `RouterLoad` and its sender.

    Returns:
        Upstreams whose load it may have changed; None if the message is
        older than what is known.
    """
    load = envelope.message
    if envelope.incarnation < peer.incarnation:
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
    if load.whole:
        peer.control, peer.loads = load.control, told
        peer.services = {one.service: one.teams for one in load.services}
    else:
        peer.loads |= told
    return changed


def list_heard(peers: dict[str, Peer]) -> list[Peer]:
    """Lists the routers that live as far as is known."""
    return [peer for peer in peers.values() if peer.incarnation]


def drop_silent(
    peers: dict[str, Peer], state: state_module.DirectState, now: float
) -> None:
    """Drops the load of routers that are gone, and forgets them later.

    Args:
        peers: The other routers by VM name; changed.
        state: The router's decisions; changed.
        now: This process's time.
    """
    silent = [
        peer
        for peer in list_heard(peers)
        if now - peer.heard_at >= PEER_TIMEOUT
    ]
    for peer in silent:
        peer.incarnation, peer.sequence = 0, 0
        peer.loads, peer.services = {}, {}
    gone = [
        name
        for name, peer in peers.items()
        if now - peer.heard_at >= FORGET_AFTER
    ]
    for name in gone:
        del peers[name]
    if silent:
        add_up_loads(peers, state, state.table.by_name.keys())
        add_up_teams(peers, state)


def add_up_loads(
    peers: dict[str, Peer], state: state_module.DirectState, names: set[str]
) -> None:
    """Adds up what the others have at some upstreams.

    Args:
        peers: The other routers by VM name.
        state: The router's decisions; changed.
        names: The upstreams; those that are not listed are left out.
    """
    heard = list_heard(peers)
    state.routers = 1 + len(heard)
    state.serve = True
    for name in names & state.table.by_name.keys():
        entries = [peer.loads[name] for peer in heard if name in peer.loads]
        upstream = state.table.by_name[name]
        upstream.others = upstreams.Load(
            sum(entry.running for entry in entries),
            sum(entry.unread for entry in entries),
            sum(entry.memory for entry in entries),
        )
        upstream.floor = min(
            (entry.floor for entry in entries if entry.floor >= 0),
            default=math.inf,
        )


def add_up_teams(
    peers: dict[str, Peer], state: state_module.DirectState
) -> None:
    """Adds up what the others gave each team."""
    for accounts in state.accounts.values():
        accounts.others = {}
    for peer in list_heard(peers):
        for service, teams in peer.services.items():
            others = state_module.find_accounts(state, service).others
            for entry in teams:
                others[entry.team] = others.get(entry.team, 0) + entry.amount
