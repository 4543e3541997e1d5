"""Attempts during failures of processes and links, on real processes.

The tests guard against three faults: an order is booked twice, an order is
booked although its caller is told that it did not run, or the caller gets no
response before the deadline. They kill and freeze processes and hold back the
bytes of links, and compare each result with the runs that the fake upstreams
recorded.
"""

import asyncio
import signal
import time

import pytest

from standins import fleet as fleet_module
from standins import load
from sycamorefall import dispatch
from tests import conftest

SLOW_MS = 1500.0
UNKNOWN = ("outcome_unknown", "unknown")


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    """A fleet whose control links can be held; each test restores it."""
    folder = tmp_path_factory.mktemp("outcomes")
    running = conftest.start_small_fleet(folder)
    yield running
    fleet_module.kill_fleet(running)


@pytest.fixture(scope="module")
def relayed_fleet(tmp_path_factory):
    """A fleet of one router and one ledger, between which bytes can be held."""
    folder = tmp_path_factory.mktemp("cut")
    text = fleet_module.build_configuration_text(
        conftest.TEAMS, conftest.SERVICES
    )
    ledger = fleet_module.UpstreamGroup("ledger", 1, "standins.ledger", 4)
    running = fleet_module.start_fleet(
        folder, text, 1, [ledger], relays_data=True
    )
    yield running
    fleet_module.kill_fleet(running)


def plan_order(fleet, name, work_ms=SLOW_MS, router="router-0", **options):
    port = fleet.nodes[router].data
    plan = load.PlannedRequest(
        name, "mill-a", "ledger", port, 0.0, idempotent=False
    )
    plan.work_ms = work_ms
    return set_attributes(plan, options)


def plan_draft(fleet, name, tokens=200, **options):
    port = fleet.nodes["router-0"].data
    plan = load.PlannedRequest(
        name, "mill-a", "assistant", port, 0.0, tokens=tokens
    )
    return set_attributes(plan, options)


def set_attributes(plan, options):
    for name, value in options.items():
        setattr(plan, name, value)
    return plan


def list_runs(fleet, request_id):
    """Lists the started runs of a request at all upstreams, with the node."""
    return [
        (node, run)
        for node in fleet.nodes.values()
        if node.role == "upstream"
        for run in fleet_module.call(node.upstream, "/test/runs")
        if run["request"] == request_id and run["started"]
    ]


def wait_for_run(fleet, request_id):
    runs = fleet_module.wait_until(
        lambda: list_runs(fleet, request_id), request_id
    )
    return runs[0][0]


def send_during(plan, inject_fault):
    """Sends a request, injects a fault meanwhile, and returns the result."""

    async def send():
        sending = asyncio.ensure_future(load.send_all([plan]))
        try:
            await asyncio.to_thread(inject_fault)
        except TimeoutError as error:
            raise AssertionError(f"{await sending}") from error
        return (await sending)[0]

    return asyncio.run(send())


def kill(node):
    node.process.kill()
    node.process.wait()


def restart(fleet, node):
    fleet_module.start_node(fleet, node)
    fleet_module.wait_until_ready(fleet)


def test_sidecar_killed_during_a_booking(fleet):
    """The order is booked once, and the caller gets `outcome_unknown`."""
    plan = plan_order(fleet, "killed")
    killed = []

    def inject_fault():
        killed.append(wait_for_run(fleet, plan.request_id))
        kill(killed[0])

    result = send_during(plan, inject_fault)
    assert (result.kind, result.ran) == UNKNOWN
    assert len(list_runs(fleet, plan.request_id)) == 1
    restart(fleet, killed[0])


def test_sidecar_killed_before_an_attempt_and_during_a_draft(fleet):
    """The other upstream of the service completes the requests."""
    draft = plan_draft(fleet, "draft-killed")
    killed = []

    def inject_fault():
        killed.append(wait_for_run(fleet, draft.request_id))
        kill(killed[0])

    result = send_during(draft, inject_fault)
    assert result.correct, result
    assert len(list_runs(fleet, draft.request_id)) == 2
    kill(fleet.nodes["ledger-0"])
    orders = [plan_order(fleet, f"before-{i}", 5.0) for i in range(4)]
    results = asyncio.run(load.send_all(orders))
    assert all(result.correct for result in results)
    runs = [len(list_runs(fleet, order.request_id)) for order in orders]
    assert runs == [1, 1, 1, 1]
    fleet_module.start_node(fleet, fleet.nodes["ledger-0"])
    restart(fleet, killed[0])


@pytest.mark.parametrize("frozen", ["router-0", "sidecar"])
def test_process_frozen_beyond_its_lease_and_resumed(fleet, frozen):
    """The order that runs meanwhile is confirmed, and booked once."""
    plan = plan_order(fleet, f"frozen-{frozen}", work_ms=500.0)

    def inject_fault():
        node = wait_for_run(fleet, plan.request_id)
        node = fleet.nodes.get(frozen, node)
        node.process.send_signal(signal.SIGSTOP)
        expiry = time.monotonic() + 1.5 * dispatch.CLAIM_LEASE
        fleet_module.wait_until(lambda: time.monotonic() > expiry, "the lease")
        node.process.send_signal(signal.SIGCONT)

    result = send_during(plan, inject_fault)
    assert result.correct
    assert len(list_runs(fleet, plan.request_id)) == 1


@pytest.mark.parametrize("direction", ["forward", "backward"])
def test_data_link_holds_bytes_back(relayed_fleet, direction):
    """The router detects a link that holds bytes but isn't closed.

    Without outcome queries the caller would wait for 30 s. An order that is
    held on the way to the sidecar is sent in a second attempt, and the late
    first copy is rejected. If the response is held, the order has run and its
    outcome is unknown.
    """
    fleet, port = relayed_fleet, relayed_fleet.nodes["ledger-0"].relayed_data
    plan = plan_order(fleet, f"held-{direction}", work_ms=50.0)
    before = fleet_module.call(fleet.relay, "/test/held")[str(port)]
    fleet_module.set_gates(fleet, port, **{direction: False})

    def has_second_attempt():
        held = fleet_module.call(fleet.relay, "/test/held")[str(port)]
        return held >= before + 2

    def inject_fault():
        if direction == "forward":
            fleet_module.wait_until(has_second_attempt, "a second attempt")
            fleet_module.set_gates(fleet, port)

    result = send_during(plan, inject_fault)
    fleet_module.set_gates(fleet, port)
    if direction == "backward":
        assert (result.kind, result.ran) == UNKNOWN
    else:
        assert result.correct
    after = asyncio.run(load.send_all([plan_order(fleet, "after", 5.0)]))[0]
    assert after.correct
    assert len(list_runs(fleet, plan.request_id)) == 1


def test_control_link_cut_during_a_booking(fleet):
    """The order is confirmed over the data connection alone."""
    plan = plan_order(fleet, "uncontrolled", work_ms=3000.0)
    cut_ports = []

    def inject_fault():
        node = wait_for_run(fleet, plan.request_id)
        cut_ports.append(node.relayed_control)
        fleet_module.set_gates(
            fleet, cut_ports[0], forward=False, backward=False
        )

    assert send_during(plan, inject_fault).correct
    assert len(list_runs(fleet, plan.request_id)) == 1
    fleet_module.set_gates(fleet, cut_ports[0])


def test_router_killed_during_an_order_and_a_draft(fleet):
    """The order still completes; the draft is cancelled and its slot freed."""
    draft = plan_draft(fleet, "draft-gone", tokens=5000, streamed=True)
    order = plan_order(fleet, "router-gone", work_ms=500.0)

    def inject_fault():
        wait_for_run(fleet, draft.request_id)
        wait_for_run(fleet, order.request_id)
        kill(fleet.nodes["router-0"])

    async def send():
        sending = asyncio.ensure_future(load.send_all([draft, order]))
        await asyncio.to_thread(inject_fault)
        return await sending

    results = asyncio.run(send())
    assert not any(result.correct for result in results)

    def has_ended(request_id):
        runs = list_runs(fleet, request_id)
        return len(runs) == 1 and runs[0][1]["finished"] and runs[0]

    node, run = fleet_module.wait_until(lambda: has_ended("draft-gone"), "end")
    assert not run["whole"]
    assert fleet_module.call(node.upstream, "/v1/load")["queued"] == 0
    run = fleet_module.wait_until(lambda: has_ended("router-gone"), "end")[1]
    assert run["whole"]
    restart(fleet, fleet.nodes["router-0"])


@pytest.mark.parametrize("streamed", [True, False])
def test_engine_crashes_in_the_middle_of_a_response(fleet, streamed):
    """No caller takes an incomplete response for a complete one.

    A streamed response has been forwarded in part: it ends with an error
    event, and the connection is closed. A buffered request is run again at
    another engine.
    """
    plan = plan_draft(fleet, f"dies-{streamed}", 9, streamed=streamed)
    plan.dies_after = 4
    result = asyncio.run(load.send_all([plan]))[0]
    completed = [run["whole"] for _, run in list_runs(fleet, plan.request_id)]
    if streamed:
        assert (result.kind, result.ran) == ("answer_incomplete", "yes")
        assert completed == [False]
    else:
        # Each engine aborts its first run of the request.
        assert result.correct
        assert len(completed) > 1 and sum(completed) == 1
