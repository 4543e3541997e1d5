"""I/O side of a router: sends requests to sidecars, forwards responses."""

__all__ = ["Proxy", "handle_request", "perform_effect"]

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

MAX_UNSENT_BYTES = 1 << 18
"""Unsent bytes for a slow caller above which reading the response is paused."""

MAX_BUFFERED_BYTES = 1 << 22
"""Maximum size of a response that is forwarded only when it is complete."""

_END_BY_OUTCOME = {
    messages.AttemptOutcome.REFUSED.value: attempt_lifecycle.AttemptEnd.REFUSED,
    messages.AttemptOutcome.REPEATED.value: attempt_lifecycle.AttemptEnd.BROKEN,
    messages.AttemptOutcome.NOT_RUN.value: attempt_lifecycle.AttemptEnd.NOT_RUN,
    messages.AttemptOutcome.FAILED.value: attempt_lifecycle.AttemptEnd.FAILED,
}


class _Delivery:
    """The response to an attempt, as received and forwarded to the caller.

    A streamed response is forwarded as it arrives. Any other response is
    buffered until it is complete, so that an incomplete one can still be
    replaced by the response to another attempt.
    """

    __slots__ = (
        "attempt_id",
        "end",
        "exchange",
        "headers",
        "buffered_body",
        "buffered_bytes",
        "status",
        "streamed",
    )

    def __init__(self, attempt_id: str):
        self.attempt_id = attempt_id
        self.end = attempt_lifecycle.AttemptEnd.COMPLETE
        self.exchange: transport.Exchange | None = None
        self.headers: tuple[tuple[str, str], ...] = ()
        self.buffered_body: list[bytes] = []
        self.buffered_bytes = 0
        self.status = 0
        self.streamed = False


@dataclasses.dataclass(slots=True)
class Proxy:
    """Calls in progress, and the attempts made for them.

    Attributes:
        state: State of the router's decision logic.
        calls: Calls by request number.
        deliveries: Responses in progress by attempt ID.
        traces: Log actions and times of the calls, by request number.
        recorder: Counters and histograms of the process.
    """

    state: state_module.RouterState
    calls: dict[int, transport.IncomingCall] = dataclasses.field(
        default_factory=dict
    )
    deliveries: dict[str, _Delivery] = dataclasses.field(default_factory=dict)
    traces: dict[int, observation.RequestTrace] = dataclasses.field(
        default_factory=dict
    )
    recorder: observation.Recorder = dataclasses.field(
        default_factory=observation.Recorder
    )


def handle_request(
    node: node_module.Node,
    proxy: Proxy,
    call: transport.IncomingCall,
    new: state_module.NewRequest,
) -> None:
    """Passes a request to admission and keeps its call until it is answered."""
    now = transport.read_clock()
    number, outcome = intake.admit_request(proxy.state, now, new)
    proxy.calls[number] = call
    proxy.traces[number] = observation.record_request_start(
        proxy.recorder,
        now,
        new.service,
        new.team,
        method=new.method,
        idempotent=new.idempotent,
        request_id=call.headers.get(request_parsing.REQUEST_ID_HEADER, ""),
    )
    call.on_hangup = lambda: _cancel(node, proxy, number)
    node_module.perform_effects(node, outcome)


def _end_trace(
    proxy: Proxy, number: int, result: str, **fields: object
) -> None:
    trace = proxy.traces.pop(number, None)
    if trace is not None:
        now = transport.read_clock()
        observation.record_request_end(
            proxy.recorder, trace, now, result, **fields
        )


def _cancel(node: node_module.Node, proxy: Proxy, number: int) -> None:
    proxy.calls.pop(number, None)
    _end_trace(proxy, number, "cancelled")
    now = transport.read_clock()
    node_module.perform_effects(
        node, intake.cancel_request(proxy.state, now, number)
    )


def perform_effect(
    node: node_module.Node, proxy: Proxy, effect: effects.Effect
) -> None:
    """Performs an effect that the router's decision logic returned."""
    match effect:
        case effects.SendRequest():
            _send_request(node, proxy, effect)
        case effects.AnswerError():
            _answer_error(proxy, effect)
        case effects.AbortAttempt():
            delivery = proxy.deliveries.pop(effect.attempt_id, None)
            if delivery is not None:
                node.client.abort(delivery.exchange)


def _answer_error(proxy: Proxy, effect: effects.AnswerError) -> None:
    call = proxy.calls.pop(effect.request, None)
    if call is None:
        return
    _end_trace(proxy, effect.request, effect.kind.value, ran=effect.ran.value)
    if not call.response_started:
        call.fail(effect.kind, ran=effect.ran, retry_after=effect.retry_after)
        return
    # The caller already has part of a streamed response. It gets a final error
    # event; then the connection is aborted, so that a client that ignores the
    # event can't mistake the incomplete response for a complete one.
    body = errors.create_error_body(effect.kind, ran=effect.ran)
    call.write(b"event: error\ndata: " + msgspec.json.encode(body) + b"\n\n")
    call.abort()


def _send_request(
    node: node_module.Node, proxy: Proxy, effect: effects.SendRequest
) -> None:
    attempt_id = effect.order.attempt_id
    call = proxy.calls[effect.request]
    sidecar = proxy.state.directory.vms[effect.sidecar]
    trace = proxy.traces[effect.request]
    observation.record_attempt_start(
        proxy.recorder,
        trace,
        transport.read_clock(),
        attempt_id,
        effect.sidecar,
    )
    order = messages.encode_order(effect.order)
    signature = node.authenticator.sign_order(effect.sidecar, order, call.body)
    delivery = _Delivery(attempt_id)
    proxy.deliveries[attempt_id] = delivery
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
            on_head=lambda status, headers: _handle_head(
                node, proxy, call, delivery, status, headers
            ),
            on_data=lambda data: _handle_data(
                node, proxy, trace, call, delivery, data
            ),
            on_end=lambda: _handle_end(node, proxy, call, delivery),
            on_failure=lambda stage: _handle_failure(
                node, proxy, call, delivery, stage
            ),
        ),
    )


def _handle_head(
    node: node_module.Node,
    proxy: Proxy,
    call: transport.IncomingCall,
    delivery: _Delivery,
    status: int,
    headers: list[tuple[str, str]],
) -> None:
    header_by_name = dict(headers)
    answered_attempt = header_by_name.get(messages.ATTEMPT_HEADER.lower())
    if answered_attempt != delivery.attempt_id:
        # This response belongs to an earlier request on this connection, to
        # another process at this address, or to a server that failed before
        # it read the attempt. It must not be forwarded as the upstream's
        # response. The outcome of the attempt itself is unknown.
        node.client.abort(delivery.exchange)
        _finish(
            node, proxy, call, delivery, attempt_lifecycle.AttemptEnd.BROKEN
        )
        return
    outcome = header_by_name.get(messages.OUTCOME_HEADER.lower())
    if outcome is not None:
        delivery.end = _END_BY_OUTCOME.get(
            outcome, attempt_lifecycle.AttemptEnd.FAILED
        )
        return
    delivery.status = status
    delivery.headers = tuple(
        (name.title(), header_by_name[name])
        for name in ("content-type", "cache-control")
        if name in header_by_name
    )
    content_type = header_by_name.get("content-type", "")
    delivery.streamed = content_type.startswith(transport.EVENT_STREAM)
    _record_progress(proxy, delivery, 0)
    if delivery.streamed:
        call.begin(status, delivery.headers)
        call.on_drained = lambda: _pause(node, proxy, delivery, False)


def _record_progress(proxy: Proxy, delivery: _Delivery, size: int) -> None:
    stalls.record_progress(
        proxy.state,
        transport.read_clock(),
        delivery.attempt_id,
        size,
        forwarding_started=delivery.streamed,
    )


def _pause(
    node: node_module.Node, proxy: Proxy, delivery: _Delivery, paused: bool
) -> None:
    node.client.pause(delivery.exchange, paused)
    stalls.record_pause(proxy.state, delivery.attempt_id, paused)


def _handle_data(
    node: node_module.Node,
    proxy: Proxy,
    trace: observation.RequestTrace,
    call: transport.IncomingCall,
    delivery: _Delivery,
    data: bytes,
) -> None:
    _record_progress(proxy, delivery, len(data))
    if not delivery.streamed:
        delivery.buffered_body.append(data)
        delivery.buffered_bytes += len(data)
        if delivery.buffered_bytes > MAX_BUFFERED_BYTES:
            # An upstream in trouble may send without end.
            node.client.abort(delivery.exchange)
            end = attempt_lifecycle.AttemptEnd.BROKEN
            _finish(node, proxy, call, delivery, end)
        return
    observation.record_piece(proxy.recorder, trace, transport.read_clock())
    call.write(data)
    if call.unsent_bytes > MAX_UNSENT_BYTES:
        _pause(node, proxy, delivery, True)


def _handle_end(
    node: node_module.Node,
    proxy: Proxy,
    call: transport.IncomingCall,
    delivery: _Delivery,
) -> None:
    request = proxy.state.request_by_attempt.get(delivery.attempt_id)
    if (
        delivery.end is attempt_lifecycle.AttemptEnd.COMPLETE
        and request is not None
    ):
        proxy.calls.pop(request, None)
        _end_trace(proxy, request, "answered", status=delivery.status)
        if delivery.streamed:
            call.end()
        else:
            body = b"".join(delivery.buffered_body)
            call.respond(delivery.status, body, delivery.headers)
    _finish(node, proxy, call, delivery, delivery.end)


def _handle_failure(
    node: node_module.Node,
    proxy: Proxy,
    call: transport.IncomingCall,
    delivery: _Delivery,
    stage: transport.SendStage,
) -> None:
    not_sent = stage is transport.SendStage.NOT_SENT
    end = (
        attempt_lifecycle.AttemptEnd.REFUSED
        if not_sent
        else attempt_lifecycle.AttemptEnd.BROKEN
    )
    _finish(node, proxy, call, delivery, end)


def _finish(
    node: node_module.Node,
    proxy: Proxy,
    call: transport.IncomingCall,
    delivery: _Delivery,
    end: attempt_lifecycle.AttemptEnd,
) -> None:
    proxy.deliveries.pop(delivery.attempt_id, None)
    observation.count_event(proxy.recorder, "attempt", end.value)
    now = transport.read_clock()
    outcome = attempt_lifecycle.end_attempt(
        proxy.state,
        now,
        delivery.attempt_id,
        end,
        response_begun=call.response_started,
    )
    node_module.perform_effects(node, outcome)
