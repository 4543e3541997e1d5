"""Waiting requests at the routers, as a sidecar knows them."""

from hypothesis import given
from hypothesis import strategies as st

from sycamorefall import messages, sharing
from sycamorefall.sharing import demand as demand_module

TEAMS = st.sampled_from(["mill-a", "mill-b", "flood"])
ROUTERS = st.sampled_from(["router-0", "router-1"])
STEPS = st.one_of(
    st.tuples(
        st.just("announce"),
        ROUTERS,
        st.dictionaries(TEAMS, st.integers(0, 5)),
        st.booleans(),
        st.integers(1, 3),
    ),
    st.tuples(st.just("take"), ROUTERS, TEAMS),
    st.tuples(st.just("drop"), ROUTERS, st.one_of(st.none(), TEAMS)),
)


@given(st.lists(STEPS, max_size=30))
def test_total_and_router_names_match_the_counts_by_router(steps):
    demand = sharing.Demand()
    for sequence, (kind, router, *rest) in enumerate(steps, 1):
        if kind == "announce":
            counts, complete, incarnation = rest
            entries = tuple(
                messages.TeamWaiting(team, count, 0)
                for team, count in counts.items()
            )
            waiting = messages.Waiting("s", sequence, entries, complete)
            sharing.record_waiting(demand, 0.0, router, incarnation, waiting)
        elif kind == "take":
            demand_module.remove_waiting_request(demand, router, rest[0])
        else:
            demand_module.drop_router(demand, router, rest[0])
        held = {
            (team, name): entry.count
            for name, known in demand.routers.items()
            for team, entry in known.teams.items()
        }
        assert all(count > 0 for count in held.values())
        assert demand.total == sum(held.values())
        assert {
            (team, name)
            for team, names in demand.teams.items()
            for name in names
        } == set(held)
