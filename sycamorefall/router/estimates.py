"""Estimates of waits at a router: who may wait, and when to come back."""

__all__ = [
    "check_wait",
    "compute_departure_interval",
    "find_run_time",
    "keep_for_run",
    "record_run_time",
    "suggest_return",
]

from sycamorefall import admission, errors, sharing
from sycamorefall.router import state as state_module
from sycamorefall.sharing import queues


def check_wait(
    state: state_module.RouterState,
    now: float,
    new: state_module.NewRequest,
) -> errors.ErrorKind | None:
    """Tells why a request can't wait, if so.

    Args:
        state: The router.
        now: This process's time.
        new: The request.

    Returns:
        The kind of failure, or None if it may wait.
    """
    limits = state.versions.configuration.limits
    service, team = new.service, new.team
    waiting = queues.count_waiting(state.waiting, service, team)
    if waiting >= limits.waiting_per_team:
        return errors.ErrorKind.TOO_MANY_WAITING
    rate = state.rates.get((service, team))
    if rate is None or not waiting:
        return None
    # Only those with an earlier deadline are handed out before it.
    deadline = now + new.timeout
    run_time = find_run_time(state, now, service)
    left = new.timeout - keep_for_run(run_time, new.timeout)
    ahead = queues.count_requests_ahead(state.waiting, service, team, deadline)
    interval = compute_departure_interval(state, now, service, team)
    if admission.exceeds_deadline(rate, interval, ahead, left):
        return errors.ErrorKind.WAIT_EXCEEDS_DEADLINE
    return None


def record_run_time(
    state: state_module.RouterState,
    now: float,
    request: state_module.Request,
) -> None:
    """Learns from a whole answer how long the service's requests run."""
    run_times = state.run_times
    run_time = run_times.setdefault(request.new.service, admission.RunTime())
    admission.record_run_time(run_time, now, now - request.attempt.started)


def find_run_time(
    state: state_module.RouterState, now: float, service: str
) -> float:
    """Finds how long most of a service's requests run, in seconds."""
    run_time = state.run_times.get(service, admission.RunTime())
    stale = now - run_time.last_answer > admission.RATE_LIFETIME
    return 0.0 if stale else run_time.seconds


def keep_for_run(run_time: float, timeout: float) -> float:
    """Tells how much of its time a request must have left to run.

    Guards callers with little patience: where most requests run longer than
    they wait, they would be refused whenever anyone waits, though some of
    them would have their answer in time. They may wait half their time.

    Args:
        run_time: Seconds that most of the service's requests run.
        timeout: Seconds that its caller waits in all.

    Returns:
        Seconds.
    """
    return min(run_time, timeout / 2)


def compute_departure_interval(
    state: state_module.RouterState, now: float, service: str, team: str
) -> float:
    """Finds the mean time between departures of a team's queue."""
    rate = state.rates.get((service, team), admission.DrainRate())
    oldest = sharing.get_oldest_arrival(state.waiting, service, team)
    return admission.compute_departure_interval(rate, now, oldest)


def suggest_return(
    state: state_module.RouterState, now: float, service: str, team: str
) -> int:
    """Suggests when a team's refused caller should come back, in seconds."""
    interval = compute_departure_interval(state, now, service, team)
    waiting = queues.count_waiting(state.waiting, service, team)
    return admission.suggest_retry_after(interval, waiting)
