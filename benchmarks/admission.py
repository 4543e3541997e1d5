"""Truthfulness of admission: who is refused, and who waits in vain.

Drives a router's decisions with a plain event queue: teams send requests with
deadlines, slots claim from the team served least. Measured are the requests
that were accepted and then missed their deadline, and those refused for whom
a slot would have come free in time. Run as `python -m benchmarks.admission`.
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
SLOTS = 10


@dataclasses.dataclass(slots=True)
class Load:
    """A load in time.

    Attributes:
        rates: Requests per second of each team, given the time.
        slots: Slots of the service, given the time.
        timeouts: Deadlines to choose from, in seconds.
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


class Run:
    """State of one run of the event queue."""

    def __init__(self, load: Load, seed: int, teams: int):
        self.load = load
        self.rng = random.Random(seed)
        self.teams = [f"team-{index}" for index in range(teams)]
        self.state = create_router(self.teams)
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.serial = itertools.count()
        self.served: dict[str, float] = collections.defaultdict(float)
        self.running: dict[str, tuple[int, float]] = {}
        self.results: collections.Counter[str] = collections.Counter()
        self.shadows: dict[str, list[float]] = collections.defaultdict(list)
        self.arrivals: dict[int, tuple[str, float, float]] = {}
        self.held = 0.0

    def at(self, when: float, act: Callable[[float], None]) -> None:
        """Puts an event into the queue."""
        heapq.heappush(self.events, (when, next(self.serial), act))

    def arrive(self, index: int, now: float) -> None:
        """Sends a team's request, and plans its next."""
        rate = self.load.rates(index, now)
        self.at(
            now + self.rng.expovariate(rate), lambda t: self.arrive(index, t)
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
        self.perform(now, outcome, admitting=expected)
        self.claim(now)

    def perform(self, now: float, outcome, admitting: int = 0) -> None:
        """Carries out the router's effects."""
        for effect in outcome:
            match effect:
                case router_effects.SendRequest():
                    self.start(now, effect)
                case router_effects.AnswerError():
                    self.fail(now, effect, effect.request == admitting)
                case router_effects.AbortAttempt():
                    self.running.pop(effect.attempt_id, None)
                case effects.SendMessage(
                    message=messages.AttemptQuery() as query
                ):
                    self.report(now, query.attempt_id)

    def start(self, now: float, effect: router_effects.SendRequest) -> None:
        """Starts a request at a slot."""
        attempt = effect.order.attempt_id
        length = self.rng.lognormvariate(-0.5, 1.0) * MEAN_RUN
        self.served[effect.order.team] += 1.0
        self.running[attempt] = (effect.request, length)
        self.at(now + length, lambda t: self.end(attempt, t))

    def report(self, now: float, attempt: str) -> None:
        """Says that a run goes on, as its sidecar would."""
        started = messages.AttemptState.STARTED
        message = messages.AttemptReport(attempt, started)
        envelope = messages.Envelope(SIDECAR, 1, 1, message)
        core.receive_message(self.state, now, envelope)

    def end(self, attempt: str, now: float) -> None:
        """Ends a request and frees its slot."""
        if self.running.pop(attempt, None):
            self.results["in time"] += 1
            end = attempt_lifecycle.AttemptEnd.COMPLETE
            attempt_lifecycle.end_attempt(self.state, now, attempt, end, True)
        self.claim(now)

    def fail(self, now: float, effect, at_once: bool) -> None:
        """Counts a request that was not answered in time."""
        team, arrived, deadline = self.arrivals.pop(effect.request)
        if at_once:
            self.results["refused"] += 1
            self.shadows[team].append(deadline)
        elif now >= deadline - 1e-9:
            self.results["missed"] += 1
            self.held += now - arrived
        else:
            self.results["given up early"] += 1
            self.shadows[team].append(deadline)

    def claim(self, now: float) -> None:
        """Fills free slots; counts refused requests that had got one."""
        while len(self.running) < self.load.slots(now):
            queues = self.state.waiting.queues.get(SERVICE, {})
            for team, deadlines in self.shadows.items():
                self.shadows[team] = [d for d in deadlines if d > now]
            wanting = {t for t, d in self.shadows.items() if d} | set(queues)
            if not wanting:
                return
            team = min(wanting, key=lambda name: (self.served[name], name))
            if team not in queues:
                self.shadows[team].pop(0)
                self.results["refused, but a slot came free"] += 1
                self.served[team] += 1.0
                if not queues:
                    return
                continue
            claim = messages.Claim(next(self.serial), SERVICE, team, 1.0)
            envelope = messages.Envelope(SIDECAR, 1, 1, claim)
            outcome = core.receive_message(self.state, now, envelope)
            self.pass_over(team, outcome)
            self.perform(now, outcome)

    def pass_over(self, team: str, outcome) -> None:
        """Counts a refused request that had more haste than one served."""
        served = [
            e for e in outcome if isinstance(e, router_effects.SendRequest)
        ]
        for effect in served:
            _, _, deadline = self.arrivals[effect.request]
            hasty = [d for d in self.shadows[team] if d < deadline]
            if hasty:
                self.shadows[team].remove(hasty[0])
                self.results["refused, but one with more time went"] += 1

    def tick(self, now: float) -> None:
        """Does what is due every 0.1 s."""
        self.at(now + 0.1, self.tick)
        beat = messages.Envelope(SIDECAR, 1, 1, messages.Heartbeat())
        core.receive_message(self.state, now, beat)
        self.perform(now, core.run_timers(self.state, now))
        self.claim(now)


def create_router(teams: list[str]) -> state_module.RouterState:
    """Creates a router with teams, one service and one upstream."""
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
    """Runs a load; returns shares of the requests sent."""
    run = Run(load, seed, teams=8)
    for index in range(8):
        run.at(0.0, lambda now, index=index: run.arrive(index, now))
    run.at(0.0, run.tick)
    while run.events[0][0] < seconds:
        now, _, act = heapq.heappop(run.events)
        act(now)
    sent = run.results.pop("sent")
    names = (
        "in time",
        "missed",
        "refused",
        "given up early",
        "refused, but a slot came free",
        "refused, but one with more time went",
    )
    shares = {name: round(run.results[name] / sent, 4) for name in names}
    return {"sent": sent, "held seconds": round(run.held)} | shares


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
