"""Simulated fleet: routers and sidecars connected by an unreliable network.

Only the I/O is simulated: all decisions are made by the real cores. The clock
of each VM has a different offset, so a decision that compares the clocks of two
VMs is wrong immediately.
"""

import collections
import dataclasses

from sycamorefall import configuration, effects, errors, membership, messages
from sycamorefall.router import attempt_lifecycle, intake
from sycamorefall.router import core as router_core
from sycamorefall.router import effects as router_effects
from sycamorefall.router import state as router_state
from sycamorefall.sidecar import core as sidecar_core
from sycamorefall.sidecar import running
from sycamorefall.sidecar import state as sidecar_state

SERVICE = "ledger"
CONFIGURATION_TEXT = "[service ledger]\nkind = plain\nconcurrency = 2\n"
ROUTERS = ("router-0", "router-1")
SIDECARS = ("ledger-0", "ledger-1", "ledger-2")

VM_LIST = membership.VmList(
    1,
    tuple(
        membership.VmEntry(
            name,
            membership.VmRole.ROUTER
            if name in ROUTERS
            else membership.VmRole.UPSTREAM,
            f"domain-{index}",
            control="",
            data="",
            service="" if name in ROUTERS else SERVICE,
        )
        for index, name in enumerate((*ROUTERS, *SIDECARS))
    ),
)


@dataclasses.dataclass(slots=True)
class Process:
    """A VM and the process that runs on it.

    Attributes:
        name: VM name.
        clock_offset: Seconds by which the VM's clock is ahead of the fleet's
            time.
        incarnation: Incarnation of the process.
        frozen: Whether the process is suspended, so that it runs no timers and
            receives nothing.
        state: State of the router or sidecar.
        callers: At a router, names of the requests of connected callers, by the
            number of the request at this process.
    """

    name: str
    clock_offset: float
    incarnation: int = 0
    frozen: bool = False
    state: router_state.RouterState | sidecar_state.SidecarState | None = None
    callers: dict[int, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Connection:
    """Connection over which a router sends one attempt to a sidecar.

    Attributes:
        order: Metadata of the attempt.
        request: Name of the request.
        router: VM name and incarnation of the router.
        open: Whether the router's end is open.
        accepted_by: VM name and incarnation of the sidecar that accepted the
            attempt; None if none has.
    """

    order: messages.AttemptOrder
    request: str
    router: tuple[str, int]
    open: bool = True
    accepted_by: tuple[str, int] | None = None


class Fleet:
    """Two routers, three sidecars and the network between them.

    Attributes:
        now: Time of the fleet, in seconds; see `clock`.
        processes: VMs and their processes by VM name.
        pending_messages: Control messages in transit, with the receiver's VM
            name.
        pending_attempts: IDs of the attempts whose requests are in transit to a
            sidecar.
        pending_replies: Attempts whose results are in transit to the router,
            and the results.
        connections: Connections by attempt ID.
        runs: Names of the requests that run at an upstream, by attempt ID.
        start_counts: How often each request was started at an upstream.
        idempotent: Whether each request is idempotent, by its name.
        final_answers: Error kind, empty for success, and the reported
            `errors.Ran` of each answered request.
        abandoned: Names of the requests whose callers disconnected.
    """

    def __init__(self):
        self.now = 1000.0
        self.processes = {
            name: Process(name, clock_offset=index * 5000.0)
            for index, name in enumerate((*ROUTERS, *SIDECARS))
        }
        self.pending_messages: list[tuple[str, messages.Envelope]] = []
        self.pending_attempts: list[str] = []
        self.pending_replies: list[
            tuple[str, attempt_lifecycle.AttemptEnd]
        ] = []
        self.connections: dict[str, Connection] = {}
        self.runs: dict[str, str] = {}
        self.start_counts: collections.Counter[str] = collections.Counter()
        self.idempotent: dict[str, bool] = {}
        self.final_answers: dict[str, tuple[str, errors.Ran]] = {}
        self.abandoned: set[str] = set()
        for name in self.processes:
            self.restart(name)

    def clock(self, name: str) -> float:
        """Computes the time by a VM's own clock, in seconds."""
        return self.now + self.processes[name].clock_offset

    def restart(self, name: str) -> None:
        """Replaces a process by a new one without its state.

        Its callers are disconnected, and the connections of its attempts break.
        """
        process = self.processes[name]
        process.incarnation += 1
        process.frozen = False
        create = _create_router if name in ROUTERS else _create_sidecar
        process.state = create(name, process.incarnation)
        self.abandoned.update(process.callers.values())
        process.callers.clear()
        for attempt_id, connection in self.connections.items():
            if connection.accepted_by and connection.accepted_by[0] == name:
                self.runs.pop(attempt_id, None)
                self.break_connection(attempt_id)
            elif connection.router[0] == name:
                connection.open = False

    def submit(self, name: str, timeout: float, idempotent: bool) -> None:
        """Sends a new request to a router.

        Args:
            name: VM name of the router.
            timeout: Seconds until the request's deadline.
            idempotent: Whether the request is idempotent.
        """
        request = f"request-{len(self.idempotent)}"
        process = self.processes[name]
        new = router_state.NewRequest(
            SERVICE, "mill", "POST", "/orders", (), timeout, idempotent
        )
        self.idempotent[request] = idempotent
        number = process.state.last_request + 1
        process.callers[number] = request
        _, effect_list = intake.admit_request(
            process.state, self.clock(name), new
        )
        self.perform_effects(name, effect_list)
        self.run_timers(name)

    def disconnect_caller(self, name: str, number: int) -> None:
        """Makes the caller of a request disconnect from its router."""
        process = self.processes[name]
        self.abandoned.add(process.callers.pop(number))
        effect_list = intake.cancel_request(
            process.state, self.clock(name), number
        )
        self.perform_effects(name, effect_list)

    def perform_effects(self, name: str, effect_list) -> None:
        """Carries out the effects that a core returned."""
        process = self.processes[name]
        for effect in effect_list:
            match effect:
                case effects.SendMessage():
                    envelope = messages.Envelope(
                        name, process.incarnation, 1, effect.message
                    )
                    self.pending_messages.append((effect.to, envelope))
                case router_effects.SendRequest():
                    attempt_id = effect.order.attempt_id
                    self.connections[attempt_id] = Connection(
                        effect.order,
                        process.callers[effect.request],
                        (name, process.incarnation),
                    )
                    self.pending_attempts.append(attempt_id)
                case router_effects.AnswerError():
                    self.answer_caller(
                        name, effect.request, effect.kind.value, effect.ran
                    )
                case router_effects.AbortAttempt():
                    self.connections[effect.attempt_id].open = False
                case _:
                    self.end_run(
                        effect.attempt_id, attempt_lifecycle.AttemptEnd.FAILED
                    )

    def answer_caller(
        self, name: str, number: int, kind: str, ran: errors.Ran
    ) -> None:
        """Records the final answer to a caller, and checks that it is true.

        Args:
            name: VM name of the router.
            number: Number of the request at the router.
            kind: Kind of the error; empty for success.
            ran: Whether the request was run, as reported to the caller.
        """
        request = self.processes[name].callers.pop(number, None)
        if request is None:
            return
        assert request not in self.final_answers, (
            "second final answer to a caller"
        )
        self.final_answers[request] = (kind, ran)
        if ran is errors.Ran.NO:
            assert not self.start_counts[request], (
                "reported as not run, but it ran"
            )
        if ran is errors.Ran.YES:
            assert self.start_counts[request], (
                "reported as run, but it never ran"
            )

    def deliver_message(self, index: int) -> None:
        """Delivers a pending control message, which stays pending."""
        name, envelope = self.pending_messages[index]
        process = self.processes[name]
        core = router_core if name in ROUTERS else sidecar_core
        now = self.clock(name)
        self.perform_effects(
            name, core.receive_message(process.state, now, envelope)
        )
        self.run_timers(name)

    def deliver_attempt(self, attempt_id: str, reachable: bool) -> None:
        """Delivers an attempt to the process that now runs on the sidecar's VM.

        Args:
            attempt_id: The attempt; it stays in `pending_attempts`.
            reachable: Whether the sidecar can connect to its upstream.
        """
        connection = self.connections[attempt_id]
        order = connection.order
        sidecar = self.processes[order.sidecar]
        now = self.clock(order.sidecar)
        ends = {
            running.Acceptance.REFUSED: attempt_lifecycle.AttemptEnd.REFUSED,
            running.Acceptance.REPEATED: attempt_lifecycle.AttemptEnd.BROKEN,
        }
        accepted = running.accept_attempt(sidecar.state, now, order)
        if accepted in ends:
            self.pending_replies.append((attempt_id, ends[accepted]))
            return
        connection.accepted_by = (order.sidecar, sidecar.incarnation)
        self.runs[attempt_id] = connection.request
        if not reachable:
            self.end_run(attempt_id, attempt_lifecycle.AttemptEnd.NOT_RUN)
            return
        self.start_counts[connection.request] += 1
        answer = self.final_answers.get(connection.request)
        assert not answer or answer[1] is not errors.Ran.NO, (
            "started after it was reported as not run"
        )
        if not self.idempotent[connection.request]:
            assert self.start_counts[connection.request] == 1, "started twice"

    def end_run(
        self, attempt_id: str, end: attempt_lifecycle.AttemptEnd
    ) -> None:
        """Ends a run at the upstream and queues its result for the router."""
        if self.runs.pop(attempt_id, None) is None:
            return
        name, incarnation = self.connections[attempt_id].accepted_by
        assert self.processes[name].incarnation == incarnation
        ran = end is not attempt_lifecycle.AttemptEnd.NOT_RUN
        state = self.processes[name].state
        running.finish_run(state, self.clock(name), attempt_id, ran)
        self.pending_replies.append((attempt_id, end))

    def detect_disconnect(self, attempt_id: str) -> None:
        """Makes a sidecar detect that the router closed a connection.

        The sidecar then cancels an idempotent run; others continue.
        """
        connection = self.connections[attempt_id]
        if not connection.open and connection.order.idempotent:
            self.end_run(attempt_id, attempt_lifecycle.AttemptEnd.FAILED)

    def break_connection(self, attempt_id: str) -> None:
        """Breaks an attempt's connection, as seen by the router."""
        self.pending_replies.append(
            (attempt_id, attempt_lifecycle.AttemptEnd.BROKEN)
        )

    def deliver_reply(
        self, attempt_id: str, end: attempt_lifecycle.AttemptEnd
    ) -> None:
        """Delivers an attempt's result to its router.

        It is ignored if the router has closed the connection or restarted.
        """
        connection = self.connections[attempt_id]
        name, incarnation = connection.router
        process = self.processes[name]
        if not connection.open or process.incarnation != incarnation:
            return
        connection.open = False
        number = process.state.request_by_attempt.get(attempt_id)
        if end is attempt_lifecycle.AttemptEnd.COMPLETE and number is not None:
            assert process.callers.get(number) == connection.request, (
                "response to another request"
            )
            self.answer_caller(name, number, "", errors.Ran.YES)
        effect_list = attempt_lifecycle.end_attempt(
            process.state, self.clock(name), attempt_id, end, False
        )
        self.perform_effects(name, effect_list)

    def advance(self, seconds: float) -> None:
        """Advances the time, and runs the timers of processes not frozen."""
        self.now += seconds
        for name, process in self.processes.items():
            if not process.frozen:
                self.run_timers(name)

    def run_timers(self, name: str) -> None:
        """Runs the due timers, as a process does before it sleeps again."""
        state = self.processes[name].state
        core = router_core if name in ROUTERS else sidecar_core
        now = self.clock(name)
        for _ in range(4):
            if core.find_next_due(state) > now:
                return
            self.perform_effects(name, core.run_timers(state, now))
        assert core.find_next_due(state) > now, (
            "timers are always due: busy loop"
        )

    def advance_connected(self, seconds: float) -> None:
        """Advances the time in steps, and delivers control messages at each."""
        steps = min(24, max(1, round(seconds / 0.5)))
        for _ in range(steps):
            self.advance(seconds / steps)
            self.deliver_all_messages()

    def deliver_all_messages(self) -> None:
        """Delivers control messages and responses to processes not frozen."""
        for _ in range(6):
            pending, self.pending_messages = self.pending_messages, []
            for name, envelope in pending:
                self.pending_messages.append((name, envelope))
                if not self.processes[name].frozen:
                    self.deliver_message(len(self.pending_messages) - 1)
                    self.pending_messages.remove((name, envelope))

    def deliver_all_attempts(self) -> None:
        """Delivers the pending attempts of sidecars that are not frozen."""
        attempts, self.pending_attempts = self.pending_attempts, []
        for attempt_id in attempts:
            if self.processes[
                self.connections[attempt_id].order.sidecar
            ].frozen:
                self.pending_attempts.append(attempt_id)
            else:
                self.deliver_attempt(attempt_id, reachable=True)

    def deliver_all_replies(self) -> None:
        """Delivers the pending replies to routers that are not frozen."""
        replies, self.pending_replies = self.pending_replies, []
        for reply in replies:
            if self.processes[self.connections[reply[0]].router[0]].frozen:
                self.pending_replies.append(reply)
            else:
                self.deliver_reply(*reply)


def _create_router(name: str, incarnation: int) -> router_state.RouterState:
    state = router_state.RouterState(name, incarnation)
    configuration.submit_text(state.versions, 1, CONFIGURATION_TEXT)
    membership.apply_vm_list(state.directory, VM_LIST)
    return state


def _create_sidecar(name: str, incarnation: int) -> sidecar_state.SidecarState:
    state = sidecar_state.create_state(name, incarnation, SERVICE)
    configuration.submit_text(state.versions, 1, CONFIGURATION_TEXT)
    membership.apply_vm_list(state.directory, VM_LIST)
    sidecar_core.apply_configuration(state)
    return state
