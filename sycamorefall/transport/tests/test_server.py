"""The HTTP server against callers that are slow, hasty, odd or gone."""

import contextlib
import json
import socket
import threading

from circuits.core import events
from hypothesis import given
from hypothesis import strategies as st
import pytest

from standins import fleet
from sycamorefall import errors, settings, transport
from sycamorefall.transport import request_reader

KINDS = {kind.value for kind in errors.ErrorKind}
GET = b"GET /%s HTTP/1.1\r\nHost: a\r\n\r\n"
TURNS = 3000


class Site:
    """A server on a loop that the test turns, by a clock the test sets."""

    def __init__(self, shedding=None, **limits):
        port = fleet.reserve_ports(1)[0]
        self.address = settings.Address("127.0.0.1", port)
        self.now = 0.0
        self.calls = []
        self.hung_up = []
        self.faults = []
        self.loop = transport.create_loop(lambda: None, self.faults.append)
        self.server = transport.HttpServer(
            self.address,
            settings.LimitSettings(**limits),
            self.take,
            read_clock=lambda: self.now,
            shedding=shedding,
        ).register(self.loop)
        # As `run` does, but the test keeps the thread and turns the loop.
        self.loop._running = True
        self.loop._executing_thread = threading.current_thread()
        self.loop.fire(events.started(self.loop))

    def take(self, call):
        self.calls.append(call)
        call.on_hangup = lambda: self.hung_up.append(call.path)
        if call.path == "/now":
            call.respond(200, b"now")
        if call.path == "/frozen":
            self.now += 0.8
            call.respond(200, b"frozen")
        if call.path == "/slow":
            self.now += 0.03
            call.respond(200, b"slow")
        if call.path == "/fault":
            raise RuntimeError("a fault of ours")

    def turn_until(self, check):
        for _ in range(TURNS):
            self.loop.tick(0.001)
            if found := check():
                return found
        raise AssertionError("the condition never came")

    def connect(self):
        caller = socket.create_connection(self.address.pair)
        caller.setblocking(False)
        return caller

    def read(self, caller, until, times=1):
        """Reads until a text has come so often, or to the end."""
        parts = []

        def check():
            with contextlib.suppress(BlockingIOError):
                try:
                    data = caller.recv(1 << 16)
                except ConnectionResetError:
                    data = b""
                parts.append(data)
                return not data or b"".join(parts).count(until) >= times
            return False

        self.turn_until(check)
        return b"".join(parts)

    def advance(self, seconds):
        self.now += seconds
        self.server.expire(self.now)


@pytest.fixture(scope="module")
def shared():
    return Site()


def test_slow_request_is_refused_when_its_time_is_over():
    """A caller that sends a byte now and then can't hold a connection.

    It begins a request and never ends it; without a limit on the whole
    request each further byte would earn it more time.
    """
    site = Site(header_timeout=20.0)
    caller = site.connect()
    caller.send(b"GET /now HTTP/1.1\r\n")
    site.turn_until(lambda: site.server.find_next_due() == 20.0)
    site.advance(19.0)
    caller.send(b"Host: a\r\n")
    site.advance(1.0)
    answer = site.read(caller, b"}}")
    assert b"408" in answer.splitlines()[0]
    assert b"request_timeout" in answer
    site.advance(20.0)
    assert site.read(caller, b"nothing more") == b""


def test_idle_connection_is_closed_and_makes_room():
    site = Site(max_connections=2, idle_timeout=60.0)
    first, second = site.connect(), site.connect()
    site.turn_until(lambda: len(site.server._connections) == 2)
    third = site.connect()
    assert site.read(first, b"nothing") == b""
    site.advance(60.0)
    assert site.read(second, b"nothing") == b""
    assert site.read(third, b"nothing") == b""


def test_caller_that_takes_nothing_is_dropped():
    """An answer nobody reads does not hold its connection for ever.

    The caller asks, then stops reading; what is unsent keeps a graceful
    close waiting, and so the connection would outlive its request.
    """
    site = Site(header_timeout=20.0)
    caller = site.connect()
    caller.send(GET % b"big")
    call = site.turn_until(lambda: site.calls)[0]
    call.begin(200)
    for _ in range(400):
        call.write(b"x" * 65536)
    site.turn_until(lambda: call.unsent_bytes)
    call.abort()
    site.turn_until(lambda: site.server.find_next_due() == 20.0)
    site.advance(20.0)
    site.turn_until(lambda: not site.server._connections)


def test_pipelined_requests_are_answered_in_turn():
    """The second of two requests waits for the first one's answer.

    Both come in one packet; answered as they come, the first caller would
    get the answer of the second.
    """
    site = Site()
    caller = site.connect()
    caller.send(GET % b"later" + GET % b"now")
    call = site.turn_until(lambda: site.calls)[0]
    caller.send(GET % b"now")
    assert [call.path for call in site.calls] == ["/later"]
    call.respond(200, b"first")
    answer = site.read(caller, b"now", times=2)
    assert answer.index(b"first") < answer.index(b"now")
    assert answer.count(b"HTTP/1.1 200") == 3
    assert [call.path for call in site.calls] == ["/later", "/now", "/now"]


def test_hangup_is_told_once():
    site = Site()
    caller = site.connect()
    caller.send(GET % b"later")
    site.turn_until(lambda: site.calls)
    caller.close()
    site.turn_until(lambda: site.hung_up)
    site.calls[0].respond(200, b"late")
    site.turn_until(lambda: not site.server._connections)
    assert site.hung_up == ["/later"]


def test_body_is_asked_for():
    site = Site()
    caller = site.connect()
    caller.send(
        b"POST /now HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
        b"Expect: 100-continue\r\n\r\n"
    )
    assert site.read(caller, b"\r\n\r\n").startswith(b"HTTP/1.1 100")
    caller.send(b"abc")
    assert b"200 OK" in site.read(caller, b"now")
    assert site.calls[0].body == b"abc"


def test_fault_in_a_handler_is_answered():
    site = Site()
    caller = site.connect()
    caller.send(GET % b"fault")
    answer = site.read(caller, b"}}")
    assert json.loads(answer.split(b"\r\n\r\n")[1])["error"]["ran"] == "unknown"
    assert "a fault of ours" in site.turn_until(lambda: site.faults)[0]


requests = st.lists(
    st.one_of(
        st.binary(min_size=1, max_size=30),
        st.sampled_from(
            [
                GET % b"now",
                b"POST /now HTTP/1.1\r\nHost: a\r\n",
                b"HEAD /now HTTP/1.1\r\nHost: a\r\n\r\n",
                b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
                b"\x16\x03\x01\x00\xa5",
                b"Content-Length: 4\r\n",
                b"Content-Length: 99999999999\r\n\r\n",
                b"Transfer-Encoding: Chunked\r\n\r\n",
                b"Cookie: \x01=;;=\r\nHost: b:c\r\n",
                b"\r\n",
                b"4\r\nabcd\r\n0\r\n\r\n",
            ]
        ),
    ),
    min_size=1,
    max_size=6,
)


@given(requests)
def test_any_input_gets_an_answer_or_a_closed_connection(shared, parts):
    with shared.connect() as caller:
        for part in parts:
            with contextlib.suppress(OSError):
                caller.send(part)
        with contextlib.suppress(OSError):
            caller.shutdown(socket.SHUT_WR)
        answers = shared.read(caller, b"\0never")
    for head in answers.split(b"HTTP/1.")[1:]:
        status = int(head.split(b" ")[1])
        assert status in (100, 200) or any(
            kind.encode() in head for kind in KINDS
        )
    shared.turn_until(lambda: not shared.server._connections)
    assert shared.faults == []


def test_many_new_connections_are_taken_in_one_turn():
    # A crowd of callers meets a small VM. Each turn of its loop costs time,
    # and took one connection: the rest waited in the kernel until their
    # deadlines, though their requests were there.
    site = Site()
    site.turn_until(lambda: site.server.port)
    callers = [site.connect() for _ in range(40)]
    for caller in callers:
        caller.sendall(GET % b"now")
    for _ in range(4):
        site.loop.tick(0.001)
    assert len(site.calls) == 40
    for caller in callers:
        caller.close()


def test_connection_made_before_listening_ends_is_served():
    # A process stops as callers connect. Those whose connection the kernel
    # has made already must get their answer, not a reset.
    site = Site()
    site.turn_until(lambda: site.server.port)
    callers = [site.connect() for _ in range(5)]
    for caller in callers:
        caller.sendall(GET % b"now")
    site.server.end_listening()
    for caller in callers:
        assert b"now" in site.read(caller, b"now")
        caller.close()


def test_request_of_a_caller_that_has_left_is_not_begun():
    # A VM freezes; its callers give up and close. Awake again, it reads their
    # requests first and the closing after, and has an engine work for nobody.
    site = Site()
    site.turn_until(lambda: site.server.port)
    gone, waits = site.connect(), site.connect()
    for caller, path in ((gone, b"gone"), (waits, b"waits")):
        caller.sendall(GET % path)
    gone.close()
    site.turn_until(lambda: site.calls)
    for _ in range(10):
        site.loop.tick(0.001)
    assert [call.path for call in site.calls] == ["/waits"]
    waits.close()


def test_crowd_beyond_what_can_be_served_is_refused_soon():
    # A crowd meets a small VM. Its requests were read in turn, each later
    # than the one before, until all were too late to be of use. Whoever would
    # wait for longer than a tenth of a second is told at once to ask again.
    site = Site(shedding=transport.Shedding(0.1, pause=0.2))
    site.turn_until(lambda: site.server.port)
    callers = [site.connect() for _ in range(20)]
    site.turn_until(lambda: len(site.server._connections) == 20)
    for caller in callers:
        caller.sendall(GET % b"slow")
    answers = [site.read(caller, b"\r\n\r\n") for caller in callers]
    heads = [answer.splitlines()[0] for answer in answers]
    assert len(site.calls) == heads.count(b"HTTP/1.1 200 OK") == 4
    refused = [answer for answer in answers if b" 503 " in answer]
    assert len(refused) == site.server.shed == 16
    assert all(b"Retry-After: 0.2\r\n" in answer for answer in refused)
    assert all(b'"ran":"no"' in answer for answer in refused)
    later = site.connect()
    later.sendall(GET % b"now")
    assert b" 200 " in site.read(later, b"now")


def test_callers_that_left_do_not_keep_those_that_wait(monkeypatch):
    # A large team's callers all reach one small VM, which falls behind. They
    # give up after a second, but it read the requests of all of them, in the
    # order of arrival, before it came to callers that still waited: those
    # had given up too by then, and so on for as long as the crowd came.
    site = Site()
    site.turn_until(lambda: site.server.port)
    for _ in range(30):
        gone = site.connect()
        gone.sendall(GET % b"gone")
        gone.close()
    waits = site.connect()
    waits.sendall(GET % b"now")
    readers = []
    take = request_reader.RequestReader.take
    monkeypatch.setattr(
        request_reader.RequestReader,
        "take",
        lambda reader: readers.append(reader) or take(reader),
    )
    assert b"now" in site.read(waits, b"now")
    assert len(readers) <= 2, "one that has left is told of, no more are read"
    waits.close()
    site.turn_until(lambda: not site.server._connections)


def test_requests_that_came_while_a_vm_was_frozen_are_served():
    # A VM freezes in the middle of a turn of its loop. The time that passed
    # was taken for a crowd's, and all requests behind it were refused, though
    # the VM had nothing else to do.
    site = Site(shedding=transport.Shedding(0.1, pause=0.2))
    site.turn_until(lambda: site.server.port)
    callers = [site.connect() for _ in range(5)]
    site.turn_until(lambda: len(site.server._connections) == 5)
    callers[0].sendall(GET % b"frozen")
    for caller in callers[1:]:
        caller.sendall(GET % b"now")
    answers = [site.read(caller, b"\r\n\r\n") for caller in callers]
    assert [b" 200 " in answer for answer in answers] == [True] * 5
