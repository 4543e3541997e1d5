"""The demo: a whole fleet under load of several teams, on loopback.

Starts platform, routers, engines, ledgers and sidecars as processes, sends
requests of a flooding team, of a large team that is bound to one router and
of small teams, stops everything gracefully, and prints what callers and
stand-ins saw. The last line is one JSON object.
"""

import asyncio
import collections
import json
import pathlib
import random
import sys
import tempfile

from standins import fleet as fleet_module
from standins import load, report
from standins import runs as runs_module

SEED = 20261202
LOAD_SECONDS = 12.0
ENGINES = 3
LEDGERS = 2
ENGINE_SLOTS = 4
LEDGER_SLOTS = 4
TOKEN_MS = 5.0
TEAMS = {"flood": 1.0, "large": 1.0, "mill-a": 1.0, "mill-b": 1.0}

SERVICES = f"""
[service assistant]
kind = engine
concurrency = {ENGINE_SLOTS}
prompt_weight = 0
output_weight = 4

[service ledger]
kind = plain
concurrency = {LEDGER_SLOTS}
"""

ENGINE_RATES = {"flood": 90.0, "large": 40.0, "mill-a": 8.0, "mill-b": 8.0}
"""Requests per second for the assistant, by team."""

LEDGER_RATES = {"flood": 30.0, "large": 10.0, "mill-a": 5.0, "mill-b": 5.0}
"""Requests per second for the ledger, by team."""


def plan_load(routers: list[int], seed: int) -> list[load.PlannedRequest]:
    """Plans the demo's requests.

    Args:
        routers: Data ports of the routers; the large team uses the first.
        seed: Seed of all choices.

    Returns:
        The requests, in the order in which they are sent.
    """
    chance = random.Random(seed)
    plans: list[load.PlannedRequest] = []
    rates = [("assistant", ENGINE_RATES), ("ledger", LEDGER_RATES)]
    for service, by_team in rates:
        for team, rate in by_team.items():
            at = chance.expovariate(rate)
            while at < LOAD_SECONDS:
                plan = _plan_one(chance, service, team, at, routers)
                plan.request = f"{service}-{team}-{len(plans)}"
                plans.append(plan)
                at += chance.expovariate(rate)
    return sorted(plans, key=lambda plan: plan.at)


def _plan_one(
    chance: random.Random,
    service: str,
    team: str,
    at: float,
    routers: list[int],
) -> load.PlannedRequest:
    router = routers[0] if team == "large" else chance.choice(routers)
    plan = load.PlannedRequest("", team, service, router, at, timeout=8.0)
    if service == "assistant":
        plan.tokens = min(80, 5 + int(chance.expovariate(1 / 25)))
        plan.streamed = chance.random() < 0.5
    else:
        plan.work_ms = chance.uniform(5, 80)
        plan.idempotent = chance.random() < 0.3
    return plan


def run_demo(folder: pathlib.Path) -> report.Report:
    """Runs the fleet and the load; returns what was measured."""
    fleet = fleet_module.start_fleet(
        folder,
        fleet_module.write_text(TEAMS, SERVICES),
        routers=2,
        upstreams=[
            fleet_module.UpstreamGroup(
                "assistant",
                ENGINES,
                "standins.engine",
                ENGINE_SLOTS,
                (f"--token-ms={TOKEN_MS}",),
            ),
            fleet_module.UpstreamGroup(
                "ledger", LEDGERS, "standins.ledger", LEDGER_SLOTS
            ),
        ],
    )
    try:
        routers = [
            node.data for node in fleet.nodes.values() if node.role == "router"
        ]
        plans = plan_load(routers, SEED)
        began = runs_module.read_clock()
        answers = asyncio.run(load.send_all(plans, _make_progress(plans)))
        seconds = runs_module.read_clock() - began
        print(file=sys.stderr)
        measured = report.collect_report(fleet, answers, seconds, TEAMS, SLOTS)
        measured.exit_statuses = fleet_module.stop_fleet(fleet)
        return measured
    finally:
        fleet_module.kill_fleet(fleet)


SLOTS = {
    "assistant": ENGINES * ENGINE_SLOTS,
    "ledger": LEDGERS * LEDGER_SLOTS,
}


def _make_progress(plans: list[load.PlannedRequest]):
    """Makes a function that shows how many answers have come."""
    counts: collections.Counter[str] = collections.Counter()

    def show(answer: load.RequestResult) -> None:
        counts["answered" if answer.right else answer.kind] += 1
        done = counts.total()
        if done % 100 == 0 or done == len(plans):
            text = ", ".join(f"{k} {n}" for k, n in counts.items())
            print(f"\r{done}/{len(plans)}: {text}", end="", file=sys.stderr)

    return show


def main() -> int:
    """Runs the demo; returns the exit status."""
    with tempfile.TemporaryDirectory(prefix="sycamorefall-") as folder:
        measured = run_demo(pathlib.Path(folder))
    print(report.format_table(measured))
    summary = report.summarize(measured)
    print(json.dumps(summary))
    bad = summary["wrong"] or summary["lost"] or summary["doubled"]
    stopped_badly = any(measured.exit_statuses.values())
    return 1 if bad or stopped_badly else 0


if __name__ == "__main__":
    sys.exit(main())
