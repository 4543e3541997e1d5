"""Tests of router processes with simulated store and upstreams."""

import concurrent.futures
import contextlib
import http.client
import re
import signal
import socket
import time
import urllib.request

import pytest

from standins import site as site_module
from sycamorefall.platform.tests.router_client import (
    LONG_STARTED,
    parse_event_data,
    read_metric,
    send_request,
    store_configuration,
)


def test_each_caller_gets_its_own_complete_response(site):
    # Guards against responses that are mixed up, truncated or unsigned when 50
    # requests of all kinds are sent by 16 concurrent callers.
    for name in ("e1", "e2"):
        site.add_upstream(name, "engine", slots=32)
    site.add_upstream("l1", "ledger")
    router = site.add_router()

    def call_once(number):
        if number % 2:
            path = ("/draft/x?y=1", "/answer/x")[number % 4 // 2]
            request, status, response_headers, response_body = send_request(
                router, path, prompt=True
            )
            events = [f"{request}/{n}".encode() for n in range(1, 6)]
            return (
                status,
                "server-stamp" in response_headers,
                parse_event_data(response_body),
                events,
            )
        path = ("/look/a%2Fb?c=d", "/book/z")[number % 4 // 2]
        body = b"x" * number if "book" in path else b""
        request, status, response_headers, response_body = send_request(
            router, path, "", body=body
        )
        expected = f"{path} {request} {len(body)}".encode()
        return (
            status,
            "server-stamp" in response_headers,
            response_body,
            expected,
        )

    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        for status, signed, response_body, expected in pool.map(
            call_once, range(50)
        ):
            assert (status, signed, response_body) == (200, True, expected)


def test_reserved_headers_of_callers_are_not_forwarded(site):
    # Guards against a caller that sets the team or instructions to engines
    # itself, to be served as another team or before all others.
    engine = site.add_upstream("e1", "engine")
    router = site.add_router()
    forged = {
        "Tenant": "trader",
        "Expect-Instance": "other",
        "Hold": "1",
        "Pin-Ms": "9000",
        "Kv-From": "10.0.0.1:1/a",
        "Kv-Backup": "10.0.0.1:1",
        "Kv-Fetch": "10.0.0.1:1",
        "Connection": "X-Secret",
        "X-Secret": "s",
        "X-Kept": "k",
    }
    request, status, _, _ = send_request(
        router, "/draft/x", prompt=True, **forged
    )
    assert status == 200
    ((ran, headers),) = engine.runs
    assert ran == request
    assert headers["tenant"] == "mill"
    assert headers["expect-instance"] == "e1"
    assert headers["x-kept"] == "k"
    assert headers["host"] == "site.example"
    assert 2000 < int(headers["request-deadline-ms"]) <= 3000
    hidden = {"hold", "pin-ms", "kv-from", "kv-backup", "credential"}
    assert not (hidden | {"x-secret", "kv-fetch"}) & headers.keys()


def test_engine_is_told_where_to_fetch_a_part(site):
    # Guards against an engine that processes a shared part of a prompt although
    # another engine has it cached, because the request to the engine doesn't
    # name the address to fetch from.
    engines = [site.add_upstream(name, "engine") for name in ("e1", "e2")]
    router = site.add_router()
    usage = {"Token-Usage": "1000,5", "Prompt-Prefix": "a:900,b:100"}
    for _ in range(2):
        assert send_request(router, "/draft/x", prompt=True, **usage)[1] == 200
    sends = [headers for engine in engines for _, headers in engine.runs]
    addresses = {f"127.0.0.1:{engine.port}" for engine in engines}
    assert sends[0]["kv-fetch"] in addresses
    assert "kv-fetch" not in sends[1], (
        "the engine has the part from the first request"
    )


def test_configuration_change_takes_effect_within_two_seconds(site):
    # Operators revoke an API key and add a route. Both must take effect within
    # two seconds without a restart.
    site.add_upstream("e1", "engine")
    router = site.add_router()
    assert send_request(router, "/draft/x", prompt=True)[1] == 200
    assert (
        send_request(router, "/draft/x", key="unknown", prompt=True)[1] == 401
    )
    assert send_request(router, "/nowhere/x", prompt=True)[1] == 404
    extra = site_module.build_route("nowhere", "streaming", "engine")
    routes = [*site_module.STANDARD_ROUTES, extra]
    store_configuration(site, 9, {"trader": ["k-trader"]}, routes)
    changed_at = time.monotonic()
    site_module.wait_until(
        lambda: send_request(router, "/draft/x", prompt=True)[1] == 401, 2.0
    )
    assert (
        send_request(router, "/nowhere/x", key="k-trader", prompt=True)[1]
        == 200
    )
    assert time.monotonic() - changed_at < 2.0


def test_change_is_seen_without_watch_events_or_history(site):
    # Guards against a router that relies on the platform's watches alone. They
    # deliver no events while a key is revoked, and the store discards its
    # history.
    site.add_upstream("e1", "engine")
    router = site.add_router()
    site.store.suppress_events = True
    store_configuration(site, 9, {"trader": ["k-trader"]})
    site.store.discard_history()
    site_module.wait_until(
        lambda: send_request(router, "/draft/x", prompt=True)[1] == 401, 2.0
    )


def test_change_is_seen_without_watch_events(site):
    # The platform's watches stay open without an event although a key was
    # revoked. The key must not be accepted until such a watch returns.
    site.add_upstream("e1", "engine")
    router = site.add_router()
    site.store.suppress_events = True
    store_configuration(site, 9, {"trader": ["k-trader"]})
    site_module.wait_until(
        lambda: send_request(router, "/draft/x", prompt=True)[1] == 401, 2.0
    )


def test_routers_of_a_failure_domain_share_their_reads(site):
    # Each call of the platform has a cost, so two of four routers read it and
    # inform the others. A key that is revoked just after both readers were
    # killed must be refused by the others within two seconds.
    site.add_upstream("e1", "engine")
    first = site.add_router("front-a-1")
    seeds = f"[peers]\naddresses = 127.0.0.1:{first.control}\n"
    routers = [first] + [
        site.add_router(f"front-a-{n}", extra_settings=seeds) for n in (2, 3, 4)
    ]
    site_module.wait_until(lambda: read_router_counts(routers) == {4})
    time.sleep(1.0)  # Until the readers have been chosen.
    before = sum(site.store.read_counts.values())
    time.sleep(3.0)
    assert sum(site.store.read_counts.values()) - before <= 9
    for router in routers[:2]:
        router.process.kill()
    store_configuration(site, 9, {"trader": ["k-trader"]})
    changed_at = time.monotonic()
    for router in routers[2:]:
        site_module.wait_until(
            lambda router=router: (
                send_request(router, "/draft/x", prompt=True)[1] == 401
            )
        )
    assert time.monotonic() - changed_at < 2.0


def read_router_counts(routers):
    """Returns the router counts in the metrics of these routers, as a set.

    A router counts those that it receives heartbeats from, and itself.
    """
    return {read_metric(router, "routers") for router in routers}


def test_invalid_documents_are_logged_and_last_valid_ones_stay(site):
    # An operator's tool writes invalid documents. Requests must still succeed,
    # and the log must name the documents.
    site.add_upstream("e1", "engine")
    router = site.add_router()
    site.store.put("op/config", {"Version": "nine"})
    site.store.put("servers/e9", {"Service": "engine", "Address": "nowhere"})
    log = site.folder / "front-a-1.log"
    site_module.wait_until(
        lambda: log.read_text().count("platform.refused") == 2
    )
    assert "op/config" in log.read_text()
    assert send_request(router, "/draft/x", prompt=True)[1] == 200


def test_keys_expire_but_public_routes_work_without_the_platform(site):
    # The platform is unavailable. Requests of public routes must still succeed.
    # Requests with keys must be refused within five seconds, because their keys
    # may have been revoked.
    site.add_upstream("e1", "engine")
    site.add_upstream("l1", "ledger")
    router = site.add_router()
    site.store.unavailable = True
    unavailable_since = time.monotonic()
    assert send_request(router, "/draft/x", prompt=True)[1] == 200
    site_module.wait_until(
        lambda: send_request(router, "/draft/x", prompt=True)[1] == 503, 5.0
    )
    assert time.monotonic() - unavailable_since < 5.0
    assert not site_module.is_ready(router)
    assert send_request(router, "/book/x", "", body=b"b")[1] == 200
    site.store.unavailable = False
    site_module.wait_until(
        lambda: send_request(router, "/draft/x", prompt=True)[1] == 200
    )


def test_refused_request_runs_once_at_another_upstream(site):
    # One of two ledgers refuses all requests. Each booking must run exactly
    # once, at the other ledger.
    refusing = site.add_upstream("l1", "ledger")
    other = site.add_upstream("l2", "ledger")
    refusing.refuse = True
    router = site.add_router(extra_settings=LONG_STARTED)
    responses = [
        send_request(router, "/book/x", "", body=b"b") for _ in range(12)
    ]
    assert {status for _, status, _, _ in responses} == {200}
    assert not refusing.runs
    assert sorted(ran for ran, _ in other.runs) == sorted(
        request for request, _, _, _ in responses
    )


def test_request_for_the_old_incarnation_runs_elsewhere(site):
    # A ledger restarted as a new incarnation while the store still lists the
    # old one. All bookings must run at the other ledger. At most the first may
    # be sent to the old entry, where it is refused.
    old = site.add_upstream("l1", "ledger")
    other = site.add_upstream("l2", "ledger")
    router = site.add_router(extra_settings=LONG_STARTED)
    old.name = "l1-restarted"
    responses = [
        send_request(router, "/book/x", "", body=b"b") for _ in range(8)
    ]
    assert {status for _, status, _, _ in responses} == {200}
    assert not old.runs
    assert len(other.runs) == 8


def test_stream_of_crashed_engine_resumes_or_ends_after_an_event(site):
    # An engine crashes inside an event. A resumable stream must continue at the
    # other engine, so that the caller gets each event once. Any other stream
    # must be aborted after its last complete event, so that no client takes the
    # response for complete.
    engines = [site.add_upstream(f"e{n}", "engine") for n in (1, 2)]
    router = site.add_router(extra_settings=LONG_STARTED)
    used = send_request(router, "/answer/x", prompt=True)
    assert used[1] == 200
    (crashing,) = [engine for engine in engines if engine.runs]
    crashing.truncate_after = 2
    request, status, _, response_body = send_request(
        router, "/answer/x", prompt=True
    )
    assert status == 200
    expected = [f"{request}/{n}".encode() for n in range(1, 6)]
    assert parse_event_data(response_body) == expected
    for engine in engines:
        engine.truncate_after = 2
    with pytest.raises(http.client.IncompleteRead) as broken:
        send_request(router, "/draft/x", prompt=True)
    assert broken.value.partial.endswith(b"\n\n")


def test_duplicate_response_reaches_no_other_caller(site):
    # A ledger sends each response twice. The duplicate must not reach the next
    # caller whose request uses the connection.
    ledger = site.add_upstream("l1", "ledger")
    ledger.send_twice = True
    router = site.add_router()
    for _ in range(20):
        request, status, _, response_body = send_request(router, "/look/x", "")
        assert (status, response_body) == (200, f"/look/x {request} 0".encode())


def test_late_duplicate_response_is_skipped(site):
    # A ledger sends the previous response again where the response to the
    # current request is expected. The caller must get its own response.
    ledger = site.add_upstream("l1", "ledger")
    ledger.repeat_previous = True
    router = site.add_router()
    for _ in range(5):
        request, status, _, response_body = send_request(router, "/look/x", "")
        assert (status, response_body) == (200, f"/look/x {request} 0".encode())
    assert ledger.repeat_count


def test_disconnected_caller_ends_its_run(site):
    # A caller closes its connection before it gets a response. The request to
    # the upstream must be aborted within half a second, so that the upstream
    # stops working on it.
    ledger = site.add_upstream("l1", "ledger")
    ledger.hang = True
    router = site.add_router()
    with socket.create_connection(("127.0.0.1", router.data)) as caller:
        caller.sendall(
            b"POST /book/x HTTP/1.1\r\nHost: site.example\r\n"
            b"Attempt-Id: 77\r\nRequest-Deadline-Ms: 3000\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        site_module.wait_until(lambda: ledger.runs)
    site_module.wait_until(lambda: ledger.cancelled == ["77"], 0.5)


def test_hanging_upstream_is_reported_at_the_route_timeout(site):
    # A ledger never responds to a booking. At the route's timeout the caller
    # must get status 504 (the outcome is unknown), and the booking must not be
    # sent to the other ledger.
    ledgers = [site.add_upstream(f"l{n}", "ledger") for n in (1, 2)]
    for ledger in ledgers:
        ledger.hang = True
    slow = site_module.build_route(
        "book", "unsafe", "ledger", Public=True, TimeoutMs=600
    )
    store_configuration(site, 9, routes=[slow])
    router = site.add_router()
    sent_at = time.monotonic()
    _, status, _, _ = send_request(router, "/book/x", "", body=b"b")
    assert status == 504
    assert 0.5 < time.monotonic() - sent_at < 1.1
    assert sum(len(ledger.runs) for ledger in ledgers) == 1


def test_planned_stop_finishes_streams_and_accepts_late_connections(site):
    # A router is stopped while it forwards a stream. The stream must be
    # completed, callers that the load balancer still sends must be served, and
    # the process must exit with status 0.
    engine = site.add_upstream("e1", "engine")
    engine.event_interval = 0.3
    router = site.add_router()
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        running = pool.submit(send_request, router, "/draft/x", prompt=True)
        site_module.wait_until(lambda: engine.runs)
        router.process.send_signal(signal.SIGTERM)
        site_module.wait_until(lambda: not site_module.is_ready(router), 1.0)
        engine.event_interval = 0.0
        assert send_request(router, "/draft/x", prompt=True)[1] == 200
        request, status, _, response_body = running.result()
    assert (status, len(parse_event_data(response_body))) == (200, 5)
    assert router.process.wait(8) == 0


def test_late_callers_of_a_stopping_router_are_answered(site):
    # The load balancer is slow to notice that a busy router stops and still
    # sends callers after 3 s. The router had stopped listening by then, and
    # connections with requests that had just arrived were closed. A request
    # that can end before the process exits must be served. Any other must be
    # refused immediately with 503 and a Retry-After delay.
    for name, service in (("e1", "engine"), ("l1", "ledger")):
        site.add_upstream(name, service)
    router = site.add_router(extra_settings="[bounds]\ngrace = 6\n")
    router.process.send_signal(signal.SIGTERM)
    began, responses = time.monotonic(), []
    with contextlib.suppress(ConnectionError):
        while True:
            long = send_request(router, "/draft/x", prompt=True)
            short = send_request(
                router, "/book/x", "", time_left_ms=500, body=b"b"
            )
            responses.append((time.monotonic() - began, long, short))
    assert responses[-1][0] > 3.8
    refused = [long for _, long, _ in responses if long[1] != 200]
    assert {status for _, status, _, _ in refused} == {503}
    assert {
        response_headers["retry-after"] for _, _, response_headers, _ in refused
    } == {"0.1"}
    assert {short[1] for _, _, short in responses} == {200}
    assert router.process.wait(8) == 0


def test_sighup_with_changed_settings_interrupts_no_request(site):
    # The settings file becomes invalid and SIGHUP is sent. A stream in progress
    # and later requests must succeed, and the log must report the file.
    engine = site.add_upstream("e1", "engine")
    engine.event_interval = 0.1
    router = site.add_router()
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        running = pool.submit(send_request, router, "/draft/x", prompt=True)
        site_module.wait_until(lambda: engine.runs)
        router.settings.write_text("[vm]\nname = ?\n")
        router.process.send_signal(signal.SIGHUP)
        assert running.result()[1] == 200
    log = site.folder / "front-a-1.log"
    site_module.wait_until(lambda: "settings.refused" in log.read_text())
    assert send_request(router, "/draft/x", prompt=True)[1] == 200


def test_killed_router_is_ready_again_within_three_seconds(site):
    # The only router is killed and restarted without any stored state. It must
    # serve callers within three seconds.
    site.add_upstream("e1", "engine")
    router = site.add_router()
    router.process.kill()
    began = time.monotonic()
    again = site.add_router("front-a-1")
    assert time.monotonic() - began < 3.0
    assert send_request(again, "/draft/x", prompt=True)[1] == 200


def test_metrics_show_requests_by_team(site):
    # The metrics must show answered requests by service, the time to the first
    # token by team, and the age of the configuration.
    site.add_upstream("e1", "engine")
    router = site.add_router()
    send_request(router, "/draft/x", prompt=True)
    send_request(router, "/draft/x", key="unknown", prompt=True)
    url = f"http://127.0.0.1:{router.operators}/metrics"
    with urllib.request.urlopen(url, timeout=2) as response:
        text = response.read().decode()
    assert re.search(
        r'requests_total\{result="answered",service="engine"\} 1', text
    ) or re.search(
        r'requests_total\{service="engine",result="answered"\} 1', text
    )
    assert 'first_token_seconds_count{service="engine",team="mill"}' in text
    age = re.search(r"\nsycamorefall_configuration_age_seconds (\S+)", text)
    assert 0 <= float(age[1]) < 3


def test_frozen_router_serves_only_callers_that_still_wait(site):
    # A router's VM is frozen, and its callers disconnect and send their
    # requests elsewhere. Once the VM resumes, the router must not send those
    # requests to upstreams, but must serve new ones. It reads the old requests
    # before the end of their connections, and those that may use an idle
    # connection to the upstream (GET) reached the upstream at once.
    ledger = site.add_upstream("l1", "ledger")
    router = site.add_router()
    kept, _, _, _ = send_request(router, "/look/x", "")
    router.process.send_signal(signal.SIGSTOP)
    for number, line in enumerate(("GET /look/x", "POST /book/x") * 2):
        with socket.create_connection(("127.0.0.1", router.data)) as caller:
            caller.sendall(
                f"{line} HTTP/1.1\r\nHost: site.example\r\n"
                f"Attempt-Id: gone{number}\r\nRequest-Deadline-Ms: 300\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
    router.process.send_signal(signal.SIGCONT)
    request, status, _, _ = send_request(router, "/book/x", "", body=b"b")
    assert status == 200
    assert [ran for ran, _ in ledger.runs] == [kept, request]
