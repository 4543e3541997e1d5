"""Estimates of how long requests wait, for admission and Retry-After."""

__all__ = [
    "check_wait",
    "compute_departure_interval",
    "compute_retry_after",
    "compute_run_reserve",
    "estimate_run_time",
    "record_run_time",
]

from sycamorefall import admission, errors, sharing
from sycamorefall.router import state as state_module
from sycamorefall.sharing import queues


def check_wait(
    state: state_module.RouterState,
    now: float,
    new: state_module.NewRequest,
) -> errors.ErrorKind | None:
    """Checks whether a new request may wait.

    Args:
        state: The router's state.
        now: This process's time, in seconds.
        new: The request.

    Returns:
        None if the request may wait. Otherwise the kind of error: the team's
        queue is full, or the estimated wait exceeds the request's deadline.
    """
    limits = state.versions.configuration.limits
    service, team = new.service, new.team
    waiting = queues.count_waiting(state.waiting, service, team)
    if waiting >= limits.waiting_per_team:
        return errors.ErrorKind.TOO_MANY_WAITING
    rate = state.drain_rates.get((service, team))
    if rate is None or not waiting:
        return None
    # Only requests with an earlier deadline are sent before this one.
    deadline = now + new.timeout
    run_time = estimate_run_time(state, now, service)
    left = new.timeout - compute_run_reserve(run_time, new.timeout)
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
    """Updates the run-time estimate of a service from a complete response."""
    run_times = state.run_times
    run_time = run_times.setdefault(request.new.service, admission.RunTime())
    admission.record_run_time(run_time, now, now - request.attempt.started_at)


def estimate_run_time(
    state: state_module.RouterState, now: float, service: str
) -> float:
    """Estimates within how many seconds most requests of a service run.

    Returns 0 if the latest sample is older than `admission.RATE_LIFETIME`.
    """
    run_time = state.run_times.get(service, admission.RunTime())
    stale = now - run_time.last_response_at > admission.RATE_LIFETIME
    return 0.0 if stale else run_time.seconds


def compute_run_reserve(run_time: float, timeout: float) -> float:
    """Computes how much of its timeout a request needs to run, in seconds.

    At most half of the timeout. If a service's requests mostly run longer than
    a caller's timeout, the full run time would get the caller refused whenever
    any other request waits, although some of its requests would be answered in
    time.

    Args:
        run_time: Seconds within which most of the service's requests run.
        timeout: Total seconds that the caller waits.

    Returns:
        Seconds that must be left when the request is sent to a sidecar.
    """
    return min(run_time, timeout / 2)


def compute_departure_interval(
    state: state_module.RouterState, now: float, service: str, team: str
) -> float:
    """Computes the mean seconds between departures from a team's queue."""
    rate = state.drain_rates.get((service, team), admission.DrainRate())
    oldest = sharing.get_oldest_arrival(state.waiting, service, team)
    return admission.compute_departure_interval(rate, now, oldest)


def compute_retry_after(
    state: state_module.RouterState, now: float, service: str, team: str
) -> int:
    """Computes the Retry-After, in seconds, of a team's refused request."""
    interval = compute_departure_interval(state, now, service, team)
    waiting = queues.count_waiting(state.waiting, service, team)
    return admission.suggest_retry_after(interval, waiting)
