"""The sidecar program: takes attempts over HTTP and runs them upstream."""

__all__ = ["run_sidecar"]

from collections.abc import Callable
import dataclasses

import msgspec

from sycamorefall import configuration, errors, messages, settings, transport
from sycamorefall import node as node_module
from sycamorefall.sidecar import claiming, core, effects, metering, running
from sycamorefall.sidecar import state as state_module

_PASSED_ON = frozenset({"content-type", "cache-control"})
"""Headers of an upstream's answer that reach the caller."""

_DELIMITERS = frozenset({"content-length", "transfer-encoding"})
"""Headers that tell where an answer ends."""

_WITHOUT_BODY = frozenset({204, 304})
"""Statuses of answers that have no body."""


class _Relay:
    """A run in progress: the router's call and the upstream's answer."""

    __slots__ = ("begun_at", "call", "end", "exchange", "meter", "order")

    def __init__(
        self,
        call: transport.IncomingCall,
        order: messages.AttemptOrder,
        meter: metering.Meter,
    ):
        self.call = call
        self.order = order
        self.meter = meter
        self.begun_at = transport.read_clock()
        self.end: Callable[[bool], None] = lambda ran: None
        self.exchange: transport.Exchange | None = None


@dataclasses.dataclass(slots=True)
class _Desk:
    """The decisions and the runs in progress, by attempt."""

    state: state_module.SidecarState
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
    desk = _Desk(state)
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
        perform=lambda effect: _perform_effect(node, desk, effect),
        is_idle=lambda: not state.runs and not state.claims.open,
        begin_stop=lambda: core.begin_stop(state),
    )
    node = node_module.create_node(
        config, decisions, lambda call: _take_call(node, config, desk, call)
    )
    node_module.run_node(node)


def _perform_effect(
    node: node_module.Node, desk: _Desk, effect: effects.CancelRun
) -> None:
    relay = desk.relays.get(effect.attempt_id)
    if relay is not None:
        node.client.abort(relay.exchange)
        _end_broken(relay, transport.Stage.SENT)


def _take_call(
    node: node_module.Node,
    config: settings.SidecarSettings,
    desk: _Desk,
    call: transport.IncomingCall,
) -> None:
    if call.path == "/status":
        call.respond(
            200,
            msgspec.json.encode(_describe_status(desk.state)),
            (("Content-Type", "application/json"),),
        )
    elif call.path == messages.ATTEMPT_PATH:
        _take_attempt(node, config, desk, call)
    else:
        call.fail(errors.ErrorKind.UNKNOWN_SERVICE)


def _describe_status(state: state_module.SidecarState) -> dict[str, object]:
    return {
        "vm": state.vm,
        "role": "sidecar",
        "service": state.service,
        "revision": state.versions.in_force,
        "refusal": state.versions.refusal,
        "running": len(state.runs),
        "claimed": len(state.claims.open),
        "limit": state.limit.cap,
        "stopping": state.stopping,
    }


def _take_attempt(
    node: node_module.Node,
    config: settings.SidecarSettings,
    desk: _Desk,
    call: transport.IncomingCall,
) -> None:
    state = desk.state
    try:
        order = messages.decode_order(
            call.headers.get(messages.ORDER_HEADER, "")
        )
    except errors.MessageRefused:
        call.fail(errors.ErrorKind.MALFORMED_REQUEST)
        return
    now = transport.read_clock()
    match running.accept_attempt(state, now, order):
        case running.Acceptance.REFUSED:
            _answer_outcome(call, order, messages.Outcome.REFUSED)
        case running.Acceptance.REPEATED:
            _answer_outcome(call, order, messages.Outcome.REPEATED)
        case running.Acceptance.STARTED:
            meter = _choose_meter(state, len(call.body))
            relay = _Relay(call, order, meter)
            running.charge_run(state, order.attempt_id, meter.begin())
            _send_upstream(node, config, desk, relay)


def _answer_outcome(
    call: transport.IncomingCall,
    order: messages.AttemptOrder,
    outcome: messages.Outcome,
) -> None:
    named = (
        (messages.ATTEMPT_HEADER, order.attempt_id),
        (messages.OUTCOME_HEADER, outcome.value),
    )
    call.respond(502, b"", named)


def _choose_meter(
    state: state_module.SidecarState, body_size: int
) -> metering.Meter:
    service = state.versions.configuration.services[state.service]
    if service.kind is configuration.ServiceKind.ENGINE:
        return metering.meter_engine(service, body_size)
    return metering.meter_plain()


def _send_upstream(
    node: node_module.Node,
    config: settings.SidecarSettings,
    desk: _Desk,
    relay: _Relay,
) -> None:
    order, call = relay.order, relay.call
    request = transport.OutgoingRequest(
        config.upstream.address,
        order.method,
        order.path,
        order.headers,
        call.body,
        fresh=not order.idempotent,
    )
    relay.end = _make_ending(node, desk, relay)
    desk.relays[order.attempt_id] = relay
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
) -> Callable[[bool], None]:
    """Makes the function that closes a run's books, once."""

    def end(ran: bool) -> None:
        now = transport.read_clock()
        attempt_id = relay.order.attempt_id
        desk.relays.pop(attempt_id, None)
        if ran:
            rest = relay.meter.finish(now - relay.begun_at)
            running.charge_run(desk.state, attempt_id, rest)
        running.finish_run(desk.state, now, attempt_id, ran)
        node_module.perform(node, claiming.make_claims(desk.state, now))

    return end


MOST_UNSENT = 64
"""Pieces that may wait for a slow taker before the upstream is paused."""


def _relay_head(
    node: node_module.Node,
    relay: _Relay,
    status: int,
    headers: list[tuple[str, str]],
) -> None:
    if not _shows_its_end(relay.order.method, status, headers):
        node.client.abort(relay.exchange)
        _end_broken(relay, transport.Stage.SENT)
        return
    passed_on = [pair for pair in headers if pair[0] in _PASSED_ON]
    named = (messages.ATTEMPT_HEADER, relay.order.attempt_id)
    relay.call.begin(status, (named, *passed_on))


def _shows_its_end(
    method: str, status: int, headers: list[tuple[str, str]]
) -> bool:
    """Tells whether an answer can be known to be whole.

    Guards against an upstream that dies in the middle of an answer which
    ends only by closing the connection: the part would pass for the whole.
    """
    named = {name for name, _ in headers}
    without_body = method == "HEAD" or status in _WITHOUT_BODY
    return without_body or bool(named & _DELIMITERS)


def _relay_data(
    node: node_module.Node, desk: _Desk, relay: _Relay, data: bytes
) -> None:
    attempt_id = relay.order.attempt_id
    running.charge_run(desk.state, attempt_id, relay.meter.feed(data))
    running.note_sent(desk.state, attempt_id, len(data))
    relay.call.write(data)
    if relay.call.backlog > MOST_UNSENT:
        node.client.pause(relay.exchange, True)


def _end_whole(relay: _Relay) -> None:
    relay.call.end()
    relay.end(True)


def _end_broken(relay: _Relay, stage: transport.Stage) -> None:
    """Ends a run whose upstream broke off.

    An answer that has begun is broken off too: ended in the usual way it
    would pass for a whole one.
    """
    ran = stage is transport.Stage.SENT
    if relay.call.begun:
        relay.call.abort()
    else:
        outcome = messages.Outcome.FAILED if ran else messages.Outcome.NOT_RUN
        _answer_outcome(relay.call, relay.order, outcome)
    relay.end(ran)


def _end_unwanted(node: node_module.Node, relay: _Relay) -> None:
    """Ends a run whose router went away or gave it up.

    An idempotent run is cancelled, so that the slot serves someone else. Any
    other goes on to its end: breaking it off could leave half an order
    booked.
    """
    if relay.order.idempotent:
        node.client.abort(relay.exchange)
        relay.end(True)
    else:
        node.client.pause(relay.exchange, False)
