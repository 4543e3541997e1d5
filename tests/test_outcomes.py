"""Attempts under real failures; the upstreams' own run counts are the judge.

What a caller sees goes wrong in three ways: an order is booked twice, one
that was called "not run" is booked, or nobody answers before the deadline.
The causes are killed and frozen processes and links that hold bytes back.
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
    """A fleet whose links can be cut; each test leaves it whole."""
    folder = tmp_path_factory.mktemp("outcomes")
    running = conftest.start_small_fleet(folder)
    yield running
    fleet_module.kill_fleet(running)


@pytest.fixture(scope="module")
def cut_fleet(tmp_path_factory):
    """A fleet of one router and one ledger, whose hand-outs can be held."""
    folder = tmp_path_factory.mktemp("cut")
    text = fleet_module.write_text(conftest.TEAMS, conftest.SERVICES)
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
    return set_options(plan, options)


def plan_draft(fleet, name, tokens=200, **options):
    port = fleet.nodes["router-0"].data
    plan = load.PlannedRequest(
        name, "mill-a", "assistant", port, 0.0, tokens=tokens
    )
    return set_options(plan, options)


def set_options(plan, options):
    for name, value in options.items():
        setattr(plan, name, value)
    return plan


def list_runs(fleet, request):
    """Runs of a request at all upstreams, with the node each is at."""
    return [
        (node, run)
        for node in fleet.nodes.values()
        if node.role == "upstream"
        for run in fleet_module.call(node.upstream, "/test/runs")
        if run["request"] == request and run["started"]
    ]


def wait_for_run(fleet, request):
    found = fleet_module.wait_until(lambda: list_runs(fleet, request), request)
    return found[0][0]


def send_during(plan, fault):
    """Sends a request and lets a fault happen while it is on its way."""

    async def send():
        sending = asyncio.ensure_future(load.send_all([plan]))
        try:
            await asyncio.to_thread(fault)
        except TimeoutError as late:
            raise AssertionError(f"{await sending}") from late
        return (await sending)[0]

    return asyncio.run(send())


def kill(node):
    node.process.kill()
    node.process.wait()


def restart(fleet, node):
    fleet_module.start_node(fleet, node)
    fleet_module.wait_until_ready(fleet)


def test_sidecar_killed_during_a_booking(fleet):
    """The order is booked once, and its caller is told the truth."""
    plan = plan_order(fleet, "killed")
    killed = []

    def fault():
        killed.append(wait_for_run(fleet, plan.request))
        kill(killed[0])

    answer = send_during(plan, fault)
    assert (answer.kind, answer.ran) == UNKNOWN
    assert len(list_runs(fleet, plan.request)) == 1
    restart(fleet, killed[0])


def test_sidecar_killed_before_the_hand_out_and_during_a_draft(fleet):
    """Both requests are answered by the other upstream of their service."""
    draft = plan_draft(fleet, "draft-killed")
    killed = []

    def fault():
        killed.append(wait_for_run(fleet, draft.request))
        kill(killed[0])

    answer = send_during(draft, fault)
    assert answer.right, answer
    assert len(list_runs(fleet, draft.request)) == 2
    kill(fleet.nodes["ledger-0"])
    orders = [plan_order(fleet, f"before-{i}", 5.0) for i in range(4)]
    answers = asyncio.run(load.send_all(orders))
    assert all(answer.right for answer in answers)
    runs = [len(list_runs(fleet, order.request)) for order in orders]
    assert runs == [1, 1, 1, 1]
    fleet_module.start_node(fleet, fleet.nodes["ledger-0"])
    restart(fleet, killed[0])


@pytest.mark.parametrize("frozen", ["router-0", "sidecar"])
def test_process_frozen_past_its_lease_and_thawed(fleet, frozen):
    """A booking outlives the freeze: confirmed, and booked once."""
    plan = plan_order(fleet, f"frozen-{frozen}", work_ms=500.0)

    def fault():
        node = wait_for_run(fleet, plan.request)
        node = fleet.nodes.get(frozen, node)
        node.process.send_signal(signal.SIGSTOP)
        until = time.monotonic() + 1.5 * dispatch.CLAIM_LEASE
        fleet_module.wait_until(lambda: time.monotonic() > until, "the lease")
        node.process.send_signal(signal.SIGCONT)

    answer = send_during(plan, fault)
    assert answer.right
    assert len(list_runs(fleet, plan.request)) == 1


@pytest.mark.parametrize("direction", ["forward", "backward"])
def test_data_link_holds_bytes_back(cut_fleet, direction):
    """Nothing is closed: without questions the caller waits for 30 s.

    Held back on the way there, the order never came and is handed out anew;
    its late copy is refused. On the way back, it ran and its answer is lost.
    """
    fleet, port = cut_fleet, cut_fleet.nodes["ledger-0"].relayed_data
    plan = plan_order(fleet, f"held-{direction}", work_ms=50.0)
    before = fleet_module.call(fleet.relay, "/test/held")[str(port)]
    fleet_module.set_gates(fleet, port, **{direction: False})

    def has_new_copy():
        held = fleet_module.call(fleet.relay, "/test/held")[str(port)]
        return held >= before + 2

    def fault():
        if direction == "forward":
            fleet_module.wait_until(has_new_copy, "a second hand-out")
            fleet_module.set_gates(fleet, port)

    answer = send_during(plan, fault)
    fleet_module.set_gates(fleet, port)
    if direction == "backward":
        assert (answer.kind, answer.ran) == UNKNOWN
    else:
        assert answer.right
    after = asyncio.run(load.send_all([plan_order(fleet, "after", 5.0)]))[0]
    assert after.right
    assert len(list_runs(fleet, plan.request)) == 1


def test_control_link_cut_during_a_booking(fleet):
    """Only the answer's own connection works: the order is confirmed."""
    plan = plan_order(fleet, "uncontrolled", work_ms=3000.0)
    cut = []

    def fault():
        node = wait_for_run(fleet, plan.request)
        cut.append(node.relayed_control)
        fleet_module.set_gates(fleet, cut[0], forward=False, backward=False)

    assert send_during(plan, fault).right
    assert len(list_runs(fleet, plan.request)) == 1
    fleet_module.set_gates(fleet, cut[0])


def test_router_killed_or_caller_gone(fleet):
    """A booking goes on to its end; a draft is cancelled, its slot freed."""
    draft = plan_draft(fleet, "draft-gone", tokens=5000, streamed=True)
    order = plan_order(fleet, "router-gone", work_ms=500.0)

    def fault():
        wait_for_run(fleet, draft.request)
        wait_for_run(fleet, order.request)
        kill(fleet.nodes["router-0"])

    async def send():
        sending = asyncio.ensure_future(load.send_all([draft, order]))
        await asyncio.to_thread(fault)
        return await sending

    answers = asyncio.run(send())
    assert not any(answer.right for answer in answers)

    def is_over(request):
        runs = list_runs(fleet, request)
        return len(runs) == 1 and runs[0][1]["finished"] and runs[0]

    node, run = fleet_module.wait_until(lambda: is_over("draft-gone"), "end")
    assert not run["whole"]
    assert fleet_module.call(node.upstream, "/v1/load")["queued"] == 0
    run = fleet_module.wait_until(lambda: is_over("router-gone"), "end")[1]
    assert run["whole"]
    restart(fleet, fleet.nodes["router-0"])


@pytest.mark.parametrize("streamed", [True, False])
def test_engine_dies_in_the_middle_of_an_answer(fleet, streamed):
    """No caller takes a part for the whole.

    Part of a streamed answer is with its caller: an error event ends it, and
    the connection breaks off. A buffered one is run again elsewhere.
    """
    plan = plan_draft(fleet, f"dies-{streamed}", 9, streamed=streamed)
    plan.dies_after = 4
    answer = asyncio.run(load.send_all([plan]))[0]
    whole = [run["whole"] for _, run in list_runs(fleet, plan.request)]
    if streamed:
        assert (answer.kind, answer.ran) == ("answer_incomplete", "yes")
        assert whole == [False]
    else:
        # Each engine breaks off the first run that it gets.
        assert answer.right
        assert len(whole) > 1 and sum(whole) == 1
