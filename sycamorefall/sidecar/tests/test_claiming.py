"""Claims ahead of a free slot, and claims at a router that has failed."""

from sycamorefall import configuration, membership, messages
from sycamorefall.sidecar import core
from sycamorefall.sidecar import state as state_module


def create_sidecar(sidecars=4, slots=2):
    state = state_module.create_state("engine-0", 1, "assistant")
    text = f"[service assistant]\nkind = engine\nconcurrency = {slots}\n"
    configuration.submit_text(state.versions, 1, text)
    core.apply_configuration(state)
    role = membership.VmRole
    vms = [
        membership.VmEntry(f"router-{n}", role.ROUTER, "d", "", "")
        for n in range(2)
    ]
    vms += [
        membership.VmEntry(
            f"engine-{n}", role.UPSTREAM, "d", "", "", "assistant"
        )
        for n in range(sidecars)
    ]
    membership.apply_vm_list(state.directory, membership.VmList(1, tuple(vms)))
    return state


def announce(state, now, router, counts, sequence=1):
    entries = tuple(
        messages.TeamWaiting(team, count, 0) for team, count in counts.items()
    )
    waiting = messages.Waiting("assistant", sequence, entries, True)
    envelope = messages.Envelope(router, 1, 1, waiting)
    return list_claims(core.receive_message(state, now, envelope))


def list_claims(sends):
    return [
        (send.to, send.message.team)
        for send in sends
        if isinstance(send.message, messages.Claim)
    ]


def test_full_sidecar_claims_nothing_ahead_for_a_few_requests():
    # Just below capacity, one request waits and all four upstreams are full.
    # If each sidecar claimed ahead, the request would be bound to one upstream
    # while another has a free slot sooner, and three claims would get nothing.
    state = create_sidecar(sidecars=4, slots=2)
    announce(state, 0.0, "router-0", {"mill-a": 2})
    claims = announce(state, 0.1, "router-0", {"mill-b": 1}, sequence=2)
    assert claims == []


def test_full_sidecar_claims_ahead_for_a_backlog():
    state = create_sidecar(sidecars=4, slots=2)
    claims = announce(state, 0.0, "router-0", {"flood": 50})
    assert len(claims) == 2 + state.limit.extra_claims


def test_failed_router_costs_one_lease_in_total_not_one_per_request():
    # A router fails after it announced much work. Each claim there holds a
    # slot until its lease expires. If all of the work were claimed bit by bit,
    # the upstream would idle for minutes while work waits at another router.
    state = create_sidecar(sidecars=1, slots=2)
    announce(state, 0.0, "router-1", {"flood": 500})
    assert announce(state, 0.1, "router-0", {"mill-a": 5}) == []
    claims = list_claims(core.run_timers(state, 1.05))
    assert claims == [("router-0", "mill-a")] * 3
    assert announce(state, 1.2, "router-1", {"flood": 9}, sequence=2) == []
    assert state.demand.teams["flood"] == {"router-1"}
