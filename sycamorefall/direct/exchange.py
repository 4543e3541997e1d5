"""Loads and team accounts that routers tell each other.

Engines take whatever they are sent. A router that knew only its own requests
would find room where the others' requests already are, and would serve its own
teams while another router's teams wait. So each router tells the others, a few
times a second, what it has at each upstream, what it gave each team, and how
little the least served team got whose request waits with it for an upstream.
"""

__all__ = [
    "Exchange",
    "find_next_due",
    "list_peers",
    "note_unnamed",
    "take_load",
    "write_load",
]

import dataclasses

from sycamorefall import messages
from sycamorefall.direct import caches, dispatching, waiting
from sycamorefall.direct import peers as peers_module
from sycamorefall.direct import state as state_module

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

LARGE_READ = 1500
"""Prompt tokens sent since the last message from which on the others are told
at once: 10 to 20 ms of an engine's time."""

CHANGE_PACE = 0.004
"""Seconds between two messages for each router that is heard, when they are
told at once: all together then reach a router 250 times a second at most.
Taking one over takes 0.012 ms with three upstreams, so 0.3% of its time."""

PROMPTS_TOLD = 110.0
"""Messages in a second that tell of one prompt each, to all the others and
from all of them: at 16 to 25 bytes each 2 to 3 KB/s in and out, of the 7 KB/s
that control may take. Of five routers each may tell 27 a second. On a full day
one sent 48 long prompts or more in one of 20 such seconds, 70 at most; of
those only the part with the most news is told."""

LEAST_AMOUNT = 50
"""Cost units below which a team's past service is not worth its bytes."""


@dataclasses.dataclass(slots=True)
class Exchange:
    """What a router tells others and knows of them.

    Attributes:
        vm: This router.
        control: Where its control messages go.
        seeds: Addresses to begin with.
        peers: Other routers by VM name.
        totals: What all of them have together.
        sequence: Number of the last message.
        sent_at: When that was sent.
        due: When the next whole one is sent.
        whole_sent: Whole ones sent so far.
        told: What the others were told of each upstream.
        prompts_left: Prompts that may be told at once.
        prompts_at: When that was last brought up to date.
    """

    vm: str
    control: str
    seeds: tuple[str, ...]
    peers: dict[str, peers_module.Peer] = dataclasses.field(
        default_factory=dict
    )
    totals: peers_module.Totals = dataclasses.field(
        default_factory=peers_module.Totals
    )
    sequence: int = 0
    sent_at: float = 0.0
    due: float = 0.0
    whole_sent: int = 0
    told: dict[str, messages.UpstreamLoad] = dataclasses.field(
        default_factory=dict
    )
    prompts_left: float = 0.0
    prompts_at: float = float("-inf")


def find_next_due(exchange: Exchange, state: state_module.DirectState) -> float:
    """Tells when the next message is to be sent."""
    if state.unread_sent < LARGE_READ:
        return exchange.due
    return min(exchange.due, exchange.sent_at + CHANGE_PACE * state.routers)


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
    peer = exchange.peers.get(envelope.sender)
    if peer is None:
        if not load.whole:
            return
        peer = peers_module.Peer(load.control, now)
        exchange.peers[envelope.sender] = peer
    changed = peers_module.take_load(
        exchange.peers, exchange.totals, now, envelope
    )
    if changed is None:
        return
    for other in load.routers:
        if other.vm != exchange.vm:
            known = peers_module.Peer(other.control, now)
            exchange.peers.setdefault(other.vm, known)
    peers_module.note_loads(exchange.peers, exchange.totals, state, changed)
    if load.whole:
        peers_module.note_teams(exchange.totals, state)
    _take_prompts(state, load)


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
            limit = service.engine.memory_tokens
            caches.note_parts(upstream.cache, prompt.parts, limit, prompt.own)


def note_unnamed(
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
        known = peers_module.Peer(load.control, now)
        exchange.peers.setdefault(envelope.sender, known)


def write_load(
    exchange: Exchange, state: state_module.DirectState, now: float
) -> messages.RouterLoad:
    """Writes the next message to all peers.

    Whole messages go out at fixed intervals. In between, only what changed
    goes out, as soon as much was sent to be read: the others would add to it
    within the interval, and the answers of all would be late. On a full day
    the load that a router counted was wrong by more than 27,000 tokens in one
    of 20 choices before; a sixth of a second of an engine's time.

    Args:
        exchange: What is known of the others; changed.
        state: The router's decisions; changed.
        now: This process's time.

    Returns:
        The message.
    """
    exchange.sequence += 1
    exchange.sent_at = now
    state.unread_sent = 0
    prompts = _write_prompts(exchange, state, now)
    if now < exchange.due:
        return _write_change(exchange, state, prompts)
    exchange.whole_sent += 1
    exchange.due = now + _choose_pause(state)
    peers_module.drop_silent(exchange.peers, exchange.totals, state, now)
    floors = dispatching.find_floors(state, now)
    exchange.told = {
        name: _describe_load(state, name, floors.get(name, -1))
        for name, one in state.table.by_name.items()
        if one.own.running or name in floors
    }
    return messages.RouterLoad(
        exchange.sequence,
        exchange.control,
        _list_routers(exchange),
        tuple(exchange.told.values()),
        tuple(
            _describe_service(state, now, service) for service in state.accounts
        ),
        prompts=prompts,
    )


def _write_prompts(
    exchange: Exchange, state: state_module.DirectState, now: float
) -> tuple[messages.SentPrompt, ...]:
    """Writes which prompts engines were sent, as many as the budget allows.

    What an engine wasn't known to hold goes first: of the rest the others
    only learn that it was used again.
    """
    rate = PROMPTS_TOLD / max(1, state.routers - 1)
    earned = rate * (now - exchange.prompts_at)
    allowed = min(exchange.prompts_left + earned, max(1.0, rate))
    exchange.prompts_at = now
    placements, state.placements = state.placements, []
    placements.sort(key=lambda one: one.news, reverse=True)
    told = placements[: int(allowed)]
    exchange.prompts_left = allowed - len(told)
    return tuple(
        messages.SentPrompt(
            one.upstream,
            one.prompt.digests[:-1],
            one.prompt.tokens - one.prompt.shared,
        )
        for one in told
    )


def _choose_pause(state: state_module.DirectState) -> float:
    """Chooses the seconds until the next whole message.

    A busy router says something at least as often as an idle one: the others
    would take it for gone.
    """
    if not state.requests:
        return IDLE_INTERVAL
    return min(max(INTERVAL, WHOLE_PACE * state.routers), IDLE_INTERVAL)


def _write_change(
    exchange: Exchange,
    state: state_module.DirectState,
    prompts: tuple[messages.SentPrompt, ...],
) -> messages.RouterLoad:
    """Writes what changed since the last message, but for floors and teams."""
    changed = []
    for name, one in state.table.by_name.items():
        told = exchange.told.get(name)
        if told is None and not one.own.running:
            continue
        load = _describe_load(state, name, told.floor if told else -1)
        if load != told:
            exchange.told[name] = load
            changed.append(load)
    return messages.RouterLoad(
        exchange.sequence,
        "",
        upstreams=tuple(changed),
        whole=False,
        prompts=prompts,
    )


def _describe_load(
    state: state_module.DirectState, name: str, floor: int
) -> messages.UpstreamLoad:
    own = state.table.by_name[name].own
    return messages.UpstreamLoad(
        name, own.running, own.unread, own.memory, floor
    )


def _list_routers(exchange: Exchange) -> tuple[messages.RouterAddress, ...]:
    """Lists the routers that are heard, for newcomers.

    Only one whole message in seven has them: one a second while requests run,
    one in seven seconds while nothing does.
    """
    every = round(IDLE_INTERVAL / INTERVAL)
    if exchange.whole_sent % every:
        return ()
    return tuple(
        messages.RouterAddress(name, peer.control)
        for name, peer in exchange.peers.items()
        if peer.incarnation
    )


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
    accounts.most = waiting.find_most(accounts, amounts)
    return messages.ServiceDemand(service, teams)
