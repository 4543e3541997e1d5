"""Shutdown notices and retry delays in responses of upstreams."""

import time

from standins import site as site_module
from sycamorefall.platform.tests.router_client import send_request

DRAIN_TIME = 2.0
"""Seconds after a shutdown notice within which new requests must stop."""


def test_upstream_that_announces_its_shutdown_gets_no_new_requests(site):
    # Guards against new requests to an upstream that announced its shutdown in
    # a response while the platform still lists it as ready.
    leaving = site.add_upstream("e1", "engine")
    leaving.leaving = True
    router = site.add_router()
    assert send_request(router, "/draft/x", prompt=True)[1] == 200
    site.add_upstream("e2", "engine")
    log = site.folder / "front-a-1.log"
    site_module.wait_until(lambda: '"new":["e2"]' in log.read_text())
    time.sleep(DRAIN_TIME)
    before = len(leaving.runs)
    for _ in range(20):
        assert send_request(router, "/draft/x", prompt=True)[1] == 200
    assert len(leaving.runs) == before


def test_upstream_gets_no_requests_during_its_retry_delay(site):
    # Guards against requests sent to an upstream before its Retry-After delay
    # has elapsed, and against callers that wait for it until their deadline.
    refusing = site.add_upstream("e1", "engine")
    refusing.refuse, refusing.retry_after = True, "3"
    router = site.add_router()
    assert send_request(router, "/draft/x", prompt=True)[1] == 503
    refused_at = time.monotonic()
    time.sleep(0.5)
    before = len(refusing.refused)
    for _ in range(10):
        started = time.monotonic()
        _, status, headers, _ = send_request(router, "/draft/x", prompt=True)
        remaining = refused_at + 3 - started
        assert status == 503
        assert remaining - 0.5 < float(headers["retry-after"]) < remaining + 1.0
        assert time.monotonic() - started < 0.2
    assert len(refusing.refused) - before <= 2
    refusing.refuse = False
    time.sleep(max(0.0, refused_at + 3.1 - time.monotonic()))
    assert send_request(router, "/draft/x", prompt=True)[1] == 200
