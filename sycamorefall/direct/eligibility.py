"""Checks whether an engine can take a request now, and finds the obstacle."""

__all__ = [
    "EngineGroup",
    "EngineLoad",
    "Obstacle",
    "PlacementConstraints",
    "count_reread_tokens",
    "count_uncached_tokens",
    "exceeds_reread_limit",
    "fill_unknown_gaps",
    "find_load_obstacle",
    "find_obstacle",
    "is_awaited",
    "is_excluded",
    "measure_engine_load",
    "prefilter_engines",
    "summarize_group",
]

from collections.abc import Collection
import dataclasses
import enum
import math
import statistics

from sycamorefall.direct import caches, catalog, prompts, speed, stream_pace
from sycamorefall.direct.upstreams import INITIAL_PREFILL_RATE, Upstream

MAX_REREAD_SHARE = 0.2
"""Maximum number of shared tokens that a request may have computed again on an
engine that is not a home of its prompt, as a fraction of `Prompt.own_work`. A
request beyond the limit waits or is refused with a Retry-After, as the repeated
prefill could serve another request instead."""

ASSUMED_HOME_SHARE = 0.6
"""Fraction of the shared tokens of a prompt that its home is assumed to have
cached if this router did not send them there. Another router may have sent
them, or the home may have evicted them."""

FIRST_TOKEN_OVERHEAD = 0.06
"""Seconds until the first event of a response, besides queueing and prefill:
the network round trip and the engine's first decoding steps with a full
batch."""

QUEUE_SHARE = 0.42
"""Maximum prefill queue of an engine for less urgent requests, as a fraction of
the shortest target latency of the service. Engines process prompts in order of
arrival, so a queue as long as patient requests tolerate would make urgent ones
late. On a day of full load, long prompts due in 0.6 s earned 0.67 of their
value without the bound and 0.74 with it. Of 0.25, 0.42 and 0.58, the middle
value earned most."""

IDLE_QUEUE_SECONDS = 0.02
"""Longest prefill queue in seconds with which an engine counts as idle."""

IDLE_SLOT_SHARE = 0.7
"""Largest fraction of occupied slots with which an engine counts as idle."""

SPARE_SLOT_SHARE = 0.25
"""Largest fraction of occupied slots with which an idle engine accepts any team
at once, without a reservation for teams that wait at other routers."""

RESERVATION_SECONDS = 0.25
"""Seconds for which an idle engine is reserved for a team that waits for it at
another router. Within this time that router learns of the free slots and tries
its waiting requests. If the slots are still free afterwards, no request there
can use them, and any team may."""

MAX_MEMORY_SHARE = 0.9
"""Largest fraction of an engine's KV cache that running requests may occupy.
Beyond it, the engine preempts running requests and computes them again."""


SPEED_INTERVAL = 0.02
"""Seconds between two estimates of what an engine's speed allows."""


class Obstacle(enum.Enum):
    """Why an upstream can't take a request now.

    UNUSABLE: The upstream is leaving, suspended or in a retry delay, or was
        already tried.
    EVACUATED: The upstream's failure domain is evacuated.
    COLD: The upstream is cold, and this router may not send to it now.
    READS_AGAIN: Too many shared tokens that other engines hold would be
        computed again.
    SLOTS: All slots of the upstream are occupied.
    MEMORY: Running requests fill the engine's KV cache.
    YIELDS: The engine is left to a waiting team that received less service.
    VERSION: The upstream has another software version than the one that began
        the stream.
    PAUSE: The engine would read prompts for so long between two events of its
        streams that their responses would be late.
    PACE: Streams run so slowly there that long ones would not end in time.
    QUEUE: The prefill queue is so long that urgent requests would be late.
    LATE: The response would start after its target latency.
    """

    UNUSABLE = "unusable"
    EVACUATED = "evacuated"
    COLD = "cold"
    READS_AGAIN = "reads_again"
    SLOTS = "slots"
    MEMORY = "memory"
    YIELDS = "yields"
    VERSION = "version"
    PAUSE = "pause"
    PACE = "pace"
    QUEUE = "queue"
    LATE = "late"


@dataclasses.dataclass(slots=True)
class PlacementConstraints:
    """Conditions under which a request may be sent to an upstream now.

    Not frozen: a frozen dataclass takes a quarter longer to create, and each
    dispatch pass creates hundreds.

    Attributes:
        prompt: Prompt of the request; None if it is not for an engine.
        time_left: Seconds until the response is due to start. A request that
            would be late at every engine goes to an idle one.
        tried: Names of the upstreams that the request was sent to before.
        yield_below: Cost units. An engine that is not idle is left to a team
            that waits for it at another router and received less than this.
        yield_idle_below: Cost units. An idle engine is reserved for
            `RESERVATION_SECONDS` for a team that waits for it at another
            router, had a request refused recently and received less than this.
        recent_part_uses: Estimated recent uses of the prompt's last shared
            part at all routers.
        allow_reread: Whether any engine may compute the shared parts again,
            regardless of `MAX_REREAD_SHARE`.
        allow_reread_if_idle: The same, for idle engines only.
        max_queue_seconds: Longest acceptable prefill queue of an engine.
        max_gap: Longest acceptable seconds between two events of an engine's
            streams.
        keep_pauses: Whether the streams of an engine have to keep the limits on
            their pauses.
        origin: Origin of the stream that the request goes on with; None if any
            upstream may run it.
    """

    prompt: prompts.Prompt | None
    time_left: float
    tried: Collection[str] = ()
    yield_below: float = 0.0
    yield_idle_below: float = 0.0
    recent_part_uses: float = 0.0
    allow_reread: bool = False
    allow_reread_if_idle: bool = False
    max_queue_seconds: float = float("inf")
    max_gap: float = float("inf")
    keep_pauses: bool = False
    origin: int | None = None


@dataclasses.dataclass(slots=True)
class EngineLoad:
    """Snapshot of an engine's load, independent of any request.

    A dispatch pass checks hundreds of requests against each engine, whose load
    changes only when a request is sent there. Summing up the load for each
    check took most of the pass: with 26 full engines and 30 teams waiting with
    three target latencies it took 15 to 17 ms, and takes 5 ms with snapshots
    (`benchmarks.direct`).

    Attributes:
        upstream: The engine.
        running: Running requests of all routers.
        unread: Prompt tokens whose prefill is pending.
        memory: Tokens of running requests, including expected output.
        floor: Least service in cost units that any team received which waits
            for the engine at another router; infinity if none does.
        queue_seconds: Seconds that the pending prefill takes.
        idle: Whether the prefill queue and the batch are below the idle limits.
        unreserved: Whether the engine is idle and open to any team, even if
            another team waits for it at another router.
        gap: Average seconds between two events of its streams; None if unknown,
            0 if most slots are free and few prompts are pending.
        pending_limit: Prompt tokens that may be pending without too long a
            pause of its streams.
        single_limit: Tokens of a prompt that may be the only one pending.
    """

    upstream: Upstream
    running: int
    unread: int
    memory: int
    floor: float
    queue_seconds: float
    idle: bool
    unreserved: bool
    gap: float | None = None
    pending_limit: float = math.inf
    single_limit: float = math.inf


@dataclasses.dataclass(slots=True)
class EngineGroup:
    """Loads of the engines with a free slot, with bounds for the busy ones.

    Attributes:
        engine_loads: Loads of all engines of the group.
        idle: Loads of the idle engines.
        max_floor: Highest floor of the engines that are not idle.
        min_queue_seconds: Shortest prefill queue of the engines that are not
            idle.
        min_gap: Shortest gap between events at the engines that are not idle.
    """

    engine_loads: list[EngineLoad]
    idle: list[EngineLoad]
    max_floor: float
    min_queue_seconds: float
    min_gap: float


def summarize_group(engine_loads: list[EngineLoad]) -> EngineGroup:
    """Groups engine loads and computes the bounds of those that are busy."""
    working = [one for one in engine_loads if not one.idle]
    return EngineGroup(
        engine_loads,
        [one for one in engine_loads if one.idle],
        max((one.floor for one in working), default=-math.inf),
        min((one.queue_seconds for one in working), default=math.inf),
        min((one.gap or 0.0 for one in working), default=math.inf),
    )


def is_excluded(upstream: Upstream, constraints: PlacementConstraints) -> bool:
    """Returns whether a request may not be sent to an upstream at all.

    It was sent there before, or goes on with a stream of another origin.
    """
    return upstream.listed.name in constraints.tried or (
        constraints.origin is not None and constraints.origin != upstream.origin
    )


def prefilter_engines(
    group: EngineGroup, constraints: PlacementConstraints
) -> list[EngineLoad]:
    """Skips the busy engines if the group's bounds rule out all of them.

    At a full service every queue is long, and hundreds of requests would each
    be checked against every engine. With 450 requests waiting for 26 engines,
    a dispatch pass took 10 ms without this filter and takes 1.7 ms with it
    (`benchmarks.direct`).

    Args:
        group: Engines with a free slot.
        constraints: Placement constraints of the request, with a prompt.

    Returns:
        The idle engines if the bounds show that `find_load_obstacle` finds an
        obstacle at every other engine; all engines otherwise.
    """
    all_blocked = (
        group.max_floor < constraints.yield_below
        or group.min_queue_seconds > constraints.max_queue_seconds
        or group.min_gap > constraints.max_gap
        or FIRST_TOKEN_OVERHEAD + group.min_queue_seconds
        > constraints.time_left
    )
    return group.idle if all_blocked else group.engine_loads


def measure_engine_load(
    upstream: Upstream, engine: catalog.Engine, now: float
) -> EngineLoad:
    """Sums up the load of an engine from this and the other routers.

    Args:
        upstream: The engine; its `idle_since` and `prefill_rate` are updated.
        engine: Engine parameters of its service.
        now: Current time of this process's clock.
    """
    # Not by the properties of Upstream: three calls would double the time.
    own_load, peer_load = upstream.own_load, upstream.peer_load
    running = own_load.running + peer_load.running
    if now - upstream.speed.measured_at >= SPEED_INTERVAL:
        _measure_speed(upstream, running, now)
    unread = own_load.unread + peer_load.unread
    has_short_queue = unread <= IDLE_QUEUE_SECONDS * upstream.prefill_rate
    idle = has_short_queue and running <= IDLE_SLOT_SHARE * engine.slots
    upstream.idle_since = min(upstream.idle_since, now) if idle else math.inf
    reserved = now - upstream.idle_since < RESERVATION_SECONDS
    is_spare = idle and running <= SPARE_SLOT_SHARE * engine.slots
    return EngineLoad(
        upstream,
        running,
        unread,
        own_load.memory + peer_load.memory,
        upstream.floor,
        unread / upstream.prefill_rate,
        idle,
        idle and (not reserved or is_spare),
        0.0 if is_spare else stream_pace.estimate_gap(upstream.pace, now),
        upstream.speed.pending_limit if running else math.inf,
        upstream.speed.single_limit if running else math.inf,
    )


def _measure_speed(upstream: Upstream, running: int, now: float) -> None:
    """Updates what follows from an engine's speed at this moment.

    Of engines that don't tell their scale, or without a limit on pauses, the
    rate follows single responses (see `outcomes`).
    """
    engine, reference = upstream.speed, upstream.service_speed
    engine.measured_at = now
    if not speed.is_in_effect(reference, now):
        engine.pending_limit = engine.single_limit = math.inf
        return
    max_pause = speed.find_max_pause(reference, now)
    scale = speed.compute_scale(engine, now)
    rates = [
        speed.estimate_read_rate(reference, safe) or INITIAL_PREFILL_RATE
        for safe in (True, False)
    ]
    upstream.prefill_rate = rates[0] / scale
    expected = speed.get_expected_slowdown(reference)
    expected_scale = max(scale, expected * speed.compute_usual_scale(engine))
    engine.pending_limit, engine.single_limit = (
        speed.compute_pending_limit(
            reference, rates[1], one, running, max_pause
        )
        for one in (expected_scale, scale)
    )


def fill_unknown_gaps(engine_loads: list[EngineLoad]) -> None:
    """Assumes the average gap at engines where this router has no streams.

    Otherwise routers with few streams would go on to send where those with many
    don't, and teams whose callers meet the latter would get less.

    Args:
        engine_loads: Loads of a service's engines; their `gap` is changed.
    """
    known = [one.gap for one in engine_loads if one.gap]
    if not known:
        return
    average = statistics.fmean(known)
    for one in engine_loads:
        if one.gap is None:
            one.gap = average


def count_uncached_tokens(
    upstream: Upstream, prompt: prompts.Prompt, is_home: bool
) -> int:
    """Estimates how many tokens of a prompt an engine has to process.

    Args:
        upstream: The engine.
        prompt: The prompt.
        is_home: Whether the engine is a home of the prompt's last shared part.

    Returns:
        Prompt tokens that are not cached, by this router's estimate.
    """
    return prompt.tokens - _estimate_cached_tokens(upstream, prompt, is_home)


def _estimate_cached_tokens(
    upstream: Upstream, prompt: prompts.Prompt, is_home: bool
) -> int:
    """Estimates the cached tokens; at a home, at least the assumed share."""
    cached = caches.count_cached_tokens(upstream.cache, prompt)
    return (
        max(cached, int(ASSUMED_HOME_SHARE * prompt.shared))
        if is_home
        else cached
    )


def count_reread_tokens(
    upstream: Upstream, prompt: prompts.Prompt, is_home: bool
) -> int:
    """Estimates the shared tokens that an engine would have to process."""
    return max(
        0, prompt.shared - _estimate_cached_tokens(upstream, prompt, is_home)
    )


def exceeds_reread_limit(
    upstream: Upstream, constraints: PlacementConstraints, is_home: bool
) -> bool:
    """Returns whether a request would repeat too much prefill at an engine.

    Args:
        upstream: The engine.
        constraints: Placement constraints of the request, with a prompt.
        is_home: Whether the engine is a home of the prompt's last shared part.

    Returns:
        Whether the shared tokens to process exceed `MAX_REREAD_SHARE`; never
        at a home or if the constraints allow it.
    """
    if is_home or constraints.allow_reread:
        return False
    prompt = constraints.prompt
    reread = prompt.shared - caches.count_cached_tokens(upstream.cache, prompt)
    return max(0, reread) > MAX_REREAD_SHARE * prompt.own_work


def find_obstacle(
    engine_load: EngineLoad,
    engine: catalog.Engine,
    constraints: PlacementConstraints,
    is_home: bool,
) -> Obstacle | None:
    """Finds the obstacle to a request at a usable engine.

    Engines accept every request and process them in order of arrival.
    Requests therefore have to wait at the router, which schedules them by
    team.

    Args:
        engine_load: Load of the engine.
        engine: Engine parameters of the service.
        constraints: Placement constraints of the request, with a prompt.
        is_home: Whether the engine is a home of the prompt's last shared part.

    Returns:
        The obstacle; None if the request can be sent to the engine.
    """
    reread_allowed = engine_load.idle and constraints.allow_reread_if_idle
    if not reread_allowed and exceeds_reread_limit(
        engine_load.upstream, constraints, is_home
    ):
        return Obstacle.READS_AGAIN
    obstacle = find_load_obstacle(engine_load, engine, constraints)
    if obstacle is not None:
        return obstacle
    if constraints.keep_pauses and _breaks_pauses(
        engine_load, constraints.prompt, is_home
    ):
        return Obstacle.PAUSE
    if engine_load.idle:
        return None
    begins_in = _estimate_response_start(
        engine_load.upstream, constraints.prompt, is_home, engine_load.unread
    )
    return Obstacle.LATE if begins_in > constraints.time_left else None


def _breaks_pauses(
    engine_load: EngineLoad, prompt: prompts.Prompt, is_home: bool
) -> bool:
    """Returns whether a prompt makes the streams of an engine pause too long.

    A prompt that exceeds the limit may start where no other is pending, unless
    the engine is slow at this moment. Otherwise long prompts would start
    nowhere, and engines would idle while they wait.
    """
    if engine_load.pending_limit == math.inf:
        return False
    reads = count_uncached_tokens(engine_load.upstream, prompt, is_home)
    if not engine_load.unread:
        return reads > engine_load.single_limit
    return engine_load.unread + reads > engine_load.pending_limit


def find_load_obstacle(
    engine_load: EngineLoad,
    engine: catalog.Engine,
    constraints: PlacementConstraints,
) -> Obstacle | None:
    """Finds the obstacle in an engine's load, regardless of its cache.

    This fast check rules out most engines of a full service before the parts
    of the prompt are looked up in their caches.

    Args:
        engine_load: Load of a usable engine.
        engine: Engine parameters of the service.
        constraints: Placement constraints of the request, with a prompt.

    Returns:
        The obstacle; None if the engine could take the request with the whole
        prompt cached.
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
        and memory > MAX_MEMORY_SHARE * engine.kv_capacity_tokens
    ):
        return Obstacle.MEMORY
    if engine_load.gap is not None and engine_load.gap > constraints.max_gap:
        return Obstacle.PACE
    if (
        constraints.keep_pauses
        and engine_load.unread > engine_load.pending_limit
    ):
        return Obstacle.PAUSE
    if engine_load.idle:
        reserved = not engine_load.unreserved and (
            engine_load.upstream.short_floor < constraints.yield_idle_below
        )
        return Obstacle.YIELDS if reserved else None
    if engine_load.floor < constraints.yield_below:
        return Obstacle.YIELDS
    if FIRST_TOKEN_OVERHEAD + engine_load.queue_seconds > constraints.time_left:
        return Obstacle.LATE
    return (
        Obstacle.QUEUE
        if engine_load.queue_seconds > constraints.max_queue_seconds
        else None
    )


def is_awaited(
    engine_load: EngineLoad,
    engine: catalog.Engine,
    constraints: PlacementConstraints,
    is_home: bool,
) -> bool:
    """Returns whether a request could be sent to an engine with a lower load.

    The other routers leave awaited engines to the request's team. A request
    that belongs at another engine, or that would be late even at an idle one,
    must not count, or engines would stay half empty for nobody.

    Args:
        engine_load: Load of a usable engine.
        engine: Engine parameters of the service.
        constraints: Placement constraints of the request, with a prompt.
        is_home: Whether the engine is a home of the prompt's last shared part.

    Returns:
        Whether only the engine's load keeps the request from starting there in
        time.
    """
    obstacle = find_obstacle(engine_load, engine, constraints, is_home)
    if obstacle is None or obstacle is Obstacle.READS_AGAIN:
        return False
    begins_in = _estimate_response_start(
        engine_load.upstream, constraints.prompt, is_home, 0
    )
    return begins_in <= constraints.time_left


def _estimate_response_start(
    upstream: Upstream,
    prompt: prompts.Prompt,
    is_home: bool,
    queued_tokens: int,
) -> float:
    """Estimates the seconds until a response starts, behind queued tokens."""
    unread = queued_tokens + count_uncached_tokens(upstream, prompt, is_home)
    return FIRST_TOKEN_OVERHEAD + unread / upstream.prefill_rate
