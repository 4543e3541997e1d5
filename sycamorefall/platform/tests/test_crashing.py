"""A request that crashes every upstream that runs it, and the real program."""

import time

import pytest

from standins import site as site_module
from sycamorefall.platform.tests import test_whole_path
from sycamorefall.platform.tests.asking import ask

CRASHING = b"crashes the engine"


@pytest.fixture
def fleet(site):
    """Three routers that know each other, before eight engines."""
    for number in range(8):
        engine = site.add_upstream(f"e{number}", "engine")
        engine.crash_on = CRASHING
    first = site.add_router("front-a-1")
    seeds = f"[peers]\naddresses = 127.0.0.1:{first.control}\n"
    routers = [first] + [
        site.add_router(f"front-a-{number}", more=seeds) for number in (2, 3)
    ]
    site_module.wait_until(
        lambda: test_whole_path.count_routers(routers) == {3}
    )
    return routers


def count_crashed(site):
    return sum(one.crashed for one in site.upstreams.values())


@pytest.mark.parametrize("path", ["/draft/x", "/answer/x"])
def test_request_that_crashes_engines_reaches_no_fourth_one(site, fleet, path):
    # Guards against a request that crashes one engine after the other because
    # its repetitions reach other routers, or because a router sends it on.
    for number in range(9):
        router = fleet[number % len(fleet)]
        _, status, found, _ = ask(router, path, prompt=True, body=CRASHING)
        assert status in (502, 503)
        time.sleep(0.2)
    assert count_crashed(site) == 3
    assert (status, found.get("retry-after")) == (503, None)
    for router in fleet:
        assert ask(router, path, prompt=True, body=b"sound")[1] == 200
