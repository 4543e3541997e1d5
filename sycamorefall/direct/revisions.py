"""Revisions that increase over all eras of the platform.

The platform numbers its changes, and goes back to a lower number when it is
restored from a copy. Its era rises each time. A revision combines both in one
integer, so that each state of the platform has a higher revision than all
states before it. All comparisons, and all messages between routers, use
revisions.
"""

__all__ = [
    "MAX_ERA",
    "MAX_NUMBER",
    "combine",
    "get_era",
    "get_number",
]

_NUMBER_BITS = 40

MAX_NUMBER = (1 << _NUMBER_BITS) - 1
"""Maximum number of a change: enough for 30,000 changes a second for a year."""

MAX_ERA = (1 << 22) - 1
"""Maximum era. Revisions fit into the 64 bits of an encoded integer."""


def combine(era: int, number: int) -> int:
    """Combines an era and the number of a change in it.

    Args:
        era: The platform's era, up to `MAX_ERA`; 0 if it states none.
        number: The platform's number of the change, up to `MAX_NUMBER`.

    Example:
        >>> combine(1, 101) < combine(2, 88) < combine(2, 89)
        True
    """
    return era << _NUMBER_BITS | number


def get_era(revision: int) -> int:
    """Returns the era of a revision.

    Example:
        >>> get_era(combine(3, 88))
        3
    """
    return revision >> _NUMBER_BITS


def get_number(revision: int) -> int:
    """Returns the platform's number of a change, without its era.

    Example:
        >>> get_number(combine(3, 88))
        88
    """
    return revision & MAX_NUMBER
