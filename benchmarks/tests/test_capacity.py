"""Tests of the fitted costs and the tables of the capacity benchmark."""

import pytest

from benchmarks import capacity_probe, capacity_projection


def test_slope_is_the_cost_of_one_more():
    points = [(1.0, 10.0), (2.0, 12.0), (4.0, 16.0)]
    measure = capacity_probe.fit_slope("k", "what", "us", points, 1e3)
    assert measure.value == pytest.approx(2000.0)
    assert measure.points == "1: 10, 2: 12, 4: 16"


def test_missing_measure_is_named_and_not_guessed():
    """A default value would be mistaken for a measured one."""
    lines = capacity_projection.format_estimates([])
    rows = [line for line in lines if "`" in line]
    assert rows
    assert all("not measured" in row for row in rows)


@pytest.mark.parametrize(("value", "over"), [(0.01, False), (0.1, True)])
def test_value_over_its_bound_is_marked(value, over):
    measures = [capacity_probe.Measure("change-pause", "pause", value, "s", "")]
    lines = capacity_projection.format_estimates(measures)
    row = next(line for line in lines if "stands still" in line)
    assert ("**over**" in row) is over


def test_memory_grows_with_what_is_built():
    few, many = (
        capacity_probe.measure_allocations(lambda n: [object()] * n, n)
        for n in (1_000, 100_000)
    )
    assert many - few > 99_000 * 8 * 0.9
