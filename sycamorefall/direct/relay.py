"""Carries requests to upstreams and answers back to callers."""

__all__ = [
    "Proxy",
    "handle_call",
    "perform_effects",
    "record_dropped_call",
]

from collections.abc import Iterable
import dataclasses

from returns import result

from sycamorefall import errors, observation, transport
from sycamorefall.direct import (
    core,
    crashes,
    dialects,
    dispatching,
    effects,
    fingerprints,
    outcomes,
    streams,
)
from sycamorefall.direct import state as state_module

MOST_UNSENT = 1 << 18
"""Bytes that may wait for a slow caller before its upstream is paused."""


_ENDS = {
    dialects.Verdict.SUCCESS: outcomes.AttemptEnd.COMPLETE,
    dialects.Verdict.FAILURE: outcomes.AttemptEnd.FAILED,
    dialects.Verdict.NOT_RUN: outcomes.AttemptEnd.NOT_RUN,
    dialects.Verdict.OTHER_INCARNATION: outcomes.AttemptEnd.OTHER_INCARNATION,
    dialects.Verdict.INVALID: outcomes.AttemptEnd.BROKEN,
}


_UPSTREAM_EFFECTS = (
    effects.CheckUpstream,
    effects.ReportCrash,
    effects.ReportQuarantine,
)
"""Effects that concern an upstream, not a request in progress."""


class _Delivery:
    """A caller's request and the answer to it on its way.

    Attributes:
        call: The caller's side.
        streamed: Whether events go on as they come.
        splitter: The events that went on.
        exchange: The present send; None between two.
        head: The head of its answer, once read.
        first_head: The head that the caller has, or is to get.
        held: Parts of an answer that goes on whole.
        track: What is recorded of the request.
    """

    __slots__ = (
        "call",
        "exchange",
        "first_head",
        "head",
        "held",
        "splitter",
        "streamed",
        "track",
    )

    def __init__(
        self,
        call: transport.IncomingCall,
        streamed: bool,
        track: observation.Track,
    ):
        self.call = call
        self.exchange: transport.Exchange | None = None
        self.first_head: dialects.AnswerHead | None = None
        self.head: dialects.AnswerHead | None = None
        self.held: list[bytes] = []
        self.splitter = streams.EventSplitter()
        self.streamed = streamed
        self.track = track


@dataclasses.dataclass(slots=True)
class Proxy:
    """The I/O that the decisions drive.

    Attributes:
        state: The decisions' state.
        client: Sends requests to upstreams.
        dialect: How things are put in HTTP.
        recorder: The process's records.
        deliveries: Requests in progress by number.
    """

    state: state_module.DirectState
    client: transport.HttpClient
    dialect: dialects.Dialect
    recorder: observation.Recorder = dataclasses.field(
        default_factory=observation.Recorder
    )
    deliveries: dict[int, _Delivery] = dataclasses.field(default_factory=dict)


def handle_call(proxy: Proxy, call: transport.IncomingCall) -> None:
    """Takes a caller's call."""
    match proxy.dialect.read_request(call):
        case result.Failure(reason):
            observation.count_event(proxy.recorder, "call_refused", "malformed")
            call.fail(errors.ErrorKind.MALFORMED_REQUEST, reason)
        case result.Success(new):
            _take_request(proxy, call, new)


def record_dropped_call(proxy: Proxy, call: transport.IncomingCall) -> None:
    """Takes note of a request that isn't begun, as its caller has left."""
    now = transport.read_clock()
    track = observation.begin_request(
        proxy.recorder,
        now,
        "",
        "",
        request_id=proxy.dialect.read_request_id(call),
    )
    observation.end_request(proxy.recorder, track, now, "dropped")


def _take_request(
    proxy: Proxy, call: transport.IncomingCall, new: state_module.NewRequest
) -> None:
    now = transport.read_clock()
    number, done = core.handle_request(proxy.state, now, new)
    request = proxy.state.requests.get(number)
    track = observation.begin_request(
        proxy.recorder,
        now,
        request.service if request else "",
        request.team if request else "",
        request_id=proxy.dialect.read_request_id(call),
        route=request.route.name if request else "",
        target=round(request.target_at - now, 3) if request else None,
    )
    streamed = request is not None and request.route.kind.streamed
    proxy.deliveries[number] = _Delivery(call, streamed, track)
    call.on_hangup = lambda: _cancel(proxy, number)
    perform_effects(proxy, done)


def _cancel(proxy: Proxy, number: int) -> None:
    now = transport.read_clock()
    done = core.cancel_request(proxy.state, number, now)
    perform_effects(proxy, done)
    _forget(proxy, number, "cancelled")


def _forget(proxy: Proxy, number: int, end: str, **fields: object) -> None:
    delivery = proxy.deliveries.pop(number, None)
    if delivery is not None:
        now = transport.read_clock()
        observation.end_request(
            proxy.recorder, delivery.track, now, end, **fields
        )


def perform_effects(proxy: Proxy, done: Iterable[effects.Effect]) -> None:
    """Carries out effects of the decisions."""
    for effect in done:
        if isinstance(effect, _UPSTREAM_EFFECTS):
            _perform_upstream_effect(proxy, effect)
            continue
        delivery = proxy.deliveries.get(effect.request)
        if delivery is None:
            continue
        match effect:
            case effects.SendRequest():
                _send(proxy, delivery, effect)
            case effects.AbortAttempt():
                _abort(proxy, delivery)
            case effects.AnswerError():
                _fail(proxy, delivery, effect)
            case effects.AbortResponse():
                _forget(proxy, effect.request, "broken_off")
                delivery.call.abort()
            case effects.ForwardResponse():
                _pass_on(proxy, delivery, effect.request)


def _perform_upstream_effect(proxy: Proxy, effect: effects.Effect) -> None:
    """Carries out an effect that concerns an upstream."""
    match effect:
        case effects.CheckUpstream():
            proxy.client.check_reachable(
                effect.address,
                lambda found: _take_check(proxy, effect, found),
            )
        case effects.ReportCrash():
            observation.count_event(proxy.recorder, "upstream", "crashed")
            observation.write_record(
                observation.Level.WARNING,
                "upstream.crashed",
                upstream=effect.crash.upstream,
                requests=effect.requests,
            )
        case effects.ReportQuarantine():
            observation.count_event(proxy.recorder, "request", "quarantined")
            observation.write_record(
                observation.Level.WARNING,
                "quarantine.added",
                fingerprint=effect.fingerprint.hex(),
                crashed=[crash.upstream for crash in effect.crashes],
            )


def _take_check(
    proxy: Proxy, check: effects.CheckUpstream, found: transport.Reachability
) -> None:
    now = transport.read_clock()
    perform_effects(
        proxy, crashes.handle_check_result(proxy.state, now, check, found)
    )


def _abort(proxy: Proxy, delivery: _Delivery) -> None:
    if delivery.exchange is not None:
        proxy.client.abort(delivery.exchange)
        delivery.exchange = None


def _fail(
    proxy: Proxy, delivery: _Delivery, effect: effects.AnswerError
) -> None:
    why = _list_fields(effect.refusal) if effect.refusal else {}
    if effect.fingerprint:
        why["fingerprint"] = effect.fingerprint.hex()
    ran = effect.ran or errors.ANSWERS[effect.kind].ran
    _forget(
        proxy,
        effect.request,
        effect.kind.value,
        retry_after=effect.retry_after,
        ran=ran.value,
        **why,
    )
    delivery.call.fail(
        effect.kind, ran=effect.ran, retry_after=effect.retry_after
    )


def _list_fields(refusal: effects.Refusal) -> dict[str, object]:
    """Lists what decided a refusal, for its log line.

    A flood's refusals are most of what a small router does. `asdict` copies
    each value deeply, at 14 us of processor time where this takes 2, both timed
    alone.
    """
    names = (field.name for field in dataclasses.fields(refusal))
    return {name: getattr(refusal, name) for name in names}


def _pass_on(proxy: Proxy, delivery: _Delivery, number: int) -> None:
    head = delivery.head
    _forget(proxy, number, "answered", status=head.status)
    body = b"".join(delivery.held)
    delivery.call.respond(head.status, body, head.headers)


def _send(proxy: Proxy, delivery: _Delivery, send: effects.SendRequest) -> None:
    call, number = delivery.call, send.request
    now = transport.read_clock()
    left = outcomes.record_sent(proxy.state, now, number)
    if left < dispatching.MIN_TIME_LEFT:
        return  # The timers answer it.
    send = dataclasses.replace(send, time_left=left)
    observation.note_hand_out(
        proxy.recorder,
        delivery.track,
        now,
        str(send.attempt),
        send.upstream,
        running=send.running,
        reads=send.reads,
        unread=send.unread,
        begins_in=send.begins_in,
        source=send.source and str(send.source),
        fetches=send.fetches,
        cost=send.cost,
        received=send.received,
        floor=send.floor,
        idle=send.idle,
        time_left=round(send.time_left, 3),
    )
    streams.prepare_resume(delivery.splitter)
    delivery.head, delivery.held = None, []
    last = delivery.splitter.last_id if call.begun else ""
    request = transport.OutgoingRequest(
        send.address,
        call.method,
        call.target,
        proxy.dialect.write_headers(call, send, last),
        call.body,
        fresh=send.fresh,
        host=call.headers.get("host", ""),
        keep=send.keep,
    )
    delivery.exchange = proxy.client.send(
        request,
        transport.Listener(
            on_head=lambda status, headers: _take_head(
                proxy, delivery, number, status, headers
            ),
            on_data=lambda data: _take_data(proxy, delivery, number, data),
            on_end=lambda: _take_end(proxy, delivery, number),
            on_failure=lambda stage: _take_failure(
                proxy, delivery, number, stage
            ),
            is_ours=lambda headers: proxy.dialect.is_ours(call, headers),
            on_sent=lambda: outcomes.record_sent(
                proxy.state, transport.read_clock(), number
            ),
        ),
    )
    # Once more, as a freeze before the system call is as long as any other.
    outcomes.record_sent(proxy.state, transport.read_clock(), number)


def _take_head(
    proxy: Proxy,
    delivery: _Delivery,
    number: int,
    status: int,
    headers: list[tuple[str, str]],
) -> None:
    delivery.head = proxy.dialect.read_answer(status, headers)
    _note_upstream_state(proxy, number, delivery.head)
    verdict = delivery.head.verdict
    if verdict is dialects.Verdict.INVALID:
        _abort(proxy, delivery)
        _end(proxy, delivery, number, outcomes.AttemptEnd.BROKEN)
        return
    if verdict is dialects.Verdict.SUCCESS and delivery.first_head is None:
        delivery.first_head = delivery.head
    now = transport.read_clock()
    outcomes.record_response(proxy.state, now, number, first=False)


def _note_upstream_state(
    proxy: Proxy, number: int, head: dialects.AnswerHead
) -> None:
    """Records a shutdown notice or retry delay from an upstream's response."""
    request = proxy.state.requests.get(number)
    if request is None or request.attempt is None:
        return
    upstream, now = request.attempt.upstream, transport.read_clock()
    if outcomes.record_leaving(proxy.state, now, number, head):
        observation.write_record(
            observation.Level.INFO, "upstream.leaving", upstream=upstream
        )
    if outcomes.record_retry_delay(proxy.state, now, number, head):
        observation.write_record(
            observation.Level.INFO,
            "upstream.resting",
            upstream=upstream,
            seconds=head.retry_after,
        )
        done = outcomes.refuse_delayed_requests(
            proxy.state, now, request.service
        )
        perform_effects(proxy, done)


def _take_data(
    proxy: Proxy, delivery: _Delivery, number: int, data: bytes
) -> None:
    if (
        not delivery.streamed
        or delivery.head.verdict is not dialects.Verdict.SUCCESS
    ):
        delivery.held.append(data)
        return
    events = streams.split_events(delivery.splitter, data)
    now = transport.read_clock()
    outcomes.record_response(proxy.state, now, number, first=bool(events))
    if events:
        observation.note_piece(proxy.recorder, delivery.track, now)
        _write(proxy, delivery, events)


def _write(proxy: Proxy, delivery: _Delivery, data: bytes) -> None:
    call = delivery.call
    if not call.begun:
        call.begin(delivery.first_head.status, delivery.first_head.headers)
        call.on_drained = lambda: _resume(proxy, delivery)
    call.write(data)
    if call.backlog > MOST_UNSENT and delivery.exchange is not None:
        proxy.client.pause(delivery.exchange, True)


def _resume(proxy: Proxy, delivery: _Delivery) -> None:
    if delivery.exchange is not None:
        proxy.client.pause(delivery.exchange, False)


def _take_end(proxy: Proxy, delivery: _Delivery, number: int) -> None:
    delivery.exchange = None
    end = _ENDS[delivery.head.verdict]
    if end is outcomes.AttemptEnd.COMPLETE:
        _complete(proxy, delivery, number)
    _end(proxy, delivery, number, end)


def _complete(proxy: Proxy, delivery: _Delivery, number: int) -> None:
    if not delivery.streamed:
        _pass_on(proxy, delivery, number)
        return
    rest = streams.flush_rest(delivery.splitter)
    _write(proxy, delivery, rest)
    delivery.call.end()
    _forget(proxy, number, "answered", status=delivery.first_head.status)


def _take_failure(
    proxy: Proxy, delivery: _Delivery, number: int, stage: transport.Stage
) -> None:
    delivery.exchange = None
    unsent = stage is transport.Stage.NOT_SENT
    end = outcomes.AttemptEnd.NOT_SENT if unsent else outcomes.AttemptEnd.BROKEN
    if not unsent:
        now = transport.read_clock()
        perform_effects(
            proxy, crashes.record_disconnect(proxy.state, now, number)
        )
    _end(proxy, delivery, number, end, lost_after_send=not unsent)


def _end(
    proxy: Proxy,
    delivery: _Delivery,
    number: int,
    end: outcomes.AttemptEnd,
    lost_after_send: bool = False,
) -> None:
    fields = {}
    request = proxy.state.requests.get(number)
    if request is not None and request.attempt is not None:
        fields["sidecar"] = request.attempt.upstream
        if lost_after_send:
            fingerprint = fingerprints.get_fingerprint(request)
            fields["fingerprint"] = fingerprint.hex()
    observation.note_attempt_end(
        proxy.recorder, delivery.track, end.value, **fields
    )
    now = transport.read_clock()
    perform_effects(proxy, outcomes.end_attempt(proxy.state, now, number, end))
