"""Process shell shared by sidecars and by routers that use sidecars.

The shell performs the I/O and runs the timers of a role's decision logic.
"""

__all__ = ["Node", "create_node", "list_servers", "run_node"]

from collections.abc import Callable, Iterable
import dataclasses
import time

from circuits.core import pollers

from sycamorefall import (
    authentication,
    configuration,
    effects,
    membership,
    messages,
    observation,
    platform_reader,
    replication,
    settings,
    transport,
)
from sycamorefall.configuration import polling

STOP_CHECK_INTERVAL = 0.05
"""Seconds between two checks whether a stopping process is idle."""

QUIET_PERIOD = 0.3
"""Seconds that a stopping process waits after its last response was sent; see
`_check_stop`."""


@dataclasses.dataclass(slots=True)
class Core:
    """Decision logic of a process, as its shell calls it.

    Attributes:
        vm: Name of this VM.
        incarnation: Incarnation of this process.
        versions: Configuration in force.
        directory: VMs of the fleet.
        receive: Handles a control message and returns effects.
        run_timers: Performs the actions that are due and returns effects.
        find_next_due: Returns the time at which the next action is due.
        apply_configuration: Called after a configuration or VM list has come
            into force.
        perform_effect: Called with each effect that is not a control message.
        is_idle: Returns whether nothing is in progress, so that a stopping
            process may exit.
        begin_stop: Makes the decision logic accept no new work.
    """

    vm: str
    incarnation: int
    versions: configuration.VersionState
    directory: membership.Directory
    receive: Callable[[float, messages.Envelope], Iterable]
    run_timers: Callable[[float], Iterable]
    find_next_due: Callable[[], float]
    apply_configuration: Callable[[], None]
    perform_effect: Callable[[object], None]
    is_idle: Callable[[], bool]
    begin_stop: Callable[[], None]


@dataclasses.dataclass(slots=True)
class Node:
    """A router or sidecar process: its decision logic and its I/O.

    Attributes:
        core: Decision logic.
        loop: Event loop and root component.
        control: Connections for control messages.
        client: HTTP client.
        server: HTTP server at the data address.
        reader: Reads the configuration and the VM list from the platform.
        authenticator: Signs and verifies attempt orders and control messages.
        log: Log writer.
        operators: HTTP server at the operators' address, if there is one.
        replica: Documents of this process and its view of its peers'.
        exchanger: Exchanges documents with peers.
        settings: Settings of the process.
        watchers_chosen_for: Epoch and revision of the VM list for which
            watchers were last chosen.
        stopping: Whether the process exits as soon as it is idle.
        next_stop_check_at: Time of the next check whether it is idle.
        exit_at: Time at which it exits if it stays idle; None while it isn't
            idle.
    """

    core: Core
    loop: transport.Loop
    control: transport.ControlLinks
    client: transport.HttpClient
    server: transport.HttpServer
    reader: platform_reader.PlatformReader
    authenticator: authentication.Authenticator
    log: observation.LogWriter
    replica: replication.ReplicaState
    exchanger: replication.DocumentExchanger
    settings: settings.RouterSettings | settings.SidecarSettings
    operators: transport.HttpServer | None = None
    watchers_chosen_for: tuple[int, int] = (0, 0)
    stopping: bool = False
    next_stop_check_at: float = 0.0
    exit_at: float | None = None


def choose_incarnation() -> int:
    """Returns a number for this process, higher than those of earlier ones."""
    return time.time_ns() // 1000


def create_node(
    config: settings.RouterSettings | settings.SidecarSettings,
    core: Core,
    on_call: Callable[[transport.IncomingCall], None],
    on_operator_call: Callable[[transport.IncomingCall], None],
    reload: Callable[[], None],
) -> Node:
    """Opens the sockets of a process and connects them to its decision logic.

    Args:
        config: Settings of the process.
        core: Decision logic.
        on_call: Called with each HTTP request at the data address that is not
            one between replicas.
        on_operator_call: Called with each HTTP request at the operators'
            address.
        reload: Called on SIGHUP.

    Returns:
        The node, ready to run.

    Raises:
        errors.AddressInUse: A listening address can't be bound.
        errors.SettingsRefused: The log or the key file can't be used.
    """
    authenticator = authentication.create_authenticator(
        core.vm, config.security
    )
    log = observation.open_log(config.log)
    loop = transport.create_loop(
        lambda _: begin_stop(node), _log_fault, on_reload=reload
    )
    transport.install_signal_handlers(loop)
    poller = next(
        part for part in loop.components if isinstance(part, pollers.BasePoller)
    )
    control = transport.ControlLinks(
        str(config.listen.control),
        lambda name: _get_control_address(core.directory, name),
        lambda envelope: _handle_envelope(node, envelope),
        authenticator,
    ).register(loop)
    control.attach(poller)
    client = transport.HttpClient(poller, transport.read_clock).register(loop)
    memory = transport.HeldMemory()
    server = transport.HttpServer(
        config.listen.data,
        config.limits,
        lambda call: node.exchanger.handle_call(call) or on_call(call),
        memory=memory,
    ).register(loop)
    replica = replication.create_state(
        core.vm,
        core.versions,
        core.directory,
        config.peers.list_addresses(),
        seed=core.incarnation,
    )
    reader = platform_reader.PlatformReader(
        config.platform,
        client,
        _create_read_callbacks(
            replica, lambda events: _handle_events(node, events)
        ),
        core.vm,
        seed=core.incarnation,
    )
    exchanger = replication.DocumentExchanger(
        replica,
        client,
        authenticator,
        lambda events: _handle_events(node, events),
    )
    node = Node(
        core,
        loop,
        control,
        client,
        server,
        reader,
        authenticator,
        log,
        replica,
        exchanger,
        config,
    )
    if config.listen.operators is not None:
        node.operators = transport.HttpServer(
            config.listen.operators,
            config.limits,
            on_operator_call,
            channel="operators",
            memory=memory,
        ).register(loop)
    _apply_limits(node)
    transport.Ticker(
        lambda: _compute_next_due(node), lambda now: _run_timers(node, now)
    ).register(loop)
    return node


def _apply_limits(node: Node) -> None:
    """Divides what the settings grant, and sets the limits of the servers.

    Each VM of the list may have links to this process. Settings that grant
    neither descriptors nor memory leave connections to `max_connections`.
    """
    limits = node.settings.limits
    vm = transport.read_vm(limits)
    transport.bound_memory(node.server.memory, vm)
    if limits.max_descriptors or limits.max_memory_mb:
        peers = max(len(node.core.directory.vms), node.control.link_count)
        divided = transport.divide(vm, peers)
        transport.limit_servers(list_servers(node), divided)


def _log_fault(trace: str) -> None:
    observation.write_record(
        observation.Level.ERROR, "process.fault", traceback=trace
    )


def run_node(node: Node) -> None:
    """Runs a process until it is stopped and nothing is in progress."""
    core = node.core
    observation.write_record(
        observation.Level.INFO,
        "process.started",
        vm=core.vm,
        incarnation=core.incarnation,
    )
    if not node.authenticator.enabled:
        observation.write_record(
            observation.Level.WARNING,
            "security.no_shared_key",
            meaning="messages from every process that can reach this one are "
            "accepted; set [security] shared_key_file",
        )
    node.loop.run()
    node.control.close()
    observation.write_record(
        observation.Level.INFO, "process.stopped", vm=core.vm
    )


def begin_stop(node: Node) -> None:
    """Begins a graceful stop: refuses new work, finishes work in progress."""
    if not node.stopping:
        observation.write_record(observation.Level.INFO, "process.stopping")
        node.stopping = True
        node.core.begin_stop()
        if isinstance(node.settings, settings.RouterSettings):
            _stop_servers(node)


def _stop_servers(node: Node) -> None:
    """Makes the servers close connections, idle ones at once.

    A router does so when it begins to stop, a sidecar only when it is idle. A
    router may be about to send the request of an open claim on an idle
    connection to a sidecar. If the sidecar closed that connection, the outcome
    of the request would be unknown.
    """
    for server in list_servers(node):
        if not server.stopping:
            server.begin_stop()


def perform_effects(node: Node, outcome: Iterable) -> None:
    """Sends control messages and passes other effects to the core."""
    for effect in outcome:
        if isinstance(effect, effects.SendMessage):
            envelope = messages.Envelope(
                node.core.vm,
                node.core.incarnation,
                node.core.versions.in_force,
                replication.add_replica_info(node.replica, effect.message),
            )
            node.control.send(effect.to, envelope)
        else:
            node.core.perform_effect(effect)


def _get_control_address(
    directory: membership.Directory, name: str
) -> str | None:
    vm = directory.vms.get(name)
    return vm.control if vm else None


def _compute_next_due(node: Node) -> float:
    if node.stopping:
        return min(node.next_stop_check_at, _compute_next_timer(node))
    return _compute_next_timer(node)


def _compute_next_timer(node: Node) -> float:
    return min(
        node.core.find_next_due(),
        node.client.find_next_due(),
        *(server.find_next_due() for server in list_servers(node)),
        node.reader.find_next_due(),
        node.exchanger.find_next_due(),
    )


def list_servers(node: Node) -> list[transport.HttpServer]:
    """Lists the HTTP servers of a process."""
    return [node.server, *filter(None, [node.operators])]


def _run_timers(node: Node, now: float) -> None:
    node.client.expire(now)
    for server in list_servers(node):
        server.expire(now)
    _run_replica(node, now)
    node.log.flush()
    perform_effects(node, node.core.run_timers(now))
    if node.stopping:
        _check_stop(node, now)


def _check_stop(node: Node, now: float) -> None:
    """Stops the event loop once nothing is in progress.

    The decision logic is done with a request before the last bytes of its
    response are sent; exiting then would truncate the response. The process
    therefore first stops listening and then waits until all responses are sent.
    It waits another `QUIET_PERIOD` for the last control messages, which the
    messaging library sends on threads of its own. A sidecar's last account
    entries are among them.

    The loop reads input once more after it was told to stop, so it is told so
    only when no connection can bring a request any more.
    """
    node.next_stop_check_at = now + STOP_CHECK_INTERVAL
    if not node.core.is_idle():
        node.exit_at = None
        return
    _stop_servers(node)
    servers = list_servers(node)
    for server in servers:
        server.end_listening()
    if not all(
        server.is_drained() and not server.listening for server in servers
    ):
        node.exit_at = None
    elif node.exit_at is None:
        node.exit_at = now + QUIET_PERIOD
    elif now >= node.exit_at and all(server.end_input() for server in servers):
        node.loop.stop()


def _run_replica(node: Node, now: float) -> None:
    directory = node.core.directory
    _update_watching(node, now)
    node.reader.run(now)
    node.exchanger.run(now)
    _handle_events(node, replication.try_settle(node.replica, now))
    if membership.drop_departed(directory, now):
        node.control.retain_peers(set(directory.vms))


def _update_watching(node: Node, now: float) -> None:
    """Starts or stops watching the platform when watchers are chosen anew.

    The epoch comes from the wall clock, which is only roughly the same on all
    VMs. A difference affects nothing but the number of watchers.
    """
    directory = node.core.directory
    chosen_for = (int(time.time() / polling.EPOCH_SECONDS), directory.revision)
    if chosen_for == node.watchers_chosen_for:
        return
    node.watchers_chosen_for = chosen_for
    live = [
        vm.name
        for vm in directory.vms.values()
        if vm.state is membership.VmState.LIVE
    ]
    watchers = configuration.choose_watchers(
        live, chosen_for[0], node.settings.platform.watchers
    )
    node.reader.set_watching(now, node.core.vm in watchers)


def _handle_envelope(node: Node, envelope: messages.Envelope) -> None:
    now = transport.read_clock()
    replication.record_envelope(node.replica, now, envelope)
    perform_effects(node, node.core.receive(now, envelope))


def _create_read_callbacks(
    replica: replication.ReplicaState,
    handle: Callable[[list[replication.Event]], None],
) -> platform_reader.ReadCallbacks:
    return platform_reader.ReadCallbacks(
        on_text=lambda published: handle(
            replication.apply_published_text(
                replica, published.revision, published.text
            )
        ),
        on_vms=lambda vms: handle(
            replication.apply_published_list(replica, vms)
        ),
        on_unchanged=lambda kind, revision: (
            replication.record_published_revision(replica, kind, revision)
        ),
        get_known_revision=lambda kind: replication.get_known_revision(
            replica, kind
        ),
    )


def _apply_changes(node: Node, events: list[replication.Event]) -> None:
    action = observation.start_action(
        "configuration.change",
        revision=node.core.versions.in_force,
        vms_revision=node.core.directory.revision,
    )
    node.core.apply_configuration()
    observation.end_action(
        action, changes=[event.kind.value for event in events]
    )


def _handle_events(node: Node, events: list[replication.Event]) -> None:
    kinds = {event.kind for event in events}
    listed = replication.EventKind.LIST_REPLACED in kinds
    if listed or replication.EventKind.TEXT_ADOPTED in kinds:
        _apply_changes(node, events)
    if replication.EventKind.TEXT_ADOPTED in kinds:
        in_force = node.core.versions.configuration
        node.control.update_digests(in_force.teams)
    if listed:
        node.control.retain_peers(set(node.core.directory.vms))
        _apply_limits(node)
    if replication.EventKind.PLATFORM_OLDER in kinds:
        # Either the platform is stale, which the status has to show, or its
        # value changed between this process's read and the peer's response.
        # Another read shows which.
        node.reader.read_soon(transport.read_clock())
    for event in events:
        level = (
            observation.Level.WARNING
            if event.kind in replication.WARNINGS
            else observation.Level.INFO
        )
        observation.write_record(level, event.kind.value, detail=event.detail)
