"""The sidecar program: takes attempts over HTTP and runs them upstream."""

__all__ = ["run_sidecar"]

from collections.abc import Callable

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


class _Relay:
    """A run in progress: the router's call and the upstream's answer."""

    __slots__ = (
        "begun_at",
        "call",
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
        self.exchange: transport.Exchange | None = None


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
    admission.begin_low(state.limit)
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
        perform=lambda effect: None,
        is_idle=lambda: core.is_idle(state),
        begin_stop=lambda: core.begin_stop(state),
    )
    recorder = observation.Recorder()
    node = node_module.create_node(
        config,
        decisions,
        lambda call: _take_call(node, config, state, shown, recorder, call),
        lambda call: _take_operator_call(shown, call),
    )
    shown = status.create_pages(node, state, recorder, config.listen)
    load.start_polling(node, state, config.upstream.address)
    node_module.run_node(node)


def _take_call(
    node: node_module.Node,
    config: settings.SidecarSettings,
    state: state_module.SidecarState,
    shown: pages.Pages,
    recorder: observation.Recorder,
    call: transport.IncomingCall,
) -> None:
    if call.path == messages.ATTEMPT_PATH:
        _take_attempt(node, config, state, recorder, call)
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
    state: state_module.SidecarState,
    recorder: observation.Recorder,
    call: transport.IncomingCall,
) -> None:
    order = _read_order(node, recorder, call)
    now = transport.read_clock()
    if order is None or not running.accept_attempt(state, now, order):
        observation.count_event(recorder, "attempt", "refused")
        _answer_outcome(call, messages.Outcome.REFUSED)
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
    end = _make_ending(node, state, recorder, relay)
    call.on_hangup = lambda: end("cancelled")
    gate.pass_gate(
        state.gate,
        now,
        order.attempt_id,
        lambda: _send_upstream(node, config, relay, state, recorder, end),
    )


def _read_order(
    node: node_module.Node,
    recorder: observation.Recorder,
    call: transport.IncomingCall,
) -> messages.AttemptOrder | None:
    """Reads a hand-out's head, if it is one and a router signed it."""
    text = call.headers.get(messages.ORDER_HEADER, "")
    signature = call.headers.get(messages.SIGNATURE_HEADER, "")
    if not node.authenticator.check_order(text, call.body, signature):
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
    call: transport.IncomingCall, outcome: messages.Outcome
) -> None:
    call.respond(502, b"", ((messages.OUTCOME_HEADER, outcome.value),))


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
    relay: _Relay,
    state: state_module.SidecarState,
    recorder: observation.Recorder,
    end: Callable[[str], None],
) -> None:
    order, call = relay.order, relay.call
    held = transport.read_clock() - relay.begun_at
    relay.begun_at += held
    request = transport.OutgoingRequest(
        config.upstream.address,
        order.method,
        order.path,
        (*order.headers, *running.list_parent_headers(state, order, held)),
        call.body,
        fresh=not order.idempotent,
    )
    relay.exchange = node.client.send(
        request,
        transport.Listener(
            on_head=lambda status, headers: _relay_head(relay, status, headers),
            on_data=lambda data: _relay_data(
                node, state, recorder, relay, data
            ),
            on_end=lambda: _end_whole(relay, end),
            on_failure=lambda stage: _end_broken(relay, end, stage),
        ),
    )
    call.on_drained = lambda: node.client.pause(relay.exchange, False)
    call.on_hangup = lambda: _end_unwanted(node, relay, end)


def _make_ending(
    node: node_module.Node,
    state: state_module.SidecarState,
    recorder: observation.Recorder,
    relay: _Relay,
) -> Callable[[str], None]:
    """Makes the function that closes a run's books, given its result."""

    def end(result: str) -> None:
        now = transport.read_clock()
        attempt_id = relay.order.attempt_id
        if relay.exchange is not None:
            rest = relay.meter.finish(now - relay.begun_at)
            running.charge_run(state, attempt_id, rest)
        running.finish_run(state, now, attempt_id)
        gate.leave_gate(
            state.gate,
            now,
            attempt_id,
            whole=result == "answered",
            is_engine=running.serves_engine(state),
        )
        observation.end_request(recorder, relay.track, now, result)
        node_module.perform(node, claiming.make_claims(state, now))

    return end


MOST_UNSENT = 1 << 18
"""Bytes that may wait for a slow taker before the upstream is paused."""


def _relay_head(
    relay: _Relay, status_code: int, headers: list[tuple[str, str]]
) -> None:
    passed_on = tuple(pair for pair in headers if pair[0] in _PASSED_ON)
    content_type = dict(passed_on).get("content-type", "")
    relay.streamed = content_type.startswith(transport.EVENT_STREAM)
    relay.call.begin(status_code, passed_on)


def _relay_data(
    node: node_module.Node,
    state: state_module.SidecarState,
    recorder: observation.Recorder,
    relay: _Relay,
    data: bytes,
) -> None:
    if relay.streamed:
        observation.note_piece(recorder, relay.track, transport.read_clock())
    units = relay.meter.feed(data)
    running.charge_run(state, relay.order.attempt_id, units)
    relay.call.write(data)
    if relay.call.backlog > MOST_UNSENT:
        node.client.pause(relay.exchange, True)


def _end_whole(relay: _Relay, end: Callable[[str], None]) -> None:
    relay.call.end()
    end("answered")


def _end_broken(
    relay: _Relay, end: Callable[[str], None], stage: transport.Stage
) -> None:
    """Ends a run whose upstream broke off.

    An answer that has begun is broken off too: ended in the usual way it
    would pass for a whole one.
    """
    outcome = messages.Outcome.FAILED
    if relay.call.begun:
        relay.call.abort()
    else:
        not_run = stage is transport.Stage.NOT_SENT
        outcome = (
            messages.Outcome.NOT_RUN if not_run else (messages.Outcome.FAILED)
        )
        _answer_outcome(relay.call, outcome)
    end(outcome.value)


def _end_unwanted(
    node: node_module.Node, relay: _Relay, end: Callable[[str], None]
) -> None:
    """Ends a run whose router went away or gave it up.

    An idempotent run is cancelled, so that the slot serves someone else. Any
    other goes on to its end: breaking it off could leave half an order
    booked.
    """
    if relay.order.idempotent:
        node.client.abort(relay.exchange)
        end("cancelled")
    else:
        node.client.pause(relay.exchange, False)
