"""Exchange of load and team usage between routers.

Engines accept every request that they are sent. A router that knew only its own
requests would overload engines that other routers use, and would serve its own
teams ahead of less served teams that wait at other routers. Each router
therefore reports several times a second: its load at each upstream, the service
that each team received, and the floor of each upstream, which is the service
received by the least served team that waits for the upstream.

Routers report their own load only within their failure domain. Two routers of
each domain, its delegates, sum up the loads of the domain, send the sum to the
delegates of the other domains, and forward the sum of the other domains to
their own. The messages that a router receives thus grow with the size of one
failure domain, and little traffic crosses between domains.
"""

__all__ = [
    "Exchange",
    "OutboundMessage",
    "apply_totals_to_listing",
    "build_due_messages",
    "build_load_message",
    "classify_domain",
    "find_address",
    "find_lateness",
    "find_next_due",
    "handle_load",
    "is_available",
    "is_behind",
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
    contributors,
    known_parts,
    overload,
    prompt_reports,
    receiver_groups,
    reported_services,
    service_floors,
    shared_sums,
    warmup,
)
from sycamorefall.direct import own_load as own_load_module
from sycamorefall.direct import peers as peers_module
from sycamorefall.direct import state as state_module
from sycamorefall.direct import totals as totals_module
from sycamorefall.messages import LoadScope

FULL_UPDATE_INTERVAL = 0.15
"""Seconds between two full updates to each receiver while requests run: about
half of the shortest target latency."""

IDLE_INTERVAL = 1.0
"""Seconds between two messages of an idle router, so that peers count it as
live."""

FULL_UPDATE_SPACING = 0.0125
"""Seconds between two full updates, multiplied by the number of sources that
this router receives; at most `IDLE_INTERVAL`. A router then receives at most 80
full updates a second, or one a second per source if there are more sources.
Applying one takes 0.11 ms with 27 other routers, 26 upstreams and 30 teams."""

REMOTE_UPDATE_SPACING = 0.04
"""Seconds between two full updates to other failure domains, multiplied by the
number of their delegates. Longer than `FULL_UPDATE_SPACING` because traffic
between failure domains is billed, and deltas report large prompts in time."""

ELSEWHERE_INTERVAL = 0.2
"""Seconds between two full updates about the other failure domains."""

DELTA_SPACING = 0.004
"""Minimum seconds between two messages, if a delta is sent ahead of the next
full update. Multiplied by the number of sources that this router receives, or,
for sums that it sends as a delegate, by the number of receivers. A router then
receives at most 250 messages a second. Applying one takes 0.012 ms with three
upstreams, so at most 0.3% of the router's time."""

DISCOVERY_TIME = 1.2
"""Seconds after its start within which a router has heard from every live
router: idle routers send a message each second."""

MAX_LATENESS = 0.1
"""Lateness of a message in seconds from which this router is behind: less than
the interval between two full updates of a busy router."""

REFERRAL_INTERVAL = 1.0
"""Minimum seconds between two referrals to the same router."""


@dataclasses.dataclass(slots=True, frozen=True)
class OutboundMessage:
    """A message to be sent.

    Attributes:
        receivers: VM names of the receivers, or addresses of seeds whose VM
            name is unknown.
        message: The message.
    """

    receivers: tuple[str, ...]
    message: messages.Message


@dataclasses.dataclass(slots=True)
class DelegateRole:
    """Duties of this router as a delegate, as last computed.

    Attributes:
        part: Index of the part of its failure domain's load that this router
            reports; None if it isn't a delegate.
        parts: Number of parts in which the domain's load is reported.
        covered_routers: Other routers whose load is included in this part.
        remote_delegates: Delegates of the other failure domains, which receive
            the part.
        local_receivers: Routers of this domain that receive the load of the
            other failure domains from this router.
    """

    part: int | None = None
    parts: int = 1
    covered_routers: tuple[str, ...] = ()
    remote_delegates: tuple[str, ...] = ()
    local_receivers: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True)
class Exchange:
    """A router's knowledge of the other routers, and its reports to them.

    Attributes:
        vm: VM name of this router.
        control: Address at which this router receives control messages.
        seeds: Control addresses of the routers that are contacted first.
        capacity: Processor capacity of this router in tenths of a core.
        started_at: When this process started.
        peers: Other routers by VM name.
        totals: Sums of the load and team usage of all other routers.
        role: Duties of this router as a delegate.
        sequence: Sequence number of the last message sent.
        own_group: Receivers of this router's own load.
        domain_group: Receivers of the load of its failure domain, if this
            router is a delegate.
        elsewhere_group: Receivers of the load of the other failure domains, if
            this router is a delegate.
        unread_covered: Total increase so far of the unread prompt tokens that
            covered routers reported.
        unread_remote: The same for the other failure domains.
        prompt_budget: Prompts that may be reported.
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
    role: DelegateRole = dataclasses.field(default_factory=DelegateRole)
    sequence: int = 0
    own_group: receiver_groups.ReceiverGroup = dataclasses.field(
        default_factory=receiver_groups.ReceiverGroup
    )
    domain_group: receiver_groups.ReceiverGroup = dataclasses.field(
        default_factory=receiver_groups.ReceiverGroup
    )
    elsewhere_group: receiver_groups.ReceiverGroup = dataclasses.field(
        default_factory=receiver_groups.ReceiverGroup
    )
    unread_covered: int = 0
    unread_remote: int = 0
    prompt_budget: prompt_reports.PromptBudget = dataclasses.field(
        default_factory=prompt_reports.PromptBudget
    )


def find_next_due(exchange: Exchange, state: state_module.DirectState) -> float:
    """Computes when the next message of any scope is due."""
    return min(
        _compute_own_due(exchange, state),
        _compute_domain_due(exchange, state),
        _compute_elsewhere_due(exchange),
    )


def _compute_own_due(
    exchange: Exchange, state: state_module.DirectState
) -> float:
    spacing = DELTA_SPACING * (1 + len(exchange.totals.sources))
    return receiver_groups.compute_next_due(
        exchange.own_group, state.total_unread_sent, spacing
    )


def _compute_domain_due(
    exchange: Exchange, state: state_module.DirectState
) -> float:
    if not exchange.role.remote_delegates:
        return float("inf")
    unread = state.total_unread_sent + exchange.unread_covered
    spacing = DELTA_SPACING * len(exchange.role.remote_delegates)
    return receiver_groups.compute_next_due(
        exchange.domain_group, unread, spacing
    )


def _compute_elsewhere_due(exchange: Exchange) -> float:
    if not exchange.role.local_receivers:
        return float("inf")
    spacing = DELTA_SPACING * len(exchange.role.local_receivers)
    return receiver_groups.compute_next_due(
        exchange.elsewhere_group, exchange.unread_remote, spacing
    )


def list_addresses(exchange: Exchange) -> set[str]:
    """Lists the routers that may be sent messages.

    Returns:
        VM names of the known routers, and the addresses of seeds at which no
        router is known.
    """
    return exchange.peers.keys() | set(_list_unheard_seeds(exchange))


def _list_unheard_seeds(exchange: Exchange) -> list[str]:
    known = {peer.control for peer in exchange.peers.values()}
    known.add(exchange.control)
    return [seed for seed in exchange.seeds if seed not in known]


def find_address(exchange: Exchange, name: str) -> str | None:
    """Looks up the control address of a router.

    Args:
        exchange: The exchange of this router.
        name: VM name of the router, or the address of a seed.

    Returns:
        The address as `IP:port`; None if the router is unknown.
    """
    peer = exchange.peers.get(name)
    if peer is not None:
        return peer.control
    return name if name in exchange.seeds else None


def classify_domain(
    exchange: Exchange, state: state_module.DirectState, name: str
) -> str:
    """Compares the failure domain of a router with that of this router.

    Returns:
        `own` if they are the same, `other` if not, and `unknown` if the
        router's failure domain isn't known.
    """
    peer = exchange.peers.get(name)
    if peer is None or not peer.failure_domain:
        return "unknown"
    is_own = peer.failure_domain == state.failure_domain
    return "own" if is_own else "other"


def record_address(
    exchange: Exchange, now: float, sender: str, control: str
) -> None:
    """Records the control address of a router that sent a request."""
    exchange.peers.setdefault(sender, peers_module.Peer(control, now))


def record_known_routers(
    exchange: Exchange, now: float, routers: Iterable[messages.RouterAddress]
) -> None:
    """Records routers that another router named."""
    peers_module.record_known_routers(exchange.peers, now, exchange.vm, routers)


def apply_totals_to_listing(
    exchange: Exchange, state: state_module.DirectState, names: Set[str]
) -> None:
    """Applies the other routers' load to newly listed upstreams.

    This router may list an upstream later than others do. The upstream would
    count as idle until another router reports its load there again.
    """
    totals_module.apply_totals(exchange.totals, state, names, teams=False)


def record_unreadable_sender(
    exchange: Exchange, now: float, envelope: messages.Envelope
) -> None:
    """Records the address of a router whose message could not be decoded.

    Each link transmits the definition of a name only once. If the message with
    the definitions is lost, later messages can't be decoded. Without this
    record, their sender would stay unknown and would never be asked for the
    definitions. After a power loss of all VMs, half of the routers believed for
    the rest of the day that they were alone, and overloaded the engines.

    Args:
        exchange: The exchange of this router; changed.
        now: Current time of this process's clock.
        envelope: The message, with names that are not resolved.
    """
    load = envelope.message
    if isinstance(load, messages.RouterLoad) and load.whole:
        record_address(exchange, now, envelope.sender, load.control)


def is_behind(exchange: Exchange, now: float) -> bool:
    """Returns whether this router handles messages late."""
    return find_lateness(exchange, now) >= MAX_LATENESS


def find_lateness(exchange: Exchange, now: float) -> float:
    """Finds the lateness of the last messages of all live routers.

    Messages of one router may be late because that router is; those of a
    quarter of them are late only at a reader that is late itself.

    Returns:
        Seconds, the upper quartile over the routers; 0 if none is live.
    """
    live = sorted(
        peer.lateness
        for peer in exchange.peers.values()
        if peers_module.is_live(peer, now)
    )
    return live[3 * (len(live) - 1) // 4] if live else 0.0


def is_available(state: state_module.DirectState, now: float) -> bool:
    """Returns whether this router can be a delegate or a reader.

    A router that is stopping or overloaded can't.
    """
    stopping = state.stop.since is not None
    return not stopping and not overload.is_overloaded(state.overload, now)


def rank_routers(
    exchange: Exchange, state: state_module.DirectState, now: float
) -> dict[str, list[str]]:
    """Ranks the routers that can be delegates or readers, this one included.

    Returns:
        VM names by failure domain, in order of preference.
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
    """Applies a load report of another router.

    Args:
        exchange: The exchange of this router; changed.
        state: The router's state; changed.
        now: Current time of this process's clock.
        envelope: A `RouterLoad` and its sender.

    Returns:
        A referral of the sender to the routers that it should report to, if it
        needs one.
    """
    load: messages.RouterLoad = envelope.message
    if envelope.sender == exchange.vm:
        return None
    previous = exchange.peers.get(envelope.sender)
    is_new = previous is None or not peers_module.is_live(previous, now)
    peer = peers_module.record_load(exchange.peers, now, envelope)
    if peer is None:
        return None
    lateness = peers_module.measure_lateness(peer, now, envelope)
    peer.lateness = lateness
    record_known_routers(exchange, now, load.routers)
    match load.scope:
        case LoadScope.ROUTER:
            key = (LoadScope.ROUTER, envelope.sender, 0)
            is_counted = peer.failure_domain in ("", state.failure_domain)
        case LoadScope.DOMAIN:
            is_new = not peers_module.is_delegate(peer, now)
            peer.delegate_heard_at = now
            key = (LoadScope.DOMAIN, peer.failure_domain, load.part)
            is_counted = exchange.role.part is not None
        case LoadScope.ELSEWHERE:
            key = totals_module.ELSEWHERE
            is_counted = not _receives_domain_loads(exchange)
    if is_counted:
        _apply_report(exchange, state, now, key, envelope, lateness)
    # A router that has just appeared or become a delegate needs to know the
    # others.
    if is_new or not is_counted:
        return _build_referral(exchange, state, now, envelope.sender)
    return None


def _receives_domain_loads(exchange: Exchange) -> bool:
    """Returns whether this router is a delegate that receives domain loads."""
    scope = LoadScope.DOMAIN
    keys = totals_module.list_source_keys(exchange.totals, scope)
    return exchange.role.part is not None and bool(keys)


def _build_referral(
    exchange: Exchange,
    state: state_module.DirectState,
    now: float,
    sender: str,
) -> OutboundMessage | None:
    """Builds a message that names the routers that a router should report to.

    Returns:
        The message; None if the router got one less than `REFERRAL_INTERVAL`
        ago.
    """
    peer = exchange.peers[sender]
    if now - peer.referred_at < REFERRAL_INTERVAL:
        return None
    peer.referred_at = now
    known = peers_module.list_live_routers(
        exchange.peers, now, peer.failure_domain
    )
    own = messages.RouterAddress(
        exchange.vm, exchange.control, state.failure_domain
    )
    delegates = _rank_delegates(exchange, state, now)
    named = tuple(
        msgspec.structs.replace(router, delegate=True)
        if router.vm in delegates
        else router
        for router in (own, *known)
    )
    return OutboundMessage((sender,), messages.KnownRouters(named))


def _apply_report(
    exchange: Exchange,
    state: state_module.DirectState,
    now: float,
    key: totals_module.SourceKey,
    envelope: messages.Envelope,
    lateness: float,
) -> None:
    """Applies a load to the totals, the upstreams and the pending reports."""
    load: messages.RouterLoad = envelope.message
    totals = exchange.totals
    unread = _count_unread(totals, key)
    changed = totals_module.apply_report(totals, key, now, envelope, lateness)
    if changed is None:
        return
    superseded = _list_superseded(totals, key)
    if superseded:
        totals_module.drop_sources(totals, superseded)
        changed = state.table.by_name.keys()
    totals_module.apply_totals(totals, state, changed, load.whole)
    if load.whole:
        contributors.apply_sums(state, now, totals.sums)
    _apply_prompts(state, load)
    increase = max(0, _count_unread(totals, key) - unread)
    if load.scope is LoadScope.ROUTER:
        if envelope.sender in exchange.role.covered_routers:
            exchange.unread_covered += increase
            receiver_groups.queue_prompts(exchange.domain_group, load.prompts)
    elif load.scope is LoadScope.DOMAIN:
        exchange.unread_remote += increase
        receiver_groups.queue_prompts(exchange.elsewhere_group, load.prompts)


def _count_unread(
    totals: totals_module.Totals, key: totals_module.SourceKey
) -> int:
    source = totals.sources.get(key)
    if source is None:
        return 0
    return sum(load.unread for load in source.loads.values())


def _list_superseded(
    totals: totals_module.Totals, key: totals_module.SourceKey
) -> list[totals_module.SourceKey]:
    """Lists sources whose load the source with the given key includes.

    The load of a failure domain must be counted once. It is reported in as
    many parts as the newest message says, and comes either from the domain's
    delegates or, summed up with other domains, from this domain's delegates.
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


def _apply_prompts(
    state: state_module.DirectState, load: messages.RouterLoad
) -> None:
    """Records prompts that another router sent as cached by the engines."""
    for prompt in load.prompts:
        upstream = state.table.by_name.get(prompt.upstream)
        if upstream is None or state.catalog is None:
            continue
        service = state.catalog.services.get(upstream.listed.service)
        if service is not None and service.engine is not None:
            limit = service.engine.kv_capacity_tokens
            known_parts.record_parts(state.known_parts, prompt.parts)
            caches.record_parts(upstream.cache, prompt.parts, limit, prompt.own)


def build_due_messages(
    exchange: Exchange, state: state_module.DirectState, now: float
) -> list[OutboundMessage]:
    """Builds the messages that are due.

    Args:
        exchange: The exchange of this router; changed.
        state: The router's state; changed.
        now: Current time of this process's clock.

    Returns:
        The messages with their receivers.
    """
    outbound = []
    if now >= _compute_own_due(exchange, state):
        message = build_load_message(exchange, state, now)
        outbound.append(
            OutboundMessage(list_local_receivers(exchange, state), message)
        )
    if now >= _compute_domain_due(exchange, state):
        message = _build_domain_load(exchange, state, now)
        outbound.append(
            OutboundMessage(exchange.role.remote_delegates, message)
        )
    if now >= _compute_elsewhere_due(exchange):
        message = _build_elsewhere_load(exchange, state, now)
        outbound.append(OutboundMessage(exchange.role.local_receivers, message))
    return outbound


def list_local_receivers(
    exchange: Exchange, state: state_module.DirectState
) -> tuple[str, ...]:
    """Lists the receivers of this router's own load.

    Returns:
        VM names of the routers in its failure domain or in an unknown one, and
        the addresses of seeds at which no router is known.
    """
    domains = ("", state.failure_domain)
    known = [
        name
        for name, peer in exchange.peers.items()
        if peer.failure_domain in domains
    ]
    return (*known, *_list_unheard_seeds(exchange))


def build_load_message(
    exchange: Exchange, state: state_module.DirectState, now: float
) -> messages.RouterLoad:
    """Builds the next report of this router's own load.

    Args:
        exchange: The exchange of this router; changed.
        state: The router's state; changed.
        now: Current time of this process's clock.

    Returns:
        A full update if one is due, otherwise a delta.
    """
    group = exchange.own_group
    whole = now >= group.due
    chosen = prompt_reports.choose_prompts(exchange.prompt_budget, state, now)
    receiver_groups.queue_prompts(group, chosen)
    prompts = receiver_groups.start_message(group, now, state.total_unread_sent)
    receiver_groups.queue_prompts(exchange.domain_group, prompts)
    if not whole:
        loads = own_load_module.build_loads(state, group.sent_loads)
        return _build_delta(exchange, now, group, loads, prompts)
    group.full_update_count += 1
    group.due = now + _compute_update_interval(exchange, state)
    _update_membership(exchange, state, now)
    floors = service_floors.compute_floors(state, now)
    short = service_floors.compute_floors(state, now, short=True)
    group.sent_loads = {
        name: own_load_module.build_load(
            state, name, floors.get(name, -1), short.get(name, -1)
        )
        for name, upstream in state.table.by_name.items()
        if upstream.own_load.running or name in floors
    }
    return _build_full_update(
        exchange,
        state,
        now,
        routers=_list_known_routers(exchange, group, now, state.failure_domain),
        upstreams=tuple(group.sent_loads.values()),
        services=own_load_module.collect_own_services(state, now),
        prompts=prompts,
        tables=contributors.collect_tables(state, now),
    )


def _list_known_routers(
    exchange: Exchange,
    group: receiver_groups.ReceiverGroup,
    now: float,
    domain: str,
) -> tuple[messages.RouterAddress, ...]:
    """Lists the routers that a full update names.

    Only one of seven full updates names them: one a second while requests run,
    one in seven seconds while the router is idle.
    """
    if group.full_update_count % round(IDLE_INTERVAL / FULL_UPDATE_INTERVAL):
        return ()
    return peers_module.list_live_routers(exchange.peers, now, domain)


def _build_full_update(
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
        sent_ms=int(1000 * now),
        **fields,
    )


def _build_delta(
    exchange: Exchange,
    now: float,
    group: receiver_groups.ReceiverGroup,
    loads: dict[str, messages.UpstreamLoad],
    prompts: tuple[messages.SentPrompt, ...],
    **fields: object,
) -> messages.RouterLoad:
    """Builds a delta: the loads that changed, without team usage."""
    exchange.sequence += 1
    return messages.RouterLoad(
        exchange.sequence,
        "",
        upstreams=receiver_groups.take_changed_loads(group, loads),
        whole=False,
        prompts=prompts,
        sent_ms=int(1000 * now),
        **fields,
    )


def _build_domain_load(
    exchange: Exchange, state: state_module.DirectState, now: float
) -> messages.RouterLoad:
    """Builds a report of the summed load of this router and those it covers."""
    role, group = exchange.role, exchange.domain_group
    sources = _list_covered_sources(exchange)
    whole = now >= group.due
    unread = state.total_unread_sent + exchange.unread_covered
    prompts = receiver_groups.start_message(group, now, unread)
    own = own_load_module.build_loads(state, exchange.own_group.sent_loads)
    loads = totals_module.sum_loads(
        [own.values(), *(source.loads.values() for source in sources)]
    )
    fields = {
        "scope": LoadScope.DOMAIN,
        "part": role.part,
        "parts": role.parts,
        "covers": 1 + len(sources),
    }
    if not whole:
        return _build_delta(exchange, now, group, loads, prompts, **fields)
    group.sent_loads = loads
    group.full_update_count += 1
    update_interval = max(
        FULL_UPDATE_INTERVAL, REMOTE_UPDATE_SPACING * len(role.remote_delegates)
    )
    group.due = now + min(
        update_interval if loads else IDLE_INTERVAL, IDLE_INTERVAL
    )
    services = reported_services.sum_demands(
        [
            own_load_module.collect_own_services(state, now),
            *(
                totals_module.list_services(exchange.totals, source, now)
                for source in sources
            ),
        ]
    )
    return _build_full_update(
        exchange,
        state,
        now,
        routers=_list_known_routers(exchange, group, now, ""),
        upstreams=tuple(loads.values()),
        services=services,
        prompts=prompts,
        tables=shared_sums.sum_tables(
            [
                contributors.collect_tables(state, now),
                *(source.tables for source in sources),
            ]
        ),
        **fields,
    )


def _list_covered_sources(exchange: Exchange) -> list[totals_module.LoadSource]:
    sources = exchange.totals.sources
    keys = (
        (LoadScope.ROUTER, name, 0) for name in exchange.role.covered_routers
    )
    return [sources[key] for key in keys if key in sources]


def _build_elsewhere_load(
    exchange: Exchange, state: state_module.DirectState, now: float
) -> messages.RouterLoad:
    """Builds a report of the summed load of the other failure domains."""
    group = exchange.elsewhere_group
    keys = totals_module.list_source_keys(exchange.totals, LoadScope.DOMAIN)
    sources = [exchange.totals.sources[key] for key in keys]
    whole = now >= group.due
    prompts = receiver_groups.start_message(group, now, exchange.unread_remote)
    loads = totals_module.sum_loads(source.loads.values() for source in sources)
    fields = {
        "scope": LoadScope.ELSEWHERE,
        "covers": sum(source.covers for source in sources),
    }
    if not whole:
        return _build_delta(exchange, now, group, loads, prompts, **fields)
    group.sent_loads = loads
    group.due = now + (ELSEWHERE_INTERVAL if loads else IDLE_INTERVAL)
    return _build_full_update(
        exchange,
        state,
        now,
        upstreams=tuple(loads.values()),
        services=reported_services.sum_demands(
            totals_module.list_services(exchange.totals, source, now)
            for source in sources
        ),
        prompts=prompts,
        tables=shared_sums.sum_tables(source.tables for source in sources),
        **fields,
    )


def _update_membership(
    exchange: Exchange, state: state_module.DirectState, now: float
) -> None:
    """Drops routers that are gone and updates this router's role."""
    peers_module.forget_silent_peers(exchange.peers, now)
    dropped = totals_module.drop_silent_sources(exchange.totals, now)
    state.knows_others = totals_module.is_current(exchange.totals, now)
    if totals_module.drop_old_floors(exchange.totals, now) or dropped:
        names = state.table.by_name.keys()
        totals_module.apply_totals(exchange.totals, state, names, True)
        contributors.apply_sums(state, now, exchange.totals.sums)
    exchange.role = _compute_role(exchange, state, now)
    warmup.update_senders(
        state, now, exchange.vm, _list_domain_routers(exchange, state, now)
    )


def _list_domain_routers(
    exchange: Exchange, state: state_module.DirectState, now: float
) -> set[str]:
    """Lists the routers of this failure domain, even if they are silent.

    A router that is partitioned from this one may still reach the upstreams.

    Returns:
        VM names, including this router's and those of routers whose domain is
        unknown; empty while this router can't know the others.
    """
    is_alone = not any(
        peer.heard_at > float("-inf") for peer in exchange.peers.values()
    )
    has_other_seeds = any(seed != exchange.control for seed in exchange.seeds)
    is_new = now - exchange.started_at < warmup.FLEET_DISCOVERY_TIME
    if is_new or (is_alone and has_other_seeds):
        return set()
    names = {
        name
        for name, peer in exchange.peers.items()
        if peer.failure_domain in ("", state.failure_domain)
    }
    return names | {exchange.vm}


def _compute_role(
    exchange: Exchange, state: state_module.DirectState, now: float
) -> DelegateRole:
    """Computes the duties of this router as a delegate.

    A process that has just started and hasn't heard from other routers yet has
    none: it would report its own load as that of the whole failure domain.
    """
    if now - exchange.started_at < DISCOVERY_TIME:
        return DelegateRole()
    delegates = _rank_delegates(exchange, state, now)
    remote_delegates = list_remote_delegates(exchange, state, now)
    if exchange.vm not in delegates or not remote_delegates:
        return DelegateRole()
    part, parts = delegates.index(exchange.vm), len(delegates)
    keys = totals_module.list_source_keys(exchange.totals, LoadScope.ROUTER)
    covered_routers = tuple(
        name
        for _, name, _ in keys
        if name not in delegates and compute_part(name, parts) == part
    )
    return DelegateRole(
        part, parts, covered_routers, remote_delegates, covered_routers
    )


def is_delegate(
    exchange: Exchange, state: state_module.DirectState, now: float
) -> bool:
    """Returns whether this router is a delegate of its failure domain.

    If no router is available as a delegate, all of them are delegates.
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
    """Lists the delegates of this router's failure domain, in rank order."""
    ranked = _rank_domain(exchange, state, now, state.failure_domain)
    return ranked[: peers_module.DELEGATES_PER_DOMAIN]


def compute_part(name: str, parts: int) -> int:
    """Computes which part of its failure domain's load includes a router.

    All routers compute the same part, from a hash of the VM name. The part
    doesn't change when another router joins or leaves, unless `parts` changes.
    """
    return zlib.crc32(name.encode()) % parts


def _compute_update_interval(
    exchange: Exchange, state: state_module.DirectState
) -> float:
    """Computes the seconds until the next full update about this router.

    A busy router reports at least as often as an idle one. Otherwise the other
    routers would take it for gone.
    """
    if not state.requests:
        return IDLE_INTERVAL
    source_count = 1 + len(exchange.totals.sources)
    return min(
        max(FULL_UPDATE_INTERVAL, FULL_UPDATE_SPACING * source_count),
        IDLE_INTERVAL,
    )
