"""The other routers: where they are, and which of them work for others."""

__all__ = [
    "PEER_TIMEOUT",
    "Peer",
    "forget_lost",
    "is_delegate",
    "is_heard",
    "list_delegates",
    "list_heard",
    "note_heard",
    "rank_domain",
    "record_known_routers",
]

from collections.abc import Iterable, Mapping
import dataclasses

from sycamorefall import messages

PEER_TIMEOUT = 2.5
"""Seconds after which a router that says nothing counts as gone: two idle
messages and a half."""

FORGET_AFTER = 60.0
"""Seconds after which a router that is not heard is forgotten, its link too:
VMs are replaced every day, and a process would keep a link to each."""

DELEGATES = 2
"""Routers of a failure domain that speak for it."""

HINTED_FOR = 1.5
"""Seconds for which a router that is said to be a delegate counts as one."""

_NEVER = float("-inf")


@dataclasses.dataclass(slots=True)
class Peer:
    """Another router.

    Attributes:
        control: Where its control messages go.
        known_at: When it was last heard, or heard of if it never was.
        heard_at: When it last told of itself.
        failure_domain: Where it stands; empty until that is known.
        capacity: Tenths of a processor core that it has.
        available: Whether it may do work for other routers.
        spoke_at: When it last spoke for its failure domain.
        hinted_at: When another router last said that it does.
        told_at: When it was last told whom to speak to.
    """

    control: str
    known_at: float
    heard_at: float = _NEVER
    failure_domain: str = ""
    capacity: int = 0
    available: bool = True
    spoke_at: float = _NEVER
    hinted_at: float = _NEVER
    told_at: float = _NEVER


def is_heard(peer: Peer, now: float) -> bool:
    """Tells whether a router lives as far as is known."""
    return now - peer.heard_at < PEER_TIMEOUT


def note_heard(
    peers: dict[str, Peer], now: float, envelope: messages.Envelope
) -> Peer | None:
    """Takes note of a router that tells of itself.

    Args:
        peers: The other routers by VM name; changed.
        now: This process's time.
        envelope: A `RouterLoad` and its sender.

    Returns:
        The router; None if the message doesn't say where it is, and nobody
        did before.
    """
    load: messages.RouterLoad = envelope.message
    peer = peers.get(envelope.sender)
    if peer is None:
        if not load.whole:
            return None
        peer = peers[envelope.sender] = Peer(load.control, now)
    peer.known_at = peer.heard_at = now
    if load.whole:
        peer.control = load.control
        peer.failure_domain = load.failure_domain
        peer.capacity, peer.available = load.capacity, load.available
    return peer


def is_delegate(peer: Peer, now: float) -> bool:
    """Tells whether a router speaks for its failure domain."""
    return now - peer.spoke_at < PEER_TIMEOUT


def record_known_routers(
    peers: dict[str, Peer],
    now: float,
    own: str,
    routers: Iterable[messages.RouterAddress],
) -> None:
    """Takes note of routers that another one named.

    Args:
        peers: The other routers by VM name; changed.
        now: This process's time.
        own: This router's VM.
        routers: Those named.
    """
    for router in routers:
        if router.vm == own:
            continue
        peer = peers.setdefault(router.vm, Peer(router.control, now))
        if peer.heard_at == _NEVER:
            peer.control = router.control
            peer.failure_domain = router.failure_domain
        if router.delegate:
            peer.hinted_at = now


def forget_lost(peers: dict[str, Peer], now: float) -> None:
    """Forgets routers that were not heard for long."""
    gone = [
        name
        for name, peer in peers.items()
        if now - peer.known_at >= FORGET_AFTER
    ]
    for name in gone:
        del peers[name]


def rank_domain(
    peers: Mapping[str, Peer],
    now: float,
    domain: str,
    own: tuple[str, int] | None = None,
) -> list[str]:
    """Ranks the routers of a failure domain that may do work for others.

    The largest VMs come first: on the smallest ones such work delays callers.
    All routers that hear the same ones rank them alike.

    Args:
        peers: The other routers.
        now: This process's time.
        domain: The failure domain.
        own: This router's VM and capacity, if it is one of them.

    Returns:
        VM names, the first choice first.
    """
    ranked = [
        (-peer.capacity, name)
        for name, peer in peers.items()
        if peer.failure_domain == domain
        and peer.available
        and is_heard(peer, now)
    ]
    if own is not None:
        ranked.append((-own[1], own[0]))
    return [name for _, name in sorted(ranked)]


def list_delegates(
    peers: Mapping[str, Peer], now: float, domain: str
) -> list[str]:
    """Lists who speaks for a failure domain.

    Where nobody is known to, a few others are listed, by turns: whoever of
    them lives tells who does.
    """
    here = sorted(
        name for name, peer in peers.items() if peer.failure_domain == domain
    )
    delegates = [
        name
        for name in here
        if is_delegate(peers[name], now)
        or now - peers[name].hinted_at < HINTED_FOR
    ]
    if delegates:
        return delegates
    first = int(now) * DELEGATES % max(1, len(here))
    return (here[first:] + here[:first])[:DELEGATES]


def list_heard(
    peers: Mapping[str, Peer], now: float, domain: str
) -> tuple[messages.RouterAddress, ...]:
    """Lists whom a router of a failure domain is to know.

    Only routers that this one hears itself are named: what is only passed on
    would be for ever, also of VMs that are gone.

    Returns:
        The routers of that domain, and the delegates of all.
    """
    return tuple(
        messages.RouterAddress(
            name,
            peer.control,
            peer.failure_domain,
            is_delegate(peer, now),
        )
        for name, peer in peers.items()
        if is_heard(peer, now)
        and (peer.failure_domain == domain or is_delegate(peer, now))
    )
