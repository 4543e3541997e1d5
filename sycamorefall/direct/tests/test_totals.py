"""Totals of the other routers' loads, against adding up what each one told."""

import math
import random

import pytest

from sycamorefall import messages
from sycamorefall.direct import core, exchange, upstreams
from sycamorefall.direct.tests import fakes

ENGINES = [f"e{n}" for n in range(6)]
TEAMS = [f"t{n}" for n in range(5)]


def draw_load(draws, sequence):
    whole = draws.random() < 0.5
    loads = tuple(
        messages.UpstreamLoad(
            name,
            draws.randrange(4),
            draws.randrange(3) * 1000,
            draws.randrange(3) * 5000,
            draws.choice([-1, -1, 0, 1, 2, 3]),
            draws.choice([-1, -1, 0, 1, 2, 3]),
        )
        for name in draws.sample(ENGINES, draws.randrange(len(ENGINES)))
    )
    teams = tuple(
        messages.TeamService(team, draws.randrange(3) * 100)
        for team in draws.sample(TEAMS, draws.randrange(len(TEAMS)))
    )
    return messages.RouterLoad(
        sequence,
        "127.0.0.1:2",
        upstreams=loads,
        services=(messages.ServiceDemand("engine", teams),) if whole else (),
        whole=whole,
    )


def add_up(told, name):
    heard = told.totals.sources.values()
    found = [source.loads[name] for source in heard if name in source.loads]
    load = upstreams.Load(
        sum(entry.running for entry in found),
        sum(entry.unread for entry in found),
        sum(entry.memory for entry in found),
    )
    floors = [entry.floor for entry in found if entry.floor >= 0]
    short = [entry.short_floor for entry in found if entry.short_floor >= 0]
    least = min(floors, default=math.inf), min(short, default=math.inf)
    return load, *least


def add_up_team(told, team):
    return sum(
        entry.amount
        for source in told.totals.sources.values()
        for teams in source.services.values()
        for entry in teams
        if entry.team == team
    )


def check_totals(told, state, names):
    for name in names & state.table.by_name.keys():
        one = state.table.by_name[name]
        floors = one.floor, one.short_floor
        assert (one.others, *floors) == add_up(told, name)
    others = state.accounts["engine"].others if state.accounts else {}
    for team in TEAMS:
        assert others.get(team, 0) == add_up_team(told, team)


@pytest.mark.parametrize("seed", range(20))
def test_totals_are_what_all_others_told(seed):
    # A router counts load at an engine that has ended, or misses some, and
    # refuses for an idle engine or overfills a full one. Cause: the total
    # drifts from what the others told, as messages come late or of a new
    # process, routers fall silent, and engines are listed late.
    draws = random.Random(seed)
    state, told = fakes.create_state(), fakes.create_exchange()
    listing = [
        fakes.create_upstream_entry(name, port=n)
        for n, name in enumerate(ENGINES)
    ]
    core.apply_listing(state, 0.0, listing[:-1])
    now = 0.0
    for number in range(400):
        now += draws.expovariate(5.0)
        load = draw_load(draws, number + draws.randrange(-2, 2))
        sender = f"front-{draws.randrange(2, 8)}"
        born = 1 + number // 150
        envelope = messages.Envelope(sender, born, 1, load)
        exchange.handle_load(told, state, now, envelope)
        names = {entry.upstream for entry in load.upstreams}
        if told.peers.get(sender) and told.peers[sender].heard_at == now:
            check_totals(told, state, names)
        if draws.random() < 0.05:
            now += draws.choice([0.0, 2.0])
            told.own.due = 0.0
            exchange.build_load_message(told, state, now)
        if number == 200:
            core.apply_listing(state, now, listing)
            exchange.apply_totals_to_listing(told, state, set(ENGINES[-1:]))
            check_totals(told, state, set(ENGINES))
    now += 10.0
    told.own.due = 0.0
    exchange.build_load_message(told, state, now)
    check_totals(told, state, set(ENGINES))
    assert not told.totals.loads
    assert not told.totals.floors
    assert not told.totals.short_floors


def test_message_without_an_incarnation_counts_for_nothing():
    # A router of incarnation 0 counts as not heard, so its load would never
    # be taken off again when it goes.
    state, told = fakes.create_state(), fakes.create_exchange()
    entry = messages.UpstreamLoad("e1", 3, 0, 0)
    load = messages.RouterLoad(1, "127.0.0.1:2", upstreams=(entry,))
    envelope = messages.Envelope("front-2", 0, 1, load)
    exchange.handle_load(told, state, 0.0, envelope)
    assert state.table.by_name["e1"].running == 0
    assert not told.totals.loads
