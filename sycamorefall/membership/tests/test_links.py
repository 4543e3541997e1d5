"""Tests of links between routers and sidecars: symmetry, number, failover."""

import collections

from hypothesis import given
from hypothesis import strategies as st

from sycamorefall import membership
from sycamorefall.membership import directory as directory_module
from sycamorefall.membership import links as links_module


def build_vms(routers, sidecars, domains, services=1):
    vms = [
        membership.VmEntry(
            f"router-{index}",
            membership.VmRole.ROUTER,
            f"domain-{index % domains}",
            "",
            "",
        )
        for index in range(routers)
    ]
    return vms + [
        membership.VmEntry(
            f"engine-{index}",
            membership.VmRole.UPSTREAM,
            f"domain-{index // services % domains}",
            "",
            "",
            f"service-{index % services}",
        )
        for index in range(sidecars)
    ]


def build_directory(vms):
    directory = membership.Directory()
    membership.apply_vm_list(directory, membership.VmList(1, tuple(vms)))
    return directory


def list_routers_of(directory, name, now=0.0):
    return membership.list_linked_routers(
        membership.Links(), directory, now, name
    )


def list_sidecars_of(directory, name, service="service-0", now=0.0):
    return membership.list_linked_sidecars(
        membership.Links(), directory, now, name, service
    )


@given(st.integers(1, 30), st.integers(1, 30), st.integers(1, 8))
def test_both_ends_compute_the_same_links(routers, sidecars, domains):
    directory = build_directory(build_vms(routers, sidecars, domains))
    from_routers = {
        (f"router-{index}", sidecar)
        for index in range(routers)
        for sidecar in list_sidecars_of(directory, f"router-{index}")
    }
    from_sidecars = {
        (router, f"engine-{index}")
        for index in range(sidecars)
        for router in list_routers_of(directory, f"engine-{index}")
    }
    assert from_routers == from_sidecars


def test_4_routers_are_linked_to_all_of_10_sidecars():
    directory = build_directory(build_vms(4, 10, 4))
    for index in range(4):
        assert len(list_sidecars_of(directory, f"router-{index}")) == 10


def test_at_370_routers_and_48_sidecars_links_are_few_but_enough():
    vms = build_vms(370, 48, 8)
    sidecars = vms[370:]
    degrees = collections.Counter()
    for router in vms[:370]:
        ranked, degree = links_module.rank_sidecars(router, sidecars, 370)
        domains = {
            vm.failure_domain for vm in sidecars if vm.name in ranked[:degree]
        }
        assert degree == 3
        assert router.failure_domain in domains
        assert len(domains) == 2
        degrees.update(ranked[:degree])
    assert len(degrees) == 48
    assert min(degrees.values()) >= 8
    assert max(degrees.values()) <= 40


def test_removed_vm_changes_only_its_own_links():
    vms = build_vms(40, 48, 8)
    before = build_directory(vms)
    after = build_directory([vm for vm in vms if vm.name != "engine-7"])
    for index in range(40):
        old = list_sidecars_of(before, f"router-{index}")
        new = list_sidecars_of(after, f"router-{index}")
        assert set(old) - {"engine-7"} <= set(new)
        assert len(set(new) - set(old)) <= ("engine-7" in old)


def test_link_to_a_leaving_sidecar_is_supplemented():
    vms = build_vms(370, 48, 8)
    old = list_sidecars_of(build_directory(vms), "router-5")
    leaving = [
        directory_module.VmEntry(
            **{
                field: getattr(vm, field)
                for field in vm.__struct_fields__
                if field != "state"
            },
            state=membership.VmState.LEAVING
            if vm.name == old[0]
            else membership.VmState.LIVE,
        )
        for vm in vms
    ]
    new = list_sidecars_of(build_directory(leaving), "router-5")
    assert set(old) < set(new)
    assert len(new) == len(old) + 1


def test_silent_sidecars_are_substituted_and_the_substitute_responds():
    # A failure domain fails, and with it all linked sidecars of a service. The
    # platform's list lags and still contains them. Without links to other
    # sidecars, callers would get the error "no_upstream" although upstreams in
    # other failure domains are idle.
    directory = build_directory(build_vms(370, 48, 8))
    links = membership.Links()
    name = "router-5"

    def list_sidecars(now):
        return membership.list_linked_sidecars(
            links, directory, now, name, "service-0"
        )

    old = list_sidecars(0.0)
    for sidecar in old[1:]:
        membership.record_peer_message(directory, 9.0, sidecar, 1, False)
    new = list_sidecars(10.0)
    assert new[: len(old)] == old
    assert len(new) == len(old) + 1
    at_sidecar = build_directory(build_vms(370, 48, 8))
    assert name not in list_routers_of(at_sidecar, new[-1])
    membership.record_peer_message(at_sidecar, 10.0, name, 1, False)
    assert name in list_routers_of(at_sidecar, new[-1], now=10.5)
