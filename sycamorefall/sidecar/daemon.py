"""The sidecar program: takes attempts over HTTP and runs them upstream."""

__all__ = ["run_sidecar"]

from collections.abc import Callable

import msgspec

from sycamorefall import (
    admission,
    errors,
    messages,
    settings,
    transport,
)
from sycamorefall import node as node_module
from sycamorefall.sidecar import claiming, core, gate, load, metering, running
from sycamorefall.sidecar import state as state_module

_PASSED_ON = frozenset({"content-type", "cache-control"})
"""Headers of an upstream's answer that reach the caller."""


class _Relay:
    """A run in progress: the router's call and the upstream's answer."""

    __slots__ = ("begun_at", "call", "exchange", "meter", "order")

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
        is_idle=lambda: not state.runs and not state.claims.open,
        begin_stop=lambda: core.begin_stop(state),
    )
    node = node_module.create_node(
        config, decisions, lambda call: _take_call(node, config, state, call)
    )
    poller = load.LoadPoller(
        node.client,
        config.upstream.address,
        lambda report: _take_load(node, state, report),
    )
    transport.Ticker(
        lambda: load.find_next_poll(poller),
        lambda now: load.poll_load(poller, now),
    ).register(node.loop)
    node_module.run_node(node)


def _take_load(
    node: node_module.Node,
    state: state_module.SidecarState,
    report: admission.LoadReport,
) -> None:
    if state.versions.configuration is None:
        return
    now = transport.read_clock()
    if running.serves_engine(state):
        admission.note_load(state.limit, now, report)
    else:
        admission.note_foreign(state.limit, now, report)
    gate.open_gate(state.gate, now)
    node_module.perform(node, claiming.make_claims(state, now))


def _take_call(
    node: node_module.Node,
    config: settings.SidecarSettings,
    state: state_module.SidecarState,
    call: transport.IncomingCall,
) -> None:
    if call.path == "/status":
        call.respond(
            200,
            msgspec.json.encode(_describe_status(state)),
            (("Content-Type", "application/json"),),
        )
    elif call.path == messages.ATTEMPT_PATH:
        _take_attempt(node, config, state, call)
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
        "limit": admission.count_own(state.limit),
        "foreign": state.limit.foreign,
        "held": len(state.gate.held),
        "stopping": state.stopping,
    }


def _take_attempt(
    node: node_module.Node,
    config: settings.SidecarSettings,
    state: state_module.SidecarState,
    call: transport.IncomingCall,
) -> None:
    try:
        order = messages.decode_order(
            call.headers.get(messages.ORDER_HEADER, "")
        )
    except errors.MessageRefused:
        _answer_outcome(call, messages.Outcome.REFUSED)
        return
    now = transport.read_clock()
    if not running.accept_attempt(state, now, order):
        _answer_outcome(call, messages.Outcome.REFUSED)
        return
    relay = _Relay(call, order, _choose_meter(state, len(call.body)))
    running.charge_run(state, order.attempt_id, relay.meter.begin())
    call.on_hangup = _make_ending(node, state, relay)
    gate.pass_gate(
        state.gate,
        now,
        order.attempt_id,
        lambda: _send_upstream(node, config, state, relay),
    )


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
    state: state_module.SidecarState,
    relay: _Relay,
) -> None:
    order, call = relay.order, relay.call
    relay.begun_at = transport.read_clock()
    request = transport.OutgoingRequest(
        config.upstream.address,
        order.method,
        order.path,
        order.headers,
        call.body,
        fresh=not order.idempotent,
    )
    end = _make_ending(node, state, relay)
    relay.exchange = node.client.send(
        request,
        transport.Listener(
            on_head=lambda status, headers: call.begin(
                status,
                tuple(pair for pair in headers if pair[0] in _PASSED_ON),
            ),
            on_data=lambda data: _relay_data(node, state, relay, data),
            on_end=lambda: _end_whole(relay, end),
            on_failure=lambda stage: _end_broken(relay, end, stage),
        ),
    )
    call.on_drained = lambda: node.client.pause(relay.exchange, False)
    call.on_hangup = lambda: _end_unwanted(node, relay, end)


def _make_ending(
    node: node_module.Node,
    state: state_module.SidecarState,
    relay: _Relay,
) -> Callable[..., None]:
    """Makes the function that closes a run's books, once."""

    def end(whole: bool = False) -> None:
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
            whole,
            is_engine=running.serves_engine(state),
        )
        node_module.perform(node, claiming.make_claims(state, now))

    return end


MOST_UNSENT = 64
"""Pieces that may wait for a slow taker before the upstream is paused."""


def _relay_data(
    node: node_module.Node,
    state: state_module.SidecarState,
    relay: _Relay,
    data: bytes,
) -> None:
    units = relay.meter.feed(data)
    running.charge_run(state, relay.order.attempt_id, units)
    relay.call.write(data)
    if relay.call.backlog > MOST_UNSENT:
        node.client.pause(relay.exchange, True)


def _end_whole(relay: _Relay, end: Callable[..., None]) -> None:
    relay.call.end()
    end(whole=True)


def _end_broken(
    relay: _Relay, end: Callable[[], None], stage: transport.Stage
) -> None:
    """Ends a run whose upstream broke off.

    An answer that has begun is broken off too: ended in the usual way it
    would pass for a whole one.
    """
    if relay.call.begun:
        relay.call.abort()
    else:
        not_run = stage is transport.Stage.NOT_SENT
        outcome = (
            messages.Outcome.NOT_RUN if not_run else (messages.Outcome.FAILED)
        )
        _answer_outcome(relay.call, outcome)
    end()


def _end_unwanted(
    node: node_module.Node, relay: _Relay, end: Callable[[], None]
) -> None:
    """Ends a run whose router went away or gave it up.

    An idempotent run is cancelled, so that the slot serves someone else. Any
    other goes on to its end: breaking it off could leave half an order
    booked.
    """
    if relay.order.idempotent:
        node.client.abort(relay.exchange)
        end()
    else:
        node.client.pause(relay.exchange, False)
