"""Messages by which a process fetches newer documents from a peer; no I/O.

The process sends the heads of its documents (`OfferRequest`). The peer answers
with the manifests of its newer documents (`Offer`). The process then requests
the blocks that it lacks (`BlockRequest`, answered by `Blocks`).
"""

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
"""Path at which a process answers an `OfferRequest`."""

BLOCKS_PATH = "/v1/configuration/blocks"
"""Path at which a process answers a `BlockRequest`."""

Kind = configuration.DocumentKind


class OfferRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks a peer for its newer documents.

    Attributes:
        heads: Heads of the documents that the requesting process holds.
    """

    heads: tuple[configuration.DocumentHead, ...]


class Offer(msgspec.Struct, frozen=True, array_like=True):
    """Documents that a process holds and a peer may fetch.

    Attributes:
        settled: Whether the offering process is settled.
        heads: Heads of all documents of the offering process.
        manifests: Manifests of the documents that are newer than those of the
            requesting process.
    """

    settled: bool
    heads: tuple[configuration.DocumentHead, ...] = ()
    manifests: tuple[configuration.Manifest, ...] = ()


class BlockRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks a peer for blocks of its documents.

    Attributes:
        names: Names of the blocks.
    """

    names: tuple[str, ...]


class Blocks(msgspec.Struct, frozen=True, array_like=True):
    """Answer to a `BlockRequest`.

    Attributes:
        blocks: Those of the requested blocks that the process still holds.
    """

    blocks: tuple[configuration.Block, ...]


Wire = TypeVar("Wire", OfferRequest, Offer, BlockRequest, Blocks)

encode = msgspec.msgpack.encode


def decode(data: bytes, kind: type[Wire]) -> Wire:
    """Decodes one of the messages of this module.

    Args:
        data: The received bytes.
        kind: Class of the expected message.

    Returns:
        The message.

    Raises:
        errors.MessageRefused: The bytes are not such a message.
    """
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise errors.MessageRefused(str(error)) from error


def create_offer_request(state: replica.ReplicaState) -> OfferRequest:
    """Creates a request that holds the heads of this process's documents."""
    return OfferRequest(replica.list_heads(state))


def create_offer(state: replica.ReplicaState, request: OfferRequest) -> Offer:
    """Creates the offer that answers a peer's request.

    A starting process offers nothing. It may have read its documents from a
    stale platform, and doesn't know whether they are the newest.

    Args:
        state: The replica.
        request: Request with the heads of the peer's documents.

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
    """Collects the requested blocks that this process holds."""
    held = {block.name: block for block in _list_blocks(state)}
    return Blocks(tuple(held[name] for name in request.names if name in held))


def _list_blocks(
    state: replica.ReplicaState,
) -> list[configuration.Block]:
    documents = replica.list_documents(state).values()
    return list(
        itertools.chain.from_iterable(document.blocks for document in documents)
    )


def create_block_request(
    state: replica.ReplicaState, offer: Offer
) -> BlockRequest:
    """Creates a request for the blocks of an offer that this process lacks."""
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
    """Assembles the documents of an offer and applies them.

    Args:
        state: The replica; changed.
        offer: A peer's offer.
        fetched: Blocks of the offer that this process lacked.

    Returns:
        The changes, and whether all documents could be assembled.
    """
    held = [*_list_blocks(state), *fetched.blocks]
    events: list[replica.Event] = []
    is_complete = True
    for manifest in offer.manifests:
        document = configuration.assemble_document(manifest, held)
        if document is None:
            is_complete = False
            continue
        events += replica.apply_document(state, manifest.head.kind, document)
    events += replica.detect_conflict(state, offer.heads)
    return events, is_complete
