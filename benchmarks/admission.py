"""Accuracy of admission control: wrong refusals and wrong acceptances.

Simulates one router with an event queue: teams send requests with deadlines,
and free slots claim requests of the least served team. Counts requests that
were accepted but missed their deadline, and refused requests that a slot
would have served in time. Run it with `python -m benchmarks.admission`.
"""

import argparse
import collections
from collections.abc import Callable
import dataclasses
import heapq
import itertools
import json
import random

from sycamorefall import configuration, effects, membership, messages
from sycamorefall.router import attempt_lifecycle, core, intake
from sycamorefall.router import effects as router_effects
from sycamorefall.router import state as state_module

SERVICE = "assistant"
SIDECAR = "engine-0"
MEAN_RUN = 0.5
"""Mean of the lognormal run times, in seconds."""

SLOTS = 10


@dataclasses.dataclass(slots=True)
class Load:
    """A load that varies over time.

    Attributes:
        rates: Returns the requests per second of a team at a time.
        slots: Returns the number of slots of the service at a time.
        timeouts: Request timeouts to draw from, in seconds.
    """

    rates: Callable[[int, float], float]
    slots: Callable[[float], int]
    timeouts: tuple[float, ...] = (20.0,)


LOADS = {
    "light (0.8)": Load(lambda team, now: 2.0, lambda now: SLOTS),
    "overload (1.5)": Load(lambda team, now: 3.75, lambda now: SLOTS),
    "overload, mixed deadlines": Load(
        lambda team, now: 3.75, lambda now: SLOTS, (2.0, 10.0, 60.0)
    ),
    "one team floods": Load(
        lambda team, now: 40.0 if team == 0 else 1.5, lambda now: SLOTS
    ),
    "bursts": Load(
        lambda team, now: 12.0 if (now + 7 * team) % 40 < 6 else 0.3,
        lambda now: SLOTS,
        (5.0, 20.0),
    ),
    "slow, then fast again": Load(
        lambda team, now: 2.0 if now < 40 or now > 80 else 1.0,
        lambda now: 1 if 40 < now < 80 else SLOTS,
        (10.0,),
    ),
}


class Simulation:
    """State of one simulation."""

    def __init__(self, load: Load, seed: int, teams: int):
        self.load = load
        self.rng = random.Random(seed)
        self.teams = [f"team-{index}" for index in range(teams)]
        self.state = create_router(self.teams)
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.numbers = itertools.count()
        self.served: dict[str, float] = collections.defaultdict(float)
        self.running: dict[str, tuple[int, float]] = {}
        self.results: collections.Counter[str] = collections.Counter()
        self.refused_deadlines: dict[str, list[float]] = (
            collections.defaultdict(list)
        )
        self.arrivals: dict[int, tuple[str, float, float]] = {}
        self.missed_seconds = 0.0

    def schedule(self, when: float, action: Callable[[float], None]) -> None:
        """Schedules an action at a time."""
        heapq.heappush(self.events, (when, next(self.numbers), action))

    def handle_arrival(self, index: int, now: float) -> None:
        """Sends a request of a team and schedules the team's next one."""
        rate = self.load.rates(index, now)
        self.schedule(
            now + self.rng.expovariate(rate),
            lambda t: self.handle_arrival(index, t),
        )
        timeout = self.rng.choice(self.load.timeouts)
        team = self.teams[index]
        new = state_module.NewRequest(
            SERVICE, team, "POST", "/", (), timeout, idempotent=True
        )
        expected = self.state.last_request + 1
        self.arrivals[expected] = (team, now, now + timeout)
        self.results["sent"] += 1
        _, outcome = intake.admit_request(self.state, now, new)
        self.apply_effects(now, outcome, admitting=expected)
        self.claim_free_slots(now)

    def apply_effects(self, now: float, outcome, admitting: int = 0) -> None:
        """Executes the effects that the router returned.

        Args:
            now: Current time.
            outcome: The effects.
            admitting: Number of the request that is being admitted, if any.
        """
        for effect in outcome:
            match effect:
                case router_effects.SendRequest():
                    self.start_attempt(now, effect)
                case router_effects.AnswerError():
                    self.record_failure(
                        now, effect, effect.request == admitting
                    )
                case router_effects.AbortAttempt():
                    self.running.pop(effect.attempt_id, None)
                case effects.SendMessage(
                    message=messages.AttemptQuery() as query
                ):
                    self.report_running(now, query.attempt_id)

    def start_attempt(
        self, now: float, effect: router_effects.SendRequest
    ) -> None:
        """Starts an attempt in a slot and schedules its end."""
        attempt = effect.order.attempt_id
        length = self.rng.lognormvariate(-0.5, 1.0) * MEAN_RUN
        self.served[effect.order.team] += 1.0
        self.running[attempt] = (effect.request, length)
        self.schedule(now + length, lambda t: self.finish_attempt(attempt, t))

    def report_running(self, now: float, attempt: str) -> None:
        """Answers an attempt query as the sidecar of a running attempt does."""
        started = messages.AttemptState.STARTED
        message = messages.AttemptReport(attempt, started)
        envelope = messages.Envelope(SIDECAR, 1, 1, message)
        core.receive_message(self.state, now, envelope)

    def finish_attempt(self, attempt: str, now: float) -> None:
        """Completes an attempt and frees its slot."""
        if self.running.pop(attempt, None):
            self.results["in time"] += 1
            end = attempt_lifecycle.AttemptEnd.COMPLETE
            attempt_lifecycle.end_attempt(self.state, now, attempt, end, True)
        self.claim_free_slots(now)

    def record_failure(self, now: float, effect, on_admission: bool) -> None:
        """Counts a request that the router answered with an error.

        A request refused on admission, or given up before its deadline, is
        kept in `refused_deadlines` to find out whether a slot would have
        served it in time.
        """
        team, arrived, deadline = self.arrivals.pop(effect.request)
        if on_admission:
            self.results["refused"] += 1
            self.refused_deadlines[team].append(deadline)
        elif now >= deadline - 1e-9:
            self.results["missed"] += 1
            self.missed_seconds += now - arrived
        else:
            self.results["given up early"] += 1
            self.refused_deadlines[team].append(deadline)

    def claim_free_slots(self, now: float) -> None:
        """Fills free slots with requests of the least served team.

        If that team has only refused requests, counts one of them as wrongly
        refused, since a slot became free before its deadline.
        """
        while len(self.running) < self.load.slots(now):
            queues = self.state.waiting.queues.get(SERVICE, {})
            for team, deadlines in self.refused_deadlines.items():
                self.refused_deadlines[team] = [d for d in deadlines if d > now]
            candidates = {
                t for t, d in self.refused_deadlines.items() if d
            } | set(queues)
            if not candidates:
                return
            team = min(candidates, key=lambda name: (self.served[name], name))
            if team not in queues:
                self.refused_deadlines[team].pop(0)
                self.results["refused, but a slot came free"] += 1
                self.served[team] += 1.0
                if not queues:
                    return
                continue
            claim = messages.Claim(next(self.numbers), SERVICE, team, 1.0)
            envelope = messages.Envelope(SIDECAR, 1, 1, claim)
            outcome = core.receive_message(self.state, now, envelope)
            self.count_bypassed_requests(team, outcome)
            self.apply_effects(now, outcome)

    def count_bypassed_requests(self, team: str, outcome) -> None:
        """Counts a refused request with an earlier deadline than a sent one."""
        served = [
            e for e in outcome if isinstance(e, router_effects.SendRequest)
        ]
        for effect in served:
            _, _, deadline = self.arrivals[effect.request]
            earlier = [d for d in self.refused_deadlines[team] if d < deadline]
            if earlier:
                self.refused_deadlines[team].remove(earlier[0])
                self.results["refused, but one with more time went"] += 1

    def handle_tick(self, now: float) -> None:
        """Sends a heartbeat, runs the router's timers and fills free slots.

        Repeats every 0.1 s.
        """
        self.schedule(now + 0.1, self.handle_tick)
        beat = messages.Envelope(SIDECAR, 1, 1, messages.Heartbeat())
        core.receive_message(self.state, now, beat)
        self.apply_effects(now, core.run_timers(self.state, now))
        self.claim_free_slots(now)


def create_router(teams: list[str]) -> state_module.RouterState:
    """Creates a router with the teams, one service and one usable upstream."""
    state = state_module.RouterState("router-0", 1)
    text = f"[service {SERVICE}]\nkind = engine\n" + "".join(
        f"[team {team}]\n" for team in teams
    )
    configuration.submit_text(state.versions, 1, text)
    upstream = membership.VmEntry(
        SIDECAR,
        membership.VmRole.UPSTREAM,
        "a",
        "127.0.0.1:1",
        "127.0.0.1:2",
        SERVICE,
    )
    membership.apply_vm_list(state.directory, membership.VmList(1, (upstream,)))
    membership.record_peer_message(state.directory, 0.0, SIDECAR, 1, False)
    return state


def run_load(load: Load, seconds: float = 120.0, seed: int = 5) -> dict:
    """Simulates a load of eight teams.

    Returns:
        The number of requests sent, the seconds that requests waited before
        they missed their deadline, and the fraction of requests by result.
    """
    simulation = Simulation(load, seed, teams=8)
    for index in range(8):
        simulation.schedule(
            0.0, lambda now, index=index: simulation.handle_arrival(index, now)
        )
    simulation.schedule(0.0, simulation.handle_tick)
    while simulation.events[0][0] < seconds:
        now, _, action = heapq.heappop(simulation.events)
        action(now)
    sent = simulation.results.pop("sent")
    names = (
        "in time",
        "missed",
        "refused",
        "given up early",
        "refused, but a slot came free",
        "refused, but one with more time went",
    )
    shares = {name: round(simulation.results[name] / sent, 4) for name in names}
    return {
        "sent": sent,
        "held seconds": round(simulation.missed_seconds),
    } | shares


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", help="file to write the figures to")
    options = parser.parse_args()
    figures = {name: run_load(load) for name, load in LOADS.items()}
    for name, shares in figures.items():
        print(f"{name}: {shares}")
    if options.json:
        with open(options.json, "w", encoding="utf-8") as file:
            json.dump(figures, file, indent=2)


if __name__ == "__main__":
    main()
