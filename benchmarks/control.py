"""Measures control traffic per node, and its growth with the fleet size.

Prints one JSON object per line for each case and each slope.
"""

import json
import statistics
import sys

from benchmarks import world

CASES = {
    "demo, unloaded": world.Case(
        routers=2, sidecars=5, services=2, teams=4, rate=60, slots=4, work=0.1
    ),
    "demo, overloaded": world.Case(
        routers=2, sidecars=5, services=2, teams=4, rate=198, slots=4, work=0.15
    ),
    "association, 0.25": world.Case(rate=40, work=0.5),
    "association, 0.9": world.Case(rate=72, work=1.0),
    "association, 1.25": world.Case(rate=100, work=1.0),
}
"""Cases of current fleet sizes; the numbers in names are fractions of the
capacity."""


def summarize(case: world.Case, counts: world.Counts) -> dict:
    """Computes the figures of a run from its counts.

    Byte counts are per node and second. Waits are in multiples of the one-way
    message delay.
    """
    seconds = case.seconds / 2
    total = counts.sent + counts.received
    routers = [
        total[f"router-{index}"] / seconds for index in range(case.routers)
    ]
    sidecars = [
        total[f"upstream-{index}"] / seconds for index in range(case.sidecars)
    ]
    kinds = {
        kind: round(2 * size / (case.routers + case.sidecars) / seconds, 1)
        for kind, size in counts.kinds.most_common()
    }
    waits = sorted(counts.waits) or [0.0]
    return {
        "routers": case.routers,
        "sidecars": case.sidecars,
        "services": case.services,
        "teams": case.teams,
        "rate": case.rate,
        "bytes_per_node_s": round(statistics.mean(routers + sidecars), 1),
        "router_bytes_s": round(statistics.mean(routers), 1),
        "router_bytes_s_max": round(max(routers), 1),
        "sidecar_bytes_s": round(statistics.mean(sidecars), 1),
        "sidecar_bytes_s_max": round(max(sidecars), 1),
        "started": len(counts.waits),
        "wait_trips_p50": round(
            waits[len(waits) // 2] / world.ONE_WAY_DELAY, 1
        ),
        "wait_trips_p95": round(
            waits[int(len(waits) * 0.95)] / world.ONE_WAY_DELAY, 1
        ),
        "lost_capacity": round(
            counts.lost / (case.slots * case.sidecars * seconds), 4
        ),
        "by_kind": kinds,
    }


def measure(case: world.Case) -> dict:
    """Runs a case and computes its figures."""
    return summarize(case, world.Simulation(case).run())


SLOPES = {
    "routers": [{"routers": count} for count in (4, 16, 64)],
    "sidecars": [
        {"sidecars": count, "rate": 7.2 * count} for count in (10, 20, 40)
    ],
    "teams": [{"teams": count} for count in (16, 160, 1600)],
    "fleet": [
        {"routers": 2 * n, "sidecars": 5 * n, "rate": 36.0 * n}
        for n in (2, 4, 8)
    ],
}
"""Series of growing fleets by the number that grows, at 0.9 of the capacity."""


def measure_slopes() -> list[dict]:
    """Measures the control bytes added per node and second by growth.

    Returns:
        A row per series of `SLOPES`, with the figures of each fleet.
    """
    rows: list[dict] = []
    for name, changes in SLOPES.items():
        points = []
        for change in changes:
            case = world.Case(**({"rate": 72, "work": 1.0} | change))
            size = change.get(name, case.routers + case.sidecars)
            points.append((size, measure(case)))
        (least, first), *_, (most, last) = points
        rows.append({"grows": name, "points": [row for _, row in points]})
        for kind in ("router", "sidecar"):
            grown = last[f"{kind}_bytes_s"] - first[f"{kind}_bytes_s"]
            slope = round(grown / (most - least), 3)
            rows[-1][f"{kind}_bytes_s_slope"] = slope
    return rows


def main() -> int:
    """Runs all cases; returns the exit status."""
    for name, case in CASES.items():
        print(json.dumps({"case": name} | measure(case)), flush=True)
    for row in measure_slopes():
        print(json.dumps(row), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
