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
    "handle_origins",
]

from collections.abc import Iterable
import dataclasses

from sycamorefall import messages
from sycamorefall.direct import exchange as exchange_module
from sycamorefall.direct import origin_packing, origin_queries, stream_holders
from sycamorefall.direct import state as state_module

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
    outbound = origin_queries.build_queries(exchange, state, now)
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
        delegates = stream_holders.list_own_delegates(exchange, state, now)
    spacing = SPREAD_SPACING * max(1, state.routers / max(1, len(delegates)))
    outbox.due = now + spacing
    limit = messages.MAX_PACKED_STREAMS
    if is_delegate:
        limit = min(limit, max(1, int(MAX_SPREAD_RATE * spacing)))
    # A backlog that can't be told in time isn't worth telling.
    backlog = list(outbox.keys)[-messages.MAX_PACKED_STREAMS :]
    keys, outbox.keys = backlog[:limit], dict.fromkeys(backlog[limit:])
    message = messages.StreamOrigins(
        origin_packing.pack_known(state, now, keys), spread=not is_delegate
    )
    receivers = stream_holders.rank_routers(delegates, exchange.vm)[:1]
    return exchange_module.OutboundMessage(receivers, message)


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
    local = stream_holders.list_local_routers(exchange, state, now)
    remote = exchange_module.list_remote_delegates(exchange, state, now)
    by_holder: dict[str, list[int]] = {}
    for key in untold:
        holders = stream_holders.choose_holders(local, remote, key)
        for holder in holders:
            by_holder.setdefault(holder, []).append(key)
        if not holders:
            _defer_stream(pending, now, key)
        if remote and holders.isdisjoint(remote):
            pending.spread_outbox.keys[key] = None
    return [
        _build_origins(state, now, batch, (holder,))
        for holder, keys in by_holder.items()
        for batch in origin_packing.split_keys(keys)
    ]


def _defer_stream(pending: OriginExchange, now: float, key: int) -> None:
    """Keeps a stream until other routers are known, if there is room."""
    if len(pending.unplaced.keys) < messages.MAX_PACKED_STREAMS:
        pending.unplaced.keys[key] = None
        pending.unplaced.due = now + UNPLACED_INTERVAL


def _build_origins(
    state: state_module.DirectState,
    now: float,
    keys: Iterable[int],
    receivers: tuple[str, ...],
) -> exchange_module.OutboundMessage:
    message = messages.StreamOrigins(
        origin_packing.pack_known(state, now, keys)
    )
    return exchange_module.OutboundMessage(receivers, message)


def handle_origins(
    pending: OriginExchange,
    exchange: exchange_module.Exchange,
    state: state_module.DirectState,
    now: float,
    envelope: messages.Envelope,
) -> list[int]:
    """Records the streams that another router tells of.

    Args:
        pending: Streams to be told; changed.
        exchange: The other routers as this one knows them.
        state: The router's state; changed.
        now: Current time of this process's clock.
        envelope: A `StreamOrigins` and its sender.

    Returns:
        Keys of the streams that requests wait for, which are to be dispatched.

    Raises:
        errors.MessageRefused: The message is malformed.
    """
    message: messages.StreamOrigins = envelope.message
    keys = origin_packing.record_packed(
        state, now, envelope.sender, message.packed
    )
    # A router that isn't a delegate, but that others take for one, would tell
    # one that may take it for one in turn, and so on.
    if message.spread and exchange_module.is_delegate(exchange, state, now):
        pending.spread_outbox.keys |= dict.fromkeys(keys)
    return [key for key in keys if key in state.origins.lookups]
