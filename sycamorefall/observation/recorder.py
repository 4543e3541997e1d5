"""Records what happens to requests: log actions, counters, histograms.

The daemons call these functions at each step of a request. The decisions
know nothing of them.
"""

__all__ = [
    "Recorder",
    "RequestTrace",
    "count_event",
    "record_attempt_end",
    "record_attempt_start",
    "record_piece",
    "record_request_end",
    "record_request_start",
]

import collections
import dataclasses

import eliot

from sycamorefall.observation import histograms as histograms_module
from sycamorefall.observation import log


@dataclasses.dataclass(slots=True)
class Recorder:
    """Counters and histograms of one process.

    Attributes:
        histograms: Times of requests.
        requests: Ended requests by (service, result).
        events: Counts of other events by (event, detail).
        open: Requests in progress.
    """

    histograms: histograms_module.TeamHistograms = dataclasses.field(
        default_factory=histograms_module.TeamHistograms
    )
    requests: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    events: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    open: int = 0


@dataclasses.dataclass(slots=True)
class RequestTrace:
    """One request in progress.

    Attributes:
        service: Its service.
        team: Its team.
        arrived_at: When it arrived, by this process's clock.
        action: Its log action; None if the log's level leaves it out.
        attempt_id: Its last attempt.
        sent_at: When that was handed out.
        first_piece_at: When the first piece of its answer came.
        last_piece_at: When the last one came.
        pieces: Pieces of its answer so far.
        ended: Whether its end is recorded.
    """

    service: str
    team: str
    arrived_at: float
    action: eliot.Action | None = None
    attempt_id: str = ""
    sent_at: float | None = None
    first_piece_at: float | None = None
    last_piece_at: float | None = None
    pieces: int = 0
    ended: bool = False


def record_request_start(
    recorder: Recorder,
    now: float,
    service: str,
    team: str,
    **fields: object,
) -> RequestTrace:
    """Records that a request, or an attempt at a sidecar, begins.

    Args:
        recorder: The process's records; changed.
        now: This process's time.
        service: The service.
        team: The team.
        fields: Further details for the log, such as `request_id`.

    Returns:
        The request's track, for the other functions.
    """
    histograms_module.record_request(recorder.histograms, service, team)
    recorder.open += 1
    action = log.start_action("request", service=service, team=team, **fields)
    return RequestTrace(service, team, now, action)


def _record_time(
    recorder: Recorder,
    trace: RequestTrace,
    kind: histograms_module.TimeKind,
    seconds: float,
) -> None:
    histograms_module.record_time(
        recorder.histograms, trace.service, trace.team, kind, seconds
    )


def record_attempt_start(
    recorder: Recorder,
    trace: RequestTrace,
    now: float,
    attempt_id: str,
    sidecar: str,
    **fields: object,
) -> None:
    """Records that a request is handed out.

    Args:
        recorder: The process's records; changed.
        trace: The request.
        now: This process's time.
        attempt_id: The attempt.
        sidecar: VM name of the sidecar, or the upstream that gets it.
        fields: What decided it, for the log.
    """
    first = trace.sent_at is None
    trace.sent_at, trace.attempt_id = now, attempt_id
    if first:
        kind = histograms_module.TimeKind.WAIT
        _record_time(recorder, trace, kind, now - trace.arrived_at)
    if trace.action is not None:
        trace.action.log(
            "request.handed_out",
            level="info",
            attempt=attempt_id,
            sidecar=sidecar,
            **fields,
        )


def record_attempt_end(
    recorder: Recorder, trace: RequestTrace, end: str, **fields: object
) -> None:
    """Counts the end of an attempt and logs it unless the attempt succeeded.

    Args:
        recorder: The process's records; changed.
        trace: The request.
        end: How the attempt ended; one of a fixed set of values.
        fields: Additional fields for the log record.
    """
    count_event(recorder, "attempt", end)
    if trace.action is not None and end != "complete":
        trace.action.log(
            "request.attempt_ended",
            level="info",
            attempt=trace.attempt_id,
            end=end,
            **fields,
        )


def record_piece(recorder: Recorder, trace: RequestTrace, now: float) -> None:
    """Records that a piece of a streamed answer came.

    Args:
        recorder: The process's records; changed.
        trace: The request.
        now: This process's time.
    """
    trace.pieces += 1
    if trace.last_piece_at is None:
        trace.first_piece_at = now
        kind, since = histograms_module.TimeKind.FIRST_TOKEN, trace.arrived_at
    else:
        kind, since = (
            histograms_module.TimeKind.BETWEEN_TOKENS,
            trace.last_piece_at,
        )
    trace.last_piece_at = now
    _record_time(recorder, trace, kind, now - since)


def record_request_end(
    recorder: Recorder,
    trace: RequestTrace,
    now: float,
    result: str,
    **fields: object,
) -> None:
    """Records the end of a request, once.

    Args:
        recorder: The process's records; changed.
        trace: The request.
        now: This process's time.
        result: `answered`, `cancelled` or the value of an error kind.
        fields: Further details for the log.
    """
    if trace.ended:
        return
    trace.ended = True
    recorder.open -= 1
    recorder.requests[trace.service, result] += 1
    if result == "answered":
        kind = histograms_module.TimeKind.TOTAL
        _record_time(recorder, trace, kind, now - trace.arrived_at)
    if trace.action is not None:
        log.end_action(
            trace.action,
            result=result,
            attempt=trace.attempt_id,
            seconds=round(now - trace.arrived_at, 6),
            pieces=trace.pieces,
            first_seconds=_compute_first_piece_delay(trace),
            **fields,
        )


def _compute_first_piece_delay(trace: RequestTrace) -> float | None:
    if trace.first_piece_at is None:
        return None
    return round(trace.first_piece_at - trace.arrived_at, 6)


def count_event(recorder: Recorder, event: str, detail: str = "") -> None:
    """Counts something that is no request's end.

    Args:
        recorder: The process's records; changed.
        event: What happened, of a closed set of words.
        detail: Which kind of it, of a closed set too.
    """
    recorder.events[event, detail] += 1
