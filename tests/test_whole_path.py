"""Requests through real routers, sidecars and fake upstreams."""

import asyncio
import json
import urllib.error
import urllib.request

import pytest

from standins import fleet as fleet_module
from standins import load


def list_router_ports(fleet):
    return [n.data for n in fleet.nodes.values() if n.role == "router"]


def plan_mixed_load(routers, count):
    """Plans a mixed load: both services, all teams, over all routers."""
    teams = ["mill-a", "mill-b", "flood", "large"]
    plans = []
    for index in range(count):
        plan = load.PlannedRequest(
            f"request-{index}",
            teams[index % 4],
            "assistant" if index % 3 else "ledger",
            routers[index % 2],
            send_at=index * 0.005,
        )
        if plan.service == "assistant":
            plan.tokens = 3 + index % 20
            plan.streamed = index % 2 == 0
        else:
            plan.work_ms = index % 10
            plan.idempotent = False
        plans.append(plan)
    return plans


def test_every_caller_gets_its_own_response(shared_fleet):
    plans = plan_mixed_load(list_router_ports(shared_fleet), 120)
    results = asyncio.run(load.send_all(plans))
    assert [r.plan.request_id for r in results if not r.correct] == []
    runs = [
        run["request"]
        for node in shared_fleet.nodes.values()
        if node.role == "upstream"
        for run in fleet_module.call(node.upstream, "/test/runs")
    ]
    assert sorted(runs) == sorted(plan.request_id for plan in plans)


def post(port, path, body, headers):
    request = urllib.request.Request(
        f"http://127.0.0.1:{port}{path}",
        data=body,
        headers={"Content-Type": "application/json"} | headers,
    )
    try:
        with urllib.request.urlopen(request, timeout=10) as response:
            return response.status, json.load(response)
    except urllib.error.HTTPError as http_error:
        return http_error.code, json.load(http_error)


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
def test_invalid_requests_are_rejected_before_they_are_queued(
    shared_fleet, path, body, headers, status, kind
):
    router = list_router_ports(shared_fleet)[0]
    code, response = post(router, path, body, headers)
    assert code == status
    assert response["error"]["kind"] == kind
    assert response["error"]["ran"] == "no"


def test_graceful_stop_exits_with_status_zero_and_without_logged_errors(
    isolated_fleet,
):
    plans = plan_mixed_load(list_router_ports(isolated_fleet), 20)
    results = asyncio.run(load.send_all(plans))
    assert [result for result in results if not result.correct] == []
    statuses = fleet_module.stop_fleet(isolated_fleet)
    assert set(statuses.values()) == {0}
    logs = [path.read_text() for path in isolated_fleet.folder.glob("*.log")]
    assert not any("Traceback" in log or "Error" in log for log in logs)
