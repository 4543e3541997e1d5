"""Fleets, requests and troubles that `silences` compares, and its figures."""

__all__ = [
    "BATCHING",
    "EVENT_TOKENS",
    "FLEETS",
    "KINDS",
    "LOADS",
    "PATIENCE",
    "RESUMABLE",
    "TROUBLES",
    "Caller",
    "Figures",
    "Run",
    "Trouble",
    "allow_resumption",
    "create_site",
    "draw_callers",
]

import collections
from collections.abc import Iterator
import dataclasses
import math
import random
import statistics

from benchmarks import batches, site
from sycamorefall.direct import catalog, core, prompts
from sycamorefall.direct import state as state_module

FLEETS = {6: (6, 3), 28: (26, 4), 68: (63, 4)}
"""Numbers of engines and failure domains by number of routers."""

LOADS = (0.6, 1.0, 1.6)
"""Request rates as fractions of what the engines can run."""

PATIENCE = 8.0
"""Longest seconds that a caller waits for a complete answer."""

KINDS = (
    site.RequestKind("draft", 1.0, 0.5, PATIENCE, 0, 0, 3000, 48, 0.3),
    site.RequestKind("reply", 1.0, 0.5, PATIENCE, 0, 0, 800, 36, 0.3),
)
"""Streams; those of the first kind may be resumed. Outputs are in events."""

RESUMABLE = KINDS[0].name

EVENT_TOKENS = 8
"""Tokens of an event of a stream."""

BATCHING = batches.Batching(0.0284, 0.00037, 8192, 1)
"""Steps that generate the tokens of an event for each response."""

SLOTS, READ_RATE = 32, 157e3

UPTIME = 60.0
"""Seconds for which the routers have run at the start."""

ARRIVALS_END = 9.5
"""Seconds in which callers send requests."""


@dataclasses.dataclass(slots=True, frozen=True)
class Trouble:
    """What happens to a fleet.

    Attributes:
        seconds: Time for which engines are silent; infinity if they are gone.
        share: Fraction of the engines; at least one.
        spent: Whether routers have just used up their retry budgets.
        stops: Fraction of the routers that begin their stop just before.
    """

    seconds: float = 0.0
    share: float = 0.0
    spent: bool = False
    stops: float = 0.0


TROUBLES = {
    "none": Trouble(),
    "0.7 s": Trouble(0.7),
    "1.2 s": Trouble(1.2),
    "1.8 s": Trouble(1.8),
    "3.0 s": Trouble(3.0),
    "fifth, 1.2 s": Trouble(1.2, share=0.2),
    "spent, 1.2 s": Trouble(1.2, spent=True),
    "stops, 1.2 s": Trouble(1.2, stops=0.2),
    "gone": Trouble(math.inf),
    "spent, gone": Trouble(math.inf, spent=True),
}


@dataclasses.dataclass(slots=True)
class Figures:
    """Result of a run.

    Attributes:
        counts: `faults` are answers that a router ended after it had let go of
            a run at an engine that went on before the caller's limit;
            `ended_at_gone`, answers ended at an engine that is gone; `expired`,
            answers that reached the caller's limit at an engine; `moved`, runs
            that another engine took over; `repeated`, second runs of streams
            that must not be resumed; `retries` and `unpaid`, retries taken from
            the budget and refused by it since the trouble; `in_time` and
            `late`, complete answers by their first event; `unserved`, callers
            without a complete answer.
        tokens: Cost units begun per second in the 5 s after the trouble.
        idle: Seconds from an engine's return until it gets a request.
        slots: Slots in use at engines in the 2 s after their return.
        waits: Seconds from the last byte of an engine that is gone until its
            caller's next byte or end, by kind.
        errors: Seconds until the caller's first error instead, by kind.
    """

    counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    tokens: float = 0.0
    idle: list[float] = dataclasses.field(default_factory=list)
    slots: list[int] = dataclasses.field(default_factory=list)
    waits: dict[str, list[float]] = dataclasses.field(
        default_factory=lambda: {kind.name: [] for kind in KINDS}
    )
    errors: dict[str, list[float]] = dataclasses.field(
        default_factory=lambda: {kind.name: [] for kind in KINDS}
    )


@dataclasses.dataclass(slots=True, eq=False)
class Caller(site._Caller):
    """A request of a caller.

    Attributes:
        events: Events that the caller has.
        began_at: When the first one came.
        silent_since: When an engine that is gone sent its last byte, as long as
            the caller waits for the next one.
        saw_error: Whether the caller got an error since.
        was_ended: Whether a router has ended the answer after a run.
    """

    events: int = 0
    began_at: float = math.inf
    silent_since: float | None = None
    saw_error: bool = False
    was_ended: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class Run(batches.Run):
    """A request at an engine.

    Attributes:
        caller: Its caller.
        engine: The engine.
        last_at: When the engine got it, or sent the last byte since.
    """

    caller: Caller
    engine: site._Engine
    last_at: float


def create_site(routers: int, load: float, seed: int) -> site.Site:
    """Creates a site with the engines of a fleet.

    Args:
        routers: Number of routers, a key of `FLEETS`.
        load: Request rate as a fraction of what the engines can run.
        seed: Seed of all random choices.
    """
    engines, domains = FLEETS[routers]
    rate = load * _compute_rate(engines) / len(KINDS)
    return site.Site(
        tuple(dataclasses.replace(kind, rate=rate) for kind in KINDS),
        routers=routers,
        domains=domains,
        engines=engines,
        slots=SLOTS,
        prefill_rate=READ_RATE,
        batching=BATCHING,
        seconds=ARRIVALS_END,
        seed=seed,
    )


def _compute_rate(engines: int) -> float:
    """Computes the requests per second that fill the slots of all engines."""
    tokens = statistics.mean(kind.own_mean for kind in KINDS)
    events = statistics.mean(kind.output_tokens for kind in KINDS)
    step = BATCHING.step_seconds + SLOTS * BATCHING.slot_seconds
    return engines * SLOTS / ((events + 1) * step + SLOTS * tokens / READ_RATE)


def allow_resumption(state: state_module.DirectState) -> None:
    """Configures a router, which has run for some time, to resume streams."""
    state.started_at = -UPTIME
    known = state.catalog
    routes = dict(known.routes[site.HOST])
    for prefix, route in routes.items():
        if route.name == RESUMABLE:
            routes[prefix] = dataclasses.replace(
                route,
                kind=catalog.RouteKind.RESUMABLE_STREAM,
                max_upstreams=3,
            )
    new = dataclasses.replace(known, version=2, routes={site.HOST: routes})
    core.apply_catalog(state, 0.0, new)


def draw_callers(
    rng: random.Random, case: site.Site, kind: site.RequestKind
) -> Iterator[Caller]:
    """Draws all callers of a kind, in order of arrival."""
    when = rng.expovariate(kind.rate)
    while when < case.seconds:
        tokens = site._draw_own_tokens(rng, kind)
        events = int(kind.output_tokens * rng.uniform(0.5, 1.5))
        parts = ((f"{kind.name}{when}", tokens),)
        prompt = prompts.Prompt(tokens, EVENT_TOKENS * events, parts)
        team = f"{site.KEY}-{rng.randrange(case.teams)}"
        patience = kind.patience * (1 - kind.patience_spread * rng.random())
        yield Caller(kind, team, prompt, when, patience)
        when += rng.expovariate(kind.rate)
