"""Results of a load on the fleet.

They are computed from what callers and fake upstreams recorded; statements
of routers and sidecars about themselves aren't used.
"""

import collections
import dataclasses

from standins import fleet as fleet_module
from standins import load, measures
from standins import runs as runs_module
from sycamorefall.sharing import fairness_bound

EXCHANGE_SECONDS = 0.1
"""Assumed seconds until all sidecars of a service have an account entry.

The fairness bound is computed with it.
"""

CLAIMS_AHEAD = 1
"""Number of claims that each sidecar makes beyond its free slots."""


@dataclasses.dataclass(slots=True)
class Report:
    """Records of one load, from which the results are computed.

    Attributes:
        results: Outcome of each request as its caller observed it.
        runs: Runs that the upstreams recorded, by service.
        seconds: Duration of the load.
        weights: Weights by team.
        slots: Total slots of the upstreams, by service.
        upstreams: Number of upstreams, by service.
        control_bytes: Bytes sent over all control links, as counted by the
            relay.
        nodes: Number of routers and sidecars.
        exit_statuses: Exit status of each node's process after the graceful
            stop, by node name.
    """

    results: list[load.RequestResult]
    runs: dict[str, list[runs_module.Run]]
    seconds: float
    weights: dict[str, float]
    slots: dict[str, int]
    upstreams: dict[str, int]
    control_bytes: int
    nodes: int
    exit_statuses: dict[str, int | None] = dataclasses.field(
        default_factory=dict
    )


def collect_report(
    fleet: fleet_module.Fleet,
    results: list[load.RequestResult],
    seconds: float,
    weights: dict[str, float],
    slots: dict[str, int],
) -> Report:
    """Fetches the records of the fake upstreams and the relay.

    Args:
        fleet: The running fleet.
        results: Outcome of each request as its caller observed it.
        seconds: Duration of the load.
        weights: Weights by team.
        slots: Total slots of the upstreams, by service.

    Returns:
        The records; `exit_statuses` is empty.
    """
    runs: dict[str, list[runs_module.Run]] = {}
    upstreams: collections.Counter[str] = collections.Counter()
    for node in fleet.nodes.values():
        if node.role == "upstream":
            entries = fleet_module.call(node.upstream, "/test/runs")
            service_runs = runs.setdefault(node.service, [])
            service_runs += [runs_module.Run(**entry) for entry in entries]
            upstreams[node.service] += 1
    bytes_by_port = fleet_module.call(fleet.relay, "/test/bytes")
    return Report(
        results,
        runs,
        seconds,
        weights,
        slots,
        dict(upstreams),
        sum(bytes_by_port.values()),
        len(fleet.nodes),
    )


def count_runs_by_request(report: Report) -> collections.Counter[str]:
    """Counts the runs at all upstreams, by request id."""
    return collections.Counter(
        run.request for runs in report.runs.values() for run in runs
    )


def list_incorrect_results(report: Report) -> list[load.RequestResult]:
    """Lists the results that misinform their callers.

    Such a response has status 200 and no error event, but is incomplete or
    another request's; or it says that the request did not run although an
    upstream ran it.
    """
    counts = count_runs_by_request(report)
    return [
        result
        for result in report.results
        if (result.status == 200 and not result.correct and not result.kind)
        or (result.ran == "no" and counts[result.plan.request_id])
    ]


def list_unanswered(report: Report) -> list[load.RequestResult]:
    """Lists the results of requests that got no complete response."""
    return [
        result
        for result in report.results
        if not result.status or result.kind.startswith("broken")
    ]


def list_duplicate_runs(report: Report) -> list[str]:
    """Lists the ids of non-idempotent requests that ran more than once."""
    counts = count_runs_by_request(report)
    return [
        result.plan.request_id
        for result in report.results
        if not result.plan.idempotent and counts[result.plan.request_id] > 1
    ]


def list_service_intervals(
    report: Report, service: str, end: float
) -> list[measures.ServiceInterval]:
    """Lists a service's runs that were started, as service intervals.

    Runs that are still in progress are counted up to `end`.
    """
    return [
        measures.ServiceInterval(
            run.team, run.started, run.finished or end, run.cost
        )
        for run in report.runs.get(service, ())
        if run.started
    ]


def list_wait_intervals(
    report: Report, service: str
) -> list[measures.WaitInterval]:
    """Lists the waiting time of each request to a service.

    It lasts from the time at which the request was sent until its run
    started, or until its result if it never ran.
    """
    started = {
        run.request: run.started
        for run in report.runs.get(service, ())
        if run.started
    }
    return [
        measures.WaitInterval(
            result.plan.team,
            result.sent_at,
            max(
                result.sent_at,
                started.get(result.plan.request_id, result.ended_at),
            ),
        )
        for result in report.results
        if result.plan.service == service
    ]


def summarize(report: Report) -> dict[str, float]:
    """Computes the figures that the demo prints as JSON in its last line."""
    end = max(result.ended_at for result in report.results)
    services = list_service_intervals(report, "assistant", end)
    waits = list_wait_intervals(report, "assistant")
    lost = sum(
        measures.compute_lost_capacity(
            list_service_intervals(report, service, end),
            list_wait_intervals(report, service),
            slots,
        )
        * slots
        for service, slots in report.slots.items()
    ) / sum(report.slots.values())
    return {
        "sent": len(report.results),
        "answered": sum(result.correct for result in report.results),
        "wrong": len(list_incorrect_results(report)),
        "lost": len(list_unanswered(report)),
        "doubled": len(list_duplicate_runs(report)),
        "not_run": sum(result.ran == "no" for result in report.results),
        "fairness_gap": round(
            measures.compute_fairness_gap(services, waits, report.weights), 1
        ),
        "fairness_bound": round(_compute_bound(report, services), 1),
        "utilisation": round(1 - lost, 4),
        "control_bytes_per_node_s": round(
            2 * report.control_bytes / report.nodes / report.seconds, 1
        ),
    }


def _compute_bound(
    report: Report, services: list[measures.ServiceInterval]
) -> float:
    in_flight = (
        report.slots["assistant"] + CLAIMS_AHEAD * report.upstreams["assistant"]
    )
    total = sum(service.cost for service in services)
    return fairness_bound.compute_gap_bound(
        in_flight,
        max((service.cost for service in services), default=0.0),
        EXCHANGE_SECONDS,
        total / report.seconds,
        min(report.weights.values()),
    )


def format_table(report: Report) -> str:
    """Formats a table with a row for each service and team."""
    lines = [
        f"{'service':<10} {'team':<8} {'sent':>5} {'right':>5} "
        f"{'not run':>7} {'other':>5} {'wait p50':>8} {'wait p95':>8} "
        f"{'units':>8}"
    ]
    for service in report.runs:
        for team in report.weights:
            lines.append(_format_row(report, service, team))
    return "\n".join(lines)


def _format_row(report: Report, service: str, team: str) -> str:
    results = [
        result
        for result in report.results
        if (result.plan.service, result.plan.team) == (service, team)
    ]
    correct = sum(result.correct for result in results)
    not_run = sum(result.ran == "no" for result in results)
    waits = sorted(
        wait.ended - wait.began
        for wait in list_wait_intervals(report, service)
        if wait.team == team
    ) or [0.0]
    units = sum(run.cost for run in report.runs[service] if run.team == team)
    p50, p95 = (waits[int(len(waits) * share)] for share in (0.5, 0.95))
    return (
        f"{service:<10} {team:<8} {len(results):>5} {correct:>5} "
        f"{not_run:>7} {len(results) - correct - not_run:>5} "
        f"{p50:>8.3f} {p95:>8.3f} {units:>8.0f}"
    )
