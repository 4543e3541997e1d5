"""Records what happens to requests: log actions, counters, histograms.

The daemons call these functions at each step of a request. The decisions
know nothing of them.
"""

__all__ = [
    "Recorder",
    "Track",
    "begin_request",
    "count_event",
    "end_request",
    "note_attempt_end",
    "note_hand_out",
    "note_piece",
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
class Track:
    """One request in progress.

    Attributes:
        service: Its service.
        team: Its team.
        begun_at: When it arrived, by this process's clock.
        action: Its log action; None if the log's level leaves it out.
        attempt_id: Its last attempt.
        handed_at: When that was handed out.
        first_at: When the first piece of its answer came.
        piece_at: When the last one came.
        pieces: Pieces of its answer so far.
        ended: Whether its end is recorded.
    """

    service: str
    team: str
    begun_at: float
    action: eliot.Action | None = None
    attempt_id: str = ""
    handed_at: float | None = None
    first_at: float | None = None
    piece_at: float | None = None
    pieces: int = 0
    ended: bool = False


def begin_request(
    recorder: Recorder,
    now: float,
    service: str,
    team: str,
    **fields: object,
) -> Track:
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
    histograms_module.note_request(recorder.histograms, service, team)
    recorder.open += 1
    action = log.start_action("request", service=service, team=team, **fields)
    return Track(service, team, now, action)


def _record(
    recorder: Recorder,
    track: Track,
    kind: histograms_module.TimeKind,
    seconds: float,
) -> None:
    histograms_module.record_time(
        recorder.histograms, track.service, track.team, kind, seconds
    )


def note_hand_out(
    recorder: Recorder,
    track: Track,
    now: float,
    attempt_id: str,
    sidecar: str,
    **fields: object,
) -> None:
    """Records that a request is handed out.

    Args:
        recorder: The process's records; changed.
        track: The request.
        now: This process's time.
        attempt_id: The attempt.
        sidecar: VM name of the sidecar, or the upstream that gets it.
        fields: What decided it, for the log.
    """
    first = track.handed_at is None
    track.handed_at, track.attempt_id = now, attempt_id
    if first:
        kind = histograms_module.TimeKind.WAIT
        _record(recorder, track, kind, now - track.begun_at)
    if track.action is not None:
        track.action.log(
            "request.handed_out",
            level="info",
            attempt=attempt_id,
            sidecar=sidecar,
            **fields,
        )


def note_attempt_end(
    recorder: Recorder, track: Track, end: str, **fields: object
) -> None:
    """Counts the end of an attempt and logs it unless the attempt succeeded.

    Args:
        recorder: The process's records; changed.
        track: The request.
        end: How the attempt ended; one of a fixed set of values.
        fields: Additional fields for the log record.
    """
    count_event(recorder, "attempt", end)
    if track.action is not None and end != "complete":
        track.action.log(
            "request.attempt_ended",
            level="info",
            attempt=track.attempt_id,
            end=end,
            **fields,
        )


def note_piece(recorder: Recorder, track: Track, now: float) -> None:
    """Records that a piece of a streamed answer came.

    Args:
        recorder: The process's records; changed.
        track: The request.
        now: This process's time.
    """
    track.pieces += 1
    if track.piece_at is None:
        track.first_at = now
        kind, since = histograms_module.TimeKind.FIRST_TOKEN, track.begun_at
    else:
        kind, since = histograms_module.TimeKind.BETWEEN_TOKENS, track.piece_at
    track.piece_at = now
    _record(recorder, track, kind, now - since)


def end_request(
    recorder: Recorder,
    track: Track,
    now: float,
    result: str,
    **fields: object,
) -> None:
    """Records the end of a request, once.

    Args:
        recorder: The process's records; changed.
        track: The request.
        now: This process's time.
        result: `answered`, `cancelled` or the value of an error kind.
        fields: Further details for the log.
    """
    if track.ended:
        return
    track.ended = True
    recorder.open -= 1
    recorder.requests[track.service, result] += 1
    if result == "answered":
        kind = histograms_module.TimeKind.TOTAL
        _record(recorder, track, kind, now - track.begun_at)
    if track.action is not None:
        log.end_action(
            track.action,
            result=result,
            attempt=track.attempt_id,
            seconds=round(now - track.begun_at, 6),
            pieces=track.pieces,
            first_seconds=_measure_first(track),
            **fields,
        )


def _measure_first(track: Track) -> float | None:
    if track.first_at is None:
        return None
    return round(track.first_at - track.begun_at, 6)


def count_event(recorder: Recorder, event: str, detail: str = "") -> None:
    """Counts something that is no request's end.

    Args:
        recorder: The process's records; changed.
        event: What happened, of a closed set of words.
        detail: Which kind of it, of a closed set too.
    """
    recorder.events[event, detail] += 1
