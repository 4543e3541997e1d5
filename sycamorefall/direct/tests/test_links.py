"""Routers that find each other over real control links."""

import threading

from circuits.core import events, pollers

from standins import fleet
from sycamorefall import authentication, messages, settings, transport
from sycamorefall.direct import exchange
from sycamorefall.direct.tests import fakes

TURNS = 500


class Router:
    """A router's links and what it knows of the others, on a loop."""

    def __init__(self, loop, name, port, seeds):
        self.told = exchange.Exchange(name, f"127.0.0.1:{port}", seeds)
        self.state = fakes.create_state()
        self.links = transport.ControlLinks(
            self.told.control,
            lambda to: exchange.find_address(self.told, to),
            lambda envelope: exchange.handle_load(
                self.told, self.state, 0.0, envelope
            ),
            authentication.create_authenticator(
                name, settings.SecuritySettings()
            ),
            lambda envelope: exchange.record_unreadable_sender(
                self.told, 0.0, envelope
            ),
        ).register(loop)

    def tell(self, now):
        load = exchange.build_load_message(self.told, self.state, now)
        envelope = messages.Envelope(self.told.vm, 1, 1, load)
        self.links.send_all(exchange.list_addresses(self.told), envelope)


def test_router_is_heard_though_its_first_message_was_lost():
    # All VMs lose power and start again. A router's first message, which
    # defines its names, is lost; the other can't read any that follow, does
    # not know where to ask, and counts itself alone from then on.
    loop = transport.create_loop(lambda: None)
    poller = next(
        part for part in loop.components if isinstance(part, pollers.BasePoller)
    )
    first, second = fleet.find_ports(2)
    seeds = (f"127.0.0.1:{second}",)
    early = Router(loop, "front-2", second, ())
    late = Router(loop, "front-1", first, seeds)
    for router in (early, late):
        router.links.attach(poller)
    loop._running = True
    loop._executing_thread = threading.current_thread()
    loop.fire(events.started(loop))
    fakes.submit_request(late.state, 0.0, "draft", tokens=3000)
    for to in exchange.list_addresses(late.told):
        late.links._names.told[to] = (1 << 20) - 1  # As if told before.
    for turn in range(TURNS):
        if turn % 10 == 0:
            early.tell(early.told.own.due)
            late.tell(late.told.own.due)
        loop.tick(0.001)
        if early.state.routers == 2:
            break
    assert early.state.routers == 2
    loads = [one.others for one in early.state.table.by_name.values()]
    assert sum(load.running for load in loads) == 1
    for router in (early, late):
        router.links.close()


def test_routers_keep_half_of_an_upstreams_connections_together():
    # A plain service takes 100 connections of all routers. Each of 28 kept up
    # to 32 idle ones, so new ones were reset; bookings had an unknown outcome.
    state = fakes.create_state()
    _, sent = fakes.submit_request(state, 0.0, "book", team="")
    assert sent.keep == 50
    state.routers = 28
    _, sent = fakes.submit_request(state, 0.0, "book", team="")
    assert sent.keep == 1
    state.routers = 370
    _, sent = fakes.submit_request(state, 0.0, "look", team="")
    assert sent.keep == 0
