"""Offers that a sidecar accepts, and the hints that it sends."""

import pytest

from sycamorefall import configuration, membership, messages, sharing
from sycamorefall.sidecar import core, hinting, running
from sycamorefall.sidecar import state as state_module


@pytest.fixture
def sidecar():
    state = state_module.create_state("engine-0", 1, "assistant")
    text = "[service assistant]\nkind = engine\nconcurrency = 2\n"
    configuration.submit_text(state.versions, 1, text)
    core.apply_configuration(state)
    vms = (
        membership.VmEntry(
            "engine-0", membership.VmRole.UPSTREAM, "d", "", "", "assistant"
        ),
        membership.VmEntry("router-0", membership.VmRole.ROUTER, "d", "", ""),
        membership.VmEntry("router-1", membership.VmRole.ROUTER, "d", "", ""),
    )
    membership.apply_vm_list(state.directory, membership.VmList(1, vms))
    core.run_timers(state, 0.0)
    return state


def offer(state, number, team="mill-a", now=0.1):
    order = messages.AttemptOrder(
        attempt_id=f"router-0/1/{number}/1",
        claim_id=messages.UNCLAIMED,
        router="router-0",
        incarnation=1,
        service="assistant",
        team=team,
        method="POST",
        path="/",
        headers=(),
        remaining=9.0,
        idempotent=True,
        sidecar="engine-0",
        sidecar_incarnation=1,
    )
    accepted = running.accept_attempt(state, now, order)
    return accepted is running.Acceptance.STARTED


def announce(state, sequence, *teams, now=0.1):
    entries = tuple(messages.TeamWaiting(team, 1, 0) for team in teams)
    waiting = messages.Waiting("assistant", sequence, entries, True)
    envelope = messages.Envelope("router-1", 1, 1, waiting)
    return core.receive_message(state, now, envelope)


def list_hints(sends):
    return [
        (send.to, send.message.free_slots)
        for send in sends
        if isinstance(send.message, messages.Heartbeat)
    ]


def test_offers_are_accepted_up_to_the_limit_and_then_refused(sidecar):
    assert [offer(sidecar, number) for number in range(3)] == [
        True,
        True,
        False,
    ]
    # A refused attempt may be reported as not run, so it stays refused.
    running.finish_run(sidecar, 0.2, "router-0/1/0/1")
    assert not offer(sidecar, 2)


def test_offer_reserves_like_a_claim(sidecar):
    sharing.record_cost(sidecar.estimates, "mill-a", 50.0)
    offer(sidecar, 1)
    assert sidecar.accounts.teams["mill-a"].total == 50.0


def test_offer_does_not_overtake_a_waiting_team_that_received_less(sidecar):
    # The router of a team with many requests sends an offer on an old hint
    # while another team's request waits at another router and has not been
    # claimed yet.
    sharing.charge_team(sidecar.accounts, "flood", 100.0)
    sidecar.demand.teams["mill-b"] = {"router-1"}
    assert not offer(sidecar, 1, team="flood")
    assert offer(sidecar, 2, team="mill-b")


def test_stopping_sidecar_refuses_offers(sidecar):
    core.begin_stop(sidecar)
    assert not offer(sidecar, 1)


def test_hint_is_sent_when_a_full_sidecar_has_a_free_slot_again(sidecar):
    offer(sidecar, 1)
    offer(sidecar, 2)
    assert list_hints(core.run_timers(sidecar, 0.2)) == []
    running.finish_run(sidecar, 0.3, "router-0/1/1/1")
    assert core.find_next_due(sidecar) <= 0.3
    hints = list_hints(core.run_timers(sidecar, 0.3))
    assert sorted(hints) == [("router-0", 1), ("router-1", 1)]
    assert list_hints(core.run_timers(sidecar, 0.31)) == []


def test_no_free_slots_are_hinted_while_work_is_known_to_wait(sidecar):
    announce(sidecar, 1, "mill-a", "mill-b", "large", "flood")
    hints = list_hints(core.run_timers(sidecar, 1.05))
    assert hints == [("router-0", 0), ("router-1", 0)]


def test_hints_keep_to_their_budget(sidecar):
    # Short requests fill and empty the upstream many times a second. A hint to
    # every router each time would cost more than the requests.
    sent = 0
    for step in range(2000):
        now = 1.0 + step * 0.01
        offer(sidecar, step * 2, now=now)
        offer(sidecar, step * 2 + 1, now=now)
        for run in list(sidecar.runs):
            running.finish_run(sidecar, now, run)
        sent += len(list_hints(core.run_timers(sidecar, now)))
    beats = 2 * 20 / core.HEARTBEAT_INTERVAL + 2
    hints = state_module.HINT_BURST + 20 * state_module.HINT_RATE
    assert sent <= beats + hints / hinting.HEARTBEAT_BYTES + 2
