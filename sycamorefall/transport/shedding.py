"""Load shedding: refuses requests of an overloaded process unread; no I/O."""

__all__ = ["LoopPass", "Shedding", "record_time", "should_shed"]

import dataclasses

MAX_STEP_TIME = 0.05
"""Maximum seconds that one step of a pass counts: more than a garbage
collection takes, or any one request."""


@dataclasses.dataclass(slots=True, frozen=True)
class Shedding:
    """When requests are refused unread, and when their callers should retry.

    Guards against more requests than the process can serve. If the process read
    them one after the other, they would wait in the kernel for so long that
    each is too late when it is read, or its caller has left, and all work would
    be useless. Requests that are refused unread go to another process, and the
    remaining ones are served soon.

    Attributes:
        max_pass_time: Seconds that a pass of the loop may take; new requests
            that are read later in the pass are refused.
        retry_after: Seconds after which callers of refused requests should
            retry.
    """

    max_pass_time: float
    retry_after: float


@dataclasses.dataclass(slots=True)
class LoopPass:
    """The current pass of the event loop.

    Attributes:
        last_input_at: Time at which input of the pass was last handled; None
            before.
        elapsed: Seconds that the pass took until then, of each step at most
            `MAX_STEP_TIME`.
        hung_up_count: Number of new requests in the pass whose callers had
            left.
    """

    last_input_at: float | None = None
    elapsed: float = 0.0
    hung_up_count: int = 0


def record_time(loop_pass: LoopPass, now: float) -> None:
    """Records that input is handled now.

    A very long step means that the VM was frozen, which is no overload: the
    requests that arrived meanwhile are served as soon as possible.
    """
    if loop_pass.last_input_at is not None:
        loop_pass.elapsed += min(now - loop_pass.last_input_at, MAX_STEP_TIME)
    loop_pass.last_input_at = now


def should_shed(shedding: Shedding | None, loop_pass: LoopPass) -> bool:
    """Returns whether a pass has taken too long to serve new requests.

    Example:
        >>> shedding = Shedding(max_pass_time=0.1, retry_after=0.2)
        >>> loop_pass = LoopPass()
        >>> for hundredth in (0, 3, 6, 9):
        ...     record_time(loop_pass, hundredth / 100)
        >>> should_shed(shedding, loop_pass)
        False
        >>> record_time(loop_pass, 0.12)
        >>> should_shed(shedding, loop_pass)
        True
    """
    return shedding is not None and loop_pass.elapsed > shedding.max_pass_time
