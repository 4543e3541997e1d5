"""What the shells of routers and sidecars have in common."""

__all__ = ["Node", "create_node", "run_node"]

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

STOP_CHECK = 0.05
"""Seconds between two looks of a stopping process at whether it is idle."""

STOP_LINGER = 0.3
"""Seconds that a stopping process stays after all that it had to do."""


@dataclasses.dataclass(slots=True)
class Core:
    """The decisions that a node's shell drives.

    Attributes:
        vm: This VM's name.
        incarnation: This process's number.
        versions: The configuration in force.
        directory: The VMs of the fleet.
        receive: Handles a control message.
        run_timers: Does what has come due.
        find_next_due: Tells when something is due next.
        apply_configuration: Called after a text or list came into force.
        perform_effects: Carries out effects that are not messages.
        is_idle: Whether nothing is in progress, so a stopping node may end.
        begin_stop: Makes the decisions take nothing new.
    """

    vm: str
    incarnation: int
    versions: configuration.VersionState
    directory: membership.Directory
    receive: Callable[[float, messages.Envelope], Iterable]
    run_timers: Callable[[float], Iterable]
    find_next_due: Callable[[], float]
    apply_configuration: Callable[[], None]
    perform_effects: Callable[[object], None]
    is_idle: Callable[[], bool]
    begin_stop: Callable[[], None]


@dataclasses.dataclass(slots=True)
class Node:
    """A process of the system: its decisions and its I/O.

    Attributes:
        core: The decisions.
        loop: The root component.
        control: Links for control messages.
        client: Sends HTTP requests.
        server: Takes HTTP requests.
        reader: Reads the platform.
        authenticator: Signs hand-outs and control messages.
        log: Writes the log.
        operators: Takes operators' requests, if at an address of its own.
        replica: Documents of this process and its peers.
        exchanger: Fetches documents from peers.
        settings: The process's settings.
        watch_turn: Epoch and list for which watchers were last chosen.
        stopping: Whether the process is to end once it is idle.
        stop_check: When to look next whether it is.
        stop_at: When it ends, if nothing comes up until then.
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
    watch_turn: tuple[int, int] = (0, 0)
    stopping: bool = False
    stop_check: float = 0.0
    stop_at: float | None = None


def choose_incarnation() -> int:
    """Chooses the number of this process: later processes get higher ones."""
    return time.time_ns() // 1000


def create_node(
    config: settings.RouterSettings | settings.SidecarSettings,
    core: Core,
    on_call: Callable[[transport.IncomingCall], None],
    on_operator_call: Callable[[transport.IncomingCall], None],
) -> Node:
    """Opens a node's sockets and wires them to its decisions.

    Args:
        config: The process's settings.
        core: The decisions.
        on_call: Called with each HTTP request at the data address.
        on_operator_call: Called with each one at the operators' address.

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
    loop = transport.create_loop(lambda: begin_stop(node), _report_fault)
    poller = next(
        part for part in loop.components if isinstance(part, pollers.BasePoller)
    )
    control = transport.ControlLinks(
        str(config.listen.control),
        lambda name: _find_control(core.directory, name),
        lambda envelope: _receive(node, envelope),
        authenticator,
    ).register(loop)
    control.attach(poller)
    client = transport.HttpClient(poller, transport.read_clock).register(loop)
    server = transport.HttpServer(
        config.listen.data,
        config.limits,
        lambda call: node.exchanger.handle_call(call) or on_call(call),
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
        _make_takers(replica, lambda events: _handle_events(node, events)),
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
        ).register(loop)
    transport.Ticker(
        lambda: _find_next_due(node), lambda now: _run_timers(node, now)
    ).register(loop)
    return node


def _report_fault(trace: str) -> None:
    observation.write_record(
        observation.Level.ERROR, "process.fault", traceback=trace
    )


def run_node(node: Node) -> None:
    """Runs a node until it is told to stop and has nothing in progress."""
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
            meaning="every process that reaches this one is believed; "
            "set [security] shared_key_file",
        )
    node.loop.run()
    node.control.close()
    observation.write_record(
        observation.Level.INFO, "process.stopped", vm=core.vm
    )


def begin_stop(node: Node) -> None:
    """Begins a graceful stop: nothing new is taken, the rest is finished."""
    if not node.stopping:
        observation.write_record(observation.Level.INFO, "process.stopping")
        node.stopping = True
        node.core.begin_stop()
        if isinstance(node.settings, settings.RouterSettings):
            _stop_servers(node)


def _stop_servers(node: Node) -> None:
    """Closes idle connections: a router's at once, a sidecar's at the end.

    A router may be about to send the request of an open claim on a kept
    connection of a sidecar; closed under it, the request's outcome would be
    in doubt.
    """
    for server in _list_servers(node):
        if not server.stopping:
            server.begin_stop()


def perform_effects(node: Node, outcome: Iterable) -> None:
    """Carries out effects: messages here, all others by the node's shell."""
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
            node.core.perform_effects(effect)


def _find_control(directory: membership.Directory, name: str) -> str | None:
    vm = directory.vms.get(name)
    return vm.control if vm else None


def _find_next_due(node: Node) -> float:
    if node.stopping:
        return min(node.stop_check, _find_next_timer(node))
    return _find_next_timer(node)


def _find_next_timer(node: Node) -> float:
    return min(
        node.core.find_next_due(),
        node.client.find_next_due(),
        *(server.find_next_due() for server in _list_servers(node)),
        node.reader.find_next_due(),
        node.exchanger.find_next_due(),
    )


def _list_servers(node: Node) -> list[transport.HttpServer]:
    return [node.server, *filter(None, [node.operators])]


def _run_timers(node: Node, now: float) -> None:
    node.client.expire(now)
    for server in _list_servers(node):
        server.expire(now)
    _run_replica(node, now)
    node.log.flush()
    perform_effects(node, node.core.run_timers(now))
    if node.stopping:
        _continue_stop(node, now)


def _continue_stop(node: Node, now: float) -> None:
    """Ends the process once nothing is in progress.

    Guards against a stop that cuts off the end of an answer: the decisions
    are done with a request before its last bytes have left. So the process
    first takes no more connections and then waits until all is sent, a while
    longer than that for the last control messages, which leave on threads of
    the library; a sidecar's last accounts are among them.
    """
    node.stop_check = now + STOP_CHECK
    if not node.core.is_idle():
        return
    _stop_servers(node)
    servers = _list_servers(node)
    for server in servers:
        server.end_listening()
    if not all(server.is_quiet() for server in servers):
        node.stop_at = None
    elif node.stop_at is None:
        node.stop_at = now + STOP_LINGER
    elif now >= node.stop_at:
        node.loop.stop()


def _run_replica(node: Node, now: float) -> None:
    directory = node.core.directory
    _take_watch_turn(node, now)
    node.reader.run(now)
    node.exchanger.run(now)
    _handle_events(node, replication.try_settle(node.replica, now))
    if membership.drop_departed(directory, now):
        node.control.keep_only(set(directory.vms))


def _take_watch_turn(node: Node, now: float) -> None:
    """Begins or ends watching the platform when others are chosen for it.

    The epoch comes from the wall clock, which VMs share roughly; nothing but
    the number of watchers depends on it.
    """
    directory = node.core.directory
    turn = (int(time.time() / polling.EPOCH_SECONDS), directory.revision)
    if turn == node.watch_turn:
        return
    node.watch_turn = turn
    live = [
        vm.name
        for vm in directory.vms.values()
        if vm.state is membership.VmState.LIVE
    ]
    watchers = configuration.choose_watchers(
        live, turn[0], node.settings.platform.watchers
    )
    node.reader.set_watching(now, node.core.vm in watchers)


def _receive(node: Node, envelope: messages.Envelope) -> None:
    now = transport.read_clock()
    replication.record_envelope(node.replica, now, envelope)
    perform_effects(node, node.core.receive(now, envelope))


def _make_takers(
    replica: replication.ReplicaState,
    handle: Callable[[list[replication.Event]], None],
) -> platform_reader.Takers:
    return platform_reader.Takers(
        text=lambda published: handle(
            replication.apply_published_text(
                replica, published.revision, published.text
            )
        ),
        vms=lambda vms: handle(replication.apply_published_list(replica, vms)),
        unchanged=lambda kind, revision: replication.record_published_revision(
            replica, kind, revision
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
        node.control.keep_only(set(node.core.directory.vms))
    if replication.EventKind.PLATFORM_OLDER in kinds:
        # Either it is stale, which the status is to show, or it was changed
        # between our read and the peers' answer: another read tells.
        node.reader.read_soon(transport.read_clock())
    for event in events:
        level = (
            observation.Level.WARNING
            if event.kind in replication.WARNINGS
            else observation.Level.INFO
        )
        observation.write_record(level, event.kind.value, detail=event.detail)
