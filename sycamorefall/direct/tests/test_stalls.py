"""Detection of stalled upstreams, compared with a check of every request."""

import random

import pytest

from sycamorefall.direct import core, freshness, outcomes, stalls, upstreams
from sycamorefall.direct.tests import fakes

ROUTES = ("draft", "answer", "book", "look")
NOW = 3.0


def create_random_state(seed):
    """Creates a router with random requests at upstreams in random states."""
    draws = random.Random(seed)
    listing = [fakes.create_upstream_entry(f"e{n}", port=n) for n in range(5)]
    listing += [
        fakes.create_upstream_entry(f"l{n}", "ledger", port=9 + n)
        for n in range(3)
    ]
    state = fakes.create_state(NOW, listing)
    for _ in range(30):
        route = draws.choice(ROUTES)
        number, sent = fakes.submit_request(state, NOW, route, tokens=200)
        if sent is None:
            continue
        attempt = state.requests[number].attempt
        attempt.sent_at = NOW - draws.choice([0.1, 0.6, 1.5, 2.5])
        attempt.response_started = draws.random() < 0.5
        attempt.start_time = draws.choice([0, 0, 0, 0, 7])
    for one in state.table.by_name.values():
        one.last_byte_at = NOW - draws.choice([0.1, 0.9, 1.0, 1.2, 1.9, 2.4])
    relisted = [one for one in listing if draws.random() < 0.9]
    core.apply_listing(state, NOW, relisted)
    freshness.record_proof(state.freshness, NOW)
    return state


def check_every_request(state):
    """Handles stalls by a check of every request, without the prefilter."""
    done = []
    for request in list(state.requests.values()):
        attempt = request.attempt
        known = attempt and state.table.by_name.get(attempt.upstream)
        if known and known.listed.start_time != attempt.start_time:
            done.append(
                stalls.effects.AbortAttempt(
                    request.number, upstream=attempt.upstream
                )
            )
            end = outcomes.AttemptEnd.BROKEN
            done += outcomes.end_attempt(state, NOW, request.number, end)
    running = [one for one in state.requests.values() if one.attempt]
    for request in running:
        if stalls._is_stalled(NOW, request):
            attempt = request.attempt
            upstreams.record_stall(attempt.process, NOW, attempt.is_probe)
    state.moving |= {
        one.number: None for one in running if stalls._should_move(NOW, one)
    }
    return done + stalls.move_requests(state, NOW)[0]


def describe(done):
    return [
        (type(one).__name__, one.request, getattr(one, "upstream", ""))
        for one in done
    ]


def list_suspensions(state):
    return {n: one.suspended_until for n, one in state.table.by_name.items()}


SEEDS = range(40)


@pytest.mark.parametrize("seed", SEEDS)
def test_prefilter_finds_what_a_check_of_every_request_finds(seed):
    # Guards against a stalled engine that the prefilter misses, so that its
    # callers wait until their deadlines.
    filtered, exhaustive = create_random_state(seed), create_random_state(seed)
    assert describe(stalls.handle_stalls(filtered, NOW)) == describe(
        check_every_request(exhaustive)
    )
    assert list_suspensions(filtered) == list_suspensions(exhaustive)
    assert list(filtered.moving) == list(exhaustive.moving)


def test_random_states_have_stalled_upstreams_and_restarts():
    # Guards against a vacuous test above, if no state had stalled upstreams.
    found = [stalls.handle_stalls(create_random_state(s), NOW) for s in SEEDS]
    assert sum(bool(done) for done in found) > len(SEEDS) / 2
    suspended = []
    for seed in SEEDS:
        state = create_random_state(seed)
        before = list_suspensions(state)
        stalls.handle_stalls(state, NOW)
        suspended.append(list_suspensions(state) != before)
    assert sum(suspended) > len(SEEDS) / 4
