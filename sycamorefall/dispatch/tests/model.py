"""Routers and sidecars joined by an unreliable network, for the machine.

Only what the shells do with sockets is modelled: everything that is decided
is decided by the real cores. Each VM's clock has an offset of its own, so a
decision that compared clocks of two VMs would go wrong at once.
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
TEXT = "[service ledger]\nkind = plain\nconcurrency = 2\n"
ROUTERS = ("router-0", "router-1")
SIDECARS = ("ledger-0", "ledger-1", "ledger-2")

LIST = membership.VmList(
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
    """A VM and the process that now runs there."""

    name: str
    offset: float
    incarnation: int = 0
    frozen: bool = False
    state: router_state.RouterState | sidecar_state.SidecarState | None = None
    callers: dict[int, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Link:
    """The connection of one attempt, and the run at its far end."""

    order: messages.AttemptOrder
    request: str
    router: tuple[str, int]
    open: bool = True
    at: tuple[str, int] | None = None


class Fleet:
    """Two routers, three sidecars and everything between them."""

    def __init__(self):
        self.now = 1000.0
        self.processes = {
            name: Process(name, offset=index * 5000.0)
            for index, name in enumerate((*ROUTERS, *SIDECARS))
        }
        self.mail: list[tuple[str, messages.Envelope]] = []
        self.hand_outs: list[str] = []
        self.replies: list[tuple[str, attempt_lifecycle.AttemptEnd]] = []
        self.links: dict[str, Link] = {}
        self.runs: dict[str, str] = {}
        self.starts: collections.Counter[str] = collections.Counter()
        self.idempotent: dict[str, bool] = {}
        self.final: dict[str, tuple[str, errors.Ran]] = {}
        self.gone: set[str] = set()
        for name in self.processes:
            self.restart(name)

    def clock(self, name: str) -> float:
        return self.now + self.processes[name].offset

    def restart(self, name: str) -> None:
        """Replaces a process by one that remembers nothing."""
        process = self.processes[name]
        process.incarnation += 1
        process.frozen = False
        create = _create_router if name in ROUTERS else _create_sidecar
        process.state = create(name, process.incarnation)
        self.gone.update(process.callers.values())
        process.callers.clear()
        for attempt_id, link in self.links.items():
            if link.at and link.at[0] == name:
                self.runs.pop(attempt_id, None)
                self.break_link(attempt_id)
            elif link.router[0] == name:
                link.open = False

    def submit(self, name: str, timeout: float, idempotent: bool) -> None:
        request = f"request-{len(self.idempotent)}"
        process = self.processes[name]
        new = router_state.NewRequest(
            SERVICE, "mill", "POST", "/orders", (), timeout, idempotent
        )
        self.idempotent[request] = idempotent
        number = process.state.last_request + 1
        process.callers[number] = request
        _, outcome = intake.admit_request(process.state, self.clock(name), new)
        self.perform(name, outcome)
        self.run_timers(name)

    def hang_up(self, name: str, number: int) -> None:
        process = self.processes[name]
        self.gone.add(process.callers.pop(number))
        outcome = intake.cancel_request(process.state, self.clock(name), number)
        self.perform(name, outcome)

    def perform(self, name: str, outcome) -> None:
        process = self.processes[name]
        for effect in outcome:
            match effect:
                case effects.SendMessage():
                    envelope = messages.Envelope(
                        name, process.incarnation, 1, effect.message
                    )
                    self.mail.append((effect.to, envelope))
                case router_effects.SendRequest():
                    attempt_id = effect.order.attempt_id
                    self.links[attempt_id] = Link(
                        effect.order,
                        process.callers[effect.request],
                        (name, process.incarnation),
                    )
                    self.hand_outs.append(attempt_id)
                case router_effects.AnswerError():
                    self.answer(
                        name, effect.request, effect.kind.value, effect.ran
                    )
                case router_effects.AbortAttempt():
                    self.links[effect.attempt_id].open = False
                case _:
                    self.end_run(
                        effect.attempt_id, attempt_lifecycle.AttemptEnd.FAILED
                    )

    def answer(
        self, name: str, number: int, kind: str, ran: errors.Ran
    ) -> None:
        """Gives a caller its final answer, and judges it."""
        request = self.processes[name].callers.pop(number, None)
        if request is None:
            return
        assert request not in self.final, "a second final answer"
        self.final[request] = (kind, ran)
        if ran is errors.Ran.NO:
            assert not self.starts[request], "told not run, but it ran"
        if ran is errors.Ran.YES:
            assert self.starts[request], "told run, but it never ran"

    def deliver_mail(self, index: int) -> None:
        name, envelope = self.mail[index]
        process = self.processes[name]
        core = router_core if name in ROUTERS else sidecar_core
        now = self.clock(name)
        self.perform(name, core.receive_message(process.state, now, envelope))
        self.run_timers(name)

    def deliver_hand_out(self, attempt_id: str, reachable: bool) -> None:
        """Lets a hand-out arrive at whichever process is there now."""
        link = self.links[attempt_id]
        order = link.order
        sidecar = self.processes[order.sidecar]
        now = self.clock(order.sidecar)
        ends = {
            running.Acceptance.REFUSED: attempt_lifecycle.AttemptEnd.REFUSED,
            running.Acceptance.REPEATED: attempt_lifecycle.AttemptEnd.BROKEN,
        }
        accepted = running.accept_attempt(sidecar.state, now, order)
        if accepted in ends:
            self.replies.append((attempt_id, ends[accepted]))
            return
        link.at = (order.sidecar, sidecar.incarnation)
        self.runs[attempt_id] = link.request
        if not reachable:
            self.end_run(attempt_id, attempt_lifecycle.AttemptEnd.NOT_RUN)
            return
        self.starts[link.request] += 1
        told = self.final.get(link.request)
        assert not told or told[1] is not errors.Ran.NO, "ran after not run"
        if not self.idempotent[link.request]:
            assert self.starts[link.request] == 1, "ran twice"

    def end_run(
        self, attempt_id: str, end: attempt_lifecycle.AttemptEnd
    ) -> None:
        """Ends a run at the upstream; the answer begins its way back."""
        if self.runs.pop(attempt_id, None) is None:
            return
        name, incarnation = self.links[attempt_id].at
        assert self.processes[name].incarnation == incarnation
        ran = end is not attempt_lifecycle.AttemptEnd.NOT_RUN
        state = self.processes[name].state
        running.finish_run(state, self.clock(name), attempt_id, ran)
        self.replies.append((attempt_id, end))

    def hear_hang_up(self, attempt_id: str) -> None:
        """Lets a sidecar see that a router closed an attempt's connection."""
        link = self.links[attempt_id]
        if not link.open and link.order.idempotent:
            self.end_run(attempt_id, attempt_lifecycle.AttemptEnd.FAILED)

    def break_link(self, attempt_id: str) -> None:
        self.replies.append((attempt_id, attempt_lifecycle.AttemptEnd.BROKEN))

    def deliver_reply(
        self, attempt_id: str, end: attempt_lifecycle.AttemptEnd
    ) -> None:
        link = self.links[attempt_id]
        name, incarnation = link.router
        process = self.processes[name]
        if not link.open or process.incarnation != incarnation:
            return
        link.open = False
        number = process.state.request_by_attempt.get(attempt_id)
        if end is attempt_lifecycle.AttemptEnd.COMPLETE and number is not None:
            assert process.callers.get(number) == link.request, "another's"
            self.answer(name, number, "", errors.Ran.YES)
        outcome = attempt_lifecycle.end_attempt(
            process.state, self.clock(name), attempt_id, end, False
        )
        self.perform(name, outcome)

    def advance(self, seconds: float) -> None:
        """Lets time pass and runs the timers of all that are not frozen."""
        self.now += seconds
        for name, process in self.processes.items():
            if not process.frozen:
                self.run_timers(name)

    def run_timers(self, name: str) -> None:
        """Runs what is due, as a process does before it sleeps again."""
        state = self.processes[name].state
        core = router_core if name in ROUTERS else sidecar_core
        now = self.clock(name)
        for _ in range(4):
            if core.find_next_due(state) > now:
                return
            self.perform(name, core.run_timers(state, now))
        assert core.find_next_due(state) > now, "a busy loop"

    def advance_connected(self, seconds: float) -> None:
        """Lets time pass while control messages arrive."""
        steps = min(24, max(1, round(seconds / 0.5)))
        for _ in range(steps):
            self.advance(seconds / steps)
            self.deliver_all_mail()

    def deliver_all_mail(self) -> None:
        """Delivers control messages and their answers, to all awake."""
        for _ in range(6):
            mail, self.mail = self.mail, []
            for name, envelope in mail:
                self.mail.append((name, envelope))
                if not self.processes[name].frozen:
                    self.deliver_mail(len(self.mail) - 1)
                    self.mail.remove((name, envelope))

    def deliver_all_hand_outs(self) -> None:
        """Lets all hand-outs arrive whose sidecars are awake."""
        hand_outs, self.hand_outs = self.hand_outs, []
        for attempt_id in hand_outs:
            if self.processes[self.links[attempt_id].order.sidecar].frozen:
                self.hand_outs.append(attempt_id)
            else:
                self.deliver_hand_out(attempt_id, reachable=True)

    def deliver_all_replies(self) -> None:
        """Lets all answers arrive whose routers are awake."""
        replies, self.replies = self.replies, []
        for reply in replies:
            if self.processes[self.links[reply[0]].router[0]].frozen:
                self.replies.append(reply)
            else:
                self.deliver_reply(*reply)


def _create_router(name: str, incarnation: int) -> router_state.RouterState:
    state = router_state.RouterState(name, incarnation)
    configuration.submit_text(state.versions, 1, TEXT)
    membership.apply_vm_list(state.directory, LIST)
    return state


def _create_sidecar(name: str, incarnation: int) -> sidecar_state.SidecarState:
    state = sidecar_state.create_state(name, incarnation, SERVICE)
    configuration.submit_text(state.versions, 1, TEXT)
    membership.apply_vm_list(state.directory, LIST)
    sidecar_core.apply_configuration(state)
    return state
