"""How far one team gets ahead of another whose requests are refused."""

from hypothesis import given, strategies

from sycamorefall import messages
from sycamorefall.direct import (
    core,
    engine_measurement,
    exchange,
    fair_queue,
    freshness,
    own_load,
    unread_demand,
)
from sycamorefall.direct.tests import fakes

SLOTS = 4

BEHIND, LARGE = 10_000, 1_000_000


class Router:
    """A router that hears what others gave to teams and refused them."""

    def __init__(self, running):
        self.state = fakes.create_state()
        self.load_exchange = fakes.create_exchange()
        self.sequence = 0
        for name in ("e1", "e2"):
            self.state.table.by_name[name].own_load.running = running

    def hear(self, now, **teams):
        """Receives a report of (received, unmet) by team, and acts on it."""
        self.sequence += 1
        services = tuple(
            messages.TeamService(team, *both) for team, both in teams.items()
        )
        load = messages.RouterLoad(
            self.sequence,
            "127.0.0.1:2",
            services=(messages.ServiceDemand("engine", services),),
        )
        envelope = messages.Envelope("front-2", 1, 1, load)
        exchange.handle_load(self.load_exchange, self.state, now, envelope)
        # Computes what follows from all routers' accounts.
        for _ in range(2):
            self.load_exchange.own_group.due = now
            exchange.build_load_message(self.load_exchange, self.state, now)

    def submit(self, now, team):
        """Submits a request; returns its effect, if there is one at once."""
        freshness.record_proof(self.state.freshness, now)
        number, effect = fakes.submit_request(
            self.state, now, "draft", team=team
        )
        if effect is not None:
            return effect
        sent = fakes.list_sends(core.run_timers(self.state, now + 0.1))
        return next((one for one in sent if one.request == number), None)


def test_team_far_ahead_leaves_engines_to_a_team_that_is_refused_elsewhere():
    # Guards against a team that takes what engines begin while another one is
    # refused: engines that count as idle were for whoever asked first, and a
    # request keeps room at no more than eight of them.
    router = Router(running=2)
    router.hear(0.0, trader=(BEHIND, LARGE), mill=(LARGE, 0))
    assert router.submit(1.0, "mill") is None
    assert router.submit(1.1, "trader") is not None


def test_team_far_ahead_uses_engines_with_most_slots_free():
    # Guards against idle engines: the team that is behind may be unable to use
    # them.
    router = Router(running=1)
    router.hear(0.0, trader=(BEHIND, LARGE), mill=(LARGE, 0))
    assert router.submit(1.0, "mill") is not None


def test_no_team_is_held_back_while_none_lacks_more_than_a_request():
    # Guards against room left to teams that ask for little.
    router = Router(running=2)
    router.hear(0.0, trader=(BEHIND, 100), mill=(LARGE, 0))
    assert router.submit(1.0, "mill") is not None


def test_team_is_held_back_only_while_the_other_one_is_refused():
    # Guards against room that is left to a team which no longer asks.
    router = Router(running=2)
    router.hear(0.0, trader=(BEHIND, LARGE), mill=(LARGE, 0))
    assert router.submit(0.0, "mill") is None
    router.hear(0.5, trader=(BEHIND, 0), mill=(LARGE, 0))
    assert router.submit(0.5, "mill") is not None


def test_team_that_is_held_back_claims_no_engine():
    # Guards against floors of teams that may not use the engines.
    router = Router(running=2)
    router.hear(0.0, trader=(BEHIND, LARGE), mill=(LARGE, 0))
    router.submit(0.0, "mill")
    load = exchange.build_load_message(
        router.load_exchange, router.state, router.load_exchange.own_group.due
    )
    assert {entry.floor for entry in load.upstreams} == {-1}


def test_refusals_are_told_to_other_routers():
    # Guards against a bound that only the refusing router keeps.
    router = Router(running=SLOTS)
    router.hear(0.0)
    router.submit(0.0, "mill")
    freshness.record_proof(router.state.freshness, 0.45)
    (refused,) = core.run_timers(router.state, 0.45)
    load = exchange.build_load_message(
        router.load_exchange, router.state, router.load_exchange.own_group.due
    )
    (demand,) = load.services
    (entry,) = demand.teams
    assert entry.team == "mill"
    assert 0 < entry.unmet <= refused.refusal.cost


@given(
    teams=strategies.dictionaries(
        strategies.sampled_from(["mill", "trader", "spinner", "smith"]),
        strategies.tuples(
            strategies.integers(0, 2_000_000), strategies.integers(0, 2_000_000)
        ),
        min_size=1,
    ),
    running=strategies.integers(0, SLOTS - 1),
)
def test_lead_of_a_sent_team_is_bounded_by_construction(teams, running):
    # Guards against any exemption: whatever others report, a team that is sent
    # to an engine without most slots free received at most what a team that is
    # behind did, over the share. (No request was handled yet that could be the
    # largest one.)
    router = Router(running)
    router.hear(0.0, **teams)
    share = fair_queue.IDLE_UNDERSERVED_SHARE
    best = max(received for received, _ in teams.values())
    limit = min(
        (
            received / share
            for received, unmet in teams.values()
            if received < share * min(received + unmet, best)
        ),
        default=float("inf"),
    )
    sent = router.submit(0.0, "mill")
    is_spare = running <= engine_measurement.SPARE_SLOT_SHARE * SLOTS
    received, _ = teams.get("mill", (0, 0))
    # Reported amounts below the least that is reported, and what a report
    # loses by rounding, can't tell teams apart.
    if sent is not None and not is_spare:
        assert received <= limit + own_load.MIN_REPORTED_AMOUNT
    if sent is None:
        assert received >= limit - own_load.MIN_REPORTED_AMOUNT


def test_made_up_size_of_a_request_does_not_lift_the_bound():
    # Guards against a caller that states more tokens than any engine holds: a
    # team counts as behind only if it lacks more than the largest request.
    router = Router(running=0)
    freshness.record_proof(router.state.freshness, 0.0)
    fakes.submit_request(
        router.state, 0.0, "draft", team="mill", tokens=50_000_000
    )
    for name in ("e1", "e2"):
        router.state.table.by_name[name].own_load.running = 2
    router.hear(0.0, trader=(BEHIND, LARGE), mill=(LARGE, 0))
    assert router.state.accounts["engine"].max_ahead < LARGE


def test_requests_refused_unread_count_as_asked():
    # Guards against a team that is not taken for behind, as its callers meet a
    # VM without processor time that refuses most of their requests unread.
    router = Router(running=SLOTS)
    router.submit(0.0, "mill")
    freshness.record_proof(router.state.freshness, 0.45)
    (refused,) = core.run_timers(router.state, 0.45)
    unread_demand.record_counts(router.state.unread_demand, 0.45, 9, 1)
    (demand,) = own_load.collect_own_services(router.state, 0.45)
    (entry,) = demand.teams
    assert entry.unmet == 10 * refused.refusal.cost
