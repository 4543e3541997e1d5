"""The other routers: addresses, liveness, and which of them are delegates."""

__all__ = [
    "PEER_TIMEOUT",
    "Peer",
    "forget_silent_peers",
    "is_delegate",
    "is_live",
    "list_delegates",
    "list_live_routers",
    "measure_lateness",
    "rank_domain",
    "record_known_routers",
    "record_load",
]

from collections.abc import Iterable, Mapping
import dataclasses

from sycamorefall import messages

PEER_TIMEOUT = 2.5
"""Seconds without a message after which a router counts as gone: two and a half
intervals between the messages of an idle router."""

FORGET_AFTER = 60.0
"""Seconds without a message after which a router and its link are removed. VMs
are replaced every day, and a process would keep a link to each of them."""

DELEGATES_PER_DOMAIN = 2
"""Delegates per failure domain, which report its load to other domains."""

OFFSET_WINDOW = 15.0
"""Seconds after which the fastest message of a window no longer counts. A clock
stops while its VM is suspended; with the fastest message of all, each later one
would count as late by that time."""

HINT_LIFETIME = 1.5
"""Seconds for which a router counts as a delegate after another router named it
as one."""

_NEVER = float("-inf")


@dataclasses.dataclass(slots=True)
class Peer:
    """Another router.

    Attributes:
        control: Address at which it receives control messages.
        last_known_at: When its last load message was received; until the first
            one, when this router learned of it.
        heard_at: When its last load message was received.
        failure_domain: Its failure domain; empty until known.
        capacity: Its processor capacity in tenths of a core.
        available: Whether it can be a delegate or a reader.
        delegate_heard_at: When it last sent a message as a delegate of its
            failure domain.
        delegate_hint_at: When another router last named it as a delegate.
        referred_at: When it was last sent a referral.
        incarnation: Incarnation of the process whose clock was compared.
        min_offset: Least difference between this process's clock at the receipt
            of a message and the sender's clock when it was sent, since one
            `OFFSET_WINDOW` before `window_at`.
        window_min_offset: The same since `window_at`.
        window_at: Start of the current window.
        lateness: Seconds that its last message was longer on its way than its
            fastest one.
    """

    control: str
    last_known_at: float
    heard_at: float = _NEVER
    failure_domain: str = ""
    capacity: int = 0
    available: bool = True
    delegate_heard_at: float = _NEVER
    delegate_hint_at: float = _NEVER
    referred_at: float = _NEVER
    incarnation: int = 0
    min_offset: float = float("inf")
    window_min_offset: float = float("inf")
    window_at: float = _NEVER
    lateness: float = 0.0


def measure_lateness(
    peer: Peer, now: float, envelope: messages.Envelope
) -> float:
    """Measures how much longer a message was on its way than the fastest one.

    Messages queue at a process that has more to do than its VM can, and it
    handles the oldest ones first. Clocks of two processes differ by an unknown
    amount, so only differences between messages are known.

    Args:
        peer: The sender; changed.
        now: Current time of this process's clock.
        envelope: A `RouterLoad` and its sender.

    Returns:
        Seconds; 0 if the message doesn't tell when it was sent.
    """
    load: messages.RouterLoad = envelope.message
    if not load.sent_ms:
        return 0.0
    if envelope.incarnation != peer.incarnation:
        peer.incarnation, peer.window_at = envelope.incarnation, _NEVER
        peer.window_min_offset = float("inf")
    if now - peer.window_at >= OFFSET_WINDOW:
        peer.min_offset, peer.window_at = peer.window_min_offset, now
        peer.window_min_offset = float("inf")
    offset = now - load.sent_ms / 1000
    peer.window_min_offset = min(peer.window_min_offset, offset)
    peer.min_offset = min(peer.min_offset, offset)
    return offset - peer.min_offset


def is_live(peer: Peer, now: float) -> bool:
    """Returns whether a message was received within `PEER_TIMEOUT`."""
    return now - peer.heard_at < PEER_TIMEOUT


def record_load(
    peers: dict[str, Peer], now: float, envelope: messages.Envelope
) -> Peer | None:
    """Records what a load message says about its sender.

    Args:
        peers: The other routers by VM name; changed.
        now: Current time of this process's clock.
        envelope: A `RouterLoad` and its sender.

    Returns:
        The sender; None if its address is unknown, as deltas don't include it.
    """
    load: messages.RouterLoad = envelope.message
    peer = peers.get(envelope.sender)
    if peer is None:
        if not load.whole:
            return None
        peer = peers[envelope.sender] = Peer(load.control, now)
    peer.last_known_at = peer.heard_at = now
    if load.whole:
        peer.control = load.control
        peer.failure_domain = load.failure_domain
        peer.capacity, peer.available = load.capacity, load.available
    return peer


def is_delegate(peer: Peer, now: float) -> bool:
    """Returns whether a router recently sent a message as a delegate."""
    return now - peer.delegate_heard_at < PEER_TIMEOUT


def record_known_routers(
    peers: dict[str, Peer],
    now: float,
    own: str,
    routers: Iterable[messages.RouterAddress],
) -> None:
    """Records routers that another router named.

    The address and failure domain of a router that has sent messages itself
    stay as they are.

    Args:
        peers: The other routers by VM name; changed.
        now: Current time of this process's clock.
        own: VM name of this router.
        routers: The routers that were named.
    """
    for router in routers:
        if router.vm == own:
            continue
        peer = peers.setdefault(router.vm, Peer(router.control, now))
        if peer.heard_at == _NEVER:
            peer.control = router.control
            peer.failure_domain = router.failure_domain
        if router.delegate:
            peer.delegate_hint_at = now


def forget_silent_peers(peers: dict[str, Peer], now: float) -> None:
    """Removes routers from which no message was received for `FORGET_AFTER`."""
    gone = [
        name
        for name, peer in peers.items()
        if now - peer.last_known_at >= FORGET_AFTER
    ]
    for name in gone:
        del peers[name]


def rank_domain(
    peers: Mapping[str, Peer],
    now: float,
    domain: str,
    own: tuple[str, int] | None = None,
) -> list[str]:
    """Ranks the routers of a failure domain that can be delegates or readers.

    The VMs with the most capacity come first, because the work of a delegate
    delays callers on the smallest VMs. Routers that know the same live peers
    compute the same ranking.

    Args:
        peers: The other routers by VM name.
        now: Current time of this process's clock.
        domain: The failure domain.
        own: VM name and capacity of this router, if it is to be ranked too.

    Returns:
        VM names in order of preference.
    """
    ranked = [
        (-peer.capacity, name)
        for name, peer in peers.items()
        if peer.failure_domain == domain
        and peer.available
        and is_live(peer, now)
    ]
    if own is not None:
        ranked.append((-own[1], own[0]))
    return [name for _, name in sorted(ranked)]


def list_delegates(
    peers: Mapping[str, Peer], now: float, domain: str
) -> list[str]:
    """Lists the delegates of a failure domain.

    If no delegate is known, a few routers of the domain are listed, which
    rotate over time: any of them that is live names the delegates.
    """
    members = sorted(
        name for name, peer in peers.items() if peer.failure_domain == domain
    )
    delegates = [
        name
        for name in members
        if is_delegate(peers[name], now)
        or now - peers[name].delegate_hint_at < HINT_LIFETIME
    ]
    if delegates:
        return delegates
    first = int(now) * DELEGATES_PER_DOMAIN % max(1, len(members))
    return (members[first:] + members[:first])[:DELEGATES_PER_DOMAIN]


def list_live_routers(
    peers: Mapping[str, Peer], now: float, domain: str
) -> tuple[messages.RouterAddress, ...]:
    """Lists the live routers that a router of a failure domain needs to know.

    Only routers that sent messages to this router itself are named. Otherwise
    routers would keep naming each other VMs that are gone.

    Returns:
        The routers of the domain, and the delegates of all domains.
    """
    return tuple(
        messages.RouterAddress(
            name,
            peer.control,
            peer.failure_domain,
            is_delegate(peer, now),
        )
        for name, peer in peers.items()
        if is_live(peer, now)
        and (peer.failure_domain == domain or is_delegate(peer, now))
    )
