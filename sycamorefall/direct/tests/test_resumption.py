"""Requests that go on with a stream which another request has begun."""

import dataclasses

import pytest

from sycamorefall import errors
from sycamorefall.direct import (
    catalog,
    core,
    dispatching,
    effects,
    fair_queue,
    outcomes,
    resumption,
    stream_origins,
)
from sycamorefall.direct.tests import fakes
from sycamorefall.direct.tests.test_stream_origins import create_engines

FIRST = "a1"
"""Id of the attempt that began the stream."""


def create_request(route="answer", **fields):
    """Creates a request that goes on with the stream of `FIRST`."""
    fields = {"attempt_id": "b2", "resumes": FIRST, "last_event_id": "4"} | (
        fields
    )
    return dataclasses.replace(fakes.create_request(route), **fields)


def submit(state, now=0.0, **fields):
    return core.handle_request(state, now, create_request(**fields))


def record(state, upstream, now=0.0, team="mill"):
    """Records that an engine began the stream, as told by another router."""
    return stream_origins.record_origin(
        state.origins,
        now,
        stream_origins.compute_key(team, FIRST),
        state.table.by_name[upstream].origin,
        20.0,
        "front-2",
    )


def begin_stream(state, now=0.0):
    request = create_request(attempt_id=FIRST, resumes=None, last_event_id="")
    number, (sent,) = core.handle_request(state, now, request)
    outcomes.record_response(state, now, number, first=True)
    return number, sent.upstream


def test_stream_goes_on_at_its_version_although_others_are_free():
    # Guards against a stream of two versions: the only engine of its version
    # is the busiest one.
    state = fakes.create_state(listing=create_engines("v1", "v2", "v2"))
    record(state, "e0")
    state.table.by_name["e0"].peer_load.running = 2
    _, (sent,) = submit(state)
    assert sent.upstream == "e0"


def test_stream_that_began_here_goes_on_at_its_version():
    # Guards against a router that forgets which version began a stream once its
    # request has ended.
    state = fakes.create_state(listing=create_engines("v1", "v2"))
    number, first = begin_stream(state)
    core.cancel_request(state, number, 0.1)
    _, (sent,) = submit(state, 0.2)
    assert sent.upstream == first
    assert state.origins.untold


def test_stream_taken_up_twice_is_told_again():
    # Guards against a stream that can't be taken up a second time, since the
    # routers that were told of it are gone.
    state = fakes.create_state(listing=create_engines("v1", "v2"))
    known = record(state, "e0")
    number, _ = submit(state)
    assert not state.origins.untold
    outcomes.record_response(state, 0.1, number, first=True)
    key = stream_origins.compute_key("mill", FIRST)
    assert state.origins.untold == [key]
    assert state.origins.known[key] is known


def test_unknown_stream_waits_for_other_routers():
    # Guards against a stream that goes on at any version, as the router doesn't
    # know the one that began it.
    state = fakes.create_state(listing=create_engines("v1", "v1"))
    number, pending = submit(state)
    assert pending == []
    assert core.find_next_due(state) <= resumption.LOOKUP_TIMEOUT
    known = record(state, "e1")
    key = state.requests[number].stream_key
    (sent,) = fakes.list_sends(core.end_lookup(state, 0.1, key))
    assert state.requests[number].known_origin is known
    assert sent.request == number


@pytest.mark.parametrize("answered", [True, False])
def test_stream_that_nobody_knows_is_refused(answered):
    # Guards against a request that waits until its deadline, or for nothing: it
    # is told to come back only if a router that didn't answer may know more.
    state = fakes.create_state(listing=create_engines("v1", "v1"))
    number, _ = submit(state)
    key = state.requests[number].stream_key
    done = (
        core.end_lookup(state, 0.1, key)
        if answered
        else core.run_timers(state, resumption.LOOKUP_TIMEOUT)
    )
    retry_after = None if answered else resumption.OTHER_ROUTER_RETRY_AFTER
    kind = errors.ErrorKind.STREAM_UNKNOWN
    assert done == [effects.AnswerError(number, kind, retry_after)]
    assert not state.requests
    assert not state.origins.lookups


def test_stream_is_refused_at_once_if_its_version_is_gone():
    # Guards against a request that waits for an upstream that doesn't exist.
    state = fakes.create_state(listing=create_engines("v1", "v2"))
    record(state, "e0")
    core.apply_listing(state, 0.1, create_engines("v2", "v2"))
    number, done = submit(state, 0.2)
    kind = errors.ErrorKind.STREAM_VERSION_GONE
    assert done == [effects.AnswerError(number, kind)]


def test_waiting_stream_is_refused_once_its_version_is_gone():
    # Guards against a request that waits until its target is missed after the
    # last upstream of its version has announced that it leaves.
    state = fakes.create_state(listing=create_engines("v1", "v2"))
    record(state, "e0")
    state.table.by_name["e0"].peer_load.running = 4
    number, done = submit(state)
    assert done == []
    state.table.by_name["e0"].notice.leaving = True
    done = core.run_timers(state, 0.12)
    kind = errors.ErrorKind.STREAM_VERSION_GONE
    assert done == [effects.AnswerError(number, kind)]


def test_stream_goes_on_at_the_service_that_began_it():
    # Guards against a split route whose draw sends the stream to the other
    # service, and against a service that the configuration no longer allows.
    state = fakes.create_state(listing=create_engines("v1"))
    record(state, "e0")
    kinds = (("ledger", 99.0, "engine", 1.0), ("ledger", 1.0, "engine", 0.0))
    refused = []
    for version, (first, first_weight, second, second_weight) in enumerate(
        kinds, start=2
    ):
        current = fakes.create_catalog(version)
        route = dataclasses.replace(
            current.routes[fakes.HOST]["/answer/"],
            shares=(
                catalog.Share(first, first_weight),
                catalog.Share(second, second_weight),
            ),
        )
        current.routes[fakes.HOST]["/answer/"] = route
        core.apply_catalog(state, 0.1, current)
        _, done = submit(state, 0.2)
        refused += fakes.list_error_kinds(done)
        assert refused or fakes.list_sends(done)
    assert refused == [errors.ErrorKind.STREAM_VERSION_GONE]


def test_id_of_another_team_finds_nothing():
    # Guards against a caller that learns of or pins another team's stream.
    state = fakes.create_state(listing=create_engines("v1", "v2"))
    record(state, "e0", team="trader")
    number, done = submit(state)
    assert done == []
    assert state.requests[number].awaits_origin


@pytest.mark.parametrize(
    ("fields", "kind"),
    [
        ({"resumes": ""}, errors.ErrorKind.MALFORMED_REQUEST),
        ({"resumes": " \t"}, errors.ErrorKind.MALFORMED_REQUEST),
        ({"resumes": "a" * 201}, errors.ErrorKind.MALFORMED_REQUEST),
        ({"resumes": "a\x7f"}, errors.ErrorKind.MALFORMED_REQUEST),
        ({"resumes": None}, errors.ErrorKind.STREAM_UNKNOWN),
        ({"route": "draft"}, errors.ErrorKind.STREAM_NOT_RESUMABLE),
    ],
)
def test_request_that_names_no_stream_is_refused(fields, kind):
    # Guards against a stream that goes on anywhere because the request names
    # it wrongly, not at all, or on a route that doesn't allow it.
    state = fakes.create_state(listing=create_engines("v1"))
    number, done = submit(state, **fields)
    assert done == [effects.AnswerError(number, kind)]
    assert not state.origins.lookups


def test_header_is_ignored_on_routes_without_streams():
    # Guards against plain requests that are refused for a header of another
    # meaning.
    state = fakes.create_state()
    _, (sent,) = submit(state, route="look")
    assert sent.upstream in ("l1", "l2")


def test_made_up_ids_of_a_team_leave_room_for_others():
    # Guards against a team whose made up ids fill the lookups of all teams.
    state = fakes.create_state(listing=create_engines("v1"))
    pending = [
        submit(state, resumes=f"made-up-{number}")[1]
        for number in range(resumption.MAX_TEAM_LOOKUPS + 1)
    ]
    kinds = [kind for one in pending for kind in fakes.list_error_kinds(one)]
    assert kinds == [errors.ErrorKind.STREAM_UNKNOWN]
    assert not state.origins.known
    _, done = core.handle_request(
        state,
        0.0,
        dataclasses.replace(
            fakes.create_request("answer", team="trader"), resumes=FIRST
        ),
    )
    assert done == []


def test_bound_request_does_not_hide_those_behind_it():
    # Guards against a team whose requests wait behind one that is bound to a
    # full engine, while another engine is free.
    state = fakes.create_state(listing=create_engines("v1", "v2"))
    record(state, "e0")
    for name in ("e0", "e1"):
        state.table.by_name[name].peer_load.running = 4
    bound, _ = submit(state)
    # More requests of the same kind than one pass tries of a queue.
    others = [fakes.submit_request(state, 0.0, "answer")[0] for _ in range(4)]
    queue = state.service_queues["engine"]
    candidates = list(fair_queue.list_candidates(queue, "mill"))
    assert bound in candidates
    assert others[0] in candidates
    state.table.by_name["e1"].peer_load.running = 0
    sends = fakes.list_sends(dispatching.send_waiting_requests(state, 0.05))
    assert {one.request for one in sends} == set(others)
    state.table.by_name["e0"].peer_load.running = 0
    sends = fakes.list_sends(dispatching.send_waiting_requests(state, 0.06))
    assert [one.request for one in sends] == [bound]


def test_bound_request_is_refused_if_its_version_rests_longer_than_it_waits():
    # Guards against a request that waits in vain because engines of other
    # versions take requests.
    state = fakes.create_state(listing=create_engines("v1", "v2"))
    record(state, "e0")
    state.table.by_name["e0"].notice.delayed_until = 30.0
    number, (answer,) = submit(state)
    assert answer.kind is errors.ErrorKind.NO_UPSTREAM
    assert 30.0 <= answer.retry_after < 31.0
    assert fakes.submit_request(state, 0.0, "answer")[1].upstream == "e1"


def test_configuration_that_changes_during_a_lookup_applies():
    # Guards against a request that goes on with a stream after its route has
    # been removed, or is queued before the version is known.
    state = fakes.create_state(listing=create_engines("v1"))
    submit(state)
    core.apply_catalog(state, 0.05, fakes.create_catalog(2))
    assert not any(one.by_team for one in state.service_queues.values())
    done = core.apply_catalog(
        state, 0.06, fakes.create_catalog(3, excluded=("answer",))
    )
    assert fakes.list_error_kinds(done) == [errors.ErrorKind.UNKNOWN_SERVICE]


def test_origins_are_forgotten_after_the_callers_deadline():
    # Guards against memory that grows with each stream, and against a stream
    # that is forgotten while its caller may come back.
    state = fakes.create_state(listing=create_engines("v1"))
    begin_stream(state)
    key = stream_origins.compute_key("mill", FIRST)
    kept = fakes.create_request("answer").time_left
    assert stream_origins.find_origin(state.origins, kept, key)
    core.run_timers(state, kept + 2 * stream_origins.RETENTION_MARGIN)
    assert not state.origins.known


def test_oldest_origins_are_dropped_first(monkeypatch):
    # Guards against a table of origins that grows without a limit.
    monkeypatch.setattr(stream_origins, "MAX_STREAMS", 4)
    origins = stream_origins.StreamOrigins()
    for key in range(6):
        stream_origins.record_origin(origins, 0.0, key, 9, 1e9)
    assert list(origins.known) == [2, 3, 4, 5]
    limit = stream_origins.MAX_RETENTION
    assert stream_origins.find_origin(origins, limit, 5) is None


def test_id_used_for_two_versions_goes_on_at_none():
    # Guards against a stream of two versions whose caller used an id twice.
    state = fakes.create_state(listing=create_engines("v1", "v2"))
    for name in ("e0", "e1", "e0"):
        record(state, name)
    _, done = submit(state)
    assert fakes.list_error_kinds(done) == [errors.ErrorKind.STREAM_UNKNOWN]
