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
        fleet_module.write_text({"mill-a": 1.0, "mill-b": 1.0}, SERVICES),
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


def order(fleet, number, **fields):
    """Books an order at the desk through the first router."""
    first, second = (
        node.data for node in fleet.nodes.values() if node.role == "router"
    )
    body = {"id": number, "team": "mill-a", "router": second} | fields
    request = urllib.request.Request(
        f"http://127.0.0.1:{first}/v1/services/desk/orders",
        data=json.dumps(body).encode(),
        headers={
            "Content-Type": "application/json",
            "Authorization": "Bearer key-of-mill-a",
            "Sycamorefall-Timeout": "20",
        },
    )
    with urllib.request.urlopen(request, timeout=30) as answer:
        return json.load(answer)


def find_served(fleet):
    status = fleet_module.call(fleet.nodes["ledger-0"].data, "/status")
    return {entry["team"]: entry["served"] for entry in status["teams"]}


def test_call_through_another_router_counts_for_the_team_that_caused_it(fleet):
    found = order(fleet, "order-1", service="ledger", work_ms=20)
    assert found["status"] == 200
    assert found["answer"] == {"id": "order-1", "state": "confirmed"}
    served = fleet_module.wait_until(lambda: find_served(fleet), "accounts")
    assert served["mill-a"] >= 20
    assert served.get("mill-b", 0.0) == 0.0


def test_call_that_the_text_does_not_declare_is_refused(fleet):
    found = order(fleet, "order-2", service="desk")
    assert found["status"] == 403
    assert found["answer"]["error"]["kind"] == "undeclared_dependency"


def test_call_without_the_token_is_a_strangers(fleet):
    found = order(fleet, "order-3", service="ledger", with_token=False)
    assert found["status"] == 401
