"""Looks at waiting work from time to time: who waits in vain is told so."""

__all__ = ["end_backoffs", "find_next_due", "sweep_waiting"]

import heapq

from sycamorefall import admission, dispatch, effects, errors
from sycamorefall.router import effects as router_effects
from sycamorefall.router import estimates, intake
from sycamorefall.router import state as state_module
from sycamorefall.sharing import queues

SWEEP_INTERVAL = 0.25
"""Seconds between two looks at waiting work."""

MOST_QUEUES = 256
"""Queues looked at in one go; the others follow in the next."""

MARGIN = 1.25
"""Times its remaining time that a request may be estimated to wait.

Estimates vary by chance. Judged as strictly as when it came, a request that
was just let in would soon be given up again.
"""

OUTAGE_GRACE = 1.0
"""Seconds that work waits for a service whose last upstream vanished."""


def find_next_due(state: state_module.RouterState) -> float:
    """Tells when `sweep_waiting` or `end_backoffs` has something to do."""
    backoffs = (entry[0] for entry in state.backoffs[:1])
    idle = not (state.waiting.total or state.rates or state.budgets.teams)
    sweep = float("inf") if idle else state.next_sweep
    return min(sweep, *backoffs, float("inf"))


def end_backoffs(
    state: state_module.RouterState, now: float
) -> list[effects.SendMessage]:
    """Makes failed requests wait again whose back-off is over.

    Args:
        state: The router; changed.
        now: This process's time.

    Returns:
        Announcements.
    """
    news: list[effects.SendMessage] = []
    while state.backoffs and state.backoffs[0][0] <= now:
        _, number = heapq.heappop(state.backoffs)
        request = state.requests.get(number)
        if request is not None:
            news += intake.enqueue_request(state, now, request)
    return news


def sweep_waiting(
    state: state_module.RouterState, now: float
) -> list[router_effects.Effect]:
    """Answers waiting requests that wait in vain; drops old state.

    Args:
        state: The router; changed.
        now: This process's time.

    Returns:
        Answers and announcements.
    """
    if now < state.next_sweep or state.versions.configuration is None:
        return []
    state.next_sweep = now + SWEEP_INTERVAL
    answers = _answer_outages(state, now)
    if not state.unswept:
        state.unswept = queues.list_queues(state.waiting)
    for _ in range(min(MOST_QUEUES, len(state.unswept))):
        service, team = state.unswept.pop()
        answers += _answer_late(state, now, service, team)
    _drop_idle_rates(state, now)
    dispatch.drop_idle_budgets(state.budgets, now)
    return answers


def _answer_outages(
    state: state_module.RouterState, now: float
) -> list[router_effects.Effect]:
    """Answers all work of services that can't be run any more.

    Guards against work held to its deadline when the last upstream of its
    service, or of one it depends on, vanished while it waited. A short grace
    keeps it through a restart, and through a list that lags behind.
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


def _answer_late(
    state: state_module.RouterState, now: float, service: str, team: str
) -> list[router_effects.Effect]:
    """Answers a team's requests whose wait has grown beyond their deadline.

    Guards against callers held to their deadline for nothing: the queue
    slowed down after they joined it, or others with earlier deadlines came.
    Each request that is given up moves those behind it up.
    """
    rate = state.rates.get((service, team))
    deadlines = queues.list_deadlines(state.waiting, service, team)
    if rate is None or not deadlines:
        return []
    oldest = queues.get_oldest_arrival(state.waiting, service, team)
    interval = admission.compute_departure_interval(rate, now, oldest)
    longest = admission.estimate_wait(interval, len(deadlines))
    run_time = estimates.find_run_time(state, now, service)
    first_left = deadlines[0][0] - now
    if longest <= first_left - run_time and first_left > run_time:
        return []
    answers: list[router_effects.Effect] = []
    ahead = 0
    kind = errors.ErrorKind.WAIT_EXCEEDS_DEADLINE
    for deadline, number in deadlines:
        request = state.requests[number]
        kept = estimates.keep_for_run(run_time, request.new.timeout)
        left = MARGIN * (deadline - now) - kept
        if _is_too_late(request, now, run_time) or admission.exceeds_deadline(
            rate, interval, ahead, left
        ):
            answers += intake.refuse_waiting(state, now, request, kind)
        else:
            ahead += 1
    return answers


def _is_too_late(
    request: state_module.Request, now: float, run_time: float
) -> bool:
    """Tells whether a request has waited until too little time is left.

    Guards against slots spent on answers that come after the deadline, which
    shows as an upstream at work and callers without an answer. A request
    that came with little time is tried all the same: the run time is only
    learned from those that run.
    """
    had_time = request.new.timeout > 2.0 * run_time
    return had_time and request.deadline - now < run_time


def _drop_idle_rates(state: state_module.RouterState, now: float) -> None:
    """Drops the rates of queues that have long been empty.

    Guards against memory that grows with every team that ever called, and
    against judging a team by a rate of long ago.
    """
    while state.rates:
        key, rate = next(iter(state.rates.items()))
        if not admission.is_stale(rate, now):
            return
        del state.rates[key]
        if queues.count_waiting(state.waiting, *key):
            # It still waits: the rate goes to the end, to be looked at again.
            state.rates[key] = rate
            return
