"""Measures what a run costs while its answer passes by."""

__all__ = ["Meter", "meter_engine", "meter_plain"]

from collections.abc import Callable
import dataclasses
import re

import msgspec

from sycamorefall import configuration

BYTES_PER_TOKEN = 4
"""Rough size of a prompt token, until the engine reports the true count."""

RECENT_BYTES = 4096
"""How much of the answer's end is kept to find the usage record in it."""

_EVENT = b"data:"
_USAGE = re.compile(rb'"usage"\s*:\s*(\{[^{}]*\})')


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Meter:
    """Functions that turn an answer into cost units.

    Attributes:
        begin: Units known before the answer.
        feed: Units of a further piece of the answer.
        finish: Units still to be charged at the end, given the seconds the
            run took; never below 0.
    """

    begin: Callable[[], float]
    feed: Callable[[bytes], float]
    finish: Callable[[float], float]


def meter_plain() -> Meter:
    """Creates a meter for plain services: upstream milliseconds."""
    return Meter(
        begin=lambda: 0.0,
        feed=lambda _: 0.0,
        finish=lambda seconds: seconds * 1000.0,
    )


def meter_engine(service: configuration.Service, body_size: int) -> Meter:
    """Creates a meter for engines: weighted prompt and output tokens.

    Each event of a streamed answer counts as one output token as it passes;
    a usage record in the answer corrects the sum at the end.

    Args:
        service: The service with its weights.
        body_size: Size of the request body, for a guess at the prompt.

    Returns:
        The meter.

    Example:
        >>> kind = configuration.ServiceKind.ENGINE
        >>> meter = meter_engine(configuration.Service("m", kind), 40)
        >>> meter.begin(), meter.feed(b"data: {}")
        (10.0, 4.0)
    """
    charged = body_size / BYTES_PER_TOKEN * service.prompt_weight
    recent = b""

    def feed(data: bytes) -> float:
        nonlocal charged, recent
        overlap = recent[1 - len(_EVENT) :]
        units = (overlap + data).count(_EVENT) * service.output_weight
        recent = (recent + data)[-RECENT_BYTES:]
        charged += units
        return units

    def finish(_: float) -> float:
        usage = _find_usage(recent)
        if usage is None:
            return 0.0
        total = (
            usage.prompt_tokens * service.prompt_weight
            + usage.completion_tokens * service.output_weight
        )
        return max(0.0, total - charged)

    return Meter(begin=lambda: charged, feed=feed, finish=finish)


def _find_usage(data: bytes) -> _Usage | None:
    records = _USAGE.findall(data)
    if not records:
        return None
    try:
        return msgspec.json.decode(records[-1], type=_Usage)
    except msgspec.DecodeError:
        return None
