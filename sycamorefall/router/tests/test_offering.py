"""Offers of new requests to sidecars that reported free slots."""

import pytest

from sycamorefall import configuration, effects, membership, messages
from sycamorefall.router import announcement, attempt_lifecycle, core, intake
from sycamorefall.router import effects as router_effects
from sycamorefall.router import state as state_module

SIDECARS = ("engine-0", "engine-1", "engine-2")


@pytest.fixture
def router():
    state = state_module.RouterState("router-0", 7)
    text = "[service assistant]\nkind = engine\nconcurrency = 2\n"
    configuration.submit_text(state.versions, 1, text)
    vms = [
        membership.VmEntry(
            name, membership.VmRole.UPSTREAM, "d", "", "", "assistant"
        )
        for name in SIDECARS
    ]
    vms.append(
        membership.VmEntry("router-0", membership.VmRole.ROUTER, "d", "", "")
    )
    membership.apply_vm_list(state.directory, membership.VmList(1, tuple(vms)))
    for name in SIDECARS:
        receive_heartbeat(state, name, free_slots=0)
    core.run_timers(state, 0.0)
    return state


def receive_heartbeat(state, sidecar, free_slots, now=0.0, incarnation=1):
    beat = messages.Heartbeat(free_slots=free_slots)
    envelope = messages.Envelope(sidecar, incarnation, 1, beat)
    return core.receive_message(state, now, envelope)


def admit_and_run(state, team="mill-a", now=0.0):
    new = state_module.NewRequest("assistant", team, "POST", "/", (), 9.0, True)
    _, outcome = intake.admit_request(state, now, new)
    assert outcome == []
    return split_effects(core.run_timers(state, now))


def split_effects(outcome):
    offers = [e for e in outcome if isinstance(e, router_effects.SendRequest)]
    announcements = [
        e.message
        for e in outcome
        if isinstance(e, effects.SendMessage)
        and isinstance(e.message, messages.Waiting)
    ]
    return offers, announcements


def test_new_request_goes_to_a_hinted_slot_without_control_messages(router):
    receive_heartbeat(router, "engine-1", free_slots=1)
    offers, announcements = admit_and_run(router)
    assert [offer.sidecar for offer in offers] == ["engine-1"]
    assert offers[0].order.claim_id == messages.UNCLAIMED
    assert announcements == []


def test_request_beyond_the_hinted_slots_is_announced(router):
    receive_heartbeat(router, "engine-1", free_slots=1)
    admit_and_run(router)
    offers, announcements = admit_and_run(router, team="mill-b")
    assert offers == []
    assert [entry.team for entry in announcements[0].teams] == ["mill-b"]


def test_nothing_is_offered_past_a_team_that_waits(router):
    # A request of mill-a waits and is announced; then a sidecar reports a free
    # slot before its claim arrives. A new request of the flooding team must
    # not be offered that slot and overtake the waiting one.
    admit_and_run(router, team="mill-a")
    receive_heartbeat(router, "engine-1", free_slots=1)
    offers, _ = admit_and_run(router, team="flood")
    assert offers == []


def test_refused_offer_waits_and_is_announced_not_offered_again(router):
    # Two routers make offers because of the same hint; the second is refused.
    # If offered again and again, its request would use up its attempts without
    # ever waiting in its team's queue.
    for name in SIDECARS:
        receive_heartbeat(router, name, free_slots=2)
    offers, _ = admit_and_run(router)
    attempt = offers[0].order.attempt_id
    end = attempt_lifecycle.AttemptEnd.REFUSED
    attempt_lifecycle.end_attempt(
        router, 0.1, attempt, end, response_begun=False
    )
    offers, announcements = split_effects(core.run_timers(router, 0.1))
    assert offers == []
    assert announcements[0].teams[0].count == 1
    assert len(router.hints["assistant"]) == 2


def test_slot_of_an_ended_offer_is_offered_again(router):
    receive_heartbeat(router, "engine-2", free_slots=1)
    offers, _ = admit_and_run(router)
    attempt = offers[0].order.attempt_id
    end = attempt_lifecycle.AttemptEnd.COMPLETE
    attempt_lifecycle.end_attempt(
        router, 0.1, attempt, end, response_begun=True
    )
    offers, _ = admit_and_run(router, now=0.2)
    assert [offer.sidecar for offer in offers] == ["engine-2"]


def test_hint_of_a_silent_sidecar_is_not_used(router):
    # A VM fails right after its hint. If the router still made offers to it,
    # each request would wait for a connection that is never established.
    receive_heartbeat(router, "engine-1", free_slots=2)
    later = membership.SUSPECT_AFTER + 0.5
    receive_heartbeat(router, "engine-0", free_slots=0, now=later)
    offers, announcements = admit_and_run(router, now=later)
    assert offers == []
    assert len(announcements) == 1


def test_offers_spread_over_sidecars_with_equal_free_slots(router):
    for name in SIDECARS:
        receive_heartbeat(router, name, free_slots=4)
    sidecars = [admit_and_run(router)[0][0].sidecar for _ in range(12)]
    assert {sidecars.count(name) for name in SIDECARS} == {4}


def test_sidecar_with_free_slots_gets_an_announcement_at_once(router):
    admit_and_run(router, team="mill-a")
    admit_and_run(router, team="mill-b")
    offers, announcements = split_effects(
        receive_heartbeat(router, "engine-1", free_slots=1)
    )
    assert offers == []
    assert announcements[0].complete
    assert {entry.team for entry in announcements[0].teams} == {
        "mill-a",
        "mill-b",
    }


def test_one_teams_waiting_requests_take_a_hint_at_once(router):
    for _ in range(3):
        admit_and_run(router, team="mill-a")
    offers, announcements = split_effects(
        receive_heartbeat(router, "engine-1", free_slots=2)
    )
    assert [offer.sidecar for offer in offers] == ["engine-1"] * 2
    assert announcements == []
    assert router.waiting.total == 1


def test_count_that_falls_and_rises_unannounced_is_announced_again(router):
    # The budget is exhausted while a team's only request is claimed and another
    # arrives. The count is 1, as announced, but the claiming sidecar has
    # decremented it: without an announcement the new request would keep
    # waiting.
    admit_and_run(router, team="mill-a")
    overdraft = announcement.URGENT_OVERDRAFT
    router.announcement_budget.level = -overdraft - 120.0
    claim = messages.Claim(1, "assistant", "mill-a", 1000)
    envelope = messages.Envelope("engine-0", 1, 1, claim)
    core.receive_message(router, 0.01, envelope)
    offers, announcements = admit_and_run(router, team="mill-a", now=0.02)
    assert offers == announcements == []
    later = core.find_next_due(router)
    _, announcements = split_effects(core.run_timers(router, later))
    assert announcements[0].teams[0].count == 1
