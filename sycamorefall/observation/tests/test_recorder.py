"""Counters and histograms: correct for each team, bounded memory for all."""

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
MAX_MEMORY = 3 << 20
"""Maximum bytes of a recorder with the team count expected in two years."""


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


def test_times_of_a_request_appear_in_the_metrics():
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
    assert recorder.in_progress == 0


def test_busy_team_displaces_quiet_team_without_loss():
    """A busy team gets its own histograms; the displaced ones are merged.

    Twenty teams have histograms. A new busy team must displace a quiet one,
    whose times must be merged into the histograms of the other teams.
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


def test_memory_is_bounded_with_all_teams():
    """Histograms for each team would need the memory of many processes."""
    rng = random.Random(7)
    names = [f"team-{number}" for number in range(TEAMS)]
    recorder = observation.Recorder()
    tracemalloc.start()
    for _ in range(5_000):
        service = f"model-{rng.randrange(SERVICES)}"
        run_request(recorder, 1.0, service, rng.choice(names), pieces=2)
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(recorder.histograms.by_team) <= histograms.MAX_TEAMS + SERVICES
    assert allocated < MAX_MEMORY


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


def test_times_out_of_range_are_recorded_as_its_limits():
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
