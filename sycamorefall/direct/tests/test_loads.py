"""What routers tell each other, and what they leave to each other."""

from hypothesis import given, strategies

from sycamorefall import messages
from sycamorefall.direct import (
    caches,
    core,
    eligibility,
    exchange,
    freshness,
    outcomes,
    peers,
    service_floors,
)
from sycamorefall.direct.tests import fakes


def pass_on(load, told, state, now, sender="front-2", incarnation=1):
    envelope = messages.Envelope(sender, incarnation, 1, load)
    exchange.handle_load(told, state, now, envelope)


def describe_wait(engine, floor, running=0):
    return messages.UpstreamLoad(engine, running, 0, 0, floor)


def give_service(team, amount):
    return (messages.ServiceDemand("engine", (give_team(team, amount),)),)


def give_team(team, amount):
    return messages.TeamService(team, amount)


def test_engine_that_nobody_waits_for_is_not_left_half_empty():
    # A full day: a small team's request waits at one router for the engine
    # that has read its paper, and a large team's callers are refused at all
    # others, while the other engines run two thirds of what they could.
    # Cause: one floor was told for the whole service.
    state, told = fakes.create_state(), fakes.create_exchange()
    for name in ("e1", "e2"):
        state.table.by_name[name].own.running = 3
    load = messages.RouterLoad(
        1,
        "127.0.0.1:2",
        upstreams=(describe_wait("e1", 0),),
        services=give_service("mill", 30_000),
    )
    pass_on(load, told, state, 0.0)
    _, sent = fakes.submit_request(state, 0.0, "draft", team="mill")
    assert sent.upstream == "e2"
    assert fakes.submit_request(state, 0.0, "draft", team="mill")[1] is None


def find_claims(told, state):
    load = exchange.build_load_message(told, state, told.own.due)
    return {entry.upstream for entry in load.upstreams if entry.floor >= 0}


def test_request_claims_only_engines_whose_room_would_help_it():
    # The same day, the other side: the others keep room for a request that
    # can't use it, as another engine has its paper.
    state, told = fakes.create_state(), fakes.create_exchange()
    parts = (("paper", 5000),)
    number, sent = fakes.submit_request(
        state, 0.0, "draft", tokens=6000, parts=parts
    )
    core.cancel_request(state, number, 0.0)
    for name in ("e1", "e2"):
        state.table.by_name[name].own.running = 4
    fakes.submit_request(state, 0.0, "draft", tokens=6000, parts=parts)
    assert find_claims(told, state) == {sent.upstream}
    fakes.submit_request(state, 0.0, "draft", tokens=100)
    assert find_claims(told, state) == {"e1", "e2"}


def test_request_claims_no_more_engines_than_it_needs():
    # Guards against engines that stand half empty: one long prompt that fits
    # nowhere had room left to it at all of them, and teams that waited at
    # other routers kept each other away.
    names = [f"e{n}" for n in range(30)]
    listing = [
        fakes.create_upstream_entry(name, port=n)
        for n, name in enumerate(names)
    ]
    state, told = fakes.create_state(listing=listing), fakes.create_exchange()
    for name in names:
        state.table.by_name[name].own.running = 4
    fakes.submit_request(state, 0.0, "draft", tokens=100)
    assert (
        len(find_claims(told, state)) == service_floors.MAX_ENGINES_PER_REQUEST
    )
    for _ in range(9):
        fakes.submit_request(state, 0.0, "draft", tokens=100)
    assert find_claims(told, state) == set(names)


def test_request_that_is_late_already_claims_no_engine():
    # Callers that were refused come back, too late for a good answer. Room
    # that is kept for them is kept from those that can be on time.
    state, told = fakes.create_state(), fakes.create_exchange()
    for name in ("e1", "e2"):
        state.table.by_name[name].own.running = 4
    number, _ = fakes.submit_request(
        state, 0.0, "draft", time_left=3.0, tokens=100
    )
    core.cancel_request(state, number, 0.0)
    fakes.submit_request(state, 0.0, "draft", time_left=1.0, tokens=100)
    assert find_claims(told, state) == set()


def test_others_learn_at_once_of_a_long_prompt():
    # Two routers see the same engine free and send to it within a tenth of a
    # second; both callers get their answer late. Cause: loads were told at
    # fixed intervals only.
    here, told = fakes.create_state(), fakes.create_exchange()
    there, heard = fakes.create_state(), fakes.create_exchange("front-2", 2)
    first = exchange.build_load_message(told, here, 0.0)
    pass_on(first, heard, there, 0.0, sender="front-1")
    fakes.submit_request(here, 0.01, "draft", tokens=100)
    assert exchange.find_next_due(told, here) == told.own.due, (
        "too little to tell"
    )
    _, sent = fakes.submit_request(here, 0.01, "draft", tokens=30_000)
    due = exchange.find_next_due(told, here)
    assert due <= 0.01
    change = exchange.build_load_message(told, here, due)
    assert not change.whole
    pass_on(change, heard, there, due, sender="front-1")
    seen = there.table.by_name[sent.upstream]
    assert seen.unread >= 30_000
    assert exchange.find_next_due(told, here) > due


def test_change_told_by_an_unknown_process_is_not_taken_for_all():
    # A router restarts and its first message is lost. A change that it tells
    # then must not stand beside the load of the process before it.
    state, told = fakes.create_state(), fakes.create_exchange()
    load = messages.RouterLoad(
        9, "127.0.0.1:2", upstreams=(describe_wait("e1", -1, running=3),)
    )
    pass_on(load, told, state, 0.0)
    change = messages.RouterLoad(
        2, "", upstreams=(describe_wait("e2", -1, running=2),), whole=False
    )
    pass_on(change, told, state, 0.1, incarnation=2)
    pass_on(change, told, state, 0.1, sender="front-3")
    assert state.table.by_name["e2"].running == 0
    assert "front-3" not in told.peers
    whole = messages.RouterLoad(3, "127.0.0.1:2")
    pass_on(whole, told, state, 0.2, incarnation=2)
    assert state.table.by_name["e1"].running == 0


@given(
    steps=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["take", "end", "tell"]),
            strategies.booleans(),
        ),
        max_size=60,
    )
)
def test_whole_message_sets_right_whatever_was_lost(steps):
    # Messages get lost. What a router believes of another may be wrong for
    # an interval, and is right after the next whole message.
    here, told = fakes.create_state(), fakes.create_exchange()
    there, heard = fakes.create_state(), fakes.create_exchange("front-2", 2)
    now = 0.0
    for step, arrives in steps:
        now += 0.02
        running = [one for one in here.requests.values() if one.attempt]
        if step == "take":
            fakes.submit_request(here, now, "draft", tokens=2000)
        elif step == "end" and running:
            core.cancel_request(here, running[0].number, now)
        elif step == "tell":
            load = exchange.build_load_message(told, here, now)
            if arrives:
                pass_on(load, heard, there, now, sender="front-1")
    load = exchange.build_load_message(told, here, told.own.due)
    pass_on(load, heard, there, told.own.due, sender="front-1")
    for name, upstream in here.table.by_name.items():
        assert there.table.by_name[name].others == upstream.own


def test_load_at_an_engine_is_the_sum_of_all_routers():
    # Three routers, one of them gone: its places are used again, those of
    # the others are not.
    state, told = fakes.create_state(), fakes.create_exchange()
    for number, running in ((2, 1), (3, 2)):
        load = messages.RouterLoad(
            1,
            f"127.0.0.1:{number}",
            upstreams=(describe_wait("e1", 7, running),),
            services=give_service("mill", 100 * running),
        )
        pass_on(load, told, state, float(number), sender=f"front-{number}")
    assert state.table.by_name["e1"].running == 3
    assert state.accounts["engine"].others == {"mill": 300}
    exchange.build_load_message(told, state, 2 + peers.PEER_TIMEOUT)
    assert state.table.by_name["e1"].running == 2
    assert state.accounts["engine"].others == {"mill": 200}


def test_busy_router_of_a_large_fleet_is_not_taken_for_gone():
    # In a fleet of hundreds a busy router that sends nothing large says
    # nothing for longer than the others wait for it. They use its places.
    state, told = fakes.create_state(), fakes.create_exchange()
    fakes.submit_request(state, 0.0, "draft", tokens=100)
    state.routers = 400
    exchange.build_load_message(told, state, 0.0)
    assert exchange.find_next_due(told, state) < peers.PEER_TIMEOUT / 2


def test_reading_rate_is_not_fooled_by_a_prompt_that_was_nearly_read():
    # A short prompt comes as a long one before it is nearly read, and is
    # answered at once. The engine is taken to read ten times faster, gets
    # ten times too much, and a sixth of the day's answers are late.
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


def test_engine_that_turned_slow_is_given_less():
    # An engine reads at a third of its speed. Answers are late only until
    # the routers have seen a few.
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


def test_refusal_says_what_was_in_the_way():
    # A caller complains of a refusal. The log line must tell whether engines
    # were full or left to another team, and how old the listing was.
    state, told = fakes.create_state(), fakes.create_exchange()
    load = messages.RouterLoad(
        1,
        "127.0.0.1:2",
        upstreams=(describe_wait("e1", 0, 3), describe_wait("e2", -1, 4)),
        services=give_service("mill", 30_000),
    )
    pass_on(load, told, state, 0.0)
    fakes.submit_request(state, 0.0, "draft", team="mill")
    (refused,) = core.run_timers(state, 0.45)
    assert refused.refusal.obstacles == {
        eligibility.Obstacle.YIELDS.value: 1,
        eligibility.Obstacle.SLOTS.value: 1,
    }
    assert refused.refusal.received == 30_000
    assert refused.refusal.floor == 0
    assert refused.refusal.routers == 2
    assert refused.refusal.configuration == 1
    assert refused.refusal.listing_age == 0.45
