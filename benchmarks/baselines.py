"""Baseline scheduling policies that run under the same loads."""

__all__ = ["BASELINES", "run_baseline"]

import collections
from collections.abc import Callable
import dataclasses
import random

from benchmarks import events as events_module
from benchmarks import fleet, loads
from benchmarks import upstream as upstream_module
from standins import measures

ArrivalHandler = Callable[["_Run", loads.Arrival], None]
"""Handles the arrival of a request."""


@dataclasses.dataclass(slots=True)
class _Run:
    options: fleet.Options
    weights: dict[str, float]
    events: events_module.EventQueue
    upstreams: list[upstream_module.Upstream]
    outcome: fleet.Outcome
    rng: random.Random
    queues: dict[int, dict[str, collections.deque[loads.Arrival]]]
    passes: dict[tuple[int, str], float]
    free: dict[int, list[int]]
    waiting: dict[int, loads.Arrival]
    running: dict[int, tuple[str, float, float]]


def run_baseline(
    name: str, case: loads.Case, options: fleet.Options
) -> fleet.Outcome:
    """Simulates a load under a baseline policy.

    Args:
        name: Name of the policy, a key of `BASELINES`.
        case: The load.
        options: Size of the fleet; options of the product's policy are ignored.

    Returns:
        The service and the waits of the run.
    """
    handle_arrival = BASELINES[name]
    run = _create_run(case, options, owners=_count_owners(name, options))
    slots = options.upstreams * options.slots
    for arrival in loads.plan_arrivals(
        case, slots, options.routers, options.seconds, options.seed
    ):
        run.waiting[arrival.number] = arrival
        events_module.schedule(
            run.events,
            arrival.at,
            lambda arrival=arrival: handle_arrival(run, arrival),
        )
    events_module.run_until(run.events, options.seconds)
    _record_unfinished(run)
    return run.outcome


def _count_owners(name: str, options: fleet.Options) -> int:
    return options.routers if name == "router-local round robin" else 1


def _create_run(case: loads.Case, options: fleet.Options, owners: int) -> _Run:
    free: dict[int, list[int]] = {owner: [] for owner in range(owners)}
    for slot in range(options.upstreams * options.slots):
        free[slot % owners].append(slot // options.slots)
    return _Run(
        options=options,
        weights={sender.team: sender.weight for sender in case.senders},
        events=events_module.EventQueue(),
        upstreams=[
            upstream_module.Upstream(options.slots)
            for _ in range(options.upstreams)
        ],
        outcome=fleet.Outcome(),
        rng=random.Random(options.seed),
        queues={owner: {} for owner in range(owners)},
        passes={},
        free=free,
        waiting={},
        running={},
    )


def _push_two_choices(run: _Run, arrival: loads.Arrival) -> None:
    """Sends a request at once to the less loaded of two random upstreams."""
    pair = run.rng.sample(range(len(run.upstreams)), 2)
    chosen = min(pair, key=lambda index: _count_load(run.upstreams[index]))
    _start(run, arrival, chosen, lambda: None)


def _count_load(upstream: upstream_module.Upstream) -> int:
    return upstream.running + len(upstream.queue)


def _queue_first_come(run: _Run, arrival: loads.Arrival) -> None:
    """Queues requests of the whole fleet together, in order of arrival."""
    _enqueue(run, 0, "", arrival)


def _queue_round_robin(run: _Run, arrival: loads.Arrival) -> None:
    """Queues requests by team at each router, which owns some of the slots."""
    _enqueue(run, arrival.router, arrival.team, arrival)


def _enqueue(run: _Run, owner: int, queue: str, arrival: loads.Arrival) -> None:
    waiting = run.queues[owner].setdefault(queue, collections.deque())
    if not waiting:
        passes = [
            run.passes[owner, name]
            for name in run.queues[owner]
            if run.queues[owner][name]
        ]
        now = min(passes, default=0.0)
        previous = run.passes.get((owner, queue), 0.0)
        run.passes[owner, queue] = max(previous, now)
    waiting.append(arrival)
    _fill_slots(run, owner)


def _fill_slots(run: _Run, owner: int) -> None:
    """Fills free slots by stride scheduling over the queues, by weight."""
    while run.free[owner]:
        names = [name for name, waiting in run.queues[owner].items() if waiting]
        if not names:
            return
        name = min(names, key=lambda name: (run.passes[owner, name], name))
        run.passes[owner, name] += 1 / run.weights.get(name, 1.0)
        arrival = run.queues[owner][name].popleft()
        index = run.free[owner].pop()

        def release(index=index) -> None:
            run.free[owner].append(index)
            _fill_slots(run, owner)

        _start(run, arrival, index, release)


def _start(
    run: _Run,
    arrival: loads.Arrival,
    index: int,
    release: Callable[[], None],
) -> None:
    def start() -> None:
        del run.waiting[arrival.number]
        run.outcome.waits.append(
            measures.WaitInterval(arrival.team, arrival.at, run.events.now)
        )
        begun = (arrival.team, run.events.now, arrival.cost)
        run.running[arrival.number] = begun

    def end() -> None:
        team, started, cost = run.running.pop(arrival.number)
        run.outcome.services.append(
            measures.ServiceInterval(team, started, run.events.now, cost)
        )
        release()

    work = upstream_module.Work(arrival.cost, start, lambda _: None, end)
    events_module.schedule(
        run.events,
        run.events.now + run.options.delay,
        lambda: upstream_module.submit_work(
            run.events, run.upstreams[index], work
        ),
    )


def _record_unfinished(run: _Run) -> None:
    end = run.options.seconds
    run.outcome.waits += [
        measures.WaitInterval(arrival.team, arrival.at, end)
        for arrival in run.waiting.values()
    ]
    run.outcome.services += [
        measures.ServiceInterval(
            team, at, end, (end - at) * upstream_module.UNITS_PER_SECOND
        )
        for team, at, _ in run.running.values()
    ]


BASELINES: dict[str, ArrivalHandler] = {
    "router-local round robin": _queue_round_robin,
    "push with two choices": _push_two_choices,
    "first come first served": _queue_first_come,
}
"""Baseline policies by name."""
