"""Checks of what a router does with the requests of silent upstreams.

Each check adds what it finds to `Findings` under its name, so that one play may
be judged by each check for itself.
"""

import collections

from sycamorefall.direct import effects, outcomes, state, upstreams
from sycamorefall.direct.tests import silence_moves, silent_upstreams

EPSILON = 1e-6

OWN_ENDS = (
    outcomes.AttemptEnd.COMPLETE,
    outcomes.AttemptEnd.FAILED,
    outcomes.AttemptEnd.BROKEN,
)
"""Ends by an upstream after which its answer may be ended."""

AT_MOST_ONCE = ("book", "draft")


class Findings:
    """Faults of one play, by check."""

    def __init__(self):
        self.by_check = collections.defaultdict(list)

    def add(self, check, world, call, text):
        sends = [
            (one.process.name, one.at, getattr(one.end, "name", one.end))
            for one in call.sends
        ]
        self.by_check[check].append(
            f"{world.now:.2f} s: {call.route} {call.number}: {text}; "
            f"deadline {call.deadline:.2f}, sends {sends}"
        )


def create_world(findings, **bounds):
    """Creates a world whose play is judged by all checks."""
    moves = silence_moves.MoveCheck(findings)
    returns = silence_moves.ReturnCheck(findings)

    def observe(world, pending):
        _check_ends(findings, world, pending)
        _check_runs(findings, world, pending)
        returns.observe(world, pending)

    def watch(world):
        _check_load(findings, world)
        _check_requests(findings, world)
        _check_retries(findings, world)
        moves.watch(world)
        returns.watch(world)

    return silent_upstreams.World(observe, watch, **bounds)


def _check_ends(findings, world, pending):
    """Finds answers that are ended although their upstream may go on."""
    aborted = {
        one.request for one in pending if isinstance(one, effects.AbortAttempt)
    }
    for place, effect in enumerate(pending):
        call = world.calls.get(getattr(effect, "request", None))
        if call is None or world.now >= call.deadline - EPSILON:
            continue
        if isinstance(effect, effects.AbortAttempt):
            follows = pending[place + 1 : place + 2]
            moves = isinstance(
                follows[0] if follows else None, effects.SendRequest
            ) and (follows[0].request == effect.request)
            if not moves and not world.is_known_gone(call.current):
                findings.add("ended", world, call, f"let go, {_describe(call)}")
        elif isinstance(effect, effects.AnswerError | effects.AbortResponse):
            if call.begun == isinstance(effect, effects.AnswerError):
                findings.add("ended", world, call, f"by a wrong {effect}")
            if call.number in aborted:
                continue
            if call.current is not None:
                if not world.is_known_gone(call.current):
                    text = f"ended, {_describe(call)}"
                    findings.add("ended", world, call, text)
            elif _may_still_run(world, call):
                findings.add("ended", world, call, "ended while it waits")


def _describe(call):
    process = call.current.process
    return f"its process {'goes on' if process.alive else 'has ended'}"


def _may_still_run(world, call):
    """Returns whether a request that was let go may get room again.

    A stream whose version has left the listing can't, and is refused at once.
    """
    if not any(one.end == "silent" for one in call.sends):
        return False
    if call.sends[-1].end in OWN_ENDS:
        return False
    listed = world.state.table.by_service.get(call.service, ())
    if call.begun and all(upstreams.is_leaving(one) for one in listed):
        return False
    has_key = call.service == "ledger" or call.team in world.keys
    return has_key and call.service in world.services


def _check_runs(findings, world, pending):
    """Finds requests that may run twice although that is not allowed."""
    for effect in pending:
        if not isinstance(effect, effects.SendRequest):
            continue
        call = world.calls[effect.request]
        if call.route in AT_MOST_ONCE and any(
            one.end not in silent_upstreams.DECLINED for one in call.sends
        ):
            findings.add("twice", world, call, f"sent to {effect.upstream}")


def _check_load(findings, world):
    """Finds runs that aren't counted as load, and load that is no run."""
    router = world.state
    attempts = collections.Counter()
    for request in router.requests.values():
        if request.attempt is not None:
            attempts[state.find_upstream(router, request.attempt)] += 1
    unlisted = attempts.pop(None, 0)
    counted = {
        one: one.own_load.running
        for one in router.table.by_name.values()
        if one.own_load.running
    }
    if (
        counted != attempts
        or router.running != sum(counted.values()) + unlisted
    ):
        findings.by_check["load"].append(
            f"{world.now:.2f} s: {router.running} run, by upstream "
            f"{_name_keys(attempts)}, {unlisted} elsewhere, counted as "
            f"{_name_keys(counted)}"
        )


def _name_keys(by_upstream):
    return {one.listed.name: count for one, count in by_upstream.items()}


def _check_requests(findings, world):
    """Finds requests that are lost, kept too long or wait nowhere."""
    router = world.state
    if router.requests.keys() != world.calls.keys():
        findings.by_check["forgotten"].append(
            f"{world.now:.2f} s: {sorted(router.requests)} at the router, "
            f"{sorted(world.calls)} of callers"
        )
    for number, call in world.calls.items():
        request = router.requests.get(number)
        if request is None:
            continue
        if world.now >= call.deadline + EPSILON:
            findings.add("forgotten", world, call, "outlives its deadline")
        known = request.attempt or request.awaits_origin
        if not known and not _is_queued(router, request):
            findings.add("forgotten", world, call, "waits nowhere")


def _is_queued(router, request):
    if request.number in router.moving:
        return True
    queue = router.service_queues.get(request.service)
    if queue is None:
        return False
    by_target = queue.by_team.get(request.team, {})
    return any(request.number in numbers for numbers in by_target.values())


def _check_retries(findings, world):
    """Finds windows with more retries than the requests in them allow.

    Requests count in the window, in the one before it or in the one half a
    window before it, whichever has most.
    """
    bounds = world.state.bounds
    begin = world.now - bounds.retry_window
    for service in silent_upstreams.SERVICES:
        retries = [
            at for at, name in world.retries if name == service and at > begin
        ]
        if not retries or retries[-1] < world.now:
            continue
        asked = max(
            sum(
                name == service and begin - shift <= at <= world.now - shift
                for at, name in world.requests
            )
            for shift in (0, bounds.retry_window / 2, bounds.retry_window)
        )
        if len(retries) > bounds.retry_ratio * asked + bounds.retry_extra:
            findings.by_check["retries"].append(
                f"{world.now:.2f} s: {len(retries)} retries of {service}, "
                f"{asked} requests"
            )
