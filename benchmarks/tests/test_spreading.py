"""Test that a change reaches the whole fleet, with one fetch per process."""

from benchmarks import spreading


def test_change_reaches_all_and_the_load_is_spread():
    routers, sidecars = 20, 50
    times, served = spreading.measure_spreading(routers, sidecars, seed=1)
    assert len(times) == routers + sidecars
    assert times[-1] < 10.0
    assert served.total() <= routers + sidecars
