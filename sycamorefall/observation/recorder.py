"""Records the progress of requests in the log, counters and histograms.

The I/O code of routers and sidecars calls these functions at each step of a
request; the decision logic doesn't depend on them.
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
    "record_resumption",
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
        histograms: Histograms of the requests' times.
        requests: Number of ended requests by (service, result).
        events: Number of other events by (event, detail).
        in_progress: Number of requests in progress.
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
    in_progress: int = 0


@dataclasses.dataclass(slots=True)
class RequestTrace:
    """Log and metric data of one request in progress.

    Times are those of this process's clock in seconds, None before the event.

    Attributes:
        service: The requested service.
        team: The team whose request it is.
        arrived_at: Time at which the request arrived.
        action: Log action of the request; None if the log level excludes it.
        attempt_id: Id of the last attempt.
        sent_at: Time at which the last attempt was sent.
        first_piece_at: Time at which the first piece of the streamed response
            was received.
        last_piece_at: Time at which the last piece so far was received.
        pieces: Number of pieces received so far.
        longest_pause: Longest time between two pieces so far, in seconds.
        ended: Whether the end of the request was recorded.
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
    longest_pause: float = 0.0
    ended: bool = False


def record_request_start(
    recorder: Recorder,
    now: float,
    service: str,
    team: str,
    **fields: object,
) -> RequestTrace:
    """Records the arrival of a request at a router or an attempt at a sidecar.

    Args:
        recorder: Counters and histograms of the process; modified.
        now: Current time of this process's clock.
        service: The requested service.
        team: The team whose request it is.
        fields: Additional fields for the log record, such as `request_id`.

    Returns:
        Trace of the request, to be passed to the other functions.
    """
    histograms_module.record_request(recorder.histograms, service, team)
    recorder.in_progress += 1
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
    """Logs that an attempt is sent; records the wait before the first one.

    Args:
        recorder: Counters and histograms of the process; modified.
        trace: Trace of the request; modified.
        now: Current time of this process's clock.
        attempt_id: Id of the attempt.
        sidecar: Receiver of the attempt: VM name of a sidecar, or name of an
            upstream.
        fields: Additional fields for the log record: the data that the
            decision was based on.
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
        recorder: Counters and histograms of the process; modified.
        trace: Trace of the request.
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
    """Records the receipt of a piece of a streamed response.

    Args:
        recorder: Counters and histograms of the process; modified.
        trace: Trace of the request; modified.
        now: Current time of this process's clock.
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
        trace.longest_pause = max(trace.longest_pause, now - since)
    trace.last_piece_at = now
    _record_time(recorder, trace, kind, now - since)


def record_request_end(
    recorder: Recorder,
    trace: RequestTrace,
    now: float,
    result: str,
    **fields: object,
) -> None:
    """Records the end of a request; does nothing after the first call.

    Args:
        recorder: Counters and histograms of the process; modified.
        trace: Trace of the request; modified.
        now: Current time of this process's clock.
        result: `answered`, `cancelled` or the value of an error kind.
        fields: Additional fields for the log record.
    """
    if trace.ended:
        return
    trace.ended = True
    recorder.in_progress -= 1
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
            longest_pause=round(trace.longest_pause, 3),
            **fields,
        )


def record_resumption(
    recorder: Recorder, trace: RequestTrace, reason: str, **fields: object
) -> None:
    """Logs and counts a request that went on with a stream.

    Args:
        recorder: Counters and histograms of the process; modified.
        trace: Trace of the request.
        reason: How far it came; one of a fixed set of values.
        fields: Additional fields for the log record.
    """
    count_event(recorder, "stream_taken_up", reason)
    if trace.action is not None:
        trace.action.log(
            "request.taken_up", level="info", reason=reason, **fields
        )


def _compute_first_piece_delay(trace: RequestTrace) -> float | None:
    if trace.first_piece_at is None:
        return None
    return round(trace.first_piece_at - trace.arrived_at, 6)


def count_event(recorder: Recorder, event: str, detail: str = "") -> None:
    """Counts an event other than the end of a request.

    Args:
        recorder: Counters and histograms of the process; modified.
        event: Kind of the event; one of a fixed set of values, since each is a
            label value of a metric.
        detail: Subkind of the event; also one of a fixed set.
    """
    recorder.events[event, detail] += 1
