"""Ablation study of fair sharing: measures each mechanism by disabling it.

Run it with `python -m benchmarks.ablations`. Each row of the table is the
product's policy with one change, under the same requests.
"""

__all__ = ["VARIANTS", "main"]

import argparse
from collections.abc import Callable
import dataclasses
import unittest.mock

from benchmarks import fleet, loads, results
from sycamorefall import sharing
from sycamorefall.sharing import cost_estimates

LOADS = ("even", "skewed", "flood", "hints", "returning", "idle at 0.9")


@dataclasses.dataclass(slots=True, frozen=True)
class Variant:
    """One modification of the product's policy.

    Attributes:
        name: Label in the table.
        options: Fields of `fleet.Options` to replace.
        patch: Creates the context manager that patches the product during the
            run.
        cases: Names of the loads, keys of `loads.CASES`.
    """

    name: str
    options: dict[str, object] = dataclasses.field(default_factory=dict)
    patch: Callable[[], object] = lambda: unittest.mock.patch.dict({})
    cases: tuple[str, ...] = LOADS


def _disable_floor_raise() -> object:
    return unittest.mock.patch.object(
        sharing, "raise_to_floor", lambda *_: None
    )


def _patch_max_lead(requests: float) -> Callable[[], object]:
    return lambda: unittest.mock.patch.object(
        cost_estimates, "MAX_LEAD_REQUESTS", requests
    )


VARIANTS = [
    Variant("as shipped", cases=(*LOADS, "partition")),
    Variant("nothing reserved", {"reserve": False}),
    *(
        Variant(f"claims ahead: {number}", {"ahead": number})
        for number in (0, 1, 2, 4)
    ),
    Variant("no lift", patch=_disable_floor_raise),
    *(
        Variant(
            f"horizon: {requests} requests",
            patch=_patch_max_lead(requests),
            cases=("even", "skewed", "partition"),
        )
        for requests in (32, 512, 1e9)
    ),
    *(
        Variant(
            f"accounts {delay} s older",
            {"account_delay": delay},
            cases=("even", "skewed", "hints"),
        )
        for delay in (0.2, 1.0, 5.0)
    ),
    *(
        Variant(
            f"1 s older, horizon {requests}",
            {"account_delay": 1.0},
            _patch_max_lead(requests),
            cases=("even", "skewed"),
        )
        for requests in (32, 1e9)
    ),
]
"""The measured variants, in the order of the table."""


def _run_variant(
    variant: Variant, name: str, options: fleet.Options
) -> results.Figures:
    changed = dataclasses.replace(options, **variant.options)
    case = loads.CASES[name]
    with variant.patch():
        outcome = fleet.run_fleet(case, changed)
    return results.measure_outcome(case, changed, variant.name, outcome)


def main() -> None:
    """Runs all variants, prints their table and writes it as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=80.0)
    parser.add_argument("--seed", type=int, default=1)
    given = parser.parse_args()
    options = fleet.Options(seconds=given.seconds, seed=given.seed)
    rows = [
        _run_variant(variant, name, options)
        for variant in VARIANTS
        for name in variant.cases
    ]
    print(results.format_rows(rows))
    print(f"written to {results.write_json('ablations', rows)}")


if __name__ == "__main__":
    main()
