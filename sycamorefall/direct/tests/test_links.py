"""Router discovery over real control links; connection limits."""

import threading

from circuits.core import events, pollers

from standins import fleet
from sycamorefall import authentication, messages, settings, transport
from sycamorefall.direct import exchange
from sycamorefall.direct.tests import fakes

MAX_LOOP_PASSES = 500


class Router:
    """A router's control links and exchange, registered with an event loop."""

    def __init__(self, loop, name, port, seeds):
        self.load_exchange = exchange.Exchange(name, f"127.0.0.1:{port}", seeds)
        self.state = fakes.create_state()
        self.links = transport.ControlLinks(
            self.load_exchange.control,
            lambda to: exchange.find_address(self.load_exchange, to),
            lambda envelope: exchange.handle_load(
                self.load_exchange, self.state, 0.0, envelope
            ),
            authentication.create_authenticator(
                name, settings.SecuritySettings()
            ),
            lambda envelope: exchange.record_unreadable_sender(
                self.load_exchange, 0.0, envelope
            ),
        ).register(loop)

    def send_load(self, now):
        load = exchange.build_load_message(self.load_exchange, self.state, now)
        envelope = messages.Envelope(self.load_exchange.vm, 1, 1, load)
        self.links.send_all(
            exchange.list_addresses(self.load_exchange), envelope
        )


def test_router_is_discovered_although_its_first_message_was_lost():
    # After a power loss of all VMs, a router's first message, which defines its
    # names, is lost. Guards against a receiver that can't decode the following
    # messages, doesn't know where to request the definitions, and believes from
    # then on that it is alone.
    loop = transport.create_loop(lambda _: None)
    poller = next(
        part for part in loop.components if isinstance(part, pollers.BasePoller)
    )
    first, second = fleet.reserve_ports(2)
    seeds = (f"127.0.0.1:{second}",)
    early = Router(loop, "front-2", second, ())
    late = Router(loop, "front-1", first, seeds)
    for router in (early, late):
        router.links.attach(poller)
    loop._running = True
    loop._executing_thread = threading.current_thread()
    loop.fire(events.started(loop))
    fakes.submit_request(late.state, 0.0, "draft", tokens=3000)
    for to in exchange.list_addresses(late.load_exchange):
        late.links._names.defined_bits[to] = (1 << 20) - 1  # As if sent before.
    for turn in range(MAX_LOOP_PASSES):
        if turn % 10 == 0:
            early.send_load(early.load_exchange.own_group.due)
            late.send_load(late.load_exchange.own_group.due)
        loop.tick(0.001)
        if early.state.routers == 2:
            break
    assert early.state.routers == 2
    loads = [
        upstream.peer_load for upstream in early.state.table.by_name.values()
    ]
    assert sum(load.running for load in loads) == 1
    for router in (early, late):
        router.links.close()


def test_routers_together_keep_half_of_an_upstreams_connections():
    # A plain upstream accepts 100 connections from all routers together. Each
    # of 28 routers kept up to 32 idle ones, so new connections were reset and
    # bookings had an unknown outcome.
    state = fakes.create_state()
    _, sent = fakes.submit_request(state, 0.0, "book", team="")
    assert sent.max_idle_connections == 50
    state.routers = 28
    _, sent = fakes.submit_request(state, 0.0, "book", team="")
    assert sent.max_idle_connections == 1
    state.routers = 370
    _, sent = fakes.submit_request(state, 0.0, "look", team="")
    assert sent.max_idle_connections == 0
