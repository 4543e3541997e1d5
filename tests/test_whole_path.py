"""The whole path on real processes: every caller gets its own answer."""

import asyncio
import json
import urllib.error
import urllib.request

import pytest

from standins import fleet as fleet_module
from standins import load


def list_routers(fleet):
    return [n.data for n in fleet.nodes.values() if n.role == "router"]


def plan_mixed(routers, count):
    """Streamed and plain requests of all teams, over both routers."""
    teams = ["mill-a", "mill-b", "flood", "large"]
    plans = []
    for index in range(count):
        plan = load.PlannedRequest(
            f"request-{index}",
            teams[index % 4],
            "assistant" if index % 3 else "ledger",
            routers[index % 2],
            at=index * 0.005,
        )
        if plan.service == "assistant":
            plan.tokens = 3 + index % 20
            plan.streamed = index % 2 == 0
        else:
            plan.work_ms = index % 10
            plan.idempotent = False
        plans.append(plan)
    return plans


def test_every_caller_gets_its_own_answer(shared_fleet):
    plans = plan_mixed(list_routers(shared_fleet), 120)
    answers = asyncio.run(load.send_all(plans))
    assert [a.plan.request for a in answers if not a.right] == []
    runs = [
        run["request"]
        for node in shared_fleet.nodes.values()
        if node.role == "upstream"
        for run in fleet_module.call(node.upstream, "/test/runs")
    ]
    assert sorted(runs) == sorted(plan.request for plan in plans)


def post(port, path, body, headers):
    request = urllib.request.Request(
        f"http://127.0.0.1:{port}{path}",
        data=body,
        headers={"Content-Type": "application/json"} | headers,
    )
    try:
        with urllib.request.urlopen(request, timeout=10) as answer:
            return answer.status, json.load(answer)
    except urllib.error.HTTPError as fault:
        return fault.code, json.load(fault)


COMPLETIONS = "/v1/chat/completions"
KEY = {"Authorization": "Bearer key-of-mill-a"}
VALID = json.dumps({"model": "assistant", "messages": []}).encode()


@pytest.mark.parametrize(
    ("path", "body", "headers", "status", "kind"),
    [
        (COMPLETIONS, VALID, {}, 401, "unknown_team"),
        (COMPLETIONS, b"{", KEY, 400, "malformed_request"),
        (COMPLETIONS, b"[]", KEY, 400, "malformed_request"),
        (
            COMPLETIONS,
            VALID.replace(b"assistant", b"nobody"),
            KEY,
            404,
            "unknown_service",
        ),
        ("/v1/services/nobody/x", b"", KEY, 404, "unknown_service"),
        ("/elsewhere", b"", KEY, 404, "unknown_service"),
        (COMPLETIONS, b" " * (2 << 20), KEY, 413, "body_too_large"),
        (
            COMPLETIONS,
            VALID,
            KEY | {"Sycamorefall-Timeout": "soon"},
            400,
            "malformed_request",
        ),
        (
            COMPLETIONS,
            VALID,
            KEY | {"X-Request-Id": "m\u00fcller"},
            400,
            "malformed_request",
        ),
    ],
)
def test_bad_requests_are_refused_before_anything_is_queued(
    shared_fleet, path, body, headers, status, kind
):
    router = list_routers(shared_fleet)[0]
    code, answer = post(router, path, body, headers)
    assert code == status
    assert answer["error"]["kind"] == kind
    assert answer["error"]["ran"] == "no"


def test_planned_stop_ends_with_status_zero_and_clean_logs(own_fleet):
    plans = plan_mixed(list_routers(own_fleet), 20)
    answers = asyncio.run(load.send_all(plans))
    assert [answer for answer in answers if not answer.right] == []
    statuses = fleet_module.stop_fleet(own_fleet)
    assert set(statuses.values()) == {0}
    logs = [path.read_text() for path in own_fleet.folder.glob("*.log")]
    assert not any("Traceback" in log or "Error" in log for log in logs)
