"""Simulated upstreams for benchmarks and tests of the concurrency limit.

The simulation runs in fixed steps, its counts are exact, and its results do not
depend on the machine. `python -m benchmarks.upstreams` compares the adaptive
limit with a fixed cap.
"""

__all__ = ["Figures", "Upstream", "run_limit"]

import collections
from collections.abc import Callable
import dataclasses
import random

from sycamorefall import admission
from sycamorefall.sidecar import gate as gate_module

STEP = 0.01
"""Duration of a step in seconds."""

REPORT_DELAY = 0.5
"""Seconds from the creation of a load report to its publication."""


@dataclasses.dataclass(slots=True)
class Upstream:
    """An engine with a number of slots, or a plain service.

    Attributes:
        capacity: Requests that an engine runs concurrently, or that a plain
            service runs at full speed.
        slots: Number of slots stated in its load reports; 0 for none.
        shares: Whether all requests share the capacity (plain service), or
            requests beyond the capacity are queued (engine).
        left: Remaining seconds of work by request, in order of arrival.
        reports: Unpublished reports, as (time of publication, report).
    """

    capacity: int
    slots: int = 0
    shares: bool = False
    left: dict[str, float] = dataclasses.field(default_factory=dict)
    reports: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )


@dataclasses.dataclass(slots=True)
class Figures:
    """Result of a run.

    Attributes:
        idle: Fraction of the capacity that was idle while requests waited.
        mean_queue: Mean length of the internal queue.
        most_queue: Longest internal queue after the first quarter of the run.
        most_in_flight: Largest number of own requests at the upstream.
        answers: Number of completed requests.
    """

    idle: float
    mean_queue: float
    most_queue: int
    most_in_flight: int
    answers: int


def _advance(upstream: Upstream) -> list[str]:
    """Advances the upstream by a step; returns the requests completed in it."""
    speed = STEP
    chosen = list(upstream.left)
    if upstream.shares:
        speed *= min(1.0, upstream.capacity / max(1, len(chosen)))
    else:
        chosen = chosen[: upstream.capacity]
    for request in chosen:
        upstream.left[request] -= speed
    ended = [request for request in chosen if upstream.left[request] <= 0]
    for request in ended:
        del upstream.left[request]
    return ended


def _publish_report(
    upstream: Upstream, now: float
) -> admission.LoadReport | None:
    running = min(len(upstream.left), upstream.capacity)
    queued = len(upstream.left) - running
    current = admission.LoadReport(running, queued, upstream.slots)
    upstream.reports.append((now + REPORT_DELAY, current))
    published = None
    while upstream.reports[0][0] <= now:
        _, published = upstream.reports.popleft()
    return published


def run_limit(
    upstream: Upstream,
    limit: admission.ConcurrencyLimit,
    seconds: float,
    change: Callable[[float], None] = lambda now: None,
    reports: bool = True,
    adapt: bool = True,
    mean_work: float = 1.0,
) -> Figures:
    """Simulates a sidecar's gate and limit while requests always wait.

    Args:
        upstream: The upstream, which may already run requests of other callers.
        limit: The sidecar's limit.
        seconds: Duration.
        change: Called with the time of each step, to change the upstream.
        reports: Whether the upstream publishes load reports.
        adapt: Whether the limit adapts; otherwise all claimed requests are
            sent at once, up to one more than the cap.
        mean_work: Mean seconds of work of a request.

    Returns:
        The figures.
    """
    rng = random.Random(7)
    gate = gate_module.ConcurrencyGate(limit)
    idle = queue = busy = most_queue = most_in_flight = answers = serial = 0
    steps = round(seconds / STEP)

    def start(name: str, work: float) -> Callable[[], None]:
        return lambda: upstream.left.update({name: work})

    for step in range(steps):
        now = step * STEP
        change(now)
        published = _publish_report(upstream, now) if step % 50 == 0 else None
        if adapt and published and reports:
            record_report = admission.adjust_to_load
            if upstream.shares:
                record_report = admission.record_foreign
            record_report(limit, now, published)
            gate_module.start_held_runs(gate, now)
        own = len(gate.started_at) + len(gate.held)
        for _ in range(admission.count_claimable(limit, own, 0)):
            serial += 1
            name = f"own-{serial}"
            start_run = start(name, rng.lognormvariate(-0.5, 1.0) * mean_work)
            if adapt:
                gate_module.submit_run(gate, now, name, start_run)
            else:
                gate.started_at[name] = now
                start_run()
        ended = _advance(upstream)
        for name in ended:
            answers += 1
            if adapt:
                gate_module.release_run(
                    gate, now, name, True, is_engine=not upstream.shares
                )
            else:
                gate.started_at.pop(name, None)
        in_flight = len(upstream.left)
        idle += max(0, upstream.capacity - in_flight)
        busy += upstream.capacity
        surplus = max(0, in_flight - upstream.capacity)
        queue += surplus
        if step > steps / 4:
            most_queue = max(most_queue, surplus)
        most_in_flight = max(most_in_flight, len(gate.started_at))
    return Figures(
        idle / busy, queue / steps, most_queue, most_in_flight, answers
    )


def _create_limit(cap: int, low: bool) -> admission.ConcurrencyLimit:
    limit = admission.ConcurrencyLimit(cap=cap)
    if low:
        admission.start_at_minimum(limit)
    return limit


def _compare(name: str, cap: int, create: Callable, **options) -> None:
    upstream, change = create()
    before = run_limit(
        upstream, _create_limit(cap, False), 120, change, adapt=False, **options
    )
    upstream, change = create()
    after = run_limit(
        upstream, _create_limit(cap, True), 120, change, **options
    )
    for label, figures in (("cap only", before), ("adapted", after)):
        print(f"{name}, cap {cap}, {label}: {figures}")


def _create_changing() -> tuple[Upstream, Callable[[float], None]]:
    upstream = Upstream(8, 8)

    def change(now: float) -> None:
        upstream.capacity = 4 if 40 < now < 80 else 8

    return upstream, change


def main() -> None:
    """Prints queue length and idle capacity, with and without adaptation."""
    steady = {
        "engine, 8 slots": lambda: (Upstream(8, 8), lambda now: None),
        "engine, 5 of 8 slots usable": lambda: (
            Upstream(5, 8),
            lambda now: None,
        ),
        "engine, 8 slots not told": lambda: (Upstream(8), lambda now: None),
        "engine, 8 then 4 then 8": _create_changing,
    }
    for cap in (8, 9, 16, 32):
        for name, create in steady.items():
            _compare(name, cap, create)
        for work in (0.05, 0.5, 3.0):
            _compare(
                f"plain, capacity 8, calls of {work} s",
                cap,
                lambda: (Upstream(8, shares=True), lambda now: None),
                mean_work=work,
            )


if __name__ == "__main__":
    main()
