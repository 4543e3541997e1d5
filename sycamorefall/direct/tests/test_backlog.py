"""Tests of the log records about waiting requests and their teams."""

from sycamorefall import messages
from sycamorefall.direct import backlog, dispatching, exchange
from sycamorefall.direct import state as state_module
from sycamorefall.direct.tests import fakes


def create_full_state(**kinds):
    state = fakes.create_state(**kinds)
    for name in ("e1", "e2"):
        state.table.by_name[name].own_load.running = 4
    return state


def test_backlogs_include_the_least_served_team_during_a_flood():
    # Guards against log records that contain only the flooding team, which
    # don't explain why a small team is not served.
    state = create_full_state()
    for _ in range(5):
        fakes.submit_request(state, 0.0, "draft", team="mill")
    fakes.submit_request(state, 0.2, "draft", team="trader")
    demand = messages.ServiceDemand(
        "engine", (messages.TeamService("mill", 9000),)
    )
    load = messages.RouterLoad(1, "127.0.0.1:2", services=(demand,))
    envelope = messages.Envelope("front-2", 1, 1, load)
    exchange.handle_load(fakes.create_exchange(), state, 0.3, envelope)
    assert backlog.list_backlogs(state, 0.3) == [
        backlog.TeamBacklog("engine", "mill", 5, 0.3, 9000, 0),
        backlog.TeamBacklog("engine", "trader", 1, 0.1, 0, 0),
    ]


def test_number_of_logged_backlogs_is_bounded():
    # Guards against log records that grow with the number of teams.
    keys = tuple(f"team-{n}" for n in range(40))
    state = create_full_state()
    state.catalog = fakes.create_catalog(version=2, keys=keys)
    for team in keys:
        fakes.submit_request(state, 0.0, "draft", team=team)
    assert len(backlog.list_backlogs(state, 0.1)) == backlog.MAX_TEAMS


def test_no_backlog_is_logged_while_nothing_waits():
    # Guards against records of idle routers, which would fill the log.
    assert backlog.list_backlogs(fakes.create_state(), 0.0) == []


def test_send_states_what_its_team_had_received():
    # Guards against logs from which a team's share can't be calculated.
    state = fakes.create_state()
    _, first = fakes.submit_request(state, 0.0, "draft", tokens=1000)
    _, second = fakes.submit_request(state, 0.0, "draft", tokens=500)
    assert (first.cost, first.received, first.floor) == (1100, 0, None)
    assert (second.cost, second.received) == (600, 1100)
    assert first.idle


def test_refusal_states_what_the_best_served_team_received():
    # Guards against refusals that don't tell whether the team was underserved.
    state = create_full_state()
    accounts = state_module.get_or_create_accounts(state, "engine")
    accounts.max_received = 70_000.0
    number, _ = fakes.submit_request(state, 0.0, "draft")
    refusal = dispatching.explain_refusal(state, 0.1, state.requests[number])
    assert refusal.most == 70_000
    assert refusal.cost == 1100
    assert refusal.received == 0


def test_spread_tells_how_far_the_best_served_team_is_ahead_of_a_waiting_one():
    # Guards against a team that falls behind at another router, which no
    # record or metric of this router shows.
    state = create_full_state()
    accounts = state_module.get_or_create_accounts(state, "engine")
    accounts.max_received = 90_000.0
    fakes.submit_request(state, 0.0, "draft", team="mill")
    accounts.peer_received, accounts.peer_epoch = {"mill": 40_000.0}, 0.1
    assert backlog.list_spreads(state, 0.1) == [
        backlog.ServiceSpread("engine", 90_000, 40_000)
    ]
    state.table.by_name["e2"].floor = 3_000
    (spread,) = backlog.list_spreads(state, 0.1)
    assert spread.least == 3_000


def test_no_spread_is_logged_while_nothing_waits():
    # Guards against a lead that is reported while no team lacks anything.
    state = fakes.create_state()
    state_module.get_or_create_accounts(state, "engine").max_received = 90_000.0
    assert backlog.list_spreads(state, 0.0) == []
