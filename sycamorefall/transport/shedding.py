"""Which requests a busy process refuses unread; free of I/O."""

__all__ = ["Shedding", "Turn", "is_behind"]

import dataclasses


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
        began: When the first input of it was handled; None before.
        left: New requests in it whose callers had left.
    """

    began: float | None = None
    left: int = 0


def is_behind(shedding: Shedding | None, turn: Turn, now: float) -> bool:
    """Tells whether a turn of the loop takes too long to serve new requests.

    Example:
        >>> shedding, turn = Shedding(after=0.1, pause=0.2), Turn(began=5.0)
        >>> is_behind(shedding, turn, 5.05), is_behind(shedding, turn, 5.15)
        (False, True)
    """
    if shedding is None or turn.began is None:
        return False
    return now - turn.began > shedding.after
