"""Logs, status, metrics and reports of running processes."""

import fcntl
import http.client
import json
import os
import subprocess
import sys
import urllib.error
import urllib.request

from prometheus_client import parser
import pytest

from standins import fleet as fleet_module
from sycamorefall import command

KEY = "key-of-mill-a"
BODY = "a body that nobody may read in a log"


def send_request(node, request_id, path="/v1/chat/completions", body=None):
    content = {"id": request_id, "team": "mill-a", "tokens": 4, "text": BODY}
    body = body or {
        "model": "assistant",
        "stream": True,
        "messages": [{"role": "user", "content": json.dumps(content)}],
    }
    request = urllib.request.Request(
        f"http://127.0.0.1:{node.data}{path}",
        data=json.dumps(body).encode(),
        headers={
            "Authorization": f"Bearer {KEY}",
            "Content-Type": "application/json",
            "X-Request-Id": request_id,
        },
    )
    with urllib.request.urlopen(request, timeout=10) as response:
        return response.read()


def read_log(fleet, node):
    lines = (fleet.folder / f"{node.name}.log").read_text().splitlines()
    return [json.loads(line) for line in lines]


def find_record(fleet, name, **fields):
    """Waits for a log record with these fields; returns the first one."""

    def check():
        records = read_log(fleet, fleet.nodes[name])
        return [r for r in records if fields.items() <= r.items()]

    return fleet_module.wait_until(check, f"{fields} in the log of {name}")[0]


def test_ids_correlate_the_logs_of_router_and_sidecar(shared_fleet):
    router = shared_fleet.nodes["router-0"]
    assert b"[DONE]" in send_request(router, "inquiry-7")
    started = find_record(
        shared_fleet, "router-0", request_id="inquiry-7", team="mill-a"
    )
    ended = find_record(
        shared_fleet,
        "router-0",
        task_uuid=started["task_uuid"],
        action_status="succeeded",
    )
    attempt_record = find_record(
        shared_fleet, "router-0", attempt=ended["attempt"]
    )
    run = find_record(
        shared_fleet, attempt_record["sidecar"], attempt=ended["attempt"]
    )
    assert run["request_id"] == "inquiry-7"
    assert ended["result"] == "answered"


def test_logs_contain_neither_keys_nor_bodies(shared_fleet):
    send_request(shared_fleet.nodes["router-1"], "inquiry-8")
    find_record(shared_fleet, "router-1", request_id="inquiry-8")
    for node in shared_fleet.nodes.values():
        text = (shared_fleet.folder / f"{node.name}.log").read_text()
        assert KEY not in text
        assert BODY not in text


def test_status_and_metrics_of_both_roles(shared_fleet):
    router = shared_fleet.nodes["router-0"]
    send_request(router, "inquiry-9")
    for node in shared_fleet.nodes.values():
        fleet_module.wait_until(
            lambda node=node: (
                not fleet_module.call(node.data, "/status")["unready"]
            ),
            f"{node.name} to be ready",
        )
        status = fleet_module.call(node.data, "/status")
        expected = {
            other.name
            for other in shared_fleet.nodes.values()
            if other is not node
            and (other.role != node.role or other.service == node.service != "")
        }
        assert {peer["vm"] for peer in status["peers"]} >= expected
        assert status["revision"] == shared_fleet.revision
        fleet_module.wait_until(
            lambda node=node: fleet_module.call(node.data, "/status")[
                "control"
            ]["bytes_sent"],
            f"{node.name} to send a heartbeat",
        )
    times = fleet_module.call(router.data, "/status")["times"]
    counts = {(t["service"], t["team"], t["time"]): t["count"] for t in times}
    assert counts["assistant", "mill-a", "first_token"] >= 1
    address = f"http://127.0.0.1:{router.data}/metrics"
    with urllib.request.urlopen(address, timeout=10) as response:
        text = response.read().decode()
    names = {f.name for f in parser.text_string_to_metric_families(text)}
    assert {
        "sycamorefall_requests",
        "sycamorefall_first_token_seconds",
        "sycamorefall_control_bytes",
        "sycamorefall_peers",
    } <= names


def read_readiness(node):
    address = f"http://127.0.0.1:{node.data}/ready"
    try:
        with urllib.request.urlopen(address, timeout=10) as response:
            return response.status, json.load(response)
    except urllib.error.HTTPError as http_error:
        return http_error.code, json.load(http_error)


def test_leaving_router_reports_that_it_is_not_ready(shared_fleet):
    node = shared_fleet.nodes["router-1"]
    assert read_readiness(node) == (200, {"ready": True, "reasons": []})
    node.state = "leaving"
    fleet_module.publish_vms(shared_fleet)
    fleet_module.wait_until(lambda: read_readiness(node)[0] == 503, "unready")
    reasons = read_readiness(node)[1]["reasons"]
    assert reasons == ["this VM is marked as leaving"]
    node.state = "live"
    fleet_module.publish_vms(shared_fleet)
    fleet_module.wait_until(lambda: read_readiness(node)[0] == 200, "ready")


def test_report_is_made_from_snapshots_of_running_processes(
    shared_fleet, tmp_path, capsys
):
    router, sidecar = (
        shared_fleet.nodes[name] for name in ("router-0", "assistant-0")
    )
    send_request(router, "inquiry-10")
    addresses = [f"127.0.0.1:{node.data}" for node in (router, sidecar)]
    arguments = ["status", "--json", "--repeat", "2", "--interval", "0"]
    assert command.main([*arguments, *addresses]) == 0
    saved = tmp_path / "snapshots.jsonl"
    saved.write_text(capsys.readouterr().out)
    assert len(saved.read_text().splitlines()) == 4
    page = tmp_path / "page.html"
    assert command.main(["report", str(saved), "-o", str(page)]) == 0
    assert "data:image/png;base64," in page.read_text()
    assert command.main(["status", *addresses]) == 0
    output = capsys.readouterr().out
    assert "first token" in output
    assert "sidecar of assistant" in output


@pytest.fixture
def fleet_with_shared_key(tmp_path):
    """A fleet whose processes have a shared key."""
    key = tmp_path / "key"
    key.write_text("s" * 40 + "\n")
    fleet = fleet_module.start_fleet(
        tmp_path,
        fleet_module.build_configuration_text({"mill-a": 1.0}, SERVICES),
        routers=1,
        upstreams=[
            fleet_module.UpstreamGroup("ledger", 1, "standins.ledger", 2)
        ],
        extra_settings=f"[security]\nshared_key_file = {key}\n",
    )
    yield fleet
    fleet_module.kill_fleet(fleet)


SERVICES = "[service ledger]\nkind = plain\nconcurrency = 2\n"


def post_attempt(port, headers):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    connection.request("POST", "/v1/attempts", b"{}", headers)
    response = connection.getresponse()
    response.read()
    connection.close()
    return response


def test_sidecar_rejects_orders_without_a_signature(fleet_with_shared_key):
    """A client without the shared key can't make a sidecar run a request.

    It sends an order that it made up. Without the check of signatures, an
    order with a guessed claim would run at the upstream in any team's name.
    """
    fleet = fleet_with_shared_key
    router, sidecar = fleet.nodes["router-0"], fleet.nodes["ledger-0"]
    order = {"id": "order-1", "team": "mill-a"}
    body = send_request(router, "order-1", "/v1/services/ledger/orders", order)
    assert json.loads(body)["state"] == "confirmed"
    response = post_attempt(sidecar.data, {"Sycamorefall-Order": "e30="})
    assert response.getheader("Sycamorefall-Outcome") == "refused"
    find_record(fleet, "ledger-0", message_type="order.unsigned")


def test_router_serves_requests_while_its_log_is_not_read(isolated_fleet):
    """The reader of a router's stderr stops reading.

    A blocking write to the full pipe would stop the router's only event loop,
    and with it all requests and heartbeats.
    """
    node = isolated_fleet.nodes["router-0"]
    fleet_module.stop_process(node.process)
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 4096)
    node.process = subprocess.Popen(
        [
            *(sys.executable, "-m", "sycamorefall.command", "router"),
            str(isolated_fleet.folder / "router-0.ini"),
        ],
        stdin=subprocess.DEVNULL,
        stderr=writer,
    )
    os.close(writer)
    fleet_module.wait_until(
        lambda: (
            "assistant" in fleet_module.call(node.data, "/status")["services"]
        ),
        "the assistant's upstreams",
    )
    for number in range(30):
        assert b"[DONE]" in send_request(node, f"unread-{number}")
    assert len(os.read(reader, 1 << 16)) <= 4096
    assert fleet_module.stop_process(node.process) == 0
    os.close(reader)


def test_operators_address_replaces_the_status_at_the_data_address(
    isolated_fleet,
):
    """With an address for operators, callers can't get the operators' pages."""
    node = isolated_fleet.nodes["router-0"]
    fleet_module.stop_process(node.process)
    operators = fleet_module.reserve_ports(1)[0]
    path = isolated_fleet.folder / "router-0.ini"
    text = path.read_text().replace(
        "[listen]\n", f"[listen]\noperators = 127.0.0.1:{operators}\n"
    )
    path.write_text(text)
    node.process = fleet_module._spawn(
        isolated_fleet, node.name, "sycamorefall.command", "router", str(path)
    )
    status = fleet_module.wait_until(
        lambda: fleet_module.call(operators, "/status"), "the operators' page"
    )
    assert status["vm"] == "router-0"
    with pytest.raises(urllib.error.HTTPError, match="404"):
        fleet_module.call(node.data, "/status")
    fleet_module.wait_until(
        lambda: fleet_module.call(node.data, "/ready"), "readiness"
    )
