"""Accounts: the same state whatever becomes of the messages."""

import hypothesis
from hypothesis import strategies as st
import pytest

from sycamorefall import sharing
from sycamorefall.sharing import accounts as accounts_module

TEAMS = ("mill-a", "mill-b")
OWNERS = 3

charges = st.tuples(
    st.just("charge"),
    st.integers(0, OWNERS - 1),
    st.sampled_from(TEAMS),
    st.integers(1, 500),
)
reservations = st.tuples(
    st.just("reserve"),
    st.integers(0, OWNERS - 1),
    st.sampled_from(TEAMS),
    st.integers(0, 500),
)
lifts = st.tuples(
    st.just("lift"),
    st.integers(0, OWNERS - 1),
    st.sampled_from(TEAMS),
    st.integers(0, 2000),
)
sendings = st.tuples(
    st.just("send"),
    st.integers(0, OWNERS - 1),
    st.integers(0, OWNERS - 1),
    st.integers(0, 50),
)
steps = st.lists(st.one_of(charges, reservations, lifts, sendings))


def create_views(count=OWNERS):
    return [sharing.ServiceAccounts(f"engine-{i}/1") for i in range(count)]


def take_step(views, past, step):
    """Takes one step; sendings deliver some earlier entries, in any order."""
    kind, owner, second, amount = step
    view = views[owner]
    match kind:
        case "charge":
            sharing.charge_team(view, second, float(amount))
        case "reserve":
            sharing.reserve_units(view, second, float(amount))
        case "lift":
            accounts_module.raise_offset(view, second, float(amount))
        case "send":
            chosen = past[amount % (len(past) + 1) :][:3]
            sharing.merge_entries(views[second], reversed(chosen))
    past += sharing.list_entries(view, view.teams)


def exchange_all(views):
    for view in views:
        entries = sharing.list_entries(view, view.teams, own_only=False)
        for other in views:
            sharing.merge_entries(other, entries)


@hypothesis.given(steps)
def test_loss_repetition_and_any_order_lead_to_the_same_accounts(taken):
    views, past = create_views(), []
    for step in taken:
        take_step(views, past, step)
    # A sidecar that adopts a higher offset restates its work in flight, so
    # the news takes a second round.
    exchange_all(views)
    exchange_all(views)
    # Whatever was under way all the time arrives last, and again.
    for view in views:
        sharing.merge_entries(view, reversed(past))
    for team in TEAMS:
        keys = [sharing.compute_order_key(view, team, 2.0) for view in views]
        assert keys == pytest.approx([keys[0]] * OWNERS)


@hypothesis.given(steps)
def test_keys_and_totals_always_add_up(taken):
    views, past = create_views(), []
    for step in taken:
        before = [
            {team: account.offset for team, account in view.teams.items()}
            for view in views
        ]
        take_step(views, past, step)
        for view, offsets in zip(views, before, strict=True):
            for team, account in view.teams.items():
                assert account.offset >= offsets.get(team, 0.0)
                units = [
                    e.served + e.reserved for e in account.entries.values()
                ]
                assert account.total == pytest.approx(sum(units))


def test_two_lifts_at_once_do_not_lift_twice():
    one, other = create_views(2)
    for view in (one, other):
        accounts_module.raise_offset(view, "mill-a", 100.0)
    exchange_all([one, other])
    assert sharing.compute_order_key(one, "mill-a", 1.0) == 100.0


def test_lift_from_a_stale_view_does_not_reach_other_sidecars():
    # A mill's clerk sees every answer late for minutes after a quiet moment:
    # one sidecar served the mill, another hadn't heard of all of it and
    # lifted the mill, for all sidecars, on top of what it had received.
    served, unaware = create_views(2)
    sharing.charge_team(served, "mill-a", 100.0)
    exchange_all([served, unaware])
    sharing.charge_team(served, "mill-a", 900.0)
    fairness = sharing.FairnessState(floor=1000.0)
    sharing.raise_to_floor(fairness, unaware, "mill-a", weight=1.0)
    assert sharing.compute_order_key(unaware, "mill-a", 1.0) == 1000.0
    exchange_all([served, unaware])
    assert sharing.compute_order_key(served, "mill-a", 1.0) == 1000.0


def test_new_team_counts_from_the_same_floor_everywhere():
    one, other = create_views(2)
    sharing.raise_to_floor(
        sharing.FairnessState(floor=990.0), one, "new", weight=2.0
    )
    sharing.raise_to_floor(
        sharing.FairnessState(floor=1000.0), other, "new", weight=2.0
    )
    exchange_all([one, other])
    for view in (one, other):
        assert sharing.compute_order_key(view, "new", 2.0) == 1000.0


def test_work_in_flight_outlasts_a_higher_offset():
    busy, raising = create_views(2)
    sharing.reserve_units(busy, "mill-a", 50.0)
    exchange_all([busy, raising])
    accounts_module.raise_offset(raising, "mill-a", 1000.0)
    exchange_all([busy, raising])
    exchange_all([busy, raising])
    for view in (busy, raising):
        assert sharing.compute_order_key(view, "mill-a", 1.0) == 1050.0


def test_dropped_account_comes_back_with_entries_that_others_take():
    # A sidecar forgets an idle team, which returns: were its entry numbered
    # from 1 again, siblings would hold it for old and not see the service.
    own, other = create_views(2)
    for _ in range(5):
        sharing.charge_team(own, "mill-a", 10.0)
    exchange_all([own, other])
    accounts_module.drop_account(own, "mill-a")
    sharing.charge_team(own, "mill-a", 70.0)
    sharing.merge_entries(other, sharing.list_entries(own, ["mill-a"]))
    assert sharing.compute_order_key(other, "mill-a", 1.0) == 70.0
