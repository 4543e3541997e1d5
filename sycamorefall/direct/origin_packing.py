"""Packs the origins of streams for messages, and records those of others."""

__all__ = ["pack_known", "record_packed", "split_keys"]

from collections.abc import Iterable, Iterator
import math

from sycamorefall import messages
from sycamorefall.direct import state as state_module
from sycamorefall.direct import stream_origins


def pack_known(
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


def record_packed(
    state: state_module.DirectState, now: float, source: str, packed: bytes
) -> list[int]:
    """Records packed origins; returns their keys."""
    told = list(messages.unpack_origins(packed))
    for one in told:
        stream_origins.record_origin(
            state.origins, now, one.key, one.origin, one.keep_seconds, source
        )
    return [one.key for one in told]


def split_keys(keys: list[int]) -> Iterator[list[int]]:
    """Splits keys into as many as a message may hold."""
    size = messages.MAX_PACKED_STREAMS
    return (keys[start : start + size] for start in range(0, len(keys), size))
