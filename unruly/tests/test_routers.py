"""Unruly clients at a router that sends directly to upstreams."""

import contextlib
import dataclasses
import http.client
import resource
import time

import pytest

from standins import site as site_module
from sycamorefall.platform.tests import router_client
from unruly import crowds, footprint

MEMORY_MB = 160
MAX_DESCRIPTORS = 500
RESERVED_DESCRIPTORS = 100

LIMITS = f"""
[limits]
max_body_bytes = 8388608
max_header_bytes = 65536
max_memory_mb = {MEMORY_MB}
max_descriptors = {MAX_DESCRIPTORS}
reserved_descriptors = {RESERVED_DESCRIPTORS}
"""

ANSWER_TIME = 60.0
"""Seconds within which a process that doesn't hang answers after a crowd."""

CHUNKED = "Transfer-Encoding: chunked"

CREDENTIAL = "Credential: k-mill"

DEADLINE = "Request-Deadline-Ms: 30000"


@pytest.fixture
def site(tmp_path):
    with site_module.Site(tmp_path) as made:
        router_client.store_configuration(
            made,
            3,
            routes=[
                site_module.build_route(
                    "order", "unsafe", "ledger", TimeoutMs=30000, MaxAttempts=1
                )
            ],
        )
        made.add_upstream("l1", "ledger", slots=64)
        yield made


@pytest.fixture
def many_descriptors():
    """Lets this process open as many connections as a crowd needs."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    yield
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


@pytest.fixture
def router(site):
    return site.add_router(extra_settings=LIMITS)


def send_order(router):
    """Sends an ordinary request; returns its status, 0 without an answer."""
    try:
        return router_client.send_request(router, "/order/x", body=b"y" * 600)[
            1
        ]
    except (OSError, http.client.HTTPException):
        return 0


def wait_for_answer(router):
    """Sends ordinary requests one after the other until one is answered."""
    deadline = time.monotonic() + ANSWER_TIME
    while (status := send_order(router)) != 200:
        assert router.process.poll() is None
        assert time.monotonic() < deadline, status
        time.sleep(0.2)


@contextlib.contextmanager
def hold_crowds(router, *made):
    """Checks a router while crowds hold their connections, and after them."""
    pid = router.process.pid
    with crowds.hold_connections(*made):
        footprint.wait_until_idle(pid)
        assert router.process.poll() is None
        descriptors = footprint.count_descriptors(pid)
        held = footprint.read_peak_memory(pid) + sum(
            footprint.read_unread_bytes(port)
            for port in (router.data, router.operators)
        )
        yield
    wait_for_answer(router)
    held = max(held, footprint.read_peak_memory(pid))
    print(f"held at most: {held / 1e6:.0f} MB, descriptors: {descriptors}")
    assert held <= MEMORY_MB * 1e6
    assert descriptors <= MAX_DESCRIPTORS - RESERVED_DESCRIPTORS


def check_crowds(router, *made):
    with hold_crowds(router, *made):
        pass


def make_orders(router, count, data, *headers):
    """Makes a crowd whose clients send requests that the router accepts.

    Args:
        router: The router.
        count: Number of clients.
        data: What each sends after the head of its request.
        headers: Further headers of the request.
    """
    return crowds.Crowd(
        router.data,
        count,
        data,
        lambda number: crowds.format_head(
            "/order/x",
            f"Attempt-Id: {(count << 32) + number:016x}",
            CREDENTIAL,
            DEADLINE,
            *headers,
        ),
    )


def test_announced_bodies_beyond_the_limit_are_not_held(router):
    # Guards against a body that is kept although it will be refused.
    length = f"Content-Length: {1 << 30}"
    check_crowds(router, make_orders(router, 40, b"x" * (20 << 20), length))


@pytest.mark.parametrize("size", [20 << 20, 4_000_000])
def test_large_chunks_are_bounded(router, size):
    # Guards against chunked bodies without end, or that stop before their end.
    chunks = crowds.format_chunks(64000, size // 64000)
    check_crowds(router, make_orders(router, 40, chunks, CHUNKED))


def test_small_chunks_do_not_multiply_memory(router):
    # Guards against a body that takes many times its size, as each of its
    # chunks is an object.
    chunks = crowds.format_chunks(2, 75_000)
    check_crowds(router, make_orders(router, 40, chunks, CHUNKED))


def test_small_chunks_at_the_operators_port_do_not_multiply_memory(router):
    # The same on a port whose requests have no bodies.
    data = crowds.format_head("/metrics", CHUNKED)
    data += crowds.format_chunks(2, 375_000)
    check_crowds(router, crowds.Crowd(router.operators, 8, data))


def test_bytes_behind_a_request_in_progress_are_bounded(site, router):
    # Guards against bytes that no limit counts, as they belong to no request.
    wait_for_answer(router)
    site.upstreams["l1"].begin_delay = 20.0
    behind = crowds.format_head("/order/x", "Content-Length: 7800000")
    data = b"ab" + behind + b"x" * 7_700_000
    crowd = make_orders(router, 40, data, "Content-Length: 2")
    with hold_crowds(router, crowd):
        site.upstreams["l1"].begin_delay = 0.0


def test_many_small_headers_do_not_multiply_memory(router):
    # Guards against a head that takes many times its size, as each header is
    # several objects, while its body doesn't come.
    small = [f"{name:02x}:b{name:02x}" for name in range(256)] * 27
    crowd = make_orders(router, 150, b"x", "Content-Length: 9", *small)
    check_crowds(router, crowd)


def test_pages_that_nobody_reads_are_bounded(router):
    # Guards against a client that sends many short requests at once and reads
    # no answer: each answer is many times the size of its request.
    data = crowds.format_head("/metrics", method="GET") * 4000
    check_crowds(router, crowds.Crowd(router.operators, 8, data))


def test_crowds_of_two_kinds_at_once_are_bounded(router):
    # Guards against bounds that hold for each kind of input, not for their sum.
    small = crowds.format_chunks(3, 40_000)
    length = "Content-Length: 8000000"
    pages = crowds.format_head("/metrics", method="GET") * 2500
    check_crowds(
        router,
        make_orders(router, 40, small, CHUNKED),
        make_orders(router, 20, b"x" * 7_900_000, length),
        crowds.Crowd(router.operators, 6, pages),
    )


def test_connections_that_are_not_accepted_are_bounded(
    many_descriptors, router
):
    # Guards against a full process for which the kernel holds what clients
    # send on connections that wait to be accepted.
    length = "Content-Length: 1000000"
    crowd = make_orders(router, 1500, b"x" * 900_000, length)
    at_once = dataclasses.replace(crowd, start_pause=0.0)
    check_crowds(router, at_once)
