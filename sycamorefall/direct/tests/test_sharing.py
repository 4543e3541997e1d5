"""Placing, and teams that share engines through several routers."""

import itertools

from hypothesis import given, strategies

from sycamorefall import messages
from sycamorefall.direct import (
    budget,
    core,
    exchange,
    homes,
    outcomes,
    peers,
    streams,
)
from sycamorefall.direct.tests import fakes


def tell(told, state, now, sender="front-2", incarnation=1, **fields):
    load = messages.RouterLoad(control="127.0.0.1:2", **fields)
    envelope = messages.Envelope(sender, incarnation, 1, load)
    exchange.handle_load(told, state, now, envelope)


def test_same_shared_part_goes_to_the_same_engine():
    # Each request about one paper reads it anew, and answers come late.
    # Cause: requests with the same part went to different engines.
    listing = [
        fakes.create_upstream_entry(f"e{n}", port=n) for n in range(1, 6)
    ]
    first, second = (fakes.create_state(listing=listing) for _ in range(2))
    for name in ("paper-a", "paper-b", "paper-c"):
        chosen = set()
        for state, now in itertools.product((first, second), (0.0, 1.0, 2.0)):
            number, sent = fakes.submit_request(
                state, now, "draft", tokens=8000, parts=((name, 5000),)
            )
            chosen.add(sent.upstream)
            core.cancel_request(state, number, now)
        assert len(chosen) == 1


def test_part_that_many_ask_for_has_several_homes():
    # One paper gets a third of the traffic. Its engine is full, all others
    # idle, and callers are refused. Cause: the part had one home only.
    listing = [
        fakes.create_upstream_entry(f"e{n}", port=n) for n in range(1, 4)
    ]
    state = fakes.create_state(listing=listing)
    used = set()
    for _ in range(12):
        state.uses.uses["hot"] = (2.0 * homes.USES_PER_HOME, 0.0)
        parts = (("hot", 5000),)
        _, sent = fakes.submit_request(
            state, 0.0, "draft", tokens=5200, parts=parts
        )
        used |= {sent.upstream} if sent else set()
    assert len(used) == 3


def test_others_load_leaves_no_room():
    # Two routers each see a free engine and fill it twice over: its callers
    # wait inside the engine, where no team comes before another.
    state = fakes.create_state(listing=[fakes.create_upstream_entry("e1")])
    told = fakes.create_exchange()
    load = (messages.UpstreamLoad("e1", 4, 9000, 40_000),)
    tell(told, state, 0.0, sequence=1, upstreams=load)
    assert fakes.submit_request(state, 0.0, "draft")[1] is None


def test_load_of_a_router_that_is_gone_counts_no_more():
    # A router is killed. The places that it held must be used again.
    state = fakes.create_state(listing=[fakes.create_upstream_entry("e1")])
    told = fakes.create_exchange()
    load = (messages.UpstreamLoad("e1", 4, 9000, 40_000),)
    tell(told, state, 0.0, sequence=1, upstreams=load)
    exchange.build_load_message(told, state, peers.PEER_TIMEOUT)
    assert state.table.by_name["e1"].running == 0
    assert state.routers == 1


def test_messages_out_of_order_and_of_an_older_process_are_dropped():
    # Control messages come late and out of order; an old one would bring
    # back load that has ended, or that of a process that is gone.
    state = fakes.create_state(listing=[fakes.create_upstream_entry("e1")])
    told = fakes.create_exchange()
    old = (messages.UpstreamLoad("e1", 3, 0, 0),)
    tell(told, state, 0.0, incarnation=5, sequence=9)
    tell(told, state, 0.0, incarnation=5, sequence=8, upstreams=old)
    tell(told, state, 0.0, incarnation=4, sequence=99, upstreams=old)
    assert state.table.by_name["e1"].running == 0


def test_routers_find_each_other_by_seeds_and_by_hearsay():
    # A router that no seed names must be found too, or it overfills engines
    # that all others know to be full.
    state, told = fakes.create_state(), fakes.create_exchange()
    assert fakes.list_addresses(told) == {"127.0.0.1:2": "127.0.0.1:2"}
    third = (messages.RouterAddress("front-3", "127.0.0.1:3"),)
    tell(told, state, 0.0, sequence=1, routers=third)
    assert fakes.list_addresses(told) == {
        "front-2": "127.0.0.1:2",
        "front-3": "127.0.0.1:3",
    }


def test_team_ahead_leaves_room_to_one_that_waits_elsewhere():
    # A large team sits on one router and is served there at once, while a
    # small team's requests wait at another, fuller router.
    state, told = fakes.create_state(), fakes.create_exchange()
    demand = messages.ServiceDemand(
        "engine", (messages.TeamService("mill", 30_000),)
    )
    waits = [messages.UpstreamLoad(name, 0, 0, 0, 0) for name in ("e1", "e2")]
    for name in ("e1", "e2"):
        state.table.by_name[name].own.running = 3
    tell(told, state, 0.0, sequence=1, upstreams=waits, services=(demand,))
    assert fakes.submit_request(state, 0.0, "draft", team="mill")[1] is None
    assert (
        fakes.submit_request(state, 0.0, "draft", team="trader")[1] is None
    ), "it waits behind the first, until the next look"
    (sent,) = fakes.list_sends(core.run_timers(state, 0.02))
    assert sent.team == "trader"


def test_idle_engine_takes_also_a_team_that_is_ahead():
    # No engine may idle while any team's work waits.
    state, told = fakes.create_state(), fakes.create_exchange()
    demand = messages.ServiceDemand(
        "engine", (messages.TeamService("mill", 30_000),)
    )
    waits = [messages.UpstreamLoad(name, 0, 0, 0, 0) for name in ("e1", "e2")]
    tell(told, state, 0.0, sequence=1, upstreams=waits, services=(demand,))
    assert fakes.submit_request(state, 0.0, "draft", team="mill")[1]


def test_least_served_team_goes_first():
    # One team floods; a small team's request comes last and must not wait
    # behind the flood.
    state = fakes.create_state(listing=[fakes.create_upstream_entry("e1")])
    running = [
        fakes.submit_request(state, 0.0, "draft", tokens=100)[0]
        for _ in range(4)
    ]
    for _ in range(20):
        fakes.submit_request(state, 0.0, "draft", tokens=100)
    small, _ = fakes.submit_request(
        state, 0.1, "draft", team="trader", tokens=100
    )
    outcomes.end_attempt(state, 0.2, running[0], outcomes.AttemptEnd.COMPLETE)
    (sent,) = fakes.list_sends(core.run_timers(state, 0.2))
    assert sent.request == small


def test_request_that_can_be_on_time_goes_before_one_that_comes_back():
    # Callers that were refused come back and take the places of those that
    # could still be answered in time, so nobody is.
    state = fakes.create_state(listing=[fakes.create_upstream_entry("e1")])
    fakes.submit_request(state, 0.0, "draft", time_left=3.0, tokens=20_000)
    late, sent = fakes.submit_request(
        state, 0.0, "draft", time_left=1.5, tokens=100
    )
    assert sent is None, "the engine has something to do"
    prompt, sent = fakes.submit_request(
        state, 0.0, "draft", time_left=3.0, tokens=100
    )
    (first, *_) = fakes.list_sends(core.run_timers(state, 0.02))
    assert first.request == prompt
    assert late in state.requests


@given(
    times=strategies.lists(
        strategies.tuples(strategies.floats(0, 0.4), strategies.booleans()),
        max_size=200,
    ),
    routers=strategies.integers(1, 12),
)
def test_second_sends_stay_within_the_budget_of_all_routers(times, routers):
    # An upstream fails, every router tries its requests again, and the
    # service gets a multiple of its traffic just when it is weak. In every
    # window the second sends of all routers stay within one allowance.
    kept = budget.RetryBudget(ratio=0.2, extra=16, window=10)
    budget.record_routers(kept, routers)
    now, requests, retries = 0.0, [], []
    for pause, again in times:
        now += pause
        if again:
            if budget.take_retry(kept, now):
                retries.append(now)
        else:
            budget.count_request(kept, now)
            requests.append(now)
    for end in retries:
        span = [at for at in retries if end - 10 < at <= end]
        asked = [
            at
            for at in requests
            if end - 10 - budget.BUCKET_SECONDS < at <= end
        ]
        assert len(span) <= 0.2 * len(asked) + 16 / max(
            routers, budget.MIN_ROUTERS
        )


def test_broken_stream_ends_with_a_whole_event_and_goes_on_after_it():
    # An engine stops inside an event; the caller would read the next
    # engine's first event as the rest of it.
    splitter = streams.EventSplitter()
    passed = streams.split_events(splitter, b"id: 1\ndata: a\n\nid: 2\ndat")
    assert passed == b"id: 1\ndata: a\n\n"
    streams.prepare_resume(splitter)
    again = streams.split_events(
        splitter, b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
    )
    assert again == b"id: 2\ndata: b\n\n"


@given(
    cuts=strategies.lists(strategies.integers(0, 200), max_size=12),
    ending=strategies.sampled_from(["\n\n", "\r\n\r\n"]),
)
def test_events_are_the_same_however_they_are_cut(cuts, ending):
    # Packets end anywhere; a caller must get every event once, to the letter.
    text = "".join(
        f"id: {n}{ending[: len(ending) // 2]}data: {n * 'x'}{ending}"
        for n in range(1, 9)
    ).encode()
    splitter = streams.EventSplitter()
    edges = sorted({0, len(text), *(c for c in cuts if c < len(text))})
    passed = b"".join(
        streams.split_events(splitter, text[a:b])
        for a, b in zip(edges, edges[1:], strict=False)
    )
    assert passed + streams.flush_rest(splitter) == text
    assert splitter.last_id == "8"


def test_deprived_team_is_served_away_from_its_home():
    # All parts of a small team lie with one engine that other teams keep
    # full; the other engine has room. Refused again and again, the team gets
    # nothing for seconds while others are served next door. A team that
    # lacks nothing keeps to its homes, or every part is read everywhere.
    parts = (("dossier", 5000),)
    for most, expected in ((0.0, []), (90_000.0, ["trader"])):
        state = fakes.create_state()
        number, sent = fakes.submit_request(
            state, 0.0, "draft", team="trader", tokens=6000, parts=parts
        )
        core.cancel_request(state, number, 0.0)
        home = state.table.by_name[sent.upstream]
        home.own.running = 4
        (other,) = [
            one for one in state.table.by_service["engine"] if one is not home
        ]
        other.own.running, other.own.unread = 3, 3000
        demand = messages.ServiceDemand("engine", ())
        tell(
            fakes.create_exchange(), state, 0.0, sequence=1, services=(demand,)
        )
        state.accounts["engine"].most = most
        fakes.submit_request(
            state, 0.0, "draft", team="trader", tokens=6000, parts=parts
        )
        early = core.run_timers(state, 0.1)
        sent = fakes.list_sends(early + core.run_timers(state, 0.25))
        assert [one.team for one in sent] == expected


def test_router_that_hears_nobody_does_not_take_the_whole_budget():
    # A router is cut off from the others while a service fails. Each of them
    # sends its part of the second sends; had this one taken the whole, the
    # failing service would get a multiple of its allowance.
    kept = budget.RetryBudget(ratio=0.2, extra=56, window=10)
    budget.record_routers(kept, 7)
    budget.record_routers(kept, 1)
    taken = sum(budget.take_retry(kept, 1.0) for _ in range(100))
    assert taken <= 56 / 7
    alone = budget.RetryBudget(ratio=0.2, extra=56, window=10)
    budget.record_routers(alone, 1)
    taken = sum(budget.take_retry(alone, 1.0) for _ in range(100))
    assert taken <= 56 / 4


def test_router_that_was_replaced_is_forgotten():
    # VMs are replaced all day. A router that kept a link to each would run
    # out of descriptors after some months.
    state, told = fakes.create_state(), fakes.create_exchange()
    tell(told, state, 0.0, sequence=1)
    exchange.build_load_message(told, state, peers.FORGET_AFTER)
    assert "front-2" not in fakes.list_addresses(told)


def test_flood_of_a_team_does_not_stand_in_its_own_way():
    # Two teams flood one router. One of them gets a third of what the other
    # gets: its requests are sent after half a second, if at all. Cause: only
    # its oldest requests were looked at, which can't be on time any more.
    state = fakes.create_state(listing=[fakes.create_upstream_entry("e1")])
    engine = state.table.by_name["e1"]
    engine.own.running, engine.own.unread = 3, 30_000
    for _ in range(10):
        fakes.submit_request(state, 0.0, "draft", tokens=8000)
    engine.own.unread = 20_000
    newest, _ = fakes.submit_request(state, 0.3, "draft", tokens=100)
    (sent,) = fakes.list_sends(core.run_timers(state, 0.31))
    assert sent.request == newest
