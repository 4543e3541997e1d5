"""Checks of attempts that have gone silent.

A link can die without being closed: bytes are held back, nothing fails, and
a caller would hang until its deadline. So a router asks about an attempt of
which it hears nothing, by a control message, and gives the connection up if
the sidecar is silent too, or says that it sent what never came. An answer
that flows needs no check; the longer a silent run is known to go on, the
rarer the question.
"""

__all__ = [
    "FIRST_CHECK_DELAY",
    "SILENCE_LIMIT",
    "ask_sidecar",
    "is_abandoned",
    "judge_report",
    "pop_silent",
    "record_pause",
    "record_progress",
    "watch_attempt",
]

import heapq

from sycamorefall import effects, messages
from sycamorefall.router import state as state_module

FIRST_CHECK_DELAY = 2.0
"""Seconds of silence after which an attempt is first asked about.

Longer than a claim's lease, so that a hand-out which the question overtakes
on its way would have been refused anyway.
"""

LONGEST_CHECK = 30.0
"""Longest time between two questions for a run known to go on, in seconds."""

ASK_INTERVAL = 0.5
"""Seconds until a question that got no report is asked again."""

SILENCE_LIMIT = {True: 2.0, False: 10.0}
"""Seconds of open questions until an attempt is given up, by idempotence.

An idempotent request is soon better off elsewhere. Any other can only be
answered "outcome unknown", so a sidecar that was frozen gets time to thaw
and deliver the answer.
"""


def watch_attempt(
    state: state_module.RouterState, now: float, attempt: state_module.Attempt
) -> None:
    """Begins to watch an attempt that is handed out."""
    attempt.heard_at = now
    attempt.check_interval = FIRST_CHECK_DELAY
    _schedule(state, attempt, now + FIRST_CHECK_DELAY)


def _schedule(
    state: state_module.RouterState, attempt: state_module.Attempt, at: float
) -> None:
    attempt.ask_next = at
    heapq.heappush(state.checks, (at, attempt.attempt_id))


def record_progress(
    state: state_module.RouterState,
    now: float,
    attempt_id: str,
    size: int,
    begun: bool,
) -> None:
    """Notes that part of an answer came.

    Args:
        state: The router; changed.
        now: This process's time.
        attempt_id: The attempt.
        size: Bytes of the answer's body that came.
        begun: Whether they go on to the caller at once.
    """
    number = state.request_by_attempt.get(attempt_id)
    if number is None:
        return
    attempt = state.requests[number].attempt
    attempt.received += size
    attempt.begun = attempt.begun or begun
    attempt.heard_at = now
    attempt.asked_since = None
    attempt.behind = None
    attempt.check_interval = FIRST_CHECK_DELAY


def record_pause(
    state: state_module.RouterState, attempt_id: str, paused: bool
) -> None:
    """Notes that reading an answer was stopped or resumed for its caller."""
    number = state.request_by_attempt.get(attempt_id)
    if number is not None:
        state.requests[number].attempt.paused = paused


def pop_silent(
    state: state_module.RouterState, now: float
) -> list[state_module.Request]:
    """Takes out the requests whose attempts have been silent too long.

    Args:
        state: The router; each of the requests is to be asked about or given
            up next.
        now: This process's time.

    Returns:
        The requests.
    """
    silent: list[state_module.Request] = []
    while state.checks and state.checks[0][0] <= now:
        due, attempt_id = heapq.heappop(state.checks)
        request = _find_watched(state, attempt_id)
        if request is None or request.attempt.ask_next != due:
            continue
        attempt = request.attempt
        silent_until = attempt.heard_at + attempt.check_interval
        if attempt.asked_since is None and now < silent_until:
            _schedule(state, attempt, silent_until)
        else:
            silent.append(request)
    return silent


def _find_watched(
    state: state_module.RouterState, attempt_id: str
) -> state_module.Request | None:
    number = state.request_by_attempt.get(attempt_id)
    if number is None:
        return None
    request = state.requests[number]
    handed_out = request.state is state_module.RequestState.HANDED_OUT
    return request if handed_out else None


def is_abandoned(
    state: state_module.RouterState,
    now: float,
    request: state_module.Request,
) -> bool:
    """Tells whether a silent attempt is to be given up.

    Args:
        state: The router.
        now: This process's time.
        request: A request whose attempt is silent.

    Returns:
        Whether its sidecar left all questions open for too long, or is a new
        process that knows nothing of the attempt.
    """
    attempt = request.attempt
    peer = state.directory.peers.get(attempt.sidecar)
    if peer is not None and peer.incarnation > attempt.incarnation:
        return True
    if attempt.asked_since is None:
        return False
    return now - attempt.asked_since >= SILENCE_LIMIT[request.new.idempotent]


def ask_sidecar(
    state: state_module.RouterState,
    now: float,
    request: state_module.Request,
) -> effects.SendMessage:
    """Asks a sidecar what became of a silent attempt.

    Args:
        state: The router; changed.
        now: This process's time.
        request: A request whose attempt is silent.

    Returns:
        The question.
    """
    attempt = request.attempt
    if attempt.asked_since is None:
        attempt.asked_since = now
    _schedule(state, attempt, now + ASK_INTERVAL)
    query = messages.AttemptQuery(attempt.attempt_id)
    return effects.SendMessage(attempt.sidecar, query)


def judge_report(
    state: state_module.RouterState,
    now: float,
    request: state_module.Request,
    report: messages.AttemptReport,
) -> bool:
    """Judges by a sidecar's report whether an attempt's connection works.

    Guards against a connection that holds bytes back without being closed:
    the sidecar sent more of the answer than came, at two reports in a row
    with nothing received between them. One report may just have overtaken
    the bytes. A connection that this router itself doesn't read from, for a
    slow caller, is not judged.

    Args:
        state: The router; changed.
        now: This process's time.
        request: A request that is handed out.
        report: The attempt started, at least.

    Returns:
        Whether the connection is to be taken for broken.
    """
    attempt = request.attempt
    if attempt.asked_since is None:
        return False
    attempt.asked_since = None
    attempt.heard_at = now
    ended = report.state is messages.AttemptState.FINISHED
    held_back = ended or report.sent > attempt.received
    if not held_back or attempt.paused:
        attempt.behind = None
        attempt.check_interval = min(2 * attempt.check_interval, LONGEST_CHECK)
    elif attempt.behind == attempt.received:
        return True
    else:
        attempt.behind = attempt.received
        attempt.check_interval = FIRST_CHECK_DELAY
    _schedule(state, attempt, now + attempt.check_interval)
    return False
