"""Rules for the graceful stop of a router; no I/O.

A stopping router reports that it is not ready. The balancer needs two such
responses, one second apart, to send callers to other routers, and a busy VM
responds late. The router listens until no more callers come, and answers each
request: it serves those that can still complete and refuses the others as not
run.

A process that wasn't scheduled handles the signal later than it came. The kill
counts from the signal, and the balancer's checks fail only from its handling
on. So what must be over before the kill counts from the earliest time at which
the signal may have come, and what waits for the balancer from its handling.
"""

__all__ = [
    "Stop",
    "may_accept",
    "may_end_listening",
    "may_exit",
    "may_reset_callers",
    "must_answer",
]

import dataclasses
import math

ACCEPT_ALL_PERIOD = 2.6
"""Seconds after the signal during which every request is accepted, and at least
during which the router listens: the time of the balancer's two readiness checks
and their round trips. A long stream that is accepted 3.2 s after the signal
doesn't end before the process is killed."""

KILL_MARGIN = 0.5
"""Minimum seconds between the deadline of a request that is accepted after
`ACCEPT_ALL_PERIOD` and the kill of the process, for sending the response and a
late event loop."""

LAST_ANSWER_MARGIN = 0.25
"""Seconds before the kill of the process at which requests without an answer
get an error: time for a late event loop and for sending the errors."""

QUIET_PERIOD = 0.3
"""Seconds without a request after which the router stops listening, and seconds
that the process stays after it sent its last response. A busy VM receives a
request every few milliseconds."""

MAX_LISTEN_PERIOD = 4.1
"""Seconds for which a stopping process listens at most if callers still come.
By then the balancer has checked readiness three times. If it still sends
callers, it uses all VMs of a failure domain in which few are ready, and staying
up to refuse those callers would only delay this router's restart."""


@dataclasses.dataclass(slots=True)
class Stop:
    """Progress of a graceful stop.

    Attributes:
        grace: Seconds between the signal and the kill of the process.
        since: Time at which the signal was handled; None before it.
        sent_after: Time after which the signal came.
        quiet_since: Time since which no request or response is in progress,
            once listening has ended; None while one is.
    """

    grace: float
    since: float | None = None
    sent_after: float = math.inf
    quiet_since: float | None = None

    @property
    def kill_at(self) -> float:
        """Earliest time at which the process may be killed."""
        return self.sent_after + self.grace


def may_accept(stop: Stop, now: float, deadline: float) -> bool:
    """Returns whether a request may be accepted.

    A request that arrives late in a stop must end before the process is killed.

    Args:
        stop: The stop.
        now: Current time of this process's clock.
        deadline: Deadline of the request.

    Example:
        >>> stop = Stop(8.0, since=1.0, sent_after=0.0)
        >>> may_accept(stop, 2.0, 14.0), may_accept(stop, 3.0, 15.0)
        (True, False)
        >>> may_accept(stop, 3.0, 5.5)
        True
    """
    if stop.since is None or now - stop.sent_after < ACCEPT_ALL_PERIOD:
        return True
    return deadline <= stop.kill_at - KILL_MARGIN


def may_end_listening(stop: Stop, now: float, last_request_at: float) -> bool:
    """Returns whether callers use other routers, so that listening may end.

    Args:
        stop: The stop; the signal has come.
        now: Current time of this process's clock.
        last_request_at: Time at which the last request arrived.
    """
    elapsed = now - stop.since
    if may_reset_callers(stop, now):
        return True
    if elapsed < ACCEPT_ALL_PERIOD:
        return False
    return now - last_request_at >= QUIET_PERIOD or elapsed >= MAX_LISTEN_PERIOD


def may_reset_callers(stop: Stop, now: float) -> bool:
    """Returns whether callers that wait to be accepted can't be any more.

    The process needs the rest of the time to end before it is killed.

    Args:
        stop: The stop; the signal has come.
        now: Current time of this process's clock.

    Example:
        >>> stop = Stop(8.0, since=1.0, sent_after=0.0)
        >>> may_reset_callers(stop, 7.0), may_reset_callers(stop, 7.3)
        (False, True)
    """
    return now >= stop.kill_at - KILL_MARGIN - QUIET_PERIOD


def must_answer(stop: Stop, now: float) -> bool:
    """Returns whether each request must be answered now, served or not.

    Guards against callers whose connection ends with the process: a caller that
    gets an error knows whether its request may have run.

    Args:
        stop: The stop.
        now: Current time of this process's clock.

    Example:
        >>> stop = Stop(8.0, since=1.0, sent_after=0.0)
        >>> must_answer(stop, 7.7), must_answer(stop, 7.75)
        (False, True)
        >>> must_answer(Stop(8.0), 9.0)
        False
    """
    return now >= stop.kill_at - LAST_ANSWER_MARGIN


def may_exit(stop: Stop, now: float, quiet: bool) -> bool:
    """Returns whether the process may exit, once it no longer listens.

    Args:
        stop: The stop; changed.
        now: Current time of this process's clock.
        quiet: Whether no request and no response is in progress.
    """
    if not quiet:
        stop.quiet_since = None
        return False
    if stop.quiet_since is None:
        stop.quiet_since = now
    return now - stop.quiet_since >= QUIET_PERIOD
