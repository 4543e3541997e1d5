"""Counters and histograms: right for each team, bounded for all of them."""

import random
import tracemalloc

from hypothesis import given
from hypothesis import strategies as st
from prometheus_client import parser
import pytest

from sycamorefall import observation
from sycamorefall.observation import histograms, metrics

TEAMS = 31_000
SERVICES = 19
MOST_MEMORY = 3 << 20
"""Bytes that the records may hold at the size of two years."""


def run_request(recorder, now, service, team, pieces=3):
    trace = observation.record_request_start(recorder, now, service, team)
    observation.record_attempt_start(
        recorder, trace, now + 0.1, "a/1", "engine-1"
    )
    for piece in range(pieces):
        observation.record_piece(recorder, trace, now + 0.2 + piece * 0.05)
    observation.record_request_end(recorder, trace, now + 1.0, "answered")
    observation.record_request_end(recorder, trace, now + 9.0, "cancelled")


def read_samples(recorder):
    text = metrics.format_metrics(metrics.list_recorder_metrics(recorder))
    return {
        (sample.name, *sorted(sample.labels.items())): sample.value
        for family in parser.text_string_to_metric_families(text.decode())
        for sample in family.samples
    }


def test_times_of_a_request_reach_the_metrics():
    recorder = observation.Recorder()
    run_request(recorder, 10.0, "assistant", 'mill "a"')
    samples = read_samples(recorder)
    team = (("service", "assistant"), ("team", 'mill "a"'))
    expected = {
        "wait": (0.1, 1),
        "first_token": (0.2, 1),
        "between_tokens": (0.05, 2),
        "total": (1.0, 1),
    }
    for name, (seconds, count) in expected.items():
        name = f"sycamorefall_{name}_seconds"
        median = samples[(name, ("quantile", "0.5"), *team)]
        assert median == pytest.approx(seconds, rel=0.01)
        assert samples[(f"{name}_count", *team)] == count
        assert samples[(f"{name}_sum", *team)] == pytest.approx(seconds * count)
    key = (("result", "answered"), ("service", "assistant"))
    assert samples[("sycamorefall_requests_total", *key)] == 1
    assert recorder.open == 0


def test_busy_team_takes_a_place_and_nothing_is_lost():
    """A team that becomes busy is shown by name; whom it displaces is kept.

    Twenty teams have histograms; a quiet one of them must give way to a new
    busy team, and its times must go on counting among the rest.
    """
    recorder = observation.Recorder()
    for index in range(histograms.MAX_TEAMS):
        run_request(recorder, 1.0, "assistant", f"quiet-{index}")
    for _ in range(5):
        run_request(recorder, 1.0, "assistant", "busy")
    by_team = recorder.histograms.by_team
    assert ("assistant", "busy") in by_team
    assert len(by_team) == histograms.MAX_TEAMS + 1
    kinds = [own[histograms.TimeKind.TOTAL] for own in by_team.values()]
    assert sum(own.count for own in kinds) == histograms.MAX_TEAMS + 5


def test_memory_is_bounded_at_the_size_of_two_years():
    """A histogram for each team would take the memory of many processes."""
    rng = random.Random(7)
    names = [f"team-{number}" for number in range(TEAMS)]
    recorder = observation.Recorder()
    tracemalloc.start()
    for _ in range(5_000):
        service = f"model-{rng.randrange(SERVICES)}"
        run_request(recorder, 1.0, service, rng.choice(names), pieces=2)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(recorder.histograms.by_team) <= histograms.MAX_TEAMS + SERVICES
    assert held < MOST_MEMORY


@given(st.lists(st.floats(0.0, 5000.0), max_size=30))
def test_quantiles_are_those_of_the_library(times):
    recorded = histograms.TimeHistogram()
    for seconds in times:
        recorded.record(seconds)
    shares = (0.5, 0.9, 0.99, 1.0)
    expected = [
        recorded.counts.get_value_at_percentile(100.0 * share)
        / histograms.UNITS_PER_SECOND
        for share in shares
    ]
    assert recorded.compute_quantiles(shares) == expected


def test_times_out_of_range_are_kept_at_its_ends():
    recorder = observation.Recorder()
    for seconds in (0.0, 7200.0):
        histograms.record_time(
            recorder.histograms,
            "a",
            "b",
            histograms.TimeKind.TOTAL,
            seconds,
        )
    (shown,) = recorder.histograms.by_team.values()
    total = shown[histograms.TimeKind.TOTAL]
    assert total.count == 2
    assert total.compute_quantiles((1.0,))[0] == pytest.approx(3600, rel=0.01)
