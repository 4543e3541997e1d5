"""Carries requests to sidecars and answers back to callers."""

__all__ = ["Desk", "perform_effect", "take_request"]

import dataclasses

import msgspec

from sycamorefall import errors, messages, observation, settings, transport
from sycamorefall import node as node_module
from sycamorefall.router import (
    attempt_lifecycle,
    effects,
    intake,
    request_parsing,
    stalls,
)
from sycamorefall.router import state as state_module

MOST_UNSENT = 1 << 18
"""Bytes that may wait for a slow caller before the sidecar is paused."""

_ENDS = {
    messages.AttemptOutcome.REFUSED.value: attempt_lifecycle.AttemptEnd.REFUSED,
    messages.AttemptOutcome.REPEATED.value: attempt_lifecycle.AttemptEnd.BROKEN,
    messages.AttemptOutcome.NOT_RUN.value: attempt_lifecycle.AttemptEnd.NOT_RUN,
    messages.AttemptOutcome.FAILED.value: attempt_lifecycle.AttemptEnd.FAILED,
}


class _Delivery:
    """An attempt's answer on its way to the caller.

    A streamed answer passes through; any other is held until it is whole, so
    that a broken one can still be replaced by another attempt's.
    """

    __slots__ = (
        "attempt_id",
        "end",
        "exchange",
        "headers",
        "held",
        "status",
        "streamed",
    )

    def __init__(self, attempt_id: str):
        self.attempt_id = attempt_id
        self.end = attempt_lifecycle.AttemptEnd.COMPLETE
        self.exchange: transport.Exchange | None = None
        self.headers: tuple[tuple[str, str], ...] = ()
        self.held: list[bytes] = []
        self.status = 0
        self.streamed = False


@dataclasses.dataclass(slots=True)
class Desk:
    """Callers that wait, and the attempts made for them.

    Attributes:
        state: The router's decisions.
        calls: Calls by request number.
        deliveries: Answers in progress by attempt.
        tracks: What is recorded of each call, by request number.
        recorder: The process's records.
    """

    state: state_module.RouterState
    calls: dict[int, transport.IncomingCall] = dataclasses.field(
        default_factory=dict
    )
    deliveries: dict[str, _Delivery] = dataclasses.field(default_factory=dict)
    tracks: dict[int, observation.Track] = dataclasses.field(
        default_factory=dict
    )
    recorder: observation.Recorder = dataclasses.field(
        default_factory=observation.Recorder
    )


def take_request(
    node: node_module.Node,
    desk: Desk,
    call: transport.IncomingCall,
    new: state_module.NewRequest,
) -> None:
    """Hands a request to the decisions and holds its caller's connection."""
    now = transport.read_clock()
    number, outcome = intake.admit_request(desk.state, now, new)
    desk.calls[number] = call
    desk.tracks[number] = observation.begin_request(
        desk.recorder,
        now,
        new.service,
        new.team,
        method=new.method,
        idempotent=new.idempotent,
        request_id=call.headers.get(request_parsing.REQUEST_ID_HEADER, ""),
    )
    call.on_hangup = lambda: _cancel(node, desk, number)
    node_module.perform_effects(node, outcome)


def _end_track(desk: Desk, number: int, result: str, **fields: object) -> None:
    track = desk.tracks.pop(number, None)
    if track is not None:
        now = transport.read_clock()
        observation.end_request(desk.recorder, track, now, result, **fields)


def _cancel(node: node_module.Node, desk: Desk, number: int) -> None:
    desk.calls.pop(number, None)
    _end_track(desk, number, "cancelled")
    now = transport.read_clock()
    node_module.perform_effects(
        node, intake.cancel_request(desk.state, now, number)
    )


def perform_effect(
    node: node_module.Node, desk: Desk, effect: effects.Effect
) -> None:
    """Carries out an effect of the router's decisions."""
    match effect:
        case effects.SendRequest():
            _hand_out(node, desk, effect)
        case effects.AnswerError():
            _answer_error(desk, effect)
        case effects.AbortAttempt():
            delivery = desk.deliveries.pop(effect.attempt_id, None)
            if delivery is not None:
                node.client.abort(delivery.exchange)


def _answer_error(desk: Desk, effect: effects.AnswerError) -> None:
    call = desk.calls.pop(effect.request, None)
    if call is None:
        return
    _end_track(desk, effect.request, effect.kind.value, ran=effect.ran.value)
    if not call.begun:
        call.fail(effect.kind, ran=effect.ran, retry_after=effect.retry_after)
        return
    # The caller has part of a streamed answer: it gets a last event that
    # says so, and then a connection that breaks off, so that a client which
    # doesn't know the event can't take the part for the whole either.
    body = errors.describe_error(effect.kind, ran=effect.ran)
    call.write(b"event: error\ndata: " + msgspec.json.encode(body) + b"\n\n")
    call.abort()


def _hand_out(
    node: node_module.Node, desk: Desk, effect: effects.SendRequest
) -> None:
    attempt_id = effect.order.attempt_id
    call = desk.calls[effect.request]
    sidecar = desk.state.directory.vms[effect.sidecar]
    track = desk.tracks[effect.request]
    observation.note_hand_out(
        desk.recorder,
        track,
        transport.read_clock(),
        attempt_id,
        effect.sidecar,
    )
    order = messages.encode_order(effect.order)
    signature = node.authenticator.sign_order(effect.sidecar, order, call.body)
    delivery = _Delivery(attempt_id)
    desk.deliveries[attempt_id] = delivery
    request = transport.OutgoingRequest(
        settings.parse_address(sidecar.data),
        "POST",
        messages.ATTEMPT_PATH,
        (
            (messages.ORDER_HEADER, order),
            (messages.SIGNATURE_HEADER, signature),
        ),
        call.body,
    )
    delivery.exchange = node.client.send(
        request,
        transport.Listener(
            on_head=lambda status, headers: _take_head(
                node, desk, call, delivery, status, headers
            ),
            on_data=lambda data: _take_data(
                node, desk, track, call, delivery, data
            ),
            on_end=lambda: _take_end(node, desk, call, delivery),
            on_failure=lambda stage: _take_failure(
                node, desk, call, delivery, stage
            ),
        ),
    )


def _take_head(
    node: node_module.Node,
    desk: Desk,
    call: transport.IncomingCall,
    delivery: _Delivery,
    status: int,
    headers: list[tuple[str, str]],
) -> None:
    named = dict(headers)
    answered = named.get(messages.ATTEMPT_HEADER.lower())
    if answered != delivery.attempt_id:
        # Guards against someone else's answer: of an earlier request on this
        # connection, of another process at this address, or of a server that
        # never got as far as the attempt. It would be taken for the answer
        # of the upstream. What became of the attempt itself is open.
        node.client.abort(delivery.exchange)
        _finish(node, desk, call, delivery, attempt_lifecycle.AttemptEnd.BROKEN)
        return
    outcome = named.get(messages.OUTCOME_HEADER.lower())
    if outcome is not None:
        delivery.end = _ENDS.get(outcome, attempt_lifecycle.AttemptEnd.FAILED)
        return
    delivery.status = status
    delivery.headers = tuple(
        (name.title(), named[name])
        for name in ("content-type", "cache-control")
        if name in named
    )
    content_type = named.get("content-type", "")
    delivery.streamed = content_type.startswith(transport.EVENT_STREAM)
    _note_progress(desk, delivery, 0)
    if delivery.streamed:
        call.begin(status, delivery.headers)
        call.on_drained = lambda: _pause(node, desk, delivery, False)


def _note_progress(desk: Desk, delivery: _Delivery, size: int) -> None:
    stalls.record_progress(
        desk.state,
        transport.read_clock(),
        delivery.attempt_id,
        size,
        begun=delivery.streamed,
    )


def _pause(
    node: node_module.Node, desk: Desk, delivery: _Delivery, paused: bool
) -> None:
    node.client.pause(delivery.exchange, paused)
    stalls.record_pause(desk.state, delivery.attempt_id, paused)


def _take_data(
    node: node_module.Node,
    desk: Desk,
    track: observation.Track,
    call: transport.IncomingCall,
    delivery: _Delivery,
    data: bytes,
) -> None:
    _note_progress(desk, delivery, len(data))
    if not delivery.streamed:
        delivery.held.append(data)
        return
    observation.note_piece(desk.recorder, track, transport.read_clock())
    call.write(data)
    if call.backlog > MOST_UNSENT:
        _pause(node, desk, delivery, True)


def _take_end(
    node: node_module.Node,
    desk: Desk,
    call: transport.IncomingCall,
    delivery: _Delivery,
) -> None:
    request = desk.state.request_by_attempt.get(delivery.attempt_id)
    if (
        delivery.end is attempt_lifecycle.AttemptEnd.COMPLETE
        and request is not None
    ):
        desk.calls.pop(request, None)
        _end_track(desk, request, "answered", status=delivery.status)
        if delivery.streamed:
            call.end()
        else:
            body = b"".join(delivery.held)
            call.respond(delivery.status, body, delivery.headers)
    _finish(node, desk, call, delivery, delivery.end)


def _take_failure(
    node: node_module.Node,
    desk: Desk,
    call: transport.IncomingCall,
    delivery: _Delivery,
    stage: transport.Stage,
) -> None:
    not_sent = stage is transport.Stage.NOT_SENT
    end = (
        attempt_lifecycle.AttemptEnd.REFUSED
        if not_sent
        else attempt_lifecycle.AttemptEnd.BROKEN
    )
    _finish(node, desk, call, delivery, end)


def _finish(
    node: node_module.Node,
    desk: Desk,
    call: transport.IncomingCall,
    delivery: _Delivery,
    end: attempt_lifecycle.AttemptEnd,
) -> None:
    desk.deliveries.pop(delivery.attempt_id, None)
    observation.count_event(desk.recorder, "attempt", end.value)
    now = transport.read_clock()
    outcome = attempt_lifecycle.end_attempt(
        desk.state, now, delivery.attempt_id, end, answer_begun=call.begun
    )
    node_module.perform_effects(node, outcome)
