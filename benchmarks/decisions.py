"""Cost of a decision and memory per team, at three fleet sizes.

Simulates a router and a sidecar while a tenth of all teams has waiting
requests for 19 services. Each step of a request is repeated, and its cost is
measured in processor time. Growth with the number of teams is also measured in
function calls, which are the same on every machine. `make bench-decisions`
prints the figures and writes `decisions.json`.
"""

import argparse
from collections.abc import Callable
import dataclasses
import itertools
import json
import sys
import time
import tracemalloc

from sycamorefall import configuration, membership, messages
from sycamorefall.router import attempt_lifecycle, core, effects, intake, sweep
from sycamorefall.router import state as state_module
from sycamorefall.sidecar import claiming, running
from sycamorefall.sidecar import core as sidecar_core
from sycamorefall.sidecar import state as sidecar_state

UPSTREAMS = {16: 19, 1600: 114, 31000: 910}
"""Number of upstream VMs by number of teams."""

ROUTERS = {16: 3, 1600: 40, 31000: 370}
"""Number of router VMs by number of teams."""

SERVICES = 19
TEAMS_PER_BACKLOG = 10
"""One of this many teams has waiting requests."""

REQUESTS_PER_BACKLOG = 3
"""Waiting requests of each backlogged team."""

REPEATS = 200
ROUTER = "router-0"


@dataclasses.dataclass(slots=True)
class Nodes:
    """A router and a sidecar of its first service.

    Attributes:
        router: State of the router.
        sidecar: State of the sidecar.
        backlogged: Teams that have waiting requests.
        claims: Counter of claims.
    """

    router: state_module.RouterState
    sidecar: sidecar_state.SidecarState
    backlogged: list[str]
    claims: itertools.count


def _create_configuration(teams: int) -> configuration.Configuration:
    services = {
        f"model-{index}": configuration.Service(
            f"model-{index}", configuration.ServiceKind.ENGINE
        )
        for index in range(SERVICES)
    }
    named = {
        f"team-{index}": configuration.Team(f"team-{index}", ())
        for index in range(teams)
    }
    limits = configuration.FleetLimits(waiting_per_router=10**6)
    return configuration.Configuration(named, services, limits, {})


def _list_vms(teams: int) -> membership.VmList:
    upstreams = [
        membership.VmEntry(
            f"engine-{index}",
            membership.VmRole.UPSTREAM,
            "a",
            "127.0.0.1:1",
            "127.0.0.1:2",
            f"model-{index % SERVICES}",
        )
        for index in range(UPSTREAMS[teams])
    ]
    routers = [
        membership.VmEntry(
            f"router-{index}",
            membership.VmRole.ROUTER,
            "a",
            "127.0.0.1:3",
            "127.0.0.1:4",
        )
        for index in range(ROUTERS[teams])
    ]
    return membership.VmList(1, (*routers, *upstreams))


def admit(nodes: Nodes, team: str, service: str = "model-0") -> int:
    """Admits a request at the router, and returns its number."""
    new = state_module.NewRequest(
        service, team, "POST", "/", (), 1000.0, idempotent=True
    )
    number, _ = intake.admit_request(nodes.router, 1.0, new)
    return number


def create_nodes(teams: int, spread: bool) -> Nodes:
    """Creates a router and a sidecar with a tenth of the teams backlogged.

    Args:
        teams: Number of teams in the configuration.
        spread: Whether the backlogged teams are spread over all services;
            otherwise all of them wait for one service.

    Returns:
        The nodes, at time 1.
    """
    nodes = Nodes(
        state_module.RouterState(ROUTER, 1),
        sidecar_state.create_state("engine-0", 1, "model-0"),
        [f"team-{index}" for index in range(0, teams, TEAMS_PER_BACKLOG)],
        itertools.count(1),
    )
    in_force = _create_configuration(teams)
    for state in (nodes.router, nodes.sidecar):
        state.versions.configuration = in_force
        membership.apply_vm_list(state.directory, _list_vms(teams))
    sidecar_core.apply_configuration(nodes.sidecar)
    for index in range(UPSTREAMS[teams]):
        membership.record_peer_message(
            nodes.router.directory, 1.0, f"engine-{index}", 1, False
        )
    for index, team in enumerate(nodes.backlogged):
        service = f"model-{index % SERVICES if spread else 0}"
        for _ in range(REQUESTS_PER_BACKLOG):
            admit(nodes, team, service)
    own = [
        team for team in nodes.backlogged if _has_waiting_requests(nodes, team)
    ]
    announce(nodes, own, sequence=1)
    for state, run in (
        (nodes.router, core.run_timers),
        (nodes.sidecar, sidecar_core.run_timers),
    ):
        run(state, 1.0)
    return nodes


def _has_waiting_requests(nodes: Nodes, team: str) -> bool:
    return team in nodes.router.waiting.queues["model-0"]


def announce(nodes: Nodes, teams: list[str], sequence: int) -> None:
    """Sends the sidecar an announcement of teams with waiting requests."""
    entries = tuple(messages.TeamWaiting(team, 3, 0.1) for team in teams)
    message = messages.Waiting("model-0", sequence, entries, False)
    envelope = messages.Envelope(ROUTER, 1, 1, message)
    sidecar_core.receive_message(nodes.sidecar, 1.0, envelope)


def list_steps(nodes: Nodes) -> dict[str, Callable[[int], None]]:
    """Lists the steps of a request; each call performs a step once.

    Returns:
        Functions of a serial number, by name, to be called in this order.
    """
    router, sidecar = nodes.router, nodes.sidecar
    names = [
        f"team-{i}" for i in range(len(router.versions.configuration.teams))
    ]
    sent_requests: list[effects.SendRequest] = []
    sent_claims: list[messages.Claim] = []

    def sweep_queues(serial: int) -> None:
        router.next_sweep_at = 0.0
        sweep.sweep_waiting(router, 1.0)

    def take_announcement(serial: int) -> None:
        team = nodes.backlogged[serial * SERVICES % len(nodes.backlogged)]
        announce(nodes, [team], sequence=serial + 2)

    def choose_and_claim(serial: int) -> None:
        sidecar.limit.cap = len(sidecar.claims.open) + 1
        sidecar.limit.extra_claims = 0
        sent_claims.extend(
            send.message for send in claiming.make_claims(sidecar, 1.0)
        )

    def hand_out(serial: int) -> None:
        claim = sent_claims[serial % len(sent_claims)]
        envelope = messages.Envelope("engine-0", 1, 1, claim)
        outcome = core.receive_message(router, 1.0, envelope)
        sent_requests.extend(
            e for e in outcome if isinstance(e, effects.SendRequest)
        )

    def start_and_finish(serial: int) -> None:
        order = sent_requests[serial % len(sent_requests)].order
        running.accept_attempt(sidecar, 1.0, order)
        running.charge_run(sidecar, order.attempt_id, 10.0)
        running.finish_run(sidecar, 1.0, order.attempt_id)

    def end(serial: int) -> None:
        attempt = sent_requests[serial % len(sent_requests)].order.attempt_id
        done = attempt_lifecycle.AttemptEnd.COMPLETE
        attempt_lifecycle.end_attempt(router, 1.0, attempt, done, True)

    return {
        "admit (router)": lambda n: (
            admit(nodes, names[n * 7 % len(names)]) and None
        ),
        "run timers (router)": lambda n: (
            core.run_timers(router, 1.0 + n * 1e-6) and None
        ),
        "sweep (router)": sweep_queues,
        "take announcement (sidecar)": take_announcement,
        "choose and claim (sidecar)": choose_and_claim,
        "hand out (router)": hand_out,
        "start and finish (sidecar)": start_and_finish,
        "end (router)": end,
    }


def count_calls(step: Callable[[int], None], repeats: int) -> float:
    """Counts the function calls of a step, as a mean over repeated calls."""
    calls = 0

    def count(frame, event, argument):
        nonlocal calls
        calls += event in ("call", "c_call")

    sys.setprofile(count)
    try:
        for serial in range(repeats):
            step(serial)
    finally:
        sys.setprofile(None)
    return calls / repeats


def measure_calls(teams: int, spread: bool, repeats: int = 50) -> dict:
    """Measures the number of function calls of each step."""
    steps = list_steps(create_nodes(teams, spread))
    return {name: count_calls(step, repeats) for name, step in steps.items()}


def measure_time(teams: int, spread: bool) -> dict:
    """Measures the processor time of each step, in microseconds."""
    costs = {}
    for name, step in list_steps(create_nodes(teams, spread)).items():
        started_at = time.process_time()
        for serial in range(REPEATS):
            step(serial)
        cpu_time = time.process_time() - started_at
        costs[name] = round(cpu_time / REPEATS * 1e6, 1)
    return costs


def measure_memory(teams: int) -> dict:
    """Measures the memory of router and sidecar, and of the configuration."""
    tracemalloc.start()
    try:
        nodes = create_nodes(teams, spread=True)
        total = tracemalloc.get_traced_memory()[0]
        in_force = nodes.router.versions.configuration
        del nodes
        configured = tracemalloc.get_traced_memory()[0]
        del in_force
    finally:
        tracemalloc.stop()
    waiting = REQUESTS_PER_BACKLOG * len(range(0, teams, TEAMS_PER_BACKLOG))
    return {
        "state bytes": total - configured,
        "bytes per waiting request": round((total - configured) / waiting),
        "configuration bytes per team": round(configured / teams),
    }


def main() -> None:
    """Measures and prints time, calls and memory at each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", help="file to write the figures to")
    options = parser.parse_args()
    figures = {
        f"{teams} teams, {'19 services' if spread else 'one service'}": {
            "microseconds": measure_time(teams, spread),
            "calls": measure_calls(teams, spread),
        }
        for teams in UPSTREAMS
        for spread in (True, False)
    }
    memory = {f"{teams} teams": measure_memory(teams) for teams in UPSTREAMS}
    figures["memory"] = memory
    for name, shares in figures.items():
        print(name)
        for step, cost in shares.items():
            print(f"  {step}: {cost}")
    if options.json:
        with open(options.json, "w", encoding="utf-8") as file:
            json.dump(figures, file, indent=2)


if __name__ == "__main__":
    main()
