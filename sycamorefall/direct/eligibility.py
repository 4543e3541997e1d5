"""Whether an engine can take a request now, and what is in the way if not."""

__all__ = [
    "EngineGroup",
    "EngineLoad",
    "Obstacle",
    "PlacementConstraints",
    "count_reread_tokens",
    "count_uncached_tokens",
    "exceeds_reread_limit",
    "find_load_obstacle",
    "find_obstacle",
    "is_awaited",
    "measure_engine_load",
    "prefilter_engines",
    "summarize_group",
]

from collections.abc import Collection
import dataclasses
import enum
import math

from sycamorefall.direct import caches, catalog, prompts
from sycamorefall.direct.upstreams import Upstream

AGAIN_SHARE = 0.2
"""Reading again that a request may cause away from the engines that have its
shared part, as a part of its own work (tokens read and twice those made). A
request that would cause more is better told to come back: the work could
serve another one."""

HOME_TRUST = 0.6
"""Part of a shared prompt that its home is taken to hold if this router did
not send it there: others may have, or it may have been pushed out."""

FIRST_TOKEN_OVERHEAD = 0.06
"""Seconds to the first event besides reading: the way there and back, and the
engine's first steps with a full batch."""

QUEUE_SHARE = 0.42
"""Part of the shortest target latency of a service that less urgent prompts
may wait for others at an engine. It reads in order of arrival, so a queue as
long as patient callers allow leaves no room for urgent ones: on a full day
0.67 of what long prompts due in 0.6 s are worth was earned without the bound
and 0.74 with it. Of 0.25, 0.42 and 0.58 the middle one earned most."""

IDLE_QUEUE_SECONDS = 0.02
"""Seconds of reading up to which an engine has next to nothing to do."""

IDLE_BATCH = 0.7
"""Part of the slots up to which the same holds."""

SPARE_BATCH = 0.25
"""Part of the slots up to which an engine's room is for any team at once."""

LEFT_FOR = 0.25
"""Seconds for which the room of an idle engine is left to a team that waits for
it elsewhere: its router hears of the room within them and looks again at what
waits. After that nobody there can use it, and any team may."""

MEMORY_SHARE = 0.9
"""Part of an engine's cache that running requests may fill. Beyond it the
engine throws running requests out and reads them again."""


class Obstacle(enum.Enum):
    """What keeps a request from an engine.

    UNUSABLE: it is leaving, was found failing, or had the request already.
    READS_AGAIN: it would have to read a shared part that another one holds.
    SLOTS: it runs as many requests as it can at once.
    MEMORY: its cache is full of running requests.
    YIELDS: it has work, and a team that received less waits for its room.
    QUEUE: it has so much to read that urgent requests could not be on time.
    LATE: the answer would begin after it is due.
    """

    UNUSABLE = "unusable"
    READS_AGAIN = "reads_again"
    SLOTS = "slots"
    MEMORY = "memory"
    YIELDS = "yields"
    QUEUE = "queue"
    LATE = "late"


@dataclasses.dataclass(slots=True)
class PlacementConstraints:
    """What a request needs of an upstream now.

    Not frozen, as that makes it a quarter slower to describe, and each look at
    waiting requests describes hundreds.

    Attributes:
        prompt: What it asks of an engine, if it is for one.
        time_left: Seconds until its answer is to begin. One that can't be on
            time anywhere goes to an engine that has little to do.
        tried: Upstreams that had it before.
        yields_to: An engine with work is left to a team that waits for it
            elsewhere and received less than this, in cost units.
        leaves_idle_to: An idle engine is left for a moment to a team that
            waits for it elsewhere, is short of service, and received less
            than this.
        uses: How often its last shared part was asked for lately, at all
            routers.
        anywhere: Whether that part may be read again at any engine.
        anywhere_idle: Whether it may be at an idle one.
        most_queue: Seconds that it may wait for other prompts to be read.
    """

    prompt: prompts.Prompt | None
    time_left: float
    tried: Collection[str] = ()
    yields_to: float = 0.0
    leaves_idle_to: float = 0.0
    uses: float = 0.0
    anywhere: bool = False
    anywhere_idle: bool = False
    most_queue: float = float("inf")


@dataclasses.dataclass(slots=True)
class EngineLoad:
    """What an engine has to do now, whatever the request.

    One look at waiting requests holds hundreds against each engine, between
    which it changes only if one is sent there. Adding up its load for each of
    them took most of the look: with 30 teams that wait with three target
    latencies for 26 full engines it took 15 to 17 ms, and 5 ms with this
    (`benchmarks.direct`).

    Attributes:
        upstream: The engine.
        running: Requests at it, of all routers.
        unread: Prompt tokens it has not read yet.
        memory: Tokens of running requests.
        floor: Least that a team received that waits for it elsewhere.
        queue: Seconds of reading.
        idle: Whether it has next to nothing to do.
        free: Whether its room is for any team, whoever waits for it elsewhere.
    """

    upstream: Upstream
    running: int
    unread: int
    memory: int
    floor: float
    queue: float
    idle: bool
    free: bool


@dataclasses.dataclass(slots=True)
class EngineGroup:
    """Engines with a free slot, and what is true of all that have work.

    Attributes:
        engine_loads: The engines.
        idle: Those that have next to nothing to do.
        most_floor: The highest floor of the others.
        least_queue: Their shortest queue, in seconds of reading.
    """

    engine_loads: list[EngineLoad]
    idle: list[EngineLoad]
    most_floor: float
    least_queue: float


def summarize_group(engine_loads: list[EngineLoad]) -> EngineGroup:
    """Describes engines with a free slot as a whole."""
    working = [one for one in engine_loads if not one.idle]
    return EngineGroup(
        engine_loads,
        [one for one in engine_loads if one.idle],
        max((one.floor for one in working), default=-math.inf),
        min((one.queue for one in working), default=math.inf),
    )


def prefilter_engines(
    group: EngineGroup, constraints: PlacementConstraints
) -> list[EngineLoad]:
    """Lists the engines of a group that are worth a look for a request.

    A full service has long queues everywhere, so hundreds of requests would be
    held against each engine: with 450 requests that wait for 26 engines that
    took 10 ms a look, and takes 1.7 ms with this (`benchmarks.direct`).

    Args:
        group: The engines.
        constraints: What the request needs; it has a prompt.

    Returns:
        The idle ones alone if `find_load_obstacle` finds something in the way
        at
        all others.
    """
    hopeless = (
        group.most_floor < constraints.yields_to
        or group.least_queue > constraints.most_queue
        or FIRST_TOKEN_OVERHEAD + group.least_queue > constraints.time_left
    )
    return group.idle if hopeless else group.engine_loads


def measure_engine_load(
    upstream: Upstream, engine: catalog.Engine, now: float
) -> EngineLoad:
    """Describes what an engine has to do now.

    Args:
        upstream: The engine; since when it is idle is noted there.
        engine: What is known of such engines.
        now: This process's time.
    """
    # Added up here, as three calls of its properties would double the time.
    own, others = upstream.own, upstream.others
    running = own.running + others.running
    unread = own.unread + others.unread
    has_read = unread <= IDLE_QUEUE_SECONDS * upstream.prefill_rate
    idle = has_read and running <= IDLE_BATCH * engine.slots
    upstream.idle_since = min(upstream.idle_since, now) if idle else math.inf
    left = now - upstream.idle_since < LEFT_FOR
    return EngineLoad(
        upstream,
        running,
        unread,
        own.memory + others.memory,
        upstream.floor,
        unread / upstream.prefill_rate,
        idle,
        idle and (not left or running <= SPARE_BATCH * engine.slots),
    )


def count_uncached_tokens(
    upstream: Upstream, prompt: prompts.Prompt, home: bool
) -> int:
    """Counts the tokens that an engine will have to read.

    Args:
        upstream: The engine.
        prompt: The prompt.
        home: Whether all routers send this prompt's shared part to it.

    Returns:
        Tokens, as far as this router can tell.
    """
    return prompt.tokens - _count_held(upstream, prompt, home)


def _count_held(upstream: Upstream, prompt: prompts.Prompt, home: bool) -> int:
    held = caches.count_cached_tokens(upstream.cache, prompt)
    return max(held, int(HOME_TRUST * prompt.shared)) if home else held


def count_reread_tokens(
    upstream: Upstream, prompt: prompts.Prompt, home: bool
) -> int:
    """Counts the tokens of shared parts that an engine would read again."""
    return max(0, prompt.shared - _count_held(upstream, prompt, home))


def exceeds_reread_limit(
    upstream: Upstream, constraints: PlacementConstraints, home: bool
) -> bool:
    """Tells whether an engine would read too much of shared parts again.

    Args:
        upstream: The engine.
        constraints: What the request needs; it has a prompt.
        home: Whether the engine is to hold the prompt's shared part.

    Returns:
        Whether the request is better kept from it, whatever it has to do.
    """
    if home or constraints.anywhere:
        return False
    prompt = constraints.prompt
    again = prompt.shared - caches.count_cached_tokens(upstream.cache, prompt)
    return max(0, again) > AGAIN_SHARE * prompt.own_work


def find_obstacle(
    engine_load: EngineLoad,
    engine: catalog.Engine,
    constraints: PlacementConstraints,
    home: bool,
) -> Obstacle | None:
    """Finds what keeps a request from an engine that may be used.

    Engines take whatever they are sent and know no order but that of
    arrival, so what waits must wait at the router, where teams are told
    apart.

    Args:
        engine_load: The engine.
        engine: What is known of such engines.
        constraints: What the request needs; it has a prompt.
        home: Whether the engine is to hold the prompt's shared part.

    Returns:
        What is in the way; None if the request can go there.
    """
    spared = engine_load.idle and constraints.anywhere_idle
    if not spared and exceeds_reread_limit(
        engine_load.upstream, constraints, home
    ):
        return Obstacle.READS_AGAIN
    obstacle = find_load_obstacle(engine_load, engine, constraints)
    if obstacle is not None or engine_load.idle:
        return obstacle
    begins_in = _estimate_begin(
        engine_load.upstream, constraints.prompt, home, engine_load.unread
    )
    return Obstacle.LATE if begins_in > constraints.time_left else None


def find_load_obstacle(
    engine_load: EngineLoad,
    engine: catalog.Engine,
    constraints: PlacementConstraints,
) -> Obstacle | None:
    """Finds what keeps a request from an engine whatever that holds.

    A quick look that leaves out most engines of a full service before the
    prompt's parts are compared with what each holds.

    Args:
        engine_load: An engine that may be used.
        engine: What is known of such engines.
        constraints: What the request needs; it has a prompt.

    Returns:
        What is in the way; None if there is room for a request that has
        nothing to read.
    """
    if engine_load.running >= engine.slots:
        return Obstacle.SLOTS
    memory = (
        engine_load.memory
        + constraints.prompt.tokens
        + constraints.prompt.output
    )
    if (
        engine_load.running
        and memory > MEMORY_SHARE * engine.kv_capacity_tokens
    ):
        return Obstacle.MEMORY
    if engine_load.idle:
        left = not engine_load.free and (
            engine_load.upstream.short_floor < constraints.leaves_idle_to
        )
        return Obstacle.YIELDS if left else None
    if engine_load.floor < constraints.yields_to:
        return Obstacle.YIELDS
    if FIRST_TOKEN_OVERHEAD + engine_load.queue > constraints.time_left:
        return Obstacle.LATE
    return (
        Obstacle.QUEUE if engine_load.queue > constraints.most_queue else None
    )


def is_awaited(
    engine_load: EngineLoad,
    engine: catalog.Engine,
    constraints: PlacementConstraints,
    home: bool,
) -> bool:
    """Tells whether room at an engine would let a request go there.

    Guards against room that is kept for nobody: a request that another
    engine is to serve, or that is too late even for an idle one, would have
    the other routers leave an engine half empty.

    Args:
        engine_load: An engine that may be used.
        engine: What is known of such engines.
        constraints: What the request needs; it has a prompt.
        home: Whether the engine is to hold the prompt's shared part.

    Returns:
        Whether it waits for this engine.
    """
    obstacle = find_obstacle(engine_load, engine, constraints, home)
    if obstacle is None or obstacle is Obstacle.READS_AGAIN:
        return False
    begins_in = _estimate_begin(
        engine_load.upstream, constraints.prompt, home, 0
    )
    return begins_in <= constraints.time_left


def _estimate_begin(
    upstream: Upstream, prompt: prompts.Prompt, home: bool, ahead: int
) -> float:
    """Estimates in how many seconds an answer begins behind other prompts."""
    unread = ahead + count_uncached_tokens(upstream, prompt, home)
    return FIRST_TOKEN_OVERHEAD + unread / upstream.prefill_rate
