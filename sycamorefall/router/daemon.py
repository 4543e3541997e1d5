"""The router program: takes callers' requests and hands them to sidecars."""

__all__ = ["run_router"]

import msgspec
from returns import result

from sycamorefall import errors, membership, settings, transport
from sycamorefall import node as node_module
from sycamorefall.router import core, intake, interface, relay
from sycamorefall.router import state as state_module

_JSON = (("Content-Type", "application/json"),)


def run_router(config: settings.RouterSettings) -> None:
    """Runs a router until it is told to stop.

    Args:
        config: Its settings.

    Raises:
        errors.AddressInUse: A listening address can't be bound.
    """
    state = state_module.RouterState(
        config.vm.name, node_module.choose_incarnation()
    )
    desk = relay.Desk(state)
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
        apply_configuration=lambda: None,
        perform=lambda effect: relay.perform_effect(node, desk, effect),
        is_idle=lambda: not state.requests and not desk.calls,
        begin_stop=lambda: core.begin_stop(state),
    )
    node = node_module.create_node(
        config, decisions, lambda call: _take_call(node, config, desk, call)
    )
    node_module.run_node(node)


def _take_call(
    node: node_module.Node,
    config: settings.RouterSettings,
    desk: relay.Desk,
    call: transport.IncomingCall,
) -> None:
    state = desk.state
    match call.path:
        case "/live":
            call.respond(200, b"{}", _JSON)
        case "/ready":
            ready = state.versions.configuration and not state.stopping
            call.respond(200 if ready else 503, b"{}", _JSON)
        case "/status":
            call.respond(200, msgspec.json.encode(_describe(state)), _JSON)
        case _:
            _take_request(node, config, desk, call)


def _describe(state: state_module.RouterState) -> dict[str, object]:
    now = transport.read_clock()
    in_force = state.versions.configuration
    reachable = [
        service
        for service in (in_force.services if in_force else ())
        if membership.select_upstreams(state.directory, now, service)
    ]
    return {
        "vm": state.vm,
        "role": "router",
        "revision": state.versions.in_force,
        "refusal": state.versions.refusal,
        "services": reachable,
        "waiting": state.waiting.total,
        "requests": len(state.requests),
        "late_answers": state.late_answers,
        "stopping": state.stopping,
    }


def _take_request(
    node: node_module.Node,
    config: settings.RouterSettings,
    desk: relay.Desk,
    call: transport.IncomingCall,
) -> None:
    state = desk.state
    if state.versions.configuration is None:
        call.fail(errors.ErrorKind.NOT_READY, retry_after=1)
        return
    team = intake.identify_team(state, _read_key(call))
    if team is None:
        call.fail(errors.ErrorKind.UNKNOWN_TEAM)
        return
    request = interface.read_request(
        call, team, state.versions.configuration, config.limits
    )
    match request:
        case result.Failure(refusal):
            call.fail(refusal.kind, refusal.message)
        case result.Success(new):
            relay.take_request(node, desk, call, new)


def _read_key(call: transport.IncomingCall) -> str:
    scheme, _, key = call.headers.get("Authorization", "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""
