"""The `explain` command finds the cause of a failed request in the logs."""

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
    site_module.wait_until(lambda: has_final_record(logs, request))
    paths = [str(path) for path in logs]
    assert command.main(["explain", request, *paths]) == 0
    return capsys.readouterr().out


def has_final_record(logs, request):
    """Returns whether a log has the request and a record with a result."""
    texts = [path.read_text() for path in logs]
    return any(request in text and '"result"' in text for text in texts)


def try_stream(router, path):
    """Requests a stream; returns the request's id, None if it is truncated."""
    try:
        return send_request(router, path, prompt=True)[0]
    except http.client.IncompleteRead:
        return None


def send_and_disconnect(router, path, request="00000000deadbeef"):
    """Sends a request, disconnects immediately and returns the request's id."""
    head = (
        f"GET {path} HTTP/1.1\r\nHost: site.example\r\n"
        f"Attempt-Id: {request}\r\n\r\n"
    )
    with socket.create_connection(("127.0.0.1", router.data)) as caller:
        caller.sendall(head.encode())
    return request


def test_three_failed_requests_are_explained_by_their_ids(site, capsys):
    # The cause of each kind of failure must be found from the logs alone: a
    # refused request, one whose outcome is unknown, and a truncated response.
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
        router, "/book/x", "", time_left_ms=400, body=b"b"
    )
    assert status == 504
    text = explain(site, unknown, capsys)
    assert "its time was over before an answer came" in text
    assert "sent 1 times, last to l1" in text

    engine.truncate_after = 2
    site_module.wait_until(lambda: try_stream(router, "/draft/x") is None)
    broken = engine.runs[-1][0]
    text = explain(site, broken, capsys)
    assert "its answer was broken off after it had begun" in text
    assert "last to e1" in text


def test_request_that_was_read_too_late_is_explained(site, capsys):
    # A caller disconnects while the router is frozen. Once it resumes, the
    # router reads the request but doesn't begin it. Without a log record of
    # that, no log would mention the request.
    site.add_upstream("e1", "engine")
    router = site.add_router()
    router.process.send_signal(signal.SIGSTOP)
    request = send_and_disconnect(router, "/draft/x")
    router.process.send_signal(signal.SIGCONT)
    text = explain(site, request, capsys)
    assert "not begun: its caller had left when it was read" in text


def test_refusal_is_explained_by_the_unavailable_platform(site, capsys):
    # The store is unavailable for longer than API keys may be accepted without
    # a check. The explanation of the refusal must state that reason.
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


def test_request_that_is_in_no_log_is_reported(site, capsys):
    # The log of the router that received the request is not among those given.
    site.add_upstream("e1", "engine")
    site.add_router()
    logs = [str(path) for path in site.folder.glob("*.log")]
    assert command.main(["explain", "feed", *logs]) == command.EXIT_REFUSED
    assert "no log has the request 'feed'" in capsys.readouterr().err


@pytest.mark.parametrize("path", ["missing.log"])
def test_unreadable_log_is_reported(path, capsys):
    # A mistyped file name must not be reported as a request that is in no log.
    assert command.main(["explain", "1", path]) == command.EXIT_REFUSED
    assert path in capsys.readouterr().err


def test_lost_connection_is_logged_with_the_fingerprint(site):
    # Guards against logs in which crashes can't be correlated with a request
    # that a caller repeats, since each repetition has a different id.
    engine = site.add_upstream("e1", "engine")
    engine.truncate_after = 2
    router = site.add_router()
    for path in ("/draft/x", "/draft/x", "/draft/y"):
        assert try_stream(router, path) is None
    log = site.folder / "front-a-1.log"
    site_module.wait_until(lambda: len(list_fingerprints(log)) == 3)
    first, second, other = list_fingerprints(log)
    assert first == second != other


def list_fingerprints(log):
    lines = log.read_text().splitlines()
    ends = [line for line in lines if "request.attempt_ended" in line]
    return [
        re.search('"fingerprint": ?"([0-9a-f]{32})"', line)[1] for line in ends
    ]
