"""Claims: ahead only for a backlog, and none wasted on a silent router."""

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


def test_full_sidecar_leaves_a_few_requests_to_whoever_is_free_first():
    # Just below capacity one request waits and all four upstreams are full.
    # Claimed ahead it is bound to one of them, while another comes free
    # sooner; and three claims come back empty.
    state = create_sidecar(sidecars=4, slots=2)
    announce(state, 0.0, "router-0", {"mill-a": 2})
    claims = announce(state, 0.1, "router-0", {"mill-b": 1}, sequence=2)
    assert claims == []


def test_full_sidecar_claims_ahead_for_a_backlog():
    state = create_sidecar(sidecars=4, slots=2)
    claims = announce(state, 0.0, "router-0", {"flood": 50})
    assert len(claims) == 2 + state.limit.ahead


def test_silent_router_costs_one_lease_not_one_for_each_request():
    # A router fails with much work announced. Each claim for it holds a slot
    # until its lease is over; claimed one after the other, its requests
    # would keep the upstream idle for minutes beside another router's work.
    state = create_sidecar(sidecars=1, slots=2)
    announce(state, 0.0, "router-1", {"flood": 500})
    assert announce(state, 0.1, "router-0", {"mill-a": 5}) == []
    claims = list_claims(core.run_timers(state, 1.05))
    assert claims == [("router-0", "mill-a")] * 3
    assert announce(state, 1.2, "router-1", {"flood": 9}, sequence=2) == []
    assert state.demand.teams["flood"] == {"router-1"}
