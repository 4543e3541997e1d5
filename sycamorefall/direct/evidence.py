"""Evidence of what was present at crashes of upstreams."""

__all__ = [
    "MAX_SOURCES",
    "TRIED_ALONE",
    "TRIED_TOGETHER",
    "Crash",
    "Evidence",
    "Suspect",
    "list_uncleared",
]

from collections.abc import Set
import dataclasses
from typing import NamedTuple

TRIED_TOGETHER = 1
"""A trial of several parts ended with a crash, so one of them is harmful."""

TRIED_ALONE = 2
"""A trial of this part only ended with a crash."""

MAX_SOURCES = 2
"""Maximum number of requests kept for a part and a crash."""


class Crash(NamedTuple):
    """A crashed process of an upstream.

    Attributes:
        upstream: The upstream's name.
        start_time: When the process started; see `upstreams.UpstreamEntry`.
    """

    upstream: str
    start_time: int


class Evidence(NamedTuple):
    """The fact that a request, or a prompt's part, was present at a crash.

    Attributes:
        crash: The crash.
        fingerprint: Fingerprint of the request or part.
        cleared: Whether it has succeeded since.
        seen_at: Time of its last crash, or of a request's last arrival while
            quarantined.
        sources: For a part, digests of requests through which it was present.
        answered: For a part, whether an upstream has ever answered on it.
        tried: For a part, whether a trial of it ended with a crash: 0, or
            `TRIED_TOGETHER` or `TRIED_ALONE`.
    """

    crash: Crash
    fingerprint: bytes
    cleared: bool
    seen_at: float
    sources: frozenset[bytes] = frozenset()
    answered: bool = False
    tried: int = 0


@dataclasses.dataclass(slots=True)
class Suspect:
    """A request or a part of prompts that was present at one or more crashes.

    Attributes:
        crashes: Crashes at which it was present.
        sources: For a part, digests of requests through which it was present,
            by crash; at most `MAX_SOURCES` for each.
        cleared: The crashes after which it succeeded.
        seen_at: Time of its last crash, or of a request's last arrival while
            quarantined.
        quarantined: Whether it is refused.
        answered: For a part, whether an upstream has ever answered on it.
        tried: For a part, whether a trial of it ended with a crash: 0, or
            `TRIED_TOGETHER` or `TRIED_ALONE`.
    """

    crashes: set[Crash] = dataclasses.field(default_factory=set)
    sources: dict[Crash, frozenset[bytes]] = dataclasses.field(
        default_factory=dict
    )
    cleared: set[Crash] = dataclasses.field(default_factory=set)
    seen_at: float = float("-inf")
    quarantined: bool = False
    answered: bool = False
    tried: int = 0


def list_uncleared(suspect: Suspect) -> Set[Crash]:
    """Lists the crashes after which a suspect hasn't succeeded."""
    return suspect.crashes - suspect.cleared
