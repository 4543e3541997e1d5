"""Loads and team accounts that routers tell each other.

Engines take whatever they are sent. A router that knew only its own requests
would find room where the others' requests already are, and would serve its own
teams while another router's teams wait. So each router tells the others, a few
times a second, what it has at each upstream, what it gave each team, and how
little the least served team got whose request waits with it for an upstream.

Only the routers of a failure domain tell each other of themselves. Two of them,
its delegates, add up what they hear, tell it to the delegates of the other
failure domains, and tell their own what these told. So what a router hears
grows with the routers of one failure domain, and little crosses between them.
"""

__all__ = [
    "Exchange",
    "OutboundMessage",
    "apply_totals_to_listing",
    "build_due_messages",
    "build_load_message",
    "classify_domain",
    "find_address",
    "find_next_due",
    "handle_load",
    "is_available",
    "is_delegate",
    "list_addresses",
    "list_local_receivers",
    "list_remote_delegates",
    "rank_routers",
    "record_address",
    "record_known_routers",
    "record_unreadable_sender",
]

from collections.abc import Iterable, Set
import dataclasses
import zlib

import msgspec

from sycamorefall import messages
from sycamorefall.direct import (
    caches,
    overload,
    receiver_groups,
    service_floors,
)
from sycamorefall.direct import own_load as own_load_module
from sycamorefall.direct import peers as peers_module
from sycamorefall.direct import state as state_module
from sycamorefall.direct import totals as totals_module
from sycamorefall.messages import LoadScope

INTERVAL = 0.15
"""Seconds between two whole messages to each peer while requests run: about
half of the shortest target latency."""

IDLE_INTERVAL = 1.0
"""Seconds between two messages while nothing runs: enough to be known."""

WHOLE_PACE = 0.0125
"""Seconds between two whole messages for each router that is heard, up to
`IDLE_INTERVAL`: all together then reach a router 80 times a second, or once a
second each where there are more of them. Taking one over takes 0.11 ms with
27 other routers, 26 upstreams and 30 teams."""

FAR_PACE = 0.04
"""Seconds of the same for each delegate of another failure domain: bytes
between failure domains are paid for, and large sends are told at once."""

ELSEWHERE_INTERVAL = 0.2
"""Seconds between two whole messages about the other failure domains."""

CHANGE_PACE = 0.004
"""Seconds between two messages for each router that is heard, when they are
told at once: all together then reach a router 250 times a second at most.
Taking one over takes 0.012 ms with three upstreams, so 0.3% of its time."""

MAX_PROMPTS_PER_SECOND = 110.0
"""Messages in a second that tell of one prompt each, to all the others and
from all of them: at 16 to 25 bytes each 2 to 3 KB/s in and out, of the 7 KB/s
that control may take. Of five routers each may tell 27 a second. On a full day
one sent 48 long prompts or more in one of 20 such seconds, 70 at most; of
those only the part with the most news is told."""

SETTLE_TIME = 1.2
"""Seconds after its start in which a router hears all that live: they say
something each second."""

REFERRAL_PAUSE = 1.0
"""Seconds after which a router is told again whom it is to speak to."""


@dataclasses.dataclass(slots=True, frozen=True)
class OutboundMessage:
    """A message, and who is to get it."""

    receivers: tuple[str, ...]
    message: messages.Message


@dataclasses.dataclass(slots=True)
class Role:
    """What this router does for others, as it was last worked out.

    Attributes:
        part: Which part of its failure domain's load it tells the others, as
            a delegate; None if it isn't one.
        parts: In how many it is told.
        covers: The other routers whose load is in that part.
        far: Delegates of the other failure domains.
        near: Routers that it tells of the other failure domains.
    """

    part: int | None = None
    parts: int = 1
    covers: tuple[str, ...] = ()
    far: tuple[str, ...] = ()
    near: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True)
class Exchange:
    """What a router tells others and knows of them.

    Attributes:
        vm: This router.
        control: Where its control messages go.
        seeds: Addresses to begin with.
        capacity: Tenths of a processor core that it has.
        started_at: When its process started.
        peers: Other routers by VM name.
        totals: What all of them have together.
        role: What this router does for others.
        sequence: Number of the last message.
        own: What was told of this router.
        domain: What was told of its failure domain, as a delegate.
        elsewhere: What was told of the others, as a delegate.
        unread_near: Prompt tokens that covered routers sent to be read.
        unread_far: The same of other failure domains.
        prompts_left: Prompts that may be told at once.
        prompts_at: When that was last brought up to date.
    """

    vm: str
    control: str
    seeds: tuple[str, ...]
    capacity: int = 0
    started_at: float = float("-inf")
    peers: dict[str, peers_module.Peer] = dataclasses.field(
        default_factory=dict
    )
    totals: totals_module.Totals = dataclasses.field(
        default_factory=totals_module.Totals
    )
    role: Role = dataclasses.field(default_factory=Role)
    sequence: int = 0
    own: receiver_groups.ReceiverGroup = dataclasses.field(
        default_factory=receiver_groups.ReceiverGroup
    )
    domain: receiver_groups.ReceiverGroup = dataclasses.field(
        default_factory=receiver_groups.ReceiverGroup
    )
    elsewhere: receiver_groups.ReceiverGroup = dataclasses.field(
        default_factory=receiver_groups.ReceiverGroup
    )
    unread_near: int = 0
    unread_far: int = 0
    prompts_left: float = 0.0
    prompts_at: float = float("-inf")


def find_next_due(exchange: Exchange, state: state_module.DirectState) -> float:
    """Tells when the next message is to be sent."""
    return min(
        _find_own_due(exchange, state),
        _find_domain_due(exchange, state),
        _find_elsewhere_due(exchange),
    )


def _find_own_due(exchange: Exchange, state: state_module.DirectState) -> float:
    pace = CHANGE_PACE * (1 + len(exchange.totals.sources))
    return receiver_groups.find_due(exchange.own, state.total_unread_sent, pace)


def _find_domain_due(
    exchange: Exchange, state: state_module.DirectState
) -> float:
    if not exchange.role.far:
        return float("inf")
    unread = state.total_unread_sent + exchange.unread_near
    pace = CHANGE_PACE * len(exchange.role.far)
    return receiver_groups.find_due(exchange.domain, unread, pace)


def _find_elsewhere_due(exchange: Exchange) -> float:
    if not exchange.role.near:
        return float("inf")
    pace = CHANGE_PACE * len(exchange.role.near)
    return receiver_groups.find_due(
        exchange.elsewhere, exchange.unread_far, pace
    )


def list_addresses(exchange: Exchange) -> set[str]:
    """Lists the routers that messages may go to.

    A seed that nobody has been heard at stands under its address.
    """
    return exchange.peers.keys() | set(_list_strangers(exchange))


def _list_strangers(exchange: Exchange) -> list[str]:
    known = {peer.control for peer in exchange.peers.values()}
    known.add(exchange.control)
    return [seed for seed in exchange.seeds if seed not in known]


def find_address(exchange: Exchange, name: str) -> str | None:
    """Finds where a router takes control messages.

    Args:
        exchange: What is known of the others.
        name: Its VM name, or its address where that is all that is known.
    """
    peer = exchange.peers.get(name)
    if peer is not None:
        return peer.control
    return name if name in exchange.seeds else None


def classify_domain(
    exchange: Exchange, state: state_module.DirectState, name: str
) -> str:
    """Tells where a router stands, seen from this one.

    Returns:
        `own` or `other` failure domain; `unknown` of one never heard.
    """
    peer = exchange.peers.get(name)
    if peer is None or not peer.failure_domain:
        return "unknown"
    is_own = peer.failure_domain == state.failure_domain
    return "own" if is_own else "other"


def record_address(
    exchange: Exchange, now: float, sender: str, control: str
) -> None:
    """Takes note of where a router is that asks something."""
    exchange.peers.setdefault(sender, peers_module.Peer(control, now))


def record_known_routers(
    exchange: Exchange, now: float, routers: Iterable[messages.RouterAddress]
) -> None:
    """Takes note of routers that another one named."""
    peers_module.record_known_routers(exchange.peers, now, exchange.vm, routers)


def apply_totals_to_listing(
    exchange: Exchange, state: state_module.DirectState, names: Set[str]
) -> None:
    """Takes note of what the others have at upstreams that are new here.

    Guards against an upstream that is listed here later than elsewhere: it
    would count as empty until a router tells of it again.
    """
    totals_module.note_totals(exchange.totals, state, names, teams=False)


def record_unreadable_sender(
    exchange: Exchange, now: float, envelope: messages.Envelope
) -> None:
    """Takes note of where a router is whose message could not be read.

    Guards against a router that is never heard: names are defined once on
    each link. If that message is lost, the others can't be read, their sender
    stands in no list, and so nobody asks it for the names. After a power loss
    of all VMs, half of the routers counted themselves alone to the end of the
    day, and filled engines that were full.

    Args:
        exchange: What is known of the others; changed.
        now: This process's time.
        envelope: The message as it came.
    """
    load = envelope.message
    if isinstance(load, messages.RouterLoad) and load.whole:
        record_address(exchange, now, envelope.sender, load.control)


def is_available(state: state_module.DirectState, now: float) -> bool:
    """Tells whether this router may do work for others."""
    stopping = state.stop.since is not None
    return not stopping and not overload.is_overloaded(state.overload, now)


def rank_routers(
    exchange: Exchange, state: state_module.DirectState, now: float
) -> dict[str, list[str]]:
    """Ranks the routers that may do work for others, this one among them.

    Returns:
        VM names by failure domain, the first choice first.
    """
    domains = {peer.failure_domain for peer in exchange.peers.values()}
    return {
        domain: _rank_domain(exchange, state, now, domain)
        for domain in domains | {state.failure_domain}
        if domain
    }


def _rank_domain(
    exchange: Exchange,
    state: state_module.DirectState,
    now: float,
    domain: str,
) -> list[str]:
    own = None
    if domain == state.failure_domain and is_available(state, now):
        own = exchange.vm, exchange.capacity
    return peers_module.rank_domain(exchange.peers, now, domain, own)


def handle_load(
    exchange: Exchange,
    state: state_module.DirectState,
    now: float,
    envelope: messages.Envelope,
) -> OutboundMessage | None:
    """Takes over what another router tells.

    Args:
        exchange: What is known of the others; changed.
        state: The router's decisions; changed.
        now: This process's time.
        envelope: A `RouterLoad` and its sender.

    Returns:
        Whom the sender is to speak to, if that has to be told.
    """
    load: messages.RouterLoad = envelope.message
    if envelope.sender == exchange.vm:
        return None
    before = exchange.peers.get(envelope.sender)
    is_new = before is None or not peers_module.is_heard(before, now)
    peer = peers_module.note_heard(exchange.peers, now, envelope)
    if peer is None:
        return None
    record_known_routers(exchange, now, load.routers)
    match load.scope:
        case LoadScope.ROUTER:
            key = (LoadScope.ROUTER, envelope.sender, 0)
            wanted = peer.failure_domain in ("", state.failure_domain)
        case LoadScope.DOMAIN:
            is_new = not peers_module.is_delegate(peer, now)
            peer.spoke_at = now
            key = (LoadScope.DOMAIN, peer.failure_domain, load.part)
            wanted = exchange.role.part is not None
        case LoadScope.ELSEWHERE:
            key = totals_module.ELSEWHERE
            wanted = not _hears_domains(exchange)
    if wanted:
        _take_report(exchange, state, now, key, envelope)
    # One that has just come, or begins to speak, is to know the others.
    if is_new or not wanted:
        return _refer(exchange, state, now, envelope.sender)
    return None


def _hears_domains(exchange: Exchange) -> bool:
    """Tells whether a delegate hears the other failure domains itself."""
    scope = LoadScope.DOMAIN
    heard = totals_module.list_keys(exchange.totals, scope)
    return exchange.role.part is not None and bool(heard)


def _refer(
    exchange: Exchange,
    state: state_module.DirectState,
    now: float,
    sender: str,
) -> OutboundMessage | None:
    """Tells a router whom to speak to, once in a while."""
    peer = exchange.peers[sender]
    if now - peer.told_at < REFERRAL_PAUSE:
        return None
    peer.told_at = now
    known = peers_module.list_heard(exchange.peers, now, peer.failure_domain)
    own = messages.RouterAddress(
        exchange.vm, exchange.control, state.failure_domain
    )
    delegates = _rank_delegates(exchange, state, now)
    named = tuple(
        msgspec.structs.replace(one, delegate=True)
        if one.vm in delegates
        else one
        for one in (own, *known)
    )
    return OutboundMessage((sender,), messages.KnownRouters(named))


def _take_report(
    exchange: Exchange,
    state: state_module.DirectState,
    now: float,
    key: totals_module.Key,
    envelope: messages.Envelope,
) -> None:
    """Takes over a load that this router is to count."""
    load: messages.RouterLoad = envelope.message
    totals = exchange.totals
    unread = _count_unread(totals, key)
    changed = totals_module.take_report(totals, key, now, envelope)
    if changed is None:
        return
    rivals = _list_rivals(totals, key)
    if rivals:
        totals_module.drop_sources(totals, rivals)
        changed = state.table.by_name.keys()
    totals_module.note_totals(totals, state, changed, load.whole)
    _take_prompts(state, load)
    grown = max(0, _count_unread(totals, key) - unread)
    if load.scope is LoadScope.ROUTER:
        if envelope.sender in exchange.role.covers:
            exchange.unread_near += grown
            receiver_groups.queue_prompts(exchange.domain, load.prompts)
    elif load.scope is LoadScope.DOMAIN:
        exchange.unread_far += grown
        receiver_groups.queue_prompts(exchange.elsewhere, load.prompts)


def _count_unread(totals: totals_module.Totals, key: totals_module.Key) -> int:
    source = totals.sources.get(key)
    if source is None:
        return 0
    return sum(load.unread for load in source.loads.values())


def _list_rivals(
    totals: totals_module.Totals, key: totals_module.Key
) -> list[totals_module.Key]:
    """Lists the loads that another one contains.

    A failure domain is told of in one way at a time: in so many parts as its
    newest message says, and either by its delegates or by this router's own.
    """
    scope, domain, _ = key
    if scope is LoadScope.ROUTER:
        return []
    parts = totals.sources[key].parts
    return [
        other
        for other, source in totals.sources.items()
        if other != key
        and other[0] is not LoadScope.ROUTER
        and (
            other[0] is not scope
            or (other[1] == domain and source.parts != parts)
        )
    ]


def _take_prompts(
    state: state_module.DirectState, load: messages.RouterLoad
) -> None:
    """Takes over what engines hold by what another router sent them."""
    for prompt in load.prompts:
        upstream = state.table.by_name.get(prompt.upstream)
        if upstream is None or state.catalog is None:
            continue
        service = state.catalog.services.get(upstream.listed.service)
        if service is not None and service.engine is not None:
            limit = service.engine.kv_capacity_tokens
            caches.record_parts(upstream.cache, prompt.parts, limit, prompt.own)


def build_due_messages(
    exchange: Exchange, state: state_module.DirectState, now: float
) -> list[OutboundMessage]:
    """Writes the messages that are due.

    Args:
        exchange: What is known of the others; changed.
        state: The router's decisions; changed.
        now: This process's time.

    Returns:
        The messages and who is to get each.
    """
    reports = []
    if now >= _find_own_due(exchange, state):
        message = build_load_message(exchange, state, now)
        reports.append(
            OutboundMessage(list_local_receivers(exchange, state), message)
        )
    if now >= _find_domain_due(exchange, state):
        message = _write_domain(exchange, state, now)
        reports.append(OutboundMessage(exchange.role.far, message))
    if now >= _find_elsewhere_due(exchange):
        message = _write_elsewhere(exchange, state, now)
        reports.append(OutboundMessage(exchange.role.near, message))
    return reports


def list_local_receivers(
    exchange: Exchange, state: state_module.DirectState
) -> tuple[str, ...]:
    """Lists who is told of this router: its failure domain, and strangers."""
    near = ("", state.failure_domain)
    known = [
        name
        for name, peer in exchange.peers.items()
        if peer.failure_domain in near
    ]
    return (*known, *_list_strangers(exchange))


def build_load_message(
    exchange: Exchange, state: state_module.DirectState, now: float
) -> messages.RouterLoad:
    """Writes the next message about this router.

    Args:
        exchange: What is known of the others; changed.
        state: The router's decisions; changed.
        now: This process's time.

    Returns:
        The message.
    """
    outlet = exchange.own
    whole = now >= outlet.due
    receiver_groups.queue_prompts(outlet, _choose_prompts(exchange, state, now))
    prompts = receiver_groups.begin_message(
        outlet, now, state.total_unread_sent
    )
    receiver_groups.queue_prompts(exchange.domain, prompts)
    if not whole:
        loads = own_load_module.describe_loads(state, outlet.told)
        return _write_change(exchange, outlet, loads, prompts)
    outlet.whole_sent += 1
    outlet.due = now + _choose_pause(exchange, state)
    _refresh(exchange, state, now)
    floors = service_floors.compute_floors(state, now)
    short = service_floors.compute_floors(state, now, short=True)
    outlet.told = {
        name: own_load_module.describe_load(
            state, name, floors.get(name, -1), short.get(name, -1)
        )
        for name, one in state.table.by_name.items()
        if one.own.running or name in floors
    }
    return _write_whole(
        exchange,
        state,
        now,
        routers=_name_routers(exchange, outlet, now, state.failure_domain),
        upstreams=tuple(outlet.told.values()),
        services=own_load_module.list_own_services(state, now),
        prompts=prompts,
    )


def _name_routers(
    exchange: Exchange,
    outlet: receiver_groups.ReceiverGroup,
    now: float,
    domain: str,
) -> tuple[messages.RouterAddress, ...]:
    """Lists the routers that a whole message names.

    Only one in seven has them: one a second while requests run, one in seven
    seconds while nothing does.
    """
    if outlet.whole_sent % round(IDLE_INTERVAL / INTERVAL):
        return ()
    return peers_module.list_heard(exchange.peers, now, domain)


def _write_whole(
    exchange: Exchange,
    state: state_module.DirectState,
    now: float,
    **fields: object,
) -> messages.RouterLoad:
    exchange.sequence += 1
    return messages.RouterLoad(
        exchange.sequence,
        exchange.control,
        failure_domain=state.failure_domain,
        capacity=exchange.capacity,
        available=is_available(state, now),
        **fields,
    )


def _write_change(
    exchange: Exchange,
    outlet: receiver_groups.ReceiverGroup,
    loads: dict[str, messages.UpstreamLoad],
    prompts: tuple[messages.SentPrompt, ...],
    **fields: object,
) -> messages.RouterLoad:
    """Writes what changed since the last message, but for teams."""
    exchange.sequence += 1
    return messages.RouterLoad(
        exchange.sequence,
        "",
        upstreams=receiver_groups.diff_loads(outlet, loads),
        whole=False,
        prompts=prompts,
        **fields,
    )


def _write_domain(
    exchange: Exchange, state: state_module.DirectState, now: float
) -> messages.RouterLoad:
    """Writes what this router and those that it covers have together."""
    role, outlet = exchange.role, exchange.domain
    sources = _list_covered(exchange)
    whole = now >= outlet.due
    unread = state.total_unread_sent + exchange.unread_near
    prompts = receiver_groups.begin_message(outlet, now, unread)
    own = own_load_module.describe_loads(state, exchange.own.told)
    loads = totals_module.sum_loads(
        [own.values(), *(source.loads.values() for source in sources)]
    )
    told = {
        "scope": LoadScope.DOMAIN,
        "part": role.part,
        "parts": role.parts,
        "covers": 1 + len(sources),
    }
    if not whole:
        return _write_change(exchange, outlet, loads, prompts, **told)
    outlet.told = loads
    outlet.whole_sent += 1
    pause = max(INTERVAL, FAR_PACE * len(role.far))
    outlet.due = now + min(pause if loads else IDLE_INTERVAL, IDLE_INTERVAL)
    services = totals_module.sum_services(
        [
            own_load_module.list_own_services(state, now),
            *(totals_module.list_services(source) for source in sources),
        ]
    )
    return _write_whole(
        exchange,
        state,
        now,
        routers=_name_routers(exchange, outlet, now, ""),
        upstreams=tuple(loads.values()),
        services=services,
        prompts=prompts,
        **told,
    )


def _list_covered(exchange: Exchange) -> list[totals_module.Source]:
    sources = exchange.totals.sources
    keys = ((LoadScope.ROUTER, name, 0) for name in exchange.role.covers)
    return [sources[key] for key in keys if key in sources]


def _write_elsewhere(
    exchange: Exchange, state: state_module.DirectState, now: float
) -> messages.RouterLoad:
    """Writes what the other failure domains have together."""
    outlet = exchange.elsewhere
    keys = totals_module.list_keys(exchange.totals, LoadScope.DOMAIN)
    sources = [exchange.totals.sources[key] for key in keys]
    whole = now >= outlet.due
    prompts = receiver_groups.begin_message(outlet, now, exchange.unread_far)
    loads = totals_module.sum_loads(source.loads.values() for source in sources)
    told = {
        "scope": LoadScope.ELSEWHERE,
        "covers": sum(source.covers for source in sources),
    }
    if not whole:
        return _write_change(exchange, outlet, loads, prompts, **told)
    outlet.told = loads
    outlet.due = now + (ELSEWHERE_INTERVAL if loads else IDLE_INTERVAL)
    return _write_whole(
        exchange,
        state,
        now,
        upstreams=tuple(loads.values()),
        services=totals_module.sum_services(
            totals_module.list_services(source) for source in sources
        ),
        prompts=prompts,
        **told,
    )


def _refresh(
    exchange: Exchange, state: state_module.DirectState, now: float
) -> None:
    """Drops who is gone, and works out anew what is done for others."""
    peers_module.forget_lost(exchange.peers, now)
    if totals_module.drop_silent(exchange.totals, now):
        names = state.table.by_name.keys()
        totals_module.note_totals(exchange.totals, state, names, True)
    exchange.role = _choose_role(exchange, state, now)


def _choose_role(
    exchange: Exchange, state: state_module.DirectState, now: float
) -> Role:
    """Works out what this router does for others.

    Guards against a process that has just started and hears nobody yet: it
    would speak for its whole failure domain and know only its own load.
    """
    if now - exchange.started_at < SETTLE_TIME:
        return Role()
    delegates = _rank_delegates(exchange, state, now)
    far = list_remote_delegates(exchange, state, now)
    if exchange.vm not in delegates or not far:
        return Role()
    part, parts = delegates.index(exchange.vm), len(delegates)
    heard = totals_module.list_keys(exchange.totals, LoadScope.ROUTER)
    covers = tuple(
        name
        for _, name, _ in heard
        if name not in delegates and find_part(name, parts) == part
    )
    return Role(part, parts, covers, far, covers)


def is_delegate(
    exchange: Exchange, state: state_module.DirectState, now: float
) -> bool:
    """Tells whether this router is a delegate of its failure domain.

    If no router is available as delegate, all are.
    """
    delegates = _rank_delegates(exchange, state, now)
    return not delegates or exchange.vm in delegates


def list_remote_delegates(
    exchange: Exchange, state: state_module.DirectState, now: float
) -> tuple[str, ...]:
    """Lists the delegates of the other failure domains."""
    elsewhere = {
        peer.failure_domain
        for peer in exchange.peers.values()
        if peer.failure_domain not in ("", state.failure_domain)
    }
    return tuple(
        name
        for domain in sorted(elsewhere)
        for name in peers_module.list_delegates(exchange.peers, now, domain)
    )


def _rank_delegates(
    exchange: Exchange, state: state_module.DirectState, now: float
) -> list[str]:
    """Ranks those who speak for this router's failure domain."""
    ranked = _rank_domain(exchange, state, now, state.failure_domain)
    return ranked[: peers_module.DELEGATES]


def find_part(name: str, parts: int) -> int:
    """Tells in which part of its failure domain a router is told of.

    The same at all routers, and for most routers also if another one comes
    or goes.
    """
    return zlib.crc32(name.encode()) % parts


def _choose_prompts(
    exchange: Exchange, state: state_module.DirectState, now: float
) -> list[messages.SentPrompt]:
    """Chooses which prompts the others are told of, as the budget allows.

    What an engine wasn't known to hold goes first: of the rest the others
    only learn that it was used again.
    """
    rate = MAX_PROMPTS_PER_SECOND / max(1, state.routers - 1)
    earned = rate * (now - exchange.prompts_at)
    allowed = min(exchange.prompts_left + earned, max(1.0, rate))
    exchange.prompts_at = now
    placements, state.placements = state.placements, []
    placements.sort(key=lambda one: one.new_tokens, reverse=True)
    told = placements[: int(allowed)]
    exchange.prompts_left = allowed - len(told)
    return [
        messages.SentPrompt(
            one.upstream,
            one.prompt.digests[:-1],
            one.prompt.tokens - one.prompt.shared,
        )
        for one in told
    ]


def _choose_pause(exchange: Exchange, state: state_module.DirectState) -> float:
    """Chooses the seconds until the next whole message about this router.

    A busy router says something at least as often as an idle one: the others
    would take it for gone.
    """
    if not state.requests:
        return IDLE_INTERVAL
    heard = 1 + len(exchange.totals.sources)
    return min(max(INTERVAL, WHOLE_PACE * heard), IDLE_INTERVAL)
