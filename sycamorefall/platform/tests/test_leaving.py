"""Upstreams that say in their answers that they leave or want rest."""

import time

from standins import site as site_module
from sycamorefall.platform.tests.asking import ask

DRAIN_TIME = 2.0
"""Seconds within which sends to a leaving upstream are to end."""


def test_upstream_that_says_that_it_leaves_gets_nothing_new(site):
    # Guards against requests that are sent to an upstream that has said in an
    # answer that it leaves, while the platform still lists it as ready.
    leaving = site.add_upstream("e1", "engine")
    leaving.leaving = True
    router = site.add_router()
    assert ask(router, "/draft/x", prompt=True)[1] == 200
    site.add_upstream("e2", "engine")
    log = site.folder / "front-a-1.log"
    site_module.wait_until(lambda: '"new":["e2"]' in log.read_text())
    time.sleep(DRAIN_TIME)
    before = len(leaving.runs)
    for _ in range(20):
        assert ask(router, "/draft/x", prompt=True)[1] == 200
    assert len(leaving.runs) == before


def test_upstream_that_asks_for_rest_gets_it(site):
    # Guards against requests that are sent on to an upstream that has turned
    # one away with a time to come back, and against callers that wait for it
    # until their time is over.
    resting = site.add_upstream("e1", "engine")
    resting.refuse, resting.rest = True, "3"
    router = site.add_router()
    assert ask(router, "/draft/x", prompt=True)[1] == 503
    asked = time.monotonic()
    time.sleep(0.5)
    before = len(resting.refused)
    for _ in range(10):
        begun = time.monotonic()
        _, status, found, _ = ask(router, "/draft/x", prompt=True)
        left = asked + 3 - begun
        assert status == 503
        assert left - 0.5 < float(found["retry-after"]) < left + 1.0
        assert time.monotonic() - begun < 0.2
    assert len(resting.refused) - before <= 2
    resting.refuse = False
    time.sleep(max(0.0, asked + 3.1 - time.monotonic()))
    assert ask(router, "/draft/x", prompt=True)[1] == 200
