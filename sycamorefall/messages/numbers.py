"""Types of the numbers in messages.

MessagePack has whole numbers of 64 bits and floats that are no number. A
receiver that adds up or compares such values, and tells the result, would pass
the fault of one sender on to all.
"""

__all__ = ["MAX_AMOUNT", "Amount", "Quantity", "Time"]

from typing import Annotated

import msgspec

MAX_AMOUNT = 1 << 53
"""Largest amount in a message. Floats hold it exactly, and the sum of a
thousand such amounts fits into the 64 bits of an encoded integer."""

Amount = Annotated[int, msgspec.Meta(ge=-MAX_AMOUNT, le=MAX_AMOUNT)]
"""A whole number with a bound."""

Quantity = Annotated[float, msgspec.Meta(ge=-MAX_AMOUNT, le=MAX_AMOUNT)]
"""A finite number with a bound."""

Time = Annotated[float, msgspec.Meta(le=MAX_AMOUNT)]
"""A time in seconds; minus infinity for one that never came."""
