"""Calls that an upstream makes on behalf of a request, on real processes."""

import json
import urllib.error
import urllib.request

import pytest

from standins import fleet as fleet_module

SERVICES = """
[service desk]
kind = plain
depends_on = ledger
concurrency = 2

[service ledger]
kind = plain
concurrency = 2
"""


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    started = fleet_module.start_fleet(
        tmp_path_factory.mktemp("dependencies"),
        fleet_module.build_configuration_text(
            {"mill-a": 1.0, "mill-b": 1.0}, SERVICES
        ),
        routers=2,
        upstreams=[
            fleet_module.UpstreamGroup(
                "desk", 1, "standins.dependent_service", 2
            ),
            fleet_module.UpstreamGroup("ledger", 1, "standins.ledger", 2),
        ],
    )
    yield started
    fleet_module.kill_fleet(started)


def send_order(fleet, order_id, **fields):
    """Sends an order for `desk` to the first router.

    The upstream of `desk` forwards the order through the second router.
    """
    first, second = (
        node.data for node in fleet.nodes.values() if node.role == "router"
    )
    body = {"id": order_id, "team": "mill-a", "router": second} | fields
    request = urllib.request.Request(
        f"http://127.0.0.1:{first}/v1/services/desk/orders",
        data=json.dumps(body).encode(),
        headers={
            "Content-Type": "application/json",
            "Authorization": "Bearer key-of-mill-a",
            "Sycamorefall-Timeout": "20",
        },
    )
    with urllib.request.urlopen(request, timeout=30) as response:
        return json.load(response)


def read_served_by_team(fleet):
    status = fleet_module.call(fleet.nodes["ledger-0"].data, "/status")
    return {entry["team"]: entry["served"] for entry in status["teams"]}


def test_call_through_another_router_is_accounted_to_the_callers_team(fleet):
    response = send_order(fleet, "order-1", service="ledger", work_ms=20)
    assert response["status"] == 200
    assert response["answer"] == {"id": "order-1", "state": "confirmed"}
    served = fleet_module.wait_until(
        lambda: read_served_by_team(fleet), "accounts"
    )
    assert served["mill-a"] >= 20
    assert served.get("mill-b", 0.0) == 0.0


def test_call_to_an_undeclared_dependency_is_rejected(fleet):
    response = send_order(fleet, "order-2", service="desk")
    assert response["status"] == 403
    assert response["answer"]["error"]["kind"] == "undeclared_dependency"


def test_call_without_the_parent_token_is_rejected(fleet):
    response = send_order(fleet, "order-3", service="ledger", with_token=False)
    assert response["status"] == 401
