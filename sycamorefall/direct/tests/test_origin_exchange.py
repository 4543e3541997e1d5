"""Streams that are taken up at other routers, in simulated time."""

import dataclasses

import pytest

from sycamorefall import errors, messages
from sycamorefall.direct import (
    core,
    effects,
    origin_queries,
    outcomes,
    stream_origins,
)
from sycamorefall.direct import origin_exchange as origin_exchange_module
from sycamorefall.direct.tests import fakes, simulated_fleet

STREAM_COUNT = 48

LISTING = [
    fakes.create_upstream_entry(
        f"e{number}", port=number + 1, software_version=f"v{number % 3}"
    )
    for number in range(48)
]
"""Engines with room for all streams, of three software versions."""


def create_fleet(domains=3, size=4, seed=1):
    fleet = simulated_fleet.Fleet(domains, size, seed=seed)
    for router in fleet.routers.values():
        core.apply_listing(router.state, 0.0, LISTING)
    fleet.run(4.0)
    return fleet


def find_version(router, upstream):
    return router.state.table.by_name[upstream].listed.software_version


def submit(fleet, router, **fields):
    request = dataclasses.replace(
        fakes.create_request("answer", time_left=10.0), **fields
    )
    core.record_proof(router.state, fleet.now, fleet.now)
    return core.handle_request(router.state, fleet.now, request)


def begin_streams(fleet, routers, count=STREAM_COUNT):
    """Begins streams at routers in turn; returns their versions by id."""
    versions = {}
    for number in range(count):
        router = routers[number % len(routers)]
        stream = f"{router.name}-{number}"
        request, (sent,) = submit(fleet, router, attempt_id=stream)
        outcomes.record_response(router.state, fleet.now, request, first=True)
        fleet.send_origins(router)
        versions[stream] = find_version(router, sent.upstream)
        # Leaves room for the streams that follow.
        core.cancel_request(router.state, request, fleet.now)
    return versions


def take_up(fleet, router, stream):
    """Takes up a stream; returns the version that it goes on at, or None."""
    number, pending = submit(
        fleet, router, attempt_id="again", resumes=stream, last_event_id="3"
    )
    fleet.send_origins(router)
    given_up_at = fleet.now + 0.35
    while not pending and fleet.now < given_up_at:
        fleet.run(0.01)
        pending, router.pending = router.pending, []
    pending += core.run_timers(router.state, fleet.now)
    sends = [one for one in fakes.list_sends(pending) if one.request == number]
    core.cancel_request(router.state, number, fleet.now)
    return find_version(router, sends[0].upstream) if sends else None


def count_going_on(fleet, versions, routers):
    """Takes up streams at routers in turn; none may change its version."""
    count = 0
    for number, (stream, version) in enumerate(versions.items()):
        found = take_up(fleet, routers[number % len(routers)], stream)
        assert found in (None, version)
        count += found is not None
    return count


def list_domain(fleet, number):
    return [
        one for one in fleet.list_live() if one.domain == f"domain-{number}"
    ]


@pytest.mark.parametrize(("domains", "size"), [(1, 2), (4, 1), (3, 4), (2, 12)])
def test_streams_go_on_after_their_router_was_killed(domains, size):
    # Guards against streams that are lost with the router that began them,
    # which was killed an instant after their first events.
    fleet = create_fleet(domains, size)
    first, *others = fleet.list_live()
    versions = begin_streams(fleet, [first])
    first.alive = False
    assert count_going_on(fleet, versions, others) == STREAM_COUNT


@pytest.mark.parametrize("seed", range(4))
def test_most_streams_go_on_after_half_of_the_routers_were_killed(seed):
    # Guards against streams whose holders are killed with their router.
    fleet = create_fleet(3, 4, seed)
    routers = fleet.list_live()
    fleet.random.shuffle(routers)
    versions = begin_streams(fleet, routers)
    fleet.run(0.3)
    for router in routers[:6]:
        router.alive = False
    assert count_going_on(fleet, versions, routers[6:]) > STREAM_COUNT * 0.75


def test_streams_go_on_after_their_failure_domain_was_lost():
    # Guards against streams that are known in one failure domain only.
    fleet = create_fleet(3, 4)
    lost = list_domain(fleet, 0)
    versions = begin_streams(fleet, lost)
    fleet.run(1.0)
    for router in lost:
        router.alive = False
    others = fleet.list_live()
    assert count_going_on(fleet, versions, others) > STREAM_COUNT * 0.75


def test_streams_go_on_in_another_failure_domain():
    # Guards against callers who reach another failure domain, whose routers
    # know neither the stream nor the routers that hold it.
    fleet = create_fleet(3, 8)
    versions = begin_streams(fleet, list_domain(fleet, 0))
    others = list_domain(fleet, 1) + list_domain(fleet, 2)
    assert count_going_on(fleet, versions, others) == STREAM_COUNT


@pytest.mark.parametrize("seed", range(4))
def test_most_streams_go_on_despite_lost_messages(seed):
    # Guards against streams that are unknown as one message was lost.
    fleet = create_fleet(3, 4, seed)
    fleet.loss = 0.1
    first, *others = fleet.list_live()
    versions = begin_streams(fleet, [first])
    first.alive = False
    assert count_going_on(fleet, versions, others) > STREAM_COUNT / 2


def test_router_that_hears_no_other_lets_no_foreign_stream_go_on():
    # Guards against a stream of two versions at a router that is cut off: it
    # can't ask which version began the stream.
    fleet = create_fleet(3, 1)
    first, other, _ = fleet.list_live()
    versions = begin_streams(fleet, [first], 8)
    fleet.run(0.1)
    other.state.origins.known.clear()
    fleet.partitioned = {other.domain}
    assert count_going_on(fleet, versions, [other]) == 0


def test_streams_of_restarted_routers_are_not_guessed():
    # Guards against a router that has just started, with all others, and takes
    # the listed versions for those that began the streams.
    fleet = create_fleet(2, 2)
    versions = begin_streams(fleet, fleet.list_live())
    for name in list(fleet.routers):
        core.apply_listing(fleet.restart(name).state, 0.0, LISTING)
    assert count_going_on(fleet, versions, fleet.list_live()) == 0
    fleet.run(4.0)
    assert count_going_on(fleet, versions, fleet.list_live()) == 0


def test_streams_begun_before_others_are_known_are_told_later():
    # Guards against streams of a router that has just started and is killed
    # seconds later: nobody could be told as they began.
    fleet = create_fleet(1, 3)
    name = next(iter(fleet.routers))
    router = fleet.restart(name)
    core.apply_listing(router.state, 0.0, LISTING)
    versions = begin_streams(fleet, [router], 8)
    fleet.run(2.0)
    router.alive = False
    assert count_going_on(fleet, versions, fleet.list_live()) == 8


def test_unknown_stream_is_refused_as_soon_as_all_have_answered():
    # Guards against callers that wait for a stream that nobody knows.
    fleet = create_fleet(2, 2)
    router = fleet.list_live()[0]
    number, pending = submit(
        fleet, router, attempt_id="b", resumes="made-up", last_event_id="1"
    )
    fleet.run(0.05)
    assert pending == []
    kind = errors.ErrorKind.STREAM_UNKNOWN
    assert router.pending == [effects.AnswerError(number, kind)]
    assert not any(one.state.origins.known for one in fleet.list_live())


def test_router_without_others_refuses_unknown_streams_at_once():
    # Guards against a wait for answers of routers that don't exist.
    fleet = simulated_fleet.Fleet(1, 1, seeds=1)
    (router,) = fleet.list_live()
    core.apply_listing(router.state, 0.0, LISTING)
    fleet.run(2.0)
    submit(fleet, router, resumes="a1", last_event_id="1")
    fleet.send_origins(router)
    done = core.run_timers(router.state, fleet.now)
    assert fleet.now < 2.1
    assert fakes.list_error_kinds(done) == [errors.ErrorKind.STREAM_UNKNOWN]


def test_bytes_of_a_stream_do_not_grow_with_the_fleet():
    # Guards against control traffic that grows with the number of routers.
    received = {}
    for size in (4, 12):
        fleet = create_fleet(3, size)
        begin_streams(fleet, fleet.list_live())
        fleet.run(1.0)
        received[size] = sum(
            one.origin_bytes_received for one in fleet.list_live()
        )
    assert received[12] < 1.5 * received[4]
    assert received[12] < 250 * STREAM_COUNT


@pytest.mark.parametrize(
    "message",
    [
        messages.StreamOrigins(b"x" * 14),
        messages.StreamOrigins(b"x" * 13 * 300),
        messages.OriginAnswer(b"", b"x" * 7),
        messages.OriginQuery(messages.RouterAddress("r", "r"), b"x"),
    ],
)
def test_malformed_message_is_refused(message):
    # Guards against bytes of another version that are taken for streams.
    fleet = create_fleet(1, 2)
    router, other = fleet.list_live()
    envelope = messages.Envelope(other.name, 1, 1, message)
    with pytest.raises(errors.MessageRefused):
        match message:
            case messages.StreamOrigins():
                origin_exchange_module.handle_origins(
                    router.origin_exchange,
                    router.load_exchange,
                    router.state,
                    fleet.now,
                    envelope,
                )
            case messages.OriginAnswer():
                origin_queries.handle_answer(router.state, fleet.now, envelope)
            case messages.OriginQuery():
                origin_queries.handle_query(
                    router.load_exchange, router.state, fleet.now, envelope
                )
    assert router.state.origins == stream_origins.StreamOrigins(
        next_scan_at=router.state.origins.next_scan_at
    )
