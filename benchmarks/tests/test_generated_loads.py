"""Property tests on generated loads: the gap is bounded, every wait ends."""

import hypothesis
from hypothesis import strategies as st

from benchmarks import fleet, loads, results, upstream
from standins import measures
from sycamorefall.sharing import fairness_bound

OPTIONS = fleet.Options(routers=2, upstreams=3, slots=2, seconds=32.0)

LONGEST_PAUSE = 20.0
"""Longest accepted pause in seconds; a starving team waits at least 24 s."""

senders = st.builds(
    loads.Sender,
    team=st.just(""),
    share=st.sampled_from([1.0, 3.0, 10.0, 50.0]),
    weight=st.sampled_from([1.0, 2.0, 4.0]),
    mean_cost=st.sampled_from([20.0, 50.0, 100.0]),
    router=st.sampled_from([None, 0, 1]),
    starts=st.sampled_from([0.0, 0.25]),
)


def name_teams(generated):
    return tuple(
        loads.Sender(
            f"team-{i}",
            sender.share,
            sender.weight,
            sender.mean_cost,
            sender.router,
            sender.starts,
        )
        for i, sender in enumerate(generated)
    )


@hypothesis.settings(max_examples=15)
@hypothesis.given(
    generated=st.lists(senders, min_size=2, max_size=5),
    load=st.sampled_from([0.7, 1.5, 6.0]),
    delay=st.sampled_from([0.0005, 0.003, 0.02]),
    seed=st.integers(1, 99),
)
def test_gap_is_bounded_and_every_wait_ends(generated, load, delay, seed):
    case = loads.Case("generated", name_teams(generated), load)
    options = fleet.Options(
        routers=OPTIONS.routers,
        upstreams=OPTIONS.upstreams,
        slots=OPTIONS.slots,
        seconds=OPTIONS.seconds,
        delay=delay,
        seed=seed,
    )
    outcome = fleet.run_fleet(case, options)
    hypothesis.assume(outcome.services)
    weights = {sender.team: sender.weight for sender in case.senders}
    gap = measures.compute_fairness_gap(
        outcome.services, outcome.waits, weights
    )
    slots = options.upstreams * options.slots
    assert gap <= fairness_bound.compute_gap_bound(
        in_flight=slots + options.upstreams,
        largest_cost=max(service.cost for service in outcome.services),
        staleness=2 * delay + 0.1,
        rate=slots * upstream.UNITS_PER_SECOND,
        lightest_weight=min(weights.values()),
    )
    for team in weights:
        assert results.measure_pause(outcome, team) < LONGEST_PAUSE
