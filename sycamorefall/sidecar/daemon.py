"""The sidecar process: accepts attempts and runs them at the upstream."""

__all__ = ["run_sidecar"]

from collections.abc import Callable
import dataclasses

from sycamorefall import (
    admission,
    errors,
    messages,
    observation,
    pages,
    settings,
    transport,
)
from sycamorefall import node as node_module
from sycamorefall.sidecar import (
    claiming,
    core,
    effects,
    gate,
    load,
    metering,
    running,
    status,
)
from sycamorefall.sidecar import state as state_module

REQUEST_ID_HEADER = "X-Request-Id"
"""Header with the ID that the caller gave its request."""

_FORWARDED_HEADERS = frozenset({"content-type", "cache-control"})
"""Headers of an upstream's response that are forwarded to the caller."""

_FRAMING_HEADERS = frozenset({"content-length", "transfer-encoding"})
"""Headers that determine where a response ends."""

_BODILESS_STATUSES = frozenset({204, 304})
"""Status codes of responses without a body."""


class _Relay:
    """A run in progress: the router's call and the upstream's response."""

    __slots__ = (
        "call",
        "end",
        "exchange",
        "meter",
        "order",
        "started_at",
        "streamed",
        "trace",
    )

    def __init__(
        self,
        call: transport.IncomingCall,
        order: messages.AttemptOrder,
        meter: metering.Meter,
        trace: observation.RequestTrace,
    ):
        self.streamed = False
        self.trace = trace
        self.call = call
        self.order = order
        self.meter = meter
        self.started_at = transport.read_clock()
        self.end: Callable[[str], None] = lambda result: None
        self.exchange: transport.Exchange | None = None


@dataclasses.dataclass(slots=True)
class _Proxy:
    """State of the decision logic, the recorder, and runs by attempt."""

    state: state_module.SidecarState
    recorder: observation.Recorder
    relays: dict[str, _Relay] = dataclasses.field(default_factory=dict)


def run_sidecar(
    config: settings.SidecarSettings, reload: Callable[[], None]
) -> None:
    """Runs a sidecar until it is stopped.

    Args:
        config: Settings of the process.
        reload: Called on SIGHUP.

    Raises:
        errors.AddressInUse: A listening address can't be bound.
    """
    state = state_module.create_state(
        config.vm.name,
        node_module.choose_incarnation(),
        config.upstream.service,
    )
    recorder = observation.Recorder()
    proxy = _Proxy(state, recorder)
    admission.start_at_minimum(state.limit)
    node_core = node_module.Core(
        vm=state.vm,
        incarnation=state.incarnation,
        versions=state.versions,
        directory=state.directory,
        receive=lambda now, envelope: core.receive_message(
            state, now, envelope
        ),
        run_timers=lambda now: core.run_timers(state, now),
        find_next_due=lambda: core.find_next_due(state),
        apply_configuration=lambda: core.apply_configuration(state),
        perform_effect=lambda effect: _perform_effect(node, proxy, effect),
        is_idle=lambda: core.is_idle(state),
        begin_stop=lambda: core.begin_stop(state),
    )
    node = node_module.create_node(
        config,
        node_core,
        lambda call: _handle_call(node, config, proxy, operator_pages, call),
        lambda call: _handle_operator_call(operator_pages, call),
        reload,
    )
    operator_pages = status.create_pages(node, state, recorder, config.listen)
    load.start_polling(node, state, config.upstream.address)
    node_module.run_node(node)


def _perform_effect(
    node: node_module.Node, proxy: _Proxy, effect: effects.CancelRun
) -> None:
    relay = proxy.relays.get(effect.attempt_id)
    if relay is None:
        return
    stage = transport.SendStage.NOT_SENT
    if relay.exchange is not None:
        node.client.abort(relay.exchange)
        stage = transport.SendStage.SENT
    _end_failed(relay, stage)


def _handle_call(
    node: node_module.Node,
    config: settings.SidecarSettings,
    proxy: _Proxy,
    operator_pages: pages.Pages,
    call: transport.IncomingCall,
) -> None:
    if call.path == messages.ATTEMPT_PATH:
        _handle_attempt(node, config, proxy, call)
    elif not pages.handle_page_call(operator_pages, call, for_operators=False):
        call.fail(errors.ErrorKind.UNKNOWN_SERVICE)


def _handle_operator_call(
    operator_pages: pages.Pages, call: transport.IncomingCall
) -> None:
    if not pages.handle_page_call(operator_pages, call, for_operators=True):
        call.fail(errors.ErrorKind.UNKNOWN_SERVICE)


def _handle_attempt(
    node: node_module.Node,
    config: settings.SidecarSettings,
    proxy: _Proxy,
    call: transport.IncomingCall,
) -> None:
    state, recorder = proxy.state, proxy.recorder
    order = _read_order(node, recorder, call)
    if order is None:
        observation.count_event(recorder, "attempt", "refused")
        _answer_outcome(call, "", messages.AttemptOutcome.REFUSED)
        return
    now = transport.read_clock()
    accepted = running.accept_attempt(state, now, order)
    if accepted is not running.Acceptance.STARTED:
        observation.count_event(recorder, "attempt", accepted.value)
        _answer_outcome(
            call, order.attempt_id, _OUTCOME_BY_ACCEPTANCE[accepted]
        )
        return
    trace = observation.record_request_start(
        recorder,
        now,
        order.service,
        order.team,
        attempt=order.attempt_id,
        request_id=dict(order.headers).get(REQUEST_ID_HEADER, ""),
    )
    meter = _choose_meter(state, len(call.body))
    relay = _Relay(call, order, meter, trace)
    running.charge_run(state, order.attempt_id, relay.meter.begin())
    relay.end = _create_end_callback(node, proxy, relay)
    proxy.relays[order.attempt_id] = relay
    call.on_hangup = lambda: relay.end("cancelled")
    gate.submit_run(
        state.gate,
        now,
        order.attempt_id,
        lambda: _send_upstream(node, config, proxy, relay),
    )


_OUTCOME_BY_ACCEPTANCE = {
    running.Acceptance.REFUSED: messages.AttemptOutcome.REFUSED,
    running.Acceptance.REPEATED: messages.AttemptOutcome.REPEATED,
}


def _read_order(
    node: node_module.Node,
    recorder: observation.Recorder,
    call: transport.IncomingCall,
) -> messages.AttemptOrder | None:
    """Decodes the order in a call; None if it is invalid or not signed."""
    text = call.headers.get(messages.ORDER_HEADER, "")
    signature = call.headers.get(messages.SIGNATURE_HEADER, "")
    if not node.authenticator.verify_order(text, call.body, signature):
        observation.count_event(recorder, "order_unsigned")
        observation.write_rate_limited(
            observation.Level.WARNING, "order.unsigned", caller=call.remote
        )
        return None
    try:
        return messages.decode_order(text)
    except errors.MessageRefused:
        return None


def _answer_outcome(
    call: transport.IncomingCall,
    attempt_id: str,
    outcome: messages.AttemptOutcome,
) -> None:
    headers = (
        (messages.ATTEMPT_HEADER, attempt_id),
        (messages.OUTCOME_HEADER, outcome.value),
    )
    call.respond(502, b"", headers)


def _choose_meter(
    state: state_module.SidecarState, body_size: int
) -> metering.Meter:
    service = state.versions.configuration.services[state.service]
    if running.serves_engine(state):
        return metering.create_engine_meter(service, body_size)
    return metering.create_plain_meter()


def _send_upstream(
    node: node_module.Node,
    config: settings.SidecarSettings,
    proxy: _Proxy,
    relay: _Relay,
) -> None:
    order, call = relay.order, relay.call
    held_for = transport.read_clock() - relay.started_at
    relay.started_at += held_for
    request = transport.OutgoingRequest(
        config.upstream.address,
        order.method,
        order.path,
        (
            *order.headers,
            *running.build_parent_headers(proxy.state, order, held_for),
        ),
        call.body,
        requires_new_connection=not order.idempotent,
    )
    relay.exchange = node.client.send(
        request,
        transport.Listener(
            on_head=lambda status, headers: _relay_head(
                node, relay, status, headers
            ),
            on_data=lambda data: _relay_data(node, proxy, relay, data),
            on_end=lambda: _end_complete(relay),
            on_failure=lambda stage: _end_failed(relay, stage),
        ),
    )
    call.on_drained = lambda: node.client.pause(relay.exchange, False)
    call.on_hangup = lambda: _end_abandoned(node, relay)


def _create_end_callback(
    node: node_module.Node, proxy: _Proxy, relay: _Relay
) -> Callable[[str], None]:
    """Creates the function that ends a run, given the result.

    It charges the rest of the cost, updates the state, and claims more work.
    """

    def end(result: str) -> None:
        now = transport.read_clock()
        attempt_id = relay.order.attempt_id
        if proxy.relays.pop(attempt_id, None) is None:
            return
        sent = relay.exchange is not None
        ran = sent and result != messages.AttemptOutcome.NOT_RUN.value
        if ran:
            rest = relay.meter.finish(now - relay.started_at)
            running.charge_run(proxy.state, attempt_id, rest)
        running.finish_run(proxy.state, now, attempt_id, ran)
        gate.release_run(
            proxy.state.gate,
            now,
            attempt_id,
            answered=result == "answered",
            is_engine=running.serves_engine(proxy.state),
        )
        observation.record_request_end(proxy.recorder, relay.trace, now, result)
        node_module.perform_effects(
            node, claiming.make_claims(proxy.state, now)
        )

    return end


MAX_UNSENT_BYTES = 1 << 18
"""Bytes that may wait for a slow receiver before reading from the upstream is
paused."""


def _relay_head(
    node: node_module.Node,
    relay: _Relay,
    status_code: int,
    headers: list[tuple[str, str]],
) -> None:
    if not _is_framed(relay.order.method, status_code, headers):
        node.client.abort(relay.exchange)
        _end_failed(relay, transport.SendStage.SENT)
        return
    forwarded = tuple(pair for pair in headers if pair[0] in _FORWARDED_HEADERS)
    content_type = dict(forwarded).get("content-type", "")
    relay.streamed = content_type.startswith(transport.EVENT_STREAM)
    attempt_header = (messages.ATTEMPT_HEADER, relay.order.attempt_id)
    relay.call.begin(status_code, (attempt_header, *forwarded))


def _is_framed(
    method: str, status_code: int, headers: list[tuple[str, str]]
) -> bool:
    """Returns whether the end of a response can be detected.

    If the upstream died during a response that ends only by closing the
    connection, the truncated response would pass for a complete one.
    """
    header_names = {name for name, _ in headers}
    bodiless = method == "HEAD" or status_code in _BODILESS_STATUSES
    return bodiless or bool(header_names & _FRAMING_HEADERS)


def _relay_data(
    node: node_module.Node, proxy: _Proxy, relay: _Relay, data: bytes
) -> None:
    attempt_id = relay.order.attempt_id
    if relay.streamed:
        now = transport.read_clock()
        observation.record_piece(proxy.recorder, relay.trace, now)
    running.charge_run(proxy.state, attempt_id, relay.meter.feed(data))
    running.record_sent(proxy.state, attempt_id, len(data))
    relay.call.write(data)
    if relay.call.unsent_bytes > MAX_UNSENT_BYTES:
        node.client.pause(relay.exchange, True)


def _end_complete(relay: _Relay) -> None:
    relay.call.end()
    relay.end("answered")


def _end_failed(relay: _Relay, stage: transport.SendStage) -> None:
    """Ends a run whose upstream failed.

    A response that has begun is aborted: ended normally, it would pass for a
    complete one.
    """
    outcome = messages.AttemptOutcome.FAILED
    if relay.call.response_started:
        relay.call.abort()
    else:
        not_run = stage is transport.SendStage.NOT_SENT
        if not_run:
            outcome = messages.AttemptOutcome.NOT_RUN
        _answer_outcome(relay.call, relay.order.attempt_id, outcome)
    relay.end(outcome.value)


def _end_abandoned(node: node_module.Node, relay: _Relay) -> None:
    """Ends a run whose router disconnected or aborted it.

    An idempotent run is cancelled to free its slot. Any other run continues to
    its end, because aborting it could leave its work half done, such as an
    order booked in part.
    """
    if relay.order.idempotent:
        node.client.abort(relay.exchange)
        relay.end("cancelled")
    else:
        node.client.pause(relay.exchange, False)
