"""Incremental totals, compared with sums recomputed from all reports."""

import collections
import itertools
import math
import random

import pytest

from sycamorefall import messages
from sycamorefall.direct import core, exchange, upstreams
from sycamorefall.direct.tests import fakes

ENGINES = [f"e{n}" for n in range(6)]
TEAMS = [f"t{n}" for n in range(5)]


def draw_load(rng, sequence):
    whole = rng.random() < 0.5
    loads = tuple(
        messages.UpstreamLoad(
            name,
            rng.randrange(4),
            rng.randrange(3) * 1000,
            rng.randrange(3) * 5000,
            rng.choice([-1, -1, 0, 1, 2, 3]),
            rng.choice([-1, -1, 0, 1, 2, 3]),
        )
        for name in rng.sample(ENGINES, rng.randrange(len(ENGINES)))
    )
    teams = tuple(
        messages.TeamService(team, rng.randrange(3) * 100)
        for team in rng.sample(TEAMS, rng.randrange(len(TEAMS)))
    )
    rows = tuple(
        messages.SumRow(name, tuple(rng.choices((0, 2, 5), k=2)))
        for name in rng.sample(ENGINES, rng.randrange(len(ENGINES)))
    )
    table = messages.SumTable(messages.SumKind.UPSTREAM_SPEED, "engine", rows)
    return messages.RouterLoad(
        sequence,
        "127.0.0.1:2",
        upstreams=loads,
        services=(messages.ServiceDemand("engine", teams),) if whole else (),
        whole=whole,
        tables=(table,) if whole else (),
    )


def sum_reported(load_exchange, name):
    reports = load_exchange.totals.sources.values()
    found = [source.loads[name] for source in reports if name in source.loads]
    load = upstreams.Load(
        sum(entry.running for entry in found),
        sum(entry.unread for entry in found),
        sum(entry.memory for entry in found),
    )
    floors = [entry.floor for entry in found if entry.floor >= 0]
    short = [entry.short_floor for entry in found if entry.short_floor >= 0]
    least = min(floors, default=math.inf), min(short, default=math.inf)
    return load, *least


def sum_reported_team(load_exchange, team):
    return sum(
        teams.get(team, 0)
        for source in load_exchange.totals.sources.values()
        for teams in source.services.values()
    )


def sum_reported_rows(load_exchange):
    """Adds up the values of all sources by row; rows of zeros are left out."""
    values = collections.defaultdict(lambda: [0, 0])
    for source in load_exchange.totals.sources.values():
        for row in itertools.chain(*(table.rows for table in source.tables)):
            for index, value in enumerate(row.values):
                values[row.name][index] += value
    return {name: tuple(row) for name, row in values.items() if any(row)}


def check_totals(load_exchange, state, names):
    key = (messages.SumKind.UPSTREAM_SPEED, "engine")
    sums = load_exchange.totals.sums.get(key, {})
    assert sums == sum_reported_rows(load_exchange)
    for name in names & state.table.by_name.keys():
        upstream = state.table.by_name[name]
        floors = upstream.floor, upstream.short_floor
        assert (upstream.peer_load, *floors) == sum_reported(
            load_exchange, name
        )
    others = state.accounts["engine"].peer_received if state.accounts else {}
    for team in TEAMS:
        assert others.get(team, 0) == sum_reported_team(load_exchange, team)


@pytest.mark.parametrize("seed", range(20))
def test_totals_match_the_reports_of_all_others(seed):
    # Guards against totals that differ from what the other routers reported,
    # after late messages, restarted or silent routers, and engines that are
    # listed late. A router would then refuse requests although an engine is
    # idle, or overload a full one.
    rng = random.Random(seed)
    state, load_exchange = fakes.create_state(), fakes.create_exchange()
    listing = [
        fakes.create_upstream_entry(name, port=n)
        for n, name in enumerate(ENGINES)
    ]
    core.apply_listing(state, 0.0, listing[:-1])
    now = 0.0
    for number in range(400):
        now += rng.expovariate(5.0)
        load = draw_load(rng, number + rng.randrange(-2, 2))
        sender = f"front-{rng.randrange(2, 8)}"
        incarnation = 1 + number // 150
        envelope = messages.Envelope(sender, incarnation, 1, load)
        exchange.handle_load(load_exchange, state, now, envelope)
        names = {entry.upstream for entry in load.upstreams}
        if (
            load_exchange.peers.get(sender)
            and load_exchange.peers[sender].heard_at == now
        ):
            check_totals(load_exchange, state, names)
        if rng.random() < 0.05:
            now += rng.choice([0.0, 2.0])
            load_exchange.own_group.due = 0.0
            exchange.build_load_message(load_exchange, state, now)
        if number == 200:
            core.apply_listing(state, now, listing)
            exchange.apply_totals_to_listing(
                load_exchange, state, set(ENGINES[-1:])
            )
            check_totals(load_exchange, state, set(ENGINES))
    now += 10.0
    load_exchange.own_group.due = 0.0
    exchange.build_load_message(load_exchange, state, now)
    check_totals(load_exchange, state, set(ENGINES))
    assert not load_exchange.totals.loads
    assert not load_exchange.totals.floors
    assert not load_exchange.totals.short_floors
    assert not load_exchange.totals.sums


def test_report_without_an_incarnation_is_ignored():
    # A router of incarnation 0 counts as not heard, so its load would never be
    # removed from the totals when it is gone.
    state, load_exchange = fakes.create_state(), fakes.create_exchange()
    entry = messages.UpstreamLoad("e1", 3, 0, 0)
    load = messages.RouterLoad(1, "127.0.0.1:2", upstreams=(entry,))
    envelope = messages.Envelope("front-2", 0, 1, load)
    exchange.handle_load(load_exchange, state, 0.0, envelope)
    assert state.table.by_name["e1"].running == 0
    assert not load_exchange.totals.loads


def test_absurd_sums_are_not_sent_on():
    # Guards against values that fit into a message while their sum doesn't: a
    # delegate could not send the loads of its failure domain any more.
    state, load_exchange = fakes.create_state(), fakes.create_exchange()
    row = messages.SumRow("e1", ((1 << 63) - 1, 3))
    table = messages.SumTable(messages.SumKind.UPSTREAM_SPEED, "engine", (row,))
    load = messages.RouterLoad(1, "127.0.0.1:2", tables=(table,))
    for sender in ("front-2", "front-3"):
        envelope = messages.Envelope(sender, 1, 1, load)
        exchange.handle_load(load_exchange, state, 0.0, envelope)
    assert not load_exchange.totals.sums
