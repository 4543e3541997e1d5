"""Connections of the HTTP client, as seen by the server."""

import contextlib
import errno
import socket
import threading

from circuits.core import events, pollers
import pytest

from sycamorefall import settings, transport
from sycamorefall.transport import client as client_module

MAX_PASSES = 3000
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class Upstream:
    """A server that responds to each request and never closes a connection.

    Attributes:
        connections: Sockets of the open connections.
        address: Address at which it listens.
    """

    def __init__(self):
        self._listening = socket.create_server(("127.0.0.1", 0))
        self._listening.setblocking(False)
        self.connections: list[socket.socket] = []
        self.address = settings.Address(*self._listening.getsockname())

    def run(self):
        with contextlib.suppress(BlockingIOError):
            sock, _ = self._listening.accept()
            sock.setblocking(False)
            self.connections.append(sock)
        for sock in list(self.connections):
            with contextlib.suppress(BlockingIOError):
                if sock.recv(1 << 16):
                    sock.sendall(RESPONSE)
                else:
                    self.connections.remove(sock)
                    sock.close()

    def close(self):
        for sock in [self._listening, *self.connections]:
            sock.close()


class Site:
    """A client and an upstream, with a clock that the test sets."""

    def __init__(self):
        self.now = 0.0
        self.response_count = 0
        self.upstream = Upstream()
        self.loop = transport.create_loop(lambda _: None)
        poller = next(
            part
            for part in self.loop.components
            if isinstance(part, pollers.BasePoller)
        )
        self.client = transport.HttpClient(poller, lambda: self.now)
        self.client.register(self.loop)
        self.loop._running = True
        self.loop._executing_thread = threading.current_thread()
        self.loop.fire(events.started(self.loop))

    def run_until(self, check):
        for _ in range(MAX_PASSES):
            self.loop.tick(0.001)
            self.upstream.run()
            if check():
                return
        raise AssertionError("the condition was never met")

    def count_response(self):
        self.response_count += 1

    def send_and_wait(self, requires_new_connection, max_idle_connections=None):
        before = self.response_count
        self.send(requires_new_connection, max_idle_connections)
        self.run_until(lambda: self.response_count > before)

    def send(self, requires_new_connection, max_idle_connections=None):
        request = transport.OutgoingRequest(
            self.upstream.address,
            "POST",
            "/x",
            requires_new_connection=requires_new_connection,
            max_idle_connections=max_idle_connections,
        )
        listener = transport.Listener(
            on_head=lambda *_: None,
            on_data=lambda _: None,
            on_end=self.count_response,
            on_failure=lambda stage: pytest.fail(stage.value),
        )
        self.client.send(request, listener)


@pytest.fixture
def site():
    created = Site()
    yield created
    created.upstream.close()


def test_new_connections_do_not_accumulate_at_an_upstream(site):
    # Guards against idle connections that accumulate at an upstream. Bookings
    # use new connections, as they may not be repeated. Each connection stayed
    # open unused after the response, so after nine seconds of little load an
    # upstream had reached its connection limit. It reset the next connections,
    # and the outcome of the bookings on them was unknown.
    for _ in range(20):
        site.send_and_wait(requires_new_connection=True)
    site.run_until(lambda: len(site.upstream.connections) <= 1)
    site.send_and_wait(requires_new_connection=False)
    assert len(site.upstream.connections) == 1, "the kept connection is reused"


def test_expired_idle_connection_is_closed(site):
    # Guards against expired idle connections that stay open. A burst of
    # requests leaves one connection each. They were checked only when the next
    # request came, newest first, so the others stayed open and counted towards
    # the upstream's connection limit.
    site.send_and_wait(requires_new_connection=False)
    site.now = client_module.MAX_IDLE_TIME
    site.client.expire(site.now)
    site.run_until(lambda: not site.upstream.connections)


def test_client_respects_its_idle_connection_limit(site):
    # Guards against routers that together exceed an upstream's connection limit
    # with idle connections. Each router kept any number of them, so the
    # upstream reset new connections and the outcome of their requests was
    # unknown.
    for _ in range(6):
        site.send(requires_new_connection=False, max_idle_connections=2)
    site.run_until(lambda: site.response_count == 6)
    site.run_until(lambda: len(site.upstream.connections) == 2)
    for _ in range(3):
        site.send_and_wait(requires_new_connection=True, max_idle_connections=2)
    site.run_until(lambda: len(site.upstream.connections) == 2)
    site.send_and_wait(requires_new_connection=False, max_idle_connections=0)
    site.run_until(lambda: len(site.upstream.connections) == 1)


def check_reachable(site, address=None):
    found = []
    site.client.check_reachable(address or site.upstream.address, found.append)
    assert not found
    return found


def test_check_distinguishes_live_from_terminated_processes(site):
    # Guards against missing a crash, and against reporting one for a live
    # process.
    found = check_reachable(site)
    site.run_until(lambda: found)
    assert found == [transport.Reachability.ACCEPTED]
    with socket.create_server(("127.0.0.1", 0)) as gone:
        address = settings.Address(*gone.getsockname())
    found = check_reachable(site, address)
    site.run_until(lambda: found)
    assert found == [transport.Reachability.REFUSED]
    assert site.client.find_next_due() == float("inf")


def test_unanswered_check_is_no_crash(site, monkeypatch):
    # Guards against reporting a crash after a network partition.
    monkeypatch.setattr(socket.socket, "connect_ex", lambda *_: 0)
    found = check_reachable(site)
    assert site.client.find_next_due() == client_module.CONNECT_TIMEOUT
    site.now = client_module.CONNECT_TIMEOUT
    site.client.expire(site.now)
    assert found == [transport.Reachability.UNKNOWN]
    assert site.client.find_next_due() == float("inf")


def test_unreachable_network_is_no_crash(site, monkeypatch):
    # Guards against reporting a crash if the router has no network route.
    unreachable = errno.ENETUNREACH
    monkeypatch.setattr(socket.socket, "connect_ex", lambda *_: unreachable)
    found = check_reachable(site)
    site.run_until(lambda: found)
    assert found == [transport.Reachability.UNKNOWN]


def test_response_to_another_request_without_end_is_given_up(site):
    # Guards against a connection that is read until the deadline, as a response
    # that belongs to an earlier request never ends.
    failures = []
    listener = transport.Listener(
        on_head=lambda *_: pytest.fail("a response to another request"),
        on_data=lambda _: pytest.fail("a response to another request"),
        on_end=lambda: pytest.fail("a response to another request"),
        on_failure=failures.append,
        is_matching_response=lambda _: False,
    )
    request = transport.OutgoingRequest(site.upstream.address, "GET", "/x")
    site.client.send(request, listener)
    site.run_until(lambda: site.upstream.connections)
    (sock,) = site.upstream.connections
    site.upstream.connections.clear()
    sock.setblocking(False)
    sock.sendall(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
    sent = 0
    while not failures:
        assert sent <= 2 * client_module.MAX_SKIPPED_BYTES
        with contextlib.suppress(BlockingIOError):
            sent += sock.send(b"x" * 65536)
        site.loop.tick(0.001)
    sock.close()
    assert failures == [transport.SendStage.SENT]
