"""The parts of the decisions that share sums between routers."""

__all__ = ["SUM_PARTS"]

from sycamorefall.direct import sum_parts
from sycamorefall.direct.speed import exchange as speed_exchange

SUM_PARTS: tuple[sum_parts.SumPart, ...] = (speed_exchange.PART,)
"""All parts that share sums."""
