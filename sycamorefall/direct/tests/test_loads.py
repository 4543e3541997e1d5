"""Reports of loads and floors between routers, and estimates from them."""

from hypothesis import given, strategies
import pytest

from sycamorefall import messages
from sycamorefall.direct import (
    caches,
    core,
    eligibility,
    exchange,
    fair_queue,
    freshness,
    outcomes,
    peers,
    service_floors,
)
from sycamorefall.direct.tests import fakes


def deliver_load(
    load, load_exchange, state, now, sender="front-2", incarnation=1
):
    envelope = messages.Envelope(sender, incarnation, 1, load)
    exchange.handle_load(load_exchange, state, now, envelope)


def create_load(engine, floor, running=0):
    return messages.UpstreamLoad(engine, running, 0, 0, floor)


def create_services(team, amount):
    return (
        messages.ServiceDemand("engine", (create_team_service(team, amount),)),
    )


def create_team_service(team, amount):
    return messages.TeamService(team, amount)


def test_floor_of_one_engine_does_not_apply_to_others():
    # On a day at full load, a small team's request waited at one router for the
    # engine with its paper in cache. All other routers refused a large team's
    # requests while the other engines ran at two thirds of their capacity,
    # because one floor was reported for the whole service.
    state, load_exchange = fakes.create_state(), fakes.create_exchange()
    for name in ("e1", "e2"):
        state.table.by_name[name].own_load.running = 3
    load = messages.RouterLoad(
        1,
        "127.0.0.1:2",
        upstreams=(create_load("e1", 0),),
        services=create_services("mill", 30_000),
    )
    deliver_load(load, load_exchange, state, 0.0)
    _, sent = fakes.submit_request(state, 0.0, "draft", team="mill")
    assert sent.upstream == "e2"
    assert fakes.submit_request(state, 0.0, "draft", team="mill")[1] is None


def list_engines_with_floor(load_exchange, state):
    load = exchange.build_load_message(
        load_exchange, state, load_exchange.own_group.due
    )
    return {entry.upstream for entry in load.upstreams if entry.floor >= 0}


def test_waiting_request_sets_floors_only_of_engines_that_suit_it():
    # Guards against routers that keep an engine free for a request that can't
    # use it, because another engine has its paper in cache.
    state, load_exchange = fakes.create_state(), fakes.create_exchange()
    parts = (("paper", 5000),)
    number, sent = fakes.submit_request(
        state, 0.0, "draft", tokens=6000, parts=parts
    )
    core.cancel_request(state, number, 0.0)
    for name in ("e1", "e2"):
        state.table.by_name[name].own_load.running = 4
    fakes.submit_request(state, 0.0, "draft", tokens=6000, parts=parts)
    assert list_engines_with_floor(load_exchange, state) == {sent.upstream}
    fakes.submit_request(state, 0.0, "draft", tokens=100)
    assert list_engines_with_floor(load_exchange, state) == {"e1", "e2"}


def test_waiting_request_sets_floors_of_few_engines():
    # Guards against half-idle engines: all engines were kept free for one long
    # prompt that fit nowhere, and teams that waited at different routers kept
    # each other off the engines.
    names = [f"e{n}" for n in range(30)]
    listing = [
        fakes.create_upstream_entry(name, port=n)
        for n, name in enumerate(names)
    ]
    state, load_exchange = (
        fakes.create_state(listing=listing),
        fakes.create_exchange(),
    )
    for name in names:
        state.table.by_name[name].own_load.running = 4
    fakes.submit_request(state, 0.0, "draft", tokens=100)
    assert (
        len(list_engines_with_floor(load_exchange, state))
        == service_floors.MAX_ENGINES_PER_REQUEST
    )
    for _ in range(9):
        fakes.submit_request(state, 0.0, "draft", tokens=100)
    assert list_engines_with_floor(load_exchange, state) == set(names)


def test_late_request_sets_no_floor():
    # Refused callers retry when it is too late to answer them in time. Engines
    # that are kept free for them are lost to requests that can be on time.
    state, load_exchange = fakes.create_state(), fakes.create_exchange()
    for name in ("e1", "e2"):
        state.table.by_name[name].own_load.running = 4
    number, _ = fakes.submit_request(
        state, 0.0, "draft", time_left=3.0, tokens=100
    )
    core.cancel_request(state, number, 0.0)
    fakes.submit_request(state, 0.0, "draft", time_left=1.0, tokens=100)
    assert list_engines_with_floor(load_exchange, state) == set()


def test_long_prompt_is_reported_immediately():
    # Guards against two routers that send to the same idle engine within 0.1 s,
    # so that both callers get their response late. Loads were reported only at
    # fixed intervals.
    here, load_exchange = fakes.create_state(), fakes.create_exchange()
    there, remote_exchange = (
        fakes.create_state(),
        fakes.create_exchange("front-2", 2),
    )
    first = exchange.build_load_message(load_exchange, here, 0.0)
    deliver_load(first, remote_exchange, there, 0.0, sender="front-1")
    fakes.submit_request(here, 0.01, "draft", tokens=100)
    assert (
        exchange.find_next_due(load_exchange, here)
        == load_exchange.own_group.due
    ), "too little to report early"
    _, sent = fakes.submit_request(here, 0.01, "draft", tokens=30_000)
    due = exchange.find_next_due(load_exchange, here)
    assert due <= 0.01
    delta = exchange.build_load_message(load_exchange, here, due)
    assert not delta.whole
    deliver_load(delta, remote_exchange, there, due, sender="front-1")
    seen = there.table.by_name[sent.upstream]
    assert seen.unread >= 30_000
    assert exchange.find_next_due(load_exchange, here) > due


def test_delta_of_an_unknown_process_is_ignored():
    # A router restarts and its first message is lost. Its next delta must not
    # be added to the load of its previous process.
    state, load_exchange = fakes.create_state(), fakes.create_exchange()
    load = messages.RouterLoad(
        9, "127.0.0.1:2", upstreams=(create_load("e1", -1, running=3),)
    )
    deliver_load(load, load_exchange, state, 0.0)
    delta = messages.RouterLoad(
        2, "", upstreams=(create_load("e2", -1, running=2),), whole=False
    )
    deliver_load(delta, load_exchange, state, 0.1, incarnation=2)
    deliver_load(delta, load_exchange, state, 0.1, sender="front-3")
    assert state.table.by_name["e2"].running == 0
    assert "front-3" not in load_exchange.peers
    full_update = messages.RouterLoad(3, "127.0.0.1:2")
    deliver_load(full_update, load_exchange, state, 0.2, incarnation=2)
    assert state.table.by_name["e1"].running == 0


@given(
    steps=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["submit", "end", "report"]),
            strategies.booleans(),
        ),
        max_size=60,
    )
)
def test_full_update_corrects_loads_after_lost_messages(steps):
    # After a lost message, the load that a router assumes of another may be
    # wrong for an interval; the next full update corrects it.
    here, load_exchange = fakes.create_state(), fakes.create_exchange()
    there, remote_exchange = (
        fakes.create_state(),
        fakes.create_exchange("front-2", 2),
    )
    now = 0.0
    for step, arrives in steps:
        now += 0.02
        running = [
            request for request in here.requests.values() if request.attempt
        ]
        if step == "submit":
            fakes.submit_request(here, now, "draft", tokens=2000)
        elif step == "end" and running:
            core.cancel_request(here, running[0].number, now)
        elif step == "report":
            load = exchange.build_load_message(load_exchange, here, now)
            if arrives:
                deliver_load(
                    load, remote_exchange, there, now, sender="front-1"
                )
    load = exchange.build_load_message(
        load_exchange, here, load_exchange.own_group.due
    )
    deliver_load(
        load,
        remote_exchange,
        there,
        load_exchange.own_group.due,
        sender="front-1",
    )
    for name, upstream in here.table.by_name.items():
        assert there.table.by_name[name].peer_load == upstream.own_load


def test_load_of_an_engine_is_the_sum_of_all_routers():
    # Of three routers, one is gone: the slots of its requests are free again,
    # those of the other routers are not.
    state, load_exchange = fakes.create_state(), fakes.create_exchange()
    for number, running in ((2, 1), (3, 2)):
        load = messages.RouterLoad(
            1,
            f"127.0.0.1:{number}",
            upstreams=(create_load("e1", 7, running),),
            services=create_services("mill", 100 * running),
        )
        deliver_load(
            load, load_exchange, state, float(number), sender=f"front-{number}"
        )
    assert state.table.by_name["e1"].running == 3
    accounts = state.accounts["engine"]
    assert fair_queue.compute_peer_received(
        accounts, 3.0, "mill"
    ) == pytest.approx(fair_queue.decay(100, 1.0) + 200, abs=1)
    gone_at = 2 + peers.PEER_TIMEOUT
    exchange.build_load_message(load_exchange, state, gone_at)
    assert state.table.by_name["e1"].running == 2
    assert fair_queue.compute_peer_received(
        accounts, gone_at, "mill"
    ) == pytest.approx(fair_queue.decay(200, gone_at - 3.0), abs=1)


def test_busy_router_of_a_large_fleet_reports_before_peer_timeout():
    # Guards against a busy router in a fleet of hundreds that sends no long
    # prompts and reports so rarely that the others take it for gone and use the
    # slots of its requests.
    state, load_exchange = fakes.create_state(), fakes.create_exchange()
    fakes.submit_request(state, 0.0, "draft", tokens=100)
    state.routers = 400
    exchange.build_load_message(load_exchange, state, 0.0)
    assert exchange.find_next_due(load_exchange, state) < peers.PEER_TIMEOUT / 2


def test_prefill_rate_ignores_prompt_answered_right_after_another():
    # A short prompt arrives when the long one before it is almost processed,
    # and is answered immediately. The prefill rate was overestimated tenfold,
    # the engine was sent ten times too much, and a sixth of the day's responses
    # were late.
    state = fakes.create_state(listing=[fakes.create_upstream_entry("e1")])
    engine = state.table.by_name["e1"]
    before = engine.prefill_rate
    now = 0.0
    for _ in range(20):
        freshness.record_proof(state.freshness, now)
        long, _ = fakes.submit_request(state, now, "draft", tokens=39_000)
        engine.cache = caches.CacheEstimate()
        short, sent = fakes.submit_request(
            state, now + 0.4, "draft", tokens=100
        )
        if sent:
            outcomes.record_response(state, now + 0.45, short, first=True)
        outcomes.record_response(state, now + 0.47, long, first=True)
        for number in (long, short):
            core.cancel_request(state, number, now + 0.5)
        engine.cache = caches.CacheEstimate()
        now += 1.0
    assert engine.prefill_rate < 1.6 * before


def test_prefill_rate_follows_an_engine_that_slows_down():
    # An engine's prefill rate drops to a third. Responses may be late only
    # until the routers have measured a few of them.
    state = fakes.create_state(listing=[fakes.create_upstream_entry("e1")])
    engine = state.table.by_name["e1"]
    true_rate, now = engine.prefill_rate / 3, 0.0
    for _ in range(20):
        freshness.record_proof(state.freshness, now)
        number, sent = fakes.submit_request(state, now, "draft", tokens=10_000)
        if sent:
            end = now + 0.05 + 10_000 / true_rate
            outcomes.record_response(state, end, number, first=True)
        core.cancel_request(state, number, now + 1.0)
        engine.cache = caches.CacheEstimate()
        now += 1.0
    assert true_rate * 0.7 < engine.prefill_rate < true_rate * 1.4


def test_refusal_records_its_obstacles():
    # When a caller complains of a refusal, the log line must tell whether the
    # engines were full or kept free for another team, and how old the listing
    # was.
    state, load_exchange = fakes.create_state(), fakes.create_exchange()
    load = messages.RouterLoad(
        1,
        "127.0.0.1:2",
        upstreams=(create_load("e1", 0, 3), create_load("e2", -1, 4)),
        services=create_services("mill", 30_000),
    )
    deliver_load(load, load_exchange, state, 0.0)
    fakes.submit_request(state, 0.0, "draft", team="mill")
    (refused,) = core.run_timers(state, 0.45)
    assert refused.refusal.obstacles == {
        eligibility.Obstacle.YIELDS.value: 1,
        eligibility.Obstacle.SLOTS.value: 1,
    }
    assert refused.refusal.received == int(fair_queue.decay(30_000, 0.45))
    assert refused.refusal.floor == 0
    assert refused.refusal.routers == 2
    assert refused.refusal.configuration == 1
    assert refused.refusal.listing_age == 0.45
