"""Regression bounds on the benefit of each policy of direct sending.

The load: prompts with heavy-tailed lengths whose shared parts exceed the
engines' caches, two kinds of requests with a long target latency and one with a
short one, callers of unequal patience, a router that receives half of all
requests, and a team that sends half of them. Each bound is a ratio over the
same seeds and leaves half of the measured difference as a margin for other
changes. The figures are in docs/policies-measured.md.
"""

import functools

import pytest

from benchmarks import placing, site

OVERLOAD, SMALL_CACHE = "overload (1.2)", "small cache (0.8)"
SEEDS = (1, 2)

MANY_SEEDS = (1, 2, 3, 4, 5, 6, 7, 8)
"""Seeds of comparisons whose ratio differs by more than its bound's margin
between one pair of seeds and another."""


@functools.cache
def measure(load, variant="as shipped", seeds=SEEDS):
    rows = [placing.measure_variant(load, variant, seed) for seed in seeds]
    return placing.average_rows(rows)


def test_fetching_spares_engines_reading():
    # Without fetching, engines recompute parts that another engine has cached,
    # which delays the prompts queued behind.
    shipped, without = measure(OVERLOAD), measure(OVERLOAD, "nothing fetched")
    assert shipped.again <= 0.92 * without.again
    assert shipped.total >= 1.02 * without.total


def test_telling_prompts_keeps_parts_where_they_are():
    # Without reports of prompts, each router knows only its own requests, and
    # misjudges which engines have a part cached.
    shipped, without = (
        measure(OVERLOAD, variant, MANY_SEEDS)
        for variant in ("as shipped", "no prompts told")
    )
    assert shipped.total >= 1.06 * without.total


def test_bounded_queues_leave_urgent_prompts_room():
    # Without the bound, short questions with a long target latency fill the
    # engines' queues, and long reports with a short one are refused.
    shipped, without = (
        measure(OVERLOAD, variant, MANY_SEEDS)
        for variant in ("as shipped", "queues not bounded")
    )
    assert shipped.urgent >= 1.12 * without.urgent
    assert shipped.total >= 0.95 * without.total, "patient ones pay for it"


def test_little_patience_is_not_taken_for_age():
    # Otherwise new requests of callers with less patience count as late before
    # they are sent, and wait for idle engines.
    shipped = measure(OVERLOAD)
    without = measure(OVERLOAD, "little patience is age")
    assert shipped.total >= 1.09 * without.total
    assert shipped.urgent >= 1.3 * without.urgent


@pytest.mark.parametrize(
    ("load", "total", "urgent"),
    [(SMALL_CACHE, 0.74, 0.62), (OVERLOAD, 0.55, 0.43)],
)
def test_service_does_not_fall(load, total, urgent):
    figures = measure(load)
    assert figures.total >= total
    assert figures.urgent >= urgent


def test_second_run_gives_the_same_figures():
    again = placing.average_rows(
        [placing.measure_variant(SMALL_CACHE, "as shipped", n) for n in SEEDS]
    )
    assert again == measure(SMALL_CACHE)


def test_light_load_is_served_whole():
    # Far below the engines' capacity, no request is refused, and only prompts
    # that no engine can compute in time are late.
    kind = site.RequestKind("question", 10, 1.2, 10.0, 20, 350, 1100, 100)
    figures = site.run_site(site.Site((kind,)))
    assert figures.compute_total_share() > 0.99
    assert figures.refusals.total() == 0
