"""Tests that tell retrying callers from impatient new ones."""

import random

from hypothesis import example, given, strategies
import pytest

from sycamorefall import errors
from sycamorefall.direct import core, engine_measurement, patience
from sycamorefall.direct.tests import fakes

TARGET = 0.5
"""Target latency of the fake catalog's routes, in seconds."""


def draw_callers(seed, spread, returning, count=400, longest=8.0):
    """Draws (remaining, elapsed) seconds of callers of one route."""
    draws = random.Random(seed)
    callers = []
    for _ in range(count):
        patience_seconds = longest * (1 - spread * draws.random())
        retried_for = 1.5 if draws.random() < returning else 0.0
        callers.append((patience_seconds - retried_for, retried_for))
    return callers


@given(
    seed=strategies.integers(0, 1000),
    spread=strategies.floats(0, 0.5),
    returning=strategies.floats(0, 0.3),
)
@example(seed=304, spread=0.5, returning=0.0)
def test_new_caller_is_not_taken_for_a_retrying_one(seed, spread, returning):
    # Guards against counting all that a caller has less time left than the most
    # patient one as elapsed time. Callers of a route may be ready to wait for 4
    # to 8 seconds. Requests of impatient new callers would then wait for an
    # idle engine and be late.
    known = patience.Patience()
    estimates = [
        (patience.estimate_elapsed(known, left), retried_for)
        for left, retried_for in draw_callers(seed, spread, returning)
    ]
    overestimates = [
        elapsed for elapsed, retried_for in estimates[100:] if not retried_for
    ]
    bound = 0.1 * spread * known.longest
    assert all(elapsed <= bound for elapsed in overestimates)


@given(seed=strategies.integers(0, 1000), returning=strategies.floats(0, 0.4))
def test_retrying_caller_is_detected_if_all_are_equally_patient(
    seed, returning
):
    # Guards against many retrying callers that go before those that can still
    # be on time. If all callers are equally patient, the elapsed time is known
    # exactly.
    known = patience.Patience()
    for left, retried_for in draw_callers(seed, 0.0, returning)[:300]:
        elapsed = patience.estimate_elapsed(known, left)
        if known.spread == 0.0 and known.longest == 8.0:
            assert elapsed == pytest.approx(retried_for)
    assert known.spread == 0.0


def test_elapsed_time_of_a_retrying_caller_is_not_overestimated():
    # Guards against an overestimate for a caller that retries after 3 s. Its
    # remaining time proves only the part of the shortfall that the patience of
    # the least patient new caller does not explain.
    known = patience.Patience()
    for left, _ in draw_callers(1, 0.15, 0.0):
        patience.estimate_elapsed(known, left)
    elapsed = patience.estimate_elapsed(known, 8.0 * 0.93 - 3.0)
    assert 1.5 < elapsed < 3.0 + 0.07 * 8.0


def test_long_prompt_of_an_impatient_caller_goes_to_an_engine_with_work():
    # Guards against long prompts of impatient callers that wait for an idle
    # engine, while those of patient callers go to engines with a short queue
    # at once and are on time. On a day of low load, a quarter of the long
    # prompts waited a quarter of a second.
    state = fakes.create_state(listing=[fakes.create_upstream_entry("e1")])
    for left, _ in draw_callers(2, 0.15, 0.0, count=100, longest=3.0):
        number, _ = fakes.submit_request(
            state, 0.0, "draft", time_left=left, tokens=9
        )
        core.cancel_request(state, number, 0.0)
    engine = state.table.by_name["e1"]
    engine.peer_load.unread = int(
        2 * engine_measurement.IDLE_QUEUE_SECONDS * engine.prefill_rate
    )
    _, sent = fakes.submit_request(
        state, 0.0, "draft", time_left=2.6, tokens=9000
    )
    assert sent is not None
    assert sent.begins_in < TARGET


def test_caller_with_little_time_is_refused_before_its_deadline():
    # Guards against requests of retrying callers that wait until their
    # deadlines: the callers never learn that they did not run.
    state = fakes.create_state()
    for one in state.table.by_service["engine"]:
        one.own_load.running = 4
    number, _ = fakes.submit_request(state, 0.0, "draft", time_left=0.3)
    new, _ = fakes.submit_request(state, 0.0, "draft", time_left=3.0)
    (refused,) = core.run_timers(state, 0.2)
    assert (refused.request, refused.kind) == (
        number,
        errors.ErrorKind.NO_UPSTREAM,
    )
    assert new in state.requests
