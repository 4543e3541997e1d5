"""What a router that is told to stop still takes, and for how long; no I/O.

A stopping router reports that it is not ready, and the balancer needs two such
answers, a second apart, to send callers elsewhere; a busy VM adds its own
lateness. Until no caller comes any more the router listens, and each request
gets an answer: what can still be served is, the rest is refused as not run.
"""

__all__ = [
    "Stop",
    "may_accept",
    "may_end_listening",
    "may_exit",
]

import dataclasses

TAKE_ALL = 2.6
"""Seconds after the signal for which every request is taken: the balancer's
two questions and their way. A long stream that is taken 3.2 s after it does
not end before the process is killed."""

SPARE = 0.5
"""Seconds that a request taken later must leave before the process is killed,
for its answer's way and a late loop."""

LINGER = 0.3
"""Seconds without a request after which no caller is taken to come any more,
and that a process stays after its last answer was sent. A busy VM gets a
request every few milliseconds."""

LISTEN_AT_MOST = 4.1
"""Seconds after the signal at which listening ends though callers still come:
the balancer has asked three times by then, or uses all VMs of a failure domain
in which few are ready, and refusing its callers only keeps this one down."""


@dataclasses.dataclass(slots=True)
class Stop:
    """A stop in progress.

    Attributes:
        grace: Seconds between the signal and the process's being killed.
        since: When the signal came; None before.
        quiet_since: Since when nothing is in progress, after listening ended.
    """

    grace: float
    since: float | None = None
    quiet_since: float | None = None


def may_accept(stop: Stop, now: float, answer_by: float) -> bool:
    """Tells whether a request may be taken: it must end before the process.

    Example:
        >>> stop = Stop(8.0, since=0.0)
        >>> may_accept(stop, 2.0, 14.0), may_accept(stop, 3.0, 15.0)
        (True, False)
        >>> may_accept(stop, 3.0, 5.5)
        True
    """
    if stop.since is None or now - stop.since < TAKE_ALL:
        return True
    return answer_by <= stop.since + stop.grace - SPARE


def may_end_listening(stop: Stop, now: float, asked_at: float) -> bool:
    """Tells whether callers have gone elsewhere.

    Args:
        stop: The stop.
        now: This process's time.
        asked_at: When the last request came.
    """
    since = now - stop.since
    if since < TAKE_ALL:
        return False
    return now - asked_at >= LINGER or since >= LISTEN_AT_MOST


def may_exit(stop: Stop, now: float, quiet: bool) -> bool:
    """Tells whether the process may end, once it no longer listens.

    Args:
        stop: The stop; changed.
        now: This process's time.
        quiet: Whether no request and no answer is under way.
    """
    if not quiet:
        stop.quiet_since = None
        return False
    if stop.quiet_since is None:
        stop.quiet_since = now
    return now - stop.quiet_since >= LINGER
