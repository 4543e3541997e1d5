"""Which requests a busy process refuses unread; free of I/O."""

__all__ = ["Shedding", "Turn", "is_behind", "note_time"]

import dataclasses

LONGEST_STEP = 0.05
"""Seconds that one step of a turn counts at most: more than a collection of
garbage takes, or any one request."""


@dataclasses.dataclass(slots=True, frozen=True)
class Shedding:
    """When requests are refused unread, and what their callers are told.

    Guards against a crowd that is more than the process can serve. Read one
    after the other, its requests wait in the kernel for so long that each is
    too late when its turn comes, or its caller has left, and the process works
    for nobody. Refused unread they go to another process, and what is served is
    served soon.

    Attributes:
        after: Seconds that a turn of the loop may take; requests that come to
            their turn later in it are refused.
        pause: Seconds after which their callers are to come back.
    """

    after: float
    pause: float


@dataclasses.dataclass(slots=True)
class Turn:
    """The present turn of the loop.

    Attributes:
        seen_at: When input of it was last handled; None before.
        spent: Seconds that it took until then.
        left: New requests in it whose callers had left.
    """

    seen_at: float | None = None
    spent: float = 0.0
    left: int = 0


def note_time(turn: Turn, now: float) -> None:
    """Takes note that input is handled now.

    One step that took very long stands for a VM that was frozen, which is no
    crowd: what lies behind it is served as soon as ever.
    """
    if turn.seen_at is not None:
        turn.spent += min(now - turn.seen_at, LONGEST_STEP)
    turn.seen_at = now


def is_behind(shedding: Shedding | None, turn: Turn) -> bool:
    """Tells whether a turn of the loop takes too long to serve new requests.

    Example:
        >>> shedding, turn = Shedding(after=0.1, pause=0.2), Turn()
        >>> for hundredth in (0, 3, 6, 9):
        ...     note_time(turn, hundredth / 100)
        >>> is_behind(shedding, turn)
        False
        >>> note_time(turn, 0.12)
        >>> is_behind(shedding, turn)
        True
    """
    return shedding is not None and turn.spent > shedding.after
