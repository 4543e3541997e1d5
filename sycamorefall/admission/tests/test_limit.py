"""Concurrency limit: short internal queue, no idle slots, within the cap."""

import hypothesis
from hypothesis import strategies
import pytest

from benchmarks import upstreams
from sycamorefall import admission
from sycamorefall.sidecar import gate as gate_module


def create_limit(cap):
    limit = admission.ConcurrencyLimit(cap=cap)
    admission.start_at_minimum(limit)
    return limit


EVENTS = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just("report"),
            strategies.integers(0, 1 << 20),
            strategies.integers(0, 1 << 20),
            strategies.integers(0, 1 << 20),
        ),
        strategies.tuples(
            strategies.just("run"),
            strategies.booleans(),
            strategies.floats(0, 1e6),
        ),
        strategies.tuples(
            strategies.just("end"), strategies.booleans(), strategies.booleans()
        ),
        strategies.tuples(strategies.just("cap"), strategies.integers(1, 50)),
    ),
    max_size=200,
)


@hypothesis.given(EVENTS, strategies.booleans())
def test_limit_is_never_above_the_cap_nor_stuck_at_zero(events, is_engine):
    limit = create_limit(8)
    gate = gate_module.ConcurrencyGate(limit)
    now, serial = 0.0, 0
    for event, *values in events:
        now += 0.3
        if event == "report":
            report = admission.LoadReport(*values)
            update = (
                admission.adjust_to_load
                if is_engine
                else admission.record_foreign
            )
            update(limit, now, report)
        elif event == "run":
            now += min(values[1], 100.0)
            serial += 1
            gate_module.submit_run(gate, now, f"run-{serial}", lambda: None)
            assert len(gate.started_at) <= limit.cap
        elif event == "end" and gate.started_at:
            first = next(iter(gate.started_at))
            gate_module.release_run(gate, now, first, values[0], is_engine)
        elif event == "cap" and values[0] >= len(gate.started_at):
            limit.cap = values[0]
        assert 1 <= admission.compute_own_limit(limit) <= limit.cap
        assert admission.count_claimable(limit, 0, 0) >= 1
        if not gate.started_at:
            assert not gate.held


@pytest.mark.parametrize("cap", [9, 16, 32])
@pytest.mark.parametrize(("capacity", "slots"), [(8, 8), (5, 8), (8, 0)])
def test_internal_queue_stays_short_and_engine_stays_busy(cap, capacity, slots):
    """A cap far above the engine's capacity fills its internal queue.

    The engine knows no teams, so a small team's request waits there behind
    all requests of a flooding team. The limit must find the capacity, also
    when the engine reports more slots than its memory allows, or none.
    """
    before = upstreams.run_limit(
        upstreams.Upstream(capacity, slots),
        admission.ConcurrencyLimit(cap=cap),
        120,
        adapt=False,
    )
    after = upstreams.run_limit(
        upstreams.Upstream(capacity, slots), create_limit(cap), 120
    )
    assert before.mean_queue > cap - capacity
    assert after.most_queue <= 2
    assert after.idle < 0.025


def test_limit_follows_a_capacity_that_changes_without_oscillating():
    upstream = upstreams.Upstream(8, 8)

    def change(now):
        upstream.capacity = 4 if 40 < now < 80 else 8

    figures = upstreams.run_limit(upstream, create_limit(32), 120, change)
    assert figures.mean_queue < 1.5
    assert figures.idle < 0.01


def test_sidecar_restarted_beside_a_busy_engine_starts_low():
    """A restarted sidecar doesn't know its predecessor's requests.

    If it used the whole cap at once, the engine would hold twice as many
    requests as it has slots, and all further requests would wait in the
    engine's internal queue.
    """
    left = {f"foreign-{index}": 5.0 for index in range(8)}
    upstream = upstreams.Upstream(8, 8, left=left)
    figures = upstreams.run_limit(upstream, create_limit(16), 4)
    # Two until the first report, and one more because that report may
    # describe a time when the two were already running.
    assert figures.most_in_flight <= 3


def test_own_ended_requests_in_a_delayed_report_are_not_counted_as_foreign():
    limit = create_limit(8)
    admission.adjust_to_load(limit, 0.0, admission.LoadReport(0, 0, 8))
    for _ in range(8):
        admission.record_start(limit, 1.0)
    for _ in range(8):
        admission.record_end(limit, 1.6)
    # The report still shows the eight requests that have just ended.
    admission.adjust_to_load(limit, 1.7, admission.LoadReport(8, 0, 8))
    assert limit.foreign == 0
    admission.adjust_to_load(limit, 9.0, admission.LoadReport(3, 0, 8))
    assert limit.foreign == 3


def test_limit_ignores_a_burst_that_the_engine_is_still_admitting():
    limit = create_limit(8)
    admission.adjust_to_load(limit, 0.0, admission.LoadReport(0, 0, 8))
    admission.adjust_to_load(limit, 0.5, admission.LoadReport(1, 6, 8))
    admission.adjust_to_load(limit, 1.0, admission.LoadReport(7, 0, 8))
    assert limit.capacity == 8
    admission.adjust_to_load(limit, 1.5, admission.LoadReport(5, 3, 8))
    admission.adjust_to_load(limit, 2.0, admission.LoadReport(5, 3, 8))
    assert limit.capacity == 5


def test_limit_stays_usable_when_reports_end_while_foreign_work_runs():
    limit = create_limit(8)
    admission.adjust_to_load(limit, 0.0, admission.LoadReport(8, 4, 8))
    assert admission.compute_own_limit(limit) == 1
    gate = gate_module.ConcurrencyGate(limit)
    for index in range(20):
        now = 11.0 + index
        gate_module.submit_run(gate, now, f"run-{index}", lambda: None)
        gate_module.release_run(gate, now + 0.5, f"run-{index}", True, True)
    assert limit.foreign == 0
    assert admission.compute_own_limit(limit) == 8


def test_plain_service_is_not_loaded_far_beyond_its_capacity():
    figures = upstreams.run_limit(
        upstreams.Upstream(8, shares=True),
        create_limit(32),
        60,
        mean_work=0.05,
    )
    assert figures.mean_queue < 4
    assert figures.idle < 0.08


def test_slow_plain_service_is_fully_used_soon_after_a_restart():
    """After a sidecar restart, calls of three seconds fill windows slowly.

    A window of 32 responses with two requests in flight lasts most of a
    minute. If the limit grew only at its end, slots would stay idle for that
    time while requests wait.
    """
    figures = upstreams.run_limit(
        upstreams.Upstream(8, shares=True), create_limit(8), 120, mean_work=3.0
    )
    assert figures.idle < 0.12


def test_longer_plain_calls_do_not_lower_the_limit_permanently():
    """Calls that take four times as long look like congestion.

    The service would be limited to a fraction of its capacity permanently.
    Unlike under congestion, calls are no faster at half the limit.
    """
    limit = create_limit(8)
    upstream = upstreams.Upstream(8, shares=True)
    stretched = set()

    def change(now):
        fresh = [] if now < 30 else upstream.left.keys() - stretched
        for request in fresh:
            upstream.left[request] *= 4
            stretched.add(request)

    upstreams.run_limit(upstream, limit, 30, change, mean_work=0.05)
    assert limit.capacity == 8
    upstreams.run_limit(
        upstream, limit, 120, lambda now: change(now + 30), mean_work=0.05
    )
    assert limit.capacity >= 7
