"""The sidecar program: takes attempts over HTTP and runs them upstream."""

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
"""Header with the caller's own name for its request."""

_PASSED_ON = frozenset({"content-type", "cache-control"})
"""Headers of an upstream's answer that reach the caller."""

_DELIMITERS = frozenset({"content-length", "transfer-encoding"})
"""Headers that tell where an answer ends."""

_WITHOUT_BODY = frozenset({204, 304})
"""Statuses of answers that have no body."""


class _Relay:
    """A run in progress: the router's call and the upstream's answer."""

    __slots__ = (
        "begun_at",
        "call",
        "end",
        "exchange",
        "meter",
        "order",
        "streamed",
        "track",
    )

    def __init__(
        self,
        call: transport.IncomingCall,
        order: messages.AttemptOrder,
        meter: metering.Meter,
        track: observation.Track,
    ):
        self.streamed = False
        self.track = track
        self.call = call
        self.order = order
        self.meter = meter
        self.begun_at = transport.read_clock()
        self.end: Callable[[str], None] = lambda result: None
        self.exchange: transport.Exchange | None = None


@dataclasses.dataclass(slots=True)
class _Desk:
    """The decisions, the records, and the runs in progress by attempt."""

    state: state_module.SidecarState
    recorder: observation.Recorder
    relays: dict[str, _Relay] = dataclasses.field(default_factory=dict)


def run_sidecar(config: settings.SidecarSettings) -> None:
    """Runs a sidecar until it is told to stop.

    Args:
        config: Its settings.

    Raises:
        errors.AddressInUse: A listening address can't be bound.
    """
    state = state_module.create_state(
        config.vm.name,
        node_module.choose_incarnation(),
        config.upstream.service,
    )
    recorder = observation.Recorder()
    desk = _Desk(state, recorder)
    admission.start_at_minimum(state.limit)
    decisions = node_module.Core(
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
        perform_effects=lambda effect: _perform_effect(node, desk, effect),
        is_idle=lambda: core.is_idle(state),
        begin_stop=lambda: core.begin_stop(state),
    )
    node = node_module.create_node(
        config,
        decisions,
        lambda call: _take_call(node, config, desk, shown, call),
        lambda call: _take_operator_call(shown, call),
    )
    shown = status.create_pages(node, state, recorder, config.listen)
    load.start_polling(node, state, config.upstream.address)
    node_module.run_node(node)


def _perform_effect(
    node: node_module.Node, desk: _Desk, effect: effects.CancelRun
) -> None:
    relay = desk.relays.get(effect.attempt_id)
    if relay is None:
        return
    stage = transport.Stage.NOT_SENT
    if relay.exchange is not None:
        node.client.abort(relay.exchange)
        stage = transport.Stage.SENT
    _end_broken(relay, stage)


def _take_call(
    node: node_module.Node,
    config: settings.SidecarSettings,
    desk: _Desk,
    shown: pages.Pages,
    call: transport.IncomingCall,
) -> None:
    if call.path == messages.ATTEMPT_PATH:
        _take_attempt(node, config, desk, call)
    elif not pages.answer_page(shown, call, for_operators=False):
        call.fail(errors.ErrorKind.UNKNOWN_SERVICE)


def _take_operator_call(
    shown: pages.Pages, call: transport.IncomingCall
) -> None:
    if not pages.answer_page(shown, call, for_operators=True):
        call.fail(errors.ErrorKind.UNKNOWN_SERVICE)


def _take_attempt(
    node: node_module.Node,
    config: settings.SidecarSettings,
    desk: _Desk,
    call: transport.IncomingCall,
) -> None:
    state, recorder = desk.state, desk.recorder
    order = _read_order(node, recorder, call)
    if order is None:
        observation.count_event(recorder, "attempt", "refused")
        _answer_outcome(call, "", messages.AttemptOutcome.REFUSED)
        return
    now = transport.read_clock()
    accepted = running.accept_attempt(state, now, order)
    if accepted is not running.Acceptance.STARTED:
        observation.count_event(recorder, "attempt", accepted.value)
        _answer_outcome(call, order.attempt_id, _OUTCOMES[accepted])
        return
    track = observation.begin_request(
        recorder,
        now,
        order.service,
        order.team,
        attempt=order.attempt_id,
        request_id=dict(order.headers).get(REQUEST_ID_HEADER, ""),
    )
    meter = _choose_meter(state, len(call.body))
    relay = _Relay(call, order, meter, track)
    running.charge_run(state, order.attempt_id, relay.meter.begin())
    relay.end = _make_ending(node, desk, relay)
    desk.relays[order.attempt_id] = relay
    call.on_hangup = lambda: relay.end("cancelled")
    gate.submit_run(
        state.gate,
        now,
        order.attempt_id,
        lambda: _send_upstream(node, config, desk, relay),
    )


_OUTCOMES = {
    running.Acceptance.REFUSED: messages.AttemptOutcome.REFUSED,
    running.Acceptance.REPEATED: messages.AttemptOutcome.REPEATED,
}


def _read_order(
    node: node_module.Node,
    recorder: observation.Recorder,
    call: transport.IncomingCall,
) -> messages.AttemptOrder | None:
    """Reads a hand-out's head, if it is one and a router signed it."""
    text = call.headers.get(messages.ORDER_HEADER, "")
    signature = call.headers.get(messages.SIGNATURE_HEADER, "")
    if not node.authenticator.verify_order(text, call.body, signature):
        observation.count_event(recorder, "order_unsigned")
        observation.write_limited(
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
    named = (
        (messages.ATTEMPT_HEADER, attempt_id),
        (messages.OUTCOME_HEADER, outcome.value),
    )
    call.respond(502, b"", named)


def _choose_meter(
    state: state_module.SidecarState, body_size: int
) -> metering.Meter:
    service = state.versions.configuration.services[state.service]
    if running.serves_engine(state):
        return metering.meter_engine(service, body_size)
    return metering.meter_plain()


def _send_upstream(
    node: node_module.Node,
    config: settings.SidecarSettings,
    desk: _Desk,
    relay: _Relay,
) -> None:
    order, call = relay.order, relay.call
    held = transport.read_clock() - relay.begun_at
    relay.begun_at += held
    request = transport.OutgoingRequest(
        config.upstream.address,
        order.method,
        order.path,
        (*order.headers, *running.list_parent_headers(desk.state, order, held)),
        call.body,
        fresh=not order.idempotent,
    )
    relay.exchange = node.client.send(
        request,
        transport.Listener(
            on_head=lambda status, headers: _relay_head(
                node, relay, status, headers
            ),
            on_data=lambda data: _relay_data(node, desk, relay, data),
            on_end=lambda: _end_whole(relay),
            on_failure=lambda stage: _end_broken(relay, stage),
        ),
    )
    call.on_drained = lambda: node.client.pause(relay.exchange, False)
    call.on_hangup = lambda: _end_unwanted(node, relay)


def _make_ending(
    node: node_module.Node, desk: _Desk, relay: _Relay
) -> Callable[[str], None]:
    """Makes the function that closes a run's books, given its result."""

    def end(result: str) -> None:
        now = transport.read_clock()
        attempt_id = relay.order.attempt_id
        if desk.relays.pop(attempt_id, None) is None:
            return
        sent = relay.exchange is not None
        ran = sent and result != messages.AttemptOutcome.NOT_RUN.value
        if ran:
            rest = relay.meter.finish(now - relay.begun_at)
            running.charge_run(desk.state, attempt_id, rest)
        running.finish_run(desk.state, now, attempt_id, ran)
        gate.release_run(
            desk.state.gate,
            now,
            attempt_id,
            whole=result == "answered",
            is_engine=running.serves_engine(desk.state),
        )
        observation.end_request(desk.recorder, relay.track, now, result)
        node_module.perform_effects(node, claiming.make_claims(desk.state, now))

    return end


MOST_UNSENT = 1 << 18
"""Bytes that may wait for a slow taker before the upstream is paused."""


def _relay_head(
    node: node_module.Node,
    relay: _Relay,
    status_code: int,
    headers: list[tuple[str, str]],
) -> None:
    if not _shows_its_end(relay.order.method, status_code, headers):
        node.client.abort(relay.exchange)
        _end_broken(relay, transport.Stage.SENT)
        return
    passed_on = tuple(pair for pair in headers if pair[0] in _PASSED_ON)
    content_type = dict(passed_on).get("content-type", "")
    relay.streamed = content_type.startswith(transport.EVENT_STREAM)
    named = (messages.ATTEMPT_HEADER, relay.order.attempt_id)
    relay.call.begin(status_code, (named, *passed_on))


def _shows_its_end(
    method: str, status_code: int, headers: list[tuple[str, str]]
) -> bool:
    """Tells whether an answer can be known to be whole.

    Guards against an upstream that dies in the middle of an answer which
    ends only by closing the connection: the part would pass for the whole.
    """
    named = {name for name, _ in headers}
    without_body = method == "HEAD" or status_code in _WITHOUT_BODY
    return without_body or bool(named & _DELIMITERS)


def _relay_data(
    node: node_module.Node, desk: _Desk, relay: _Relay, data: bytes
) -> None:
    attempt_id = relay.order.attempt_id
    if relay.streamed:
        now = transport.read_clock()
        observation.note_piece(desk.recorder, relay.track, now)
    running.charge_run(desk.state, attempt_id, relay.meter.feed(data))
    running.note_sent(desk.state, attempt_id, len(data))
    relay.call.write(data)
    if relay.call.backlog > MOST_UNSENT:
        node.client.pause(relay.exchange, True)


def _end_whole(relay: _Relay) -> None:
    relay.call.end()
    relay.end("answered")


def _end_broken(relay: _Relay, stage: transport.Stage) -> None:
    """Ends a run whose upstream broke off.

    An answer that has begun is broken off too: ended in the usual way it
    would pass for a whole one.
    """
    outcome = messages.AttemptOutcome.FAILED
    if relay.call.begun:
        relay.call.abort()
    else:
        not_run = stage is transport.Stage.NOT_SENT
        if not_run:
            outcome = messages.AttemptOutcome.NOT_RUN
        _answer_outcome(relay.call, relay.order.attempt_id, outcome)
    relay.end(outcome.value)


def _end_unwanted(node: node_module.Node, relay: _Relay) -> None:
    """Ends a run whose router went away or gave it up.

    An idempotent run is cancelled, so that the slot serves someone else. Any
    other goes on to its end: breaking it off could leave half an order
    booked.
    """
    if relay.order.idempotent:
        node.client.abort(relay.exchange)
        relay.end("cancelled")
    else:
        node.client.pause(relay.exchange, False)
