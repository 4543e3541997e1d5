"""Queries for the origins of streams that callers take up; no I/O.

A router that doesn't know a stream asks its holders and its delegates. The
delegates that don't know it either forward the query to those of the other
failure domains, and these to the holders there. Answers go to the asker
directly.
"""

__all__ = ["build_queries", "handle_answer", "handle_query"]

from collections.abc import Callable, Iterable

from sycamorefall import messages
from sycamorefall.direct import exchange as exchange_module
from sycamorefall.direct import (
    origin_packing,
    stream_holders,
    stream_origins,
)
from sycamorefall.direct import state as state_module


def build_queries(
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
        asked = stream_holders.choose_asked(exchange, state, now, key)
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
        for batch in origin_packing.split_keys(keys)
    ]


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
    is_last = not forwards or asker in stream_holders.list_own_delegates(
        exchange, state, now
    )
    denied = unknown if is_last and envelope.sender == asker else []
    packed = origin_packing.pack_known(state, now, keys)
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
    delegates = stream_holders.list_own_delegates(exchange, state, now)
    local = [
        name
        for name in stream_holders.list_local_routers(exchange, state, now)
        if name not in delegates
    ]
    asked = stream_holders.ASKED_HOLDERS
    return lambda key: stream_holders.rank_routers(local, key)[:asked]


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
    ended = origin_packing.record_packed(
        state, now, envelope.sender, answer.packed
    )
    for key in unknown:
        lookup = state.origins.lookups.get(key)
        if lookup is None or lookup.pending is None:
            continue
        lookup.pending.discard(envelope.sender)
        if not lookup.pending:
            ended.append(key)
    return [key for key in ended if key in state.origins.lookups]
