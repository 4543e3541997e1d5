"""Failure domains that tell each other of their loads through delegates."""

from hypothesis import given, settings, strategies
import pytest

from sycamorefall import messages
from sycamorefall.direct import core, exchange, fetching
from sycamorefall.direct.tests import fakes, simulated_fleet

LARGE = 30_000
"""Prompt tokens of a request that the others are told of at once."""


def create_busy(**kinds):
    """Creates a fleet that has run for a while, each router at work."""
    fleet = simulated_fleet.Fleet(**kinds)
    fleet.run(2.0)
    for one in fleet.list_live():
        one.submit_request(fleet.now)
    fleet.run(3.0)
    return fleet


def list_delegates(fleet, domain="domain-0"):
    one = next(one for one in fleet.list_live() if one.domain == domain)
    return exchange._rank_delegates(one.load_exchange, one.state, fleet.now)


@pytest.mark.parametrize(
    ("domains", "size"), [(1, 1), (1, 5), (4, 1), (4, 2), (3, 9), (6, 12)]
)
def test_each_router_counts_the_load_of_all_others_once(domains, size):
    # A router that counts a load twice refuses for an engine that is half
    # empty; one that misses some overfills it.
    fleet = create_busy(domains=domains, size=size)
    assert fleet.list_wrong() == []


def test_what_a_router_hears_grows_with_its_failure_domain_only():
    # Each of 68 routers told each of the others of 65 upstreams and 60 teams;
    # most of these bytes crossed between failure domains, which is paid for,
    # and at 370 routers they fit no budget.
    heard = {}
    for domains in (2, 6):
        fleet = create_busy(domains=domains, size=6)
        fleet.run(4.0)
        for one in fleet.list_live():
            one.heard = one.heard_far = 0
        fleet.run(5.0)
        heard[domains] = [one.heard for one in fleet.list_live()]
        far = [one.heard_far for one in fleet.list_live()]
        assert sum(size > 0 for size in far) == 2 * domains, "delegates only"
    assert max(heard[6]) < 2 * max(heard[2])


def test_large_send_is_known_in_other_failure_domains_at_once():
    # Two routers of different failure domains see the same engine free and
    # send to it within a tenth of a second; both callers wait twice as long.
    fleet = create_busy(domains=3, size=6)
    sender = fleet.routers["router-1-5"]
    _, sent = sender.submit_request(fleet.now, tokens=LARGE)
    fleet.run(0.12)
    for one in fleet.list_live():
        engine = one.state.table.by_name[sent.upstream]
        assert engine.unread >= LARGE, one.name


def test_team_that_waits_in_another_failure_domain_has_room_left():
    # A small team's request waits in one failure domain for a full engine;
    # when a place comes free, a large team's router in another one is served
    # first, time after time.
    fleet = create_busy(domains=2, size=4)
    waiting = fleet.routers["router-0-3"]
    for one in waiting.state.table.by_name.values():
        one.own.running = 4
    waiting.submit_request(fleet.now, team="trader")
    fleet.run(0.35)
    for one in fleet.list_live():
        if one is not waiting:
            floors = [up.floor for up in one.state.table.by_name.values()]
            assert max(floors) < float("inf"), one.name


def test_refused_team_has_idle_engines_left_in_other_failure_domains():
    # Guards against a flood in one failure domain that takes the engines that
    # have little to do from a team that is refused in another.
    fleet = create_busy(domains=3, size=4)
    refusing = fleet.routers["router-0-3"]
    for one in refusing.state.table.by_name.values():
        one.own.running = 4
    refusing.submit_request(fleet.now, team="trader")
    fleet.run(0.45)
    core.run_timers(refusing.state, fleet.now)
    refusing.submit_request(fleet.now, team="trader")
    fleet.run(0.35)
    for one in fleet.list_live():
        if one is not refusing:
            floors = [up.short_floor for up in one.state.table.by_name.values()]
            assert max(floors) < float("inf"), one.name
    fleet.run(3.0)
    core.run_timers(refusing.state, fleet.now)
    fleet.run(3.0)
    for one in fleet.list_live():
        floors = [up.short_floor for up in one.state.table.by_name.values()]
        assert min(floors) == float("inf"), one.name


def test_team_is_charged_for_what_it_got_anywhere():
    # A large team's callers are spread over all failure domains. Each domain
    # would take it for a small one, and it would get a share in each.
    fleet = create_busy(domains=3, size=4)
    for name in ("router-0-3", "router-1-0", "router-2-2"):
        fleet.routers[name].submit_request(
            fleet.now, team="mill", tokens=10_000
        )
    fleet.run(0.5)
    for one in fleet.list_live():
        accounts = one.state.accounts["engine"]
        received = accounts.others.get("mill", 0.0)
        own = accounts.own.get("mill", (0.0, 0.0))[0]
        assert received + own >= 3 * 10_000 * 0.7, one.name


def test_prompt_is_known_to_be_held_in_other_failure_domains():
    # An engine is sent a paper by one failure domain; another one's router
    # has a second engine read it, as it doesn't know whom to fetch it from.
    fleet = create_busy(domains=2, size=4)
    sender = fleet.routers["router-0-3"]
    parts = (("paper", fetching.MIN_FETCH_TOKENS + 5000),)
    for one in fleet.list_live():
        catalog = fakes.create_catalog(version=2, fetch_rate=1e6)
        core.apply_catalog(one.state, fleet.now, catalog)
    _, sent = sender.submit_request(fleet.now, tokens=LARGE, parts=parts)
    fleet.run(1.0)
    for one in fleet.list_live():
        cache = one.state.table.by_name[sent.upstream].cache
        assert sum(cache.parts.values()) >= parts[0][1], one.name


@pytest.mark.parametrize("count", [1, 2])
def test_others_take_the_place_of_delegates_that_are_lost(count):
    # The routers that speak for a failure domain are killed. Those left there
    # must count the other failure domains' load again, and be counted.
    fleet = create_busy(domains=3, size=5)
    for name in list_delegates(fleet)[:count]:
        fleet.routers[name].alive = False
    fleet.run(6.0)
    assert fleet.list_wrong() == []


def test_delegates_that_are_back_are_counted_once():
    # Delegates are restarted one after the other, as in a release. For a
    # moment two routers tell of the same load.
    fleet = create_busy(domains=3, size=5)
    for name in list_delegates(fleet):
        fleet.restart(name)
        fleet.run(1.5)
    fleet.run(4.0)
    assert fleet.list_wrong() == []


def test_stopping_delegate_hands_over_before_it_ends():
    # A delegate is stopped in an orderly way. Were it to speak until its end,
    # its failure domain would be unheard until that is noticed.
    fleet = create_busy(domains=2, size=4)
    name = list_delegates(fleet)[0]
    fleet.routers[name].state.stop.since = fleet.now
    fleet.run(2.0)
    assert name not in list_delegates(fleet)
    assert fleet.list_wrong() == []


def test_largest_vms_speak_for_their_failure_domain():
    # On the smallest VMs, work for others delays callers.
    fleet = create_busy(domains=2, size=6, capacities=(4, 4, 4, 4, 21, 21))
    for one in fleet.list_live():
        if one.load_exchange.role.part is not None:
            assert one.load_exchange.capacity == 21


def test_failure_domain_that_was_cut_off_is_counted_again():
    # A failure domain is cut from the others for longer than they remember
    # its delegates, and comes back.
    fleet = create_busy(domains=3, size=4)
    fleet.partitioned = {"domain-1"}
    fleet.run(8.0)
    inside = fleet.routers["router-1-3"]
    assert inside.state.routers == 4
    fleet.partitioned = set()
    fleet.run(4.0)
    assert fleet.list_wrong() == []


def test_newcomer_finds_its_failure_domain_by_a_seed_elsewhere():
    # A VM is added whose failure domain has no seed. It must be heard, or it
    # overfills engines that all others know to be full.
    fleet = create_busy(domains=3, size=4, seeds=1)
    fleet.start("router-2-9", "domain-2")
    fleet.run(4.0)
    assert fleet.list_wrong() == []


def test_fleet_finds_itself_after_a_power_loss():
    # All VMs start at once and know only the seeds, in one failure domain.
    fleet = simulated_fleet.Fleet(domains=6, size=6, seeds=1)
    for one in fleet.list_live():
        one.submit_request(fleet.now)
    fleet.run(4.0)
    assert fleet.list_wrong() == []


def test_router_that_is_gone_is_not_rumoured_for_ever():
    # VMs are replaced every day. If routers passed on what they only heard
    # of, each of them would keep a link to all that ever were.
    fleet = create_busy(domains=2, size=4)
    gone = fleet.routers["router-0-0"]
    gone.alive = False
    fleet.run(140.0)
    for one in fleet.list_live():
        assert gone.name not in one.load_exchange.peers, one.name


def test_router_of_the_version_before_is_counted():
    # During a release, routers of the version before tell everyone of
    # themselves and name no failure domain.
    state, load_exchange = fakes.create_state(), fakes.create_exchange()
    load = messages.RouterLoad(
        1, "127.0.0.1:2", upstreams=(messages.UpstreamLoad("e1", 3, 0, 0),)
    )
    envelope = messages.Envelope("front-2", 1, 1, load)
    exchange.handle_load(load_exchange, state, 0.0, envelope)
    assert state.table.by_name["e1"].others.running == 3
    assert state.routers == 2


@settings(max_examples=25)
@given(data=strategies.data())
def test_loads_are_right_again_after_any_trouble(data):
    # Whatever is killed, restarted or cut, once it is over each router counts
    # each other one's load once.
    fleet = create_busy(
        domains=data.draw(strategies.integers(1, 4)),
        size=data.draw(strategies.integers(1, 5)),
        seed=data.draw(strategies.integers(0, 100)),
    )
    names = strategies.sampled_from(sorted(fleet.routers))
    for _ in range(data.draw(strategies.integers(2, 8))):
        match data.draw(strategies.integers(0, 4)):
            case 0:
                fleet.routers[data.draw(names)].alive = False
            case 1:
                one = fleet.restart(data.draw(names))
                one.submit_request(fleet.now)
            case 2:
                fleet.partitioned ^= {
                    f"domain-{data.draw(strategies.integers(0, 3))}"
                }
            case 3:
                one = fleet.routers[data.draw(names)]
                one.submit_request(
                    fleet.now, tokens=data.draw(strategies.just(LARGE))
                )
            case 4:
                fleet.run(data.draw(strategies.floats(0.05, 4.0)))
    fleet.partitioned = set()
    if not any(fleet.routers[name].alive for name in fleet.seeds):
        fleet.restart(fleet.seeds[0])
    fleet.run(8.0)
    assert fleet.list_wrong() == []
