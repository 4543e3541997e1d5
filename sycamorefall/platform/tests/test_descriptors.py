"""A crowd at a router process that may open few descriptors."""

import collections
import concurrent.futures
import http.client
import os
import resource
import socket
import time

from standins import site as site_module
from sycamorefall.platform.tests import router_client

SPARE_DESCRIPTORS = 40
"""Descriptors that the process may open on top of those it holds at rest."""

CROWD = 160
"""Callers that connect at once: four times what the process may open."""

TIMEOUT_MS = 3000
"""Time in which each caller expects its answer."""

BEGIN_DELAY = 0.4
"""Seconds that an engine takes to begin, so that connections pile up."""

MAX_REFUSAL_TIME = 1.0
"""Seconds within which a caller too many is told to go elsewhere: time enough
for another router before its deadline."""

PROMPT = {"Token-Usage": "800,5"}


def count_descriptors(pid):
    return len(os.listdir(f"/proc/{pid}/fd"))


def limit_descriptors(pid, spare=SPARE_DESCRIPTORS):
    """Lowers what a process may open to `spare` above what it holds."""
    highest = max(int(number) for number in os.listdir(f"/proc/{pid}/fd"))
    _, hard = resource.prlimit(pid, resource.RLIMIT_NOFILE)
    limit = max(highest + 1, count_descriptors(pid)) + spare
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (limit, hard))
    return limit


def send_prompt(router, number, path="/draft"):
    """Sends a prompt of its own; returns its status, headers and seconds.

    The status is 0 if the router closed the connection without a response.
    """
    headers = PROMPT | {"Prompt-Prefix": f"a{number:x}:800"}
    started_at = time.monotonic()
    try:
        _, status, answered, _ = router_client.send_request(
            router,
            f"{path}/{number}",
            time_left_ms=TIMEOUT_MS,
            body=b"%d" % number,
            **headers,
        )
    except (OSError, http.client.HTTPException):
        status, answered = 0, {}
    return status, answered, time.monotonic() - started_at


def send_crowd(router, first, count=CROWD):
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        sent = [
            pool.submit(send_prompt, router, first + number)
            for number in range(count)
        ]
        return [one.result() for one in sent]


def add_slow_engines(site):
    for number in range(4):
        engine = site.add_upstream(f"e{number}", "engine", slots=64)
        engine.begin_delay = BEGIN_DELAY


def add_small_router(site, **arguments):
    """Starts a router, makes it serve once, and lowers its limit."""
    router = site.add_router(**arguments)
    assert send_prompt(router, 0)[0] == 200
    limit_descriptors(router.process.pid)
    return router


def test_crowd_at_a_process_with_few_descriptors_is_told_where_to_go(site):
    # Guards against a crowd that uses up a router's descriptors: opening a
    # connection to an engine failed, the rest of the batch of effects was
    # lost, callers got a bare 500 or nothing until their deadline, and their
    # requests stayed counted as running.
    add_slow_engines(site)
    site.add_upstream("l1", "ledger")
    router = add_small_router(site)
    outcomes = send_crowd(router, 1)
    counts = collections.Counter(status for status, _, _ in outcomes)
    assert set(counts) <= {200, 503}, counts
    assert counts[200] > 0, counts
    assert all(
        "retry-after" in headers
        for status, headers, _ in outcomes
        if status == 503
    )
    longest = max(seconds for _, _, seconds in outcomes)
    assert longest < TIMEOUT_MS / 1000 - 0.5, longest
    refused = [seconds for status, _, seconds in outcomes if status == 503]
    assert max(refused) < MAX_REFUSAL_TIME
    site_module.wait_until(
        lambda: router_client.read_metric(router, "open") == 0
    )
    log = (site.folder / "front-a-1.log").read_text()
    assert "process.fault" not in log
    assert router.process.poll() is None
    assert router_client.send_request(router, "/look/x", key="")[1] == 200


def sample_descriptors(pid, until):
    """Samples how many descriptors a process holds; returns the most."""
    most = 0
    while not until():
        most = max(most, count_descriptors(pid))
        time.sleep(0.002)
    return most


def test_limit_in_the_settings_binds_before_the_kernel_does(site):
    # Guards against a platform that grants fewer descriptors than the kernel:
    # a router that only learns of it by failing has lost requests already.
    add_slow_engines(site)
    site.add_upstream("l1", "ledger")
    limit = 80
    router = site.add_router(
        extra_settings=f"[limits]\nmax_descriptors = {limit}\n"
    )
    idle = [
        socket.create_connection(("127.0.0.1", router.data)) for _ in range(30)
    ]
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        crowd = pool.submit(send_crowd, router, 1)
        most = sample_descriptors(router.process.pid, crowd.done)
        outcomes = crowd.result()
    counts = collections.Counter(status for status, _, _ in outcomes)
    assert set(counts) == {200, 503}, counts
    assert most <= limit
    refused = router_client.read_metric(
        router, 'connections_refused_total{reason="limit"}'
    )
    assert refused > 0
    for reason in ("accept", "open", "control"):
        name = f'connections_refused_total{{reason="{reason}"}}'
        assert router_client.read_metric(router, name) == 0
    for sock in idle:
        sock.settimeout(2)
        assert sock.recv(1) == b"", "idle connections went first"
    assert router_client.send_request(router, "/look/x", key="")[1] == 200


def test_crowd_at_a_small_vm_is_served_by_another_router(site):
    # Guards against callers who are refused by a small VM while another router
    # has room: told to return at once, they reach it before their deadline.
    add_slow_engines(site)
    large = site.add_router("front-a-1")
    seeds = f"[peers]\naddresses = 127.0.0.1:{large.control}\n"
    small = add_small_router(site, name="front-a-2", extra_settings=seeds)
    site_module.wait_until(
        lambda: router_client.read_metric(small, "routers") == 2
    )
    outcomes = send_crowd(small, 1, 80)
    refused = [
        float(headers["retry-after"])
        for status, headers, _ in outcomes
        if status == 503
    ]
    assert refused
    assert max(seconds for _, _, seconds in outcomes) < 1.5
    again = send_crowd(large, 1000, len(refused))
    assert {status for status, _, _ in again} <= {200, 503}
    served = [status for status, _, _ in again].count(200)
    assert served >= len(refused) // 2
