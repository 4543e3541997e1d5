"""Connections that the server closes of its own accord lose no request.

What the server knows of a connection is what its loop has handled. A crowded
or frozen VM is late: requests have arrived that it hasn't seen yet when it
closes connections as idle, ends listening, or judges time limits.
"""

import socket
import struct

from sycamorefall import observation, transport
from sycamorefall.transport.tests import test_server

MOST_TURNS = 6
"""Turns of the loop within which it has handled what has arrived."""


def open_site():
    site = test_server.Site()
    site.turn_until(lambda: site.server.port)
    return site


def turn_loop(site, turns):
    for _ in range(turns):
        site.loop.tick(0.001)


def is_answered(site, caller):
    end = b"\r\n\r\nnow"
    return site.read(caller, end).endswith(end)


def make_idle(site):
    """Connects a caller whose first request has been answered."""
    caller = site.connect()
    caller.sendall(test_server.GET % b"now")
    site.read(caller, b"now")
    site.turn_until(lambda: site.server.find_next_due() != float("inf"))
    return caller


def test_request_that_crosses_the_end_of_listening_is_answered():
    # A router is stopped while callers use kept connections. Its loop is late
    # by tenths of a second as it ends listening: requests lie in the kernel,
    # or were read and not yet handled. Their connections counted as idle and
    # were closed, so that callers got neither an answer nor a refusal.
    for turns in range(MOST_TURNS):
        site = test_server.Site()
        caller = make_idle(site)
        caller.sendall(test_server.GET % b"now")
        turn_loop(site, turns)
        site.server.begin_stop()
        site.server.end_listening()
        assert is_answered(site, caller), turns


def test_first_request_on_a_late_accepted_connection_is_answered():
    # A connection is taken from the kernel as listening ends, and its request
    # follows. The stopping process looks at its connections again and again;
    # the next look came before the request was handled and closed it.
    for turns in range(MOST_TURNS):
        site = open_site()
        caller = site.connect()
        site.server.begin_stop()
        site.server.end_listening()
        caller.sendall(test_server.GET % b"now")
        turn_loop(site, turns)
        site.server.begin_stop()
        assert is_answered(site, caller), turns


def test_server_with_an_unread_request_is_not_quiet():
    # A stopping process ends once it is quiet. A request that has arrived and
    # was not handled yet must keep it: its connection would end with it.
    for turns in range(MOST_TURNS):
        site = test_server.Site()
        caller = make_idle(site)
        caller.sendall(test_server.GET % b"long")
        turn_loop(site, turns)
        assert not site.server.is_drained(), turns
        caller.close()


def test_request_that_arrived_in_idle_time_is_answered():
    # A VM freezes for longer than connections may stay idle. A caller sent a
    # request on a kept one before its time was over; on waking the server
    # closed it for idleness before it had read.
    site = test_server.Site(idle_timeout=60.0)
    caller = make_idle(site)
    caller.sendall(test_server.GET % b"now")
    site.advance(60.0)
    assert is_answered(site, caller)


def test_request_whose_rest_has_arrived_is_not_too_slow():
    # A caller sends a request in two parts, a moment apart; the VM freezes
    # between them. On waking the server refused the request as too slow
    # though all of it had been there in time.
    site = test_server.Site(header_timeout=20.0)
    caller = site.connect()
    caller.sendall(b"GET /now HTTP/1.1\r\n")
    site.turn_until(lambda: site.server.find_next_due() == 20.0)
    caller.sendall(b"Host: a\r\n\r\n")
    site.advance(20.0)
    assert is_answered(site, caller)


def test_connection_that_makes_room_has_no_request():
    # At the most connections that a process may have, the one that has been
    # idle longest makes room for a new one. A request had arrived on it, and
    # its caller got a closed connection; the next one had none.
    site = test_server.Site(max_connections=2)
    asking, idle = make_idle(site), make_idle(site)
    asking.sendall(test_server.GET % b"now")
    third = site.connect()
    site.server._accept_some()
    assert is_answered(site, asking)
    assert site.read(idle, b"nothing") == b""
    for caller in (asking, third):
        caller.close()


def test_caller_of_a_long_stream_may_ask_again_while_its_router_stops():
    # A stream began before the stop, so its head doesn't say that the
    # connection closes. As it ends its caller sends the next request; the
    # server closed the connection under it.
    site = open_site()
    caller = site.connect()
    caller.sendall(test_server.GET % b"long")
    call = site.turn_until(lambda: site.calls)[0]
    call.begin(200)
    site.server.begin_stop()
    call.write(b"whole")
    call.end()
    assert site.read(caller, b"0\r\n\r\n").endswith(b"whole\r\n0\r\n\r\n")
    caller.sendall(test_server.GET % b"now")
    answer = site.read(caller, b"\r\n\r\nnow")
    assert b"Connection: close" in answer


def test_answer_that_its_caller_still_takes_is_not_cut_by_a_stop():
    # A caller takes a long answer slowly: all of it is written, and part of
    # it waits in the server's buffer. No request is in progress, so as
    # listening ended the connection was closed as idle and the rest thrown
    # away.
    site = open_site()
    caller = site.connect()
    caller.sendall(test_server.GET % b"big")
    call = site.turn_until(lambda: site.calls)[0]
    call.respond(200, b"x" * (1 << 24) + b"end")
    turn_loop(site, MOST_TURNS)
    assert call.unsent_bytes
    site.server.begin_stop()
    site.server.end_listening()
    assert site.read(caller, b"end").endswith(b"xend")
    caller.close()


def test_record_of_closed_connections_counts_unread_requests(monkeypatch):
    # The record that a stop leaves told each closed connection as one with a
    # request on it, so it couldn't show which hypothesis of a loss holds.
    site = open_site()
    asking, *idle = [make_idle(site) for _ in range(3)]
    asking.sendall(test_server.GET % b"long")
    found = {}
    monkeypatch.setattr(
        observation, "write_record", lambda _, kind, **more: found.update(more)
    )
    site.server.begin_stop()
    assert found == {"closed": 2, "unread": 1, "open": 1}
    for caller in (asking, *idle):
        caller.close()


def test_connection_that_was_reset_makes_room():
    # At the most connections a new caller comes; the one that is to make
    # room for it turns out to be reset by its caller. The new one was closed
    # all the same.
    site = test_server.Site(max_connections=1)
    gone = make_idle(site)
    at_once = struct.pack("ii", 1, 0)
    gone.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, at_once)
    gone.close()
    asking = site.connect()
    asking.sendall(test_server.GET % b"now")
    site.server._accept_some()
    assert is_answered(site, asking)
    asking.close()


def test_caller_that_closed_its_side_gets_the_rest_in_limited_time(
    monkeypatch,
):
    # A caller has asked all it wants and closes its side while its answer is
    # on the way. Its end stayed readable, so the loop turned without a rest
    # until all was taken; and if the caller took nothing, for ever.
    reads = []
    read_once = transport.HttpServer._read_once
    monkeypatch.setattr(
        transport.HttpServer,
        "_read_once",
        lambda self, sock: reads.append(sock) or read_once(self, sock),
    )
    site = test_server.Site(header_timeout=20.0)
    takes, stays = site.connect(), site.connect()
    for caller in (takes, stays):
        caller.sendall(test_server.GET % b"big")
    for call in site.turn_until(lambda: site.calls[1:] and site.calls):
        call.respond(200, b"x" * (1 << 24) + b"end")
    turn_loop(site, MOST_TURNS)
    for caller in (takes, stays):
        caller.shutdown(socket.SHUT_WR)
    reads.clear()
    turn_loop(site, 20)
    assert len(reads) <= 4
    assert site.read(takes, b"end").endswith(b"xend")
    site.advance(20.0)
    assert not site.server._connections
    for caller in (takes, stays):
        caller.close()


def test_caller_that_closed_its_side_in_a_stream_has_left():
    # A caller that takes nothing closes its side in the middle of a stream.
    # The close waited for the unsent bytes, and an engine worked for nobody.
    site = open_site()
    caller = site.connect()
    caller.sendall(test_server.GET % b"long")
    call = site.turn_until(lambda: site.calls)[0]
    call.begin(200)
    call.write(b"x" * (1 << 24))
    turn_loop(site, MOST_TURNS)
    caller.shutdown(socket.SHUT_WR)
    site.turn_until(lambda: site.hung_up)
    caller.close()


def test_last_answer_survives_a_request_behind_it():
    # A caller sends its next request before it has the answer that says that
    # the connection closes. Closed over unread bytes, the kernel resets the
    # connection and throws away what of the answer is still on its way.
    site = open_site()
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    caller.connect(site.address.pair)
    caller.setblocking(False)
    caller.sendall(test_server.GET % b"last")
    call = site.turn_until(lambda: site.calls)[0]
    call.close_after()
    caller.sendall(test_server.GET % b"now")
    call.respond(200, b"x" * 100_000 + b"end")
    assert not call.unsent_bytes
    site.loop.flush()
    assert site.read(caller, b"end").endswith(b"xend")
    caller.close()


def test_connection_whose_answer_is_on_its_way_makes_room_last():
    # At the most connections, one was longest without a request, as its
    # caller took a long answer slowly. It made room for a new one, and the
    # rest of the answer was thrown away; an idle connection stayed.
    site = test_server.Site(max_connections=2)
    caller = site.connect()
    caller.sendall(test_server.GET % b"big")
    call = site.turn_until(lambda: site.calls)[0]
    call.respond(200, b"x" * (1 << 24) + b"end")
    turn_loop(site, MOST_TURNS)
    idle = make_idle(site)
    new = site.connect()
    site.server._accept_some()
    assert site.read(idle, b"nothing") == b""
    assert site.read(caller, b"end").endswith(b"xend")
    for one in (caller, new):
        one.close()
