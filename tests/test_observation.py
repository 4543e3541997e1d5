"""What operators see of running processes."""

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


def ask(node, request_id, path="/v1/chat/completions", body=None):
    asked = {"id": request_id, "team": "mill-a", "tokens": 4, "text": BODY}
    body = body or {
        "model": "assistant",
        "stream": True,
        "messages": [{"role": "user", "content": json.dumps(asked)}],
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
    with urllib.request.urlopen(request, timeout=10) as answer:
        return answer.read()


def read_log(fleet, node):
    lines = (fleet.folder / f"{node.name}.log").read_text().splitlines()
    return [json.loads(line) for line in lines]


def find_record(fleet, name, **fields):
    """Finds the first record of a process that has these fields."""

    def check():
        records = read_log(fleet, fleet.nodes[name])
        return [r for r in records if fields.items() <= r.items()]

    return fleet_module.wait_until(check, f"{fields} in the log of {name}")[0]


def test_ids_tie_the_logs_of_router_and_sidecar_together(shared_fleet):
    router = shared_fleet.nodes["router-0"]
    assert b"[DONE]" in ask(router, "inquiry-7")
    started = find_record(
        shared_fleet, "router-0", request_id="inquiry-7", team="mill-a"
    )
    ended = find_record(
        shared_fleet,
        "router-0",
        task_uuid=started["task_uuid"],
        action_status="succeeded",
    )
    handed_out = find_record(shared_fleet, "router-0", attempt=ended["attempt"])
    run = find_record(
        shared_fleet, handed_out["sidecar"], attempt=ended["attempt"]
    )
    assert run["request_id"] == "inquiry-7"
    assert ended["result"] == "answered"


def test_logs_show_neither_keys_nor_bodies(shared_fleet):
    ask(shared_fleet.nodes["router-1"], "inquiry-8")
    find_record(shared_fleet, "router-1", request_id="inquiry-8")
    for node in shared_fleet.nodes.values():
        text = (shared_fleet.folder / f"{node.name}.log").read_text()
        assert KEY not in text
        assert BODY not in text


def test_status_and_metrics_of_both_roles(shared_fleet):
    router = shared_fleet.nodes["router-0"]
    ask(router, "inquiry-9")
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
    shown = {(t["service"], t["team"], t["time"]): t["count"] for t in times}
    assert shown["assistant", "mill-a", "first_token"] >= 1
    address = f"http://127.0.0.1:{router.data}/metrics"
    with urllib.request.urlopen(address, timeout=10) as answer:
        text = answer.read().decode()
    names = {f.name for f in parser.text_string_to_metric_families(text)}
    assert {
        "sycamorefall_requests",
        "sycamorefall_first_token_seconds",
        "sycamorefall_control_bytes",
        "sycamorefall_peers",
    } <= names


def read_ready(node):
    address = f"http://127.0.0.1:{node.data}/ready"
    try:
        with urllib.request.urlopen(address, timeout=10) as answer:
            return answer.status, json.load(answer)
    except urllib.error.HTTPError as fault:
        return fault.code, json.load(fault)


def test_leaving_router_says_that_it_is_not_ready(shared_fleet):
    node = shared_fleet.nodes["router-1"]
    assert read_ready(node) == (200, {"ready": True, "reasons": []})
    node.state = "leaving"
    fleet_module.publish_vms(shared_fleet)
    fleet_module.wait_until(lambda: read_ready(node)[0] == 503, "unready")
    reasons = read_ready(node)[1]["reasons"]
    assert reasons == ["this VM is marked as leaving"]
    node.state = "live"
    fleet_module.publish_vms(shared_fleet)
    fleet_module.wait_until(lambda: read_ready(node)[0] == 200, "ready")


def test_snapshots_of_running_processes_become_a_report(
    shared_fleet, tmp_path, capsys
):
    router, sidecar = (
        shared_fleet.nodes[name] for name in ("router-0", "assistant-0")
    )
    ask(router, "inquiry-10")
    addresses = [f"127.0.0.1:{node.data}" for node in (router, sidecar)]
    repeated = ["status", "--json", "--repeat", "2", "--interval", "0"]
    assert command.main([*repeated, *addresses]) == 0
    saved = tmp_path / "snapshots.jsonl"
    saved.write_text(capsys.readouterr().out)
    assert len(saved.read_text().splitlines()) == 4
    page = tmp_path / "page.html"
    assert command.main(["report", str(saved), "-o", str(page)]) == 0
    assert "data:image/png;base64," in page.read_text()
    assert command.main(["status", *addresses]) == 0
    printed = capsys.readouterr().out
    assert "first token" in printed
    assert "sidecar of assistant" in printed


@pytest.fixture
def guarded_fleet(tmp_path):
    """A fleet with a shared key and an address for operators."""
    key = tmp_path / "key"
    key.write_text("s" * 40 + "\n")
    fleet = fleet_module.start_fleet(
        tmp_path,
        fleet_module.write_text({"mill-a": 1.0}, SERVICES),
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
    answer = connection.getresponse()
    answer.read()
    connection.close()
    return answer


def test_nobody_without_the_key_gives_orders(guarded_fleet):
    """A stranger who reaches a sidecar can't have it run anything.

    It posts an order of its own making; without the check on hand-outs a
    guessed claim would run at the upstream under any team's name.
    """
    fleet = guarded_fleet
    router, sidecar = fleet.nodes["router-0"], fleet.nodes["ledger-0"]
    order = {"id": "order-1", "team": "mill-a"}
    answer = ask(router, "order-1", "/v1/services/ledger/orders", order)
    assert json.loads(answer)["state"] == "confirmed"
    answer = post_attempt(sidecar.data, {"Sycamorefall-Order": "e30="})
    assert answer.getheader("Sycamorefall-Outcome") == "refused"
    find_record(fleet, "ledger-0", message_type="order.unsigned")


def test_router_answers_while_nobody_reads_its_log(isolated_fleet):
    """The reader of a router's stderr stops; callers must not notice.

    A write that waits for the reader would stop the router's only loop, and
    with it every request and heartbeat.
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
        assert b"[DONE]" in ask(node, f"unread-{number}")
    assert len(os.read(reader, 1 << 16)) <= 4096
    assert fleet_module.stop_process(node.process) == 0
    os.close(reader)


def test_metrics_leave_the_data_address_for_the_operators(isolated_fleet):
    """With an address of their own, operators' pages are not for callers."""
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
