"""A server whose callers connect faster than it handled them before."""

from sycamorefall.transport import server
from sycamorefall.transport.tests import test_server


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
    behind = count_passes_until_served(3 * server.MAX_ACCEPTS_PER_EVENT)
    assert behind == alone
