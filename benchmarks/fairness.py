"""Benchmark of fair sharing against baseline policies.

Measures the fairness gap, its bound and the capacity that is idle while
requests wait. Run it with `python -m benchmarks.fairness`. All policies of a
row group run the same requests, and all random choices follow from the seed, so
that a second run prints the same table.
"""

__all__ = ["POLICY", "compare_policies", "main"]

import argparse

from benchmarks import baselines, fleet, loads, results

POLICY = "sycamorefall"

UPDATE_DELAY = 0.02
"""Seconds for which a sidecar delays changed entries; see `sidecar.core`."""


def compare_policies(
    case: loads.Case, options: fleet.Options
) -> list[results.Figures]:
    """Runs a load under the product's policy and under each baseline.

    Args:
        case: The load.
        options: Size and seed.

    Returns:
        The figures, the product's first.
    """
    staleness = options.delay + options.account_delay + UPDATE_DELAY
    outcome = fleet.run_fleet(case, options)
    own = results.measure_outcome(case, options, POLICY, outcome, staleness)
    others = (
        results.measure_outcome(
            case, options, name, baselines.run_baseline(name, case, options)
        )
        for name in baselines.BASELINES
    )
    return [own, *others]


def main() -> None:
    """Runs the benchmark, prints its table and writes it as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("cases", nargs="*", default=list(loads.CASES))
    parser.add_argument("--seconds", type=float, default=160.0)
    parser.add_argument("--seed", type=int, default=1)
    given = parser.parse_args()
    options = fleet.Options(seconds=given.seconds, seed=given.seed)
    rows: list[results.Figures] = []
    for name in given.cases:
        rows += compare_policies(loads.CASES[name], options)
    print(results.format_rows(rows))
    print(f"written to {results.write_json('fairness', rows)}")


if __name__ == "__main__":
    main()
