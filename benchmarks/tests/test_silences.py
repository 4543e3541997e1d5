"""Tests of engines that fall silent at fleets of routers."""

import pytest

from benchmarks import silences

SEED = 1
ROUTERS = 6


@pytest.mark.parametrize("load", (0.6, 1.0))
@pytest.mark.parametrize("trouble", ("1.2 s", "spent, 1.2 s", "stops, 1.2 s"))
def test_answers_of_an_engine_that_goes_on_are_not_ended(trouble, load):
    # Guards against routers that let go of a run at a silent engine although no
    # other engine takes it, and end an answer that the engine would complete.
    counts = silences.play(ROUTERS, load, trouble, SEED)["counts"]
    assert counts.get("faults", 0) == 0
    assert counts.get("repeated", 0) == 0


def test_streams_that_must_not_be_resumed_run_once_if_their_engine_is_gone():
    # Guards against second runs of requests that may run only once.
    played = silences.play(ROUTERS, 0.6, "gone", SEED)
    assert played["counts"].get("repeated", 0) == 0
    assert played["waits"]["reply"], "the engine had runs of such streams"


def test_requests_are_the_same_under_each_trouble():
    # Guards against comparisons of troubles that met different requests.
    plays = [
        silences.play(ROUTERS, 0.6, name, SEED) for name in ("none", "gone")
    ]
    callers = [
        sum(one["counts"].get(n, 0) for n in ("in_time", "late", "unserved"))
        for one in plays
    ]
    assert callers[0] == callers[1]


def test_table_counts_plays_with_an_ended_answer():
    case = {"routers": 6, "load": 1.0, "trouble": "1.2 s"}
    plays = [case | {"counts": {"faults": n}} for n in (0, 2, 3, 0)]
    _, row = silences.format_counts(plays)
    assert row.split()[4:7] == ["2/4", "0.50", "5"]
