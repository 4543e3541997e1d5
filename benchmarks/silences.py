"""Compares engines that fall silent and go on with one that is gone.

Run it with `python -m benchmarks.silences`. Each row is about the plays of one
fleet, load and trouble. The first table has sums over the plays; `breaks` are
the plays in which an answer was ended although its engine went on. The second
one is about the engine: what began in the 5 s after the trouble, and how the
engine is used after its return, or how long its callers wait if it is gone. All
columns are described at `silence_cases.Figures`.
"""

__all__ = ["format_counts", "format_times", "main", "play"]

import argparse
import collections
from collections.abc import Iterable
import dataclasses
import itertools
import json
import math
import pathlib
import statistics
import time

from benchmarks import silence_cases, silent_engines

COUNTS = {
    "faults": "faults",
    "ended_at_gone": "gone",
    "expired": "expired",
    "moved": "moved",
    "repeated": "repeated",
    "retries": "retries",
    "unpaid": "unpaid",
    "in_time": "in time",
    "late": "late",
    "unserved": "unserved",
}
"""Headings of the counts."""


def play(routers: int, load: float, trouble: str, seed: int) -> dict:
    """Simulates a trouble; returns the case and its figures as plain data."""
    figures = silent_engines.simulate(routers, load, trouble, seed)
    case = {"routers": routers, "load": load, "trouble": trouble, "seed": seed}
    # `asdict` can't copy a counter.
    counts, figures.counts = dict(figures.counts), {}
    return case | dataclasses.asdict(figures) | {"counts": counts}


def _group(plays: Iterable[dict]) -> dict[str, list[dict]]:
    """Groups plays by the head of their row."""
    grouped = collections.defaultdict(list)
    for one in plays:
        row = f"{one['routers']:7} {one['load']:4} {one['trouble']:12}"
        grouped[row].append(one)
    return grouped


def format_counts(plays: list[dict]) -> list[str]:
    """Formats the table of counts."""
    rows = [f"{'routers load trouble':25} breaks/plays  rate"]
    rows[0] += "".join(f"{heading:>9}" for heading in COUNTS.values())
    for row, group in _group(plays).items():
        breaks = sum(one["counts"].get("faults", 0) > 0 for one in group)
        row += f"{breaks:7}/{len(group):<5} {breaks / len(group):5.2f}"
        sums = (sum(one["counts"].get(n, 0) for one in group) for n in COUNTS)
        rows.append(row + "".join(f"{count:9}" for count in sums))
    return rows


def format_times(plays: list[dict]) -> list[str]:
    """Formats the table of times and slots.

    Each wait has its number, mean, 95th percentile and maximum.
    """
    names = [
        (name, kind.name)
        for name, kind in itertools.product(
            ("waits", "errors"), silence_cases.KINDS
        )
    ]
    rows = [f"{'routers load trouble':25} tokens/s  idle slots"]
    rows[0] += "".join(f"   {' of '.join(pair):<21}" for pair in names)
    for row, group in _group(plays).items():
        tokens = statistics.fmean(one["tokens"] for one in group)
        idle = [value for one in group for value in one["idle"]]
        slots = [value for one in group for value in one["slots"]]
        row += f"{tokens:10.0f} {_average(idle):5.2f} {_average(slots):5.1f}"
        for name, kind in names:
            waits = [value for one in group for value in one[name][kind]]
            row += "   " + _format_waits(sorted(waits))
        rows.append(row)
    return rows


def _average(values: list[float]) -> float:
    return statistics.fmean(values) if values else math.nan


def _format_waits(waits: list[float]) -> str:
    if not waits:
        return f"{0:4}{'':17}"
    high = waits[math.ceil(0.95 * len(waits)) - 1]
    mean = statistics.fmean(waits)
    return f"{len(waits):4} {mean:5.2f} {high:5.2f} {waits[-1]:4.1f}"


def main() -> None:
    """Simulates all troubles for some seeds, and prints the tables."""
    troubles = silence_cases.TROUBLES
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--routers", type=int, nargs="+", default=[6])
    parser.add_argument(
        "--loads", type=float, nargs="+", default=silence_cases.LOADS
    )
    parser.add_argument(
        "--troubles", nargs="+", choices=troubles, default=list(troubles)
    )
    parser.add_argument(
        "--minutes", type=float, default=math.inf, help="begins no play later"
    )
    parser.add_argument("--json", type=pathlib.Path, help="file of all plays")
    options = parser.parse_args()
    end = time.monotonic() + 60 * options.minutes
    seeds = range(options.first_seed, options.first_seed + options.seeds)
    cases = itertools.product(
        seeds, options.routers, options.loads, options.troubles
    )
    plays = [
        play(routers, load, trouble, seed)
        for seed, routers, load, trouble in cases
        if time.monotonic() < end
    ]
    print("\n".join([*format_counts(plays), "", *format_times(plays)]))
    if options.json:
        options.json.write_text(json.dumps(plays))


if __name__ == "__main__":
    main()
