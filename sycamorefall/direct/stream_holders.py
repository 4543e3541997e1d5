"""Chooses the routers that hold the origins of streams; no I/O."""

__all__ = [
    "choose_asked",
    "choose_holders",
    "list_local_routers",
    "list_own_delegates",
    "rank_routers",
]

from collections.abc import Iterable
import hashlib
import itertools

from sycamorefall.direct import exchange as exchange_module
from sycamorefall.direct import peers as peers_module
from sycamorefall.direct import state as state_module

HOLDERS = 2
"""Routers that are told of a stream at once. Callers can take it up as long as
one of them, or the router that began it, still runs."""

ASKED_HOLDERS = 3
"""Routers of the own failure domain that are asked for a stream, in the order
in which they are told. One more than are told, since two routers may know
different ones."""


def list_local_routers(
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


def list_own_delegates(
    exchange: exchange_module.Exchange,
    state: state_module.DirectState,
    now: float,
) -> list[str]:
    """Lists the delegates of this router's failure domain."""
    ranked = exchange_module.rank_routers(exchange, state, now)
    names = ranked.get(state.failure_domain, [])
    return names[: peers_module.DELEGATES_PER_DOMAIN]


def choose_holders(
    local: Iterable[str], remote: Iterable[str], key: int
) -> set[str]:
    """Chooses the holders of a stream.

    They are routers of this failure domain, and delegates of others if it has
    too few.
    """
    ranked = itertools.chain(
        rank_routers(local, key), rank_routers(remote, key)
    )
    return set(itertools.islice(ranked, HOLDERS))


def choose_asked(
    exchange: exchange_module.Exchange,
    state: state_module.DirectState,
    now: float,
    key: int,
) -> tuple[str, ...]:
    """Chooses the routers that are asked for a stream."""
    local = list_local_routers(exchange, state, now)
    asked = (
        *rank_routers(local, key)[:ASKED_HOLDERS],
        *list_own_delegates(exchange, state, now),
    )
    if exchange_module.is_delegate(exchange, state, now):
        asked += exchange_module.list_remote_delegates(exchange, state, now)
    found = tuple(name for name in dict.fromkeys(asked) if name != exchange.vm)
    return found or exchange_module.list_local_receivers(exchange, state)


def rank_routers(names: Iterable[str], key: int | str) -> tuple[str, ...]:
    """Ranks routers for a stream or a router by rendezvous hashing."""

    def compute_score(name: str) -> bytes:
        text = f"{key}:{name}".encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    return tuple(sorted(names, key=compute_score))
