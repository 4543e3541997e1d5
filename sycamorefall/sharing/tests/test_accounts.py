"""Service accounts converge whichever messages are lost or reordered."""

import hypothesis
from hypothesis import strategies as st
import pytest

from sycamorefall import messages, sharing
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
offset_raises = st.tuples(
    st.just("raise"),
    st.integers(0, OWNERS - 1),
    st.sampled_from(TEAMS),
    st.integers(0, 2000),
)
deliveries = st.tuples(
    st.just("send"),
    st.integers(0, OWNERS - 1),
    st.integers(0, OWNERS - 1),
    st.integers(0, 50),
)
steps = st.lists(st.one_of(charges, reservations, offset_raises, deliveries))


def create_views(count=OWNERS):
    return [sharing.ServiceAccounts(f"engine-{i}/1") for i in range(count)]


def execute_step(views, past, step):
    """Executes a step; a "send" delivers earlier entries in any order."""
    kind, owner, second, amount = step
    view = views[owner]
    match kind:
        case "charge":
            sharing.charge_team(view, second, float(amount))
        case "reserve":
            sharing.reserve_units(view, second, float(amount))
        case "raise":
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
def test_accounts_converge_under_loss_repetition_and_reordering(steps_taken):
    views, past = create_views(), []
    for step in steps_taken:
        execute_step(views, past, step)
    # A sidecar that adopts a higher offset updates its own entry with its
    # work in flight, which takes a second round to reach the others.
    exchange_all(views)
    exchange_all(views)
    # All earlier messages arrive again, delayed.
    for view in views:
        sharing.merge_entries(view, reversed(past))
    for team in TEAMS:
        keys = [sharing.compute_order_key(view, team, 2.0) for view in views]
        assert keys == pytest.approx([keys[0]] * OWNERS)


@hypothesis.given(steps)
def test_offsets_never_decrease_and_totals_match_entries(steps_taken):
    views, past = create_views(), []
    for step in steps_taken:
        before = [
            {team: account.offset for team, account in view.teams.items()}
            for view in views
        ]
        execute_step(views, past, step)
        for view, offsets in zip(views, before, strict=True):
            for team, account in view.teams.items():
                assert account.offset >= offsets.get(team, 0.0)
                units = [
                    e.served + e.reserved for e in account.entries.values()
                ]
                assert account.total == pytest.approx(sum(units))


def test_concurrent_offset_raises_do_not_add_up():
    one, other = create_views(2)
    for view in (one, other):
        accounts_module.raise_offset(view, "mill-a", 100.0)
    exchange_all([one, other])
    assert sharing.compute_order_key(one, "mill-a", 1.0) == 100.0


def test_raise_from_outdated_accounts_stays_at_its_sidecar():
    # A sidecar that doesn't know of all service that a team received raises
    # the team to the floor. If this applied to all sidecars, it would add to
    # the service received, and the team's requests would be late for minutes
    # after a short idle time.
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


def test_reserved_units_survive_a_higher_offset():
    busy, raising = create_views(2)
    sharing.reserve_units(busy, "mill-a", 50.0)
    exchange_all([busy, raising])
    accounts_module.raise_offset(raising, "mill-a", 1000.0)
    exchange_all([busy, raising])
    exchange_all([busy, raising])
    for view in (busy, raising):
        assert sharing.compute_order_key(view, "mill-a", 1.0) == 1050.0


def test_entries_of_an_account_created_again_are_accepted():
    # A sidecar drops the account of an idle team, which then returns. If the
    # sequence restarted from 1, siblings would ignore the entry as outdated
    # and miss the service.
    own, other = create_views(2)
    for _ in range(5):
        sharing.charge_team(own, "mill-a", 10.0)
    exchange_all([own, other])
    accounts_module.drop_account(own, "mill-a")
    sharing.charge_team(own, "mill-a", 70.0)
    sharing.merge_entries(other, sharing.list_entries(own, ["mill-a"]))
    assert sharing.compute_order_key(other, "mill-a", 1.0) == 70.0


@pytest.mark.parametrize(
    "absurd", [2.6e133, -1e300, float("inf"), float("nan")]
)
def test_entries_with_absurd_figures_are_ignored(absurd):
    # Guards against one message whose figures are too large to be sent on: each
    # later update of the accounts would raise, and none would be sent.
    accounts = accounts_module.ServiceAccounts("engine-1/1")
    for figures in ((absurd, 0.0, 0.0), (0.0, absurd, 0.0), (0.0, 0.0, absurd)):
        entry = messages.AccountEntry("mill-a", "engine-2/1", 1, *figures)
        accounts_module.merge_entries(accounts, [entry])
    assert not accounts.teams
