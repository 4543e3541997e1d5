"""The look for silent upstreams, against a close look at every request."""

import random

import pytest

from sycamorefall.direct import core, freshness, outcomes, stalls, upstreams
from sycamorefall.direct.tests import fakes

PATHS = ("draft", "answer", "book", "look")
NOW = 3.0


def create_mixed(seed):
    """Creates a router with requests old and new at upstreams of any state."""
    draws = random.Random(seed)
    listing = [fakes.create_upstream_entry(f"e{n}", port=n) for n in range(5)]
    listing += [
        fakes.create_upstream_entry(f"l{n}", "ledger", port=9 + n)
        for n in range(3)
    ]
    state = fakes.create_state(NOW, listing)
    for _ in range(30):
        path = draws.choice(PATHS)
        number, sent = fakes.submit_request(state, NOW, path, tokens=200)
        if sent is None:
            continue
        attempt = state.requests[number].attempt
        attempt.sent_at = NOW - draws.choice([0.1, 0.6, 1.5, 2.5])
        attempt.response_started = draws.random() < 0.5
        attempt.born = draws.choice([0, 0, 0, 0, 7])
    for one in state.table.by_name.values():
        one.last_byte_at = NOW - draws.choice([0.1, 0.9, 1.0, 1.2, 1.9, 2.4])
    gone = [one for one in listing if draws.random() < 0.9]
    core.apply_listing(state, NOW, gone)
    freshness.record_proof(state.freshness, NOW)
    return state


def look_closely(state):
    """Looks at every request, whatever its upstream said."""
    done = []
    for request in list(state.requests.values()):
        attempt = request.attempt
        known = attempt and state.table.by_name.get(attempt.upstream)
        if known and known.listed.born != attempt.born:
            done.append(stalls.effects.AbortAttempt(request.number))
            end = outcomes.AttemptEnd.BROKEN
            done += outcomes.end_attempt(state, NOW, request.number, end)
    running = [one for one in state.requests.values() if one.attempt]
    hanging = {
        one.attempt.upstream
        for one in running
        if stalls._is_hanging(state, NOW, one)
    }
    stuck = [
        one for one in running if stalls._is_stuck(state, NOW, one, hanging)
    ]
    for name in hanging:
        upstreams.suspend_upstream(state.table.by_name[name], NOW)
    for request in stuck:
        done += stalls._move(state, NOW, request)
    return done


def describe(done):
    return [
        (type(one).__name__, one.request, getattr(one, "upstream", ""))
        for one in done
    ]


def list_barred(state):
    return {n: one.suspended_until for n, one in state.table.by_name.items()}


SEEDS = range(40)


@pytest.mark.parametrize("seed", SEEDS)
def test_look_finds_what_a_close_look_finds(seed):
    # An engine goes dark, and its callers wait until their deadlines. Cause:
    # the quick look took it for one that is heard.
    quick, close = create_mixed(seed), create_mixed(seed)
    assert describe(stalls.handle_stalls(quick, NOW)) == describe(
        look_closely(close)
    )
    assert list_barred(quick) == list_barred(close)


def test_states_have_silent_upstreams_and_former_lives():
    # Guards the test above against states in which nothing is found.
    found = [stalls.handle_stalls(create_mixed(s), NOW) for s in SEEDS]
    assert sum(bool(done) for done in found) > len(SEEDS) / 2
    barred = []
    for seed in SEEDS:
        state = create_mixed(seed)
        before = list_barred(state)
        stalls.handle_stalls(state, NOW)
        barred.append(list_barred(state) != before)
    assert sum(barred) > len(SEEDS) / 4
