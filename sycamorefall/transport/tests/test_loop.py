"""Order of timers and of the input that arrived before they were due."""

import os
import select
import signal
import socket
import threading
import time

from circuits.core import events, pollers

from sycamorefall import settings, transport

FREEZE = 5.0
LIMIT = 0.5
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
KEPT_FOR_A_WHILE = b"\r\nKeep-Alive: timeout=8\r\n\r\n"
"""End of a head whose connection is kept for less than `FREEZE`."""

MAX_DEFERRED_PASSES = 2
"""Maximum passes of the loop by which input may defer timers that are due."""


class Process:
    """A loop with a client and timers, with a clock that the test sets.

    The clock doesn't advance during a pass of the loop. Setting it forward
    between two passes simulates a freeze of the process.
    """

    def __init__(self, on_signal=lambda _: None):
        self.now = 0.0
        self.due = float("inf")
        self.ran = []
        self.events = []
        self.loop = transport.create_loop(on_signal, read_clock=self.read)
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
        # Does what `run` does, but the test keeps the thread and runs the
        # passes.
        self.loop._running = True
        self.loop._executing_thread = threading.current_thread()
        self.loop.fire(events.started(self.loop))
        self.run_passes(4)

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

    def run_passes(self, passes=1):
        for _ in range(passes):
            self.loop.tick(0)

    def run_until(self, check):
        for _ in range(3000):
            self.loop.tick(0.001)
            if check():
                return
        raise AssertionError("the condition was never met")

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
    """Sends a request; returns the exchange and the upstream's socket."""
    listener, address = listen()
    exchange = process.send(address)
    upstream, _ = listener.accept()
    received = []

    def is_sent():
        if select.select([upstream], [], [], 0)[0]:
            received.append(upstream.recv(4096))
        return received

    process.run_until(is_sent)
    return exchange, upstream


def test_response_during_a_freeze_is_read_before_its_time_limit():
    # Guards against a timeout of a request whose response has arrived. A VM is
    # frozen while an upstream responds, and its clock runs on, so the request's
    # time limit is over when the VM resumes. The timers ran first, and the
    # request was given up or sent again.
    process = Process()
    exchange, upstream = send_request(process)
    process.due = process.now + LIMIT
    process.run_passes()
    upstream.sendall(RESPONSE)
    assert select.select([exchange.socket], [], [], 5)[0]
    process.now += FREEZE
    process.run_until(lambda: "limit" in process.events)
    assert process.events == [200, b"ok", "end", "limit"]


def test_response_during_a_long_pass_is_read_before_its_time_limit():
    # Guards against the same failure if a timer is due in the pass that was
    # frozen: the poller read input after the due time, but long before the
    # timers run.
    process = Process()
    exchange, upstream = send_request(process)
    process.due = process.now
    upstream.sendall(RESPONSE)
    assert select.select([exchange.socket], [], [], 5)[0]
    process.now += FREEZE
    process.run_until(lambda: "limit" in process.events)
    assert process.events == [200, b"ok", "end", "limit"]


def test_connection_that_was_idle_during_a_freeze_is_not_used_again():
    # The upstream closes a connection that is idle for a time. A client that
    # was late counted that time from when it read the response, and sent a
    # request that crossed the close.
    process = Process()
    exchange, upstream = send_request(process)
    process.run_passes()
    upstream.sendall(RESPONSE.replace(b"\r\n\r\n", KEPT_FOR_A_WHILE, 1))
    assert select.select([exchange.socket], [], [], 5)[0]
    process.now += FREEZE
    process.run_until(lambda: "end" in process.events)
    again = process.send(exchange.address)
    assert again.socket is not exchange.socket


def test_connection_established_during_a_freeze_is_not_given_up():
    # Guards against giving up a connection established during a freeze. The
    # client gave the connection up on resuming, and the upstream was suspended
    # as unreachable.
    process = Process()
    listener, address = listen()
    exchange = process.send(address)
    assert select.select([], [exchange.socket], [], 5)[1]
    process.now += FREEZE
    upstream, _ = listener.accept()
    process.run_until(lambda: select.select([upstream], [], [], 0)[0])
    assert process.events == []


def test_connection_attempt_times_out():
    # Guards against waiting forever for an upstream that accepts no
    # connections.
    process = Process()
    full = socket.create_server(("127.0.0.1", 0), backlog=0)
    address = settings.Address(*full.getsockname())
    others = [socket.socket() for _ in range(4)]
    for other in others:
        other.setblocking(False)
        other.connect_ex(address.pair)
    process.send(address)
    process.run_passes(4)
    process.now += LIMIT
    process.run_passes(1 + MAX_DEFERRED_PASSES)
    assert process.events == [transport.SendStage.NOT_SENT]


def test_timers_run_under_constant_input():
    # Guards against timers that never run in a process that gets more input
    # than it can handle, so that each pass of its loop takes long.
    process = Process()
    here, there = socket.socketpair()
    there.sendall(b"x")
    process.poller.addReader(process.client, here)  # Never read: always ready.
    for _ in range(20):
        process.due = process.now
        for _ in range(1 + MAX_DEFERRED_PASSES):
            process.now += FREEZE
            process.run_passes()
        assert process.due == float("inf")


def test_lateness_includes_a_freeze():
    # Guards against an overload that isn't detected: overload is detected from
    # the lateness of the timers, so deferred timers must not appear to be on
    # time.
    process = Process()
    process.due = process.now + LIMIT
    process.run_passes(2)
    process.now += FREEZE
    process.run_passes(1 + MAX_DEFERRED_PASSES)
    ((_, late),) = process.ran
    assert late == FREEZE - LIMIT
    process.due = process.now + LIMIT
    process.run_passes(2)
    process.now += LIMIT
    process.run_passes(1 + MAX_DEFERRED_PASSES)
    assert process.ran[-1][1] == 0.0


def test_input_that_arrived_in_a_long_pass_is_known_to_be_older():
    # Guards against a busy process that takes the time at which it handles
    # input for the time at which it arrived.
    process = Process()
    process.run_passes()
    process.now += 1.0  # The pass takes a second.
    process.run_passes()
    assert process.poller.unread_since == process.now - 1.0
    process.run_passes()
    assert process.poller.unread_since == process.now


def test_input_that_ends_a_wait_has_just_arrived():
    # Guards against input of an idle process that counts as old, as nothing was
    # read for as long as the process waited.
    process = Process()
    process.run_passes()
    poller, waited = process.poller, []

    class Waiting:
        def poll(self, timeout, max_events):
            if timeout:
                process.now += timeout
                waited.append(timeout)
            return []

    poller._poller, kernel = Waiting(), poller._poller
    process.loop.tick(0.5)
    poller._poller = kernel
    assert waited
    assert poller.unread_since == process.now


def test_input_of_a_process_that_stood_still_may_have_come_before():
    # A process that waits for input also does while its machine stands still.
    # What had come meanwhile counted as new when it went on.
    process = Process()
    process.run_passes()
    poller, began_at = process.poller, process.now

    class StandingStill:
        def poll(self, timeout, max_events):
            process.now += FREEZE if timeout else 0.0
            return []

    poller._poller, kernel = StandingStill(), poller._poller
    process.loop.tick(0.5)
    poller._poller = kernel
    assert poller.unread_since == began_at


def test_reload_that_raises_is_reported_by_the_loop():
    # A function called from a signal handler raises inside the code that the
    # signal interrupted, which may be the loop itself: the process ended.
    reported, called = [], []

    def reload():
        called.append(1)
        raise RuntimeError("odd settings")

    root = transport.create_loop(
        lambda _: None, reported.append, on_reload=reload
    )
    before = signal.getsignal(signal.SIGHUP)
    try:
        transport.install_signal_handlers(root)
        os.kill(os.getpid(), signal.SIGHUP)
        assert called == []
        for _ in range(4):
            root.tick()
    finally:
        signal.signal(signal.SIGHUP, before)
        signal.signal(signal.SIGTERM, signal.SIG_DFL)
        signal.signal(signal.SIGINT, signal.default_int_handler)
    assert called == [1]
    assert "odd settings" in "".join(reported)


def test_signal_that_a_late_process_handles_may_have_come_before():
    # A process that stood still handled a signal after it woke, and took that
    # for the time of the signal.
    told = []
    root = transport.create_loop(told.append)
    before = signal.getsignal(signal.SIGTERM)
    try:
        transport.install_signal_handlers(root)
        ran_at = transport.read_clock()
        time.sleep(0.05)
        os.kill(os.getpid(), signal.SIGTERM)
        for _ in range(4):
            root.tick(0)
    finally:
        signal.signal(signal.SIGTERM, before)
        signal.signal(signal.SIGHUP, signal.SIG_DFL)
        signal.signal(signal.SIGINT, signal.default_int_handler)
    assert told == [ran_at]


def test_signal_that_ends_a_wait_may_have_come_during_it():
    # The loop waits for input in the kernel, where a process also is while its
    # machine stands still.
    told = []
    root = transport.create_loop(told.append)
    before = signal.getsignal(signal.SIGTERM)
    interrupt = threading.Timer(
        0.1, lambda: os.kill(os.getpid(), signal.SIGTERM)
    )
    try:
        transport.install_signal_handlers(root)
        root._running = True
        root._executing_thread = threading.current_thread()
        waits_from = transport.read_clock()
        interrupt.start()
        while not told:
            root.tick(0.5)
    finally:
        signal.signal(signal.SIGTERM, before)
        signal.signal(signal.SIGHUP, signal.SIG_DFL)
        signal.signal(signal.SIGINT, signal.default_int_handler)
    assert waits_from <= told[0] <= transport.read_clock() - 0.05


def test_input_is_read_after_a_signal_that_came_before_it():
    # A process that stood still read the requests that had come meanwhile, and
    # accepted them, before it handled the signal that had come as well.
    order = []
    process = Process(lambda _: order.append("signal"))
    here, there = socket.socketpair()
    process.poller.addReader(process.client, here)
    process.poller.set_read_callback(
        here, lambda sock: order.append(sock.recv(1))
    )
    poller, kernel = process.poller, process.poller._poller

    class Interrupted:
        def poll(self, timeout, max_events):
            if timeout:
                there.sendall(b"x")
                process.loop._signal_handler(signal.SIGTERM, None)
            return kernel.poll(0, max_events)

    poller._poller = Interrupted()
    process.loop.tick(0.5)
    poller._poller = kernel
    process.run_passes(3)
    assert order == ["signal", b"x"]
