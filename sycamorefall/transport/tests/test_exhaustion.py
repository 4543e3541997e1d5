"""The HTTP client of a process that has no descriptor left."""

import errno
import socket

import pytest

from sycamorefall import settings, transport
from sycamorefall.transport import client as client_module
from sycamorefall.transport.tests import test_client

KEPT_ANSWERS = 3


@pytest.fixture
def site():
    created = test_client.Site()
    yield created
    created.upstream.close()


def exhaust(monkeypatch, failures=None, error=errno.EMFILE):
    """Makes opening a socket fail, at most `failures` times if given."""
    opened = socket.socket
    counts = [0]

    def open_socket(*arguments, **options):
        # Sockets that are accepted are created with their descriptor.
        is_new = "fileno" not in options
        if is_new and (failures is None or counts[0] < failures):
            counts[0] += 1
            raise OSError(error, "a test error")
        return opened(*arguments, **options)

    monkeypatch.setattr(client_module.socket, "socket", open_socket)


def send(site, stages, requires_new_connection=True):
    listener = transport.Listener(
        on_head=lambda *_: None,
        on_data=lambda _: None,
        on_end=site.count_response,
        on_failure=stages.append,
    )
    request = transport.OutgoingRequest(
        site.upstream.address,
        "POST",
        "/x",
        requires_new_connection=requires_new_connection,
    )
    return site.client.send(request, listener)


@pytest.mark.parametrize("error", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS])
def test_unopened_connection_is_reported_later(site, monkeypatch, error):
    # Guards against an exception out of `send` for want of a descriptor, and
    # against a report from inside of it, on which the decisions would act in
    # the middle of another one.
    exhaust(monkeypatch, error=error)
    stages = []
    sent = [send(site, stages) for _ in range(3)]
    assert stages == []
    assert site.client.find_next_due() <= site.now
    site.client.abort(sent[1])
    site.client.pause(sent[2], True)
    site.client.expire(site.now)
    assert stages == [transport.SendStage.NOT_OPENED] * 2
    assert site.client.find_next_due() == float("inf")
    assert site.client.unopened == 3
    assert site.client.open_count == 0


def test_requests_sent_on_a_report_wait_for_the_next_pass(site, monkeypatch):
    # Guards against a tight loop: a request that is sent again on the report
    # of its failure fails again at once.
    exhaust(monkeypatch)
    stages = []

    class Retrying(list):
        def append(self, stage):
            stages.append(stage)
            send(site, self)

    send(site, Retrying())
    site.client.expire(site.now)
    assert len(stages) == 1


def test_report_that_raises_leaves_the_others(site, monkeypatch):
    # Guards against a listener that raises: the requests after it would never
    # be told that they weren't sent.
    exhaust(monkeypatch)
    stages = []

    class Raising(list):
        def append(self, _):
            raise RuntimeError("a test exception")

    send(site, Raising())
    send(site, stages)
    with pytest.raises(RuntimeError):
        site.client.expire(site.now)
    site.client.expire(site.now)
    assert stages == [transport.SendStage.NOT_OPENED]


def test_idle_connection_makes_room_for_a_new_one(site, monkeypatch):
    # Guards against idle connections that keep their descriptors while a
    # request can't be sent for want of one.
    for _ in range(KEPT_ANSWERS):
        send(site, [], requires_new_connection=False)
    site.run_until(lambda: site.response_count == KEPT_ANSWERS)
    assert site.client.open_count == KEPT_ANSWERS
    exhaust(monkeypatch, failures=1)
    stages = []
    send(site, stages)
    site.run_until(lambda: site.response_count == KEPT_ANSWERS + 1)
    assert stages == []
    assert site.client.unopened == 0


def test_other_connections_are_closed_when_none_of_its_own_is_idle(
    site, monkeypatch
):
    # Guards against a request that isn't sent although callers' connections
    # are idle.
    exhaust(monkeypatch, failures=1)
    freed = []
    site.client.free_descriptor = lambda: not freed.append(True)
    stages = []
    send(site, stages)
    site.run_until(lambda: site.response_count == 1)
    assert (freed, stages) == ([True], [])


def test_idle_connections_stay_within_the_limit(site):
    # Guards against idle connections to upstreams that fill what is left for
    # requests in progress.
    site.client.max_connections = 2
    for _ in range(4):
        send(site, [], requires_new_connection=False)
    assert site.client.open_count == 4, "requests in progress are not held"
    site.run_until(lambda: site.response_count == 4)
    assert site.client.open_count == 2
    send(site, [], requires_new_connection=True)
    site.run_until(lambda: site.response_count == 5)
    assert site.client.open_count <= 2


def test_check_without_a_descriptor_finds_nothing_out(site, monkeypatch):
    # Guards against a check of a suspected crash that raises, or that takes
    # its own lack of descriptors for a crash of the upstream.
    exhaust(monkeypatch)
    found = []
    site.client.check_reachable(site.upstream.address, found.append)
    assert found == []
    site.client.expire(site.now)
    assert found == [transport.Reachability.UNKNOWN]


def test_lack_of_ports_is_no_failure_of_the_upstream(site, monkeypatch):
    # Guards against an upstream that is taken for dead as this VM has no port
    # left for a connection.
    class Portless(socket.socket):
        def connect_ex(self, _):
            return errno.EADDRNOTAVAIL

    monkeypatch.setattr(client_module.socket, "socket", Portless)
    stages = []
    send(site, stages)
    site.client.expire(site.now)
    assert stages == [transport.SendStage.NOT_OPENED]
    assert site.client.open_count == 0


def test_request_that_cannot_be_written_opens_no_connection(site):
    # Guards against a connection that stays open for a request whose head
    # can't be formatted.
    request = transport.OutgoingRequest(
        settings.Address("127.0.0.1", 1), "GET", "/", (("a", "x\r\nb: y"),)
    )
    with pytest.raises(ValueError):
        site.client.send(request, None)
    assert site.client.open_count == 0
