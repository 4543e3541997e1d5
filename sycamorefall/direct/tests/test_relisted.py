"""Upstreams whose entries lapse while requests are in progress there."""

from sycamorefall.direct import core, outcomes
from sycamorefall.direct.tests import fakes


def test_run_counts_as_load_after_its_upstream_is_listed_again():
    # Guards against more requests at an upstream than it has slots, since the
    # runs from before its entry lapsed aren't counted, and their ends are.
    state = fakes.create_state()
    number, sent = fakes.submit_request(state, 0.0, "answer")
    others = [
        one for one in fakes.STANDARD_LISTING if one.name != sent.upstream
    ]
    core.apply_listing(state, 0.1, others)
    core.apply_listing(state, 0.2, list(fakes.STANDARD_LISTING))
    upstream = state.table.by_name[sent.upstream]
    assert upstream.own_load.running == 1
    outcomes.record_response(state, 0.3, number, first=True)
    outcomes.end_attempt(state, 0.4, number, outcomes.AttemptEnd.COMPLETE)
    assert upstream.own_load.running == state.running == 0
