"""Team selection: no team starves, and idle teams accumulate no credit."""

import hypothesis
from hypothesis import strategies as st

from sycamorefall import sharing
from sycamorefall.sharing import cost_estimates, team_selection


def choose(fairness, accounts, waiting):
    return sharing.choose_team(fairness, accounts, waiting, lambda team: 1.0)


@hypothesis.given(
    costs=st.lists(st.integers(1, 100), min_size=200, max_size=200),
    sidecars=st.integers(1, 4),
    exchange=st.integers(1, 6),
    flood=st.integers(1, 5),
)
def test_no_backlogged_team_starves_under_any_flood(
    costs, sidecars, exchange, flood
):
    # A small team waits while others flood the service. It must be selected
    # regularly, whatever the costs are and however late accounts arrive.
    views = [sharing.ServiceAccounts(f"engine-{i}/1") for i in range(sidecars)]
    states = [sharing.FairnessState() for _ in views]
    teams = ["mill", *(f"flood-{i}" for i in range(flood))]
    since = dict.fromkeys(teams, 0)
    served = dict.fromkeys(teams, 0.0)
    for turn, cost in enumerate(costs):
        index = turn % sidecars
        team = choose(states[index], views[index], teams)
        sharing.charge_team(views[index], team, float(cost))
        served[team] += cost
        since = {name: passed + 1 for name, passed in since.items()}
        since[team] = 0
        if turn % exchange == 0:
            for view in views:
                entries = sharing.list_entries(view, view.teams)
                for other in views:
                    sharing.merge_entries(other, entries)
        # Not yet known to the other sidecars may be one request of the
        # largest cost per sidecar, and those selected between two exchanges.
        # Each may cost 100 times as much as the smallest.
        unseen = 100 * (sidecars + exchange)
        assert max(served.values()) - min(served.values()) <= 2 * unseen
        assert max(since.values()) <= 2 * unseen * len(teams)


def test_idle_team_accumulates_no_credit():
    accounts = sharing.ServiceAccounts("engine-1/1")
    fairness = sharing.FairnessState()
    for _ in range(100):
        sharing.charge_team(accounts, choose(fairness, accounts, ["a"]), 10.0)
    choose(fairness, accounts, ["a"])
    sharing.raise_to_floor(fairness, accounts, "idle", 1.0)
    turns = []
    for _ in range(20):
        turns.append(choose(fairness, accounts, ["a", "idle"]))
        sharing.charge_team(accounts, turns[-1], 10.0)
    assert turns.count("a") == turns.count("idle") == 10


def test_team_ahead_after_a_partition_waits_for_at_most_the_max_lead():
    # During a partition one team alone is served by half of the upstreams.
    # Afterwards the team must not wait until every other team has received
    # as much.
    accounts = sharing.ServiceAccounts("engine-1/1")
    fairness = sharing.FairnessState(max_lead=500.0)
    sharing.charge_team(accounts, "ahead", 1_000_000.0)
    teams = ["ahead", "mill-a", "mill-b"]
    turns = []
    while not turns or turns[-1] != "ahead":
        turns.append(choose(fairness, accounts, teams))
        sharing.charge_team(accounts, turns[-1], 10.0)
    assert 500 / 10 <= turns.count("mill-a") <= 500 / 10 + 1


def test_lead_within_the_maximum_is_not_forgiven():
    accounts = sharing.ServiceAccounts("engine-1/1")
    fairness = sharing.FairnessState(max_lead=500.0)
    sharing.charge_team(accounts, "ahead", 400.0)
    choose(fairness, accounts, ["ahead", "mill"])
    assert sharing.compute_order_key(accounts, "mill", 1.0) == 0.0


def test_max_lead_follows_the_recorded_costs():
    seen = sharing.CostEstimates()
    assert cost_estimates.compute_max_lead(seen) == float("inf")
    sharing.record_cost(seen, "mill-a", 20.0)
    expected = 20.0 * cost_estimates.MAX_LEAD_REQUESTS
    assert cost_estimates.compute_max_lead(seen) == expected


def sweep(fairness, accounts, waiting, max_entries=10, times=1):
    for _ in range(times):
        sharing.drop_idle_accounts(
            fairness, accounts, waiting, lambda team: 1.0, max_entries
        )


def test_accounts_of_idle_teams_are_dropped_and_others_kept():
    # Otherwise memory grows for weeks: each of 31,000 teams that ever called
    # would keep an account.
    accounts = sharing.ServiceAccounts("engine-1/1")
    for number in range(1000):
        sharing.charge_team(accounts, f"team-{number}", 10.0)
    sharing.charge_team(accounts, "ahead", 900.0)
    sharing.reserve_units(accounts, "in-flight", 5.0)
    fairness = sharing.FairnessState(floor=100.0)
    rounds = -(-len(accounts.teams) // team_selection.SWEEP_SIZE)
    sweep(fairness, accounts, {"team-7"}, times=rounds * 10)
    assert len(accounts.teams) > 900
    sweep(fairness, accounts, {"team-7"}, times=rounds * 15)
    assert accounts.teams.keys() == {"team-7", "ahead", "in-flight"}
    assert accounts.unsent == accounts.teams.keys()


def test_entries_of_ended_processes_do_not_accumulate():
    # The account of a team that is never idle isn't dropped. Each restart of
    # a sidecar would leave one more entry in it permanently.
    accounts = sharing.ServiceAccounts("engine-1/1")
    for number in range(30):
        ended = sharing.ServiceAccounts(f"engine-2/{number}")
        sharing.charge_team(ended, "busy", 10.0)
        sharing.merge_entries(accounts, sharing.list_entries(ended, ["busy"]))
    sharing.reserve_units(accounts, "busy", 5.0)
    before = sharing.compute_order_key(accounts, "busy", 1.0)
    sweep(sharing.FairnessState(), accounts, {"busy"})
    assert len(accounts.teams["busy"].entries) == 1
    assert sharing.compute_order_key(accounts, "busy", 1.0) == before


def test_costs_of_the_teams_served_longest_ago_are_evicted():
    seen = sharing.CostEstimates()
    for number in range(cost_estimates.MAX_TEAMS + 5):
        sharing.record_cost(seen, f"team-{number}", 10.0)
    assert len(seen.teams) == cost_estimates.MAX_TEAMS
    assert "team-0" not in seen.teams
