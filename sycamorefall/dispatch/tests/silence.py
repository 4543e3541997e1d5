"""Plays of silent sidecars: who ends an answer that could still be given.

A play draws requests, silences of one sidecar and what follows them, and
judges each error that a router answers by what the fleet will do: the plays
know when every silence ends, which the routers don't.
"""

import dataclasses
import itertools
import random

from sycamorefall import errors, membership
from sycamorefall.dispatch.tests import draws, model, watches
from sycamorefall.router import attempt_lifecycle, stalls
from sycamorefall.router import core as router_core
from sycamorefall.router import effects as router_effects
from sycamorefall.sidecar import core as sidecar_core
from sycamorefall.sidecar import running

TICK = 0.05
"""Seconds between two deliveries: the one-way delay of all links."""

PIECE_BYTES = 10
"""Size of a piece of a streamed response."""

SECONDS = 75.0
"""Duration of a play; the longest deadline is earlier."""


@dataclasses.dataclass(slots=True)
class Run:
    """A run at an upstream, which no silence of its sidecar delays.

    Attributes:
        begun: When it began, by the fleet's time.
        end: When the upstream has given the whole response.
        next_piece: When the next piece of a streamed response is due.
        pieces: Pieces that are in transit to the router.
    """

    begun: float
    end: float
    next_piece: float
    pieces: int = 0


class Play(model.Fleet):
    """A fleet in which one sidecar falls silent.

    Attributes:
        rng: Source of all draws.
        demands: The callers' requests, latest first.
        demand_by_request: The demands that were sent.
        deadlines: Deadlines by the fleet's time, by request.
        silences: All silences of the play.
        run_by_attempt: Runs that began at an upstream, also ended ones.
        latest: Latest attempt of each request.
        aborted_at: When routers aborted attempts, by the fleet's time.
        watches: Requests whose sidecar is gone.
        ended_early: Errors answered though the response would have come in
            time: request, kind, and for how many seconds the attempt's VM was
            silent as the attempt was let go.
        waited_longer: Requests that were held by a lost attempt.
        let_go_after: Seconds from the loss of a sidecar to a new attempt or the
            answer, by request.
        judged: Number of answers that were judged.
    """

    def __init__(self, seed: int):
        super().__init__()
        self.rng = random.Random(seed)
        self.demand_by_request: dict[str, draws.Demand] = {}
        self.deadlines: dict[str, float] = {}
        self.run_by_attempt: dict[str, Run] = {}
        self.latest: dict[str, str] = {}
        self.aborted_at: dict[str, float] = {}
        self.watches: list[watches.Watch] = []
        self.ended_early: list[tuple[str, str, float]] = []
        self.waited_longer: list[tuple[str, str]] = []
        self.let_go_after: dict[str, float] = {}
        self.judged = 0
        self.silences: list[draws.Silence] = []
        self.advance_connected(1.0)
        self.begin = self.now
        self.demands = sorted(
            (
                draws.draw_demand(self.rng)
                for _ in range(self.rng.randint(1, 14))
            ),
            key=lambda demand: -demand.at,
        )
        self.silences = draws.draw_silences(self.rng, self.begin)
        self.stops = {
            name: self.begin + self.rng.uniform(0.0, 6.0)
            for name in self.processes
            if self.rng.random() < 0.2
        }
        self.unlisted_at = float("inf")
        if self.rng.random() < 0.2:
            self.unlisted_at = self.begin + self.rng.uniform(0.0, 8.0)
        self.silences = [
            draws.add_lag(self.rng, silence) for silence in self.silences
        ]

    def play(self) -> None:
        """Plays until all callers have their answers."""
        while self.now < self.begin + SECONDS:
            self._tick()

    def _tick(self) -> None:
        before = self.now
        self.now += TICK
        for silence in self.silences:
            if before < silence.begin <= self.now:
                self._begin_silence(silence)
            if before < silence.end <= self.now:
                self.processes[silence.vm].frozen = False
                if silence.replaced:
                    self.restart(silence.vm)
        self._change_fleet(before)
        while self.demands and self.begin + self.demands[-1].at <= self.now:
            self._send_demand(self.demands.pop())
        # A process that resumes reads its input before it runs its timers.
        self._advance_runs()
        self._deliver()
        for name, process in self.processes.items():
            if not process.frozen:
                membership.drop_departed(
                    process.state.directory, self.clock(name)
                )
                self.run_timers(name)
        watches.check_watches(self)

    def _begin_silence(self, silence: draws.Silence) -> None:
        self.processes[silence.vm].frozen = silence.frozen
        if silence.end == float("inf"):
            self.watches += watches.watch_requests(self, silence.vm)

    def _change_fleet(self, before: float) -> None:
        for name, at in self.stops.items():
            if before < at <= self.now:
                is_router = name in model.ROUTERS
                core = router_core if is_router else sidecar_core
                core.begin_stop(self.processes[name].state)
        if before < self.unlisted_at <= self.now:
            listed = tuple(
                vm for vm in model.VM_LIST.vms if vm.name != draws.SILENT
            )
            for process in self.processes.values():
                membership.apply_vm_list(
                    process.state.directory, membership.VmList(2, listed)
                )

    def _send_demand(self, demand: draws.Demand) -> None:
        if self.processes[demand.router].frozen:
            return
        request = f"request-{len(self.idempotent)}"
        self.demand_by_request[request] = demand
        self.deadlines[request] = self.now + demand.timeout
        self.submit(demand.router, demand.timeout, demand.idempotent)

    def is_cut(self, *names: str, data: bool = False) -> bool:
        """Returns whether the links of any of the VMs are cut now.

        Args:
            *names: Names of the VMs.
            data: Whether data connections are asked for, which hold their
                bytes back for longer.
        """
        return any(
            silence.vm in names
            and not silence.frozen
            and silence.begin <= self.now < silence.end + data * silence.lag
            for silence in self.silences
        )

    def _advance_runs(self) -> None:
        for attempt_id in list(self.runs):
            run = self.run_by_attempt[attempt_id]
            name = self.connections[attempt_id].order.sidecar
            if self.processes[name].frozen:
                continue
            demand = self.demand_by_request[self.runs[attempt_id]]
            while run.next_piece <= min(self.now, run.end):
                run.next_piece += demand.gap
                run.pieces += 1
                running.record_sent(
                    self.processes[name].state, attempt_id, PIECE_BYTES
                )
            if run.end <= self.now:
                self.end_run(attempt_id, attempt_lifecycle.AttemptEnd.COMPLETE)
            else:
                self.detect_disconnect(attempt_id)

    def _deliver(self) -> None:
        for attempt_id, run in self.run_by_attempt.items():
            connection = self.connections[attempt_id]
            name, incarnation = connection.router
            process = self.processes[name]
            cut = self.is_cut(name, connection.order.sidecar, data=True)
            if run.pieces and not cut and not process.frozen:
                if connection.open and process.incarnation == incarnation:
                    stalls.record_progress(
                        process.state,
                        self.clock(name),
                        attempt_id,
                        run.pieces * PIECE_BYTES,
                        True,
                    )
                run.pieces = 0
        replies, self.pending_replies = self.pending_replies, []
        for attempt_id, end in replies:
            connection = self.connections[attempt_id]
            name = connection.router[0]
            if self.processes[name].frozen or self.is_cut(
                name, connection.order.sidecar, data=True
            ):
                self.pending_replies.append((attempt_id, end))
            else:
                self.deliver_reply(attempt_id, end)
        self._deliver_messages()
        self._deliver_attempts()

    def _deliver_messages(self) -> None:
        pending, self.pending_messages = self.pending_messages, []
        for name, envelope in pending:
            if self.is_cut(name, envelope.sender):
                continue
            if self.processes[name].frozen:
                self.pending_messages.append((name, envelope))
                continue
            self.pending_messages.append((name, envelope))
            self.deliver_message(len(self.pending_messages) - 1)
            self.pending_messages.remove((name, envelope))

    def _deliver_attempts(self) -> None:
        attempts, self.pending_attempts = self.pending_attempts, []
        for attempt_id in attempts:
            connection = self.connections[attempt_id]
            name = connection.order.sidecar
            if self.processes[name].frozen or self.is_cut(
                name, connection.router[0], data=True
            ):
                self.pending_attempts.append(attempt_id)
                continue
            self.deliver_attempt(attempt_id, reachable=True)
            if attempt_id in self.runs:
                demand = self.demand_by_request[connection.request]
                self.run_by_attempt[attempt_id] = Run(
                    self.now,
                    self.now + demand.length,
                    self.now + demand.first,
                )

    def perform_effects(self, name, effect_list) -> None:
        known = len(self.connections)
        effect_list = list(effect_list)
        super().perform_effects(name, effect_list)
        for effect in effect_list:
            if isinstance(effect, router_effects.AbortAttempt):
                self.aborted_at.setdefault(effect.attempt_id, self.now)
        for attempt_id in itertools.islice(self.connections, known, None):
            self.latest[self.connections[attempt_id].request] = attempt_id

    def answer_caller(
        self, name: str, number: int, kind: str, ran: errors.Ran
    ) -> None:
        request = self.processes[name].callers.get(number)
        super().answer_caller(name, number, kind, ran)
        if request is None or request not in self.latest:
            return
        self.judged += 1
        attempt_id = self.latest[request]
        in_time = self.predict_arrival(attempt_id) < self.deadlines[request]
        if kind and in_time and self.now < self.deadlines[request] - TICK:
            silent_for = self._measure_silence(attempt_id)
            self.ended_early.append((request, kind, silent_for))

    def _measure_silence(self, attempt_id: str) -> float:
        """Measures for how long an attempt's VM was silent as it was let go."""
        ended = self.aborted_at.get(attempt_id, self.now)
        sidecar = self.connections[attempt_id].order.sidecar
        begun = [
            silence.begin
            for silence in self.silences
            if silence.vm == sidecar and silence.begin <= ended
        ]
        return ended - max(begin for begin in [ended - SECONDS, *begun])

    def predict_arrival(self, attempt_id: str) -> float:
        """Predicts when the whole response to an attempt reaches its router.

        Returns:
            The fleet's time; infinite if the attempt didn't begin at an
            upstream, or its sidecar's process is lost before.
        """
        run = self.run_by_attempt.get(attempt_id)
        if run is None:
            return float("inf")
        connection = self.connections[attempt_id]
        names = (connection.order.sidecar, connection.router[0])
        at = run.end + TICK
        for silence in sorted(self.silences, key=lambda one: one.begin):
            end = silence.end + silence.lag
            concerned = silence.vm in names and run.begun < end
            if concerned and silence.begin - TICK <= at:
                if silence.replaced:
                    return float("inf")
                at = max(at, end + 2 * TICK)
        return at
