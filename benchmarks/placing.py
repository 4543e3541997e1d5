"""Ablation study of direct sending: disables each policy on a small site.

Run it with `python -m benchmarks.placing`. Each row is the product's policy
with one part disabled, under the same requests: long prompts with a short
target latency, whose shared parts exceed the engines' caches, and short prompts
of patient callers. All figures follow from the seed.
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
from sycamorefall.direct import (
    eligibility,
    fetching,
    patience,
    prompt_reports,
)

KINDS = (
    site.RequestKind("report", 20, 0.6, 8.0, 120, 12_000, 3500, 100),
    site.RequestKind("summary", 18, 1.2, 5.0, 110, 6000, 2800, 50),
    site.RequestKind("question", 40, 1.2, 10.0, 150, 350, 1100, 150),
)
"""Long prompts with a target latency of 0.6 s, and two kinds with twice that.

All shared parts together are 1.2 times the capacity of the six engines' caches.
"""

LOADS = {"small cache (0.8)": 0.8, "overload (1.2)": 1.2}
"""Request rates as approximate fractions of what the engines can prefill."""


def _count_difference_as_elapsed(
    known: patience.Patience, left: float
) -> float:
    """Counts the difference to the most patient caller as elapsed time."""
    known.longest = max(known.longest, left)
    return known.longest - left


VARIANTS: dict[str, Callable[[], contextlib.AbstractContextManager]] = {
    "as shipped": contextlib.nullcontext,
    "nothing fetched": lambda: unittest.mock.patch.object(
        fetching, "choose_source", lambda *_: None
    ),
    "no prompts told": lambda: unittest.mock.patch.object(
        prompt_reports, "MAX_PROMPTS_PER_SECOND", 1e-9
    ),
    "queues not bounded": lambda: unittest.mock.patch.object(
        eligibility, "QUEUE_SHARE", float("inf")
    ),
    "little patience is age": lambda: unittest.mock.patch.object(
        patience, "estimate_elapsed", _count_difference_as_elapsed
    ),
}


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """Figures of one variant, as fractions of the requested prompt tokens.

    Attributes:
        load: Name of the load.
        variant: Name of the variant.
        total: Tokens of requests that were answered on time, of all kinds.
        urgent: The same for the kind with the shortest target latency.
        again: Tokens of shared parts that were computed again.
        refusals: Number of refusals.
    """

    load: str
    variant: str
    total: float
    urgent: float
    again: float
    refusals: int


def measure_variant(load: str, variant: str, seed: int = 1) -> Row:
    """Simulates one load under one variant.

    Args:
        load: Name of the load.
        variant: Name of the variant.
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
        figures.compute_total_share(),
        figures.compute_share(KINDS[0].name),
        figures.reread / figures.requested.total(),
        figures.refusals.total(),
    )


def compare_variants(load: str, seeds: int) -> list[Row]:
    """Simulates one load under all variants, averaged over several seeds."""
    return [
        average_rows([measure_variant(load, name, n + 1) for n in range(seeds)])
        for name in VARIANTS
    ]


def average_rows(rows: list[Row]) -> Row:
    """Averages the rows of one load and variant over their seeds."""
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
    """Runs the benchmark, prints its table and writes it as JSON."""
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
