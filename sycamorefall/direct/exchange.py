"""Loads and team accounts that routers tell each other.

Engines take whatever they are sent. A router that knew only its own requests
would find room where the others' requests already are, and would serve its own
teams while another router's teams wait. So each router tells the others, a few
times a second, what it has at each upstream, what it gave each team, and how
little the least served team got that waits with it.
"""

__all__ = [
    "Exchange",
    "Peer",
    "find_next_due",
    "list_peers",
    "take_load",
    "write_load",
]

import dataclasses
import math

from sycamorefall import messages
from sycamorefall.direct import state as state_module
from sycamorefall.direct import upstreams, waiting

INTERVAL = 0.15
"""Seconds between two messages to each peer while requests run: about half of
the shortest target latency, so that a burst at one router is seen by the
others before they add to it."""

IDLE_INTERVAL = 1.0
"""Seconds between two messages while nothing runs: enough to be known."""

PEER_TIMEOUT = 2.5
"""Seconds after which a router that says nothing counts as gone, and its load
with it: two idle messages and a half."""

FORGET_AFTER = 60.0
"""Seconds after which a router that is not heard is forgotten, its link too:
VMs are replaced every day, and a process would keep a link to each."""

LEAST_AMOUNT = 50
"""Cost units below which a team's past service is not worth its bytes."""


@dataclasses.dataclass(slots=True)
class Peer:
    """Another router.

    Attributes:
        control: Where its control messages go.
        heard_at: When it was last heard, or heard of if it never was.
        incarnation: The process that was heard.
        load: What it told last.
    """

    control: str
    heard_at: float
    incarnation: int = 0
    load: messages.RouterLoad | None = None


@dataclasses.dataclass(slots=True)
class Exchange:
    """What a router tells others and knows of them.

    Attributes:
        vm: This router.
        control: Where its control messages go.
        seeds: Addresses to begin with.
        peers: Other routers by VM name.
        sequence: Number of the last message.
        due: When the next one is sent.
    """

    vm: str
    control: str
    seeds: tuple[str, ...]
    peers: dict[str, Peer] = dataclasses.field(default_factory=dict)
    sequence: int = 0
    due: float = 0.0


def find_next_due(exchange: Exchange) -> float:
    """Tells when the next message is to be sent."""
    return exchange.due


def list_peers(exchange: Exchange) -> dict[str, str]:
    """Lists who gets messages: addresses by VM name.

    A seed that nobody has been heard at stands under its address.
    """
    known = {name: peer.control for name, peer in exchange.peers.items()}
    addresses = {exchange.control, *known.values()}
    seeds = {seed: seed for seed in exchange.seeds if seed not in addresses}
    return known | seeds


def take_load(
    exchange: Exchange,
    state: state_module.DirectState,
    now: float,
    envelope: messages.Envelope,
) -> None:
    """Takes over what another router tells.

    Args:
        exchange: What is known of the others; changed.
        state: The router's decisions; changed.
        now: This process's time.
        envelope: A `RouterLoad` and its sender.
    """
    load = envelope.message
    if envelope.sender == exchange.vm:
        return
    peer = exchange.peers.setdefault(envelope.sender, Peer(load.control, now))
    if envelope.incarnation < peer.incarnation:
        return
    same = envelope.incarnation == peer.incarnation and peer.load is not None
    if same and load.sequence <= peer.load.sequence:
        return
    peer.control, peer.heard_at = load.control, now
    peer.incarnation, peer.load = envelope.incarnation, load
    for other in load.routers:
        if other.vm != exchange.vm:
            exchange.peers.setdefault(other.vm, Peer(other.control, now))
    _add_up(exchange, state, now)


def _list_heard(exchange: Exchange, now: float) -> list[Peer]:
    return [
        peer
        for peer in exchange.peers.values()
        if peer.load is not None and now - peer.heard_at < PEER_TIMEOUT
    ]


def _add_up(
    exchange: Exchange, state: state_module.DirectState, now: float
) -> None:
    """Adds up what the others that still live told."""
    heard = _list_heard(exchange, now)
    state.routers = 1 + len(heard)
    for upstream in state.table.by_name.values():
        upstream.others = upstreams.Load()
    for accounts in state.accounts.values():
        accounts.others, accounts.floor = {}, math.inf
    for peer in heard:
        _add_upstreams(state, peer.load)
        _add_services(state, peer.load)
    state.serve = True


def _add_upstreams(
    state: state_module.DirectState, load: messages.RouterLoad
) -> None:
    for entry in load.upstreams:
        upstream = state.table.by_name.get(entry.upstream)
        if upstream is not None:
            upstream.others.running += entry.running
            upstream.others.unread += entry.unread
            upstream.others.memory += entry.memory


def _add_services(
    state: state_module.DirectState, load: messages.RouterLoad
) -> None:
    for demand in load.services:
        accounts = state_module.find_accounts(state, demand.service)
        for entry in demand.teams:
            before = accounts.others.get(entry.team, 0.0)
            accounts.others[entry.team] = before + entry.amount
        if demand.floor >= 0:
            accounts.floor = min(accounts.floor, demand.floor)


def write_load(
    exchange: Exchange, state: state_module.DirectState, now: float
) -> messages.RouterLoad:
    """Writes the next message to all peers.

    Args:
        exchange: What is known of the others; changed.
        state: The router's decisions.
        now: This process's time.

    Returns:
        The message.
    """
    busy = bool(state.requests)
    exchange.due = now + (INTERVAL if busy else IDLE_INTERVAL)
    exchange.sequence += 1
    _forget_silent(exchange, state, now)
    loads = [
        messages.UpstreamLoad(
            name, one.own.running, one.own.unread, one.own.memory
        )
        for name, one in state.table.by_name.items()
        if one.own.running
    ]
    return messages.RouterLoad(
        exchange.sequence,
        exchange.control,
        _list_routers(exchange),
        tuple(loads),
        tuple(
            _describe_service(state, now, service) for service in state.accounts
        ),
    )


def _list_routers(exchange: Exchange) -> tuple[messages.RouterAddress, ...]:
    """Lists the routers that are heard, for newcomers.

    Only one message in seven has them: one a second while requests run, one
    in seven seconds while nothing does.
    """
    every = round(IDLE_INTERVAL / INTERVAL)
    if exchange.sequence % every:
        return ()
    return tuple(
        messages.RouterAddress(name, peer.control)
        for name, peer in exchange.peers.items()
        if peer.load is not None
    )


def _forget_silent(
    exchange: Exchange, state: state_module.DirectState, now: float
) -> None:
    """Drops the load of routers that are gone."""
    silent = [
        peer
        for peer in exchange.peers.values()
        if peer.load is not None and now - peer.heard_at >= PEER_TIMEOUT
    ]
    for peer in silent:
        peer.load = None
    gone = [
        name
        for name, peer in exchange.peers.items()
        if now - peer.heard_at >= FORGET_AFTER
    ]
    for name in gone:
        del exchange.peers[name]
    if silent:
        _add_up(exchange, state, now)


def _describe_service(
    state: state_module.DirectState, now: float, service: str
) -> messages.ServiceDemand:
    accounts = state.accounts[service]
    amounts = waiting.list_own(accounts, now)
    teams = tuple(
        messages.TeamService(team, int(amount))
        for team, amount in amounts.items()
        if amount >= LEAST_AMOUNT
    )
    accounts.most = waiting.find_most(accounts, now)
    room = state.rooms.get(service)
    floor = waiting.find_floor(room, accounts, now) if room else math.inf
    return messages.ServiceDemand(
        service, teams, -1 if floor == math.inf else int(floor)
    )
