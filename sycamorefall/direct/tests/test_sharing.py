"""Tests of upstream selection, and of teams that share engines across routers.

They also cover retry budgets, links between routers and resumed streams.
"""

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


def deliver_load(
    load_exchange, state, now, sender="front-2", incarnation=1, **fields
):
    load = messages.RouterLoad(control="127.0.0.1:2", **fields)
    envelope = messages.Envelope(sender, incarnation, 1, load)
    exchange.handle_load(load_exchange, state, now, envelope)


def test_requests_with_the_same_shared_part_go_to_the_same_engine():
    # Guards against requests with the same shared part that go to different
    # engines: each engine computes the part again, and responses are late.
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


def test_popular_part_has_several_homes():
    # Guards against a single home for a popular part. If one paper gets a third
    # of the traffic, its engine is full and callers are refused while all other
    # engines are idle.
    listing = [
        fakes.create_upstream_entry(f"e{n}", port=n) for n in range(1, 4)
    ]
    state = fakes.create_state(listing=listing)
    used = set()
    for _ in range(12):
        state.part_usage.uses["hot"] = (2.0 * homes.USES_PER_HOME, 0.0)
        parts = (("hot", 5000),)
        _, sent = fakes.submit_request(
            state, 0.0, "draft", tokens=5200, parts=parts
        )
        used |= {sent.upstream} if sent else set()
    assert len(used) == 3


def test_engine_filled_by_other_routers_gets_no_request():
    # Guards against routers that ignore each other's load. Two of them fill an
    # engine twice, and requests wait inside it, where no team has priority.
    state = fakes.create_state(listing=[fakes.create_upstream_entry("e1")])
    load_exchange = fakes.create_exchange()
    load = (messages.UpstreamLoad("e1", 4, 9000, 40_000),)
    deliver_load(load_exchange, state, 0.0, sequence=1, upstreams=load)
    assert fakes.submit_request(state, 0.0, "draft")[1] is None


def test_load_of_a_lost_router_is_dropped():
    # Guards against slots that stay occupied after their router was killed.
    state = fakes.create_state(listing=[fakes.create_upstream_entry("e1")])
    load_exchange = fakes.create_exchange()
    load = (messages.UpstreamLoad("e1", 4, 9000, 40_000),)
    deliver_load(load_exchange, state, 0.0, sequence=1, upstreams=load)
    exchange.build_load_message(load_exchange, state, peers.PEER_TIMEOUT)
    assert state.table.by_name["e1"].running == 0
    assert state.routers == 1


def test_outdated_messages_and_those_of_an_older_process_are_ignored():
    # Guards against delayed and reordered control messages, which would restore
    # load that has ended, or that of a process that no longer exists.
    state = fakes.create_state(listing=[fakes.create_upstream_entry("e1")])
    load_exchange = fakes.create_exchange()
    old = (messages.UpstreamLoad("e1", 3, 0, 0),)
    deliver_load(load_exchange, state, 0.0, incarnation=5, sequence=9)
    deliver_load(
        load_exchange, state, 0.0, incarnation=5, sequence=8, upstreams=old
    )
    deliver_load(
        load_exchange, state, 0.0, incarnation=4, sequence=99, upstreams=old
    )
    assert state.table.by_name["e1"].running == 0


def test_routers_discover_each_other_through_seeds_and_other_routers():
    # Guards against a router that no seed lists and that stays unknown: it
    # would overload engines that all other routers know to be full.
    state, load_exchange = fakes.create_state(), fakes.create_exchange()
    assert fakes.list_addresses(load_exchange) == {"127.0.0.1:2": "127.0.0.1:2"}
    third = (messages.RouterAddress("front-3", "127.0.0.1:3"),)
    deliver_load(load_exchange, state, 0.0, sequence=1, routers=third)
    assert fakes.list_addresses(load_exchange) == {
        "front-2": "127.0.0.1:2",
        "front-3": "127.0.0.1:3",
    }


def test_best_served_team_yields_to_one_that_waits_at_another_router():
    # Guards against a large team that one router serves at once while requests
    # of a small team wait at another, busier router.
    state, load_exchange = fakes.create_state(), fakes.create_exchange()
    demand = messages.ServiceDemand(
        "engine", (messages.TeamService("mill", 30_000),)
    )
    waits = [messages.UpstreamLoad(name, 0, 0, 0, 0) for name in ("e1", "e2")]
    for name in ("e1", "e2"):
        state.table.by_name[name].own_load.running = 3
    deliver_load(
        load_exchange,
        state,
        0.0,
        sequence=1,
        upstreams=waits,
        services=(demand,),
    )
    assert fakes.submit_request(state, 0.0, "draft", team="mill")[1] is None
    assert (
        fakes.submit_request(state, 0.0, "draft", team="trader")[1] is None
    ), "the request waits behind the first one until the next dispatch pass"
    (sent,) = fakes.list_sends(core.run_timers(state, 0.02))
    assert sent.team == "trader"


def test_idle_engine_accepts_the_best_served_team():
    # Guards against engines that stay idle while requests of any team wait.
    state, load_exchange = fakes.create_state(), fakes.create_exchange()
    demand = messages.ServiceDemand(
        "engine", (messages.TeamService("mill", 30_000),)
    )
    waits = [messages.UpstreamLoad(name, 0, 0, 0, 0) for name in ("e1", "e2")]
    deliver_load(
        load_exchange,
        state,
        0.0,
        sequence=1,
        upstreams=waits,
        services=(demand,),
    )
    assert fakes.submit_request(state, 0.0, "draft", team="mill")[1]


def test_request_of_the_least_served_team_is_sent_first():
    # Guards against a small team's request that arrives last and waits behind
    # the flood of another team.
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


def test_request_that_can_be_on_time_is_sent_before_a_retried_one():
    # Guards against retrying callers that take the slots of requests that could
    # still be on time, so that no response is on time.
    state = fakes.create_state(listing=[fakes.create_upstream_entry("e1")])
    fakes.submit_request(state, 0.0, "draft", time_left=3.0, tokens=20_000)
    late, sent = fakes.submit_request(
        state, 0.0, "draft", time_left=1.5, tokens=100
    )
    assert sent is None, "the engine is not idle"
    punctual, sent = fakes.submit_request(
        state, 0.0, "draft", time_left=3.0, tokens=100
    )
    (first, *_) = fakes.list_sends(core.run_timers(state, 0.02))
    assert first.request == punctual
    assert late in state.requests


@given(
    times=strategies.lists(
        strategies.tuples(strategies.floats(0, 0.4), strategies.booleans()),
        max_size=200,
    ),
    routers=strategies.integers(1, 12),
)
def test_retries_stay_within_the_budget_of_all_routers(times, routers):
    # Guards against a multiple of a service's traffic while an upstream fails
    # and every router retries its requests. In every window, the retries of all
    # routers together must stay within one allowance.
    retry_budget = budget.RetryBudget(
        ratio=0.2, extra=16, window=10, started_at=-10.0
    )
    budget.record_routers(retry_budget, routers)
    now, requests, retries = 0.0, [], []
    for pause, again in times:
        now += pause
        if again:
            if budget.take_retry(retry_budget, now):
                retries.append(now)
        else:
            budget.count_request(retry_budget, now)
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


def test_broken_stream_ends_with_a_complete_event_and_resumes_after_it():
    # Guards against an engine that stops within an event: the caller would read
    # the first event of the next engine as the rest of the broken one.
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
def test_events_do_not_depend_on_packet_boundaries(cuts, ending):
    # Guards against events that are lost, repeated or changed depending on
    # where packets end.
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


def test_underserved_team_is_served_away_from_its_home():
    # Guards against a small team whose parts all have the same home, which
    # other teams keep full. Its requests are refused for seconds although the
    # other engine has free slots. A team that is not underserved must stay at
    # its homes, or every engine would compute every part.
    parts = (("dossier", 5000),)
    for most, expected in ((0.0, []), (90_000.0, ["trader"])):
        state = fakes.create_state()
        number, sent = fakes.submit_request(
            state, 0.0, "draft", team="trader", tokens=6000, parts=parts
        )
        core.cancel_request(state, number, 0.0)
        home = state.table.by_name[sent.upstream]
        home.own_load.running = 4
        (other,) = [
            one for one in state.table.by_service["engine"] if one is not home
        ]
        other.own_load.running, other.own_load.unread = 3, 3000
        demand = messages.ServiceDemand("engine", ())
        deliver_load(
            fakes.create_exchange(), state, 0.0, sequence=1, services=(demand,)
        )
        state.accounts["engine"].max_received = most
        fakes.submit_request(
            state, 0.0, "draft", team="trader", tokens=6000, parts=parts
        )
        early = core.run_timers(state, 0.1)
        sent = fakes.list_sends(early + core.run_timers(state, 0.25))
        assert [one.team for one in sent] == expected


def test_isolated_router_does_not_use_the_whole_budget():
    # Guards against a partitioned router that uses the retry allowance of all
    # routers while a service fails. As the others use their parts, the failing
    # service would get a multiple of its allowance.
    retry_budget = budget.RetryBudget(
        ratio=0.2, extra=56, window=10, started_at=-10.0
    )
    budget.record_routers(retry_budget, 7)
    budget.record_routers(retry_budget, 1)
    taken = sum(budget.take_retry(retry_budget, 1.0) for _ in range(100))
    assert taken <= 56 / 7
    isolated_budget = budget.RetryBudget(
        ratio=0.2, extra=56, window=10, started_at=-10.0
    )
    budget.record_routers(isolated_budget, 1)
    taken = sum(budget.take_retry(isolated_budget, 1.0) for _ in range(100))
    assert taken <= 56 / 4


def test_replaced_router_is_forgotten():
    # Guards against a router that keeps a link to every VM that was replaced.
    # It would run out of file descriptors after some months.
    state, load_exchange = fakes.create_state(), fakes.create_exchange()
    deliver_load(load_exchange, state, 0.0, sequence=1)
    exchange.build_load_message(load_exchange, state, peers.FORGET_AFTER)
    assert "front-2" not in fakes.list_addresses(load_exchange)


def test_newest_requests_of_a_flooding_team_are_tried():
    # Guards against a dispatch pass that tries only the oldest requests of a
    # team, which can't be on time any more. If two teams flood one router, one
    # of them gets a third of the other's service, as its requests are sent
    # after half a second, if at all.
    state = fakes.create_state(listing=[fakes.create_upstream_entry("e1")])
    engine = state.table.by_name["e1"]
    engine.own_load.running, engine.own_load.unread = 3, 30_000
    for _ in range(10):
        fakes.submit_request(state, 0.0, "draft", tokens=8000)
    engine.own_load.unread = 20_000
    newest, _ = fakes.submit_request(state, 0.3, "draft", tokens=100)
    (sent,) = fakes.list_sends(core.run_timers(state, 0.31))
    assert sent.request == newest
