"""Tests of readers, the few routers that read the platform for all others.

Faults of readers, of the network and of the platform are simulated.
"""

from hypothesis import given, settings, strategies
import pytest

from sycamorefall.direct.tests import simulated_replicas

APPLY_BOUND = 2.0
"""Seconds within which a change has to be in effect, at the sites with the
shortest bound."""

PROOF_LIFETIME = 3.8
"""Seconds after a proof for which a router accepts keys."""


def count_calls(fleet, since):
    return sum(at >= since for at, _ in fleet.platform.calls)


def start_fleet(**options):
    fleet = simulated_replicas.Fleet(**options)
    fleet.run(5.0)
    return fleet


def list_readers(fleet, domain="domain-0"):
    return fleet.rank_routers()[domain][:2]


def test_calls_do_not_grow_with_the_routers_of_a_failure_domain():
    # Guards against calls to the platform by every router: each call costs
    # money, and the rate of calls is limited. Before there were readers, each
    # of 68 routers listed all upstreams 1.25 times a second. Two routers of a
    # failure domain read, and the others receive the changes in time.
    for size in (3, 12):
        fleet = start_fleet(domains=3, size=size)
        started_at = fleet.now

        def check(fleet=fleet):
            ages = [
                fleet.compute_proof_age(router) for router in fleet.list_live()
            ]
            assert max(ages) < 1.1

        fleet.run(10.0, check)
        calls = count_calls(fleet, started_at)
        assert calls <= 2.2 * 3 * 10, "about two a second per failure domain"
        readers = {
            name for at, name in fleet.platform.calls if at >= started_at
        }
        assert len(readers) == 6


def test_fleet_that_starts_at_once_does_not_read_at_once():
    # Guards against a burst of calls after all VMs lost power and restart
    # together. The platform refuses calls beyond a rate, and refused calls cost
    # money as well.
    fleet = simulated_replicas.Fleet(domains=6, size=12, seeds=3)
    fleet.run(1.5)
    assert len(fleet.platform.calls) <= 40
    assert all(router.applied_revision for router in fleet.list_live())
    fleet.run(1.0)
    assert (
        max(fleet.compute_proof_age(router) for router in fleet.list_live())
        < 1.4
    )


def test_router_that_starts_while_the_platform_is_down_learns_from_others():
    # Guards against a router that is replaced during an outage of the platform
    # and can't serve requests until the platform recovers, although the other
    # routers know all records.
    fleet = start_fleet()
    fleet.platform.unavailable = True
    fleet.restart("router-0-3")
    fleet.run(0.5)
    newcomer = fleet.routers["router-0-3"]
    assert newcomer.applied_revision == fleet.platform.revision
    assert fleet.compute_proof_age(newcomer) < PROOF_LIFETIME
    fleet.run(8.0, fleet.check_proofs)
    assert fleet.compute_proof_age(newcomer) > PROOF_LIFETIME, (
        "the proofs of all routers have expired"
    )


def stop_processes(fleet, names):
    for name in names:
        fleet.routers[name].alive = False


def freeze_processes(fleet, names):
    for name in names:
        fleet.routers[name].frozen = True


def refuse_reads(fleet, names):
    fleet.platform.refused_routers |= set(names)


def leave_unanswered(fleet, names):
    fleet.platform.unanswered_routers |= set(names)


def isolate(fleet, names):
    fleet.isolated_routers |= set(names)


@pytest.mark.parametrize(
    "inject_fault",
    [stop_processes, freeze_processes, refuse_reads, leave_unanswered, isolate],
)
@pytest.mark.parametrize("count", [1, 2])
@pytest.mark.parametrize("delay", [0.0, 0.2, 0.45])
def test_change_is_applied_in_time_although_readers_are_lost(
    inject_fault, count, delay
):
    # Guards against a late revocation: an operator revokes a key just after
    # one or both readers of a failure domain were killed, frozen or isolated,
    # or while the platform refuses or doesn't answer their reads. The other
    # routers work, and have to apply the change in time.
    fleet = start_fleet(size=5)
    fleet.run(delay)
    affected = list_readers(fleet)[:count]
    inject_fault(fleet, affected)
    changed_at = fleet.now
    fleet.platform.put("configuration", changed_at)
    fleet.run(APPLY_BOUND - 0.1, fleet.check_proofs)
    for router in fleet.list_live():
        if router.name not in affected or inject_fault in (
            refuse_reads,
            leave_unanswered,
        ):
            assert router.applied_revision == fleet.platform.revision, (
                router.name
            )


@pytest.mark.parametrize(
    "inject_fault",
    [stop_processes, freeze_processes, refuse_reads, leave_unanswered, isolate],
)
def test_next_routers_of_the_ranking_replace_lost_readers(inject_fault):
    # Both readers of a failure domain are lost for a long time. Unless other
    # routers replace them, each router of the domain reads the platform itself.
    fleet = start_fleet(domains=2, size=12)
    affected = list_readers(fleet)
    inject_fault(fleet, affected)
    fleet.run(4.0)
    started_at = fleet.now
    fleet.run(10.0, fleet.check_proofs)
    calls = [name for at, name in fleet.platform.calls if at >= started_at]
    others = [name for name in calls if name not in affected]
    assert len(others) <= 2.4 * 2 * 10
    for router in fleet.list_live():
        if router.name not in affected:
            assert fleet.compute_proof_age(router) < 1.4


def test_refused_reader_notifies_its_subscribers():
    # The platform refuses the reads of both readers of a failure domain. If
    # these only became silent, each subscriber would wait and then read the
    # platform itself. As they report the failure at once, two other routers
    # replace them, and the rest need not read.
    fleet = start_fleet(domains=2, size=12)
    refuse_reads(fleet, list_readers(fleet))
    started_at = fleet.now
    fleet.run(5.0, fleet.check_proofs)
    domain = {
        router.name for router in fleet.list_live() if "0" in router.domain
    }
    callers = {name for at, name in fleet.platform.calls if at >= started_at}
    assert len(callers & domain) <= 4, "refused readers and their successors"


def test_readers_read_again_after_refusals_end():
    # Guards against routers that stay excluded as readers after the platform
    # refused their reads for a short time: eventually no reader would be left.
    fleet = start_fleet(size=4)
    fleet.platform.refused_routers = set(list_readers(fleet))
    fleet.run(3.0)
    fleet.platform.refused_routers = set()
    fleet.run(7.0)
    started_at = fleet.now
    fleet.run(5.0)
    calls = {name for at, name in fleet.platform.calls if at >= started_at}
    assert set(list_readers(fleet)) <= calls


def test_refused_failure_domain_is_updated_by_other_failure_domains():
    # The platform refuses the reads of a whole failure domain and answers the
    # others. Routers of that domain get proofs from readers of other domains,
    # and go on serving requests.
    fleet = start_fleet()
    refused = {
        router.name
        for router in fleet.list_live()
        if router.domain == "domain-0"
    }
    refuse_reads(fleet, refused)
    started_at = fleet.now

    def check():
        fleet.check_proofs()
        ages = [fleet.compute_proof_age(router) for router in fleet.list_live()]
        assert max(ages) < PROOF_LIFETIME

    fleet.run(9.0, check)
    callers = [name for at, name in fleet.platform.calls if at >= started_at]
    assert sum(name in refused for name in callers) < 60
    fleet.platform.refused_routers.clear()
    fleet.run(6.0, check)
    started_at = fleet.now
    fleet.run(5.0, check)
    assert count_calls(fleet, started_at) <= 2.2 * 3 * 5, (
        "the domain's own readers read again"
    )


def test_all_routers_soon_have_proof_after_the_platform_recovers():
    # The platform is down for eight seconds, after which no router accepts keys
    # any longer. All routers must have proof within a second of its recovery,
    # and must not all retry at a high rate during the outage.
    fleet = start_fleet(domains=6, size=10)
    fleet.platform.unavailable = True
    started_at = fleet.now
    fleet.run(8.0, fleet.check_proofs)
    assert count_calls(fleet, started_at) < 400, (
        "60 routers without backoff send as many in 1.7 s"
    )
    fleet.platform.unavailable = False
    fleet.run(1.0)
    ages = [fleet.compute_proof_age(router) for router in fleet.list_live()]
    assert max(ages) < 1.0


def test_change_is_read_by_few_routers_and_sent_to_all():
    # Guards against a listing of all upstreams by every router at each change
    # of an upstream.
    fleet = start_fleet(domains=6, size=10)
    started_at = fleet.now
    for step in range(20):
        fleet.platform.put(f"upstream-{step % 7}", fleet.now)
        fleet.run(1.0)
    calls = count_calls(fleet, started_at)
    assert all(
        router.applied_revision == fleet.platform.revision
        for router in fleet.list_live()
    )
    assert calls <= 20 * (2.2 * 6 + 4), "probes, and four snapshots per change"


def test_restarted_router_ignores_proofs_for_its_previous_incarnation():
    # A VM restarts with a new clock, and then receives a message with a proof
    # for its previous process, in terms of the old clock. If it accepted the
    # proof, a revoked key would work for as long as the two clocks differ.
    fleet = start_fleet()
    name = "router-0-2"
    fleet.max_delay = 3.0
    for clock_offset in (1e6, 5.0, 2e6, 0.0):
        fleet.run(1.0, fleet.check_proofs)
        fleet.restart(name)
        fleet.routers[name].clock_offset = clock_offset - fleet.now
        fleet.run(2.0, fleet.check_proofs)


@settings(max_examples=30)
@given(data=strategies.data())
def test_no_proof_is_too_late_under_random_faults(data):
    # Whichever messages are lost or late, and whichever routers restart, freeze
    # or are isolated, no router has proof for a time at which its records were
    # outdated.
    seed = data.draw(strategies.integers(0, 1000))
    fleet = simulated_replicas.Fleet(seed=seed)
    fleet.loss_rate = data.draw(strategies.sampled_from([0.0, 0.1, 0.5]))
    fleet.max_delay = data.draw(strategies.sampled_from([0.001, 0.3, 2.0]))
    names = strategies.sampled_from(sorted(fleet.routers))
    key = 0
    for _ in range(data.draw(strategies.integers(3, 8))):
        fleet.run(data.draw(strategies.floats(0.1, 1.5)), fleet.check_proofs)
        match data.draw(strategies.integers(0, 6)):
            case 0:
                fleet.restart(data.draw(names))
            case 1:
                router = fleet.routers[data.draw(names)]
                router.frozen = not router.frozen
            case 2:
                fleet.platform.unavailable = not fleet.platform.unavailable
            case 3:
                fleet.platform.refused_routers ^= {data.draw(names)}
            case 4:
                fleet.isolated_routers ^= {data.draw(names)}
            case 5:
                key += 1
                fleet.platform.put(f"upstream-{key % 3}", fleet.now)
            case 6:
                key_to_delete = sorted(fleet.platform.records)[-1]
                if key_to_delete != "configuration":
                    fleet.platform.delete(key_to_delete, fleet.now)
    fleet.platform.unavailable, fleet.platform.refused_routers = False, set()
    fleet.isolated_routers, fleet.loss_rate, fleet.max_delay = set(), 0.0, 0.001
    for router in fleet.routers.values():
        router.frozen = False
    fleet.run(6.0, fleet.check_proofs)
    for router in fleet.list_live():
        assert router.replica.records.by_key == fleet.platform.records
        assert fleet.compute_proof_age(router) < 1.4
