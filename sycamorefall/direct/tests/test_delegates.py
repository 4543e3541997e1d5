"""Exchange of loads between failure domains through delegates."""

from hypothesis import given, settings, strategies
import pytest

from sycamorefall import messages
from sycamorefall.direct import core, exchange, fetching
from sycamorefall.direct.tests import fakes, simulated_fleet

LARGE = 30_000
"""Prompt tokens of a request that is reported ahead of the next full update."""


def create_busy_fleet(**kinds):
    """Creates a fleet that has run for 5 s, with a request at each router."""
    fleet = simulated_fleet.Fleet(**kinds)
    fleet.run(2.0)
    for router in fleet.list_live():
        router.submit_request(fleet.now)
    fleet.run(3.0)
    return fleet


def list_delegates(fleet, domain="domain-0"):
    router = next(
        router for router in fleet.list_live() if router.domain == domain
    )
    return exchange._rank_delegates(
        router.load_exchange, router.state, fleet.now
    )


@pytest.mark.parametrize(
    ("domains", "size"), [(1, 1), (1, 5), (4, 1), (4, 2), (3, 9), (6, 12)]
)
def test_each_router_counts_the_load_of_all_others_once(domains, size):
    # A router that counts load twice refuses requests although an engine is
    # half idle; one that misses load overloads the engine.
    fleet = create_busy_fleet(domains=domains, size=size)
    assert fleet.list_miscounts() == []


def test_received_messages_grow_with_own_failure_domain_only():
    # Guards against reports from each router to all others. With 68 routers,
    # 65 upstreams and 60 teams, most bytes crossed between failure domains,
    # which is billed; with 370 routers, no budget for control traffic sufficed.
    received = {}
    for domains in (2, 6):
        fleet = create_busy_fleet(domains=domains, size=6)
        fleet.run(4.0)
        for router in fleet.list_live():
            router.messages_received = router.remote_bytes_received = 0
        fleet.run(5.0)
        received[domains] = [
            router.messages_received for router in fleet.list_live()
        ]
        remote_bytes = [
            router.remote_bytes_received for router in fleet.list_live()
        ]
        assert sum(size > 0 for size in remote_bytes) == 2 * domains, (
            "delegates only"
        )
    assert max(received[6]) < 2 * max(received[2])


def test_long_prompt_is_known_in_other_failure_domains_immediately():
    # Guards against two routers of different failure domains that send to the
    # same idle engine within 0.1 s, so that both callers wait twice as long.
    fleet = create_busy_fleet(domains=3, size=6)
    sender = fleet.routers["router-1-5"]
    _, sent = sender.submit_request(fleet.now, tokens=LARGE)
    fleet.run(0.12)
    for router in fleet.list_live():
        engine = router.state.table.by_name[sent.upstream]
        assert engine.unread >= LARGE, router.name


def test_engine_is_kept_free_for_team_of_another_failure_domain():
    # A small team's request waits in one failure domain for a full engine.
    # Without a floor in the other domains, routers there would give each slot
    # that becomes free to a large team.
    fleet = create_busy_fleet(domains=2, size=4)
    waiting = fleet.routers["router-0-3"]
    for upstream in waiting.state.table.by_name.values():
        upstream.own_load.running = 4
    waiting.submit_request(fleet.now, team="trader")
    fleet.run(0.35)
    for router in fleet.list_live():
        if router is not waiting:
            floors = [up.floor for up in router.state.table.by_name.values()]
            assert max(floors) < float("inf"), router.name


def test_idle_engines_are_kept_free_for_refused_team_elsewhere():
    # Guards against a burst of requests in one failure domain that takes the
    # nearly idle engines from a team that is refused in another domain.
    fleet = create_busy_fleet(domains=3, size=4)
    refusing = fleet.routers["router-0-3"]
    for upstream in refusing.state.table.by_name.values():
        upstream.own_load.running = 4
    refusing.submit_request(fleet.now, team="trader")
    fleet.run(0.45)
    core.run_timers(refusing.state, fleet.now)
    refusing.submit_request(fleet.now, team="trader")
    fleet.run(0.35)
    for router in fleet.list_live():
        if router is not refusing:
            floors = [
                up.short_floor for up in router.state.table.by_name.values()
            ]
            assert max(floors) < float("inf"), router.name
    fleet.run(3.0)
    core.run_timers(refusing.state, fleet.now)
    fleet.run(3.0)
    for router in fleet.list_live():
        floors = [up.short_floor for up in router.state.table.by_name.values()]
        assert min(floors) == float("inf"), router.name


def test_team_is_charged_for_service_in_all_failure_domains():
    # Guards against a large team whose callers are spread over all failure
    # domains: if each domain counted only its own service, the team would get
    # a small team's share in each of them.
    fleet = create_busy_fleet(domains=3, size=4)
    for name in ("router-0-3", "router-1-0", "router-2-2"):
        fleet.routers[name].submit_request(
            fleet.now, team="mill", tokens=10_000
        )
    fleet.run(0.5)
    for router in fleet.list_live():
        accounts = router.state.accounts["engine"]
        received = accounts.peer_received.get("mill", 0.0)
        own = accounts.own_received.get("mill", (0.0, 0.0))[0]
        assert received + own >= 3 * 10_000 * 0.7, router.name


def test_cached_prompt_is_known_in_other_failure_domains():
    # A router sends a paper to an engine. Guards against a router in another
    # failure domain that has a second engine read the paper, because it doesn't
    # know that the engine could fetch the paper from the first one.
    fleet = create_busy_fleet(domains=2, size=4)
    sender = fleet.routers["router-0-3"]
    parts = (("paper", fetching.MIN_FETCH_TOKENS + 5000),)
    for router in fleet.list_live():
        catalog = fakes.create_catalog(version=2, fetch_rate=1e6)
        core.apply_catalog(router.state, fleet.now, catalog)
    _, sent = sender.submit_request(fleet.now, tokens=LARGE, parts=parts)
    fleet.run(1.0)
    for router in fleet.list_live():
        cache = router.state.table.by_name[sent.upstream].cache
        assert sum(cache.parts.values()) >= parts[0][1], router.name


@pytest.mark.parametrize("count", [1, 2])
def test_lost_delegates_are_replaced(count):
    # The delegates of a failure domain are killed. The remaining routers must
    # count the other failure domains' load again, and be counted there.
    fleet = create_busy_fleet(domains=3, size=5)
    for name in list_delegates(fleet)[:count]:
        fleet.routers[name].alive = False
    fleet.run(6.0)
    assert fleet.list_miscounts() == []


def test_load_is_counted_once_after_restart_of_delegates():
    # Delegates are restarted one after the other, as in a release. Two routers
    # report the same load for a moment.
    fleet = create_busy_fleet(domains=3, size=5)
    for name in list_delegates(fleet):
        fleet.restart(name)
        fleet.run(1.5)
    fleet.run(4.0)
    assert fleet.list_miscounts() == []


def test_stopping_delegate_hands_over_before_it_exits():
    # A delegate is stopped gracefully. If it remained a delegate until its
    # exit, its domain's load would be missing elsewhere until the exit is
    # detected.
    fleet = create_busy_fleet(domains=2, size=4)
    name = list_delegates(fleet)[0]
    fleet.routers[name].state.stop.since = fleet.now
    fleet.run(2.0)
    assert name not in list_delegates(fleet)
    assert fleet.list_miscounts() == []


def test_delegates_are_the_largest_vms():
    # The work of a delegate delays callers on the smallest VMs.
    fleet = create_busy_fleet(
        domains=2, size=6, capacities=(4, 4, 4, 4, 21, 21)
    )
    for router in fleet.list_live():
        if router.load_exchange.role.part is not None:
            assert router.load_exchange.capacity == 21


def test_failure_domain_is_counted_again_after_a_partition():
    # A failure domain is partitioned from the others until they have forgotten
    # its delegates; then the partition ends.
    fleet = create_busy_fleet(domains=3, size=4)
    fleet.partitioned = {"domain-1"}
    fleet.run(8.0)
    inside = fleet.routers["router-1-3"]
    assert inside.state.routers == 4
    fleet.partitioned = set()
    fleet.run(4.0)
    assert fleet.list_miscounts() == []


def test_new_router_discovers_its_failure_domain_through_a_remote_seed():
    # A VM is added to a failure domain without a seed. If it doesn't find the
    # others, it overloads engines that they know to be full.
    fleet = create_busy_fleet(domains=3, size=4, seeds=1)
    fleet.start("router-2-9", "domain-2")
    fleet.run(4.0)
    assert fleet.list_miscounts() == []


def test_routers_discover_each_other_after_a_power_loss():
    # All VMs start at once and know only the seed, in one failure domain.
    fleet = simulated_fleet.Fleet(domains=6, size=6, seeds=1)
    for router in fleet.list_live():
        router.submit_request(fleet.now)
    fleet.run(4.0)
    assert fleet.list_miscounts() == []


def test_router_that_is_gone_is_eventually_forgotten():
    # VMs are replaced every day. If routers named routers that they know only
    # from other routers, each would keep links to all VMs that ever existed.
    fleet = create_busy_fleet(domains=2, size=4)
    gone = fleet.routers["router-0-0"]
    gone.alive = False
    fleet.run(140.0)
    for router in fleet.list_live():
        assert gone.name not in router.load_exchange.peers, router.name


def test_router_of_the_previous_version_is_counted():
    # During a release, routers of the previous version report their load to all
    # routers, without a failure domain.
    state, load_exchange = fakes.create_state(), fakes.create_exchange()
    load = messages.RouterLoad(
        1, "127.0.0.1:2", upstreams=(messages.UpstreamLoad("e1", 3, 0, 0),)
    )
    envelope = messages.Envelope("front-2", 1, 1, load)
    exchange.handle_load(load_exchange, state, 0.0, envelope)
    assert state.table.by_name["e1"].peer_load.running == 3
    assert state.routers == 2


@settings(max_examples=25)
@given(data=strategies.data())
def test_loads_converge_after_any_faults(data):
    # After any kills, restarts and partitions have ended, each router counts
    # the load of each other router once.
    fleet = create_busy_fleet(
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
                router = fleet.restart(data.draw(names))
                router.submit_request(fleet.now)
            case 2:
                fleet.partitioned ^= {
                    f"domain-{data.draw(strategies.integers(0, 3))}"
                }
            case 3:
                router = fleet.routers[data.draw(names)]
                router.submit_request(
                    fleet.now, tokens=data.draw(strategies.just(LARGE))
                )
            case 4:
                fleet.run(data.draw(strategies.floats(0.05, 4.0)))
    fleet.partitioned = set()
    if not any(fleet.routers[name].alive for name in fleet.seeds):
        fleet.restart(fleet.seeds[0])
    fleet.run(8.0)
    assert fleet.list_miscounts() == []
