"""Checks whether an engine can take a request now, and finds the obstacle."""

__all__ = [
    "Obstacle",
    "PlacementConstraints",
    "count_reread_tokens",
    "count_uncached_tokens",
    "exceeds_reread_limit",
    "find_load_obstacle",
    "find_obstacle",
    "is_awaited",
    "is_excluded",
    "prefilter_engines",
]

from collections.abc import Collection
import dataclasses
import enum
import math

from sycamorefall.direct import caches, catalog, prompts
from sycamorefall.direct.engine_measurement import EngineGroup, EngineLoad
from sycamorefall.direct.upstreams import Upstream

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


MAX_MEMORY_SHARE = 0.9
"""Largest fraction of an engine's KV cache that running requests may occupy.
Beyond it, the engine preempts running requests and computes them again."""


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
    AHEAD: The team received far more than one whose requests are refused.
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
    AHEAD = "ahead"
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
        is_ahead: Whether the team received so much more than one that is
            refused that it may only use engines with most slots free.
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
    is_ahead: bool = False


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
        constraints.is_ahead
        or group.max_floor < constraints.yield_below
        or group.min_queue_seconds > constraints.max_queue_seconds
        or group.min_gap > constraints.max_gap
        or FIRST_TOKEN_OVERHEAD + group.min_queue_seconds
        > constraints.time_left
    )
    return group.idle if all_blocked else group.engine_loads


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
    if constraints.is_ahead and not engine_load.spare:
        return Obstacle.AHEAD
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
    if obstacle in (None, Obstacle.READS_AGAIN, Obstacle.AHEAD):
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
