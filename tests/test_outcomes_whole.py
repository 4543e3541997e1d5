"""Own and whole answers from upstreams that answer badly.

A caller takes a part of an answer for the whole, or gets the answer to
someone else's request, because an upstream died in the middle of it, broke
the protocol, or sent more than it had announced.
"""

import contextlib
import http.client
import itertools
import json
import socketserver
import threading

import pytest

from standins import fleet as fleet_module
from tests import conftest

LOAD = b'{"running": 0, "queued": 0}'


class _Handler(socketserver.StreamRequestHandler):
    """Answers with what the test put into `server.answers`."""

    def handle(self):
        with contextlib.suppress(OSError, ValueError):
            while self.answer():
                pass

    def answer(self):
        line = self.rfile.readline()
        headers = http.client.parse_headers(self.rfile)
        if not line:
            return False
        self.rfile.read(int(headers.get("Content-Length", 0)))
        if line.startswith(b"GET /v1/load"):
            self.wfile.write(write_answer(LOAD))
            return True
        self.server.hand_outs += line.startswith(b"POST /v1/attempts")
        data, closes = next(self.server.answers)
        self.wfile.write(data)
        return not closes


def write_answer(body, status=200, length=None):
    size = len(body) if length is None else length
    head = f"HTTP/1.1 {status} Status\r\nContent-Length: {size}\r\n\r\n"
    return head.encode() + body


@pytest.fixture(scope="module")
def served(tmp_path_factory):
    """A fleet with one ledger, whose upstream the tests play themselves."""
    text = fleet_module.write_text(conftest.TEAMS, conftest.SERVICES)
    ledger = fleet_module.UpstreamGroup("ledger", 1, "standins.ledger", 4)
    folder = tmp_path_factory.mktemp("whole")
    fleet = fleet_module.start_fleet(folder, text, 1, [ledger])
    node = fleet.nodes["ledger-0"]
    node.upstream_process.kill()
    node.upstream_process.wait()
    socketserver.ThreadingTCPServer.allow_reuse_address = True
    server = socketserver.ThreadingTCPServer(
        ("127.0.0.1", node.upstream), _Handler
    )
    server.daemon_threads = True
    server.hand_outs = 0
    threading.Thread(target=server.serve_forever, daemon=True).start()
    server.fleet = fleet
    yield fleet.nodes["router-0"].data, server
    server.shutdown()
    server.server_close()
    fleet_module.kill_fleet(fleet)


def post(port, idempotent):
    """Sends an order; returns status, error kind, `ran` and the body."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=30)
    headers = {
        "Authorization": "Bearer key-of-mill-a",
        "Sycamorefall-Idempotent": str(idempotent).lower(),
        "Sycamorefall-Timeout": "20",
    }
    connection.request("POST", "/v1/services/ledger/orders", b"{}", headers)
    answer = connection.getresponse()
    body = answer.read()
    connection.close()
    if answer.status in (200, 503) and not body.startswith(b'{"error"'):
        return answer.status, "", "", body
    error = json.loads(body)["error"]
    return answer.status, error["kind"], error["ran"], b""


BROKEN = {
    "garbage": b"\x00\xff no answer at all\r\n\r\n",
    "nothing": b"",
    "half a head": b"HTTP/1.1 200 OK\r\nContent-Le",
    "half a body": write_answer(b"half", length=100),
    "ends by closing": b"HTTP/1.1 200 OK\r\n\r\nwhole or half?",
    "half a chunk": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nha"
    ),
}


@pytest.mark.parametrize("name", BROKEN)
def test_broken_answer_is_not_passed_on(served, name):
    """An order's confirmation breaks: it may be booked, so it is unknown.

    The same answer to an idempotent request is replaced by another run's.
    """
    port, server = served
    server.answers = iter([(BROKEN[name], True)])
    assert post(port, False) == (502, "outcome_unknown", "unknown", b"")
    whole = (write_answer(b"whole"), False)
    server.answers = iter([(BROKEN[name], True), whole])
    assert post(port, True) == (200, "", "", b"whole")


def test_upstreams_own_failure_is_its_whole_answer(served):
    """A ledger says 503 itself: that is its answer, given once."""
    port, server = served
    server.answers = iter([(write_answer(b"closed", status=503), False)])
    assert post(port, False) == (503, "", "", b"closed")


def test_bytes_beyond_an_answer_reach_no_other_caller(served):
    """An upstream sends a second answer that nobody asked for.

    On a connection that is kept, it would be taken for the answer to the
    next caller's request.
    """
    port, server = served
    stray = write_answer(b"first") + write_answer(b"someone else's")
    served_after = ((write_answer(b"own"), False) for _ in itertools.count())
    server.answers = itertools.chain([(stray, False)], served_after)
    assert post(port, True) == (200, "", "", b"first")
    assert post(port, True) == (200, "", "", b"own")


def test_answer_that_names_no_attempt_is_no_answer(served):
    """A VM is replaced, and something else answers at its old address.

    Its "200 OK" has nothing to do with the request that it was handed.
    """
    port, server = served
    own = (write_answer(b"own"), False)
    server.answers = itertools.repeat(own)
    server.fleet.nodes["ledger-0"].data = server.server_address[1]
    fleet_module.publish_vms(server.fleet)

    def post_until_handed_out():
        answer = post(port, True)
        return server.hand_outs and answer

    answer = fleet_module.wait_until(post_until_handed_out, "a hand-out")
    assert answer == (502, "retries_exhausted", "unknown", b"")
