"""The poller reports ready sockets after any sequence of registrations."""

import contextlib
import select
import socket
import threading

import circuits
from circuits.core import events
from hypothesis import given
from hypothesis import strategies as st
import pytest

from standins import fleet
from sycamorefall import settings
from sycamorefall.transport import poller

PAIRS = 3
CHANGES = {
    "addReader": {"_read"},
    "addWriter": {"_write"},
    "removeReader": {"_read"},
    "removeWriter": {"_write"},
    "discard": {"_read", "_write"},
    "close": {"_read", "_write"},
}
"""Methods of a poller, and the events that each starts or stops."""


class Recorder(poller.ConnectionPoller):
    """A poller that records events instead of firing them."""

    def __init__(self):
        super().__init__()
        self.fired = []

    def fire(self, event, *channels):
        self.fired.append((event.name, *event.args))

    def poll(self):
        """Returns names and sockets of the events that are ready now."""
        self.fired.clear()
        for number, event in self._poller.poll(0):
            self._process(number, event)
        return set(self.fired)


@pytest.fixture
def watched():
    """A poller, and sockets with one byte of unread input."""
    with contextlib.ExitStack() as stack:
        pairs = [socket.socketpair() for _ in range(PAIRS)]
        for ours, theirs in pairs:
            stack.enter_context(ours)
            stack.enter_context(theirs)
            theirs.send(b"x")
        recorder = Recorder()
        stack.callback(recorder._poller.close)
        yield recorder, [ours for ours, _ in pairs], stack


def change(recorder, sock, name):
    if name == "close":
        recorder.discard(sock)
        sock.close()
    elif name.startswith("add"):
        getattr(recorder, name)(recorder, sock)
    else:
        getattr(recorder, name)(sock)


@given(
    changes=st.lists(
        st.tuples(st.integers(0, PAIRS - 1), st.sampled_from(list(CHANGES))),
        max_size=20,
    )
)
def test_events_are_the_registered_ones(changes):
    """The kernel polls each socket for exactly the registered events.

    Guards against requests that hang because their socket is not polled, and
    against a busy loop because a socket is polled for too much. The poller
    stores what the kernel polls for; the two must agree after any changes.
    """
    with contextlib.ExitStack() as stack:
        pairs = [socket.socketpair() for _ in range(PAIRS)]
        recorder = Recorder()
        stack.callback(recorder._poller.close)
        for ours, theirs in pairs:
            stack.enter_context(ours)
            stack.enter_context(theirs)
            theirs.send(b"x")
        wanted = set()
        for index, name in changes:
            sock = pairs[index][0]
            if sock.fileno() < 0:
                continue
            change(recorder, sock, name)
            events = {(kind, sock) for kind in CHANGES[name]}
            wanted = (
                wanted | events if name.startswith("add") else wanted - events
            )
            assert recorder.poll() == wanted
        known = {one for _, one in wanted}
        assert set(recorder._targets) == known
        assert set(recorder._masks) == known | {recorder._ctrl_recv}
        assert set(recorder._map.values()) == known | {recorder._ctrl_recv}


def test_descriptor_of_a_closed_socket_can_be_reused(watched):
    """Guards against mixing up two sockets with the same file descriptor.

    A connection is closed before the poller is informed, and the next
    connection gets its descriptor. Discarding the closed socket afterwards must
    not end the polling of the new one.
    """
    recorder, (first, *_), stack = watched
    recorder.addReader(recorder, first)
    number = first.fileno()
    first.close()
    ours, theirs = (stack.enter_context(one) for one in socket.socketpair())
    if ours.fileno() != number:
        ours, theirs = theirs, ours
    assert ours.fileno() == number
    recorder.addReader(recorder, ours)
    recorder.discard(first)
    theirs.send(b"y")
    assert recorder.poll() == {("_read", ours)}


def test_failed_connection_is_reported_once_and_forgotten(watched):
    recorder, (failed, *_), _ = watched
    recorder.addReader(recorder, failed)
    recorder._process(failed.fileno(), select.EPOLLHUP)
    assert recorder.fired == [("_disconnect", failed)]
    assert recorder.poll() == set()
    recorder.discard(failed)
    recorder.addReader(recorder, failed)
    assert recorder.poll() == {("_read", failed)}


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 5))))
def test_ordered_set_equals_a_list_without_duplicates(steps):
    members, plain = poller.OrderedSet(), []
    for adding, number in steps:
        if adding:
            members.append(number)
            plain += [number] if number not in plain else []
        elif number in plain:
            members.remove(number)
            plain.remove(number)
        else:
            with pytest.raises(ValueError, match="no member"):
                members.remove(number)
        assert members[:] == list(members) == plain
        assert len(members) == len(plain)
        assert all((one in members) == (one in plain) for one in range(6))


def test_close_queue_drops_a_connection_closed_at_once():
    """Guards against a memory leak by callers that receive no responses.

    A close waits until the caller has received all bytes. When its time limit
    expires first, the connection is closed at once, and the server must remove
    it from its close queue.
    """
    (port,) = fleet.reserve_ports(1)
    loop = circuits.BaseComponent()
    poller.ConnectionPoller().register(loop)
    address = settings.Address("127.0.0.1", port)
    server = poller.create_server(address, "web").register(loop)
    loop._running = True
    loop._executing_thread = threading.current_thread()
    loop.fire(events.started(loop))
    with socket.create_connection(address.pair):
        for _ in range(100):
            loop.tick(0.001)
            if len(server._clients):
                break
        (accepted,) = server._clients
        server.write(accepted, b"never taken")
        server.close(accepted)
        assert list(server._closeq) == [accepted]
        server._close(accepted)
    assert not len(server._closeq)
    assert not len(server._clients)
    server._close(server._sock)
