"""What upstreams tell of their own load in their responses."""

__all__ = ["ReportedLoad"]

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class ReportedLoad:
    """An upstream's own figures about its load, from the head of a response.

    Attributes:
        running: Requests that it runs.
        waiting: Requests that wait in its queue.
        slots: Requests that it runs at most.
        slowdown: Time that work takes there at this moment, relative to the
            usual time; None if it doesn't tell.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None
