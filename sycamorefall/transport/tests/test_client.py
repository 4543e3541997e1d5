"""The HTTP client's connections, seen from the server that it asks."""

import contextlib
import errno
import socket
import threading

from circuits.core import events, pollers
import pytest

from sycamorefall import settings, transport
from sycamorefall.transport import client as client_module

TURNS = 3000
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class Upstream:
    """A server that answers each request and closes nothing by itself.

    Attributes:
        connections: Those that are open.
        address: Where it answers.
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
                    sock.sendall(ANSWER)
                else:
                    self.connections.remove(sock)
                    sock.close()

    def close(self):
        for sock in [self._listening, *self.connections]:
            sock.close()


class Site:
    """A client and an upstream, by a clock that the test sets."""

    def __init__(self):
        self.now = 0.0
        self.answers = 0
        self.upstream = Upstream()
        self.loop = transport.create_loop(lambda: None)
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

    def turn_until(self, check):
        for _ in range(TURNS):
            self.loop.tick(0.001)
            self.upstream.run()
            if check():
                return
        raise AssertionError("the condition never came")

    def take_answer(self):
        self.answers += 1

    def ask(self, requires_new_connection, max_idle_connections=None):
        before = self.answers
        self.send(requires_new_connection, max_idle_connections)
        self.turn_until(lambda: self.answers > before)

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
            on_end=self.take_answer,
            on_failure=lambda stage: pytest.fail(stage.value),
        )
        self.client.send(request, listener)


@pytest.fixture
def site():
    created = Site()
    yield created
    created.upstream.close()


def test_new_connections_do_not_pile_up_at_an_upstream(site):
    # Bookings go over new connections, as they may not be repeated. Each one
    # stayed open after its answer and nobody used it again, so after nine
    # seconds of a calm day an upstream had as many as it bears. It reset the
    # next ones, and their callers learned that nobody can tell what became
    # of their bookings.
    for _ in range(20):
        site.ask(requires_new_connection=True)
    site.turn_until(lambda: len(site.upstream.connections) <= 1)
    site.ask(requires_new_connection=False)
    assert len(site.upstream.connections) == 1, "the kept one is used"


def test_connection_that_is_no_more_used_is_closed(site):
    # A crowd of requests leaves a connection each. They were looked at only
    # when the next request came, newest first, so the others stayed open for
    # as long as the upstream bore them, and took the place of new ones.
    site.ask(requires_new_connection=False)
    site.now = client_module.IDLE_TIME
    site.client.expire(site.now)
    site.turn_until(lambda: not site.upstream.connections)


def test_client_keeps_no_more_connections_than_it_may(site):
    # An upstream takes a bounded number of connections of all routers and
    # resets the rest. Each router kept as many as it liked, so together they
    # filled the bound, and new ones were reset with an unknown outcome.
    for _ in range(6):
        site.send(requires_new_connection=False, max_idle_connections=2)
    site.turn_until(lambda: site.answers == 6)
    site.turn_until(lambda: len(site.upstream.connections) == 2)
    for _ in range(3):
        site.ask(requires_new_connection=True, max_idle_connections=2)
    site.turn_until(lambda: len(site.upstream.connections) == 2)
    site.ask(requires_new_connection=False, max_idle_connections=0)
    site.turn_until(lambda: len(site.upstream.connections) == 1)


def check_reachable(site, address=None):
    found = []
    site.client.check_reachable(address or site.upstream.address, found.append)
    assert not found
    return found


def test_check_distinguishes_live_from_terminated_processes(site):
    # Guards against missing a crash, and against reporting one for a live
    # process.
    found = check_reachable(site)
    site.turn_until(lambda: found)
    assert found == [transport.Reachability.ACCEPTED]
    with socket.create_server(("127.0.0.1", 0)) as gone:
        address = settings.Address(*gone.getsockname())
    found = check_reachable(site, address)
    site.turn_until(lambda: found)
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
    site.turn_until(lambda: found)
    assert found == [transport.Reachability.UNKNOWN]
