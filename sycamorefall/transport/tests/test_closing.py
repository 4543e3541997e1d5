"""Connections that the server closes of its own accord lose no request.

What the server knows of a connection is what its loop has handled. A crowded
or frozen VM is late: requests have arrived that it hasn't seen yet when it
closes connections as idle, ends listening, or judges time limits.
"""

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
        assert not site.server.is_quiet(), turns
        caller.close()
