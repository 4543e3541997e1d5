"""Few routers read the platform for all: what fails among them."""

from hypothesis import given, settings, strategies
import pytest

from sycamorefall.direct.tests import replicas

APPLY = 2.0
"""Seconds within which operators have a change in force, on the sites with
the shortest bound."""

LEASE = 3.8
"""Seconds for which a proof lets a router believe keys."""


def count_calls(fleet, since):
    return sum(at >= since for at, _ in fleet.platform.calls)


def create_running(**kinds):
    fleet = replicas.Fleet(**kinds)
    fleet.run(5.0)
    return fleet


def list_readers(fleet, domain="domain-0"):
    return fleet.rank()[domain][:2]


def test_calls_do_not_grow_with_the_routers_of_a_failure_domain():
    # A fleet pays for each call of the platform, and its rate is bounded.
    # Each of 68 routers listed all upstreams 1.25 times a second; now two of
    # a failure domain read, and all others are told in time.
    for size in (3, 12):
        fleet = create_running(domains=3, size=size)
        begun = fleet.now

        def check(fleet=fleet):
            ages = [fleet.find_age(one) for one in fleet.list_live()]
            assert max(ages) < 1.1

        fleet.run(10.0, check)
        calls = count_calls(fleet, begun)
        assert calls <= 2.2 * 3 * 10, "about two a second in each domain"
        readers = {name for at, name in fleet.platform.calls if at >= begun}
        assert len(readers) == 6


def test_fleet_that_starts_at_once_does_not_read_at_once():
    # All VMs lose power and come back together. The platform refuses calls
    # beyond a rate, and what is refused is paid for as well.
    fleet = replicas.Fleet(domains=6, size=12, seeds=3)
    fleet.run(1.5)
    assert len(fleet.platform.calls) <= 40
    assert all(one.adopted for one in fleet.list_live())
    fleet.run(1.0)
    assert max(fleet.find_age(one) for one in fleet.list_live()) < 1.4


def test_router_that_starts_while_the_platform_is_away_learns_from_others():
    # A router is replaced while the platform is down. It could serve nobody
    # until the platform is back, though its neighbours know all that it needs.
    fleet = create_running()
    fleet.platform.away = True
    fleet.restart("router-0-3")
    fleet.run(0.5)
    newcomer = fleet.routers["router-0-3"]
    assert newcomer.adopted == fleet.platform.revision
    assert fleet.find_age(newcomer) < LEASE
    fleet.run(8.0, fleet.check_proofs)
    assert fleet.find_age(newcomer) > LEASE, "nobody's proof lasts longer"


def kill(fleet, names):
    for name in names:
        fleet.routers[name].alive = False


def freeze(fleet, names):
    for name in names:
        fleet.routers[name].frozen = True


def refuse(fleet, names):
    fleet.platform.refuses |= set(names)


def mute(fleet, names):
    fleet.platform.mute |= set(names)


def cut(fleet, names):
    fleet.deaf |= set(names)


@pytest.mark.parametrize("strike", [kill, freeze, refuse, mute, cut])
@pytest.mark.parametrize("count", [1, 2])
@pytest.mark.parametrize("after", [0.0, 0.2, 0.45])
def test_change_is_in_force_in_time_though_readers_are_lost(
    strike, count, after
):
    # An operator takes a key away just after the router that reads for its
    # neighbours was killed, frozen, cut from them, or turned away by the
    # platform. The neighbours are well, and have to apply the change in time.
    fleet = create_running(size=5)
    fleet.run(after)
    struck = list_readers(fleet)[:count]
    strike(fleet, struck)
    changed_at = fleet.now
    fleet.platform.put("configuration", changed_at)
    fleet.run(APPLY - 0.1, fleet.check_proofs)
    for one in fleet.list_live():
        if one.name not in struck or strike in (refuse, mute):
            assert one.adopted == fleet.platform.revision, one.name


@pytest.mark.parametrize("strike", [kill, freeze, refuse, mute, cut])
def test_next_ones_read_where_readers_are_lost(strike):
    # Both routers that read for a failure domain are lost for long. If nobody
    # took their place, each of their neighbours would read for itself.
    fleet = create_running(domains=2, size=12)
    struck = list_readers(fleet)
    strike(fleet, struck)
    fleet.run(4.0)
    begun = fleet.now
    fleet.run(10.0, fleet.check_proofs)
    calls = [name for at, name in fleet.platform.calls if at >= begun]
    others = [name for name in calls if name not in struck]
    assert len(others) <= 2.4 * 2 * 10
    for one in fleet.list_live():
        if one.name not in struck:
            assert fleet.find_age(one) < 1.4


def test_reader_that_is_turned_away_says_so():
    # The platform turns away both routers that read for a failure domain. If
    # they only fell silent, each neighbour would wait and then read for
    # itself; told at once, two of them take over and the rest need not.
    fleet = create_running(domains=2, size=12)
    refuse(fleet, list_readers(fleet))
    begun = fleet.now
    fleet.run(5.0, fleet.check_proofs)
    domain = {one.name for one in fleet.list_live() if "0" in one.domain}
    callers = {name for at, name in fleet.platform.calls if at >= begun}
    assert len(callers & domain) <= 4, "the two and the next two"


def test_readers_that_are_back_read_again():
    # The platform turned a router away for a moment. It must not stay out for
    # ever: with time, there would be nobody left who reads.
    fleet = create_running(size=4)
    fleet.platform.refuses = set(list_readers(fleet))
    fleet.run(3.0)
    fleet.platform.refuses = set()
    fleet.run(7.0)
    begun = fleet.now
    fleet.run(5.0)
    calls = {name for at, name in fleet.platform.calls if at >= begun}
    assert set(list_readers(fleet)) <= calls


def test_failure_domain_that_is_turned_away_is_told_from_elsewhere():
    # The platform turns all VMs of a failure domain away and serves the
    # others. Callers there are served on.
    fleet = create_running()
    turned = {one.name for one in fleet.list_live() if one.domain == "domain-0"}
    refuse(fleet, turned)
    begun = fleet.now

    def check():
        fleet.check_proofs()
        ages = [fleet.find_age(one) for one in fleet.list_live()]
        assert max(ages) < LEASE

    fleet.run(9.0, check)
    vain = [name for at, name in fleet.platform.calls if at >= begun]
    assert sum(name in turned for name in vain) < 60
    fleet.platform.refuses.clear()
    fleet.run(6.0, check)
    begun = fleet.now
    fleet.run(5.0, check)
    assert count_calls(fleet, begun) <= 2.2 * 3 * 5, "its own readers are back"


def test_all_learn_soon_that_the_platform_is_back():
    # The platform is down for eight seconds, and no router may believe keys
    # by then. Once it is back all of them have proof within a second, and
    # while it is away they don't all call it over and over.
    fleet = create_running(domains=6, size=10)
    fleet.platform.away = True
    begun = fleet.now
    fleet.run(8.0, fleet.check_proofs)
    assert count_calls(fleet, begun) < 400, "as all of 60 would in 1.7 s"
    fleet.platform.away = False
    fleet.run(1.0)
    ages = [fleet.find_age(one) for one in fleet.list_live()]
    assert max(ages) < 1.0


def test_change_is_read_by_few_and_told_to_all():
    # Each change of an upstream had all routers list the upstreams anew.
    fleet = create_running(domains=6, size=10)
    begun = fleet.now
    for step in range(20):
        fleet.platform.put(f"upstream-{step % 7}", fleet.now)
        fleet.run(1.0)
    calls = count_calls(fleet, begun)
    assert all(
        one.adopted == fleet.platform.revision for one in fleet.list_live()
    )
    assert calls <= 20 * (2.2 * 6 + 4), "probes, and four reads a change"


def test_restarted_router_takes_no_time_of_its_last_life_for_its_own():
    # A VM restarts, and its clock with it. A neighbour's message that was
    # meant for the process before puts a proof in terms of the old clock; a
    # key that was taken away would work for as long as the clocks differ.
    fleet = create_running()
    name = "router-0-2"
    fleet.slowest = 3.0
    for offset in (1e6, 5.0, 2e6, 0.0):
        fleet.run(1.0, fleet.check_proofs)
        fleet.restart(name)
        fleet.routers[name].offset = offset - fleet.now
        fleet.run(2.0, fleet.check_proofs)


@settings(max_examples=30)
@given(data=strategies.data())
def test_nothing_makes_a_router_believe_what_is_old(data):
    # Whatever is lost, late, restarted or cut, no router takes its records
    # for the newest at a time when they were not.
    seed = data.draw(strategies.integers(0, 1000))
    fleet = replicas.Fleet(seed=seed)
    fleet.lossy = data.draw(strategies.sampled_from([0.0, 0.1, 0.5]))
    fleet.slowest = data.draw(strategies.sampled_from([0.001, 0.3, 2.0]))
    names = strategies.sampled_from(sorted(fleet.routers))
    key = 0
    for _ in range(data.draw(strategies.integers(3, 8))):
        fleet.run(data.draw(strategies.floats(0.1, 1.5)), fleet.check_proofs)
        match data.draw(strategies.integers(0, 6)):
            case 0:
                fleet.restart(data.draw(names))
            case 1:
                one = fleet.routers[data.draw(names)]
                one.frozen = not one.frozen
            case 2:
                fleet.platform.away = not fleet.platform.away
            case 3:
                fleet.platform.refuses ^= {data.draw(names)}
            case 4:
                fleet.deaf ^= {data.draw(names)}
            case 5:
                key += 1
                fleet.platform.put(f"upstream-{key % 3}", fleet.now)
            case 6:
                gone = sorted(fleet.platform.records)[-1]
                if gone != "configuration":
                    fleet.platform.delete(gone, fleet.now)
    fleet.platform.away, fleet.platform.refuses = False, set()
    fleet.deaf, fleet.lossy, fleet.slowest = set(), 0.0, 0.001
    for one in fleet.routers.values():
        one.frozen = False
    fleet.run(6.0, fleet.check_proofs)
    for one in fleet.list_live():
        assert one.replica.records.by_key == fleet.platform.records
        assert fleet.find_age(one) < 1.4
