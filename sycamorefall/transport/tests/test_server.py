"""The HTTP server with slow, pipelined, malformed and abandoned requests."""

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
MAX_PASSES = 3000


class Site:
    """A server on a loop and a clock that the test controls."""

    def __init__(self, shedding=None, **limits):
        port = fleet.reserve_ports(1)[0]
        self.address = settings.Address("127.0.0.1", port)
        self.now = 0.0
        self.calls = []
        self.hung_up = []
        self.exceptions = []
        self.loop = transport.create_loop(
            lambda _: None, self.exceptions.append
        )
        self.server = transport.HttpServer(
            self.address,
            settings.LimitSettings(**limits),
            self.handle_call,
            read_clock=lambda: self.now,
            shedding=shedding,
        ).register(self.loop)
        # Does what `run` does, but the test keeps the thread and runs the
        # passes.
        self.loop._running = True
        self.loop._executing_thread = threading.current_thread()
        self.loop.fire(events.started(self.loop))

    def handle_call(self, call):
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
            raise RuntimeError("a test exception")

    def run_until(self, check):
        for _ in range(MAX_PASSES):
            self.loop.tick(0.001)
            if found := check():
                return found
        raise AssertionError("the condition was never met")

    def connect(self):
        caller = socket.create_connection(self.address.pair)
        caller.setblocking(False)
        return caller

    def read(self, caller, until, times=1):
        """Reads until a text was received that many times, or to the end."""
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

        self.run_until(check)
        return b"".join(parts)

    def advance(self, seconds):
        self.now += seconds
        self.server.expire(self.now)


@pytest.fixture(scope="module")
def shared():
    return Site()


def test_slow_request_is_refused_when_its_time_is_over():
    """Guards against a caller that holds a connection by sending slowly.

    The caller begins a request and never completes it. Without a time limit on
    the whole request, each further byte would give it more time.
    """
    site = Site(header_timeout=20.0)
    caller = site.connect()
    caller.send(b"GET /now HTTP/1.1\r\n")
    site.run_until(lambda: site.server.find_next_due() == 20.0)
    site.advance(19.0)
    caller.send(b"Host: a\r\n")
    site.advance(1.0)
    response = site.read(caller, b"}}")
    assert b"408" in response.splitlines()[0]
    assert b"request_timeout" in response
    site.advance(20.0)
    assert site.read(caller, b"nothing more") == b""


def test_idle_connection_is_closed_and_makes_room():
    site = Site(max_connections=2, idle_timeout=60.0)
    first, second = site.connect(), site.connect()
    site.run_until(lambda: len(site.server._connections) == 2)
    third = site.connect()
    assert site.read(first, b"nothing") == b""
    site.advance(60.0)
    assert site.read(second, b"nothing") == b""
    assert site.read(third, b"nothing") == b""


def test_caller_that_reads_nothing_is_dropped():
    """Guards against a caller that holds a connection by reading nothing.

    The caller sends a request, then stops reading. A graceful close waits for
    the unsent bytes, so the connection would outlive its request.
    """
    site = Site(header_timeout=20.0)
    caller = site.connect()
    caller.send(GET % b"big")
    call = site.run_until(lambda: site.calls)[0]
    call.begin(200)
    for _ in range(400):
        call.write(b"x" * 65536)
    site.run_until(lambda: call.unsent_bytes)
    call.abort()
    site.run_until(lambda: site.server.find_next_due() == 20.0)
    site.advance(20.0)
    site.run_until(lambda: not site.server._connections)


def test_pipelined_requests_are_answered_in_order():
    """Guards against responses in the wrong order for pipelined requests.

    Both requests arrive in one packet. If they were answered as their responses
    become known, the first request would get the response to the second.
    """
    site = Site()
    caller = site.connect()
    caller.send(GET % b"later" + GET % b"now")
    call = site.run_until(lambda: site.calls)[0]
    caller.send(GET % b"now")
    assert [call.path for call in site.calls] == ["/later"]
    call.respond(200, b"first")
    response = site.read(caller, b"now", times=2)
    assert response.index(b"first") < response.index(b"now")
    assert response.count(b"HTTP/1.1 200") == 3
    assert [call.path for call in site.calls] == ["/later", "/now", "/now"]


def test_hangup_is_reported_once():
    site = Site()
    caller = site.connect()
    caller.send(GET % b"later")
    site.run_until(lambda: site.calls)
    caller.close()
    site.run_until(lambda: site.hung_up)
    site.calls[0].respond(200, b"late")
    site.run_until(lambda: not site.server._connections)
    assert site.hung_up == ["/later"]


def test_expect_continue_is_answered():
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


def test_exception_in_a_handler_is_answered():
    site = Site()
    caller = site.connect()
    caller.send(GET % b"fault")
    response = site.read(caller, b"}}")
    assert (
        json.loads(response.split(b"\r\n\r\n")[1])["error"]["ran"] == "unknown"
    )
    assert "a test exception" in site.run_until(lambda: site.exceptions)[0]


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
        responses = shared.read(caller, b"\0never")
    for head in responses.split(b"HTTP/1.")[1:]:
        status = int(head.split(b" ")[1])
        assert status in (100, 200) or any(
            kind.encode() in head for kind in KINDS
        )
    shared.run_until(lambda: not shared.server._connections)
    assert shared.exceptions == []


def test_many_new_connections_are_accepted_in_one_pass():
    # Guards against accepting too slowly. Many callers connect to a small VM.
    # Each pass of its loop takes time and accepted one connection, so the
    # others waited in the kernel until their deadlines although their requests
    # had arrived.
    site = Site()
    site.run_until(lambda: site.server.port)
    callers = [site.connect() for _ in range(40)]
    for caller in callers:
        caller.sendall(GET % b"now")
    for _ in range(4):
        site.loop.tick(0.001)
    assert len(site.calls) == 40
    for caller in callers:
        caller.close()


def test_connection_established_before_listening_ends_is_served():
    # Guards against resetting connections that the kernel has made when a
    # process ends listening.
    site = Site()
    site.run_until(lambda: site.server.port)
    callers = [site.connect() for _ in range(5)]
    for caller in callers:
        caller.sendall(GET % b"now")
    site.server.end_listening()
    for caller in callers:
        assert b"now" in site.read(caller, b"now")
        caller.close()


def test_request_of_a_caller_that_has_left_is_not_started():
    # Guards against work for callers that have left. A VM is frozen and its
    # callers close their connections. On resuming, it reads their requests
    # first and the end of input after, and an engine would run the requests.
    site = Site()
    site.run_until(lambda: site.server.port)
    gone, waits = site.connect(), site.connect()
    for caller, path in ((gone, b"gone"), (waits, b"waits")):
        caller.sendall(GET % path)
    gone.close()
    site.run_until(lambda: site.calls)
    for _ in range(10):
        site.loop.tick(0.001)
    assert [call.path for call in site.calls] == ["/waits"]
    waits.close()


def test_overload_is_refused_at_once():
    # Guards against an overloaded VM that serves no request on time. It read
    # the requests one after the other, each later than the one before, until
    # all were too late. Requests that would wait for more than a tenth of a
    # second must be refused at once with the advice to retry.
    site = Site(shedding=transport.Shedding(0.1, retry_after=0.2))
    site.run_until(lambda: site.server.port)
    callers = [site.connect() for _ in range(20)]
    site.run_until(lambda: len(site.server._connections) == 20)
    for caller in callers:
        caller.sendall(GET % b"slow")
    responses = [site.read(caller, b"\r\n\r\n") for caller in callers]
    heads = [response.splitlines()[0] for response in responses]
    assert len(site.calls) == heads.count(b"HTTP/1.1 200 OK") == 4
    refused = [response for response in responses if b" 503 " in response]
    assert len(refused) == site.server.shed == 16
    assert all(b"Retry-After: 0.2\r\n" in response for response in refused)
    assert all(b'"ran":"no"' in response for response in refused)
    later = site.connect()
    later.sendall(GET % b"now")
    assert b" 200 " in site.read(later, b"now")


def test_callers_that_left_do_not_delay_waiting_ones(monkeypatch):
    # Guards against callers that left delaying those that still wait. Callers
    # of a large team overload one small VM and give up after a second. The VM
    # read all their requests in the order of arrival before those of callers
    # that still waited; those had given up too by then, and so on for as long
    # as the overload lasted.
    site = Site()
    site.run_until(lambda: site.server.port)
    for _ in range(30):
        gone = site.connect()
        gone.sendall(GET % b"gone")
        gone.close()
    waits = site.connect()
    waits.sendall(GET % b"now")
    readers = []
    parse_request = request_reader.RequestReader.parse_request
    monkeypatch.setattr(
        request_reader.RequestReader,
        "parse_request",
        lambda reader, *limits: (
            readers.append(reader) or parse_request(reader, *limits)
        ),
    )
    assert b"now" in site.read(waits, b"now")
    assert len(readers) <= 2, (
        "only the first request of a caller that left is parsed"
    )
    waits.close()
    site.run_until(lambda: not site.server._connections)


def test_requests_that_arrived_during_a_freeze_are_served():
    # Guards against treating a freeze as overload. A VM is frozen during a pass
    # of its loop. The elapsed time was taken for overload, and all later
    # requests of the pass were refused although the VM had nothing else to do.
    site = Site(shedding=transport.Shedding(0.1, retry_after=0.2))
    site.run_until(lambda: site.server.port)
    callers = [site.connect() for _ in range(5)]
    site.run_until(lambda: len(site.server._connections) == 5)
    callers[0].sendall(GET % b"frozen")
    for caller in callers[1:]:
        caller.sendall(GET % b"now")
    responses = [site.read(caller, b"\r\n\r\n") for caller in callers]
    assert [b" 200 " in response for response in responses] == [True] * 5


def test_bodies_beyond_the_memory_are_refused_as_not_run():
    # The bodies of a crowd took a router over its memory, and it was killed
    # with all requests that it held.
    site = Site(max_body_bytes=1 << 20)
    site.server.memory.max_memory = 900_000
    head = b"POST /%b HTTP/1.1\r\nHost: a\r\nContent-Length: 300000\r\n\r\n"
    first, second, third = (site.connect() for _ in range(3))
    first.sendall(head % b"first" + 300_000 * b"x")
    call = site.run_until(lambda: site.calls)[0]
    second.sendall(head % b"second" + b"x")
    refused = site.read(second, b"}}")
    assert b"503" in refused.splitlines()[0]
    assert b"Retry-After" in refused
    third.sendall(
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"
    )
    site.run_until(lambda: len(site.calls) == 2)
    call.respond(200, b"done")
    site.read(first, b"done")
    assert site.server.memory.held == 0
    first.sendall(head % b"again" + 300_000 * b"x")
    site.run_until(lambda: len(site.calls) == 3)
    for caller in (first, second, third):
        caller.close()
    site.run_until(lambda: not site.server.open_count)
    assert site.server.memory.held == 0
