"""Urgent and patient requests that share engines."""

import dataclasses

from sycamorefall.direct import (
    catalog,
    core,
    eligibility,
    fair_queue,
    latency_targets,
)
from sycamorefall.direct import freshness as freshness_module
from sycamorefall.direct.tests import fakes

URGENT, PATIENT = "draft", "answer"


def create_state(patient_target=1.2):
    """Creates a router of one engine whose two kinds of stream differ."""
    state = fakes.create_state(listing=[fakes.create_upstream_entry("e1")])
    routes = state.catalog.routes[fakes.HOST]
    slow = dataclasses.replace(
        routes[f"/{PATIENT}/"], target_latency=patient_target
    )
    routes[f"/{PATIENT}/"] = slow
    engine = catalog.Engine(slots=40, kv_capacity_tokens=1_000_000)
    state.catalog.services["engine"] = catalog.Service("engine", 100, engine)
    return state


def fill(state, seconds):
    """Gives the engine prompts of other routers to read."""
    engine = state.table.by_name["e1"]
    engine.others.unread = int(seconds * engine.prefill_rate)


def test_patient_requests_leave_urgent_ones_room_in_the_queue():
    # Short questions that may take 1.2 s fill each engine's queue with 1 s of
    # reading. Long reports due in 0.5 s then fit nowhere and are refused, all
    # through a burst, though engines do nothing that is more urgent.
    state = create_state()
    _, sent = fakes.submit_request(state, 0.0, URGENT, tokens=100)
    assert sent is not None
    fill(state, 0.5 * eligibility.QUEUE_SHARE + 0.02)
    assert fakes.submit_request(state, 0.1, PATIENT, tokens=100)[1] is None
    assert fakes.submit_request(state, 0.1, URGENT, tokens=100)[1] is None, (
        "it waits behind the first until the next look"
    )
    (sent,) = fakes.list_sends(core.run_timers(state, 0.12))
    assert sent.request == 3


def test_patient_request_is_sent_once_the_queue_is_short():
    # Holding requests back must not leave an engine idle while they wait.
    state = create_state()
    fakes.submit_request(state, 0.0, URGENT, tokens=100)
    fill(state, 0.4)
    number, sent = fakes.submit_request(state, 0.1, PATIENT, tokens=100)
    assert sent is None
    fill(state, 0.5 * eligibility.QUEUE_SHARE - 0.05)
    (sent,) = fakes.list_sends(core.run_timers(state, 0.12))
    assert sent.request == number


def test_patient_request_becomes_urgent_as_its_time_runs_out():
    # A patient request waits for a short queue all its time and is refused,
    # though an engine could have answered it by then.
    state = create_state()
    fakes.submit_request(state, 0.0, URGENT, tokens=100)
    fill(state, 0.3)
    number, sent = fakes.submit_request(state, 0.0, PATIENT, tokens=100)
    assert sent is None
    assert core.run_timers(state, 0.6) == []
    (sent,) = fakes.list_sends(core.run_timers(state, 0.75))
    assert sent.request == number


def test_urgent_request_of_a_team_with_many_patient_ones_is_sent():
    # The same from the caller's side: the urgent request came between the
    # patient ones, and is neither the oldest nor one of the newest.
    state = create_state()
    fakes.submit_request(state, 0.0, URGENT, tokens=100)
    fill(state, 0.3)
    for _ in range(8):
        fakes.submit_request(state, 0.1, PATIENT, tokens=100)
    urgent, _ = fakes.submit_request(state, 0.1, URGENT, tokens=100)
    for _ in range(8):
        fakes.submit_request(state, 0.1, PATIENT, tokens=100)
    (sent,) = fakes.list_sends(core.run_timers(state, 0.12))
    assert sent.request == urgent


def test_routes_that_nobody_calls_reserve_nothing():
    # Operators publish a route with a target of 20 ms that nobody uses yet.
    # If it bounded the queues, engines would stand half empty for it.
    state = create_state()
    fakes.submit_request(state, 0.0, URGENT, tokens=100)
    later = latency_targets.TARGET_RETENTION + 1.0
    freshness_module.record_proof(state.freshness, later)
    fill(state, 0.6)
    assert (
        fakes.submit_request(state, later, PATIENT, tokens=100)[1] is not None
    )


def test_urgent_request_is_not_hidden_behind_patient_ones():
    # A team has dozens of patient requests waiting. One pass looks at three
    # of them, none of which can go, and its urgent ones are refused unseen.
    room = fair_queue.ServiceQueue()
    for number in range(40):
        fair_queue.add_request(room, "mill", number, 1.2)
        if number == 20:
            fair_queue.add_request(room, "mill", 100, 0.6)
    assert next(fair_queue.list_candidates(room, "mill")) == 100
    fair_queue.remove_request(room, "mill", 100)
    assert list(fair_queue.list_candidates(room, "mill")) == [0, 39, 38]
    for number in range(40):
        fair_queue.remove_request(room, "mill", number)
    assert not room.by_team
