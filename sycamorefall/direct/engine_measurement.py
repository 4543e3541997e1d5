"""Measures the load of engines, independent of any request."""

__all__ = [
    "EngineGroup",
    "EngineLoad",
    "fill_unknown_gaps",
    "measure_engine_load",
    "summarize_group",
]

import dataclasses
import math
import statistics

from sycamorefall.direct import catalog, speed, stream_pace
from sycamorefall.direct.upstreams import INITIAL_PREFILL_RATE, Upstream

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

SPEED_INTERVAL = 0.02
"""Seconds between two estimates of what an engine's speed allows."""


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
        spare: Whether the engine is idle and most of its slots are free.
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
    spare: bool
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
        is_spare,
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
