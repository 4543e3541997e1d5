"""Sends that fail at this VM, before the upstream is reached; no I/O.

Under a crowd, a small VM runs out of descriptors, ports or memory. The upstream
has done nothing wrong, and another router can serve the request at once.
"""

__all__ = ["end_unopened_attempt"]

from sycamorefall import errors
from sycamorefall.direct import core, effects, outcomes, upstreams
from sycamorefall.direct import state as state_module


def end_unopened_attempt(
    state: state_module.DirectState, now: float, number: int
) -> list[effects.Effect]:
    """Ends an attempt for which this VM could not open a connection.

    What was counted for the attempt is released. The upstream stays in use:
    if each failed attempt suspended its upstream, all of them would look dead.
    The request isn't sent again from here, where the next send would fail too:
    its caller is told to try another router. One that another upstream may
    have run before ends as after any other attempt, unless this router let that
    run go.

    Args:
        state: The router's state; changed.
        now: Current time of this process's clock.
        number: Number of the request; ignored if it has no attempt.

    Returns:
        Effects to perform.
    """
    request = state.requests.get(number)
    if request is None or request.attempt is None:
        return []
    attempt = request.attempt
    upstream = outcomes.release_attempt(state, request, now)
    if upstream is not None and attempt.is_probe:
        upstreams.end_probe(upstream)
    if request.abandoned:
        return outcomes.await_place(state, now, request, attempt.upstream)
    if request.possible_runs or request.forwarding_started:
        return outcomes.fail_request(state, request, now)
    outcomes.discard_request(state, request)
    return [
        effects.AnswerError(
            number,
            errors.ErrorKind.OVERLOADED,
            core.OTHER_ROUTER_RETRY_AFTER,
            ran=errors.Ran.NO,
        )
    ]
