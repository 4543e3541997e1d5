"""Reads of the platform by a router whose passes of the loop take long.

Loop, timers, client and reader are real; the test sets the clock and answers as
the store.
"""

import contextlib
import itertools
import socket
import threading
import types

from circuits.core import events, pollers
import pytest

from sycamorefall import settings, transport
from sycamorefall.direct import daemon as daemon_module
from sycamorefall.direct import (
    read_schedule,
    readers,
    relay,
    replicator,
    timers,
)
from sycamorefall.direct.tests import fakes
from sycamorefall.platform import store

BODY = b'{"Items":[],"CurrentRev":9,"MorePages":false}'
ANSWER = (
    b"HTTP/1.1 200 OK\r\nstore-era: 1\r\nContent-Length: %d\r\n\r\n" % len(BODY)
) + BODY
PASSES = 30
MAX_LATE_PASSES = 4
"""Passes that a read on a new connection may take beside its timeout: one to
connect, the one in which the timeout ends, and two by which input defers the
timers."""


class LateRouter:
    """A router without other routers, and its store.

    A connection is established in the pass after the one that opened it, as a
    round trip takes longer than the time from the timers to the poll.
    """

    def __init__(self, monkeypatch):
        self.now = 100.0
        monkeypatch.setattr(transport, "read_clock", self.read_clock)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.connections = []
        self.loop = transport.create_loop(
            lambda _: None, read_clock=self.read_clock
        )
        self.poller = next(
            part
            for part in self.loop.components
            if isinstance(part, pollers.BasePoller)
        )
        self.dispatch = self.poller.dispatch_ready
        monkeypatch.setattr(self.poller, "dispatch_ready", self.dispatch_later)
        self.client = transport.HttpClient(
            self.poller, self.read_clock, daemon_module.CONNECT_TIMEOUT
        ).register(self.loop)
        self.daemon = self.create_daemon()
        self.daemon.ticker = transport.Ticker(
            lambda: timers.find_next_due(self.daemon),
            lambda now: timers.run(self.daemon, now, lambda *_: None),
            self.read_clock,
        ).register(self.loop)
        self.loop._running = True
        self.loop._executing_thread = threading.current_thread()
        self.loop.fire(events.started(self.loop))

    def create_daemon(self):
        state = fakes.create_state(self.now)
        control = types.SimpleNamespace(
            retain_peers=lambda _: None, send_all=lambda *_: None
        )
        daemon = daemon_module.Daemon(
            types.SimpleNamespace(vm=types.SimpleNamespace(name="front-1")),
            state,
            self.loop,
            self.client,
            relay.Proxy(state, self.client, None),
            types.SimpleNamespace(flush=lambda: None),
            [],
            control,
            fakes.create_exchange(),
            1,
            next_division_at=float("inf"),
        )
        daemon.replicator = replicator.create_replicator(
            readers.ReaderSelection("front-1", "a"),
            1,
            "127.0.0.1:1",
            (),
            lambda: {"a": ["front-1"]},
            daemon.send_message,
            daemon.handle_proof,
            daemon.handle_settling,
        )
        address = settings.Address(*self.listener.getsockname())
        daemon.replicator.source = store.StoreReader(address, daemon)
        return daemon

    def read_clock(self):
        return self.now

    def dispatch_later(self, ready):
        opened = {
            sock.fileno()
            for sock, exchange in self.client._connecting.items()
            if exchange.connect_started_at == self.now
        }
        self.dispatch([one for one in ready if one[0] not in opened])

    def answer(self):
        with contextlib.suppress(BlockingIOError):
            for _ in itertools.count():
                sock, _ = self.listener.accept()
                sock.setblocking(False)
                self.connections.append(sock)
        for sock in self.connections:
            with contextlib.suppress(BlockingIOError, ConnectionError):
                if sock.recv(1 << 16):
                    sock.sendall(ANSWER)

    def run_pass(self, seconds):
        self.loop.tick(0)
        self.answer()
        self.now += seconds

    def close(self):
        for sock in [self.listener, *self.connections]:
            sock.close()


@pytest.fixture
def router(monkeypatch):
    made = LateRouter(monkeypatch)
    yield made
    made.close()


@pytest.mark.parametrize("pass_time", [0.05, 0.36, 0.45, 0.8])
def test_reads_of_a_late_router_succeed(router, pass_time):
    # Guards against a busy router that takes its own lateness for silence of
    # the platform: it gave up each read whose answer lay unread in the kernel,
    # and only other routers could tell it which upstreams leave.
    for _ in range(PASSES):
        router.run_pass(pass_time)
    results = {result for _, result in router.daemon.replicator.reads}
    assert results == {"answered"}


@pytest.mark.parametrize("pass_time", [0.05, 0.36, 0.8])
def test_late_router_gives_up_a_silent_platform(router, pass_time):
    # Guards against a busy router that waits forever for a platform which
    # accepts its connection and doesn't answer.
    router.answer = lambda: None
    schedule = router.daemon.replicator.replica.read_schedule
    while schedule.read is None:
        router.run_pass(pass_time)
    while not router.daemon.replicator.reads:
        assert router.now - schedule.sent_at <= (
            read_schedule.READ_TIMEOUT + MAX_LATE_PASSES * pass_time
        )
        router.run_pass(pass_time)
    assert set(router.daemon.replicator.reads) == {("snapshot", "failed")}
