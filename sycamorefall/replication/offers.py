"""What two processes tell each other about their documents; no I/O."""

__all__ = [
    "BLOCKS_PATH",
    "OFFER_PATH",
    "BlockRequest",
    "Blocks",
    "Offer",
    "OfferRequest",
    "apply_offer",
    "collect_blocks",
    "create_block_request",
    "create_offer",
    "create_offer_request",
    "decode",
    "encode",
]

import itertools
from typing import TypeVar

import msgspec

from sycamorefall import configuration, errors
from sycamorefall.replication import replica

OFFER_PATH = "/v1/configuration"
"""Where a process tells its peers which documents it holds."""

BLOCKS_PATH = "/v1/configuration/blocks"
"""Where a process gives its peers blocks of its documents."""

Kind = configuration.DocumentKind


class OfferRequest(msgspec.Struct, frozen=True, array_like=True):
    """Heads of the documents that the asking process holds."""

    heads: tuple[configuration.DocumentHead, ...]


class Offer(msgspec.Struct, frozen=True, array_like=True):
    """What a process holds.

    Attributes:
        settled: Whether it is past its start.
        heads: Heads of all its documents.
        manifests: Manifests of those that are newer than the asker's.
    """

    settled: bool
    heads: tuple[configuration.DocumentHead, ...] = ()
    manifests: tuple[configuration.Manifest, ...] = ()


class BlockRequest(msgspec.Struct, frozen=True, array_like=True):
    """Names of blocks that are wanted."""

    names: tuple[str, ...]


class Blocks(msgspec.Struct, frozen=True, array_like=True):
    """Blocks that were asked for, as far as they are still held."""

    blocks: tuple[configuration.Block, ...]


Wire = TypeVar("Wire", OfferRequest, Offer, BlockRequest, Blocks)

encode = msgspec.msgpack.encode


def decode(data: bytes, kind: type[Wire]) -> Wire:
    """Decodes one of the messages of this module.

    Args:
        data: Bytes as received.
        kind: The message expected.

    Returns:
        The message.

    Raises:
        errors.MessageRefused: The bytes are something else.
    """
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as fault:
        raise errors.MessageRefused(str(fault)) from fault


def create_offer_request(state: replica.ReplicaState) -> OfferRequest:
    """Tells which documents this process holds."""
    return OfferRequest(replica.list_heads(state))


def create_offer(state: replica.ReplicaState, request: OfferRequest) -> Offer:
    """Answers a peer with what it lacks.

    A starting process offers nothing: what it read may be a stale platform's
    and is not known to be the highest.

    Args:
        state: The replica.
        request: What the peer holds.

    Returns:
        The offer.
    """
    if not state.settled:
        return Offer(settled=False)
    known = {head.kind: head.key for head in request.heads}
    manifests = (
        configuration.create_manifest(kind, document)
        for kind, document in replica.list_documents(state).items()
        if document.key > known.get(kind, (0, ""))
    )
    return Offer(True, replica.list_heads(state), tuple(manifests))


def collect_blocks(
    state: replica.ReplicaState, request: BlockRequest
) -> Blocks:
    """Gives the wanted blocks that this process holds."""
    held = {block.name: block for block in _list_blocks(state)}
    return Blocks(tuple(held[name] for name in request.names if name in held))


def _list_blocks(
    state: replica.ReplicaState,
) -> list[configuration.Block]:
    held = replica.list_documents(state).values()
    return list(itertools.chain.from_iterable(one.blocks for one in held))


def create_block_request(
    state: replica.ReplicaState, offer: Offer
) -> BlockRequest:
    """Finds the blocks of an offer that this process lacks."""
    held = _list_blocks(state)
    missing = (
        configuration.list_missing_blocks(manifest, held)
        for manifest in offer.manifests
    )
    names = dict.fromkeys(itertools.chain.from_iterable(missing))
    return BlockRequest(tuple(names))


def apply_offer(
    state: replica.ReplicaState, offer: Offer, fetched: Blocks
) -> tuple[list[replica.Event], bool]:
    """Takes an offer's documents.

    Args:
        state: The replica; changed.
        offer: A peer's offer.
        fetched: The blocks that were lacking.

    Returns:
        What changed, and whether all documents were whole.
    """
    held = [*_list_blocks(state), *fetched.blocks]
    events: list[replica.Event] = []
    is_whole = True
    for manifest in offer.manifests:
        document = configuration.assemble_document(manifest, held)
        if document is None:
            is_whole = False
            continue
        events += replica.apply_document(state, manifest.head.kind, document)
    events += replica.detect_conflict(state, offer.heads)
    return events, is_whole
