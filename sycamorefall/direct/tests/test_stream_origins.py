"""Streams that go on within one response, while several versions serve."""

from hypothesis import given, strategies
import pytest

from sycamorefall.direct import (
    core,
    effects,
    eligibility,
    outcomes,
    stalls,
    stream_origins,
    upstreams,
)
from sycamorefall.direct.outcomes import AttemptEnd
from sycamorefall.direct.tests import fakes


def create_engines(*versions):
    """Creates entries e0, e1, .. of engines with these software versions."""
    return [
        fakes.create_upstream_entry(
            f"e{number}", port=number + 1, software_version=version
        )
        for number, version in enumerate(versions)
    ]


def begin_stream(state, now=0.0):
    """Begins a stream; returns its request's number and its engine's name."""
    number, sent = fakes.submit_request(state, now, "answer")
    outcomes.record_response(state, now, number, first=True)
    return number, sent.upstream


@pytest.mark.parametrize("version", ["v1", "v1.1"])
def test_broken_stream_goes_on_only_at_its_version(version):
    # Guards against a second send within one response to an engine whose
    # events don't fit to those that the caller has.
    state = fakes.create_state(listing=create_engines("v1", version))
    number, first = begin_stream(state)
    done = outcomes.end_attempt(state, 0.1, number, AttemptEnd.BROKEN)
    if version == "v1":
        assert {one.upstream for one in fakes.list_sends(done)} == {
            "e0",
            "e1",
        } - {first}
    else:
        assert done == [effects.AbortResponse(number)]


def test_attempt_without_events_leaves_the_version_open():
    # Guards against a request bound to the version of an engine that broke off
    # before the first event, so that it isn't retried at another one.
    state = fakes.create_state(listing=create_engines("v1", "v2"))
    number, sent = fakes.submit_request(state, 0.0, "answer")
    (retry,) = outcomes.end_attempt(state, 0.1, number, AttemptEnd.BROKEN)
    assert {sent.upstream, retry.upstream} == {"e0", "e1"}
    outcomes.record_response(state, 0.2, number, first=True)
    engine = state.table.by_name[retry.upstream]
    assert state.requests[number].origin == engine.origin


def test_stalled_stream_goes_on_only_at_its_version():
    # Guards against a stream that leaves a frozen engine for another version.
    # It goes on there if the engine does.
    state = fakes.create_state(listing=create_engines("v1", "v2"))
    number, first = begin_stream(state)
    core.record_proof(state, 1.5, 1.5)
    assert not stalls.handle_stalls(state, 1.5)
    outcomes.record_response(state, 1.6, number, first=True)
    assert not stalls.handle_stalls(state, 2.5)
    assert state.requests[number].attempt.upstream == first
    done = core.run_timers(state, 3.0)
    assert effects.AbortResponse(number) in done
    assert not fakes.list_sends(done)


def test_entry_with_another_version_is_another_process():
    # Guards against a stream that goes on at an engine that was restarted under
    # its name at another version; its entry states no start time.
    state = fakes.create_state(listing=create_engines("v1"))
    number, _ = begin_stream(state)
    core.apply_listing(state, 0.1, create_engines("v2"))
    done = core.run_timers(state, 0.2)
    assert effects.AbortResponse(number) in done
    assert state.table.by_name["e0"].own_load == upstreams.Load()


def test_entry_that_left_keeps_the_version_of_its_streams():
    # Guards against a stream that may go on anywhere once the entry of the
    # engine that began it has left the listing, or its name has returned.
    state = fakes.create_state(listing=create_engines("v1", "v2"))
    number, first = begin_stream(state)
    origin = state.table.by_name[first].origin
    others = [
        one for one in create_engines("v1", "v2", "v2") if one.name != first
    ]
    core.apply_listing(state, 0.1, others)
    assert state.requests[number].origin == origin
    done = outcomes.end_attempt(state, 0.2, number, AttemptEnd.BROKEN)
    sends = fakes.list_sends(done)
    assert {state.table.by_name[one.upstream].origin for one in sends} <= {
        origin
    }


def test_engines_that_state_no_version_are_not_taken_for_alike():
    # Guards against two engines that state no version and have different ones.
    state = fakes.create_state(listing=create_engines("", " "))
    number, _ = begin_stream(state)
    done = outcomes.end_attempt(state, 0.1, number, AttemptEnd.BROKEN)
    assert done == [effects.AbortResponse(number)]


def test_refusal_names_the_engines_of_other_versions():
    # Guards against a refusal that operators can't explain: engines are free,
    # but none of them may go on with the stream.
    state = fakes.create_state(listing=create_engines("v1", "v2", "v2"))
    constraints = eligibility.PlacementConstraints(
        fakes.create_request("answer").prompt,
        1.0,
        origin=state.table.by_name["e0"].origin,
    )
    assert core.dispatching.upstream_selection.count_obstacles(
        state.table, 0.0, state.catalog.services["engine"], constraints
    ) == {eligibility.Obstacle.VERSION: 2}


@given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["engine", "ledger", "engin"]),
            strategies.one_of(
                strategies.sampled_from(["v1", "e1:v1", ""]),
                strategies.text(max_size=300),
            ),
        ),
        min_size=2,
        max_size=2,
    )
)
def test_origins_are_equal_only_for_equal_services_and_versions(pairs):
    # Guards against two versions that are taken for one, or one for two, also
    # if they are empty, odd or very long.
    origins = [
        stream_origins.compute_origin(service, version, (f"e{number}", 1))
        for number, (service, version) in enumerate(pairs)
    ]
    stated = all(version.strip() for _, version in pairs)
    assert (origins[0] == origins[1]) == (stated and pairs[0] == pairs[1])
    assert all(0 < origin < 2**32 for origin in origins)
