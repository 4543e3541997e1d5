"""The real program against a store and upstreams that speak the wire."""

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
    parse_event_data,
    send_request,
    store_configuration,
)


def test_each_caller_gets_its_own_whole_answer(site):
    # Fifty callers at once, of all kinds; each must get the answer to its
    # own request, whole and with the upstream's signature.
    for name in ("e1", "e2"):
        site.add_upstream(name, "engine", slots=32)
    site.add_upstream("l1", "ledger")
    router = site.add_router()

    def call_once(number):
        if number % 2:
            path = ("/draft/x?y=1", "/answer/x")[number % 4 // 2]
            request, status, found, answer = send_request(
                router, path, prompt=True
            )
            events = [f"{request}/{n}".encode() for n in range(1, 6)]
            return (
                status,
                "server-stamp" in found,
                parse_event_data(answer),
                events,
            )
        path = ("/look/a%2Fb?c=d", "/book/z")[number % 4 // 2]
        body = b"x" * number if "book" in path else b""
        request, status, found, answer = send_request(
            router, path, "", body=body
        )
        right = f"{path} {request} {len(body)}".encode()
        return status, "server-stamp" in found, answer, right

    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        for status, signed, answer, right in pool.map(call_once, range(50)):
            assert (status, signed, answer) == (200, True, right)


def test_headers_that_only_the_system_sets_never_pass(site):
    # A caller forges the team and the engine's instructions to be served as
    # another team, or ahead of all others.
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
    # An engine reads a paper that its neighbour holds. Cause: the send does
    # not name the neighbour.
    engines = [site.add_upstream(name, "engine") for name in ("e1", "e2")]
    router = site.add_router()
    usage = {"Token-Usage": "1000,5", "Prompt-Prefix": "a:900,b:100"}
    for _ in range(2):
        assert send_request(router, "/draft/x", prompt=True, **usage)[1] == 200
    sends = [headers for engine in engines for _, headers in engine.runs]
    addresses = {f"127.0.0.1:{engine.port}" for engine in engines}
    assert sends[0]["kv-fetch"] in addresses
    assert "kv-fetch" not in sends[1], "it was sent the part by then"


def test_key_and_route_are_judged_by_the_newest_configuration(site):
    # Operators take a key away, and add a route: both must be in force
    # within two seconds, without any process being restarted.
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
    asked = time.monotonic()
    site_module.wait_until(
        lambda: send_request(router, "/draft/x", prompt=True)[1] == 401, 2.0
    )
    assert (
        send_request(router, "/nowhere/x", key="k-trader", prompt=True)[1]
        == 200
    )
    assert time.monotonic() - asked < 2.0


def test_change_is_seen_though_watches_are_deaf(site):
    # The platform's watches hear nothing while a key is taken away, and its
    # history is dropped. Cause guarded against: trust in the watch alone.
    site.add_upstream("e1", "engine")
    router = site.add_router()
    site.store.suppress_events = True
    store_configuration(site, 9, {"trader": ["k-trader"]})
    site.store.discard_history()
    site_module.wait_until(
        lambda: send_request(router, "/draft/x", prompt=True)[1] == 401, 2.0
    )


def test_change_is_seen_though_watches_say_nothing(site):
    # The platform's watches wait on as if nothing had changed, though a key
    # was taken away. Its holder must not go on for as long as a watch waits.
    site.add_upstream("e1", "engine")
    router = site.add_router()
    site.store.suppress_events = True
    store_configuration(site, 9, {"trader": ["k-trader"]})
    site_module.wait_until(
        lambda: send_request(router, "/draft/x", prompt=True)[1] == 401, 2.0
    )


def test_routers_of_a_failure_domain_read_for_each_other(site):
    # Each call of the platform is paid for. Of four routers two read, and the
    # others are told: also of a key that is taken away, and also once the two
    # were killed.
    site.add_upstream("e1", "engine")
    first = site.add_router("front-a-1")
    seeds = f"[peers]\naddresses = 127.0.0.1:{first.control}\n"
    routers = [first] + [
        site.add_router(f"front-a-{n}", extra_settings=seeds) for n in (2, 3, 4)
    ]
    site_module.wait_until(lambda: read_router_counts(routers) == {4})
    time.sleep(1.0)  # Until the readers are settled.
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
    """Counts the routers that each router hears, itself included."""
    counts = set()
    for router in routers:
        url = f"http://127.0.0.1:{router.operators}/metrics"
        with urllib.request.urlopen(url, timeout=2) as answer:
            text = answer.read().decode()
        found = re.search(r"^sycamorefall_routers (\S+)$", text, re.M)
        counts.add(int(float(found[1])))
    return counts


def test_bad_documents_are_told_and_the_last_good_ones_stay(site):
    # An operator's tool writes nonsense. Callers must notice nothing, and
    # the log must say which document and why.
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


def test_keys_end_while_the_platform_is_away_and_open_routes_stay(site):
    # The platform is down. Orders without keys go on; requests with keys
    # are refused, truthfully, once a key might have been taken away.
    site.add_upstream("e1", "engine")
    site.add_upstream("l1", "ledger")
    router = site.add_router()
    site.store.unavailable = True
    unavailable = time.monotonic()
    assert send_request(router, "/draft/x", prompt=True)[1] == 200
    site_module.wait_until(
        lambda: send_request(router, "/draft/x", prompt=True)[1] == 503, 5.0
    )
    assert time.monotonic() - unavailable < 5.0
    assert not site_module.is_ready(router)
    assert send_request(router, "/book/x", "", body=b"b")[1] == 200
    site.store.unavailable = False
    site_module.wait_until(
        lambda: send_request(router, "/draft/x", prompt=True)[1] == 200
    )


def test_refused_booking_goes_to_another_upstream_and_runs_once(site):
    # One of two ledgers refuses everything. Each booking must run, once.
    refusing = site.add_upstream("l1", "ledger")
    other = site.add_upstream("l2", "ledger")
    refusing.refuse = True
    router = site.add_router()
    answers = [
        send_request(router, "/book/x", "", body=b"b") for _ in range(12)
    ]
    assert {status for _, status, _, _ in answers} == {200}
    assert not refusing.runs
    assert sorted(ran for ran, _ in other.runs) == sorted(
        request for request, _, _, _ in answers
    )


def test_restarted_upstream_is_not_taken_for_the_old_one(site):
    # A ledger restarted; its old entry is still listed. Bookings must run at
    # the other ledger, and only the first one may try the old entry.
    old = site.add_upstream("l1", "ledger")
    other = site.add_upstream("l2", "ledger")
    router = site.add_router()
    old.name = "l1-restarted"
    answers = [send_request(router, "/book/x", "", body=b"b") for _ in range(8)]
    assert {status for _, status, _, _ in answers} == {200}
    assert not old.runs
    assert len(other.runs) == 8


def test_crashed_engine_leaves_whole_events_and_answers_go_on(site):
    # An engine crashes inside an event. A resumable answer goes on at the
    # other engine and the caller gets each event once; any other breaks off
    # so that no client takes it for whole.
    engines = [site.add_upstream(f"e{n}", "engine") for n in (1, 2)]
    router = site.add_router()
    used = send_request(router, "/answer/x", prompt=True)
    assert used[1] == 200
    (crashing,) = [engine for engine in engines if engine.runs]
    crashing.truncate_after = 2
    request, status, _, answer = send_request(router, "/answer/x", prompt=True)
    assert status == 200
    right = [f"{request}/{n}".encode() for n in range(1, 6)]
    assert parse_event_data(answer) == right
    for engine in engines:
        engine.truncate_after = 2
    with pytest.raises(http.client.IncompleteRead) as broken:
        send_request(router, "/draft/x", prompt=True)
    assert broken.value.partial.endswith(b"\n\n")


def test_second_answer_belongs_to_nobody(site):
    # A ledger answers a request twice. The next caller on that connection
    # must not get the first one's answer.
    ledger = site.add_upstream("l1", "ledger")
    ledger.extra = True
    router = site.add_router()
    for _ in range(20):
        request, status, _, answer = send_request(router, "/look/x", "")
        assert (status, answer) == (200, f"/look/x {request} 0".encode())


def test_answer_that_comes_twice_and_late_is_skipped(site):
    # A ledger sends an answer again where the answer to the next request is
    # expected. The next caller must get its own, not the earlier one's.
    ledger = site.add_upstream("l1", "ledger")
    ledger.repeat_previous = True
    router = site.add_router()
    for _ in range(5):
        request, status, _, answer = send_request(router, "/look/x", "")
        assert (status, answer) == (200, f"/look/x {request} 0".encode())
    assert ledger.repeat_count


def test_caller_that_leaves_ends_its_run(site):
    # A caller closes its connection before its answer. The upstream must
    # see that within half a second, or it works for nobody.
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


def test_hanging_upstream_is_answered_at_the_route_s_timeout(site):
    # A ledger never answers a booking. The caller hears at the route's
    # timeout that nobody knows, and nothing runs twice.
    ledgers = [site.add_upstream(f"l{n}", "ledger") for n in (1, 2)]
    for ledger in ledgers:
        ledger.hang = True
    slow = site_module.build_route(
        "book", "unsafe", "ledger", Public=True, TimeoutMs=600
    )
    store_configuration(site, 9, routes=[slow])
    router = site.add_router()
    asked = time.monotonic()
    _, status, _, _ = send_request(router, "/book/x", "", body=b"b")
    assert status == 504
    assert 0.5 < time.monotonic() - asked < 1.1
    assert sum(len(ledger.runs) for ledger in ledgers) == 1


def test_planned_stop_finishes_streams_and_takes_late_connections(site):
    # A router is stopped while it streams an answer. The answer must come
    # whole; callers that the balancer still sends are served; and the
    # process ends by itself.
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
        request, status, _, answer = running.result()
    assert (status, len(parse_event_data(answer))) == (200, 5)
    assert router.process.wait(8) == 0


def test_callers_that_come_late_to_a_stopping_router_are_answered(site):
    # The balancer learns slowly that a busy router stops and still sends
    # callers after 3 s. Nobody listened any more, and requests that had just
    # arrived were closed. Each is to be served if it ends before the process,
    # and else told at once that it has not run and when to come back.
    for name, service in (("e1", "engine"), ("l1", "ledger")):
        site.add_upstream(name, service)
    router = site.add_router(extra_settings="[bounds]\ngrace = 6\n")
    router.process.send_signal(signal.SIGTERM)
    began, answers = time.monotonic(), []
    with contextlib.suppress(ConnectionError):
        while True:
            long = send_request(router, "/draft/x", prompt=True)
            short = send_request(router, "/book/x", "", left=500, body=b"b")
            answers.append((time.monotonic() - began, long, short))
    assert answers[-1][0] > 3.8
    refused = [long for _, long, _ in answers if long[1] != 200]
    assert {status for _, status, _, _ in refused} == {503}
    assert {found["retry-after"] for _, _, found, _ in refused} == {"0.1"}
    assert {short[1] for _, _, short in answers} == {200}
    assert router.process.wait(8) == 0


def test_changed_settings_and_sighup_cut_nothing(site):
    # Settings change and SIGHUP comes, with a bad file too. Callers must
    # notice nothing; the log must say what is wrong with the file.
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


def test_killed_router_is_ready_again_at_once(site):
    # Everything is killed and starts with nothing. Callers must be served
    # within seconds.
    site.add_upstream("e1", "engine")
    router = site.add_router()
    router.process.kill()
    began = time.monotonic()
    again = site.add_router("front-a-1")
    assert time.monotonic() - began < 3.0
    assert send_request(again, "/draft/x", prompt=True)[1] == 200


def test_metrics_show_requests_by_team(site):
    # An engineer on call asks how many requests of a team were answered, and
    # how old the configuration is.
    site.add_upstream("e1", "engine")
    router = site.add_router()
    send_request(router, "/draft/x", prompt=True)
    send_request(router, "/draft/x", key="unknown", prompt=True)
    url = f"http://127.0.0.1:{router.operators}/metrics"
    with urllib.request.urlopen(url, timeout=2) as answer:
        text = answer.read().decode()
    assert re.search(
        r'requests_total\{result="answered",service="engine"\} 1', text
    ) or re.search(
        r'requests_total\{service="engine",result="answered"\} 1', text
    )
    assert 'first_token_seconds_count{service="engine",team="mill"}' in text
    age = re.search(r"\nsycamorefall_configuration_age_seconds (\S+)", text)
    assert 0 <= float(age[1]) < 3


def test_frozen_router_serves_only_callers_that_still_wait(site):
    # A VM freezes for seconds. Its callers give up and ask elsewhere; awake
    # again, it must not work or book for them, and must serve those that come
    # then. Their requests are read before the end of their connections, and
    # those that may use a kept connection reach the upstream at once.
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
