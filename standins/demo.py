"""Demo: a complete fleet on loopback under the load of several teams.

Starts fakes of platform, engines and ledgers, and real routers and sidecars,
as processes. Sends requests of a team that floods the services, of a large
team that uses one router only, and of two small teams. Stops all processes
gracefully, and prints the results that callers and fakes recorded. The last
line is a JSON object.
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
"""Requests per second to the assistant, by team."""

LEDGER_RATES = {"flood": 30.0, "large": 10.0, "mill-a": 5.0, "mill-b": 5.0}
"""Requests per second to the ledger, by team."""


def plan_load(routers: list[int], seed: int) -> list[load.PlannedRequest]:
    """Plans the demo's requests, with exponential times between arrivals.

    Args:
        routers: Data ports of the routers; the large team uses only the
            first.
        seed: Seed of the random numbers.

    Returns:
        The requests, in the order in which they are sent.
    """
    generator = random.Random(seed)
    plans: list[load.PlannedRequest] = []
    service_rates = [("assistant", ENGINE_RATES), ("ledger", LEDGER_RATES)]
    for service, team_rates in service_rates:
        for team, rate in team_rates.items():
            send_at = generator.expovariate(rate)
            while send_at < LOAD_SECONDS:
                plan = _plan_request(generator, service, team, send_at, routers)
                plan.request_id = f"{service}-{team}-{len(plans)}"
                plans.append(plan)
                send_at += generator.expovariate(rate)
    return sorted(plans, key=lambda plan: plan.send_at)


def _plan_request(
    generator: random.Random,
    service: str,
    team: str,
    send_at: float,
    routers: list[int],
) -> load.PlannedRequest:
    router = routers[0] if team == "large" else generator.choice(routers)
    plan = load.PlannedRequest("", team, service, router, send_at, timeout=8.0)
    if service == "assistant":
        plan.tokens = min(80, 5 + int(generator.expovariate(1 / 25)))
        plan.streamed = generator.random() < 0.5
    else:
        plan.work_ms = generator.uniform(5, 80)
        plan.idempotent = generator.random() < 0.3
    return plan


def run_demo(folder: pathlib.Path) -> report.Report:
    """Runs the fleet under the load and returns the records of it."""
    fleet = fleet_module.start_fleet(
        folder,
        fleet_module.build_configuration_text(TEAMS, SERVICES),
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
        started = runs_module.read_clock()
        results = asyncio.run(load.send_all(plans, _create_progress(plans)))
        seconds = runs_module.read_clock() - started
        print(file=sys.stderr)
        demo_report = report.collect_report(
            fleet, results, seconds, TEAMS, SLOTS
        )
        demo_report.exit_statuses = fleet_module.stop_fleet(fleet)
        return demo_report
    finally:
        fleet_module.kill_fleet(fleet)


SLOTS = {
    "assistant": ENGINES * ENGINE_SLOTS,
    "ledger": LEDGERS * LEDGER_SLOTS,
}


def _create_progress(plans: list[load.PlannedRequest]):
    """Creates a callback that shows the number of results so far."""
    counts: collections.Counter[str] = collections.Counter()

    def show_progress(result: load.RequestResult) -> None:
        counts["answered" if result.correct else result.kind] += 1
        done = counts.total()
        if done % 100 == 0 or done == len(plans):
            text = ", ".join(f"{k} {n}" for k, n in counts.items())
            print(f"\r{done}/{len(plans)}: {text}", end="", file=sys.stderr)

    return show_progress


def main() -> int:
    """Runs the demo and prints its results.

    Returns:
        The exit status: 1 if a result was wrong, lost or doubled, or if a
        process did not stop with status 0.
    """
    with tempfile.TemporaryDirectory(prefix="sycamorefall-") as folder:
        demo_report = run_demo(pathlib.Path(folder))
    print(report.format_table(demo_report))
    summary = report.summarize(demo_report)
    print(json.dumps(summary))
    failed = summary["wrong"] or summary["lost"] or summary["doubled"]
    stop_failed = any(demo_report.exit_statuses.values())
    return 1 if failed or stop_failed else 0


if __name__ == "__main__":
    sys.exit(main())
