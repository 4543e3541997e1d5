"""Connections that the server closes on its own initiative lose no request.

The server's state of a connection reflects only input that its loop has
handled. On an overloaded or frozen VM the loop is late: requests have arrived
that it has not read when it closes idle connections, ends listening or enforces
time limits.
"""

import socket
import struct

from sycamorefall import observation, transport
from sycamorefall.transport.tests import test_server

MAX_PASSES = 6
"""Passes of the loop within which it has handled all input that arrived."""


def open_site():
    site = test_server.Site()
    site.run_until(lambda: site.server.port)
    return site


def run_passes(site, passes):
    for _ in range(passes):
        site.loop.tick(0.001)


def gets_response(site, caller):
    end = b"\r\n\r\nnow"
    return site.read(caller, end).endswith(end)


def open_idle_connection(site):
    """Connects a caller and waits for the response to its first request."""
    caller = site.connect()
    caller.sendall(test_server.GET % b"now")
    site.read(caller, b"now")
    site.run_until(lambda: site.server.find_next_due() != float("inf"))
    return caller


def test_request_that_crosses_the_end_of_listening_is_answered():
    # Guards against requests lost when a router stops. The loop is some tenths
    # of a second late when listening ends, so requests on kept connections are
    # unread in the kernel, or read but not handled. Their connections counted
    # as idle and were closed, and callers got neither a response nor a refusal.
    for passes in range(MAX_PASSES):
        site = test_server.Site()
        caller = open_idle_connection(site)
        caller.sendall(test_server.GET % b"now")
        run_passes(site, passes)
        site.server.begin_stop()
        site.server.end_listening()
        assert gets_response(site, caller), passes


def test_first_request_on_a_late_accepted_connection_is_answered():
    # Guards against a lost request on a connection that is accepted when
    # listening ends. The stopping process checks its connections repeatedly;
    # the next check came before the request was handled, and closed the
    # connection.
    for passes in range(MAX_PASSES):
        site = open_site()
        caller = site.connect()
        site.server.begin_stop()
        site.server.end_listening()
        caller.sendall(test_server.GET % b"now")
        run_passes(site, passes)
        site.server.begin_stop()
        assert gets_response(site, caller), passes


def test_server_with_an_unread_request_is_not_drained():
    # Guards against a stopping process that exits with an unhandled request:
    # the request's connection would be closed.
    for passes in range(MAX_PASSES):
        site = test_server.Site()
        caller = open_idle_connection(site)
        caller.sendall(test_server.GET % b"long")
        run_passes(site, passes)
        assert not site.server.is_drained(), passes
        caller.close()


def test_request_that_arrived_in_idle_time_is_answered():
    # Guards against closing a connection as idle when its request arrived in
    # time. A VM is frozen for longer than the idle timeout; a caller sends a
    # request on a kept connection before the timeout. On resuming, the server
    # closed the connection before it read the request.
    site = test_server.Site(idle_timeout=60.0)
    caller = open_idle_connection(site)
    caller.sendall(test_server.GET % b"now")
    site.advance(60.0)
    assert gets_response(site, caller)


def test_request_whose_rest_has_arrived_is_not_too_slow():
    # Guards against refusing a request as too slow that arrived in time. A
    # caller sends a request in two parts, and the VM is frozen between them. On
    # resuming, the server refused the request although its rest was unread in
    # the kernel.
    site = test_server.Site(header_timeout=20.0)
    caller = site.connect()
    caller.sendall(b"GET /now HTTP/1.1\r\n")
    site.run_until(lambda: site.server.find_next_due() == 20.0)
    caller.sendall(b"Host: a\r\n\r\n")
    site.advance(20.0)
    assert gets_response(site, caller)


def test_connection_closed_at_the_limit_has_no_request():
    # Guards against closing a connection with an unread request at the
    # connection limit. The longest idle connection was closed for a new one
    # although a request had arrived on it; the next connection had none.
    site = test_server.Site(max_connections=2)
    active, idle = open_idle_connection(site), open_idle_connection(site)
    active.sendall(test_server.GET % b"now")
    third = site.connect()
    site.server._accept_pending()
    assert gets_response(site, active)
    assert site.read(idle, b"nothing") == b""
    for caller in (active, third):
        caller.close()


def test_caller_of_a_stream_may_send_another_request_during_a_stop():
    # Guards against closing a connection whose caller was not told so. The
    # stream's head was sent before the stop and announced no closing; when the
    # stream ended the caller sent its next request, and the server closed the
    # connection.
    site = open_site()
    caller = site.connect()
    caller.sendall(test_server.GET % b"long")
    call = site.run_until(lambda: site.calls)[0]
    call.begin(200)
    site.server.begin_stop()
    call.write(b"whole")
    call.end()
    assert site.read(caller, b"0\r\n\r\n").endswith(b"whole\r\n0\r\n\r\n")
    caller.sendall(test_server.GET % b"now")
    response = site.read(caller, b"\r\n\r\nnow")
    assert b"Connection: close" in response


def test_unsent_response_is_not_truncated_by_a_stop():
    # Guards against a truncated response when the server stops. A caller reads
    # a long response slowly; all of it is written and part is in the server's
    # send buffer. No request was in progress, so the connection was closed as
    # idle when listening ended, and the rest was lost.
    site = open_site()
    caller = site.connect()
    caller.sendall(test_server.GET % b"big")
    call = site.run_until(lambda: site.calls)[0]
    call.respond(200, b"x" * (1 << 24) + b"end")
    run_passes(site, MAX_PASSES)
    assert call.unsent_bytes
    site.server.begin_stop()
    site.server.end_listening()
    assert site.read(caller, b"end").endswith(b"xend")
    caller.close()


def test_record_of_closed_connections_counts_unread_requests(monkeypatch):
    # Guards against a log record that counts every closed connection as one
    # with an unread request, so that it couldn't show how requests were lost.
    site = open_site()
    active, *idle = [open_idle_connection(site) for _ in range(3)]
    active.sendall(test_server.GET % b"long")
    found = {}
    monkeypatch.setattr(
        observation, "write_record", lambda _, kind, **more: found.update(more)
    )
    site.server.begin_stop()
    assert found == {"closed": 2, "unread": 1, "open": 1}
    for caller in (active, *idle):
        caller.close()


def test_reset_connection_frees_its_place():
    # Guards against refusing a new connection at the limit although another one
    # is found to be reset by its caller, which frees its place.
    site = test_server.Site(max_connections=1)
    gone = open_idle_connection(site)
    at_once = struct.pack("ii", 1, 0)
    gone.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, at_once)
    gone.close()
    active = site.connect()
    active.sendall(test_server.GET % b"now")
    site.server._accept_pending()
    assert gets_response(site, active)
    active.close()


def test_caller_that_closed_its_side_gets_the_rest_within_a_time_limit(
    monkeypatch,
):
    # Guards against a busy loop. A caller closes its side while its response is
    # being sent. The socket stayed readable, so the loop ran without pause
    # until the whole response was sent, which never ended if the caller read
    # nothing.
    reads = []
    read_once = transport.HttpServer._read_once
    monkeypatch.setattr(
        transport.HttpServer,
        "_read_once",
        lambda self, sock: reads.append(sock) or read_once(self, sock),
    )
    site = test_server.Site(header_timeout=20.0)
    reading, stalled = site.connect(), site.connect()
    for caller in (reading, stalled):
        caller.sendall(test_server.GET % b"big")
    for call in site.run_until(lambda: site.calls[1:] and site.calls):
        call.respond(200, b"x" * (1 << 24) + b"end")
    run_passes(site, MAX_PASSES)
    for caller in (reading, stalled):
        caller.shutdown(socket.SHUT_WR)
    reads.clear()
    run_passes(site, 20)
    assert len(reads) <= 4
    assert site.read(reading, b"end").endswith(b"xend")
    site.advance(20.0)
    assert not site.server._connections
    for caller in (reading, stalled):
        caller.close()


def test_caller_that_closed_its_side_in_a_stream_has_left():
    # Guards against work for a caller that has left. A caller that reads
    # nothing closes its side during a stream. The server waited until the
    # unsent bytes were sent, and an engine kept working for the caller.
    site = open_site()
    caller = site.connect()
    caller.sendall(test_server.GET % b"long")
    call = site.run_until(lambda: site.calls)[0]
    call.begin(200)
    call.write(b"x" * (1 << 24))
    run_passes(site, MAX_PASSES)
    caller.shutdown(socket.SHUT_WR)
    site.run_until(lambda: site.hung_up)
    caller.close()


def test_last_response_survives_a_pipelined_request():
    # Guards against a truncated last response. A caller sends its next request
    # before it receives the response that announces the closing. If the server
    # closes the socket with unread input, the kernel resets the connection and
    # discards response bytes in transit.
    site = open_site()
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    caller.connect(site.address.pair)
    caller.setblocking(False)
    caller.sendall(test_server.GET % b"last")
    call = site.run_until(lambda: site.calls)[0]
    call.close_after_response()
    caller.sendall(test_server.GET % b"now")
    call.respond(200, b"x" * 100_000 + b"end")
    assert not call.unsent_bytes
    site.loop.flush()
    assert site.read(caller, b"end").endswith(b"xend")
    caller.close()


def test_connection_with_unsent_response_is_closed_last():
    # Guards against a truncated response at the connection limit. The
    # connection that had been without a request for longest still had an unsent
    # response, as its caller read slowly. It was closed for a new one, although
    # another connection was idle.
    site = test_server.Site(max_connections=2)
    caller = site.connect()
    caller.sendall(test_server.GET % b"big")
    call = site.run_until(lambda: site.calls)[0]
    call.respond(200, b"x" * (1 << 24) + b"end")
    run_passes(site, MAX_PASSES)
    idle = open_idle_connection(site)
    new = site.connect()
    site.server._accept_pending()
    assert site.read(idle, b"nothing") == b""
    assert site.read(caller, b"end").endswith(b"xend")
    for one in (caller, new):
        one.close()


def test_caller_that_waits_in_the_kernel_is_answered_when_listening_ends():
    # Guards against requests lost when a full server stops listening: the
    # connections that it had no room for were reset with their requests unread.
    site = test_server.Site(max_connections=1)
    site.server.acceptor.max_excess = 0
    served = site.connect()
    served.sendall(test_server.GET % b"long")
    call = site.run_until(lambda: site.calls)[0]
    waiting = site.connect()
    waiting.sendall(test_server.GET % b"now")
    run_passes(site, MAX_PASSES)
    assert site.server.open_count == 1
    site.server.begin_stop()
    site.server.end_listening()
    call.respond(200, b"last")
    assert site.read(served, b"last").endswith(b"last")
    run_passes(site, MAX_PASSES)
    site.server.end_listening()
    assert gets_response(site, waiting)
    assert not site.server.listening
    run_passes(site, MAX_PASSES)
    assert site.server.end_input()
    for caller in (served, waiting):
        caller.close()


def test_idle_limit_does_not_run_during_a_request():
    # Guards against connections that their time limit closes while a request is
    # in progress: the request came late in the idle time, takes longer than the
    # limit, and the limit changes meanwhile.
    for seconds in (4.0, 8.0):
        for limit in (1.0, 5.0, 60.0):
            site = test_server.Site(idle_timeout=5.0)
            caller = open_idle_connection(site)
            site.advance(4.0)
            caller.sendall(test_server.GET % b"long")
            call = site.run_until(lambda site=site: site.calls[1:])[0]
            site.server._idle_timeouts.limit = limit
            for _ in range(8):
                site.advance(seconds / 8)
            call.respond(200, b"late")
            assert site.read(caller, b"late").endswith(b"late")
            site.run_until(
                lambda site=site, end=site.now + limit: (
                    site.server.find_next_due() == end
                )
            )
            caller.close()
