"""Tests that a waiting team gets its share while other teams are served."""

import pytest

from sycamorefall import messages
from sycamorefall.direct import (
    core,
    dispatching,
    exchange,
    fair_queue,
    freshness,
    homes,
    outcomes,
)
from sycamorefall.direct import state as state_module
from sycamorefall.direct.tests import fakes

ENGINES = ("e1", "e2")

PARTS = (("dossier", 5000),)


def deliver_load(state, now, sequence=1, awaited=(), **received):
    """Delivers a load message of another router.

    Args:
        state: Router that receives the message.
        now: Time of the delivery.
        sequence: Sequence number of the message.
        awaited: Names of the engines awaited at the other router by a team that
            was refused there and received no service.
        **received: Cost units that the other router gave each team.
    """
    loads = tuple(
        messages.UpstreamLoad(name, 0, 0, 0, floor=0, short_floor=0)
        for name in awaited
    )
    teams = tuple(messages.TeamService(*entry) for entry in received.items())
    load = messages.RouterLoad(
        sequence,
        "127.0.0.1:2",
        upstreams=loads,
        services=(messages.ServiceDemand("engine", teams),),
    )
    envelope = messages.Envelope("front-2", 1, 1, load)
    exchange.handle_load(fakes.create_exchange(), state, now, envelope)


def run(state, start, seconds):
    """Runs a router's timers; returns (time, effect) of each send."""
    sends = []
    for step in range(round(seconds / 0.01) + 1):
        now = start + step * 0.01
        freshness.record_proof(state.freshness, now)
        done = core.run_timers(state, now)
        sends += [(now, sent) for sent in fakes.list_sends(done)]
    return sends


def create_state_with_running(running):
    """Creates a router whose engines run requests without pending prefill."""
    state = fakes.create_state()
    for name in ENGINES:
        state.table.by_name[name].own_load.running = running
    return state


def test_flood_leaves_idle_engines_to_a_team_that_waits_at_another_router():
    # Guards against a flood that takes each engine as soon as it is idle: the
    # flooding team waits at all routers, so one of them always comes first.
    state = create_state_with_running(2)
    deliver_load(state, 0.0, awaited=ENGINES, mill=30_000)
    _, sent = fakes.submit_request(state, 0.0, "draft", team="mill")
    assert sent is None
    _, sent = fakes.submit_request(state, 0.0, "draft", team="trader")
    sends = run(state, 0.0, 0.1)
    assert [one.team for _, one in sends] == ["trader"]


def test_idle_engine_is_reserved_only_briefly():
    # Guards against capacity that stays reserved for a request that does not
    # use it.
    state = create_state_with_running(2)
    deliver_load(state, 0.0, awaited=ENGINES, mill=30_000)
    fakes.submit_request(state, 0.0, "draft", team="mill")
    ((at, sent),) = run(state, 0.0, 0.39)
    assert sent.team == "mill"
    assert at <= 0.3


def test_idle_engine_is_not_reserved_for_a_team_without_refusals():
    # Guards against engines that are reserved for small teams whose requests
    # are all served.
    state = create_state_with_running(2)
    loads = tuple(
        messages.UpstreamLoad(name, 0, 0, 0, floor=0) for name in ENGINES
    )
    demand = messages.ServiceDemand(
        "engine", (messages.TeamService("mill", 30_000),)
    )
    load = messages.RouterLoad(
        1, "127.0.0.1:2", upstreams=loads, services=(demand,)
    )
    envelope = messages.Envelope("front-2", 1, 1, load)
    exchange.handle_load(fakes.create_exchange(), state, 0.0, envelope)
    assert fakes.submit_request(state, 0.0, "draft", team="mill")[1]


def test_router_reports_which_engines_a_refused_team_waits_for():
    # Guards against a refused team that no other router reserves an idle engine
    # for.
    state, load_exchange = create_state_with_running(4), fakes.create_exchange()
    fakes.submit_request(state, 0.0, "draft", team="trader")
    first = exchange.build_load_message(load_exchange, state, 0.0)
    assert {one.short_floor for one in first.upstreams} == {-1}
    run(state, 0.0, 0.45)
    fakes.submit_request(state, 0.46, "draft", team="trader")
    later = exchange.build_load_message(
        load_exchange, state, load_exchange.own_group.due
    )
    assert {one.short_floor for one in later.upstreams} == {0}


def test_expired_refusals_are_dropped():
    # Guards against memory that grows with the number of teams ever refused.
    state, load_exchange = create_state_with_running(4), fakes.create_exchange()
    fakes.submit_request(state, 0.0, "draft")
    run(state, 0.0, 0.45)
    assert state.accounts["engine"].refused_at
    exchange.build_load_message(
        load_exchange, state, 0.5 + fair_queue.REFUSAL_RETENTION
    )
    assert not state.accounts["engine"].refused_at


def test_plain_services_have_no_team_accounts():
    # Guards against messages with accounts of services without engines.
    state = fakes.create_state()
    number, _ = fakes.submit_request(state, 0.0, "look", team="")
    end = outcomes.AttemptEnd.NOT_RUN
    outcomes.end_attempt(state, 0.1, number, end)
    run(state, 0.1, 0.5)
    accounts = state.accounts["ledger"]
    assert (accounts.own_received, accounts.refused_at) == ({}, {})


def test_team_below_the_idle_limit_is_served_away_from_its_home():
    # Guards against a team that settles at half of the best served team's
    # service: above that share, it could use no engine but its full home.
    for share in (0.0, 0.4, 0.5, 0.55):
        state = fakes.create_state()
        fields = {"team": "trader", "tokens": 6000, "parts": PARTS}
        number, sent = fakes.submit_request(state, 0.0, "draft", **fields)
        core.cancel_request(state, number, 0.0)
        home = state.table.by_name[sent.upstream]
        home.own_load.running = 4
        (other,) = (
            state.table.by_name[name]
            for name in ENGINES
            if name != sent.upstream
        )
        other.own_load.running = 2
        state.accounts["engine"].own_received.clear()
        deliver_load(state, 0.0, trader=int(share * 100_000), mill=100_000)
        state.accounts["engine"].max_received = 100_000
        fakes.submit_request(state, 0.0, "draft", **fields)
        ((at, sent),) = run(state, 0.0, 0.39)
        assert sent.upstream == other.listed.name
        wait = dispatching.MAX_WAIT_SHARE * 0.5
        assert at <= 0.5 * wait + 0.02


def test_best_served_team_stays_at_the_homes_of_its_parts():
    # Guards against parts that every engine computes once a service is full.
    state = fakes.create_state()
    fields = {"team": "mill", "tokens": 6000, "parts": PARTS}
    number, sent = fakes.submit_request(state, 0.0, "draft", **fields)
    core.cancel_request(state, number, 0.0)
    state.table.by_name[sent.upstream].own_load.running = 4
    deliver_load(state, 0.0, trader=10_000, mill=100_000)
    state.accounts["engine"].max_received = 100_000
    fakes.submit_request(state, 0.0, "draft", **fields)
    assert run(state, 0.0, 0.39) == []


def test_team_leaves_full_homes_while_its_router_knows_nothing_of_others():
    # Guards against a late router that takes its own team for the best served
    # one, as all it heard is old: the team was refused for four seconds while
    # engines other than its homes had room.
    state, load_exchange = fakes.create_state(), fakes.create_exchange()
    fields = {"team": "mill", "tokens": 6000, "parts": PARTS}
    number, sent = fakes.submit_request(state, 0.0, "draft", **fields)
    core.cancel_request(state, number, 0.0)
    state.table.by_name[sent.upstream].own_load.running = 4
    envelope = messages.Envelope("front-2", 1, 1, messages.RouterLoad(1, ""))
    exchange.handle_load(load_exchange, state, 0.0, envelope)
    exchange.build_load_message(load_exchange, state, 2.0)
    freshness.record_proof(state.freshness, 2.0)
    state.accounts["engine"].max_received = 10.0
    fair_queue.charge_team(state.accounts["engine"], 2.0, "mill", 10.0)
    fakes.submit_request(state, 2.0, "draft", **fields)
    ((_, moved),) = run(state, 2.0, 0.39)
    assert moved.upstream != sent.upstream


def test_team_is_refunded_for_attempts_without_a_response():
    # Guards against a team that is charged for service it never received: while
    # engines are down, its requests are sent up to a dozen times.
    for end in (
        outcomes.AttemptEnd.NOT_SENT,
        outcomes.AttemptEnd.NOT_RUN,
        outcomes.AttemptEnd.OTHER_INCARNATION,
        outcomes.AttemptEnd.BROKEN,
    ):
        state = fakes.create_state(listing=[fakes.create_upstream_entry("e1")])
        number, sent = fakes.submit_request(state, 0.0, "draft", tokens=9000)
        accounts = state.accounts["engine"]
        assert fair_queue.compute_received(accounts, 0.0, "mill") == sent.cost
        outcomes.end_attempt(state, 1.0, number, end)
        received = fair_queue.compute_received(accounts, 1.0, "mill")
        assert received == pytest.approx(0.0, abs=1.0)


def test_team_is_charged_once_for_a_request_retried_after_a_stall():
    # Guards against the same while an engine is stalled.
    state = fakes.create_state()
    number, first = fakes.submit_request(state, 0.0, "answer", tokens=9000)
    now = 0.0
    while state.requests[number].sends < 2:
        now += 0.05
        freshness.record_proof(state.freshness, now)
        core.run_timers(state, now)
    received = fair_queue.compute_received(
        state.accounts["engine"], now, "mill"
    )
    assert received <= first.cost


def test_team_is_charged_for_a_broken_response():
    # Guards against free service for a team whose responses break off.
    state = fakes.create_state(listing=[fakes.create_upstream_entry("e1")])
    number, sent = fakes.submit_request(state, 0.0, "draft", tokens=9000)
    outcomes.record_response(state, 0.1, number, first=True)
    outcomes.end_attempt(state, 0.1, number, outcomes.AttemptEnd.BROKEN)
    received = fair_queue.compute_received(
        state.accounts["engine"], 0.1, "mill"
    )
    assert received > 0.9 * sent.cost


def test_underserved_team_with_a_long_queue_is_served_away_from_its_home():
    # Guards against a flooded team that gets little, as only its oldest and its
    # newest requests are tried when an engine has room: the oldest would be
    # late, and the newest have not waited until they may leave their home.
    state = fakes.create_state()
    engines = [state.table.by_name[name] for name in ENGINES]
    for engine in engines:
        engine.own_load.running = 4
    deliver_load(state, 0.0, mill=300_000)
    state_module.get_or_create_accounts(state, "engine").max_received = 300_000
    request = {"team": "trader", "tokens": 6000, "parts": PARTS}
    for turn in range(10):
        now = turn * 0.04
        freshness.record_proof(state.freshness, now)
        fakes.submit_request(state, now, "draft", **request)
    service = state.catalog.services["engine"]
    prompt = fakes.create_request("draft", **request).prompt
    (home, other) = homes.rank_engines(state.table, service, prompt.home_key)
    assert home.own_load.running == 4
    other.own_load.running, other.own_load.unread = 3, 8000
    ((_, sent),) = run(state, 0.39, 0.0)
    assert (sent.team, sent.upstream) == ("trader", other.listed.name)
