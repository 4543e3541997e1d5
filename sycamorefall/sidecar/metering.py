"""Meters the cost of a run while its response is forwarded."""

__all__ = ["Meter", "create_engine_meter", "create_plain_meter"]

from collections.abc import Callable
import dataclasses
import re

import msgspec

from sycamorefall import configuration

BYTES_PER_TOKEN = 4
"""Estimated size of a prompt token in bytes, for as long as the engine has not
reported the number of tokens."""

TAIL_BYTES = 4096
"""Bytes at the end of the response that are kept to find the usage record
in."""

_EVENT_PREFIX = b"data:"
_USAGE_PATTERN = re.compile(rb'"usage"\s*:\s*(\{[^{}]*\})')


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Meter:
    """Functions that compute the cost units of a run.

    Attributes:
        begin: Returns the units that are known before the response.
        feed: Returns the units of a further part of the response.
        finish: Returns the units that remain to be charged at the end, given
            the duration of the run in seconds; never negative.
    """

    begin: Callable[[], float]
    feed: Callable[[bytes], float]
    finish: Callable[[float], float]


def create_plain_meter() -> Meter:
    """Creates a meter for plain services: one unit per upstream millisecond."""
    return Meter(
        begin=lambda: 0.0,
        feed=lambda _: 0.0,
        finish=lambda seconds: seconds * 1000.0,
    )


def create_engine_meter(
    service: configuration.Service, body_size: int
) -> Meter:
    """Creates a meter for engines: weighted prompt and output tokens.

    Each event of a streamed response counts as one output token. At the end, a
    usage record in the response raises the sum if it was too low.

    Args:
        service: The service, with its weights.
        body_size: Size of the request body in bytes, from which the prompt's
            tokens are estimated.

    Returns:
        The meter.

    Example:
        >>> kind = configuration.ServiceKind.ENGINE
        >>> meter = create_engine_meter(configuration.Service("m", kind), 40)
        >>> meter.begin(), meter.feed(b"data: {}")
        (10.0, 4.0)
    """
    charged = body_size / BYTES_PER_TOKEN * service.prompt_weight
    tail = b""

    def feed(data: bytes) -> float:
        nonlocal charged, tail
        overlap = tail[1 - len(_EVENT_PREFIX) :]
        units = (overlap + data).count(_EVENT_PREFIX) * service.output_weight
        tail = (tail + data)[-TAIL_BYTES:]
        charged += units
        return units

    def finish(_: float) -> float:
        usage = _parse_usage(tail)
        if usage is None:
            return 0.0
        total = (
            usage.prompt_tokens * service.prompt_weight
            + usage.completion_tokens * service.output_weight
        )
        return max(0.0, total - charged)

    return Meter(begin=lambda: charged, feed=feed, finish=finish)


def _parse_usage(data: bytes) -> _Usage | None:
    records = _USAGE_PATTERN.findall(data)
    if not records:
        return None
    try:
        return msgspec.json.decode(records[-1], type=_Usage)
    except msgspec.DecodeError:
        return None
