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
    platform,
    settings,
    transport,
)


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
        apply_configuration: Called after a text came into force.
        perform: Carries out effects that are not messages.
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
    perform: Callable[[object], None]
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
        stopping: Whether the process is to end once it is idle.
    """

    core: Core
    loop: transport.Loop
    control: transport.ControlLinks
    client: transport.HttpClient
    server: transport.HttpServer
    reader: platform.PlatformReader
    authenticator: authentication.Authenticator
    log: observation.LogWriter
    operators: transport.HttpServer | None = None
    stopping: bool = False


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
        lambda envelope: perform(
            node, core.receive(transport.read_clock(), envelope)
        ),
        authenticator,
    ).register(loop)
    control.attach(poller)
    client = transport.HttpClient(poller, transport.read_clock).register(loop)
    server = transport.HttpServer(
        config.listen.data, config.limits, on_call
    ).register(loop)
    reader = platform.PlatformReader(
        config.platform,
        client,
        lambda published: _take_text(node, published),
        lambda vms: _take_vms(node, vms),
        seed=core.incarnation,
    )
    node = Node(core, loop, control, client, server, reader, authenticator, log)
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
    observation.write_record(
        observation.Level.INFO, "process.stopped", vm=core.vm
    )


def begin_stop(node: Node) -> None:
    """Begins a graceful stop: nothing new is taken, the rest is finished."""
    if not node.stopping:
        observation.write_record(observation.Level.INFO, "process.stopping")
        node.stopping = True
        node.core.begin_stop()


def perform(node: Node, outcome: Iterable) -> None:
    """Carries out effects: messages here, all others by the node's shell."""
    for effect in outcome:
        if isinstance(effect, effects.Send):
            envelope = messages.Envelope(
                node.core.vm,
                node.core.incarnation,
                node.core.versions.in_force,
                effect.message,
            )
            node.control.send(effect.to, envelope)
        else:
            node.core.perform(effect)


def _find_control(directory: membership.Directory, name: str) -> str | None:
    vm = directory.vms.get(name)
    return vm.control if vm else None


def _find_next_due(node: Node) -> float:
    if node.stopping:
        return 0.0 if node.core.is_idle() else _find_next_timer(node)
    return _find_next_timer(node)


def _find_next_timer(node: Node) -> float:
    return min(
        node.core.find_next_due(),
        node.client.find_next_due(),
        *(server.find_next_due() for server in _list_servers(node)),
        node.reader.find_next_due(),
    )


def _list_servers(node: Node) -> list[transport.HttpServer]:
    return [node.server, *filter(None, [node.operators])]


def _run_timers(node: Node, now: float) -> None:
    node.client.expire(now)
    for server in _list_servers(node):
        server.expire(now)
    node.reader.run(now)
    node.log.flush()
    perform(node, node.core.run_timers(now))
    if node.stopping and node.core.is_idle():
        node.loop.stop()


def _take_text(node: Node, published: platform.PublishedText) -> None:
    versions = node.core.versions
    if published.revision <= versions.revision:
        configuration.offer_text(versions, published.revision, published.text)
        return
    action = observation.start_action(
        "configuration.change",
        revision=published.revision,
        in_force=versions.in_force,
    )
    adoption = configuration.offer_text(
        versions, published.revision, published.text
    )
    if adoption is configuration.Adoption.ADOPTED:
        node.core.apply_configuration()
    if adoption is configuration.Adoption.REFUSED:
        observation.write_record(
            observation.Level.WARNING,
            "configuration.refused",
            revision=published.revision,
            reason=versions.refusal,
        )
    observation.end_action(action, adoption=adoption.value)


def _take_vms(node: Node, vms: membership.VmList) -> None:
    if membership.replace_list(node.core.directory, vms):
        observation.write_record(
            observation.Level.INFO,
            "vms.changed",
            revision=vms.revision,
            vms=len(vms.vms),
        )
        node.control.keep_only(set(node.core.directory.vms))
