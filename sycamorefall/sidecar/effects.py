"""Effects of a sidecar's decision logic, besides control messages."""

__all__ = ["CancelRun"]

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class CancelRun:
    """Cancel a run at the upstream: nobody waits for its response any more."""

    attempt_id: str
