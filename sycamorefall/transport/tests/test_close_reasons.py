"""Counters and log records of why the server closes connections."""

import socket
import struct

import pytest

from sycamorefall import observation, transport
from sycamorefall.observation import metrics
from sycamorefall.transport.tests import test_closing, test_server

GET = test_server.GET
WITH_ID = b"GET /long HTTP/1.1\r\nHost: a\r\nAttempt-Id: 7\r\n\r\n"
AT_ONCE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which closing a socket resets its connection."""


@pytest.fixture
def written(monkeypatch):
    """Lists the log records of closed connections."""
    records = []

    def keep(_, kind, **fields):
        if kind == "connection.closed":
            records.append(fields)

    monkeypatch.setattr(observation, "write_record", keep)
    monkeypatch.setattr(observation, "write_rate_limited", keep)
    return records


def open_site(**limits):
    site = test_server.Site(**limits)
    site.run_until(lambda: site.server.port)
    site.server.closings.read_request_id = lambda call: call.headers.get(
        "attempt-id", ""
    )
    return site


def begin_call(site, request=WITH_ID):
    """Sends a request; returns its caller's socket and its call."""
    caller = site.connect()
    caller.sendall(request)
    known = len(site.calls)
    site.run_until(lambda: len(site.calls) > known)
    return caller, site.calls[-1]


def run_until_counted(site, *key):
    site.run_until(lambda: site.server.closings.counts[key])
    assert site.server.closings.counts == {key: 1}


def is_record(record, reason, state, age, request_id=""):
    return record == {
        "channel": "web",
        "reason": reason,
        "state": state,
        "age": age,
        "request_id": request_id,
    }


@pytest.mark.parametrize("begins", [False, True])
def test_aborted_response_leaves_a_record_of_its_request(written, begins):
    # Guards against an answer that ends without a line that tells why.
    site = open_site()
    caller, call = begin_call(site)
    if begins:
        call.begin(200)
        call.write(b"some")
    site.now += 4.0
    call.abort()
    state = "begun" if begins else "waiting"
    run_until_counted(site, "response_aborted", state)
    assert len(written) == 1
    assert is_record(written[0], "response_aborted", state, 4.0, "7")
    caller.close()
    site.run_until(lambda: not site.server.open_count)
    run_until_counted(site, "response_aborted", state)


@pytest.mark.parametrize(
    ("request_bytes", "state"),
    [(WITH_ID, "waiting"), (WITH_ID[:20], "partial")],
)
@pytest.mark.parametrize("resets", [False, True])
def test_caller_that_leaves_is_recorded(written, request_bytes, state, resets):
    site = open_site()
    caller = site.connect()
    caller.sendall(request_bytes)
    site.run_until(lambda: site.calls or site.server.find_next_due() == 20.0)
    site.now += 1.5
    if resets:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, AT_ONCE)
    caller.close()
    reason = "read_error" if resets else "caller_left"
    run_until_counted(site, reason, state)
    request_id = "7" if state == "waiting" else ""
    assert len(written) == 1
    assert is_record(written[0], reason, state, 1.5, request_id)


def test_closes_of_idle_connections_write_no_record(written):
    # Guards against a line for each of the thousands of idle connections that a
    # stop closes.
    site = open_site(idle_timeout=60.0)
    idle = [test_closing.open_idle_connection(site) for _ in range(3)]
    site.advance(60.0)
    run_counts = site.server.closings.counts
    assert run_counts == {("idle_limit", "idle"): 3}
    idle += [test_closing.open_idle_connection(site) for _ in range(3)]
    assert site.server.close_one_idle()
    site.server.begin_stop()
    assert run_counts[("evicted", "idle")] == 1
    assert run_counts[("stop", "idle")] == 2
    late = site.connect()
    site.run_until(lambda: site.server.open_count)
    site.server.end_listening()
    assert site.server.end_input()
    assert run_counts[("process_end", "idle")] == 1
    assert written == []
    for caller in (*idle, late):
        caller.close()


def test_refused_request_is_counted_with_its_reason(written):
    site = open_site(header_timeout=20.0)
    caller = site.connect()
    caller.sendall(b"GET /now HTTP/1.1\r\n")
    site.run_until(lambda: site.server.find_next_due() == 20.0)
    site.advance(20.0)
    assert b"408" in site.read(caller, b"}}")
    caller.close()
    run_until_counted(site, "request_timeout", "answered")
    assert written == []


def test_response_that_announced_the_close_is_counted_as_answered(written):
    site = open_site()
    caller = site.connect()
    caller.sendall(b"GET /now HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
    assert site.read(caller, b"end").endswith(b"now")
    run_until_counted(site, "answered", "answered")
    assert written == []


def test_unsent_response_that_is_given_up_leaves_a_record(written):
    # Guards against a complete response that is truncated without a line.
    site = open_site(header_timeout=20.0)
    caller, call = begin_call(site)
    call.close_after_response()
    call.respond(200, b"x" * (1 << 24))
    site.run_until(lambda: site.server.find_next_due() == 20.0)
    site.advance(20.0)
    run_until_counted(site, "send_limit", "unsent")
    assert len(written) == 1
    assert is_record(written[0], "send_limit", "unsent", 20.0)
    caller.close()


def test_caller_that_sends_too_much_leaves_a_record(written):
    site = open_site(max_body_bytes=1000, max_header_bytes=1000)
    caller, _ = begin_call(site)
    caller.sendall(b"x" * 3000)
    run_until_counted(site, "too_many_bytes", "waiting")
    assert is_record(written[0], "too_many_bytes", "waiting", 0.0, "7")
    caller.close()


def test_failed_send_is_recorded_as_a_failed_connection(written):
    # Guards against a response whose connection fails while it is sent, and
    # which the counters would show as answered.
    site = open_site()
    caller, call = begin_call(site)
    call.begin(200)
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, AT_ONCE)
    caller.close()
    call.write(b"some")
    run_until_counted(site, "connection_failed", "begun")
    assert is_record(written[0], "connection_failed", "begun", 0.0, "7")


def test_closings_are_a_metric_by_channel_reason_and_state(written):
    site = open_site(idle_timeout=60.0)
    caller = test_closing.open_idle_connection(site)
    site.advance(60.0)
    counted = transport.count_closings([site.server.closings])
    text = metrics.format_metrics([metrics.create_closings_counter(counted)])
    assert text.splitlines()[-1] == (
        b'sycamorefall_connections_closed_total{channel="web",'
        b'reason="idle_limit",state="idle"} 1.0'
    )
    assert written == []
    caller.close()
