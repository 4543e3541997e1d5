"""No step of a stop and no time limit closes a connection with a request."""

import collections

import pytest

from sycamorefall.direct.tests import closing_play

SEEDS = range(300)


@pytest.mark.parametrize(
    "create_stop",
    [closing_play.create_direct_stop, closing_play.create_node_stop],
)
def test_request_on_a_connection_is_answered_before_the_close(create_stop):
    # Guards against connections that a stop or a time limit closes with a
    # request, read or unread, on them.
    lost, counts = {}, collections.Counter()
    for seed in SEEDS:
        play = closing_play.Play(seed, create_stop)
        if unanswered := play.run():
            lost[seed] = len(unanswered)
        assert play.site.exceptions == []
        counts += play.site.server.closings.counts
    assert lost == {}
    for reason in ("idle_limit", "evicted", "stop", "process_end"):
        assert [state for key, state in counts if key == reason] == ["idle"]
