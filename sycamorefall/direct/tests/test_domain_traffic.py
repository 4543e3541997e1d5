"""Traffic between failure domains, which is billed.

The load: requests arrive in waves that are out of step between the failure
domains, so the engines of one domain are busy while others are idle.
"""

import pytest

from sycamorefall.direct import catalog, core, outcomes
from sycamorefall.direct.tests import fakes

LISTING = [
    fakes.create_upstream_entry(
        f"{domain}{n}", port=port, failure_domain=domain
    )
    for port, (domain, n) in enumerate(
        [(domain, n) for domain in "abc" for n in (1, 2)], start=1
    )
]


@pytest.fixture
def state():
    created = fakes.create_state(listing=LISTING)
    engine = catalog.Engine(64, 600_000)
    created.catalog.services["engine"] = catalog.Service("engine", 500, engine)
    return created


def list_used_engines(state, count=12, **kinds):
    """Submits requests that are answered at once; returns the engines used."""
    used = set()
    for n in range(count):
        now = n / 100
        core.record_proof(state, now, now)
        number, sent = fakes.submit_request(state, now, "draft", **kinds)
        used.add(sent.upstream)
        end = outcomes.AttemptEnd.COMPLETE
        outcomes.end_attempt(state, now, number, end)
    return used


def test_requests_stay_in_their_failure_domain(state):
    # Guards against engines that are chosen regardless of their domain: three
    # of four requests then cross domains, though engines nearby have room.
    for domain in "bc":
        assert list_used_engines(state) <= {"a1", "a2"}
        parts = ((f"small-{domain}", 80),)
        assert list_used_engines(state, parts=parts) <= {"a1", "a2"}


def test_requests_leave_a_busy_failure_domain(state):
    # Guards against requests that wait at a wave's crest for the engines of
    # their domain while those of the others are idle.
    for name in ("a1", "a2"):
        load = state.table.by_name[name].own_load
        load.running, load.unread = 20, 12_000
    assert list_used_engines(state).isdisjoint({"a1", "a2"})


def test_long_shared_part_is_worth_crossing_for(state):
    # Guards against a long shared part that is computed again in each domain.
    parts = (("paper", 8000),)
    _, sent = fakes.submit_request(
        state, 0.0, "draft", tokens=9000, parts=parts
    )
    other = fakes.create_state(listing=LISTING)
    other.catalog = state.catalog
    other.failure_domain = "c" if sent.upstream[0] != "c" else "b"
    _, again = fakes.submit_request(
        other, 0.0, "draft", tokens=9000, parts=parts
    )
    assert again.upstream == sent.upstream
