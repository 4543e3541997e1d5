"""Sites on which many teams of uneven size ask for more than engines can do.

Engines run batches, in which prompts delay the output of other requests, so
slots stay occupied for longer the more is read. Each team's callers meet a few
of the routers, some of which lose power.
"""

__all__ = [
    "create_crowded_site",
    "create_site_that_loses_engines",
    "create_site_with_lost_updates",
]

import dataclasses
import random

from benchmarks import batches, site

ROUTERS = 28

ENGINES = 26

TEAMS = 30

CALLERS = 313
"""Callers of all teams. Each meets one router."""

SMALL_FLOOD, LARGE_FLOOD = 12.0, 3.0
"""Factors by which one of the smaller and one of the larger teams exceeds its
usual rate."""

LOST_ENGINES = 10
"""Engines that are lost in both waves together."""

SURGING_TEAMS, SURGE_FACTOR = 10, 12.0
"""Number of teams that surge, and their rate relative to the one before."""

_KINDS = (
    site.RequestKind(
        "draft",
        rate=226.0,
        target=0.5,
        patience=12.0,
        parts=821,
        shared_mean=5400,
        own_mean=6600,
        output_tokens=384,
        own_max=54_600,
    ),
    site.RequestKind(
        "reply",
        rate=231.0,
        target=0.3,
        patience=12.0,
        parts=557,
        shared_mean=200,
        own_mean=630,
        output_tokens=288,
        own_sigma=0.8,
        own_max=3310,
    ),
    site.RequestKind(
        "tag",
        rate=440.0,
        target=0.3,
        patience=2.5,
        parts=2396,
        shared_mean=570,
        own_mean=1800,
        output_tokens=24,
        own_max=6870,
    ),
)


def create_crowded_site(seed: int, stated_rate: float) -> site.Site:
    """Creates a site that is asked for about 2.5 times what its engines do.

    Args:
        seed: Seed of the teams, their routers and their requests.
        stated_rate: Rate stated in the configuration, as a fraction of the
            engines' prefill rate without any output.
    """
    rng = random.Random(seed)
    sizes = [1 / (rank + 1) for rank in range(TEAMS)]
    entries = [
        tuple(
            rng.randrange(ROUTERS)
            for _ in range(max(1, round(CALLERS * size / sum(sizes))))
        )
        for size in sizes
    ]
    weights = list(sizes)
    weights[rng.randrange(6, 16)] *= SMALL_FLOOD
    weights[rng.randrange(0, 6)] *= LARGE_FLOOD
    load = 1.6
    return site.Site(
        tuple(
            dataclasses.replace(kind, rate=load * kind.rate) for kind in _KINDS
        ),
        routers=ROUTERS,
        domains=4,
        entries=tuple(entries),
        engines=ENGINES,
        slots=32,
        cache_tokens=829_000,
        prefill_rate=157e3,
        fetch_rate=1.2e6,
        stated_rate=stated_rate,
        batching=batches.Batching(0.00355, 0.0000462, 1024, 8),
        teams=TEAMS,
        weights=tuple(weights),
        separate_parts=True,
        power_losses=tuple(
            site.PowerLoss(router, 1.5, 8.0)
            for router in rng.sample(range(ROUTERS), 2)
        ),
        seconds=9.0,
        seed=seed,
    )


def create_site_with_lost_updates(seed: int) -> site.Site:
    """Creates a crowded site where a team's router hears no full updates.

    All callers of one of the larger teams meet that router.

    Args:
        seed: Seed of the teams, their routers and their requests.
    """
    crowd = create_crowded_site(seed, stated_rate=0.6)
    rng = random.Random(seed)
    lost = {loss.router for loss in crowd.power_losses}
    router = rng.choice(sorted(set(range(ROUTERS)) - lost))
    team = rng.randrange(1, 6)
    entries = list(crowd.entries)
    entries[team] = (router,)
    return dataclasses.replace(
        crowd,
        entries=tuple(entries),
        lost_updates=(site.LostUpdates(router, 2.0, crowd.seconds),),
    )


def create_site_that_loses_engines(seed: int) -> site.Site:
    """Creates a site that loses engines in two waves while teams surge.

    It is asked for about what its engines do before, and for several times as
    much afterwards.

    Args:
        seed: Seed of the teams, their routers and their requests.
    """
    crowd = create_crowded_site(seed, stated_rate=0.6)
    rng = random.Random(seed)
    lost = rng.sample(range(ENGINES), LOST_ENGINES)
    surging = rng.sample(range(TEAMS), SURGING_TEAMS)
    return dataclasses.replace(
        crowd,
        kinds=tuple(
            dataclasses.replace(kind, rate=0.3 * kind.rate)
            for kind in crowd.kinds
        ),
        power_losses=(),
        engine_losses=tuple(
            site.EngineLoss(engine, at, at + 1.0)
            for wave, at in ((lost[::2], 2.0), (lost[1::2], 4.3))
            for engine in wave
        ),
        surges=tuple(site.Surge(team, 2.5, SURGE_FACTOR) for team in surging),
    )
