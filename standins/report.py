"""What a run of the fleet came to, judged by callers and stand-ins alone."""

import collections
import dataclasses

from standins import fleet as fleet_module
from standins import load, measures
from standins import runs as runs_module
from sycamorefall.sharing import fairness_bound

EXCHANGE_SECONDS = 0.1
"""Time taken until an account entry is seen by all, for the stated bound."""

CLAIMS_AHEAD = 1
"""Claims that each sidecar makes ahead of a free slot."""


@dataclasses.dataclass(slots=True)
class Report:
    """Measures of one run.

    Attributes:
        answers: What callers saw.
        runs: What upstreams ran, by service.
        seconds: How long the load lasted.
        weights: Weights by team.
        slots: Slots of all upstreams, by service.
        upstreams: Number of upstreams, by service.
        control_bytes: Bytes over all control links, counted by the relay.
        nodes: Routers and sidecars.
        exit_statuses: Exit status by node, after the graceful stop.
    """

    answers: list[load.RequestResult]
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
    answers: list[load.RequestResult],
    seconds: float,
    weights: dict[str, float],
    slots: dict[str, int],
) -> Report:
    """Reads the stand-ins' records at the end of a run."""
    runs: dict[str, list[runs_module.Run]] = {}
    upstreams: collections.Counter[str] = collections.Counter()
    for node in fleet.nodes.values():
        if node.role == "upstream":
            found = fleet_module.call(node.upstream, "/test/runs")
            kept = runs.setdefault(node.service, [])
            kept += [runs_module.Run(**entry) for entry in found]
            upstreams[node.service] += 1
    relayed = fleet_module.call(fleet.relay, "/test/bytes")
    return Report(
        answers,
        runs,
        seconds,
        weights,
        slots,
        dict(upstreams),
        sum(relayed.values()),
        len(fleet.nodes),
    )


def count_runs(report: Report) -> collections.Counter[str]:
    """Counts how often each request reached an upstream."""
    return collections.Counter(
        run.request for runs in report.runs.values() for run in runs
    )


def find_wrong(report: Report) -> list[load.RequestResult]:
    """Finds false answers: another's, not whole, or untruly "not run"."""
    counts = count_runs(report)
    return [
        answer
        for answer in report.answers
        if (answer.status == 200 and not answer.right and not answer.kind)
        or (answer.ran == "no" and counts[answer.plan.request])
    ]


def find_lost(report: Report) -> list[load.RequestResult]:
    """Finds requests whose callers got no final answer at all."""
    return [
        answer
        for answer in report.answers
        if not answer.status or answer.kind.startswith("broken")
    ]


def find_doubled(report: Report) -> list[str]:
    """Finds requests that ran twice though they may not be repeated."""
    counts = count_runs(report)
    return [
        answer.plan.request
        for answer in report.answers
        if not answer.plan.idempotent and counts[answer.plan.request] > 1
    ]


def list_services(
    report: Report, service: str, end: float
) -> list[measures.ServiceInterval]:
    """Lists the service given, runs in progress counted up to `end`."""
    return [
        measures.ServiceInterval(
            run.team, run.started, run.finished or end, run.cost
        )
        for run in report.runs.get(service, ())
        if run.started
    ]


def list_waits(report: Report, service: str) -> list[measures.WaitInterval]:
    """Lists how long each request waited for its start or its refusal."""
    started = {
        run.request: run.started
        for run in report.runs.get(service, ())
        if run.started
    }
    return [
        measures.WaitInterval(
            answer.plan.team,
            answer.sent,
            max(answer.sent, started.get(answer.plan.request, answer.ended)),
        )
        for answer in report.answers
        if answer.plan.service == service
    ]


def summarize(report: Report) -> dict[str, float]:
    """Computes the figures of the demo's last line."""
    end = max(answer.ended for answer in report.answers)
    services = list_services(report, "assistant", end)
    waits = list_waits(report, "assistant")
    lost = sum(
        measures.compute_lost_capacity(
            list_services(report, service, end),
            list_waits(report, service),
            slots,
        )
        * slots
        for service, slots in report.slots.items()
    ) / sum(report.slots.values())
    return {
        "sent": len(report.answers),
        "answered": sum(answer.right for answer in report.answers),
        "wrong": len(find_wrong(report)),
        "lost": len(find_lost(report)),
        "doubled": len(find_doubled(report)),
        "not_run": sum(answer.ran == "no" for answer in report.answers),
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
    """Formats a row per team and service."""
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
    answers = [
        answer
        for answer in report.answers
        if (answer.plan.service, answer.plan.team) == (service, team)
    ]
    right = sum(answer.right for answer in answers)
    not_run = sum(answer.ran == "no" for answer in answers)
    waits = sorted(
        wait.ended - wait.began
        for wait in list_waits(report, service)
        if wait.team == team
    ) or [0.0]
    units = sum(run.cost for run in report.runs[service] if run.team == team)
    p50, p95 = (waits[int(len(waits) * share)] for share in (0.5, 0.95))
    return (
        f"{service:<10} {team:<8} {len(answers):>5} {right:>5} "
        f"{not_run:>7} {len(answers) - right - not_run:>5} "
        f"{p50:>8.3f} {p95:>8.3f} {units:>8.0f}"
    )
