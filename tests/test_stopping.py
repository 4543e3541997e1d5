"""Graceful stops and leaving VMs, on real processes under load."""

import asyncio
import http.client
import json
import signal

import pytest

from standins import fleet as fleet_module
from standins import load
from standins import runs as runs_module
from tests import test_whole_path as whole_path

LEAVING_LIMIT = 3.0
"""Seconds after which a leaving upstream must get no new requests."""

SLOW_START = 2.5
"""Allowance in seconds for a slow start, added to the duration of the load.

On a busy machine the first order waited up to 2.2 s for its sidecar's first
claim.
"""


def list_runs(fleet, service=""):
    return [
        run
        for node in fleet.nodes.values()
        if node.role == "upstream" and node.service.startswith(service)
        for run in fleet_module.call(node.upstream, "/test/runs")
    ]


def signal_after(fleet, name, count, number=signal.SIGTERM):
    """Creates a callback that signals a node after `count` results."""
    results = []

    def record_result(result):
        results.append(result)
        if len(results) == count:
            fleet.nodes[name].process.send_signal(number)

    return record_result


def plan_burst(routers, count):
    """Plans requests that arrive all at once and take several seconds."""
    plans = whole_path.plan_mixed_load(routers, count)
    for plan in plans:
        plan.send_at = 0.0
        plan.work_ms *= 5
        plan.tokens *= 4
    return plans


@pytest.mark.parametrize("name", ["router-0", "ledger-1"])
def test_stop_under_load_interrupts_no_request(isolated_fleet, name):
    # Guards against requests that are lost when a VM is replaced under load.
    # Requests that wait or run there get their complete responses. Later ones
    # get "stopping", which says that they did not run, and a Retry-After.
    plans = plan_burst(whole_path.list_router_ports(isolated_fleet), 120)
    callback = signal_after(isolated_fleet, name, 5)
    results = asyncio.run(load.send_all(plans, on_result=callback))
    rejected = [result for result in results if not result.correct]
    assert {result.kind for result in rejected} <= {"stopping"}
    assert all(
        result.ran == "no" and result.retry_after >= 1 for result in rejected
    )
    ran = sorted(run["request"] for run in list_runs(isolated_fleet))
    assert ran == sorted(r.plan.request_id for r in results if r.correct)
    process = isolated_fleet.nodes[name].process
    assert process.wait(fleet_module.STOP_TIMEOUT) == 0
    log = (isolated_fleet.folder / f"{name}.log").read_text()
    assert "Traceback" not in log


@pytest.mark.parametrize("name", ["router-0", "ledger-1"])
def test_check_of_settings_under_load_interrupts_no_request(
    isolated_fleet, name
):
    # A process without a handler for SIGHUP ended, and with it all requests
    # that it held.
    plans = whole_path.plan_mixed_load(
        whole_path.list_router_ports(isolated_fleet), 60
    )
    callback = signal_after(isolated_fleet, name, 5, signal.SIGHUP)
    results = asyncio.run(load.send_all(plans, on_result=callback))
    assert all(result.correct for result in results)
    assert isolated_fleet.nodes[name].process.poll() is None
    log = (isolated_fleet.folder / f"{name}.log").read_text()
    assert "settings.checked" in log
    assert "Traceback" not in log


def send_order(connection, request_id, work_ms):
    body = {"id": request_id, "team": "mill-a", "work_ms": work_ms}
    headers = {
        "Authorization": f"Bearer {fleet_module.make_key('mill-a')}",
        "Content-Type": "application/json",
    }
    path = "/v1/services/ledger/orders"
    connection.request("POST", path, json.dumps(body), headers)


def test_stopping_router_responds_to_earlier_and_later_requests(isolated_fleet):
    # A router gets SIGTERM while it serves a long request. It closes idle
    # connections, responds to a later request with "stopping" and a
    # Retry-After, and completes the long request.
    router = isolated_fleet.nodes["router-0"]
    idle, busy, late = (
        http.client.HTTPConnection("127.0.0.1", router.data, timeout=10)
        for _ in range(3)
    )
    idle.request("GET", "/live")
    assert idle.getresponse().read() == b"{}"
    send_order(busy, "long", 2000)
    fleet_module.wait_until(
        lambda: list_runs(isolated_fleet, "ledger"), "the run"
    )
    router.process.send_signal(signal.SIGTERM)
    assert idle.sock.recv(1) == b""
    send_order(late, "late", 1)
    rejected = late.getresponse()
    assert json.load(rejected)["error"]["kind"] == "stopping"
    assert int(rejected.headers["Retry-After"]) >= 1
    assert rejected.headers["Connection"].lower() == "close"
    response = busy.getresponse()
    assert json.load(response) == {"id": "long", "state": "confirmed"}
    assert router.process.wait(fleet_module.STOP_TIMEOUT) == 0


def set_control_link(fleet, name, passes):
    """Sets whether the relay forwards a node's incoming control links."""
    body = {
        "port": fleet.nodes[name].relayed_control,
        "forward": passes,
        "backward": passes,
    }
    fleet_module.call(fleet.relay, "/test/gate", body)


def plan_orders(routers, seconds):
    """Plans an order every 20 ms, alternately over two routers."""
    return [
        load.PlannedRequest(
            f"order-{index}",
            ["mill-a", "mill-b", "large"][index % 3],
            "ledger",
            routers[index % 2],
            send_at=index * 0.02,
            work_ms=20.0,
            idempotent=False,
        )
        for index in range(int(seconds / 0.02))
    ]


def test_leaving_upstream_gets_no_new_requests_after_three_seconds(
    isolated_fleet,
):
    # An operator marks an upstream as leaving and removes the VM a few seconds
    # later. One router gets no control messages and polls the platform so
    # rarely that it may still have the old VM list. The sidecar knows the new
    # list and must not claim requests that such a router announces.
    set_control_link(isolated_fleet, "router-0", passes=False)
    marked_at = []

    def mark_leaving(_):
        upstream = isolated_fleet.nodes["ledger-0"].upstream
        if not marked_at and fleet_module.call(upstream, "/test/runs"):
            isolated_fleet.nodes["ledger-0"].state = "leaving"
            fleet_module.publish_vms(isolated_fleet)
            marked_at.append(runs_module.read_clock())

    routers = whole_path.list_router_ports(isolated_fleet)
    plans = plan_orders(routers, LEAVING_LIMIT + SLOW_START + 1.5)
    results = asyncio.run(load.send_all(plans, on_result=mark_leaving))
    leaving, other = (
        fleet_module.call(isolated_fleet.nodes[name].upstream, "/test/runs")
        for name in ("ledger-0", "ledger-1")
    )
    limit = marked_at[0] + LEAVING_LIMIT
    assert max(run["arrived"] for run in leaving) < limit
    assert max(run["arrived"] for run in other) > limit
    connected = [
        result for result in results if result.plan.router_port != routers[0]
    ]
    failed = [result for result in connected if not result.correct]
    assert [(r.plan.request_id, r.kind, r.ran) for r in failed] == []
    assert not [result for result in results if result.ran == "unknown"]
