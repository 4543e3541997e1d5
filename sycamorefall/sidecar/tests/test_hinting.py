"""Search of idle sidecars for work at unlinked routers."""

from sycamorefall import configuration, membership, messages
from sycamorefall.sidecar import core, hinting
from sycamorefall.sidecar import state as state_module


def create_sidecar(routers, sidecars=24):
    state = state_module.create_state("engine-0", 1, "assistant")
    text = "[service assistant]\nkind = engine\nconcurrency = 2\n"
    configuration.submit_text(state.versions, 1, text)
    core.apply_configuration(state)
    role = membership.VmRole
    vms = [
        membership.VmEntry(f"router-{n}", role.ROUTER, f"d-{n % 4}", "", "")
        for n in range(routers)
    ]
    vms += [
        membership.VmEntry(
            f"engine-{n}", role.UPSTREAM, f"d-{n % 4}", "", "", "assistant"
        )
        for n in range(sidecars)
    ]
    membership.apply_vm_list(state.directory, membership.VmList(1, tuple(vms)))
    return state


def run(state, begin, seconds):
    """Runs the timers as they become due; returns (time, effects) pairs."""
    sent, now = [], begin
    while (now := max(now, core.find_next_due(state))) < begin + seconds:
        sent.append((now, core.run_timers(state, now)))
        now += 1e-6
    return sent


def list_search_times(state, sent):
    linked = set(
        membership.list_linked_routers(
            state.links, state.directory, 0.0, state.vm
        )
    )
    return [
        now
        for now, sends in sent
        for send in sends
        if send.to.startswith("router") and send.to not in linked
    ]


def test_idle_sidecar_finds_work_at_a_router_it_has_no_link_to():
    # All work of a large team waits at one router whose linked sidecars are
    # busy. Without the search, the other sidecars would idle.
    state = create_sidecar(routers=200)
    sent = run(state, 0.0, 600.0)
    asked = {send.to for _, sends in sent for send in sends}
    assert sum(name.startswith("router") for name in asked) > 80


def test_search_backs_off_while_nothing_is_found():
    state = create_sidecar(routers=200)
    searches = list_search_times(state, run(state, 0.0, 60.0))
    early = [now for now in searches if now < 2.0]
    late = [now for now in searches if now >= 40.0]
    assert len(early) >= 6
    assert len(late) <= 2 * hinting.SEARCH_RECEIVERS + 4


def test_busy_sidecar_does_not_search():
    state = create_sidecar(routers=200)
    run(state, 0.0, 1.0)
    entries = tuple(messages.TeamWaiting(f"team-{n}", 1, 0) for n in range(9))
    waiting = messages.Waiting("assistant", 1, entries, True)
    router = membership.list_linked_routers(
        state.links, state.directory, 1.0, state.vm
    )[0]
    envelope = messages.Envelope(router, 1, 1, waiting)
    core.receive_message(state, 1.0, envelope)
    assert list_search_times(state, run(state, 1.0, 0.9)) == []


def test_sidecar_linked_to_all_routers_does_not_search():
    state = create_sidecar(routers=4, sidecars=10)
    assert list_search_times(state, run(state, 0.0, 20.0)) == []
