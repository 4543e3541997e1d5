"""What the policies of direct sending are worth on a small site, one by one.

Run it with `python -m benchmarks.placing`. Each row is the product's policy
with one thing switched off, on the same requests: long prompts due soon, with
shared parts that don't all fit into the engines' caches, beside patient short
ones. All figures follow from the seed.
"""

__all__ = [
    "LOADS",
    "VARIANTS",
    "Row",
    "average_rows",
    "compare_variants",
    "main",
    "measure_variant",
]

import argparse
from collections.abc import Callable
import contextlib
import dataclasses
import json
import pathlib
import unittest.mock

from benchmarks import results, site
from sycamorefall.direct import eligibility, exchange, fetching, patience

KINDS = (
    site.Kind("report", 20, 0.6, 8.0, 120, 12_000, 3500, 100),
    site.Kind("summary", 18, 1.2, 5.0, 110, 6000, 2800, 50),
    site.Kind("question", 40, 1.2, 10.0, 150, 350, 1100, 150),
)
"""Long prompts due in 0.6 s, and two kinds that may take twice as long. All
shared parts together are 1.2 times what the six engines' caches hold."""

LOADS = {"small cache (0.8)": 0.8, "overload (1.2)": 1.2}
"""Rates as parts of what the engines can read, about."""


def _read_all_as_elapsed(known: patience.Patience, left: float) -> float:
    """Takes all that a caller has less than the most patient for elapsed."""
    known.longest = max(known.longest, left)
    return known.longest - left


VARIANTS: dict[str, Callable[[], contextlib.AbstractContextManager]] = {
    "as shipped": contextlib.nullcontext,
    "nothing fetched": lambda: unittest.mock.patch.object(
        fetching, "choose_source", lambda *_: None
    ),
    "no prompts told": lambda: unittest.mock.patch.object(
        exchange, "MAX_PROMPTS_PER_SECOND", 1e-9
    ),
    "queues not bounded": lambda: unittest.mock.patch.object(
        eligibility, "QUEUE_SHARE", float("inf")
    ),
    "little patience is age": lambda: unittest.mock.patch.object(
        patience, "estimate_elapsed", _read_all_as_elapsed
    ),
}


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """Figures of one variant: parts of the prompt tokens asked for.

    Attributes:
        load: Name of the load.
        variant: Name of the variant.
        total: Answered on time, of all kinds.
        urgent: The same of the kind that is due first.
        again: Shared parts read again.
        refusals: Refusals, a number.
    """

    load: str
    variant: str
    total: float
    urgent: float
    again: float
    refusals: int


def measure_variant(load: str, variant: str, seed: int = 1) -> Row:
    """Plays one load under one variant.

    Args:
        load: Its name.
        variant: Its name.
        seed: Seed of the requests.

    Returns:
        The figures.
    """
    kinds = tuple(
        dataclasses.replace(kind, rate=kind.rate * LOADS[load])
        for kind in KINDS
    )
    with VARIANTS[variant]():
        figures = site.run_site(site.Site(kinds, seed=seed))
    return Row(
        load,
        variant,
        figures.find_total(),
        figures.find_share(KINDS[0].name),
        figures.again / figures.asked.total(),
        figures.refusals.total(),
    )


def compare_variants(load: str, seeds: int) -> list[Row]:
    """Plays one load under all variants, each as the mean of some seeds."""
    return [
        average_rows([measure_variant(load, name, n + 1) for n in range(seeds)])
        for name in VARIANTS
    ]


def average_rows(rows: list[Row]) -> Row:
    """Averages the rows of one load and variant."""
    count = len(rows)
    return Row(
        rows[0].load,
        rows[0].variant,
        sum(row.total for row in rows) / count,
        sum(row.urgent for row in rows) / count,
        sum(row.again for row in rows) / count,
        sum(row.refusals for row in rows) // count,
    )


def format_row(row: Row) -> str:
    """Formats a row of the table."""
    return (
        f"{row.load:<20} {row.variant:<24} {row.total:>7.3f} "
        f"{row.urgent:>7.3f} {row.again:>7.3f} {row.refusals:>9}"
    )


def main() -> None:
    """Runs the benchmark and prints its table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    given = parser.parse_args()
    rows = [
        row for load in LOADS for row in compare_variants(load, given.seeds)
    ]
    print(f"{'load':<20} {'variant':<24}   total  urgent   again  refusals")
    print("\n".join(map(format_row, rows)))
    path: pathlib.Path = results.FOLDER / "placing.json"
    path.parent.mkdir(exist_ok=True)
    path.write_text(json.dumps([dataclasses.asdict(row) for row in rows]))
    print(f"written to {path}")


if __name__ == "__main__":
    main()
