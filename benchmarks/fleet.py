"""Simulates a whole fleet: runs its decision cores on the event queue."""

__all__ = ["Options", "Outcome", "run_fleet"]

import collections
from collections.abc import Iterable
import dataclasses
import random

from benchmarks import events as events_module
from benchmarks import loads
from benchmarks import upstream as upstream_module
from standins import measures
from sycamorefall import configuration, effects, membership, messages
from sycamorefall.router import attempt_lifecycle, intake
from sycamorefall.router import core as router_core
from sycamorefall.router import effects as router_effects
from sycamorefall.router import state as router_state
from sycamorefall.sidecar import claiming, running
from sycamorefall.sidecar import core as sidecar_core
from sycamorefall.sidecar import state as sidecar_state

SERVICE = "assistant"

WARM_UP = 1.0
"""Seconds before the first request, in which routers and sidecars connect."""

TIMEOUT = 600.0
"""Request timeout in seconds, longer than any run."""


@dataclasses.dataclass(slots=True, frozen=True)
class Options:
    """Size and policy of a run.

    Attributes:
        routers: Number of routers.
        upstreams: Number of upstreams, each with a sidecar.
        slots: Number of slots of each upstream.
        seconds: Duration in which requests arrive.
        seed: Seed of all random choices.
        delay: One-way delay of every message, in seconds.
        account_delay: Additional delay of account updates, in seconds.
        ahead: Number of claims ahead of a free slot; None for the product's
            default.
        reserve: Whether the estimated cost of claims and running requests is
            reserved in the teams' accounts.
    """

    routers: int = 4
    upstreams: int = 10
    slots: int = 8
    seconds: float = 160.0
    seed: int = 1
    delay: float = 0.001
    account_delay: float = 0.0
    ahead: int | None = None
    reserve: bool = True


@dataclasses.dataclass(slots=True)
class Outcome:
    """Result of a run.

    Attributes:
        services: All service given; requests in progress count up to the end.
        waits: All waits; those of waiting requests last up to the end.
        sent: Number of control messages by kind.
        sent_bytes: Encoded size of all control messages.
    """

    services: list[measures.ServiceInterval] = dataclasses.field(
        default_factory=list
    )
    waits: list[measures.WaitInterval] = dataclasses.field(default_factory=list)
    sent: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    sent_bytes: int = 0


@dataclasses.dataclass(slots=True)
class _Node:
    """A simulated process: its decision core and its next timer."""

    state: router_state.RouterState | sidecar_state.SidecarState
    core: object
    upstream: upstream_module.Upstream | None = None
    next_timer_at: float = float("inf")
    isolated: bool = False


@dataclasses.dataclass(slots=True)
class _Fleet:
    partition: tuple[float, float]
    options: Options
    events: events_module.EventQueue
    nodes: dict[str, _Node]
    outcome: Outcome
    waiting: dict[tuple[str, int], loads.Arrival]
    running: dict[str, tuple[str, float, float]]
    arrivals: dict[tuple[str, int], loads.Arrival] = dataclasses.field(
        default_factory=dict
    )


def run_fleet(
    case: loads.Case, options: Options, prepare=lambda state: None
) -> Outcome:
    """Simulates a load on a fleet.

    Args:
        case: The load.
        options: Size and policy.
        prepare: Called with the state of each sidecar before the start, to
            change or disable a part of the policy.

    Returns:
        The service, the waits and the control messages of the run.
    """
    fleet = _create_fleet(case, options)
    for node in fleet.nodes.values():
        if node.upstream is not None:
            if options.ahead is not None:
                node.state.limit.extra_claims = options.ahead
            prepare(node.state)
    slots = options.upstreams * options.slots
    arrivals = loads.plan_arrivals(
        case, slots, options.routers, options.seconds, options.seed
    )
    for arrival in arrivals:
        events_module.schedule(
            fleet.events,
            WARM_UP + arrival.at,
            lambda arrival=arrival: _admit(fleet, arrival),
        )
    end = WARM_UP + options.seconds
    events_module.run_until(fleet.events, end)
    _record_unfinished(fleet, end)
    return fleet.outcome


def _create_fleet(case: loads.Case, options: Options) -> _Fleet:
    vms = [
        membership.VmEntry(f"router-{i}", membership.VmRole.ROUTER, "d", "", "")
        for i in range(options.routers)
    ] + [
        membership.VmEntry(
            f"engine-{i}", membership.VmRole.UPSTREAM, "d", "", "", SERVICE
        )
        for i in range(options.upstreams)
    ]
    begin, end = (WARM_UP + part * options.seconds for part in case.partition)
    fleet = _Fleet(
        (begin, end), options, events_module.EventQueue(), {}, Outcome(), {}, {}
    )
    half = options.upstreams // 2
    isolated = {"router-0", *(f"engine-{i}" for i in range(half))}
    text = _write_text(case, options)
    rng = random.Random(options.seed)
    for vm in vms:
        node = _create_node(vm, options)
        fleet.nodes[vm.name] = node
        node.isolated = vm.name in isolated
        configuration.submit_text(node.state.versions, 1, text)
        membership.apply_vm_list(
            node.state.directory, membership.VmList(1, tuple(vms))
        )
        if node.upstream is not None:
            sidecar_core.apply_configuration(node.state)
        node.next_timer_at = rng.uniform(0.0, 0.1)
        events_module.schedule(
            fleet.events,
            node.next_timer_at,
            lambda node=node: _run_timers(fleet, node),
        )
    return fleet


def _create_node(vm: membership.VmEntry, options: Options) -> _Node:
    if vm.role is membership.VmRole.ROUTER:
        return _Node(router_state.RouterState(vm.name, 1), router_core)
    state = sidecar_state.create_state(vm.name, 1, SERVICE)
    return _Node(state, sidecar_core, upstream_module.Upstream(options.slots))


def _write_text(case: loads.Case, options: Options) -> str:
    teams = "".join(
        f"[team {sender.team}]\nweight = {sender.weight}\n"
        for sender in case.senders
    )
    service = f"[service {SERVICE}]\nkind = engine\n"
    return f"{service}concurrency = {options.slots}\n{teams}"


def _admit(fleet: _Fleet, arrival: loads.Arrival) -> None:
    name = f"router-{arrival.router}"
    node = fleet.nodes[name]
    new = router_state.NewRequest(
        SERVICE, arrival.team, "POST", "/", (), TIMEOUT, True, arrival.hint
    )
    number, new_effects = intake.admit_request(
        node.state, fleet.events.now, new
    )
    fleet.waiting[name, number] = arrival
    fleet.arrivals[name, number] = arrival
    _apply_effects(fleet, node, new_effects)


def _run_timers(fleet: _Fleet, node: _Node) -> None:
    now = fleet.events.now
    if now < node.next_timer_at:
        return
    node.next_timer_at = float("inf")
    _apply_effects(fleet, node, node.core.run_timers(node.state, now))


def _apply_effects(
    fleet: _Fleet, node: _Node, new_effects: Iterable[router_effects.Effect]
) -> None:
    """Executes the effects of a decision core and schedules its next timer."""
    for effect in new_effects:
        match effect:
            case effects.SendMessage():
                _send_message(fleet, node, effect)
            case router_effects.SendRequest():
                _send_request(fleet, node, effect)
            case router_effects.AnswerError():
                _end_wait(fleet, node.state.vm, effect.request)
    due = max(fleet.events.now, node.core.find_next_due(node.state))
    if due < node.next_timer_at:
        node.next_timer_at = due
        events_module.schedule(
            fleet.events, due, lambda: _run_timers(fleet, node)
        )


def _is_partitioned(fleet: _Fleet, one: _Node, other: _Node) -> bool:
    begin, end = fleet.partition
    return one.isolated != other.isolated and begin <= fleet.events.now < end


def _send_message(
    fleet: _Fleet, node: _Node, send: effects.SendMessage
) -> None:
    envelope = messages.Envelope(
        node.state.vm, node.state.incarnation, 1, send.message
    )
    fleet.outcome.sent[type(send.message).__name__] += 1
    fleet.outcome.sent_bytes += len(messages.encode_envelope(envelope))
    at = fleet.events.now + fleet.options.delay
    if isinstance(send.message, messages.AccountUpdate):
        at += fleet.options.account_delay
    target = fleet.nodes[send.to]
    if _is_partitioned(fleet, node, target):
        return

    def deliver() -> None:
        now = fleet.events.now
        new_effects = target.core.receive_message(target.state, now, envelope)
        _apply_effects(fleet, target, new_effects)

    events_module.schedule(fleet.events, at, deliver)


def _send_request(
    fleet: _Fleet, router: _Node, send: router_effects.SendRequest
) -> None:
    order = send.order
    fleet.outcome.sent["AttemptOrder"] += 1
    fleet.outcome.sent_bytes += len(messages.encode_order(order))
    sidecar = fleet.nodes[send.sidecar]
    # The request may have left `waiting`: an idempotent request is sent again
    # if its sidecar stops answering.
    arrival = fleet.arrivals[order.router, send.request]

    def end(how: attempt_lifecycle.AttemptEnd) -> None:
        now = fleet.events.now
        new_effects = attempt_lifecycle.end_attempt(
            router.state, now, order.attempt_id, how, False
        )
        _apply_effects(fleet, router, new_effects)

    def answer(how: attempt_lifecycle.AttemptEnd) -> None:
        at = fleet.events.now + fleet.options.delay
        events_module.schedule(fleet.events, at, lambda: end(how))

    def arrive() -> None:
        accepted = running.accept_attempt(
            sidecar.state, fleet.events.now, order
        )
        if accepted is running.Acceptance.STARTED:
            _run_upstream(fleet, sidecar, send, arrival, answer)
        else:
            answer(attempt_lifecycle.AttemptEnd.REFUSED)

    if _is_partitioned(fleet, router, sidecar):
        answer(attempt_lifecycle.AttemptEnd.BROKEN)
        return
    at = fleet.events.now + fleet.options.delay
    events_module.schedule(fleet.events, at, arrive)


def _run_upstream(
    fleet: _Fleet,
    sidecar: _Node,
    send: router_effects.SendRequest,
    arrival: loads.Arrival,
    answer,
) -> None:
    order, state = send.order, sidecar.state

    def start() -> None:
        _end_wait(fleet, order.router, send.request)
        begun = (arrival.team, fleet.events.now, arrival.cost)
        fleet.running[order.attempt_id] = begun

    def charge(units: float) -> None:
        running.charge_run(state, order.attempt_id, units)
        _apply_effects(fleet, sidecar, ())

    def end() -> None:
        now = fleet.events.now
        team, started, cost = fleet.running.pop(order.attempt_id)
        service = measures.ServiceInterval(team, started, now, cost)
        fleet.outcome.services.append(service)
        running.finish_run(state, now, order.attempt_id)
        if not fleet.options.reserve:
            state.estimates.teams.clear()
            state.estimates.overall = 0.0
        _apply_effects(fleet, sidecar, claiming.make_claims(state, now))
        answer(attempt_lifecycle.AttemptEnd.COMPLETE)

    work = upstream_module.Work(arrival.cost, start, charge, end)
    upstream_module.submit_work(fleet.events, sidecar.upstream, work)


def _end_wait(fleet: _Fleet, router: str, number: int) -> None:
    arrival = fleet.waiting.pop((router, number), None)
    if arrival is not None:
        began = WARM_UP + arrival.at
        wait = measures.WaitInterval(arrival.team, began, fleet.events.now)
        fleet.outcome.waits.append(wait)


def _record_unfinished(fleet: _Fleet, end: float) -> None:
    """Records waits and service in progress, up to the end of the run."""
    for router, number in list(fleet.waiting):
        _end_wait(fleet, router, number)
    for team, started, _ in fleet.running.values():
        units = (end - started) * upstream_module.UNITS_PER_SECOND
        fleet.outcome.services.append(
            measures.ServiceInterval(team, started, end, units)
        )
