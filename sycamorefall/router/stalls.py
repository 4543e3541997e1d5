"""Detection of attempts whose connection has stalled.

A connection can fail without being closed: bytes are held back, no error is
reported, and the caller would wait until its deadline. A router therefore
queries the sidecar, by control message, about an attempt from which it has
received nothing for a while. While the sidecar doesn't reply, a request that
may run again waits for another sidecar, and its attempt is kept until one takes
it. The same holds while bytes that the sidecar reports don't arrive. The router
abandons the connection if either goes on for long, or the sidecar was replaced.
A response that keeps arriving needs no check. While a sidecar confirms that a
silent attempt is running, the interval between queries grows.
"""

__all__ = [
    "FIRST_CHECK_DELAY",
    "GONE_AFTER",
    "SEEK_AFTER",
    "detect_stall",
    "is_broken",
    "may_run_again",
    "pop_due_checks",
    "query_sidecar",
    "record_pause",
    "record_progress",
    "should_abandon",
    "should_seek",
    "watch_attempt",
]

import heapq

from sycamorefall import effects, messages
from sycamorefall.router import intake
from sycamorefall.router import state as state_module

FIRST_CHECK_DELAY = 2.0
"""Seconds without any byte after which a sidecar is first queried.

Longer than the lease of a claim: if the query overtakes the attempt's request
on the network, that request would have been refused by the time it arrives.
"""

MAX_CHECK_INTERVAL = 30.0
"""Maximum seconds between two queries about an attempt that is running."""

QUERY_INTERVAL = 0.5
"""Seconds after which a query that got no report is repeated."""

SEEK_AFTER = 2.0
"""Seconds of unanswered queries until another sidecar is sought, if the request
may run there."""

GONE_AFTER = 10.0
"""Seconds of unanswered queries, or of bytes held back, until an attempt is
abandoned.

Its caller gets an error unless another sidecar takes the request, so a sidecar
that was suspended gets time to resume and deliver the response.
"""


def watch_attempt(
    state: state_module.RouterState, now: float, attempt: state_module.Attempt
) -> None:
    """Schedules the first check of an attempt that is being started."""
    attempt.last_heard_at = now
    attempt.check_interval = FIRST_CHECK_DELAY
    _schedule(state, attempt, now + FIRST_CHECK_DELAY)


def _schedule(
    state: state_module.RouterState, attempt: state_module.Attempt, at: float
) -> None:
    attempt.next_query_at = at
    heapq.heappush(state.checks, (at, attempt.attempt_id))


def record_progress(
    state: state_module.RouterState,
    now: float,
    attempt_id: str,
    size: int,
    forwarding_started: bool,
) -> None:
    """Records that part of the response to an attempt arrived.

    Args:
        state: The router's state; changed.
        now: This process's time, in seconds.
        attempt_id: The attempt.
        size: Number of bytes of the response's body that arrived.
        forwarding_started: Whether the bytes are forwarded to the caller at
            once.
    """
    number = state.request_by_attempt.get(attempt_id)
    if number is None:
        return
    request = state.requests[number]
    intake.stop_seeking(state, now, request)
    attempt = request.attempt
    attempt.received += size
    attempt.forwarding_started = (
        attempt.forwarding_started or forwarding_started
    )
    attempt.last_heard_at = now
    attempt.unanswered_since = None
    attempt.received_when_behind = None
    attempt.check_interval = FIRST_CHECK_DELAY


def record_pause(
    state: state_module.RouterState, attempt_id: str, paused: bool
) -> None:
    """Records that a response was paused for a slow caller, or resumed."""
    number = state.request_by_attempt.get(attempt_id)
    if number is not None:
        state.requests[number].attempt.paused = paused


def pop_due_checks(
    state: state_module.RouterState, now: float
) -> list[state_module.Request]:
    """Removes the due checks and returns the requests that are still silent.

    A check of an attempt that has made progress is rescheduled.

    Args:
        state: The router's state; changed. The caller must query the sidecar
            of each returned request or abandon its attempt.
        now: This process's time, in seconds.

    Returns:
        Requests whose attempt has been silent for its check interval.
    """
    silent: list[state_module.Request] = []
    while state.checks and state.checks[0][0] <= now:
        due, attempt_id = heapq.heappop(state.checks)
        request = _find_in_progress(state, attempt_id)
        if request is None or request.attempt.next_query_at != due:
            continue
        attempt = request.attempt
        silent_until = attempt.last_heard_at + attempt.check_interval
        if attempt.unanswered_since is None and now < silent_until:
            _schedule(state, attempt, silent_until)
        else:
            silent.append(request)
    return silent


def _find_in_progress(
    state: state_module.RouterState, attempt_id: str
) -> state_module.Request | None:
    number = state.request_by_attempt.get(attempt_id)
    if number is None:
        return None
    request = state.requests[number]
    in_progress = request.state is state_module.RequestState.IN_PROGRESS
    return request if in_progress else None


def should_abandon(
    state: state_module.RouterState,
    now: float,
    request: state_module.Request,
) -> bool:
    """Returns whether a silent attempt is to be abandoned.

    Args:
        state: The router's state.
        now: This process's time, in seconds.
        request: A request whose attempt is silent.

    Returns:
        True if the sidecar has left all queries unanswered for `GONE_AFTER`, or
        was replaced by a new process that doesn't know the attempt.
    """
    attempt = request.attempt
    peer = state.directory.peers.get(attempt.sidecar)
    if peer is not None and peer.incarnation > attempt.incarnation:
        return True
    return _measure_unanswered(now, attempt) >= GONE_AFTER


def _measure_unanswered(now: float, attempt: state_module.Attempt) -> float:
    since = attempt.unanswered_since
    return 0.0 if since is None else now - since


def should_seek(now: float, request: state_module.Request) -> bool:
    """Returns whether a request may wait for another sidecar.

    Args:
        now: This process's time, in seconds.
        request: A request whose attempt is silent.

    Returns:
        True if the sidecar has left all queries unanswered for `SEEK_AFTER`,
        and the request may run again.
    """
    unanswered = _measure_unanswered(now, request.attempt)
    return may_run_again(request) and unanswered >= SEEK_AFTER


def may_run_again(request: state_module.Request) -> bool:
    """Returns whether another sidecar may run a request that was sent to one.

    It may not if the caller has a part of the response.
    """
    return request.new.idempotent and not request.attempt.forwarding_started


def query_sidecar(
    state: state_module.RouterState,
    now: float,
    request: state_module.Request,
) -> effects.SendMessage:
    """Creates a query about a silent attempt and schedules the next check.

    Args:
        state: The router's state; changed.
        now: This process's time, in seconds.
        request: A request whose attempt is silent.

    Returns:
        The query.
    """
    attempt = request.attempt
    if attempt.unanswered_since is None:
        attempt.unanswered_since = now
    _schedule(state, attempt, now + QUERY_INTERVAL)
    query = messages.AttemptQuery(attempt.attempt_id)
    return effects.SendMessage(attempt.sidecar, query)


def detect_stall(
    state: state_module.RouterState,
    now: float,
    request: state_module.Request,
    report: messages.AttemptReport,
) -> bool:
    """Applies a sidecar's report; returns whether bytes are held back.

    They are if two reports in a row say that the sidecar sent more of the
    response than arrived here, with nothing received between them. A single
    report may have overtaken the bytes. A connection that this router itself
    has paused for a slow caller never counts as stalled.

    Args:
        state: The router's state; changed.
        now: This process's time, in seconds.
        request: A request that was sent to a sidecar.
        report: The sidecar's report; the attempt has at least started.

    Returns:
        Whether the connection has stalled.
    """
    attempt = request.attempt
    if attempt.unanswered_since is None:
        return False
    attempt.unanswered_since = None
    attempt.last_heard_at = now
    ended = report.state is messages.AttemptState.FINISHED
    held_back = ended or report.sent > attempt.received
    stalled = False
    if not held_back or attempt.paused:
        attempt.received_when_behind = None
        attempt.check_interval = min(
            2 * attempt.check_interval, MAX_CHECK_INTERVAL
        )
    else:
        stalled = attempt.received_when_behind == attempt.received
        if not stalled:
            attempt.behind_since = now
        attempt.received_when_behind = attempt.received
        attempt.check_interval = FIRST_CHECK_DELAY
    _schedule(state, attempt, now + attempt.check_interval)
    return stalled


def is_broken(now: float, request: state_module.Request) -> bool:
    """Returns whether a stalled connection counts as broken.

    A connection whose link was cut for a while holds its bytes back for about
    as long after it.

    Args:
        now: This process's time, in seconds.
        request: A request whose connection has stalled.

    Returns:
        True if it has stalled for `GONE_AFTER`.
    """
    return now - request.attempt.behind_since >= GONE_AFTER
