"""Unruly clients at routers and sidecars that share claims."""

import asyncio
import itertools
import time

import pytest

from standins import fleet as fleet_module
from standins import load
from unruly import crowds, footprint

MEMORY_MB = 160
MAX_DESCRIPTORS = 300
RESERVED_DESCRIPTORS = 50

LIMITS = f"""
[limits]
max_body_bytes = 8388608
max_header_bytes = 65536
max_memory_mb = {MEMORY_MB}
max_descriptors = {MAX_DESCRIPTORS}
reserved_descriptors = {RESERVED_DESCRIPTORS}
"""

SERVICES = """
[service ledger]
kind = plain
concurrency = 4
"""

ANSWER_TIME = 60.0
"""Seconds within which a process that doesn't hang answers after a crowd."""

CHUNKED = "Transfer-Encoding: chunked"

KEY = f"Authorization: Bearer {fleet_module.make_key('mill')}"

PATH = "/v1/services/ledger/x"


@pytest.fixture
def fleet(tmp_path):
    made = fleet_module.start_fleet(
        tmp_path,
        fleet_module.build_configuration_text({"mill": 1.0}, SERVICES),
        routers=1,
        upstreams=[
            fleet_module.UpstreamGroup("ledger", 1, "standins.ledger", 4)
        ],
        extra_settings=LIMITS,
    )
    yield made
    fleet_module.kill_fleet(made)


@pytest.fixture(params=["router-0", "ledger-0"])
def node(fleet, request):
    """A router, then a sidecar."""
    return fleet.nodes[request.param]


def wait_for_answer(fleet):
    """Sends ordinary requests one after the other until one is answered."""
    router = fleet.nodes["router-0"].data
    deadline = time.monotonic() + ANSWER_TIME
    for number in itertools.count():
        plan = load.PlannedRequest(
            f"order-{number}", "mill", "ledger", router, send_at=0.0
        )
        (result,) = asyncio.run(load.send_all([plan]))
        if result.correct:
            return
        for node in fleet.nodes.values():
            assert node.process.poll() is None
        assert time.monotonic() < deadline, result
        time.sleep(0.2)


def check_crowd(fleet, node, count, data):
    """Checks a process while a crowd holds its connections, and after it."""
    pid = node.process.pid
    crowd = crowds.Crowd(node.data, count, data)
    with crowds.hold_connections(crowd):
        footprint.wait_until_idle(pid)
        assert node.process.poll() is None
        descriptors = footprint.count_descriptors(pid)
        held = footprint.read_peak_memory(pid)
        held += footprint.read_unread_bytes(node.data)
    wait_for_answer(fleet)
    held = max(held, footprint.read_peak_memory(pid))
    print(f"held at most: {held / 1e6:.0f} MB, descriptors: {descriptors}")
    assert held <= MEMORY_MB * 1e6
    assert descriptors <= MAX_DESCRIPTORS - RESERVED_DESCRIPTORS


def test_unfinished_bodies_are_bounded(fleet, node):
    # Guards against bodies that stop before their end, each within its limit.
    head = crowds.format_head(PATH, KEY, "Content-Length: 8000000")
    check_crowd(fleet, node, 40, head + b"x" * 7_900_000)


def test_small_chunks_do_not_multiply_memory(fleet, node):
    # Guards against a body that takes many times its size, as each of its
    # chunks is an object.
    head = crowds.format_head(PATH, KEY, CHUNKED)
    data = head + crowds.format_chunks(2, 75_000)
    check_crowd(fleet, node, 40, data)


def test_many_small_headers_do_not_multiply_memory(fleet, node):
    # Guards against a head that takes many times its size, as each header is
    # several objects, while its body doesn't come.
    small = [f"{name:02x}:b{name:02x}" for name in range(256)] * 27
    head = crowds.format_head(PATH, KEY, "Content-Length: 9", *small)
    check_crowd(fleet, node, 150, head + b"x")


def test_pages_that_nobody_reads_are_bounded(fleet, node):
    # Guards against a client that sends many short requests at once and reads
    # no answer: each answer is many times the size of its request.
    data = crowds.format_head("/metrics", method="GET") * 3500
    check_crowd(fleet, node, 20, data)


def test_bytes_behind_a_request_in_progress_are_bounded(fleet):
    # Guards against bytes that no limit counts, as they belong to no request.
    order = b'{"id": "slow", "team": "mill", "work_ms": 20000}'
    slow = crowds.format_head(
        PATH,
        KEY,
        "Content-Type: application/json",
        f"Content-Length: {len(order)}",
    )
    behind = crowds.format_head(PATH, KEY, "Content-Length: 8000000")
    data = slow + order + behind + b"x" * 7_900_000
    check_crowd(fleet, fleet.nodes["router-0"], 40, data)


def test_connections_stay_within_the_descriptors(fleet, node):
    # Guards against connections that take more descriptors than the settings
    # grant.
    check_crowd(fleet, node, 600, b"GET ")
