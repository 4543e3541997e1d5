"""Messages about the origins of streams, between routers that send directly.

Streams are packed into bytes, 13 or 8 a stream: they are most of the messages.
"""

__all__ = [
    "MAX_KEEP_SECONDS",
    "MAX_PACKED_STREAMS",
    "OriginAnswer",
    "OriginQuery",
    "PackedOrigin",
    "StreamOrigins",
    "pack_keys",
    "pack_origins",
    "unpack_keys",
    "unpack_origins",
]

from collections.abc import Iterable, Iterator
import itertools
import struct
from typing import NamedTuple

import msgspec

from sycamorefall import errors
from sycamorefall.messages import loads

MAX_KEEP_SECONDS = 255
"""Largest number of seconds that a packed origin can hold."""

MAX_PACKED_STREAMS = 256
"""Maximum number of streams in a message."""

_ORIGIN = struct.Struct(">QIB")
_KEY = struct.Struct(">Q")


class PackedOrigin(NamedTuple):
    """The origin of a stream.

    Attributes:
        key: Key of the stream.
        origin: Origin of the stream; 0 if it is ambiguous.
        keep_seconds: Seconds for which the receiver keeps it.
    """

    key: int
    origin: int
    keep_seconds: int


class StreamOrigins(msgspec.Struct, frozen=True, array_like=True, tag="b"):
    """Origins of streams that the sender has begun or gone on with.

    An origin never changes, so repeated and reordered messages have no effect.
    If a message is lost, the receiver doesn't know the streams.

    Attributes:
        packed: The streams, from `pack_origins`.
        spread: Whether the receiver, a delegate of the sender's failure domain,
            is to tell another domain.
    """

    packed: bytes
    spread: bool = False


class OriginQuery(msgspec.Struct, frozen=True, array_like=True, tag="y"):
    """A query for the origins of streams that callers take up at a router.

    Delegates forward it to other failure domains and within their own. Answers
    go to the asker directly.

    Attributes:
        asker: The router that asks.
        packed: Keys of the streams, from `pack_keys`.
    """

    asker: loads.RouterAddress
    packed: bytes


class OriginAnswer(msgspec.Struct, frozen=True, array_like=True, tag="z"):
    """Answer to an `OriginQuery`; may be repeated, delayed or lost.

    Attributes:
        packed: The known streams, from `pack_origins`.
        unknown: Keys of the streams that the sender doesn't know, from
            `pack_keys`.
    """

    packed: bytes
    unknown: bytes = b""


def pack_origins(origins: Iterable[PackedOrigin]) -> bytes:
    """Packs origins of streams."""
    return b"".join(itertools.starmap(_ORIGIN.pack, origins))


def unpack_origins(packed: bytes) -> Iterator[PackedOrigin]:
    r"""Unpacks the result of `pack_origins`.

    Raises:
        errors.MessageRefused: The length doesn't fit, or there are too many.

    Example:
        >>> one = PackedOrigin(7, 3, 20)
        >>> list(unpack_origins(pack_origins([one]))) == [one]
        True
    """
    _check_length(packed, _ORIGIN.size)
    return map(PackedOrigin._make, _ORIGIN.iter_unpack(packed))


def pack_keys(keys: Iterable[int]) -> bytes:
    """Packs keys of streams."""
    return b"".join(map(_KEY.pack, keys))


def unpack_keys(packed: bytes) -> list[int]:
    """Unpacks the result of `pack_keys`.

    Raises:
        errors.MessageRefused: The length doesn't fit, or there are too many.

    Example:
        >>> unpack_keys(pack_keys([1, 2]))
        [1, 2]
    """
    _check_length(packed, _KEY.size)
    return [key for (key,) in _KEY.iter_unpack(packed)]


def _check_length(packed: bytes, size: int) -> None:
    if len(packed) % size or len(packed) > size * MAX_PACKED_STREAMS:
        raise errors.MessageRefused(f"{len(packed)} bytes of streams")
