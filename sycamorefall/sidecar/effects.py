"""What a sidecar's decisions ask its shell to do, besides sending."""

__all__ = ["CancelRun"]

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class CancelRun:
    """Cancel a run at the upstream; nobody waits for its answer any more."""

    attempt_id: str
