"""Tests of teams' shares of service on generated sites under a flood.

The load: one team sends many times the engines' capacity through every router.
The other teams use one to three routers, and several share a router. Each team
has its own shared prompt parts. Some routers lose power and restart without
state.
"""

import dataclasses
import functools
import random

import pytest

from benchmarks import shares, site

SEEDS = range(12)

FLOOD = (10.0, 30.0, 100.0)
"""Load of the flooding team as a multiple of a small team's."""


def create_site(seed):
    """Creates a random site with a load of 0.5 to 2.5 times its capacity."""
    rng = random.Random(seed)
    engines, routers = rng.randint(3, 10), rng.randint(2, 12)
    teams = rng.randint(4, 14)
    reading = rng.choice([80e3, 160e3])
    draft = site.RequestKind(
        "draft",
        rate=1.0,
        target=rng.choice([0.3, 0.5, 0.8]),
        patience=12.0,
        parts=teams * rng.choice([2, 5, 15]),
        shared_mean=rng.choice([3000, 5400]),
        own_mean=rng.choice([2000, 6600]),
        output_tokens=rng.choice([200, 400]),
        own_sigma=1.2,
        own_max=55_000,
    )
    tag = site.RequestKind(
        "tag",
        2.0,
        0.4,
        5.0,
        20 * teams,
        570,
        1800,
        30,
        own_sigma=1.2,
        own_max=7000,
    )
    cost = (
        draft.shared_mean
        + draft.own_mean
        + 2 * (tag.shared_mean + tag.own_mean)
    )
    rate = engines * reading / cost * rng.uniform(0.5, 2.5)
    weights = [rng.choice(FLOOD)] + [1.0] * (teams - 1)
    for team in range(1, rng.randint(2, 4)):
        weights[team] = rng.choice([2.0, 4.0, 8.0])
    entries = [tuple(range(routers))] + [
        tuple(rng.choices(range(routers), k=rng.randint(1, 3)))
        for _ in range(teams - 1)
    ]
    lost = rng.sample(range(routers), routers // 4)
    return site.Site(
        tuple(
            dataclasses.replace(kind, rate=kind.rate * rate)
            for kind in (draft, tag)
        ),
        routers=routers,
        domains=rng.randint(1, min(3, routers)),
        entries=tuple(entries),
        engines=engines,
        slots=rng.choice([8, 12, 16, 32]),
        cache_tokens=rng.choice([300_000, 800_000]),
        prefill_rate=reading,
        fetch_rate=1.2e6,
        stated_rate=rng.choice([0.2, 0.5, 1.0]),
        token_interval=0.0044,
        teams=teams,
        weights=tuple(weights),
        separate_parts=True,
        power_losses=tuple(site.PowerLoss(number, 2.0, 5.0) for number in lost),
        seconds=9.0,
        seed=seed,
    )


@functools.cache
def run_shares(seed):
    return site.run_site(create_site(seed)).shares


@pytest.mark.parametrize("seed", SEEDS)
def test_team_that_waits_gets_half_of_its_share(seed):
    # Guards against a flooding team that takes the share of waiting teams.
    assert shares.find_shortfalls(run_shares(seed)) == []


def test_sites_have_teams_that_wait_beside_a_flood():
    # Ensures that teams wait on the sites of the test above.
    waits = [len(run_shares(seed).delayed["key-0"]) >= 6 for seed in SEEDS]
    assert sum(waits) >= len(SEEDS) / 2


def test_share_counts_what_engines_began_of_the_poorer_team():
    # Ensures that `find_shortfalls` detects a shortfall.
    recorded = shares.Shares()
    for second in range(shares.WINDOW):
        for team, begun in (("mill", 100), ("trader", 20)):
            for _ in range(10):
                shares.record_requested(recorded, second, team, 10)
            shares.record_delayed(recorded, second, team)
            shares.record_started(recorded, second, team, begun)
    (found,) = shares.find_shortfalls(recorded)
    assert (found.team, found.requested, found.received) == ("trader", 600, 120)
