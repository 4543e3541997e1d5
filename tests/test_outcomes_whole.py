"""Responses of upstreams that crash or violate the HTTP protocol.

Guards against callers that take an incomplete response for a complete one, or
get the response to another request: the upstream crashes in the middle of a
response, violates the protocol, or sends more bytes than it announced.
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

LOAD_REPORT = b'{"running": 0, "queued": 0}'


class _Handler(socketserver.StreamRequestHandler):
    """Sends the responses that the test has put into `server.responses`.

    Each is a pair: the bytes to send, and whether to close the connection
    after them. Load reports are answered separately.
    """

    def handle(self):
        with contextlib.suppress(OSError, ValueError):
            while self.respond():
                pass

    def respond(self):
        line = self.rfile.readline()
        headers = http.client.parse_headers(self.rfile)
        if not line:
            return False
        self.rfile.read(int(headers.get("Content-Length", 0)))
        if line.startswith(b"GET /v1/load"):
            self.wfile.write(build_response(LOAD_REPORT))
            return True
        self.server.attempts += line.startswith(b"POST /v1/attempts")
        data, closes = next(self.server.responses)
        self.wfile.write(data)
        return not closes


def build_response(body, status=200, length=None):
    size = len(body) if length is None else length
    head = f"HTTP/1.1 {status} Status\r\nContent-Length: {size}\r\n\r\n"
    return head.encode() + body


@pytest.fixture(scope="module")
def scripted_upstream(tmp_path_factory):
    """A fleet whose only upstream is a scripted HTTP server.

    Yields the router's port and the server, whose `responses` a test sets.
    """
    text = fleet_module.build_configuration_text(
        conftest.TEAMS, conftest.SERVICES
    )
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
    server.attempts = 0
    threading.Thread(target=server.serve_forever, daemon=True).start()
    server.fleet = fleet
    yield fleet.nodes["router-0"].data, server
    server.shutdown()
    server.server_close()
    fleet_module.kill_fleet(fleet)


def post_order(port, idempotent):
    """Sends an order.

    Returns:
        Status, error kind and `ran` of the router's error, and body of the
        upstream's response; the parts that don't apply are empty.
    """
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=30)
    headers = {
        "Authorization": "Bearer key-of-mill-a",
        "Sycamorefall-Idempotent": str(idempotent).lower(),
        "Sycamorefall-Timeout": "20",
    }
    connection.request("POST", "/v1/services/ledger/orders", b"{}", headers)
    response = connection.getresponse()
    body = response.read()
    connection.close()
    if response.status in (200, 503) and not body.startswith(b'{"error"'):
        return response.status, "", "", body
    error = json.loads(body)["error"]
    return response.status, error["kind"], error["ran"], b""


BROKEN_RESPONSES = {
    "garbage": b"\x00\xff no answer at all\r\n\r\n",
    "nothing": b"",
    "half a head": b"HTTP/1.1 200 OK\r\nContent-Le",
    "half a body": build_response(b"half", length=100),
    "ends by closing": b"HTTP/1.1 200 OK\r\n\r\nwhole or half?",
    "half a chunk": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nha"
    ),
}


@pytest.mark.parametrize("name", BROKEN_RESPONSES)
def test_broken_response_is_not_forwarded(scripted_upstream, name):
    """An order whose confirmation is broken may be booked: outcome unknown.

    An idempotent request with the same broken response is run again.
    """
    port, server = scripted_upstream
    server.responses = iter([(BROKEN_RESPONSES[name], True)])
    assert post_order(port, False) == (502, "outcome_unknown", "unknown", b"")
    complete = (build_response(b"whole"), False)
    server.responses = iter([(BROKEN_RESPONSES[name], True), complete])
    assert post_order(port, True) == (200, "", "", b"whole")


def test_503_of_an_upstream_is_forwarded(scripted_upstream):
    """A 503 of the upstream itself is its response and isn't retried."""
    port, server = scripted_upstream
    server.responses = iter([(build_response(b"closed", status=503), False)])
    assert post_order(port, False) == (503, "", "", b"closed")


def test_extra_bytes_after_a_response_reach_no_other_caller(scripted_upstream):
    """An upstream sends a second, unsolicited response.

    If the connection were reused, that response would be taken for the one to
    the next caller's request.
    """
    port, server = scripted_upstream
    unsolicited = build_response(b"first") + build_response(b"someone else's")
    later_responses = (
        (build_response(b"own"), False) for _ in itertools.count()
    )
    server.responses = itertools.chain([(unsolicited, False)], later_responses)
    assert post_order(port, True) == (200, "", "", b"first")
    assert post_order(port, True) == (200, "", "", b"own")


def test_response_without_an_attempt_id_is_rejected(scripted_upstream):
    """A VM is replaced, and another server responds at its former address.

    Its "200 OK" must not be taken for the response to the attempt.
    """
    port, server = scripted_upstream
    own = (build_response(b"own"), False)
    server.responses = itertools.repeat(own)
    server.fleet.nodes["ledger-0"].data = server.server_address[1]
    fleet_module.publish_vms(server.fleet)

    def post_until_attempted():
        response = post_order(port, True)
        return server.attempts and response

    response = fleet_module.wait_until(post_until_attempted, "an attempt")
    assert response == (502, "retries_exhausted", "unknown", b"")
