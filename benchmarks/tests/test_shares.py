"""Shares of teams on generated sites under a flood.

The pattern: one team sends many times what all engines serve, through every
router; others wait at one to three routers, several of them at the same one;
each has shared parts of its own; some routers lose power and are back with
nothing.
"""

import dataclasses
import functools
import random

import pytest

from benchmarks import shares, site

SEEDS = range(12)

FLOOD = (10.0, 30.0, 100.0)
"""What the flooding team asks for, as a multiple of a small one."""


def create_site(seed):
    """Creates a site whose engines can serve a part of what is asked."""
    draws = random.Random(seed)
    engines, routers = draws.randint(3, 10), draws.randint(2, 12)
    teams = draws.randint(4, 14)
    reading = draws.choice([80e3, 160e3])
    draft = site.Kind(
        "draft",
        rate=1.0,
        target=draws.choice([0.3, 0.5, 0.8]),
        patience=12.0,
        parts=teams * draws.choice([2, 5, 15]),
        shared=draws.choice([3000, 5400]),
        own=draws.choice([2000, 6600]),
        output=draws.choice([200, 400]),
        tail=1.2,
        most=55_000,
    )
    tag = site.Kind(
        "tag", 2.0, 0.4, 5.0, 20 * teams, 570, 1800, 30, tail=1.2, most=7000
    )
    cost = draft.shared + draft.own + 2 * (tag.shared + tag.own)
    rate = engines * reading / cost * draws.uniform(0.5, 2.5)
    weights = [draws.choice(FLOOD)] + [1.0] * (teams - 1)
    for team in range(1, draws.randint(2, 4)):
        weights[team] = draws.choice([2.0, 4.0, 8.0])
    entries = [tuple(range(routers))] + [
        tuple(draws.choices(range(routers), k=draws.randint(1, 3)))
        for _ in range(teams - 1)
    ]
    lost = draws.sample(range(routers), routers // 4)
    return site.Site(
        tuple(
            dataclasses.replace(kind, rate=kind.rate * rate)
            for kind in (draft, tag)
        ),
        routers=routers,
        domains=draws.randint(1, min(3, routers)),
        entries=tuple(entries),
        engines=engines,
        slots=draws.choice([8, 12, 16, 32]),
        memory=draws.choice([300_000, 800_000]),
        reading=reading,
        fetching=1.2e6,
        stated=draws.choice([0.2, 0.5, 1.0]),
        making=0.0044,
        teams=teams,
        weights=tuple(weights),
        apart=True,
        losses=tuple(site.Loss(number, 2.0, 5.0) for number in lost),
        seconds=9.0,
        seed=seed,
    )


@functools.cache
def play(seed):
    return site.run_site(create_site(seed)).shares


@pytest.mark.parametrize("seed", SEEDS)
def test_team_that_waits_gets_half_of_its_share(seed):
    # Guards against a flood that takes what others wait for.
    assert shares.find_shortfalls(play(seed)) == []


def test_sites_have_teams_that_wait_beside_a_flood():
    # Guards the test above against sites where nobody is short of service.
    waits = [len(play(seed).delayed["key-0"]) >= 6 for seed in SEEDS]
    assert sum(waits) >= len(SEEDS) / 2


def test_share_counts_what_engines_began_of_the_poorer_team():
    # Guards the tests above against a judge that finds nothing.
    judged = shares.Shares()
    for second in range(shares.WINDOW):
        for team, begun in (("mill", 100), ("trader", 20)):
            for _ in range(10):
                shares.note_asked(judged, second, team, 10)
            shares.note_delayed(judged, second, team)
            shares.note_begun(judged, second, team, begun)
    (found,) = shares.find_shortfalls(judged)
    assert (found.team, found.asked, found.got) == ("trader", 600, 120)
