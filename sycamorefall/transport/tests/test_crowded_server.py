"""A server with more callers than it may have connections."""

import errno

import pytest

from sycamorefall import transport
from sycamorefall.transport import connections
from sycamorefall.transport.tests import test_server


def fill_server(site, count):
    """Opens connections with a request in progress each."""
    callers = [site.connect() for _ in range(count)]
    for caller in callers:
        caller.send(test_server.GET % b"later")
    site.run_until(lambda: len(site.calls) == count)
    return callers


def test_caller_too_many_is_told_to_return_elsewhere():
    # Guards against connections that are closed without a word when a router
    # is full: their callers can't tell that another router has room.
    shedding = transport.Shedding(10.0, retry_after=0.1)
    site = test_server.Site(shedding, max_connections=2)
    served = fill_server(site, 2)
    late = site.connect()
    late.send(test_server.GET % b"now")
    response = site.read(late, b"}}")
    assert response.startswith(b"HTTP/1.1 503")
    assert b"Retry-After: 0.1\r\n" in response
    assert b"Connection: close" in response
    assert b'"ran":"no"' in response
    late.close()
    site.run_until(lambda: site.server.open_count == 2)
    for call in site.calls:
        call.respond(200, b"served")
    for caller in served:
        assert b"served" in site.read(caller, b"served")
    assert site.server.acceptor.refused == 1
    again = site.connect()
    again.send(test_server.GET % b"now")
    assert b"200 OK" in site.read(again, b"\r\n\r\nnow")


def test_callers_beyond_the_reserve_wait_in_the_kernel():
    # Guards against refusals that take the descriptors which are kept for
    # requests in progress, and against a loop that spins meanwhile.
    site = test_server.Site(max_connections=1)
    site.server.acceptor.max_excess = 2
    served = fill_server(site, 1)
    callers = [site.connect() for _ in range(6)]
    for _ in range(50):
        site.loop.tick(0.001)
    assert site.server.open_count == 3
    listening = site.server.server._sock
    assert not site.server.server._poller.isReading(listening)
    refused = 0
    for caller in callers:
        caller.send(test_server.GET % b"now")
        site.advance(connections.ACCEPT_PAUSE)
        assert b"503" in site.read(caller, b"}}")
        caller.close()
        refused += 1
        site.run_until(lambda: site.server.open_count <= 3)
        site.advance(connections.ACCEPT_PAUSE)
    assert site.server.acceptor.refused == refused == 6
    assert served[0].fileno() >= 0


def test_silent_caller_too_many_is_closed_soon():
    # Guards against callers that connect and send nothing: they would hold the
    # few connections on which others are refused.
    site = test_server.Site(max_connections=1)
    served = fill_server(site, 1)
    silent = site.connect()
    site.run_until(lambda: site.server.open_count == 2)
    site.advance(connections.EXCESS_TIME)
    assert site.read(silent, b"nothing") == b""
    assert site.server.open_count == len(served)


def test_accepting_pauses_without_a_descriptor():
    # Guards against a loop that spins: without a descriptor the listening
    # socket stays readable, and accepting fails each time.
    site = test_server.Site()
    idle = site.connect()
    site.run_until(lambda: site.server.open_count == 1)

    class Exhausted:
        attempts = 0

        def __init__(self, sock):
            self.sock = sock

        def accept(self):
            self.attempts += 1
            raise OSError(errno.EMFILE, "a test error")

        def fileno(self):
            return self.sock.fileno()

    listening = site.server.server._sock
    exhausted = Exhausted(listening)
    told = []
    site.server.acceptor.on_exhausted = lambda: told.append(True)
    caller = site.connect()
    caller.send(test_server.GET % b"now")
    site.server.server._sock = exhausted
    site.server._accept_pending()
    site.server.server._sock = listening
    assert (exhausted.attempts, told) == (1, [True])
    assert site.server.acceptor.exhausted == 1
    assert site.server.find_next_due() == connections.ACCEPT_PAUSE
    site.advance(connections.ACCEPT_PAUSE)
    assert b"200 OK" in site.read(caller, b"\r\n\r\nnow")
    idle.close()


def test_new_caller_is_not_closed_before_its_request_arrives():
    # Guards against a crowd whose callers close each other's connections: one
    # whose request is on its way is no idle one, and a caller that finds a new
    # connection closed can't tell whether its request ran.
    site = test_server.Site(max_connections=2)
    site.server.acceptor.fresh_time = 0.25
    new = [site.connect(), site.connect()]
    site.run_until(lambda: site.server.open_count == 2)
    site.now = 0.2
    late = site.connect()
    late.send(test_server.GET % b"now")
    assert b"503" in site.read(late, b"}}")
    late.close()
    for caller in new:
        caller.send(test_server.GET % b"now")
        assert b"200 OK" in site.read(caller, b"\r\n\r\nnow")
    site.now = 0.25
    later = site.connect()
    later.send(test_server.GET % b"now")
    assert b"200 OK" in site.read(later, b"\r\n\r\nnow")
    assert site.read(new[0], b"nothing") == b"", "the longest idle one"


def test_accepting_goes_on_as_soon_as_a_connection_closes():
    # Guards against refusals that are held up by the pause: callers beyond the
    # reserve would wait in the kernel for longer than a refusal takes.
    site = test_server.Site(max_connections=1)
    site.server.acceptor.max_excess = 1
    served = fill_server(site, 1)
    callers = [site.connect() for _ in range(4)]
    for caller in callers:
        caller.send(test_server.GET % b"now")
        assert b"503" in site.read(caller, b"}}")
        caller.close()
        for _ in range(20):
            site.loop.tick(0.001)
        site.advance(0.0)
    assert site.server.open_count == len(served)


def test_caller_too_many_is_refused_though_the_loop_is_late():
    # Guards against a caller whose connection is closed without a word: its
    # request had arrived in time, but a late loop hadn't read it.
    site = test_server.Site(max_connections=1)
    served = fill_server(site, 1)
    caller = site.connect()
    site.run_until(lambda: site.server.open_count == 2)
    caller.send(test_server.GET % b"now")
    site.advance(connections.EXCESS_TIME)
    assert b"503" in site.read(caller, b"}}")
    assert served[0].fileno() >= 0


def test_time_limit_survives_a_fault_of_another_connection():
    # Guards against connections that stay open forever: a fault while one
    # expired connection was handled lost the time limits of the others.
    site = test_server.Site(header_timeout=20.0)
    faulty, slow = site.connect(), site.connect()
    for count, caller in enumerate((faulty, slow), 1):
        caller.send(b"GET /fault HTTP/1.1\r\nHost: a\r\n")
        site.run_until(
            lambda count=count: len(site.server._request_timeouts) == count
        )
    faulty.send(b"\r\n")
    with pytest.raises(RuntimeError):
        site.advance(20.0)
    site.server.expire(site.now)
    assert b"408" in site.read(slow, b"}}")
    assert b"500" in site.read(faulty, b"}}")
