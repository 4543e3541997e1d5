"""The parts of the decisions that share sums between routers."""

__all__ = ["SUM_PARTS"]

from sycamorefall.direct import sum_parts

SUM_PARTS: tuple[sum_parts.SumPart, ...] = ()
"""All parts that share sums."""
