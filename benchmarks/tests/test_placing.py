"""Regression bounds on what the policies of direct sending bring.

The pattern: prompts with heavy-tailed lengths whose shared parts don't all fit
into the engines' caches, two kinds of patient requests beside one that is due
soon, callers of unequal patience, a router that gets half of all requests, one
team that asks for half of them. Each bound is a ratio over two seeds, with
half of the measured difference left for changes elsewhere; the figures are in
docs/policies-measured.md.
"""

import functools

import pytest

from benchmarks import placing, site

OVERLOAD, SMALL_CACHE = "overload (1.2)", "small cache (0.8)"
SEEDS = (1, 2)


@functools.cache
def measure(load, variant="as shipped"):
    rows = [placing.measure_variant(load, variant, seed) for seed in SEEDS]
    return placing.average_rows(rows)


def test_fetching_spares_engines_reading():
    # Engines read parts again that the one next to them holds, and callers
    # behind that are late.
    shipped, without = measure(OVERLOAD), measure(OVERLOAD, "nothing fetched")
    assert shipped.again <= 0.92 * without.again
    assert shipped.total >= 1.02 * without.total


def test_telling_prompts_keeps_parts_where_they_are():
    # Each router counts on its own sends only. It takes engines that hold a
    # part for ones that must read it, and the other way round.
    shipped, without = measure(OVERLOAD), measure(OVERLOAD, "no prompts told")
    assert shipped.total >= 1.06 * without.total


def test_bounded_queues_leave_urgent_prompts_room():
    # Patient short questions fill the engines' queues; long reports due soon
    # fit nowhere and are refused.
    shipped = measure(OVERLOAD)
    without = measure(OVERLOAD, "queues not bounded")
    assert shipped.urgent >= 1.12 * without.urgent
    assert shipped.total >= 0.95 * without.total, "patient ones pay for it"


def test_little_patience_is_not_taken_for_age():
    # New callers with less patience than others count as late before they are
    # sent, and wait for idle engines.
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
    # Far below what the engines can read, nobody is refused or late but for
    # prompts that no engine reads in time.
    kind = site.RequestKind("question", 10, 1.2, 10.0, 20, 350, 1100, 100)
    figures = site.run_site(site.Site((kind,)))
    assert figures.compute_total_share() > 0.99
    assert figures.refusals.total() == 0
