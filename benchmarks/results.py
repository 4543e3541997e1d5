"""Figures of a simulated run, as a table and as JSON."""

__all__ = [
    "Figures",
    "format_rows",
    "measure_outcome",
    "measure_pause",
    "write_json",
]

import bisect
import dataclasses
import itertools
import json
import pathlib

from benchmarks import fleet, loads, upstream
from standins import measures
from sycamorefall.sharing import fairness_bound

FOLDER = pathlib.Path(__file__).parent.parent / ".benchmarks"
"""Folder of the results, which is not kept in the repository."""


@dataclasses.dataclass(slots=True, frozen=True)
class Figures:
    """Figures of one run.

    Attributes:
        case: Name of the load.
        policy: Name of the policy.
        gap: Fairness gap in cost units per weight.
        bound: Guaranteed bound on the gap; 0 for policies without one.
        pause: Longest time in seconds in which a team always had waiting
            requests and none of them was started.
        lost: Fraction of the capacity that was idle while requests waited.
        runs: Number of requests that the upstreams completed.
        node_bytes: Control bytes sent and received, per node and second.
        sent: Number of control messages by kind.
    """

    case: str
    policy: str
    gap: float
    bound: float
    pause: float
    lost: float
    runs: int
    node_bytes: float
    sent: dict[str, int]


def measure_outcome(
    case: loads.Case,
    options: fleet.Options,
    policy: str,
    outcome: fleet.Outcome,
    staleness: float = 0.0,
) -> Figures:
    """Computes the figures of a run.

    Args:
        case: The load.
        options: Size of the fleet.
        policy: Name of the policy.
        outcome: Result of the run.
        staleness: Seconds until other nodes know of an account change, for the
            bound; 0 if the policy has no bound.

    Returns:
        The figures.
    """
    weights = {sender.team: sender.weight for sender in case.senders}
    slots = options.upstreams * options.slots
    nodes = options.upstreams + options.routers
    return Figures(
        case=case.name,
        policy=policy,
        gap=measures.compute_fairness_gap(
            outcome.services, outcome.waits, weights
        ),
        bound=_compute_bound(options, weights, staleness),
        pause=max(measure_pause(outcome, team) for team in weights),
        lost=measures.compute_lost_capacity(
            outcome.services, outcome.waits, slots
        ),
        runs=len(outcome.services),
        node_bytes=2 * outcome.sent_bytes / nodes / options.seconds,
        sent=dict(outcome.sent),
    )


def measure_pause(outcome: fleet.Outcome, team: str) -> float:
    """Measures the longest time for which a team was not served.

    Only times in which the team always has a waiting request count. The start
    of one of its requests ends such a time. The unit is seconds.
    """
    waits = [wait for wait in outcome.waits if wait.team == team]
    spans = measures.merge_intervals((w.began, w.ended) for w in waits)
    starts = sorted(s.started for s in outcome.services if s.team == team)
    longest = 0.0
    for begin, end in spans:
        left = bisect.bisect_left(starts, begin)
        right = bisect.bisect_right(starts, end)
        marks = [begin, *starts[left:right], end]
        pauses = (b - a for a, b in itertools.pairwise(marks))
        longest = max(longest, *pauses)
    return longest


def _compute_bound(
    options: fleet.Options, weights: dict[str, float], staleness: float
) -> float:
    if not staleness:
        return 0.0
    slots = options.upstreams * options.slots
    ahead = 1 if options.ahead is None else options.ahead
    return fairness_bound.compute_gap_bound(
        in_flight=slots + ahead * options.upstreams,
        largest_cost=loads.LARGEST_COST,
        staleness=staleness,
        rate=slots * upstream.UNITS_PER_SECOND,
        lightest_weight=min(weights.values()),
    )


def format_rows(rows: list[Figures]) -> str:
    """Formats figures as a table with a header."""
    head = (
        f"{'case':<12} {'policy':<26} {'gap':>9} {'bound':>9} "
        f"{'pause':>6} {'lost':>8} {'runs':>7} {'B/node/s':>9}"
    )
    return "\n".join([head, *map(_format_row, rows)])


def _format_row(row: Figures) -> str:
    stated = f"{row.bound:.0f}" if row.bound else "-"
    sent = f"{row.node_bytes:.0f}" if row.node_bytes else "-"
    return (
        f"{row.case:<12} {row.policy:<26} {row.gap:>9.0f} {stated:>9} "
        f"{row.pause:>6.2f} {row.lost:>8.5f} {row.runs:>7} {sent:>9}"
    )


def write_json(name: str, rows: list[Figures]) -> pathlib.Path:
    """Writes figures to a JSON file in the results folder.

    Returns:
        Path of the file.
    """
    FOLDER.mkdir(exist_ok=True)
    path = FOLDER / f"{name}.json"
    path.write_text(json.dumps([dataclasses.asdict(row) for row in rows]))
    return path
