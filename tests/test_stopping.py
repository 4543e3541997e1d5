"""Planned stops and leaving VMs, on real processes with load running."""

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
"""Seconds after which a leaving upstream gets nothing new."""

SLOW_START = 2.5
"""Seconds that the first order may wait for its sidecar's first claim on a
busy machine (2.2 were seen); the flow goes on as much longer."""


def list_runs(fleet, service=""):
    return [
        run
        for node in fleet.nodes.values()
        if node.role == "upstream" and node.service.startswith(service)
        for run in fleet_module.call(node.upstream, "/test/runs")
    ]


def stop_after(fleet, name, count):
    """Makes a function that sends SIGTERM after a number of answers."""
    seen = []

    def note(answer):
        seen.append(answer)
        if len(seen) == count:
            fleet.nodes[name].process.send_signal(signal.SIGTERM)

    return note


def plan_burst(routers, count):
    """Work for several seconds that all arrives at once, on both routers."""
    plans = whole_path.plan_mixed(routers, count)
    for plan in plans:
        plan.at = 0.0
        plan.work_ms *= 5
        plan.tokens *= 4
    return plans


@pytest.mark.parametrize("name", ["router-0", "ledger-1"])
def test_stop_under_load_cuts_off_nothing(own_fleet, name):
    # An operator replaces a VM at the busiest hour. Whoever has a request
    # waiting or in progress there gets the whole answer; whoever comes later
    # is told that the request did not run and when to come back.
    plans = plan_burst(whole_path.list_routers(own_fleet), 120)
    note = stop_after(own_fleet, name, 5)
    answers = asyncio.run(load.send_all(plans, on_answer=note))
    wrong = [answer for answer in answers if not answer.right]
    assert {answer.kind for answer in wrong} <= {"stopping"}
    assert all(
        answer.ran == "no" and answer.retry_after >= 1 for answer in wrong
    )
    ran = sorted(run["request"] for run in list_runs(own_fleet))
    assert ran == sorted(a.plan.request for a in answers if a.right)
    process = own_fleet.nodes[name].process
    assert process.wait(fleet_module.STOP_TIMEOUT) == 0
    log = (own_fleet.folder / f"{name}.log").read_text()
    assert "Traceback" not in log


def post_order(connection, request, work_ms):
    body = {"id": request, "team": "mill-a", "work_ms": work_ms}
    headers = {
        "Authorization": f"Bearer {fleet_module.make_key('mill-a')}",
        "Content-Type": "application/json",
    }
    path = "/v1/services/ledger/orders"
    connection.request("POST", path, json.dumps(body), headers)


def test_stopping_router_answers_old_and_new_callers(own_fleet):
    # A router is told to stop while it serves a long request. Its idle
    # connections are closed, a caller that comes anew hears "stopping" and
    # when to come back, and the long request is answered.
    router = own_fleet.nodes["router-0"]
    idle, busy, late = (
        http.client.HTTPConnection("127.0.0.1", router.data, timeout=10)
        for _ in range(3)
    )
    idle.request("GET", "/live")
    assert idle.getresponse().read() == b"{}"
    post_order(busy, "long", 2000)
    fleet_module.wait_until(lambda: list_runs(own_fleet, "ledger"), "the run")
    router.process.send_signal(signal.SIGTERM)
    assert idle.sock.recv(1) == b""
    post_order(late, "late", 1)
    refused = late.getresponse()
    assert json.load(refused)["error"]["kind"] == "stopping"
    assert int(refused.headers["Retry-After"]) >= 1
    assert refused.headers["Connection"].lower() == "close"
    answer = busy.getresponse()
    assert json.load(answer) == {"id": "long", "state": "confirmed"}
    assert router.process.wait(fleet_module.STOP_TIMEOUT) == 0


def cut(fleet, name, passes):
    """Cuts or joins the control messages towards a process."""
    body = {
        "port": fleet.nodes[name].relayed_control,
        "forward": passes,
        "backward": passes,
    }
    fleet_module.call(fleet.relay, "/test/gate", body)


def plan_orders(routers, seconds):
    """A steady flow of short orders."""
    return [
        load.PlannedRequest(
            f"order-{index}",
            ["mill-a", "mill-b", "large"][index % 3],
            "ledger",
            routers[index % 2],
            at=index * 0.02,
            work_ms=20.0,
            idempotent=False,
        )
        for index in range(int(seconds / 0.02))
    ]


def test_leaving_upstream_gets_nothing_new_after_three_seconds(own_fleet):
    # An operator marks an upstream as leaving and takes the VM away a few
    # seconds later. One router is cut off: no message reaches it, and the
    # platform hardly ever polled may show it the old list. Whatever it
    # believes, the sidecar knows and claims nothing more.
    cut(own_fleet, "router-0", passes=False)
    marked = []

    def mark(_):
        upstream = own_fleet.nodes["ledger-0"].upstream
        if not marked and fleet_module.call(upstream, "/test/runs"):
            own_fleet.nodes["ledger-0"].state = "leaving"
            fleet_module.publish_vms(own_fleet)
            marked.append(runs_module.read_clock())

    routers = whole_path.list_routers(own_fleet)
    plans = plan_orders(routers, LEAVING_LIMIT + SLOW_START + 1.5)
    answers = asyncio.run(load.send_all(plans, on_answer=mark))
    leaving, other = (
        fleet_module.call(own_fleet.nodes[name].upstream, "/test/runs")
        for name in ("ledger-0", "ledger-1")
    )
    until = marked[0] + LEAVING_LIMIT
    assert max(run["arrived"] for run in leaving) < until
    assert max(run["arrived"] for run in other) > until
    served = [answer for answer in answers if answer.plan.router != routers[0]]
    wrong = [answer for answer in served if not answer.right]
    assert [(a.plan.request, a.kind, a.ran) for a in wrong] == []
    assert not [answer for answer in answers if answer.ran == "unknown"]
