"""Backoff from a router that announces work but gets no claims."""

import pytest

from sycamorefall import configuration, membership, messages
from sycamorefall.sidecar import core
from sycamorefall.sidecar import state as state_module

TEXT = "[service ledger]\nkind = plain\nconcurrency = 4\n[team mill-a]\n"


@pytest.fixture
def sidecar():
    state = state_module.create_state("ledger-1", 1, "ledger")
    configuration.submit_text(state.versions, 1, TEXT)
    upstream, router = membership.VmRole.UPSTREAM, membership.VmRole.ROUTER
    entries = [
        membership.VmEntry("ledger-1", upstream, "d", "", "", "ledger"),
        membership.VmEntry("unreachable", router, "d", "", ""),
        membership.VmEntry("healthy", router, "d", "", ""),
    ]
    membership.apply_vm_list(
        state.directory, membership.VmList(1, tuple(entries))
    )
    core.apply_configuration(state)
    return state


def announce(state, now, router, sequence, count):
    entry = messages.TeamWaiting("mill-a", count, 0)
    waiting = messages.Waiting("ledger", sequence, (entry,), complete=True)
    envelope = messages.Envelope(router, 1, 1, waiting)
    return core.receive_message(state, now, envelope)


def list_claims(sends):
    return [
        (send.to, send.message)
        for send in sends
        if isinstance(send.message, messages.Claim)
    ]


def count_claims(state, now, router, sequence, count=50):
    return len(list_claims(announce(state, now, router, sequence, count)))


def test_unreachable_router_does_not_take_slots_from_others(sidecar):
    # The links to a router fail in one direction: sidecars get its
    # announcements, but it gets no claims. Claims there held every slot for a
    # second, again and again, and callers of other routers waited for minutes.
    wasted, served = count_claims(sidecar, 0.0, "unreachable", 1), 0
    assert wasted > 1
    now = 0.0
    for sequence in range(2, 62):
        now += 0.5
        core.run_timers(sidecar, now)
        wasted += count_claims(sidecar, now, "unreachable", sequence)
        claims = list_claims(announce(sidecar, now, "healthy", sequence, 1))
        for router, claim in claims:
            if router == "healthy":
                answer = messages.NoWork(claim.claim_id, "ledger", "mill-a")
                envelope = messages.Envelope("healthy", 1, 1, answer)
                core.receive_message(sidecar, now, envelope)
                served += 1
    assert wasted < 20
    assert served > 50


def test_router_that_answers_again_gets_all_its_work_claimed(sidecar):
    count_claims(sidecar, 0.0, "unreachable", 1)
    core.run_timers(sidecar, 1.1)
    assert count_claims(sidecar, 1.2, "unreachable", 2) == 1
    core.run_timers(sidecar, 2.3)
    assert count_claims(sidecar, 2.4, "unreachable", 3) == 0
    probe = list_claims(announce(sidecar, 3.5, "unreachable", 4, 50))
    assert len(probe) == 1
    answer = messages.NoWork(probe[0][1].claim_id, "ledger", "mill-a")
    envelope = messages.Envelope("unreachable", 1, 1, answer)
    core.receive_message(sidecar, 3.6, envelope)
    assert count_claims(sidecar, 3.7, "unreachable", 5) > 1
