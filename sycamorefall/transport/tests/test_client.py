"""Connections that the client keeps."""

import socket

from circuits.core import pollers

from sycamorefall import settings, transport
from sycamorefall.transport.tests import test_server

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Upstream:
    """A listening socket, and the connections that it took."""

    def __init__(self):
        self.listening = socket.create_server(("127.0.0.1", 0))
        self.listening.setblocking(False)
        address, port = self.listening.getsockname()
        self.address = settings.Address(address, port)
        self.taken = []

    def take(self):
        """Takes the connection that was made; tells whether there is one."""
        try:
            sock, _ = self.listening.accept()
        except BlockingIOError:
            return False
        self.taken.append(sock)
        return True

    def count_open(self):
        return sum(not is_closed(sock) for sock in self.taken)


def is_closed(sock):
    sock.setblocking(False)
    try:
        return sock.recv(1, socket.MSG_PEEK) == b""
    except BlockingIOError:
        return False


def create_client(site):
    poller = next(
        part
        for part in site.loop.components
        if isinstance(part, pollers.BasePoller)
    )
    client = transport.HttpClient(poller, lambda: site.now)
    return client.register(site.loop)


def send(client, upstream, ended, keep):
    request = transport.OutgoingRequest(
        upstream.address, "GET", "/", fresh=True, keep=keep
    )
    listener = transport.Listener(
        on_head=lambda *_: None,
        on_data=lambda _: None,
        on_end=lambda: ended.append("whole"),
        on_failure=ended.append,
    )
    client.send(request, listener)


def test_client_keeps_no_more_connections_than_it_may():
    # An upstream takes a bounded number of connections and resets the rest.
    # Requests that may not be sent twice each open one, and each was kept
    # afterwards: idle ones of many routers filled the bound, and bookings on
    # new connections were reset with an unknown outcome.
    site, upstream, ended = test_server.Site(), Upstream(), []
    client = create_client(site)
    for number in range(6):
        send(client, upstream, ended, keep=2)
        site.turn_until(upstream.take)
        site.turn_until(lambda: upstream.taken[-1].recv(1 << 16))
        upstream.taken[-1].sendall(ANSWER)
        site.turn_until(lambda number=number: len(ended) > number)
    assert ended == ["whole"] * 6
    site.turn_until(lambda: upstream.count_open() == 2)
