"""Periodic sweep that refuses requests which can't be served in time."""

__all__ = ["find_next_due", "requeue_after_backoff", "sweep_waiting"]

import heapq

from sycamorefall import admission, dispatch, effects, errors
from sycamorefall.router import effects as router_effects
from sycamorefall.router import estimates, intake
from sycamorefall.router import state as state_module
from sycamorefall.sharing import queues

SWEEP_INTERVAL = 0.25
"""Seconds between two sweeps."""

MAX_QUEUES_PER_SWEEP = 256
"""Queues visited per sweep; the next sweep continues with the others."""

WAIT_MARGIN = 1.25
"""Multiple of its remaining time that a request may be estimated to wait.

Estimates vary randomly. With the same threshold as at admission, a request that
was just admitted would soon be refused.
"""

OUTAGE_GRACE = 1.0
"""Seconds that requests keep waiting after a service lost its last upstream."""


def find_next_due(state: state_module.RouterState) -> float:
    """Returns when `sweep_waiting` or `requeue_after_backoff` is due."""
    backoffs = (entry[0] for entry in state.backoffs[:1])
    idle = not (
        state.waiting.total or state.drain_rates or state.retry_budgets.teams
    )
    sweep = float("inf") if idle else state.next_sweep_at
    return min(sweep, *backoffs, float("inf"))


def requeue_after_backoff(
    state: state_module.RouterState, now: float
) -> list[effects.SendMessage]:
    """Queues failed requests again whose backoff has ended.

    Args:
        state: The router's state; changed.
        now: This process's time, in seconds.

    Returns:
        Messages to send.
    """
    sends: list[effects.SendMessage] = []
    while state.backoffs and state.backoffs[0][0] <= now:
        _, number = heapq.heappop(state.backoffs)
        request = state.requests.get(number)
        if request is not None:
            sends += intake.enqueue_request(state, now, request)
    return sends


def sweep_waiting(
    state: state_module.RouterState, now: float
) -> list[router_effects.Effect]:
    """Refuses requests that can't be served in time, and drops outdated state.

    Args:
        state: The router's state; changed.
        now: This process's time, in seconds.

    Returns:
        Answers and messages.
    """
    if now < state.next_sweep_at or state.versions.configuration is None:
        return []
    state.next_sweep_at = now + SWEEP_INTERVAL
    answers = _refuse_during_outages(state, now)
    if not state.unswept_queues:
        state.unswept_queues = queues.list_queues(state.waiting)
    for _ in range(min(MAX_QUEUES_PER_SWEEP, len(state.unswept_queues))):
        service, team = state.unswept_queues.pop()
        answers += _refuse_late_requests(state, now, service, team)
    _drop_idle_rates(state, now)
    dispatch.drop_idle_budgets(state.retry_budgets, now)
    return answers


def _refuse_during_outages(
    state: state_module.RouterState, now: float
) -> list[router_effects.Effect]:
    """Refuses all waiting requests of services that can't run any more.

    Otherwise requests would wait until their deadline if the last upstream of
    their service, or of one that it depends on, disappears. The grace period
    bridges a restart of the upstream and an outdated VM list.
    """
    answers: list[router_effects.Effect] = []
    kinds = {
        service: intake.find_outage(state, now, service)
        for service in state.waiting.queues
    }
    state.outages = {
        service: state.outages.get(service, now)
        for service, kind in kinds.items()
        if kind is not None
    }
    for service, since in state.outages.items():
        if now - since < OUTAGE_GRACE:
            continue
        numbers = [
            number
            for queue in state.waiting.queues[service].values()
            for number in queue.arrivals
        ]
        for number in numbers:
            request = state.requests[number]
            answers += intake.refuse_waiting(
                state, now, request, kinds[service]
            )
    return answers


def _refuse_late_requests(
    state: state_module.RouterState, now: float, service: str, team: str
) -> list[router_effects.Effect]:
    """Refuses a team's requests whose estimated wait exceeds their deadline.

    Otherwise callers would wait until their deadline in vain if the queue slows
    down after they joined it, or requests with earlier deadlines arrive. Each
    refused request shortens the estimated wait of those behind it.
    """
    rate = state.drain_rates.get((service, team))
    deadlines = queues.list_deadlines(state.waiting, service, team)
    if rate is None or not deadlines:
        return []
    oldest = queues.get_oldest_arrival(state.waiting, service, team)
    interval = admission.compute_departure_interval(rate, now, oldest)
    longest = admission.estimate_wait(interval, len(deadlines))
    run_time = estimates.estimate_run_time(state, now, service)
    first_left = deadlines[0][0] - now
    if longest <= first_left - run_time and first_left > run_time:
        return []
    answers: list[router_effects.Effect] = []
    ahead = 0
    kind = errors.ErrorKind.WAIT_EXCEEDS_DEADLINE
    for deadline, number in deadlines:
        request = state.requests[number]
        run_reserve = estimates.compute_run_reserve(
            run_time, request.new.timeout
        )
        available = WAIT_MARGIN * (deadline - now) - run_reserve
        if _is_too_late(request, now, run_time) or admission.exceeds_deadline(
            rate, interval, ahead, available
        ):
            answers += intake.refuse_waiting(state, now, request, kind)
        else:
            ahead += 1
    return answers


def _is_too_late(
    request: state_module.Request, now: float, run_time: float
) -> bool:
    """Returns whether a waiting request has too little time left to run.

    Otherwise upstreams would spend slots on responses that come after the
    deadline: they would be busy while callers get no response. A request that
    arrived with little time is tried nevertheless, as run times are only
    learned from requests that run.
    """
    had_time = request.new.timeout > 2.0 * run_time
    return had_time and request.deadline - now < run_time


def _drop_idle_rates(state: state_module.RouterState, now: float) -> None:
    """Drops the drain rates of queues that have long been empty.

    Otherwise memory would grow with every team that ever called, and teams
    would be judged by outdated rates.
    """
    while state.drain_rates:
        key, rate = next(iter(state.drain_rates.items()))
        if not admission.is_stale(rate, now):
            return
        del state.drain_rates[key]
        if queues.count_waiting(state.waiting, *key):
            # The team still has waiting requests: its rate moves to the end.
            state.drain_rates[key] = rate
            return
