"""Exchange of streams' origins between routers; decisions only, no I/O.

A router that forwards the first event of a stream tells a few others the
stream's origin before the event leaves: the stream's holders. All routers of a
failure domain rank each other alike for a stream, by a hash of its key, so a
router at which the stream is taken up knows whom to ask, also if the router
that began it was killed.

A caller may come back in another failure domain, or its whole domain may fail.
So a router also tells a delegate of its domain, in batches, and the delegate
tells one of another domain. A router asks its delegates too. They forward the
query to those of the other domains, and these to the holders in theirs.
"""

__all__ = [
    "OriginExchange",
    "build_due_messages",
    "find_next_due",
    "handle_answer",
    "handle_origins",
    "handle_query",
]

from collections.abc import Callable, Iterable, Iterator
import dataclasses
import hashlib
import itertools
import math

from sycamorefall import messages
from sycamorefall.direct import exchange as exchange_module
from sycamorefall.direct import peers as peers_module
from sycamorefall.direct import state as state_module
from sycamorefall.direct import stream_origins

HOLDERS = 2
"""Routers that are told of a stream at once. Callers can take it up as long as
one of them, or the router that began it, still runs."""

ASKED_HOLDERS = 3
"""Routers of the own failure domain that are asked for a stream, in the order
in which they are told. One more than are told, since two routers may know
different ones."""

SPREAD_SPACING = 0.05
"""Seconds between two messages to a delegate, multiplied by the number of
routers for each delegate. A delegate receives about 20 such messages a second,
however many routers there are."""

MAX_SPREAD_RATE = 110.0
"""Maximum number of streams a second that a delegate tells another failure
domain, 1.4 KB/s. What is beyond is known in its own domain only."""

UNPLACED_INTERVAL = 0.2
"""Seconds until a router that knows no others looks for holders again."""


@dataclasses.dataclass(slots=True)
class _Outbox:
    """Streams that others have yet to be told of.

    Attributes:
        keys: Keys of the streams.
        due: Earliest time of the next message.
    """

    keys: dict[int, None] = dataclasses.field(default_factory=dict)
    due: float = float("-inf")


@dataclasses.dataclass(slots=True)
class OriginExchange:
    """Streams that a router tells others later than at once.

    Attributes:
        spread_outbox: Streams for another failure domain.
        unplaced: Streams that were begun while no other router was known.
    """

    spread_outbox: _Outbox = dataclasses.field(default_factory=_Outbox)
    unplaced: _Outbox = dataclasses.field(default_factory=_Outbox)


def find_next_due(
    pending: OriginExchange, state: state_module.DirectState
) -> float:
    """Returns when the next message is due; infinity if none is."""
    if state.origins.untold or state.origins.unasked:
        return float("-inf")
    outboxes = (pending.spread_outbox, pending.unplaced)
    return min((one.due for one in outboxes if one.keys), default=float("inf"))


def build_due_messages(
    pending: OriginExchange,
    exchange: exchange_module.Exchange,
    state: state_module.DirectState,
    now: float,
) -> list[exchange_module.OutboundMessage]:
    """Builds the messages that are due.

    Args:
        pending: Streams to be told; changed.
        exchange: The other routers as this one knows them.
        state: The router's state; changed.
        now: Current time of this process's clock.

    Returns:
        The messages with their receivers.
    """
    outbound = _build_queries(exchange, state, now)
    outbound += _place_streams(pending, exchange, state, now)
    if pending.spread_outbox.keys and now >= pending.spread_outbox.due:
        outbound.append(
            _build_spread(pending.spread_outbox, exchange, state, now)
        )
    return [one for one in outbound if one.receivers]


def _build_spread(
    outbox: _Outbox,
    exchange: exchange_module.Exchange,
    state: state_module.DirectState,
    now: float,
) -> exchange_module.OutboundMessage:
    """Builds the next message with streams for another failure domain."""
    delegates = exchange_module.list_remote_delegates(exchange, state, now)
    is_delegate = exchange_module.is_delegate(exchange, state, now)
    if not is_delegate:
        delegates = _list_own_delegates(exchange, state, now)
    spacing = SPREAD_SPACING * max(1, state.routers / max(1, len(delegates)))
    outbox.due = now + spacing
    limit = messages.MAX_PACKED_STREAMS
    if is_delegate:
        limit = min(limit, max(1, int(MAX_SPREAD_RATE * spacing)))
    # A backlog that can't be told in time isn't worth telling.
    backlog = list(outbox.keys)[-messages.MAX_PACKED_STREAMS :]
    keys, outbox.keys = backlog[:limit], dict.fromkeys(backlog[limit:])
    message = messages.StreamOrigins(
        _pack_origins(state, now, keys), spread=not is_delegate
    )
    receivers = _rank_routers(delegates, exchange.vm)[:1]
    return exchange_module.OutboundMessage(receivers, message)


def _list_own_delegates(
    exchange: exchange_module.Exchange,
    state: state_module.DirectState,
    now: float,
) -> list[str]:
    """Lists the delegates of this router's failure domain."""
    ranked = exchange_module.rank_routers(exchange, state, now)
    names = ranked.get(state.failure_domain, [])
    return names[: peers_module.DELEGATES_PER_DOMAIN]


def _place_streams(
    pending: OriginExchange,
    exchange: exchange_module.Exchange,
    state: state_module.DirectState,
    now: float,
) -> list[exchange_module.OutboundMessage]:
    """Tells the holders of streams that others have yet to be told of.

    Streams that begin in the same turn of the loop share a message.
    """
    untold, state.origins.untold = state.origins.untold, []
    if pending.unplaced.keys and now >= pending.unplaced.due:
        untold += pending.unplaced.keys
        pending.unplaced.keys.clear()
    if not untold:
        return []
    local = _list_local_routers(exchange, state, now)
    remote = exchange_module.list_remote_delegates(exchange, state, now)
    by_holder: dict[str, list[int]] = {}
    for key in untold:
        holders = _choose_holders(local, remote, key)
        for holder in holders:
            by_holder.setdefault(holder, []).append(key)
        if not holders:
            _defer_stream(pending, now, key)
        if remote and holders.isdisjoint(remote):
            pending.spread_outbox.keys[key] = None
    return [
        _build_origins(state, now, batch, (holder,))
        for holder, keys in by_holder.items()
        for batch in _split_keys(keys)
    ]


def _defer_stream(pending: OriginExchange, now: float, key: int) -> None:
    """Keeps a stream until other routers are known, if there is room."""
    if len(pending.unplaced.keys) < messages.MAX_PACKED_STREAMS:
        pending.unplaced.keys[key] = None
        pending.unplaced.due = now + UNPLACED_INTERVAL


def _list_local_routers(
    exchange: exchange_module.Exchange,
    state: state_module.DirectState,
    now: float,
) -> list[str]:
    """Lists the other live routers of this failure domain."""
    return [
        name
        for name, peer in exchange.peers.items()
        if peer.failure_domain in ("", state.failure_domain)
        and peers_module.is_live(peer, now)
    ]


def _choose_holders(
    local: Iterable[str], remote: Iterable[str], key: int
) -> set[str]:
    """Chooses the holders of a stream.

    They are routers of this failure domain, and delegates of others if it has
    too few.
    """
    ranked = itertools.chain(
        _rank_routers(local, key), _rank_routers(remote, key)
    )
    return set(itertools.islice(ranked, HOLDERS))


def _rank_routers(names: Iterable[str], key: int | str) -> tuple[str, ...]:
    """Ranks routers for a stream or a router by rendezvous hashing."""

    def compute_score(name: str) -> bytes:
        text = f"{key}:{name}".encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    return tuple(sorted(names, key=compute_score))


def _build_origins(
    state: state_module.DirectState,
    now: float,
    keys: Iterable[int],
    receivers: tuple[str, ...],
) -> exchange_module.OutboundMessage:
    message = messages.StreamOrigins(_pack_origins(state, now, keys))
    return exchange_module.OutboundMessage(receivers, message)


def _pack_origins(
    state: state_module.DirectState, now: float, keys: Iterable[int]
) -> bytes:
    """Packs what is known of streams; unknown ones are left out."""
    found = (
        (key, stream_origins.find_origin(state.origins, now, key))
        for key in keys
    )
    return messages.pack_origins(
        messages.PackedOrigin(
            key,
            known.origin,
            min(math.ceil(known.expires_at - now), messages.MAX_KEEP_SECONDS),
        )
        for key, known in found
        if known is not None
    )


def _build_queries(
    exchange: exchange_module.Exchange,
    state: state_module.DirectState,
    now: float,
) -> list[exchange_module.OutboundMessage]:
    """Builds the queries for streams whose origins were not asked for yet."""
    unasked, state.origins.unasked = state.origins.unasked, []
    by_router: dict[str, list[int]] = {}
    for key in unasked:
        lookup = state.origins.lookups.get(key)
        if lookup is None:
            continue
        asked = _choose_asked(exchange, state, now, key)
        lookup.pending = set(asked)
        if not asked:
            lookup.due = now
        for name in asked:
            by_router.setdefault(name, []).append(key)
    own = messages.RouterAddress(
        exchange.vm, exchange.control, state.failure_domain
    )
    return [
        exchange_module.OutboundMessage(
            (name,), messages.OriginQuery(own, messages.pack_keys(batch))
        )
        for name, keys in by_router.items()
        for batch in _split_keys(keys)
    ]


def _split_keys(keys: list[int]) -> Iterator[list[int]]:
    """Splits keys into as many as a message may hold."""
    size = messages.MAX_PACKED_STREAMS
    return (keys[start : start + size] for start in range(0, len(keys), size))


def _choose_asked(
    exchange: exchange_module.Exchange,
    state: state_module.DirectState,
    now: float,
    key: int,
) -> tuple[str, ...]:
    """Chooses the routers that are asked for a stream."""
    local = _list_local_routers(exchange, state, now)
    asked = (
        *_rank_routers(local, key)[:ASKED_HOLDERS],
        *_list_own_delegates(exchange, state, now),
    )
    if exchange_module.is_delegate(exchange, state, now):
        asked += exchange_module.list_remote_delegates(exchange, state, now)
    found = tuple(name for name in dict.fromkeys(asked) if name != exchange.vm)
    return found or exchange_module.list_local_receivers(exchange, state)


def handle_origins(
    pending: OriginExchange,
    state: state_module.DirectState,
    now: float,
    envelope: messages.Envelope,
) -> list[int]:
    """Records the streams that another router tells of.

    Args:
        pending: Streams to be told; changed.
        state: The router's state; changed.
        now: Current time of this process's clock.
        envelope: A `StreamOrigins` and its sender.

    Returns:
        Keys of the streams that requests wait for, which are to be dispatched.

    Raises:
        errors.MessageRefused: The message is malformed.
    """
    message: messages.StreamOrigins = envelope.message
    keys = _record_origins(state, now, envelope.sender, message.packed)
    if message.spread:
        pending.spread_outbox.keys |= dict.fromkeys(keys)
    return [key for key in keys if key in state.origins.lookups]


def _record_origins(
    state: state_module.DirectState, now: float, source: str, packed: bytes
) -> list[int]:
    """Records packed origins; returns their keys."""
    told = list(messages.unpack_origins(packed))
    for one in told:
        stream_origins.record_origin(
            state.origins, now, one.key, one.origin, one.keep_seconds, source
        )
    return [one.key for one in told]


def handle_query(
    exchange: exchange_module.Exchange,
    state: state_module.DirectState,
    now: float,
    envelope: messages.Envelope,
) -> list[exchange_module.OutboundMessage]:
    """Answers or forwards a query.

    Args:
        exchange: The other routers as this one knows them; changed.
        state: The router's state.
        now: Current time of this process's clock.
        envelope: An `OriginQuery` and its sender.

    Returns:
        The messages with their receivers.

    Raises:
        errors.MessageRefused: The message is malformed.
    """
    query: messages.OriginQuery = envelope.message
    asker = query.asker.vm
    if asker == exchange.vm:
        return []
    keys = messages.unpack_keys(query.packed)
    exchange_module.record_known_routers(exchange, now, (query.asker,))
    unknown = [
        key
        for key in keys
        if stream_origins.find_origin(state.origins, now, key) is None
    ]
    receivers = _choose_forwarded(exchange, state, now, envelope)
    forwards = [
        exchange_module.OutboundMessage(
            (name,),
            messages.OriginQuery(query.asker, messages.pack_keys(batch)),
        )
        for name, batch in _group_by_router(receivers, unknown).items()
    ]
    # Routers that get the query from this one may still know the streams. A
    # delegate asks those of other domains itself.
    is_last = not forwards or asker in _list_own_delegates(exchange, state, now)
    denied = unknown if is_last and envelope.sender == asker else []
    packed = _pack_origins(state, now, keys)
    if packed or denied:
        answer = messages.OriginAnswer(packed, messages.pack_keys(denied))
        forwards.append(exchange_module.OutboundMessage((asker,), answer))
    return forwards


def _choose_forwarded(
    exchange: exchange_module.Exchange,
    state: state_module.DirectState,
    now: float,
    envelope: messages.Envelope,
) -> Callable[[int], Iterable[str]]:
    """Returns a function that chooses to whom a stream's query is forwarded."""
    asker = envelope.message.asker
    is_local = (
        exchange_module.classify_domain(exchange, state, envelope.sender)
        == "own"
    )
    if asker.failure_domain == state.failure_domain:
        is_delegate = exchange_module.is_delegate(exchange, state, now)
        remote = exchange_module.list_remote_delegates(exchange, state, now)
        return lambda _: remote if is_local and is_delegate else ()
    if is_local:
        return lambda _: ()
    # The delegates get the query from the sender.
    delegates = _list_own_delegates(exchange, state, now)
    local = [
        name
        for name in _list_local_routers(exchange, state, now)
        if name not in delegates
    ]
    return lambda key: _rank_routers(local, key)[:ASKED_HOLDERS]


def _group_by_router(
    choose_routers: Callable[[int], Iterable[str]], keys: Iterable[int]
) -> dict[str, list[int]]:
    """Groups keys by the routers that are chosen for them."""
    by_router: dict[str, list[int]] = {}
    for key in keys:
        for name in choose_routers(key):
            by_router.setdefault(name, []).append(key)
    return by_router


def handle_answer(
    state: state_module.DirectState, now: float, envelope: messages.Envelope
) -> list[int]:
    """Applies an answer to this router's queries.

    Args:
        state: The router's state; changed.
        now: Current time of this process's clock.
        envelope: An `OriginAnswer` and its sender.

    Returns:
        Keys of the streams of which all is known that can be; the requests
        that wait for them are to be dispatched or refused.

    Raises:
        errors.MessageRefused: The message is malformed.
    """
    answer: messages.OriginAnswer = envelope.message
    unknown = messages.unpack_keys(answer.unknown)
    ended = _record_origins(state, now, envelope.sender, answer.packed)
    for key in unknown:
        lookup = state.origins.lookups.get(key)
        if lookup is None or lookup.pending is None:
            continue
        lookup.pending.discard(envelope.sender)
        if not lookup.pending:
            ended.append(key)
    return [key for key in ended if key in state.origins.lookups]
