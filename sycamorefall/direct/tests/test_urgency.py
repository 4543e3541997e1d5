"""Tests of requests with short and long target latencies on the same engine."""

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
    """Creates a router with one engine and two routes of different targets."""
    state = fakes.create_state(listing=[fakes.create_upstream_entry("e1")])
    routes = state.catalog.routes[fakes.HOST]
    slow = dataclasses.replace(
        routes[f"/{PATIENT}/"], target_latency=patient_target
    )
    routes[f"/{PATIENT}/"] = slow
    engine = catalog.Engine(slots=40, kv_capacity_tokens=1_000_000)
    state.catalog.services["engine"] = catalog.Service("engine", 100, engine)
    return state


def queue_prefill(state, seconds):
    """Sets the prefill queue that other routers have at the engine."""
    engine = state.table.by_name["e1"]
    engine.peer_load.unread = int(seconds * engine.prefill_rate)


def test_patient_requests_leave_queue_capacity_for_urgent_ones():
    # Guards against patient requests that fill the prefill queues. If requests
    # due in 1.2 s queue 1 s of prefill at each engine, long prompts due in
    # 0.5 s are refused during the whole burst, though no work is more urgent.
    state = create_state()
    _, sent = fakes.submit_request(state, 0.0, URGENT, tokens=100)
    assert sent is not None
    queue_prefill(state, 0.5 * eligibility.QUEUE_SHARE + 0.02)
    assert fakes.submit_request(state, 0.1, PATIENT, tokens=100)[1] is None
    assert fakes.submit_request(state, 0.1, URGENT, tokens=100)[1] is None, (
        "the request waits behind the first one until the next dispatch pass"
    )
    (sent,) = fakes.list_sends(core.run_timers(state, 0.12))
    assert sent.request == 3


def test_patient_request_is_sent_once_the_queue_is_short():
    # Guards against a queue limit that leaves an engine idle while patient
    # requests wait.
    state = create_state()
    fakes.submit_request(state, 0.0, URGENT, tokens=100)
    queue_prefill(state, 0.4)
    number, sent = fakes.submit_request(state, 0.1, PATIENT, tokens=100)
    assert sent is None
    queue_prefill(state, 0.5 * eligibility.QUEUE_SHARE - 0.05)
    (sent,) = fakes.list_sends(core.run_timers(state, 0.12))
    assert sent.request == number


def test_patient_request_becomes_urgent_as_its_time_runs_out():
    # Guards against a patient request that waits for a short queue until it is
    # refused, although an engine could have served it in time.
    state = create_state()
    fakes.submit_request(state, 0.0, URGENT, tokens=100)
    queue_prefill(state, 0.3)
    number, sent = fakes.submit_request(state, 0.0, PATIENT, tokens=100)
    assert sent is None
    assert core.run_timers(state, 0.6) == []
    (sent,) = fakes.list_sends(core.run_timers(state, 0.75))
    assert sent.request == number


def test_urgent_request_of_a_team_with_many_patient_ones_is_sent():
    # Guards against an urgent request that is not tried since it arrived among
    # patient ones and is neither the oldest nor one of the newest.
    state = create_state()
    fakes.submit_request(state, 0.0, URGENT, tokens=100)
    queue_prefill(state, 0.3)
    for _ in range(8):
        fakes.submit_request(state, 0.1, PATIENT, tokens=100)
    urgent, _ = fakes.submit_request(state, 0.1, URGENT, tokens=100)
    for _ in range(8):
        fakes.submit_request(state, 0.1, PATIENT, tokens=100)
    (sent,) = fakes.list_sends(core.run_timers(state, 0.12))
    assert sent.request == urgent


def test_routes_without_traffic_do_not_limit_the_queue():
    # Guards against a published route without traffic that limits the queues.
    # A target of 20 ms would leave engines half empty.
    state = create_state()
    fakes.submit_request(state, 0.0, URGENT, tokens=100)
    later = latency_targets.TARGET_RETENTION + 1.0
    freshness_module.record_proof(state.freshness, later)
    queue_prefill(state, 0.6)
    assert (
        fakes.submit_request(state, later, PATIENT, tokens=100)[1] is not None
    )


def test_urgent_request_is_not_hidden_behind_patient_ones():
    # Guards against a dispatch pass that tries only patient requests. A team
    # has dozens of them, and a pass tries three. If none of these can be sent,
    # the team's urgent requests are refused without having been tried.
    service_queue = fair_queue.ServiceQueue()
    for number in range(40):
        fair_queue.add_request(service_queue, "mill", number, 1.2)
        if number == 20:
            fair_queue.add_request(service_queue, "mill", 100, 0.6)
    assert next(fair_queue.list_candidates(service_queue, "mill")) == 100
    fair_queue.remove_request(service_queue, "mill", 100)
    assert list(fair_queue.list_candidates(service_queue, "mill")) == [
        0,
        39,
        38,
    ]
    for number in range(40):
        fair_queue.remove_request(service_queue, "mill", number)
    assert not service_queue.by_team
