"""A server whose callers connect faster than it handled them before."""

import itertools

from sycamorefall.transport.tests import test_server

CALLERS_AHEAD = 192
"""Callers that connected before: three times as many as were accepted in one
pass when a number limited it."""


def count_passes_until_served(callers_ahead):
    """Counts the passes of the loop until a caller behind others is read.

    Args:
        callers_ahead: Number of callers that have connected, sent a request and
            left before.
    """
    site = test_server.Site()
    for _ in range(callers_ahead):
        left = site.connect()
        left.send(test_server.GET % b"left")
        left.close()
    caller = site.connect()
    caller.send(test_server.GET % b"now")
    passes = 0
    while not any(call.path == "/now" for call in site.calls):
        assert passes < test_server.MAX_PASSES
        site.loop.tick(0.001)
        passes += 1
    return passes


def test_no_caller_waits_in_the_kernel_behind_those_who_left():
    # Guards against a queue in front of the process: connections that the
    # kernel has made wait there in order, unseen by load shedding, until most
    # of their callers have left, and only requests that are about to be given
    # up are read.
    alone = count_passes_until_served(0)
    behind = count_passes_until_served(CALLERS_AHEAD)
    assert behind == alone


def test_accepting_leaves_time_for_other_events():
    # Guards against a crowd that connects for as long as the server accepts:
    # responses in progress would get no more pieces.
    site = test_server.Site()
    site.loop.tick(0.001)
    callers = [site.connect() for _ in range(20)]
    seconds = itertools.count()
    site.server._read_clock = lambda: float(next(seconds))
    assert site.server._accept_pending() == 1
    assert site.server.open_count < len(callers)
