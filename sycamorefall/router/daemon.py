"""The router process: accepts callers' requests and sends them to sidecars."""

__all__ = ["run_router"]

from collections.abc import Callable

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


def run_router(
    config: settings.RouterSettings, reload: Callable[[], None]
) -> None:
    """Runs a router until it is stopped.

    Args:
        config: The router's settings.
        reload: Called on SIGHUP.

    Raises:
        errors.AddressInUse: A listening address can't be bound.
    """
    state = state_module.RouterState(
        config.vm.name, node_module.choose_incarnation()
    )
    proxy = relay.Proxy(state)
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
        perform_effect=lambda effect: relay.perform_effect(node, proxy, effect),
        is_idle=lambda: not state.requests and not proxy.calls,
        begin_stop=lambda: core.begin_stop(state),
    )
    node = node_module.create_node(
        config,
        node_core,
        lambda call: _handle_call(node, config, proxy, operator_pages, call),
        lambda call: _handle_operator_call(operator_pages, call),
        reload,
    )
    operator_pages = status.create_pages(
        node, state, proxy.recorder, config.listen
    )
    node.server.closings.read_request_id = lambda call: call.headers.get(
        request_parsing.REQUEST_ID_HEADER, ""
    )
    node_module.run_node(node)


def _handle_call(
    node: node_module.Node,
    config: settings.RouterSettings,
    proxy: relay.Proxy,
    operator_pages: pages.Pages,
    call: transport.IncomingCall,
) -> None:
    if not pages.handle_page_call(operator_pages, call, for_operators=False):
        _handle_request(node, config, proxy, call)


def _handle_operator_call(
    operator_pages: pages.Pages, call: transport.IncomingCall
) -> None:
    if not pages.handle_page_call(operator_pages, call, for_operators=True):
        call.fail(errors.ErrorKind.UNKNOWN_SERVICE)


def _handle_request(
    node: node_module.Node,
    config: settings.RouterSettings,
    proxy: relay.Proxy,
    call: transport.IncomingCall,
) -> None:
    state = proxy.state
    if state.versions.configuration is None:
        _refuse(proxy, call, errors.ErrorKind.NOT_READY, retry_after=1)
        return
    token = call.headers.get(admission.PARENT_HEADER)
    caller = dependencies.identify_caller(state, _read_key(call), token)
    if caller is None:
        _refuse(proxy, call, errors.ErrorKind.UNKNOWN_TEAM)
        return
    request = request_parsing.read_request(
        call, caller.team, state.versions.configuration, config.limits
    )
    match request:
        case result.Failure(refusal):
            _refuse(proxy, call, refusal.kind, refusal.message)
        case result.Success(new):
            _bind_and_admit(node, proxy, call, new, caller)


def _bind_and_admit(
    node: node_module.Node,
    proxy: relay.Proxy,
    call: transport.IncomingCall,
    new: state_module.NewRequest,
    caller: dependencies.Caller,
) -> None:
    match dependencies.bind_request(proxy.state, new, caller):
        case result.Failure(kind):
            _refuse(proxy, call, kind)
        case result.Success(bound):
            relay.handle_request(node, proxy, call, bound)


def _refuse(
    proxy: relay.Proxy,
    call: transport.IncomingCall,
    kind: errors.ErrorKind,
    message: str = "",
    retry_after: int | None = None,
) -> None:
    """Answers a call with an error before it becomes a request; counts it."""
    observation.count_event(proxy.recorder, "call_refused", kind.value)
    call.fail(kind, message, retry_after=retry_after)


def _read_key(call: transport.IncomingCall) -> str:
    scheme, _, key = call.headers.get("Authorization", "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""
