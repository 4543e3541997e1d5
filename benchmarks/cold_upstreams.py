"""Requests that a cold upstream gets in one second, by way of limiting them.

Every router has requests waiting at all times and sends as often as its limit
allows. Compared are ways to divide the rate that one upstream takes:

- `share`: each router sends at its share of the rate, by the number of routers
  that it knows.
- `senders`: a few routers of the upstream's failure domain, chosen by rank; see
  `sycamorefall.direct.pacing`.
- `grants`: a process beside the upstream grants one request at a time.

The routers' views of the fleet differ by scenario:

- `agreed`: all know each other, and learn of the start at the same time.
- `late`: each learns of the start within `MAX_DELAY`.
- `halves`: the routers are partitioned into halves that forgot each other.
- `restarted`: a third of the routers has just started and knows no other.
"""

import argparse
import bisect
import dataclasses
import random

from sycamorefall.direct import pacing

COLD_SECONDS = 3.0
MAX_DELAY = 1.5
"""Longest time in seconds after which a router learns of the start."""

LINK_DELAY = 0.05
"""Longest time in seconds that most requests are on their way."""

SLOW_SHARE = 0.05
"""Share of the requests that are on their way for up to `SLOW_DELAY`."""

SLOW_DELAY = 0.4
DOMAINS = 4
FLEET_SIZES = (6, 30, 54, 370)
SCENARIOS = ("agreed", "late", "halves", "restarted")


@dataclasses.dataclass(slots=True, frozen=True)
class Router:
    """A router's view of the fleet.

    Attributes:
        name: Name of its VM.
        domain: Number of its failure domain.
        known: The routers that it knows, itself included, as (name, domain).
        learns_at: When it learns of the upstream's start, in seconds.
        is_new: Whether it has just started.
    """

    name: str
    domain: int
    known: tuple[tuple[str, int], ...]
    learns_at: float
    is_new: bool


def create_fleet(size: int, scenario: str, rng: random.Random) -> list[Router]:
    """Creates the routers of a scenario."""
    members = [(f"front-{n}", n % DOMAINS) for n in range(size)]
    halves = {name: rng.random() < 0.5 for name, _ in members}
    fleet = []
    for name, domain in members:
        is_new = scenario == "restarted" and rng.random() < 1 / 3
        known = tuple(
            (other, place)
            for other, place in members
            if other == name
            or not (
                is_new
                or (scenario == "halves" and halves[other] != halves[name])
            )
        )
        delay = 0.0 if scenario == "agreed" else rng.uniform(0.0, MAX_DELAY)
        fleet.append(Router(name, domain, known, delay, is_new))
    return fleet


def compute_share_interval(router: Router, upstream: str, rate: float) -> float:
    """Computes the send interval of a router that knows its share only."""
    return len(router.known) / (pacing.PLANNED_RATE_SHARE * rate)


def compute_sender_interval(
    router: Router, upstream: str, rate: float
) -> float:
    """Computes the send interval as routers do; the upstream is in domain 0."""
    if router.domain != 0 or router.is_new:
        return float("inf")
    names = [name for name, domain in router.known if domain == 0]
    return pacing.compute_interval(upstream, router.name, names, rate)


WAYS = {"share": compute_share_interval, "senders": compute_sender_interval}


def list_arrivals(
    fleet: list[Router], upstream: str, rate: float, way: str, rng
) -> list[float]:
    """Simulates a cold upstream; returns when requests arrive, in order."""
    if way == "grants":
        count = int(COLD_SECONDS * pacing.PLANNED_RATE_SHARE * rate)
        sends = [n / (pacing.PLANNED_RATE_SHARE * rate) for n in range(count)]
    else:
        sends = []
        for router in fleet:
            interval = WAYS[way](router, upstream, rate)
            at = router.learns_at
            while at < COLD_SECONDS and interval < float("inf"):
                sends.append(at)
                at += interval
    arrivals = [
        at
        + rng.uniform(
            0.001, SLOW_DELAY if rng.random() < SLOW_SHARE else LINK_DELAY
        )
        for at in sends
    ]
    return sorted(at for at in arrivals if at < COLD_SECONDS)


def find_busiest_second(arrivals: list[float]) -> int:
    """Returns the largest number of arrivals in any span of one second.

    Example:
        >>> find_busiest_second([0.0, 0.9, 1.0, 1.1, 3.0])
        3
    """
    return max(
        (
            bisect.bisect_left(arrivals, at + 1.0) - first
            for first, at in enumerate(arrivals)
        ),
        default=0,
    )


def measure(
    size: int, scenario: str, way: str, rate: float, trials: int
) -> tuple[int, float]:
    """Simulates several cold upstreams.

    Returns:
        The most arrivals in any second at any of them, and the mean number of
        arrivals per second.
    """
    busiest, total = 0, 0
    for trial in range(trials):
        rng = random.Random(f"{size}/{scenario}/{trial}")
        fleet = create_fleet(size, scenario, rng)
        arrivals = list_arrivals(fleet, f"e{trial}", rate, way, rng)
        busiest = max(busiest, find_busiest_second(arrivals))
        total += len(arrivals)
    return busiest, total / trials / COLD_SECONDS


def main() -> None:
    """Prints the arrivals by size of the fleet, scenario and way."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--rate", type=float, default=13.0)
    parser.add_argument("--trials", type=int, default=50)
    options = parser.parse_args()
    ways = (*WAYS, "grants")
    titles = " | ".join(f"{way}: most, mean a second" for way in ways)
    print(f"| routers | views | {titles} |")
    print("|---|---|" + "---|" * len(ways))
    for size in FLEET_SIZES:
        for scenario in SCENARIOS:
            results = [
                measure(size, scenario, way, options.rate, options.trials)
                for way in ways
            ]
            cells = " | ".join(f"{most}, {mean:.1f}" for most, mean in results)
            print(f"| {size} | {scenario} | {cells} |")


if __name__ == "__main__":
    main()
