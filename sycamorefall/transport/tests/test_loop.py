"""Timers of the loop and the input that came before they were due."""

import select
import socket
import threading

from circuits.core import events, pollers

from sycamorefall import settings, transport

FREEZE = 5.0
LIMIT = 0.5
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
MOST_PASSES = 2
"""Passes for which input may put off timers that are due."""


class Process:
    """A loop with a client and timers, by a clock that the test sets.

    What takes no time by this clock is a pass of an idle process; setting the
    clock on between two passes freezes it.
    """

    def __init__(self):
        self.now = 0.0
        self.due = float("inf")
        self.ran = []
        self.events = []
        self.loop = transport.create_loop(lambda: None, read_clock=self.read)
        self.poller = next(
            part
            for part in self.loop.components
            if isinstance(part, pollers.BasePoller)
        )
        self.client = transport.HttpClient(self.poller, self.read, LIMIT)
        self.client.register(self.loop)
        self.ticker = transport.Ticker(
            self.find_next_due, self.run_timers, self.read
        ).register(self.loop)
        # As `run` does, but the test keeps the thread and turns the loop.
        self.loop._running = True
        self.loop._executing_thread = threading.current_thread()
        self.loop.fire(events.started(self.loop))
        self.turn(4)

    def read(self):
        return self.now

    def find_next_due(self):
        return min(self.due, self.client.find_next_due())

    def run_timers(self, now):
        self.ran.append((now, self.ticker.late))
        self.client.expire(now)
        if now >= self.due:
            self.due = float("inf")
            self.events.append("limit")

    def turn(self, passes=1):
        for _ in range(passes):
            self.loop.tick(0)

    def turn_until(self, check):
        for _ in range(3000):
            self.loop.tick(0.001)
            if check():
                return
        raise AssertionError("the condition never came")

    def send(self, address):
        return self.client.send(
            transport.OutgoingRequest(address, "GET", "/"),
            transport.Listener(
                on_head=lambda status, _: self.events.append(status),
                on_data=self.events.append,
                on_end=lambda: self.events.append("end"),
                on_failure=self.events.append,
            ),
        )


def listen():
    listener = socket.create_server(("127.0.0.1", 0))
    return listener, settings.Address(*listener.getsockname())


def send_request(process):
    """Sends a request and gives the upstream's side of its connection."""
    listener, address = listen()
    exchange = process.send(address)
    upstream, _ = listener.accept()
    received = []

    def is_sent():
        if select.select([upstream], [], [], 0)[0]:
            received.append(upstream.recv(4096))
        return received

    process.turn_until(is_sent)
    return exchange, upstream


def test_answer_that_came_during_a_freeze_is_read_before_its_time_limit():
    # A VM is frozen while an upstream answers. Its clock went on, so the time
    # limit of the request is over as it wakes up. The timers ran first, and
    # the request was given up, or sent again, though its answer was there.
    process = Process()
    exchange, upstream = send_request(process)
    process.due = process.now + LIMIT
    process.turn()
    upstream.sendall(ANSWER)
    assert select.select([exchange.socket], [], [], 5)[0]
    process.now += FREEZE
    process.turn_until(lambda: "limit" in process.events)
    assert process.events == [200, b"ok", "end", "limit"]


def test_answer_that_came_during_a_long_pass_is_read_before_its_time_limit():
    # The same in a pass in which a timer is due also without the freeze: the
    # input was taken after that was due, and yet long before the timers run.
    process = Process()
    exchange, upstream = send_request(process)
    process.due = process.now
    upstream.sendall(ANSWER)
    assert select.select([exchange.socket], [], [], 5)[0]
    process.now += FREEZE
    process.turn_until(lambda: "limit" in process.events)
    assert process.events == [200, b"ok", "end", "limit"]


def test_connection_made_during_a_freeze_is_not_given_up():
    # A VM is frozen while an upstream takes its connection. The client gave
    # it up as it woke up, and the upstream was barred as not to be reached.
    process = Process()
    listener, address = listen()
    exchange = process.send(address)
    assert select.select([], [exchange.socket], [], 5)[1]
    process.now += FREEZE
    upstream, _ = listener.accept()
    process.turn_until(lambda: select.select([upstream], [], [], 0)[0])
    assert process.events == []


def test_connection_that_is_not_made_is_given_up():
    # An upstream takes no connections; the client must not wait for ever.
    process = Process()
    full = socket.create_server(("127.0.0.1", 0), backlog=0)
    address = settings.Address(*full.getsockname())
    others = [socket.socket() for _ in range(4)]
    for other in others:
        other.setblocking(False)
        other.connect_ex(address.pair)
    process.send(address)
    process.turn(4)
    process.now += LIMIT
    process.turn(1 + MOST_PASSES)
    assert process.events == [transport.SendStage.NOT_SENT]


def test_timers_run_however_much_input_comes():
    # A process gets more input than it can handle, and each pass of its loop
    # takes long. Its time limits must hold all the same.
    process = Process()
    here, there = socket.socketpair()
    there.sendall(b"x")
    process.poller.addReader(process.client, here)  # Never read: always ready.
    for _ in range(20):
        process.due = process.now
        for _ in range(1 + MOST_PASSES):
            process.now += FREEZE
            process.turn()
        assert process.due == float("inf")


def test_timers_tell_how_late_they_are_after_a_freeze():
    # Whether a process has too much to do is judged by how late its timers
    # are. Put off, they must not look as if they were in time.
    process = Process()
    process.due = process.now + LIMIT
    process.turn(2)
    process.now += FREEZE
    process.turn(1 + MOST_PASSES)
    ((_, late),) = process.ran
    assert late == FREEZE - LIMIT
    process.due = process.now + LIMIT
    process.turn(2)
    process.now += LIMIT
    process.turn(1 + MOST_PASSES)
    assert process.ran[-1][1] == 0.0
