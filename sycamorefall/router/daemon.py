"""The router program: takes callers' requests and hands them to sidecars."""

__all__ = ["run_router"]

from returns import result

from sycamorefall import (
    admission,
    errors,
    observation,
    pages,
    settings,
    transport,
)
from sycamorefall import node as node_module
from sycamorefall.router import (
    core,
    dependencies,
    relay,
    request_parsing,
    status,
)
from sycamorefall.router import state as state_module


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
        apply_configuration=lambda: core.apply_configuration(state),
        perform_effects=lambda effect: relay.perform_effect(node, desk, effect),
        is_idle=lambda: not state.requests and not desk.calls,
        begin_stop=lambda: core.begin_stop(state),
    )
    node = node_module.create_node(
        config,
        decisions,
        lambda call: _take_call(node, config, desk, shown, call),
        lambda call: _take_operator_call(shown, call),
    )
    shown = status.create_pages(node, state, desk.recorder, config.listen)
    node_module.run_node(node)


def _take_call(
    node: node_module.Node,
    config: settings.RouterSettings,
    desk: relay.Desk,
    shown: pages.Pages,
    call: transport.IncomingCall,
) -> None:
    if not pages.answer_page(shown, call, for_operators=False):
        _take_request(node, config, desk, call)


def _take_operator_call(
    shown: pages.Pages, call: transport.IncomingCall
) -> None:
    if not pages.answer_page(shown, call, for_operators=True):
        call.fail(errors.ErrorKind.UNKNOWN_SERVICE)


def _take_request(
    node: node_module.Node,
    config: settings.RouterSettings,
    desk: relay.Desk,
    call: transport.IncomingCall,
) -> None:
    state = desk.state
    if state.versions.configuration is None:
        _refuse(desk, call, errors.ErrorKind.NOT_READY, retry_after=1)
        return
    token = call.headers.get(admission.PARENT_HEADER)
    caller = dependencies.identify_caller(state, _read_key(call), token)
    if caller is None:
        _refuse(desk, call, errors.ErrorKind.UNKNOWN_TEAM)
        return
    request = request_parsing.read_request(
        call, caller.team, state.versions.configuration, config.limits
    )
    match request:
        case result.Failure(refusal):
            _refuse(desk, call, refusal.kind, refusal.message)
        case result.Success(new):
            _take_bound(node, desk, call, new, caller)


def _take_bound(
    node: node_module.Node,
    desk: relay.Desk,
    call: transport.IncomingCall,
    new: state_module.NewRequest,
    caller: dependencies.Caller,
) -> None:
    match dependencies.bind_request(desk.state, new, caller):
        case result.Failure(kind):
            _refuse(desk, call, kind)
        case result.Success(bound):
            relay.take_request(node, desk, call, bound)


def _refuse(
    desk: relay.Desk,
    call: transport.IncomingCall,
    kind: errors.ErrorKind,
    message: str = "",
    retry_after: int | None = None,
) -> None:
    """Answers a call that becomes no request."""
    observation.count_event(desk.recorder, "call_refused", kind.value)
    call.fail(kind, message, retry_after=retry_after)


def _read_key(call: transport.IncomingCall) -> str:
    scheme, _, key = call.headers.get("Authorization", "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""
