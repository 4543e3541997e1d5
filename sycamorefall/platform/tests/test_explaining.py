"""From the id of a failed request to its cause, by the logs alone."""

import contextlib
import http.client
import re
import signal
import socket

import pytest

from standins import site as site_module
from sycamorefall import command
from sycamorefall.platform.tests.router_client import send_request


def explain(site, request, capsys):
    logs = sorted(site.folder.glob("*.log"))
    site_module.wait_until(lambda: has_end(logs, request))
    paths = [str(path) for path in logs]
    assert command.main(["explain", request, *paths]) == 0
    return capsys.readouterr().out


def has_end(logs, request):
    """Tells whether the logs have a request's first and last record."""
    texts = [path.read_text() for path in logs]
    return any(request in text and '"result"' in text for text in texts)


def ask_until_cut(router, path):
    """Asks for a stream that may be broken off; gives the request's id."""
    try:
        return send_request(router, path, prompt=True)[0]
    except http.client.IncompleteRead:
        return None


def send_and_leave(router, path, request="00000000deadbeef"):
    """Sends a whole request and closes at once; gives the request's id."""
    head = (
        f"GET {path} HTTP/1.1\r\nHost: site.example\r\n"
        f"Attempt-Id: {request}\r\n\r\n"
    )
    with socket.create_connection(("127.0.0.1", router.data)) as caller:
        caller.sendall(head.encode())
    return request


def test_three_failed_requests_are_explained_by_their_ids(site, capsys):
    # Three callers complain: one was refused, one got no answer that says
    # whether it ran, one got half an answer. On call there are only logs.
    engine = site.add_upstream("e1", "engine")
    ledger = site.add_upstream("l1", "ledger")
    router = site.add_router()

    engine.refuse = True
    refused, status, _, _ = send_request(router, "/draft/x", prompt=True)
    assert status == 503
    text = explain(site, refused, capsys)
    assert "cause: front-a-1.log: refused, it has not run" in text
    assert "1 unusable" in text
    assert "last to e1" in text

    engine.refuse, ledger.hang = False, True
    unknown, status, _, _ = send_request(
        router, "/book/x", "", left=400, body=b"b"
    )
    assert status == 504
    text = explain(site, unknown, capsys)
    assert "its time was over before an answer came" in text
    assert "sent 1 times, last to l1" in text

    engine.truncate_after = 2
    site_module.wait_until(lambda: ask_until_cut(router, "/draft/x") is None)
    broken = engine.runs[-1][0]
    text = explain(site, broken, capsys)
    assert "its answer was broken off after it had begun" in text
    assert "last to e1" in text


def test_request_that_was_read_too_late_is_explained(site, capsys):
    # A router freezes; a caller gives up meanwhile and closes. Awake again,
    # the router reads the request and doesn't begin it. Without a record of
    # that, the request had left no trace at all.
    site.add_upstream("e1", "engine")
    router = site.add_router()
    router.process.send_signal(signal.SIGSTOP)
    request = send_and_leave(router, "/draft/x")
    router.process.send_signal(signal.SIGCONT)
    text = explain(site, request, capsys)
    assert "not begun: its caller had left when it was read" in text


def test_refusal_is_explained_by_the_platform_that_was_away(site, capsys):
    # The store is away for longer than keys may be believed. The caller's
    # refusal must be shown beside the loss of the store.
    site.add_upstream("e1", "engine")
    router = site.add_router()
    site.store.unavailable = True
    status = 200
    with contextlib.suppress(AssertionError):
        while status == 200:
            request, status, _, _ = send_request(
                router, "/draft/x", prompt=True
            )
    assert status == 503
    text = explain(site, request, capsys)
    assert "could not prove that its configuration is the newest" in text


def test_request_of_another_process_is_named_as_missing(site, capsys):
    # The log of the router that had the request is not among those given.
    site.add_upstream("e1", "engine")
    site.add_router()
    logs = [str(path) for path in site.folder.glob("*.log")]
    assert command.main(["explain", "feed", *logs]) == command.EXIT_REFUSED
    assert "no log has the request 'feed'" in capsys.readouterr().err


@pytest.mark.parametrize("path", ["missing.log"])
def test_log_that_can_t_be_read_is_named(path, capsys):
    # A mistyped file name must not look like a request that left no trace.
    assert command.main(["explain", "1", path]) == command.EXIT_REFUSED
    assert path in capsys.readouterr().err


def test_lost_connection_is_logged_with_the_fingerprint(site):
    # Guards against logs that can't correlate crashes with a repeated request:
    # each attempt of a caller has a different id.
    engine = site.add_upstream("e1", "engine")
    engine.truncate_after = 2
    router = site.add_router()
    for path in ("/draft/x", "/draft/x", "/draft/y"):
        assert ask_until_cut(router, path) is None
    log = site.folder / "front-a-1.log"
    site_module.wait_until(lambda: len(find_fingerprints(log)) == 3)
    first, second, other = find_fingerprints(log)
    assert first == second != other


def find_fingerprints(log):
    lines = log.read_text().splitlines()
    ends = [line for line in lines if "request.attempt_ended" in line]
    return [
        re.search('"fingerprint": ?"([0-9a-f]{32})"', line)[1] for line in ends
    ]
