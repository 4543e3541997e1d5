"""How many requests a sidecar lets into its upstream at once."""

__all__ = ["ConcurrencyLimit", "count_room", "note_load"]

import dataclasses


@dataclasses.dataclass(slots=True)
class ConcurrencyLimit:
    """The limit at one upstream.

    Attributes:
        cap: Most requests in progress, by the configuration.
        ahead: Claims made before a slot comes free, to hide the time that a
            claim takes.
        foreign: Requests at the upstream that this process did not start, by
            the upstream's last load report.
    """

    cap: int = 1
    ahead: int = 1
    foreign: int = 0


def note_load(limit: ConcurrencyLimit, reported: int, running: int) -> None:
    """Takes over a load report of the upstream.

    Guards against a restart of the sidecar: what its predecessor started may
    still run at the upstream, which a fresh count of zero would overload.

    Args:
        limit: The limit; changed.
        reported: Requests in progress and queued, by the upstream's report.
        running: Requests that this process has in progress there.
    """
    limit.foreign = max(0, reported - running)


def count_room(limit: ConcurrencyLimit, running: int, claimed: int) -> int:
    """Counts further claims that may be made now.

    Args:
        limit: The limit.
        running: Requests in progress.
        claimed: Claims whose request has not come yet.

    Returns:
        Number of claims, not negative.
    """
    free = limit.cap - limit.foreign - running
    return max(0, free + limit.ahead - claimed)
