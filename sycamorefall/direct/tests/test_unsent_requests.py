"""Requests that wait for connections to upstreams that are to get none.

The router's client, loop and relay are real; the test runs the loop's passes.
"""

import contextlib
import math
import socket
import threading
import types

from circuits.core import events, pollers
import pytest
from returns import result

from sycamorefall import transport
from sycamorefall.direct import daemon as daemon_module
from sycamorefall.direct import dialects, relay
from sycamorefall.direct.tests import fakes

MAX_PASSES = 1000


class Router:
    """A router in front of two upstreams, one in each failure domain."""

    def __init__(self, route):
        self.sockets = {
            name: socket.create_server(("127.0.0.1", 0)) for name in "ab"
        }
        self.accepted = {name: [] for name in self.sockets}
        for sock in self.sockets.values():
            sock.setblocking(False)
        now = transport.read_clock()
        self.state = fakes.create_state(now, self.list_entries())
        self.loop = transport.create_loop(lambda _: None)
        poller = next(
            part
            for part in self.loop.components
            if isinstance(part, pollers.BasePoller)
        )
        client = transport.HttpClient(poller, transport.read_clock)
        client.register(self.loop)
        dialect = dialects.Dialect(
            read_request=lambda _: result.Success(fakes.create_request(route)),
            read_request_id=lambda _: "1",
            write_headers=lambda *_: (),
            is_matching_response=lambda *_: True,
            read_response_head=lambda *_: None,
        )
        self.proxy = relay.Proxy(self.state, client, dialect)
        vm = types.SimpleNamespace(list_failure_domains=lambda: ())
        self.daemon = daemon_module.Daemon(
            types.SimpleNamespace(vm=vm),
            self.state,
            self.loop,
            client,
            self.proxy,
            None,
            [],
            None,
            fakes.create_exchange(),
            1,
        )
        self.loop._running = True
        self.loop._executing_thread = threading.current_thread()
        self.loop.fire(events.started(self.loop))
        for _ in range(4):
            self.loop.tick(0)

    def close(self):
        for sock in self.sockets.values():
            sock.close()
        for sock in sum(self.accepted.values(), []):
            sock.close()

    def list_entries(self, leaving="", revision=1):
        return [
            fakes.create_upstream_entry(
                name,
                "ledger",
                sock.getsockname()[1],
                leaving=name == leaving,
                listed_revision=revision,
                failure_domain=name,
            )
            for name, sock in self.sockets.items()
        ]

    def handle_call(self):
        """Handles a call; returns the upstream to which it is to be sent."""
        call = types.SimpleNamespace(
            method="POST",
            target="/x",
            headers={},
            body=b"",
            arrived_after=math.inf,
            response_started=False,
        )
        relay.handle_call(self.proxy, call)
        (request,) = self.state.requests.values()
        return request.attempt.upstream

    def list_receivers(self):
        """Runs the loop until an upstream was sent a request; names these."""
        received = set()
        for _ in range(MAX_PASSES):
            self.loop.tick(0.001)
            for name, sock in self.sockets.items():
                with contextlib.suppress(BlockingIOError):
                    accepted, _ = sock.accept()
                    accepted.setblocking(False)
                    self.accepted[name].append(accepted)
                for one in self.accepted[name]:
                    with contextlib.suppress(BlockingIOError):
                        if one.recv(1 << 16):
                            received.add(name)
            if received:
                return received
        return received


@pytest.fixture
def create_router():
    with contextlib.ExitStack() as stack:

        def create(route):
            router = Router(route)
            stack.callback(router.close)
            return router

        yield create


def list_as_leaving(router, name):
    router.daemon.handle_listing(router.list_entries(leaving=name, revision=2))


def evacuate(router, name):
    router.daemon.handle_evacuated_domains({name})


@pytest.mark.parametrize("route", ["look", "book"])
@pytest.mark.parametrize("end_use", [list_as_leaving, evacuate])
def test_request_without_a_connection_is_withdrawn(
    create_router, route, end_use
):
    # Guards against a request that reaches an upstream after the router knew
    # that it leaves, or that its domain is evacuated: the request waited for
    # its connection, in a busy router for a whole pass of the loop.
    router = create_router(route)
    chosen = router.handle_call()
    end_use(router, chosen)
    assert router.list_receivers() == set("ab") - {chosen}


@pytest.mark.parametrize("route", ["look", "book"])
def test_request_without_a_connection_is_sent(create_router, route):
    # Guards against a listing that withdraws requests from upstreams that stay.
    router = create_router(route)
    chosen = router.handle_call()
    router.daemon.handle_listing(router.list_entries(revision=2))
    assert router.list_receivers() == {chosen}
